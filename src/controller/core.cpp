#include "controller/core.h"

#include <algorithm>
#include <utility>

#include "worker/link.h"

namespace laureltide::controller {
namespace {

// A started stream has no deadline; this bounds how long a worker that never ends it can occupy the call.
constexpr Duration kMaxStreamDuration = std::chrono::seconds(60);
constexpr Duration kMaxTimeout = std::chrono::hours(1);
constexpr Duration kFunctionNameTtl =
    std::chrono::minutes(10);  // longer than the module may still order the function

char outcome_letter(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return 'o';
    case Outcome::kError: return 'e';
    case Outcome::kFull: return 'f';
    case Outcome::kTimeout: return 't';
    case Outcome::kConnectFailed: return 'c';
    case Outcome::kReset: return 'r';
    case Outcome::kCancelled: return 'x';
    case Outcome::kNotRun: return 'z';
    case Outcome::kMiss: return 'm';
  }
  return '?';
}

}  // namespace

const char* text_of(Answer::Kind kind) {
  switch (kind) {
    case Answer::Kind::kServed: return "served";
    case Answer::Kind::kRefused: return "refused";
    case Answer::Kind::kFailed: return "failed";
  }
  return "failed";
}

const char* text_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return "ok";
    case Outcome::kError: return "error";
    case Outcome::kFull: return "full";
    case Outcome::kTimeout: return "timeout";
    case Outcome::kConnectFailed: return "connect-failed";
    case Outcome::kReset: return "reset";
    case Outcome::kCancelled: return "cancelled";
    case Outcome::kNotRun: return "moot";
    case Outcome::kMiss: return "miss";
  }
  return "unknown";
}

ledger::Answer to_ledger(const Answer& answer) {
  ledger::Answer out;
  out.kind = answer.kind == Answer::Kind::kServed    ? ledger::Answer::Kind::kServed
             : answer.kind == Answer::Kind::kRefused ? ledger::Answer::Kind::kRefused
                                                     : ledger::Answer::Kind::kFailed;
  out.reason = answer.reason, out.body = answer.body;
  out.retry_after_ms = std::chrono::duration_cast<std::chrono::milliseconds>(answer.retry_after).count();
  return out;
}

Answer from_ledger(const ledger::Answer& answer) {
  Answer out;
  out.kind = answer.kind == ledger::Answer::Kind::kServed    ? Answer::Kind::kServed
             : answer.kind == ledger::Answer::Kind::kRefused ? Answer::Kind::kRefused
                                                             : Answer::Kind::kFailed;
  out.reason = answer.reason, out.body = answer.body;
  out.retry_after = std::chrono::milliseconds(answer.retry_after_ms);
  return out;
}

Core::Core(io::Host& host, std::shared_ptr<const config::Settings> settings, CoreEvents& events,
           Options options)
    : host_(host),
      options_(std::move(options)),
      settings_(std::move(settings)),
      events_(events),
      book_(options_.book),
      worker_list_(settings_->kind_names),
      started_unix_ms_(host.unix_ms()),
      wall_to_steady_offset_(host.now().time_since_epoch() - std::chrono::milliseconds(host.unix_ms())),
      next_request_(options_.first_request_id),
      dead_links_(host),
      timer_(host.timer([this] { run_due_timers(); })) {
  inside_module_ = true;  // the Dispatcher's constructor already requests timers
  module_ = std::make_unique<Dispatcher>(settings_->module, options_.seed, host.now(), *this);
  inside_module_ = false;
}
Core::~Core() { *alive_ = false; }

// ---- Calls ------------------------------------------------------------------------------------------

void Core::abandon(std::uint32_t id) {
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end() || it->second->answered) return;
  ++counters_.abandoned;
  it->second->done = [](Answer) {};
  finish(*it->second, {Answer::Kind::kFailed, "the client went away", {}, {}, {}});
  notify_module([this, id](Time now) { module_->on(now, RequestAbandoned{RequestId{id}}); });
  // Done even if the settings forbid cancelling: an attempt that still waits for a connection would otherwise
  // start after its client has disconnected.
  if (const auto still = open_calls_.find(id); still != open_calls_.end())
    for (std::size_t i = 0; i < still->second->attempts.size(); ++i) {
      const Attempt& attempt = still->second->attempts[i];
      if (attempt.outcome) continue;
      if (const auto to = links_.find(attempt.worker); to != links_.end())
        to->second->withdraw(attempt_cookie(id, i));
    }
  erase_if_finished(id);
}

bool Core::was_sent(std::uint32_t id) const {
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end()) return false;
  const std::vector<Attempt>& attempts = it->second->attempts;
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& a) { return a.left_at.has_value(); });
}

std::optional<std::string> Core::take(Call call, Done done, std::uint32_t* id_out) {
  if (open_calls_.size() >= static_cast<std::size_t>(settings_->module.bounds.max_open)) {
    ++counters_.rejected;
    return "the gateway holds as many calls as it may";
  }
  // Ids are sequential and wrap after 2^32 calls; 0 and the ids of open calls are skipped.
  while (next_request_ == 0 || open_calls_.contains(next_request_)) ++next_request_;
  const std::uint32_t id = next_request_++;
  if (id_out) *id_out = id;
  const config::Function& function = *call.function;
  const RequestClass& c = settings_->module.classes[function.request_class];
  auto open = std::make_unique<OpenCall>();
  open->taken_at = host_.now();
  const Duration timeout = std::min(call.timeout.value_or(c.give_up), kMaxTimeout);
  open->deadline = open->taken_at + std::max(Duration(0), timeout - settings_->gateway.answer_reserve);
  open->call = std::move(call);
  open->done = std::move(done);
  ++counters_.taken;
  remember_function_name(function);

  Request request;
  request.id = RequestId{id};
  request.function = function.id;
  request.request_class = function.request_class;
  request.tenant = open->call.tenant;
  request.deadline = open->deadline;
  request.lanes = function.lanes;
  request.memory_mb = function.memory_mb;
  request.load_time = function.load_time;
  request.work_hint = function.work_hint;
  add_timer(open->deadline, TimerKind::kDeadline, id);
  open_calls_.emplace(id, std::move(open));
  notify_module([this, request](Time now) { module_->on(now, request); });
  return std::nullopt;
}

void Core::finish(OpenCall& open, Answer answer) {
  if (std::exchange(open.answered, true)) return;  // rule 1: exactly one answer
  switch (answer.kind) {
    case Answer::Kind::kServed: ++counters_.served; break;
    case Answer::Kind::kRefused: ++counters_.refused; break;
    case Answer::Kind::kFailed: ++counters_.failed; break;
  }
  std::string attempts;
  for (const Attempt& a : open.attempts) {
    if (!attempts.empty()) attempts += ',';
    attempts += 'w' + std::to_string(static_cast<std::uint32_t>(a.worker)) + ':' +
                (a.outcome ? text_of(*a.outcome) : "out");
  }
  std::string end(1, answer.kind == Answer::Kind::kServed    ? 'S'
                     : answer.kind == Answer::Kind::kRefused ? 'R'
                                                             : 'F');
  end += open.attempts.empty()          ? '-'
         : open.attempts.back().outcome ? outcome_letter(*open.attempts.back().outcome)
                                        : 'w';
  const auto left = std::count_if(open.attempts.begin(), open.attempts.end(),
                                  [](const Attempt& a) { return a.left_at.has_value(); });
  events_.on_call_finished({open.call, answer, end, attempts, static_cast<std::size_t>(left), trace(open),
                            host_.now() - open.taken_at});
  const Done done = std::move(open.done);
  open.call.body = {};
  done(std::move(answer));
}

std::string Core::trace(const OpenCall& open) {
  if (open.attempts.size() < 2) return {};
  const auto after = [&](const std::optional<Time>& at) {
    if (!at) return std::string("-");
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*at - open.taken_at).count();
    return "+" + std::to_string(ms);
  };
  std::string text;
  for (const Attempt& a : open.attempts) {
    if (!text.empty()) text += ',';
    text += 'w' + std::to_string(static_cast<std::uint32_t>(a.worker)) + "/c" + std::to_string(a.connection);
    text += after(a.left_at) + ':' + (a.outcome ? text_of(*a.outcome) : "out") + after(a.ended_at);
  }
  return text;
}

// The answer to a call that the module refused or failed, with a reason derived from its attempts.
Answer Core::unserved_answer(const OpenCall& open, Answer::Kind kind) const {
  Answer answer;
  answer.kind = kind;
  if (open.attempts.empty()) {
    answer.reason = "no worker had room for it in time";
    return answer;
  }
  const Attempt& last = open.attempts.back();
  answer.reason = kind == Answer::Kind::kRefused ? "not run" : "may have run, outcome unknown";
  if (last.outcome == Outcome::kError) answer.reason = "the worker answered with an error";
  answer.reason += " (" + std::to_string(open.attempts.size()) +
                   " attempts, the last: " + (last.outcome ? text_of(*last.outcome) : "no answer") + ")";
  return answer;
}

void Core::erase_if_finished(std::uint32_t request) {
  const auto it = open_calls_.find(request);
  if (it != open_calls_.end() && it->second->answered && it->second->in_flight == 0) open_calls_.erase(it);
}

// ---- Attempts ---------------------------------------------------------------------------------------

void Core::send(RequestId request, WorkerId worker, Duration give_up_after) {
  const auto id = static_cast<std::uint32_t>(request);
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end()) return;
  OpenCall& open = *it->second;
  const std::size_t number = open.attempts.size();
  const std::uint64_t cookie = attempt_cookie(id, number);
  const Time now = host_.now();
  Attempt created;
  created.worker = worker;
  created.sent_at = now;
  open.attempts.push_back(created);
  ++open.in_flight;
  ++counters_.attempts;
  const bool obsolete = open.answered || open.streaming_attempt || now >= open.deadline ||
                        number >= static_cast<std::size_t>(settings_->module.bounds.attempts_cap);
  if (obsolete || !link(worker)) {  // nothing is sent
    CallEnd end;
    end.outcome = obsolete ? Outcome::kNotRun : Outcome::kConnectFailed;
    deferred_events_.push_back([this, cookie, end](Time) { end_attempt(cookie, end); });
    return;
  }
  if (give_up_after > Duration(0) && now + give_up_after < open.deadline)
    add_timer(now + give_up_after, TimerKind::kAttemptTimeout, cookie);
  const bool repeatable =
      settings_->module.classes[open.call.function->request_class].semantics == Semantics::kRepeatable;
  if (!book_ || open.call.ledger_key.empty() || repeatable) return dispatch(cookie);
  // Rule 2 (a call that may have run is not run again) must hold across a crash: the attempt has to be
  // durable before a worker can see the call.
  open.attempts[number].awaits_ledger = true;
  open.attempts[number].ledger_index = book_->add_attempt(
      open.call.ledger_key, static_cast<std::uint32_t>(worker), [this, cookie, alive = alive_] {
        if (*alive) dispatch(cookie);
      });
}

// Hands the call to the worker's link; the only place that sends a call's bytes.
void Core::dispatch(std::uint64_t cookie) {
  const auto id = static_cast<std::uint32_t>(cookie >> 8);
  const std::size_t number = cookie & 0xff;
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end() || number >= it->second->attempts.size()) return;
  OpenCall& open = *it->second;
  Attempt& attempt = open.attempts[number];
  if (attempt.outcome) return;  // it timed out meanwhile
  const Time now = host_.now();
  if (attempt.awaits_ledger) {
    // Time has passed since the module's decision. The worker may have started draining, and a slow disk may
    // release many delayed attempts at once, which the decision didn't account for. In such cases nothing is
    // sent and the attempt ends as if the worker were full.
    const laureltide::Rules& rules = settings_->module.rules;
    const members::Member* member = worker_list_.find(attempt.worker);
    const bool ready = member && member->state == WorkerState::kReady;
    const bool stale = now - attempt.sent_at > std::min(rules.drain_grace, rules.overload_duration) / 2;
    CallEnd end;
    end.outcome = open.answered || now >= open.deadline ? Outcome::kNotRun : Outcome::kFull;
    const bool may_be_sent = module_->may_be_sent(now, RequestId{id}, static_cast<AttemptNumber>(number));
    if (end.outcome == Outcome::kNotRun || !ready || stale || !may_be_sent) return end_attempt(cookie, end);
    attempt.awaits_ledger = false;
  }
  worker::WorkerLink* to = link(attempt.worker);
  if (!to) {
    CallEnd end;
    end.outcome = Outcome::kConnectFailed;
    return end_attempt(cookie, end);
  }
  worker::Call call;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(open.deadline - now).count();
  call.patience_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
  call.attempt = static_cast<std::uint8_t>(number);
  call.function = open.call.function->name;
  call.name = open.call.name;
  call.key = open.call.key;
  call.request_class = settings_->class_names[open.call.function->request_class];
  if (open.call.tenant) call.tenant = settings_->tenant_names[*open.call.tenant];
  to->call(std::move(call), open.call.body, cookie);
  if (attempt.ledger_index) book_->crash_point("attempt-sent");
}

void Core::cancel(RequestId request, AttemptNumber attempt) {
  const auto it = open_calls_.find(static_cast<std::uint32_t>(request));
  if (it == open_calls_.end() || attempt >= it->second->attempts.size()) return;
  const Attempt& a = it->second->attempts[attempt];
  if (a.outcome) return;
  if (a.awaits_ledger) {  // nothing has been sent, and nothing will be
    CallEnd end;
    end.outcome = Outcome::kCancelled;
    deferred_events_.push_back(
        [this, cookie = attempt_cookie(it->first, attempt), end](Time) { end_attempt(cookie, end); });
    return;
  }
  if (worker::WorkerLink* to = link(a.worker)) to->cancel(attempt_cookie(it->first, attempt));
}

void Core::on_call_sent(WorkerId, std::uint64_t cookie, std::uint64_t connection) {
  const auto it = open_calls_.find(static_cast<std::uint32_t>(cookie >> 8));
  const std::size_t number = cookie & 0xff;
  if (it == open_calls_.end() || number >= it->second->attempts.size()) return;
  Attempt& attempt = it->second->attempts[number];
  attempt.left_at = host_.now();
  attempt.connection = connection;
}

bool Core::may_be_sent(WorkerId, std::uint64_t cookie) {
  const RequestId request{static_cast<std::uint32_t>(cookie >> 8)};
  return module_->may_be_sent(host_.now(), request, static_cast<AttemptNumber>(cookie & 0xff));
}

void Core::on_connection_end(WorkerId, std::string_view why) {
  const auto it = counters_.connections_ended.find(why);
  if (it != counters_.connections_ended.end())
    ++it->second;
  else
    counters_.connections_ended.emplace(why, 1);
}

void Core::on_call_end(WorkerId, std::uint64_t cookie, CallEnd end) { end_attempt(cookie, std::move(end)); }

// Ends an attempt; the only place that does. The module gets the outcome, the caller the first success.
void Core::end_attempt(std::uint64_t cookie, CallEnd end) {
  const auto id = static_cast<std::uint32_t>(cookie >> 8);
  const std::size_t number = cookie & 0xff;
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end() || number >= it->second->attempts.size()) return;
  OpenCall& open = *it->second;
  Attempt& attempt = open.attempts[number];
  if (attempt.outcome) return;
  if (attempt.awaits_ledger) {  // whatever the outcome, it was never sent
    if (end.outcome == Outcome::kTimeout) end.outcome = Outcome::kNotRun;
    attempt.awaits_ledger = false;
    book_->mark_never_ran(open.call.ledger_key, *attempt.ledger_index);
  } else if (attempt.ledger_index &&
             (end.outcome == Outcome::kFull || end.outcome == Outcome::kMiss ||
              end.outcome == Outcome::kConnectFailed || end.outcome == Outcome::kNotRun)) {
    book_->mark_never_ran(open.call.ledger_key, *attempt.ledger_index);
  }
  attempt.outcome = end.outcome;
  attempt.ended_at = host_.now();
  ++counters_.ended[static_cast<std::size_t>(end.outcome)];
  --open.in_flight;
  const bool stream = open.streaming_attempt == static_cast<AttemptNumber>(number);
  if (end.outcome == Outcome::kOk && !open.answered) {
    Answer answer;
    answer.kind = Answer::Kind::kServed;
    answer.body = stream || !open.streamed_body.empty() ? std::move(open.streamed_body) + end.body
                                                        : std::move(end.body);
    if (answer.body.size() > settings_->gateway.max_body_bytes)
      answer = {Answer::Kind::kFailed, "the result is longer than the gateway passes on", {}, {}, {}};
    finish(open, std::move(answer));
  } else if (stream && !open.answered) {  // a started stream cannot continue on another attempt
    finish(open, unserved_answer(open, Answer::Kind::kFailed));
  }
  AttemptResult result;
  result.request = RequestId{id};
  result.worker = attempt.worker;
  result.attempt = static_cast<AttemptNumber>(number);
  result.outcome = end.outcome;
  result.terminal = open.answered;
  result.took = host_.now() - attempt.sent_at;
  result.found = end.found;
  if (settings_->module.instances.reports_others_in_flight) result.others_in_flight = end.others_in_flight;
  result.report = end.report;
  notify_module([this, result](Time now) { module_->on(now, result); });
  erase_if_finished(id);
}

void Core::on_piece(WorkerId worker, std::uint64_t cookie, std::string body) {
  const auto id = static_cast<std::uint32_t>(cookie >> 8);
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end() || it->second->answered) return;
  OpenCall& open = *it->second;
  const auto number = static_cast<AttemptNumber>(cookie & 0xff);
  if (open.streaming_attempt && open.streaming_attempt != number) return;
  // A result over the size limit fails when it ends; parts beyond the limit are dropped.
  if (open.streamed_body.size() <= settings_->gateway.max_body_bytes) open.streamed_body += body;
  const bool streamed = settings_->module.classes[open.call.function->request_class].streamed;
  if (!streamed || open.streaming_attempt) return;
  open.streaming_attempt = number;
  const StreamStarted started{RequestId{id}, worker, number, host_.now() - open.attempts[number].sent_at};
  add_timer(host_.now() + kMaxStreamDuration, TimerKind::kAttemptTimeout, cookie);
  notify_module([this, started](Time now) { module_->on(now, started); });
}

void Core::refuse(RequestId request, Duration retry_after) {
  const auto it = open_calls_.find(static_cast<std::uint32_t>(request));
  if (it == open_calls_.end() || it->second->answered) return;
  Answer answer = unserved_answer(*it->second, Answer::Kind::kRefused);
  answer.retry_after = retry_after;
  finish(*it->second, std::move(answer));
  deferred_events_.push_back([this, id = it->first](Time) { erase_if_finished(id); });
}

void Core::fail(RequestId request) {
  const auto it = open_calls_.find(static_cast<std::uint32_t>(request));
  if (it == open_calls_.end() || it->second->answered) return;
  finish(*it->second, unserved_answer(*it->second, Answer::Kind::kFailed));
  deferred_events_.push_back([this, id = it->first](Time) { erase_if_finished(id); });
}

// ---- Orders and probes --------------------------------------------------------------------------------

void Core::hold(WorkerId worker, FunctionId function, int instances) {
  const std::uint64_t cookie = next_order_++;
  orders_[cookie] = {worker, function, host_.now(), false, instances};
  ++counters_.holds;
  const std::string* name = function_name(function);
  worker::WorkerLink* to = name ? link(worker) : nullptr;
  if (!to) {
    deferred_events_.push_back(
        [this, worker, cookie](Time) { on_hold_end(worker, cookie, Outcome::kNotRun, 0); });
    return;
  }
  add_timer(host_.now() + settings_->module.instances.order_timeout, TimerKind::kOrderTimeout, cookie);
  to->hold(*name, instances, cookie);
}

void Core::on_hold_end(WorkerId, std::uint64_t cookie, Outcome outcome, int instances) {
  const auto it = orders_.find(cookie);
  if (it == orders_.end() || it->second.probe) return;
  const Order& order = it->second;
  const HoldResult result{order.worker, order.function, outcome, host_.now() - order.sent_at,
                          instances,    order.instances};
  orders_.erase(it);
  notify_module([this, result](Time now) { module_->on(now, result); });
}

void Core::release(WorkerId worker, FunctionId function) {
  const std::string* name = function_name(function);
  worker::WorkerLink* to = name ? link(worker) : nullptr;
  if (to) to->release(*name);
}

void Core::probe(WorkerId worker) {
  const std::uint64_t cookie = next_order_++;
  orders_[cookie] = {worker, {}, host_.now(), true, 0};
  ++counters_.probes;
  worker::WorkerLink* to = link(worker);
  if (!to) {
    deferred_events_.push_back(
        [this, worker, cookie](Time) { on_probe_end(worker, cookie, Outcome::kConnectFailed, {}); });
    return;
  }
  add_timer(host_.now() + settings_->module.bounds.dial_timeout, TimerKind::kOrderTimeout, cookie);
  to->probe(cookie);
}

void Core::on_probe_end(WorkerId, std::uint64_t cookie, Outcome outcome, LoadReport report) {
  const auto it = orders_.find(cookie);
  if (it == orders_.end() || !it->second.probe) return;
  const ProbeResult result{it->second.worker, outcome, host_.now() - it->second.sent_at, report};
  orders_.erase(it);
  notify_module([this, result](Time now) { module_->on(now, result); });
}

// ---- Workers ------------------------------------------------------------------------------------------

worker::WorkerLink* Core::link(WorkerId worker) {
  const members::Member* member = worker_list_.find(worker);
  const auto it = links_.find(worker);
  if (!member || member->address.port == 0) return it == links_.end() ? nullptr : it->second.get();
  if (it != links_.end() && it->second->address() == member->address) return it->second.get();
  if (it != links_.end() && !it->second->idle())
    return it->second.get();  // keep it until its work in flight has ended
  std::unique_ptr<worker::WorkerLink> created;
  if (options_.port)
    created = options_.port(worker, member->address, *this);
  else
    created = make_ltwp_link(worker, member->address);
  worker::WorkerLink* made = created.get();
  if (it != links_.end())
    dead_links_.delete_later(std::exchange(it->second, std::move(created)));
  else
    links_[worker] = std::move(created);
  return made;
}

std::unique_ptr<worker::WorkerLink> Core::make_ltwp_link(WorkerId worker, const io::Address& address) {
  worker::LinkOptions options;
  options.controller = settings_->module.replica_index;
  options.controller_name = settings_->gateway.name;
  options.started_unix_ms = started_unix_ms_;
  options.dial_timeout = settings_->module.bounds.dial_timeout;
  options.max_frame = static_cast<std::uint32_t>(settings_->gateway.max_body_bytes + (64U << 10));
  return std::make_unique<worker::Link>(host_, worker, address, options, *this);
}

void Core::prune_links() {
  for (auto it = links_.begin(); it != links_.end();) {
    const members::Member* member = worker_list_.find(it->first);
    const bool gone = !member || member->state == WorkerState::kGone;
    if (gone && it->second->idle()) {
      dead_links_.delete_later(std::move(it->second));
      it = links_.erase(it);
    } else {
      ++it;
    }
  }
}

void Core::apply_worker_list(const members::Update& update, bool cached) {
  std::map<WorkerId, std::optional<std::int64_t>> started;
  for (const auto& [id, link] : links_)
    if (const members::Member* m = worker_list_.find(id)) started[id] = m->started_unix_ms;
  members::WorkerList::ApplyResult taken = worker_list_.take(update, wall_to_steady_offset_, cached);
  if (taken.verdict == members::Verdict::kGap && on_worker_list_gap) on_worker_list_gap();
  if (taken.verdict != members::Verdict::kApplied) return;
  notify_module([this, taken = std::move(taken)](Time now) {
    module_->on(now, ListUpdate{taken.scope, taken.version, taken.entries});
  });
  // Calls and orders not yet sent must not be sent once the worker is known to be draining or gone.
  for (const auto& [id, port] : links_)
    if (const members::Member* m = worker_list_.find(id); !m || m->state != WorkerState::kReady)
      port->withdraw_waiting();
  // A machine that vanished without closing leaves a connection that still looks open. When the worker list
  // reports a restart, the idle link is dropped, so that no call has to fail to discover it.
  for (const auto& [id, before] : started) {
    const members::Member* m = worker_list_.find(id);
    const auto link = links_.find(id);
    if (!m || m->started_unix_ms == before || link == links_.end() || !link->second->idle()) continue;
    dead_links_.delete_later(std::move(link->second));
    links_.erase(link);
  }
  prune_links();
}

void Core::list_current_until(Time at) {
  notify_module([this, at](Time now) { module_->on(now, ListFreshness{at}); });
}

void Core::on_anomaly(WorkerId worker, const std::string& what) {
  ++counters_.anomalies;
  events_.on_anomaly("worker " + std::to_string(static_cast<std::uint32_t>(worker)) + ": " + what);
}

const std::string* Core::function_name(FunctionId function) const {
  const auto it = function_names_.find(static_cast<std::uint64_t>(function));
  return it == function_names_.end() ? nullptr : &it->second.name;
}

void Core::remember_function_name(const config::Function& function) {
  FunctionName& known = function_names_[static_cast<std::uint64_t>(function.id)];
  known.last_used = host_.now();
  if (known.name.empty()) known.name = function.name;
  if (function_names_.size() > options_.max_function_names) evict_function_names();
}

// Callers may name any number of functions. Past the limit the less recently used half is dropped; an order
// for one of those is reported to the module as not delivered.
void Core::evict_function_names() {
  std::vector<Time> used;
  used.reserve(function_names_.size());
  for (const auto& [id, name] : function_names_) used.push_back(name.last_used);
  const auto middle = used.begin() + static_cast<std::ptrdiff_t>(used.size() / 2);
  std::nth_element(used.begin(), middle, used.end());
  const Time limit = *middle;
  std::erase_if(function_names_, [&](const auto& n) { return n.second.last_used < limit; });
  if (function_names_.size() > options_.max_function_names)  // all were last used at the same time
    std::erase_if(function_names_, [&](const auto& n) { return n.second.last_used == limit; });
}

void Core::discard_unused() {
  prune_links();
  worker_list_.remove_gone([this](WorkerId id) { return links_.contains(id); });
  const Time old = host_.now() - kFunctionNameTtl;
  std::erase_if(function_names_, [&](const auto& n) { return n.second.last_used < old; });
}

// ---- Peers, logs, time --------------------------------------------------------------------------------

void Core::fetch_list() {
  if (on_worker_list_gap) on_worker_list_gap();
}
void Core::send_to_peer(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) {
  events_.on_send_to_peer(peer, bytes);
}
void Core::log(std::string_view line) { events_.on_log(std::string(line)); }
void Core::on_peer_message(std::uint32_t from, std::span<const std::byte> bytes) {
  notify_module([this, from, kept = std::vector<std::byte>(bytes.begin(), bytes.end())](Time now) {
    module_->on(now, PeerMessage{from, kept});
  });
}

// Handles the events that the module's own actions caused; each may add more.
void Core::run_deferred_events() {
  for (std::size_t i = 0; i < deferred_events_.size(); ++i) {
    const auto next = std::move(deferred_events_[i]);  // handling it may grow the vector
    next(host_.now());
  }
  deferred_events_.clear();
}

void Core::start_timer(Duration delay, TimerToken token) {
  add_timer(host_.now() + delay, TimerKind::kModule, token);
}

void Core::add_timer(Time at, TimerKind kind, std::uint64_t token) {
  timers_.push({at, timer_sequence_++, kind, token});
  if (at < armed_for_) {
    armed_for_ = at;
    timer_->start(std::max(Duration(0), at - host_.now()));
  }
}

void Core::run_due_timers() {
  armed_for_ = Time::max();
  const Time now = host_.now();
  while (!timers_.empty() && timers_.top().at <= now) {
    const TimerEntry due = timers_.top();
    timers_.pop();
    on_timer(due);
  }
  if (!timers_.empty() && timers_.top().at < armed_for_) {
    armed_for_ = timers_.top().at;
    timer_->start(std::max(Duration(0), armed_for_ - host_.now()));
  }
}

// Ends the wait for a call at a worker. Returns a timeout, or kNotRun if nothing was sent, which proves that
// the call did not run.
Core::CallEnd Core::time_out_call(std::uint64_t cookie, WorkerId worker) {
  CallEnd end;
  const auto to = links_.find(worker);
  const bool never_sent = to != links_.end() && to->second->forget_call(cookie);
  end.outcome = never_sent ? Outcome::kNotRun : Outcome::kTimeout;
  return end;
}

void Core::on_timer(const TimerEntry& due) {
  switch (due.kind) {
    case TimerKind::kModule:
      notify_module([this, token = due.token](Time now) { module_->on(now, TimerFired{token}); });
      return;
    case TimerKind::kAttemptTimeout: {
      const auto it = open_calls_.find(static_cast<std::uint32_t>(due.token >> 8));
      const std::size_t number = due.token & 0xff;
      if (it == open_calls_.end() || number >= it->second->attempts.size() ||
          it->second->attempts[number].outcome)
        return;
      return end_attempt(due.token, time_out_call(due.token, it->second->attempts[number].worker));
    }
    case TimerKind::kDeadline: {
      // The call's deadline has passed: all attempts in flight time out, and the module is notified at once.
      const auto id = static_cast<std::uint32_t>(due.token);
      const auto it = open_calls_.find(id);
      if (it == open_calls_.end() || it->second->streaming_attempt || it->second->deadline > due.at) return;
      for (std::size_t i = 0; i < it->second->attempts.size(); ++i) {
        if (it->second->attempts[i].outcome) continue;
        end_attempt(attempt_cookie(id, i),
                    time_out_call(attempt_cookie(id, i), it->second->attempts[i].worker));
        if (!open_calls_.contains(id)) return;
      }
      return;
    }
    case TimerKind::kOrderTimeout: {
      const auto it = orders_.find(due.token);
      if (it == orders_.end()) return;
      const Order order = it->second;
      if (worker::WorkerLink* to = link(order.worker)) to->forget_hold(due.token);
      order.probe ? on_probe_end(order.worker, due.token, Outcome::kTimeout, {})
                  : on_hold_end(order.worker, due.token, Outcome::kTimeout, 0);
      return;
    }
  }
}

}  // namespace laureltide::controller
