#include "wire/settings.h"

#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>

#include "wire/codec.h"

namespace laureltide::wire {
namespace {

constexpr std::size_t kMaxListEntries = 4096;  // classes or tenants; rejects absurd counts before allocating

// The key=value pairs of a settings text, with typed access. Records which keys were read.
class SettingsText {
 public:
  explicit SettingsText(std::string_view text) {
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

  std::string_view text_of(const std::string& key, std::string_view default_value = {}) const {
    const auto it = values_.find(key);
    if (it == values_.end()) return default_value;
    it->second.read = true;
    return it->second.text;
  }

  std::vector<std::string> unread_keys() const {
    std::vector<std::string> keys;
    for (const auto& [key, value] : values_)
      if (!value.read) keys.push_back(key);
    return keys;
  }

  double number(const std::string& key, double default_value) const {
    const std::string_view text = text_of(key);
    return text.empty() ? default_value : parse_number(key, text);
  }

  // Durations saturate, so that a very long one does not overflow when it is added to the clock.
  Duration duration(const std::string& key) const {
    constexpr double kMaxNanoseconds = 1e17;
    const double ns = std::min(number(key, 0), kMaxNanoseconds);
    if (ns < 0) throw Malformed("settings " + key + ": negative");
    return Duration(static_cast<Duration::rep>(ns));
  }

  bool flag(const std::string& key, bool default_value) const {
    const std::string_view text = text_of(key);
    if (text.empty()) return default_value;
    if (text == "true" || text == "1") return true;
    if (text == "false" || text == "0") return false;
    throw Malformed("settings " + key + ": '" + std::string(text) + "' is neither true nor false");
  }

  std::size_t count(const std::string& key) const {
    const double value = number(key, 0);
    if (value < 0 || value != std::floor(value) || value > static_cast<double>(kMaxListEntries))
      throw Malformed("settings " + key + ": not a usable count");
    return static_cast<std::size_t>(value);
  }

  int whole_number(const std::string& key, int default_value) const {
    const double value = number(key, default_value);
    if (value < 0 || value > std::numeric_limits<int>::max())
      throw Malformed("settings " + key + ": out of range");
    return static_cast<int>(value);
  }

  std::vector<std::string_view> list(const std::string& key) const {
    std::vector<std::string_view> parts;
    std::string_view text = text_of(key);
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
      throw Malformed("settings " + key + ": '" + std::string(text) + "' is not a number");
    return value;
  }

 private:
  struct Value {
    std::string text;
    mutable bool read = false;
  };
  std::map<std::string, Value> values_;
};

// Reads a setting whose value is one of a fixed set of words.
template <typename Value>
Value choice(const SettingsText& pairs, const std::string& key, Value default_value,
             std::initializer_list<std::pair<std::string_view, Value>> words) {
  const std::string_view text = pairs.text_of(key);
  if (text.empty()) return default_value;
  for (const auto& [word, value] : words)
    if (word == text) return value;
  throw Malformed("settings " + key + ": unknown value '" + std::string(text) + "'");
}

RequestClass read_class(const SettingsText& pairs, const std::string& prefix) {
  RequestClass request_class;
  request_class.worth = pairs.number(prefix + "worth", 1);
  request_class.late_worth = pairs.number(prefix + "late_worth", 0);
  request_class.target_stretch = pairs.number(prefix + "aim_stretch", 0);
  request_class.target = pairs.duration(prefix + "target_ns");
  request_class.give_up = pairs.duration(prefix + "give_up_ns");
  request_class.semantics = choice(
      pairs, prefix + "semantics", Semantics::kOnce,
      {{"repeatable", Semantics::kRepeatable}, {"by_key", Semantics::kKeyed}, {"once", Semantics::kOnce}});
  request_class.group =
      choice(pairs, prefix + "group", RepeatGroup::kCell,
             {{"all", RepeatGroup::kAll}, {"zone", RepeatGroup::kZone}, {"cell", RepeatGroup::kCell}});
  request_class.repeat_window = pairs.duration(prefix + "window_ns");
  request_class.streamed = pairs.flag(prefix + "streamed", false);
  return request_class;
}

ReportColumn report_column(std::string_view word, const SettingsText& pairs) {
  if (word == "active") return ReportColumn::kInFlight;
  if (word == "waiting") return ReportColumn::kWaiting;
  if (word == "cpu") return ReportColumn::kBusyCores;
  if (word == "avg_ms") return ReportColumn::kRunMs;
  if (word == "rps") return ReportColumn::kServed;
  if (word == "err_rps") return ReportColumn::kErrors;
  if (word != "x0" && word != "x1") return ReportColumn::kUnknown;
  const std::string_view meaning = pairs.text_of("family_info.report_" + std::string(word));
  if (meaning == "share_of_memory_that_is_at_work_or_loading") return ReportColumn::kMemory;
  if (meaning == "loads_under_way_or_waiting") return ReportColumn::kLoads;
  return ReportColumn::kUnknown;
}

}  // namespace

LaunchSettings parse_settings(std::string_view text) {
  const SettingsText pairs(text);
  LaunchSettings launch;
  Settings& settings = launch.settings;
  const std::size_t classes = pairs.count("classes.count");
  if (classes == 0) throw Malformed("settings classes.count: at least one class is required");
  for (std::size_t i = 0; i < classes; ++i)
    settings.classes.push_back(read_class(pairs, "classes." + std::to_string(i) + "."));
  const std::size_t tenants = pairs.count("tenants.count");
  for (std::size_t i = 0; i < tenants; ++i) {
    const std::string prefix = "tenants." + std::to_string(i) + ".";
    settings.tenants.push_back({pairs.number(prefix + "quota_per_s", 0), pairs.number(prefix + "share", 0)});
  }
  settings.bounds.attempts_cap = pairs.whole_number("bounds.attempts_cap", 1);
  settings.bounds.may_cancel = pairs.flag("bounds.may_cancel", false);
  settings.bounds.may_duplicate = pairs.flag("bounds.may_duplicate", false);
  settings.bounds.peers = pairs.flag("bounds.peers", false);
  settings.bounds.probes = pairs.flag("bounds.probes", false);
  settings.bounds.retry_after = pairs.flag("bounds.retry_after", false);
  settings.bounds.max_retry_after = pairs.duration("bounds.max_retry_after_ns");
  settings.bounds.max_open = pairs.whole_number("bounds.most_held", 0);
  settings.bounds.dial_timeout = pairs.duration("bounds.dial_timeout_ns");
  settings.instances.orders = pairs.flag("family_info.orders", false);
  settings.instances.on_miss = choice(pairs, "family_info.miss_mode", MissMode::kLoad,
                                      {{"load", MissMode::kLoad}, {"miss", MissMode::kMiss}});
  settings.instances.reports_instance_found = pairs.flag("family_info.tells_warm", false);
  settings.instances.reports_others_in_flight = pairs.flag("family_info.says_company", false);
  settings.instances.keep_alive = pairs.duration("family_info.idle_life_ns");
  for (std::string_view size : pairs.list("family_info.ram_mb_by_kind"))
    settings.instances.memory_mb_by_kind.push_back(
        SettingsText::parse_number("family_info.ram_mb_by_kind", size));
  settings.instances.order_floor = pairs.number("family_info.load_floor", 0);
  settings.instances.orders_per_request = pairs.number("family_info.loads_per_request", 0);
  settings.instances.order_window = pairs.duration("family_info.load_window_ns");
  settings.instances.order_timeout = pairs.duration("family_info.load_wait_ns");
  settings.instances.idle_memory_cost = pairs.number("family_info.idle_memory_cost", 0);
  settings.rules.cold_capacity_share = pairs.number("rules.cold_from", 1);
  settings.rules.cold_duration = pairs.duration("rules.cold_ns");
  settings.rules.overload_multiple = pairs.number("rules.fall_multiple", 1);
  settings.rules.overload_duration = pairs.duration("rules.overload_for_ns");
  settings.rules.drain_grace = pairs.duration("rules.drain_grace_ns");
  settings.rules.answer_grace = pairs.duration("rules.grace_to_answer_ns");
  settings.rules.ask_within = pairs.duration("rules.ask_within_ns");
  settings.list_needs_subscription = choice(pairs, "discovery", false, {{"push", false}, {"ask", true}});
  settings.worth_by_work = choice(pairs, "counted_by", false, {{"request", false}, {"work", true}});
  settings.over_share_worth = pairs.number("over_share_worth", 1);
  settings.waste_cost = pairs.number("deductions.waste", 0);
  settings.late_failure_cost = pairs.number("deductions.late_fail", 0);
  settings.fetch_cost = pairs.number("deductions.origin", 0);
  settings.order_cost = pairs.number("deductions.probe", 0);
  settings.tick = pairs.duration("tick_ns");
  settings.replica_index = static_cast<std::uint32_t>(pairs.whole_number("me", 0));
  settings.replicas = static_cast<std::uint32_t>(pairs.whole_number("replicas_of_me", 1));
  for (std::string_view word : pairs.list("stats.columns"))
    launch.columns.push_back(report_column(word, pairs));
  launch.unknown_keys = pairs.unread_keys();
  return launch;
}

}  // namespace laureltide::wire
