#include "node/intake.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "platform/frame.h"

namespace laureltide::node {
namespace {

constexpr std::size_t kMaxKeyLength = 64;  // characters of an idempotency key
constexpr double kMaxNumber = 1e9;         // that a client may state about its call
constexpr double kMaxTtlFactor = 2;        // of the class's give-up time; clients never wait longer

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  if (value < 0 || value > kMaxNumber) return std::nullopt;
  return value;
}

Duration from_ms(double ms) { return Duration(std::llround(ms * 1e6)); }

std::optional<std::size_t> index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<std::size_t>(it - names.begin());
}

bool is_valid_key(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyLength && std::all_of(key.begin(), key.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
  });
}

// Reads the field "more", such as "memory_mb:512;lanes:2". Returns an error text or null.
const char* parse_function_attributes(std::string_view more, config::Function& function) {
  while (!more.empty()) {
    const std::size_t semicolon = more.find(';');
    const std::string_view pair = more.substr(0, semicolon);
    more = semicolon == std::string_view::npos ? std::string_view{} : more.substr(semicolon + 1);
    const std::size_t colon = pair.find(':');
    const auto value = colon == std::string_view::npos ? std::nullopt : parse_number(pair.substr(colon + 1));
    if (!value) return "more: not name:figure pairs, figures from 0 to 1e9";
    const std::string_view name = pair.substr(0, colon);
    if (name == "memory_mb") function.memory_mb = static_cast<float>(*value);
    if (name == "lanes") function.lanes = static_cast<float>(*value);
    if (name == "load_ms") function.load_time = from_ms(*value);
  }
  return nullptr;
}

}  // namespace

ParsedCall parse_call(const front::Fields& fields, std::string body, const config::Settings& settings) {
  ParsedCall parsed;
  const auto reject = [&](std::string error) {
    parsed.error = std::move(error);
    return std::move(parsed);
  };
  const auto field = [&](const char* name) -> const std::string* {
    const auto it = fields.find(name);
    return it == fields.end() ? nullptr : &it->second;
  };
  const std::string* id = field("call");
  const auto call_id = id ? platform::parse_id(*id) : std::nullopt;
  if (!call_id) return reject("call: not 16 hex digits");
  parsed.id = *call_id;
  const std::string* op = field("op");
  const auto class_index = op ? index_of(settings.class_names, *op) : std::nullopt;
  if (!class_index) return reject("op: no such class");
  const std::string* org = field("org");
  const auto tenant = org ? index_of(settings.tenant_names, *org) : std::nullopt;
  if (!tenant && !settings.tenant_names.empty()) return reject("org: no such tenant");
  const RequestClass& request_class = settings.module.classes[*class_index];
  const std::string* row = field("row");
  const auto function_id = row ? platform::parse_id(*row) : std::nullopt;
  if (!function_id) return reject("row: not 16 hex digits");
  const std::string* ttl = field("ttl");
  const auto ttl_ms = ttl ? parse_number(*ttl) : std::nullopt;
  const double give_up_ms = std::chrono::duration<double, std::milli>(request_class.give_up).count();
  if (!ttl_ms || *ttl_ms <= 0 || *ttl_ms > kMaxTtlFactor * give_up_ms)
    return reject("ttl: not a figure of milliseconds that a client of this class waits");
  const std::string* dedupe = field("dedupe");
  if (dedupe && !dedupe->empty() && !is_valid_key(*dedupe))
    return reject("dedupe: not 1 to 64 letters, digits, '-' and '_'");
  if (request_class.semantics == Semantics::kKeyed && (!dedupe || dedupe->empty()))
    return reject("dedupe: missing, and this class is keyed");

  auto function = std::make_shared<config::Function>();
  function->name = *row;
  function->id = FunctionId{*function_id};
  function->request_class = static_cast<ClassIndex>(*class_index);
  if (const std::string* work = field("work"); work && !work->empty()) {
    const auto work_ms = parse_number(*work);
    if (!work_ms) return reject("work: not a figure from 0 to 1e9");
    function->work_hint = from_ms(*work_ms);
  }
  if (const std::string* more = field("more"))
    if (const char* error = parse_function_attributes(*more, *function)) return reject(error);

  controller::Call call;
  call.name = *id;
  call.function = function.get();
  call.owned_function = std::move(function);
  if (tenant) call.tenant = static_cast<std::uint32_t>(*tenant);
  if (dedupe) call.key = *dedupe;
  call.body = std::move(body);
  call.timeout = from_ms(*ttl_ms);
  parsed.call = std::move(call);
  return parsed;
}

front::Reply to_reply(controller::Answer answer, bool send_retry_after, Duration max_retry_after) {
  using Kind = controller::Answer::Kind;
  front::Reply reply;
  reply.kind = answer.kind == Kind::kServed    ? front::Reply::Kind::kServed
               : answer.kind == Kind::kRefused ? front::Reply::Kind::kRefused
                                               : front::Reply::Kind::kFailed;
  reply.body = std::move(answer.body);
  if (answer.kind == Kind::kRefused && send_retry_after && answer.retry_after > Duration(0)) {
    const auto ms =
        std::chrono::ceil<std::chrono::milliseconds>(std::min(answer.retry_after, max_retry_after));
    reply.fields["pushback"] = std::to_string(ms.count());
  }
  return reply;
}

}  // namespace laureltide::node
