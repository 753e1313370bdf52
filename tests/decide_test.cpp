// Tests of the decisions, through the public interface and with a scripted clock.
#include <gtest/gtest.h>

#include <cstdlib>
#include <limits>
#include <map>
#include <memory>
#include <new>
#include <set>

#include "bench.h"

namespace {
long live_blocks = 0;  // on the heap: what a long life keeps shows here
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

constexpr auto kRepeatable = Bench::kRepeatable, kKeyed = Bench::kKeyed, kOnce = Bench::kOnce;

std::vector<WorkerEntry> fleet(std::uint32_t n) {
  std::vector<WorkerEntry> entries;
  for (std::uint32_t i = 1; i <= n; ++i)
    entries.push_back(Bench::worker(i, static_cast<std::uint16_t>(i % 2)));
  return entries;
}

// Asks every `gap` for `length`; each send is served after `run`.
void traffic(Bench& b, Duration length, Duration gap, Duration run = 100ms, ClassIndex c = kRepeatable,
             std::uint64_t function = 1) {
  std::vector<Action> out;
  std::size_t seen = b.actions.size();
  const Time until = b.now + length;
  Time next = b.now;
  while (b.now < until || !out.empty()) {
    if (b.now >= next && b.now < until) b.ask(c, function), next += gap;
    for (; seen < b.actions.size(); ++seen) {
      if (b.actions[seen].did == Did::kSend) out.push_back(b.actions[seen]);
      if (b.actions[seen].did == Did::kHold) {
        const Action order = b.actions[seen];
        b.held(order, Outcome::kOk, order.count);
      }
    }
    b.advance(4ms);
    std::erase_if(out, [&](const Action& a) {
      if (a.at + run > b.now) return false;
      b.serve(a);
      return true;
    });
  }
}

TEST(Path, SendsToOneWorkerAgreedByHash) {
  std::set<std::uint32_t> chosen;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Bench b(plain_settings(), seed);
    b.list(fleet(8));
    const RequestId id = b.ask();
    ASSERT_EQ(b.sends_of(id).size(), 1U);
    chosen.insert(static_cast<std::uint32_t>(b.sends_of(id)[0].worker));
  }
  EXPECT_EQ(chosen.size(), 1U);  // front ends that know nothing of each other try the same worker
}

TEST(Path, SticksToAWarmWorker) {
  Bench b;
  b.list(fleet(8));
  const RequestId first = b.ask();
  const Action sent = b.sends_of(first)[0];
  b.advance(100ms);
  b.serve(sent);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(b.sends_of(b.ask())[0].worker, sent.worker);
}

TEST(Path, HotFunctionReachesMoreWorkersAndLoadsAhead) {
  Bench b;
  b.list(fleet(8));
  traffic(b, 6s, 10ms);  // ten busy lanes
  std::set<WorkerId> held;
  for (const Action& a : b.all(Did::kHold)) held.insert(a.worker);
  EXPECT_GE(held.size(), 3U);
  std::set<WorkerId> used;
  for (const Action& a : b.all(Did::kSend))
    if (a.at > b.now - 1s) used.insert(a.worker);
  EXPECT_GE(used.size(), 3U);
}

TEST(Path, AMissBringsAHoldAndTheRequestWaitsForIt) {
  Settings s = plain_settings();
  s.instances.on_miss = MissMode::kMiss;
  Bench b(s);
  b.list(fleet(4));
  const RequestId id = b.ask(kOnce);
  const Action first = b.sends_of(id)[0];
  b.answer(first, Outcome::kMiss);
  ASSERT_EQ(b.all(Did::kHold).size(), 1U);
  EXPECT_EQ(b.all(Did::kHold)[0].worker, first.worker);
  b.advance(200ms);
  EXPECT_EQ(b.sends_of(id).size(), 1U);
  b.held(b.all(Did::kHold)[0]);
  ASSERT_EQ(b.sends_of(id).size(), 2U);
  EXPECT_EQ(b.sends_of(id)[1].worker, first.worker);
}

TEST(Path, BeliefsAge) {
  Settings s = plain_settings();
  s.instances.orders = false;
  Bench b(s);
  b.list(fleet(8));
  const Action sent = b.sends_of(b.ask())[0];
  b.answer(sent, Outcome::kFull);  // pushes the next pick away from the hash's first choice
  const Action moved = b.sends_of(sent.request)[1];
  b.advance(100ms);
  b.serve(moved);
  b.advance(1s);
  EXPECT_EQ(b.sends_of(b.ask())[0].worker, moved.worker);
  b.serve(b.all(Did::kSend).back());
  b.advance(40s);  // past the keep-alive and the plan's memory of demand
  EXPECT_EQ(b.sends_of(b.ask())[0].worker, sent.worker);
}

TEST(Path, SameEventsGiveSameActions) {
  auto play = [] {
    Bench b;
    b.list(fleet(6));
    traffic(b, 5s, 15ms);
    return b.actions;
  };
  EXPECT_EQ(play(), play());
}

TEST(RuleAnswers, EveryRequestEndsOnceByItsDeadline) {
  Bench b;
  b.list(fleet(2));
  for (ClassIndex c : {kRepeatable, kKeyed, kOnce}) {
    const RequestId id = b.ask(c, 1, 500ms);
    b.advance(500ms + 16ms);
    ASSERT_EQ(b.answers_of(id).size(), 1U) << int{c};
    const std::size_t sends = b.sends_of(id).size();
    b.advance(1s);
    EXPECT_EQ(b.answers_of(id).size(), 1U);
    EXPECT_EQ(b.sends_of(id).size(), sends);
  }
}

TEST(RuleAnswers, WithoutWorkersARefusalComesInTime) {
  Bench b;
  const RequestId id = b.ask(kOnce, 1, 300ms);
  b.advance(300ms);
  ASSERT_EQ(b.answers_of(id).size(), 1U);
  EXPECT_EQ(b.answers_of(id)[0].did, Did::kRefuse);
}

TEST(RuleEffects, OnceThatMayHaveRunWaitsAndFails) {
  for (Outcome o : {Outcome::kError, Outcome::kReset, Outcome::kTimeout, Outcome::kCancelled}) {
    Bench b;
    b.list(fleet(4));
    const RequestId id = b.ask(kOnce);
    b.answer(b.sends_of(id)[0], o);
    b.advance(4s);
    EXPECT_EQ(b.sends_of(id).size(), 1U);
    ASSERT_EQ(b.answers_of(id).size(), 1U);
    EXPECT_EQ(b.answers_of(id)[0].did, Did::kFail);
  }
}

TEST(RuleEffects, OnceThatNeverRanGoesOut) {
  for (Outcome o : {Outcome::kFull, Outcome::kConnectFailed}) {
    Bench b;
    b.list(fleet(4));
    const RequestId id = b.ask(kOnce);
    b.answer(b.sends_of(id)[0], o);
    EXPECT_EQ(b.sends_of(id).size(), 2U);
  }
}

TEST(RuleEffects, KeyedStaysInItsCellAndWindow) {
  Bench b;
  b.list(fleet(8));
  const RequestId id = b.ask(kKeyed);
  const auto cell = [](const Action& a) { return static_cast<std::uint32_t>(a.worker) % 2; };
  b.answer(b.sends_of(id)[0], Outcome::kReset);
  ASSERT_EQ(b.sends_of(id).size(), 2U);
  EXPECT_EQ(cell(b.sends_of(id)[1]), cell(b.sends_of(id)[0]));
  b.advance(2100ms);  // past the window
  b.answer(b.sends_of(id)[1], Outcome::kReset);
  b.advance(1s);
  EXPECT_EQ(b.sends_of(id).size(), 2U);
  ASSERT_EQ(b.answers_of(id).size(), 1U);
  EXPECT_EQ(b.answers_of(id)[0].did, Did::kFail);
}

TEST(RuleDrains, NothingGoesToADrainingOrGoneWorker) {
  for (WorkerState state : {WorkerState::kDraining, WorkerState::kGone}) {
    Bench b;
    b.list(fleet(4));
    traffic(b, 3s, 20ms);
    WorkerEntry entry = b.all(Did::kSend).back().worker == WorkerId{1} ? Bench::worker(1) : Bench::worker(0);
    entry.id = b.all(Did::kSend).back().worker;
    entry.state = state;
    b.list({entry}, ListScope::kChanges);
    const std::size_t before = b.actions.size();
    traffic(b, 3s, 20ms);
    for (std::size_t i = before; i < b.actions.size(); ++i) {
      const Action& a = b.actions[i];
      const bool work = a.did == Did::kSend || (a.did == Did::kHold && a.count > 0);
      EXPECT_FALSE(work && a.worker == entry.id);
    }
  }
}

TEST(RuleCold, AColdWorkerGetsNoMoreThanItsShare) {
  Bench b;
  b.list(fleet(4));
  traffic(b, 5s, 20ms);
  WorkerEntry cold = Bench::worker(9);
  cold.started = b.now;
  b.list({cold}, ListScope::kChanges);
  for (std::uint32_t id = 1; id <= 4; ++id) {  // the others leave: all would go to the cold one
    WorkerEntry gone = Bench::worker(id);
    gone.state = WorkerState::kGone;
    b.list({gone}, ListScope::kChanges);
  }
  const std::size_t before = b.all(Did::kSend).size();
  traffic(b, 1s, 20ms);
  const auto sends = b.all(Did::kSend);
  const auto n = std::count_if(sends.begin() + static_cast<long>(before), sends.end(),
                               [](auto& a) { return a.worker == WorkerId{9}; });
  EXPECT_LE(n, 50 / 4 * 2);  // of 50 asked: its warmth of a quarter, times the fall multiple
}

// Retries and refusals are sends too: a fleet that turns work away must not raise a cold worker's budget.
TEST(RuleCold, RefusedSendsDoNotRaiseTheBudget) {
  const auto sent_to_cold = [](int full_per_request) {
    Bench b;
    b.list(fleet(4));
    traffic(b, 4s, 40ms);
    for (int i = 0; i < 50; ++i) {
      const RequestId id = b.ask();
      for (int k = 0; k < full_per_request; ++k) b.answer(b.sends_of(id).back(), Outcome::kFull);
      b.advance(40ms);
      b.serve(b.sends_of(id).back());
      b.advance(160ms);
    }
    WorkerEntry cold = Bench::worker(9);
    cold.started = b.now;
    b.list({cold}, ListScope::kFull);  // all others are gone
    for (int i = 0; i < 100; ++i) b.ask(), b.advance(10ms);
    const auto sends = b.all(Did::kSend);
    return std::count_if(sends.begin(), sends.end(), [](auto& a) { return a.worker == WorkerId{9}; });
  };
  EXPECT_LE(sent_to_cold(3), sent_to_cold(0) + 1);
}

TEST(RuleLoads, OrdersStayWithinTheRation) {
  Settings s = plain_settings();
  s.instances.order_window = 5s;
  s.instances.order_floor = 1;
  s.instances.orders_per_request = 0.02;
  Bench b(s);
  b.list(fleet(8));
  for (std::uint64_t f = 1; f <= 40; ++f) traffic(b, 200ms, 40ms, 20ms, kRepeatable, f);
  std::map<RequestId, Time> arrivals;
  for (const Action& a : b.all(Did::kSend)) arrivals.try_emplace(a.request, a.at);
  for (const Action& order : b.all(Did::kHold)) {
    if (order.count == 0) continue;
    const auto holds = b.all(Did::kHold);
    const auto orders = std::count_if(holds.begin(), holds.end(), [&](auto& a) {
      return a.count > 0 && a.at <= order.at && order.at - a.at <= 5s;
    });
    const auto taken = std::count_if(arrivals.begin(), arrivals.end(), [&](auto& a) {
      return a.second <= order.at && order.at - a.second < 5s;
    });
    EXPECT_LE(static_cast<double>(orders), 1 + 0.02 * static_cast<double>(taken));
  }
}

// A long call is no silence: a worker that answers when asked keeps its calls, and its trust.
TEST(Failure, AQuietWorkerIsAskedBeforeItIsLeft) {
  Bench b;
  b.list(fleet(4));
  traffic(b, 3s, 50ms);
  const RequestId id = b.ask();
  const WorkerId quiet = b.sends_of(id)[0].worker;
  const std::size_t before = b.all(Did::kHold).size();
  std::size_t seen = before;
  for (int i = 0; i < 300; ++i, b.advance(8ms))
    for (; seen < b.all(Did::kHold).size(); ++seen) b.held(b.all(Did::kHold)[seen]);
  const auto holds = b.all(Did::kHold);
  EXPECT_TRUE(std::any_of(holds.begin() + static_cast<long>(before), holds.end(),
                          [&](auto& a) { return a.count == 0 && a.worker == quiet; }));
  EXPECT_TRUE(b.all(Did::kCancel).empty());
  EXPECT_TRUE(b.lines.empty());
}

// Both are out at once, for the same copy: a question's answer says nothing of the order's end.
TEST(Failure, TheAnswerToAQuestionIsNotTakenForThatOfAnOrder) {
  Settings settings = plain_settings();
  settings.instances.on_miss = MissMode::kMiss;
  Bench b(settings);
  b.list(fleet(1));
  const RequestId waiting = b.ask(kRepeatable, 1);
  b.answer(b.sends_of(waiting)[0], Outcome::kMiss);
  const auto order = b.all(Did::kHold).at(0);
  ASSERT_GT(order.count, 0);
  const RequestId other = b.ask(kRepeatable, 2);
  b.answer(b.sends_of(other)[0], Outcome::kReset);
  b.advance(100ms);
  const auto question = b.all(Did::kHold).back();
  ASSERT_EQ(question.count, 0);
  ASSERT_EQ(question.function, order.function);
  b.held(question, Outcome::kOk, 0);
  b.advance(100ms);
  EXPECT_EQ(b.sends_of(waiting).size(), 1U);
  b.held(order, Outcome::kOk, 1);
  b.advance(100ms);
  EXPECT_EQ(b.sends_of(waiting).size(), 2U);
}

TEST(Failure, ASilentWorkerIsLeftAndItsRepeatableRequestsMove) {
  Bench b;
  b.list(fleet(4));
  traffic(b, 3s, 50ms);
  const RequestId id = b.ask();
  const WorkerId silent = b.sends_of(id)[0].worker;
  b.advance(1500ms);
  ASSERT_FALSE(b.all(Did::kCancel).empty());
  b.answer(b.sends_of(id)[0], Outcome::kCancelled);
  ASSERT_EQ(b.sends_of(id).size(), 2U);
  EXPECT_NE(b.sends_of(id)[1].worker, silent);
}

// A jam at the worker must not grow by what is sent into it: the rest waits here and is refused in time.
TEST(Failure, LateAnswersLimitOwnCallsInFlight) {
  Bench b;
  b.list(fleet(1));
  traffic(b, 3s, 100ms);
  traffic(b, 6s, 20ms, 950ms);  // late, though within the aim
  const std::size_t before = b.all(Did::kSend).size();
  traffic(b, 1s, 20ms, 950ms);
  EXPECT_LT(b.all(Did::kSend).size() - before, 40U);
  EXPECT_FALSE(b.all(Did::kRefuse).empty());
  traffic(b, 8s, 50ms, 50ms);
  const std::size_t refused = b.all(Did::kRefuse).size();
  traffic(b, 2s, 50ms, 50ms);
  EXPECT_EQ(b.all(Did::kRefuse).size(), refused);  // and it recovers
}

// What errs answers at once, so it always has room. Calls that may not be repeated must not all end there.
TEST(Failure, AWorkerThatErrsComesLastAndIsTriedAgain) {
  Bench b;
  b.list(fleet(4));
  traffic(b, 4s, 8ms, 100ms);  // several copies
  std::map<WorkerId, int> sends;
  for (const Action& a : b.all(Did::kSend)) ++sends[a.worker];
  ASSERT_GE(sends.size(), 2U);
  const WorkerId bad = sends.begin()->first;
  const auto share_of_bad = [&](bool errs) {
    std::vector<Action> out;
    std::size_t seen = b.actions.size();
    double at_bad = 0, all = 0;
    const Time begin = b.now;
    while (b.now < begin + 8s) {
      if (b.now < begin + 7s) b.ask(kOnce, 1);
      for (; seen < b.actions.size(); ++seen) {
        const Action a = b.actions[seen];
        if (a.did == Did::kHold) b.held(a, Outcome::kOk, a.count);
        if (a.did != Did::kSend) continue;
        if (b.now > begin + 3s) ++all, at_bad += a.worker == bad;
        errs&& a.worker == bad ? b.answer(a, Outcome::kError) : out.push_back(a);
      }
      b.advance(8ms);
      std::erase_if(out, [&](const Action& a) { return b.now - a.at >= 100ms && (b.serve(a), true); });
    }
    return at_bad / all;
  };
  EXPECT_LT(share_of_bad(true), 0.1);
  b.advance(20s);  // nothing was heard of it for long
  EXPECT_GT(share_of_bad(false), 0.1);
}

// Its only warm copy stands where it may have run: it goes elsewhere, and does not wait there until it is
// refused.
TEST(Failure, NoRequestWaitsForAPlaceThatItMayNotGoToAgain) {
  Settings settings = plain_settings();
  settings.instances.on_miss = MissMode::kMiss;
  Bench b(settings);
  b.list(fleet(4));
  traffic(b, 3s, 400ms);
  const RequestId id = b.ask();
  ASSERT_EQ(b.sends_of(id).size(), 1U);
  b.advance(8ms);
  b.answer(b.sends_of(id)[0], Outcome::kError);
  b.advance(8ms);
  ASSERT_EQ(b.sends_of(id).size(), 2U);
  EXPECT_NE(b.sends_of(id)[1].worker, b.sends_of(id)[0].worker);
}

// The refusal itself goes at once; when to come back is said where the settings allow, within their longest.
TEST(Failure, ARefusalSaysWhenToComeBackWhereSettingsAllow) {
  for (const auto& [allowed, longest, said] :
       {std::tuple(false, Duration(1s), Duration(0)), std::tuple(true, Duration(1s), Duration(100ms)),
        std::tuple(true, Duration(30ms), Duration(30ms))}) {
    Settings settings = plain_settings();
    settings.bounds.retry_after = allowed, settings.bounds.max_retry_after = longest;
    Bench b(settings);
    b.list({});
    b.ask();
    b.advance(1s);
    ASSERT_EQ(b.advice.size(), 1U);
    EXPECT_EQ(b.advice[0], said);
  }
}

// A reset is no restart: where nothing tells that copies are gone, the worker is neither emptied nor cold
// again.
TEST(Failure, AnAnswerAboutAnotherFunctionTellsOfNoRestart) {
  Bench b;
  b.list(fleet(1));
  traffic(b, 4s, 20ms);
  b.advance(9s);  // longer than the keep-alive: no copy is believed to stand
  const RequestId id = b.ask();
  b.answer(b.sends_of(id)[0], Outcome::kReset);
  b.advance(40ms);
  const Action asked = b.all(Did::kHold).back();
  ASSERT_EQ(asked.count, 0);
  b.held(asked, Outcome::kOk, 0);
  std::size_t sent = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId next = b.ask();
    sent += b.sends_of(next).size();
    for (const Action& a : b.sends_of(next)) b.serve(a, Found::kBeganLoad);
    b.advance(8ms);
  }
  EXPECT_EQ(sent, 20U);  // no cold worker's budget
}

TEST(Failure, AnOrderThatABreakTookVoidsNoCopy) {
  Bench b;
  b.list(fleet(1));
  traffic(b, 4s, 20ms);
  const std::size_t before = b.all(Did::kHold).size();
  for (int i = 0; i < 4000 && b.all(Did::kHold).size() == before; ++i) b.advance(4ms);  // a renewal
  const Action renewed = b.all(Did::kHold).back();
  ASSERT_GT(renewed.count, 0);
  b.held(renewed, Outcome::kReset, 0);
  b.advance(40ms);
  const Action asked = b.all(Did::kHold).back();
  ASSERT_EQ(asked.count, 0);
  b.held(asked, Outcome::kOk, 0);  // it is gone indeed: the belief that it stood is what shows it
  std::size_t sent = 0;
  for (int i = 0; i < 20; ++i) sent += b.sends_of(b.ask()).size();
  EXPECT_LT(sent, 20U);  // cold again
}

// A broken connection is no restart: asked for a copy that should stand, the worker says that it does.
TEST(Failure, ABrokenConnectionVoidsNothingWhileTheCopyStands) {
  for (const int standing : {1, 0}) {
    Bench b;
    b.list(fleet(8));
    traffic(b, 3s, 50ms);
    const RequestId id = b.ask();
    const Action sent = b.sends_of(id)[0];
    b.answer(sent, Outcome::kReset);
    b.advance(100ms);
    const Action asked = b.all(Did::kHold).back();
    ASSERT_EQ(asked.count, 0);
    ASSERT_EQ(asked.worker, sent.worker);
    b.held(asked, Outcome::kOk, standing);
    const std::size_t before = b.all(Did::kSend).size();
    for (int i = 0; i < 24; ++i) b.ask();
    const auto sends = b.all(Did::kSend);
    const auto back = std::count_if(sends.begin() + static_cast<long>(before), sends.end(),
                                    [&](auto& a) { return a.worker == sent.worker; });
    EXPECT_EQ(back > 0, standing > 0);
  }
}

// While most workers have no room, what a tenant asks beyond its share is refused at once, not served late.
TEST(Failure, OverShareIsRefusedFirstWhenTheFleetIsShort) {
  Settings s = plain_settings();
  s.tenants = {{5, 0.5}, {50, 0.5}};
  s.over_share_worth = 0.1;
  Bench b(s);
  b.list(fleet(1));
  std::map<std::uint32_t, int> refused;
  std::vector<Action> out;
  std::map<RequestId, std::uint32_t> tenant;
  std::size_t seen = 0;
  for (int i = 0; i < 500; ++i) {
    const std::uint32_t who = i % 2;  // both ask 25 a second
    tenant[b.ask(kRepeatable, 1, 3s, who)] = who;
    for (; seen < b.actions.size(); ++seen) {
      if (b.actions[seen].did == Did::kSend) out.push_back(b.actions[seen]);
      if (b.actions[seen].did == Did::kRefuse) ++refused[tenant[b.actions[seen].request]];
    }
    std::erase_if(out, [&](const Action& a) {
      if (a.at + 600ms > b.now) return false;
      b.serve(a);
      return true;
    });
    b.advance(20ms);
  }
  EXPECT_GT(2 * refused[0], 3 * refused[1]) << refused[0] << " and " << refused[1];
}

Settings one_of(std::uint32_t replicas) {
  Settings s = plain_settings();
  s.replicas = replicas;
  return s;
}

long count_to(const Bench& b, Did did, WorkerId worker, std::size_t from = 0) {
  return std::count_if(b.actions.begin() + static_cast<long>(from), b.actions.end(),
                       [&](auto& a) { return a.did == did && a.worker == worker; });
}

// A hundred front ends that plan alike must not each order what one order brings.
TEST(Many, PlannedOrdersAreSharedByChance) {
  const auto holds = [](std::uint32_t replicas) {
    Bench b(one_of(replicas));
    b.list(fleet(8));
    for (int round = 0; round < 20; ++round, b.advance(6s, 50ms))
      for (std::uint64_t f = 1; f <= 5; ++f) traffic(b, 200ms, 100ms, 20ms, kRepeatable, f);
    return b.all(Did::kHold).size();
  };
  EXPECT_GT(holds(1), 5U);
  EXPECT_LT(5 * holds(200), holds(1));
}

// The first calls of a life are no picture of demand: all of them for one function do not make it hot.
TEST(Many, AFewCallsDoNotSpreadAFunction) {
  Bench b(one_of(2));  // few enough that each planned order is given
  b.list(fleet(8));
  traffic(b, 300ms, 100ms, 20ms);
  b.advance(500ms);
  std::set<WorkerId> places;
  for (const Action& a : b.all(Did::kHold)) places.insert(a.worker);
  EXPECT_LE(places.size(), 2U);
}

// Each keeps rule 4 alone, by a part of a call: one call from each of a hundred would be a burst.
TEST(Many, TogetherTheyKeepAColdWorkersBudget) {
  long to_cold = 0;
  for (std::uint32_t me = 0; me < 100; ++me) {
    Bench b(one_of(100), me + 1);
    b.list(fleet(4));
    traffic(b, 6s, 500ms);
    WorkerEntry cold = Bench::worker(9);
    cold.started = b.now;
    b.list({cold}, ListScope::kFull);  // all others are gone: every call would go to the cold one
    const std::size_t before = b.actions.size();
    traffic(b, 1s, 500ms);
    to_cold += count_to(b, Did::kSend, WorkerId{9}, before);
  }
  EXPECT_GT(to_cold, 0);
  // Of 200 asked, a worker's usual part, at its warmth of a quarter or a little more, times the fall
  // multiple.
  EXPECT_LE(to_cold, 200 / 4 * 0.3 * 2);
}

TEST(Many, OnlyAFewPeersAreTold) {
  Settings s = one_of(300);
  s.bounds.peers = true;
  s.tenants = {{50, 1}};
  Bench b(s);
  b.list(fleet(4));
  b.advance(10s);
  EXPECT_GE(b.all(Did::kTell).size(), 4U);
  EXPECT_LE(b.all(Did::kTell).size(), 4U * 8U);
}

// Where all places known to one of many rest, the rest of the fleet need not: the call moves on. A front end
// that sees much of the fleet waits for room instead.
TEST(Many, ACallMovesOnWhereAllKnownPlacesRest) {
  const auto sends = [](std::uint32_t replicas) {
    Bench b(one_of(replicas));
    b.list(fleet(8));
    b.serve(b.sends_of(b.ask())[0]);
    const RequestId id = b.ask();
    b.answer(b.sends_of(id)[0], Outcome::kFull);
    return b.sends_of(id).size();
  };
  EXPECT_EQ(sends(100), 2U);
  EXPECT_EQ(sends(1), 1U);
}

// Full may be meant for one tenant or class: other functions still go there.
TEST(Failure, AFullAnswerRestsTheFunctionNotTheWorker) {
  Bench b(one_of(100));
  b.list(fleet(1));
  const RequestId refused = b.ask(kRepeatable, 1);
  b.answer(b.sends_of(refused)[0], Outcome::kFull);
  EXPECT_EQ(b.sends_of(refused).size(), 1U);
  EXPECT_EQ(b.sends_of(b.ask(kRepeatable, 2)).size(), 1U);
}

// With a call now and then, avoiding a jammed worker for a moment is not to avoid it at all.
TEST(Failure, ALateAnswerRestsTheWorkerByTheOwnPace) {
  Bench b(one_of(100));
  b.list(fleet(1));
  b.advance(3s);
  const RequestId first = b.ask();
  b.advance(900ms);
  b.serve(b.sends_of(first)[0]);
  EXPECT_TRUE(b.sends_of(b.ask(kRepeatable, 2)).empty());
  b.advance(10s);
  EXPECT_EQ(b.sends_of(b.ask(kRepeatable, 3)).size(), 1U);
}

// Workers and functions that come and go for hours leave nothing behind.
TEST(Bounds, ALongLifeKeepsNothingOfWhatIsGone) {
  auto b = std::make_unique<Bench>();
  const auto live_after = [&](int rounds) {
    static std::uint32_t next = 0;
    for (int i = 0; i < rounds; ++i) {
      const std::uint32_t id = ++next;
      b->list({Bench::worker(id)}, ListScope::kFull);
      traffic(*b, 200ms, 50ms, 20ms, kRepeatable, id);
      b->advance(10s, 50ms);
      b->actions = {};
      b->lines = {};
    }
    return live_blocks;
  };
  const long early = live_after(30), late = live_after(60);
  EXPECT_LE(late, early + 20);
}

TEST(Bounds, OddEventsAreIgnored) {
  Bench b;
  b.list({});
  b.dispatcher.on(b.now, AttemptResult{});
  b.dispatcher.on(b.now, RequestAbandoned{RequestId{77}});
  b.dispatcher.on(b.now, HoldResult{WorkerId{5}, FunctionId{5}, Outcome::kOk, 1s, 3});
  b.dispatcher.on(b.now, StreamStarted{RequestId{5}, WorkerId{4}, 0, 1s});
  b.dispatcher.on(b.now, ProbeResult{WorkerId{5}, Outcome::kOk, 1s, {}});
  Request r;
  r.request_class = 99;
  b.dispatcher.on(b.now, r);
  EXPECT_TRUE(b.actions.empty());
}

TEST(Bounds, OddValuesDoNoHarm) {
  Settings settings = plain_settings();
  settings.rules.cold_capacity_share = 0;
  Bench b(settings);
  WorkerEntry cold = Bench::worker(1);
  cold.started = b.now;
  b.list({cold});
  constexpr float kNan = std::numeric_limits<float>::quiet_NaN();
  std::uint32_t id = 1000;
  for (const float odd : {kNan, -1.0F, 0.0F, std::numeric_limits<float>::infinity()}) {
    Request r;
    r.id = RequestId{++id};
    r.function = FunctionId{id};
    r.deadline = b.now + 200ms;
    r.lanes = odd;
    r.memory_mb = odd;
    b.dispatcher.on(b.now, r);
    AttemptResult result;
    result.request = r.id;
    result.worker = WorkerId{1};
    result.outcome = Outcome::kFull;
    result.report.waiting = result.report.busy_cores = odd;
    b.dispatcher.on(b.now, result);
    b.advance(5s);
    EXPECT_EQ(b.answers_of(r.id).size(), 1U);
  }
}

}  // namespace
}  // namespace laureltide::test
