#include "controller/core.h"

#include <algorithm>
#include <utility>

#include "worker/link.h"

namespace laureltide::controller {
namespace {

// A begun stream is bound to no deadline; this bounds what a worker that never ends it can make us hold.
constexpr Duration kLongestStream = std::chrono::seconds(60);
constexpr Duration kLongestPatience = std::chrono::hours(1);
constexpr Duration kNameUnused = std::chrono::minutes(10);  // no order of the module can name it any more

char letter(Outcome outcome) {
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
      list_(settings_->kind_names),
      started_unix_ms_(host.unix_ms()),
      wall_offset_(host.now().time_since_epoch() - std::chrono::milliseconds(host.unix_ms())),
      next_request_(options_.first_request_id),
      dead_links_(host),
      timer_(host.timer([this] { ring(); })) {
  inside_ = true;  // the constructor already asks for timers
  module_ = std::make_unique<Dispatcher>(settings_->module, options_.seed, host.now(), *this);
  inside_ = false;
}
Core::~Core() { *alive_ = false; }

// ---- Calls ------------------------------------------------------------------------------------------

void Core::abandon(std::uint32_t id) {
  const auto it = open_.find(id);
  if (it == open_.end() || it->second->answered) return;
  ++counters_.abandoned;
  it->second->done = [](Answer) {};
  finish(*it->second, {Answer::Kind::kFailed, "the client went away", {}, {}, {}});
  feed([this, id](Time now) { module_->on(now, RequestAbandoned{RequestId{id}}); });
  // Also where the settings allow no cancel: what waits here for a connection would begin after its client
  // has gone.
  if (const auto still = open_.find(id); still != open_.end())
    for (std::size_t i = 0; i < still->second->attempts.size(); ++i) {
      const Attempt& attempt = still->second->attempts[i];
      if (attempt.outcome) continue;
      if (const auto to = links_.find(attempt.worker); to != links_.end())
        to->second->withdraw(cookie(id, i));
    }
  discard(id);
}

std::optional<std::string> Core::take(Call call, Done done, std::uint32_t* given) {
  if (open_.size() >= static_cast<std::size_t>(settings_->module.bounds.max_open)) {
    ++counters_.rejected;
    return "the gateway holds as many calls as it may";
  }
  // Ids are given in turn, so one comes back only after 2^32 others; one still open is passed over.
  while (next_request_ == 0 || open_.contains(next_request_)) ++next_request_;
  const std::uint32_t id = next_request_++;
  if (given) *given = id;
  const config::Function& function = *call.function;
  const RequestClass& c = settings_->module.classes[function.request_class];
  auto open = std::make_unique<Open>();
  open->taken = host_.now();
  const Duration timeout = std::min(call.timeout.value_or(c.give_up), kLongestPatience);
  open->deadline = open->taken + std::max(Duration(0), timeout - settings_->gateway.answer_reserve);
  open->call = std::move(call);
  open->done = std::move(done);
  ++counters_.taken;
  learn_name(function);

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
  alarm(open->deadline, Due::kDeadline, id);
  open_.emplace(id, std::move(open));
  feed([this, request](Time now) { module_->on(now, request); });
  return std::nullopt;
}

void Core::finish(Open& open, Answer answer) {
  if (std::exchange(open.answered, true)) return;  // rule 1: exactly one
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
         : open.attempts.back().outcome ? letter(*open.attempts.back().outcome)
                                        : 'w';
  const auto left = std::count_if(open.attempts.begin(), open.attempts.end(),
                                  [](const Attempt& a) { return a.left.has_value(); });
  events_.on_call_finished({open.call, answer, end, attempts, static_cast<std::size_t>(left), trace(open),
                            host_.now() - open.taken});
  const Done done = std::move(open.done);
  open.call.body = {};
  done(std::move(answer));
}

std::string Core::trace(const Open& open) {
  if (open.attempts.size() < 2) return {};
  const auto after = [&](const std::optional<Time>& at) {
    if (!at) return std::string("-");
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*at - open.taken).count();
    return "+" + std::to_string(ms);
  };
  std::string text;
  for (const Attempt& a : open.attempts) {
    if (!text.empty()) text += ',';
    text += 'w' + std::to_string(static_cast<std::uint32_t>(a.worker)) + "/c" + std::to_string(a.connection);
    text += after(a.left) + ':' + (a.outcome ? text_of(*a.outcome) : "out") + after(a.ended);
  }
  return text;
}

// What the module's refusal or failure means to the caller, from what the attempts met.
Answer Core::sorry(const Open& open, Answer::Kind kind) const {
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

void Core::discard(std::uint32_t request) {
  const auto it = open_.find(request);
  if (it != open_.end() && it->second->answered && it->second->out == 0) open_.erase(it);
}

// ---- Attempts ---------------------------------------------------------------------------------------

void Core::send(RequestId request, WorkerId worker, Duration give_up_after) {
  const auto id = static_cast<std::uint32_t>(request);
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = *it->second;
  const std::size_t number = open.attempts.size();
  const std::uint64_t word = cookie(id, number);
  const Time now = host_.now();
  Attempt fresh;
  fresh.worker = worker;
  fresh.sent = now;
  open.attempts.push_back(fresh);
  ++open.out;
  ++counters_.attempts;
  const bool over = open.answered || open.streaming || now >= open.deadline ||
                    number >= static_cast<std::size_t>(settings_->module.bounds.attempts_cap);
  if (over || !link(worker)) {  // nothing left this process
    CallEnd end;
    end.outcome = over ? Outcome::kNotRun : Outcome::kConnectFailed;
    behind_.push_back([this, word, end](Time) { end_attempt(word, end); });
    return;
  }
  if (give_up_after > Duration(0) && now + give_up_after < open.deadline)
    alarm(now + give_up_after, Due::kAttempt, word);
  const bool repeatable =
      settings_->module.classes[open.call.function->request_class].semantics == Semantics::kRepeatable;
  if (!book_ || open.call.record.empty() || repeatable) return dispatch(word);
  // Rule 2 across a crash: the next life must know of it before a worker can.
  open.attempts[number].waits = true;
  open.attempts[number].recorded =
      book_->add_attempt(open.call.record, static_cast<std::uint32_t>(worker), [this, word, alive = alive_] {
        if (*alive) dispatch(word);
      });
}

// The one place where a call's bytes leave for a worker.
void Core::dispatch(std::uint64_t word) {
  const auto id = static_cast<std::uint32_t>(word >> 8);
  const std::size_t number = word & 0xff;
  const auto it = open_.find(id);
  if (it == open_.end() || number >= it->second->attempts.size()) return;
  Open& open = *it->second;
  Attempt& attempt = open.attempts[number];
  if (attempt.outcome) return;  // its time ran out meanwhile
  const Time now = host_.now();
  if (attempt.waits) {
    // What the module decided on was a while ago. A worker that has begun to drain since, or a burst of what
    // a slow disk held back, would break what the decision kept: nothing left, and the module is told so.
    const laureltide::Rules& rules = settings_->module.rules;
    const members::Member* member = list_.find(attempt.worker);
    const bool ready = member && member->state == WorkerState::kReady;
    const bool stale = now - attempt.sent > std::min(rules.drain_grace, rules.overload_duration) / 2;
    CallEnd end;
    end.outcome = open.answered || now >= open.deadline ? Outcome::kNotRun : Outcome::kFull;
    const bool may_be_sent = module_->may_be_sent(now, RequestId{id}, static_cast<AttemptNumber>(number));
    if (end.outcome == Outcome::kNotRun || !ready || stale || !may_be_sent) return end_attempt(word, end);
    attempt.waits = false;
  }
  worker::Port* to = link(attempt.worker);
  if (!to) {
    CallEnd end;
    end.outcome = Outcome::kConnectFailed;
    return end_attempt(word, end);
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
  to->call(std::move(call), open.call.body, word);
  if (attempt.recorded) book_->crash_point("attempt-sent");
}

void Core::cancel(RequestId request, AttemptNumber attempt) {
  const auto it = open_.find(static_cast<std::uint32_t>(request));
  if (it == open_.end() || attempt >= it->second->attempts.size()) return;
  const Attempt& a = it->second->attempts[attempt];
  if (a.outcome) return;
  if (a.waits) {  // no byte of it has left, and none will
    CallEnd end;
    end.outcome = Outcome::kCancelled;
    behind_.push_back([this, word = cookie(it->first, attempt), end](Time) { end_attempt(word, end); });
    return;
  }
  if (worker::Port* to = link(a.worker)) to->cancel(cookie(it->first, attempt));
}

void Core::on_call_left(WorkerId, std::uint64_t word, std::uint64_t connection) {
  const auto it = open_.find(static_cast<std::uint32_t>(word >> 8));
  const std::size_t number = word & 0xff;
  if (it == open_.end() || number >= it->second->attempts.size()) return;
  Attempt& attempt = it->second->attempts[number];
  attempt.left = host_.now();
  attempt.connection = connection;
}

bool Core::may_be_sent(WorkerId, std::uint64_t word) {
  const RequestId request{static_cast<std::uint32_t>(word >> 8)};
  return module_->may_be_sent(host_.now(), request, static_cast<AttemptNumber>(word & 0xff));
}

void Core::on_connection_end(WorkerId, std::string_view why) {
  const auto it = counters_.connections_ended.find(why);
  if (it != counters_.connections_ended.end())
    ++it->second;
  else
    counters_.connections_ended.emplace(why, 1);
}

void Core::on_call_end(WorkerId, std::uint64_t word, CallEnd end) { end_attempt(word, std::move(end)); }

// The one place where an attempt ends: its outcome goes to the module, and a first success to the caller.
void Core::end_attempt(std::uint64_t word, CallEnd end) {
  const auto id = static_cast<std::uint32_t>(word >> 8);
  const std::size_t number = word & 0xff;
  const auto it = open_.find(id);
  if (it == open_.end() || number >= it->second->attempts.size()) return;
  Open& open = *it->second;
  Attempt& attempt = open.attempts[number];
  if (attempt.outcome) return;
  if (attempt.waits) {  // whatever ended it: it never left
    if (end.outcome == Outcome::kTimeout) end.outcome = Outcome::kNotRun;
    attempt.waits = false;
    book_->mark_never_ran(open.call.record, *attempt.recorded);
  } else if (attempt.recorded &&
             (end.outcome == Outcome::kFull || end.outcome == Outcome::kMiss ||
              end.outcome == Outcome::kConnectFailed || end.outcome == Outcome::kNotRun)) {
    book_->mark_never_ran(open.call.record, *attempt.recorded);
  }
  attempt.outcome = end.outcome;
  attempt.ended = host_.now();
  ++counters_.ended[static_cast<std::size_t>(end.outcome)];
  --open.out;
  const bool stream = open.streaming == static_cast<AttemptNumber>(number);
  if (end.outcome == Outcome::kOk && !open.answered) {
    Answer answer;
    answer.kind = Answer::Kind::kServed;
    answer.body = stream || !open.pieces.empty() ? std::move(open.pieces) + end.body : std::move(end.body);
    if (answer.body.size() > settings_->gateway.most_body)
      answer = {Answer::Kind::kFailed, "the result is longer than the gateway passes on", {}, {}, {}};
    finish(open, std::move(answer));
  } else if (stream && !open.answered) {  // bound to this attempt: nothing else can serve it
    finish(open, sorry(open, Answer::Kind::kFailed));
  }
  AttemptResult result;
  result.request = RequestId{id};
  result.worker = attempt.worker;
  result.attempt = static_cast<AttemptNumber>(number);
  result.outcome = end.outcome;
  result.terminal = open.answered;
  result.took = host_.now() - attempt.sent;
  result.found = end.found;
  if (settings_->module.instances.reports_others_in_flight) result.others_in_flight = end.others_in_flight;
  result.report = end.report;
  feed([this, result](Time now) { module_->on(now, result); });
  discard(id);
}

void Core::on_piece(WorkerId worker, std::uint64_t word, std::string body) {
  const auto id = static_cast<std::uint32_t>(word >> 8);
  const auto it = open_.find(id);
  if (it == open_.end() || it->second->answered) return;
  Open& open = *it->second;
  const auto number = static_cast<AttemptNumber>(word & 0xff);
  if (open.streaming && open.streaming != number) return;
  // A result over the bound is failed at its end; what is over is not kept.
  if (open.pieces.size() <= settings_->gateway.most_body) open.pieces += body;
  const bool streamed = settings_->module.classes[open.call.function->request_class].streamed;
  if (!streamed || open.streaming) return;
  open.streaming = number;
  const StreamStarted started{RequestId{id}, worker, number, host_.now() - open.attempts[number].sent};
  alarm(host_.now() + kLongestStream, Due::kAttempt, word);
  feed([this, started](Time now) { module_->on(now, started); });
}

void Core::refuse(RequestId request, Duration retry_after) {
  const auto it = open_.find(static_cast<std::uint32_t>(request));
  if (it == open_.end() || it->second->answered) return;
  Answer answer = sorry(*it->second, Answer::Kind::kRefused);
  answer.retry_after = retry_after;
  finish(*it->second, std::move(answer));
  behind_.push_back([this, id = it->first](Time) { discard(id); });
}

void Core::fail(RequestId request) {
  const auto it = open_.find(static_cast<std::uint32_t>(request));
  if (it == open_.end() || it->second->answered) return;
  finish(*it->second, sorry(*it->second, Answer::Kind::kFailed));
  behind_.push_back([this, id = it->first](Time) { discard(id); });
}

// ---- Orders and probes --------------------------------------------------------------------------------

void Core::hold(WorkerId worker, FunctionId function, int instances) {
  const std::uint64_t word = next_order_++;
  orders_[word] = {worker, function, host_.now(), false, instances};
  ++counters_.holds;
  const std::string* name = name_of(function);
  worker::Port* to = name ? link(worker) : nullptr;
  if (!to) {
    behind_.push_back([this, worker, word](Time) { on_hold_end(worker, word, Outcome::kConnectFailed, 0); });
    return;
  }
  alarm(host_.now() + settings_->module.instances.order_timeout, Due::kOrder, word);
  to->hold(*name, instances, word);
}

void Core::on_hold_end(WorkerId, std::uint64_t word, Outcome outcome, int instances) {
  const auto it = orders_.find(word);
  if (it == orders_.end() || it->second.probe) return;
  const Order& order = it->second;
  const HoldResult result{order.worker, order.function, outcome, host_.now() - order.sent,
                          instances,    order.instances};
  orders_.erase(it);
  feed([this, result](Time now) { module_->on(now, result); });
}

void Core::release(WorkerId worker, FunctionId function) {
  const std::string* name = name_of(function);
  worker::Port* to = name ? link(worker) : nullptr;
  if (to) to->release(*name);
}

void Core::probe(WorkerId worker) {
  const std::uint64_t word = next_order_++;
  orders_[word] = {worker, {}, host_.now(), true, 0};
  ++counters_.probes;
  worker::Port* to = link(worker);
  if (!to) {
    behind_.push_back(
        [this, worker, word](Time) { on_probe_end(worker, word, Outcome::kConnectFailed, {}); });
    return;
  }
  alarm(host_.now() + settings_->module.bounds.dial_timeout, Due::kOrder, word);
  to->probe(word);
}

void Core::on_probe_end(WorkerId, std::uint64_t word, Outcome outcome, LoadReport report) {
  const auto it = orders_.find(word);
  if (it == orders_.end() || !it->second.probe) return;
  const ProbeResult result{it->second.worker, outcome, host_.now() - it->second.sent, report};
  orders_.erase(it);
  feed([this, result](Time now) { module_->on(now, result); });
}

// ---- Workers ------------------------------------------------------------------------------------------

worker::Port* Core::link(WorkerId worker) {
  const members::Member* member = list_.find(worker);
  const auto it = links_.find(worker);
  if (!member || member->address.port == 0) return it == links_.end() ? nullptr : it->second.get();
  if (it != links_.end() && it->second->address() == member->address) return it->second.get();
  if (it != links_.end() && !it->second->idle()) return it->second.get();  // until what is out has ended
  std::unique_ptr<worker::Port> fresh;
  if (options_.port)
    fresh = options_.port(worker, member->address, *this);
  else
    fresh = own_protocol(worker, member->address);
  worker::Port* made = fresh.get();
  if (it != links_.end())
    dead_links_.delete_later(std::exchange(it->second, std::move(fresh)));
  else
    links_[worker] = std::move(fresh);
  return made;
}

std::unique_ptr<worker::Port> Core::own_protocol(WorkerId worker, const io::Address& address) {
  worker::LinkOptions options;
  options.controller = settings_->module.replica_index;
  options.controller_name = settings_->gateway.name;
  options.started_unix_ms = started_unix_ms_;
  options.dial_timeout = settings_->module.bounds.dial_timeout;
  options.max_frame = static_cast<std::uint32_t>(settings_->gateway.most_body + (64U << 10));
  return std::make_unique<worker::Link>(host_, worker, address, options, *this);
}

void Core::prune_links() {
  for (auto it = links_.begin(); it != links_.end();) {
    const members::Member* member = list_.find(it->first);
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
    if (const members::Member* m = list_.find(id)) started[id] = m->started_unix_ms;
  members::WorkerList::ApplyResult taken = list_.take(update, wall_offset_, cached);
  if (taken.verdict == members::Verdict::kGap && on_worker_list_gap) on_worker_list_gap();
  if (taken.verdict != members::Verdict::kApplied) return;
  feed([this, taken = std::move(taken)](Time now) {
    module_->on(now, ListUpdate{taken.scope, taken.version, taken.entries});
  });
  // What was meant for a worker and has not left must not leave after the word that it drains or is gone.
  for (const auto& [id, port] : links_)
    if (const members::Member* m = list_.find(id); !m || m->state != WorkerState::kReady)
      port->withdraw_waiting();
  // A machine that went without a word leaves a connection that looks whole. The list's word of a restart
  // ends it while nothing is out there, so that no call is spent on finding out.
  for (const auto& [id, before] : started) {
    const members::Member* m = list_.find(id);
    const auto link = links_.find(id);
    if (!m || m->started_unix_ms == before || link == links_.end() || !link->second->idle()) continue;
    dead_links_.delete_later(std::move(link->second));
    links_.erase(link);
  }
  prune_links();
}

void Core::list_current_until(Time at) {
  feed([this, at](Time now) { module_->on(now, ListFreshness{at}); });
}

void Core::on_oddity(WorkerId worker, const std::string& what) {
  ++counters_.oddities;
  events_.on_oddity("worker " + std::to_string(static_cast<std::uint32_t>(worker)) + ": " + what);
}

const std::string* Core::name_of(FunctionId function) const {
  const auto it = names_.find(static_cast<std::uint64_t>(function));
  return it == names_.end() ? nullptr : &it->second.text;
}

void Core::learn_name(const config::Function& function) {
  Name& name = names_[static_cast<std::uint64_t>(function.id)];
  name.used = host_.now();
  if (name.text.empty()) name.text = function.name;
  if (names_.size() > options_.max_function_names) forget_names();
}

// Callers may name functions without end. Past the bound the longer unused half goes: an order for one of
// them is told as not delivered.
void Core::forget_names() {
  std::vector<Time> used;
  used.reserve(names_.size());
  for (const auto& [id, name] : names_) used.push_back(name.used);
  const auto middle = used.begin() + static_cast<std::ptrdiff_t>(used.size() / 2);
  std::nth_element(used.begin(), middle, used.end());
  const Time limit = *middle;
  std::erase_if(names_, [&](const auto& n) { return n.second.used < limit; });
  if (names_.size() > options_.max_function_names)  // all named at the same moment
    std::erase_if(names_, [&](const auto& n) { return n.second.used == limit; });
}

void Core::discard_unused() {
  prune_links();
  list_.remove_gone([this](WorkerId id) { return links_.contains(id); });
  const Time old = host_.now() - kNameUnused;
  std::erase_if(names_, [&](const auto& n) { return n.second.used < old; });
}

// ---- Peers, logs, time --------------------------------------------------------------------------------

void Core::fetch_list() {
  if (on_worker_list_gap) on_worker_list_gap();
}
void Core::send_to_peer(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) {
  events_.on_send_to_peer(peer, bytes);
}
void Core::log(std::string_view line) { events_.on_log(std::string(line)); }
void Core::peer_told(std::uint32_t from, std::span<const std::byte> bytes) {
  feed([this, from, kept = std::vector<std::byte>(bytes.begin(), bytes.end())](Time now) {
    module_->on(now, PeerMessage{from, kept});
  });
}

// What the module's own actions caused at once; each event may cause more.
void Core::settle_behind() {
  for (std::size_t i = 0; i < behind_.size(); ++i) {
    const auto next = std::move(behind_[i]);  // the list may grow under it
    next(host_.now());
  }
  behind_.clear();
}

void Core::start_timer(Duration delay, TimerToken token) { alarm(host_.now() + delay, Due::kModule, token); }

void Core::alarm(Time at, Due what, std::uint64_t token) {
  alarms_.push({at, alarm_count_++, what, token});
  if (at < armed_) {
    armed_ = at;
    timer_->start(std::max(Duration(0), at - host_.now()));
  }
}

void Core::ring() {
  armed_ = Time::max();
  const Time now = host_.now();
  while (!alarms_.empty() && alarms_.top().at <= now) {
    const Alarm due = alarms_.top();
    alarms_.pop();
    on_alarm(due);
  }
  if (!alarms_.empty() && alarms_.top().at < armed_) {
    armed_ = alarms_.top().at;
    timer_->start(std::max(Duration(0), armed_ - host_.now()));
  }
}

// Nobody waits for it any more. A time-out, unless nothing of it had left: then it is proven not to have run.
Core::CallEnd Core::forget(std::uint64_t word, WorkerId worker) {
  CallEnd end;
  const auto to = links_.find(worker);
  const bool never = to != links_.end() && to->second->forget_call(word);
  end.outcome = never ? Outcome::kNotRun : Outcome::kTimeout;
  return end;
}

void Core::on_alarm(const Alarm& due) {
  switch (due.what) {
    case Due::kModule:
      feed([this, token = due.token](Time now) { module_->on(now, TimerFired{token}); });
      return;
    case Due::kAttempt: {
      const auto it = open_.find(static_cast<std::uint32_t>(due.token >> 8));
      const std::size_t number = due.token & 0xff;
      if (it == open_.end() || number >= it->second->attempts.size() || it->second->attempts[number].outcome)
        return;
      return end_attempt(due.token, forget(due.token, it->second->attempts[number].worker));
    }
    case Due::kDeadline: {
      // The client's time is up: whatever is out has timed out, and the module is told so at once.
      const auto id = static_cast<std::uint32_t>(due.token);
      const auto it = open_.find(id);
      if (it == open_.end() || it->second->streaming || it->second->deadline > due.at) return;
      for (std::size_t i = 0; i < it->second->attempts.size(); ++i) {
        if (it->second->attempts[i].outcome) continue;
        end_attempt(cookie(id, i), forget(cookie(id, i), it->second->attempts[i].worker));
        if (!open_.contains(id)) return;
      }
      return;
    }
    case Due::kOrder: {
      const auto it = orders_.find(due.token);
      if (it == orders_.end()) return;
      const Order order = it->second;
      if (worker::Port* to = link(order.worker)) to->forget_hold(due.token);
      order.probe ? on_probe_end(order.worker, due.token, Outcome::kTimeout, {})
                  : on_hold_end(order.worker, due.token, Outcome::kTimeout, 0);
      return;
    }
  }
}

}  // namespace laureltide::controller
