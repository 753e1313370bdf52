// The interface of laureltide: what a front end tells its dispatcher and what the dispatcher asks it to do.
//
// One Dispatcher decides for one front end. Events and the clock go in, actions come out through an
// ActionSink, at once and on the caller's thread. It does no I/O and keeps no state outside the object.
// Time never runs backwards: an event that carries an earlier time is taken as happening at the latest
// time seen. Ignored without effect: events about requests, attempts or workers that are unknown or ended,
// a request id that is already open, a request of a class that the settings lack, list changes no newer
// than the list held, and report or hint values that are not finite or are negative.
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

// The caller's clock. It has no epoch of its own and needs only to go forward.
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

enum class Semantics { kRepeatable, kKeyed, kOnce };
enum class RepeatGroup { kAll, kZone, kCell };  // the workers that drop repeats of a keyed request
enum class MissMode { kLoad, kMiss };           // what a worker does with a call it holds no instance for

struct RequestClass {
  double worth = 1;
  double late_worth = 0;  // share of the worth, for an answer after `target`
  double target_stretch = 0;
  Duration target{};
  Duration give_up{};
  Semantics semantics = Semantics::kOnce;
  RepeatGroup group = RepeatGroup::kAll;
  Duration repeat_window{};
  bool streamed = false;
};

struct Tenant {
  double quota_per_s = 0;
  double share = 0;
};

struct Bounds {
  int attempts_cap = 1;
  bool may_cancel = false;
  bool may_duplicate = false;
  bool peers = false;
  bool probes = false;
  bool retry_after = false;
  Duration max_retry_after{};
  int max_open = 0;
  Duration dial_timeout{};
};

struct Instances {
  bool orders = false;
  MissMode on_miss = MissMode::kLoad;
  bool reports_instance_found = false;    // answers say whether an instance was found
  bool reports_others_in_flight = false;  // answers count the function's other requests at the worker
  Duration keep_alive{};                  // least time for which an idle instance is kept
  std::vector<double> memory_mb_by_kind;
  double order_floor = 0;         // orders always allowed in the window
  double orders_per_request = 0;  // further orders, for each request taken in the window
  Duration order_window{};        // zero: no limit
  Duration order_timeout{};
  double idle_memory_cost = 0;
};

struct Rules {
  double cold_capacity_share = 1;  // least share of its capacity at which a worker starts
  Duration cold_duration{};        // a worker is warm after this
  double overload_multiple = 1;
  Duration overload_duration{};
  Duration drain_grace{};
  Duration answer_grace{};
  Duration ask_within{};
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  Bounds bounds;
  Instances instances;
  Rules rules;
  bool list_needs_subscription = false;
  bool worth_by_work = false;
  double over_share_worth = 1;
  double waste_cost = 0;
  double late_failure_cost = 0;
  double fetch_cost = 0;
  double order_cost = 0;
  Duration tick{};
  std::uint32_t replica_index = 0;
  std::uint32_t replicas = 1;
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
  std::optional<Time> started;  // absent: long ago
};

enum class ListScope { kChanges, kFull, kCached, kFailed };

struct ListUpdate {
  ListScope scope = ListScope::kFull;
  std::uint64_t version = 0;
  std::span<const WorkerEntry> entries;
};

// How far the list held can be trusted: a change that it lacks counts as told to this front end no earlier
// than this. A front end whose lists always come says nothing of it. Told again with each sign that discovery
// is in reach, and when it is asked anew; past it and the drain grace, workers need leases (docs/node.md).
struct ListFreshness {
  Time current_until{};
};

struct Request {
  RequestId id{};
  FunctionId function{};
  ClassIndex request_class = 0;
  std::optional<std::uint32_t> tenant;
  Time deadline{};  // the client stops waiting for this try
  float lanes = 1;
  float memory_mb = 0;
  std::optional<Duration> load_time;
  std::optional<Duration> work_hint;
  bool is_client_retry = false;
  bool write = false;
};

enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kNotRun, kMiss };
enum class Found { kNotReported, kLoaded, kBeganLoad, kAwaitedLoad, kLoadFailed };

// A worker's own account of its load: late, noisy, and with only the values the deployment reports.
struct LoadReport {
  std::optional<float> in_progress, waiting, busy_cores, run_ms, served_per_s, errors_per_s, memory_in_use,
      loads;
};

struct AttemptResult {
  RequestId request{};
  WorkerId worker{};
  AttemptNumber attempt = 0;
  Outcome outcome = Outcome::kOk;
  bool terminal = false;  // nothing more is owed for the request
  Duration took{};
  Found found = Found::kNotReported;
  std::optional<int> others_in_flight;
  LoadReport report;
};

struct StreamStarted {
  RequestId request{};
  WorkerId worker{};
  AttemptNumber attempt = 0;
  Duration took{};
};

struct RequestAbandoned {
  RequestId request{};
};

struct HoldResult {
  WorkerId worker{};
  FunctionId function{};
  Outcome outcome = Outcome::kOk;
  Duration took{};
  int instances = 0;  // that stand loaded, as the worker said
  // That the order was for, 0 for a question; absent where the caller cannot tell which of several is
  // answered.
  std::optional<int> asked = {};
};

struct ProbeResult {
  WorkerId worker{};
  Outcome outcome = Outcome::kOk;
  Duration took{};
  LoadReport report;
};

struct PeerMessage {
  std::uint32_t from = 0;
  std::span<const std::byte> bytes;
};

struct TimerFired {
  TimerToken token = 0;
};

// ---- Actions --------------------------------------------------------------------------------------

class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void send(RequestId request, WorkerId worker, Duration give_up_after) = 0;  // zero: no time-out
  virtual void cancel(RequestId request, AttemptNumber attempt) = 0;
  virtual void refuse(RequestId request, Duration retry_after) = 0;  // zero: no advice
  virtual void fail(RequestId request) = 0;
  virtual void hold(WorkerId worker, FunctionId function, int instances) = 0;  // 0 only asks
  virtual void release(WorkerId worker, FunctionId function) = 0;
  virtual void probe(WorkerId worker) = 0;
  virtual void start_timer(Duration delay, TimerToken token) = 0;
  virtual void subscribe(bool enable) = 0;
  virtual void fetch_list() = 0;
  virtual void send_to_peer(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) = 0;
  virtual void log(std::string_view line) = 0;
};

// ---- Counters -------------------------------------------------------------------------------------

// Of the questions by which workers are asked for a lease while discovery is out of reach.
struct LeaseCounters {
  std::uint64_t asked = 0, ready = 0, refused = 0, unanswered = 0;
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

  // Whether something new may begin at the worker: for what was decided on a while ago and leaves only now.
  bool may_start_work(Time now, WorkerId worker) const;
  // Whether the bytes of an attempt may leave now that was decided on a while ago. Not past the deadline, nor
  // once the request has ended, nor past the time in which workers drop repeats of what may have run.
  bool may_be_sent(Time now, RequestId request, AttemptNumber attempt) const;
  // Whether the list is current enough to go by alone.
  bool list_is_valid(Time now) const;
  const LeaseCounters& lease_counters() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace laureltide
