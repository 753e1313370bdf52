#include "platform/link.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <utility>

#include "platform/carried_ids.h"

namespace laureltide::platform {

// One connection to the invoker. It tracks which ids are in flight on it; the link knows what they stand for.
class Link::InvokerConnection : public io::ConnectionEvents {
 public:
  InvokerConnection(Link& link, std::uint64_t number, std::size_t read_ahead)
      : number(number),
        link_(link),
        timer_(link.host_.timer([this] { on_timer(); })),
        unsent_timer_(link.host_.timer([this] { check_unsent(); })) {
    ++link_.budget_.open;
    io::StreamOptions options;
    options.connect_timeout = link_.options_.dial_timeout;
    options.read_ahead = read_ahead;
    connection_ = link_.host_.connect(link_.address_, options, *this);
    timer_->start(link_.options_.dial_timeout);
  }
  ~InvokerConnection() override {
    if (connection_) --link_.budget_.open;
  }

  void close() {
    timer_->stop();
    unsent_timer_->stop();
    if (!connection_) return;
    --link_.budget_.open;
    connection_.reset();
  }

  void send(std::uint64_t id, const Key& key, std::string_view frame) {
    in_flight[id] = key;
    write_pending(id, frame);
    if (!awaiting_since) awaiting_since = link_.host_.now();
  }
  // Sends a frame that will be answered under its id.
  void write_pending(std::uint64_t id, std::string_view frame) {
    carried.add(id);
    retired |= carried.full();
    transmit(frame);
    const Key& key = in_flight.at(id);
    if (!key.first) return;
    link_.events_.on_call_sent(link_.worker_, key.second, number);
    if (connection_->unsent() > 0) unsent_calls_.push_back(id);
  }
  void transmit(std::string_view frame) {
    const Time now = link_.host_.now();
    if (in_flight.size() <= 1) idle_time = now - last_activity;  // only the first frame ends an idle period
    last_activity = now;
    connection_->write(frame);
    if (connection_->unsent() > 0) unsent_timer_->start(kUnsentCheckInterval);
  }
  void start_idle_timer() {  // if nothing is in flight any more
    if (open && in_flight.empty()) timer_->start(link_.options_.idle_timeout);
  }
  bool unresponsive() const {
    return awaiting_since && link_.host_.now() - *awaiting_since > link_.options_.unresponsive_after;
  }
  std::size_t unsent() const { return connection_ && open ? connection_->unsent() : 0; }

  const std::uint64_t number;
  std::map<std::uint64_t, Key> in_flight;
  CarriedIds carried;  // every id sent on it
  bool open = false;
  Time last_activity{};                // last byte in either direction
  Duration idle_time{};                // idle period before the last frame
  bool retired = false;                // gets nothing new and closes once nothing is in flight
  bool force_close = false;            // closes on the next event-loop turn, whatever is in flight
  std::optional<Time> awaiting_since;  // first frame sent since the last byte arrived
  std::size_t unexpected_answers = 0;
  struct Queued {
    std::string frame;
    bool starts_work = false;  // a call or an order to load, as opposed to a query
  };
  std::map<std::uint64_t, Queued> queued;  // by id, until the connection is open

  // ---- io::ConnectionEvents ----
  void on_open() override {
    open = true;
    last_activity = link_.host_.now();
    timer_->stop();
    const bool may_start_work = link_.events_.may_start_work(link_.worker_);
    for (const auto& [id, queued_frame] : std::exchange(queued, {})) {
      const Key& key = in_flight.at(id);
      const bool may_be_sent = !key.first || link_.events_.may_be_sent(link_.worker_, key.second);
      if ((queued_frame.starts_work && !may_start_work) || !may_be_sent)
        link_.discard_queued(*this, id);
      else
        write_pending(id, queued_frame.frame);
    }
    if (!in_flight.empty()) awaiting_since = link_.host_.now();
    start_idle_timer();
  }
  std::size_t on_bytes(std::string_view bytes) override {
    awaiting_since.reset();
    last_activity = link_.host_.now();
    std::size_t used = 0;
    while (connection_) {
      const ParseResult result = parse(bytes.substr(used), kInvokerMagic);
      if (result.kind == ParseResult::Kind::kNeedMore) break;
      if (result.kind == ParseResult::Kind::kBad) {
        link_.close_connection(*this, Outcome::kReset, std::string(result.why), result.id);
        return bytes.size();
      }
      used += result.size;
      link_.on_frame(*this, result.frame);
    }
    if (connection_ && !in_flight.empty()) awaiting_since = link_.host_.now();
    return used;
  }
  void on_closed(io::CloseReason why) override {
    if (!open) return link_.close_connection(*this, Outcome::kConnectFailed, "no connection");
    // Closed by the peer while idle, or in response to the first frame after an idle period.
    const Duration since_activity = link_.host_.now() - last_activity;
    if (in_flight.empty())
      link_.learn_idle_limit(since_activity);
    else if (why == io::CloseReason::kBroken && since_activity < link_.options_.crash_window)
      link_.learn_idle_limit(idle_time);
    link_.on_connection_lost(*this, why == io::CloseReason::kByPeer ? "the invoker closed the connection"
                                                                    : "the connection broke");
  }

 private:
  void check_unsent() {
    if (!connection_) return;
    if (connection_->unsent() == 0) return unsent_calls_.clear();
    const bool late = std::any_of(unsent_calls_.begin(), unsent_calls_.end(), [this](std::uint64_t id) {
      const auto it = in_flight.find(id);
      return it != in_flight.end() && !link_.events_.may_be_sent(link_.worker_, it->second.second);
    });
    if (late || !link_.events_.may_start_work(link_.worker_)) return link_.force_close_later(*this);
    unsent_timer_->start(kUnsentCheckInterval);
  }
  void on_timer() {
    if (!open) return link_.close_connection(*this, Outcome::kConnectFailed, "no connection in time");
    if (in_flight.empty()) link_.close_connection(*this, Outcome::kReset, "idle");
  }

  static constexpr Duration kUnsentCheckInterval = std::chrono::milliseconds(25);

  Link& link_;
  std::vector<std::uint64_t> unsent_calls_;  // ids of calls whose bytes may still be in the send buffer
  std::unique_ptr<io::Timer> timer_, unsent_timer_;
  std::unique_ptr<io::Connection> connection_;
};

namespace {

constexpr std::size_t kReadAhead =
    kHeaderBytes + kMaxFieldsBytes + kMaxBodyBytes + kChecksumBytes + (16U << 10);

constexpr double kIdleLimitDoublingSeconds = 30;  // a learned idle limit doubles in this time
// How long a survived idle period counts as evidence that no shorter idle limit exists.
constexpr Duration kIdleSurvivalValidFor = std::chrono::seconds(30);

std::optional<float> parse_number(std::string_view text) {
  float value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

Found found_of(std::string_view note) {
  if (note == "resident") return Found::kLoaded;
  if (note == "booted") return Found::kBeganLoad;
  if (note == "rode") return Found::kAwaitedLoad;
  if (note == "boot_error") return Found::kLoadFailed;
  return Found::kNotReported;
}

}  // namespace

Link::Link(io::Host& host, WorkerId worker, io::Address address, const LinkOptions& options,
           ConnectionBudget& budget, worker::LinkEvents& events)
    : host_(host),
      worker_(worker),
      address_(std::move(address)),
      options_(options),
      budget_(budget),
      events_(events),
      closed_(host),
      crash_timer_(host.timer([this] { settle_lost_connections(); })),
      deferred_timer_(host.timer([this] {
        const auto due = std::exchange(deferred_, {});
        for (const auto& action : due) action();
      })) {}
Link::~Link() = default;

void Link::defer(std::function<void()> action) {
  if (deferred_.empty()) deferred_timer_->start(Duration(0));
  deferred_.push_back(std::move(action));
}

std::uint64_t Link::random_id() { return host_.random(); }

void Link::call(worker::Call call, std::string_view body, std::uint64_t cookie) {
  const auto id = parse_id(call.name);
  std::string fields =
      "c=" + call.request_class + ",k=" + call.function + ",w=" + std::to_string(call.patience_ms);
  if (!call.key.empty()) fields += ",i=" + call.key;
  dispatch(Kind::kCall, cookie, id.value_or(0), Code::kCall, true, fields, body);
}

void Link::hold(const std::string& function, int instances, std::uint64_t cookie) {
  dispatch(Kind::kHold, cookie, random_id(), Code::kLoad, instances > 0,
           "k=" + function + ",units=" + std::to_string(instances), {});
}

void Link::probe(std::uint64_t cookie) {
  dispatch(Kind::kProbe, cookie, random_id(), Code::kStats, false, {}, {});
}

void Link::dispatch(Kind kind, std::uint64_t cookie, std::uint64_t id, Code code, bool starts_work,
                    std::string_view fields, std::string_view body) {
  const Key key{kind == Kind::kCall, cookie};
  InvokerConnection* connection = pick_connection(id);
  pending_[key] = {kind, cookie, id, connection};
  if (!connection)  // never handed to a transport, so it never ran
    return defer([this, key] {
      const auto it = pending_.find(key);
      if (it == pending_.end()) return;
      const Pending pending = it->second;
      pending_.erase(it);
      // For an order, full is the worker's word: it would count as a drain or as a lack of memory there.
      const Outcome outcome = pending.kind == Kind::kHold ? Outcome::kNotRun : Outcome::kFull;
      report_end(pending.cookie, pending.kind, outcome, "no connection is free");
    });
  scratch_.clear();
  write(scratch_, kControllerMagic, code, id, fields, body);
  if (connection->open) return connection->send(id, key, scratch_);
  connection->in_flight[id] = key;
  connection->queued[id] = {scratch_, starts_work};
}

// Returns an idle connection, else a new one while the limits allow, else the least loaded usable one. Never
// returns one that has carried the id, since a duplicate of an earlier answer would be taken for this
// attempt's.
Link::InvokerConnection* Link::pick_connection(std::uint64_t id) {
  InvokerConnection* idle = nullptr;
  InvokerConnection* least_loaded = nullptr;
  InvokerConnection* unfit = nullptr;  // closed first if a new connection needs its place
  const Time now = host_.now();
  for (const auto& connection : connections_) {
    const bool unusable = connection->retired || connection->unresponsive() ||
                          (connection->open && now - connection->last_activity > idle_limit()) ||
                          connection->carried.contains(id);
    if (unusable && (!unfit || connection->in_flight.size() < unfit->in_flight.size()))
      unfit = connection.get();
    if (unusable || connection->in_flight.size() >= options_.streams || connection->in_flight.contains(id))
      continue;
    // Prefers the most recently used one, so that the others reach their idle timeout.
    if (connection->in_flight.empty() && connection->open &&
        (!idle || connection->last_activity > idle->last_activity))
      idle = connection.get();
    if (!least_loaded || connection->in_flight.size() < least_loaded->in_flight.size())
      least_loaded = connection.get();
  }
  if (idle) return idle;
  const std::size_t limit = budget_.limit + (least_loaded ? 0 : budget_.reserve);
  const bool full = connections_.size() >= options_.max_connections || budget_.open >= limit;
  if (full && unfit && unfit->in_flight.empty()) close_connection(*unfit, Outcome::kReset, "makes room");
  if (connections_.size() < options_.max_connections && budget_.open < limit) {
    connections_.push_back(std::make_unique<InvokerConnection>(*this, ++connections_made_, kReadAhead));
    return connections_.back().get();
  }
  return least_loaded;
}

void Link::cancel(std::uint64_t cookie) {
  const Key key{true, cookie};
  const auto it = pending_.find(key);
  if (it == pending_.end() || !it->second.connection) return;
  const bool was_queued = it->second.connection->queued.contains(it->second.id);
  abandon(key, false);
  defer([this, cookie, was_queued] {
    events_.on_call_end(worker_, cookie,
                        {was_queued ? Outcome::kNotRun : Outcome::kCancelled, {}, {}, {}, {}, {}});
  });
}

// The answer to a call that has been sent completely can still be used, so it is awaited. Only a call that is
// still queued, or whose bytes may still be in the send buffer, is kept from the worker.
void Link::withdraw(std::uint64_t cookie) {
  const auto it = pending_.find({true, cookie});
  if (it == pending_.end() || !it->second.connection) return;
  const bool was_queued = it->second.connection->queued.contains(it->second.id);
  if (!was_queued && it->second.connection->unsent() == 0) return;
  abandon({true, cookie}, false);
  const Outcome outcome = was_queued ? Outcome::kNotRun : Outcome::kCancelled;
  defer([this, cookie, outcome] { events_.on_call_end(worker_, cookie, {outcome, {}, {}, {}, {}, {}}); });
}

void Link::withdraw_waiting() {
  for (const auto& connection : connections_) {
    // Bytes still in the send buffer would be sent as soon as the peer reads again.
    if (connection->unsent() > 0) close_connection_later(*connection);
    for (const auto& [id, queued_frame] : std::exchange(connection->queued, {}))
      discard_queued(*connection, id);
    connection->start_idle_timer();
  }
}

// Drops a frame that was queued for the connection and reports its end.
void Link::discard_queued(InvokerConnection& connection, std::uint64_t id) {
  const auto it = connection.in_flight.find(id);
  if (it == connection.in_flight.end()) return;
  const auto pending = pending_.find(it->second);
  connection.in_flight.erase(it);
  if (pending == pending_.end()) return;
  const Pending entry = pending->second;
  pending_.erase(pending);
  defer([this, entry] {
    report_end(entry.cookie, entry.kind, entry.kind == Kind::kCall ? Outcome::kNotRun : Outcome::kFull, "");
  });
}

bool Link::forget_call(std::uint64_t cookie) { return abandon({true, cookie}, true); }
void Link::forget_hold(std::uint64_t cookie) { abandon({false, cookie}, true); }

// Stops waiting for an answer. `unanswered` retires the connection: either the answer is late or the
// connection is dead. Returns true if nothing of the frame had been sent.
bool Link::abandon(const Key& key, bool unanswered) {
  const auto it = pending_.find(key);
  if (it == pending_.end()) return false;
  const Pending pending = it->second;
  pending_.erase(it);
  if (!pending.connection) return false;
  InvokerConnection& connection = *pending.connection;
  connection.in_flight.erase(pending.id);
  if (connection.queued.erase(pending.id) > 0) {
    connection.start_idle_timer();
    return true;
  }
  connection.retired |= unanswered;
  const bool has_unsent = connection.unsent() > 0;  // may include this call's bytes, which cannot be recalled
  if (pending.kind == Kind::kCall && !has_unsent) {
    scratch_.clear();
    write(scratch_, kControllerMagic, Code::kCancel, pending.id, {}, {});
    connection.transmit(scratch_);
  }
  if (has_unsent)
    force_close_later(connection);
  else if (connection.retired && connection.in_flight.empty())
    close_connection_later(connection);
  else
    connection.start_idle_timer();
  return false;
}

// Deferred because the connection itself may be on the call stack.
void Link::close_connection_later(InvokerConnection& connection) {
  defer([this, target = &connection] {
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](auto& candidate) { return candidate.get() == target; });
    if (it == connections_.end()) return;
    const InvokerConnection& closing = **it;
    const bool done = closing.retired && closing.in_flight.empty();
    if (done) return close_connection(**it, Outcome::kReset, "retired");
    if (closing.force_close || closing.unsent() > 0)
      close_connection(**it, Outcome::kReset, "it took no bytes");
  });
}

// Closes the connection even if its bytes are sent before the next event-loop turn: closing is the only way
// to tell the worker that a call among them was cancelled, and the call's next attempt may already be
// running.
void Link::force_close_later(InvokerConnection& connection) {
  connection.force_close = connection.retired = true;
  close_connection_later(connection);
}

void Link::release(const std::string& function) {
  const auto id = parse_id(function);
  if (!id) return;
  // Sent only on an open connection; without one, the instances are left to the worker's own idle timeout.
  for (const auto& connection : connections_) {
    if (!connection->open || connection->retired || connection->unresponsive()) continue;
    scratch_.clear();
    write(scratch_, kControllerMagic, Code::kUnload, *id, {}, {});
    return connection->transmit(scratch_);
  }
}

void Link::on_frame(InvokerConnection& connection, const Frame& frame) {
  const auto it = connection.in_flight.find(frame.id);
  const auto pending = it == connection.in_flight.end() ? pending_.end() : pending_.find(it->second);
  if (pending == pending_.end()) return on_unexpected_answer(connection, frame.id);
  const Pending entry = pending->second;
  const auto code = static_cast<Code>(frame.code);
  const bool is_probe_answer = code == Code::kHealthy || code == Code::kUnhealthy;
  const bool expected = entry.kind == Kind::kProbe ? is_probe_answer
                        : entry.kind == Kind::kHold
                            ? code == Code::kOk || code == Code::kFull || code == Code::kError
                            : code == Code::kOk || code == Code::kMiss || code == Code::kFull ||
                                  code == Code::kError || code == Code::kAlreadyOver;
  if (!expected)
    return close_connection(connection, Outcome::kReset, "an answer of a code that does not fit", frame.id);
  connection.in_flight.erase(it);
  pending_.erase(pending);
  note_idle_survived(connection.idle_time);
  if (connection.retired && connection.in_flight.empty())
    close_connection_later(connection);
  else
    connection.start_idle_timer();
  const Outcome outcome = code == Code::kOk || code == Code::kHealthy ? Outcome::kOk
                          : code == Code::kMiss                       ? Outcome::kMiss
                          : code == Code::kFull                       ? Outcome::kFull
                          : code == Code::kAlreadyOver                ? Outcome::kNotRun
                                                                      : Outcome::kError;
  if (entry.kind == Kind::kProbe)
    return events_.on_probe_end(worker_, entry.cookie, outcome, report_of(frame.fields));
  if (entry.kind == Kind::kHold) {
    const auto units = parse_number(field(frame.fields, "units").value_or(""));
    return events_.on_hold_end(worker_, entry.cookie, outcome,
                               static_cast<int>(std::clamp(units.value_or(0), 0.0F, 1e6F)));
  }
  worker::LinkEvents::CallEnd end;
  end.outcome = outcome;
  end.found = found_of(field(frame.fields, "note").value_or(""));
  if (options_.reports_others_in_flight)
    end.others_in_flight = static_cast<int>(
        std::clamp(parse_number(field(frame.fields, "ahead").value_or("0")).value_or(0), 0.0F, 1e6F));
  end.report = report_of(frame.fields);
  end.body = frame.body;
  events_.on_call_end(worker_, entry.cookie, std::move(end));
}

// Ignores a duplicate answer, a late one, or one to an id that was never sent, up to a limit per connection.
void Link::on_unexpected_answer(InvokerConnection& connection, std::uint64_t id) {
  events_.on_anomaly(worker_, connection.carried.contains(id)
                                  ? "a copy of an answer, or one to what was given up"
                                  : "an answer under an id that was never sent there");
  if (++connection.unexpected_answers > options_.max_unexpected_answers)
    close_connection(connection, Outcome::kReset, "answers that nobody waits for");
}

// Parses the field of an answer that looks like "load=inflight:7;util:0.61".
LoadReport Link::report_of(std::string_view fields) const {
  LoadReport report;
  std::string_view load = field(fields, "load").value_or("");
  while (!load.empty()) {
    const std::size_t semicolon = load.find(';');
    const std::string_view pair = load.substr(0, semicolon);
    load = semicolon == std::string_view::npos ? std::string_view{} : load.substr(semicolon + 1);
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) continue;
    const auto named = std::find_if(options_.load.begin(), options_.load.end(),
                                    [&](const auto& known) { return known.first == pair.substr(0, colon); });
    const auto value = parse_number(pair.substr(colon + 1));
    if (named == options_.load.end() || !value) continue;
    switch (named->second) {
      case LoadValue::kInHand: report.in_progress = value; break;
      case LoadValue::kWaiting: report.waiting = value; break;
      case LoadValue::kBusyCores: report.busy_cores = value; break;
      case LoadValue::kRunMs: report.run_ms = value; break;
      case LoadValue::kServed: report.served_per_s = value; break;
      case LoadValue::kErrors: report.errors_per_s = value; break;
      case LoadValue::kMemory: report.memory_in_use = value; break;
      case LoadValue::kLoads: report.loads = value; break;
    }
  }
  return report;
}

// Closes the connection. `malformed` is the id of an answer that could not be parsed: that call has run and
// the invoker is alive, so it ends as kError. Everything else in flight ends with `outcome_of_others`.
void Link::close_connection(InvokerConnection& connection, Outcome outcome_of_others, const std::string& why,
                            std::optional<std::uint64_t> malformed) {
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&](auto& candidate) { return candidate.get() == &connection; });
  if (it == connections_.end()) return;
  std::unique_ptr<InvokerConnection> owned = std::move(*it);
  connections_.erase(it);
  const auto ended = std::exchange(connection.in_flight, {});
  connection.close();
  events_.on_connection_end(worker_, why);
  if (malformed) events_.on_anomaly(worker_, "closed a connection: " + why);
  for (const auto& [id, key] : ended) {
    const auto pending = pending_.find(key);
    if (pending == pending_.end()) continue;
    const Pending entry = pending->second;
    pending_.erase(pending);
    const bool answer_malformed = malformed == id && entry.kind == Kind::kCall;
    report_end(entry.cookie, entry.kind, answer_malformed ? Outcome::kError : outcome_of_others, why);
  }
  closed_.delete_later(std::move(owned));
}

// The connection was lost without an answer. What was in flight may have run. Whether the invoker crashed is
// decided after the crash window, from whether its other connections closed too.
void Link::on_connection_lost(InvokerConnection& connection, const std::string& why) {
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&](auto& candidate) { return candidate.get() == &connection; });
  if (it == connections_.end()) return;
  LostConnection lost{host_.now(), {}, {}, why};
  for (const auto& sibling : connections_)
    if (sibling.get() != &connection && sibling->open) lost.siblings.push_back(sibling.get());
  if (lost.siblings.empty() || connection.in_flight.empty())
    return close_connection(connection, Outcome::kReset, why);
  for (const auto& [id, key] : std::exchange(connection.in_flight, {})) {
    const auto pending = pending_.find(key);
    if (pending == pending_.end()) continue;
    pending->second.connection = nullptr;
    lost.keys.push_back(key);
  }
  close_connection(connection, Outcome::kReset, why);
  lost_connections_.push_back(std::move(lost));
  if (lost_connections_.size() == 1) crash_timer_->start(options_.crash_window);
}

void Link::settle_lost_connections() {
  const Time now = host_.now();
  auto all = std::exchange(lost_connections_, {});
  for (LostConnection& lost : all) {
    if (now - lost.at < options_.crash_window) {
      lost_connections_.push_back(std::move(lost));
      continue;
    }
    const bool alive = std::any_of(connections_.begin(), connections_.end(), [&](const auto& candidate) {
      return std::find(lost.siblings.begin(), lost.siblings.end(), candidate.get()) != lost.siblings.end();
    });
    for (const Key& key : lost.keys) {
      const auto pending = pending_.find(key);
      if (pending == pending_.end()) continue;
      const Pending entry = pending->second;
      pending_.erase(pending);
      // The caller repeats an order or a probe that was lost.
      const Outcome outcome_if_alive = entry.kind == Kind::kCall ? Outcome::kError : Outcome::kTimeout;
      report_end(entry.cookie, entry.kind, alive ? outcome_if_alive : Outcome::kReset, lost.why);
    }
  }
  if (!lost_connections_.empty())
    crash_timer_->start(options_.crash_window - (now - lost_connections_.front().at));
}

std::size_t Link::unsent() const {
  std::size_t bytes = 0;
  for (const auto& connection : connections_) bytes += connection->unsent();
  return bytes;
}

Duration Link::idle_limit() const {
  if (idle_limit_ == Duration(0)) return options_.idle_timeout;
  const double seconds = std::chrono::duration<double>(host_.now() - idle_limit_learned_at_).count();
  const double grown =
      std::chrono::duration<double>(idle_limit_).count() * std::exp2(seconds / kIdleLimitDoublingSeconds);
  return std::min(options_.idle_timeout,
                  std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(grown, 1e4))));
}

void Link::learn_idle_limit(Duration idle_time) {
  if (idle_time >= options_.idle_timeout || idle_time / 2 >= idle_limit()) return;
  // An idle timeout would also have closed the connection that was idle for longer, so this close has another
  // cause.
  if (idle_time <= longest_idle_survived_ && host_.now() - idle_survived_at_ < kIdleSurvivalValidFor) return;
  idle_limit_ = std::max(options_.min_idle_limit, idle_time / 2);
  idle_limit_learned_at_ = host_.now();
}

// Records that a connection still answered after being idle for this long.
void Link::note_idle_survived(Duration idle_time) {
  const Time now = host_.now();
  if (idle_time < longest_idle_survived_ && now - idle_survived_at_ < kIdleSurvivalValidFor) return;
  longest_idle_survived_ = idle_time, idle_survived_at_ = now;
}

void Link::report_end(std::uint64_t cookie, Kind kind, Outcome outcome, const std::string& why) {
  switch (kind) {
    case Kind::kCall: return events_.on_call_end(worker_, cookie, {outcome, {}, {}, {}, why, {}});
    case Kind::kHold: return events_.on_hold_end(worker_, cookie, outcome, 0);
    case Kind::kProbe: return events_.on_probe_end(worker_, cookie, outcome, {});
  }
}

}  // namespace laureltide::platform
