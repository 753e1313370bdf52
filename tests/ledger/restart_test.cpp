// A gateway with a ledger is killed, at every step and in every mode, and comes back: one final answer for
// each message, no effect twice, by the callers' and the workers' own counts.
#include "gateway_fixture.h"

namespace laureltide::test {
namespace {

struct Killed {};

enum class Mode { kTransaction, kConfirm, kTake };
const char* text_of(Mode m) {
  return m == Mode::kTransaction ? "answers = \"transaction\"\n"
         : m == Mode::kConfirm   ? "answers = \"confirm\"\n"
                                 : "acknowledge = \"take\"\n";
}
std::shared_ptr<const config::Settings> with_ledger(Mode mode, const std::string& more_broker = "",
                                                    const std::string& more_ledger = "") {
  return settings(text_of(mode) + more_broker, "[ledger]\ndirectory = \"unused here\"\n" + more_ledger);
}

struct LedgerTown : GatewayFixture {
  explicit LedgerTown(Mode mode = Mode::kTransaction, std::uint64_t seed = 1, const std::string& more = "",
                      const std::string& more_ledger = "")
      : GatewayFixture(2, seed, ::laureltide::test::with_ledger(mode, more, more_ledger)) {
    with_ledger = true;
  }
  bool settled(Duration most = 30s) {
    return net.run_until([&] { return broker.unacked("calls") == 0 && broker.depth("calls") == 0; }, most);
  }
  // Until all calls have their answers and the queue is empty, whenever the gateway dies on the way.
  bool run_to_the_end(const std::vector<std::string>& names, Duration most = 60s) {
    const Time until = net.now() + most;
    while (net.now() < until) {
      try {
        const bool done = net.run_until(
            [&] {
              return broker.unacked("calls") == 0 && broker.depth("calls") == 0 &&
                     std::all_of(names.begin(), names.end(), [&](auto& n) { return answers(n) > 0; });
            },
            until - net.now());
        if (done) net.run_for(5s);  // nothing may come behind
        return done;
      } catch (const Killed&) {
        kill_gateway();
        ++kills;
        net.run_for(200ms);
        start_gateway();
      }
    }
    return false;
  }
  // One outcome, whatever the number of times it is told; in a transaction, once.
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
  void whole_coverage() {
    ASSERT_TRUE(
        net.run_until([&] { return book->coverage("amqp/main/calls") == ledger::Coverage::kComplete; }));
  }
  int kills = 0;
};

class EveryStep : public testing::TestWithParam<std::tuple<const char*, Mode, bool>> {};

// The n-th time that the ledger passes the step, the process ends there and then.
TEST_P(EveryStep, AGateReleaseHasOneAnswerAndRunsOnce) {
  const auto [step, mode, sole] = GetParam();
  int deaths = 0;
  for (int nth = 1; nth <= 4; ++nth)
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const std::string where = std::string(step) + " " + std::to_string(nth) + " " + text_of(mode) +
                                " seed " + std::to_string(seed);
      LedgerTown town(mode, seed, sole ? "sole_reader = true\n" : "");
      town.start();
      if (sole) town.whole_coverage();
      int passed = 0;
      town.on_step = [&, s = std::string(step)](const char* at) {
        if (s == at && ++passed == nth) throw Killed{};
      };
      std::vector<std::string> names;
      for (int i = 0; i < 3; ++i) names.push_back(town.call("gate"));
      names.push_back(town.call("status"));
      names.push_back(town.call("echo"));
      ASSERT_TRUE(town.run_to_the_end(names)) << where;
      deaths += town.kills;
      for (const std::string& name : names)
        if (!name.starts_with("echo")) town.expect_one_answer(name, mode, where + name);
      EXPECT_GE(town.answers(names.back()), 1U);
      EXPECT_EQ(town.net.unsent(GatewayFixture::worker_at(1)), 0U);
    }
  // A step that is never passed proves nothing.
  const bool taken = std::string(step).starts_with("take") || std::string(step) == "owed-found";
  const bool only_take = taken || std::string(step) == "answer-durable";
  const bool only_transaction = std::string(step).starts_with("commit");
  const bool expected = std::string(step) == "callback-given" || std::string(step) == "owed-found" ? false
                        : only_transaction ? mode == Mode::kTransaction
                        : taken            ? mode == Mode::kTake
                        : only_take        ? mode != Mode::kTransaction
                                           : true;
  if (expected) {
    EXPECT_GE(deaths, 3) << step << " " << text_of(mode);
  }
}
INSTANTIATE_TEST_SUITE_P(Ledger, EveryStep,
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

TEST(Restart, ServedAgainFromTheRecordWhenTheCommitNeverArrived) {
  LedgerTown town;
  town.start();
  town.broker.drop_commits(1);  // the connection breaks in its place
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(name) == 1; }));
  ASSERT_TRUE(town.net.run_until([&] { return town.log.contains("connection ended"); }));
  town.kill_gateway();  // the answer is on disk or not; give it time
  town.net.run_for(100ms);
  town.start_gateway();
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_TRUE(town.settled());
  EXPECT_EQ(town.answers(name), 1U);
  EXPECT_EQ(town.run_count(name), 1U);
}

// The one that says what is gained by a ledger and a sole reader.
TEST(Restart, ASoleReaderRunsWhatItNeverSent) {
  for (const bool sole : {false, true}) {
    LedgerTown town(Mode::kTransaction, 5, sole ? "sole_reader = true\n" : "");
    town.start();
    if (sole) town.whole_coverage();
    // Every delivery is lost on its way: the broker's side believes that it gave them.
    town.net.set_silent(town.broker_at, true);
    town.net.set_silent(town.broker_at, false);
    std::vector<std::string> names;
    for (int i = 0; i < 20; ++i) names.push_back(town.call("gate"));
    ASSERT_TRUE(town.net.run_until([&] { return town.tape.count("delivered", names.back()) > 0; }));
    town.broker.break_connections("gw-0");
    ASSERT_TRUE(town.run_to_the_end(names));
    std::map<std::string, int> outcomes;
    for (const auto& name : names) {
      ++outcomes[town.outcome(name)];
      EXPECT_LE(town.run_count(name), 1U);
      EXPECT_EQ(town.answers(name), 1U);
      if (!sole && town.outcome(name) == "failed") {
        EXPECT_NE(town.reason(name).find("nothing here proves that it did not run"), std::string::npos)
            << town.reason(name);
      }
    }
    if (sole) {
      EXPECT_EQ(outcomes["served"], 20) << outcomes["failed"];
    } else {
      EXPECT_GT(outcomes["failed"], 0);
    }
  }
}

// Messages that another reader may have had before this ledger began are not covered by it.
TEST(Restart, CoverageBeginsOnlyOnceTheOldMessagesAreGone) {
  LedgerTown town(Mode::kTransaction, 2, "sole_reader = true\n");
  {  // another gateway, without a ledger, is killed with a call out
    GatewayFixture* other = &town;
    other->with_ledger = false;
    auto plain = other->config;
    other->config = settings();
    other->start();
    const std::string old = other->call("gate", {"old", "", "", "", "", "", {}, true});
    ASSERT_TRUE(other->net.run_until([&] { return other->run_count(old) == 1; }));
    other->kill_gateway();
    other->config = plain;
    other->with_ledger = true;
  }
  town.net.run_for(100ms);
  town.start_gateway();
  ASSERT_TRUE(town.wait_answer("old"));
  EXPECT_EQ(town.outcome("old"), "failed");
  EXPECT_EQ(town.run_count("old"), 1U);
  town.whole_coverage();  // and now it is
}

TEST(Restart, ASecondReaderIsHeldOff) {
  LedgerTown town(Mode::kTransaction, 2, "sole_reader = true\n");
  town.start();
  Log other_log;
  auto other_settings = [] {
    std::string text = settings_text();
    text.replace(text.find("name = \"gw-0\""), 13, "name = \"gw-1\"");
    return std::make_shared<const config::Settings>(*config::parse(text, "t").settings);
  }();
  controller::Gateway other(town.net, other_settings, other_log, 9);
  other.start();
  ASSERT_TRUE(town.net.run_until([&] { return other_log.contains("403"); }));
  EXPECT_EQ(town.broker.consumers("calls"), 1U);
}

// Two readers, each with its ledger: one dies with a gate release out; the other must not run it.
TEST(Restart, TheOtherReaderFailsWhatItNeverSaw) {
  LedgerTown town;
  town.start();
  store::MemoryDisk disk;
  store::MemoryStore store(town.net, disk);
  ledger::CallLedger book(town.net, store, {});
  Log log;
  auto other_settings = [&] {
    auto copy = std::make_shared<config::Settings>(*town.config);
    copy->gateway.name = "gw-1";
    return copy;
  }();
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(name) == 1; }));
  controller::Gateway other(town.net, other_settings, log, 9, 1, &book);
  other.start();
  ASSERT_TRUE(town.net.run_until([&] { return town.broker.consumers("calls") == 2; }));
  town.kill_gateway();
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "failed");
  EXPECT_EQ(town.run_count(name), 1U);
  EXPECT_EQ(town.answers(name), 1U);
}

// The first comes back and is given the message again: its own record proves nothing of the time between.
TEST(Restart, ARecordThatNothingRanProvesNothingBesideAnotherReader) {
  LedgerTown town;
  town.worker(1).set_full(true), town.worker(2).set_full(true);
  town.start();
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.tape.count("call", name) >= 1; }));
  town.net.run_for(20ms);
  town.kill_gateway();
  town.net.run_for(10ms);
  town.worker(1).set_full(false), town.worker(2).set_full(false);
  town.start_gateway();
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "failed");
}

TEST(Restart, ASoleReadersRecordThatNothingRanIsProof) {
  LedgerTown town(Mode::kTransaction, 1, "sole_reader = true\n");
  town.worker(1).set_full(true), town.worker(2).set_full(true);
  town.start();
  town.whole_coverage();
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.tape.count("call", name) >= 1; }));
  town.net.run_for(60ms);  // it is written behind
  town.kill_gateway();
  town.net.run_for(10ms);
  town.worker(1).set_full(false), town.worker(2).set_full(false);
  town.start_gateway();
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served") << town.reason(name);
  EXPECT_EQ(town.run_count(name), 1U);
}

TEST(Restart, AcknowledgedCallsWhosePatienceRanOutAreAnswered) {
  LedgerTown town(Mode::kTake);
  town.start();
  town.worker(1).set_unresponsive(true), town.worker(2).set_unresponsive(true);
  std::vector<std::string> names;
  for (int i = 0; i < 3; ++i) names.push_back(town.call("gate")), names.push_back(town.call("echo"));
  ASSERT_TRUE(
      town.net.run_until([&] { return town.broker.unacked("calls") == 0 && town.book->records() == 6; }));
  town.kill_gateway();
  town.net.run_for(20s);
  EXPECT_EQ(town.caller->answers().size(), 0U);
  town.start_gateway();
  for (const auto& name : names) ASSERT_TRUE(town.wait_answer(name)) << name;
  town.net.run_for(5s);
  for (const auto& name : names) {
    EXPECT_EQ(town.answers(name), 1U) << name;
    EXPECT_NE(town.outcome(name), "served");
  }
  EXPECT_EQ(town.tape.count("ran"), 0U);
}

TEST(Restart, BrokerAndGatewayDieTogether) {
  for (const Mode mode : {Mode::kTransaction, Mode::kConfirm, Mode::kTake})
    for (int step = 0; step < 40; ++step) {
      LedgerTown town(mode, 3);
      town.start();
      town.call("echo", {"warm", "", "", "", "", "", {}, true});
      ASSERT_TRUE(town.wait_answer("warm"));
      const std::string name = town.call("gate");
      town.net.run_for(step * 3ms);
      town.broker.crash();
      town.kill_gateway();
      town.net.run_for(300ms);
      town.start_gateway();
      town.net.run_for(200ms);
      ASSERT_TRUE(town.broker.restart());
      // What the client had not confirmed it would send again; here it had all the time to be.
      ASSERT_TRUE(town.run_to_the_end({})) << step;
      EXPECT_LE(town.run_count(name), 1U) << step;
      if (town.answers(name) > 0) town.expect_one_answer(name, mode, std::to_string(step));
    }
}

TEST(Restart, AFullDiskStopsTakingAndLosesNothing) {
  for (const Mode mode : {Mode::kTransaction, Mode::kTake}) {
    LedgerTown town(mode);
    town.start();
    const std::string before = town.call("gate");
    ASSERT_TRUE(town.wait_answer(before));
    town.disk.full = true;
    std::vector<std::string> names;
    for (int i = 0; i < 30; ++i) {
      names.push_back(town.call("gate"));
      town.net.run_for(50ms);
    }
    EXPECT_TRUE(
        town.log.contains("nothing is taken: the ledger cannot be written: no space left on the disk"));
    EXPECT_EQ(town.broker.consumers("calls"), 0U);
    EXPECT_GT(town.broker.depth("calls"), 10U);
    EXPECT_EQ(town.tape.count("ran"), 1U);  // nothing left for a worker unrecorded
    town.net.run_for(5s);
    town.disk.full = false;
    ASSERT_TRUE(town.run_to_the_end(names));
    EXPECT_TRUE(town.log.contains("calls are taken again"));
    for (const auto& name : names) {
      EXPECT_EQ(town.answers(name), 1U);
      EXPECT_LE(town.run_count(name), 1U);
    }
  }
}

// A disk so slow that the decision is old when its write is done: the attempt does not leave any more.
TEST(Restart, AWriteThatTakesTooLongIsNotSent) {
  LedgerTown town;
  town.start();
  town.disk.least_delay = 900ms, town.disk.most_delay = 950ms;
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.book->records() > 0 && town.steps.size() >= 2; }));
  town.set_worker_state(1, WorkerState::kDraining), town.set_worker_state(2, WorkerState::kDraining);
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "refused") << town.reason(name);  // proof that it never ran
  EXPECT_EQ(town.tape.count("call", name), 0U);
}

// The list's word comes while the write is out: within the grace, but the record is no excuse to send later.
TEST(Restart, AWorkerThatBeganToDrainMeanwhileGetsNothing) {
  LedgerTown town;
  town.start();
  town.call("gate", {"warm", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("warm"));
  town.disk.least_delay = 100ms, town.disk.most_delay = 110ms;
  const std::string name = town.call("gate");
  ASSERT_TRUE(
      town.net.run_until([&] { return town.steps.size() > 3 && town.steps.back() == "attempt-queued"; }));
  town.set_worker_state(1, WorkerState::kDraining), town.set_worker_state(2, WorkerState::kDraining);
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.tape.count("call", name), 0U);
  EXPECT_EQ(town.outcome(name), "refused");
}

// A keyed call's repeat is decided within the time in which workers drop repeats; its record is on disk
// after.
TEST(Restart, ARepeatThatWaitedForTheDiskPastItsWindowNeverLeaves) {
  std::string text = settings_text(text_of(Mode::kTransaction), "[ledger]\ndirectory = \"x\"\n");
  const std::string window = "repeat_window_ms = 2000";
  text.replace(text.find(window), window.size(), "repeat_window_ms = 500");
  const std::string group = "repeats_dropped_by = \"cell\"";
  text.replace(text.find(group), group.size(), "repeats_dropped_by = \"all\"");
  GatewayFixture town(2, 1, std::make_shared<const config::Settings>(*config::parse(text, "t").settings));
  town.with_ledger = true;
  town.start();
  // Connections to both workers stand.
  for (const std::uint32_t full : {2U, 1U}) {
    town.worker(full).set_full(true);
    ASSERT_TRUE(town.wait_answer(town.call(full == 1 ? "echo" : "status")));
    town.worker(full).set_full(false);
  }
  for (const std::uint32_t worker : {1U, 2U}) town.worker(worker).fail_class("update", true);
  town.disk.least_delay = 200ms, town.disk.most_delay = 210ms;
  const std::string name = town.call("status");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "refused");  // its repeats are dropped everywhere
  EXPECT_EQ(town.tape.count("call", name), 1U);
  ASSERT_FALSE(town.log.calls.empty());
  EXPECT_EQ(town.log.calls.back().attempts, "w1:error,w2:full");  // a repeat was decided, and held back
}

TEST(Restart, OwedAnswersWaitForTheBroker) {
  LedgerTown town(Mode::kTake);
  town.start();
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(name) == 1; }));
  town.net.set_silent(town.broker_at, true);
  town.net.run_for(3s);
  town.kill_gateway();
  town.start_gateway();  // served already; nobody to tell it to
  town.net.run_for(5s);
  EXPECT_EQ(town.answers(name), 0U);
  town.net.set_silent(town.broker_at, false);
  ASSERT_TRUE(town.wait_answer(name, 60s));
  EXPECT_EQ(town.outcome(name), "served");
  EXPECT_EQ(town.run_count(name), 1U);
}

TEST(Restart, MoreOwedThanTheGatewayMayHold) {
  auto text = settings_text(text_of(Mode::kTake), "[ledger]\ndirectory = \"x\"\n");
  text.replace(text.find("open_calls = 5000"), 17, "open_calls = 200");
  GatewayFixture town(2, 4, std::make_shared<const config::Settings>(*config::parse(text, "t").settings));
  town.with_ledger = true;
  town.start();
  town.worker(1).set_full(true), town.worker(2).set_full(true);
  std::vector<std::string> names;
  standin::CallToMake patient;
  patient.patience_ms = 60'000;
  for (int i = 0; i < 450; ++i) {
    names.push_back(town.call("echo", patient));
    patient.name.clear(), patient.body.clear();
  }
  town.net.run_for(300ms);
  EXPECT_LE(town.gateway->core().open(), 200U);
  town.kill_gateway();
  town.worker(1).set_full(false), town.worker(2).set_full(false);
  town.start_gateway();
  ASSERT_TRUE(town.net.run_until(
      [&] { return std::all_of(names.begin(), names.end(), [&](auto& n) { return town.answers(n) == 1; }); },
      120s));
}

// An answered and delivered call whose acknowledgement was lost: its message comes again and is acknowledged,
// nothing else.
TEST(Restart, ALostEarlyAcknowledgementIsMadeAgainAndNothingRuns) {
  LedgerTown town(Mode::kTake, 3, "sole_reader = true\n");
  town.start();
  town.whole_coverage();
  town.on_step = [](const char* at) {
    if (std::string(at) == "take-queued") throw Killed{};
  };
  const std::string name = town.call("gate");
  EXPECT_THROW(town.net.run_for(5s), Killed);  // given, and not acknowledged
  town.kill_gateway();
  town.on_step = {};
  ledger::Record over;
  over.function = "gate", over.owed = over.delivered = true;
  over.taken_ms = town.net.unix_ms(), over.give_up_ms = over.taken_ms + 2500;
  over.keep_until_ms = over.taken_ms + 600'000;
  over.answer = ledger::Answer{ledger::Answer::Kind::kServed, "", "", 0, over.taken_ms};
  town.disk.data[ledger::key_of("amqp/main/calls", name)] = ledger::write_record(over);
  town.start_gateway();
  ASSERT_TRUE(town.settled());
  town.net.run_for(5s);
  EXPECT_EQ(town.run_count(name), 0U);
  EXPECT_EQ(town.answers(name), 0U);
}

// The answer is confirmed on a new connection before the message, whose acknowledgement was lost with the old
// one, is acknowledged again; then the process ends. The record must still be there.
TEST(Restart, AnAcknowledgementOfALostConnectionIsNotCertain) {
  LedgerTown town(Mode::kTake, 3, "sole_reader = true\n");
  town.start();
  town.whole_coverage();
  town.on_step = [&](const char* at) {  // the acknowledgement leaves for a broker that hears nothing
    if (std::string(at) == "take-durable") town.net.set_silent(town.broker_at, true);
  };
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(name) == 1; }));
  town.net.run_for(100ms);  // answered here
  town.on_step = {};
  town.net.break_connections(town.broker_at);
  town.net.set_silent(town.broker_at, false);
  town.disk.least_delay = town.disk.most_delay = 300ms;
  ASSERT_TRUE(town.wait_answer(name));
  town.net.set_silent(town.broker_at, true);
  town.net.run_for(1s);
  town.kill_gateway();
  town.net.break_connections(town.broker_at);
  town.net.set_silent(town.broker_at, false);
  town.disk.least_delay = town.disk.most_delay = 1ms;
  town.start_gateway();
  town.net.run_for(10s);
  EXPECT_TRUE(town.settled());
  EXPECT_EQ(town.run_count(name), 1U);
}

TEST(Restart, AnOwedAnswerThatTheBrokerNeverHeardIsGivenAgain) {
  LedgerTown town(Mode::kTake, 3);
  town.start();
  bool lost = false;
  town.on_step = [&](const char* at) {
    if (std::string(at) == "answer-given" && !std::exchange(lost, true))
      town.net.set_silent(town.broker_at, true);
  };
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return lost; }));
  town.net.run_for(50ms);
  town.net.break_connections(town.broker_at);
  town.net.set_silent(town.broker_at, false);
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
  EXPECT_EQ(town.run_count(name), 1U);
}

TEST(Restart, NewCallsWaitForRoomOnceTheyAreAcknowledgedOnTake) {
  auto text = settings_text(text_of(Mode::kTake), "[ledger]\ndirectory = \"x\"\n");
  text.replace(text.find("open_calls = 5000"), 17, "open_calls = 200");
  GatewayFixture town(2, 4, std::make_shared<const config::Settings>(*config::parse(text, "t").settings));
  town.with_ledger = true;
  town.start();
  std::vector<std::string> names;
  for (int i = 0; i < 600; ++i) names.push_back(town.call("gate", {"", "", "", "", "", "", 20'000, true}));
  ASSERT_TRUE(town.net.run_until(
      [&] { return std::all_of(names.begin(), names.end(), [&](auto& n) { return town.answers(n) == 1; }); },
      60s));
  for (const std::string& name :
       names)  // by the module, where the workers have no room; never for want of it here
    EXPECT_EQ(town.reason(name).find("holds as many calls as it may"), std::string::npos);
}

TEST(Restart, SettingsThatNeedALedgerSayIt) {
  const auto checked = config::parse(settings_text("sole_reader = true\n"), "t.toml");
  ASSERT_FALSE(checked.settings);
  EXPECT_NE(checked.problems[0].to_string().find("need a ledger"), std::string::npos)
      << checked.problems[0].to_string();
}

TEST(Restart, ABrokersTenantIsNotTheMessagesToSay) {
  GatewayFixture town(2, 1, settings("tenant = \"volta\"\n"));
  town.start();
  standin::CallToMake c;
  c.tenant = "other";
  const std::string bad = town.call("echo", c), good = town.call("echo");
  ASSERT_TRUE(town.wait_answer(bad) && town.wait_answer(good));
  EXPECT_EQ(town.outcome(bad), "refused");
  EXPECT_NE(town.reason(bad).find("the tenant of this broker's calls is volta"), std::string::npos);
  EXPECT_EQ(town.outcome(good), "served");
}

}  // namespace
}  // namespace laureltide::test
