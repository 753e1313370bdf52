#include "layers/scheduler.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace laureltide::layers {
namespace {

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

constexpr double kFailureWindowFactor = 0.5;  // window factor on a refusal or failure
constexpr double kSlowWindowFactor = 0.7;     // window factor on slowness
constexpr double kRecentWeight = 0.1;         // weight of a new sample in the recent mean duration
constexpr double kBaselineDrift = 1.002;      // lets the baseline drift up slowly, because stores change
constexpr Duration kCorruptReplicaCooldown =
    std::chrono::seconds(30);  // a replica that sent corrupt bytes is avoided

// splitmix64: sufficient for jitter, and deterministic for a seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  double unit() {
    std::uint64_t z = state_ += 0x9e3779b97f4a7c15;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

// Token bucket, refilled over time and by successes up to its capacity.
struct Budget {
  double tokens = 0, capacity = 0, per_s = 0;
  Time at{};
  void fill(Time now) {
    if (now > at) tokens = std::min(capacity, tokens + per_s * seconds(now - at)), at = now;
  }
  void earn(double n) { tokens = std::min(capacity, tokens + n); }
  bool spend(Time now) {
    fill(now);
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }
  Duration time_to_next() const {
    return per_s > 0 ? from_seconds(std::max(0.0, 1 - tokens) / per_s) : Duration(0);
  }
};

// Start-time fair queueing among the children of one parent: the child with the earliest virtual start time
// goes first and is charged for its cost.
template <class Key>
class FairOrder {
 public:
  void add(Key key) {
    double& tag = tags_[key];
    tag = std::max(tag, virtual_);
    ready_.emplace(tag, key);
  }
  void remove(Key key) {
    const auto it = tags_.find(key);
    if (it != tags_.end()) ready_.erase({it->second, key});
  }
  // The child has no fetches left. Its virtual time is kept for a while, so that its debt is not forgotten.
  void remove_idle(Key key) {
    remove(key);
    if (tags_.size() <= 4 * ready_.size() + 64) return;
    std::erase_if(tags_, [&](const auto& t) {
      return t.second <= virtual_ && !ready_.contains({t.second, t.first});
    });
  }
  bool empty() const { return ready_.empty(); }
  Key first() const { return ready_.begin()->second; }
  void charge(Key key, double cost) {
    const auto it = tags_.find(key);
    if (it == tags_.end()) return;
    const bool ended_attempt = ready_.erase({it->second, key}) > 0;
    virtual_ = std::max(virtual_, it->second);
    it->second += cost;
    if (ended_attempt) ready_.emplace(it->second, key);
  }

 private:
  double virtual_ = 0;
  std::map<Key, double> tags_;
  std::set<std::pair<double, Key>> ready_;
};

}  // namespace

const char* text_of(Level level) {
  switch (level) {
    case Level::kCall: return "call";
    case Level::kHold: return "hold";
    case Level::kRenewal: return "renewal";
    case Level::kPrefetch: return "prefetch";
  }
  return "unknown";
}

struct Scheduler::Impl {
  struct Attempt {
    std::uint32_t number = 0, replica = 0;
    Time since{};
    bool hedge = false;
  };
  // Queued, waiting for a retry, or with attempts in flight.
  enum class Stage { kQueued, kBackoff, kRunning };
  struct Item {
    Fetch fetch;
    Stage stage = Stage::kQueued;
    std::list<std::uint64_t>::iterator queue_position;
    std::multimap<Time, std::uint64_t>::iterator backoff_position;
    Time added{};
    std::vector<Attempt> in_flight;
    std::uint32_t failures = 0, busy_answers = 0, next_attempt = 0;
    std::optional<std::uint32_t> failed_replica;  // replica of the last failed attempt
    bool hedged = false;
  };
  struct TenantQueue {  // one tenant at one level
    std::map<std::uint64_t, std::list<std::uint64_t>> queues;
    FairOrder<std::uint64_t> fair_order;
  };
  struct LevelQueue {  // one level of one store
    std::map<std::uint32_t, TenantQueue> tenants;
    FairOrder<std::uint32_t> fair_order;
    std::set<std::uint32_t> at_limit;  // tenants at their limit of concurrent fetches
    std::set<std::pair<Time, std::uint64_t>> by_age;
    std::size_t running = 0;
    Budget bytes;
  };
  struct Replica {
    std::size_t running = 0;
    Time avoid_until{};
  };
  struct Store {
    double window = 0;
    std::size_t running = 0;
    Time cooldown_until{}, last_cut{};
    double recent_s = 0, baseline_s = 0;
    std::vector<Replica> replicas{1};
    LevelQueue levels[kLevels];
    Budget retries, hedges;
    int start_count = 0;
    bool window_full = false;  // more fetches would run with a larger window
    std::multimap<Time, std::uint64_t> backoffs;
    // Calls and holds with one attempt in flight, by start time.
    std::set<std::pair<Time, std::uint64_t>> hedgeable;
  };

  Impl(SchedulerOptions o, std::uint64_t seed) : options(o), random(seed) {}

  SchedulerOptions options;
  Random random;
  std::map<std::uint32_t, Store> stores;
  std::unordered_map<std::uint64_t, Item> items;
  std::map<std::uint32_t, std::size_t> tenant_running;
  std::map<std::uint32_t, double> weights;
  std::uint64_t retry_count = 0, hedged = 0;

  Store& store(std::uint32_t number) {
    const auto [it, fresh] = stores.try_emplace(number);
    Store& s = it->second;
    if (fresh) {
      s.window = options.initial_window;
      s.retries = {options.max_retry_tokens, options.max_retry_tokens, options.retry_tokens_per_s, {}};
      s.hedges = {options.max_hedge_tokens, options.max_hedge_tokens, 0, {}};
      for (std::size_t l = 0; l < kLevels; ++l) {
        // The burst size is one second's rate.
        const double rate = options.bytes_per_s[l];
        s.levels[l].bytes = {rate, rate, rate, {}};
      }
    }
    return s;
  }
  LevelQueue& level_queue(const Fetch& f) { return store(f.store).levels[static_cast<std::size_t>(f.level)]; }
  double weight(std::uint32_t tenant) const {
    const auto it = weights.find(tenant);
    return it == weights.end() ? 1 : it->second;
  }
  bool tenant_full(std::uint32_t tenant) const {
    if (options.max_running_per_tenant == 0) return false;
    const auto it = tenant_running.find(tenant);
    return it != tenant_running.end() && it->second >= options.max_running_per_tenant;
  }

  // ---- Queues ----

  void enqueue(std::uint64_t id, Item& item, bool in_front) {
    LevelQueue& l = level_queue(item.fetch);
    TenantQueue& tenant_queue = l.tenants[item.fetch.tenant];
    auto& queue = tenant_queue.queues[item.fetch.function];
    if (tenant_queue.queues.size() == 1 && queue.empty() && !l.at_limit.contains(item.fetch.tenant))
      l.fair_order.add(item.fetch.tenant);
    if (queue.empty()) tenant_queue.fair_order.add(item.fetch.function);
    item.queue_position = queue.insert(in_front ? queue.begin() : queue.end(), id);
    item.stage = Stage::kQueued;
    l.by_age.emplace(item.added, id);
  }
  void dequeue(std::uint64_t id, Item& item) {
    LevelQueue& l = level_queue(item.fetch);
    const auto t = l.tenants.find(item.fetch.tenant);
    const auto f = t->second.queues.find(item.fetch.function);
    f->second.erase(item.queue_position);
    l.by_age.erase({item.added, id});
    if (f->second.empty()) {
      t->second.fair_order.remove_idle(item.fetch.function);
      t->second.queues.erase(f);
    }
    if (t->second.queues.empty()) l.fair_order.remove_idle(item.fetch.tenant);
  }
  void restore_tenant(std::uint32_t tenant) {
    for (auto& [number, s] : stores)
      for (LevelQueue& l : s.levels)
        if (l.at_limit.erase(tenant) > 0 && !l.tenants[tenant].queues.empty()) l.fair_order.add(tenant);
  }

  // ---- Starting ----

  std::size_t free_slots(const Store& s, std::size_t level) const {
    const auto window = static_cast<std::size_t>(s.window);
    if (s.running >= window) return 0;
    const auto most = std::max<std::size_t>(1, static_cast<std::size_t>(s.window * options.share[level]));
    const std::size_t running = s.levels[level].running;
    return running >= most ? 0 : std::min(most - running, window - s.running);
  }
  bool within_byte_rate(LevelQueue& l, Time now) const {
    if (l.bytes.per_s <= 0) return true;
    l.bytes.fill(now);
    return l.bytes.tokens > 0;  // the last fetch may overdraw; the next waits for the refill
  }

  std::uint32_t choose_replica(const Store& s, const Item& item, Time now) {
    std::uint32_t best = 0;
    double least = 0;
    for (std::uint32_t r = 0; r < s.replicas.size(); ++r) {
      double cost = static_cast<double>(s.replicas[r].running) + random.unit() / 2;
      if (s.replicas[r].avoid_until > now) cost += 1e6;
      if (item.failed_replica == r) cost += 1e9;  // it has failed this very fetch
      for (const Attempt& a : item.in_flight)
        if (a.replica == r) cost += 1e9;
      if (r == 0 || cost < least) best = r, least = cost;
    }
    return best;
  }

  ScheduledAttempt start(Time now, Store& s, std::uint64_t id, Item& item, bool hedge) {
    const std::uint32_t replica = choose_replica(s, item, now);
    ++s.replicas[replica].running;
    ++s.running;
    LevelQueue& l = level_queue(item.fetch);
    ++l.running;
    ++tenant_running[item.fetch.tenant];
    const double cost = static_cast<double>(std::max<std::uint32_t>(item.fetch.bytes, 1));
    if (l.bytes.per_s > 0) l.bytes.tokens -= cost;
    if (item.in_flight.empty()) s.hedgeable.emplace(now, id);
    const Attempt a{item.next_attempt++, replica, now, hedge};
    item.in_flight.push_back(a);
    item.stage = Stage::kRunning;
    return {id, a.number, replica, hedge};
  }

  std::optional<ScheduledAttempt> start_from(Time now, Store& s, std::size_t level) {
    LevelQueue& l = s.levels[level];
    while (!l.fair_order.empty()) {
      const std::uint32_t tenant = l.fair_order.first();
      if (tenant_full(tenant)) {
        l.fair_order.remove(tenant);
        l.at_limit.insert(tenant);
        continue;
      }
      TenantQueue& tenant_queue = l.tenants[tenant];
      const std::uint64_t function = tenant_queue.fair_order.first();
      const std::uint64_t id = tenant_queue.queues[function].front();
      Item& item = items.at(id);
      const double cost = static_cast<double>(std::max<std::uint32_t>(item.fetch.bytes, 1));
      tenant_queue.fair_order.charge(function, cost);
      l.fair_order.charge(tenant, cost / weight(tenant));
      dequeue(id, item);
      return start(now, s, id, item, false);
    }
    return std::nullopt;
  }

  std::optional<ScheduledAttempt> start_aged(Time now, Store& s) {
    std::optional<std::pair<Time, std::uint64_t>> oldest;
    for (std::size_t level = 1; level < kLevels; ++level) {
      LevelQueue& l = s.levels[level];
      if (l.by_age.empty() || free_slots(s, level) == 0 || !within_byte_rate(l, now)) continue;
      if (now - l.by_age.begin()->first < options.aged_start_age) continue;
      if (tenant_full(items.at(l.by_age.begin()->second).fetch.tenant)) continue;
      if (!oldest || *l.by_age.begin() < *oldest) oldest = *l.by_age.begin();
    }
    if (!oldest) return std::nullopt;
    Item& item = items.at(oldest->second);
    dequeue(oldest->second, item);
    return start(now, s, oldest->second, item, false);
  }

  Duration hedge_delay(const Store& s) const {
    return std::max(options.hedge_after, from_seconds(3 * s.baseline_s));
  }
  std::optional<ScheduledAttempt> start_hedge(Time now, Store& s) {
    if (s.replicas.size() < 2 || s.hedgeable.empty() || static_cast<std::size_t>(s.window) <= s.running)
      return std::nullopt;
    while (!s.hedgeable.empty()) {
      const auto [since, id] = *s.hedgeable.begin();
      if (now - since < hedge_delay(s)) return std::nullopt;
      Item& item = items.at(id);
      if (item.fetch.level > Level::kHold || item.hedged || item.in_flight.size() != 1) {
        s.hedgeable.erase(s.hedgeable.begin());
        continue;
      }
      if (!s.hedges.spend(now)) return std::nullopt;
      s.hedgeable.erase(s.hedgeable.begin());
      item.hedged = true;
      ++hedged;
      return start(now, s, id, item, true);
    }
    return std::nullopt;
  }

  std::optional<ScheduledAttempt> next_of_store(Time now, Store& s) {
    while (!s.backoffs.empty() && s.backoffs.begin()->first <= now) {
      const std::uint64_t id = s.backoffs.begin()->second;
      s.backoffs.erase(s.backoffs.begin());
      enqueue(id, items.at(id), true);
    }
    if (s.cooldown_until > now) return std::nullopt;
    // Aged fetches get a fixed fraction of the starts, which holds under any load.
    if (s.start_count % options.aged_start_interval == options.aged_start_interval - 1)
      if (auto aged = start_aged(now, s)) return ++s.start_count, aged;
    for (std::size_t level = 0; level < kLevels; ++level) {
      if (free_slots(s, level) == 0 || !within_byte_rate(s.levels[level], now)) continue;
      if (auto started = start_from(now, s, level)) return ++s.start_count, started;
    }
    s.window_full = s.running >= static_cast<std::size_t>(s.window) &&
                    std::any_of(std::begin(s.levels), std::end(s.levels),
                                [](const LevelQueue& l) { return !l.by_age.empty(); });
    return start_hedge(now, s);
  }

  // ---- Finishing ----

  void shrink_window(Store& s, Time now, double factor) {
    if (now - s.last_cut < options.min_cut_interval) return;
    s.last_cut = now;
    s.window = std::max(options.min_window, s.window * factor);
  }
  void on_success(Store& s, Time now, Duration duration) {
    const double t = std::max(seconds(duration), 1e-6);
    s.recent_s = s.recent_s <= 0 ? t : s.recent_s + kRecentWeight * (t - s.recent_s);
    s.baseline_s =
        s.baseline_s <= 0 ? t : std::min(s.baseline_s * kBaselineDrift, std::max(s.recent_s, 1e-6));
    if (s.recent_s > options.slow_ratio * s.baseline_s)
      shrink_window(s, now, kSlowWindowFactor);
    else if (s.window_full)
      s.window = std::min(options.max_window, s.window + 1 / s.window);
    s.retries.earn(options.retries_per_success);
    s.hedges.earn(options.hedges_per_success);
  }
  void start_cooldown(Store& s, Time now, Duration requested) {
    // Jitter, so that hosts refused at the same time do not return at the same time.
    const Duration wait =
        std::min(options.max_cooldown, from_seconds(seconds(requested) * (1 + random.unit() / 2)));
    s.cooldown_until = std::max(s.cooldown_until, now + wait);
  }
  void finish_attempt(Item& item, std::size_t at) {
    Store& s = store(item.fetch.store);
    const Attempt a = item.in_flight[at];
    --s.replicas[a.replica].running;
    --s.running;
    --level_queue(item.fetch).running;
    if (item.in_flight.size() == 1 || at == 0)
      s.hedgeable.erase({item.in_flight.front().since, item.fetch.id});
    item.in_flight.erase(item.in_flight.begin() + static_cast<std::ptrdiff_t>(at));
    const auto t = tenant_running.find(item.fetch.tenant);
    if (--t->second == 0) tenant_running.erase(t);
    if (options.max_running_per_tenant > 0) restore_tenant(item.fetch.tenant);
  }
  std::vector<std::uint32_t> finish_all_attempts(Item& item) {
    std::vector<std::uint32_t> numbers;
    while (!item.in_flight.empty()) {
      numbers.push_back(item.in_flight.back().number);
      finish_attempt(item, item.in_flight.size() - 1);
    }
    return numbers;
  }
};

Scheduler::Scheduler(SchedulerOptions options, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(options, seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;

void Scheduler::set_replicas(std::uint32_t store, std::uint32_t replicas) {
  impl_->store(store).replicas.resize(std::max(1U, replicas));
}
void Scheduler::set_weight(std::uint32_t tenant, double weight) {
  impl_->weights[tenant] = std::max(weight, 1e-3);
}

bool Scheduler::add(Time now, const Fetch& fetch) {
  if (impl_->items.size() >= impl_->options.max_fetches) return false;
  const auto [it, fresh] = impl_->items.try_emplace(fetch.id);
  if (!fresh) return raise(now, fetch.id, fetch.level), true;
  it->second.fetch = fetch;
  it->second.added = now;
  impl_->enqueue(fetch.id, it->second, false);
  return true;
}

void Scheduler::raise(Time, std::uint64_t id, Level level) {
  const auto it = impl_->items.find(id);
  if (it == impl_->items.end() || it->second.fetch.level <= level) return;
  Impl::Item& item = it->second;
  switch (item.stage) {
    case Impl::Stage::kQueued:
      impl_->dequeue(id, item);
      item.fetch.level = level;
      impl_->enqueue(id, item, false);
      break;
    case Impl::Stage::kRunning:  // running attempts count at the new level
      impl_->level_queue(item.fetch).running -= item.in_flight.size();
      item.fetch.level = level;
      impl_->level_queue(item.fetch).running += item.in_flight.size();
      if (item.in_flight.size() == 1)
        impl_->store(item.fetch.store).hedgeable.emplace(item.in_flight[0].since, id);
      break;
    case Impl::Stage::kBackoff: item.fetch.level = level; break;
  }
}

std::vector<std::uint32_t> Scheduler::drop(Time, std::uint64_t id) {
  const auto it = impl_->items.find(id);
  if (it == impl_->items.end()) return {};
  Impl::Item& item = it->second;
  if (item.stage == Impl::Stage::kQueued) impl_->dequeue(id, item);
  if (item.stage == Impl::Stage::kBackoff)
    impl_->store(item.fetch.store).backoffs.erase(item.backoff_position);
  auto numbers = impl_->finish_all_attempts(item);
  impl_->items.erase(it);
  return numbers;
}

std::optional<ScheduledAttempt> Scheduler::next(Time now) {
  for (auto& [number, store] : impl_->stores)
    if (auto start = impl_->next_of_store(now, store)) return start;
  return std::nullopt;
}

AttemptVerdict Scheduler::on_attempt_ended(Time now, std::uint64_t id, std::uint32_t attempt,
                                           FetchOutcome end, Duration retry_after) {
  const auto it = impl_->items.find(id);
  if (it == impl_->items.end()) return {};
  Impl::Item& item = it->second;
  const auto at = std::find_if(item.in_flight.begin(), item.in_flight.end(),
                               [&](auto& a) { return a.number == attempt; });
  if (at == item.in_flight.end()) return {AttemptVerdict::Kind::kRetry, "", {}};
  Impl::Store& s = impl_->store(item.fetch.store);
  const Impl::Attempt ended_attempt = *at;
  impl_->finish_attempt(item, static_cast<std::size_t>(at - item.in_flight.begin()));
  if (end == FetchOutcome::kOk) {
    impl_->on_success(s, now, now - ended_attempt.since);
    AttemptVerdict done{AttemptVerdict::Kind::kDone, "", impl_->finish_all_attempts(item)};
    impl_->items.erase(it);
    return done;
  }
  const char* why = "";
  bool retryable = true;
  switch (end) {
    case FetchOutcome::kBusy:
      why = "the store turned it away";
      impl_->shrink_window(s, now, kFailureWindowFactor);
      if (retry_after > Duration(0)) impl_->start_cooldown(s, now, retry_after);
      break;
    case FetchOutcome::kBroken:
      why = "the store's answer broke off or did not come";
      impl_->shrink_window(s, now, kFailureWindowFactor);
      break;
    case FetchOutcome::kCorrupt:
      why = "the store sent other bytes than the digest names";
      s.replicas[ended_attempt.replica].avoid_until = now + kCorruptReplicaCooldown;
      break;
    case FetchOutcome::kMissing:
      why = "the store does not have it";
      retryable = s.replicas.size() > 1;  // another replica may have it
      break;
    case FetchOutcome::kRefused:
      why = "the store refuses it";
      retryable = false;
      break;
    case FetchOutcome::kOk: break;
  }
  item.failed_replica = ended_attempt.replica;
  const bool busy = end == FetchOutcome::kBusy;
  if (!ended_attempt.hedge) busy ? ++item.busy_answers : ++item.failures;
  if (!item.in_flight.empty()) return {AttemptVerdict::Kind::kRetry, why, {}};
  const SchedulerOptions& o = impl_->options;
  const bool too_long = busy && now - item.added > o.max_busy_duration;
  if (!retryable || too_long || item.failures >= static_cast<std::uint32_t>(o.max_attempts)) {
    AttemptVerdict gave_up{AttemptVerdict::Kind::kGaveUp, why, {}};
    if (retryable) gave_up.why += " (" + std::to_string(item.failures + item.busy_answers) + " attempts)";
    impl_->items.erase(it);
    return gave_up;
  }
  // Exponential backoff with jitter, extended if the retry budget is exhausted.
  const double exponential_s =
      seconds(o.initial_backoff) * std::pow(2.0, std::min(item.failures + item.busy_answers, 20U) - 1.0);
  Duration backoff =
      from_seconds(std::min(exponential_s, seconds(o.max_backoff)) * (0.5 + impl_->random.unit() / 2));
  backoff = std::max(backoff, std::min(retry_after, o.max_cooldown));
  s.retries.fill(now);
  s.retries.tokens -= 1;  // may go negative: later retries wait in turn
  if (s.retries.tokens < 0)
    backoff = std::max(backoff, from_seconds(-s.retries.tokens / std::max(o.retry_tokens_per_s, 1e-3)));
  s.retries.tokens = std::max(s.retries.tokens, -4 * o.max_retry_tokens);
  ++impl_->retry_count;
  item.stage = Impl::Stage::kBackoff;
  item.backoff_position = s.backoffs.emplace(now + backoff, id);
  return {AttemptVerdict::Kind::kRetry, why, {}};
}

std::optional<Time> Scheduler::next_wakeup(Time now) const {
  std::optional<Time> first;
  auto at = [&](Time t) {
    if (!first || t < *first) first = t;
  };
  for (const auto& [number, s] : impl_->stores) {
    bool waits = false;
    for (const Impl::LevelQueue& l : s.levels) {
      waits |= !l.by_age.empty();
      if (!l.by_age.empty() && l.bytes.per_s > 0 && l.bytes.tokens <= 0)
        at(now + from_seconds((1 - l.bytes.tokens) / l.bytes.per_s));
    }
    if (!s.backoffs.empty()) at(std::max(s.backoffs.begin()->first, s.cooldown_until));
    if (waits && s.cooldown_until > now) at(s.cooldown_until);
    if (s.replicas.size() > 1 && !s.hedgeable.empty() && s.hedges.tokens >= 1)
      at(std::max(now + std::chrono::milliseconds(1), s.hedgeable.begin()->first + impl_->hedge_delay(s)));
  }
  return first;
}

StoreState Scheduler::state(Time now, std::uint32_t store) const {
  StoreState result;
  const auto it = impl_->stores.find(store);
  if (it == impl_->stores.end()) return result;
  const Impl::Store& s = it->second;
  result.window = s.window, result.running = s.running, result.baseline_s = s.baseline_s;
  result.retry_tokens = std::max(0.0, s.retries.tokens);
  for (std::size_t l = 0; l < kLevels; ++l)
    result.waiting += result.waiting_at[l] = s.levels[l].by_age.size();
  result.waiting += s.backoffs.size();
  result.cooling_down = s.cooldown_until > now;
  return result;
}

std::size_t Scheduler::size() const { return impl_->items.size(); }
std::uint64_t Scheduler::retries() const { return impl_->retry_count; }
std::uint64_t Scheduler::hedges() const { return impl_->hedged; }

}  // namespace laureltide::layers
