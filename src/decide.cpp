// All decisions of laureltide. Interface: include/laureltide/dispatcher.h. Design: docs/design.md.
//
// The ordinary path is that of "Optimal Content Replication and Request Matching in Large Caching Systems":
// a greedy matching of functions' flow to workers' flow and slots sets targets (sections IV, V), and each
// request goes to a uniformly random warm worker with room (Random Available Server).

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "laureltide/dispatcher.h"
#include "policy/worker_lease.h"

namespace laureltide {
namespace {

using namespace std::chrono_literals;

// ---- Tuned values ---------------------------------------------------------------------------------

constexpr Duration kReplanEvery = 2s;      // between greedy runs (design page)
constexpr Duration kFirstReplan = 400ms;   // a new life plans as soon as a few requests told of demand
constexpr double kJitter = 0.2;            // share; keeps front ends from acting in step
constexpr double kFlowHeadroom = 1.5;      // worker flow over mean busy lanes (design page)
constexpr Duration kDemandMemory = 5s;     // decay of demand: some replans long, shorter than a spell
constexpr Duration kLongestMemory = 20s;   // of a front end with few calls: about as long as a spell
constexpr double kCallsToJudge = 60;       // calls remembered before the memory may be shorter
constexpr double kMany = 8;                // times own calls in all, from which own calls tell little
constexpr double kOrdersShared = 2;        // orders for one target and interval by all front ends together
constexpr double kDoubt = 10;              // calls that a new life counts as not yet seen
constexpr std::size_t kPeersTold = 4;      // a replan, at random: linear in their number
constexpr int kReplansToDrop = 4;          // "several" unpaired replans before an own copy is dropped
constexpr double kCallsToHold = 2;         // calls in a keep-alive below which idling out is cheaper
constexpr double kRenewAt = 0.6;           // share of the keep-alive after which a hold is renewed
constexpr double kPlannedRation = 0.7;     // share of the order ration that planned orders may use
constexpr Duration kOrderLost = 4s;        // an order unanswered for so long no longer holds others back
constexpr Duration kFullRest = 150ms;      // a full worker sheds its excess in about a service time
constexpr Duration kLongestRest = 4s;      // of a worker after a bad answer, however few the own calls
constexpr double kRestCalls = 0.2;         // own calls to the worker that a rest is worth
constexpr Duration kNoMemoryRest = 2s;     // memory frees slower: when other copies idle out
constexpr Duration kSweepEvery = 20ms;     // looks at held requests and silent workers
constexpr Duration kSilence = 500ms;       // beyond the usual answer time, before a worker is asked
constexpr Duration kAskWait = 400ms;       // a pausing worker answers in this time, a dead one does not
constexpr Duration kAskSuspectEvery = 1s;  // how often a silent worker is asked for a sign of life
constexpr double kRecent = 0.15;           // weight of a new sample in a worker's slowness
constexpr double kRunRecent = 0.05;        // least weight of a new sample in mean run times
constexpr double kUsualCounts = 3;         // samples for which the class's mean counts in a function's
constexpr double kSlow = 2.5;              // answer time over the usual, from which others come first
constexpr double kErring = 0.3;            // share of errors in answers, from which others come first
constexpr double kErrorsDoubted = 3;       // answers that a share of errors is not yet believed from
constexpr double kColdLimit = 0.6;         // part of the fall multiple ever used: others are unseen
constexpr double kColdLimitOfMany = 0.4;   // single calls of many come together by chance
constexpr double kLateAt = 0.5;            // share of the aim after which an answer tells of a queue
constexpr double kCutLate = 0.9;           // a late answer's cut of the limit: some are late by nature
constexpr Duration kCutEvery = 100ms;      // one cut for answers that tell of the same queue
constexpr double kWaitShare = 0.4;         // share of the aim for which a request waits here for room
constexpr double kBackAfter = 0.1;         // share of the aim after which a refused client may come again
constexpr double kShareBurst = 1.0;        // seconds of its share that a tenant may ask at once
constexpr double kUnheardPart = 0.8;       // share of own traffic that is surely within shares, unheard
constexpr Duration kPeerStands = 7s;       // some replans: a peer that stays silent has died
constexpr Duration kForgetAfter = 60s;     // longer than any client waits and any copy idles
constexpr Duration kHoldBack = 40ms;       // a request that nothing can serve is answered this early
constexpr int kMostInstances = 16;         // that one order may name

constexpr TimerToken kReplanToken = 1, kSweepToken = 2, kListToken = 3, kDeadlineTokens = 1ULL << 32;

std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Own generator and bounded draw: standard distributions differ between libraries.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() { return mix(state_ += 0x9e3779b97f4a7c15ULL); }
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

 private:
  std::uint64_t state_;
};

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}
double sane(double value, double otherwise) { return std::isfinite(value) && value >= 0 ? value : otherwise; }

// A mean that starts from what is usual elsewhere and is moved by few samples only in part.
struct Mean {
  double value = -1, samples = 0;
  void add(double sample, double usual) {
    if (value < 0) value = usual > 0 ? usual : sample, samples = usual > 0 ? kUsualCounts : 0;
    samples = std::min(samples + 1, 1 / kRunRecent);
    value += (sample - value) / samples;
  }
};

// The order in which front ends that know nothing of each other agree to try workers for a function.
std::uint64_t affinity(FunctionId function, WorkerId worker) {
  return mix(static_cast<std::uint64_t>(function) ^ mix(static_cast<std::uint64_t>(worker) + 1));
}

// A sum that forgets: events a second over the last few `kDemandMemory`, unbiased from the first on.
struct Rate {
  double mass = 0;
  Time at{}, since{};
  double memory = seconds(kDemandMemory);
  void settle(Time now) {
    mass *= std::exp(-seconds(now - at) / memory);
    at = now;
  }
  void add(Time now, double amount) {
    settle(now);
    mass += amount;
  }
  double per_second(Time now) {
    settle(now);
    const double span = memory * (1 - std::exp(-seconds(now - since) / memory));
    return mass / std::max(span, 0.5);
  }
};

// What is believed of one function at one worker.
struct Pair {
  int copies = 0;   // believed to stand; 0: none or unknown
  Time seen{};      // last sign that they stand: they idle out from here
  int ordered = 0;  // count of the order that is out, if any
  Time ordered_at{};
  int in_flight = 0;     // own calls out
  int target = 0;        // copies wanted by the plan
  int order_waits = 0;   // count of an order that waits for a lease on the worker
  bool current = false;  // it was a target of the plan before
  int unpaired = 0;      // replans since the plan last wanted one
  bool placed = false;   // an own order brought a copy
  Time full_until{};     // no lane, or no memory for another copy
};

struct Function {
  FunctionId id{};
  ClassIndex request_class = 0;
  double lanes = 1, memory_mb = 0;
  Mean run_s, work_s;  // as answers took, and as hints say
  Rate calls;
  Time needed{};    // the latest deadline of its calls
  double flow = 0;  // left to match, in busy lanes, during a plan
  std::map<WorkerId, Pair> pairs;
};

struct Worker {
  WorkerEntry entry;
  bool known = false;  // its list entry is current
  int in_flight = 0;
  Time heard{};          // last answer of any kind
  bool suspect = false;  // silent, or its connections fail
  Time suspected_at{};
  Time asked{};
  std::optional<Time> cold_since;
  double credit = 0;  // run time that may be sent while cold
  Time credit_at{};
  double slowness = 1;          // answer time over what the function usually takes
  double erred = 0, ended = 0;  // errors, and all answers, of the last few seconds
  Time ended_at{};
  Time full_until{};
  Time cut_at{};
  double limit = 1e9;  // own calls in flight that it bears without a queue, learnt from answers
  double flow = 0;     // during a plan
  double slots = 0;
};

struct Share {
  double left = 0;
  Time at{};
};

enum class Fate { kOut, kNeverRan, kMayHaveRun };

struct Attempt {
  WorkerId worker{};
  Time sent{};
  Fate fate = Fate::kOut;
  bool warm = false;  // the copy was believed to stand
  bool cancelled = false;
};

struct Open {
  Request request;
  Time arrived{};
  std::vector<Attempt> attempts;
  int out = 0;
  bool answered = false, streaming = false;
  bool over_share = false;
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
  std::map<RequestId, Open> open;
  std::optional<std::uint64_t> list_version;  // of the list held
  std::vector<Mean> class_run_s, class_work_s;
  Rate served_weight;                 // own work served, in seconds of run time
  std::deque<Time> orders, arrivals;  // within the ration's window
  bool sweeping = false;
  std::vector<Share> shares;  // by tenant
  Rate requests;
  std::map<std::uint32_t, std::pair<Time, double>> peers;  // requests a second, as told
  double memory = seconds(kDemandMemory);
  double crowd = std::max(1U, settings.replicas);  // calls of all front ends for each own one
  double ready_count = 1;  // workers; falls no faster than what they served is forgotten

  State(Settings s, std::uint64_t seed, Time begin, ActionSink& out)
      : settings(std::move(s)),
        random(seed),
        now(begin),
        start(begin),
        sink(out),
        leases(settings.rules.drain_grace) {
    class_run_s.resize(settings.classes.size()), class_work_s.resize(settings.classes.size());
    requests.since = requests.at = served_weight.since = served_weight.at = begin;
    for (const Tenant& t : settings.tenants) shares.push_back({t.quota_per_s * kShareBurst, begin});
    sink.start_timer(jittered(kFirstReplan), kReplanToken);
    if (settings.list_needs_subscription) sink.subscribe(true);
  }

  Duration jittered(Duration d) { return from_seconds(seconds(d) * (1 + kJitter * (2 * random.unit() - 1))); }
  State& at(Time t) {
    now = std::max(now, t);
    return *this;
  }
  const RequestClass& class_of(const Request& r) const { return settings.classes[r.request_class]; }

  // ---- Membership -------------------------------------------------------------------------------

  void update_list(const ListUpdate& update) {
    if (update.scope == ListScope::kFailed) {  // the old list stands; ask again, not all at once
      if (settings.list_needs_subscription) sink.start_timer(jittered(500ms), kListToken);
      return;
    }
    if (update.scope == ListScope::kChanges && list_version && update.version <= *list_version) return;
    if (update.scope == ListScope::kFull && list_version && update.version < *list_version) return;
    list_version = update.version;
    if (update.scope != ListScope::kChanges)
      for (auto& [id, worker] : workers) worker.known = false;
    for (const WorkerEntry& entry : update.entries) {
      auto [it, fresh] = workers.try_emplace(entry.id);
      Worker& worker = it->second;
      const bool restarted = !fresh && entry.started && entry.started != worker.entry.started;
      if (restarted) forget_worker(entry.id), worker.suspect = false;
      if (restarted || (fresh && entry.started)) chill(worker, std::min(*entry.started, now));
      if (fresh) worker.heard = now;
      worker.entry = entry;
      worker.known = true;
    }
    for (auto& [id, worker] : workers) {
      if (!worker.known) worker.entry.state = WorkerState::kGone;
      if (worker.entry.state == WorkerState::kGone) forget_worker(id);
    }
    const auto n = std::count_if(workers.begin(), workers.end(), [&](auto& w) { return ready(w.second); });
    ready_count = std::max(ready_count, static_cast<double>(n));
  }

  void list_freshness(const ListFreshness& freshness) {
    const bool held = leases.list_is_valid(now);
    leases.set_list_current_until(freshness.current_until);
    if (!held && leases.list_is_valid(now)) release_held();
  }

  // Rule 3, for the time at which something begins. Discovery that is out of reach may have told a drain.
  bool may_start_work(WorkerId id) const {
    const auto it = workers.find(id);
    return it != workers.end() && ready(it->second) && leases.holds(id, now);
  }

  // A place to plan for and to send to, though perhaps only when it has been asked for a lease.
  bool usable(WorkerId id) const {
    return leases.holds(id, now) || (settings.bounds.probes && leases.may_be_asked(id, now));
  }

  // The answer releases what waits. Where the settings allow no probes only traffic renews leases.
  void ask_for_lease(WorkerId id) {
    if (settings.bounds.probes && leases.ask(id, now)) sink.probe(id);
  }

  void lease_answered(const ProbeResult& result) {
    const WorkerId id = result.worker;
    const Time sent = now - result.took;
    const bool away = !leases.list_is_valid(now);
    switch (result.outcome) {
      case Outcome::kOk: came_back(id, leases.said_ready(id, sent)); break;
      case Outcome::kError: leases.refused(id, sent, now); break;
      default:
        leases.unanswered(id, now);
        if (away && (result.outcome == Outcome::kConnectFailed || result.outcome == Outcome::kReset))
          suspect(id, "question not delivered");
    }
    if (!away) return;
    if (leases.holds(id, now)) place_waiting_orders(id);
    release_held();
  }

  // A worker that refused, or could not be reached, and takes new work again: with discovery out of reach
  // nobody tells whether it is a new process, which starts cold and empty.
  void came_back(WorkerId id, bool doubted) {
    if (!doubted || leases.list_is_valid(now)) return;
    forget_worker(id);
    chill(workers[id], std::max(now, workers[id].cold_since.value_or(now)));
  }

  bool ready(const Worker& worker) const { return worker.known && worker.entry.state == WorkerState::kReady; }

  // A restart empties a worker: nothing believed of it holds any more.
  void forget_worker(WorkerId id) {
    for (auto& [fid, f] : functions)
      if (auto p = f.pairs.find(id); p != f.pairs.end())
        p->second.copies = p->second.ordered = 0, p->second.placed = false;
  }

  // Share of its capacity that a worker surely has: a straight line from the cold share to the whole.
  double warmth(const Worker& worker) const {
    if (!worker.cold_since || settings.rules.cold_duration <= 0ns) return 1;
    const double age = seconds(now - *worker.cold_since) / seconds(settings.rules.cold_duration);
    return age >= 1 ? 1
                    : settings.rules.cold_capacity_share +
                          (1 - settings.rules.cold_capacity_share) * std::max(age, 0.0);
  }

  // Share of errors in its answers. It fades with what it rests on, so that the worker is tried again.
  double errors(const Worker& w) const {
    const double left = std::exp(-seconds(now - w.ended_at) / seconds(kDemandMemory));
    return w.erred * left / (w.ended * left + kErrorsDoubted);
  }
  // What errs answers fast, so it always has room: a call that may not be repeated is lost there.
  bool erring(const Worker& w) const { return errors(w) > kErring; }
  void count_answer(Worker& w, bool error) {
    const double left = std::exp(-seconds(now - w.ended_at) / seconds(kDemandMemory));
    w.erred = w.erred * left + error, w.ended = w.ended * left + 1;
    w.ended_at = now;
  }

  // Its part of the plan: what is cold, slow or errs has full lanes on paper only.
  double pace(const Worker& w) const { return warmth(w) / std::max(1.0, w.slowness) * (1 - errors(w)); }

  // ---- Demand -----------------------------------------------------------------------------------

  double run_seconds(const Function& f) const {
    if (f.run_s.value > 0) return f.run_s.value;
    if (class_run_s[f.request_class].value > 0) return class_run_s[f.request_class].value;
    return std::max(0.01, seconds(settings.classes[f.request_class].target) / 4);
  }

  // What a call costs its worker: as hints say, which no queue lengthens, else as answers took.
  double work_of(const Function& f) const { return f.work_s.value > 0 ? f.work_s.value : run_seconds(f); }

  void learn_function(const Request& r) {
    auto [it, fresh] = functions.try_emplace(r.function);
    Function& f = it->second;
    if (fresh) f.id = r.function, f.calls.at = now, f.calls.since = start;
    f.request_class = r.request_class;
    f.needed = std::max(f.needed, r.deadline);
    f.lanes = std::max(1.0, std::floor(sane(r.lanes, 1)));
    f.memory_mb = sane(r.memory_mb, 0);
    f.calls.memory = memory;
    f.calls.add(now, 1);
    if (r.work_hint) {
      Mean& usual = class_work_s[r.request_class];
      usual.add(seconds(*r.work_hint), -1);
      f.work_s.add(seconds(*r.work_hint), usual.value);
    }
  }

  // What a tenant asks beyond its share is worth little. This front end's part of a share is its part of all
  // calls as told by peers; unheard, an equal one, but never so that own traffic, which may be most of all,
  // counts as mostly over.
  bool over_share(const Request& r) {
    requests.add(now, 1);
    if (!r.tenant || *r.tenant >= shares.size() || settings.over_share_worth >= 1) return false;
    const Tenant& tenant = settings.tenants[*r.tenant];
    const double own = requests.per_second(now);
    const bool heard = settings.replicas <= 1 || !peers.empty();
    const double rate = std::max(tenant.quota_per_s / crowd, heard ? 0 : kUnheardPart * tenant.share * own);
    Share& s = shares[*r.tenant];
    s.left = std::min(std::max(1.0, rate * kShareBurst), s.left + rate * seconds(now - s.at));
    s.at = now;
    if (s.left < 1) return true;
    s.left -= 1;
    return false;
  }

  void tell_peers() {
    if (!settings.bounds.peers || settings.replicas <= 1) return;
    const auto rate = static_cast<std::uint32_t>(std::min(1e9, requests.per_second(now) * 1000));
    std::array<std::byte, 4> bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<std::byte>(rate >> (24 - 8 * i));
    if (settings.replicas <= kPeersTold + 1) return sink.send_to_peer(std::nullopt, bytes);
    for (std::size_t i = 0; i < kPeersTold; ++i)
      if (const auto peer = static_cast<std::uint32_t>(random.below(settings.replicas));
          peer != settings.replica_index)
        sink.send_to_peer(peer, bytes);
  }

  // All front ends' calls for each own one: from the mean of what peers told, else all are as busy as this.
  void weigh_crowd() {
    const double own = requests.per_second(now);
    memory = std::clamp(kCallsToJudge / std::max(own, 1e-9), seconds(kDemandMemory), seconds(kLongestMemory));
    requests.memory = served_weight.memory = memory;
    double others = 0;
    std::erase_if(peers, [&](auto& told) { return now - told.second.first >= kPeerStands; });
    for (const auto& [peer, told] : peers) others += told.second / static_cast<double>(peers.size());
    const double count = std::max(1U, settings.replicas);
    crowd = peers.empty() || own <= 0 ? count : 1 + others * (count - 1) / own;
  }

  void peer_told(const PeerMessage& message) {
    if (message.bytes.size() != sizeof(std::uint32_t)) return;
    std::uint32_t rate = 0;
    for (std::byte b : message.bytes) rate = (rate << 8) | std::to_integer<std::uint32_t>(b);
    peers[message.from] = {now, rate / 1000.0};
  }

  // Worth of serving it, for each second of a worker's core where the goal counts requests.
  double value(const Open& o) {
    const double worth = class_of(o.request).worth * (o.over_share ? settings.over_share_worth : 1);
    return settings.worth_by_work ? worth : worth / run_seconds(functions[o.request.function]);
  }

  // Mean work of a send, by class, as the cold rule weighs it.
  double weight(ClassIndex c) const { return class_run_s[c].value > 0 ? class_run_s[c].value : 0.2; }

  // ---- Beliefs ----------------------------------------------------------------------------------

  bool believed_warm(const Pair& p) const {
    return p.copies > 0 && (p.in_flight > 0 || now - p.seen < settings.instances.keep_alive);
  }
  bool loading(const Pair& p) const { return p.ordered > 0 && now - p.ordered_at < kOrderLost; }

  // A copy believed warm was not there. Eviction and a new release look alike from here: both void what is
  // believed elsewhere. Also guards against others' releases; may hurt where workers evict often.
  void saw_cold(Function& f, WorkerId at, Time sent) {
    for (auto& [id, p] : f.pairs)
      if (id == at || (p.seen <= sent && !p.in_flight)) p.copies = 0;
  }

  void suspect(WorkerId id, const char* why) {
    Worker& worker = workers[id];
    if (worker.suspect) return;
    worker.suspect = true;
    worker.suspected_at = now;
    const bool can_ask = settings.instances.orders || settings.bounds.probes;
    worker.asked = can_ask ? now - kAskSuspectEvery : now;
    sink.log("worker " + std::to_string(static_cast<std::uint32_t>(id)) + " suspect: " + why);
    start_sweep();
  }

  // It answers again. What died in between came back empty and cold, whether or not the list says so yet.
  void trust(WorkerId id, bool restarted) {
    Worker& worker = workers[id];
    if (!std::exchange(worker.suspect, false) || !restarted) return;
    forget_worker(id);
    chill(worker, std::max(now, worker.cold_since.value_or(now)));
  }

  // ---- Greedy plan ------------------------------------------------------------------------------

  void match(Function& f, WorkerId id, Worker& worker) {
    const double matched = std::min(worker.flow, f.flow);
    const double copies = std::min(
        {std::ceil(matched / f.lanes), std::floor(worker.slots), static_cast<double>(kMostInstances)});
    worker.flow -= matched;
    f.flow -= matched;
    worker.slots -= copies;
    f.pairs[id].target = static_cast<int>(copies);
  }

  // A long life meets many workers and functions: what is long gone and nothing open can name is dropped.
  void forget_old() {
    const Time old = now - kForgetAfter;
    for (auto& [id, f] : functions)
      std::erase_if(f.pairs, [&](auto& pair) {
        const Pair& p = pair.second;
        return !p.in_flight && !p.target && std::max({p.seen, p.ordered_at, p.full_until}) < old;
      });
    std::erase_if(functions, [&](auto& f) { return f.second.pairs.empty() && f.second.needed < old; });
    std::erase_if(workers, [&](auto& w) {
      const bool drop =
          w.second.entry.state == WorkerState::kGone && !w.second.in_flight && w.second.heard < old;
      if (drop) leases.forget(w.first);
      return drop;
    });
  }

  void replan() {
    forget_old();
    weigh_crowd();
    double total = 0, calls = 0, sizes_sum = 0, share = 0;
    std::vector<Function*> wanted;
    for (auto& [id, f] : functions) {
      for (auto& [wid, pair] : f.pairs) {
        pair.current = std::exchange(pair.target, 0) > 0;
        pair.order_waits = 0;
      }
      f.calls.memory = memory;
      const double rate = f.calls.per_second(now) * crowd;
      f.flow = rate * work_of(f);
      total += f.flow;
      calls += f.calls.mass;
      if (f.flow <= 0 || rate * seconds(settings.instances.keep_alive) < kCallsToHold) continue;
      wanted.push_back(&f);
      sizes_sum += f.memory_mb;
    }
    total *= 1 + kDoubt / std::max(calls, 1e-9);
    std::vector<std::pair<WorkerId, Worker*>> fleet;
    for (auto& [id, worker] : workers)
      if (ready(worker) && !worker.suspect && usable(id)) {
        fleet.emplace_back(id, &worker);
        share += pace(worker);
      }
    const double remembered = ready_count * std::exp(-seconds(kReplanEvery) / memory);
    ready_count = std::max({1.0, remembered, static_cast<double>(fleet.size())});
    for (auto& [id, worker] : fleet) {
      worker->flow = kFlowHeadroom * total * pace(*worker) / std::max(share, 1e-9);
      const auto& sizes = settings.instances.memory_mb_by_kind;
      const double size = worker->entry.kind < sizes.size() ? sizes[worker->entry.kind] : 0;
      worker->slots = sizes_sum > 0 && size > 0
                          ? std::max(1.0, size / (sizes_sum / static_cast<double>(wanted.size())))
                          : static_cast<double>(wanted.size());
    }
    std::stable_sort(wanted.begin(), wanted.end(), [](auto* a, auto* b) { return a->flow > b->flow; });
    for (Function* f : wanted)  // current pairs that still get flow are kept first
      for (auto& [id, pair] : f->pairs) {
        Worker& worker = workers[id];
        if (pair.current && ready(worker) && !worker.suspect && usable(id) && f->flow > 0 &&
            worker.flow > 0 && worker.slots >= 1)
          match(*f, id, worker);
      }
    while (true) {
      const auto f =
          std::max_element(wanted.begin(), wanted.end(), [](auto* a, auto* b) { return a->flow < b->flow; });
      if (f == wanted.end() || (*f)->flow <= 1e-9) break;
      // The paper maximises min(worker flow, function flow): all workers that can take the whole function
      // tie. Ties go to the first by hash, so that front ends share copies without talking.
      const std::pair<WorkerId, Worker*>* best = nullptr;
      auto rank = [&](const std::pair<WorkerId, Worker*>& w) {
        return std::tuple(std::min(w.second->flow, (*f)->flow), affinity((*f)->id, w.first));
      };
      for (const auto& w : fleet) {
        if (w.second->slots < 1 || w.second->flow <= 1e-9) continue;
        const auto p = (*f)->pairs.find(w.first);
        if (p != (*f)->pairs.end() && (p->second.target > 0 || p->second.full_until > now)) continue;
        if (!best || rank(w) > rank(*best)) best = &w;
      }
      if (best)
        match(**f, best->first, *best->second);
      else
        (*f)->flow = 0;
    }
    place_orders(wanted);
  }

  // ---- Orders -----------------------------------------------------------------------------------

  void place_orders(const std::vector<Function*>& wanted) {
    for (Function* f : wanted)
      for (auto& [id, pair] : f->pairs) {
        if (pair.target <= 0 || !workers[id].known) continue;
        const bool stands = believed_warm(pair) && pair.copies >= pair.target;
        const bool ageing = now - pair.seen > from_seconds(kRenewAt * seconds(settings.instances.keep_alive));
        const bool wanted_now = !stands || (ageing && pair.in_flight == 0);
        if (wanted_now && random.unit() < kOrdersShared / crowd) order(*f, id, pair.target, false);
      }
    for (auto& [fid, f] : functions)
      for (auto& [id, pair] : f.pairs) {
        pair.unpaired = pair.target > 0 ? 0 : pair.unpaired + 1;
        const bool drop =
            pair.placed && pair.unpaired >= kReplansToDrop && believed_warm(pair) && !pair.in_flight;
        if (!drop || settings.instances.idle_memory_cost <= 0 || !may_start_work(id)) continue;
        sink.release(id, fid);
        pair.copies = 0, pair.placed = false;
      }
  }

  // The only gate for hold orders. Rules: drains, and the ration.
  bool order(Function& f, WorkerId id, int count, bool asked_for) {
    Worker& worker = workers[id];
    Pair& pair = f.pairs[id];
    if (!settings.instances.orders || !ready(worker) || worker.suspect) return false;
    if (!leases.holds(id, now)) {
      pair.order_waits = count;
      ask_for_lease(id);
      return false;
    }
    if (loading(pair) || pair.full_until > now) return false;
    if (!within_ration(asked_for ? 1.0 : kPlannedRation)) return false;
    pair.ordered = std::clamp(count, 1, kMostInstances);
    pair.ordered_at = now;
    orders.push_back(now);
    sink.hold(id, f.id, pair.ordered);
    return true;
  }

  void place_waiting_orders(WorkerId id) {
    for (auto& [fid, f] : functions) {
      const auto p = f.pairs.find(id);
      if (p == f.pairs.end()) continue;
      if (const int count = std::exchange(p->second.order_waits, 0); count > 0) order(f, id, count, false);
    }
  }

  // Rule 5. The edges of the window are taken against us: orders count a little longer than requests.
  bool within_ration(double part) {
    const Instances& in = settings.instances;
    if (in.order_window <= 0ns) return true;
    while (!orders.empty() && now - orders.front() > in.order_window + settings.tick) orders.pop_front();
    while (!arrivals.empty() && now - arrivals.front() >= in.order_window - settings.tick)
      arrivals.pop_front();
    const double allowed = in.order_floor + in.orders_per_request * static_cast<double>(arrivals.size());
    return static_cast<double>(orders.size()) + 1 <= allowed * part;
  }

  void hold_answered(const HoldResult& result) {
    const auto w = workers.find(result.worker);
    const auto fit = functions.find(result.function);
    if (w == workers.end() || fit == functions.end()) return;
    Function& f = fit->second;
    Pair& pair = f.pairs[result.worker];
    // An order for no copies is a question, and a refusal of one can only mean a drain.
    const bool question = result.asked.value_or(pair.ordered) == 0;
    if (!question) pair.ordered = 0;
    if (question && result.outcome == Outcome::kFull) leases.refused(result.worker, now - result.took, now);
    // What stands there is not known by it: the worker is asked.
    if (result.outcome == Outcome::kConnectFailed || result.outcome == Outcome::kReset)
      return suspect(result.worker, "order not delivered");
    if (result.outcome == Outcome::kTimeout) return;
    w->second.heard = now;
    // Only a copy that should stand and is gone tells of a restart. Of another function the answer tells
    // nothing.
    const bool away = !leases.list_is_valid(now);  // then the list would not have told of a restart
    trust(result.worker, away || (believed_warm(pair) && result.instances <= 0));
    pair.copies = std::max(0, result.instances);
    if (pair.copies > 0) pair.seen = now, pair.placed = true;
    if (result.outcome == Outcome::kFull) pair.full_until = now + jittered(kNoMemoryRest);
    release_held();
  }

  // ---- Routing ----------------------------------------------------------------------------------

  bool rested(const Open& o, WorkerId id, const Worker& worker, const Function& f) const {
    const auto p = f.pairs.find(id);
    if (worker.full_until > now || (p != f.pairs.end() && p->second.full_until > now)) return false;
    return worker.in_flight < worker.limit && !been_at(o, id);
  }

  // It may have run there: another attempt goes elsewhere.
  static bool been_at(const Open& o, WorkerId id) {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [&](const Attempt& a) { return a.worker == id && a.fate != Fate::kNeverRan; });
  }

  // A random one, of those that need not be asked for a lease first where there are any.
  WorkerId draw(const std::vector<WorkerId>& warm) {
    if (leases.list_is_valid(now)) return warm[random.below(warm.size())];
    std::vector<WorkerId> leased;
    for (const WorkerId id : warm)
      if (leases.holds(id, now)) leased.push_back(id);
    const std::vector<WorkerId>& from = leased.empty() ? warm : leased;
    return from[random.below(from.size())];
  }

  std::optional<WorkerId> choose(const Open& o, Function& f, bool suspects_too) {
    std::vector<WorkerId> calm, roomy;  // warm with a free lane; the slow ones apart
    std::optional<WorkerId> target, hashed;
    std::pair<bool, int> target_load;  // erring or not, then by load
    std::pair<bool, std::uint64_t> hashed_rank;
    for (auto& [id, worker] : workers) {
      if (!ready(worker) || (worker.suspect && !suspects_too) || !rested(o, id, worker, f)) continue;
      if (!usable(id) || !may_send(o, worker)) continue;
      const auto it = f.pairs.find(id);
      Pair* pair = it == f.pairs.end() ? nullptr : &it->second;
      const bool errs = erring(worker);
      if (pair && believed_warm(*pair) && pair->in_flight < pair->copies * f.lanes)
        (worker.slowness < kSlow && !errs ? calm : roomy).push_back(id);
      const bool waits =
          settings.instances.on_miss == MissMode::kMiss && pair && !believed_warm(*pair) && loading(*pair);
      if (pair && (pair->target > 0 || believed_warm(*pair)) && !waits &&
          (!target || std::pair(errs, pair->in_flight) < target_load))
        target = id, target_load = {errs, pair->in_flight};
      if (!waits && (!hashed || std::pair(!errs, affinity(f.id, id)) > hashed_rank))
        hashed = id, hashed_rank = {!errs, affinity(f.id, id)};
    }
    if (!calm.empty()) return draw(calm);
    if (!roomy.empty()) return draw(roomy);
    if (target) return target;
    // With a place that soon has it, or with the whole fleet short, the request waits here for room: one more
    // load elsewhere would add to the jam that it flees from. So it does where it would only find a miss. But
    // never for a place that this request may not go to again.
    const bool stay = settings.instances.on_miss == MissMode::kMiss || crowd <= kMany || fleet_is_short();
    const bool placed = std::any_of(f.pairs.begin(), f.pairs.end(), [&](auto& p) {
      const Worker& worker = workers[p.first];
      const bool coming =
          loading(p.second) || (p.second.in_flight > 0 && settings.instances.on_miss == MissMode::kLoad);
      return ready(worker) && !worker.suspect && usable(p.first) && !been_at(o, p.first) &&
             (coming || (stay && believed_warm(p.second)));
    });
    if (placed) return std::nullopt;
    return hashed;
  }

  // Most workers have no room: the whole fleet is short, not just the places of one function.
  bool fleet_is_short() const {
    double room = 0;
    for (const auto& [id, w] : workers)
      room += ready(w) && !w.suspect && usable(id) && w.full_until <= now && w.in_flight < w.limit;
    return 2 * room < ready_count;
  }

  // Sends the request, or keeps it for the sweep to try again, or ends it when nothing can serve it.
  void place(Open& o) {
    if (o.answered || o.streaming) return;
    Function& f = functions[o.request.function];
    if (may_attempt(o)) {
      const bool suspects_only = std::none_of(workers.begin(), workers.end(),
                                              [&](auto& w) { return ready(w.second) && !w.second.suspect; });
      const std::optional<WorkerId> to = choose(o, f, suspects_only);
      if (to && leases.holds(*to, now)) return send(o, f, *to);
      if (to) ask_for_lease(*to);
    }
    if (o.out == 0) {
      const Duration patience = from_seconds(kWaitShare * seconds(class_of(o.request).target));
      const bool hopeless = now - o.arrived > patience && may_refuse(o);
      if (!may_attempt(o) || hopeless || o.request.deadline - now <= kHoldBack + settings.tick)
        return settle(o);
      start_sweep();
    }
  }

  void take(const Request& request) {
    if (request.request_class >= settings.classes.size()) return;
    auto [it, fresh] = open.try_emplace(request.id);
    if (!fresh) return;
    Open& o = it->second;
    o.request = request;
    o.arrived = now;
    if (settings.instances.order_window > 0ns) arrivals.push_back(now);
    learn_function(request);
    const Duration left = std::max<Duration>(0ns, request.deadline - now);
    sink.start_timer(left, kDeadlineTokens | static_cast<std::uint32_t>(request.id));
    o.over_share = over_share(request);
    if (o.over_share && fleet_is_short() && may_refuse(o)) settle(o);
    place(o);
    discard(it);
  }

  // The only gate for sends.
  void send(Open& o, Function& f, WorkerId id) {
    Worker& worker = workers[id];
    Pair& pair = f.pairs[id];
    if (warmth(worker) < 1) worker.credit -= weight(o.request.request_class);
    if (worker.in_flight++ == 0) worker.heard = now;
    ++pair.in_flight;
    ++o.out;
    o.attempts.push_back({id, now, Fate::kOut, believed_warm(pair), false});
    start_sweep();
    sink.send(o.request.id, id, 0ns);
  }

  void release_held() {
    std::vector<std::tuple<double, Time, RequestId>> held;  // the dearest first, then the oldest
    for (auto& [id, o] : open)
      if (o.out == 0 && !o.answered && !o.streaming) held.emplace_back(-value(o), o.arrived, id);
    std::sort(held.begin(), held.end());
    for (const auto& [worth, arrived, id] : held)
      if (auto it = open.find(id); it != open.end()) place(it->second), discard(it);
  }

  // ---- Attempts ---------------------------------------------------------------------------------

  void returned(const AttemptResult& r) {
    const auto it = open.find(r.request);
    if (it == open.end() || r.attempt >= it->second.attempts.size()) return;
    Open& o = it->second;
    Attempt& a = o.attempts[r.attempt];
    if (a.fate != Fate::kOut || a.worker != r.worker) return;
    Function& f = functions[o.request.function];
    Pair& pair = f.pairs[a.worker];
    Worker& worker = workers[a.worker];
    --worker.in_flight, --pair.in_flight, --o.out;
    const bool load_failed = r.found == Found::kLoadFailed;
    const bool proof = r.outcome == Outcome::kFull || r.outcome == Outcome::kConnectFailed ||
                       r.outcome == Outcome::kNotRun || r.outcome == Outcome::kMiss;
    a.fate = proof ? Fate::kNeverRan : Fate::kMayHaveRun;
    if (r.outcome == Outcome::kOk || r.outcome == Outcome::kError || r.outcome == Outcome::kFull ||
        r.outcome == Outcome::kMiss)
      worker.heard = now, trust(a.worker, !leases.list_is_valid(now) && a.sent > worker.suspected_at);
    if (r.outcome == Outcome::kOk) came_back(a.worker, leases.accepted(a.worker, a.sent));
    if (r.outcome == Outcome::kOk || (r.outcome == Outcome::kError && !load_failed))
      count_answer(worker, r.outcome == Outcome::kError);
    switch (r.outcome) {
      case Outcome::kOk: served(f, pair, worker, a, r); break;
      // A refusal may be meant for one function, class or tenant only, though there is room for others.
      case Outcome::kFull: pair.full_until = now + rest(kFullRest); break;
      case Outcome::kTimeout: jammed(worker); break;
      case Outcome::kMiss:
        if (a.warm) saw_cold(f, a.worker, a.sent);
        pair.copies = 0;
        if (!load_failed || pair.target > 0) order(f, a.worker, std::max(1, pair.target), true);
        break;
      case Outcome::kError:
        if (load_failed) pair.copies = 0;
        break;
      case Outcome::kConnectFailed: suspect(a.worker, "no connection"); break;
      case Outcome::kReset: suspect(a.worker, "connection broke"); break;
      default: break;
    }
    if (r.terminal) o.answered = true;
    if (o.answered)
      cancel_rest(o);
    else if (r.outcome == Outcome::kTimeout && now + settings.tick >= o.request.deadline)
      settle(o);
    else
      place(o);
    discard(it);
  }

  void served(Function& f, Pair& pair, Worker& worker, const Attempt& a, const AttemptResult& r) {
    served_weight.add(now, weight(f.request_class));
    const bool loaded = r.found == Found::kLoaded || (r.found == Found::kNotReported && a.warm);
    if (r.found == Found::kBeganLoad && a.warm) saw_cold(f, a.worker, a.sent);
    pair.copies = std::max(pair.copies, 1);
    pair.seen = now;
    if (!loaded) return;
    const double took = seconds(r.took);
    if (took > kLateAt * seconds(settings.classes[f.request_class].target))
      jammed(worker);
    else
      worker.limit += 1 / worker.limit;
    if (f.run_s.value > 0)
      worker.slowness += kRecent * (std::clamp(took / f.run_s.value, 0.1, 10.0) - worker.slowness);
    class_run_s[f.request_class].add(took, -1);
    f.run_s.add(took, class_run_s[f.request_class].value);
  }

  // Late answers and time-outs tell of a queue at the worker, whatever made it: too much traffic, a slow
  // core, loads, or other front ends. Fewer own calls there then keep answers in time, and the rest waits
  // here, where it can still be refused. May hurt where calls are long by nature.
  void jammed(Worker& worker) {
    if (now - worker.cut_at < kCutEvery) return;
    worker.cut_at = now;
    worker.limit = std::max(1.0, std::min(worker.limit, worker.in_flight + 1.0) * kCutLate);
    worker.full_until = std::max(worker.full_until, now + rest(0ns));
  }

  // As long as the place would else get a part of a call from here: a front end with few calls has no other
  // way to send less, and one with many goes by its limit.
  Duration rest(Duration least) {
    const double usual = kRestCalls * ready_count / std::max(requests.per_second(now), 1e-9);
    return jittered(std::clamp(from_seconds(std::min(usual, seconds(kLongestRest))), least, kLongestRest));
  }

  void streams(RequestId id) {
    if (auto it = open.find(id); it != open.end()) it->second.streaming = true;
  }

  void abandon(RequestId id) {
    const auto it = open.find(id);
    if (it == open.end()) return;
    it->second.answered = true;
    cancel_rest(it->second);
    discard(it);
  }

  void probe_answered(const ProbeResult& result) {
    if (!workers.contains(result.worker)) return;
    if (result.outcome == Outcome::kOk) {
      workers[result.worker].heard = now;
      trust(result.worker, true);
    }
    lease_answered(result);
  }

  void timer(TimerToken token) {
    if (token == kReplanToken) {
      replan();
      tell_peers();
      sink.start_timer(jittered(kReplanEvery), kReplanToken);
    } else if (token == kSweepToken) {
      sweep();
    } else if (token == kListToken) {
      sink.subscribe(true);
    } else if (token >= kDeadlineTokens) {
      at_deadline(static_cast<RequestId>(static_cast<std::uint32_t>(token)));
    }
  }

  // One look, every few ticks, at what no event would tell: silence, and requests held too long.
  void sweep() {
    sweeping = false;
    std::map<WorkerId, Time> oldest;
    bool held = false;
    for (auto& [id, o] : open) {
      held |= !o.answered && o.out == 0;
      for (const Attempt& a : o.attempts)
        if (a.fate == Fate::kOut && a.warm && !a.cancelled) {
          auto [it, fresh] = oldest.try_emplace(a.worker, a.sent);
          it->second = std::min(it->second, a.sent);
        }
    }
    double usual = 0.2;
    for (const Mean& run : class_run_s) usual = std::max(usual, run.value);
    bool any_suspect = false;
    for (auto& [id, worker] : workers) {  // a long call or a jam is no silence: it is asked first
      const auto sent = oldest.find(id);
      any_suspect |= worker.suspect && ready(worker);
      if (!ready(worker) || (!worker.suspect && sent == oldest.end())) continue;
      const Time quiet = worker.suspect ? now : std::max(worker.heard, sent->second);
      const bool silent = now - quiet > kSilence + from_seconds(usual);
      if (worker.suspect ? now - worker.asked > kAskSuspectEvery : silent && worker.asked < quiet)
        ask(id, worker);
      else if (silent && now - worker.asked > kAskWait)
        suspect(id, "silent");
    }
    for (auto& [id, o] : open)  // what may have run and may not run twice waits
      if (!o.answered && class_of(o.request).semantics != Semantics::kOnce &&
          std::all_of(o.attempts.begin(), o.attempts.end(),
                      [&](auto& a) { return a.fate != Fate::kOut || workers[a.worker].suspect; }))
        cancel_rest(o);
    if (held) release_held();
    if (!open.empty() || any_suspect) start_sweep();
  }

  void start_sweep() {
    if (!std::exchange(sweeping, true)) sink.start_timer(kSweepEvery, kSweepToken);
  }

  // A sign of life that puts no load on the worker. Asked for a copy that should stand, it also tells a
  // restart, which emptied it, from a broken connection, a pause or a lost answer, which did not.
  void ask(WorkerId id, Worker& worker) {
    worker.asked = now;
    std::optional<FunctionId> about;
    Time latest{};  // the copy last seen is the least likely to have been pushed out
    for (auto& [fid, f] : functions) {
      const auto p = f.pairs.find(id);
      const bool stands = p != f.pairs.end() && believed_warm(p->second) && !p->second.ordered;
      if (!about || (stands && p->second.seen > latest)) about = fid;
      if (stands) latest = std::max(latest, p->second.seen);
    }
    if (settings.instances.orders && about)
      sink.hold(id, *about, 0);
    else if (settings.bounds.probes)
      sink.probe(id);
    else
      worker.suspect = false;  // no way to ask: the next request tries
  }

  void cancel_rest(Open& o) {
    if (!settings.bounds.may_cancel || o.streaming) return;
    for (std::size_t i = 0; i < o.attempts.size(); ++i)
      if (o.attempts[i].fate == Fate::kOut && !std::exchange(o.attempts[i].cancelled, true))
        sink.cancel(o.request.id, static_cast<AttemptNumber>(i));
  }

  void discard(std::map<RequestId, Open>::iterator it) {
    if (it->second.answered && it->second.out == 0) open.erase(it);
  }

  // ---- Rules ------------------------------------------------------------------------------------

  // Rule 2, where the next attempt may go at all.
  bool may_attempt(const Open& o) const {
    if (o.attempts.size() >= static_cast<std::size_t>(std::max(1, settings.bounds.attempts_cap)))
      return false;
    if (o.out > 0 || now >= o.request.deadline) return false;  // one attempt at a time
    return never_ran(o) || class_of(o.request).semantics != Semantics::kOnce;
  }

  static bool never_ran(const Open& o) {
    return std::all_of(o.attempts.begin(), o.attempts.end(),
                       [](auto& a) { return a.fate == Fate::kNeverRan; });
  }

  // Of its first `count` attempts.
  static const Attempt* first_that_may_have_run(const Open& o, std::size_t count) {
    const auto end = o.attempts.begin() + static_cast<std::ptrdiff_t>(count);
    const auto it =
        std::find_if(o.attempts.begin(), end, [](const Attempt& a) { return a.fate != Fate::kNeverRan; });
    return it == end ? nullptr : &*it;
  }

  // Rule 2, in time: workers drop repeats of a keyed request for so long after its first attempt.
  bool within_repeat_window(const Open& o, const Attempt& first) const {
    return now + settings.tick < first.sent + class_of(o.request).repeat_window;
  }

  // Rules 2 and 4, for one worker.
  bool may_send(const Open& o, Worker& worker) {
    const RequestClass& c = class_of(o.request);
    const Attempt* const ran = first_that_may_have_run(o, o.attempts.size());
    if (c.semantics == Semantics::kKeyed && ran) {
      const WorkerEntry& first = workers[ran->worker].entry;
      if (!within_repeat_window(o, *ran)) return false;
      if (c.group == RepeatGroup::kZone && first.zone != worker.entry.zone) return false;
      if (c.group == RepeatGroup::kCell && first.cell != worker.entry.cell) return false;
    }
    return cold_budget(worker, weight(o.request.request_class));
  }

  // Rules 1 and 2, for the time at which the bytes of an attempt leave that has waited since it was decided.
  bool may_be_sent(RequestId id, AttemptNumber number) const {
    const auto it = open.find(id);
    if (it == open.end() || number >= it->second.attempts.size()) return false;
    const Open& o = it->second;
    if (o.answered || now >= o.request.deadline) return false;
    const Attempt* const ran = first_that_may_have_run(o, number);
    return class_of(o.request).semantics != Semantics::kKeyed || !ran || within_repeat_window(o, *ran);
  }

  // A worker that starts. Credit begins at a random part of a call, so that the first calls of many front
  // ends with few each are spread as evenly as those of one with many.
  void chill(Worker& worker, Time since) {
    worker.cold_since = since;
    worker.credit = random.unit() * weight(0);
    worker.credit_at = now;
  }

  // Rule 4. What a warm worker bears is measured by what this front end has had served, per ready worker:
  // sends would count retries and refusals too, and grow just when the fleet cannot bear more. Each front
  // end gives a cold worker at most its share of that, so the sum over unseen front ends is in proportion.
  bool cold_budget(Worker& worker, double w) {
    const double share = warmth(worker);
    if (share >= 1) return true;
    const double limit = (crowd > kMany ? kColdLimitOfMany : kColdLimit) * settings.rules.overload_multiple;
    const double rate = served_weight.per_second(now) / ready_count * share * limit;
    const double most = std::max(w * 1.001, rate * seconds(settings.rules.overload_duration));
    worker.credit = std::min(most, worker.credit + rate * seconds(now - worker.credit_at));
    worker.credit_at = now;
    return worker.credit >= w;
  }

  bool may_refuse(const Open& o) const {
    const RequestClass& c = class_of(o.request);
    const bool everywhere = c.semantics == Semantics::kKeyed && c.group == RepeatGroup::kAll;
    return c.semantics == Semantics::kRepeatable || everywhere || never_ran(o);
  }

  // When to come back: a short part of the aim, in which some room comes free. Longer, and an answer that
  // could still be in time is not.
  Duration advice(const Open& o) const {
    const Duration some = from_seconds(kBackAfter * seconds(class_of(o.request).target));
    return settings.bounds.retry_after ? std::min(some, settings.bounds.max_retry_after) : 0ns;
  }

  // Rule 1. The only place that gives a final answer: a refusal where that is true, a failure otherwise.
  void settle(Open& o) {
    if (std::exchange(o.answered, true)) return;
    if (may_refuse(o))
      sink.refuse(o.request.id, advice(o));
    else
      sink.fail(o.request.id);
    cancel_rest(o);
  }

  void at_deadline(RequestId id) {
    const auto it = open.find(id);
    if (it == open.end()) return;
    if (!it->second.streaming) settle(it->second);
    discard(it);
  }
};

Dispatcher::Dispatcher(Settings settings, std::uint64_t seed, Time start, ActionSink& sink)
    : state_(std::make_unique<State>(std::move(settings), seed, start, sink)) {}
Dispatcher::~Dispatcher() = default;

void Dispatcher::on(Time now, const ListUpdate& update) { state_->at(now).update_list(update); }
void Dispatcher::on(Time now, const ListFreshness& freshness) { state_->at(now).list_freshness(freshness); }
void Dispatcher::on(Time now, const Request& request) { state_->at(now).take(request); }
void Dispatcher::on(Time now, const AttemptResult& result) { state_->at(now).returned(result); }
void Dispatcher::on(Time now, const StreamStarted& started) { state_->at(now).streams(started.request); }
void Dispatcher::on(Time now, const RequestAbandoned& abandoned) {
  state_->at(now).abandon(abandoned.request);
}
void Dispatcher::on(Time now, const HoldResult& result) { state_->at(now).hold_answered(result); }
void Dispatcher::on(Time now, const ProbeResult& result) { state_->at(now).probe_answered(result); }
void Dispatcher::on(Time now, const PeerMessage& message) { state_->at(now).peer_told(message); }
void Dispatcher::on(Time now, const TimerFired& timer) { state_->at(now).timer(timer.token); }
bool Dispatcher::may_start_work(Time now, WorkerId worker) const {
  return state_->at(now).may_start_work(worker);
}
bool Dispatcher::may_be_sent(Time now, RequestId request, AttemptNumber attempt) const {
  return state_->at(now).may_be_sent(request, attempt);
}
bool Dispatcher::list_is_valid(Time now) const { return state_->leases.list_is_valid(now); }
const LeaseCounters& Dispatcher::lease_counters() const { return state_->leases.counters(); }

}  // namespace laureltide
