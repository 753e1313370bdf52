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

struct Problem : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the module would decide wrongly without, and no default can stand for; with the shape it has. A shape
// is checked wherever the key stands, also where it is not needed.
enum class Shape { kNumber, kTruth, kWord, kList };
struct Key {
  const char* path;
  Shape shape;
};
constexpr Key kNeeded[] = {{"bounds.attempts_cap", Shape::kNumber},
                           {"bounds.dial_timeout_ns", Shape::kNumber},
                           {"bounds.keepalive_ns", Shape::kNumber},
                           {"bounds.max_streams", Shape::kNumber},
                           {"bounds.may_cancel", Shape::kTruth},
                           {"bounds.most_held", Shape::kNumber},
                           {"bounds.probes", Shape::kTruth},
                           {"bounds.retry_after", Shape::kTruth},
                           {"counted_by", Shape::kWord},
                           {"family_info.idle_life_ns", Shape::kNumber},
                           {"family_info.miss_mode", Shape::kWord},
                           {"family_info.orders", Shape::kTruth},
                           {"family_info.says_company", Shape::kTruth},
                           {"family_info.tells_warm", Shape::kTruth},
                           {"me", Shape::kNumber},
                           {"replicas_of_me", Shape::kNumber},
                           {"rules.cold_from", Shape::kNumber},
                           {"rules.cold_ns", Shape::kNumber},
                           {"rules.drain_grace_ns", Shape::kNumber},
                           {"rules.fall_multiple", Shape::kNumber},
                           {"rules.grace_to_answer_ns", Shape::kNumber},
                           {"rules.overload_for_ns", Shape::kNumber},
                           {"tick_ns", Shape::kNumber}};
constexpr Key kNeededWithOrders[] = {{"family_info.load_wait_ns", Shape::kNumber},
                                     {"family_info.load_window_ns", Shape::kNumber},
                                     {"family_info.ram_mb_by_kind", Shape::kList}};
constexpr Key kNeededWithRation[] = {{"family_info.load_floor", Shape::kNumber},
                                     {"family_info.loads_per_request", Shape::kNumber}};
constexpr Key kNeededWithAdvice[] = {{"bounds.max_retry_after_ns", Shape::kNumber}};
constexpr Key kNeededWithTenants[] = {{"over_share_worth", Shape::kNumber}};
constexpr Key kNeededWithReports[] = {{"stats.columns", Shape::kList}};
constexpr Key kNeededOfClass[] = {{"name", Shape::kWord},         {"semantics", Shape::kWord},
                                  {"give_up_ns", Shape::kNumber}, {"target_ns", Shape::kNumber},
                                  {"worth", Shape::kNumber},      {"late_worth", Shape::kNumber}};
constexpr Key kNeededOfKeyed[] = {{"group", Shape::kWord}, {"window_ns", Shape::kNumber}};
constexpr Key kNeededOfTenant[] = {
    {"name", Shape::kWord}, {"quota_per_s", Shape::kNumber}, {"share", Shape::kNumber}};

void check_shape(const json& value, const std::string& where, Shape shape) {
  switch (shape) {
    case Shape::kNumber:
      if (!value.is_number() || value.get<double>() < 0)
        throw Problem(where + ": expected a number, 0 or above, not " + value.dump().substr(0, 40));
      return;
    case Shape::kTruth:
      if (!value.is_boolean())
        throw Problem(where + ": expected true or false, not " + value.dump().substr(0, 40));
      return;
    case Shape::kWord:
      if (!value.is_string()) throw Problem(where + ": expected a word, not " + value.dump().substr(0, 40));
      return;
    case Shape::kList:
      if (!value.is_array()) throw Problem(where + ": expected a list, not " + value.dump().substr(0, 40));
      return;
  }
}

const json& member(const json& object, const char* name, const std::string& where) {
  if (!object.is_object()) throw Problem(where + ": expected an object with '" + name + "'");
  const auto it = object.find(name);
  if (it == object.end()) throw Problem(where + name + ": missing");
  return *it;
}

std::string word(const json& object, const char* name, const std::string& where) {
  const json& value = member(object, name, where);
  check_shape(value, where + name, Shape::kWord);
  return value.get<std::string>();
}

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
    std::string all;
    for (const json& item : value) all += (all.empty() ? "" : ",") + text_of(item);
    line(path, all);
  } else if (!value.is_null()) {
    line(path, text_of(value));
  }
}

const json* at_path(const json& settings, std::string_view path) {
  const json* here = &settings;
  while (!path.empty()) {
    const std::size_t dot = path.find('.');
    if (!here->is_object()) return nullptr;
    const auto it = here->find(std::string(path.substr(0, dot)));
    if (it == here->end()) return nullptr;
    here = &*it;
    path = dot == std::string_view::npos ? std::string_view{} : path.substr(dot + 1);
  }
  return here;
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
void need(const json& object, const Key (&keys)[N], const std::string& where) {
  for (const Key& key : keys) {
    const json* value = at_path(object, key.path);
    if (!value) throw Problem(where + key.path + ": missing");
    check_shape(*value, where + key.path, key.shape);
  }
}

bool truth(const json& settings, const char* path) {
  const json* value = at_path(settings, path);
  return value && value->is_boolean() && value->get<bool>();
}

// What a deployment does without need not be there; what it has must be whole.
void need(const json& settings) {
  const std::string at = "settings.";
  need(settings, kNeeded, at);
  if (truth(settings, "family_info.orders")) need(settings, kNeededWithOrders, at);
  const json* window = at_path(settings, "family_info.load_window_ns");
  if (window && window->is_number() && window->get<double>() > 0) need(settings, kNeededWithRation, at);
  if (truth(settings, "bounds.retry_after")) need(settings, kNeededWithAdvice, at);
  const json* how = at_path(settings, "stats.how");
  if (!how || *how != "off") need(settings, kNeededWithReports, at);

  const json& classes = member(settings, "classes", at);
  check_shape(classes, at + "classes", Shape::kList);
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const std::string here = at + "classes." + std::to_string(i) + '.';
    need(classes[i], kNeededOfClass, here);
    if (classes[i]["semantics"] == "by_key") need(classes[i], kNeededOfKeyed, here);
  }
  const json* tenants = at_path(settings, "tenants");
  if (!tenants || tenants->is_null()) return;
  check_shape(*tenants, at + "tenants", Shape::kList);
  if (!tenants->empty()) need(settings, kNeededWithTenants, at);
  for (std::size_t i = 0; i < tenants->size(); ++i)
    need((*tenants)[i], kNeededOfTenant, at + "tenants." + std::to_string(i) + '.');
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

io::Address address(const json& doc, const char* name) {
  const auto read = io::parse_address(word(doc, name, ""));
  if (!read) throw Problem(std::string(name) + ": expected ADDRESS:PORT");
  return *read;
}

std::uint64_t positive(const json& doc, const char* name, std::uint64_t least) {
  const json& value = member(doc, name, "limits.");
  if (!value.is_number() || value.get<double>() < static_cast<double>(least) || value.get<double>() > 1e9)
    throw Problem("limits." + std::string(name) + ": expected a number from " + std::to_string(least) +
                  " on, not " + value.dump().substr(0, 40));
  return static_cast<std::uint64_t>(value.get<double>());
}

Config read(const json& doc) {
  if (!doc.is_object()) throw Problem("not a JSON object");
  Config c;
  c.name = word(doc, "name", "");
  c.listen = address(doc, "listen");
  c.bus = address(doc, "bus");
  const std::string seed = word(doc, "seed", "");
  if (std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16).ec != std::errc{})
    throw Problem("seed: expected up to 16 hex digits");
  const json& limits = member(doc, "limits", "");
  const json& cores = member(limits, "cores", "limits.");
  check_shape(cores, "limits.cores", Shape::kNumber);
  c.limits.cores = cores.get<double>();
  c.limits.memory_mb = positive(limits, "memory_mb", 1);
  c.limits.sockets = positive(limits, "sockets", 64);
  const json& known = member(doc, "known", "");
  const json& batch = member(known, "batch", "known.");
  check_shape(batch, "known.batch", Shape::kList);
  for (const json& event : batch) {
    const json& offset = member(event, "offset", "known.batch.");
    if (!offset.is_number_unsigned())
      throw Problem("known.batch.offset: expected an event's number, not " + offset.dump().substr(0, 40));
    c.known.push_back({offset.get<std::uint64_t>(), event.dump()});
  }

  const json& settings = member(doc, "settings", "");
  if (!settings.is_object()) throw Problem("settings: expected an object");
  need(settings);
  std::string pairs;
  flatten(settings, "", pairs);
  wire::LaunchSettings launch = wire::parse_settings(pairs);
  c.unread = std::move(launch.unknown_keys);
  c.settings.module = std::move(launch.settings);
  c.settings.class_names = names_in(settings, "classes");
  c.settings.tenant_names = names_in(settings, "tenants");
  c.settings.kind_names = names_in(settings, "kinds");
  c.settings.gateway.name = c.name;
  // An answer is on its way for less than what the rules themselves allow it.
  c.settings.gateway.answer_reserve = c.settings.module.rules.answer_grace;
  c.settings.gateway.max_body_bytes = platform::kMaxBodyBytes;
  if (c.settings.module.tick <= Duration(0)) throw Problem("settings.tick_ns: expected a time above 0");
  if (c.settings.module.classes.empty()) throw Problem("settings.classes: expected one class or more");
  const auto stats = settings.find("stats");
  const auto columns = stats == settings.end() ? std::vector<std::string>() : names_in(*stats, "columns");
  for (std::size_t i = 0; i < columns.size() && i < launch.columns.size(); ++i)
    if (const auto value = load_value(launch.columns[i])) c.load.emplace_back(columns[i], *value);
  c.invoker_idle_timeout =
      Duration(static_cast<Duration::rep>(at_path(settings, "bounds.keepalive_ns")->get<double>()));
  c.streams = std::max<std::size_t>(
      1, static_cast<std::size_t>(std::min(1e6, at_path(settings, "bounds.max_streams")->get<double>())));
  return c;
}

}  // namespace

std::optional<Config> parse_config(std::string_view text, std::string& why) {
  const json doc = json::parse(text, nullptr, false);
  try {
    if (doc.is_discarded()) throw Problem("not JSON");
    return read(doc);
  } catch (const std::exception& e) {  // ours, the JSON library's, the settings parser's
    why = e.what();
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
