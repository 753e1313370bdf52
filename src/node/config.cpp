#include "node/config.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "wire/codec.h"
#include "wire/settings.h"

namespace laureltide::node {
namespace {

using nlohmann::json;

struct Problem : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the module would decide wrongly without, and no default can stand for.
constexpr const char* kNeeded[] = {"bounds.attempts_cap",
                                   "bounds.dial_timeout_ns",
                                   "bounds.keepalive_ns",
                                   "bounds.max_streams",
                                   "bounds.may_cancel",
                                   "bounds.most_held",
                                   "bounds.probes",
                                   "bounds.retry_after",
                                   "family_info.idle_life_ns",
                                   "family_info.load_wait_ns",
                                   "family_info.load_window_ns",
                                   "family_info.miss_mode",
                                   "family_info.orders",
                                   "family_info.ram_mb_by_kind",
                                   "family_info.says_company",
                                   "family_info.tells_warm",
                                   "rules.cold_from",
                                   "rules.cold_ns",
                                   "rules.drain_grace_ns",
                                   "rules.fall_multiple",
                                   "rules.grace_to_answer_ns",
                                   "rules.overload_for_ns",
                                   "stats.columns",
                                   "tick_ns",
                                   "me",
                                   "replicas_of_me",
                                   "over_share_worth",
                                   "counted_by"};
constexpr const char* kNeededOfClass[] = {"name",      "semantics", "give_up_ns",
                                          "target_ns", "worth",     "late_worth"};
constexpr const char* kNeededOfTenant[] = {"name", "quota_per_s", "share"};

const json& member(const json& object, const char* name, const std::string& where) {
  const auto it = object.find(name);
  if (it == object.end()) throw Problem(where + name + ": missing");
  return *it;
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

void need(const json& settings) {
  for (const char* path : kNeeded)
    if (!at_path(settings, path)) throw Problem("settings." + std::string(path) + ": missing");
  const auto each = [&](const char* list, const auto& keys) {
    const json& items = member(settings, list, "settings.");
    if (!items.is_array()) throw Problem("settings." + std::string(list) + ": not a list");
    for (std::size_t i = 0; i < items.size(); ++i)
      for (const char* key : keys)
        if (!items[i].is_object() || !items[i].contains(key))
          throw Problem("settings." + std::string(list) + '.' + std::to_string(i) + '.' + key + ": missing");
  };
  each("classes", kNeededOfClass);
  each("tenants", kNeededOfTenant);
}

std::optional<platform::LoadValue> load_value(wire::ReportColumn column) {
  using platform::LoadValue;
  switch (column) {
    case wire::ReportColumn::kInHand: return LoadValue::kInHand;
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
  const auto read = io::parse_address(member(doc, name, "").get<std::string>());
  if (!read) throw Problem(std::string(name) + ": not ADDRESS:PORT");
  return *read;
}

std::uint64_t positive(const json& doc, const char* name, std::uint64_t least) {
  const json& value = member(doc, name, "limits.");
  if (!value.is_number() || value.get<double>() < static_cast<double>(least) || value.get<double>() > 1e9)
    throw Problem("limits." + std::string(name) + ": not a number from " + std::to_string(least));
  return static_cast<std::uint64_t>(value.get<double>());
}

Config read(const json& doc) {
  if (!doc.is_object()) throw Problem("not a JSON object");
  Config c;
  c.name = member(doc, "name", "").get<std::string>();
  c.listen = address(doc, "listen");
  c.bus = address(doc, "bus");
  const auto seed = member(doc, "seed", "").get<std::string>();
  if (std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16).ec != std::errc{})
    throw Problem("seed: not hex digits");
  const json& limits = member(doc, "limits", "");
  c.limits.cores = member(limits, "cores", "limits.").get<double>();
  c.limits.memory_mb = positive(limits, "memory_mb", 1);
  c.limits.sockets = positive(limits, "sockets", 64);
  const json& known = member(doc, "known", "");
  for (const json& event : member(known, "batch", "known."))
    c.known.push_back({member(event, "offset", "known.batch.").get<std::uint64_t>(), event.dump()});

  const json& settings = member(doc, "settings", "");
  if (!settings.is_object()) throw Problem("settings: not an object");
  need(settings);
  std::string pairs;
  flatten(settings, "", pairs);
  wire::LaunchSettings launch = wire::parse_settings(pairs);
  c.unread = std::move(launch.unread);
  c.settings.module = std::move(launch.settings);
  c.settings.class_names = names_in(settings, "classes");
  c.settings.tenant_names = names_in(settings, "tenants");
  c.settings.kind_names = names_in(settings, "kinds");
  c.settings.gateway.name = c.name;
  // An answer is on its way for less than what the rules themselves allow it.
  c.settings.gateway.answer_reserve = c.settings.module.rules.answer_grace;
  c.settings.gateway.most_body = platform::kMostBody;
  if (c.settings.module.tick <= Duration(0)) throw Problem("settings.tick_ns: not above nothing");
  const std::vector<std::string> columns = names_in(settings.at("stats"), "columns");
  for (std::size_t i = 0; i < columns.size() && i < launch.columns.size(); ++i)
    if (const auto value = load_value(launch.columns[i])) c.load.emplace_back(columns[i], *value);
  c.idle_closes =
      Duration(static_cast<Duration::rep>(at_path(settings, "bounds.keepalive_ns")->get<double>()));
  c.streams = std::max<std::size_t>(1, at_path(settings, "bounds.max_streams")->get<std::size_t>());
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
