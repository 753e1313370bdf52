// All decisions of laureltide. Interface: include/laureltide/dispatcher.h. Design: docs/design.md.
//
// The ordinary path is that of "Optimal Content Replication and Request Matching in Large Caching Systems":
// a greedy matching of the functions' load to the workers' free lanes and slots sets the targets (sections IV
// and V), and each request goes to a uniformly random worker that has an instance and room (Random Available
// Server).
//
// The rules that comments refer to by number:
//   1  each request gets exactly one final answer, by its deadline;
//   2  a request that may have run is repeated only where its semantics allow that;
//   3  a worker that drains or is gone gets nothing new;
//   4  a worker that starts cold gets no more than its share of load;
//   5  orders to load instances stay within a limit that grows with the requests.

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "laureltide/dispatcher.h"
#include "policy/bits.h"
#include "policy/greedy_matching.h"
#include "policy/worker_lease.h"

namespace laureltide {
namespace {

using namespace std::chrono_literals;

// ---- Constants ------------------------------------------------------------------------------------

// Planning and demand.
constexpr Duration kReplanInterval = 2s;       // between runs of the greedy matching (docs/design.md)
constexpr Duration kFirstReplanDelay = 400ms;  // a new process plans as soon as it has seen a few requests
constexpr double kJitterShare = 0.2;           // of a delay, either way; keeps front ends from acting in step
constexpr double kLaneHeadroom = 1.5;          // planned lanes for each mean busy lane (docs/design.md)
constexpr Duration kMinDecayTime = 5s;      // of demand: several replans, yet shorter than a phase of traffic
constexpr Duration kMaxDecayTime = 20s;     // for front ends with few requests: about a phase of traffic
constexpr double kRequestsToEstimate = 60;  // the decay time is long enough to remember this many, if it can
// Requests of all front ends for each own one, above which the own requests show little of the whole demand.
constexpr double kManyFrontEnds = 8;
constexpr double kOrdersPerTarget = 2;  // planned orders for a target and replan, by all front ends together
constexpr double kUnseenRequests = 10;  // that a new process assumes besides those that it has seen
constexpr std::size_t kPeersPerReplan = 4;  // peers notified, at random: messages stay linear in front ends
constexpr int kReplansToRelease = 4;        // replans without a target before a loaded instance is released
constexpr double kMinRequestsPerKeepAlive = 2;  // with fewer, letting the instance idle out is cheaper
constexpr double kRenewAtShare = 0.6;           // of the keep-alive, after which a hold is renewed
constexpr double kPlannedOrderShare = 0.7;      // of the order limit that planned orders may use
constexpr Duration kOrderLostAfter = 4s;  // an unanswered order no longer prevents others for the same target

// Cooldowns and unresponsive workers.
constexpr Duration kFullCooldown = 150ms;       // a full worker sheds its excess in about a service time
constexpr Duration kMaxCooldown = 4s;           // after a bad answer, however few the own requests
constexpr double kCooldownRequests = 0.2;       // own requests that the worker would get during a cooldown
constexpr Duration kNoMemoryCooldown = 2s;      // memory frees slower: when other instances idle out
constexpr Duration kSweepInterval = 20ms;       // between checks of waiting requests and unresponsive workers
constexpr Duration kUnresponsiveAfter = 500ms;  // beyond the usual answer time, before a worker is probed
constexpr Duration kProbeTimeout = 400ms;  // a worker that pauses answers in this time, a dead one does not
constexpr Duration kSuspectProbeInterval = 1s;  // between probes of a suspect worker

// Estimates from answers.
constexpr double kSlownessSampleWeight = 0.15;
constexpr double kMinRunTimeSampleWeight = 0.05;
constexpr double kPriorSamples = 3;  // that the class's mean run time counts as in a function's mean
constexpr double kSlowFrom = 2.5;    // answer time over the usual, from which other workers are preferred
constexpr double kErrorShareLimit = 0.3;  // errors among answers, from which other workers are preferred
constexpr double kPriorAnswers = 3;       // answers without error that are assumed besides those counted

// Cold workers: the part of the overload multiple that is ever used, since other front ends are unseen.
constexpr double kColdShare = 0.6;
constexpr double kColdShareOfMany = 0.4;  // single requests of many front ends coincide by chance

// Late answers, waiting, refusals and tenants.
constexpr double kLateAtShare = 0.5;    // of the target, after which an answer indicates a queue
constexpr double kLimitDecrease = 0.9;  // factor for a late answer: some are late without any queue
constexpr Duration kLimitDecreaseInterval = 100ms;  // one decrease for answers delayed by the same queue
constexpr double kMaxWaitShare = 0.4;               // of the target, for which a request waits here for room
constexpr double kRetryAfterShare = 0.1;            // of the target, after which a refused client may retry
constexpr double kTenantBurstSeconds = 1.0;         // of a tenant's request rate, which it may send at once
constexpr double kAssumedWithinShares = 0.8;  // part of own traffic taken as within shares, without peers
constexpr Duration kPeerExpiry = 7s;          // a few replans: a peer that reports nothing has died
constexpr Duration kForgetAfter = 60s;        // longer than any client waits and any idle instance is kept
constexpr Duration kAnswerMargin = 40ms;  // before the deadline, when a request that nothing can serve ends
constexpr int kMaxInstancesPerOrder = 16;
constexpr std::size_t kMaxCountedArrivals = 65'536;  // more allow no more orders

constexpr TimerToken kReplanTimer = 1, kSweepTimer = 2, kSubscribeTimer = 3, kDeadlineTimers = 1ULL << 32;

// Own generator and bounded draw: standard distributions differ between libraries.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() { return mix_bits(state_ += 0x9e3779b97f4a7c15ULL); }
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

 private:
  std::uint64_t state_;
};

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}
double valid_or(double value, double fallback) {
  return std::isfinite(value) && value >= 0 ? value : fallback;
}

// A running mean. It starts from a prior, which counts as `kPriorSamples`, so a few samples move it in part.
struct Mean {
  double value = -1, samples = 0;
  void add(double sample, double prior) {
    if (value < 0) value = prior > 0 ? prior : sample, samples = prior > 0 ? kPriorSamples : 0;
    samples = std::min(samples + 1, 1 / kMinRunTimeSampleWeight);
    value += (sample - value) / samples;
  }
};

// Events per second as an exponentially decaying sum, without bias from its start on.
struct Rate {
  double decayed_sum = 0;
  Time updated_at{}, started_at{};
  double decay_s = seconds(kMinDecayTime);
  void decay_to(Time now) {
    decayed_sum *= std::exp(-seconds(now - updated_at) / decay_s);
    updated_at = now;
  }
  void add(Time now, double amount) {
    decay_to(now);
    decayed_sum += amount;
  }
  double per_second(Time now) {
    decay_to(now);
    const double span_s = decay_s * (1 - std::exp(-seconds(now - started_at) / decay_s));
    return decayed_sum / std::max(span_s, 0.5);
  }
};

// What is estimated of one function at one worker.
struct Placement {
  int known_instances = 0;    // 0: none, or unknown
  Time last_seen{};           // last evidence of the instances; their keep-alive counts from here
  int ordered_instances = 0;  // in the order that is in flight, 0 without one
  Time ordered_at{};
  int in_flight = 0;         // own requests
  int target_instances = 0;  // of the latest plan
  int deferred_order = 0;    // instances of an order that waits for a lease on the worker, 0 without one
  bool was_target = false;   // in the plan before
  int replans_without_target = 0;  // since the latest plan with a target here
  bool loaded_by_order = false;    // an own order brought an instance
  Time cooldown_until{};           // after a refusal, or a lack of memory for another instance
};

// A function of which requests came, and its placements on workers.
struct Function {
  FunctionId id{};
  ClassIndex request_class = 0;
  double lanes = 1, memory_mb = 0;
  Mean run_time_s, work_s;  // from answer times, and from the hints of requests
  Rate request_rate;
  Time latest_deadline{};  // of its requests
  int open_requests = 0;
  std::map<WorkerId, Placement> placements;
};

// What is known and estimated of a worker as a whole.
struct Worker {
  WorkerEntry entry;
  bool listed = false;   // the list held has its entry
  int in_flight = 0;     // own requests
  Time last_answer{};    // of any kind
  bool suspect = false;  // unresponsive, or its connections fail
  Time suspected_at{};
  Time probed_at{};
  std::optional<Time> cold_since;
  double cold_budget_s = 0;                      // run time that may be sent to it while it is cold
  Time cold_budget_at{};                         // when the budget was last updated
  double slowness = 1;                           // answer time over the function's usual one
  double recent_errors = 0, recent_answers = 0;  // decaying counts; answers include errors
  Time answers_counted_at{};
  Time cooldown_until{};
  Time limit_decreased_at{};
  double in_flight_limit = 1e9;  // own requests that it takes without a queue, estimated from answer times
};

// Limits the requests of one tenant to its share.
struct TokenBucket {
  double tokens = 0;
  Time updated_at{};
};

enum class AttemptStatus { kInFlight, kNeverRan, kMayHaveRun };

struct Attempt {
  WorkerId worker{};
  Time sent_at{};
  AttemptStatus status = AttemptStatus::kInFlight;
  bool expected_instance = false;  // the worker was estimated to have an instance
  bool cancelled = false;
};

// A request that waits, is in flight, or was answered while attempts are still in flight.
struct OpenRequest {
  Request request;
  Time arrived_at{};
  std::vector<Attempt> attempts;
  int in_flight = 0;  // attempts
  bool answered = false, streaming = false;
  bool over_share = false;  // beyond its tenant's share
};

}  // namespace

struct Dispatcher::State {
  Settings settings;
  Random random;
  Time now, start;
  ActionSink& sink;
  std::map<WorkerId, Worker> workers;
  WorkerLeases leases;
  std::map<FunctionId, Function> functions;
  std::map<RequestId, OpenRequest> open_requests;
  std::optional<std::uint64_t> list_version;  // of the list held
  std::vector<Mean> class_run_time_s, class_work_s;
  Rate served_run_time;                         // seconds of run time that workers served this front end
  std::deque<Time> order_times, arrival_times;  // within the window of the order limit
  bool sweep_scheduled = false;
  std::vector<TokenBucket> tenant_buckets;
  Rate request_rate;
  std::map<std::uint32_t, std::pair<Time, double>> peer_rates;  // requests per second, with the report's time
  double decay_s = seconds(kMinDecayTime);                      // of all rates
  double traffic_ratio = std::max(1U, settings.replicas);       // requests of all front ends for each own one
  double ready_workers = 1;  // falls no faster than the estimate of what they served decays

  State(Settings s, std::uint64_t seed, Time begin, ActionSink& out)
      : settings(std::move(s)),
        random(seed),
        now(begin),
        start(begin),
        sink(out),
        leases(settings.rules.drain_grace) {
    class_run_time_s.resize(settings.classes.size()), class_work_s.resize(settings.classes.size());
    request_rate.started_at = request_rate.updated_at = served_run_time.started_at =
        served_run_time.updated_at = begin;
    for (const Tenant& tenant : settings.tenants)
      tenant_buckets.push_back({tenant.quota_per_s * kTenantBurstSeconds, begin});
    sink.start_timer(jittered(kFirstReplanDelay), kReplanTimer);
    if (settings.list_needs_subscription) sink.subscribe(true);
  }

  Duration jittered(Duration d) {
    return from_seconds(seconds(d) * (1 + kJitterShare * (2 * random.unit() - 1)));
  }
  State& advance_to(Time time) {
    now = std::max(now, time);
    return *this;
  }
  const RequestClass& class_of(const Request& request) const {
    return settings.classes[request.request_class];
  }

  // ---- Membership -------------------------------------------------------------------------------

  void update_list(const ListUpdate& update) {
    if (update.scope == ListScope::kFailed) {  // keep the old list and retry, with jitter
      if (settings.list_needs_subscription) sink.start_timer(jittered(500ms), kSubscribeTimer);
      return;
    }
    if (update.scope == ListScope::kChanges && list_version && update.version <= *list_version) return;
    if (update.scope == ListScope::kFull && list_version && update.version < *list_version) return;
    list_version = update.version;
    if (update.scope != ListScope::kChanges)
      for (auto& [id, worker] : workers) worker.listed = false;
    for (const WorkerEntry& entry : update.entries) {
      auto [it, added] = workers.try_emplace(entry.id);
      Worker& worker = it->second;
      const bool restarted = !added && entry.started && entry.started != worker.entry.started;
      if (restarted) clear_placements(entry.id), worker.suspect = false;
      if (restarted || (added && entry.started)) mark_cold(worker, std::min(*entry.started, now));
      if (added) worker.last_answer = now;
      worker.entry = entry;
      worker.listed = true;
    }
    for (auto& [id, worker] : workers) {
      if (!worker.listed) worker.entry.state = WorkerState::kGone;
      if (worker.entry.state == WorkerState::kGone) clear_placements(id);
    }
    const auto ready_count =
        std::count_if(workers.begin(), workers.end(), [&](auto& w) { return ready(w.second); });
    ready_workers = std::max(ready_workers, static_cast<double>(ready_count));
  }

  void update_list_freshness(const ListFreshness& freshness) {
    const bool was_valid = leases.list_is_valid(now);
    leases.set_list_current_until(freshness.current_until);
    if (!was_valid && leases.list_is_valid(now)) dispatch_waiting();
  }

  // Rule 3, for the moment at which something new starts at the worker. While discovery is out of reach this
  // front end may have missed the notice of a drain, so the lease is checked too.
  bool may_start_work(WorkerId id) const {
    const auto it = workers.find(id);
    return it != workers.end() && ready(it->second) && leases.holds(id, now);
  }

  // Whether to plan for the worker and to choose it, though it may have to be probed for a lease first.
  bool usable(WorkerId id) const {
    return leases.holds(id, now) || (settings.bounds.probes && leases.may_be_probed(id, now));
  }

  // The probe's answer releases what waits for the lease. Without probes only traffic renews leases.
  void request_lease(WorkerId id) {
    if (settings.bounds.probes && leases.start_probe(id, now)) sink.probe(id);
  }

  void on_lease_answer(const ProbeResult& result) {
    const WorkerId id = result.worker;
    const Time sent_at = now - result.took;
    const bool list_expired = !leases.list_is_valid(now);
    switch (result.outcome) {
      case Outcome::kOk: reset_if_restarted(id, leases.probe_accepted(id, sent_at)); break;
      case Outcome::kError: leases.probe_refused(id, sent_at, now); break;
      default:
        leases.probe_unanswered(id, now);
        if (list_expired && (result.outcome == Outcome::kConnectFailed || result.outcome == Outcome::kReset))
          mark_suspect(id, "question not delivered");
    }
    if (!list_expired) return;
    if (leases.holds(id, now)) send_deferred_orders(id);
    dispatch_waiting();
  }

  // A worker takes new work again after it refused some or could not be reached. Without discovery nothing
  // reports whether it is a new process, so it counts as one: cold, and without instances.
  void reset_if_restarted(WorkerId id, bool may_have_restarted) {
    if (!may_have_restarted || leases.list_is_valid(now)) return;
    clear_placements(id);
    mark_cold(workers[id], std::max(now, workers[id].cold_since.value_or(now)));
  }

  bool ready(const Worker& worker) const {
    return worker.listed && worker.entry.state == WorkerState::kReady;
  }

  // A restarted worker has no instances and no orders in flight.
  void clear_placements(WorkerId id) {
    for (auto& [function_id, function] : functions)
      if (auto it = function.placements.find(id); it != function.placements.end())
        it->second.known_instances = it->second.ordered_instances = 0, it->second.loaded_by_order = false;
  }

  // Share of its capacity that a worker is certain to have. While cold it grows linearly from the initial
  // share to the whole.
  double capacity_share(const Worker& worker) const {
    if (!worker.cold_since || settings.rules.cold_duration <= 0ns) return 1;
    const double age = seconds(now - *worker.cold_since) / seconds(settings.rules.cold_duration);
    return age >= 1 ? 1
                    : settings.rules.cold_capacity_share +
                          (1 - settings.rules.cold_capacity_share) * std::max(age, 0.0);
  }

  // Errors among its answers. The share decays together with the counts, so that the worker is tried again.
  double error_share(const Worker& worker) const {
    const double decay = std::exp(-seconds(now - worker.answers_counted_at) / seconds(kMinDecayTime));
    return worker.recent_errors * decay / (worker.recent_answers * decay + kPriorAnswers);
  }
  // A worker that fails answers fast and so always has room: it would attract requests, and those that must
  // not be repeated would be lost there.
  bool failing(const Worker& worker) const { return error_share(worker) > kErrorShareLimit; }
  void count_answer(Worker& worker, bool error) {
    const double decay = std::exp(-seconds(now - worker.answers_counted_at) / seconds(kMinDecayTime));
    worker.recent_errors = worker.recent_errors * decay + error,
    worker.recent_answers = worker.recent_answers * decay + 1;
    worker.answers_counted_at = now;
  }

  // The worker's weight in the plan: a cold, slow or failing one has less capacity than its lanes suggest.
  double planning_weight(const Worker& worker) const {
    return capacity_share(worker) / std::max(1.0, worker.slowness) * (1 - error_share(worker));
  }

  // ---- Demand -----------------------------------------------------------------------------------

  // Expected run time of the function's requests: as measured for it, else for its class, else from the
  // target.
  double run_seconds(const Function& function) const {
    if (function.run_time_s.value > 0) return function.run_time_s.value;
    if (class_run_time_s[function.request_class].value > 0)
      return class_run_time_s[function.request_class].value;
    return std::max(0.01, seconds(settings.classes[function.request_class].target) / 4);
  }

  // Work of a request for its worker: from hints, which no queue lengthens, else from answer times.
  double work_seconds(const Function& function) const {
    return function.work_s.value > 0 ? function.work_s.value : run_seconds(function);
  }

  // Learns the function's properties and its demand from a request.
  void update_function(const Request& request) {
    auto [it, added] = functions.try_emplace(request.function);
    Function& function = it->second;
    if (added)
      function.id = request.function, function.request_rate.updated_at = now,
      function.request_rate.started_at = start;
    function.request_class = request.request_class;
    ++function.open_requests;
    function.latest_deadline = std::max(function.latest_deadline, request.deadline);
    function.lanes = std::max(1.0, std::floor(valid_or(request.lanes, 1)));
    function.memory_mb = valid_or(request.memory_mb, 0);
    function.request_rate.decay_s = decay_s;
    function.request_rate.add(now, 1);
    if (request.work_hint) {
      Mean& class_mean = class_work_s[request.request_class];
      class_mean.add(seconds(*request.work_hint), -1);
      function.work_s.add(seconds(*request.work_hint), class_mean.value);
    }
    if (functions.size() > settings.max_functions) evict_functions();
  }

  // Clients can name any number of functions. Makes room for a quarter of the limit at once, so that the scan
  // over all functions is rare.
  void evict_functions() {
    std::vector<std::tuple<bool, Time, FunctionId>> candidates;  // never served first, then the oldest
    for (const auto& [id, function] : functions)
      if (function.open_requests == 0)
        candidates.emplace_back(function.run_time_s.value > 0, function.latest_deadline, id);
    const std::size_t wanted = functions.size() - (settings.max_functions - settings.max_functions / 4);
    const std::size_t count = std::min(wanted, candidates.size());
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    if (end != candidates.end()) std::nth_element(candidates.begin(), end, candidates.end());
    for (auto it = candidates.begin(); it != end; ++it) functions.erase(std::get<FunctionId>(*it));
  }

  // Counts the request. True if it is beyond its tenant's share, where it is worth little. This front end's
  // part of a quota is its part of all requests as peers report them, or an equal one without reports.
  // Without reports it is never so small that most of the own traffic, which may be most of all, counts as
  // over.
  bool take_from_share(const Request& request) {
    request_rate.add(now, 1);
    if (!request.tenant || *request.tenant >= tenant_buckets.size() || settings.over_share_worth >= 1)
      return false;
    const Tenant& tenant = settings.tenants[*request.tenant];
    const double own_rate = request_rate.per_second(now);
    const bool peers_known = settings.replicas <= 1 || !peer_rates.empty();
    const double tenant_rate = std::max(tenant.quota_per_s / traffic_ratio,
                                        peers_known ? 0 : kAssumedWithinShares * tenant.share * own_rate);
    TokenBucket& bucket = tenant_buckets[*request.tenant];
    bucket.tokens = std::min(std::max(1.0, tenant_rate * kTenantBurstSeconds),
                             bucket.tokens + tenant_rate * seconds(now - bucket.updated_at));
    bucket.updated_at = now;
    if (bucket.tokens < 1) return true;
    bucket.tokens -= 1;
    return false;
  }

  // The message: the own requests per 1000 s, as four bytes, big-endian.
  void send_rate_to_peers() {
    if (!settings.bounds.peers || settings.replicas <= 1) return;
    const auto rate = static_cast<std::uint32_t>(std::min(1e9, request_rate.per_second(now) * 1000));
    std::array<std::byte, 4> bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<std::byte>(rate >> (24 - 8 * i));
    if (settings.replicas <= kPeersPerReplan + 1) return sink.send_to_peer(std::nullopt, bytes);
    for (std::size_t i = 0; i < kPeersPerReplan; ++i)
      if (const auto peer = static_cast<std::uint32_t>(random.below(settings.replicas));
          peer != settings.replica_index)
        sink.send_to_peer(peer, bytes);
  }

  // Compares the own request rate with the mean of the peers' reports; without any, all front ends count as
  // equally busy. Also adapts the rates' decay time to the own request rate.
  void update_traffic_ratio() {
    const double own_rate = request_rate.per_second(now);
    decay_s = std::clamp(kRequestsToEstimate / std::max(own_rate, 1e-9), seconds(kMinDecayTime),
                         seconds(kMaxDecayTime));
    request_rate.decay_s = served_run_time.decay_s = decay_s;
    double mean_peer_rate = 0;
    std::erase_if(peer_rates, [&](auto& reported) { return now - reported.second.first >= kPeerExpiry; });
    for (const auto& [peer, reported] : peer_rates)
      mean_peer_rate += reported.second / static_cast<double>(peer_rates.size());
    const double front_ends = std::max(1U, settings.replicas);
    traffic_ratio =
        peer_rates.empty() || own_rate <= 0 ? front_ends : 1 + mean_peer_rate * (front_ends - 1) / own_rate;
  }

  void on_peer_message(const PeerMessage& message) {
    if (message.bytes.size() != sizeof(std::uint32_t)) return;
    std::uint32_t rate = 0;
    for (std::byte byte : message.bytes) rate = (rate << 8) | std::to_integer<std::uint32_t>(byte);
    peer_rates[message.from] = {now, rate / 1000.0};
  }

  // Worth of serving the request: per second of a worker's core where each request counts by itself.
  double worth_of(const OpenRequest& open) {
    const double worth = class_of(open.request).worth * (open.over_share ? settings.over_share_worth : 1);
    return settings.worth_by_work ? worth : worth / run_seconds(functions[open.request.function]);
  }

  // Mean run time of a request of the class, as the cold budget counts it.
  double class_run_seconds(ClassIndex request_class) const {
    return class_run_time_s[request_class].value > 0 ? class_run_time_s[request_class].value : 0.2;
  }

  // ---- Estimated instances ------------------------------------------------------------------------

  // An instance was seen there, and its keep-alive cannot have ended.
  bool has_known_instance(const Placement& placement) const {
    return placement.known_instances > 0 &&
           (placement.in_flight > 0 || now - placement.last_seen < settings.instances.keep_alive);
  }
  // An order is in flight and does not count as lost.
  bool loading(const Placement& placement) const {
    return placement.ordered_instances > 0 && now - placement.ordered_at < kOrderLostAfter;
  }

  // An expected instance was missing. An eviction and a new release look the same from here, so estimates for
  // other workers that are older than the attempt are dropped too. Also covers instances that other front
  // ends released; may cost loads where workers evict often.
  void on_missing_instance(Function& function, WorkerId at, Time sent_at) {
    for (auto& [id, placement] : function.placements)
      if (id == at || (placement.last_seen <= sent_at && !placement.in_flight)) placement.known_instances = 0;
  }

  // Takes the worker out of planning and routing until it answers again; the sweep probes it.
  void mark_suspect(WorkerId id, const char* why) {
    Worker& worker = workers[id];
    if (worker.suspect) return;
    worker.suspect = true;
    worker.suspected_at = now;
    const bool can_probe = settings.instances.orders || settings.bounds.probes;
    worker.probed_at = can_probe ? now - kSuspectProbeInterval : now;
    sink.log("worker " + std::to_string(static_cast<std::uint32_t>(id)) + " suspect: " + why);
    schedule_sweep();
  }

  // The worker answers again. If it restarted meanwhile it is cold and has no instances, even where the list
  // does not say so yet.
  void clear_suspect(WorkerId id, bool restarted) {
    Worker& worker = workers[id];
    if (!std::exchange(worker.suspect, false) || !restarted) return;
    clear_placements(id);
    mark_cold(worker, std::max(now, worker.cold_since.value_or(now)));
  }

  // ---- Greedy plan ------------------------------------------------------------------------------

  // Bounds the memory of a process that runs for long: drops workers, functions and placements that no open
  // request refers to and that were not used for a while.
  void forget_unused() {
    const Time oldest = now - kForgetAfter;
    for (auto& [id, function] : functions)
      std::erase_if(function.placements, [&](auto& entry) {
        const Placement& placement = entry.second;
        return !placement.in_flight && !placement.target_instances &&
               std::max({placement.last_seen, placement.ordered_at, placement.cooldown_until}) < oldest;
      });
    std::erase_if(functions, [&](auto& entry) {
      return entry.second.placements.empty() && entry.second.latest_deadline < oldest;
    });
    std::erase_if(workers, [&](auto& entry) {
      const bool unused = entry.second.entry.state == WorkerState::kGone && !entry.second.in_flight &&
                          entry.second.last_answer < oldest;
      if (unused) leases.forget(entry.first);
      return unused;
    });
  }

  // Sets the targets: estimates each function's load in busy lanes, shares the capacity among the workers,
  // and matches both greedily.
  void replan() {
    forget_unused();
    update_traffic_ratio();
    double total_lanes = 0, requests_seen = 0, total_memory_mb = 0;
    std::vector<Function*> planned;
    std::vector<FunctionDemand> demands;
    for (auto& [id, function] : functions) {
      for (auto& [worker_id, placement] : function.placements) {
        placement.was_target = std::exchange(placement.target_instances, 0) > 0;
        placement.deferred_order = 0;
      }
      function.request_rate.decay_s = decay_s;
      const double total_rate = function.request_rate.per_second(now) * traffic_ratio;
      const double busy_lanes = total_rate * work_seconds(function);
      total_lanes += busy_lanes;
      requests_seen += function.request_rate.decayed_sum;
      if (busy_lanes <= 0 || total_rate * seconds(settings.instances.keep_alive) < kMinRequestsPerKeepAlive)
        continue;
      planned.push_back(&function);
      demands.push_back(demand_of(function, busy_lanes));
      total_memory_mb += function.memory_mb;
    }
    total_lanes *= 1 + kUnseenRequests / std::max(requests_seen, 1e-9);
    const double mean_memory_mb = total_memory_mb / std::max<double>(1, static_cast<double>(planned.size()));
    const GreedyMatching matching = match_greedily(
        demands, plan_capacities(total_lanes, mean_memory_mb, planned.size()), kMaxInstancesPerOrder);
    for (const PlacementTarget& target : matching.targets)
      planned[target.function]->placements[target.worker].target_instances = target.instances;
    std::vector<Function*> by_load;
    for (const std::size_t index : matching.by_load) by_load.push_back(planned[index]);
    apply_plan(by_load);
  }

  FunctionDemand demand_of(const Function& function, double busy_lanes) const {
    FunctionDemand demand{function.id, function.lanes, busy_lanes, {}, {}};
    for (const auto& [id, placement] : function.placements) {
      if (placement.was_target) demand.kept_targets.push_back(id);
      if (placement.cooldown_until > now) demand.excluded.push_back(id);
    }
    return demand;
  }

  // The workers to plan for, each with its part of all lanes by weight and with the slots that its memory has
  // for functions of the mean size.
  std::vector<WorkerCapacity> plan_capacities(double total_lanes, double mean_memory_mb,
                                              std::size_t planned_functions) {
    std::vector<const Worker*> fleet;
    std::vector<WorkerCapacity> capacities;
    double total_weight = 0;
    for (const auto& [id, worker] : workers)
      if (ready(worker) && !worker.suspect && usable(id)) {
        fleet.push_back(&worker);
        capacities.push_back({id, 0, 0});
        total_weight += planning_weight(worker);
      }
    const double decayed = ready_workers * std::exp(-seconds(kReplanInterval) / decay_s);
    ready_workers = std::max({1.0, decayed, static_cast<double>(fleet.size())});
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      capacities[i].free_lanes =
          kLaneHeadroom * total_lanes * planning_weight(*fleet[i]) / std::max(total_weight, 1e-9);
      const auto& memory_mb_by_kind = settings.instances.memory_mb_by_kind;
      const std::uint16_t kind = fleet[i]->entry.kind;
      const double memory_mb = kind < memory_mb_by_kind.size() ? memory_mb_by_kind[kind] : 0;
      capacities[i].free_slots = mean_memory_mb > 0 && memory_mb > 0
                                     ? std::max(1.0, memory_mb / mean_memory_mb)
                                     : static_cast<double>(planned_functions);
    }
    return capacities;
  }

  // ---- Orders -----------------------------------------------------------------------------------

  // Orders and renews the targets' instances, and releases own ones that have had no target for some replans.
  void apply_plan(const std::vector<Function*>& planned) {
    for (Function* function : planned)
      for (auto& [id, placement] : function->placements) {
        if (placement.target_instances <= 0 || !workers[id].listed) continue;
        const bool satisfied =
            has_known_instance(placement) && placement.known_instances >= placement.target_instances;
        const bool renewal_due =
            now - placement.last_seen > from_seconds(kRenewAtShare * seconds(settings.instances.keep_alive));
        const bool needs_order = !satisfied || (renewal_due && placement.in_flight == 0);
        if (needs_order && random.unit() < kOrdersPerTarget / traffic_ratio)
          order(*function, id, placement.target_instances, false);
      }
    for (auto& [function_id, function] : functions)
      for (auto& [id, placement] : function.placements) {
        placement.replans_without_target =
            placement.target_instances > 0 ? 0 : placement.replans_without_target + 1;
        const bool release = placement.loaded_by_order &&
                             placement.replans_without_target >= kReplansToRelease &&
                             has_known_instance(placement) && !placement.in_flight;
        if (!release || settings.instances.idle_memory_cost <= 0 || !may_start_work(id)) continue;
        sink.release(id, function_id);
        placement.known_instances = 0, placement.loaded_by_order = false;
      }
  }

  // The only place that sends orders to load instances; checks drains (rule 3) and the limit (rule 5).
  // `on_demand`: for a request's miss, not for the plan.
  bool order(Function& function, WorkerId id, int instances, bool on_demand) {
    Worker& worker = workers[id];
    Placement& placement = function.placements[id];
    if (!settings.instances.orders || !ready(worker) || worker.suspect) return false;
    if (!leases.holds(id, now)) {
      placement.deferred_order = instances;
      request_lease(id);
      return false;
    }
    if (loading(placement) || placement.cooldown_until > now) return false;
    if (!within_order_limit(on_demand ? 1.0 : kPlannedOrderShare)) return false;
    placement.ordered_instances = std::clamp(instances, 1, kMaxInstancesPerOrder);
    placement.ordered_at = now;
    order_times.push_back(now);
    sink.hold(id, function.id, placement.ordered_instances);
    return true;
  }

  void send_deferred_orders(WorkerId id) {
    for (auto& [function_id, function] : functions) {
      const auto it = function.placements.find(id);
      if (it == function.placements.end()) continue;
      if (const int instances = std::exchange(it->second.deferred_order, 0); instances > 0)
        order(function, id, instances, false);
    }
  }

  // Rule 5. At the window's edges the strict reading applies: orders count one tick longer, requests one
  // tick shorter.
  bool within_order_limit(double share) {
    const Instances& limits = settings.instances;
    if (limits.order_window <= 0ns) return true;
    while (!order_times.empty() && now - order_times.front() > limits.order_window + settings.tick)
      order_times.pop_front();
    while (!arrival_times.empty() && now - arrival_times.front() >= limits.order_window - settings.tick)
      arrival_times.pop_front();
    const double allowed =
        limits.order_floor + limits.orders_per_request * static_cast<double>(arrival_times.size());
    return static_cast<double>(order_times.size()) + 1 <= allowed * share;
  }

  // The function may have been evicted meanwhile; what the result says of the worker counts all the same.
  void on_hold_result(const HoldResult& result) {
    const auto worker = workers.find(result.worker);
    if (worker == workers.end()) return;
    const auto function = functions.find(result.function);
    Placement* const placement =
        function == functions.end() ? nullptr : &function->second.placements[result.worker];
    // An order for no instances is a query and needs no room, so its refusal can only mean a drain.
    const int ordered = result.ordered_instances.value_or(placement ? placement->ordered_instances : 1);
    const bool query = ordered == 0;
    if (placement && !query) placement->ordered_instances = 0;
    if (query && result.outcome == Outcome::kFull)
      leases.probe_refused(result.worker, now - result.took, now);
    // The result says nothing of the instances there: the worker is probed.
    if (result.outcome == Outcome::kConnectFailed || result.outcome == Outcome::kReset)
      return mark_suspect(result.worker, "order not delivered");
    // Without an answer, or never sent, it says nothing of the worker.
    if (result.outcome == Outcome::kTimeout || result.outcome == Outcome::kNotRun) return;
    worker->second.last_answer = now;
    // Only a missing instance that should be there indicates a restart; an answer about another function does
    // not.
    const bool list_expired = !leases.list_is_valid(now);  // then the list would not show a restart
    const bool instance_missing = placement && has_known_instance(*placement) && result.instances <= 0;
    clear_suspect(result.worker, list_expired || instance_missing);
    if (placement) {
      placement->known_instances = std::max(0, result.instances);
      if (placement->known_instances > 0) placement->last_seen = now, placement->loaded_by_order = true;
      if (result.outcome == Outcome::kFull) placement->cooldown_until = now + jittered(kNoMemoryCooldown);
    }
    dispatch_waiting();
  }

  // ---- Routing ----------------------------------------------------------------------------------

  // Not in a cooldown, below its limit, and not a worker where the request may have run.
  bool has_room(const OpenRequest& open, WorkerId id, const Worker& worker, const Function& function) const {
    const auto it = function.placements.find(id);
    if (worker.cooldown_until > now || (it != function.placements.end() && it->second.cooldown_until > now))
      return false;
    return worker.in_flight < worker.in_flight_limit && !may_have_run_at(open, id);
  }

  // Another attempt then goes elsewhere.
  static bool may_have_run_at(const OpenRequest& open, WorkerId id) {
    return std::any_of(open.attempts.begin(), open.attempts.end(), [&](const Attempt& attempt) {
      return attempt.worker == id && attempt.status != AttemptStatus::kNeverRan;
    });
  }

  // A random one, of those with a lease where there are any: they need no probe first.
  WorkerId pick(const std::vector<WorkerId>& candidates) {
    if (leases.list_is_valid(now)) return candidates[random.below(candidates.size())];
    std::vector<WorkerId> leased;
    for (const WorkerId id : candidates)
      if (leases.holds(id, now)) leased.push_back(id);
    const std::vector<WorkerId>& from = leased.empty() ? candidates : leased;
    return from[random.below(from.size())];
  }

  // Prefers workers with an instance and a free lane, then those with an instance or a target, then the one
  // that ranks first by hash. None: the request waits.
  std::optional<WorkerId> choose_worker(const OpenRequest& open, Function& function, bool include_suspects) {
    std::vector<WorkerId> free, slow_or_failing;  // have an instance with a free lane
    std::optional<WorkerId> least_loaded, by_hash;
    std::pair<bool, int> least_loaded_rank;  // failing ones last, then by requests in flight
    std::pair<bool, std::uint64_t> by_hash_rank;
    for (auto& [id, worker] : workers) {
      if (!ready(worker) || (worker.suspect && !include_suspects) || !has_room(open, id, worker, function))
        continue;
      if (!usable(id) || !may_send_to(open, worker)) continue;
      const auto it = function.placements.find(id);
      Placement* placement = it == function.placements.end() ? nullptr : &it->second;
      const bool fails = failing(worker);
      if (placement && has_known_instance(*placement) &&
          placement->in_flight < placement->known_instances * function.lanes)
        (worker.slowness < kSlowFrom && !fails ? free : slow_or_failing).push_back(id);
      const bool would_miss = settings.instances.on_miss == MissMode::kMiss && placement &&
                              !has_known_instance(*placement) && loading(*placement);
      if (placement && (placement->target_instances > 0 || has_known_instance(*placement)) && !would_miss &&
          (!least_loaded || std::pair(fails, placement->in_flight) < least_loaded_rank))
        least_loaded = id, least_loaded_rank = {fails, placement->in_flight};
      if (!would_miss && (!by_hash || std::pair(!fails, rendezvous_rank(function.id, id)) > by_hash_rank))
        by_hash = id, by_hash_rank = {!fails, rendezvous_rank(function.id, id)};
    }
    if (!free.empty()) return pick(free);
    if (!slow_or_failing.empty()) return pick(slow_or_failing);
    if (least_loaded) return least_loaded;
    // If some worker has or will soon have an instance, the request may wait here for room there. It always
    // waits for an instance that is being loaded. For one that is loaded it waits where another worker would
    // only miss, where this front end sees much of the fleet, and where the whole fleet is short of room: a
    // load elsewhere would then add to the overload. It never waits for a worker that it may not be sent to
    // again.
    const bool wait_for_loaded =
        settings.instances.on_miss == MissMode::kMiss || traffic_ratio <= kManyFrontEnds || fleet_is_short();
    const bool waits = std::any_of(function.placements.begin(), function.placements.end(), [&](auto& entry) {
      const Worker& worker = workers[entry.first];
      const bool being_loaded = loading(entry.second) ||
                                (entry.second.in_flight > 0 && settings.instances.on_miss == MissMode::kLoad);
      return ready(worker) && !worker.suspect && usable(entry.first) && !may_have_run_at(open, entry.first) &&
             (being_loaded || (wait_for_loaded && has_known_instance(entry.second)));
    });
    if (waits) return std::nullopt;
    return by_hash;
  }

  // Whether most workers of the fleet have no room, not only those of one function.
  bool fleet_is_short() const {
    double with_room = 0;
    for (const auto& [id, worker] : workers)
      with_room += ready(worker) && !worker.suspect && usable(id) && worker.cooldown_until <= now &&
                   worker.in_flight < worker.in_flight_limit;
    return 2 * with_room < ready_workers;
  }

  // Sends the request, or keeps it waiting for the next sweep, or ends it when nothing can serve it.
  void dispatch(OpenRequest& open) {
    if (open.answered || open.streaming) return;
    Function& function = functions[open.request.function];
    if (may_attempt(open)) {
      const bool only_suspects = std::none_of(workers.begin(), workers.end(), [&](auto& entry) {
        return ready(entry.second) && !entry.second.suspect;
      });
      const std::optional<WorkerId> to = choose_worker(open, function, only_suspects);
      if (to && leases.holds(*to, now)) return send(open, function, *to);
      if (to) request_lease(*to);
    }
    if (open.in_flight == 0) {
      const Duration max_wait = from_seconds(kMaxWaitShare * seconds(class_of(open.request).target));
      const bool give_up = now - open.arrived_at > max_wait && may_refuse(open);
      if (!may_attempt(open) || give_up || open.request.deadline - now <= kAnswerMargin + settings.tick)
        return give_final_answer(open);
      schedule_sweep();
    }
  }

  void on_request(const Request& request) {
    if (request.request_class >= settings.classes.size()) return;
    auto [it, added] = open_requests.try_emplace(request.id);
    if (!added) return;
    OpenRequest& open = it->second;
    open.request = request;
    open.arrived_at = now;
    if (settings.instances.order_window > 0ns && arrival_times.size() < kMaxCountedArrivals)
      arrival_times.push_back(now);
    update_function(request);
    const Duration time_left = std::max<Duration>(0ns, request.deadline - now);
    sink.start_timer(time_left, kDeadlineTimers | static_cast<std::uint32_t>(request.id));
    open.over_share = take_from_share(request);
    if (open.over_share && fleet_is_short() && may_refuse(open)) give_final_answer(open);
    dispatch(open);
    erase_if_done(it);
  }

  // The only place that sends attempts.
  void send(OpenRequest& open, Function& function, WorkerId id) {
    Worker& worker = workers[id];
    Placement& placement = function.placements[id];
    if (capacity_share(worker) < 1) worker.cold_budget_s -= class_run_seconds(open.request.request_class);
    if (worker.in_flight++ == 0) worker.last_answer = now;
    ++placement.in_flight;
    ++open.in_flight;
    open.attempts.push_back({id, now, AttemptStatus::kInFlight, has_known_instance(placement), false});
    schedule_sweep();
    sink.send(open.request.id, id, 0ns);
  }

  void dispatch_waiting() {
    std::vector<std::tuple<double, Time, RequestId>> waiting;  // highest worth first, then oldest
    for (auto& [id, open] : open_requests)
      if (open.in_flight == 0 && !open.answered && !open.streaming)
        waiting.emplace_back(-worth_of(open), open.arrived_at, id);
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [worth, arrived_at, id] : waiting)
      if (auto it = open_requests.find(id); it != open_requests.end())
        dispatch(it->second), erase_if_done(it);
  }

  // ---- Attempts ---------------------------------------------------------------------------------

  void on_attempt_result(const AttemptResult& result) {
    const auto it = open_requests.find(result.request);
    if (it == open_requests.end() || result.attempt >= it->second.attempts.size()) return;
    OpenRequest& open = it->second;
    Attempt& attempt = open.attempts[result.attempt];
    if (attempt.status != AttemptStatus::kInFlight || attempt.worker != result.worker) return;
    Function& function = functions[open.request.function];
    Placement& placement = function.placements[attempt.worker];
    Worker& worker = workers[attempt.worker];
    --worker.in_flight, --placement.in_flight, --open.in_flight;
    const bool load_failed = result.found == Found::kLoadFailed;
    const bool never_ran = result.outcome == Outcome::kFull || result.outcome == Outcome::kConnectFailed ||
                           result.outcome == Outcome::kNotRun || result.outcome == Outcome::kMiss;
    attempt.status = never_ran ? AttemptStatus::kNeverRan : AttemptStatus::kMayHaveRun;
    if (result.outcome == Outcome::kOk || result.outcome == Outcome::kError ||
        result.outcome == Outcome::kFull || result.outcome == Outcome::kMiss)
      worker.last_answer = now,
      clear_suspect(attempt.worker, !leases.list_is_valid(now) && attempt.sent_at > worker.suspected_at);
    if (result.outcome == Outcome::kOk)
      reset_if_restarted(attempt.worker, leases.accepted(attempt.worker, attempt.sent_at));
    if (result.outcome == Outcome::kOk || (result.outcome == Outcome::kError && !load_failed))
      count_answer(worker, result.outcome == Outcome::kError);
    switch (result.outcome) {
      case Outcome::kOk: on_served(function, placement, worker, attempt, result); break;
      // The worker may refuse one function, class or tenant only and have room for others.
      case Outcome::kFull: placement.cooldown_until = now + cooldown(kFullCooldown); break;
      case Outcome::kTimeout: decrease_limit(worker); break;
      case Outcome::kMiss:
        if (attempt.expected_instance) on_missing_instance(function, attempt.worker, attempt.sent_at);
        placement.known_instances = 0;
        if (!load_failed || placement.target_instances > 0)
          order(function, attempt.worker, std::max(1, placement.target_instances), true);
        break;
      case Outcome::kError:
        if (load_failed) placement.known_instances = 0;
        break;
      case Outcome::kConnectFailed: mark_suspect(attempt.worker, "no connection"); break;
      case Outcome::kReset: mark_suspect(attempt.worker, "connection broke"); break;
      default: break;
    }
    if (result.terminal) open.answered = true;
    if (open.answered)
      cancel_in_flight(open);
    else if (result.outcome == Outcome::kTimeout && now + settings.tick >= open.request.deadline)
      give_final_answer(open);
    else
      dispatch(open);
    erase_if_done(it);
  }

  void on_served(Function& function, Placement& placement, Worker& worker, const Attempt& attempt,
                 const AttemptResult& result) {
    served_run_time.add(now, class_run_seconds(function.request_class));
    const bool had_instance =
        result.found == Found::kLoaded || (result.found == Found::kNotReported && attempt.expected_instance);
    if (result.found == Found::kBeganLoad && attempt.expected_instance)
      on_missing_instance(function, attempt.worker, attempt.sent_at);
    placement.known_instances = std::max(placement.known_instances, 1);
    placement.last_seen = now;
    if (!had_instance) return;
    const double took_s = seconds(result.took);
    if (took_s > kLateAtShare * seconds(settings.classes[function.request_class].target))
      decrease_limit(worker);
    else
      worker.in_flight_limit += 1 / worker.in_flight_limit;
    if (function.run_time_s.value > 0)
      worker.slowness += kSlownessSampleWeight *
                         (std::clamp(took_s / function.run_time_s.value, 0.1, 10.0) - worker.slowness);
    class_run_time_s[function.request_class].add(took_s, -1);
    function.run_time_s.add(took_s, class_run_time_s[function.request_class].value);
  }

  // Late answers and time-outs indicate a queue at the worker, whatever causes it: too much traffic, a slow
  // core, loads, or other front ends. With fewer own requests in flight there, answers stay in time; the rest
  // waits here, where it can still be refused. May cost throughput where requests run for long by nature.
  void decrease_limit(Worker& worker) {
    if (now - worker.limit_decreased_at < kLimitDecreaseInterval) return;
    worker.limit_decreased_at = now;
    worker.in_flight_limit =
        std::max(1.0, std::min(worker.in_flight_limit, worker.in_flight + 1.0) * kLimitDecrease);
    worker.cooldown_until = std::max(worker.cooldown_until, now + cooldown(0ns));
  }

  // The time in which the worker would otherwise get `kCooldownRequests` from here: with few requests a front
  // end has no other way to send less, and with many the limit on requests in flight does it.
  Duration cooldown(Duration min) {
    const double usual_s = kCooldownRequests * ready_workers / std::max(request_rate.per_second(now), 1e-9);
    return jittered(std::clamp(from_seconds(std::min(usual_s, seconds(kMaxCooldown))), min, kMaxCooldown));
  }

  void on_stream_started(RequestId id) {
    if (auto it = open_requests.find(id); it != open_requests.end()) it->second.streaming = true;
  }

  void on_abandoned(RequestId id) {
    const auto it = open_requests.find(id);
    if (it == open_requests.end()) return;
    it->second.answered = true;
    cancel_in_flight(it->second);
    erase_if_done(it);
  }

  void on_probe_result(const ProbeResult& result) {
    if (!workers.contains(result.worker)) return;
    if (result.outcome == Outcome::kOk) {
      workers[result.worker].last_answer = now;
      clear_suspect(result.worker, true);
    }
    on_lease_answer(result);
  }

  void on_timer(TimerToken token) {
    if (token == kReplanTimer) {
      replan();
      send_rate_to_peers();
      sink.start_timer(jittered(kReplanInterval), kReplanTimer);
    } else if (token == kSweepTimer) {
      sweep();
    } else if (token == kSubscribeTimer) {
      sink.subscribe(true);
    } else if (token >= kDeadlineTimers) {
      on_deadline(static_cast<RequestId>(static_cast<std::uint32_t>(token)));
    }
  }

  // Checks what no event reports: workers that do not answer, and requests that wait for room.
  void sweep() {
    sweep_scheduled = false;
    std::map<WorkerId, Time> oldest_sent;
    bool any_waiting = false;
    for (auto& [id, open] : open_requests) {
      any_waiting |= !open.answered && open.in_flight == 0;
      for (const Attempt& attempt : open.attempts)
        if (attempt.status == AttemptStatus::kInFlight && attempt.expected_instance && !attempt.cancelled) {
          auto [it, added] = oldest_sent.try_emplace(attempt.worker, attempt.sent_at);
          it->second = std::min(it->second, attempt.sent_at);
        }
    }
    double usual_s = 0.2;
    for (const Mean& run_time_s : class_run_time_s) usual_s = std::max(usual_s, run_time_s.value);
    bool any_suspect = false;
    // A worker that is only slow or overloaded must not become suspect, so it is probed first.
    for (auto& [id, worker] : workers) {
      const auto sent = oldest_sent.find(id);
      any_suspect |= worker.suspect && ready(worker);
      if (!ready(worker) || (!worker.suspect && sent == oldest_sent.end())) continue;
      const Time quiet_since = worker.suspect ? now : std::max(worker.last_answer, sent->second);
      const bool unresponsive = now - quiet_since > kUnresponsiveAfter + from_seconds(usual_s);
      if (worker.suspect ? now - worker.probed_at > kSuspectProbeInterval
                         : unresponsive && worker.probed_at < quiet_since)
        probe_worker(id, worker);
      else if (unresponsive && now - worker.probed_at > kProbeTimeout)
        mark_suspect(id, "silent");
    }
    // Requests that may run again leave suspect workers; one that may have run and must not run twice waits.
    for (auto& [id, open] : open_requests)
      if (!open.answered && class_of(open.request).semantics != Semantics::kOnce &&
          std::all_of(open.attempts.begin(), open.attempts.end(), [&](auto& attempt) {
            return attempt.status != AttemptStatus::kInFlight || workers[attempt.worker].suspect;
          }))
        cancel_in_flight(open);
    if (any_waiting) dispatch_waiting();
    if (!open_requests.empty() || any_suspect) schedule_sweep();
  }

  void schedule_sweep() {
    if (!std::exchange(sweep_scheduled, true)) sink.start_timer(kSweepInterval, kSweepTimer);
  }

  // Asks for a sign of life without loading anything. A query for an instance that should be there also tells
  // a restart, which loses it, from a broken connection, a pause or a lost answer, which do not.
  void probe_worker(WorkerId id, Worker& worker) {
    worker.probed_at = now;
    std::optional<FunctionId> function_to_query;
    Time last_seen{};  // the instance seen last is the least likely to have been evicted
    for (auto& [function_id, function] : functions) {
      const auto it = function.placements.find(id);
      const bool expected =
          it != function.placements.end() && has_known_instance(it->second) && !it->second.ordered_instances;
      if (!function_to_query || (expected && it->second.last_seen > last_seen))
        function_to_query = function_id;
      if (expected) last_seen = std::max(last_seen, it->second.last_seen);
    }
    if (settings.instances.orders && function_to_query)
      sink.hold(id, *function_to_query, 0);
    else if (settings.bounds.probes)
      sink.probe(id);
    else
      worker.suspect = false;  // it cannot be probed: the next request tries it
  }

  void cancel_in_flight(OpenRequest& open) {
    if (!settings.bounds.may_cancel || open.streaming) return;
    for (std::size_t i = 0; i < open.attempts.size(); ++i)
      if (open.attempts[i].status == AttemptStatus::kInFlight &&
          !std::exchange(open.attempts[i].cancelled, true))
        sink.cancel(open.request.id, static_cast<AttemptNumber>(i));
  }

  void erase_if_done(std::map<RequestId, OpenRequest>::iterator it) {
    if (!it->second.answered || it->second.in_flight > 0) return;
    if (const auto function = functions.find(it->second.request.function); function != functions.end())
      --function->second.open_requests;
    open_requests.erase(it);
  }

  // ---- Rules ------------------------------------------------------------------------------------

  // Rule 2, for any worker: whether another attempt is allowed at all.
  bool may_attempt(const OpenRequest& open) const {
    if (open.attempts.size() >= static_cast<std::size_t>(std::max(1, settings.bounds.attempts_cap)))
      return false;
    if (open.in_flight > 0 || now >= open.request.deadline) return false;  // one attempt at a time
    return never_ran(open) || class_of(open.request).semantics != Semantics::kOnce;
  }

  static bool never_ran(const OpenRequest& open) {
    return std::all_of(open.attempts.begin(), open.attempts.end(),
                       [](auto& attempt) { return attempt.status == AttemptStatus::kNeverRan; });
  }

  // Among its first `count` attempts.
  static const Attempt* first_that_may_have_run(const OpenRequest& open, std::size_t count) {
    const auto end = open.attempts.begin() + static_cast<std::ptrdiff_t>(count);
    const auto it = std::find_if(open.attempts.begin(), end, [](const Attempt& attempt) {
      return attempt.status != AttemptStatus::kNeverRan;
    });
    return it == end ? nullptr : &*it;
  }

  // Rule 2, in time: workers drop repeats of a keyed request for this long after its first attempt.
  bool within_repeat_window(const OpenRequest& open, const Attempt& first) const {
    return now + settings.tick < first.sent_at + class_of(open.request).repeat_window;
  }

  // Rules 2 and 4, for one worker.
  bool may_send_to(const OpenRequest& open, Worker& worker) {
    const RequestClass& request_class = class_of(open.request);
    const Attempt* const first = first_that_may_have_run(open, open.attempts.size());
    if (request_class.semantics == Semantics::kKeyed && first) {
      const WorkerEntry& first_entry = workers[first->worker].entry;
      if (!within_repeat_window(open, *first)) return false;
      if (request_class.group == RepeatGroup::kZone && first_entry.zone != worker.entry.zone) return false;
      if (request_class.group == RepeatGroup::kCell && first_entry.cell != worker.entry.cell) return false;
    }
    return within_cold_budget(worker, class_run_seconds(open.request.request_class));
  }

  // Rules 1 and 2, for the moment at which the bytes of an attempt are sent, some time after the decision.
  bool may_be_sent(RequestId id, AttemptNumber number) const {
    const auto it = open_requests.find(id);
    if (it == open_requests.end() || number >= it->second.attempts.size()) return false;
    const OpenRequest& open = it->second;
    if (open.answered || now >= open.request.deadline) return false;
    const Attempt* const first = first_that_may_have_run(open, number);
    return class_of(open.request).semantics != Semantics::kKeyed || !first ||
           within_repeat_window(open, *first);
  }

  // The worker starts, or restarted, at `since`. Its budget begins with a random part of a request, so that
  // the first requests of many front ends with few each are spread as evenly as those of one with many.
  void mark_cold(Worker& worker, Time since) {
    worker.cold_since = since;
    worker.cold_budget_s = random.unit() * class_run_seconds(0);
    worker.cold_budget_at = now;
  }

  // Rule 4, as a token bucket of run time. A warm worker's usual load is measured by what workers served this
  // front end, per ready worker: sends would also count retries and refusals, which grow just when the fleet
  // is short of room. Each front end sends a cold worker at most its share of the own usual load, so that the
  // sum over all front ends, which do not see each other, is in proportion.
  bool within_cold_budget(Worker& worker, double run_s) {
    const double capacity = capacity_share(worker);
    if (capacity >= 1) return true;
    const double multiple =
        (traffic_ratio > kManyFrontEnds ? kColdShareOfMany : kColdShare) * settings.rules.overload_multiple;
    const double budget_rate = served_run_time.per_second(now) / ready_workers * capacity * multiple;
    const double max_budget_s =
        std::max(run_s * 1.001, budget_rate * seconds(settings.rules.overload_duration));
    worker.cold_budget_s =
        std::min(max_budget_s, worker.cold_budget_s + budget_rate * seconds(now - worker.cold_budget_at));
    worker.cold_budget_at = now;
    return worker.cold_budget_s >= run_s;
  }

  // A refusal says that a repeat by the client is safe.
  bool may_refuse(const OpenRequest& open) const {
    const RequestClass& request_class = class_of(open.request);
    const bool repeats_dropped_everywhere =
        request_class.semantics == Semantics::kKeyed && request_class.group == RepeatGroup::kAll;
    return request_class.semantics == Semantics::kRepeatable || repeats_dropped_everywhere || never_ran(open);
  }

  // A short part of the target, in which some room is likely to come free. After a longer delay the answer
  // would be late.
  Duration retry_after(const OpenRequest& open) const {
    const Duration delay = from_seconds(kRetryAfterShare * seconds(class_of(open.request).target));
    return settings.bounds.retry_after ? std::min(delay, settings.bounds.max_retry_after) : 0ns;
  }

  // Rule 1. The only place that gives final answers: a refusal where that is allowed, else a failure.
  void give_final_answer(OpenRequest& open) {
    if (std::exchange(open.answered, true)) return;
    if (may_refuse(open))
      sink.refuse(open.request.id, retry_after(open));
    else
      sink.fail(open.request.id);
    cancel_in_flight(open);
  }

  void on_deadline(RequestId id) {
    const auto it = open_requests.find(id);
    if (it == open_requests.end()) return;
    if (!it->second.streaming) give_final_answer(it->second);
    erase_if_done(it);
  }
};

Dispatcher::Dispatcher(Settings settings, std::uint64_t seed, Time start, ActionSink& sink)
    : state_(std::make_unique<State>(std::move(settings), seed, start, sink)) {}
Dispatcher::~Dispatcher() = default;

void Dispatcher::on(Time now, const ListUpdate& update) { state_->advance_to(now).update_list(update); }
void Dispatcher::on(Time now, const ListFreshness& freshness) {
  state_->advance_to(now).update_list_freshness(freshness);
}
void Dispatcher::on(Time now, const Request& request) { state_->advance_to(now).on_request(request); }
void Dispatcher::on(Time now, const AttemptResult& result) {
  state_->advance_to(now).on_attempt_result(result);
}
void Dispatcher::on(Time now, const StreamStarted& started) {
  state_->advance_to(now).on_stream_started(started.request);
}
void Dispatcher::on(Time now, const RequestAbandoned& abandoned) {
  state_->advance_to(now).on_abandoned(abandoned.request);
}
void Dispatcher::on(Time now, const HoldResult& result) { state_->advance_to(now).on_hold_result(result); }
void Dispatcher::on(Time now, const ProbeResult& result) { state_->advance_to(now).on_probe_result(result); }
void Dispatcher::on(Time now, const PeerMessage& message) {
  state_->advance_to(now).on_peer_message(message);
}
void Dispatcher::on(Time now, const TimerFired& timer) { state_->advance_to(now).on_timer(timer.token); }
bool Dispatcher::may_start_work(Time now, WorkerId worker) const {
  return state_->advance_to(now).may_start_work(worker);
}
bool Dispatcher::may_be_sent(Time now, RequestId request, AttemptNumber attempt) const {
  return state_->advance_to(now).may_be_sent(request, attempt);
}
bool Dispatcher::list_is_valid(Time now) const { return state_->leases.list_is_valid(now); }
const LeaseCounters& Dispatcher::lease_counters() const { return state_->leases.counters(); }
TableSizes Dispatcher::table_sizes() const {
  TableSizes sizes;
  sizes.functions = state_->functions.size();
  for (const auto& [id, function] : state_->functions) sizes.placements += function.placements.size();
  sizes.open_requests = state_->open_requests.size();
  sizes.workers = state_->workers.size();
  sizes.counted_arrivals = state_->arrival_times.size();
  return sizes;
}

}  // namespace laureltide
