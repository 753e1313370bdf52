// Leases on workers, alone and as the decision module uses them (docs/incidents/discovery-out-of-reach.md).
#include "policy/worker_lease.h"

#include <gtest/gtest.h>

#include <set>

#include "scripted_front_end.h"

namespace laureltide::test {
namespace {

constexpr WorkerId kOne{1}, kTwo{2};
constexpr Duration kGrace = 1s, kTerm = 900ms;  // less the margin for sending
const Time kStart{100s};

// ---- The leases ---------------------------------------------------------------------------------------

TEST(WorkerLeases, ListThatIsAlwaysCurrentSufficesAsALease) {
  const WorkerLeases leases(kGrace);
  EXPECT_TRUE(leases.list_is_valid(kStart + 24h));
  EXPECT_TRUE(leases.holds(kOne, kStart + 24h));
}

TEST(WorkerLeases, ListExpiresOneGraceAfterItWasCurrent) {
  WorkerLeases leases(kGrace);
  leases.set_list_current_until(kStart);
  EXPECT_TRUE(leases.holds(kOne, kStart + kTerm - 1ms));
  EXPECT_FALSE(leases.holds(kOne, kStart + kTerm));
  leases.set_list_current_until(kStart + 5s);
  EXPECT_TRUE(leases.holds(kOne, kStart + 5s));
  leases.set_list_current_until(kStart);  // discovery is asked anew
  EXPECT_FALSE(leases.holds(kOne, kStart + 5s));
}

TEST(WorkerLeases, LeaseCountsFromWhenTheAcceptedWorkWasSent) {
  WorkerLeases leases(kGrace);
  leases.set_list_current_until(kStart);
  leases.accepted(kOne, kStart + 10s);
  EXPECT_TRUE(leases.holds(kOne, kStart + 10s + kTerm - 1ms));
  EXPECT_FALSE(leases.holds(kOne, kStart + 10s + kTerm));
  EXPECT_FALSE(leases.holds(kTwo, kStart + 10s));
  leases.accepted(kOne, kStart + 9s);  // an earlier call whose answer comes later
  EXPECT_TRUE(leases.holds(kOne, kStart + 10s + kTerm - 1ms));
}

TEST(WorkerLeases, RefusedProbeVoidsALeaseFromBefore) {
  WorkerLeases leases(kGrace);
  leases.set_list_current_until(kStart);
  leases.accepted(kOne, kStart + 10s);
  ASSERT_TRUE(leases.start_probe(kOne, kStart + 10100ms));
  leases.probe_refused(kOne, kStart + 10100ms, kStart + 10200ms);
  EXPECT_FALSE(leases.holds(kOne, kStart + 10200ms));
  EXPECT_FALSE(leases.accepted(kOne, kStart + 10050ms));  // accepted before the refusal, answered after it
  EXPECT_FALSE(leases.holds(kOne, kStart + 10200ms));
  EXPECT_FALSE(leases.may_be_probed(kOne, kStart + 11100ms));
  EXPECT_TRUE(leases.may_be_probed(kOne, kStart + 11200ms));
  EXPECT_TRUE(leases.probe_accepted(kOne, kStart + 12s));  // the worker may have restarted
  EXPECT_TRUE(leases.holds(kOne, kStart + 12s));
  EXPECT_FALSE(leases.probe_accepted(kOne, kStart + 13s));
}

TEST(WorkerLeases, ProbesAWorkerOnceAtATimeAndFewWorkersAtOnce) {
  WorkerLeases leases(kGrace);
  leases.set_list_current_until(kStart);
  EXPECT_TRUE(leases.start_probe(kOne, kStart + 9s));
  EXPECT_FALSE(leases.start_probe(kOne, kStart + 9s));
  for (std::uint32_t i = 2; i <= WorkerLeases::kMaxProbesInFlight; ++i)
    EXPECT_TRUE(leases.start_probe(WorkerId{i}, kStart + 9s));
  const WorkerId next{WorkerLeases::kMaxProbesInFlight + 1};
  EXPECT_FALSE(leases.start_probe(next, kStart + 9s));
  leases.probe_unanswered(kOne, kStart + 9200ms);
  EXPECT_TRUE(leases.start_probe(next, kStart + 9200ms));
  leases.forget(kTwo);  // while its probe is in flight
  EXPECT_TRUE(leases.start_probe(WorkerId{77}, kStart + 9200ms));
  EXPECT_FALSE(leases.start_probe(WorkerId{78}, kStart + 9200ms));
  EXPECT_EQ(leases.counters().asked, WorkerLeases::kMaxProbesInFlight + 2);
  EXPECT_EQ(leases.counters().unanswered, 1U);
}

TEST(WorkerLeases, SendMarginIsAtMostAQuarterOfAShortGrace) {
  WorkerLeases leases(100ms);
  leases.set_list_current_until(kStart);
  leases.accepted(kOne, kStart + 1s);
  EXPECT_TRUE(leases.holds(kOne, kStart + 1074ms));
  EXPECT_FALSE(leases.holds(kOne, kStart + 1075ms));
}

// ---- The decisions ------------------------------------------------------------------------------------

Settings with_probes() {
  Settings s = default_settings();
  s.bounds.probes = true;
  s.rules.drain_grace = kGrace;
  return s;
}

// Discovery is in reach at first; after lose_discovery() the list has expired as a lease.
struct DiscoveryOutage : ScriptedFrontEnd {
  explicit DiscoveryOutage(std::uint32_t workers = 4, Settings s = with_probes())
      : ScriptedFrontEnd(std::move(s)) {
    std::vector<WorkerEntry> entries;
    for (std::uint32_t i = 1; i <= workers; ++i) entries.push_back(worker(i));
    update_list(entries);
    dispatcher.on(now, ListFreshness{now});
  }
  void lose_discovery() { advance(2s); }
  void answer_probe(const Action& probe, Outcome outcome) {
    dispatcher.on(now, ProbeResult{probe.worker, outcome, now - probe.at, {}});
  }
  Action last_probe() const { return actions_of(ActionKind::kProbe).back(); }
};

TEST(Leases, SendsNoProbesWhileDiscoveryIsInReach) {
  DiscoveryOutage front_end;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = front_end.request();
    ASSERT_EQ(front_end.sends_of(id).size(), 1U);
    front_end.advance(500ms);
    front_end.serve(front_end.sends_of(id)[0]);
    front_end.dispatcher.on(front_end.now, ListFreshness{front_end.now + 2s});
  }
  EXPECT_TRUE(front_end.actions_of(ActionKind::kProbe).empty());
}

TEST(Leases, RequestWaitsForTheProbeOfItsWorker) {
  DiscoveryOutage front_end;
  front_end.lose_discovery();
  const RequestId id = front_end.request();
  EXPECT_TRUE(front_end.sends_of(id).empty());
  ASSERT_EQ(front_end.actions_of(ActionKind::kProbe).size(), 1U);
  front_end.advance(10ms);
  front_end.answer_probe(front_end.last_probe(), Outcome::kOk);
  ASSERT_EQ(front_end.sends_of(id).size(), 1U);
  EXPECT_EQ(front_end.sends_of(id)[0].worker, front_end.last_probe().worker);
  EXPECT_EQ(front_end.actions_of(ActionKind::kProbe).size(), 1U);
}

TEST(Leases, WorkerThatRefusesTheProbeIsSkipped) {
  DiscoveryOutage front_end;
  front_end.lose_discovery();
  const RequestId id = front_end.request();
  const WorkerId first = front_end.last_probe().worker;
  front_end.advance(10ms);
  front_end.answer_probe(front_end.last_probe(), Outcome::kError);
  ASSERT_EQ(front_end.actions_of(ActionKind::kProbe).size(), 2U);
  EXPECT_NE(front_end.last_probe().worker, first);
  front_end.answer_probe(front_end.last_probe(), Outcome::kOk);
  ASSERT_EQ(front_end.sends_of(id).size(), 1U);
  EXPECT_NE(front_end.sends_of(id)[0].worker, first);
}

TEST(Leases, UnresponsiveWorkerDoesNotDelayARequest) {
  DiscoveryOutage front_end;
  front_end.lose_discovery();
  const RequestId id = front_end.request();
  front_end.answer_probe(front_end.last_probe(), Outcome::kTimeout);
  ASSERT_EQ(front_end.actions_of(ActionKind::kProbe).size(), 2U);
  front_end.answer_probe(front_end.last_probe(), Outcome::kOk);
  EXPECT_EQ(front_end.sends_of(id).size(), 1U);
}

// A worker that drains finishes what it has: an answer proves nothing about the time at which it comes.
TEST(Leases, AnswerToAnOldRequestGivesNoLease) {
  Settings s = with_probes();
  s.classes[ScriptedFrontEnd::kRepeatable].target = 10s;  // so that the answer is not late
  DiscoveryOutage front_end(1, s);
  const RequestId old = front_end.request(ScriptedFrontEnd::kRepeatable, 1, 10s);
  ASSERT_EQ(front_end.sends_of(old).size(), 1U);
  front_end.lose_discovery();
  front_end.serve(front_end.sends_of(old)[0]);
  const RequestId id = front_end.request();
  EXPECT_TRUE(front_end.sends_of(id).empty());
}

TEST(Leases, TrafficRenewsLeasesWithoutProbes) {
  DiscoveryOutage front_end(1);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = front_end.request();
    ASSERT_EQ(front_end.sends_of(id).size(), 1U) << i;
    front_end.advance(200ms);
    front_end.serve(front_end.sends_of(id)[0]);
  }
  EXPECT_FALSE(front_end.dispatcher.list_is_valid(front_end.now));
  EXPECT_TRUE(front_end.actions_of(ActionKind::kProbe).empty());
}

TEST(Leases, RefusedRequestRenewsNoLease) {
  DiscoveryOutage front_end(1);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = front_end.request();
    for (const Action& sent : front_end.sends_of(id)) front_end.answer_attempt(sent, Outcome::kFull);
    front_end.advance(200ms);
  }
  for (const Action& sent : front_end.actions_of(ActionKind::kSend)) EXPECT_LT(sent.at - kStart, kTerm);
}

TEST(Leases, RetriesAndOrdersNeedALease) {
  Settings s = with_probes();
  s.instances.on_miss = MissMode::kMiss;
  DiscoveryOutage front_end(4, s);
  const RequestId id = front_end.request(ScriptedFrontEnd::kOnce, 1, 10s);
  ASSERT_EQ(front_end.sends_of(id).size(), 1U);
  front_end.lose_discovery();
  for (const Action& order : front_end.actions_of(ActionKind::kHold)) front_end.answer_order(order);
  const std::size_t orders = front_end.actions_of(ActionKind::kHold).size();
  front_end.answer_attempt(front_end.sends_of(id)[0],
                           Outcome::kMiss);  // would lead to an order and another attempt there
  EXPECT_EQ(front_end.actions_of(ActionKind::kHold).size(), orders);
  EXPECT_EQ(front_end.sends_of(id).size(), 1U);
  ASSERT_FALSE(front_end.actions_of(ActionKind::kProbe).empty());
  const Action probe = front_end.actions_of(ActionKind::kProbe).front();
  front_end.answer_probe(probe, Outcome::kOk);
  ASSERT_EQ(front_end.actions_of(ActionKind::kHold).size(), orders + 1);  // the deferred order
  EXPECT_EQ(front_end.actions_of(ActionKind::kHold).back().worker, probe.worker);
}

TEST(Leases, RenewalsAndReleasesOfInstancesNeedALease) {
  Settings s = with_probes();
  s.instances.idle_memory_cost = 1;
  s.instances.keep_alive = 60s;
  const auto run = [&](bool reachable) {
    DiscoveryOutage front_end(2, s);
    std::size_t answered = 0;
    for (int i = 0; i < 100; ++i) {
      const RequestId id = front_end.request();
      for (const Action& sent : front_end.sends_of(id)) front_end.serve(sent);
      const std::vector<Action> orders = front_end.actions_of(ActionKind::kHold);
      for (; answered < orders.size(); ++answered)
        front_end.answer_order(orders[answered], Outcome::kOk, orders[answered].count);
      front_end.advance(20ms);
    }
    if (reachable) front_end.dispatcher.on(front_end.now, ListFreshness{Time::max()});
    const Time last = front_end.now;
    front_end.advance(150s);
    std::size_t released = 0;
    for (const Action& a : front_end.actions) {
      released += a.kind == ActionKind::kRelease;
      const bool starts_work = a.kind == ActionKind::kRelease || a.kind == ActionKind::kSend ||
                               (a.kind == ActionKind::kHold && a.count > 0);
      if (reachable || !starts_work) continue;
      EXPECT_LT(a.at - last, kTerm);
    }
    return released;
  };
  EXPECT_GT(run(true), 0U);
  EXPECT_EQ(run(false), 0U);
}

TEST(Leases, SendsWaitingRequestsWhenDiscoveryIsBack) {
  DiscoveryOutage front_end(1);
  front_end.lose_discovery();
  const RequestId id = front_end.request();
  EXPECT_TRUE(front_end.sends_of(id).empty());
  front_end.dispatcher.on(front_end.now, ListFreshness{front_end.now + 2s});
  EXPECT_EQ(front_end.sends_of(id).size(), 1U);
}

// Without probes only workers whose lease traffic renews get requests; others are refused in time.
TEST(Leases, OnlyTrafficRenewsLeasesWithoutPermissionToProbe) {
  Settings s = with_probes();
  s.bounds.probes = false;
  DiscoveryOutage front_end(4, s);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = front_end.request();
    ASSERT_EQ(front_end.sends_of(id).size(), 1U);
    front_end.advance(200ms);
    front_end.serve(front_end.sends_of(id)[0]);
  }
  const RequestId missed = front_end.request();
  ASSERT_EQ(front_end.sends_of(missed).size(), 1U);
  front_end.advance(2s);
  front_end.answer_attempt(front_end.sends_of(missed)[0], Outcome::kMiss);  // would lead to an order
  const RequestId late = front_end.request();
  front_end.advance(3s);
  EXPECT_TRUE(front_end.sends_of(late).empty());
  EXPECT_EQ(front_end.answers_of(late).size(), 1U);
  EXPECT_TRUE(front_end.actions_of(ActionKind::kProbe).empty());
}

// ---- Restarts during an outage of discovery -----------------------------------------------------------
//
// Nothing reports them. A cold worker is sent a part of what a warm one is.

struct Restarts : testing::Test {
  DiscoveryOutage front_end{1};

  Restarts() {
    while (front_end.now < kStart + 4s) serve_one();
  }
  void serve_one() {
    const RequestId id = front_end.request();
    front_end.advance(50ms);
    for (const Action& sent : front_end.sends_of(id)) front_end.serve(sent);
  }
  // Of 40 requests in 2 s, those that were sent to the worker at once.
  std::size_t sent() {
    std::size_t n = 0;
    for (int i = 0; i < 40; ++i) {
      const RequestId id = front_end.request();
      n += !front_end.sends_of(id).empty();
      front_end.advance(50ms);
      for (const Action& sent : front_end.sends_of(id)) front_end.serve(sent);
      for (const Action& order : front_end.actions_of(ActionKind::kHold))
        if (order.at > front_end.now - 50ms)
          front_end.answer_order(order, Outcome::kOk, std::max(1, order.count));
    }
    return n;
  }
};

TEST_F(Restarts, WorkerWhoseLeaseExpiredWithoutTrafficStaysWarm) {
  front_end.advance(2s);
  front_end.request();
  front_end.answer_probe(front_end.last_probe(), Outcome::kOk);
  EXPECT_GE(sent(), 39U);
}

// It refused, as a worker does that drains before a restart, and takes work again.
TEST_F(Restarts, WorkerThatAcceptsAfterARefusalIsCold) {
  front_end.advance(2s);
  front_end.request();
  front_end.answer_probe(front_end.last_probe(), Outcome::kError);
  front_end.advance(1100ms);
  front_end.request();
  front_end.answer_probe(front_end.last_probe(), Outcome::kOk);
  EXPECT_LT(sent(), 30U);
}

// Its instance is there, perhaps because another front end loaded it after the restart.
TEST_F(Restarts, WorkerThatRefusedAConnectionAndAnswersAProbeIsCold) {
  const RequestId id = front_end.request(ScriptedFrontEnd::kOnce);
  ASSERT_EQ(front_end.sends_of(id).size(), 1U);
  front_end.answer_attempt(front_end.sends_of(id)[0], Outcome::kConnectFailed);
  front_end.advance(1100ms);
  const std::vector<Action> orders = front_end.actions_of(ActionKind::kHold);
  ASSERT_FALSE(orders.empty());
  ASSERT_EQ(orders.back().count, 0);  // a query
  front_end.answer_order(orders.back(), Outcome::kOk, 1);
  for (int i = 0; i < 40 && front_end.actions_of(ActionKind::kProbe).empty(); ++i)
    front_end.request(), front_end.advance(50ms);
  ASSERT_FALSE(front_end.actions_of(ActionKind::kProbe).empty());
  front_end.answer_probe(front_end.last_probe(), Outcome::kOk);
  EXPECT_LT(sent(), 30U);
}

// All workers are suspect, so this one is tried, and serves a request that was sent after it became suspect.
TEST_F(Restarts, WorkerThatRefusedAConnectionAndServesALaterRequestIsCold) {
  const RequestId id = front_end.request(ScriptedFrontEnd::kOnce);
  ASSERT_EQ(front_end.sends_of(id).size(), 1U);
  const RequestId later_one = front_end.request(ScriptedFrontEnd::kOnce);
  front_end.answer_attempt(front_end.sends_of(id)[0], Outcome::kConnectFailed);
  front_end.advance(20ms);
  ASSERT_EQ(front_end.sends_of(later_one).size(), 1U);
  front_end.serve(front_end.sends_of(later_one)[0]);  // sent before, so served by the earlier process
  EXPECT_GE(sent(), 39U);
  const RequestId again = front_end.request(ScriptedFrontEnd::kOnce);
  front_end.answer_attempt(front_end.sends_of(again)[0], Outcome::kConnectFailed);
  front_end.advance(20ms);
  const RequestId last = front_end.request(ScriptedFrontEnd::kOnce);
  ASSERT_EQ(front_end.sends_of(last).size(), 1U);
  front_end.advance(20ms);
  front_end.serve(front_end.sends_of(last)[0]);
  EXPECT_LT(sent(), 30U);
}

// By the protocol an order is answered with 100 when there is no room for all instances or the worker drains.
// An order for no instances needs no room.
TEST_F(Restarts, RefusedQueryIndicatesADrain) {
  const RequestId id = front_end.request(ScriptedFrontEnd::kOnce);
  front_end.answer_attempt(front_end.sends_of(id)[0], Outcome::kReset);  // makes it suspect, so it is queried
  front_end.advance(20ms);
  const std::vector<Action> orders = front_end.actions_of(ActionKind::kHold);
  ASSERT_FALSE(orders.empty());
  ASSERT_EQ(orders.back().count, 0);
  ASSERT_TRUE(front_end.dispatcher.may_start_work(front_end.now, kOne));
  front_end.answer_order(orders.back(), Outcome::kFull, 0);
  EXPECT_FALSE(front_end.dispatcher.may_start_work(front_end.now, kOne));
}

TEST(Leases, WorkThatIsSentLaterIsCheckedAgain) {
  DiscoveryOutage front_end(2);
  EXPECT_TRUE(front_end.dispatcher.may_start_work(front_end.now, kOne));
  EXPECT_FALSE(front_end.dispatcher.may_start_work(front_end.now, WorkerId{9}));
  front_end.lose_discovery();
  EXPECT_FALSE(front_end.dispatcher.may_start_work(front_end.now, kOne));
  front_end.dispatcher.on(front_end.now, ListFreshness{front_end.now + 2s});
  EXPECT_TRUE(front_end.dispatcher.may_start_work(front_end.now, kOne));
  WorkerEntry draining = ScriptedFrontEnd::worker(1);
  draining.state = WorkerState::kDraining;
  front_end.update_list({draining}, ListScope::kChanges);
  EXPECT_FALSE(front_end.dispatcher.may_start_work(front_end.now, kOne));
}

}  // namespace
}  // namespace laureltide::test
