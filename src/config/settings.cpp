#include "config/settings.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace laureltide::config {
namespace {

constexpr std::size_t kMaxFunctions = 200'000;
constexpr double kMaxMilliseconds =
    3'600'000;  // one hour: a call must end before request ids wrap around at full load

// Reads one table of the file and collects its problems. Keys that were never read count as unknown.
class Section {
 public:
  Section(const toml::table* table, std::string path, const std::string& file, std::vector<Problem>& problems)
      : table_(table), path_(std::move(path)), file_(file), problems_(problems) {}
  Section(const Section&) = delete;

  // Reports every key that was never read.
  void report_unknown_keys() {
    if (!table_) return;
    for (const auto& [key, node] : *table_)
      if (!known_.contains(std::string(key.str())))
        problem(node.source(), std::string(key.str()), "unknown key; expected one of " + known_text());
  }

  double number(const char* key, double fallback, double min_value, double max_value) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    const auto value = node->value_exact<double>();
    const auto whole = node->value_exact<std::int64_t>();
    if ((value || whole) && in(value ? *value : static_cast<double>(*whole), min_value, max_value))
      return value ? *value : static_cast<double>(*whole);
    expected(*node, key, "a number from " + show(min_value) + " to " + show(max_value));
    return fallback;
  }
  template <class T>
  T whole(const char* key, T fallback, double min_value, double max_value) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    const auto value = node->value_exact<std::int64_t>();
    if (value && in(static_cast<double>(*value), min_value, max_value)) return static_cast<T>(*value);
    expected(*node, key, "a whole number from " + show(min_value) + " to " + show(max_value));
    return fallback;
  }
  Duration ms(const char* key, Duration fallback, double min_value = 0) {
    const double given = std::chrono::duration<double, std::milli>(fallback).count();
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(number(key, given, min_value, kMaxMilliseconds)));
  }
  bool flag(const char* key, bool fallback) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    if (const auto value = node->value_exact<bool>()) return *value;
    expected(*node, key, "true or false");
    return fallback;
  }
  std::string text(const char* key, std::string fallback, std::size_t max_value = 255) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    const auto value = node->value_exact<std::string>();
    if (value && value->size() <= max_value) return *value;
    expected(*node, key, "a text of at most " + std::to_string(max_value) + " bytes");
    return fallback;
  }
  std::string required_text(const char* key) {
    const std::string value = text(key, "");
    if (value.empty() && (!table_ || !table_->get(key) || table_->get(key)->value_exact<std::string>()))
      problem(table_ ? table_->source() : toml::source_region{}, key, "is needed; expected a text");
    return value;
  }
  template <class T>
  T choice(const char* key, T fallback, std::initializer_list<std::pair<const char*, T>> choices) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    const auto value = node->value_exact<std::string>();
    std::string all;
    for (const auto& [name, meaning] : choices) {
      if (value && *value == name) return meaning;
      all += (all.empty() ? "\"" : ", \"") + std::string(name) + "\"";
    }
    expected(*node, key, "one of " + all);
    return fallback;
  }
  std::optional<io::Address> address(const char* key) {
    const toml::node* node = get(key);
    if (!node) return std::nullopt;
    const auto value = node->value_exact<std::string>();
    auto address = value ? io::parse_address(*value) : std::nullopt;
    if (!address) expected(*node, key, "a numeric address and port, such as \"127.0.0.1:5672\"");
    return address;
  }
  std::vector<std::string> texts(const char* key) {
    std::vector<std::string> all;
    const toml::node* node = get(key);
    if (!node) return all;
    if (const toml::array* array = node->as_array())
      for (const toml::node& item : *array) {
        const auto value = item.value_exact<std::string>();
        if (value && !value->empty() && value->size() <= 255)
          all.push_back(*value);
        else
          expected(item, key, "texts of 1 to 255 bytes");
      }
    else
      expected(*node, key, "a list of texts");
    return all;
  }
  void section(const char* key, auto&& read) {
    const toml::node* node = get(key);
    if (node && !node->as_table()) return expected(*node, key, "a table");
    Section inner(node ? node->as_table() : nullptr, path_ + key + ".", file_, problems_);
    read(inner);
    inner.report_unknown_keys();
  }
  void sections(const char* key, auto&& read) {
    const toml::node* node = get(key);
    if (!node) return;
    const toml::array* array = node->as_array();
    if (!array) return expected(*node, key, "a list of tables ([[" + std::string(key) + "]])");
    std::size_t n = 0;
    for (const toml::node& item : *array) {
      const std::string path = path_ + key + "[" + std::to_string(n++) + "].";
      if (!item.as_table()) {
        expected(item, key, "a list of tables");
        continue;
      }
      Section inner(item.as_table(), path, file_, problems_);
      read(inner);
      inner.report_unknown_keys();
    }
  }
  void report_error(const char* key, const std::string& text) {
    const toml::node* node = table_ ? table_->get(key) : nullptr;
    problem(node ? node->source() : table_ ? table_->source() : toml::source_region{}, key, text);
  }

 private:
  static bool in(double v, double min_value, double max_value) {
    return std::isfinite(v) && v >= min_value && v <= max_value;
  }
  static std::string show(double v) {
    std::ostringstream out;
    out << v;
    return out.str();
  }
  const toml::node* get(const char* key) {
    known_.insert(key);
    return table_ ? table_->get(key) : nullptr;
  }
  void expected(const toml::node& node, const char* key, const std::string& what) {
    std::ostringstream got;
    got << toml::node_view<const toml::node>(node);
    std::string text = got.str();
    if (text.size() > 60) text = text.substr(0, 57) + "...";
    problem(node.source(), key, "expected " + what + ", found " + text);
  }
  void problem(const toml::source_region& at, const std::string& key, std::string text) {
    problems_.push_back({file_, at.begin.line, path_ + key, std::move(text)});
  }
  std::string known_text() const {
    std::string all;
    for (const std::string& k : known_) all += (all.empty() ? "" : ", ") + k;
    return all;
  }

  const toml::table* table_;
  std::string path_;
  const std::string& file_;
  std::vector<Problem>& problems_;
  std::set<std::string> known_;
};

std::size_t index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

void read_gateway(Section& s, Settings& out) {
  Gateway& g = out.gateway;
  g.name = s.text("name", g.name);
  out.module.replica_index = s.whole<std::uint32_t>("number", 0, 0, 65535);
  out.module.replicas = s.whole<std::uint32_t>("replicas", 1, 1, 65536);
  if (out.module.replica_index >= out.module.replicas)
    s.report_error("number", "must be under replicas: numbers start at 0");
  g.loopback_only = !s.flag("allow_other_networks", false);
  g.max_body_bytes = s.whole<std::uint64_t>("most_body_bytes", g.max_body_bytes, 1, 64 << 20);
  g.answer_reserve = s.ms("answer_reserve_ms", g.answer_reserve);
  g.drain_timeout = s.ms("drain_within_ms", g.drain_timeout, 1);
  g.peer_listen = s.address("peer_listen");
}

void read_class(Section& s, Settings& out) {
  RequestClass c;
  const std::string name = s.required_text("name");
  if (index_of(out.class_names, name) < out.class_names.size())
    s.report_error("name", "is given twice: " + name);
  c.worth = s.number("worth", 1, 0, 1e6);
  c.late_worth = s.number("late_worth", 0, 0, 1);
  c.target = s.ms("target_ms", std::chrono::seconds(1), 1);
  c.give_up = s.ms("give_up_ms", 3 * c.target, 1);
  if (c.give_up < c.target) s.report_error("give_up_ms", "is under target_ms");
  c.semantics = s.choice(
      "effect", Semantics::kOnce,
      {{"repeatable", Semantics::kRepeatable}, {"keyed", Semantics::kKeyed}, {"once", Semantics::kOnce}});
  c.group =
      s.choice("repeats_dropped_by", RepeatGroup::kAll,
               {{"all", RepeatGroup::kAll}, {"zone", RepeatGroup::kZone}, {"cell", RepeatGroup::kCell}});
  c.repeat_window = s.ms("repeat_window_ms", Duration(0));
  if (c.semantics == Semantics::kKeyed && c.repeat_window <= Duration(0))
    s.report_error("repeat_window_ms", "is needed for effect = \"keyed\": how long workers remember a key");
  c.streamed = s.flag("streamed", false);
  if (out.class_names.size() >= 255) return s.report_error("name", "more than 255 classes");
  out.class_names.push_back(name);
  out.module.classes.push_back(c);
}

void read_function(Section& s, Settings& out) {
  Function f;
  f.name = s.required_text("name");
  const std::string c = s.required_text("class");
  const std::size_t index = index_of(out.class_names, c);
  if (!c.empty() && index >= out.class_names.size()) s.report_error("class", "no such class: " + c);
  f.request_class = static_cast<ClassIndex>(std::min<std::size_t>(index, 254));
  f.memory_mb = static_cast<float>(s.number("memory_mb", 128, 0, 1e7));
  f.lanes = static_cast<float>(s.number("lanes", 1, 1, 10'000));
  if (const Duration load = s.ms("load_ms", Duration(0)); load > Duration(0)) f.load_time = load;
  if (const Duration work = s.ms("work_ms", Duration(0)); work > Duration(0)) f.work_hint = work;
  f.id = function_id(f.name);
  if (out.functions.size() >= kMaxFunctions) return s.report_error("name", "more than 200000 functions");
  if (!out.function_index.emplace(f.name, out.functions.size()).second)
    return s.report_error("name", "is given twice: " + f.name);
  out.functions.push_back(std::move(f));
}

void read_ledger(Section& s, Settings& out) {
  Ledger& l = out.ledger;
  l.directory = s.text("directory", "", 4096);
  l.max_size_mb = s.whole<std::size_t>("most_mb", l.max_size_mb, 1, 1 << 20);
  l.max_records = s.whole<std::size_t>("most_records", l.max_records, 1, 100'000'000);
  constexpr double kWeek = 7 * 24 * 3600;
  l.keep = std::chrono::seconds(
      static_cast<std::int64_t>(s.number("keep_s", std::chrono::duration<double>(l.keep).count(), 1, kWeek)));
  l.group_commit_window = s.ms("gather_ms", l.group_commit_window);
  l.sync =
      s.choice("sync", l.sync,
               {{"group", LedgerSync::kGroup}, {"each", LedgerSync::kEach}, {"none", LedgerSync::kNone}});
  l.all_calls = s.flag("all_calls", l.all_calls);
}

void read_invoke(Section& s, Settings& out) {
  Invoke& i = out.invoke;
  i.listen = s.address("listen");
  i.keep = std::chrono::seconds(static_cast<std::int64_t>(
      s.number("keep_s", std::chrono::duration<double>(i.keep).count(), 1, 7 * 24 * 3600)));
  i.max_deferred = s.whole<std::size_t>("most_deferred", i.max_deferred, 1, 10'000'000);
  i.max_deferred_mb = s.whole<std::size_t>("most_deferred_mb", i.max_deferred_mb, 1, 1 << 20);
  for (const std::string& text : s.texts("callbacks")) {
    const auto address = io::parse_address(text);
    if (address) i.callbacks.push_back(*address);
    if (!address)
      s.report_error("callbacks",
                     "expected numeric addresses and ports, such as \"127.0.0.1:9000\", found " + text);
  }
  i.callback_attempts = s.whole("callback_attempts", i.callback_attempts, 1, 20);
  i.max_connections = s.whole<std::size_t>("most_connections", i.max_connections, 1, 100'000);
  i.header_timeout = s.ms("head_within_ms", i.header_timeout, 1);
  i.body_timeout = s.ms("body_within_ms", i.body_timeout, 1);
}

void read_key(Section& s, Settings& out) {
  Key k;
  const std::string tenant = s.required_text("tenant");
  if (const auto at = out.tenant(tenant))
    k.tenant = *at;
  else if (!tenant.empty())
    s.report_error("tenant", "no such tenant: " + tenant);
  const std::string hex = s.required_text("sha256");
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    std::uint8_t byte = 0;
    const auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, byte, 16);
    if (error == std::errc() && end == hex.data() + i + 2) k.sha256.push_back(static_cast<char>(byte));
  }
  if (!hex.empty() && (hex.size() != 64 || k.sha256.size() != 32))
    s.report_error("sha256", "expected 64 hex digits, as `laureltide key` prints them");
  out.keys.push_back(std::move(k));
}

void read_broker(Section& s, Settings& out) {
  Broker b;
  b.name = s.text("name", "broker-" + std::to_string(out.brokers.size()));
  const auto address = s.address("address");
  if (address) b.address = *address;
  if (!address) s.report_error("address", "is needed, such as \"127.0.0.1:5672\"");
  b.vhost = s.text("vhost", b.vhost);
  b.user = s.text("user", b.user);
  b.password = s.text("password", b.password);
  b.heartbeat_s = s.whole<std::uint16_t>("heartbeat_s", b.heartbeat_s, 0, 3600);
  b.frame_max = s.whole<std::uint32_t>("frame_max", b.frame_max, 4096, 8 << 20);
  b.queues = s.texts("queues");
  if (b.queues.empty()) s.report_error("queues", "is needed: the queues whose messages are calls");
  if (std::set<std::string>(b.queues.begin(), b.queues.end()).size() < b.queues.size())
    s.report_error("queues", "names a queue twice");
  b.prefetch = s.whole<std::uint16_t>("prefetch", b.prefetch, 1, 65535);
  b.answers = s.choice("answers", b.answers,
                       {{"transaction", AnswerMode::kTransaction}, {"confirm", AnswerMode::kConfirm}});
  b.acknowledge = s.choice("acknowledge", b.acknowledge,
                           {{"answer", AcknowledgeMode::kOnAnswer}, {"take", AcknowledgeMode::kOnTake}});
  b.sole_reader = s.flag("sole_reader", b.sole_reader);
  b.tenant = s.text("tenant", b.tenant);
  if (!b.tenant.empty() && !out.tenant(b.tenant)) s.report_error("tenant", "no such tenant: " + b.tenant);
  if (b.acknowledge == AcknowledgeMode::kOnTake)
    b.answers = AnswerMode::kConfirm;  // no acknowledgement is left to put into a transaction
  for (const Broker& other : out.brokers)
    if (other.name == b.name) s.report_error("name", "is given twice: " + b.name);
  out.brokers.push_back(std::move(b));
}

void read_all(Section& root, Settings& out) {
  laureltide::Settings& m = out.module;
  root.section("gateway", [&](Section& s) { read_gateway(s, out); });
  root.section("log", [&](Section& s) {
    out.log_format =
        s.choice("format", LogFormat::kText, {{"text", LogFormat::kText}, {"json", LogFormat::kJson}});
    out.log_level = s.choice<std::string>(
        "level", "info", {{"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}});
    out.stats_interval = s.ms("stats_every_ms", out.stats_interval);
  });
  root.section("bounds", [&](Section& s) {
    m.bounds.attempts_cap = s.whole("attempts", 6, 1, 200);
    m.bounds.may_cancel = s.flag("may_cancel", true);
    m.bounds.may_duplicate = s.flag("may_duplicate", false);
    m.bounds.probes = s.flag("probes", true);
    m.bounds.retry_after = s.flag("retry_after", true);
    m.bounds.max_retry_after = s.ms("most_retry_after_ms", std::chrono::seconds(1));
    m.bounds.max_open = s.whole("open_calls", 20'000, 1, 10'000'000);
    m.bounds.dial_timeout = s.ms("dial_timeout_ms", std::chrono::milliseconds(250), 1);
  });
  root.section("instances", [&](Section& s) {
    m.instances.orders = s.flag("orders", true);
    m.instances.on_miss =
        s.choice("on_miss", MissMode::kMiss, {{"load", MissMode::kLoad}, {"miss", MissMode::kMiss}});
    m.instances.reports_instance_found = s.flag("tells_found", true);
    m.instances.reports_others_in_flight = s.flag("tells_company", true);
    m.instances.keep_alive = s.ms("keep_alive_ms", std::chrono::seconds(10), 1);
    m.instances.order_floor = s.number("order_floor", 0, 0, 1e9);
    m.instances.orders_per_request = s.number("orders_per_call", 0, 0, 1e9);
    m.instances.order_window = s.ms("order_window_ms", Duration(0));
    m.instances.order_timeout = s.ms("order_timeout_ms", std::chrono::seconds(10), 1);
    m.instances.idle_memory_cost = s.number("idle_memory_cost", 0, 0, 1e6);
  });
  root.section("rules", [&](Section& s) {
    m.rules.cold_capacity_share = s.number("cold_from", 1, 0.001, 1);
    m.rules.cold_duration = s.ms("cold_for_ms", Duration(0));
    m.rules.overload_multiple = s.number("fall_multiple", 2, 0.1, 1000);
    m.rules.overload_duration = s.ms("overload_for_ms", std::chrono::seconds(1));
    m.rules.drain_grace = s.ms("drain_grace_ms", std::chrono::seconds(1));
    m.rules.answer_grace = s.ms("answer_grace_ms", std::chrono::milliseconds(16));
    m.rules.ask_within = s.ms("ask_within_ms", std::chrono::seconds(10));
    m.over_share_worth = s.number("over_share_worth", 1, 0, 1);
    m.worth_by_work = s.flag("worth_by_work", false);
    m.tick = s.ms("tick_ms", std::chrono::milliseconds(1));
  });
  root.sections("kind", [&](Section& s) {
    out.kind_names.push_back(s.required_text("name"));
    m.instances.memory_mb_by_kind.push_back(s.number("memory_mb", 0, 0, 1e9));
  });
  root.sections("class", [&](Section& s) { read_class(s, out); });
  root.sections("tenant", [&](Section& s) {
    Tenant t;
    out.tenant_names.push_back(s.required_text("name"));
    t.share = s.number("share", 0, 0, 1);
    t.quota_per_s = s.number("quota_per_s", 0, 0, 1e9);
    m.tenants.push_back(t);
  });
  root.sections("function", [&](Section& s) { read_function(s, out); });
  root.section("list", [&](Section& s) {
    out.list.service = s.address("service");
    out.list.file = s.text("file", "", 4096);
    out.list.cache = s.text("cache", "", 4096);
    out.list.poll = s.ms("poll_ms", out.list.poll, 10);
    if (out.list.service.has_value() == !out.list.file.empty())
      s.report_error("service", "exactly one of service and file tells where workers are");
  });
  root.section("ledger", [&](Section& s) { read_ledger(s, out); });
  root.section("invoke", [&](Section& s) { read_invoke(s, out); });
  root.sections("key", [&](Section& s) { read_key(s, out); });
  if (out.invoke.listen && out.keys.empty())
    root.report_error("key", "the invoke API needs at least one [[key]]: no key, no call");
  root.sections("broker", [&](Section& s) { read_broker(s, out); });
  for (const Broker& b : out.brokers)
    if (out.ledger.directory.empty() && (b.acknowledge == AcknowledgeMode::kOnTake || b.sole_reader))
      root.report_error("broker",
                        b.name + ": acknowledge = \"take\" and sole_reader need a ledger (ledger.directory)");
  root.sections("peer", [&](Section& s) {
    const auto number = s.whole<std::uint32_t>("number", 0, 0, 65535);
    const auto address = s.address("address");
    const auto invoke = s.address("invoke");
    if (!address) return s.report_error("address", "is needed, such as \"127.0.0.1:7300\"");
    out.peers.push_back({number, *address, invoke});
  });
  m.bounds.peers = !out.peers.empty();
  if (out.module.classes.empty()) root.report_error("class", "at least one [[class]] is needed");
  if (out.functions.empty()) root.report_error("function", "at least one [[function]] is needed");
  std::size_t taken = 0;
  for (const Broker& b : out.brokers) taken += b.queues.size() * b.prefetch;
  if (taken > static_cast<std::size_t>(m.bounds.max_open))
    root.report_error("broker", "the queues' prefetch adds up to " + std::to_string(taken) +
                                    ", over bounds.open_calls = " + std::to_string(m.bounds.max_open));
}

}  // namespace

// toml++ 3.3 has undefined behaviour on some non-ASCII characters in bare keys (found by fuzzing). TOML does
// not allow them there, so they are rejected before parsing; quoted strings and comments may contain them.
static std::optional<Problem> find_unquoted_non_ascii(std::string_view text, const std::string& file) {
  std::uint32_t line = 1;
  bool in_quote_or_comment = false;  // after a quote or comment sign in this line
  for (const char c : text) {
    if (c == '\n') {
      ++line, in_quote_or_comment = false;
    } else if (c == '"' || c == '\'' || c == '#') {
      in_quote_or_comment = true;
    } else if (!in_quote_or_comment && static_cast<unsigned char>(c) >= 0x80) {
      return Problem{file, line, "", "expected ASCII outside of quotes and comments"};
    }
  }
  return std::nullopt;
}

std::string Problem::to_string() const {
  std::string where = file;
  if (line > 0) where += ":" + std::to_string(line);
  return where + ": " + (key.empty() ? "" : key + ": ") + text;
}

FunctionId function_id(std::string_view name) {
  return FunctionId{XXH3_64bits(name.data(), name.size()) & ((1ULL << 40) - 1)};
}

std::optional<std::uint32_t> Settings::tenant(std::string_view name) const {
  const auto it = std::find(tenant_names.begin(), tenant_names.end(), name);
  if (it == tenant_names.end()) return std::nullopt;
  return static_cast<std::uint32_t>(it - tenant_names.begin());
}

SettingsResult parse(std::string_view text, const std::string& file) {
  SettingsResult checked;
  if (const auto problem = find_unquoted_non_ascii(text, file)) {
    checked.problems.push_back(*problem);
    return checked;
  }
  const toml::parse_result parsed = toml::parse(text, file);
  if (!parsed) {
    const toml::parse_error& e = parsed.error();
    checked.problems.push_back({file, e.source().begin.line, "", std::string(e.description())});
    return checked;
  }
  Settings settings;
  Section root(&parsed.table(), "", file, checked.problems);
  read_all(root, settings);
  root.report_unknown_keys();
  std::set<std::uint64_t> ids;
  for (const Function& f : settings.functions)
    if (!ids.insert(static_cast<std::uint64_t>(f.id)).second)
      checked.problems.push_back(
          {file, 0, "function", "the names of two functions hash alike; rename " + f.name});
  std::stable_sort(checked.problems.begin(), checked.problems.end(),
                   [](const Problem& a, const Problem& b) { return a.line < b.line; });
  if (checked.problems.empty()) checked.settings = std::move(settings);
  return checked;
}

SettingsResult load(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return {std::nullopt, {{file, 0, "", "cannot be read"}}};
  std::ostringstream text;
  text << in.rdbuf();
  return parse(text.str(), file);
}

std::vector<std::string> needs_restart(const Settings& from, const Settings& to) {
  std::vector<std::string> keys;
  const laureltide::Settings &a = from.module, &b = to.module;
  if (from.class_names != to.class_names) keys.emplace_back("class");
  if (from.tenant_names != to.tenant_names) keys.emplace_back("tenant");
  if (from.kind_names != to.kind_names) keys.emplace_back("kind");
  auto class_differs = [](const RequestClass& x, const RequestClass& y) {
    return std::tie(x.worth, x.late_worth, x.target, x.give_up, x.semantics, x.group, x.repeat_window,
                    x.streamed) != std::tie(y.worth, y.late_worth, y.target, y.give_up, y.semantics, y.group,
                                            y.repeat_window, y.streamed);
  };
  if (!std::equal(a.classes.begin(), a.classes.end(), b.classes.begin(), b.classes.end(),
                  [&](auto& x, auto& y) { return !class_differs(x, y); }) &&
      from.class_names == to.class_names)
    keys.emplace_back("class");
  if (a.replica_index != b.replica_index || a.replicas != b.replicas ||
      from.gateway.name != to.gateway.name || from.gateway.loopback_only != to.gateway.loopback_only)
    keys.emplace_back("gateway");
  if (std::tie(a.bounds.attempts_cap, a.bounds.may_cancel, a.bounds.may_duplicate, a.bounds.probes,
               a.bounds.max_open, a.bounds.dial_timeout) !=
      std::tie(b.bounds.attempts_cap, b.bounds.may_cancel, b.bounds.may_duplicate, b.bounds.probes,
               b.bounds.max_open, b.bounds.dial_timeout))
    keys.emplace_back("bounds");
  if (from.invoke.listen != to.invoke.listen) keys.emplace_back("invoke");
  if (from.ledger != to.ledger) keys.emplace_back("ledger");
  if (from.list.service != to.list.service || from.list.file != to.list.file) keys.emplace_back("list");
  return keys;
}

}  // namespace laureltide::config
