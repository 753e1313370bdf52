// A gateway with a ledger is killed at every crash point in every mode and restarted. The callers' and the
// workers' own counts must show one final answer for each message and no effect twice.
#include "gateway_fixture.h"

namespace laureltide::test {
namespace {

struct ProcessKilled {};

enum class Mode { kTransaction, kConfirm, kTake };
const char* settings_of(Mode m) {
  return m == Mode::kTransaction ? "answers = \"transaction\"\n"
         : m == Mode::kConfirm   ? "answers = \"confirm\"\n"
                                 : "acknowledge = \"take\"\n";
}
std::shared_ptr<const config::Settings> with_ledger(Mode mode, const std::string& more_broker = "",
                                                    const std::string& more_ledger = "") {
  return settings(settings_of(mode) + more_broker, "[ledger]\ndirectory = \"unused here\"\n" + more_ledger);
}

struct LedgerGatewayFixture : GatewayFixture {
  explicit LedgerGatewayFixture(Mode mode = Mode::kTransaction, std::uint64_t seed = 1,
                                const std::string& more = "", const std::string& more_ledger = "")
      : GatewayFixture(2, seed, ::laureltide::test::with_ledger(mode, more, more_ledger)) {
    with_ledger = true;
  }
  bool wait_queue_empty(Duration most = 30s) {
    return net.run_until([&] { return broker.unacked("calls") == 0 && broker.depth("calls") == 0; }, most);
  }
  // Runs until all calls are answered and the queue is empty, and restarts the gateway whenever it is killed.
  bool run_until_all_answered(const std::vector<std::string>& names, Duration most = 60s) {
    const Time until = net.now() + most;
    while (net.now() < until) {
      try {
        const bool done = net.run_until(
            [&] {
              return broker.unacked("calls") == 0 && broker.depth("calls") == 0 &&
                     std::all_of(names.begin(), names.end(), [&](auto& n) { return answers(n) > 0; });
            },
            until - net.now());
        if (done) net.run_for(5s);  // no second answer may follow
        return done;
      } catch (const ProcessKilled&) {
        kill_gateway();
        ++kills;
        net.run_for(200ms);
        start_gateway();
      }
    }
    return false;
  }
  // All answers have the same outcome; in transaction mode there is exactly one.
  void expect_one_answer(const std::string& name, Mode mode, const std::string& where) {
    std::set<std::string> outcomes;
    const auto [from, to] = caller->answers().equal_range(name);
    for (auto it = from; it != to; ++it) outcomes.insert(it->second.outcome + ": " + it->second.body);
    EXPECT_EQ(outcomes.size(), 1U) << where;
    if (mode == Mode::kTransaction) {
      EXPECT_EQ(answers(name), 1U) << where;
    }
    EXPECT_LE(run_count(name), 1U) << where;
    if (outcome(name) == "served") {
      EXPECT_EQ(run_count(name), 1U) << where;
    }
    if (outcome(name) == "refused") {
      EXPECT_EQ(run_count(name), 0U) << where;
    }
  }
  void wait_complete_coverage() {
    ASSERT_TRUE(
        net.run_until([&] { return book->coverage("amqp/main/calls") == ledger::Coverage::kComplete; }));
  }
  int kills = 0;
};

class EveryCrashPoint : public testing::TestWithParam<std::tuple<const char*, Mode, bool>> {};

// Kills the process when the ledger reaches the crash point for the n-th time.
TEST_P(EveryCrashPoint, GateReleaseHasOneAnswerAndRunsAtMostOnce) {
  const auto [step, mode, sole_reader] = GetParam();
  int kills = 0;
  for (int nth = 1; nth <= 4; ++nth)
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const std::string where = std::string(step) + " " + std::to_string(nth) + " " + settings_of(mode) +
                                " seed " + std::to_string(seed);
      LedgerGatewayFixture fixture(mode, seed, sole_reader ? "sole_reader = true\n" : "");
      fixture.start();
      if (sole_reader) fixture.wait_complete_coverage();
      int times_reached = 0;
      fixture.on_step = [&, s = std::string(step)](const char* at) {
        if (s == at && ++times_reached == nth) throw ProcessKilled{};
      };
      std::vector<std::string> names;
      for (int i = 0; i < 3; ++i) names.push_back(fixture.call("gate"));
      names.push_back(fixture.call("status"));
      names.push_back(fixture.call("echo"));
      ASSERT_TRUE(fixture.run_until_all_answered(names)) << where;
      kills += fixture.kills;
      for (const std::string& name : names)
        if (!name.starts_with("echo")) fixture.expect_one_answer(name, mode, where + name);
      EXPECT_GE(fixture.answers(names.back()), 1U);
      EXPECT_EQ(fixture.net.unsent(GatewayFixture::worker_at(1)), 0U);
    }
  // A crash point that is never reached proves nothing.
  const bool needs_early_acknowledgement =
      std::string(step).starts_with("take") || std::string(step) == "owed-found";
  const bool excludes_transaction = needs_early_acknowledgement || std::string(step) == "answer-durable";
  const bool needs_transaction = std::string(step).starts_with("commit");
  const bool expected = std::string(step) == "callback-given" || std::string(step) == "owed-found" ? false
                        : needs_transaction           ? mode == Mode::kTransaction
                        : needs_early_acknowledgement ? mode == Mode::kTake
                        : excludes_transaction        ? mode != Mode::kTransaction
                                                      : true;
  if (expected) {
    EXPECT_GE(kills, 3) << step << " " << settings_of(mode);
  }
}
INSTANTIATE_TEST_SUITE_P(Ledger, EveryCrashPoint,
                         testing::Combine(testing::ValuesIn(ledger::kCrashPoints),
                                          testing::Values(Mode::kTransaction, Mode::kConfirm, Mode::kTake),
                                          testing::Bool()),
                         [](const auto& info) {
                           std::string name = std::get<0>(info.param);
                           std::replace(name.begin(), name.end(), '-', '_');
                           const Mode m = std::get<1>(info.param);
                           return name +
                                  (m == Mode::kTransaction ? "_transaction"
                                   : m == Mode::kConfirm   ? "_confirm"
                                                           : "_take") +
                                  (std::get<2>(info.param) ? "_sole" : "");
                         });

TEST(Restart, AnswersFromRecordAfterLostCommit) {
  LedgerGatewayFixture fixture;
  fixture.start();
  fixture.broker.drop_commits(1);  // the connection breaks instead
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(name) == 1; }));
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.log.contains("connection ended"); }));
  fixture.kill_gateway();  // whether the answer is on disk yet or not
  fixture.net.run_for(100ms);
  fixture.start_gateway();
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_TRUE(fixture.wait_queue_empty());
  EXPECT_EQ(fixture.answers(name), 1U);
  EXPECT_EQ(fixture.run_count(name), 1U);
}

// Shows what a ledger gains from a sole reader: after redelivery, it knows that a call never ran.
TEST(Restart, SoleReaderRunsRedeliveredCallsThatItNeverSent) {
  for (const bool sole_reader : {false, true}) {
    LedgerGatewayFixture fixture(Mode::kTransaction, 5, sole_reader ? "sole_reader = true\n" : "");
    fixture.start();
    if (sole_reader) fixture.wait_complete_coverage();
    // Deliveries are lost on the way, while the broker regards them as delivered.
    fixture.net.set_silent(fixture.broker_at, true);
    fixture.net.set_silent(fixture.broker_at, false);
    std::vector<std::string> names;
    for (int i = 0; i < 20; ++i) names.push_back(fixture.call("gate"));
    ASSERT_TRUE(fixture.net.run_until([&] { return fixture.tape.count("delivered", names.back()) > 0; }));
    fixture.broker.break_connections("gw-0");
    ASSERT_TRUE(fixture.run_until_all_answered(names));
    std::map<std::string, int> outcomes;
    for (const auto& name : names) {
      ++outcomes[fixture.outcome(name)];
      EXPECT_LE(fixture.run_count(name), 1U);
      EXPECT_EQ(fixture.answers(name), 1U);
      if (!sole_reader && fixture.outcome(name) == "failed") {
        EXPECT_NE(fixture.reason(name).find("nothing here proves that it did not run"), std::string::npos)
            << fixture.reason(name);
      }
    }
    if (sole_reader) {
      EXPECT_EQ(outcomes["served"], 20) << outcomes["failed"];
    } else {
      EXPECT_GT(outcomes["failed"], 0);
    }
  }
}

// Another reader may have received a message before this ledger began, so the ledger doesn't cover it.
TEST(Restart, CoverageIsCompleteOnlyAfterOlderMessagesAreGone) {
  LedgerGatewayFixture fixture(Mode::kTransaction, 2, "sole_reader = true\n");
  {  // another gateway, without a ledger, is killed with a call in flight
    GatewayFixture* other = &fixture;
    other->with_ledger = false;
    auto config_with_ledger = other->config;
    other->config = settings();
    other->start();
    const std::string old = other->call("gate", {"old", "", "", "", "", "", {}, true});
    ASSERT_TRUE(other->net.run_until([&] { return other->run_count(old) == 1; }));
    other->kill_gateway();
    other->config = config_with_ledger;
    other->with_ledger = true;
  }
  fixture.net.run_for(100ms);
  fixture.start_gateway();
  ASSERT_TRUE(fixture.wait_answer("old"));
  EXPECT_EQ(fixture.outcome("old"), "failed");
  EXPECT_EQ(fixture.run_count("old"), 1U);
  fixture.wait_complete_coverage();  // the older message is gone
}

TEST(Restart, SoleReaderExcludesSecondReader) {
  LedgerGatewayFixture fixture(Mode::kTransaction, 2, "sole_reader = true\n");
  fixture.start();
  Log other_log;
  auto other_settings = [] {
    std::string text = settings_text();
    text.replace(text.find("name = \"gw-0\""), 13, "name = \"gw-1\"");
    return std::make_shared<const config::Settings>(*config::parse(text, "t").settings);
  }();
  controller::Gateway other(fixture.net, other_settings, other_log, 9);
  other.start();
  ASSERT_TRUE(fixture.net.run_until([&] { return other_log.contains("403"); }));
  EXPECT_EQ(fixture.broker.consumers("calls"), 1U);
}

// Two readers, each with its own ledger: one crashes with a gate release in flight, and the other must not
// run it.
TEST(Restart, OtherReaderFailsRedeliveredCallWithoutRecord) {
  LedgerGatewayFixture fixture;
  fixture.start();
  store::MemoryDisk disk;
  store::MemoryStore store(fixture.net, disk);
  ledger::CallLedger other_ledger(fixture.net, store, {});
  Log log;
  auto other_settings = [&] {
    auto copy = std::make_shared<config::Settings>(*fixture.config);
    copy->gateway.name = "gw-1";
    return copy;
  }();
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(name) == 1; }));
  controller::Gateway other(fixture.net, other_settings, log, 9, 1, &other_ledger);
  other.start();
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.broker.consumers("calls") == 2; }));
  fixture.kill_gateway();
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "failed");
  EXPECT_EQ(fixture.run_count(name), 1U);
  EXPECT_EQ(fixture.answers(name), 1U);
}

// The first reader restarts and gets the message again. Its record says nothing about the time in between, in
// which the other reader may have run the call.
TEST(Restart, NeverRanRecordIsNoProofWithoutSoleReader) {
  LedgerGatewayFixture fixture;
  fixture.worker(1).set_full(true), fixture.worker(2).set_full(true);
  fixture.start();
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.tape.count("call", name) >= 1; }));
  fixture.net.run_for(20ms);
  fixture.kill_gateway();
  fixture.net.run_for(10ms);
  fixture.worker(1).set_full(false), fixture.worker(2).set_full(false);
  fixture.start_gateway();
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "failed");
}

TEST(Restart, NeverRanRecordIsProofForSoleReader) {
  LedgerGatewayFixture fixture(Mode::kTransaction, 1, "sole_reader = true\n");
  fixture.worker(1).set_full(true), fixture.worker(2).set_full(true);
  fixture.start();
  fixture.wait_complete_coverage();
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.tape.count("call", name) >= 1; }));
  fixture.net.run_for(60ms);  // for the delayed write
  fixture.kill_gateway();
  fixture.net.run_for(10ms);
  fixture.worker(1).set_full(false), fixture.worker(2).set_full(false);
  fixture.start_gateway();
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served") << fixture.reason(name);
  EXPECT_EQ(fixture.run_count(name), 1U);
}

TEST(Restart, AnswersAcknowledgedCallsThatExpiredWhileDown) {
  LedgerGatewayFixture fixture(Mode::kTake);
  fixture.start();
  fixture.worker(1).set_unresponsive(true), fixture.worker(2).set_unresponsive(true);
  std::vector<std::string> names;
  for (int i = 0; i < 3; ++i) names.push_back(fixture.call("gate")), names.push_back(fixture.call("echo"));
  ASSERT_TRUE(fixture.net.run_until(
      [&] { return fixture.broker.unacked("calls") == 0 && fixture.book->records() == 6; }));
  fixture.kill_gateway();
  fixture.net.run_for(20s);
  EXPECT_EQ(fixture.caller->answers().size(), 0U);
  fixture.start_gateway();
  for (const auto& name : names) ASSERT_TRUE(fixture.wait_answer(name)) << name;
  fixture.net.run_for(5s);
  for (const auto& name : names) {
    EXPECT_EQ(fixture.answers(name), 1U) << name;
    EXPECT_NE(fixture.outcome(name), "served");
  }
  EXPECT_EQ(fixture.tape.count("ran"), 0U);
}

TEST(Restart, BrokerAndGatewayCrashTogether) {
  for (const Mode mode : {Mode::kTransaction, Mode::kConfirm, Mode::kTake})
    for (int step = 0; step < 40; ++step) {
      LedgerGatewayFixture fixture(mode, 3);
      fixture.start();
      fixture.call("echo", {"warm", "", "", "", "", "", {}, true});
      ASSERT_TRUE(fixture.wait_answer("warm"));
      const std::string name = fixture.call("gate");
      fixture.net.run_for(step * 3ms);
      fixture.broker.crash();
      fixture.kill_gateway();
      fixture.net.run_for(300ms);
      fixture.start_gateway();
      fixture.net.run_for(200ms);
      ASSERT_TRUE(fixture.broker.restart());
      // A client would resend messages that were not confirmed; here there was time to confirm all.
      ASSERT_TRUE(fixture.run_until_all_answered({})) << step;
      EXPECT_LE(fixture.run_count(name), 1U) << step;
      if (fixture.answers(name) > 0) fixture.expect_one_answer(name, mode, std::to_string(step));
    }
}

TEST(Restart, FullDiskStopsConsumingAndLosesNoCall) {
  for (const Mode mode : {Mode::kTransaction, Mode::kTake}) {
    LedgerGatewayFixture fixture(mode);
    fixture.start();
    const std::string before = fixture.call("gate");
    ASSERT_TRUE(fixture.wait_answer(before));
    fixture.disk.full = true;
    std::vector<std::string> names;
    for (int i = 0; i < 30; ++i) {
      names.push_back(fixture.call("gate"));
      fixture.net.run_for(50ms);
    }
    EXPECT_TRUE(
        fixture.log.contains("nothing is taken: the ledger cannot be written: no space left on the disk"));
    EXPECT_EQ(fixture.broker.consumers("calls"), 0U);
    EXPECT_GT(fixture.broker.depth("calls"), 10U);
    EXPECT_EQ(fixture.tape.count("ran"), 1U);  // no attempt is sent without a record
    fixture.net.run_for(5s);
    fixture.disk.full = false;
    ASSERT_TRUE(fixture.run_until_all_answered(names));
    EXPECT_TRUE(fixture.log.contains("calls are taken again"));
    for (const auto& name : names) {
      EXPECT_EQ(fixture.answers(name), 1U);
      EXPECT_LE(fixture.run_count(name), 1U);
    }
  }
}

// The disk is so slow that the decision is outdated when its write is durable, so the attempt isn't sent.
TEST(Restart, DoesNotSendAttemptAfterSlowWrite) {
  LedgerGatewayFixture fixture;
  fixture.start();
  fixture.disk.least_delay = 900ms, fixture.disk.most_delay = 950ms;
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(
      fixture.net.run_until([&] { return fixture.book->records() > 0 && fixture.steps.size() >= 2; }));
  fixture.set_worker_state(1, WorkerState::kDraining), fixture.set_worker_state(2, WorkerState::kDraining);
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "refused") << fixture.reason(name);  // proof that it never ran
  EXPECT_EQ(fixture.tape.count("call", name), 0U);
}

// The worker list reports draining during the write. The grace hasn't ended, but the attempt isn't sent.
TEST(Restart, DoesNotSendToWorkerThatStartedDrainingDuringWrite) {
  LedgerGatewayFixture fixture;
  fixture.start();
  fixture.call("gate", {"warm", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("warm"));
  fixture.disk.least_delay = 100ms, fixture.disk.most_delay = 110ms;
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until(
      [&] { return fixture.steps.size() > 3 && fixture.steps.back() == "attempt-queued"; }));
  fixture.set_worker_state(1, WorkerState::kDraining), fixture.set_worker_state(2, WorkerState::kDraining);
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.tape.count("call", name), 0U);
  EXPECT_EQ(fixture.outcome(name), "refused");
}

// The repeat of a keyed call is decided within the window in which workers drop duplicates, but its record is
// durable only after the window.
TEST(Restart, DoesNotSendRepeatWhoseWindowEndedDuringWrite) {
  std::string text = settings_text(settings_of(Mode::kTransaction), "[ledger]\ndirectory = \"x\"\n");
  const std::string window = "repeat_window_ms = 2000";
  text.replace(text.find(window), window.size(), "repeat_window_ms = 500");
  const std::string group = "repeats_dropped_by = \"cell\"";
  text.replace(text.find(group), group.size(), "repeats_dropped_by = \"all\"");
  GatewayFixture fixture(2, 1, std::make_shared<const config::Settings>(*config::parse(text, "t").settings));
  fixture.with_ledger = true;
  fixture.start();
  // Open a connection to each worker.
  for (const std::uint32_t full : {2U, 1U}) {
    fixture.worker(full).set_full(true);
    ASSERT_TRUE(fixture.wait_answer(fixture.call(full == 1 ? "echo" : "status")));
    fixture.worker(full).set_full(false);
  }
  for (const std::uint32_t worker : {1U, 2U}) fixture.worker(worker).fail_class("update", true);
  fixture.disk.least_delay = 200ms, fixture.disk.most_delay = 210ms;
  const std::string name = fixture.call("status");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "refused");  // duplicates are dropped by all workers
  EXPECT_EQ(fixture.tape.count("call", name), 1U);
  ASSERT_FALSE(fixture.log.calls.empty());
  EXPECT_EQ(fixture.log.calls.back().attempts, "w1:error,w2:full");  // a repeat was decided but not sent
}

TEST(Restart, OwedAnswersWaitForBroker) {
  LedgerGatewayFixture fixture(Mode::kTake);
  fixture.start();
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(name) == 1; }));
  fixture.net.set_silent(fixture.broker_at, true);
  fixture.net.run_for(3s);
  fixture.kill_gateway();
  fixture.start_gateway();  // already served, but the broker is unreachable
  fixture.net.run_for(5s);
  EXPECT_EQ(fixture.answers(name), 0U);
  fixture.net.set_silent(fixture.broker_at, false);
  ASSERT_TRUE(fixture.wait_answer(name, 60s));
  EXPECT_EQ(fixture.outcome(name), "served");
  EXPECT_EQ(fixture.run_count(name), 1U);
}

TEST(Restart, AnswersMoreOwedCallsThanOpenCallsLimit) {
  auto text = settings_text(settings_of(Mode::kTake), "[ledger]\ndirectory = \"x\"\n");
  text.replace(text.find("open_calls = 5000"), 17, "open_calls = 200");
  GatewayFixture fixture(2, 4, std::make_shared<const config::Settings>(*config::parse(text, "t").settings));
  fixture.with_ledger = true;
  fixture.start();
  fixture.worker(1).set_full(true), fixture.worker(2).set_full(true);
  std::vector<std::string> names;
  standin::CallToMake long_call;
  long_call.patience_ms = 60'000;
  for (int i = 0; i < 450; ++i) {
    names.push_back(fixture.call("echo", long_call));
    long_call.name.clear(), long_call.body.clear();
  }
  fixture.net.run_for(300ms);
  EXPECT_LE(fixture.gateway->core().open(), 200U);
  fixture.kill_gateway();
  fixture.worker(1).set_full(false), fixture.worker(2).set_full(false);
  fixture.start_gateway();
  ASSERT_TRUE(fixture.net.run_until(
      [&] {
        return std::all_of(names.begin(), names.end(), [&](auto& n) { return fixture.answers(n) == 1; });
      },
      120s));
}

// The acknowledgement of an answered and delivered call was lost: its message is redelivered and only
// acknowledged.
TEST(Restart, RepeatsLostEarlyAcknowledgementWithoutRunningCall) {
  LedgerGatewayFixture fixture(Mode::kTake, 3, "sole_reader = true\n");
  fixture.start();
  fixture.wait_complete_coverage();
  fixture.on_step = [](const char* at) {
    if (std::string(at) == "take-queued") throw ProcessKilled{};
  };
  const std::string name = fixture.call("gate");
  EXPECT_THROW(fixture.net.run_for(5s), ProcessKilled);  // delivered, and not acknowledged
  fixture.kill_gateway();
  fixture.on_step = {};
  ledger::Record delivered_record;
  delivered_record.function = "gate", delivered_record.owed = delivered_record.delivered = true;
  delivered_record.taken_ms = fixture.net.unix_ms(),
  delivered_record.give_up_ms = delivered_record.taken_ms + 2500;
  delivered_record.keep_until_ms = delivered_record.taken_ms + 600'000;
  delivered_record.answer =
      ledger::Answer{ledger::Answer::Kind::kServed, "", "", 0, delivered_record.taken_ms};
  fixture.disk.data[ledger::key_of("amqp/main/calls", name)] = ledger::write_record(delivered_record);
  fixture.start_gateway();
  ASSERT_TRUE(fixture.wait_queue_empty());
  fixture.net.run_for(5s);
  EXPECT_EQ(fixture.run_count(name), 0U);
  EXPECT_EQ(fixture.answers(name), 0U);
}

// The acknowledgement was lost with its connection. On a new one, the answer is confirmed before the message
// is acknowledged again, and then the process ends. The record must still be there.
TEST(Restart, KeepsRecordWhenAcknowledgementWasLostWithConnection) {
  LedgerGatewayFixture fixture(Mode::kTake, 3, "sole_reader = true\n");
  fixture.start();
  fixture.wait_complete_coverage();
  fixture.on_step = [&](const char* at) {  // the acknowledgement is sent to a broker that doesn't receive it
    if (std::string(at) == "take-durable") fixture.net.set_silent(fixture.broker_at, true);
  };
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(name) == 1; }));
  fixture.net.run_for(100ms);  // the gateway has the answer
  fixture.on_step = {};
  fixture.net.break_connections(fixture.broker_at);
  fixture.net.set_silent(fixture.broker_at, false);
  fixture.disk.least_delay = fixture.disk.most_delay = 300ms;
  ASSERT_TRUE(fixture.wait_answer(name));
  fixture.net.set_silent(fixture.broker_at, true);
  fixture.net.run_for(1s);
  fixture.kill_gateway();
  fixture.net.break_connections(fixture.broker_at);
  fixture.net.set_silent(fixture.broker_at, false);
  fixture.disk.least_delay = fixture.disk.most_delay = 1ms;
  fixture.start_gateway();
  fixture.net.run_for(10s);
  EXPECT_TRUE(fixture.wait_queue_empty());
  EXPECT_EQ(fixture.run_count(name), 1U);
}

TEST(Restart, ResendsOwedAnswerThatBrokerNeverReceived) {
  LedgerGatewayFixture fixture(Mode::kTake, 3);
  fixture.start();
  bool lost = false;
  fixture.on_step = [&](const char* at) {
    if (std::string(at) == "answer-given" && !std::exchange(lost, true))
      fixture.net.set_silent(fixture.broker_at, true);
  };
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return lost; }));
  fixture.net.run_for(50ms);
  fixture.net.break_connections(fixture.broker_at);
  fixture.net.set_silent(fixture.broker_at, false);
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
  EXPECT_EQ(fixture.run_count(name), 1U);
}

TEST(Restart, EarlyAcknowledgedCallsWaitForOpenCallsLimit) {
  auto text = settings_text(settings_of(Mode::kTake), "[ledger]\ndirectory = \"x\"\n");
  text.replace(text.find("open_calls = 5000"), 17, "open_calls = 200");
  GatewayFixture fixture(2, 4, std::make_shared<const config::Settings>(*config::parse(text, "t").settings));
  fixture.with_ledger = true;
  fixture.start();
  std::vector<std::string> names;
  for (int i = 0; i < 600; ++i) names.push_back(fixture.call("gate", {"", "", "", "", "", "", 20'000, true}));
  ASSERT_TRUE(fixture.net.run_until(
      [&] {
        return std::all_of(names.begin(), names.end(), [&](auto& n) { return fixture.answers(n) == 1; });
      },
      60s));
  for (const std::string& name : names)  // the decision module may refuse it, but not the gateway's limit
    EXPECT_EQ(fixture.reason(name).find("holds as many calls as it may"), std::string::npos);
}

TEST(Restart, ConfigReportsSettingsThatNeedLedger) {
  const auto checked = config::parse(settings_text("sole_reader = true\n"), "t.toml");
  ASSERT_FALSE(checked.settings);
  EXPECT_NE(checked.problems[0].to_string().find("need a ledger"), std::string::npos)
      << checked.problems[0].to_string();
}

TEST(Restart, RefusesMessageThatNamesTenantOtherThanBrokers) {
  GatewayFixture fixture(2, 1, settings("tenant = \"volta\"\n"));
  fixture.start();
  standin::CallToMake c;
  c.tenant = "other";
  const std::string bad = fixture.call("echo", c), good = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(bad) && fixture.wait_answer(good));
  EXPECT_EQ(fixture.outcome(bad), "refused");
  EXPECT_NE(fixture.reason(bad).find("the tenant of this broker's calls is volta"), std::string::npos);
  EXPECT_EQ(fixture.outcome(good), "served");
}

}  // namespace
}  // namespace laureltide::test
