#include "standin/day.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <random>
#include <sstream>
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include "layers/format.h"
#include "standin/broker.h"
#include "standin/list.h"
#include "standin/registry.h"

namespace laureltide::standin {
namespace {

using namespace std::chrono_literals;

struct KindName {
  const char* name;
  TroubleKind kind;
};
constexpr std::array kKinds = {KindName{"ageing", TroubleKind::kAgeing},
                               KindName{"balancer_crash", TroubleKind::kBalancerCrash},
                               KindName{"balancer_roll", TroubleKind::kBalancerRoll},
                               KindName{"burst", TroubleKind::kBurst},
                               KindName{"class_fail", TroubleKind::kClassFail},
                               KindName{"crash", TroubleKind::kCrash},
                               KindName{"deploy", TroubleKind::kDeploy},
                               KindName{"discovery_stale", TroubleKind::kDiscoveryStale},
                               KindName{"list_drain", TroubleKind::kListDrain},
                               KindName{"list_gone", TroubleKind::kListGone},
                               KindName{"flush", TroubleKind::kFlush},
                               KindName{"release", TroubleKind::kRelease},
                               KindName{"hot_key", TroubleKind::kHotKey},
                               KindName{"mass_restart", TroubleKind::kMassRestart},
                               KindName{"origin_slow", TroubleKind::kOriginSlow},
                               KindName{"pauses", TroubleKind::kPauses},
                               KindName{"preempt", TroubleKind::kPreempt},
                               KindName{"slow", TroubleKind::kSlow},
                               KindName{"throttle", TroubleKind::kThrottle},
                               KindName{"vanish", TroubleKind::kVanish},
                               KindName{"broker_drop", TroubleKind::kBrokerDrop},
                               KindName{"broker_deaf", TroubleKind::kBrokerDeaf},
                               KindName{"broker_crash", TroubleKind::kBrokerCrash},
                               KindName{"channel_close", TroubleKind::kChannelClose},
                               KindName{"reset", TroubleKind::kReset},
                               KindName{"late_answer", TroubleKind::kLateAnswer},
                               KindName{"twice", TroubleKind::kTwice},
                               KindName{"full", TroubleKind::kFull},
                               KindName{"load_fail", TroubleKind::kLoadFail}};

class Table {
 public:
  Table(const toml::table* table, std::string path, const std::string& file,
        std::vector<std::string>& problems)
      : table_(table), path_(std::move(path)), file_(file), problems_(problems) {}
  double number(const char* key, double fallback, double least = 0, double most = 1e9) {
    const toml::node* n = get(key);
    if (!n) return fallback;
    const auto v = n->value<double>();
    if (n->is_number() && v && std::isfinite(*v) && *v >= least && *v <= most) return *v;
    std::ostringstream range;
    range << "a number from " << least << " to " << most;
    problem(*n, key, range.str());
    return fallback;
  }
  Duration span(const char* key, double scale, Duration fallback) {
    const double given = std::chrono::duration<double>(fallback).count() / scale;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(number(key, given, 0, 1e7) * scale));
  }
  Duration ms(const char* key, Duration fallback) { return span(key, 1e-3, fallback); }
  Duration s(const char* key, Duration fallback) { return span(key, 1, fallback); }
  std::string text(const char* key, std::string fallback) {
    const toml::node* n = get(key);
    if (!n) return fallback;
    if (const auto v = n->value_exact<std::string>()) return *v;
    problem(*n, key, "a text");
    return fallback;
  }
  bool flag(const char* key, bool fallback) {
    const toml::node* n = get(key);
    if (!n) return fallback;
    if (const auto v = n->value_exact<bool>()) return *v;
    problem(*n, key, "true or false");
    return fallback;
  }
  std::vector<std::uint32_t> numbers(const char* key) {
    std::vector<std::uint32_t> all;
    const toml::node* n = get(key);
    if (!n) return all;
    if (!n->as_array()) return problem(*n, key, "a list of whole numbers"), all;
    for (const toml::node& item : *n->as_array()) {
      const auto v = item.value_exact<std::int64_t>();
      v&&* v >= 0 && *v < 1000 ? all.push_back(static_cast<std::uint32_t>(*v))
                               : problem(item, key, "whole numbers from 0 to 999");
    }
    return all;
  }
  std::vector<std::string> texts(const char* key) {
    std::vector<std::string> all;
    const toml::node* n = get(key);
    if (!n) return all;
    if (!n->as_array()) return problem(*n, key, "a list of texts"), all;
    for (const toml::node& item : *n->as_array()) {
      const auto v = item.value_exact<std::string>();
      v ? all.push_back(*v) : problem(item, key, "texts");
    }
    return all;
  }
  Table table(const char* key) {
    const toml::node* n = get(key);
    if (n && !n->as_table()) problem(*n, key, "a table");
    return {n ? n->as_table() : nullptr, path_ + key + ".", file_, problems_};
  }
  void tables(const char* key, auto&& each) {
    const toml::node* n = get(key);
    if (!n) return;
    if (!n->as_array()) return problem(*n, key, "a list of tables");
    for (const toml::node& item : *n->as_array()) {
      if (!item.as_table()) {
        problem(item, key, "a table");
        continue;
      }
      Table t(item.as_table(), path_ + key + ".", file_, problems_);
      each(t);
      t.done();
    }
  }
  void done() {
    if (!table_) return;
    for (const auto& [key, node] : *table_)
      if (std::find(known_.begin(), known_.end(), key.str()) == known_.end())
        problems_.push_back(where(node) + path_ + std::string(key.str()) + ": unknown key");
  }
  void wrong(const char* key, const std::string& what) {
    const toml::node* n = table_ ? table_->get(key) : nullptr;
    problems_.push_back((n ? where(*n) : file_ + ": ") + path_ + key + ": " + what);
  }

 private:
  const toml::node* get(const char* key) {
    known_.emplace_back(key);
    return table_ ? table_->get(key) : nullptr;
  }
  std::string where(const toml::node& n) const {
    return file_ + ":" + std::to_string(n.source().begin.line) + ": ";
  }
  void problem(const toml::node& n, const char* key, const std::string& expected) {
    problems_.push_back(where(n) + path_ + key + ": expected " + expected);
  }
  const toml::table* table_;
  std::string path_;
  const std::string& file_;
  std::vector<std::string>& problems_;
  std::vector<std::string> known_;
};

void read_class(Table& t, Day& day) {
  DayClass c;
  c.name = t.text("name", "");
  if (c.name.empty()) t.wrong("name", "is needed");
  c.effect = t.text("effect", c.effect);
  if (c.effect != "repeatable" && c.effect != "keyed" && c.effect != "once")
    t.wrong("effect", "expected repeatable, keyed or once");
  c.group = t.text("repeats_dropped_by", c.group);
  c.share = t.number("share", 1);
  c.worth = t.number("worth", 1);
  c.target = t.ms("target_ms", 1s);
  c.give_up = t.ms("give_up_ms", 3s);
  c.repeat_window = t.ms("repeat_window_ms", 2s);
  c.functions = static_cast<int>(t.number("functions", 4, 1, 10'000));
  c.lanes = static_cast<int>(t.number("lanes", 4, 1, 1000));
  c.memory_mb = t.number("memory_mb", 200);
  c.load = t.ms("load_ms", 400ms);
  c.work = t.ms("work_ms", 50ms);
  day.classes.push_back(c);
}

void read_trouble(Table& t, Day& day) {
  Trouble x;
  x.name = t.text("kind", "");
  const auto kind =
      std::find_if(kKinds.begin(), kKinds.end(), [&](const KindName& k) { return x.name == k.name; });
  if (kind == kKinds.end()) {
    std::string all;
    for (const KindName& k : kKinds) all += std::string(all.empty() ? "" : ", ") + k.name;
    t.wrong("kind", "expected one of " + all);
  } else {
    x.kind = kind->kind;
  }
  x.at = t.s("at_s", 0s);
  x.length = t.s("for_s", 5s);
  x.share = t.number("part", 0.25, 0, 1);
  x.size = t.number("size", 2, 0, 1e6);
  x.workers = t.numbers("workers");
  x.gateways = t.numbers("gateways");
  x.request_class = t.text("class", "");
  if (x.kind == TroubleKind::kClassFail && std::none_of(day.classes.begin(), day.classes.end(),
                                                        [&](auto& c) { return c.name == x.request_class; }))
    t.wrong("class", "expected the name of a [[class]] above");
  // Draws who is affected where the file names nobody: the same in every program that reads the day.
  auto draw = [&](std::vector<std::uint32_t>& into, std::uint32_t first, std::uint32_t count) {
    if (!into.empty()) return;
    std::vector<std::uint32_t> all(count);
    for (std::uint32_t i = 0; i < count; ++i) all[i] = first + i;
    std::mt19937_64 random(day.seed * 1000003 + day.troubles.size());
    for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[random() % i]);
    all.resize(std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(x.share * count))));
    into = all;
  };
  draw(x.workers, 1, day.workers);
  draw(x.gateways, 0, day.gateways);
  day.troubles.push_back(std::move(x));
}

}  // namespace

bool Trouble::affects(std::uint32_t worker) const {
  return std::find(workers.begin(), workers.end(), worker) != workers.end();
}

bool Day::has_successor(std::uint32_t worker) const {
  return std::any_of(troubles.begin(), troubles.end(), [&](const Trouble& t) {
    return (t.kind == TroubleKind::kDeploy || t.kind == TroubleKind::kPreempt) && t.affects(worker);
  });
}

std::optional<Duration> Day::drain_time(const Trouble& t, std::uint32_t worker) const {
  const auto it = std::find(t.workers.begin(), t.workers.end(), worker);
  if (it == t.workers.end()) return std::nullopt;
  const auto n = static_cast<double>(it - t.workers.begin()) / static_cast<double>(t.workers.size());
  return t.at + std::chrono::duration_cast<Duration>(t.length * n);
}

WorkerOptions Day::worker_options(std::uint32_t id) const {
  WorkerOptions o;
  o.id = id, o.name = "w" + std::to_string(id), o.cores = cores, o.memory_mb = memory_mb, o.queue = queue;
  o.loads_at_once = loads_at_once, o.load_on_miss = load_on_miss, o.keep_alive = keep_alive;
  o.cold_capacity_share = cold_capacity_share, o.cold_duration = cold_duration,
  o.overload_multiple = overload_multiple, o.overload_duration = overload_duration;
  for (const DayClass& c : classes)
    for (int i = 0; i < c.functions; ++i) {
      FunctionModel m;
      m.request_class = c.name, m.memory_mb = c.memory_mb, m.lanes = c.lanes, m.work = c.work;
      m.fetch = std::chrono::duration_cast<Duration>(c.load * 0.6), m.start = c.load - m.fetch;
      o.functions[function(c, i)] = m;
    }
  return o;
}

std::optional<Day> parse_day(std::string_view text, const std::string& file,
                             std::vector<std::string>& problems) {
  const toml::parse_result parsed = toml::parse(text, file);
  if (!parsed) {
    problems.push_back(file + ":" + std::to_string(parsed.error().source().begin.line) + ": " +
                       std::string(parsed.error().description()));
    return std::nullopt;
  }
  Day day;
  Table root(&parsed.table(), "", file, problems);
  day.name = root.text("name", "day");
  day.seed = static_cast<std::uint64_t>(root.number("seed", 1));
  day.length = root.s("length_s", 20s);
  day.settle = root.s("settle_s", 6s);
  Table fleet = root.table("fleet");
  day.workers = static_cast<std::uint32_t>(fleet.number("workers", 4, 1, 400));
  day.gateways = static_cast<std::uint32_t>(fleet.number("gateways", 1, 1, 64));
  day.racks = static_cast<std::uint32_t>(fleet.number("racks", 2, 1, 400));
  day.cores = static_cast<int>(fleet.number("cores", 2, 1, 256));
  day.loads_at_once = static_cast<int>(fleet.number("loads_at_once", 4, 1, 256));
  day.memory_mb = fleet.number("memory_mb", 4096);
  day.queue = static_cast<std::size_t>(fleet.number("queue", 32));
  day.prefetch = static_cast<std::size_t>(fleet.number("prefetch", 256, 1, 65535));
  day.load_on_miss = fleet.flag("load_on_miss", false);
  day.confirm_mode = fleet.flag("confirm_mode", false);
  day.front = fleet.text("front", day.front);
  if (day.front != "amqp" && day.front != "http") fleet.wrong("front", "expected amqp or http");
  day.deferred = fleet.flag("deferred", false);
  day.repeat = fleet.number("repeat", 0, 0, 1);
  day.ledger = fleet.flag("ledger", false);
  day.acknowledge_on_take = fleet.flag("acknowledge_on_take", false);
  day.sole_reader = fleet.flag("sole_reader", false);
  day.die_at = fleet.texts("die_at");
  if (day.front == "http" && !day.ledger) fleet.wrong("ledger", "is needed (true) for front = \"http\"");
  if (!day.ledger && (day.acknowledge_on_take || day.sole_reader || !day.die_at.empty()))
    fleet.wrong("ledger", "is needed (true) for acknowledge_on_take, sole_reader and die_at");
  day.keep_alive = fleet.ms("keep_alive_ms", 8s);
  day.list_lag = fleet.ms("list_lag_ms", 300ms);
  day.store_at_once = static_cast<std::size_t>(fleet.number("store_at_once", 8, 1, 1e6));
  day.boxes = static_cast<std::uint32_t>(fleet.number("boxes", 0, 0, 64));
  day.layer_kb = static_cast<std::size_t>(fleet.number("layer_kb", 1024, 1, 1e6));
  day.store_mb_per_s = fleet.number("store_mb_per_s", 50, 0.1, 1e6);
  fleet.done();
  Table rules = root.table("rules");
  day.drain_grace = rules.ms("drain_grace_ms", 1s);
  day.answer_grace = rules.ms("answer_grace_ms", 500ms);
  day.cold_capacity_share = rules.number("cold_from", 0.25, 0.01, 1);
  day.cold_duration = rules.ms("cold_for_ms", 8s);
  day.overload_multiple = rules.number("fall_multiple", 2, 0, 100);
  day.overload_duration = rules.ms("overload_for_ms", 1s);
  day.order_floor = rules.number("order_floor", 0);
  day.orders_per_call = rules.number("orders_per_call", 0);
  day.order_window = rules.ms("order_window_ms", 0s);
  rules.done();
  Table traffic = root.table("traffic");
  day.calls_per_s = traffic.number("calls_per_s", 50, 0.01, 1e6);
  day.body_bytes = static_cast<std::size_t>(traffic.number("body_bytes", 200, 0, 1e6));
  traffic.done();
  root.tables("class", [&](Table& t) { read_class(t, day); });
  root.tables("tenant", [&](Table& t) { day.tenants.push_back({t.text("name", ""), t.number("share", 1)}); });
  if (day.classes.empty()) root.wrong("class", "at least one [[class]] is needed");
  root.tables("trouble", [&](Table& t) { read_trouble(t, day); });
  for (const Trouble& t : day.troubles)
    if (t.kind == TroubleKind::kRelease && day.boxes == 0)
      fleet.wrong("boxes", "is needed (1 or more) for a trouble of kind release");
  root.done();
  if (!problems.empty()) return std::nullopt;
  return day;
}

std::string scale_day_speed(std::string_view text, double factor) {
  toml::parse_result parsed = toml::parse(text);
  if (!parsed) return std::string(text);
  toml::table& root = parsed.table();
  auto scale = [](toml::table* t, const char* key, double by, double fallback) {
    if (!t) return;
    const double value = t->get(key) ? t->get(key)->value<double>().value_or(fallback) : fallback;
    t->insert_or_assign(key, value * by);
  };
  scale(&root, "length_s", 1 / factor, 20);
  if (!root.get("traffic")) root.insert("traffic", toml::table{});
  scale(root.get("traffic")->as_table(), "calls_per_s", factor, 50);
  if (toml::array* troubles = root.get("trouble") ? root.get("trouble")->as_array() : nullptr)
    for (toml::node& t : *troubles) {
      scale(t.as_table(), "at_s", 1 / factor, 0);
      scale(t.as_table(), "for_s", 1 / factor, 5);
    }
  std::ostringstream out;
  out << root;
  return out.str();
}

std::optional<Day> load_day(const std::string& file, std::vector<std::string>& problems) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return problems.push_back(file + ": cannot be read"), std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  return parse_day(text.str(), file, problems);
}

// ---- Scripts --------------------------------------------------------------------------------------------

Script::Script(io::Host& host, Time start) : host_(host), start_(start) {}

void Script::add(Duration at, std::function<void()> run) {
  timers_.push_back(host_.timer(std::move(run)));
  timers_.back()->start(std::max(Duration(0), start_ + at - host_.now()));
}

void Script::add_every(Duration from, Duration to, Duration period, std::function<void()> run) {
  for (Duration at = from; at < to; at += period) add(at, run);
}

void script_worker(Script& script, const Day& day, std::uint32_t id, Worker& worker, const io::Address& at) {
  const bool successor = id >= Day::kSuccessorIdOffset;
  for (const Trouble& t : day.troubles) {
    const Duration end = t.at + t.length;
    if (successor) {
      const auto drain_at = day.drain_time(t, id - Day::kSuccessorIdOffset);
      if (drain_at && (t.kind == TroubleKind::kDeploy || t.kind == TroubleKind::kPreempt))
        script.add(*drain_at, [&worker, at] { worker.start(at, true); });
      continue;
    }
    if (!t.affects(id)) continue;
    switch (t.kind) {
      case TroubleKind::kCrash:
      case TroubleKind::kMassRestart:
        script.add(t.at, [&worker] { worker.crash(); });
        script.add(end, [&worker, at] { worker.start(at, true); });
        break;
      case TroubleKind::kVanish:
        script.add(t.at, [&worker] { worker.set_unresponsive(true); });
        script.add(end, [&worker, at] { worker.crash(), worker.start(at, true); });
        break;
      case TroubleKind::kDeploy:
      case TroubleKind::kPreempt: {
        // A preempted machine ends soon after its notice; a deploy leaves time to finish calls.
        const Duration notice = t.kind == TroubleKind::kPreempt ? Duration(1s) : Duration(4s);
        script.add(*day.drain_time(t, id), [&worker] { worker.drain(); });
        script.add(*day.drain_time(t, id) + day.list_lag + notice, [&worker] { worker.crash(); });
        break;
      }
      case TroubleKind::kSlow:
        script.add(t.at, [&worker, t] { worker.set_slowdown(t.size); });
        script.add(end, [&worker] { worker.set_slowdown(1); });
        break;
      case TroubleKind::kAgeing: {
        constexpr int kSteps = 10;
        for (int i = 1; i <= kSteps; ++i)
          script.add(t.at + t.length * i / kSteps,
                     [&worker, f = 1 + (t.size - 1) * i / kSteps] { worker.set_slowdown(f); });
        break;
      }
      case TroubleKind::kThrottle:
        script.add(t.at, [&worker] { worker.set_cores(1); });
        script.add(end, [&worker, n = day.cores] { worker.set_cores(n); });
        break;
      case TroubleKind::kPauses: {
        const auto pause =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(t.size));
        for (Duration p = t.at; p < end; p += 1500ms) {
          script.add(p, [&worker] { worker.set_unresponsive(true); });
          script.add(p + pause, [&worker] { worker.set_unresponsive(false); });
        }
        break;
      }
      case TroubleKind::kClassFail:
        script.add(t.at, [&worker, t] { worker.fail_class(t.request_class, true); });
        script.add(end, [&worker, t] { worker.fail_class(t.request_class, false); });
        break;
      case TroubleKind::kFlush: script.add(t.at, [&worker] { worker.discard_instances(); }); break;
      case TroubleKind::kFull:
        script.add(t.at, [&worker] { worker.set_full(true); });
        script.add(end, [&worker] { worker.set_full(false); });
        break;
      case TroubleKind::kLoadFail:
        script.add(t.at, [&worker] { worker.set_load_fails(true); });
        script.add(end, [&worker] { worker.set_load_fails(false); });
        break;
      case TroubleKind::kReset:
        script.add_every(t.at, end, 500ms,
                         [&worker] { worker.reset_answers(1), worker.reset_after_calls(1); });
        break;
      case TroubleKind::kLateAnswer:
        script.add_every(t.at, end, 300ms, [&worker] { worker.delay_answers(1, 4s); });
        break;
      case TroubleKind::kTwice:
        script.add_every(t.at, end, 300ms,
                         [&worker] { worker.duplicate_answers(2), worker.send_unknown_answers(1); });
        break;
      default: break;
    }
  }
}

void script_list(Script& script, const Day& day, ListService& list, io::Host& host,
                 const std::function<io::Address(std::uint32_t)>& address_of) {
  auto member = [&day, address_of](std::uint32_t id) {
    const std::uint32_t old = id >= Day::kSuccessorIdOffset ? id - Day::kSuccessorIdOffset : id;
    members::Member m;
    m.id = id, m.address = address_of(id), m.zone = "room", m.kind = "std",
    m.cell = "rack-" + std::to_string(old % day.racks);
    return m;
  };
  auto add_started = [&list, &host, member](std::uint32_t id) {
    members::Member m = member(id);
    m.started_unix_ms = host.unix_ms();
    list.set(m);
  };
  list.set_lag({});
  for (std::uint32_t id = 1; id <= day.workers; ++id) list.set(member(id));
  script.add(Duration(0), [&list, lag = day.list_lag] { list.set_lag(lag); });
  for (const Trouble& t : day.troubles) {
    const Duration end = t.at + t.length;
    if (t.kind == TroubleKind::kDiscoveryStale) {
      script.add(t.at, [&list, lag = day.list_lag, t] {
        list.set_lag(lag + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(t.size)));
      });
      script.add(end, [&list, lag = day.list_lag] { list.set_lag(lag); });
      continue;
    }
    for (const std::uint32_t id : t.workers) {
      if (t.kind == TroubleKind::kCrash || t.kind == TroubleKind::kMassRestart ||
          t.kind == TroubleKind::kVanish) {
        script.add(t.at + 1s, [&list, id] { list.remove(id); });  // discovery notices after a second
        script.add(end + 50ms, [add_started, id] { add_started(id); });
      } else if (t.kind == TroubleKind::kDeploy || t.kind == TroubleKind::kPreempt) {
        const Duration drain_at = *day.drain_time(t, id);
        script.add(drain_at, [&list, member, id] {
          members::Member m = member(id);
          m.state = WorkerState::kDraining;
          list.set(m);
        });
        script.add(drain_at + 50ms, [add_started, id] { add_started(id + Day::kSuccessorIdOffset); });
        script.add(drain_at + 5s, [&list, id] { list.remove(id); });
      } else if (t.kind == TroubleKind::kListDrain) {
        // The worker itself does not announce the drain and accepts calls: only the list says that it drains.
        script.add(t.at, [&list, member, id] {
          members::Member m = member(id);
          m.state = WorkerState::kDraining;
          list.set(m);
        });
        script.add(end, [&list, member, id] { list.set(member(id)); });
      } else if (t.kind == TroubleKind::kListGone) {
        script.add(t.at, [&list, id] { list.remove(id); });
        script.add(end, [&list, member, id] { list.set(member(id)); });
      }
    }
  }
}

void script_broker(Script& script, const Day& day, Broker& broker) {
  auto gateway = [](std::uint32_t n) { return "gw-" + std::to_string(n); };
  for (const Trouble& t : day.troubles)
    if (t.kind == TroubleKind::kBrokerCrash) {
      script.add(t.at, [&broker] { broker.crash(); });
      script.add(t.at + t.length, [&broker] { broker.restart(); });
    }
  for (const Trouble& t : day.troubles)
    for (const std::uint32_t n : t.gateways) {
      const std::string who = gateway(n);
      switch (t.kind) {
        case TroubleKind::kBrokerDrop:
          script.add(t.at, [&broker, who] { broker.break_connections(who); });
          break;
        case TroubleKind::kBrokerDeaf:
          script.add(t.at, [&broker, who] { broker.set_reading_paused(true, who); });
          script.add(t.at + t.length, [&broker, who] { broker.set_reading_paused(false, who); });
          break;
        case TroubleKind::kChannelClose:
          script.add(t.at, [&broker, who] {
            broker.close_channels(amqp::ReplyCode::kPreconditionFailed, "by the day's order", who);
          });
          break;
        default: break;
      }
    }
}

void script_store(Script& script, const Day& day, Store& store) {
  for (const Trouble& t : day.troubles)
    if (t.kind == TroubleKind::kOriginSlow) {
      script.add(t.at, [&store, t] { store.set_slowdown(t.size); });
      script.add(t.at + t.length, [&store] { store.set_slowdown(1); });
    }
}

// ---- The OCI store --------------------------------------------------------------------------------------

namespace {

constexpr std::size_t kBlockBytes = 16U << 10;

// A function's bytes in a release: each release replaces a share of the blocks of the release before.
std::string content_of(const Day& day, const std::string& function, const std::vector<double>& changes) {
  std::string bytes(day.layer_kb << 10, '\0');
  const std::uint64_t seed = std::hash<std::string>{}(function) ^ day.seed;
  for (std::size_t at = 0, block = 0; at < bytes.size(); at += kBlockBytes, ++block) {
    std::uint64_t version = 0;
    std::mt19937_64 random_change(seed + block * 7919);
    for (std::size_t r = 0; r < changes.size(); ++r)
      if (static_cast<double>(random_change() >> 11) * 0x1.0p-53 < changes[r]) version = r + 1;
    std::mt19937_64 random(seed ^ (block << 20) ^ version);
    for (std::size_t i = at; i < std::min(bytes.size(), at + kBlockBytes); ++i)
      bytes[i] = static_cast<char>(random() & 0x3f);
  }
  return bytes;
}

}  // namespace

void publish_functions(const Day& day, Registry& registry, std::uint64_t release, double changed, Tape& tape,
                       Time at) {
  std::vector<double> changes;  // of the releases up to this one
  for (const Trouble& t : day.troubles)
    if (t.kind == TroubleKind::kRelease && changes.size() + 1 < release) changes.push_back(t.size);
  if (release > 1 && changes.size() + 1 < release) changes.push_back(changed);
  for (const DayClass& c : day.classes)
    for (int i = 0; i < c.functions; ++i) {
      const std::string name = day.function(c, i), repository = "functions/" + name;
      const layers::PackedLayer packed =
          layers::pack_layer(content_of(day, name, changes), layers::ChunkerOptions{64U << 10}, 1);
      layers::Manifest m;
      m.function = name, m.release = release;
      layers::LayerRef layer;
      layer.title = "model", layer.blob_size = packed.blob.size(),
      layer.index_size = packed.index_bytes.size();
      layer.blob = *layers::parse_digest(registry.put_blob(repository, packed.blob));
      layer.index = *layers::parse_digest(registry.put_blob(repository, packed.index_bytes));
      m.layers.push_back(layer);
      const std::string version = registry.put_manifest(repository, "current", layers::write_manifest(m));
      tape.note(at, "release",
                {{"function", name},
                 {"release", release},
                 {"version", version},
                 {"blob", layer.blob.text()},
                 {"layers", {packed.index.content.text()}}});
    }
}

void script_registry(Script& script, const Day& day, Registry& registry, io::Host& host, Tape& tape) {
  std::uint64_t release = 1;
  for (const Trouble& t : day.troubles) {
    if (t.kind == TroubleKind::kOriginSlow) {
      script.add(t.at, [&registry, t] { registry.set_slowdown(t.size); });
      script.add(t.at + t.length, [&registry] { registry.set_slowdown(1); });
    }
    if (t.kind != TroubleKind::kRelease) continue;
    ++release;
    script.add(t.at, [&day, &registry, &host, &tape, release, size = t.size] {
      publish_functions(day, registry, release, size, tape, host.now());
    });
  }
}

}  // namespace laureltide::standin
