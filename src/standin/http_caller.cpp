#include "standin/http_caller.h"

namespace laureltide::standin {

// Retries go on this long after the call's deadline: a client still expects its answer.
constexpr Duration kRetryAfterDeadline = std::chrono::seconds(30);

HttpCaller::HttpCaller(io::Host& host, HttpCallerOptions options, Tape& tape)
    : host_(host), options_(std::move(options)), tape_(tape), dead_(host), dead_exchanges_(host) {}
HttpCaller::~HttpCaller() = default;

void HttpCaller::call(const CallToMake& c) {
  auto& open = open_[c.name];
  open = std::make_unique<OpenCall>();
  open->call = c;
  open->gateway = next_gateway_++ % options_.gateways.size();
  open->retry_until =
      host_.now() + std::chrono::milliseconds(c.patience_ms.value_or(3000)) + kRetryAfterDeadline;
  open->retry_timer = host_.timer([this, name = c.name] { send(name); });
  tape_.note(host_.now(), "sent",
             {{"call", c.name},
              {"function", c.function},
              {"class", c.request_class},
              {"tenant", c.tenant},
              {"key", c.key},
              {"patience_ms", c.patience_ms.value_or(0)},
              {"wants_answer", true}});
  send(c.name);
}

void HttpCaller::send(const std::string& name) {
  const auto it = open_.find(name);
  if (it == open_.end()) return;
  OpenCall& open = *it->second;
  const auto token = options_.tokens.find(open.call.tenant);
  http::Request request;
  request.headers.add("Host", "gateway");
  request.headers.add("Connection", "close");
  request.headers.add(
      "Authorization",
      "Bearer " + (token == options_.tokens.end() ? options_.tokens.begin()->second : token->second));
  if (!open.location.empty()) {
    request.method = "GET", request.target = open.location;
  } else {
    request.method = "POST",
    request.target = "/v1/functions/" + http::percent_encode(open.call.function) + "/calls";
    request.headers.add("Idempotency-Key", "\"" + name + "\"");
    if (open.call.patience_ms)
      request.headers.add("Call-Deadline-Ms", std::to_string(*open.call.patience_ms));
    if (!open.call.key.empty()) request.headers.add("Call-Key", open.call.key);
    if (options_.deferred) request.headers.add("Prefer", "respond-async");
    request.body = open.call.body;
  }
  send_request(name, std::move(request), options_.gateways[open.gateway % options_.gateways.size()]);
}

void HttpCaller::send_request(const std::string& name, http::Request request, const io::Address& to) {
  OpenCall& open = *open_.at(name);
  ++open.attempts;
  if (request.method == "POST" && !open.replayed) {
    const auto at = std::find(options_.gateways.begin(), options_.gateways.end(), to);
    const std::string who = at == options_.gateways.end()
                                ? to.text()
                                : options_.names[static_cast<std::size_t>(at - options_.gateways.begin())];
    tape_.note(host_.now(), "delivered",
               {{"call", name}, {"to", who}, {"redelivered", open.maybe_received}, {"front", "http"}});
  }
  dead_exchanges_.delete_later(std::move(open.exchange));
  const Duration within =
      std::chrono::milliseconds(open.call.patience_ms.value_or(3000)) + std::chrono::seconds(20);
  open.exchange = std::make_unique<http::Exchange>(
      host_, to, request, within, http::Limits{}, [this, name, request](http::Exchange::Result result) {
        const auto it = open_.find(name);
        if (it == open_.end()) return;
        it->second->maybe_received = it->second->maybe_received || result.sent;
        if (result.status == 307)
          if (const std::string* where = result.headers.find("Location"))
            if (const auto url = http::parse_url(*where)) {
              http::Request moved = request;
              moved.target = url->target;
              it->second->gateway = static_cast<std::size_t>(
                  std::find(options_.gateways.begin(), options_.gateways.end(), url->address) -
                  options_.gateways.begin());
              return send_request(name, std::move(moved), url->address);
            }
        on_result(name, std::move(result));
      });
}

void HttpCaller::retry_later(OpenCall& open) {
  if (host_.now() > open.retry_until || open.attempts >= options_.max_attempts) {
    tape_.note(host_.now(), "gave_up", {{"call", open.call.name}});
    return;
  }
  open.retry_timer->start(options_.retry_delay);
}

void HttpCaller::on_result(const std::string& name, http::Exchange::Result result) {
  OpenCall& open = *open_.at(name);
  // Workers see the call under the id that the gateway gave it.
  if (const std::string* id = result.headers.find("Call-Id"))
    tape_.note(host_.now(), "named", {{"call", name}, {"id", *id}});
  if (result.status == 202) {
    if (const std::string* where = result.headers.find("Location")) open.location = *where;
    return retry_later(open);
  }
  if (result.status == 0) {
    // The controller is down: the retry goes to the next one, which finds the owner of the key.
    if (open.location.empty()) ++open.gateway;
    return retry_later(open);
  }
  const std::string* outcome = result.headers.find("Call-Outcome");
  if (!outcome) {
    // Not an answer to the call: it was not accepted (503), or is unknown after a crash (404), so it is sent
    // again.
    if (result.status == 404 && !open.location.empty()) open.location.clear();
    if (result.status == 503 || result.status == 404 || result.status == 429) return retry_later(open);
    tape_.note(host_.now(), "turned_away",
               {{"call", name}, {"status", result.status}, {"body", result.body}});
  }
  if (open.replayed) {  // the replay must get the same answer
    tape_.note(host_.now(), "again",
               {{"call", name},
                {"outcome", outcome ? *outcome : "status " + std::to_string(result.status)},
                {"bytes", result.status == 200 ? result.body.size() : 0}});
    return dead_.delete_later(std::move(open_.extract(name).mapped()));
  }
  Caller::Answered a;
  a.at = host_.now();
  a.outcome = outcome ? *outcome : "refused";
  if (result.status != 200) a.reason = result.body;
  a.body = result.status == 200 ? std::move(result.body) : "";
  tape_.note(host_.now(), "answer",
             {{"call", name},
              {"outcome", a.outcome},
              {"reason", a.reason},
              {"bytes", a.body.size()},
              {"front", "http"}});
  if (outcome && *outcome != "refused" && host_.random_unit() < options_.repeat) {
    open.replayed = true;
    open.location.clear();
    open.retry_timer->start(options_.retry_delay);
  } else {
    dead_.delete_later(std::move(open_.extract(name).mapped()));
  }
  if (on_answer) on_answer(name, a);
}

}  // namespace laureltide::standin
