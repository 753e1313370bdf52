// Decides which fetch from a store runs next, when it is retried, and when it fails for good. No I/O, no
// clock: the agent reports added fetches and finished attempts, and calls `next` until it returns nothing.
//
// Policies, in order of precedence:
//   1. Concurrency per store is limited by a window. It grows while fetches finish in the usual time and
//      shrinks on refusals, failures and slowness. Retry-After pauses the store.
//   2. Priority levels: waiting calls, then hold orders, renewals, prefetch. Renewals and prefetch get only a
//      share of the window, so that a new release leaves capacity for calls of current versions. Every
//      `aged_start_interval`th start goes to the longest waiting fetch, which prevents starvation.
//   3. Within a level, tenants share by weight and a tenant's functions equally, by bytes (start-time fair
//      queueing). Fetches of one function start in arrival order.
//   4. Retries back off with jitter and spend a token budget that successes refill, which prevents a retry
//      storm on a failing store.
//   5. Hedged second fetches go to another replica, only for calls and hold orders, within their own budget.
//
// A decision takes O(log n) of the waiting fetches. add() refuses more than `max_fetches`.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "laureltide/dispatcher.h"

namespace laureltide::layers {

enum class Level : std::uint8_t { kCall, kHold, kRenewal, kPrefetch };
inline constexpr std::size_t kLevels = 4;
const char* text_of(Level level);

struct SchedulerOptions {
  // Concurrent fetches of one store, all replicas together.
  double initial_window = 4, min_window = 1, max_window = 64;
  double slow_ratio = 3;  // times the usual duration of a fetch; above it the window shrinks
  Duration min_cut_interval = std::chrono::milliseconds(500);  // one congestion event shrinks the window once
  Duration max_cooldown = std::chrono::seconds(30);            // upper limit on Retry-After
  double share[kLevels] = {1, 1, 0.5, 0.25};                   // of the window, by level; at least one fetch
  double bytes_per_s[kLevels] = {0, 0, 0, 0};                  // 0: no limit except the window
  std::size_t max_running_per_tenant = 0;                      // 0: no limit except the window
  Duration aged_start_age = std::chrono::seconds(5);
  int aged_start_interval = 8;
  int max_attempts = 6;  // per fetch; hedges and busy answers are not counted
  Duration max_busy_duration = std::chrono::seconds(60);  // per fetch, while the store answers busy
  Duration initial_backoff = std::chrono::milliseconds(100), max_backoff = std::chrono::seconds(10);
  double retries_per_success = 0.2, max_retry_tokens = 16;  // the budget starts full
  double retry_tokens_per_s = 1;                            // detects that a failed store has recovered
  double hedges_per_success = 0.05, max_hedge_tokens = 4;
  Duration hedge_after = std::chrono::milliseconds(50);  // at least this, and three times the usual duration
  std::size_t max_fetches = 1'000'000;
};

struct Fetch {
  std::uint64_t id = 0;  // chosen by the caller, never reused
  Level level = Level::kCall;
  std::uint32_t store = 0, tenant = 0;
  std::uint64_t function = 0;  // unit of fair sharing
  std::uint32_t bytes = 0;
};

struct ScheduledAttempt {
  std::uint64_t id = 0;
  std::uint32_t attempt = 0;  // unique within the fetch, hedges included
  std::uint32_t replica = 0;
  bool hedge = false;
};

// Result of an attempt.
enum class FetchOutcome : std::uint8_t {
  kOk,
  kBusy,     // 429, 503: the store is overloaded
  kBroken,   // no connection, reset, truncated, too long, 5xx
  kCorrupt,  // complete, but does not match its digest
  kMissing,  // 404, 410
  kRefused,  // other 4xx: not retried
};

struct AttemptVerdict {
  enum class Kind {
    kDone,    // complete; `attempts_to_cancel` are its other attempts
    kRetry,   // retried automatically, or another attempt is still in flight
    kGaveUp,  // failed, see `why`
    kDropped  // the fetch was dropped before
  } kind = Kind::kDropped;
  std::string why;
  std::vector<std::uint32_t> attempts_to_cancel;
};

struct StoreState {
  double window = 0;
  std::size_t running = 0, waiting = 0, waiting_at[kLevels] = {};
  bool cooling_down = false;
  double baseline_s = 0;  // usual duration of a fetch
  double retry_tokens = 0;
};

class Scheduler {
 public:
  Scheduler(SchedulerOptions options, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;

  // Replicas of a store serve the same content. Call before the first fetch of the store.
  void set_replicas(std::uint32_t store, std::uint32_t replicas);
  void set_weight(std::uint32_t tenant, double weight);

  // Returns false if `max_fetches` is reached.
  bool add(Time now, const Fetch& fetch);
  // Raises the priority level; a lower level has no effect.
  void raise(Time now, std::uint64_t id, Level level);
  // Drops a fetch that is no longer needed. Returns the attempts to cancel.
  std::vector<std::uint32_t> drop(Time now, std::uint64_t id);

  // The next attempt to start now; counted as running from here on.
  std::optional<ScheduledAttempt> next(Time now);
  // `retry_after`: from the store, 0 if absent.
  AttemptVerdict on_attempt_ended(Time now, std::uint64_t id, std::uint32_t attempt, FetchOutcome end,
                                  Duration retry_after);
  // When to call next() again if nothing else happens; nothing if no fetch waits.
  std::optional<Time> next_wakeup(Time now) const;

  StoreState state(Time now, std::uint32_t store) const;
  std::size_t size() const;
  std::uint64_t retries() const;
  std::uint64_t hedges() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace laureltide::layers
