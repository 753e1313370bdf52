#include "wire/settings.h"

#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>

#include "wire/codec.h"

namespace laureltide::wire {
namespace {

constexpr std::size_t kMostListed = 4096;  // classes or tenants; more is not a settings text

class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    std::size_t line_number = 0;
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
      ++line_number;
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      const std::size_t equals = line.find('=');
      if (equals == std::string_view::npos)
        throw Malformed("settings line " + std::to_string(line_number) + ": no '='");
      values_.insert_or_assign(std::string(line.substr(0, equals)),
                               Value{std::string(line.substr(equals + 1))});
    }
  }

  std::string_view word(const std::string& key, std::string_view otherwise = {}) const {
    const auto it = values_.find(key);
    if (it == values_.end()) return otherwise;
    it->second.read = true;
    return it->second.text;
  }

  std::vector<std::string> unread() const {
    std::vector<std::string> keys;
    for (const auto& [key, value] : values_)
      if (!value.read) keys.push_back(key);
    return keys;
  }

  double number(const std::string& key, double otherwise) const {
    const std::string_view text = word(key);
    return text.empty() ? otherwise : parse_number(key, text);
  }

  // Durations saturate: a setting of "for ever" must not overflow sums with the clock.
  Duration duration(const std::string& key) const {
    constexpr double kLongest = 1e17;
    const double ns = std::min(number(key, 0), kLongest);
    if (ns < 0) throw Malformed("settings " + key + ": negative");
    return Duration(static_cast<Duration::rep>(ns));
  }

  bool flag(const std::string& key, bool otherwise) const {
    const std::string_view text = word(key);
    if (text.empty()) return otherwise;
    if (text == "true" || text == "1") return true;
    if (text == "false" || text == "0") return false;
    throw Malformed("settings " + key + ": '" + std::string(text) + "' is neither true nor false");
  }

  std::size_t count(const std::string& key) const {
    const double n = number(key, 0);
    if (n < 0 || n != std::floor(n) || n > static_cast<double>(kMostListed))
      throw Malformed("settings " + key + ": not a usable count");
    return static_cast<std::size_t>(n);
  }

  int whole(const std::string& key, int otherwise) const {
    const double n = number(key, otherwise);
    if (n < 0 || n > std::numeric_limits<int>::max()) throw Malformed("settings " + key + ": out of range");
    return static_cast<int>(n);
  }

  std::vector<std::string_view> list(const std::string& key) const {
    std::vector<std::string_view> parts;
    std::string_view text = word(key);
    while (!text.empty()) {
      const std::size_t comma = text.find(',');
      parts.push_back(text.substr(0, comma));
      text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return parts;
  }

  static double parse_number(const std::string& key, std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
      throw Malformed("settings " + key + ": '" + std::string(text) + "' is no number");
    return value;
  }

 private:
  struct Value {
    std::string text;
    mutable bool read = false;
  };
  std::map<std::string, Value> values_;
};

template <typename Value>
Value choice(const Pairs& pairs, const std::string& key, Value otherwise,
             std::initializer_list<std::pair<std::string_view, Value>> words) {
  const std::string_view text = pairs.word(key);
  if (text.empty()) return otherwise;
  for (const auto& [word, value] : words)
    if (word == text) return value;
  throw Malformed("settings " + key + ": unknown word '" + std::string(text) + "'");
}

RequestClass read_class(const Pairs& pairs, const std::string& at) {
  RequestClass c;
  c.worth = pairs.number(at + "worth", 1);
  c.late_worth = pairs.number(at + "late_worth", 0);
  c.target_stretch = pairs.number(at + "aim_stretch", 0);
  c.target = pairs.duration(at + "target_ns");
  c.give_up = pairs.duration(at + "give_up_ns");
  c.semantics = choice(
      pairs, at + "semantics", Semantics::kOnce,
      {{"repeatable", Semantics::kRepeatable}, {"by_key", Semantics::kKeyed}, {"once", Semantics::kOnce}});
  c.group = choice(pairs, at + "group", RepeatGroup::kCell,
                   {{"all", RepeatGroup::kAll}, {"zone", RepeatGroup::kZone}, {"cell", RepeatGroup::kCell}});
  c.repeat_window = pairs.duration(at + "window_ns");
  c.streamed = pairs.flag(at + "streamed", false);
  return c;
}

ReportColumn column_of(std::string_view word, const Pairs& pairs) {
  if (word == "active") return ReportColumn::kInFlight;
  if (word == "waiting") return ReportColumn::kWaiting;
  if (word == "cpu") return ReportColumn::kBusyCores;
  if (word == "avg_ms") return ReportColumn::kRunMs;
  if (word == "rps") return ReportColumn::kServed;
  if (word == "err_rps") return ReportColumn::kErrors;
  if (word != "x0" && word != "x1") return ReportColumn::kUnknown;
  const std::string_view meaning = pairs.word("family_info.report_" + std::string(word));
  if (meaning == "share_of_memory_that_is_at_work_or_loading") return ReportColumn::kMemory;
  if (meaning == "loads_under_way_or_waiting") return ReportColumn::kLoads;
  return ReportColumn::kUnknown;
}

}  // namespace

LaunchSettings parse_settings(std::string_view text) {
  const Pairs pairs(text);
  LaunchSettings launch;
  Settings& s = launch.settings;
  const std::size_t classes = pairs.count("classes.count");
  if (classes == 0) throw Malformed("settings classes.count: no classes");
  for (std::size_t i = 0; i < classes; ++i)
    s.classes.push_back(read_class(pairs, "classes." + std::to_string(i) + "."));
  const std::size_t tenants = pairs.count("tenants.count");
  for (std::size_t i = 0; i < tenants; ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    s.tenants.push_back({pairs.number(at + "quota_per_s", 0), pairs.number(at + "share", 0)});
  }
  s.bounds.attempts_cap = pairs.whole("bounds.attempts_cap", 1);
  s.bounds.may_cancel = pairs.flag("bounds.may_cancel", false);
  s.bounds.may_duplicate = pairs.flag("bounds.may_duplicate", false);
  s.bounds.peers = pairs.flag("bounds.peers", false);
  s.bounds.probes = pairs.flag("bounds.probes", false);
  s.bounds.retry_after = pairs.flag("bounds.retry_after", false);
  s.bounds.max_retry_after = pairs.duration("bounds.max_retry_after_ns");
  s.bounds.max_open = pairs.whole("bounds.most_held", 0);
  s.bounds.dial_timeout = pairs.duration("bounds.dial_timeout_ns");
  s.instances.orders = pairs.flag("family_info.orders", false);
  s.instances.on_miss = choice(pairs, "family_info.miss_mode", MissMode::kLoad,
                               {{"load", MissMode::kLoad}, {"miss", MissMode::kMiss}});
  s.instances.reports_instance_found = pairs.flag("family_info.tells_warm", false);
  s.instances.reports_others_in_flight = pairs.flag("family_info.says_company", false);
  s.instances.keep_alive = pairs.duration("family_info.idle_life_ns");
  for (std::string_view size : pairs.list("family_info.ram_mb_by_kind"))
    s.instances.memory_mb_by_kind.push_back(Pairs::parse_number("family_info.ram_mb_by_kind", size));
  s.instances.order_floor = pairs.number("family_info.load_floor", 0);
  s.instances.orders_per_request = pairs.number("family_info.loads_per_request", 0);
  s.instances.order_window = pairs.duration("family_info.load_window_ns");
  s.instances.order_timeout = pairs.duration("family_info.load_wait_ns");
  s.instances.idle_memory_cost = pairs.number("family_info.idle_memory_cost", 0);
  s.rules.cold_capacity_share = pairs.number("rules.cold_from", 1);
  s.rules.cold_duration = pairs.duration("rules.cold_ns");
  s.rules.overload_multiple = pairs.number("rules.fall_multiple", 1);
  s.rules.overload_duration = pairs.duration("rules.overload_for_ns");
  s.rules.drain_grace = pairs.duration("rules.drain_grace_ns");
  s.rules.answer_grace = pairs.duration("rules.grace_to_answer_ns");
  s.rules.ask_within = pairs.duration("rules.ask_within_ns");
  s.list_needs_subscription = choice(pairs, "discovery", false, {{"push", false}, {"ask", true}});
  s.worth_by_work = choice(pairs, "counted_by", false, {{"request", false}, {"work", true}});
  s.over_share_worth = pairs.number("over_share_worth", 1);
  s.waste_cost = pairs.number("deductions.waste", 0);
  s.late_failure_cost = pairs.number("deductions.late_fail", 0);
  s.fetch_cost = pairs.number("deductions.origin", 0);
  s.order_cost = pairs.number("deductions.probe", 0);
  s.tick = pairs.duration("tick_ns");
  s.replica_index = static_cast<std::uint32_t>(pairs.whole("me", 0));
  s.replicas = static_cast<std::uint32_t>(pairs.whole("replicas_of_me", 1));
  for (std::string_view word : pairs.list("stats.columns")) launch.columns.push_back(column_of(word, pairs));
  launch.unknown_keys = pairs.unread();
  return launch;
}

}  // namespace laureltide::wire
