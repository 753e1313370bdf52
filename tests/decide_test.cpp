// Tests of the decision module through its public interface, with a simulated clock.
#include <gtest/gtest.h>

#include <cstdlib>
#include <limits>
#include <map>
#include <memory>
#include <new>
#include <set>

#include "scripted_front_end.h"

namespace {
long live_blocks = 0;  // on the heap: shows what a process keeps as it runs on
}
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++live_blocks;
  if (void* p = std::malloc(size)) return p;
  throw std::bad_alloc();
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  ++live_blocks;
  return std::malloc(size);
}
[[gnu::noinline]] void operator delete(void* p) noexcept {
  live_blocks -= p != nullptr;
  std::free(p);
}
void operator delete(void* p, std::size_t) noexcept { operator delete(p); }
void operator delete(void* p, const std::nothrow_t&) noexcept { operator delete(p); }

namespace laureltide::test {
namespace {

constexpr auto kRepeatable = ScriptedFrontEnd::kRepeatable, kKeyed = ScriptedFrontEnd::kKeyed,
               kOnce = ScriptedFrontEnd::kOnce;

std::vector<WorkerEntry> fleet(std::uint32_t n) {
  std::vector<WorkerEntry> entries;
  for (std::uint32_t i = 1; i <= n; ++i)
    entries.push_back(ScriptedFrontEnd::worker(i, static_cast<std::uint16_t>(i % 2)));
  return entries;
}

// Gives a request every `gap` for `length`; each attempt is served after `run`.
void send_traffic(ScriptedFrontEnd& front_end, Duration length, Duration gap, Duration run = 100ms,
                  ClassIndex c = kRepeatable, std::uint64_t function = 1) {
  std::vector<Action> out;
  std::size_t seen = front_end.actions.size();
  const Time until = front_end.now + length;
  Time next = front_end.now;
  while (front_end.now < until || !out.empty()) {
    if (front_end.now >= next && front_end.now < until) front_end.request(c, function), next += gap;
    for (; seen < front_end.actions.size(); ++seen) {
      if (front_end.actions[seen].kind == ActionKind::kSend) out.push_back(front_end.actions[seen]);
      if (front_end.actions[seen].kind == ActionKind::kHold) {
        const Action order = front_end.actions[seen];
        front_end.answer_order(order, Outcome::kOk, order.count);
      }
    }
    front_end.advance(4ms);
    std::erase_if(out, [&](const Action& a) {
      if (a.at + run > front_end.now) return false;
      front_end.serve(a);
      return true;
    });
  }
}

TEST(Routing, FrontEndsWithoutKnowledgeChooseTheSameWorker) {
  std::set<std::uint32_t> chosen;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    ScriptedFrontEnd front_end(default_settings(), seed);
    front_end.update_list(fleet(8));
    const RequestId id = front_end.request();
    ASSERT_EQ(front_end.sends_of(id).size(), 1U);
    chosen.insert(static_cast<std::uint32_t>(front_end.sends_of(id)[0].worker));
  }
  EXPECT_EQ(chosen.size(), 1U);
}

TEST(Routing, PrefersAWorkerWithAnInstance) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(8));
  const RequestId first = front_end.request();
  const Action sent = front_end.sends_of(first)[0];
  front_end.advance(100ms);
  front_end.serve(sent);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(front_end.sends_of(front_end.request())[0].worker, sent.worker);
}

TEST(Routing, BusyFunctionUsesMoreWorkersAndLoadsAhead) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(8));
  send_traffic(front_end, 6s, 10ms);  // ten busy lanes
  std::set<WorkerId> held;
  for (const Action& a : front_end.actions_of(ActionKind::kHold)) held.insert(a.worker);
  EXPECT_GE(held.size(), 3U);
  std::set<WorkerId> used;
  for (const Action& a : front_end.actions_of(ActionKind::kSend))
    if (a.at > front_end.now - 1s) used.insert(a.worker);
  EXPECT_GE(used.size(), 3U);
}

TEST(Routing, RequestWaitsForTheOrderAfterAMiss) {
  Settings s = default_settings();
  s.instances.on_miss = MissMode::kMiss;
  ScriptedFrontEnd front_end(s);
  front_end.update_list(fleet(4));
  const RequestId id = front_end.request(kOnce);
  const Action first = front_end.sends_of(id)[0];
  front_end.answer_attempt(first, Outcome::kMiss);
  ASSERT_EQ(front_end.actions_of(ActionKind::kHold).size(), 1U);
  EXPECT_EQ(front_end.actions_of(ActionKind::kHold)[0].worker, first.worker);
  front_end.advance(200ms);
  EXPECT_EQ(front_end.sends_of(id).size(), 1U);
  front_end.answer_order(front_end.actions_of(ActionKind::kHold)[0]);
  ASSERT_EQ(front_end.sends_of(id).size(), 2U);
  EXPECT_EQ(front_end.sends_of(id)[1].worker, first.worker);
}

TEST(Routing, KnownInstancesExpireAfterTheKeepAlive) {
  Settings s = default_settings();
  s.instances.orders = false;
  ScriptedFrontEnd front_end(s);
  front_end.update_list(fleet(8));
  const Action sent = front_end.sends_of(front_end.request())[0];
  front_end.answer_attempt(sent, Outcome::kFull);  // moves the request away from the first choice by hash
  const Action moved = front_end.sends_of(sent.request)[1];
  front_end.advance(100ms);
  front_end.serve(moved);
  front_end.advance(1s);
  EXPECT_EQ(front_end.sends_of(front_end.request())[0].worker, moved.worker);
  front_end.serve(front_end.actions_of(ActionKind::kSend).back());
  front_end.advance(40s);  // past the keep-alive and the decay of demand
  EXPECT_EQ(front_end.sends_of(front_end.request())[0].worker, sent.worker);
}

TEST(Routing, SameEventsGiveSameActions) {
  auto play = [] {
    ScriptedFrontEnd front_end;
    front_end.update_list(fleet(6));
    send_traffic(front_end, 5s, 15ms);
    return front_end.actions;
  };
  EXPECT_EQ(play(), play());
}

TEST(RuleAnswers, EveryRequestEndsOnceByItsDeadline) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(2));
  for (ClassIndex c : {kRepeatable, kKeyed, kOnce}) {
    const RequestId id = front_end.request(c, 1, 500ms);
    front_end.advance(500ms + 16ms);
    ASSERT_EQ(front_end.answers_of(id).size(), 1U) << int{c};
    const std::size_t sends = front_end.sends_of(id).size();
    front_end.advance(1s);
    EXPECT_EQ(front_end.answers_of(id).size(), 1U);
    EXPECT_EQ(front_end.sends_of(id).size(), sends);
  }
}

TEST(RuleAnswers, RefusesByTheDeadlineWithoutWorkers) {
  ScriptedFrontEnd front_end;
  const RequestId id = front_end.request(kOnce, 1, 300ms);
  front_end.advance(300ms);
  ASSERT_EQ(front_end.answers_of(id).size(), 1U);
  EXPECT_EQ(front_end.answers_of(id)[0].kind, ActionKind::kRefuse);
}

TEST(RuleEffects, OnceOnlyRequestThatMayHaveRunIsNotRepeatedAndFails) {
  for (Outcome o : {Outcome::kError, Outcome::kReset, Outcome::kTimeout, Outcome::kCancelled}) {
    ScriptedFrontEnd front_end;
    front_end.update_list(fleet(4));
    const RequestId id = front_end.request(kOnce);
    front_end.answer_attempt(front_end.sends_of(id)[0], o);
    front_end.advance(4s);
    EXPECT_EQ(front_end.sends_of(id).size(), 1U);
    ASSERT_EQ(front_end.answers_of(id).size(), 1U);
    EXPECT_EQ(front_end.answers_of(id)[0].kind, ActionKind::kFail);
  }
}

TEST(RuleEffects, OnceOnlyRequestThatNeverRanIsSentAgain) {
  for (Outcome o : {Outcome::kFull, Outcome::kConnectFailed}) {
    ScriptedFrontEnd front_end;
    front_end.update_list(fleet(4));
    const RequestId id = front_end.request(kOnce);
    front_end.answer_attempt(front_end.sends_of(id)[0], o);
    EXPECT_EQ(front_end.sends_of(id).size(), 2U);
  }
}

TEST(RuleEffects, KeyedRequestIsRepeatedOnlyWithinItsCellAndWindow) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(8));
  const RequestId id = front_end.request(kKeyed);
  const auto cell = [](const Action& a) { return static_cast<std::uint32_t>(a.worker) % 2; };
  front_end.answer_attempt(front_end.sends_of(id)[0], Outcome::kReset);
  ASSERT_EQ(front_end.sends_of(id).size(), 2U);
  EXPECT_EQ(cell(front_end.sends_of(id)[1]), cell(front_end.sends_of(id)[0]));
  front_end.advance(2100ms);  // past the window
  front_end.answer_attempt(front_end.sends_of(id)[1], Outcome::kReset);
  front_end.advance(1s);
  EXPECT_EQ(front_end.sends_of(id).size(), 2U);
  ASSERT_EQ(front_end.answers_of(id).size(), 1U);
  EXPECT_EQ(front_end.answers_of(id)[0].kind, ActionKind::kFail);
}

TEST(RuleDrains, SendsNothingToADrainingOrGoneWorker) {
  for (WorkerState state : {WorkerState::kDraining, WorkerState::kGone}) {
    ScriptedFrontEnd front_end;
    front_end.update_list(fleet(4));
    send_traffic(front_end, 3s, 20ms);
    WorkerEntry entry = front_end.actions_of(ActionKind::kSend).back().worker == WorkerId{1}
                            ? ScriptedFrontEnd::worker(1)
                            : ScriptedFrontEnd::worker(0);
    entry.id = front_end.actions_of(ActionKind::kSend).back().worker;
    entry.state = state;
    front_end.update_list({entry}, ListScope::kChanges);
    const std::size_t before = front_end.actions.size();
    send_traffic(front_end, 3s, 20ms);
    for (std::size_t i = before; i < front_end.actions.size(); ++i) {
      const Action& a = front_end.actions[i];
      const bool work = a.kind == ActionKind::kSend || (a.kind == ActionKind::kHold && a.count > 0);
      EXPECT_FALSE(work && a.worker == entry.id);
    }
  }
}

TEST(RuleCold, ColdWorkerGetsNoMoreThanItsShare) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(4));
  send_traffic(front_end, 5s, 20ms);
  WorkerEntry cold = ScriptedFrontEnd::worker(9);
  cold.started = front_end.now;
  front_end.update_list({cold}, ListScope::kChanges);
  for (std::uint32_t id = 1; id <= 4; ++id) {  // without the others all requests would go to the cold one
    WorkerEntry gone = ScriptedFrontEnd::worker(id);
    gone.state = WorkerState::kGone;
    front_end.update_list({gone}, ListScope::kChanges);
  }
  const std::size_t before = front_end.actions_of(ActionKind::kSend).size();
  send_traffic(front_end, 1s, 20ms);
  const auto sends = front_end.actions_of(ActionKind::kSend);
  const auto n = std::count_if(sends.begin() + static_cast<long>(before), sends.end(),
                               [](auto& a) { return a.worker == WorkerId{9}; });
  EXPECT_LE(n, 50 / 4 * 2);  // of 50 requests: a capacity share of a quarter, times the overload multiple
}

// Retries and refused attempts are sends too: a fleet that refuses work must not raise a cold worker's
// budget.
TEST(RuleCold, RefusedSendsDoNotRaiseTheBudget) {
  const auto sends_to_cold = [](int full_per_request) {
    ScriptedFrontEnd front_end;
    front_end.update_list(fleet(4));
    send_traffic(front_end, 4s, 40ms);
    for (int i = 0; i < 50; ++i) {
      const RequestId id = front_end.request();
      for (int k = 0; k < full_per_request; ++k)
        front_end.answer_attempt(front_end.sends_of(id).back(), Outcome::kFull);
      front_end.advance(40ms);
      front_end.serve(front_end.sends_of(id).back());
      front_end.advance(160ms);
    }
    WorkerEntry cold = ScriptedFrontEnd::worker(9);
    cold.started = front_end.now;
    front_end.update_list({cold}, ListScope::kFull);  // all others are gone
    for (int i = 0; i < 100; ++i) front_end.request(), front_end.advance(10ms);
    const auto sends = front_end.actions_of(ActionKind::kSend);
    return std::count_if(sends.begin(), sends.end(), [](auto& a) { return a.worker == WorkerId{9}; });
  };
  EXPECT_LE(sends_to_cold(3), sends_to_cold(0) + 1);
}

TEST(RuleLoads, OrdersStayWithinTheLimit) {
  Settings s = default_settings();
  s.instances.order_window = 5s;
  s.instances.order_floor = 1;
  s.instances.orders_per_request = 0.02;
  ScriptedFrontEnd front_end(s);
  front_end.update_list(fleet(8));
  for (std::uint64_t f = 1; f <= 40; ++f) send_traffic(front_end, 200ms, 40ms, 20ms, kRepeatable, f);
  std::map<RequestId, Time> arrivals;
  for (const Action& a : front_end.actions_of(ActionKind::kSend)) arrivals.try_emplace(a.request, a.at);
  for (const Action& order : front_end.actions_of(ActionKind::kHold)) {
    if (order.count == 0) continue;
    const auto holds = front_end.actions_of(ActionKind::kHold);
    const auto orders = std::count_if(holds.begin(), holds.end(), [&](auto& a) {
      return a.count > 0 && a.at <= order.at && order.at - a.at <= 5s;
    });
    const auto taken = std::count_if(arrivals.begin(), arrivals.end(), [&](auto& a) {
      return a.second <= order.at && order.at - a.second < 5s;
    });
    EXPECT_LE(static_cast<double>(orders), 1 + 0.02 * static_cast<double>(taken));
  }
}

// A request that runs for long does not make its worker suspect: one that answers a probe keeps its requests.
TEST(Failure, ProbesAQuietWorkerBeforeSuspectingIt) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(4));
  send_traffic(front_end, 3s, 50ms);
  const RequestId id = front_end.request();
  const WorkerId quiet = front_end.sends_of(id)[0].worker;
  const std::size_t before = front_end.actions_of(ActionKind::kHold).size();
  std::size_t seen = before;
  for (int i = 0; i < 300; ++i, front_end.advance(8ms))
    for (; seen < front_end.actions_of(ActionKind::kHold).size(); ++seen)
      front_end.answer_order(front_end.actions_of(ActionKind::kHold)[seen]);
  const auto holds = front_end.actions_of(ActionKind::kHold);
  EXPECT_TRUE(std::any_of(holds.begin() + static_cast<long>(before), holds.end(),
                          [&](auto& a) { return a.count == 0 && a.worker == quiet; }));
  EXPECT_TRUE(front_end.actions_of(ActionKind::kCancel).empty());
  EXPECT_TRUE(front_end.log_lines.empty());
}

// An order and a query for the same instance are in flight: the query's answer does not end the order.
TEST(Failure, AnswerToAQueryDoesNotEndAnOrder) {
  Settings settings = default_settings();
  settings.instances.on_miss = MissMode::kMiss;
  ScriptedFrontEnd front_end(settings);
  front_end.update_list(fleet(1));
  const RequestId waiting = front_end.request(kRepeatable, 1);
  front_end.answer_attempt(front_end.sends_of(waiting)[0], Outcome::kMiss);
  const auto order = front_end.actions_of(ActionKind::kHold).at(0);
  ASSERT_GT(order.count, 0);
  const RequestId other = front_end.request(kRepeatable, 2);
  front_end.answer_attempt(front_end.sends_of(other)[0], Outcome::kReset);
  front_end.advance(100ms);
  const auto question = front_end.actions_of(ActionKind::kHold).back();
  ASSERT_EQ(question.count, 0);
  ASSERT_EQ(question.function, order.function);
  front_end.answer_order(question, Outcome::kOk, 0);
  front_end.advance(100ms);
  EXPECT_EQ(front_end.sends_of(waiting).size(), 1U);
  front_end.answer_order(order, Outcome::kOk, 1);
  front_end.advance(100ms);
  EXPECT_EQ(front_end.sends_of(waiting).size(), 2U);
}

TEST(Failure, RepeatableRequestsLeaveAnUnresponsiveWorker) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(4));
  send_traffic(front_end, 3s, 50ms);
  const RequestId id = front_end.request();
  const WorkerId unresponsive = front_end.sends_of(id)[0].worker;
  front_end.advance(1500ms);
  ASSERT_FALSE(front_end.actions_of(ActionKind::kCancel).empty());
  front_end.answer_attempt(front_end.sends_of(id)[0], Outcome::kCancelled);
  ASSERT_EQ(front_end.sends_of(id).size(), 2U);
  EXPECT_NE(front_end.sends_of(id)[1].worker, unresponsive);
}

// Requests beyond what an overloaded worker can answer in time wait here and are refused in time.
TEST(Failure, LateAnswersLimitOwnRequestsInFlight) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(1));
  send_traffic(front_end, 3s, 100ms);
  send_traffic(front_end, 6s, 20ms, 950ms);  // late, though within the target
  const std::size_t before = front_end.actions_of(ActionKind::kSend).size();
  send_traffic(front_end, 1s, 20ms, 950ms);
  EXPECT_LT(front_end.actions_of(ActionKind::kSend).size() - before, 40U);
  EXPECT_FALSE(front_end.actions_of(ActionKind::kRefuse).empty());
  send_traffic(front_end, 8s, 50ms, 50ms);
  const std::size_t refused = front_end.actions_of(ActionKind::kRefuse).size();
  send_traffic(front_end, 2s, 50ms, 50ms);
  EXPECT_EQ(front_end.actions_of(ActionKind::kRefuse).size(), refused);  // and it recovers
}

// A failing worker answers at once, so it always has room. It must not attract requests that may not be
// repeated.
TEST(Failure, FailingWorkerIsChosenLastAndTriedAgain) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(4));
  send_traffic(front_end, 4s, 8ms, 100ms);  // several instances
  std::map<WorkerId, int> sends;
  for (const Action& a : front_end.actions_of(ActionKind::kSend)) ++sends[a.worker];
  ASSERT_GE(sends.size(), 2U);
  const WorkerId failing = sends.begin()->first;
  const auto share_of_failing = [&](bool fails) {
    std::vector<Action> out;
    std::size_t seen = front_end.actions.size();
    double at_failing = 0, all = 0;
    const Time begin = front_end.now;
    while (front_end.now < begin + 8s) {
      if (front_end.now < begin + 7s) front_end.request(kOnce, 1);
      for (; seen < front_end.actions.size(); ++seen) {
        const Action a = front_end.actions[seen];
        if (a.kind == ActionKind::kHold) front_end.answer_order(a, Outcome::kOk, a.count);
        if (a.kind != ActionKind::kSend) continue;
        if (front_end.now > begin + 3s) ++all, at_failing += a.worker == failing;
        fails&& a.worker == failing ? front_end.answer_attempt(a, Outcome::kError) : out.push_back(a);
      }
      front_end.advance(8ms);
      std::erase_if(
          out, [&](const Action& a) { return front_end.now - a.at >= 100ms && (front_end.serve(a), true); });
    }
    return at_failing / all;
  };
  EXPECT_LT(share_of_failing(true), 0.1);
  front_end.advance(20s);  // no answer came from it for long
  EXPECT_GT(share_of_failing(false), 0.1);
}

// The only known instance is at the worker where the request may have run: it goes elsewhere, rather than
// wait for that worker until it is refused.
TEST(Failure, RequestDoesNotWaitForAWorkerWhereItMayHaveRun) {
  Settings settings = default_settings();
  settings.instances.on_miss = MissMode::kMiss;
  ScriptedFrontEnd front_end(settings);
  front_end.update_list(fleet(4));
  send_traffic(front_end, 3s, 400ms);
  const RequestId id = front_end.request();
  ASSERT_EQ(front_end.sends_of(id).size(), 1U);
  front_end.advance(8ms);
  front_end.answer_attempt(front_end.sends_of(id)[0], Outcome::kError);
  front_end.advance(8ms);
  ASSERT_EQ(front_end.sends_of(id).size(), 2U);
  EXPECT_NE(front_end.sends_of(id)[1].worker, front_end.sends_of(id)[0].worker);
}

// The refusal is immediate; a retry-after is given where the settings allow it, up to their maximum.
TEST(Failure, RefusalHasRetryAfterWhereSettingsAllow) {
  for (const auto& [allowed, max_delay, expected] :
       {std::tuple(false, Duration(1s), Duration(0)), std::tuple(true, Duration(1s), Duration(100ms)),
        std::tuple(true, Duration(30ms), Duration(30ms))}) {
    Settings settings = default_settings();
    settings.bounds.retry_after = allowed, settings.bounds.max_retry_after = max_delay;
    ScriptedFrontEnd front_end(settings);
    front_end.update_list({});
    front_end.request();
    front_end.advance(1s);
    ASSERT_EQ(front_end.retry_after_delays.size(), 1U);
    EXPECT_EQ(front_end.retry_after_delays[0], expected);
  }
}

// A reset connection is no restart: without evidence that instances are gone the worker keeps them and is not
// cold again.
TEST(Failure, AnswerAboutAnotherFunctionDoesNotIndicateARestart) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(1));
  send_traffic(front_end, 4s, 20ms);
  front_end.advance(9s);  // longer than the keep-alive: no instance is known
  const RequestId id = front_end.request();
  front_end.answer_attempt(front_end.sends_of(id)[0], Outcome::kReset);
  front_end.advance(40ms);
  const Action query = front_end.actions_of(ActionKind::kHold).back();
  ASSERT_EQ(query.count, 0);
  front_end.answer_order(query, Outcome::kOk, 0);
  std::size_t sent = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId next = front_end.request();
    sent += front_end.sends_of(next).size();
    for (const Action& a : front_end.sends_of(next)) front_end.serve(a, Found::kBeganLoad);
    front_end.advance(8ms);
  }
  EXPECT_EQ(sent, 20U);  // no cold budget applies
}

TEST(Failure, OrderLostWithItsConnectionDoesNotVoidAnInstance) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(1));
  send_traffic(front_end, 4s, 20ms);
  const std::size_t before = front_end.actions_of(ActionKind::kHold).size();
  for (int i = 0; i < 4000 && front_end.actions_of(ActionKind::kHold).size() == before; ++i)
    front_end.advance(4ms);  // a renewal
  const Action renewed = front_end.actions_of(ActionKind::kHold).back();
  ASSERT_GT(renewed.count, 0);
  front_end.answer_order(renewed, Outcome::kReset, 0);
  front_end.advance(40ms);
  const Action query = front_end.actions_of(ActionKind::kHold).back();
  ASSERT_EQ(query.count, 0);
  front_end.answer_order(query, Outcome::kOk, 0);  // gone, and known to have been there: a restart
  std::size_t sent = 0;
  for (int i = 0; i < 20; ++i) sent += front_end.sends_of(front_end.request()).size();
  EXPECT_LT(sent, 20U);  // cold again
}

// A broken connection is no restart if the worker still has the instance that it should have.
TEST(Failure, BrokenConnectionVoidsNothingWhileTheInstanceIsLoaded) {
  for (const int standing : {1, 0}) {
    ScriptedFrontEnd front_end;
    front_end.update_list(fleet(8));
    send_traffic(front_end, 3s, 50ms);
    const RequestId id = front_end.request();
    const Action sent = front_end.sends_of(id)[0];
    front_end.answer_attempt(sent, Outcome::kReset);
    front_end.advance(100ms);
    const Action query = front_end.actions_of(ActionKind::kHold).back();
    ASSERT_EQ(query.count, 0);
    ASSERT_EQ(query.worker, sent.worker);
    front_end.answer_order(query, Outcome::kOk, standing);
    const std::size_t before = front_end.actions_of(ActionKind::kSend).size();
    for (int i = 0; i < 24; ++i) front_end.request();
    const auto sends = front_end.actions_of(ActionKind::kSend);
    const auto back = std::count_if(sends.begin() + static_cast<long>(before), sends.end(),
                                    [&](auto& a) { return a.worker == sent.worker; });
    EXPECT_EQ(back > 0, standing > 0);
  }
}

// While most workers have no room, requests beyond a tenant's share are refused at once, not served late.
TEST(Failure, OverShareIsRefusedFirstWhenTheFleetIsShort) {
  Settings s = default_settings();
  s.tenants = {{5, 0.5}, {50, 0.5}};
  s.over_share_worth = 0.1;
  ScriptedFrontEnd front_end(s);
  front_end.update_list(fleet(1));
  std::map<std::uint32_t, int> refused;
  std::vector<Action> out;
  std::map<RequestId, std::uint32_t> tenant;
  std::size_t seen = 0;
  for (int i = 0; i < 500; ++i) {
    const std::uint32_t who = i % 2;  // 25 requests per second from each
    tenant[front_end.request(kRepeatable, 1, 3s, who)] = who;
    for (; seen < front_end.actions.size(); ++seen) {
      if (front_end.actions[seen].kind == ActionKind::kSend) out.push_back(front_end.actions[seen]);
      if (front_end.actions[seen].kind == ActionKind::kRefuse)
        ++refused[tenant[front_end.actions[seen].request]];
    }
    std::erase_if(out, [&](const Action& a) {
      if (a.at + 600ms > front_end.now) return false;
      front_end.serve(a);
      return true;
    });
    front_end.advance(20ms);
  }
  EXPECT_GT(2 * refused[0], 3 * refused[1]) << refused[0] << " and " << refused[1];
}

Settings settings_with_replicas(std::uint32_t replicas) {
  Settings s = default_settings();
  s.replicas = replicas;
  return s;
}

long count_actions(const ScriptedFrontEnd& front_end, ActionKind kind, WorkerId worker,
                   std::size_t from = 0) {
  return std::count_if(front_end.actions.begin() + static_cast<long>(from), front_end.actions.end(),
                       [&](auto& a) { return a.kind == kind && a.worker == worker; });
}

// Many front ends with the same plan must not each order the same instance.
TEST(ManyFrontEnds, EachSendsAPlannedOrderWithASmallProbability) {
  const auto holds = [](std::uint32_t replicas) {
    ScriptedFrontEnd front_end(settings_with_replicas(replicas));
    front_end.update_list(fleet(8));
    for (int round = 0; round < 20; ++round, front_end.advance(6s, 50ms))
      for (std::uint64_t f = 1; f <= 5; ++f) send_traffic(front_end, 200ms, 100ms, 20ms, kRepeatable, f);
    return front_end.actions_of(ActionKind::kHold).size();
  };
  EXPECT_GT(holds(1), 5U);
  EXPECT_LT(5 * holds(200), holds(1));
}

// The first few requests of a process say little of demand, even if all are for one function.
TEST(ManyFrontEnds, FewRequestsDoNotSpreadAFunction) {
  ScriptedFrontEnd front_end(settings_with_replicas(2));  // few enough that each planned order is sent
  front_end.update_list(fleet(8));
  send_traffic(front_end, 300ms, 100ms, 20ms);
  front_end.advance(500ms);
  std::set<WorkerId> places;
  for (const Action& a : front_end.actions_of(ActionKind::kHold)) places.insert(a.worker);
  EXPECT_LE(places.size(), 2U);
}

// Each keeps to a part of a request: one request from each of 100 front ends at once would be a burst.
TEST(ManyFrontEnds, TogetherKeepAColdWorkersBudget) {
  long to_cold = 0;
  for (std::uint32_t replica = 0; replica < 100; ++replica) {
    ScriptedFrontEnd front_end(settings_with_replicas(100), replica + 1);
    front_end.update_list(fleet(4));
    send_traffic(front_end, 6s, 500ms);
    WorkerEntry cold = ScriptedFrontEnd::worker(9);
    cold.started = front_end.now;
    front_end.update_list({cold},
                          ListScope::kFull);  // all others are gone: every request would go to the cold one
    const std::size_t before = front_end.actions.size();
    send_traffic(front_end, 1s, 500ms);
    to_cold += count_actions(front_end, ActionKind::kSend, WorkerId{9}, before);
  }
  EXPECT_GT(to_cold, 0);
  // Of 200 requests: one worker's part, times a capacity share of a quarter or a little more, times the
  // overload multiple.
  EXPECT_LE(to_cold, 200 / 4 * 0.3 * 2);
}

TEST(ManyFrontEnds, ReportsToFewPeersOnly) {
  Settings s = settings_with_replicas(300);
  s.bounds.peers = true;
  s.tenants = {{50, 1}};
  ScriptedFrontEnd front_end(s);
  front_end.update_list(fleet(4));
  front_end.advance(10s);
  EXPECT_GE(front_end.actions_of(ActionKind::kSendToPeer).size(), 4U);
  EXPECT_LE(front_end.actions_of(ActionKind::kSendToPeer).size(), 4U * 8U);
}

// When all workers known to one of many front ends are in a cooldown, others may still have room: the request
// moves on. A front end that sees much of the fleet waits for room instead.
TEST(ManyFrontEnds, RequestMovesOnWhenAllKnownWorkersAreInCooldown) {
  const auto sends = [](std::uint32_t replicas) {
    ScriptedFrontEnd front_end(settings_with_replicas(replicas));
    front_end.update_list(fleet(8));
    front_end.serve(front_end.sends_of(front_end.request())[0]);
    const RequestId id = front_end.request();
    front_end.answer_attempt(front_end.sends_of(id)[0], Outcome::kFull);
    return front_end.sends_of(id).size();
  };
  EXPECT_EQ(sends(100), 2U);
  EXPECT_EQ(sends(1), 1U);
}

// A worker may be full for one tenant or class only: other functions are still sent there.
TEST(Failure, FullAnswerStartsACooldownForTheFunctionOnly) {
  ScriptedFrontEnd front_end(settings_with_replicas(100));
  front_end.update_list(fleet(1));
  const RequestId refused = front_end.request(kRepeatable, 1);
  front_end.answer_attempt(front_end.sends_of(refused)[0], Outcome::kFull);
  EXPECT_EQ(front_end.sends_of(refused).size(), 1U);
  EXPECT_EQ(front_end.sends_of(front_end.request(kRepeatable, 2)).size(), 1U);
}

// For a front end with few requests a short cooldown would have no effect, so it lasts for several of them.
TEST(Failure, CooldownAfterALateAnswerDependsOnTheOwnRequestRate) {
  ScriptedFrontEnd front_end(settings_with_replicas(100));
  front_end.update_list(fleet(1));
  front_end.advance(3s);
  const RequestId first = front_end.request();
  front_end.advance(900ms);
  front_end.serve(front_end.sends_of(first)[0]);
  EXPECT_TRUE(front_end.sends_of(front_end.request(kRepeatable, 2)).empty());
  front_end.advance(10s);
  EXPECT_EQ(front_end.sends_of(front_end.request(kRepeatable, 3)).size(), 1U);
}

// Memory stays bounded while workers and functions come and go for hours.
TEST(Bounds, MemoryDoesNotGrowWithWorkersThatAreGone) {
  auto front_end = std::make_unique<ScriptedFrontEnd>();
  const auto live_after = [&](int rounds) {
    static std::uint32_t next = 0;
    for (int i = 0; i < rounds; ++i) {
      const std::uint32_t id = ++next;
      front_end->update_list({ScriptedFrontEnd::worker(id)}, ListScope::kFull);
      send_traffic(*front_end, 200ms, 50ms, 20ms, kRepeatable, id);
      front_end->advance(10s, 50ms);
      front_end->actions = {};
      front_end->log_lines = {};
    }
    return live_blocks;
  };
  const long early = live_after(30), late = live_after(60);
  EXPECT_LE(late, early + 20);
}

// Requests of a flood, each for a function of its own that no worker knows.
void send_flood(ScriptedFrontEnd& front_end, std::uint64_t first_function, int count) {
  for (int i = 0; i < count; ++i) {
    const RequestId id = front_end.request(kOnce, first_function + static_cast<std::uint64_t>(i));
    for (const Action& sent : front_end.sends_of(id)) front_end.answer_attempt(sent, Outcome::kError);
    front_end.actions.clear();
    if (i % 40 == 0) front_end.advance(4ms);
  }
}

TEST(Bounds, FunctionTableStaysBoundedUnderEverNewNames) {
  Settings settings = default_settings();
  settings.max_functions = 1000;
  ScriptedFrontEnd front_end(settings);
  front_end.update_list(fleet(4));
  send_flood(front_end, 1'000'000, 20'000);
  EXPECT_LE(front_end.dispatcher.table_sizes().functions, settings.max_functions + 1);
  EXPECT_EQ(front_end.dispatcher.table_sizes().open_requests, 0U);
}

// What is known of a function that was served outlives a flood of other names.
TEST(Bounds, EvictionBeginsWithFunctionsThatWereNeverServed) {
  ScriptedFrontEnd fresh;
  fresh.update_list(fleet(8));
  const WorkerId first_by_hash = fresh.sends_of(fresh.request())[0].worker;
  const std::uint32_t other = first_by_hash == WorkerId{1} ? 2 : 1;

  Settings settings = default_settings();
  settings.max_functions = 1000;
  ScriptedFrontEnd front_end(settings);
  front_end.update_list({ScriptedFrontEnd::worker(other)});
  send_traffic(front_end, 2s, 50ms);
  front_end.update_list(fleet(8));
  send_flood(front_end, 1'000'000, 20'000);
  const RequestId id = front_end.request();
  ASSERT_EQ(front_end.sends_of(id).size(), 1U);
  EXPECT_EQ(front_end.sends_of(id)[0].worker, WorkerId{other});
}

// A function with an open request keeps its place, however many others come.
TEST(Bounds, EvictionSparesFunctionsWithOpenRequests) {
  Settings settings = default_settings();
  settings.max_functions = 100;
  ScriptedFrontEnd front_end(settings);
  front_end.update_list(fleet(4));
  const RequestId open = front_end.request(kRepeatable, 5);
  const Action sent = front_end.sends_of(open)[0];
  front_end.advance(4ms);
  send_flood(front_end, 1'000'000, 1000);
  front_end.answer_attempt(sent, Outcome::kMiss);  // orders an instance of it
  const auto orders = front_end.actions_of(ActionKind::kHold);
  ASSERT_FALSE(orders.empty());
  EXPECT_EQ(orders.back().function, FunctionId{5});
}

// The answer to an order shows that the worker is alive, also if its function was evicted meanwhile.
TEST(Bounds, OrderResultOfAnEvictedFunctionClearsTheSuspicion) {
  Settings settings = default_settings();
  settings.max_functions = 100;
  ScriptedFrontEnd front_end(settings);
  front_end.update_list(fleet(2));
  const RequestId first = front_end.request(kOnce, 5, 50ms);
  front_end.answer_attempt(front_end.sends_of(first)[0], Outcome::kReset);
  front_end.advance(100ms);
  const auto queries = front_end.actions_of(ActionKind::kHold);
  ASSERT_EQ(queries.size(), 1U);
  send_flood(front_end, 1'000'000, 1000);  // at the other worker
  front_end.answer_order(queries[0], Outcome::kOk, 0);
  front_end.actions.clear();
  front_end.advance(1500ms);
  for (const Action& order : front_end.actions_of(ActionKind::kHold)) EXPECT_NE(order.count, 0);
}

// An order that this front end did not send, for lack of a name or a connection, says nothing of the worker.
TEST(Bounds, OrderThatWasNeverSentDoesNotMakeTheWorkerSuspect) {
  ScriptedFrontEnd front_end;
  front_end.update_list(fleet(1));
  const RequestId first = front_end.request();
  front_end.serve(front_end.sends_of(first)[0]);
  for (const int ordered : {2, 0}) {
    for (const FunctionId function : {FunctionId{1}, FunctionId{99}}) {
      const HoldResult result{WorkerId{1}, function, Outcome::kNotRun, 1ms, 0, ordered};
      front_end.dispatcher.on(front_end.now, result);
    }
  }
  EXPECT_TRUE(front_end.log_lines.empty());
  EXPECT_TRUE(front_end.dispatcher.may_start_work(front_end.now, WorkerId{1}));
  // Nor is it a sign of life of a suspect worker, which is asked again.
  front_end.answer_attempt(front_end.sends_of(front_end.request())[0], Outcome::kReset);
  front_end.advance(100ms);
  front_end.actions.clear();
  front_end.dispatcher.on(front_end.now, HoldResult{WorkerId{1}, FunctionId{1}, Outcome::kNotRun, 1ms, 0, 0});
  front_end.advance(1500ms);
  const auto orders = front_end.actions_of(ActionKind::kHold);
  EXPECT_TRUE(std::any_of(orders.begin(), orders.end(), [](const Action& a) { return a.count == 0; }));
}

TEST(Bounds, CountedArrivalsStayBounded) {
  Settings settings = default_settings();
  settings.instances.order_window = 60s;
  settings.instances.orders_per_request = 0.1;
  ScriptedFrontEnd front_end(settings);
  front_end.update_list(fleet(1));
  for (int i = 0; i < 100'000; ++i) {
    const RequestId id = front_end.request(kOnce, 1);
    for (const Action& sent : front_end.sends_of(id)) front_end.answer_attempt(sent, Outcome::kError);
    front_end.actions.clear();
  }
  EXPECT_LE(front_end.dispatcher.table_sizes().counted_arrivals, 65'536U);
}

TEST(Bounds, IgnoresEventsAboutUnknownRequestsAndWorkers) {
  ScriptedFrontEnd front_end;
  front_end.update_list({});
  front_end.dispatcher.on(front_end.now, AttemptResult{});
  front_end.dispatcher.on(front_end.now, RequestAbandoned{RequestId{77}});
  front_end.dispatcher.on(front_end.now, HoldResult{WorkerId{5}, FunctionId{5}, Outcome::kOk, 1s, 3});
  front_end.dispatcher.on(front_end.now, StreamStarted{RequestId{5}, WorkerId{4}, 0, 1s});
  front_end.dispatcher.on(front_end.now, ProbeResult{WorkerId{5}, Outcome::kOk, 1s, {}});
  Request r;
  r.request_class = 99;
  front_end.dispatcher.on(front_end.now, r);
  EXPECT_TRUE(front_end.actions.empty());
}

TEST(Bounds, ToleratesInvalidValues) {
  Settings settings = default_settings();
  settings.rules.cold_capacity_share = 0;
  ScriptedFrontEnd front_end(settings);
  WorkerEntry cold = ScriptedFrontEnd::worker(1);
  cold.started = front_end.now;
  front_end.update_list({cold});
  constexpr float kNan = std::numeric_limits<float>::quiet_NaN();
  std::uint32_t id = 1000;
  for (const float invalid : {kNan, -1.0F, 0.0F, std::numeric_limits<float>::infinity()}) {
    Request r;
    r.id = RequestId{++id};
    r.function = FunctionId{id};
    r.deadline = front_end.now + 200ms;
    r.lanes = invalid;
    r.memory_mb = invalid;
    front_end.dispatcher.on(front_end.now, r);
    AttemptResult result;
    result.request = r.id;
    result.worker = WorkerId{1};
    result.outcome = Outcome::kFull;
    result.report.waiting = result.report.busy_cores = invalid;
    front_end.dispatcher.on(front_end.now, result);
    front_end.advance(5s);
    EXPECT_EQ(front_end.answers_of(r.id).size(), 1U);
  }
}

}  // namespace
}  // namespace laureltide::test
