#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <filesystem>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "base/bytes.h"
#include "layers/disk.h"
#include "store/lmdb.h"

namespace laureltide::layers {
namespace {

namespace fs = std::filesystem;

constexpr const char* kChunkPrefix = "c";  // index keys: c + chunk key, v + version name
constexpr const char* kVersionPrefix = "v";

DiskStatus status_of(int error) {
  return error == ENOSPC || error == EDQUOT ? DiskStatus::kFull : DiskStatus::kBroken;
}

class FileDisk : public Disk, public store::StoreEvents {
 public:
  using Post = std::function<void(std::function<void()>)>;
  FileDisk(std::string directory, std::unique_ptr<store::Store> index, Post post)
      : directory_(std::move(directory)), index_(std::move(index)), post_(std::move(post)) {
    index_->serve(this);
    thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
  }
  ~FileDisk() override {
    *alive_ = false;
    thread_.request_stop();
    wakeup_.notify_all();
    thread_.join();
    index_->serve(nullptr);
  }

  LoadedState load() override {
    LoadedState found;
    struct Entry {
      std::uint64_t order = 0;
      std::uint32_t size = 0;
    };
    std::unordered_map<Key, Entry> entries;
    index_->load([&](std::string_view name, std::string_view value) {
      if (name.starts_with(kVersionPrefix)) {
        found.records.emplace_back(name.substr(1), value);
        return;
      }
      const auto key = parse_digest("sha256:" + std::string(name.substr(1)));
      Reader r(value);
      const Entry entry{r.u64(), r.u32()};
      if (!name.starts_with(kChunkPrefix) || !key || !r.done()) return;
      entries[*key] = entry;
      next_order_ = std::max(next_order_, entry.order + 1);
    });
    // Files prove that bytes exist, the index that they were written completely: keep chunks that are in
    // both.
    std::error_code error;
    std::vector<std::pair<std::uint64_t, LoadedState::StoredChunk>> stored;
    for (const auto& part : fs::directory_iterator(directory_ + "/chunks", error)) {
      for (const auto& file : fs::directory_iterator(part.path(), error)) {
        const auto key = parse_digest("sha256:" + file.path().filename().string());
        const auto it = key ? entries.find(*key) : entries.end();
        const bool matches = it != entries.end() && file.file_size(error) == it->second.size;
        if (matches) {
          stored.push_back({it->second.order, {*key, it->second.size}});
          entries.erase(it);
        } else {
          fs::remove(file.path(), error);
          ++found.dropped;
        }
      }
    }
    for (const auto& [key, entry] : entries) {
      index_->erase(kChunkPrefix + key.hex());
      ++found.dropped;
    }
    for (const auto& file : fs::directory_iterator(directory_ + "/half", error))
      fs::remove(file.path(), error);
    std::sort(stored.begin(), stored.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [order, chunk] : stored) found.chunks.push_back(chunk);
    return found;
  }

  void write(const Key& key, const Chunk& chunk, std::string frame, Done done) override {
    enqueue([this, key, chunk, frame = std::move(frame), done = std::move(done)] {
      std::string why;
      DiskStatus end = DiskStatus::kCorrupt;
      if (const auto plain = unpack_chunk(frame, chunk, why)) end = write_file(key, *plain, why);
      post_result([this, key, size = chunk.size, end, why, done] {
        if (end == DiskStatus::kOk) {
          std::string value;
          Writer w(value);
          w.u64(next_order_++), w.u32(size);
          index_->put(kChunkPrefix + key.hex(), value);
          step("chunk-indexed");
        }
        done(end, why);
      });
    });
  }

  void verify(const Key& key, const Digest& content, Done done) override {
    enqueue([this, key, content, done = std::move(done)] {
      const bool well = digest_of_file(path(key)) == content;
      post_result([well, done] {
        done(well ? DiskStatus::kOk : DiskStatus::kCorrupt,
             well ? "" : "the file is not what its digest says");
      });
    });
  }

  void remove(const Key& key) override {
    index_->erase(kChunkPrefix + key.hex());
    // Queued behind earlier writes, so that a later write of the same key is not undone.
    enqueue([file = path(key)] { ::unlink(file.c_str()); });
  }
  void put(const std::string& name, std::string bytes) override {
    index_->put(kVersionPrefix + name, bytes);
    step("version-recorded");
  }
  void erase(const std::string& name) override { index_->erase(kVersionPrefix + name); }
  std::string path(const Key& key) const override {
    const std::string hex = key.hex();
    return directory_ + "/chunks/" + hex.substr(0, 2) + "/" + hex;
  }

  // A failed index write only costs the cached chunks after a restart.
  void on_write_failed(const std::string&, bool) override {}
  void on_write_recovered() override {}
  void on_durable(std::size_t) override {}

 private:
  DiskStatus write_file(const Key& key, const std::string& plain, std::string& why) {
    step("chunk-begun");
    const std::string partial = directory_ + "/half/" + key.hex(), file = path(key);
    const int fd = ::open(partial.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
    if (fd < 0) return why = std::strerror(errno), status_of(errno);
    std::size_t at = 0;
    int error = 0;
    while (at < plain.size() && error == 0) {
      const ssize_t n = ::write(fd, plain.data() + at, plain.size() - at);
      if (n > 0)
        at += static_cast<std::size_t>(n);
      else if (n < 0 && errno != EINTR)
        error = errno;
    }
    if (::close(fd) != 0 && error == 0) error = errno;
    if (error == 0) step("chunk-written");
    if (error == 0 && ::rename(partial.c_str(), file.c_str()) != 0) error = errno;
    if (error != 0) {
      ::unlink(partial.c_str());
      return why = std::strerror(error), status_of(error);
    }
    step("chunk-renamed");
    return DiskStatus::kOk;
  }

  static std::optional<Digest> digest_of_file(const std::string& file) {
    const int fd = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return std::nullopt;
    Hasher hasher;
    std::string buffer(256U << 10, '\0');
    ssize_t n = 0;
    while ((n = ::read(fd, buffer.data(), buffer.size())) > 0 || (n < 0 && errno == EINTR))
      if (n > 0) hasher.add({buffer.data(), static_cast<std::size_t>(n)});
    ::close(fd);
    return n < 0 ? std::nullopt : std::optional(hasher.finish());
  }

  void enqueue(std::function<void()> task) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(task));
    wakeup_.notify_one();
  }
  void post_result(std::function<void()> task) {
    post_([task = std::move(task), alive = alive_] {
      if (*alive) task();
    });
  }
  void run(const std::stop_token& stop) {
    std::unique_lock lock(mutex_);
    while (wakeup_.wait(lock, stop, [this] { return !queue_.empty(); })) {
      if (stop.stop_requested()) return;  // pending writes are dropped; the chunks are fetched again
      const auto next = std::move(queue_.front());
      queue_.pop_front();
      lock.unlock();
      next();
      lock.lock();
    }
  }

  std::string directory_;
  std::unique_ptr<store::Store> index_;
  Post post_;
  std::uint64_t next_order_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::mutex mutex_;
  std::condition_variable_any wakeup_;
  std::deque<std::function<void()>> queue_;
  std::jthread thread_;
};

}  // namespace

OpenedDisk open_disk(const std::string& directory, std::function<void(std::function<void()>)> post) {
  const std::string root = fs::absolute(directory).string();
  std::error_code error;
  for (const char* part : {"/half", "/chunks"}) {
    fs::create_directories(root + part, error);
    if (error) return {nullptr, root + part + " cannot be created: " + error.message()};
  }
  static constexpr char kDigits[] = "0123456789abcdef";
  for (int i = 0; i < 256 && !error; ++i)
    fs::create_directories(root + "/chunks/" + kDigits[i >> 4] + kDigits[i & 15], error);
  if (error) return {nullptr, root + "/chunks cannot be created: " + error.message()};
  store::LmdbOptions options;
  options.directory = root + "/index";
  options.most_mb = 1024;
  options.what = "layers-index";
  auto opened = store::open_lmdb(options, post);
  if (!opened.store) return {nullptr, opened.why};
  return {std::make_unique<FileDisk>(root, std::move(opened.store), std::move(post)), {}};
}

}  // namespace laureltide::layers
