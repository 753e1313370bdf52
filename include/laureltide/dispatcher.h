// The interface of laureltide: events that a front end gives to its dispatcher, and actions that the
// dispatcher asks of it.
//
// One Dispatcher decides for one front end. Events and the clock go in, actions come out through an
// ActionSink, synchronously and on the caller's thread. It does no I/O and keeps no state outside the object.
// Time never runs backwards: an event with an earlier time counts as happening at the latest time seen.
// Ignored without effect: events about requests, attempts or workers that are unknown or ended, a request id
// that is already open, a request of a class that the settings lack, list changes no newer than the list
// held, and report or hint values that are negative or not finite.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace laureltide {

// The caller's clock: monotonic, with any epoch.
struct DispatchClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DispatchClock, duration>;
  static constexpr bool is_steady = true;
};
using Duration = DispatchClock::duration;
using Time = DispatchClock::time_point;

enum class WorkerId : std::uint32_t {};
enum class RequestId : std::uint32_t {};
enum class FunctionId : std::uint64_t {};
using ClassIndex = std::uint8_t;
using AttemptNumber = std::uint8_t;
using TimerToken = std::uint64_t;

// ---- Settings -------------------------------------------------------------------------------------

// What a second run of a request does: no harm (kRepeatable), no harm at workers that deduplicate by its key
// (kKeyed), or a second effect (kOnce).
enum class Semantics { kRepeatable, kKeyed, kOnce };
enum class RepeatGroup { kAll, kZone, kCell };  // workers that deduplicate a keyed request
enum class MissMode { kLoad, kMiss };           // what a worker does with a request without an instance

// Requests with the same worth, target and semantics.
struct RequestClass {
  double worth = 1;       // of an answer within `target`, relative to other classes
  double late_worth = 0;  // share of the worth, for an answer after `target`
  double target_stretch = 0;
  Duration target{};   // time within which an answer counts as in time
  Duration give_up{};  // time after which clients stop waiting
  Semantics semantics = Semantics::kOnce;
  RepeatGroup group = RepeatGroup::kAll;
  Duration repeat_window{};  // keyed: time after the first attempt in which workers drop repeats
  bool streamed = false;
};

struct Tenant {
  double quota_per_s = 0;  // requests, over all front ends
  double share = 0;        // expected share of all requests
};

// What the deployment allows.
struct Bounds {
  int attempts_cap = 1;  // per request
  bool may_cancel = false;
  bool may_duplicate = false;
  bool peers = false;  // messages to other front ends are possible
  bool probes = false;
  bool retry_after = false;  // refusals may advise clients when to retry
  Duration max_retry_after{};
  int max_open = 0;  // open requests
  Duration dial_timeout{};
};

// How workers load and keep instances.
struct Instances {
  bool orders = false;  // instances can be loaded ahead by orders
  MissMode on_miss = MissMode::kLoad;
  bool reports_instance_found = false;    // answers say whether an instance was found
  bool reports_others_in_flight = false;  // answers count the function's other requests at the worker
  Duration keep_alive{};                  // shortest time for which an idle instance is kept
  std::vector<double> memory_mb_by_kind;  // of a worker, by WorkerEntry::kind
  double order_floor = 0;                 // orders that are always allowed within `order_window`
  double orders_per_request = 0;          // further orders for each request within the window
  Duration order_window{};                // zero: orders are not limited
  Duration order_timeout{};
  double idle_memory_cost = 0;  // over zero: instances that are no longer wanted are released
};

// What workers and their platform expect of a front end.
struct Rules {
  double cold_capacity_share = 1;  // share of its capacity that a worker has when it starts
  Duration cold_duration{};        // from its start until it has its whole capacity
  double overload_multiple = 1;    // a cold worker overloads above this multiple of its current capacity
  Duration overload_duration{};    // window over which that load is measured
  Duration drain_grace{};          // after the notice of a drain, in which new work is still accepted
  Duration answer_grace{};         // after a deadline, in which the final answer still counts as in time
  Duration ask_within{};
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  Bounds bounds;
  Instances instances;
  Rules rules;
  bool list_needs_subscription = false;  // the worker list comes only after ActionSink::subscribe
  bool worth_by_work = false;            // a request's worth counts per second of its run time
  double over_share_worth = 1;           // factor on the worth of requests beyond their tenant's share
  // Costs stated by the settings; the decisions do not use them.
  double waste_cost = 0;
  double late_failure_cost = 0;
  double fetch_cost = 0;
  double order_cost = 0;
  Duration tick{};
  // Functions that estimates are kept of. Beyond it those that were never served go first, then those not
  // requested for longest; functions with open requests stay.
  std::size_t max_functions = 8192;
  std::uint32_t replica_index = 0;  // of this front end, below `replicas`
  std::uint32_t replicas = 1;       // front ends in all
};

// ---- Events ---------------------------------------------------------------------------------------

enum class WorkerState { kGone, kReady, kDraining };

struct WorkerEntry {
  WorkerId id{};
  std::uint16_t zone = 0;
  std::uint16_t kind = 0;
  std::uint16_t cell = 0;
  WorkerState state = WorkerState::kReady;
  float size = 1;
  std::optional<Time> started;  // absent: long enough ago to be warm
};

// kChanges: only the entries that changed. kCached: a full list from an earlier process. kFailed: no list
// came.
enum class ListScope { kChanges, kFull, kCached, kFailed };

struct ListUpdate {
  ListScope scope = ListScope::kFull;
  std::uint64_t version = 0;
  std::span<const WorkerEntry> entries;
};

// Until when the list held can be relied on: a change that it lacks counts as notified to this front end no
// earlier than `current_until`. Given again with each sign that discovery is in reach, and when discovery is
// asked anew. Once that time and the drain grace have passed, workers need leases (docs/node.md). A front end
// whose list is always current never gives this event.
struct ListFreshness {
  Time current_until{};
};

// A request has arrived.
struct Request {
  RequestId id{};
  FunctionId function{};
  ClassIndex request_class = 0;
  std::optional<std::uint32_t> tenant;
  Time deadline{};  // of this try of the client
  float lanes = 1;
  float memory_mb = 0;
  std::optional<Duration> load_time;
  std::optional<Duration> work_hint;
  bool is_client_retry = false;
  bool write = false;
};

// How an attempt, an order or a probe ended. kFull: refused for lack of room, or by a worker that drains.
// kMiss: refused for lack of an instance. kNotRun: dropped before it ran, since it was no longer needed, or
// never sent, for a reason that lies with the front end.
// After kFull, kMiss, kNotRun and kConnectFailed an attempt is known not to have run.
enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kNotRun, kMiss };
// What an attempt found at the worker.
enum class Found { kNotReported, kLoaded, kBeganLoad, kAwaitedLoad, kLoadFailed };

// A worker's report of its load: delayed, noisy, and with only the values that the deployment reports.
struct LoadReport {
  std::optional<float> in_progress, waiting, busy_cores, run_ms, served_per_s, errors_per_s, memory_in_use,
      loads;
};

// An attempt has ended.
struct AttemptResult {
  RequestId request{};
  WorkerId worker{};
  AttemptNumber attempt = 0;
  Outcome outcome = Outcome::kOk;
  bool terminal = false;  // the request has its final answer
  Duration took{};
  Found found = Found::kNotReported;
  std::optional<int> others_in_flight;  // other requests of the function at the worker
  LoadReport report;
};

// The streamed answer to a request has begun.
struct StreamStarted {
  RequestId request{};
  WorkerId worker{};
  AttemptNumber attempt = 0;
  Duration took{};
};

// The client no longer waits.
struct RequestAbandoned {
  RequestId request{};
};

// An order to load instances, or a query, has ended.
struct HoldResult {
  WorkerId worker{};
  FunctionId function{};
  Outcome outcome = Outcome::kOk;
  Duration took{};
  int instances = 0;  // loaded now, as the worker reports
  // The count that was ordered, 0 for a query; absent where the caller cannot know which of several orders is
  // answered.
  std::optional<int> ordered_instances = {};
};

// A probe has ended. kOk: the worker takes new work. kError: it refuses new work.
struct ProbeResult {
  WorkerId worker{};
  Outcome outcome = Outcome::kOk;
  Duration took{};
  LoadReport report;
};

// Bytes from another front end's ActionSink::send_to_peer.
struct PeerMessage {
  std::uint32_t from = 0;
  std::span<const std::byte> bytes;
};

// A timer of ActionSink::start_timer has expired.
struct TimerFired {
  TimerToken token = 0;
};

// ---- Actions --------------------------------------------------------------------------------------

// What the dispatcher asks of its front end. Each send of a request is its next attempt, counted from 0.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void send(RequestId request, WorkerId worker, Duration give_up_after) = 0;  // zero: no timeout
  virtual void cancel(RequestId request, AttemptNumber attempt) = 0;
  // Final answer: the client may safely retry, after `retry_after` unless that is zero.
  virtual void refuse(RequestId request, Duration retry_after) = 0;
  // Final answer: the request may have run and must not be repeated.
  virtual void fail(RequestId request) = 0;
  // Orders the worker to load, or keep, this many instances; 0 only queries how many it has.
  virtual void hold(WorkerId worker, FunctionId function, int instances) = 0;
  // The function's instances at the worker are no longer wanted.
  virtual void release(WorkerId worker, FunctionId function) = 0;
  virtual void probe(WorkerId worker) = 0;
  virtual void start_timer(Duration delay, TimerToken token) = 0;
  // Starts or stops the worker list's updates.
  virtual void subscribe(bool enable) = 0;
  virtual void fetch_list() = 0;
  // Without `peer`: to all other front ends.
  virtual void send_to_peer(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) = 0;
  virtual void log(std::string_view line) = 0;
};

// ---- Counters -------------------------------------------------------------------------------------

// Probes that ask workers for a lease while discovery is out of reach: sent, and how they ended.
struct LeaseCounters {
  std::uint64_t asked = 0, ready = 0, refused = 0, unanswered = 0;
};

// Sizes of the tables that requests and workers fill, for logs and tests.
struct TableSizes {
  std::size_t functions = 0, placements = 0, open_requests = 0, workers = 0, counted_arrivals = 0;
};

// ---- The dispatcher -------------------------------------------------------------------------------

class Dispatcher {
 public:
  // `sink` must outlive the dispatcher and is called from the constructor on.
  Dispatcher(Settings settings, std::uint64_t seed, Time start, ActionSink& sink);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void on(Time now, const ListUpdate& update);
  void on(Time now, const ListFreshness& freshness);
  void on(Time now, const Request& request);
  void on(Time now, const AttemptResult& result);
  void on(Time now, const StreamStarted& started);
  void on(Time now, const RequestAbandoned& abandoned);
  void on(Time now, const HoldResult& result);
  void on(Time now, const ProbeResult& result);
  void on(Time now, const PeerMessage& message);
  void on(Time now, const TimerFired& timer);

  // Whether something new may start at the worker. Checked again when work that was decided on earlier is
  // sent.
  bool may_start_work(Time now, WorkerId worker) const;
  // Whether the bytes of an attempt that was decided earlier may be sent now: not after the deadline or the
  // end of the request, and not after the window in which workers drop repeats of what may have run.
  bool may_be_sent(Time now, RequestId request, AttemptNumber attempt) const;
  // Whether the worker list is recent enough that workers need no leases.
  bool list_is_valid(Time now) const;
  const LeaseCounters& lease_counters() const;
  TableSizes table_sizes() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace laureltide
