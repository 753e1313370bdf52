#include "controller/invoke.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "controller/owed.h"

namespace laureltide::controller {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxWaitingClients = 16;       // for one call
constexpr std::size_t kMaxConcurrentCallbacks = 64;  // further ones queue
constexpr Duration kCallbackTimeout = std::chrono::seconds(10);
constexpr Duration kInitialCallbackRetryDelay = std::chrono::seconds(1);
constexpr Duration kBacklogRetryInterval = std::chrono::milliseconds(100);
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

std::string dump(const json& doc) { return doc.dump(-1, ' ', false, json::error_handler_t::replace); }

http::ServerOptions server_options(const config::Settings& settings) {
  http::ServerOptions o;
  o.limits.max_body_bytes = settings.gateway.max_body_bytes;
  o.header_timeout = settings.invoke.header_timeout, o.body_timeout = settings.invoke.body_timeout;
  o.max_connections = settings.invoke.max_connections;
  return o;
}

std::int64_t ms(Duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

}  // namespace

InvokeFront::InvokeFront(io::Host& host, Core& core, const config::Settings& settings, Log log,
                         ledger::CallLedger* book)
    : host_(host),
      core_(core),
      options_(settings.invoke),
      own_number_(settings.module.replica_index),
      replicas_(settings.module.replicas),
      tenant_names_(settings.tenant_names),
      keyring_(settings.keys),
      log_(std::move(log)),
      book_(book),
      server_(host, server_options(settings), *this),
      backlog_timer_(host.timer([this] { run_backlog(); })),
      finished_callbacks_(host) {
  apply_settings(settings);
  if (book_) recover_owed_calls();
}
InvokeFront::~InvokeFront() { *alive_ = false; }

void InvokeFront::apply_settings(const config::Settings& settings) {
  keyring_ = Keyring(settings.keys);
  peers_.clear();
  for (const config::Peer& peer : settings.peers)
    if (peer.invoke) peers_[peer.number] = *peer.invoke;
  const auto listen = options_.listen;
  options_ = settings.invoke;
  options_.listen = listen;
}

// ---- Responses --------------------------------------------------------------------------------------------

std::string InvokeFront::on_invalid_request(int status, const std::string& why) {
  return dump(
      {{"type", "about:blank"}, {"title", http::reason_phrase(status)}, {"status", status}, {"detail", why}});
}

void InvokeFront::respond_with_problem(Ticket ticket, int status, const std::string& detail,
                                       http::Headers headers) {
  http::Response response;
  response.status = status;
  response.headers = std::move(headers);
  response.headers.add("Content-Type", "application/problem+json");
  response.body = on_invalid_request(status, detail);
  server_.respond(ticket, std::move(response));
}

void InvokeFront::respond_with_answer(Ticket ticket, const std::string& id, const Answer& answer,
                                      bool replayed) {
  http::Response response;
  response.headers.add("Call-Id", id);
  response.headers.add("Call-Outcome", text_of(answer.kind));
  if (replayed) response.headers.add("Call-Replayed", "true");
  if (answer.kind == Answer::Kind::kServed) {
    response.headers.add("Content-Type", "application/octet-stream");
    response.body = answer.body;
    return server_.respond(ticket, std::move(response));
  }
  const bool refused = answer.kind == Answer::Kind::kRefused;
  response.status = refused ? 503 : 502;
  if (answer.retry_after > Duration(0)) {  // whole seconds, rounded up (RFC 9110, 10.2.3)
    response.headers.add("Retry-After", std::to_string((ms(answer.retry_after) + 999) / 1000));
    response.headers.add("Call-Retry-After-Ms", std::to_string(ms(answer.retry_after)));
  }
  response.headers.add("Content-Type", "application/problem+json");
  response.body = dump({{"type", "about:blank"},
                        {"title", refused ? "The call was refused" : "The call failed"},
                        {"status", response.status},
                        {"detail", answer.reason},
                        {"outcome", text_of(answer.kind)},
                        {"call", id}});
  server_.respond(ticket, std::move(response));
}

void InvokeFront::respond_pending(Ticket ticket, const std::string& id) {
  http::Response response;
  response.status = 202;
  response.headers.add("Location", "/v1/calls/" + id);
  response.headers.add("Call-Id", id);
  response.headers.add("Preference-Applied", "respond-async");
  response.headers.add("Retry-After", "1");
  response.headers.add("Content-Type", "application/json");
  response.body = dump({{"call", id}, {"state", "open"}});
  server_.respond(ticket, std::move(response));
}

// Redirects a request for a call that another controller owns; 307 keeps method and body.
bool InvokeFront::redirect_to_owner(Ticket ticket, std::uint32_t owner, const std::string& target) {
  if (owner == own_number_) return false;
  const auto peer = peers_.find(owner);
  if (peer == peers_.end()) {
    respond_with_problem(
        ticket, 503,
        "controller " + std::to_string(owner) + " holds this, and its address is not in the settings");
    return true;
  }
  http::Headers headers;
  headers.add("Location", "http://" + peer->second.text() + target);
  respond_with_problem(ticket, 307, "controller " + std::to_string(owner) + " holds this",
                       std::move(headers));
  return true;
}

// ---- Requests ---------------------------------------------------------------------------------------------

std::optional<std::uint32_t> InvokeFront::tenant_of(Ticket ticket, const http::Request& request) {
  const std::string* authorization = request.headers.find("Authorization");
  std::optional<std::uint32_t> tenant;
  if (authorization && request.headers.count("Authorization") == 1) tenant = keyring_.tenant(*authorization);
  if (tenant) return tenant;
  http::Headers headers;
  headers.add("WWW-Authenticate", authorization ? "Bearer error=\"invalid_token\"" : "Bearer");
  respond_with_problem(ticket, 401, "a bearer key of a tenant is needed", std::move(headers));
  return std::nullopt;
}

void InvokeFront::on_request(Ticket ticket, http::Request request) {
  const auto target = http::split_target(request.target);
  if (!target) return respond_with_problem(ticket, 400, "the target is no path, or is badly encoded");
  const std::vector<std::string>& path = target->path;
  const bool read = request.method == "GET" || request.method == "HEAD";
  auto allow_only = [&](bool allowed, const char* methods) {
    if (allowed) return true;
    http::Headers headers;
    headers.add("Allow", methods);
    respond_with_problem(ticket, 405, "the methods here are " + std::string(methods), std::move(headers));
    return false;
  };
  if (path.size() == 2 && path[0] == "v1" && path[1] == "openapi.json") {
    if (!allow_only(read, "GET, HEAD")) return;
    http::Response response;
    response.headers.add("Content-Type", "application/json");
    response.body = openapi_document();
    return server_.respond(ticket, std::move(response));
  }
  if (path.size() == 4 && path[0] == "v1" && path[1] == "functions" && path[3] == "calls") {
    if (!allow_only(request.method == "POST", "POST")) return;
    return handle_call(ticket, request, path[2]);
  }
  if (path.size() == 3 && path[0] == "v1" && path[1] == "calls") {
    if (!allow_only(read || request.method == "DELETE", "GET, HEAD, DELETE")) return;
    return handle_show_call(ticket, request, path[2]);
  }
  respond_with_problem(ticket, 404, "nothing is here; see /v1/openapi.json");
}

void InvokeFront::handle_call(Ticket ticket, const http::Request& request, const std::string& function) {
  auto parsed = parse_request(ticket, request, function);
  if (parsed) start_call(ticket, std::move(*parsed));
}

std::optional<InvokeFront::ParsedRequest> InvokeFront::parse_request(Ticket ticket,
                                                                     const http::Request& request,
                                                                     const std::string& name) {
  auto refuse = [&](int status, const std::string& why) -> std::optional<ParsedRequest> {
    respond_with_problem(ticket, status, why);
    return std::nullopt;
  };
  const auto tenant = tenant_of(ticket, request);
  if (!tenant) return std::nullopt;
  const config::Settings& settings = core_.settings();
  const config::Function* function = settings.find(name);
  if (!function) return refuse(404, "unknown function: " + name);
  const RequestClass& request_class = settings.module.classes[function->request_class];
  ParsedRequest parsed;
  parsed.tenant = *tenant;
  parsed.call.function = function, parsed.call.tenant = *tenant;
  const http::Headers& h = request.headers;
  for (const char* once : {"Idempotency-Key", "Call-Key", "Call-Deadline-Ms", "Call-Callback"})
    if (h.count(once) > 1) return refuse(400, std::string("header ") + once + " is given twice");
  if (const std::string* deadline = h.find("Call-Deadline-Ms")) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(deadline->data(), deadline->data() + deadline->size(), value);
    if (error != std::errc() || end != deadline->data() + deadline->size() || value < 1 ||
        value > kMaxDeadlineMs)
      return refuse(400,
                    "header Call-Deadline-Ms: expected milliseconds from 1 to 3600000, found " + *deadline);
    parsed.call.timeout = std::chrono::milliseconds(value);
  }
  std::optional<std::string> idempotency;
  if (const std::string* header = h.find("Idempotency-Key")) {
    idempotency = parse_key(*header);
    if (!idempotency)
      return refuse(400, "header Idempotency-Key: expected a text of 1 to 255 printable characters");
  }
  if (const std::string* header = h.find("Call-Key")) parsed.call.key = *header;
  if (parsed.call.key.empty() && idempotency) parsed.call.key = *idempotency;
  if (request_class.semantics == Semantics::kKeyed && parsed.call.key.empty())
    return refuse(400, "a call of this class needs header Call-Key or Idempotency-Key");
  for (const auto& [header, value] : h.all())
    if (http::equal_ignoring_case(header, "Prefer")) {
      const Preferences p = parse_prefer(value);
      parsed.deferred |= p.respond_async;
      if (p.wait_s) parsed.wait_s = p.wait_s;
    }
  if (const std::string* callback = h.find("Call-Callback")) {
    if (!parsed.deferred) return refuse(400, "header Call-Callback needs Prefer: respond-async");
    const auto url = http::parse_url(*callback);
    if (!url)
      return refuse(400, "header Call-Callback: expected http://ADDRESS:PORT/PATH, found " + *callback);
    if (std::find(options_.callbacks.begin(), options_.callbacks.end(), url->address) ==
        options_.callbacks.end())
      return refuse(403, "answers may not be posted to " + url->address.text());
    parsed.callback = *callback;
  }
  parsed.named = idempotency.has_value();
  if ((parsed.named || parsed.deferred) && !book_)
    return refuse(501, "deferred and named calls need a ledger, and none is set up here");
  const std::string& tenant_name = settings.tenant_names[*tenant];
  if (parsed.named) {
    if (redirect_to_owner(ticket, owner_of_key(tenant_name, *idempotency, replicas_), request.target))
      return std::nullopt;
    parsed.id = call_id(own_number_, ledger::digest_of({tenant_name, *idempotency}));
  } else {
    std::string random_bytes;
    for (int i = 0; i < 2; ++i) {
      const std::uint64_t n = host_.random();
      random_bytes.append(reinterpret_cast<const char*>(&n), sizeof n);
    }
    parsed.id = call_id(own_number_, random_bytes);
  }
  parsed.digest = ledger::digest_of({name, parsed.call.key, request.body, parsed.callback});
  parsed.call.name = parsed.id;
  parsed.call.body = request.body;
  return parsed;
}

void InvokeFront::join(Ticket ticket, const std::string& id, OpenCall& open, const ParsedRequest& parsed) {
  if (open.waiting_clients.size() >= kMaxWaitingClients)
    return respond_with_problem(ticket, 429, "too many clients wait for this call");
  open.waiting_clients.push_back(ticket);
  call_id_by_waiting_client_[ticket] = id;
  if (!parsed.deferred || !open.accepted) return;
  // Deferred: the answer if it comes within the preferred wait, else 202 with its location.
  auto timer = host_.timer([this, ticket, id] {
    const auto it = open_calls_.find(id);
    if (it != open_calls_.end()) std::erase(it->second.waiting_clients, ticket);
    call_id_by_waiting_client_.erase(ticket);
    auto mine = std::move(wait_timers_[ticket]);  // keeps the timer alive while this callback runs
    wait_timers_.erase(ticket);
    respond_pending(ticket, id);
  });
  timer->start(std::chrono::seconds(parsed.wait_s.value_or(0)));
  wait_timers_[ticket] = std::move(timer);
}

void InvokeFront::start_call(Ticket ticket, ParsedRequest parsed) {
  const std::string id = parsed.id, record_key = key(parsed.tenant, id);
  const bool recorded = parsed.named || parsed.deferred;
  if (const auto it = open_calls_.find(id); it != open_calls_.end()) {
    if (it->second.digest != parsed.digest)
      return respond_with_problem(ticket, 422, "this Idempotency-Key was used for another request");
    return join(ticket, id, it->second, parsed);
  }
  const RequestClass& request_class = core_.settings().module.classes[parsed.call.function->request_class];
  KeyDecision found;
  if (parsed.named)
    found = decide_on_key(book_->find(record_key), parsed.digest, effect_of(request_class), book_->now_ms());
  switch (found.kind) {
    case KeyDecision::Kind::kMismatch: return respond_with_problem(ticket, 422, found.reason);
    case KeyDecision::Kind::kAnswer:
      return respond_with_answer(ticket, id, from_ledger(*book_->find(record_key)->answer), true);
    case KeyDecision::Kind::kFail: {
      // The failure is recorded, so that a repeated request gets the same answer.
      Answer failed{Answer::Kind::kFailed, found.reason, {}, {}, {}};
      book_->answer(record_key, to_ledger(failed), [] {});
      book_->delivered(record_key, ledger::AfterDelivery::kKeepAnswer, ms(options_.keep));
      return respond_with_answer(ticket, id, failed);
    }
    case KeyDecision::Kind::kRun:
    case KeyDecision::Kind::kRunUntil: break;
  }
  if (draining_) {
    http::Headers headers;
    headers.add("Retry-After", "1");
    return respond_with_problem(ticket, 503, "the gateway is about to stop", std::move(headers));
  }
  if (recorded) {
    http::Headers headers;
    headers.add("Retry-After", "1");
    if (const std::string why = book_->refusal_reason(); !why.empty())
      return respond_with_problem(ticket, 503, why, std::move(headers));
    const ledger::CallLedger::Usage usage = book_->usage(front(parsed.tenant));
    if (usage.records >= options_.max_deferred || usage.bytes >= options_.max_deferred_mb << 20)
      return respond_with_problem(
          ticket, 429, "the tenant's deferred and named calls hold as much as they may", std::move(headers));
  }
  OpenCall& open = open_calls_[id];
  open.tenant = parsed.tenant, open.digest = parsed.digest, open.recorded = recorded,
  open.deferred = parsed.deferred;
  if (!recorded) {
    open.waiting_clients.push_back(ticket);
    call_id_by_waiting_client_[ticket] = id;
    return run_call(id, std::move(parsed.call));
  }
  parsed.call.ledger_key = record_key;
  if (found.kind == KeyDecision::Kind::kRunUntil) {
    const Duration window = std::chrono::milliseconds(found.until_ms - book_->now_ms());
    parsed.call.timeout = std::min(parsed.call.timeout.value_or(request_class.give_up), window);
    book_->resume(record_key, false);
  } else {
    ledger::Record record;
    record.function = parsed.call.function->name, record.key = parsed.call.key, record.digest = parsed.digest;
    record.tenant = tenant_names_[parsed.tenant];
    record.taken_ms = book_->now_ms();
    record.give_up_ms = record.taken_ms + ms(parsed.call.timeout.value_or(request_class.give_up));
    record.owed = parsed.deferred, record.callback = parsed.callback;
    if (parsed.deferred) {
      record.body = parsed.call.body;
      // The client gets 202 only once the record is durable; a crash before that leaves no trace of the call.
      auto shared = std::make_shared<ParsedRequest>(std::move(parsed));
      return book_->take(record_key, std::move(record), [this, ticket, id, shared, alive = alive_] {
        if (!*alive) return;
        const auto it = open_calls_.find(id);
        if (it == open_calls_.end()) return;
        it->second.accepted = true;
        for (const Ticket early : std::exchange(it->second.waiting_clients, {}))
          join(early, id, it->second, *shared);
        join(ticket, id, it->second, *shared);
        run_call(id, std::move(shared->call));
      });
    }
    book_->take(record_key, std::move(record));
  }
  open.accepted = true;
  open.waiting_clients.push_back(ticket);
  call_id_by_waiting_client_[ticket] = id;
  run_call(id, std::move(parsed.call));
}

void InvokeFront::run_call(const std::string& id, Call call) {
  std::uint32_t request = 0;
  const auto refused = core_.take(
      std::move(call),
      [this, id, alive = alive_](Answer a) {
        if (*alive) on_call_finished(id, std::move(a));
      },
      &request);
  if (refused) return on_call_finished(id, {Answer::Kind::kRefused, *refused, {}, {}, {}});
  if (const auto it = open_calls_.find(id); it != open_calls_.end()) it->second.request = request;
}

void InvokeFront::on_call_finished(const std::string& id, Answer answer) {
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end()) return;
  if (!backlog_.empty()) backlog_timer_->start(Duration(0));
  const std::uint32_t tenant = it->second.tenant;
  const bool deferred = it->second.deferred;
  auto deliver = [this, id, tenant, deferred, answer] {
    const auto open = open_calls_.find(id);
    if (open == open_calls_.end()) return;
    const std::vector<Ticket> waiting_clients = std::move(open->second.waiting_clients);
    const bool recorded = open->second.recorded;
    open_calls_.erase(open);
    for (const Ticket ticket : waiting_clients) {
      call_id_by_waiting_client_.erase(ticket);
      wait_timers_.erase(ticket);
      respond_with_answer(ticket, id, answer);
    }
    if (!recorded) return;
    const std::string record_key = key(tenant, id);
    const ledger::Record* record = book_->find(record_key);
    if (!record) return;
    if (!record->callback.empty()) return start_callback(id, tenant);
    // A refused call did not run: a repeat with the same key runs, so no record is needed.
    if (!deferred && answer.kind == Answer::Kind::kRefused) return book_->forget(record_key);
    book_->delivered(record_key, ledger::AfterDelivery::kKeepAnswer, ms(options_.keep));
  };
  if (!it->second.recorded) return deliver();
  book_->answer(key(tenant, id), to_ledger(answer), [deliver, alive = alive_] {
    if (*alive) deliver();
  });
}

void InvokeFront::on_client_disconnected(Ticket ticket) {
  const auto it = call_id_by_waiting_client_.find(ticket);
  if (it == call_id_by_waiting_client_.end()) return;
  const std::string id = it->second;
  call_id_by_waiting_client_.erase(it);
  wait_timers_.erase(ticket);
  const auto open = open_calls_.find(id);
  if (open == open_calls_.end()) return;
  std::erase(open->second.waiting_clients, ticket);
  // A plain call cannot be asked for again: without its client it is abandoned.
  if (open->second.recorded || !open->second.waiting_clients.empty()) return;
  const auto request = open->second.request;
  open_calls_.erase(open);
  if (request) core_.abandon(*request);
}

// ---- Calls by their ids -----------------------------------------------------------------------------------

void InvokeFront::handle_show_call(Ticket ticket, const http::Request& request, const std::string& id) {
  const auto tenant = tenant_of(ticket, request);
  if (!tenant) return;
  const auto owner = owner_of_id(id);
  if (!owner || *owner >= std::max(replicas_, own_number_ + 1))
    return respond_with_problem(ticket, 404, "no such call: " + id);
  if (redirect_to_owner(ticket, *owner, request.target)) return;
  if (request.method == "DELETE") return handle_forget_call(ticket, id, *tenant);
  // Another tenant's call is reported like an unknown one.
  if (const auto open = open_calls_.find(id);
      open != open_calls_.end() && open->second.tenant == *tenant && open->second.recorded)
    return respond_pending(ticket, id);
  const ledger::Record* record = book_ ? book_->find(key(*tenant, id)) : nullptr;
  if (record && record->answer) return respond_with_answer(ticket, id, from_ledger(*record->answer));
  if (record && record->owed) return respond_pending(ticket, id);
  respond_with_problem(ticket, 404, "no such call, or its answer is not kept any more: " + id);
}

void InvokeFront::handle_forget_call(Ticket ticket, const std::string& id, std::uint32_t tenant) {
  const std::string record_key = book_ ? key(tenant, id) : "";
  const ledger::Record* record = book_ ? book_->find(record_key) : nullptr;
  if (!record)
    return respond_with_problem(ticket, 404, "no such call, or its answer is not kept any more: " + id);
  if (open_calls_.contains(id) || !record->answer || callbacks_.contains(id))
    return respond_with_problem(ticket, 409, "the call is not over: its answer can be dropped once it is");
  book_->forget(record_key);
  http::Response response;
  response.status = 204;
  server_.respond(ticket, std::move(response));
}

// ---- Callbacks --------------------------------------------------------------------------------------------

void InvokeFront::start_callback(const std::string& id, std::uint32_t tenant) {
  if (callbacks_.contains(id)) return;
  if (callbacks_.size() >= kMaxConcurrentCallbacks) return void(callback_queue_.emplace_back(id, tenant));
  auto& slot = callbacks_[id];
  slot = std::make_unique<Callback>();
  slot->id = id, slot->tenant = tenant;
  slot->retry_timer = host_.timer([this, raw = slot.get()] { send_callback(*raw); });
  slot->retry_timer->start(Duration(0));
}

void InvokeFront::send_callback(Callback& c) {
  const ledger::Record* record = book_->find(key(c.tenant, c.id));
  const auto url = record ? http::parse_url(record->callback) : std::nullopt;
  if (!record || !record->answer || !url) return finish_callback(c.id, false);
  ++c.attempts;
  http::Request request;
  request.method = "POST", request.target = url->target;
  request.headers.add("Host", url->address.text());
  request.headers.add("Call-Id", c.id);
  request.headers.add("Idempotency-Key", "\"" + c.id + "\"");  // the same on every retry
  const Answer answer = from_ledger(*record->answer);
  request.headers.add("Call-Outcome", text_of(answer.kind));
  request.headers.add("Connection", "close");
  if (answer.kind == Answer::Kind::kServed) {
    request.headers.add("Content-Type", "application/octet-stream");
    request.body = answer.body;
  } else {
    request.headers.add("Content-Type", "application/problem+json");
    request.body = dump({{"type", "about:blank"},
                         {"title", text_of(answer.kind)},
                         {"detail", answer.reason},
                         {"outcome", text_of(answer.kind)},
                         {"call", c.id}});
  }
  book_->crash_point("callback-given");
  c.exchange = std::make_unique<http::Exchange>(
      host_, url->address, request, kCallbackTimeout, http::Limits{},
      [this, id = c.id](const http::Exchange::Result& r) {
        const auto it = callbacks_.find(id);
        if (it == callbacks_.end()) return;
        Callback& here = *it->second;
        if (r.status >= 200 && r.status < 300) return finish_callback(id, true);
        if (here.attempts >= options_.callback_attempts) {
          log_(true, "invoke: the answer of call " + id + " was not accepted by its callback in " +
                         std::to_string(here.attempts) +
                         " attempts: " + (r.status > 0 ? "status " + std::to_string(r.status) : r.why));
          return finish_callback(id, false);
        }
        const Duration pause = kInitialCallbackRetryDelay * (1 << std::min(here.attempts - 1, 6));
        here.retry_timer->start(std::chrono::duration_cast<Duration>(pause * (0.5 + host_.random_unit())));
      });
}

void InvokeFront::finish_callback(const std::string& id, bool) {
  const auto it = callbacks_.find(id);
  if (it == callbacks_.end()) return;
  // Even if the callback failed, the answer can still be polled.
  book_->delivered(key(it->second->tenant, id), ledger::AfterDelivery::kKeepAnswer, ms(options_.keep));
  finished_callbacks_.delete_later(std::move(it->second));
  callbacks_.erase(it);
  if (callback_queue_.empty()) return;
  const auto [next, tenant] = callback_queue_.front();
  callback_queue_.pop_front();
  start_callback(next, tenant);
}

// ---- After a restart --------------------------------------------------------------------------------------

void InvokeFront::recover_owed_calls() {
  for (std::uint32_t t = 0; t < tenant_names_.size(); ++t)
    for (const std::string& found : book_->owed(front(t))) {
      book_->crash_point("owed-found");
      backlog_.emplace_back(t, ledger::split_key(found).second);
    }
  if (!backlog_.empty())
    log_(false,
         "invoke: " + std::to_string(backlog_.size()) + " owed calls found in the ledger at the start");
  backlog_timer_->start(Duration(0));
}

void InvokeFront::run_backlog() {
  const config::Settings& settings = core_.settings();
  while (!backlog_.empty() && core_.open() < static_cast<std::size_t>(settings.module.bounds.max_open)) {
    const auto [tenant, id] = backlog_.front();
    backlog_.pop_front();
    const std::string record_key = key(tenant, id);
    const ledger::Record* record = book_->find(record_key);
    if (!record || record->delivered || open_calls_.contains(id)) continue;
    OwedCallDecision owed = decide_owed_call(settings, record_key, *record, book_->now_ms());
    if (!owed.call && !owed.final_answer) {
      if (!record->callback.empty())
        start_callback(id, tenant);
      else
        book_->delivered(record_key, ledger::AfterDelivery::kKeepAnswer, ms(options_.keep));
      continue;
    }
    OpenCall& open = open_calls_[id];
    open.tenant = tenant, open.digest = record->digest, open.recorded = open.deferred = open.accepted = true;
    book_->resume(record_key, owed.from_scratch);
    if (owed.final_answer) {
      on_call_finished(id, std::move(*owed.final_answer));
      continue;
    }
    owed.call->tenant = tenant;  // from the record's ledger key, not from its tenant field
    run_call(id, std::move(*owed.call));
  }
  if (!backlog_.empty()) backlog_timer_->start(kBacklogRetryInterval);
}

// ---- Stopping ---------------------------------------------------------------------------------------------

void InvokeFront::drain() {
  draining_ = true;
  server_.drain();
}

bool InvokeFront::drained() const {
  return open_calls_.empty() && backlog_.empty() && callbacks_.empty() && server_.unanswered() == 0;
}

}  // namespace laureltide::controller
