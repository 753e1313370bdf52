// Leases on workers, by themselves and as the decisions use them (docs/incidents/discovery-out-of-reach.md).
#include "policy/worker_lease.h"

#include <gtest/gtest.h>

#include <set>

#include "bench.h"

namespace laureltide::test {
namespace {

constexpr WorkerId kOne{1}, kTwo{2};
constexpr Duration kGrace = 1s, kTerm = 900ms;  // less the margin for sending
const Time kStart{100s};

// ---- The leases ---------------------------------------------------------------------------------------

TEST(WorkerLeases, AListThatIsAlwaysCurrentIsLeaseEnough) {
  const WorkerLeases leases(kGrace);
  EXPECT_TRUE(leases.list_is_valid(kStart + 24h));
  EXPECT_TRUE(leases.holds(kOne, kStart + 24h));
}

TEST(WorkerLeases, TheListEndsWithTheGraceBehindItsLastCurrentTime) {
  WorkerLeases leases(kGrace);
  leases.set_list_current_until(kStart);
  EXPECT_TRUE(leases.holds(kOne, kStart + kTerm - 1ms));
  EXPECT_FALSE(leases.holds(kOne, kStart + kTerm));
  leases.set_list_current_until(kStart + 5s);
  EXPECT_TRUE(leases.holds(kOne, kStart + 5s));
  leases.set_list_current_until(kStart);  // discovery is asked anew
  EXPECT_FALSE(leases.holds(kOne, kStart + 5s));
}

TEST(WorkerLeases, CountsFromWhenWhatWasAcceptedWasSent) {
  WorkerLeases leases(kGrace);
  leases.set_list_current_until(kStart);
  leases.accepted(kOne, kStart + 10s);
  EXPECT_TRUE(leases.holds(kOne, kStart + 10s + kTerm - 1ms));
  EXPECT_FALSE(leases.holds(kOne, kStart + 10s + kTerm));
  EXPECT_FALSE(leases.holds(kTwo, kStart + 10s));
  leases.accepted(kOne, kStart + 9s);  // an earlier one ends later
  EXPECT_TRUE(leases.holds(kOne, kStart + 10s + kTerm - 1ms));
}

TEST(WorkerLeases, ARefusalVoidsWhatWasAcceptedBeforeIt) {
  WorkerLeases leases(kGrace);
  leases.set_list_current_until(kStart);
  leases.accepted(kOne, kStart + 10s);
  ASSERT_TRUE(leases.ask(kOne, kStart + 10100ms));
  leases.refused(kOne, kStart + 10100ms, kStart + 10200ms);
  EXPECT_FALSE(leases.holds(kOne, kStart + 10200ms));
  EXPECT_FALSE(leases.accepted(kOne, kStart + 10050ms));  // accepted before, ends behind
  EXPECT_FALSE(leases.holds(kOne, kStart + 10200ms));
  EXPECT_FALSE(leases.may_be_asked(kOne, kStart + 11100ms));
  EXPECT_TRUE(leases.may_be_asked(kOne, kStart + 11200ms));
  EXPECT_TRUE(leases.said_ready(kOne, kStart + 12s));  // perhaps another process
  EXPECT_TRUE(leases.holds(kOne, kStart + 12s));
  EXPECT_FALSE(leases.said_ready(kOne, kStart + 13s));
}

TEST(WorkerLeases, AQuestionIsOutOnceAndFewAreOutAtOnce) {
  WorkerLeases leases(kGrace);
  leases.set_list_current_until(kStart);
  EXPECT_TRUE(leases.ask(kOne, kStart + 9s));
  EXPECT_FALSE(leases.ask(kOne, kStart + 9s));
  for (std::uint32_t i = 2; i <= WorkerLeases::kMostQuestions; ++i)
    EXPECT_TRUE(leases.ask(WorkerId{i}, kStart + 9s));
  const WorkerId next{WorkerLeases::kMostQuestions + 1};
  EXPECT_FALSE(leases.ask(next, kStart + 9s));
  leases.unanswered(kOne, kStart + 9200ms);
  EXPECT_TRUE(leases.ask(next, kStart + 9200ms));
  leases.forget(kTwo);  // with its question out
  EXPECT_TRUE(leases.ask(WorkerId{77}, kStart + 9200ms));
  EXPECT_FALSE(leases.ask(WorkerId{78}, kStart + 9200ms));
  EXPECT_EQ(leases.counters().asked, WorkerLeases::kMostQuestions + 2);
  EXPECT_EQ(leases.counters().unanswered, 1U);
}

TEST(WorkerLeases, AShortGraceKeepsMostOfItself) {
  WorkerLeases leases(100ms);
  leases.set_list_current_until(kStart);
  leases.accepted(kOne, kStart + 1s);
  EXPECT_TRUE(leases.holds(kOne, kStart + 1074ms));
  EXPECT_FALSE(leases.holds(kOne, kStart + 1075ms));
}

// ---- The decisions ------------------------------------------------------------------------------------

Settings with_probes() {
  Settings s = plain_settings();
  s.bounds.probes = true;
  s.rules.drain_grace = kGrace;
  return s;
}

// Discovery was last heard at `heard_until`; the bench's clock has gone past the list's lease.
struct Away : Bench {
  explicit Away(std::uint32_t workers = 4, Settings s = with_probes()) : Bench(std::move(s)) {
    std::vector<WorkerEntry> entries;
    for (std::uint32_t i = 1; i <= workers; ++i) entries.push_back(worker(i));
    list(entries);
    dispatcher.on(now, ListFreshness{now});
  }
  void lose_discovery() { advance(2s); }
  void probed(const Action& probe, Outcome outcome) {
    dispatcher.on(now, ProbeResult{probe.worker, outcome, now - probe.at, {}});
  }
  Action last_probe() const { return all(Did::kProbe).back(); }
};

TEST(Leases, WhileDiscoveryIsHeardNobodyIsAsked) {
  Away b;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = b.ask();
    ASSERT_EQ(b.sends_of(id).size(), 1U);
    b.advance(500ms);
    b.serve(b.sends_of(id)[0]);
    b.dispatcher.on(b.now, ListFreshness{b.now + 2s});
  }
  EXPECT_TRUE(b.all(Did::kProbe).empty());
}

TEST(Leases, ACallWaitsForTheAnswerOfTheWorkerItIsFor) {
  Away b;
  b.lose_discovery();
  const RequestId id = b.ask();
  EXPECT_TRUE(b.sends_of(id).empty());
  ASSERT_EQ(b.all(Did::kProbe).size(), 1U);
  b.advance(10ms);
  b.probed(b.last_probe(), Outcome::kOk);
  ASSERT_EQ(b.sends_of(id).size(), 1U);
  EXPECT_EQ(b.sends_of(id)[0].worker, b.last_probe().worker);
  EXPECT_EQ(b.all(Did::kProbe).size(), 1U);
}

TEST(Leases, AWorkerThatRefusesIsPassedOver) {
  Away b;
  b.lose_discovery();
  const RequestId id = b.ask();
  const WorkerId first = b.last_probe().worker;
  b.advance(10ms);
  b.probed(b.last_probe(), Outcome::kError);
  ASSERT_EQ(b.all(Did::kProbe).size(), 2U);
  EXPECT_NE(b.last_probe().worker, first);
  b.probed(b.last_probe(), Outcome::kOk);
  ASSERT_EQ(b.sends_of(id).size(), 1U);
  EXPECT_NE(b.sends_of(id)[0].worker, first);
}

TEST(Leases, ASilentWorkerDoesNotHoldACallUp) {
  Away b;
  b.lose_discovery();
  const RequestId id = b.ask();
  b.probed(b.last_probe(), Outcome::kTimeout);
  ASSERT_EQ(b.all(Did::kProbe).size(), 2U);
  b.probed(b.last_probe(), Outcome::kOk);
  EXPECT_EQ(b.sends_of(id).size(), 1U);
}

// A worker that drains finishes what it has: an answer says nothing of the time at which it comes.
TEST(Leases, AnAnswerToAnOldCallIsNoLease) {
  Settings s = with_probes();
  s.classes[Bench::kRepeatable].target = 10s;  // it is not late
  Away b(1, s);
  const RequestId old = b.ask(Bench::kRepeatable, 1, 10s);
  ASSERT_EQ(b.sends_of(old).size(), 1U);
  b.lose_discovery();
  b.serve(b.sends_of(old)[0]);
  const RequestId id = b.ask();
  EXPECT_TRUE(b.sends_of(id).empty());
}

TEST(Leases, TrafficRenewsThemByItself) {
  Away b(1);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = b.ask();
    ASSERT_EQ(b.sends_of(id).size(), 1U) << i;
    b.advance(200ms);
    b.serve(b.sends_of(id)[0]);
  }
  EXPECT_FALSE(b.dispatcher.list_is_valid(b.now));
  EXPECT_TRUE(b.all(Did::kProbe).empty());
}

TEST(Leases, ARefusalOfACallRenewsNothing) {
  Away b(1);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = b.ask();
    for (const Action& sent : b.sends_of(id)) b.answer(sent, Outcome::kFull);
    b.advance(200ms);
  }
  for (const Action& sent : b.all(Did::kSend)) EXPECT_LT(sent.at - kStart, kTerm);
}

TEST(Leases, RetriesAndOrdersPassTheSameGate) {
  Settings s = with_probes();
  s.instances.on_miss = MissMode::kMiss;
  Away b(4, s);
  const RequestId id = b.ask(Bench::kOnce, 1, 10s);
  ASSERT_EQ(b.sends_of(id).size(), 1U);
  b.lose_discovery();
  for (const Action& order : b.all(Did::kHold)) b.held(order);
  const std::size_t orders = b.all(Did::kHold).size();
  b.answer(b.sends_of(id)[0], Outcome::kMiss);  // would be ordered there and sent again
  EXPECT_EQ(b.all(Did::kHold).size(), orders);
  EXPECT_EQ(b.sends_of(id).size(), 1U);
  ASSERT_FALSE(b.all(Did::kProbe).empty());
  const Action probe = b.all(Did::kProbe).front();
  b.probed(probe, Outcome::kOk);
  ASSERT_EQ(b.all(Did::kHold).size(), orders + 1);  // the order that waited
  EXPECT_EQ(b.all(Did::kHold).back().worker, probe.worker);
}

TEST(Leases, RenewalsAndReleasesOfCopiesPassTheSameGate) {
  Settings s = with_probes();
  s.instances.idle_memory_cost = 1;
  s.instances.keep_alive = 60s;
  const auto play = [&](bool heard) {
    Away b(2, s);
    std::size_t answered = 0;
    for (int i = 0; i < 100; ++i) {
      const RequestId id = b.ask();
      for (const Action& sent : b.sends_of(id)) b.serve(sent);
      const std::vector<Action> orders = b.all(Did::kHold);
      for (; answered < orders.size(); ++answered)
        b.held(orders[answered], Outcome::kOk, orders[answered].count);
      b.advance(20ms);
    }
    if (heard) b.dispatcher.on(b.now, ListFreshness{Time::max()});
    const Time last = b.now;
    b.advance(150s);
    std::size_t released = 0;
    for (const Action& a : b.actions) {
      released += a.did == Did::kRelease;
      const bool begins =
          a.did == Did::kRelease || a.did == Did::kSend || (a.did == Did::kHold && a.count > 0);
      if (heard || !begins) continue;
      EXPECT_LT(a.at - last, kTerm);
    }
    return released;
  };
  EXPECT_GT(play(true), 0U);
  EXPECT_EQ(play(false), 0U);
}

TEST(Leases, WhenDiscoveryIsHeardAgainWhatWaitsIsSent) {
  Away b(1);
  b.lose_discovery();
  const RequestId id = b.ask();
  EXPECT_TRUE(b.sends_of(id).empty());
  b.dispatcher.on(b.now, ListFreshness{b.now + 2s});
  EXPECT_EQ(b.sends_of(id).size(), 1U);
}

// Without probes only what traffic renews can be sent to; the rest is refused in time, and nobody is asked.
TEST(Leases, WhereProbesAreNotAllowedOnlyTrafficRenews) {
  Settings s = with_probes();
  s.bounds.probes = false;
  Away b(4, s);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = b.ask();
    ASSERT_EQ(b.sends_of(id).size(), 1U);
    b.advance(200ms);
    b.serve(b.sends_of(id)[0]);
  }
  const RequestId missed = b.ask();
  ASSERT_EQ(b.sends_of(missed).size(), 1U);
  b.advance(2s);
  b.answer(b.sends_of(missed)[0], Outcome::kMiss);  // an order would follow
  const RequestId late = b.ask();
  b.advance(3s);
  EXPECT_TRUE(b.sends_of(late).empty());
  EXPECT_EQ(b.answers_of(late).size(), 1U);
  EXPECT_TRUE(b.all(Did::kProbe).empty());
}

// ---- Restarts within an outage
// ------------------------------------------------------------------------------
//
// Nobody tells of them. A cold worker is sent a part of what a warm one is.

struct Restarts : testing::Test {
  Away b{1};

  Restarts() {
    while (b.now < kStart + 4s) serve_one();
  }
  void serve_one() {
    const RequestId id = b.ask();
    b.advance(50ms);
    for (const Action& sent : b.sends_of(id)) b.serve(sent);
  }
  // Of 40 calls in 2 s, those that the worker was sent at once.
  std::size_t sent() {
    std::size_t n = 0;
    for (int i = 0; i < 40; ++i) {
      const RequestId id = b.ask();
      n += !b.sends_of(id).empty();
      b.advance(50ms);
      for (const Action& sent : b.sends_of(id)) b.serve(sent);
      for (const Action& order : b.all(Did::kHold))
        if (order.at > b.now - 50ms) b.held(order, Outcome::kOk, std::max(1, order.count));
    }
    return n;
  }
};

TEST_F(Restarts, AWorkerThatOnlyWasNotAskedIsAsWarmAsEver) {
  b.advance(2s);
  b.ask();
  b.probed(b.last_probe(), Outcome::kOk);
  EXPECT_GE(sent(), 39U);
}

// It refused, as one does that drains before its restart, and takes work again.
TEST_F(Restarts, AWorkerThatRefusedAndComesBackIsCold) {
  b.advance(2s);
  b.ask();
  b.probed(b.last_probe(), Outcome::kError);
  b.advance(1100ms);
  b.ask();
  b.probed(b.last_probe(), Outcome::kOk);
  EXPECT_LT(sent(), 30U);
}

// Its copy stands, perhaps since others have loaded it there.
TEST_F(Restarts, AWorkerThatRefusedAConnectionAndAnswersAQuestionIsCold) {
  const RequestId id = b.ask(Bench::kOnce);
  ASSERT_EQ(b.sends_of(id).size(), 1U);
  b.answer(b.sends_of(id)[0], Outcome::kConnectFailed);
  b.advance(1100ms);
  const std::vector<Action> orders = b.all(Did::kHold);
  ASSERT_FALSE(orders.empty());
  ASSERT_EQ(orders.back().count, 0);  // a sign of life is asked for
  b.held(orders.back(), Outcome::kOk, 1);
  for (int i = 0; i < 40 && b.all(Did::kProbe).empty(); ++i) b.ask(), b.advance(50ms);
  ASSERT_FALSE(b.all(Did::kProbe).empty());
  b.probed(b.last_probe(), Outcome::kOk);
  EXPECT_LT(sent(), 30U);
}

// All are suspects, so that it is tried all the same, and serves a call that was sent after the suspicion.
TEST_F(Restarts, AWorkerThatRefusedAConnectionAndServesALaterCallIsCold) {
  const RequestId id = b.ask(Bench::kOnce);
  ASSERT_EQ(b.sends_of(id).size(), 1U);
  const RequestId later_one = b.ask(Bench::kOnce);
  b.answer(b.sends_of(id)[0], Outcome::kConnectFailed);
  b.advance(20ms);
  ASSERT_EQ(b.sends_of(later_one).size(), 1U);
  b.serve(b.sends_of(later_one)[0]);  // sent before: the process of before
  EXPECT_GE(sent(), 39U);
  const RequestId again = b.ask(Bench::kOnce);
  b.answer(b.sends_of(again)[0], Outcome::kConnectFailed);
  b.advance(20ms);
  const RequestId last = b.ask(Bench::kOnce);
  ASSERT_EQ(b.sends_of(last).size(), 1U);
  b.advance(20ms);
  b.serve(b.sends_of(last)[0]);
  EXPECT_LT(sent(), 30U);
}

// The page: an order gets 100 where there is no room for all, or the worker drains. No copies need no room.
TEST_F(Restarts, AQuestionThatIsRefusedIsADrain) {
  const RequestId id = b.ask(Bench::kOnce);
  b.answer(b.sends_of(id)[0], Outcome::kReset);  // a suspect, so it is asked
  b.advance(20ms);
  const std::vector<Action> orders = b.all(Did::kHold);
  ASSERT_FALSE(orders.empty());
  ASSERT_EQ(orders.back().count, 0);
  ASSERT_TRUE(b.dispatcher.may_start_work(b.now, kOne));
  b.held(orders.back(), Outcome::kFull, 0);
  EXPECT_FALSE(b.dispatcher.may_start_work(b.now, kOne));
}

TEST(Leases, WhatLeavesLaterIsAskedAboutAgain) {
  Away b(2);
  EXPECT_TRUE(b.dispatcher.may_start_work(b.now, kOne));
  EXPECT_FALSE(b.dispatcher.may_start_work(b.now, WorkerId{9}));
  b.lose_discovery();
  EXPECT_FALSE(b.dispatcher.may_start_work(b.now, kOne));
  b.dispatcher.on(b.now, ListFreshness{b.now + 2s});
  EXPECT_TRUE(b.dispatcher.may_start_work(b.now, kOne));
  WorkerEntry draining = Bench::worker(1);
  draining.state = WorkerState::kDraining;
  b.list({draining}, ListScope::kChanges);
  EXPECT_FALSE(b.dispatcher.may_start_work(b.now, kOne));
}

}  // namespace
}  // namespace laureltide::test
