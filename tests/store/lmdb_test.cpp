// Tests of the LMDB store on a real disk: commits that were reported durable survive a kill, and damage is
// reported when the store is opened.
#include "store/lmdb.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <condition_variable>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>

#include "ledger/record.h"

namespace laureltide::store {
namespace {

using namespace ledger;  // the stored values are the ledger's records

namespace fs = std::filesystem;
using namespace std::chrono_literals;

LmdbOptions options_in(const std::string& directory, std::size_t most_mb = 64) {
  LmdbOptions o;
  o.directory = directory, o.most_mb = most_mb, o.check = check_entry;
  return o;
}

// Runs the functions that the store's thread posts on the test's thread.
struct EventQueue {
  std::mutex mutex;
  std::condition_variable posted;
  std::vector<std::function<void()>> pending;
  std::function<void(std::function<void()>)> post() {
    return [this](std::function<void()> what) {
      const std::lock_guard lock(mutex);
      pending.push_back(std::move(what));
      posted.notify_all();
    };
  }
  bool run_until(const std::function<bool()>& done) {
    const auto until = std::chrono::steady_clock::now() + 30s;
    while (!done()) {
      std::unique_lock lock(mutex);
      if (!posted.wait_until(lock, until, [this] { return !pending.empty(); })) return false;
      const auto now = std::exchange(pending, {});
      lock.unlock();
      for (const auto& what : now) what();
    }
    return true;
  }
};

struct LmdbStoreTest : testing::Test, StoreEvents {
  std::string dir;
  EventQueue events;
  std::vector<std::string> write_errors;
  int recoveries = 0;
  LmdbStoreTest() {
    std::string pattern = (fs::temp_directory_path() / "laureltide-ledger-XXXXXX").string();
    dir = mkdtemp(pattern.data());
  }
  ~LmdbStoreTest() override { fs::remove_all(dir); }
  void on_write_failed(const std::string& why, bool) override { write_errors.push_back(why); }
  void on_write_recovered() override { ++recoveries; }
  void on_durable(std::size_t commits) override { durable += commits; }
  std::size_t durable = 0;
  // Commits all earlier operations and waits until they are durable.
  void commit_and_wait(Store& store) {
    const std::size_t wanted = durable + 1;
    store.commit();
    ASSERT_TRUE(events.run_until([&] { return durable >= wanted; }));
  }

  OpenResult open(std::size_t most_mb = 64) {
    OpenResult opened = open_lmdb(options_in(dir + "/l", most_mb), events.post());
    if (opened.store) opened.store->serve(this);
    return opened;
  }
  static std::string value(const std::string& body = "body") {
    Record r;
    r.function = "gate", r.body = body, r.owed = true;
    return write_record(r);
  }
  static std::map<std::string, std::string> all_entries(Store& store) {
    std::map<std::string, std::string> found;
    store.load([&](std::string_view k, std::string_view v) { found.emplace(k, v); });
    return found;
  }
  void fill(int records = 500) {
    OpenResult o = open();
    ASSERT_TRUE(o.store) << o.why;
    for (int i = 0; i < records; ++i)
      o.store->put(key_of("f", std::to_string(i)), value(std::string(100, 'x')));
    commit_and_wait(*o.store);
  }
  std::string data_file() const { return dir + "/l/data.mdb"; }
};

TEST_F(LmdbStoreTest, KeepsLastOperationOnEachKey) {
  {
    OpenResult o = open();
    ASSERT_TRUE(o.store) << o.why;
    o.store->put("a", value("1")), o.store->put("a", value("2")), o.store->put("b", value());
    o.store->erase("b"), o.store->erase("never there");
    commit_and_wait(*o.store);
  }
  OpenResult o = open();
  ASSERT_TRUE(o.store) << o.why;
  EXPECT_EQ(all_entries(*o.store), (std::map<std::string, std::string>{{"a", value("2")}}));
}

TEST_F(LmdbStoreTest, ReportsEveryCommit) {
  OpenResult o = open();
  for (int i = 0; i < 200; ++i) {
    o.store->put("k" + std::to_string(i), value());
    o.store->commit();
  }
  ASSERT_TRUE(events.run_until([&] { return durable == 200; }));
  EXPECT_EQ(all_entries(*o.store).size(), 200U);
}

TEST_F(LmdbStoreTest, KeepsLongKeysApart) {
  const std::string one = key_of("f", std::string(600, 'n') + "1"),
                    two = key_of("f", std::string(600, 'n') + "2");
  {
    OpenResult o = open();
    o.store->put(one, value("1")), o.store->put(two, value("2"));
    commit_and_wait(*o.store);
  }
  OpenResult o = open();
  const auto found = all_entries(*o.store);
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(found.at(one), value("1"));
}

// Kills a writing child process repeatedly; all commits that it reported as durable must be there.
TEST_F(LmdbStoreTest, ReportedCommitsSurviveKill) {
  for (int round = 0; round < 8; ++round) {
    int pipes[2];
    ASSERT_EQ(pipe(pipes), 0);
    const pid_t child = fork();
    if (child == 0) {
      EventQueue child_events;
      OpenResult opened = open_lmdb(options_in(dir + "/l"), child_events.post());
      if (!opened.store) _exit(1);
      struct ChildEvents : StoreEvents {
        int last = -1, pipe = -1;
        void on_write_failed(const std::string&, bool) override {}
        void on_write_recovered() override {}
        void on_durable(std::size_t commits) override {
          for (; commits > 0; --commits) {
            ++last;
            const ssize_t ignored = write(pipe, &last, sizeof last);
            static_cast<void>(ignored);
          }
        }
      } listener;
      listener.pipe = pipes[1];
      opened.store->serve(&listener);
      for (int i = 0; i < 100'000; ++i) {
        opened.store->put(key_of("r" + std::to_string(round), std::to_string(i)), value());
        opened.store->commit();
        if (i % 50 == 0) child_events.run_until([&] { return listener.last >= i; });
      }
      _exit(0);
    }
    close(pipes[1]);
    int last = -1, received = 0;
    while (last < 20 + 37 * round && read(pipes[0], &received, sizeof received) == sizeof received)
      last = received;
    kill(child, SIGKILL);
    while (read(pipes[0], &received, sizeof received) == sizeof received)
      last = received;  // reported before the kill
    close(pipes[0]);
    int status = 0;
    ASSERT_EQ(waitpid(child, &status, 0), child);
    ASSERT_TRUE(WIFSIGNALED(status));
    OpenResult o = open();
    ASSERT_TRUE(o.store) << o.why;
    const auto found = all_entries(*o.store);
    for (int i = 0; i <= last; ++i)
      ASSERT_TRUE(found.contains(key_of("r" + std::to_string(round), std::to_string(i))))
          << round << " " << i;
  }
}

TEST_F(LmdbStoreTest, RefusesSecondWriter) {
  OpenResult first = open();
  ASSERT_TRUE(first.store);
  OpenResult second = open();
  EXPECT_FALSE(second.store);
  EXPECT_NE(second.why.find("in use by another process"), std::string::npos) << second.why;
}

TEST_F(LmdbStoreTest, RefusesNewerVersionAndLeavesItUnchanged) {
  fill();
  const auto size = fs::file_size(data_file());
  std::ofstream(dir + "/l/version") << "laureltide-ledger 2\n";
  OpenResult o = open();
  EXPECT_FALSE(o.store);
  EXPECT_NE(o.why.find("version 2, newer than this program's 1"), std::string::npos) << o.why;
  EXPECT_EQ(fs::file_size(data_file()), size);
}

TEST_F(LmdbStoreTest, ReportsLostDataFileInsteadOfStartingEmpty) {
  fill();
  fs::resize_file(data_file(), 0);
  EXPECT_NE(open().why.find("empty, though a ledger was made here"), std::string::npos);
  fs::remove(dir + "/l/version");
  EXPECT_NE(open().why.find("no readable file 'version'"), std::string::npos);
}

TEST_F(LmdbStoreTest, ReportsTruncatedFileWithoutCrashing) {
  fill();
  const auto size = fs::file_size(data_file());
  for (const double part : {0.9, 0.5, 0.1}) {
    fs::resize_file(data_file(), static_cast<std::uintmax_t>(static_cast<double>(size) * part) / 4096 * 4096);
    const OpenResult o = open();
    EXPECT_FALSE(o.store) << part;
    EXPECT_NE(o.why.find("cut off"), std::string::npos) << o.why;
    EXPECT_FALSE(scan(options_in(dir + "/l"), [](auto, auto) {}).why.empty());
  }
}

// Overwrites each page with noise. The scan in a child process or a record's checksum must detect it.
TEST_F(LmdbStoreTest, ReportsDamagedPages) {
  fill();
  std::string contents;
  {
    std::ifstream in(data_file(), std::ios::binary);
    contents.assign(std::istreambuf_iterator<char>(in), {});
  }
  std::size_t detected = 0, pages = 0;
  for (std::size_t at = 2 * 4096; at + 4096 <= contents.size(); at += 4096) {
    std::string damaged = contents;
    for (std::size_t i = 0; i < 4096; ++i) damaged[at + i] = static_cast<char>(i * 37 + at / 4096);
    std::ofstream(data_file(), std::ios::binary | std::ios::trunc) << damaged;
    const OpenResult o = open();
    ++pages;
    detected += !o.store;
  }
  std::ofstream(data_file(), std::ios::binary | std::ios::trunc) << contents;
  EXPECT_TRUE(open().store);
  // Damage to pages that no record uses is not detected; most pages are in use.
  EXPECT_GE(detected, pages / 2) << pages;
}

// The last commit was torn: its meta page is damaged, and the previous commit is used.
TEST_F(LmdbStoreTest, FallsBackToPreviousCommitAfterTornOne) {
  fill();
  {
    OpenResult o = open();
    o.store->put(key_of("f", "last"), value());
    commit_and_wait(*o.store);
  }
  std::string contents;
  {
    std::ifstream in(data_file(), std::ios::binary);
    contents.assign(std::istreambuf_iterator<char>(in), {});
  }
  int readable = 0;
  for (const std::size_t meta : {std::size_t{0}, std::size_t{4096}}) {
    std::string torn = contents;
    for (std::size_t i = 100; i < 160; ++i)
      torn[meta + i] = 0;  // the meta page's counters, as before the first commit
    std::ofstream(data_file(), std::ios::binary | std::ios::trunc) << torn;
    OpenResult o = open();
    if (!o.store) continue;
    const auto found = all_entries(*o.store);
    readable += found.size() >= 500;
  }
  EXPECT_GE(readable, 1);
}

TEST_F(LmdbStoreTest, RetriesWhenFullUntilSpaceIsFreed) {
  OpenResult o = open(1);
  ASSERT_TRUE(o.store) << o.why;
  for (int i = 0; i < 40; ++i) o.store->put("big" + std::to_string(i), value(std::string(100'000, 'x')));
  o.store->commit();
  ASSERT_TRUE(events.run_until([&] { return !write_errors.empty(); }));
  EXPECT_EQ(durable, 0U);
  EXPECT_NE(write_errors[0].find("MDB_MAP_FULL"), std::string::npos) << write_errors[0];
  // Erasures free space in the meantime, and the commit is reported after that.
  for (int i = 1; i < 40; ++i) o.store->erase("big" + std::to_string(i));
  ASSERT_TRUE(events.run_until([&] { return durable == 1; }));
  EXPECT_EQ(recoveries, 1);
  EXPECT_EQ(all_entries(*o.store).size(), 1U);
}

TEST_F(LmdbStoreTest, ReportsDirectoryThatCannotBeCreated) {
  std::ofstream(dir + "/l") << "a file stands there";
  const OpenResult o = open();
  EXPECT_FALSE(o.store);
  EXPECT_NE(o.why.find(dir + "/l"), std::string::npos) << o.why;
}

// A write that fails for another reason than lack of space is a permanent failure: no commit is reported as
// durable afterwards.
TEST_F(LmdbStoreTest, ReportsPermanentWriteFailure) {
  fill(10);
  int pipes[2];
  ASSERT_EQ(pipe(pipes), 0);
  const pid_t child = fork();
  if (child == 0) {
    signal(SIGXFSZ, SIG_IGN);
    EventQueue child_events;
    LmdbOptions o;
    o.directory = dir + "/l", o.most_mb = 64;
    OpenResult opened = open_lmdb(o, child_events.post());
    struct ChildEvents : StoreEvents {
      bool permanent_failure = false, recovered = false, durable = false;
      void on_durable(std::size_t) override { durable = true; }
      void on_write_failed(const std::string&, bool permanent) override { permanent_failure = permanent; }
      void on_write_recovered() override { recovered = true; }
    } listener;
    opened.store->serve(&listener);
    const rlimit limit{fs::file_size(data_file()), fs::file_size(data_file())};
    setrlimit(RLIMIT_FSIZE, &limit);
    for (int i = 0; i < 100; ++i) opened.store->put("k" + std::to_string(i), value(std::string(4000, 'x')));
    opened.store->commit();
    child_events.run_until([&] { return listener.permanent_failure || listener.durable; });
    const char reported = listener.permanent_failure && !listener.durable ? 'y' : 'n';
    const ssize_t ignored = write(pipes[1], &reported, 1);
    _exit(ignored == 1 ? 0 : 1);
  }
  close(pipes[1]);
  char reported = '?';
  ASSERT_EQ(read(pipes[0], &reported, 1), 1);
  close(pipes[0]);
  int status = 0;
  waitpid(child, &status, 0);
  EXPECT_EQ(reported, 'y');
  OpenResult o = open();  // earlier records are still there
  ASSERT_TRUE(o.store) << o.why;
  EXPECT_EQ(all_entries(*o.store).size(), 10U);
}

// A directory in which the user may not write.
TEST_F(LmdbStoreTest, ReportsReadOnlyDirectory) {
  fill(10);
  for (const auto& entry : fs::directory_iterator(dir + "/l"))
    fs::permissions(entry.path(), fs::perms::owner_read | fs::perms::others_read);
  fs::permissions(dir + "/l", fs::perms(0555));
  fs::permissions(dir, fs::perms(0755));
  int pipes[2];
  ASSERT_EQ(pipe(pipes), 0);
  const pid_t child = fork();
  if (child == 0) {
    if (geteuid() == 0 && setuid(65534) != 0) _exit(2);
    const std::string why = open().why;
    const ssize_t ignored = write(pipes[1], why.data(), why.size());
    _exit(ignored >= 0 ? 0 : 1);
  }
  close(pipes[1]);
  std::string why(512, '\0');
  const ssize_t n = read(pipes[0], why.data(), why.size());
  close(pipes[0]);
  int status = 0;
  waitpid(child, &status, 0);
  fs::permissions(dir + "/l", fs::perms(0755));
  for (const auto& entry : fs::directory_iterator(dir + "/l")) fs::permissions(entry.path(), fs::perms(0644));
  ASSERT_GT(n, 0);
  EXPECT_NE(why.find("cannot be written: Permission denied"), std::string::npos) << why.c_str();
  EXPECT_TRUE(open().store);
}

TEST_F(LmdbStoreTest, CompactsWhileInUse) {
  fill();
  OpenResult o = open();
  ASSERT_TRUE(o.store);
  EXPECT_EQ(copy_compacted(options_in(dir + "/l"), dir + "/copy"), "");
  std::size_t n = 0;
  const ScanResult w = scan(options_in(dir + "/copy"), [&](auto, auto) { ++n; });
  EXPECT_EQ(w.why, "");
  EXPECT_EQ(n, 500U);
  EXPECT_NE(copy_compacted(options_in(dir + "/l"), dir + "/copy"), "");  // refuses to overwrite another store
}

}  // namespace
}  // namespace laureltide::store
