#include "platform/link.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <utility>

#include "platform/carried_ids.h"

namespace laureltide::platform {

// One connection. It keeps which ids are out on it; what they mean is the link's.
class Link::Wire : public io::ConnectionEvents {
 public:
  Wire(Link& link, std::uint64_t number, std::size_t read_ahead)
      : number(number),
        link_(link),
        timer_(link.host_.timer([this] { on_timer(); })),
        unsent_timer_(link.host_.timer([this] { look_at_unsent(); })) {
    ++link_.budget_.open;
    io::StreamOptions options;
    options.connect_timeout = link_.options_.dial_timeout;
    options.read_ahead = read_ahead;
    connection_ = link_.host_.connect(link_.address_, options, *this);
    timer_->start(link_.options_.dial_timeout);
  }
  ~Wire() override {
    if (connection_) --link_.budget_.open;
  }

  void close() {
    timer_->stop();
    unsent_timer_->stop();
    if (!connection_) return;
    --link_.budget_.open;
    connection_.reset();
  }

  void ask(std::uint64_t id, const Key& key, std::string_view frame) {
    out[id] = key;
    put_asked(id, frame);
    if (!asked_at) asked_at = link_.host_.now();
  }
  // What has an answer under its id.
  void put_asked(std::uint64_t id, std::string_view frame) {
    carried.add(id);
    retired |= carried.full();
    put(frame);
    const Key& key = out.at(id);
    if (!key.first) return;
    link_.events_.on_call_sent(link_.worker_, key.second, number);
    if (connection_->unsent() > 0) untaken_.push_back(id);
  }
  void put(std::string_view frame) {
    const Time now = link_.host_.now();
    if (out.size() <= 1) rested = now - used_at;  // what comes behind it ended no rest
    used_at = now;
    connection_->write(frame);
    if (connection_->unsent() > 0) unsent_timer_->start(kLookAtUnsentEvery);
  }
  void rest() {  // nothing is out any more
    if (open && out.empty()) timer_->start(link_.options_.idle_timeout);
  }
  bool unresponsive() const {
    return asked_at && link_.host_.now() - *asked_at > link_.options_.unresponsive_after;
  }
  std::size_t unsent() const { return connection_ && open ? connection_->unsent() : 0; }

  const std::uint64_t number;
  std::map<std::uint64_t, Key> out;
  CarriedIds carried;  // of all that left on it
  bool open = false;
  Time used_at{};                // last byte either way
  Duration rested{};             // idle before the last frame
  bool retired = false;          // gets nothing new, and ends with what is out
  bool ending = false;           // ends at the next turn whatever is out
  std::optional<Time> asked_at;  // of the first frame since the last byte came
  std::size_t unknown = 0;
  struct Waiting {
    std::string frame;
    bool begins = false;  // something new at the worker: a call, an order to load
  };
  std::map<std::uint64_t, Waiting> waiting;  // until the connection stands, by id

  // ---- io::ConnectionEvents ----
  void on_open() override {
    open = true;
    used_at = link_.host_.now();
    timer_->stop();
    const bool may_start_work = link_.events_.may_start_work(link_.worker_);
    for (const auto& [id, what] : std::exchange(waiting, {})) {
      const Key& key = out.at(id);
      const bool may_be_sent = !key.first || link_.events_.may_be_sent(link_.worker_, key.second);
      if ((what.begins && !may_start_work) || !may_be_sent)
        link_.withhold(*this, id);
      else
        put_asked(id, what.frame);
    }
    if (!out.empty()) asked_at = link_.host_.now();
    rest();
  }
  std::size_t on_bytes(std::string_view bytes) override {
    asked_at.reset();
    used_at = link_.host_.now();
    std::size_t used = 0;
    while (connection_) {
      const ParseResult r = parse(bytes.substr(used), kInvokerMagic);
      if (r.kind == ParseResult::Kind::kNeedMore) break;
      if (r.kind == ParseResult::Kind::kBad) {
        link_.drop(*this, Outcome::kReset, std::string(r.why), r.id);
        return bytes.size();
      }
      used += r.size;
      link_.on_frame(*this, r.frame);
    }
    if (connection_ && !out.empty()) asked_at = link_.host_.now();
    return used;
  }
  void on_closed(io::Closed why) override {
    if (!open) return link_.drop(*this, Outcome::kConnectFailed, "no connection");
    // Found ended while it rested, or by the very frame that ended its rest.
    const Duration since = link_.host_.now() - used_at;
    if (out.empty())
      link_.learn_rest(since);
    else if (why == io::Closed::kBroken && since < link_.options_.verdict)
      link_.learn_rest(rested);
    link_.broke(*this,
                why == io::Closed::kByPeer ? "the invoker closed the connection" : "the connection broke");
  }

 private:
  void look_at_unsent() {
    if (!connection_) return;
    if (connection_->unsent() == 0) return untaken_.clear();
    const bool late = std::any_of(untaken_.begin(), untaken_.end(), [this](std::uint64_t id) {
      const auto it = out.find(id);
      return it != out.end() && !link_.events_.may_be_sent(link_.worker_, it->second.second);
    });
    if (late || !link_.events_.may_start_work(link_.worker_)) return link_.end_later(*this);
    unsent_timer_->start(kLookAtUnsentEvery);
  }
  void on_timer() {
    if (!open) return link_.drop(*this, Outcome::kConnectFailed, "no connection in time");
    if (out.empty()) link_.drop(*this, Outcome::kReset, "idle");
  }

  static constexpr Duration kLookAtUnsentEvery = std::chrono::milliseconds(25);

  Link& link_;
  std::vector<std::uint64_t> untaken_;  // ids of calls of which the machine may hold bytes back
  std::unique_ptr<io::Timer> timer_, unsent_timer_;
  std::unique_ptr<io::Connection> connection_;
};

namespace {

constexpr std::size_t kReadAhead = kHeaderBytes + kMostFields + kMaxBodyBytes + kChecksumBytes + (16U << 10);

constexpr double kRestDoubles = 30;  // seconds in which what was learnt of a rest is trusted twice as far
constexpr Duration kOutlivedCounts = std::chrono::seconds(30);  // as an example of a rest that ended nothing

std::optional<float> number(std::string_view text) {
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
      dead_(host),
      verdict_(host.timer([this] { judge_broken(); })),
      later_timer_(host.timer([this] {
        const auto due = std::exchange(later_, {});
        for (const auto& what : due) what();
      })) {}
Link::~Link() = default;

void Link::later(std::function<void()> what) {
  if (later_.empty()) later_timer_->start(Duration(0));
  later_.push_back(std::move(what));
}

std::uint64_t Link::fresh_id() { return host_.random(); }

void Link::call(worker::Call call, std::string_view body, std::uint64_t cookie) {
  const auto id = parse_id(call.name);
  std::string fields =
      "c=" + call.request_class + ",k=" + call.function + ",w=" + std::to_string(call.patience_ms);
  if (!call.key.empty()) fields += ",i=" + call.key;
  give(Kind::kCall, cookie, id.value_or(0), Code::kCall, true, fields, body);
}

void Link::hold(const std::string& function, int instances, std::uint64_t cookie) {
  give(Kind::kHold, cookie, fresh_id(), Code::kLoad, instances > 0,
       "k=" + function + ",units=" + std::to_string(instances), {});
}

void Link::probe(std::uint64_t cookie) {
  give(Kind::kProbe, cookie, fresh_id(), Code::kStats, false, {}, {});
}

void Link::give(Kind kind, std::uint64_t cookie, std::uint64_t id, Code code, bool begins,
                std::string_view fields, std::string_view body) {
  const Key key{kind == Kind::kCall, cookie};
  Wire* wire = pick(id);
  asked_[key] = {kind, cookie, id, wire};
  if (!wire)  // not handed to any transport: it never ran
    return later([this, key] {
      const auto it = asked_.find(key);
      if (it == asked_.end()) return;
      const Asked asked = it->second;
      asked_.erase(it);
      end(asked.cookie, asked.kind, Outcome::kFull, "no connection is free");
    });
  scratch_.clear();
  write(scratch_, kControllerMagic, code, id, fields, body);
  if (wire->open) return wire->ask(id, key, scratch_);
  wire->out[id] = key;
  wire->waiting[id] = {scratch_, begins};
}

// An idle connection, else another while there is room, else the least laden one that can be trusted. Never
// one that has carried the id: a late copy of an earlier answer would be taken for this one's.
Link::Wire* Link::pick(std::uint64_t id) {
  Wire* idle = nullptr;
  Wire* least = nullptr;
  Wire* unfit = nullptr;  // the first to go where a connection more needs the room
  const Time now = host_.now();
  for (const auto& wire : wires_) {
    const bool bad = wire->retired || wire->unresponsive() || (wire->open && now - wire->used_at > rest()) ||
                     wire->carried.contains(id);
    if (bad && (!unfit || wire->out.size() < unfit->out.size())) unfit = wire.get();
    if (bad || wire->out.size() >= options_.streams || wire->out.contains(id)) continue;
    // The one used last: the others may idle out.
    if (wire->out.empty() && wire->open && (!idle || wire->used_at > idle->used_at)) idle = wire.get();
    if (!least || wire->out.size() < least->out.size()) least = wire.get();
  }
  if (idle) return idle;
  const std::size_t most = budget_.limit + (least ? 0 : budget_.reserve);
  const bool full = wires_.size() >= options_.max_connections || budget_.open >= most;
  if (full && unfit && unfit->out.empty()) drop(*unfit, Outcome::kReset, "makes room");
  if (wires_.size() < options_.max_connections && budget_.open < most) {
    wires_.push_back(std::make_unique<Wire>(*this, ++connections_made_, kReadAhead));
    return wires_.back().get();
  }
  return least;
}

void Link::cancel(std::uint64_t cookie) {
  const Key key{true, cookie};
  const auto it = asked_.find(key);
  if (it == asked_.end() || !it->second.wire) return;
  const bool unsent = it->second.wire->waiting.contains(it->second.id);
  give_up(key, false);
  later([this, cookie, unsent] {
    events_.on_call_end(worker_, cookie,
                        {unsent ? Outcome::kNotRun : Outcome::kCancelled, {}, {}, {}, {}, {}});
  });
}

// Where the answer can still be used it is waited for; where the word is that nobody wants the call, only
// what is still here can be spared.
void Link::withdraw(std::uint64_t cookie) {
  const auto it = asked_.find({true, cookie});
  if (it == asked_.end() || !it->second.wire) return;
  const bool waits = it->second.wire->waiting.contains(it->second.id);
  if (!waits && it->second.wire->unsent() == 0) return;
  give_up({true, cookie}, false);
  const Outcome outcome = waits ? Outcome::kNotRun : Outcome::kCancelled;
  later([this, cookie, outcome] { events_.on_call_end(worker_, cookie, {outcome, {}, {}, {}, {}, {}}); });
}

void Link::withdraw_waiting() {
  for (const auto& wire : wires_) {
    // Bytes that the machine has not taken would leave when the peer reads again.
    if (wire->unsent() > 0) drop_later(*wire);
    for (const auto& [id, frame] : std::exchange(wire->waiting, {})) withhold(*wire, id);
    wire->rest();
  }
}

// What waited for the connection never leaves.
void Link::withhold(Wire& wire, std::uint64_t id) {
  const auto out = wire.out.find(id);
  if (out == wire.out.end()) return;
  const auto asked = asked_.find(out->second);
  wire.out.erase(out);
  if (asked == asked_.end()) return;
  const Asked what = asked->second;
  asked_.erase(asked);
  later([this, what] {
    end(what.cookie, what.kind, what.kind == Kind::kCall ? Outcome::kNotRun : Outcome::kFull, "");
  });
}

bool Link::forget_call(std::uint64_t cookie) { return give_up({true, cookie}, true); }
void Link::forget_hold(std::uint64_t cookie) { give_up({false, cookie}, true); }

// Nobody waits for it any more. What went unanswered marks its connection: an answer to come would only say
// that it was late, and one that never comes that the connection is dead. True when nothing of it had left.
bool Link::give_up(const Key& key, bool unanswered) {
  const auto it = asked_.find(key);
  if (it == asked_.end()) return false;
  const Asked asked = it->second;
  asked_.erase(it);
  if (!asked.wire) return false;
  Wire& wire = *asked.wire;
  wire.out.erase(asked.id);
  if (wire.waiting.erase(asked.id) > 0) {
    wire.rest();
    return true;
  }
  wire.retired |= unanswered;
  const bool stuck = wire.unsent() > 0;  // its own bytes may be among them, and cannot be called back
  if (asked.kind == Kind::kCall && !stuck) {
    scratch_.clear();
    write(scratch_, kControllerMagic, Code::kGiveUp, asked.id, {}, {});
    wire.put(scratch_);
  }
  if (stuck)
    end_later(wire);
  else if (wire.retired && wire.out.empty())
    drop_later(wire);
  else
    wire.rest();
  return false;
}

// Not from within what may be called by the connection itself.
void Link::drop_later(Wire& wire) {
  later([this, gone = &wire] {
    const auto it = std::find_if(wires_.begin(), wires_.end(), [&](auto& w) { return w.get() == gone; });
    if (it == wires_.end()) return;
    const Wire& found = **it;
    const bool done = found.retired && found.out.empty();
    if (done) return drop(**it, Outcome::kReset, "retired");
    if (found.ending || found.unsent() > 0) drop(**it, Outcome::kReset, "it took no bytes");
  });
}

// Also if the machine takes the bytes before the next turn: nothing else tells the worker that a call among
// them is given up, and the call's next attempt may be under way.
void Link::end_later(Wire& wire) {
  wire.ending = wire.retired = true;
  drop_later(wire);
}

void Link::release(const std::string& function) {
  const auto id = parse_id(function);
  if (!id) return;
  // Only a connection that stands: without one there is nothing of ours that could not as well idle out.
  for (const auto& wire : wires_) {
    if (!wire->open || wire->retired || wire->unresponsive()) continue;
    scratch_.clear();
    write(scratch_, kControllerMagic, Code::kUnload, *id, {}, {});
    return wire->put(scratch_);
  }
}

void Link::on_frame(Wire& wire, const Frame& frame) {
  const auto out = wire.out.find(frame.id);
  const auto asked = out == wire.out.end() ? asked_.end() : asked_.find(out->second);
  if (asked == asked_.end()) return on_unasked(wire, frame.id);
  const Asked what = asked->second;
  const auto code = static_cast<Code>(frame.code);
  const bool probed = code == Code::kHealthy || code == Code::kUnhealthy;
  const bool fits = what.kind == Kind::kProbe ? probed
                    : what.kind == Kind::kHold
                        ? code == Code::kOk || code == Code::kFull || code == Code::kError
                        : code == Code::kOk || code == Code::kMiss || code == Code::kFull ||
                              code == Code::kError || code == Code::kOver;
  if (!fits) return drop(wire, Outcome::kReset, "an answer of a code that does not fit", frame.id);
  wire.out.erase(out);
  asked_.erase(asked);
  outlived(wire.rested);
  if (wire.retired && wire.out.empty())
    drop_later(wire);
  else
    wire.rest();
  const Outcome outcome = code == Code::kOk || code == Code::kHealthy ? Outcome::kOk
                          : code == Code::kMiss                       ? Outcome::kMiss
                          : code == Code::kFull                       ? Outcome::kFull
                          : code == Code::kOver                       ? Outcome::kNotRun
                                                                      : Outcome::kError;
  if (what.kind == Kind::kProbe)
    return events_.on_probe_end(worker_, what.cookie, outcome, report_of(frame.fields));
  if (what.kind == Kind::kHold) {
    const auto units = number(field(frame.fields, "units").value_or(""));
    return events_.on_hold_end(worker_, what.cookie, outcome,
                               static_cast<int>(std::clamp(units.value_or(0), 0.0F, 1e6F)));
  }
  worker::LinkEvents::CallEnd end;
  end.outcome = outcome;
  end.found = found_of(field(frame.fields, "note").value_or(""));
  if (options_.reports_others_in_flight)
    end.others_in_flight = static_cast<int>(
        std::clamp(number(field(frame.fields, "ahead").value_or("0")).value_or(0), 0.0F, 1e6F));
  end.report = report_of(frame.fields);
  end.body = frame.body;
  events_.on_call_end(worker_, what.cookie, std::move(end));
}

// A second copy, a late one, or one under an id that was never sent: passed over, but not without end.
void Link::on_unasked(Wire& wire, std::uint64_t id) {
  events_.on_anomaly(worker_, wire.carried.contains(id) ? "a copy of an answer, or one to what was given up"
                                                        : "an answer under an id that was never sent there");
  if (++wire.unknown > options_.most_unknown) drop(wire, Outcome::kReset, "answers that nobody waits for");
}

// "load=inflight:7;util:0.61"
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
    const auto value = number(pair.substr(colon + 1));
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

// The connection ends. `spoilt` is the id of an answer that could not be read: that call has run, and the
// invoker is there. The others on it are told `for_the_rest`.
void Link::drop(Wire& wire, Outcome for_the_rest, const std::string& why,
                std::optional<std::uint64_t> spoilt) {
  const auto it = std::find_if(wires_.begin(), wires_.end(), [&](auto& w) { return w.get() == &wire; });
  if (it == wires_.end()) return;
  std::unique_ptr<Wire> owned = std::move(*it);
  wires_.erase(it);
  const auto out = std::exchange(wire.out, {});
  wire.close();
  events_.on_connection_end(worker_, why);
  if (spoilt) events_.on_anomaly(worker_, "closed a connection: " + why);
  for (const auto& [id, key] : out) {
    const auto asked = asked_.find(key);
    if (asked == asked_.end()) continue;
    const Asked what = asked->second;
    asked_.erase(asked);
    const bool own = spoilt == id && what.kind == Kind::kCall;
    end(what.cookie, what.kind, own ? Outcome::kError : for_the_rest, why);
  }
  dead_.bury(std::move(owned));
}

// The connection ended with no word. What was out on it may have run; whether the invoker died shows by its
// other connections, a moment later.
void Link::broke(Wire& wire, const std::string& why) {
  const auto it = std::find_if(wires_.begin(), wires_.end(), [&](auto& w) { return w.get() == &wire; });
  if (it == wires_.end()) return;
  Broken broken{host_.now(), {}, {}, why};
  for (const auto& w : wires_)
    if (w.get() != &wire && w->open) broken.others.push_back(w.get());
  if (broken.others.empty() || wire.out.empty()) return drop(wire, Outcome::kReset, why);
  for (const auto& [id, key] : std::exchange(wire.out, {})) {
    const auto asked = asked_.find(key);
    if (asked == asked_.end()) continue;
    asked->second.wire = nullptr;
    broken.keys.push_back(key);
  }
  drop(wire, Outcome::kReset, why);
  broken_.push_back(std::move(broken));
  if (broken_.size() == 1) verdict_->start(options_.verdict);
}

void Link::judge_broken() {
  const Time now = host_.now();
  auto all = std::exchange(broken_, {});
  for (Broken& broken : all) {
    if (now - broken.at < options_.verdict) {
      broken_.push_back(std::move(broken));
      continue;
    }
    const bool alive = std::any_of(wires_.begin(), wires_.end(), [&](const auto& w) {
      return std::find(broken.others.begin(), broken.others.end(), w.get()) != broken.others.end();
    });
    for (const Key& key : broken.keys) {
      const auto asked = asked_.find(key);
      if (asked == asked_.end()) continue;
      const Asked what = asked->second;
      asked_.erase(asked);
      // An order or a sign of life that got lost is asked for anew by whoever wanted it.
      const Outcome alone = what.kind == Kind::kCall ? Outcome::kError : Outcome::kTimeout;
      end(what.cookie, what.kind, alive ? alone : Outcome::kReset, broken.why);
    }
  }
  if (!broken_.empty()) verdict_->start(options_.verdict - (now - broken_.front().at));
}

std::size_t Link::unsent() const {
  std::size_t bytes = 0;
  for (const auto& wire : wires_) bytes += wire->unsent();
  return bytes;
}

Duration Link::rest() const {
  if (rest_ == Duration(0)) return options_.idle_timeout;
  const double seconds = std::chrono::duration<double>(host_.now() - rest_learnt_).count();
  const double grown = std::chrono::duration<double>(rest_).count() * std::exp2(seconds / kRestDoubles);
  return std::min(options_.idle_timeout,
                  std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(grown, 1e4))));
}

void Link::learn_rest(Duration rested) {
  if (rested >= options_.idle_timeout || rested / 2 >= rest()) return;
  // A bound on rests would have ended the one that lasted longer: this end has another cause.
  if (rested <= outlived_ && host_.now() - outlived_at_ < kOutlivedCounts) return;
  rest_ = std::max(options_.least_rest, rested / 2);
  rest_learnt_ = host_.now();
}

// A frame was answered on a connection that had rested for so long.
void Link::outlived(Duration rested) {
  const Time now = host_.now();
  if (rested < outlived_ && now - outlived_at_ < kOutlivedCounts) return;
  outlived_ = rested, outlived_at_ = now;
}

void Link::end(std::uint64_t cookie, Kind kind, Outcome outcome, const std::string& why) {
  switch (kind) {
    case Kind::kCall: return events_.on_call_end(worker_, cookie, {outcome, {}, {}, {}, why, {}});
    case Kind::kHold: return events_.on_hold_end(worker_, cookie, outcome, 0);
    case Kind::kProbe: return events_.on_probe_end(worker_, cookie, outcome, {});
  }
}

}  // namespace laureltide::platform
