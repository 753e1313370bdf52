// The book's state against its disk: what is written when, what is kept, what trouble does.
#include "ledger/call_ledger.h"

#include <gtest/gtest.h>

#include "sim/network.h"

namespace laureltide::ledger {
namespace {

using namespace std::chrono_literals;

struct BookTest : testing::Test {
  sim::Network net;
  store::MemoryDisk disk;
  std::unique_ptr<store::MemoryStore> store;
  std::unique_ptr<CallLedger> book;
  CallLedgerOptions options;
  const std::string key = key_of("amqp/main/calls", "c-1");
  const Effect once{Semantics::kOnce, RepeatGroup::kAll, 0};

  BookTest() { open(); }
  void open() {
    book.reset(), store.reset();
    store = std::make_unique<store::MemoryStore>(net, disk);
    book = std::make_unique<CallLedger>(net, *store, options);
    const auto bad = book->load();
    ASSERT_FALSE(bad) << *bad;
  }
  Record call(bool owed = false) {
    Record r;
    r.function = "gate", r.taken_ms = book->now_ms(), r.give_up_ms = r.taken_ms + 2500, r.owed = owed;
    return r;
  }
  Answer served() { return {Answer::Kind::kServed, "", "result", 0, 0}; }
  std::size_t records_on_disk() const {
    return static_cast<std::size_t>(
        std::count_if(disk.data.begin(), disk.data.end(), [](auto& d) { return d.first[0] != '\x01'; }));
  }
};

TEST_F(BookTest, AnAttemptIsOnDiskBeforeItIsTold) {
  book->take(key, call());
  bool may_leave = false;
  book->add_attempt(key, 3, [&] {
    may_leave = true;
    EXPECT_EQ(records_on_disk(), 1U);
  });
  EXPECT_FALSE(may_leave);
  EXPECT_EQ(records_on_disk(), 0U);
  net.run_for(10ms);
  EXPECT_TRUE(may_leave);
  open();
  ASSERT_TRUE(book->find(key));
  EXPECT_EQ(book->find(key)->attempts.size(), 1U);
  EXPECT_FALSE(book->active(key));
  EXPECT_EQ(book->decide("amqp/main/calls", "c-1", once, true).verdict, Verdict::kFail);
}

TEST_F(BookTest, WhatIsProvenNeverToHaveRunSurvives) {
  book->take(key, call());
  const std::size_t n = book->add_attempt(key, 3, {});
  book->mark_never_ran(key, n);
  net.run_for(50ms);
  open();
  book->begin_exclusive_reading("amqp/main/calls"), book->mark_complete("amqp/main/calls");
  EXPECT_EQ(book->decide("amqp/main/calls", "c-1", once, true).verdict, Verdict::kRun);
}

TEST_F(BookTest, ManyCommitsShareASync) {
  for (int i = 0; i < 1000; ++i) {
    const std::string k = key_of("f", "c-" + std::to_string(i));
    book->take(k, call());
    book->add_attempt(k, 1, {});
  }
  net.run_for(50ms);
  EXPECT_EQ(records_on_disk(), 1000U);
  EXPECT_LE(disk.commits, 3U);
}

TEST_F(BookTest, OwedOnesAreFoundAgainInTheOrderOfTheirTaking) {
  for (const char* name : {"b", "a", "c"}) {
    book->take(key_of("f", name), call(true));
    net.run_for(5ms);
  }
  book->take(key_of("g", "other"), call(true));
  book->take(key_of("f", "not owed"), call());
  net.run_for(10ms);
  open();
  EXPECT_EQ(book->owed("f"),
            (std::vector<std::string>{key_of("f", "b"), key_of("f", "a"), key_of("f", "c")}));
}

TEST_F(BookTest, ACertainDeliveryLeavesNothing) {
  book->take(key, call());
  book->add_attempt(key, 1, {});
  book->answer(key, served());
  net.run_for(10ms);
  EXPECT_EQ(records_on_disk(), 1U);
  book->delivered(key, AfterDelivery::kDropRecord);
  net.run_for(10ms);
  EXPECT_EQ(records_on_disk(), 0U);
  EXPECT_EQ(book->records(), 0U);
  EXPECT_EQ(book->bytes(), 0U);
}

TEST_F(BookTest, AnUnsureDeliveryIsRememberedWithoutItsAnswer) {
  book->take(key, call(true));
  book->answer(key, served(), [] {});
  book->delivered(key, AfterDelivery::kKeepWithoutAnswer, 5000);
  net.run_for(10ms);
  open();
  EXPECT_EQ(book->decide("amqp/main/calls", "c-1", once, true).verdict, Verdict::kAcknowledge);
  EXPECT_TRUE(book->find(key)->answer->body.empty());
  net.run_for(7s);
  EXPECT_FALSE(book->find(key));
  EXPECT_EQ(records_on_disk(), 0U);
}

TEST_F(BookTest, ACallThatWasNeverSentCostsNoWrite) {
  book->take(key, call());
  book->answer(key, served());
  book->delivered(key, AfterDelivery::kDropRecord);
  net.run_for(100ms);
  EXPECT_EQ(disk.commits, 0U);
}

// What is forgotten could still come again: the queue's ledger no longer knows all that ran.
TEST_F(BookTest, ForgettingAnOpenRecordEndsTheCoverageOfItsQueue) {
  options.keep = 10s;
  open();
  book->begin_exclusive_reading("amqp/main/calls"), book->mark_complete("amqp/main/calls");
  book->take(key, call());
  book->add_attempt(key, 1, {});
  net.run_for(10ms);
  open();
  EXPECT_EQ(book->coverage("amqp/main/calls"), Coverage::kComplete);
  net.run_for(12s);
  EXPECT_FALSE(book->find(key));
  EXPECT_EQ(book->coverage("amqp/main/calls"), Coverage::kNone);
  open();
  EXPECT_EQ(book->coverage("amqp/main/calls"), Coverage::kNone);  // and so for the next life
  EXPECT_EQ(book->decide("amqp/main/calls", "c-1", once, true).verdict, Verdict::kFail);
}

TEST_F(BookTest, AnotherReaderEndsTheCoverage) {
  book->begin_exclusive_reading("f"), book->mark_complete("f");
  book->end_exclusive_reading("f");
  book->begin_exclusive_reading("f");
  EXPECT_EQ(book->coverage("f"), Coverage::kNone);
}

TEST_F(BookTest, AFullDiskHoldsBackAttemptsAndIsSaid) {
  std::vector<bool> said;
  book->on_state = [&](bool well) { said.push_back(well); };
  disk.full = true;
  bool left = false;
  book->take(key, call());
  book->add_attempt(key, 1, [&] { left = true; });
  net.run_for(5s);
  EXPECT_FALSE(left);
  EXPECT_EQ(said, std::vector<bool>{false});
  EXPECT_NE(book->refusal_reason().find("no space left"), std::string::npos) << book->refusal_reason();
  disk.full = false;
  net.run_for(1s);
  EXPECT_TRUE(left);  // nothing was lost meanwhile
  EXPECT_EQ(said, (std::vector<bool>{false, true}));
  EXPECT_TRUE(book->refusal_reason().empty());
}

// A disk that does not write must not make answers late (rule 1).
TEST_F(BookTest, AnswersDoNotWaitForADiskInTrouble) {
  book->take(key, call(true));
  net.run_for(10ms);
  disk.full = true;
  int given = 0;
  book->answer(key, served(), [&] { ++given; });
  EXPECT_EQ(given, 0);
  net.run_for(50ms);
  EXPECT_EQ(given, 1);  // as soon as the trouble shows
  book->answer(key, served(), [&] { ++given; });
  EXPECT_EQ(given, 2);
  disk.full = false;
  net.run_for(1s);
  EXPECT_EQ(given, 2);
}

TEST_F(BookTest, BoundsCloseIt) {
  options.most_records = 3;
  open();
  for (int i = 0; i < 3; ++i) book->take(key_of("f", std::to_string(i)), call());
  EXPECT_NE(book->refusal_reason().find("as much as it may"), std::string::npos);
  book->forget(key_of("f", "1"));
  EXPECT_TRUE(book->refusal_reason().empty());
  options.most_records = 100, options.most_bytes = 10'000;
  open();
  Record big = call(true);
  big.body.assign(20'000, 'x');
  book->take(key, big);
  EXPECT_FALSE(book->refusal_reason().empty());
  EXPECT_GE(book->usage("amqp/main/calls").bytes, 20'000U);
}

TEST_F(BookTest, AWallClockThatJumpsForgetsNothing) {
  book->take(key, call(true));
  book->answer(key, served(), [] {});
  book->delivered(key, AfterDelivery::kKeepAnswer, 60'000);
  net.wall_clock_offset_ms = 1000LL * 3600 * 24 * 400;
  net.run_for(30s);
  EXPECT_TRUE(book->find(key));
  net.run_for(40s);
  EXPECT_FALSE(book->find(key));
}

// What nobody brings again waits for this gateway, however long that has no room for it.
TEST_F(BookTest, OwedRecordsDoNotExpire) {
  options.keep = 1s;
  open();
  book->take(key, call(true));
  net.run_for(10ms);
  open();
  net.run_for(10s);
  EXPECT_EQ(book->owed("amqp/main/calls").size(), 1U);
}

TEST_F(BookTest, ManyThatExpireAtOnceGoInTurns) {
  for (int i = 0; i < 1000; ++i) {
    const std::string one = key_of("amqp/main/calls", std::to_string(i));
    book->take(one, call(true));
    book->answer(one, served(), [] {});
    book->delivered(one, AfterDelivery::kKeepAnswer, 500);
  }
  ASSERT_TRUE(net.run_until([&] { return book->records() < 1000; }));
  EXPECT_GE(book->records(), 800U);  // calls go on between the turns
  ASSERT_TRUE(net.run_until([&] { return book->records() == 0; }, 1s));
}

TEST_F(BookTest, ADamagedRecordIsSaid) {
  book->take(key, call(true));
  net.run_for(10ms);
  disk.data.at(key)[20] ^= 1;
  store::MemoryStore fresh(net, disk);
  CallLedger again(net, fresh, options);
  const auto bad = again.load();
  ASSERT_TRUE(bad);
  EXPECT_NE(bad->find("amqp/main/calls / c-1"), std::string::npos) << *bad;
}

}  // namespace
}  // namespace laureltide::ledger
