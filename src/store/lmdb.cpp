#include "store/lmdb.h"

#include <fcntl.h>
#include <lmdb.h>
#include <openssl/sha.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "base/bytes.h"

namespace laureltide::store {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxStoredKeyBytes = 500;  // LMDB's limit is 511
constexpr Duration kWriteRetryDelay = std::chrono::seconds(1);
// How long operations wait for a commit to be written with.
constexpr Duration kUnawaitedWriteDelay = std::chrono::milliseconds(20);
// A batch with this many commits is written without waiting for more.
constexpr std::size_t kFullBatchCommits = 32;

// A key that is too long for LMDB is cut, which keeps the order, and gets a digest of the whole key.
std::string stored_key(std::string_view key) {
  if (key.size() <= kMaxStoredKeyBytes) return std::string(key);
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest);
  std::string out(key.substr(0, kMaxStoredKeyBytes - sizeof digest));
  return out.append(reinterpret_cast<const char*>(digest), sizeof digest);
}
MDB_val val(std::string_view text) { return {text.size(), const_cast<char*>(text.data())}; }
std::string_view view(const MDB_val& v) { return {static_cast<const char*>(v.mv_data), v.mv_size}; }

struct EnvCloser {
  void operator()(MDB_env* env) const { mdb_env_close(env); }
};
using Env = std::unique_ptr<MDB_env, EnvCloser>;

std::string error_text(int error) { return mdb_strerror(error); }

std::string open_env(Env& env, const std::string& directory, unsigned flags, std::size_t map_bytes) {
  MDB_env* raw = nullptr;
  if (const int error = mdb_env_create(&raw)) return error_text(error);
  env.reset(raw);
  if (map_bytes > 0) mdb_env_set_mapsize(raw, map_bytes);
  if (const int error = mdb_env_open(raw, directory.c_str(), flags, 0640)) return error_text(error);
  // Reading a mapped file past its end raises SIGBUS, so all pages in use must be in the file.
  MDB_envinfo info{};
  MDB_stat stat{};
  struct stat file {};
  mdb_env_info(raw, &info), mdb_env_stat(raw, &stat);
  if (::stat((directory + "/data.mdb").c_str(), &file) != 0) return std::strerror(errno);
  const auto needed = (info.me_last_pgno + 1) * stat.ms_psize;
  if (static_cast<std::size_t>(file.st_size) < needed)
    return "data.mdb is cut off: " + std::to_string(file.st_size) + " bytes of " + std::to_string(needed);
  return {};
}

std::string for_each_entry(MDB_env* env,
                           const std::function<void(std::string_view, std::string_view)>& each) {
  MDB_txn* txn = nullptr;
  if (const int error = mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn)) return error_text(error);
  std::unique_ptr<MDB_txn, void (*)(MDB_txn*)> open(txn, mdb_txn_abort);
  MDB_dbi dbi = 0;
  if (const int error = mdb_dbi_open(txn, nullptr, 0, &dbi)) return error_text(error);
  MDB_cursor* raw = nullptr;
  if (const int error = mdb_cursor_open(txn, dbi, &raw)) return error_text(error);
  std::unique_ptr<MDB_cursor, void (*)(MDB_cursor*)> cursor(raw, mdb_cursor_close);
  MDB_val key{}, value{};
  int error = 0;
  while ((error = mdb_cursor_get(raw, &key, &value, MDB_NEXT)) == 0) {
    Reader r(view(value));
    const std::string_view full_key = r.take(r.u32());
    const std::string_view content = r.rest();
    if (!r.ok() || stored_key(full_key) != view(key)) return "an entry does not fit its key";
    each(full_key, content);
  }
  return error == MDB_NOTFOUND ? std::string() : error_text(error);
}

// Checks the version file, which also tells a new store from one whose data file was lost.
std::string check_version(const LmdbOptions& options, bool create) {
  const std::string& directory = options.directory;
  const std::string prefix = "laureltide-" + options.what + " ";
  const std::string file = directory + "/version";
  std::ifstream in(file);
  if (!in) {
    std::error_code error;
    if (!create || fs::exists(directory + "/data.mdb", error))
      return "no readable file 'version' in " + directory;
    const int fd = ::open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0640);
    const std::string text = prefix + std::to_string(kStoreVersion) + "\n";
    const bool version_written = fd >= 0 &&
                                 ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
                                 ::fsync(fd) == 0;
    const std::string why = version_written ? "" : directory + " cannot be written: " + std::strerror(errno);
    if (fd >= 0) ::close(fd);
    return why;
  }
  std::string line;
  std::getline(in, line);
  int version = 0;
  if (line.starts_with(prefix)) version = std::atoi(line.c_str() + prefix.size());
  if (version < 1) return "the file 'version' of " + directory + " is damaged";
  if (version > kStoreVersion)
    return "the " + options.what + " in " + directory + " is of version " + std::to_string(version) +
           ", newer than this program's " + std::to_string(kStoreVersion) +
           "; start the newer program, or set the directory aside";
  struct stat data {};
  if (::stat((directory + "/data.mdb").c_str(), &data) == 0 && data.st_size == 0)
    return "data.mdb is empty, though a " + options.what + " was made here";
  return {};
}

std::string scan_in_process(const LmdbOptions& options, unsigned flags,
                            const std::function<void(std::string_view, std::string_view)>& each) {
  Env env;
  if (const std::string why = open_env(env, options.directory, flags, 0); !why.empty()) return why;
  std::string bad;
  const std::string why = for_each_entry(env.get(), [&](std::string_view key, std::string_view value) {
    if (!key.empty() && key[0] != '\x01' && bad.empty() && options.check) bad = options.check(key, value);
    each(key, value);
  });
  return why.empty() ? bad : why;
}

// Scans in a child process, because reading a damaged page may crash the process.
std::string scan_in_child_process(const LmdbOptions& options) {
  int pipes[2];
  if (pipe(pipes) != 0) return "no pipe";
  const pid_t child = fork();
  if (child < 0) return "no process to check the file with";
  if (child == 0) {
    const int null = open("/dev/null", O_WRONLY);
    dup2(null, STDERR_FILENO);
    const std::string why =
        scan_in_process(options, MDB_RDONLY | MDB_NOLOCK, [](std::string_view, std::string_view) {});
    const ssize_t ignored = write(pipes[1], why.data(), why.size());
    _exit(ignored >= 0 && why.empty() ? 0 : 1);
  }
  close(pipes[1]);
  std::string why;
  char bytes[512];
  for (ssize_t n; (n = read(pipes[0], bytes, sizeof bytes)) > 0;)
    why.append(bytes, static_cast<std::size_t>(n));
  close(pipes[0]);
  int status = 0;
  while (waitpid(child, &status, 0) < 0 && errno == EINTR) {
  }
  if (WIFEXITED(status) && WEXITSTATUS(status) == 0) return {};
  return why.empty() ? "data.mdb is damaged: reading it crashes" : why;
}

class LmdbStore : public Store {
 public:
  using Post = std::function<void(std::function<void()>)>;
  LmdbStore(LmdbOptions options, Env env, MDB_dbi dbi, int lock, Post post)
      : options_(std::move(options)),
        env_(std::move(env)),
        dbi_(dbi),
        owner_file_(lock),
        post_(std::move(post)) {
    thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
  }
  ~LmdbStore() override {
    *alive_ = false;
    thread_.request_stop();
    wakeup_.notify_all();
    thread_.join();  // writes the pending batches first, if the disk allows
    env_.reset();
    ::close(owner_file_);
  }
  void serve(StoreEvents* events) override { events_ = events; }
  void put(std::string_view key, std::string_view value) override { append_operation(kPut, key, value); }
  void erase(std::string_view key) override { append_operation(kErase, key, {}); }
  void commit() override {
    const std::lock_guard lock(mutex_);
    const std::size_t commits_in_batch = ++pending_batches_.back().commits;
    if (options_.sync == LmdbOptions::Sync::kEach) pending_batches_.emplace_back();
    if (commits_in_batch == 1 || commits_in_batch == kFullBatchCommits) wakeup_.notify_one();
  }
  std::size_t entries() const override {
    MDB_stat stat{};
    mdb_env_stat(env_.get(), &stat);
    return stat.ms_entries;
  }
  void load(const std::function<void(std::string_view, std::string_view)>& each) override {
    for_each_entry(env_.get(), each);
  }

 private:
  static constexpr char kPut = 'p', kErase = 'e';
  // The operations since the last sync in one buffer. Each is an operation code, the length of the rest, the
  // length of the key, the key, and for a put the record; the part after the first length is stored as the
  // entry's value. One buffer avoids allocations that one thread makes and another frees.
  struct Batch {
    std::string operations;
    std::size_t commits = 0;
    bool empty() const { return operations.empty() && commits == 0; }
  };

  void append_operation(char what, std::string_view key, std::string_view value) {
    const std::lock_guard lock(mutex_);
    Batch& batch = pending_batches_.back();
    const bool first = batch.empty();
    Writer w(batch.operations);
    w.u8(static_cast<std::uint8_t>(what));
    w.u32(static_cast<std::uint32_t>(4 + key.size() + value.size()));
    w.u32(static_cast<std::uint32_t>(key.size()));
    w.bytes(key), w.bytes(value);
    if (first) wakeup_.notify_one();  // later operations needn't wake the thread; commit() does
  }

  void run(const std::stop_token& stop) {
    std::unique_lock lock(mutex_);
    while (true) {
      wakeup_.wait(lock, stop, [this] { return !pending_batches_.front().empty(); });
      if (pending_batches_.front().empty()) return;  // a stop was requested, and nothing is left to write
      // Operations that no commit waits for are delayed to be written with those of a commit: most are
      // replaced by a later operation on the same key in the meantime.
      wakeup_.wait_for(lock, stop, kUnawaitedWriteDelay,
                       [this] { return pending_batches_.front().commits > 0; });
      if (options_.gather > Duration(0) && pending_batches_.front().commits < kFullBatchCommits &&
          !stop.stop_requested())
        wakeup_.wait_for(lock, stop, options_.gather,
                         [this] { return pending_batches_.front().commits >= kFullBatchCommits; });
      Batch batch = std::move(pending_batches_.front());
      pending_batches_.pop_front();
      if (pending_batches_.empty())
        pending_batches_.emplace_back().operations = std::move(spare_buffer_);  // reuses its allocation
      lock.unlock();
      const bool written = write_until_durable(batch, stop);
      lock.lock();
      batch.operations.clear();
      spare_buffer_ = std::move(batch.operations);
      if (!written) return;
    }
  }

  // Retries until the batch is on disk; returns false after a permanent failure or a stop.
  bool write_until_durable(Batch& batch, const std::stop_token& stop) {
    bool failure_reported = false;
    while (const int error = write(batch)) {
      const bool permanent = error != MDB_MAP_FULL && error != ENOSPC && error != EDQUOT;
      if (!std::exchange(failure_reported, true))
        post_event(
            [why = error_text(error), permanent](StoreEvents& e) { e.on_write_failed(why, permanent); });
      if (permanent || stop.stop_requested()) return false;
      std::unique_lock lock(mutex_);
      wakeup_.wait_for(lock, stop, kWriteRetryDelay, [] { return false; });
      // Include operations that arrived in the meantime: an erasure may free the space needed.
      for (const Batch& later_batch : pending_batches_)
        batch.operations += later_batch.operations, batch.commits += later_batch.commits;
      pending_batches_.clear();
      pending_batches_.emplace_back();
    }
    if (failure_reported) post_event([](StoreEvents& e) { e.on_write_recovered(); });
    if (batch.commits > 0) post_event([n = batch.commits](StoreEvents& e) { e.on_durable(n); });
    return true;
  }

  int write(const Batch& batch) {
    // Only the last operation on each key is written.
    last_operations_.clear();
    for (std::size_t at = 0; at < batch.operations.size();) {
      Reader r(std::string_view(batch.operations).substr(at));
      r.u8();
      const std::string_view entry = r.take(r.u32());
      Reader e(entry);
      last_operations_[e.take(e.u32())] = at;
      at += 5 + entry.size();
    }
    MDB_txn* txn = nullptr;
    if (const int error = mdb_txn_begin(env_.get(), nullptr, 0, &txn)) return error;
    for (const auto& [key, at] : last_operations_) {
      Reader r(std::string_view(batch.operations).substr(at));
      const char what = static_cast<char>(r.u8());
      MDB_val value = val(r.take(r.u32()));
      const std::string stored = stored_key(key);
      MDB_val key_value = val(stored);
      int error =
          what == kPut ? mdb_put(txn, dbi_, &key_value, &value, 0) : mdb_del(txn, dbi_, &key_value, nullptr);
      if (what == kErase && error == MDB_NOTFOUND) error = 0;
      if (error) {
        mdb_txn_abort(txn);
        return error;
      }
    }
    return mdb_txn_commit(txn);  // syncs to disk
  }

  void post_event(std::function<void(StoreEvents&)> what) {
    post_([this, what = std::move(what), alive = alive_] {
      if (*alive && events_) what(*events_);
    });
  }

  LmdbOptions options_;
  Env env_;
  MDB_dbi dbi_;
  int owner_file_;
  Post post_;
  StoreEvents* events_ = nullptr;  // used on the event loop's thread only
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::mutex mutex_;
  std::condition_variable_any wakeup_;
  std::deque<Batch> pending_batches_{1};  // never empty; has several only if each commit is synced
  std::string spare_buffer_;
  // Used on the writer's thread only: the offset of the last operation on each key in a batch, by key.
  std::map<std::string_view, std::size_t> last_operations_;
  std::jthread thread_;
};

}  // namespace

OpenResult open_lmdb(const LmdbOptions& options, std::function<void(std::function<void()>)> post) {
  std::error_code error;
  fs::create_directories(options.directory, error);
  if (error) return {nullptr, options.directory + " cannot be made: " + error.message()};
  // Only one process may write: each of two gateways would treat the other's calls as its own calls from
  // before a crash.
  const int lock = ::open((options.directory + "/owner").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
  if (lock < 0) return {nullptr, options.directory + " cannot be written: " + std::strerror(errno)};
  auto fail = [&](const std::string& why) {
    ::close(lock);
    return OpenResult{nullptr, why};
  };
  if (flock(lock, LOCK_EX | LOCK_NB) != 0)
    return fail("the " + options.what + " in " + options.directory + " is in use by another process");
  if (const std::string why = check_version(options, true); !why.empty()) return fail(why);
  if (fs::exists(options.directory + "/data.mdb", error))
    if (const std::string why = scan_in_child_process(options); !why.empty())
      return fail("the " + options.what + " in " + options.directory + " cannot be used: " + why +
                  "; set the directory aside, and see the page on the " + options.what +
                  " for what that means");
  Env env;
  // Read-ahead would only fill the page cache with pages that are not read again.
  unsigned flags = MDB_NORDAHEAD | MDB_NOTLS;
  if (options.sync == LmdbOptions::Sync::kNone) flags |= MDB_NOSYNC;
  if (const std::string why = open_env(env, options.directory, flags, options.most_mb << 20); !why.empty())
    return fail("the " + options.what + " in " + options.directory + " cannot be opened: " + why);
  MDB_txn* txn = nullptr;
  MDB_dbi dbi = 0;
  int bad = mdb_txn_begin(env.get(), nullptr, 0, &txn);
  if (!bad) {
    bad = mdb_dbi_open(txn, nullptr, 0, &dbi);
    const int committed = mdb_txn_commit(txn);
    if (!bad) bad = committed;
  }
  if (bad)
    return fail("the " + options.what + " in " + options.directory +
                " cannot be written: " + error_text(bad));
  return {std::make_unique<LmdbStore>(options, std::move(env), dbi, lock, std::move(post)), {}};
}

ScanResult scan(const LmdbOptions& options,
                const std::function<void(std::string_view, std::string_view)>& each) {
  ScanResult result;
  result.why = check_version(options, false);
  if (!result.why.empty()) return result;
  result.why = scan_in_child_process(options);
  if (!result.why.empty()) return result;
  std::error_code error;
  result.file_bytes = fs::file_size(options.directory + "/data.mdb", error);
  result.why = scan_in_process(options, MDB_RDONLY, [&](std::string_view key, std::string_view value) {
    if (key.empty() || key[0] == '\x01') return;
    ++result.records, result.bytes += key.size() + value.size();
    each(key, value);
  });
  return result;
}

std::string copy_compacted(const LmdbOptions& options, const std::string& to) {
  const std::string& from = options.directory;
  if (const std::string why = check_version(options, false); !why.empty()) return why;
  std::error_code error;
  if (fs::exists(to + "/data.mdb", error)) return to + " holds one already";
  fs::create_directories(to, error);
  if (error) return to + " cannot be made: " + error.message();
  Env env;
  if (std::string why = open_env(env, from, MDB_RDONLY, 0); !why.empty()) return why;
  if (const int bad = mdb_env_copy2(env.get(), to.c_str(), MDB_CP_COMPACT)) return error_text(bad);
  fs::copy_file(from + "/version", to + "/version", error);
  return error ? error.message() : std::string();
}

}  // namespace laureltide::store
