// The store on a real disk: what is told as kept is there after a kill, and damage is said before it does
// harm.
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

using namespace ledger;  // its records are what is kept here

namespace fs = std::filesystem;
using namespace std::chrono_literals;

LmdbOptions options_in(const std::string& directory, std::size_t most_mb = 64) {
  LmdbOptions o;
  o.directory = directory, o.most_mb = most_mb, o.check = check_entry;
  return o;
}

// Brings what the store's thread says to the test's.
struct Mail {
  std::mutex mutex;
  std::condition_variable came;
  std::vector<std::function<void()>> all;
  std::function<void(std::function<void()>)> post() {
    return [this](std::function<void()> what) {
      const std::lock_guard lock(mutex);
      all.push_back(std::move(what));
      came.notify_all();
    };
  }
  bool run_until(const std::function<bool()>& done) {
    const auto until = std::chrono::steady_clock::now() + 30s;
    while (!done()) {
      std::unique_lock lock(mutex);
      if (!came.wait_until(lock, until, [this] { return !all.empty(); })) return false;
      const auto now = std::exchange(all, {});
      lock.unlock();
      for (const auto& what : now) what();
    }
    return true;
  }
};

struct Lmdb : testing::Test, StoreEvents {
  std::string dir;
  Mail mail;
  std::vector<std::string> troubles;
  int well = 0;
  Lmdb() {
    std::string pattern = (fs::temp_directory_path() / "laureltide-ledger-XXXXXX").string();
    dir = mkdtemp(pattern.data());
  }
  ~Lmdb() override { fs::remove_all(dir); }
  void on_write_failed(const std::string& why, bool) override { troubles.push_back(why); }
  void on_write_recovered() override { ++well; }
  void on_durable(std::size_t commits) override { durable += commits; }
  std::size_t durable = 0;
  // All that was given before is on disk.
  void keep(Store& store) {
    const std::size_t wanted = durable + 1;
    store.commit();
    ASSERT_TRUE(mail.run_until([&] { return durable >= wanted; }));
  }

  OpenResult open(std::size_t most_mb = 64) {
    OpenResult opened = open_lmdb(options_in(dir + "/l", most_mb), mail.post());
    if (opened.store) opened.store->serve(this);
    return opened;
  }
  static std::string value(const std::string& body = "body") {
    Record r;
    r.function = "gate", r.body = body, r.owed = true;
    return write_record(r);
  }
  static std::map<std::string, std::string> all(Store& store) {
    std::map<std::string, std::string> found;
    store.load([&](std::string_view k, std::string_view v) { found.emplace(k, v); });
    return found;
  }
  void fill(int records = 500) {
    OpenResult o = open();
    ASSERT_TRUE(o.store) << o.why;
    for (int i = 0; i < records; ++i)
      o.store->put(key_of("f", std::to_string(i)), value(std::string(100, 'x')));
    keep(*o.store);
  }
  std::string file() const { return dir + "/l/data.mdb"; }
};

TEST_F(Lmdb, KeepsTheLastWordOnEachKey) {
  {
    OpenResult o = open();
    ASSERT_TRUE(o.store) << o.why;
    o.store->put("a", value("1")), o.store->put("a", value("2")), o.store->put("b", value());
    o.store->erase("b"), o.store->erase("never there");
    keep(*o.store);
  }
  OpenResult o = open();
  ASSERT_TRUE(o.store) << o.why;
  EXPECT_EQ(all(*o.store), (std::map<std::string, std::string>{{"a", value("2")}}));
}

TEST_F(Lmdb, EveryCommitIsTold) {
  OpenResult o = open();
  for (int i = 0; i < 200; ++i) {
    o.store->put("k" + std::to_string(i), value());
    o.store->commit();
  }
  ASSERT_TRUE(mail.run_until([&] { return durable == 200; }));
  EXPECT_EQ(all(*o.store).size(), 200U);
}

TEST_F(Lmdb, LongNamesAreKeptWhole) {
  const std::string one = key_of("f", std::string(600, 'n') + "1"),
                    two = key_of("f", std::string(600, 'n') + "2");
  {
    OpenResult o = open();
    o.store->put(one, value("1")), o.store->put(two, value("2"));
    keep(*o.store);
  }
  OpenResult o = open();
  const auto found = all(*o.store);
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(found.at(one), value("1"));
}

// The child is killed outright, over and over; whatever it had told as kept must be there.
TEST_F(Lmdb, WhatWasToldAsKeptSurvivesAKill) {
  for (int round = 0; round < 8; ++round) {
    int pipes[2];
    ASSERT_EQ(pipe(pipes), 0);
    const pid_t child = fork();
    if (child == 0) {
      Mail own;
      OpenResult opened = open_lmdb(options_in(dir + "/l"), own.post());
      if (!opened.store) _exit(1);
      struct Told : StoreEvents {
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
      } told;
      told.pipe = pipes[1];
      opened.store->serve(&told);
      for (int i = 0; i < 100'000; ++i) {
        opened.store->put(key_of("r" + std::to_string(round), std::to_string(i)), value());
        opened.store->commit();
        if (i % 50 == 0) own.run_until([&] { return told.last >= i; });
      }
      _exit(0);
    }
    close(pipes[1]);
    int last = -1, next = 0;
    while (last < 20 + 37 * round && read(pipes[0], &next, sizeof next) == sizeof next) last = next;
    kill(child, SIGKILL);
    while (read(pipes[0], &next, sizeof next) == sizeof next) last = next;  // what it still said in time
    close(pipes[0]);
    int status = 0;
    ASSERT_EQ(waitpid(child, &status, 0), child);
    ASSERT_TRUE(WIFSIGNALED(status));
    OpenResult o = open();
    ASSERT_TRUE(o.store) << o.why;
    const auto found = all(*o.store);
    for (int i = 0; i <= last; ++i)
      ASSERT_TRUE(found.contains(key_of("r" + std::to_string(round), std::to_string(i))))
          << round << " " << i;
  }
}

TEST_F(Lmdb, OneWriterAtATime) {
  OpenResult first = open();
  ASSERT_TRUE(first.store);
  OpenResult second = open();
  EXPECT_FALSE(second.store);
  EXPECT_NE(second.why.find("in use by another process"), std::string::npos) << second.why;
}

TEST_F(Lmdb, ANewerDirectoryIsLeftAlone) {
  fill();
  const auto size = fs::file_size(file());
  std::ofstream(dir + "/l/version") << "laureltide-ledger 2\n";
  OpenResult o = open();
  EXPECT_FALSE(o.store);
  EXPECT_NE(o.why.find("version 2, newer than this program's 1"), std::string::npos) << o.why;
  EXPECT_EQ(fs::file_size(file()), size);
}

TEST_F(Lmdb, ALostFileIsNotTakenForANewLedger) {
  fill();
  fs::resize_file(file(), 0);
  EXPECT_NE(open().why.find("empty, though a ledger was made here"), std::string::npos);
  fs::remove(dir + "/l/version");
  EXPECT_NE(open().why.find("no readable file 'version'"), std::string::npos);
}

TEST_F(Lmdb, ACutFileIsSaidAndDoesNotCrashAnyone) {
  fill();
  const auto size = fs::file_size(file());
  for (const double part : {0.9, 0.5, 0.1}) {
    fs::resize_file(file(), static_cast<std::uintmax_t>(static_cast<double>(size) * part) / 4096 * 4096);
    const OpenResult o = open();
    EXPECT_FALSE(o.store) << part;
    EXPECT_NE(o.why.find("cut off"), std::string::npos) << o.why;
    EXPECT_FALSE(scan(options_in(dir + "/l"), [](auto, auto) {}).why.empty());
  }
}

// Pages of noise where pages of data were: said by a child that reads first, or by a record's own checksum.
TEST_F(Lmdb, DamagedPagesAreSaid) {
  fill();
  std::string whole;
  {
    std::ifstream in(file(), std::ios::binary);
    whole.assign(std::istreambuf_iterator<char>(in), {});
  }
  std::size_t seen = 0, pages = 0;
  for (std::size_t at = 2 * 4096; at + 4096 <= whole.size(); at += 4096) {
    std::string bad = whole;
    for (std::size_t i = 0; i < 4096; ++i) bad[at + i] = static_cast<char>(i * 37 + at / 4096);
    std::ofstream(file(), std::ios::binary | std::ios::trunc) << bad;
    const OpenResult o = open();
    ++pages;
    seen += !o.store;
  }
  std::ofstream(file(), std::ios::binary | std::ios::trunc) << whole;
  EXPECT_TRUE(open().store);
  // Pages that no record uses may hold anything; most are in use.
  EXPECT_GE(seen, pages / 2) << pages;
}

// The last commit was torn: its meta page is noise, and the one before counts.
TEST_F(Lmdb, ATornLastCommitLeavesTheOneBefore) {
  fill();
  {
    OpenResult o = open();
    o.store->put(key_of("f", "last"), value());
    keep(*o.store);
  }
  std::string whole;
  {
    std::ifstream in(file(), std::ios::binary);
    whole.assign(std::istreambuf_iterator<char>(in), {});
  }
  int stood = 0;
  for (const std::size_t meta : {std::size_t{0}, std::size_t{4096}}) {
    std::string torn = whole;
    for (std::size_t i = 100; i < 160; ++i)
      torn[meta + i] = 0;  // counters of the meta page: as before the first commit
    std::ofstream(file(), std::ios::binary | std::ios::trunc) << torn;
    OpenResult o = open();
    if (!o.store) continue;
    const auto found = all(*o.store);
    stood += found.size() >= 500;
  }
  EXPECT_GE(stood, 1);
}

TEST_F(Lmdb, AFullStoreWaitsAndGoesOn) {
  OpenResult o = open(1);
  ASSERT_TRUE(o.store) << o.why;
  for (int i = 0; i < 40; ++i) o.store->put("big" + std::to_string(i), value(std::string(100'000, 'x')));
  o.store->commit();
  ASSERT_TRUE(mail.run_until([&] { return !troubles.empty(); }));
  EXPECT_EQ(durable, 0U);
  EXPECT_NE(troubles[0].find("MDB_MAP_FULL"), std::string::npos) << troubles[0];
  // Room is made by what is erased meanwhile, and the commit is told then.
  for (int i = 1; i < 40; ++i) o.store->erase("big" + std::to_string(i));
  ASSERT_TRUE(mail.run_until([&] { return durable == 1; }));
  EXPECT_EQ(well, 1);
  EXPECT_EQ(all(*o.store).size(), 1U);
}

TEST_F(Lmdb, ADirectoryThatCannotBeWrittenIsSaid) {
  std::ofstream(dir + "/l") << "a file stands there";
  const OpenResult o = open();
  EXPECT_FALSE(o.store);
  EXPECT_NE(o.why.find(dir + "/l"), std::string::npos) << o.why;
}

// A disk that refuses writes for another reason than space: nothing more is told as kept, for good.
TEST_F(Lmdb, AWriteThatFailsIsSaidForGood) {
  fill(10);
  int pipes[2];
  ASSERT_EQ(pipe(pipes), 0);
  const pid_t child = fork();
  if (child == 0) {
    signal(SIGXFSZ, SIG_IGN);
    Mail own;
    LmdbOptions o;
    o.directory = dir + "/l", o.most_mb = 64;
    OpenResult opened = open_lmdb(o, own.post());
    struct Heard : StoreEvents {
      bool for_good = false, well = false, kept = false;
      void on_durable(std::size_t) override { kept = true; }
      void on_write_failed(const std::string&, bool good) override { for_good = good; }
      void on_write_recovered() override { well = true; }
    } heard;
    opened.store->serve(&heard);
    const rlimit limit{fs::file_size(file()), fs::file_size(file())};
    setrlimit(RLIMIT_FSIZE, &limit);
    for (int i = 0; i < 100; ++i) opened.store->put("k" + std::to_string(i), value(std::string(4000, 'x')));
    opened.store->commit();
    own.run_until([&] { return heard.for_good || heard.kept; });
    const char said = heard.for_good && !heard.kept ? 'y' : 'n';
    const ssize_t ignored = write(pipes[1], &said, 1);
    _exit(ignored == 1 ? 0 : 1);
  }
  close(pipes[1]);
  char said = '?';
  ASSERT_EQ(read(pipes[0], &said, 1), 1);
  close(pipes[0]);
  int status = 0;
  waitpid(child, &status, 0);
  EXPECT_EQ(said, 'y');
  OpenResult o = open();  // what was kept before is there
  ASSERT_TRUE(o.store) << o.why;
  EXPECT_EQ(all(*o.store).size(), 10U);
}

// A read-only disk, as whoever may not write there sees it.
TEST_F(Lmdb, AReadOnlyDirectoryIsSaid) {
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

TEST_F(Lmdb, CompactCopiesWhileItIsInUse) {
  fill();
  OpenResult o = open();
  ASSERT_TRUE(o.store);
  EXPECT_EQ(copy_compacted(options_in(dir + "/l"), dir + "/copy"), "");
  std::size_t n = 0;
  const ScanResult w = scan(options_in(dir + "/copy"), [&](auto, auto) { ++n; });
  EXPECT_EQ(w.why, "");
  EXPECT_EQ(n, 500U);
  EXPECT_NE(copy_compacted(options_in(dir + "/l"), dir + "/copy"), "");  // never over another
}

}  // namespace
}  // namespace laureltide::store
