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

constexpr const char* kChunks = "c";  // names of the index's entries: c + key, v + version's name
constexpr const char* kVersions = "v";

DiskEnd end_of(int error) { return error == ENOSPC || error == EDQUOT ? DiskEnd::kFull : DiskEnd::kBroken; }

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
    woken_.notify_all();
    thread_.join();
    index_->serve(nullptr);
  }

  Found load() override {
    Found found;
    struct Entry {
      std::uint64_t order = 0;
      std::uint32_t size = 0;
    };
    std::unordered_map<Key, Entry> entries;
    index_->load([&](std::string_view name, std::string_view value) {
      if (name.starts_with(kVersions)) {
        found.records.emplace_back(name.substr(1), value);
        return;
      }
      const auto key = parse_digest("sha256:" + std::string(name.substr(1)));
      Reader r(value);
      const Entry entry{r.u64(), r.u32()};
      if (!name.starts_with(kChunks) || !key || !r.done()) return;
      entries[*key] = entry;
      next_order_ = std::max(next_order_, entry.order + 1);
    });
    // Files are the truth about bytes, the index about what was whole: only what both name is kept.
    std::error_code error;
    std::vector<std::pair<std::uint64_t, Found::Kept>> kept;
    for (const auto& part : fs::directory_iterator(directory_ + "/chunks", error)) {
      for (const auto& file : fs::directory_iterator(part.path(), error)) {
        const auto key = parse_digest("sha256:" + file.path().filename().string());
        const auto it = key ? entries.find(*key) : entries.end();
        const bool fits = it != entries.end() && file.file_size(error) == it->second.size;
        if (fits) {
          kept.push_back({it->second.order, {*key, it->second.size}});
          entries.erase(it);
        } else {
          fs::remove(file.path(), error);
          ++found.dropped;
        }
      }
    }
    for (const auto& [key, entry] : entries) {
      index_->erase(kChunks + key.hex());
      ++found.dropped;
    }
    for (const auto& file : fs::directory_iterator(directory_ + "/half", error))
      fs::remove(file.path(), error);
    std::sort(kept.begin(), kept.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [order, chunk] : kept) found.chunks.push_back(chunk);
    return found;
  }

  void write(const Key& key, const Chunk& chunk, std::string frame, Done done) override {
    give([this, key, chunk, frame = std::move(frame), done = std::move(done)] {
      std::string why;
      DiskEnd end = DiskEnd::kCorrupt;
      if (const auto plain = unpack_chunk(frame, chunk, why)) end = write_file(key, *plain, why);
      tell([this, key, size = chunk.size, end, why, done] {
        if (end == DiskEnd::kOk) {
          std::string value;
          Writer w(value);
          w.u64(next_order_++), w.u32(size);
          index_->put(kChunks + key.hex(), value);
          step("chunk-indexed");
        }
        done(end, why);
      });
    });
  }

  void prove(const Key& key, const Digest& content, Done done) override {
    give([this, key, content, done = std::move(done)] {
      const bool well = digest_of_file(path(key)) == content;
      tell([well, done] {
        done(well ? DiskEnd::kOk : DiskEnd::kCorrupt, well ? "" : "the file is not what its digest says");
      });
    });
  }

  void remove(const Key& key) override {
    index_->erase(kChunks + key.hex());
    // In the line of the writes: one that follows for the same key is not undone.
    give([file = path(key)] { ::unlink(file.c_str()); });
  }
  void put(const std::string& name, std::string bytes) override {
    index_->put(kVersions + name, bytes);
    step("version-recorded");
  }
  void erase(const std::string& name) override { index_->erase(kVersions + name); }
  std::string path(const Key& key) const override {
    const std::string hex = key.hex();
    return directory_ + "/chunks/" + hex.substr(0, 2) + "/" + hex;
  }

  // An index that cannot be written costs the next life its cache, and nothing else.
  void on_write_failed(const std::string&, bool) override {}
  void on_write_recovered() override {}
  void on_durable(std::size_t) override {}

 private:
  DiskEnd write_file(const Key& key, const std::string& plain, std::string& why) {
    step("chunk-begun");
    const std::string half = directory_ + "/half/" + key.hex(), file = path(key);
    const int fd = ::open(half.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
    if (fd < 0) return why = std::strerror(errno), end_of(errno);
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
    if (error == 0 && ::rename(half.c_str(), file.c_str()) != 0) error = errno;
    if (error != 0) {
      ::unlink(half.c_str());
      return why = std::strerror(error), end_of(error);
    }
    step("chunk-renamed");
    return DiskEnd::kOk;
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

  void give(std::function<void()> what) {
    const std::lock_guard lock(mutex_);
    line_.push_back(std::move(what));
    woken_.notify_one();
  }
  void tell(std::function<void()> what) {
    post_([what = std::move(what), alive = alive_] {
      if (*alive) what();
    });
  }
  void run(const std::stop_token& stop) {
    std::unique_lock lock(mutex_);
    while (woken_.wait(lock, stop, [this] { return !line_.empty(); })) {
      if (stop.stop_requested()) return;  // a cache: what is not written is fetched again
      const auto next = std::move(line_.front());
      line_.pop_front();
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
  std::condition_variable_any woken_;
  std::deque<std::function<void()>> line_;
  std::jthread thread_;
};

}  // namespace

OpenedDisk open_disk(const std::string& directory, std::function<void(std::function<void()>)> post) {
  const std::string whole = fs::absolute(directory).string();
  std::error_code error;
  for (const char* part : {"/half", "/chunks"}) {
    fs::create_directories(whole + part, error);
    if (error) return {nullptr, whole + part + " cannot be made: " + error.message()};
  }
  static constexpr char kDigits[] = "0123456789abcdef";
  for (int i = 0; i < 256 && !error; ++i)
    fs::create_directories(whole + "/chunks/" + kDigits[i >> 4] + kDigits[i & 15], error);
  if (error) return {nullptr, whole + "/chunks cannot be made: " + error.message()};
  store::LmdbOptions options;
  options.directory = whole + "/index";
  options.most_mb = 1024;
  options.what = "layers-index";
  auto opened = store::open_lmdb(options, post);
  if (!opened.store) return {nullptr, opened.why};
  return {std::make_unique<FileDisk>(whole, std::move(opened.store), std::move(post)), {}};
}

}  // namespace laureltide::layers
