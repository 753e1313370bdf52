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

constexpr std::size_t kLongestKey = 500;  // LMDB takes 511
constexpr Duration kTryAgain = std::chrono::seconds(1);
constexpr Duration kUnawaited = std::chrono::milliseconds(20);  // delay of writes that no commit waits for
constexpr std::size_t kCompany = 32;  // commits that are written without waiting for more

// Long names keep their beginning, for order, and a digest of the whole.
std::string stored_key(std::string_view key) {
  if (key.size() <= kLongestKey) return std::string(key);
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest);
  std::string out(key.substr(0, kLongestKey - sizeof digest));
  return out.append(reinterpret_cast<const char*>(digest), sizeof digest);
}
MDB_val val(std::string_view text) { return {text.size(), const_cast<char*>(text.data())}; }
std::string_view view(const MDB_val& v) { return {static_cast<const char*>(v.mv_data), v.mv_size}; }

struct EnvClosed {
  void operator()(MDB_env* env) const { mdb_env_close(env); }
};
using Env = std::unique_ptr<MDB_env, EnvClosed>;

std::string text_of(int error) { return mdb_strerror(error); }

std::string open_env(Env& env, const std::string& directory, unsigned flags, std::size_t map_bytes) {
  MDB_env* raw = nullptr;
  if (const int error = mdb_env_create(&raw)) return text_of(error);
  env.reset(raw);
  if (map_bytes > 0) mdb_env_set_mapsize(raw, map_bytes);
  if (const int error = mdb_env_open(raw, directory.c_str(), flags, 0640)) return text_of(error);
  // Reading a truncated file would raise SIGBUS, so every page in use must be present.
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

std::string each_of(MDB_env* env, const std::function<void(std::string_view, std::string_view)>& each) {
  MDB_txn* txn = nullptr;
  if (const int error = mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn)) return text_of(error);
  std::unique_ptr<MDB_txn, void (*)(MDB_txn*)> open(txn, mdb_txn_abort);
  MDB_dbi dbi = 0;
  if (const int error = mdb_dbi_open(txn, nullptr, 0, &dbi)) return text_of(error);
  MDB_cursor* raw = nullptr;
  if (const int error = mdb_cursor_open(txn, dbi, &raw)) return text_of(error);
  std::unique_ptr<MDB_cursor, void (*)(MDB_cursor*)> cursor(raw, mdb_cursor_close);
  MDB_val key{}, value{};
  int error = 0;
  while ((error = mdb_cursor_get(raw, &key, &value, MDB_NEXT)) == 0) {
    Reader r(view(value));
    const std::string_view whole = r.take(r.u32());
    const std::string_view content = r.rest();
    if (!r.ok() || stored_key(whole) != view(key)) return "an entry does not fit its key";
    each(whole, content);
  }
  return error == MDB_NOTFOUND ? std::string() : text_of(error);
}

// The version file tells an empty ledger from one that was lost.
std::string check_version(const LmdbOptions& options, bool create) {
  const std::string& directory = options.directory;
  const std::string head = "laureltide-" + options.what + " ";
  const std::string file = directory + "/version";
  std::ifstream in(file);
  if (!in) {
    std::error_code error;
    if (!create || fs::exists(directory + "/data.mdb", error))
      return "no readable file 'version' in " + directory;
    const int fd = ::open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0640);
    const std::string text = head + std::to_string(kStoreVersion) + "\n";
    const bool well = fd >= 0 && ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
                      ::fsync(fd) == 0;
    const std::string why = well ? "" : directory + " cannot be written: " + std::strerror(errno);
    if (fd >= 0) ::close(fd);
    return why;
  }
  std::string line;
  std::getline(in, line);
  int version = 0;
  if (line.starts_with(head)) version = std::atoi(line.c_str() + head.size());
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

std::string walk_here(const LmdbOptions& options, unsigned flags,
                      const std::function<void(std::string_view, std::string_view)>& each) {
  Env env;
  if (const std::string why = open_env(env, options.directory, flags, 0); !why.empty()) return why;
  std::string bad;
  const std::string why = each_of(env.get(), [&](std::string_view key, std::string_view value) {
    if (!key.empty() && key[0] != '\x01' && bad.empty() && options.check) bad = options.check(key, value);
    each(key, value);
  });
  return why.empty() ? bad : why;
}

// Scans in a child process, because reading a damaged page may crash the reader.
std::string walk_in_child(const LmdbOptions& options) {
  int pipes[2];
  if (pipe(pipes) != 0) return "no pipe";
  const pid_t child = fork();
  if (child < 0) return "no process to check the file with";
  if (child == 0) {
    const int null = open("/dev/null", O_WRONLY);
    dup2(null, STDERR_FILENO);
    const std::string why =
        walk_here(options, MDB_RDONLY | MDB_NOLOCK, [](std::string_view, std::string_view) {});
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
      : options_(std::move(options)), env_(std::move(env)), dbi_(dbi), lock_(lock), post_(std::move(post)) {
    thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
  }
  ~LmdbStore() override {
    *alive_ = false;
    thread_.request_stop();
    woken_.notify_all();
    thread_.join();  // what was given is written, if it can be
    env_.reset();
    ::close(lock_);
  }
  void serve(StoreEvents* events) override { events_ = events; }
  void put(std::string_view key, std::string_view value) override { give(kPut, key, value); }
  void erase(std::string_view key) override { give(kErase, key, {}); }
  void commit() override {
    const std::lock_guard lock(mutex_);
    const std::size_t waiting = ++given_.back().commits;
    if (options_.sync == LmdbOptions::Sync::kEach) given_.emplace_back();
    if (waiting == 1 || waiting == kCompany) woken_.notify_one();
  }
  std::size_t entries() const override {
    MDB_stat stat{};
    mdb_env_stat(env_.get(), &stat);
    return stat.ms_entries;
  }
  void load(const std::function<void(std::string_view, std::string_view)>& each) override {
    each_of(env_.get(), each);
  }

 private:
  static constexpr char kPut = 'p', kErase = 'e';
  // What was given since the last sync, as one run of bytes: an operation, the length of what follows, and
  // for a put the entry's value as it is stored: the length of its key, the key, the record. Nothing in it is
  // allocated on one thread and freed on another.
  struct Batch {
    std::string words;
    std::size_t commits = 0;
    bool empty() const { return words.empty() && commits == 0; }
  };

  void give(char what, std::string_view key, std::string_view value) {
    const std::lock_guard lock(mutex_);
    Batch& batch = given_.back();
    const bool first = batch.empty();
    Writer w(batch.words);
    w.u8(static_cast<std::uint8_t>(what));
    w.u32(static_cast<std::uint32_t>(4 + key.size() + value.size()));
    w.u32(static_cast<std::uint32_t>(key.size()));
    w.bytes(key), w.bytes(value);
    if (first) woken_.notify_one();  // a commit wakes the thread for the rest
  }

  void run(const std::stop_token& stop) {
    std::unique_lock lock(mutex_);
    while (true) {
      woken_.wait(lock, stop, [this] { return !given_.front().empty(); });
      if (given_.front().empty()) return;  // asked to stop, and nothing is left
      // What nobody waits for goes with what somebody does: most of it is overtaken by a later word
      // meanwhile.
      woken_.wait_for(lock, stop, kUnawaited, [this] { return given_.front().commits > 0; });
      if (options_.gather > Duration(0) && given_.front().commits < kCompany && !stop.stop_requested())
        woken_.wait_for(lock, stop, options_.gather, [this] { return given_.front().commits >= kCompany; });
      Batch batch = std::move(given_.front());
      given_.pop_front();
      if (given_.empty()) given_.emplace_back().words = std::move(spare_);  // its room is used again
      lock.unlock();
      const bool written = keep_at(batch, stop);
      lock.lock();
      batch.words.clear();
      spare_ = std::move(batch.words);
      if (!written) return;
    }
  }

  // Retries until the batch is on disk; returns false after a permanent failure or a stop.
  bool keep_at(Batch& batch, const std::stop_token& stop) {
    bool troubled = false;
    while (const int error = write(batch)) {
      const bool permanent = error != MDB_MAP_FULL && error != ENOSPC && error != EDQUOT;
      if (!std::exchange(troubled, true))
        tell([why = text_of(error), permanent](StoreEvents& e) { e.on_write_failed(why, permanent); });
      if (permanent || stop.stop_requested()) return false;
      std::unique_lock lock(mutex_);
      woken_.wait_for(lock, stop, kTryAgain, [] { return false; });
      // Include operations that arrived in the meantime: an erasure may free the space needed.
      for (const Batch& more : given_) batch.words += more.words, batch.commits += more.commits;
      given_.clear();
      given_.emplace_back();
    }
    if (troubled) tell([](StoreEvents& e) { e.on_write_recovered(); });
    if (batch.commits > 0) tell([n = batch.commits](StoreEvents& e) { e.on_durable(n); });
    return true;
  }

  int write(const Batch& batch) {
    // Only the last operation on each key is written.
    last_.clear();
    for (std::size_t at = 0; at < batch.words.size();) {
      Reader r(std::string_view(batch.words).substr(at));
      r.u8();
      const std::string_view entry = r.take(r.u32());
      Reader e(entry);
      last_[e.take(e.u32())] = at;
      at += 5 + entry.size();
    }
    MDB_txn* txn = nullptr;
    if (const int error = mdb_txn_begin(env_.get(), nullptr, 0, &txn)) return error;
    for (const auto& [key, at] : last_) {
      Reader r(std::string_view(batch.words).substr(at));
      const char what = static_cast<char>(r.u8());
      MDB_val value = val(r.take(r.u32()));
      const std::string stored = stored_key(key);
      MDB_val mk = val(stored);
      int error = what == kPut ? mdb_put(txn, dbi_, &mk, &value, 0) : mdb_del(txn, dbi_, &mk, nullptr);
      if (what == kErase && error == MDB_NOTFOUND) error = 0;
      if (error) {
        mdb_txn_abort(txn);
        return error;
      }
    }
    return mdb_txn_commit(txn);  // the sync
  }

  void tell(std::function<void(StoreEvents&)> what) {
    post_([this, what = std::move(what), alive = alive_] {
      if (*alive && events_) what(*events_);
    });
  }

  LmdbOptions options_;
  Env env_;
  MDB_dbi dbi_;
  int lock_;
  Post post_;
  StoreEvents* events_ = nullptr;  // the loop's thread only
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::mutex mutex_;
  std::condition_variable_any woken_;
  std::deque<Batch> given_{1};  // never empty; more than one only with a sync for each commit
  std::string spare_;
  std::map<std::string_view, std::size_t>
      last_;  // the writer's: where in a batch the last word on a key is, in order
  std::jthread thread_;
};

}  // namespace

OpenResult open_lmdb(const LmdbOptions& options, std::function<void(std::function<void()>)> post) {
  std::error_code error;
  fs::create_directories(options.directory, error);
  if (error) return {nullptr, options.directory + " cannot be made: " + error.message()};
  // One writer: each of two gateways would take the other's calls for its own from before a crash.
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
    if (const std::string why = walk_in_child(options); !why.empty())
      return fail("the " + options.what + " in " + options.directory + " cannot be used: " + why +
                  "; set the directory aside, and see the page on the " + options.what +
                  " for what that means");
  Env env;
  // Read-ahead would only fill the cache with pages that are never looked at again.
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
    return fail("the " + options.what + " in " + options.directory + " cannot be written: " + text_of(bad));
  return {std::make_unique<LmdbStore>(options, std::move(env), dbi, lock, std::move(post)), {}};
}

ScanResult scan(const LmdbOptions& options,
                const std::function<void(std::string_view, std::string_view)>& each) {
  ScanResult walked;
  walked.why = check_version(options, false);
  if (!walked.why.empty()) return walked;
  walked.why = walk_in_child(options);
  if (!walked.why.empty()) return walked;
  std::error_code error;
  walked.file_bytes = fs::file_size(options.directory + "/data.mdb", error);
  walked.why = walk_here(options, MDB_RDONLY, [&](std::string_view key, std::string_view value) {
    if (key.empty() || key[0] == '\x01') return;
    ++walked.records, walked.bytes += key.size() + value.size();
    each(key, value);
  });
  return walked;
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
  if (const int bad = mdb_env_copy2(env.get(), to.c_str(), MDB_CP_COMPACT)) return text_of(bad);
  fs::copy_file(from + "/version", to + "/version", error);
  return error ? error.message() : std::string();
}

}  // namespace laureltide::store
