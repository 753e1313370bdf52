// Tests of the call ledger on a simulated disk: when it writes, what it keeps across a restart, and what it
// does while writes fail.
#include "ledger/call_ledger.h"

#include <gtest/gtest.h>

#include "sim/network.h"

namespace laureltide::ledger {
namespace {

using namespace std::chrono_literals;

struct CallLedgerTest : testing::Test {
  sim::Network net;
  store::MemoryDisk disk;
  std::unique_ptr<store::MemoryStore> store;
  std::unique_ptr<CallLedger> ledger;
  CallLedgerOptions options;
  const std::string key = key_of("amqp/main/calls", "c-1");
  const Effect once{Semantics::kOnce, RepeatGroup::kAll, 0};

  CallLedgerTest() { open(); }
  void open() {
    ledger.reset(), store.reset();
    store = std::make_unique<store::MemoryStore>(net, disk);
    ledger = std::make_unique<CallLedger>(net, *store, options);
    const auto error = ledger->load();
    ASSERT_FALSE(error) << *error;
  }
  Record record_of_call(bool owed = false) {
    Record r;
    r.function = "gate", r.taken_ms = ledger->now_ms(), r.give_up_ms = r.taken_ms + 2500, r.owed = owed;
    return r;
  }
  Answer served_answer() { return {Answer::Kind::kServed, "", "result", 0, 0}; }
  std::size_t records_on_disk() const {
    return static_cast<std::size_t>(
        std::count_if(disk.data.begin(), disk.data.end(), [](auto& d) { return d.first[0] != '\x01'; }));
  }
};

TEST_F(CallLedgerTest, ReportsAttemptOnlyAfterItIsDurable) {
  ledger->take(key, record_of_call());
  bool attempt_may_be_sent = false;
  ledger->add_attempt(key, 3, [&] {
    attempt_may_be_sent = true;
    EXPECT_EQ(records_on_disk(), 1U);
  });
  EXPECT_FALSE(attempt_may_be_sent);
  EXPECT_EQ(records_on_disk(), 0U);
  net.run_for(10ms);
  EXPECT_TRUE(attempt_may_be_sent);
  open();
  ASSERT_TRUE(ledger->find(key));
  EXPECT_EQ(ledger->find(key)->attempts.size(), 1U);
  EXPECT_FALSE(ledger->active(key));
  EXPECT_EQ(ledger->decide("amqp/main/calls", "c-1", once, true).verdict, Verdict::kFail);
}

TEST_F(CallLedgerTest, KeepsNeverRanStateAcrossRestart) {
  ledger->take(key, record_of_call());
  const std::size_t n = ledger->add_attempt(key, 3, {});
  ledger->mark_never_ran(key, n);
  net.run_for(50ms);
  open();
  ledger->begin_exclusive_reading("amqp/main/calls"), ledger->mark_complete("amqp/main/calls");
  EXPECT_EQ(ledger->decide("amqp/main/calls", "c-1", once, true).verdict, Verdict::kRun);
}

TEST_F(CallLedgerTest, BatchesManyCommitsIntoOneSync) {
  for (int i = 0; i < 1000; ++i) {
    const std::string k = key_of("f", "c-" + std::to_string(i));
    ledger->take(k, record_of_call());
    ledger->add_attempt(k, 1, {});
  }
  net.run_for(50ms);
  EXPECT_EQ(records_on_disk(), 1000U);
  EXPECT_LE(disk.commits, 3U);
}

TEST_F(CallLedgerTest, ReturnsOwedCallsInOrderOfAcceptanceAfterRestart) {
  for (const char* name : {"b", "a", "c"}) {
    ledger->take(key_of("f", name), record_of_call(true));
    net.run_for(5ms);
  }
  ledger->take(key_of("g", "other"), record_of_call(true));
  ledger->take(key_of("f", "not owed"), record_of_call());
  net.run_for(10ms);
  open();
  EXPECT_EQ(ledger->owed("f"),
            (std::vector<std::string>{key_of("f", "b"), key_of("f", "a"), key_of("f", "c")}));
}

TEST_F(CallLedgerTest, RemovesRecordAfterConfirmedDelivery) {
  ledger->take(key, record_of_call());
  ledger->add_attempt(key, 1, {});
  ledger->answer(key, served_answer());
  net.run_for(10ms);
  EXPECT_EQ(records_on_disk(), 1U);
  ledger->delivered(key, AfterDelivery::kDropRecord);
  net.run_for(10ms);
  EXPECT_EQ(records_on_disk(), 0U);
  EXPECT_EQ(ledger->records(), 0U);
  EXPECT_EQ(ledger->bytes(), 0U);
}

TEST_F(CallLedgerTest, KeepsRecordWithoutAnswerAfterUnconfirmedDelivery) {
  ledger->take(key, record_of_call(true));
  ledger->answer(key, served_answer(), [] {});
  ledger->delivered(key, AfterDelivery::kKeepWithoutAnswer, 5000);
  net.run_for(10ms);
  open();
  EXPECT_EQ(ledger->decide("amqp/main/calls", "c-1", once, true).verdict, Verdict::kAcknowledge);
  EXPECT_TRUE(ledger->find(key)->answer->body.empty());
  net.run_for(7s);
  EXPECT_FALSE(ledger->find(key));
  EXPECT_EQ(records_on_disk(), 0U);
}

TEST_F(CallLedgerTest, WritesNothingForCallThatWasNeverSent) {
  ledger->take(key, record_of_call());
  ledger->answer(key, served_answer());
  ledger->delivered(key, AfterDelivery::kDropRecord);
  net.run_for(100ms);
  EXPECT_EQ(disk.commits, 0U);
}

// The message of an expired record may still be redelivered, so the ledger no longer knows of all calls that
// may have run.
TEST_F(CallLedgerTest, ExpiryOfUnansweredRecordEndsCoverage) {
  options.keep = 10s;
  open();
  ledger->begin_exclusive_reading("amqp/main/calls"), ledger->mark_complete("amqp/main/calls");
  ledger->take(key, record_of_call());
  ledger->add_attempt(key, 1, {});
  net.run_for(10ms);
  open();
  EXPECT_EQ(ledger->coverage("amqp/main/calls"), Coverage::kComplete);
  net.run_for(12s);
  EXPECT_FALSE(ledger->find(key));
  EXPECT_EQ(ledger->coverage("amqp/main/calls"), Coverage::kNone);
  open();
  EXPECT_EQ(ledger->coverage("amqp/main/calls"), Coverage::kNone);  // after a restart as well
  EXPECT_EQ(ledger->decide("amqp/main/calls", "c-1", once, true).verdict, Verdict::kFail);
}

TEST_F(CallLedgerTest, EndOfExclusiveReadingEndsCoverage) {
  ledger->begin_exclusive_reading("f"), ledger->mark_complete("f");
  ledger->end_exclusive_reading("f");
  ledger->begin_exclusive_reading("f");
  EXPECT_EQ(ledger->coverage("f"), Coverage::kNone);
}

TEST_F(CallLedgerTest, HoldsAttemptsAndReportsFailureWhileDiskIsFull) {
  std::vector<bool> state_changes;
  ledger->on_state = [&](bool well) { state_changes.push_back(well); };
  disk.full = true;
  bool attempt_may_be_sent = false;
  ledger->take(key, record_of_call());
  ledger->add_attempt(key, 1, [&] { attempt_may_be_sent = true; });
  net.run_for(5s);
  EXPECT_FALSE(attempt_may_be_sent);
  EXPECT_EQ(state_changes, std::vector<bool>{false});
  EXPECT_NE(ledger->refusal_reason().find("no space left"), std::string::npos) << ledger->refusal_reason();
  disk.full = false;
  net.run_for(1s);
  EXPECT_TRUE(attempt_may_be_sent);  // the pending write was not lost
  EXPECT_EQ(state_changes, (std::vector<bool>{false, true}));
  EXPECT_TRUE(ledger->refusal_reason().empty());
}

// Failing writes must not delay answers (rule 1).
TEST_F(CallLedgerTest, GivesAnswersWithoutWaitingWhileWritesFail) {
  ledger->take(key, record_of_call(true));
  net.run_for(10ms);
  disk.full = true;
  int answers_given = 0;
  ledger->answer(key, served_answer(), [&] { ++answers_given; });
  EXPECT_EQ(answers_given, 0);
  net.run_for(50ms);
  EXPECT_EQ(answers_given, 1);  // as soon as the write failure is reported
  ledger->answer(key, served_answer(), [&] { ++answers_given; });
  EXPECT_EQ(answers_given, 2);
  disk.full = false;
  net.run_for(1s);
  EXPECT_EQ(answers_given, 2);
}

TEST_F(CallLedgerTest, RefusesCallsAboveRecordAndByteLimits) {
  options.most_records = 3;
  open();
  for (int i = 0; i < 3; ++i) ledger->take(key_of("f", std::to_string(i)), record_of_call());
  EXPECT_NE(ledger->refusal_reason().find("as much as it may"), std::string::npos);
  ledger->forget(key_of("f", "1"));
  EXPECT_TRUE(ledger->refusal_reason().empty());
  options.most_records = 100, options.most_bytes = 10'000;
  open();
  Record large_record = record_of_call(true);
  large_record.body.assign(20'000, 'x');
  ledger->take(key, large_record);
  EXPECT_FALSE(ledger->refusal_reason().empty());
  EXPECT_GE(ledger->usage("amqp/main/calls").bytes, 20'000U);
}

TEST_F(CallLedgerTest, WallClockJumpDoesNotExpireRecords) {
  ledger->take(key, record_of_call(true));
  ledger->answer(key, served_answer(), [] {});
  ledger->delivered(key, AfterDelivery::kKeepAnswer, 60'000);
  net.wall_clock_offset_ms = 1000LL * 3600 * 24 * 400;
  net.run_for(30s);
  EXPECT_TRUE(ledger->find(key));
  net.run_for(40s);
  EXPECT_FALSE(ledger->find(key));
}

// No message is redelivered for an owed call, so its record is kept until this gateway has room for it.
TEST_F(CallLedgerTest, OwedRecordsDoNotExpire) {
  options.keep = 1s;
  open();
  ledger->take(key, record_of_call(true));
  net.run_for(10ms);
  open();
  net.run_for(10s);
  EXPECT_EQ(ledger->owed("amqp/main/calls").size(), 1U);
}

TEST_F(CallLedgerTest, RemovesManyExpiredRecordsInBatches) {
  for (int i = 0; i < 1000; ++i) {
    const std::string expiring_key = key_of("amqp/main/calls", std::to_string(i));
    ledger->take(expiring_key, record_of_call(true));
    ledger->answer(expiring_key, served_answer(), [] {});
    ledger->delivered(expiring_key, AfterDelivery::kKeepAnswer, 500);
  }
  ASSERT_TRUE(net.run_until([&] { return ledger->records() < 1000; }));
  EXPECT_GE(ledger->records(), 800U);  // other work runs between the batches
  ASSERT_TRUE(net.run_until([&] { return ledger->records() == 0; }, 1s));
}

TEST_F(CallLedgerTest, LoadReportsDamagedRecord) {
  ledger->take(key, record_of_call(true));
  net.run_for(10ms);
  disk.data.at(key)[20] ^= 1;
  store::MemoryStore reopened_store(net, disk);
  CallLedger reopened(net, reopened_store, options);
  const auto error = reopened.load();
  ASSERT_TRUE(error);
  EXPECT_NE(error->find("amqp/main/calls / c-1"), std::string::npos) << *error;
}

}  // namespace
}  // namespace laureltide::ledger
