// Tests of the scheduler; each case fails without the rule that it covers.
#include "layers/scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>

namespace laureltide::layers {
namespace {

using namespace std::chrono_literals;

struct Fetches : testing::Test {
  SchedulerOptions options;
  std::unique_ptr<Scheduler> made;
  Time now{1h};
  std::uint64_t next_id = 1;
  Scheduler& scheduler() {
    if (!made) made = std::make_unique<Scheduler>(options, 42);
    return *made;
  }
  std::uint64_t add(Level level, std::uint64_t function = 1, std::uint32_t tenant = 0,
                    std::uint32_t bytes = 1000) {
    Fetch f;
    f.id = next_id++, f.level = level, f.tenant = tenant, f.function = function, f.bytes = bytes;
    EXPECT_TRUE(scheduler().add(now, f));
    return f.id;
  }
  std::vector<ScheduledAttempt> start_all() {
    std::vector<ScheduledAttempt> all;
    while (const auto s = scheduler().next(now)) all.push_back(*s);
    return all;
  }
  AttemptVerdict end(const ScheduledAttempt& s, FetchOutcome how = FetchOutcome::kOk, Duration retry = {}) {
    return scheduler().on_attempt_ended(now, s.id, s.attempt, how, retry);
  }
};

TEST_F(Fetches, StartsCallsThenHoldsThenRenewalsThenPrefetch) {
  options.initial_window = 1, options.share[2] = options.share[3] = 1;
  const auto d = add(Level::kPrefetch), c = add(Level::kRenewal), b = add(Level::kHold),
             a = add(Level::kCall);
  for (const std::uint64_t wanted : {a, b, c, d}) {
    const auto s = scheduler().next(now);
    ASSERT_TRUE(s);
    EXPECT_EQ(s->id, wanted);
    end(*s);
  }
}

TEST_F(Fetches, RenewalsLeaveCapacityForCalls) {
  options.initial_window = 8, options.max_window = 8;
  for (int i = 0; i < 100; ++i) add(Level::kRenewal);
  EXPECT_EQ(start_all().size(), 4U);  // half of the window
  add(Level::kCall);
  EXPECT_EQ(start_all().size(), 1U);  // starts before any fetch has ended
}

TEST_F(Fetches, CallsDoNotStarveAgedFetches) {
  options.initial_window = 1, options.max_window = 1;
  const auto old = add(Level::kPrefetch);
  now += 6s;
  int started = 0;
  for (int i = 0; i < 2 * options.aged_start_interval; ++i) {
    add(Level::kCall);
    const auto s = scheduler().next(now);
    ASSERT_TRUE(s);
    if (s->id == old) started = i + 1;
    end(*s);
  }
  EXPECT_GT(started, 0);
  EXPECT_LE(started, options.aged_start_interval);
}

TEST_F(Fetches, FunctionsOfATenantShareByBytes) {
  options.initial_window = 1, options.max_window = 1;
  for (int i = 0; i < 60; ++i) add(Level::kCall, 1, 0, 3000);
  for (int i = 0; i < 60; ++i) add(Level::kCall, 2, 0, 1000);
  int first = 0, second = 0;
  for (int i = 0; i < 40; ++i) {
    const auto s = scheduler().next(now);
    s->id <= 60 ? ++first : ++second;
    end(*s);
  }
  EXPECT_NEAR(first, 10, 1);  // a third of the fetches, half of the bytes
  EXPECT_NEAR(second, 30, 1);
}

TEST_F(Fetches, TenantsShareByWeight) {
  options.initial_window = 1, options.max_window = 1;
  scheduler().set_weight(7, 3);
  for (int i = 0; i < 400; ++i) add(Level::kRenewal, static_cast<std::uint64_t>(i), 6);  // many functions
  for (int i = 0; i < 100; ++i) add(Level::kRenewal, 1, 7);
  int light = 0;
  for (int i = 0; i < 80; ++i) {
    const auto s = scheduler().next(now);
    if (s->id > 400) ++light;
    end(*s);
  }
  EXPECT_NEAR(light, 60, 2);
}

TEST_F(Fetches, LimitsConcurrentFetchesPerTenant) {
  options.initial_window = 8, options.max_running_per_tenant = 2;
  for (int i = 0; i < 5; ++i) add(Level::kCall, 1, 1);
  for (int i = 0; i < 5; ++i) add(Level::kCall, 1, 2);
  const auto all = start_all();
  EXPECT_EQ(all.size(), 4U);
  end(all[0]);
  EXPECT_EQ(start_all().size(), 1U);  // the next fetch of the same tenant
}

TEST_F(Fetches, WindowGrowsOnSuccessAndShrinksOnBusy) {
  options.initial_window = 4;
  std::deque<ScheduledAttempt> out;
  for (int i = 0; i < 400; ++i) add(Level::kCall);
  for (int i = 0; i < 10; ++i) {
    for (const ScheduledAttempt& s : start_all()) out.push_back(s);
    now += 10ms;
    for (const ScheduledAttempt& s : std::exchange(out, {})) end(s);
  }
  for (const ScheduledAttempt& s : start_all()) out.push_back(s);
  const double grown = scheduler().state(now, 0).window;
  EXPECT_GT(grown, 8);
  end(out.front(), FetchOutcome::kBusy), out.pop_front();
  const double cut = scheduler().state(now, 0).window;
  EXPECT_NEAR(cut, grown / 2, 0.1);
  end(out.front(), FetchOutcome::kBusy), out.pop_front();
  EXPECT_EQ(scheduler().state(now, 0).window, cut);  // one congestion event shrinks the window once
  now += 1s;
  end(out.front(), FetchOutcome::kBusy);
  EXPECT_LT(scheduler().state(now, 0).window, cut);
}

TEST_F(Fetches, WindowShrinksWhenStoreSlowsDown) {
  options.initial_window = 8;
  for (int i = 0; i < 2000; ++i) add(Level::kCall);
  auto run = [&](Duration took, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      const auto all = start_all();
      now += took;
      for (const ScheduledAttempt& s : all) end(s);
    }
  };
  run(10ms, 40);
  const double before = scheduler().state(now, 0).window;
  run(80ms, 20);  // eight times slower
  EXPECT_LT(scheduler().state(now, 0).window, before / 2);
}

TEST_F(Fetches, HonorsRetryAfterUpToLimit) {
  const auto id = add(Level::kCall);
  auto s = scheduler().next(now);
  add(Level::kCall);
  EXPECT_EQ(end(*s, FetchOutcome::kBusy, 5s).kind, AttemptVerdict::Kind::kRetry);
  now += 4s;
  EXPECT_FALSE(scheduler().next(now));
  ASSERT_TRUE(scheduler().next_wakeup(now));
  EXPECT_GE(*scheduler().next_wakeup(now), now + 1s);
  now += 5s;
  EXPECT_TRUE(scheduler().next(now));
  end({id, 1, 0, false}, FetchOutcome::kBusy, 24h);
  now += 2 * options.max_cooldown;
  EXPECT_FALSE(start_all().empty());
}

TEST_F(Fetches, RetriesBackOffAndEnd) {
  add(Level::kCall);
  Duration last{};
  int tried = 0;
  while (true) {
    const auto s = scheduler().next(now);
    ASSERT_TRUE(s);
    ++tried;
    const AttemptVerdict v = end(*s, FetchOutcome::kBroken);
    if (v.kind == AttemptVerdict::Kind::kGaveUp) {
      EXPECT_NE(v.why.find("6 attempts"), std::string::npos) << v.why;
      break;
    }
    EXPECT_FALSE(scheduler().next(now));  // no immediate retry
    const auto next_wakeup = scheduler().next_wakeup(now);
    ASSERT_TRUE(next_wakeup);
    const Duration pause = *next_wakeup - now;
    if (tried > 2) {
      EXPECT_GT(pause, last / 2);
    }
    last = pause, now = *next_wakeup;
  }
  EXPECT_EQ(tried, 6);
  EXPECT_EQ(scheduler().size(), 0U);
}

TEST_F(Fetches, RetryBudgetIsSharedByAllFetches) {
  options.initial_window = options.max_window = 64, options.max_attempts = 1000;
  for (int i = 0; i < 64; ++i) add(Level::kCall);
  int attempts = 0;
  const Time until = now + 60s;
  while (now < until) {
    for (const ScheduledAttempt& s : start_all()) ++attempts, end(s, FetchOutcome::kBroken);
    now += 10ms;
  }
  // 64 first attempts, the initial budget, and one retry per second.
  EXPECT_LE(attempts, 64 + 16 + 60 + 8);
  EXPECT_GE(attempts, 64 + 16 + 30);  // retries continue
}

TEST_F(Fetches, DoesNotRetryMissingContent) {
  add(Level::kCall);
  EXPECT_EQ(end(*scheduler().next(now), FetchOutcome::kMissing).kind, AttemptVerdict::Kind::kGaveUp);
  add(Level::kCall);
  EXPECT_EQ(end(*scheduler().next(now), FetchOutcome::kRefused).kind, AttemptVerdict::Kind::kGaveUp);
}

TEST_F(Fetches, AvoidsCorruptReplica) {
  scheduler().set_replicas(0, 2);
  add(Level::kCall);
  const ScheduledAttempt first = *scheduler().next(now);
  EXPECT_EQ(end(first, FetchOutcome::kCorrupt).kind, AttemptVerdict::Kind::kRetry);
  now = *scheduler().next_wakeup(now);
  const ScheduledAttempt second = *scheduler().next(now);
  EXPECT_NE(second.replica, first.replica);
  end(second);
  for (int i = 0; i < 10; ++i) {  // other fetches avoid the replica too
    add(Level::kCall);
    const ScheduledAttempt s = *scheduler().next(now);
    EXPECT_NE(s.replica, first.replica);
    end(s);
  }
}

TEST_F(Fetches, HedgesOnlyUrgentFetchesWithinBudget) {
  options.initial_window = 64;
  scheduler().set_replicas(0, 2);
  for (int i = 0; i < 6; ++i) add(Level::kCall);
  const auto renewal = add(Level::kRenewal);
  const auto out = start_all();
  ASSERT_EQ(out.size(), 7U);
  now += 1s;
  const auto hedges = start_all();
  EXPECT_EQ(hedges.size(), 4U);  // the whole hedge budget
  for (const ScheduledAttempt& h : hedges) {
    EXPECT_TRUE(h.hedge);
    EXPECT_NE(h.id, renewal);
    for (const ScheduledAttempt& o : out)
      if (o.id == h.id) {
        EXPECT_NE(o.replica, h.replica);
      }
  }
  // The first complete attempt ends the fetch; the other one must be cancelled.
  const AttemptVerdict v = end(hedges[0]);
  EXPECT_EQ(v.kind, AttemptVerdict::Kind::kDone);
  EXPECT_EQ(v.attempts_to_cancel.size(), 1U);
}

TEST_F(Fetches, RetriesOnAnotherReplica) {
  scheduler().set_replicas(0, 2);
  for (int i = 0; i < 10; ++i) {
    add(Level::kCall);
    const ScheduledAttempt first = *scheduler().next(now);
    end(first, FetchOutcome::kBroken);
    now = *scheduler().next_wakeup(now);
    const ScheduledAttempt second = *scheduler().next(now);
    EXPECT_NE(second.replica, first.replica);
    end(second);
  }
}

TEST_F(Fetches, NeverHedgesRenewalsAndPrefetch) {
  scheduler().set_replicas(0, 2);
  add(Level::kRenewal), add(Level::kPrefetch);
  EXPECT_EQ(start_all().size(), 2U);
  now += 10s;
  EXPECT_TRUE(start_all().empty());
}

TEST_F(Fetches, NeverHedgesWithOneReplica) {
  add(Level::kCall);
  start_all();
  now += 10s;
  EXPECT_TRUE(start_all().empty());
}

TEST_F(Fetches, DropReturnsAttemptsToCancel) {
  options.initial_window = 1;
  const auto running = add(Level::kCall), waiting = add(Level::kCall), later = add(Level::kCall);
  ASSERT_EQ(scheduler().next(now)->id, running);
  EXPECT_TRUE(scheduler().drop(now, waiting).empty());
  EXPECT_EQ(scheduler().drop(now, running), std::vector<std::uint32_t>{0});
  EXPECT_EQ(scheduler().next(now)->id, later);  // its slot is free
  EXPECT_EQ(scheduler().on_attempt_ended(now, running, 0, FetchOutcome::kOk, {}).kind,
            AttemptVerdict::Kind::kDropped);
}

TEST_F(Fetches, RaisedFetchStartsFirst) {
  options.initial_window = 1;
  for (int i = 0; i < 10; ++i) add(Level::kRenewal);
  const auto last = add(Level::kRenewal);
  scheduler().raise(now, last, Level::kCall);
  EXPECT_EQ(scheduler().next(now)->id, last);
}

TEST_F(Fetches, LimitsByteRatePerLevel) {
  options.initial_window = options.max_window = 64, options.share[2] = 1;
  options.bytes_per_s[2] = 10'000;
  for (int i = 0; i < 200; ++i) add(Level::kRenewal, 1, 0, 1000);
  int started = 0;
  for (int i = 0; i < 100; ++i) {
    for (const ScheduledAttempt& s : start_all()) ++started, end(s);
    now += 100ms;
  }
  EXPECT_NEAR(started, 100 + 10, 6);  // ten per second, plus a burst of one second's rate
}

TEST_F(Fetches, RefusesFetchOverLimit) {
  options.max_fetches = 3;
  for (int i = 0; i < 3; ++i) add(Level::kCall);
  Fetch f;
  f.id = 99;
  EXPECT_FALSE(scheduler().add(now, f));
}

// Property: every fetch ends exactly once, no limit is exceeded, and an idle scheduler has no state left.
TEST(FetchHistories, EveryFetchEndsWithinLimits) {
  EXPECT_TRUE(rc::check("histories", [] {
    SchedulerOptions o;
    o.max_window = 6, o.max_running_per_tenant = 3;
    Scheduler s(o, *rc::gen::arbitrary<std::uint64_t>());
    s.set_replicas(0, static_cast<std::uint32_t>(*rc::gen::inRange(1, 3)));
    Time now{1h};
    std::map<std::uint64_t, std::set<std::uint32_t>> out;
    std::map<std::uint64_t, std::uint32_t> tenant;
    std::set<std::uint64_t> open;
    std::uint64_t next = 1;
    auto settle = [&](std::uint64_t id, const AttemptVerdict& v) {
      if (v.kind == AttemptVerdict::Kind::kDone || v.kind == AttemptVerdict::Kind::kGaveUp) {
        RC_ASSERT(open.erase(id) == 1);
        for (const std::uint32_t a : v.attempts_to_cancel) RC_ASSERT(out[id].erase(a) == 1);
        RC_ASSERT(out[id].empty());
      }
    };
    auto start = [&] {
      while (const auto started = s.next(now)) {
        RC_ASSERT(open.contains(started->id));
        RC_ASSERT(out[started->id].insert(started->attempt).second);
        std::size_t all = 0;
        std::map<std::uint32_t, std::size_t> of;
        for (const auto& [id, attempts] : out) all += attempts.size(), of[tenant[id]] += attempts.size();
        RC_ASSERT(all <= 6);
        RC_ASSERT(s.state(now, 0).running == all);
        for (const auto& [t, n] : of) RC_ASSERT(n <= 3 + 1);  // a hedge may exceed the limit
      }
    };
    auto end_one = [&](FetchOutcome how) {
      for (auto& [id, attempts] : out) {
        if (attempts.empty()) continue;
        const std::uint32_t a = *attempts.begin();
        attempts.erase(a);
        return settle(id, s.on_attempt_ended(now, id, a, how, std::chrono::seconds(*rc::gen::inRange(0, 3))));
      }
    };
    for (int i = 0; i < 80; ++i) {
      switch (*rc::gen::inRange(0, 5)) {
        case 0: {
          Fetch f;
          f.id = next++, f.level = static_cast<Level>(*rc::gen::inRange(0, 4));
          f.tenant = static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)), f.bytes = 100;
          f.function = static_cast<std::uint64_t>(*rc::gen::inRange(0, 3));
          tenant[f.id] = f.tenant;
          RC_ASSERT(s.add(now, f));
          open.insert(f.id);
          break;
        }
        case 1: end_one(static_cast<FetchOutcome>(*rc::gen::inRange(0, 6))); break;
        case 2:
          if (!open.empty()) s.raise(now, *open.begin(), static_cast<Level>(*rc::gen::inRange(0, 4)));
          break;
        case 3:
          if (!open.empty()) {
            const std::uint64_t id = *open.rbegin();
            for (const std::uint32_t a : s.drop(now, id)) RC_ASSERT(out[id].erase(a) == 1);
            open.erase(id);
          }
          break;
        default: now += std::chrono::milliseconds(*rc::gen::inRange(0, 500)); break;
      }
      start();
    }
    for (int i = 0; i < 10000 && !open.empty(); ++i) {
      end_one(FetchOutcome::kOk);
      if (const auto next_wakeup = s.next_wakeup(now)) now = std::max(now, *next_wakeup);
      start();
    }
    RC_ASSERT(open.empty());
    RC_ASSERT(s.size() == 0U);
    RC_ASSERT(s.state(now, 0).running == 0U);
  }));
}

}  // namespace
}  // namespace laureltide::layers
