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

constexpr double kCut = 0.5;           // of the window, at a refusal or break
constexpr double kSlowCut = 0.7;       // at slowness
constexpr double kRecent = 0.1;        // weight of a new fetch's time in the recent one
constexpr double kFloorDrift = 1.002;  // the usual time forgets its best slowly: stores change
constexpr Duration kBadReplica = std::chrono::seconds(30);  // a replica that sent corrupt bytes rests

// splitmix64: jitter needs no more, and the same seed gives the same waits.
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

// Tokens that trickle in and are earned, up to a most.
struct Budget {
  double tokens = 0, most = 0, per_s = 0;
  Time at{};
  void fill(Time now) {
    if (now > at) tokens = std::min(most, tokens + per_s * seconds(now - at)), at = now;
  }
  void earn(double n) { tokens = std::min(most, tokens + n); }
  bool spend(Time now) {
    fill(now);
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }
  Duration until_one() const {
    return per_s > 0 ? from_seconds(std::max(0.0, 1 - tokens) / per_s) : Duration(0);
  }
};

// Start-time fair queueing among children of one parent: the child whose next piece starts earliest in
// virtual time goes first, and pays for what it took.
template <class Key>
class Turns {
 public:
  void enter(Key key) {
    double& tag = tags_[key];
    tag = std::max(tag, virtual_);
    ready_.emplace(tag, key);
  }
  void leave(Key key) {
    const auto it = tags_.find(key);
    if (it != tags_.end()) ready_.erase({it->second, key});
  }
  void forget(Key key) {  // it has nothing any more; its debt, if any, stays for a while
    leave(key);
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
    const bool was = ready_.erase({it->second, key}) > 0;
    virtual_ = std::max(virtual_, it->second);
    it->second += cost;
    if (was) ready_.emplace(it->second, key);
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
  enum class Place { kLine, kPause, kOut };  // in its line, until it is tried again, or with attempts out
  struct Item {
    Fetch fetch;
    Place place = Place::kLine;
    std::list<std::uint64_t>::iterator in_line;
    std::multimap<Time, std::uint64_t>::iterator in_pause;
    Time added{};
    std::vector<Attempt> out;
    std::uint32_t tried = 0, turned_away = 0, next_attempt = 0;
    std::optional<std::uint32_t> bad_replica;  // of the last attempt that failed
    bool hedged = false;
  };
  struct Functions {  // of one tenant at one level
    std::map<std::uint64_t, std::list<std::uint64_t>> lines;
    Turns<std::uint64_t> turns;
  };
  struct Lane {  // one level of one store
    std::map<std::uint32_t, Functions> tenants;
    Turns<std::uint32_t> turns;
    std::set<std::uint32_t> parked;  // at their bound of fetches at once
    std::set<std::pair<Time, std::uint64_t>> by_age;
    std::size_t running = 0;
    Budget bytes;
  };
  struct Replica {
    std::size_t running = 0;
    Time bad_until{};
  };
  struct Store {
    double window = 0;
    std::size_t running = 0;
    Time rest_until{}, cut_at{};
    double recent_s = 0, usual_s = 0;
    std::vector<Replica> replicas{1};
    Lane lanes[kLevels];
    Budget repeats, hedges;
    int starts = 0;
    bool full = false;  // more would run, if the window were larger
    std::multimap<Time, std::uint64_t> pauses;
    std::set<std::pair<Time, std::uint64_t>> hedgeable;  // out alone, for calls and holds, by their start
  };

  Impl(SchedulerOptions o, std::uint64_t seed) : options(o), random(seed) {}

  SchedulerOptions options;
  Random random;
  std::map<std::uint32_t, Store> stores;
  std::unordered_map<std::uint64_t, Item> items;
  std::map<std::uint32_t, std::size_t> tenant_running;
  std::map<std::uint32_t, double> weights;
  std::uint64_t repeated = 0, hedged = 0;

  Store& store(std::uint32_t number) {
    const auto [it, fresh] = stores.try_emplace(number);
    Store& s = it->second;
    if (fresh) {
      s.window = options.first_window;
      s.repeats = {options.most_repeats, options.most_repeats, options.repeats_per_s, {}};
      s.hedges = {options.most_hedges, options.most_hedges, 0, {}};
      for (std::size_t l = 0; l < kLevels; ++l) {
        // A second's worth may go at once.
        const double rate = options.bytes_per_s[l];
        s.lanes[l].bytes = {rate, rate, rate, {}};
      }
    }
    return s;
  }
  Lane& lane(const Fetch& f) { return store(f.store).lanes[static_cast<std::size_t>(f.level)]; }
  double weight(std::uint32_t tenant) const {
    const auto it = weights.find(tenant);
    return it == weights.end() ? 1 : it->second;
  }
  bool tenant_full(std::uint32_t tenant) const {
    if (options.tenant_at_once == 0) return false;
    const auto it = tenant_running.find(tenant);
    return it != tenant_running.end() && it->second >= options.tenant_at_once;
  }

  // ---- Lines ----

  void enter(std::uint64_t id, Item& item, bool in_front) {
    Lane& l = lane(item.fetch);
    Functions& functions = l.tenants[item.fetch.tenant];
    auto& line = functions.lines[item.fetch.function];
    if (functions.lines.size() == 1 && line.empty() && !l.parked.contains(item.fetch.tenant))
      l.turns.enter(item.fetch.tenant);
    if (line.empty()) functions.turns.enter(item.fetch.function);
    item.in_line = line.insert(in_front ? line.begin() : line.end(), id);
    item.place = Place::kLine;
    l.by_age.emplace(item.added, id);
  }
  void leave_line(std::uint64_t id, Item& item) {
    Lane& l = lane(item.fetch);
    const auto t = l.tenants.find(item.fetch.tenant);
    const auto f = t->second.lines.find(item.fetch.function);
    f->second.erase(item.in_line);
    l.by_age.erase({item.added, id});
    if (f->second.empty()) {
      t->second.turns.forget(item.fetch.function);
      t->second.lines.erase(f);
    }
    if (t->second.lines.empty()) l.turns.forget(item.fetch.tenant);
  }
  void unpark(std::uint32_t tenant) {
    for (auto& [number, s] : stores)
      for (Lane& l : s.lanes)
        if (l.parked.erase(tenant) > 0 && !l.tenants[tenant].lines.empty()) l.turns.enter(tenant);
  }

  // ---- Starting ----

  std::size_t room(const Store& s, std::size_t level) const {
    const auto window = static_cast<std::size_t>(s.window);
    if (s.running >= window) return 0;
    const auto most = std::max<std::size_t>(1, static_cast<std::size_t>(s.window * options.share[level]));
    const std::size_t running = s.lanes[level].running;
    return running >= most ? 0 : std::min(most - running, window - s.running);
  }
  bool may_pay(Lane& l, Time now) const {
    if (l.bytes.per_s <= 0) return true;
    l.bytes.fill(now);
    return l.bytes.tokens > 0;  // the last one may overdraw: the next waits for it
  }

  std::uint32_t choose_replica(const Store& s, const Item& item, Time now) {
    std::uint32_t best = 0;
    double least = 0;
    for (std::uint32_t r = 0; r < s.replicas.size(); ++r) {
      double cost = static_cast<double>(s.replicas[r].running) + random.unit() / 2;
      if (s.replicas[r].bad_until > now) cost += 1e6;
      if (item.bad_replica == r) cost += 1e9;  // it is known to have failed just this
      for (const Attempt& a : item.out)
        if (a.replica == r) cost += 1e9;
      if (r == 0 || cost < least) best = r, least = cost;
    }
    return best;
  }

  ScheduledAttempt start(Time now, Store& s, std::uint64_t id, Item& item, bool hedge) {
    const std::uint32_t replica = choose_replica(s, item, now);
    ++s.replicas[replica].running;
    ++s.running;
    Lane& l = lane(item.fetch);
    ++l.running;
    ++tenant_running[item.fetch.tenant];
    const double cost = static_cast<double>(std::max<std::uint32_t>(item.fetch.bytes, 1));
    if (l.bytes.per_s > 0) l.bytes.tokens -= cost;
    if (item.out.empty()) s.hedgeable.emplace(now, id);
    const Attempt a{item.next_attempt++, replica, now, hedge};
    item.out.push_back(a);
    item.place = Place::kOut;
    return {id, a.number, replica, hedge};
  }

  std::optional<ScheduledAttempt> start_from(Time now, Store& s, std::size_t level) {
    Lane& l = s.lanes[level];
    while (!l.turns.empty()) {
      const std::uint32_t tenant = l.turns.first();
      if (tenant_full(tenant)) {
        l.turns.leave(tenant);
        l.parked.insert(tenant);
        continue;
      }
      Functions& functions = l.tenants[tenant];
      const std::uint64_t function = functions.turns.first();
      const std::uint64_t id = functions.lines[function].front();
      Item& item = items.at(id);
      const double cost = static_cast<double>(std::max<std::uint32_t>(item.fetch.bytes, 1));
      functions.turns.charge(function, cost);
      l.turns.charge(tenant, cost / weight(tenant));
      leave_line(id, item);
      return start(now, s, id, item, false);
    }
    return std::nullopt;
  }

  std::optional<ScheduledAttempt> start_aged(Time now, Store& s) {
    std::optional<std::pair<Time, std::uint64_t>> oldest;
    for (std::size_t level = 1; level < kLevels; ++level) {
      Lane& l = s.lanes[level];
      if (l.by_age.empty() || room(s, level) == 0 || !may_pay(l, now)) continue;
      if (now - l.by_age.begin()->first < options.aged_after) continue;
      if (tenant_full(items.at(l.by_age.begin()->second).fetch.tenant)) continue;
      if (!oldest || *l.by_age.begin() < *oldest) oldest = *l.by_age.begin();
    }
    if (!oldest) return std::nullopt;
    Item& item = items.at(oldest->second);
    leave_line(oldest->second, item);
    return start(now, s, oldest->second, item, false);
  }

  Duration hedge_wait(const Store& s) const {
    return std::max(options.hedge_after, from_seconds(3 * s.usual_s));
  }
  std::optional<ScheduledAttempt> start_hedge(Time now, Store& s) {
    if (s.replicas.size() < 2 || s.hedgeable.empty() || static_cast<std::size_t>(s.window) <= s.running)
      return std::nullopt;
    while (!s.hedgeable.empty()) {
      const auto [since, id] = *s.hedgeable.begin();
      if (now - since < hedge_wait(s)) return std::nullopt;
      Item& item = items.at(id);
      if (item.fetch.level > Level::kHold || item.hedged || item.out.size() != 1) {
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

  std::optional<ScheduledAttempt> next_of(Time now, Store& s) {
    while (!s.pauses.empty() && s.pauses.begin()->first <= now) {
      const std::uint64_t id = s.pauses.begin()->second;
      s.pauses.erase(s.pauses.begin());
      enter(id, items.at(id), true);
    }
    if (s.rest_until > now) return std::nullopt;
    // Reserved for the aged by count, not by time: under any load one start in so many is theirs.
    if (s.starts % options.aged_every == options.aged_every - 1)
      if (auto aged = start_aged(now, s)) return ++s.starts, aged;
    for (std::size_t level = 0; level < kLevels; ++level) {
      if (room(s, level) == 0 || !may_pay(s.lanes[level], now)) continue;
      if (auto started = start_from(now, s, level)) return ++s.starts, started;
    }
    s.full =
        s.running >= static_cast<std::size_t>(s.window) &&
        std::any_of(std::begin(s.lanes), std::end(s.lanes), [](const Lane& l) { return !l.by_age.empty(); });
    return start_hedge(now, s);
  }

  // ---- Ends ----

  void cut(Store& s, Time now, double by) {
    if (now - s.cut_at < options.cut_every) return;
    s.cut_at = now;
    s.window = std::max(options.least_window, s.window * by);
  }
  void served(Store& s, Time now, Duration took) {
    const double t = std::max(seconds(took), 1e-6);
    s.recent_s = s.recent_s <= 0 ? t : s.recent_s + kRecent * (t - s.recent_s);
    s.usual_s = s.usual_s <= 0 ? t : std::min(s.usual_s * kFloorDrift, std::max(s.recent_s, 1e-6));
    if (s.recent_s > options.slow_at * s.usual_s)
      cut(s, now, kSlowCut);
    else if (s.full)
      s.window = std::min(options.max_window, s.window + 1 / s.window);
    s.repeats.earn(options.repeats_per_success);
    s.hedges.earn(options.hedges_per_success);
  }
  void rest(Store& s, Time now, Duration asked) {
    // Boxes that were refused together do not come back together.
    const Duration wait =
        std::min(options.longest_rest, from_seconds(seconds(asked) * (1 + random.unit() / 2)));
    s.rest_until = std::max(s.rest_until, now + wait);
  }
  void end_attempt(Item& item, std::size_t at) {
    Store& s = store(item.fetch.store);
    const Attempt a = item.out[at];
    --s.replicas[a.replica].running;
    --s.running;
    --lane(item.fetch).running;
    if (item.out.size() == 1 || at == 0) s.hedgeable.erase({item.out.front().since, item.fetch.id});
    item.out.erase(item.out.begin() + static_cast<std::ptrdiff_t>(at));
    const auto t = tenant_running.find(item.fetch.tenant);
    if (--t->second == 0) tenant_running.erase(t);
    if (options.tenant_at_once > 0) unpark(item.fetch.tenant);
  }
  std::vector<std::uint32_t> end_all(Item& item) {
    std::vector<std::uint32_t> numbers;
    while (!item.out.empty()) {
      numbers.push_back(item.out.back().number);
      end_attempt(item, item.out.size() - 1);
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
  if (impl_->items.size() >= impl_->options.most_waiting) return false;
  const auto [it, fresh] = impl_->items.try_emplace(fetch.id);
  if (!fresh) return raise(now, fetch.id, fetch.level), true;
  it->second.fetch = fetch;
  it->second.added = now;
  impl_->enter(fetch.id, it->second, false);
  return true;
}

void Scheduler::raise(Time, std::uint64_t id, Level level) {
  const auto it = impl_->items.find(id);
  if (it == impl_->items.end() || it->second.fetch.level <= level) return;
  Impl::Item& item = it->second;
  switch (item.place) {
    case Impl::Place::kLine:
      impl_->leave_line(id, item);
      item.fetch.level = level;
      impl_->enter(id, item, false);
      break;
    case Impl::Place::kOut:  // what runs counts at its new level
      impl_->lane(item.fetch).running -= item.out.size();
      item.fetch.level = level;
      impl_->lane(item.fetch).running += item.out.size();
      if (item.out.size() == 1) impl_->store(item.fetch.store).hedgeable.emplace(item.out[0].since, id);
      break;
    case Impl::Place::kPause: item.fetch.level = level; break;
  }
}

std::vector<std::uint32_t> Scheduler::drop(Time, std::uint64_t id) {
  const auto it = impl_->items.find(id);
  if (it == impl_->items.end()) return {};
  Impl::Item& item = it->second;
  if (item.place == Impl::Place::kLine) impl_->leave_line(id, item);
  if (item.place == Impl::Place::kPause) impl_->store(item.fetch.store).pauses.erase(item.in_pause);
  auto numbers = impl_->end_all(item);
  impl_->items.erase(it);
  return numbers;
}

std::optional<ScheduledAttempt> Scheduler::next(Time now) {
  for (auto& [number, store] : impl_->stores)
    if (auto start = impl_->next_of(now, store)) return start;
  return std::nullopt;
}

Verdict Scheduler::on_attempt_ended(Time now, std::uint64_t id, std::uint32_t attempt, FetchOutcome end,
                                    Duration retry_after) {
  const auto it = impl_->items.find(id);
  if (it == impl_->items.end()) return {};
  Impl::Item& item = it->second;
  const auto at =
      std::find_if(item.out.begin(), item.out.end(), [&](auto& a) { return a.number == attempt; });
  if (at == item.out.end()) return {Verdict::Kind::kAgain, "", {}};
  Impl::Store& s = impl_->store(item.fetch.store);
  const Impl::Attempt was = *at;
  impl_->end_attempt(item, static_cast<std::size_t>(at - item.out.begin()));
  if (end == FetchOutcome::kOk) {
    impl_->served(s, now, now - was.since);
    Verdict done{Verdict::Kind::kDone, "", impl_->end_all(item)};
    impl_->items.erase(it);
    return done;
  }
  const char* why = "";
  bool again = true;
  switch (end) {
    case FetchOutcome::kBusy:
      why = "the store turned it away";
      impl_->cut(s, now, kCut);
      if (retry_after > Duration(0)) impl_->rest(s, now, retry_after);
      break;
    case FetchOutcome::kBroken:
      why = "the store's answer broke off or did not come";
      impl_->cut(s, now, kCut);
      break;
    case FetchOutcome::kCorrupt:
      why = "the store sent other bytes than the digest names";
      s.replicas[was.replica].bad_until = now + kBadReplica;
      break;
    case FetchOutcome::kMissing:
      why = "the store does not have it";
      again = s.replicas.size() > 1;  // another replica may
      break;
    case FetchOutcome::kRefused:
      why = "the store refuses it";
      again = false;
      break;
    case FetchOutcome::kOk: break;
  }
  item.bad_replica = was.replica;
  const bool busy = end == FetchOutcome::kBusy;
  if (!was.hedge) busy ? ++item.turned_away : ++item.tried;
  if (!item.out.empty()) return {Verdict::Kind::kAgain, why, {}};
  const SchedulerOptions& o = impl_->options;
  const bool too_long = busy && now - item.added > o.longest_busy;
  if (!again || too_long || item.tried >= static_cast<std::uint32_t>(o.most_attempts)) {
    Verdict gave_up{Verdict::Kind::kGaveUp, why, {}};
    if (again) gave_up.why += " (" + std::to_string(item.tried + item.turned_away) + " attempts)";
    impl_->items.erase(it);
    return gave_up;
  }
  // Full jitter over a doubling pause, and behind that whatever the budget of repeats asks for.
  const double doubled =
      seconds(o.first_pause) * std::pow(2.0, std::min(item.tried + item.turned_away, 20U) - 1.0);
  Duration pause =
      from_seconds(std::min(doubled, seconds(o.longest_pause)) * (0.5 + impl_->random.unit() / 2));
  pause = std::max(pause, std::min(retry_after, o.longest_rest));
  s.repeats.fill(now);
  s.repeats.tokens -= 1;  // below nothing: those behind it wait in turn
  if (s.repeats.tokens < 0)
    pause = std::max(pause, from_seconds(-s.repeats.tokens / std::max(o.repeats_per_s, 1e-3)));
  s.repeats.tokens = std::max(s.repeats.tokens, -4 * o.most_repeats);
  ++impl_->repeated;
  item.place = Impl::Place::kPause;
  item.in_pause = s.pauses.emplace(now + pause, id);
  return {Verdict::Kind::kAgain, why, {}};
}

std::optional<Time> Scheduler::wake(Time now) const {
  std::optional<Time> first;
  auto at = [&](Time t) {
    if (!first || t < *first) first = t;
  };
  for (const auto& [number, s] : impl_->stores) {
    bool waits = false;
    for (const Impl::Lane& l : s.lanes) {
      waits |= !l.by_age.empty();
      if (!l.by_age.empty() && l.bytes.per_s > 0 && l.bytes.tokens <= 0)
        at(now + from_seconds((1 - l.bytes.tokens) / l.bytes.per_s));
    }
    if (!s.pauses.empty()) at(std::max(s.pauses.begin()->first, s.rest_until));
    if (waits && s.rest_until > now) at(s.rest_until);
    if (s.replicas.size() > 1 && !s.hedgeable.empty() && s.hedges.tokens >= 1)
      at(std::max(now + std::chrono::milliseconds(1), s.hedgeable.begin()->first + impl_->hedge_wait(s)));
  }
  return first;
}

StoreState Scheduler::state(Time now, std::uint32_t store) const {
  StoreState out;
  const auto it = impl_->stores.find(store);
  if (it == impl_->stores.end()) return out;
  const Impl::Store& s = it->second;
  out.window = s.window, out.running = s.running, out.usual_s = s.usual_s;
  out.repeats_left = std::max(0.0, s.repeats.tokens);
  for (std::size_t l = 0; l < kLevels; ++l) out.waiting += out.waiting_at[l] = s.lanes[l].by_age.size();
  out.waiting += s.pauses.size();
  out.resting = s.rest_until > now;
  return out;
}

std::size_t Scheduler::size() const { return impl_->items.size(); }
std::uint64_t Scheduler::repeats() const { return impl_->repeated; }
std::uint64_t Scheduler::hedges() const { return impl_->hedged; }

}  // namespace laureltide::layers
