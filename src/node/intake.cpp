#include "node/intake.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "platform/frame.h"

namespace laureltide::node {
namespace {

constexpr std::size_t kMostKey = 64;  // characters of an idempotency key
constexpr double kMostFigure = 1e9;   // of what a client says of its call
constexpr double kMostTtl = 2;        // times the class's give-up time; clients never wait longer

std::optional<double> figure(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  if (value < 0 || value > kMostFigure) return std::nullopt;
  return value;
}

Duration from_ms(double ms) { return Duration(std::llround(ms * 1e6)); }

std::optional<std::size_t> place(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<std::size_t>(it - names.begin());
}

bool key_form(std::string_view key) {
  return !key.empty() && key.size() <= kMostKey && std::all_of(key.begin(), key.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
  });
}

// "memory_mb:512;lanes:2"
const char* read_more(std::string_view more, config::Function& function) {
  while (!more.empty()) {
    const std::size_t semicolon = more.find(';');
    const std::string_view pair = more.substr(0, semicolon);
    more = semicolon == std::string_view::npos ? std::string_view{} : more.substr(semicolon + 1);
    const std::size_t colon = pair.find(':');
    const auto value = colon == std::string_view::npos ? std::nullopt : figure(pair.substr(colon + 1));
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
  ParsedCall read;
  const auto bad = [&](std::string why) {
    read.why = std::move(why);
    return std::move(read);
  };
  const auto field = [&](const char* name) -> const std::string* {
    const auto it = fields.find(name);
    return it == fields.end() ? nullptr : &it->second;
  };
  const std::string* id = field("call");
  const auto number = id ? platform::parse_id(*id) : std::nullopt;
  if (!number) return bad("call: not 16 hex digits");
  read.id = *number;
  const std::string* op = field("op");
  const auto request_class = op ? place(settings.class_names, *op) : std::nullopt;
  if (!request_class) return bad("op: no such class");
  const std::string* org = field("org");
  const auto tenant = org ? place(settings.tenant_names, *org) : std::nullopt;
  if (!tenant && !settings.tenant_names.empty()) return bad("org: no such tenant");
  const RequestClass& c = settings.module.classes[*request_class];
  const std::string* row = field("row");
  const auto function_id = row ? platform::parse_id(*row) : std::nullopt;
  if (!function_id) return bad("row: not 16 hex digits");
  const std::string* ttl = field("ttl");
  const auto wait = ttl ? figure(*ttl) : std::nullopt;
  const double give_up_ms = std::chrono::duration<double, std::milli>(c.give_up).count();
  if (!wait || *wait <= 0 || *wait > kMostTtl * give_up_ms)
    return bad("ttl: not a figure of milliseconds that a client of this class waits");
  const std::string* dedupe = field("dedupe");
  if (dedupe && !dedupe->empty() && !key_form(*dedupe))
    return bad("dedupe: not 1 to 64 letters, digits, '-' and '_'");
  if (c.semantics == Semantics::kKeyed && (!dedupe || dedupe->empty()))
    return bad("dedupe: missing, and this class is keyed");

  auto function = std::make_shared<config::Function>();
  function->name = *row;
  function->id = FunctionId{*function_id};
  function->request_class = static_cast<ClassIndex>(*request_class);
  if (const std::string* work = field("work"); work && !work->empty()) {
    const auto hint = figure(*work);
    if (!hint) return bad("work: not a figure from 0 to 1e9");
    function->work_hint = from_ms(*hint);
  }
  if (const std::string* more = field("more"))
    if (const char* why = read_more(*more, *function)) return bad(why);

  controller::Call call;
  call.name = *id;
  call.function = function.get();
  call.owned_function = std::move(function);
  if (tenant) call.tenant = static_cast<std::uint32_t>(*tenant);
  if (dedupe) call.key = *dedupe;
  call.body = std::move(body);
  call.timeout = from_ms(*wait);
  read.call = std::move(call);
  return read;
}

front::Reply to_reply(controller::Answer answer, bool advise, Duration most_advice) {
  using Kind = controller::Answer::Kind;
  front::Reply reply;
  reply.kind = answer.kind == Kind::kServed    ? front::Reply::Kind::kServed
               : answer.kind == Kind::kRefused ? front::Reply::Kind::kRefused
                                               : front::Reply::Kind::kFailed;
  reply.body = std::move(answer.body);
  if (answer.kind == Kind::kRefused && advise && answer.retry_after > Duration(0)) {
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(std::min(answer.retry_after, most_advice));
    reply.fields["pushback"] = std::to_string(ms.count());
  }
  return reply;
}

}  // namespace laureltide::node
