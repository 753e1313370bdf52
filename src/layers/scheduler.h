// Decides which fetch from a store runs next, when it is tried again, and when it is given up. No I/O, no
// clock; the agent tells it what is wanted and what came of it, and asks `next` until nothing may start.
//
// What is kept, in this order:
//   1. a store gets no more fetches at once than it bears: a window that grows with what is served in usual
//      time, is cut by refusals, breaks and slowness, and rests as long as the store asks (Retry-After);
//   2. levels: a call that waits, then hold orders, renewals, prefetch. Renewals and prefetch have but a
//   share
//      of the window, so that a re-release leaves room for the calls of today's versions; every
//      `aged_every`th start goes to what has waited longest, so that nothing starves;
//   3. within a level, tenants share by weight and a tenant's functions equally, by bytes (start-time fair
//      queueing); within a function, in the order in which they came;
//   4. repeats wait with jitter, and only as many as a budget that successes fill: a store that fails for all
//      is not asked again by all;
//   5. a second, hedged fetch only of what a call or hold order waits for, from another replica, and only
//      within a budget of its own.
//
// Costs: a decision is O(log n) in what waits. Bounds: `most_waiting` fetches; over it add() says no.
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
  // Of one store, all replicas together.
  double first_window = 4, least_window = 1, max_window = 64;
  double slow_at = 3;  // times the usual time of a fetch: from there on the window does not grow, but shrinks
  Duration cut_every = std::chrono::milliseconds(500);  // one jam is one cut, however many fetches met it
  Duration longest_rest = std::chrono::seconds(30);     // whatever a store asks for
  double share[kLevels] = {1, 1, 0.5, 0.25};            // of the window, by level; at least one fetch
  double bytes_per_s[kLevels] = {0, 0, 0, 0};           // 0: no bound but the window
  std::size_t tenant_at_once = 0;                       // 0: no bound but the window
  Duration aged_after = std::chrono::seconds(5);
  int aged_every = 8;
  int most_attempts = 6;  // of one fetch; hedges, and those that a busy store turned away, are not counted
  Duration longest_busy = std::chrono::seconds(60);  // of one fetch, turned away again and again
  Duration first_pause = std::chrono::milliseconds(100), longest_pause = std::chrono::seconds(10);
  double repeats_per_success = 0.2, most_repeats = 16;  // the budget: starts full
  double repeats_per_s = 1;                             // so that a store that came back is found
  double hedges_per_success = 0.05, most_hedges = 4;
  Duration hedge_after = std::chrono::milliseconds(50);  // at least; and three times the usual time
  std::size_t most_waiting = 1'000'000;
};

struct Fetch {
  std::uint64_t id = 0;  // the caller's, never used again
  Level level = Level::kCall;
  std::uint32_t store = 0, tenant = 0;
  std::uint64_t function = 0;  // what is fair is fair between these
  std::uint32_t bytes = 0;
};

struct ScheduledAttempt {
  std::uint64_t id = 0;
  std::uint32_t attempt = 0;  // unique within the fetch, hedges included
  std::uint32_t replica = 0;
  bool hedge = false;
};

// What became of an attempt.
enum class FetchOutcome : std::uint8_t {
  kOk,
  kBusy,     // 429, 503: the store asks for less
  kBroken,   // no connection, reset, cut short, endless, 5xx
  kCorrupt,  // whole, but not what its digest says
  kMissing,  // 404, 410
  kRefused,  // other 4xx: asking again changes nothing
};

struct Verdict {
  enum class Kind {
    kDone,    // whole; `call_off` are its other attempts
    kAgain,   // it is tried again by itself, or another attempt of it is still out
    kGaveUp,  // for the reason
    kNobody   // it was dropped meanwhile
  } kind = Kind::kNobody;
  std::string why;
  std::vector<std::uint32_t> call_off;
};

struct StoreState {
  double window = 0;
  std::size_t running = 0, waiting = 0, waiting_at[kLevels] = {};
  bool resting = false;
  double usual_s = 0;  // a fetch's time
  double repeats_left = 0;
};

class Scheduler {
 public:
  Scheduler(SchedulerOptions options, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;

  // Replicas of a store are equals: the same content, another machine. Before the first fetch of the store.
  void set_replicas(std::uint32_t store, std::uint32_t replicas);
  void set_weight(std::uint32_t tenant, double weight);

  // False over `most_waiting`: it is not taken.
  bool add(Time now, const Fetch& fetch);
  // Somebody more urgent waits for it too. A less urgent level changes nothing.
  void raise(Time now, std::uint64_t id, Level level);
  // Nobody waits for it any more; the attempts that are to be called off.
  std::vector<std::uint32_t> drop(Time now, std::uint64_t id);

  // The next fetch that may run now, counted as running from then on.
  std::optional<ScheduledAttempt> next(Time now);
  // `retry_after`: as the store said, 0 if it did not.
  Verdict on_attempt_ended(Time now, std::uint64_t id, std::uint32_t attempt, FetchOutcome end,
                           Duration retry_after);
  // When to ask next() again if nothing else happens; nothing while nothing waits.
  std::optional<Time> wake(Time now) const;

  StoreState state(Time now, std::uint32_t store) const;
  std::size_t size() const;
  std::uint64_t repeats() const;
  std::uint64_t hedges() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace laureltide::layers
