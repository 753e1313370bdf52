#include "node/config.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "wire/codec.h"
#include "wire/settings.h"

namespace laureltide::node {
namespace {

using nlohmann::json;

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Required settings and their types: the module would decide wrongly without them, and they have no safe
// default.
enum class ValueType { kNumber, kBoolean, kString, kList };
struct RequiredKey {
  const char* path;
  ValueType type;
};
constexpr RequiredKey kRequired[] = {{"bounds.attempts_cap", ValueType::kNumber},
                                     {"bounds.dial_timeout_ns", ValueType::kNumber},
                                     {"bounds.keepalive_ns", ValueType::kNumber},
                                     {"bounds.max_streams", ValueType::kNumber},
                                     {"bounds.may_cancel", ValueType::kBoolean},
                                     {"bounds.most_held", ValueType::kNumber},
                                     {"bounds.probes", ValueType::kBoolean},
                                     {"bounds.retry_after", ValueType::kBoolean},
                                     {"counted_by", ValueType::kString},
                                     {"family_info.idle_life_ns", ValueType::kNumber},
                                     {"family_info.miss_mode", ValueType::kString},
                                     {"family_info.orders", ValueType::kBoolean},
                                     {"family_info.says_company", ValueType::kBoolean},
                                     {"family_info.tells_warm", ValueType::kBoolean},
                                     {"me", ValueType::kNumber},
                                     {"replicas_of_me", ValueType::kNumber},
                                     {"rules.cold_from", ValueType::kNumber},
                                     {"rules.cold_ns", ValueType::kNumber},
                                     {"rules.drain_grace_ns", ValueType::kNumber},
                                     {"rules.fall_multiple", ValueType::kNumber},
                                     {"rules.grace_to_answer_ns", ValueType::kNumber},
                                     {"rules.overload_for_ns", ValueType::kNumber},
                                     {"tick_ns", ValueType::kNumber}};
constexpr RequiredKey kRequiredWithOrders[] = {{"family_info.load_wait_ns", ValueType::kNumber},
                                               {"family_info.load_window_ns", ValueType::kNumber},
                                               {"family_info.ram_mb_by_kind", ValueType::kList}};
constexpr RequiredKey kRequiredWithLoadRate[] = {{"family_info.load_floor", ValueType::kNumber},
                                                 {"family_info.loads_per_request", ValueType::kNumber}};
constexpr RequiredKey kRequiredWithRetryAfter[] = {{"bounds.max_retry_after_ns", ValueType::kNumber}};
constexpr RequiredKey kRequiredWithTenants[] = {{"over_share_worth", ValueType::kNumber}};
constexpr RequiredKey kRequiredWithLoadReports[] = {{"stats.columns", ValueType::kList}};
constexpr RequiredKey kRequiredInClass[] = {
    {"name", ValueType::kString},      {"semantics", ValueType::kString}, {"give_up_ns", ValueType::kNumber},
    {"target_ns", ValueType::kNumber}, {"worth", ValueType::kNumber},     {"late_worth", ValueType::kNumber}};
constexpr RequiredKey kRequiredInKeyedClass[] = {{"group", ValueType::kString},
                                                 {"window_ns", ValueType::kNumber}};
constexpr RequiredKey kRequiredInTenant[] = {
    {"name", ValueType::kString}, {"quota_per_s", ValueType::kNumber}, {"share", ValueType::kNumber}};

void check_type(const json& value, const std::string& where, ValueType type) {
  switch (type) {
    case ValueType::kNumber:
      if (!value.is_number() || value.get<double>() < 0)
        throw ConfigError(where + ": expected a number, 0 or above, not " + value.dump().substr(0, 40));
      return;
    case ValueType::kBoolean:
      if (!value.is_boolean())
        throw ConfigError(where + ": expected true or false, not " + value.dump().substr(0, 40));
      return;
    case ValueType::kString:
      if (!value.is_string())
        throw ConfigError(where + ": expected a string, not " + value.dump().substr(0, 40));
      return;
    case ValueType::kList:
      if (!value.is_array())
        throw ConfigError(where + ": expected a list, not " + value.dump().substr(0, 40));
      return;
  }
}

const json& required_member(const json& object, const char* name, const std::string& where) {
  if (!object.is_object()) throw ConfigError(where + ": expected an object with '" + name + "'");
  const auto it = object.find(name);
  if (it == object.end()) throw ConfigError(where + name + ": missing");
  return *it;
}

std::string required_string(const json& object, const char* name, const std::string& where) {
  const json& value = required_member(object, name, where);
  check_type(value, where + name, ValueType::kString);
  return value.get<std::string>();
}

// A value as text without separators of the path=value format.
std::string text_of(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ',' || c == '\n' || c == '\r'; }, '_');
  return text;
}

void flatten(const json& value, const std::string& path, std::string& out) {
  const auto line = [&](const std::string& key, const std::string& text) { out += key + '=' + text + '\n'; };
  const std::string dot = path.empty() ? "" : path + '.';
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) flatten(inner, dot + key, out);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    line(dot + "count", std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], dot + std::to_string(i), out);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + text_of(item);
    line(path, joined);
  } else if (!value.is_null()) {
    line(path, text_of(value));
  }
}

const json* find_path(const json& settings, std::string_view path) {
  const json* value = &settings;
  while (!path.empty()) {
    const std::size_t dot = path.find('.');
    if (!value->is_object()) return nullptr;
    const auto it = value->find(std::string(path.substr(0, dot)));
    if (it == value->end()) return nullptr;
    value = &*it;
    path = dot == std::string_view::npos ? std::string_view{} : path.substr(dot + 1);
  }
  return value;
}

std::vector<std::string> names_in(const json& settings, const char* list) {
  std::vector<std::string> names;
  if (const auto it = settings.find(list); it != settings.end() && it->is_array())
    for (const json& item : *it)
      names.push_back(item.is_object()   ? item.value("name", "")
                      : item.is_string() ? item.get<std::string>()
                                         : "");
  return names;
}

template <std::size_t N>
void require_keys(const json& object, const RequiredKey (&keys)[N], const std::string& where) {
  for (const RequiredKey& key : keys) {
    const json* value = find_path(object, key.path);
    if (!value) throw ConfigError(where + key.path + ": missing");
    check_type(*value, where + key.path, key.type);
  }
}

bool is_true(const json& settings, const char* path) {
  const json* value = find_path(settings, path);
  return value && value->is_boolean() && value->get<bool>();
}

// Checks that every key is present that the features in use need. Keys of unused features may be missing.
void require_keys(const json& settings) {
  const std::string at = "settings.";
  require_keys(settings, kRequired, at);
  if (is_true(settings, "family_info.orders")) require_keys(settings, kRequiredWithOrders, at);
  const json* window = find_path(settings, "family_info.load_window_ns");
  if (window && window->is_number() && window->get<double>() > 0)
    require_keys(settings, kRequiredWithLoadRate, at);
  if (is_true(settings, "bounds.retry_after")) require_keys(settings, kRequiredWithRetryAfter, at);
  const json* how = find_path(settings, "stats.how");
  if (!how || *how != "off") require_keys(settings, kRequiredWithLoadReports, at);

  const json& classes = required_member(settings, "classes", at);
  check_type(classes, at + "classes", ValueType::kList);
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const std::string where = at + "classes." + std::to_string(i) + '.';
    require_keys(classes[i], kRequiredInClass, where);
    if (classes[i]["semantics"] == "by_key") require_keys(classes[i], kRequiredInKeyedClass, where);
  }
  const json* tenants = find_path(settings, "tenants");
  if (!tenants || tenants->is_null()) return;
  check_type(*tenants, at + "tenants", ValueType::kList);
  if (!tenants->empty()) require_keys(settings, kRequiredWithTenants, at);
  for (std::size_t i = 0; i < tenants->size(); ++i)
    require_keys((*tenants)[i], kRequiredInTenant, at + "tenants." + std::to_string(i) + '.');
}

std::optional<platform::LoadValue> load_value(wire::ReportColumn column) {
  using platform::LoadValue;
  switch (column) {
    case wire::ReportColumn::kInFlight: return LoadValue::kInHand;
    case wire::ReportColumn::kWaiting: return LoadValue::kWaiting;
    case wire::ReportColumn::kBusyCores: return LoadValue::kBusyCores;
    case wire::ReportColumn::kRunMs: return LoadValue::kRunMs;
    case wire::ReportColumn::kServed: return LoadValue::kServed;
    case wire::ReportColumn::kErrors: return LoadValue::kErrors;
    case wire::ReportColumn::kMemory: return LoadValue::kMemory;
    case wire::ReportColumn::kLoads: return LoadValue::kLoads;
    case wire::ReportColumn::kUnknown: break;
  }
  return std::nullopt;
}

io::Address required_address(const json& doc, const char* name) {
  const auto parsed = io::parse_address(required_string(doc, name, ""));
  if (!parsed) throw ConfigError(std::string(name) + ": expected ADDRESS:PORT");
  return *parsed;
}

std::uint64_t required_limit(const json& doc, const char* name, std::uint64_t minimum) {
  const json& value = required_member(doc, name, "limits.");
  if (!value.is_number() || value.get<double>() < static_cast<double>(minimum) || value.get<double>() > 1e9)
    throw ConfigError("limits." + std::string(name) + ": expected a number of at least " +
                      std::to_string(minimum) + ", not " + value.dump().substr(0, 40));
  return static_cast<std::uint64_t>(value.get<double>());
}

Config read_config(const json& doc) {
  if (!doc.is_object()) throw ConfigError("not a JSON object");
  Config config;
  config.name = required_string(doc, "name", "");
  config.listen = required_address(doc, "listen");
  config.bus = required_address(doc, "bus");
  const std::string seed = required_string(doc, "seed", "");
  if (std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16).ec != std::errc{})
    throw ConfigError("seed: expected up to 16 hex digits");
  const json& limits = required_member(doc, "limits", "");
  const json& cores = required_member(limits, "cores", "limits.");
  check_type(cores, "limits.cores", ValueType::kNumber);
  config.limits.cores = cores.get<double>();
  config.limits.memory_mb = required_limit(limits, "memory_mb", 1);
  config.limits.sockets = required_limit(limits, "sockets", 64);
  const json& known = required_member(doc, "known", "");
  const json& batch = required_member(known, "batch", "known.");
  check_type(batch, "known.batch", ValueType::kList);
  for (const json& event : batch) {
    const json& offset = required_member(event, "offset", "known.batch.");
    if (!offset.is_number_unsigned())
      throw ConfigError("known.batch.offset: expected an event's number, not " + offset.dump().substr(0, 40));
    config.known_events.push_back({offset.get<std::uint64_t>(), event.dump()});
  }

  const json& settings = required_member(doc, "settings", "");
  if (!settings.is_object()) throw ConfigError("settings: expected an object");
  require_keys(settings);
  std::string pairs;
  flatten(settings, "", pairs);
  wire::LaunchSettings launch = wire::parse_settings(pairs);
  config.unused_settings = std::move(launch.unknown_keys);
  config.settings.module = std::move(launch.settings);
  config.settings.class_names = names_in(settings, "classes");
  config.settings.tenant_names = names_in(settings, "tenants");
  config.settings.kind_names = names_in(settings, "kinds");
  config.settings.gateway.name = config.name;
  // Returning an answer takes less time than the rules' answer grace.
  config.settings.gateway.answer_reserve = config.settings.module.rules.answer_grace;
  config.settings.gateway.max_body_bytes = platform::kMaxBodyBytes;
  if (config.settings.module.tick <= Duration(0))
    throw ConfigError("settings.tick_ns: expected a time above 0");
  if (config.settings.module.classes.empty())
    throw ConfigError("settings.classes: expected one class or more");
  const auto stats = settings.find("stats");
  const auto columns = stats == settings.end() ? std::vector<std::string>() : names_in(*stats, "columns");
  for (std::size_t i = 0; i < columns.size() && i < launch.columns.size(); ++i)
    if (const auto value = load_value(launch.columns[i]))
      config.load_columns.emplace_back(columns[i], *value);
  config.invoker_idle_timeout =
      Duration(static_cast<Duration::rep>(find_path(settings, "bounds.keepalive_ns")->get<double>()));
  config.max_streams = std::max<std::size_t>(
      1, static_cast<std::size_t>(std::min(1e6, find_path(settings, "bounds.max_streams")->get<double>())));
  return config;
}

}  // namespace

std::optional<Config> parse_config(std::string_view text, std::string& error) {
  const json doc = json::parse(text, nullptr, false);
  try {
    if (doc.is_discarded()) throw ConfigError("not JSON");
    return read_config(doc);
  } catch (const std::exception& e) {  // thrown here, by the JSON library or by the settings parser
    error = e.what();
    return std::nullopt;
  }
}

std::string flatten(std::string_view json_object) {
  std::string out;
  const json doc = json::parse(json_object, nullptr, false);
  if (doc.is_object()) flatten(doc, "", out);
  return out;
}

}  // namespace laureltide::node
