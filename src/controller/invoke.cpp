#include "controller/invoke.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "controller/owed.h"

namespace laureltide::controller {
namespace {

using nlohmann::json;

constexpr std::size_t kMostWaiting = 16;    // clients that wait for one call
constexpr std::size_t kMostCallbacks = 64;  // under way at a time
constexpr Duration kCallbackWithin = std::chrono::seconds(10);
constexpr Duration kFirstPause = std::chrono::seconds(1);
constexpr Duration kRoomLook = std::chrono::milliseconds(100);
constexpr std::int64_t kLongestDeadline = 3'600'000;

std::string dump(const json& doc) { return doc.dump(-1, ' ', false, json::error_handler_t::replace); }

http::ServerOptions server_options(const config::Settings& settings) {
  http::ServerOptions o;
  o.limits.body = settings.gateway.most_body;
  o.head_within = settings.invoke.head_within, o.body_within = settings.invoke.body_within;
  o.most_connections = settings.invoke.most_connections;
  return o;
}

std::int64_t ms(Duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

}  // namespace

InvokeFront::InvokeFront(io::Host& host, Core& core, const config::Settings& settings, Log log,
                         ledger::CallLedger* book)
    : host_(host),
      core_(core),
      options_(settings.invoke),
      me_(settings.module.replica_index),
      replicas_(settings.module.replicas),
      tenant_names_(settings.tenant_names),
      keyring_(settings.keys),
      log_(std::move(log)),
      book_(book),
      server_(host, server_options(settings), *this),
      room_(host.timer([this] { make_room(); })),
      done_callbacks_(host) {
  use(settings);
  if (book_) recover();
}
InvokeFront::~InvokeFront() { *alive_ = false; }

void InvokeFront::use(const config::Settings& settings) {
  keyring_ = Keyring(settings.keys);
  peers_.clear();
  for (const config::Peer& peer : settings.peers)
    if (peer.invoke) peers_[peer.number] = *peer.invoke;
  const auto listen = options_.listen;
  options_ = settings.invoke;
  options_.listen = listen;
}

// ---- Words on the wire ------------------------------------------------------------------------------------

std::string InvokeFront::on_bad(int status, const std::string& why) {
  return dump(
      {{"type", "about:blank"}, {"title", http::reason_of(status)}, {"status", status}, {"detail", why}});
}

void InvokeFront::problem(Ticket ticket, int status, const std::string& detail, http::Headers headers) {
  http::Response response;
  response.status = status;
  response.headers = std::move(headers);
  response.headers.add("Content-Type", "application/problem+json");
  response.body = on_bad(status, detail);
  server_.respond(ticket, std::move(response));
}

void InvokeFront::say(Ticket ticket, const std::string& id, const Answer& answer, bool replayed) {
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
  if (answer.retry_after > Duration(0)) {  // whole seconds, never sooner than advised (RFC 9110, 10.2.3)
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

void InvokeFront::say_open(Ticket ticket, const std::string& id) {
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

// A call of another controller: the client goes there, with all it has said.
bool InvokeFront::elsewhere(Ticket ticket, std::uint32_t owner, const std::string& target) {
  if (owner == me_) return false;
  const auto peer = peers_.find(owner);
  if (peer == peers_.end()) {
    problem(ticket, 503,
            "controller " + std::to_string(owner) + " holds this, and its address is not in the settings");
    return true;
  }
  http::Headers headers;
  headers.add("Location", "http://" + peer->second.text() + target);
  problem(ticket, 307, "controller " + std::to_string(owner) + " holds this", std::move(headers));
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
  problem(ticket, 401, "a bearer key of a tenant is needed", std::move(headers));
  return std::nullopt;
}

void InvokeFront::on_request(Ticket ticket, http::Request request) {
  const auto target = http::split_target(request.target);
  if (!target) return problem(ticket, 400, "the target is no path, or is badly encoded");
  const std::vector<std::string>& path = target->path;
  const bool read = request.method == "GET" || request.method == "HEAD";
  auto only = [&](bool allowed, const char* methods) {
    if (allowed) return true;
    http::Headers headers;
    headers.add("Allow", methods);
    problem(ticket, 405, "the methods here are " + std::string(methods), std::move(headers));
    return false;
  };
  if (path.size() == 2 && path[0] == "v1" && path[1] == "openapi.json") {
    if (!only(read, "GET, HEAD")) return;
    http::Response response;
    response.headers.add("Content-Type", "application/json");
    response.body = openapi_document();
    return server_.respond(ticket, std::move(response));
  }
  if (path.size() == 4 && path[0] == "v1" && path[1] == "functions" && path[3] == "calls") {
    if (!only(request.method == "POST", "POST")) return;
    return answer_call(ticket, request, path[2]);
  }
  if (path.size() == 3 && path[0] == "v1" && path[1] == "calls") {
    if (!only(read || request.method == "DELETE", "GET, HEAD, DELETE")) return;
    return show_call(ticket, request, path[2]);
  }
  problem(ticket, 404, "nothing is here; see /v1/openapi.json");
}

void InvokeFront::answer_call(Ticket ticket, const http::Request& request, const std::string& function) {
  auto wanted = read(ticket, request, function);
  if (wanted) start(ticket, std::move(*wanted));
}

std::optional<InvokeFront::Wanted> InvokeFront::read(Ticket ticket, const http::Request& request,
                                                     const std::string& name) {
  auto refuse = [&](int status, const std::string& why) -> std::optional<Wanted> {
    problem(ticket, status, why);
    return std::nullopt;
  };
  const auto tenant = tenant_of(ticket, request);
  if (!tenant) return std::nullopt;
  const config::Settings& settings = core_.settings();
  const config::Function* function = settings.find(name);
  if (!function) return refuse(404, "unknown function: " + name);
  const RequestClass& request_class = settings.module.classes[function->request_class];
  Wanted w;
  w.tenant = *tenant;
  w.call.function = function, w.call.tenant = *tenant;
  const http::Headers& h = request.headers;
  for (const char* once : {"Idempotency-Key", "Call-Key", "Call-Deadline-Ms", "Call-Callback"})
    if (h.count(once) > 1) return refuse(400, std::string("header ") + once + " is given twice");
  if (const std::string* deadline = h.find("Call-Deadline-Ms")) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(deadline->data(), deadline->data() + deadline->size(), value);
    if (error != std::errc() || end != deadline->data() + deadline->size() || value < 1 ||
        value > kLongestDeadline)
      return refuse(400,
                    "header Call-Deadline-Ms: expected milliseconds from 1 to 3600000, found " + *deadline);
    w.call.timeout = std::chrono::milliseconds(value);
  }
  std::optional<std::string> idempotency;
  if (const std::string* header = h.find("Idempotency-Key")) {
    idempotency = parse_key(*header);
    if (!idempotency)
      return refuse(400, "header Idempotency-Key: expected a text of 1 to 255 printable characters");
  }
  if (const std::string* header = h.find("Call-Key")) w.call.key = *header;
  if (w.call.key.empty() && idempotency) w.call.key = *idempotency;
  if (request_class.semantics == Semantics::kKeyed && w.call.key.empty())
    return refuse(400, "a call of this class needs header Call-Key or Idempotency-Key");
  for (const auto& [header, value] : h.all())
    if (http::same_name(header, "Prefer")) {
      const Preferences p = parse_prefer(value);
      w.deferred |= p.respond_async;
      if (p.wait_s) w.wait_s = p.wait_s;
    }
  if (const std::string* callback = h.find("Call-Callback")) {
    if (!w.deferred) return refuse(400, "header Call-Callback needs Prefer: respond-async");
    const auto url = http::parse_url(*callback);
    if (!url)
      return refuse(400, "header Call-Callback: expected http://ADDRESS:PORT/PATH, found " + *callback);
    if (std::find(options_.callbacks.begin(), options_.callbacks.end(), url->address) ==
        options_.callbacks.end())
      return refuse(403, "answers may not be posted to " + url->address.text());
    w.callback = *callback;
  }
  w.named = idempotency.has_value();
  if ((w.named || w.deferred) && !book_)
    return refuse(501, "deferred and named calls need a ledger, and none is set up here");
  const std::string& tenant_name = settings.tenant_names[*tenant];
  if (w.named) {
    if (elsewhere(ticket, owner_of_key(tenant_name, *idempotency, replicas_), request.target))
      return std::nullopt;
    w.id = call_id(me_, ledger::digest_of({tenant_name, *idempotency}));
  } else {
    std::string drawn;
    for (int i = 0; i < 2; ++i) {
      const std::uint64_t n = host_.random();
      drawn.append(reinterpret_cast<const char*>(&n), sizeof n);
    }
    w.id = call_id(me_, drawn);
  }
  w.digest = ledger::digest_of({name, w.call.key, request.body, w.callback});
  w.call.name = w.id;
  w.call.body = request.body;
  return w;
}

void InvokeFront::join(Ticket ticket, const std::string& id, Open& open, const Wanted& wanted) {
  if (open.waiting.size() >= kMostWaiting) return problem(ticket, 429, "too many clients wait for this call");
  open.waiting.push_back(ticket);
  waiting_[ticket] = id;
  if (!wanted.deferred || !open.taken) return;
  // Deferred: the answer if it is there soon enough, else where it will be.
  auto timer = host_.timer([this, ticket, id] {
    const auto it = open_.find(id);
    if (it != open_.end()) std::erase(it->second.waiting, ticket);
    waiting_.erase(ticket);
    auto mine = std::move(waits_[ticket]);  // it is running this
    waits_.erase(ticket);
    say_open(ticket, id);
  });
  timer->start(std::chrono::seconds(wanted.wait_s.value_or(0)));
  waits_[ticket] = std::move(timer);
}

void InvokeFront::start(Ticket ticket, Wanted w) {
  const std::string id = w.id, record_key = key(w.tenant, id);
  const bool recorded = w.named || w.deferred;
  if (const auto it = open_.find(id); it != open_.end()) {
    if (it->second.digest != w.digest)
      return problem(ticket, 422, "this Idempotency-Key was used for another request");
    return join(ticket, id, it->second, w);
  }
  const RequestClass& request_class = core_.settings().module.classes[w.call.function->request_class];
  Claim found;
  if (w.named) found = claim(book_->find(record_key), w.digest, effect_of(request_class), book_->now_ms());
  switch (found.kind) {
    case Claim::Kind::kMismatch: return problem(ticket, 422, found.reason);
    case Claim::Kind::kAnswer: return say(ticket, id, from_ledger(*book_->find(record_key)->answer), true);
    case Claim::Kind::kFail: {
      // It stays so: a client that asks again is told the same.
      Answer failed{Answer::Kind::kFailed, found.reason, {}, {}, {}};
      book_->answer(record_key, to_ledger(failed), [] {});
      book_->delivered(record_key, ledger::AfterDelivery::kKeepAnswer, ms(options_.keep));
      return say(ticket, id, failed);
    }
    case Claim::Kind::kRun:
    case Claim::Kind::kRunUntil: break;
  }
  if (draining_) {
    http::Headers headers;
    headers.add("Retry-After", "1");
    return problem(ticket, 503, "the gateway is about to stop", std::move(headers));
  }
  if (recorded) {
    http::Headers headers;
    headers.add("Retry-After", "1");
    if (const std::string why = book_->refusal_reason(); !why.empty())
      return problem(ticket, 503, why, std::move(headers));
    const ledger::CallLedger::Usage usage = book_->usage(front(w.tenant));
    if (usage.records >= options_.most_deferred || usage.bytes >= options_.most_deferred_mb << 20)
      return problem(ticket, 429, "the tenant's deferred and named calls hold as much as they may",
                     std::move(headers));
  }
  Open& open = open_[id];
  open.tenant = w.tenant, open.digest = w.digest, open.recorded = recorded, open.deferred = w.deferred;
  if (!recorded) {
    open.waiting.push_back(ticket);
    waiting_[ticket] = id;
    return run(id, std::move(w.call));
  }
  w.call.record = record_key;
  if (found.kind == Claim::Kind::kRunUntil) {
    const Duration window = std::chrono::milliseconds(found.until_ms - book_->now_ms());
    w.call.timeout = std::min(w.call.timeout.value_or(request_class.give_up), window);
    book_->resume(record_key, false);
  } else {
    ledger::Record record;
    record.function = w.call.function->name, record.key = w.call.key, record.digest = w.digest;
    record.tenant = tenant_names_[w.tenant];
    record.taken_ms = book_->now_ms();
    record.give_up_ms = record.taken_ms + ms(w.call.timeout.value_or(request_class.give_up));
    record.owed = w.deferred, record.callback = w.callback;
    if (w.deferred) {
      record.body = w.call.body;
      // Nobody is told that it is taken before it is; a crash before that leaves nothing.
      auto shared = std::make_shared<Wanted>(std::move(w));
      return book_->take(record_key, std::move(record), [this, ticket, id, shared, alive = alive_] {
        if (!*alive) return;
        const auto it = open_.find(id);
        if (it == open_.end()) return;
        it->second.taken = true;
        for (const Ticket early : std::exchange(it->second.waiting, {})) join(early, id, it->second, *shared);
        join(ticket, id, it->second, *shared);
        run(id, std::move(shared->call));
      });
    }
    book_->take(record_key, std::move(record));
  }
  open.taken = true;
  open.waiting.push_back(ticket);
  waiting_[ticket] = id;
  run(id, std::move(w.call));
}

void InvokeFront::run(const std::string& id, Call call) {
  std::uint32_t request = 0;
  const auto refused = core_.take(
      std::move(call),
      [this, id, alive = alive_](Answer a) {
        if (*alive) ended(id, std::move(a));
      },
      &request);
  if (refused) return ended(id, {Answer::Kind::kRefused, *refused, {}, {}, {}});
  if (const auto it = open_.find(id); it != open_.end()) it->second.request = request;
}

void InvokeFront::ended(const std::string& id, Answer answer) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  if (!backlog_.empty()) room_->start(Duration(0));
  const std::uint32_t tenant = it->second.tenant;
  const bool deferred = it->second.deferred;
  auto give = [this, id, tenant, deferred, answer] {
    const auto open = open_.find(id);
    if (open == open_.end()) return;
    const std::vector<Ticket> waiting = std::move(open->second.waiting);
    const bool recorded = open->second.recorded;
    open_.erase(open);
    for (const Ticket ticket : waiting) {
      waiting_.erase(ticket);
      waits_.erase(ticket);
      say(ticket, id, answer);
    }
    if (!recorded) return;
    const std::string record_key = key(tenant, id);
    const ledger::Record* record = book_->find(record_key);
    if (!record) return;
    if (!record->callback.empty()) return give_callback(id, tenant);
    // What was refused did not run: a repeat under the same key is run anew, and needs no record.
    if (!deferred && answer.kind == Answer::Kind::kRefused) return book_->forget(record_key);
    book_->delivered(record_key, ledger::AfterDelivery::kKeepAnswer, ms(options_.keep));
  };
  if (!it->second.recorded) return give();
  book_->answer(key(tenant, id), to_ledger(answer), [give, alive = alive_] {
    if (*alive) give();
  });
}

void InvokeFront::on_gone(Ticket ticket) {
  const auto it = waiting_.find(ticket);
  if (it == waiting_.end()) return;
  const std::string id = it->second;
  waiting_.erase(it);
  waits_.erase(ticket);
  const auto open = open_.find(id);
  if (open == open_.end()) return;
  std::erase(open->second.waiting, ticket);
  // Nobody can ask for a plain call again, so nobody waits for it any more.
  if (open->second.recorded || !open->second.waiting.empty()) return;
  const auto request = open->second.request;
  open_.erase(open);
  if (request) core_.abandon(*request);
}

// ---- Calls by their ids -----------------------------------------------------------------------------------

void InvokeFront::show_call(Ticket ticket, const http::Request& request, const std::string& id) {
  const auto tenant = tenant_of(ticket, request);
  if (!tenant) return;
  const auto owner = owner_of_id(id);
  if (!owner || *owner >= std::max(replicas_, me_ + 1)) return problem(ticket, 404, "no such call: " + id);
  if (elsewhere(ticket, *owner, request.target)) return;
  if (request.method == "DELETE") return forget_call(ticket, id, *tenant);
  // Another tenant's call looks just like none.
  if (const auto open = open_.find(id);
      open != open_.end() && open->second.tenant == *tenant && open->second.recorded)
    return say_open(ticket, id);
  const ledger::Record* record = book_ ? book_->find(key(*tenant, id)) : nullptr;
  if (record && record->answer) return say(ticket, id, from_ledger(*record->answer));
  if (record && record->owed) return say_open(ticket, id);
  problem(ticket, 404, "no such call, or its answer is not kept any more: " + id);
}

void InvokeFront::forget_call(Ticket ticket, const std::string& id, std::uint32_t tenant) {
  const std::string record_key = book_ ? key(tenant, id) : "";
  const ledger::Record* record = book_ ? book_->find(record_key) : nullptr;
  if (!record) return problem(ticket, 404, "no such call, or its answer is not kept any more: " + id);
  if (open_.contains(id) || !record->answer || callbacks_.contains(id))
    return problem(ticket, 409, "the call is not over: its answer can be dropped once it is");
  book_->forget(record_key);
  http::Response response;
  response.status = 204;
  server_.respond(ticket, std::move(response));
}

// ---- Callbacks --------------------------------------------------------------------------------------------

void InvokeFront::give_callback(const std::string& id, std::uint32_t tenant) {
  if (callbacks_.contains(id)) return;
  if (callbacks_.size() >= kMostCallbacks) return void(callback_line_.emplace_back(id, tenant));
  auto& slot = callbacks_[id];
  slot = std::make_unique<Callback>();
  slot->id = id, slot->tenant = tenant;
  slot->again = host_.timer([this, raw = slot.get()] { try_callback(*raw); });
  slot->again->start(Duration(0));
}

void InvokeFront::try_callback(Callback& c) {
  const ledger::Record* record = book_->find(key(c.tenant, c.id));
  const auto url = record ? http::parse_url(record->callback) : std::nullopt;
  if (!record || !record->answer || !url) return callback_ended(c.id, false);
  ++c.tried;
  http::Request request;
  request.method = "POST", request.target = url->target;
  request.headers.add("Host", url->address.text());
  request.headers.add("Call-Id", c.id);
  request.headers.add("Idempotency-Key", "\"" + c.id + "\"");  // the same each time that it is given
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
      host_, url->address, request, kCallbackWithin, http::Limits{},
      [this, id = c.id](const http::Exchange::Result& r) {
        const auto it = callbacks_.find(id);
        if (it == callbacks_.end()) return;
        Callback& here = *it->second;
        if (r.status >= 200 && r.status < 300) return callback_ended(id, true);
        if (here.tried >= options_.callback_attempts) {
          log_(true, "invoke: the answer of call " + id + " was not taken by its callback in " +
                         std::to_string(here.tried) +
                         " attempts: " + (r.status > 0 ? "status " + std::to_string(r.status) : r.why));
          return callback_ended(id, false);
        }
        const Duration pause = kFirstPause * (1 << std::min(here.tried - 1, 6));
        here.again->start(std::chrono::duration_cast<Duration>(pause * (0.5 + host_.random_unit())));
      });
}

void InvokeFront::callback_ended(const std::string& id, bool) {
  const auto it = callbacks_.find(id);
  if (it == callbacks_.end()) return;
  // Whether or not it was taken, the answer can still be asked for.
  book_->delivered(key(it->second->tenant, id), ledger::AfterDelivery::kKeepAnswer, ms(options_.keep));
  done_callbacks_.delete_later(std::move(it->second));
  callbacks_.erase(it);
  if (callback_line_.empty()) return;
  const auto [next, tenant] = callback_line_.front();
  callback_line_.pop_front();
  give_callback(next, tenant);
}

// ---- After a restart --------------------------------------------------------------------------------------

void InvokeFront::recover() {
  for (std::uint32_t t = 0; t < tenant_names_.size(); ++t)
    for (const std::string& found : book_->owed(front(t))) {
      book_->crash_point("owed-found");
      backlog_.emplace_back(t, ledger::split_key(found).second);
    }
  if (!backlog_.empty())
    log_(false, "invoke: " + std::to_string(backlog_.size()) + " calls are owed from before the start");
  room_->start(Duration(0));
}

void InvokeFront::make_room() {
  const config::Settings& settings = core_.settings();
  while (!backlog_.empty() && core_.open() < static_cast<std::size_t>(settings.module.bounds.max_open)) {
    const auto [tenant, id] = backlog_.front();
    backlog_.pop_front();
    const std::string record_key = key(tenant, id);
    const ledger::Record* record = book_->find(record_key);
    if (!record || record->delivered || open_.contains(id)) continue;
    Owed owed = take_up(settings, record_key, *record, book_->now_ms());
    if (!owed.call && !owed.end) {
      if (!record->callback.empty())
        give_callback(id, tenant);
      else
        book_->delivered(record_key, ledger::AfterDelivery::kKeepAnswer, ms(options_.keep));
      continue;
    }
    Open& open = open_[id];
    open.tenant = tenant, open.digest = record->digest, open.recorded = open.deferred = open.taken = true;
    book_->resume(record_key, owed.fresh);
    if (owed.end) {
      ended(id, std::move(*owed.end));
      continue;
    }
    owed.call->tenant = tenant;  // the front's own word for whose it is
    run(id, std::move(*owed.call));
  }
  if (!backlog_.empty()) room_->start(kRoomLook);
}

// ---- Stopping ---------------------------------------------------------------------------------------------

void InvokeFront::drain() {
  draining_ = true;
  server_.drain();
}

bool InvokeFront::drained() const {
  return open_.empty() && backlog_.empty() && callbacks_.empty() && server_.owed() == 0;
}

}  // namespace laureltide::controller
