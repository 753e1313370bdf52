#include "worker/link.h"

#include <algorithm>
#include <utility>

namespace laureltide::worker {
namespace {

LoadReport to_load_report(const Report& report) {
  LoadReport r;
  for (const auto& [field, value] : report.values) switch (static_cast<ReportField>(field)) {
      case ReportField::kInProgress: r.in_progress = value; break;
      case ReportField::kWaiting: r.waiting = value; break;
      case ReportField::kBusyCores: r.busy_cores = value; break;
      case ReportField::kRunMs: r.run_ms = value; break;
      case ReportField::kServedPerS: r.served_per_s = value; break;
      case ReportField::kErrorsPerS: r.errors_per_s = value; break;
      case ReportField::kMemoryInUse: r.memory_in_use = value; break;
      case ReportField::kLoads: r.loads = value; break;
    }
  return r;
}

Outcome outcome_of(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::kOk: return Outcome::kOk;
    case AnswerKind::kError: return Outcome::kError;
    case AnswerKind::kFull: return Outcome::kFull;
    case AnswerKind::kMiss: return Outcome::kMiss;
    case AnswerKind::kCancelled: return Outcome::kCancelled;
  }
  return Outcome::kError;
}

Found found_of(FoundKind kind) {
  switch (kind) {
    case FoundKind::kNotReported: return Found::kNotReported;
    case FoundKind::kLoaded: return Found::kLoaded;
    case FoundKind::kBeganLoad: return Found::kBeganLoad;
    case FoundKind::kAwaitedLoad: return Found::kAwaitedLoad;
    case FoundKind::kLoadFailed: return Found::kLoadFailed;
  }
  return Found::kNotReported;
}

}  // namespace

Link::Link(io::Host& host, WorkerId worker, io::Address address, LinkOptions options, LinkEvents& events)
    : host_(host),
      worker_(worker),
      address_(std::move(address)),
      options_(std::move(options)),
      events_(events) {
  dial_timer_ = host.timer([this] {  // no hello in time counts as a failed connection
    connection_.reset();
    on_connection_lost(io::CloseReason::kNeverOpened);
  });
  deferred_timer_ = host.timer([this] {
    const auto due = std::exchange(deferred_, {});
    for (const auto& what : due) what();
  });
}
Link::~Link() = default;

void Link::defer(std::function<void()> what) {
  if (deferred_.empty()) deferred_timer_->start(Duration(0));
  deferred_.push_back(std::move(what));
}

void Link::call(Call call, std::string_view body, std::uint64_t cookie) {
  send_or_queue(std::move(call), body, cookie);
}
void Link::hold(const std::string& function, int instances, std::uint64_t cookie) {
  send_or_queue(Hold{0, static_cast<std::uint8_t>(instances), function}, {}, cookie);
}
void Link::probe(std::uint64_t cookie) { send_or_queue(Probe{}, {}, cookie); }

void Link::send_or_queue(Message message, std::string_view body, std::uint64_t cookie) {
  const bool over_limit =
      calls_.size() + holds_.size() + probes_.size() + waiting_.size() >= options_.max_outstanding ||
      (connection_ && connection_->unsent() > options_.max_unsent_bytes);
  const bool worker_draining =
      draining_ && state_ == State::kReady && !std::holds_alternative<Probe>(message);
  if (over_limit || worker_draining) {  // not handed to the transport: never ran
    // For an order, full is the worker's word: it would count as a drain or as a lack of memory there.
    const bool is_own_limit = !worker_draining && std::holds_alternative<Hold>(message);
    const Outcome outcome = is_own_limit ? Outcome::kNotRun : Outcome::kFull;
    return defer([this, m = std::move(message), cookie, outcome] { end_waiting(m, cookie, outcome); });
  }
  if (state_ == State::kReady) return transmit(message, body, cookie);
  if (auto* c = std::get_if<Call>(&message)) c->body = body;
  waiting_.push_back({std::move(message), cookie});
  if (state_ == State::kIdle) dial();
}

void Link::transmit(const Message& message, std::string_view body, std::uint64_t cookie) {
  scratch_.clear();
  if (const auto* call = std::get_if<Call>(&message)) {
    Call fields = *call;
    fields.body.clear();
    fields.id = next_id_;
    write_call(scratch_, fields, body);
    if (scratch_.size() - 4 > peer_max_frame_)  // the worker would close the connection
      return defer([this, m = message, cookie] { end_waiting(m, cookie, Outcome::kFull); });
    calls_[next_id_] = cookie;
    call_ids_[cookie] = next_id_;
    ++next_id_;
  } else if (const auto* hold = std::get_if<Hold>(&message)) {
    holds_[next_order_] = cookie;
    write(scratch_, Hold{next_order_++, hold->instances, hold->function});
  } else {
    probes_[next_order_] = cookie;
    write(scratch_, Probe{next_order_++});
  }
  connection_->write(scratch_);
}

void Link::cancel(std::uint64_t cookie) {
  if (forget_waiting(cookie)) {
    return defer([this, cookie] {
      events_.on_call_end(worker_, cookie, {Outcome::kCancelled, {}, {}, {}, {}, {}});
    });
  }
  const auto id = call_ids_.find(cookie);
  if (id == call_ids_.end() || state_ != State::kReady) return;
  scratch_.clear();
  write(scratch_, Cancel{id->second});
  connection_->write(scratch_);
}

void Link::withdraw(std::uint64_t cookie) {
  if (forget_waiting(cookie))
    defer([this, cookie] { events_.on_call_end(worker_, cookie, {Outcome::kNotRun, {}, {}, {}, {}, {}}); });
}

void Link::withdraw_waiting() {
  for (Waiting& w : std::exchange(waiting_, {}))
    defer([this, m = std::move(w.message), cookie = w.cookie] { end_unsent(m, cookie); });
}

// Checked again because the decision to send was made before the connection was ready.
bool Link::may_be_sent(const Waiting& waiting) {
  if (std::holds_alternative<Probe>(waiting.message)) return true;
  const auto* hold = std::get_if<Hold>(&waiting.message);
  if (hold && hold->instances == 0) return true;  // a query starts no work
  if (!events_.may_start_work(worker_)) return false;
  return hold || events_.may_be_sent(worker_, waiting.cookie);
}

// Ends a message that was never sent and never will be.
void Link::end_unsent(const Message& message, std::uint64_t cookie) {
  end_waiting(message, cookie, std::holds_alternative<Call>(message) ? Outcome::kNotRun : Outcome::kFull);
}

bool Link::forget_waiting(std::uint64_t cookie) {
  return std::erase_if(waiting_, [&](const Waiting& w) {
           return w.cookie == cookie && std::holds_alternative<Call>(w.message);
         }) > 0;
}

bool Link::forget_call(std::uint64_t cookie) {
  if (forget_waiting(cookie)) return true;
  const auto id = call_ids_.find(cookie);
  if (id == call_ids_.end()) return false;
  calls_.erase(id->second);
  call_ids_.erase(id);
  return false;
}

void Link::forget_hold(std::uint64_t cookie) {
  std::erase_if(waiting_, [&](const Waiting& w) {
    return w.cookie == cookie && !std::holds_alternative<Call>(w.message);
  });
  std::erase_if(holds_, [&](const auto& h) { return h.second == cookie; });
  std::erase_if(probes_, [&](const auto& p) { return p.second == cookie; });
}

void Link::release(const std::string& function) {
  if (state_ != State::kReady) return;  // without a connection the worker holds nothing for us
  scratch_.clear();
  write(scratch_, Release{function});
  connection_->write(scratch_);
}

void Link::dial() {
  state_ = State::kDialing;
  ++dial_count_;
  draining_ = false;
  peer_max_frame_ = kHelloMaxFrame;
  next_id_ = 1;
  io::StreamOptions options;
  options.connect_timeout = options_.dial_timeout;
  options.read_ahead = options_.max_frame + 64U * 1024U;
  connection_ = host_.connect(address_, options, *this);
  dial_timer_->start(options_.dial_timeout);
}

void Link::on_open() {
  scratch_.clear();
  write(scratch_, Hello{kMajor, kMinor, options_.max_frame, options_.controller, options_.started_unix_ms,
                        options_.controller_name});
  connection_->write(scratch_);
}

std::size_t Link::on_bytes(std::string_view bytes) {
  std::size_t used = 0;
  const std::uint64_t dial = dial_count_;  // handling a message may replace the connection
  while (connection_ && dial_count_ == dial) {
    const ParseResult r =
        parse(bytes.substr(used), state_ == State::kReady ? options_.max_frame : kHelloMaxFrame);
    if (r.kind == ParseResult::Kind::kNeedMore) break;
    if (r.kind == ParseResult::Kind::kBad) {
      fail_protocol(r.code, r.why);
      return bytes.size();
    }
    used += r.size;
    on_message(std::move(const_cast<Message&>(r.message)));
  }
  return used;
}

void Link::fail_protocol(ErrorCode code, std::string_view why) {
  events_.on_anomaly(worker_, "closed the connection: " + std::string(why));
  scratch_.clear();
  write(scratch_, Error{code, std::string(why)});
  connection_->write(scratch_);
  connection_->finish();
  connection_.reset();
  on_connection_lost(io::CloseReason::kBroken);
}

void Link::on_message(Message message) {
  if (const auto* hello = std::get_if<Hello>(&message)) {
    if (state_ != State::kDialing) return fail_protocol(kUnexpected, "a second hello");
    if (hello->major != kMajor) return fail_protocol(kVersion, "another major version");
    if (hello->id != static_cast<std::uint32_t>(worker_))
      return fail_protocol(kUnexpected, "another worker answers at this address");
    state_ = State::kReady;
    dial_timer_->stop();
    peer_max_frame_ = std::max(hello->max_frame, kHelloMaxFrame);
    for (Waiting& w : std::exchange(waiting_, {})) {
      if (!may_be_sent(w)) {
        defer([this, m = std::move(w.message), cookie = w.cookie] { end_unsent(m, cookie); });
        continue;
      }
      const auto* call = std::get_if<Call>(&w.message);
      transmit(w.message, call ? std::string_view(call->body) : std::string_view{}, w.cookie);
    }
    return;
  }
  if (state_ != State::kReady) return fail_protocol(kUnexpected, "no hello first");
  if (auto* answer = std::get_if<Answer>(&message)) return on_answer(std::move(*answer));
  if (auto* piece = std::get_if<Piece>(&message)) {
    const auto it = calls_.find(piece->id);
    if (it == calls_.end()) return events_.on_anomaly(worker_, "a piece that nobody waits for");
    return events_.on_piece(worker_, it->second, std::move(piece->body));
  }
  if (const auto* held = std::get_if<Held>(&message)) {
    const auto it = holds_.find(held->order);
    if (it == holds_.end()) return events_.on_anomaly(worker_, "a hold answer that nobody waits for");
    const std::uint64_t cookie = it->second;
    holds_.erase(it);
    const Outcome outcome = held->kind == HeldKind::kOk     ? Outcome::kOk
                            : held->kind == HeldKind::kFull ? Outcome::kFull
                                                            : Outcome::kError;
    return events_.on_hold_end(worker_, cookie, outcome, held->instances);
  }
  if (const auto* probed = std::get_if<Probed>(&message)) {
    const auto it = probes_.find(probed->id);
    if (it == probes_.end()) return events_.on_anomaly(worker_, "a probe answer that nobody waits for");
    const std::uint64_t cookie = it->second;
    probes_.erase(it);
    return events_.on_probe_end(worker_, cookie, Outcome::kOk, to_load_report(probed->report));
  }
  if (const auto* drain = std::get_if<Drain>(&message)) return on_drain(drain->last_taken);
  if (const auto* error = std::get_if<Error>(&message)) {
    events_.on_anomaly(worker_, "says: " + error->text);
    return;  // the worker closes the connection after it
  }
  fail_protocol(kUnexpected, "a controller's message from a worker");
}

void Link::on_answer(Answer answer) {
  const auto it = calls_.find(answer.id);
  if (it == calls_.end())
    return events_.on_anomaly(worker_, answer.id >= next_id_ ? "an answer to a call never sent"
                                                             : "an answer that nobody waits for any more");
  const std::uint64_t cookie = it->second;
  calls_.erase(it);
  call_ids_.erase(cookie);
  LinkEvents::CallEnd end;
  end.outcome = outcome_of(answer.kind);
  end.found = found_of(answer.found);
  if (answer.others_in_flight != kOthersNotReported) end.others_in_flight = answer.others_in_flight;
  end.report = to_load_report(answer.report);
  end.reason = std::move(answer.reason);
  end.body = std::move(answer.body);
  events_.on_call_end(worker_, cookie, std::move(end));
}

// Calls above the last id that the worker took have never run.
void Link::on_drain(std::uint64_t last_taken) {
  draining_ = true;
  std::vector<std::uint64_t> not_taken;
  for (auto it = calls_.upper_bound(last_taken); it != calls_.end(); it = calls_.erase(it)) {
    call_ids_.erase(it->second);
    not_taken.push_back(it->second);
  }
  for (const std::uint64_t cookie : not_taken)
    events_.on_call_end(worker_, cookie, {Outcome::kFull, {}, {}, {}, "the worker drains", {}});
}

void Link::on_closed(io::CloseReason why) { on_connection_lost(why); }

void Link::on_connection_lost(io::CloseReason) {
  if (state_ == State::kIdle) return;
  dial_timer_->stop();
  if (connection_) connection_->finish();
  connection_.reset();
  state_ = State::kIdle;
  draining_ = false;
  // Emptied first: the event handlers may submit new work, which reconnects.
  const auto waiting = std::exchange(waiting_, {});
  const auto calls = std::exchange(calls_, {});
  const auto holds = std::exchange(holds_, {});
  const auto probes = std::exchange(probes_, {});
  call_ids_.clear();
  for (const Waiting& w : waiting) end_waiting(w.message, w.cookie, Outcome::kConnectFailed);
  for (const auto& [id, cookie] : calls)
    events_.on_call_end(worker_, cookie,
                        {Outcome::kReset, {}, {}, {}, "the connection to the worker broke", {}});
  for (const auto& [id, cookie] : holds) events_.on_hold_end(worker_, cookie, Outcome::kReset, 0);
  for (const auto& [id, cookie] : probes) events_.on_probe_end(worker_, cookie, Outcome::kReset, {});
}

void Link::end_waiting(const Message& message, std::uint64_t cookie, Outcome outcome) {
  if (std::holds_alternative<Call>(message))
    events_.on_call_end(worker_, cookie, {outcome, {}, {}, {}, {}, {}});
  else if (std::holds_alternative<Hold>(message))
    events_.on_hold_end(worker_, cookie, outcome, 0);
  else
    events_.on_probe_end(worker_, cookie, outcome, {});
}

}  // namespace laureltide::worker
