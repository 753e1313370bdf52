#include "wire/host.h"

#include <algorithm>
#include <limits>
#include <string>

#include "wire/codes.h"

namespace laureltide::wire {
namespace {

Time time_at(std::uint64_t ns) {
  constexpr std::uint64_t kLast = std::numeric_limits<Duration::rep>::max();
  return Time(Duration(static_cast<Duration::rep>(std::min(ns, kLast))));
}

Duration span_of(std::uint64_t ns) { return time_at(ns).time_since_epoch(); }

std::uint64_t nanoseconds(Duration d) { return d.count() > 0 ? static_cast<std::uint64_t>(d.count()) : 0; }

Outcome outcome_of(Reader& in) {
  switch (static_cast<StateCode>(in.u8())) {
    case StateCode::kOk: return Outcome::kOk;
    case StateCode::kError: return Outcome::kError;
    case StateCode::kFull: return Outcome::kFull;
    case StateCode::kTimeout: return Outcome::kTimeout;
    case StateCode::kConnectFailed: return Outcome::kConnectFailed;
    case StateCode::kReset: return Outcome::kReset;
    case StateCode::kCancelled: return Outcome::kCancelled;
    case StateCode::kNotRun: return Outcome::kNotRun;
    case StateCode::kMiss: return Outcome::kMiss;
  }
  in.fail("unknown outcome code");
}

Found found_of(int note) {
  switch (note) {
    case 1: return Found::kLoaded;
    case 2: return Found::kBeganLoad;
    case 3: return Found::kAwaitedLoad;
    case 4: return Found::kLoadFailed;
    default: return Found::kNotReported;
  }
}

LoadReport report_of(Reader& in, const std::vector<ReportColumn>& columns) {
  LoadReport report;
  const std::size_t n = in.u8();
  for (std::size_t i = 0; i < n; ++i) {
    const float value = in.f32();
    switch (i < columns.size() ? columns[i] : ReportColumn::kUnknown) {
      case ReportColumn::kInFlight: report.in_progress = value; break;
      case ReportColumn::kWaiting: report.waiting = value; break;
      case ReportColumn::kBusyCores: report.busy_cores = value; break;
      case ReportColumn::kRunMs: report.run_ms = value; break;
      case ReportColumn::kServed: report.served_per_s = value; break;
      case ReportColumn::kErrors: report.errors_per_s = value; break;
      case ReportColumn::kMemory: report.memory_in_use = value; break;
      case ReportColumn::kLoads: report.loads = value; break;
      case ReportColumn::kUnknown: break;
    }
  }
  return report;
}

WorkerEntry entry_of(Reader& in) {
  WorkerEntry entry;
  entry.id = static_cast<WorkerId>(in.u32());
  entry.zone = in.u16();
  entry.kind = in.u16();
  entry.cell = in.u16();
  switch (in.u8()) {
    case 0: entry.state = WorkerState::kGone; break;
    case 1: entry.state = WorkerState::kReady; break;
    case 2: entry.state = WorkerState::kDraining; break;
    default: in.fail("unknown state of a list entry");
  }
  entry.size = in.f32();
  if (const std::uint64_t started = in.u64(); started != 0) entry.started = time_at(started);
  return entry;
}

}  // namespace

// One dispatcher and its voice: actions become records of the reply that is being built.
class Host::Instance : public ActionSink {
 public:
  Instance(Host& host, std::uint16_t id, LaunchSettings launch, std::uint64_t seed, Time now)
      : host_(host),
        id_(id),
        columns(std::move(launch.columns)),
        settings(launch.settings),
        dispatcher(std::move(launch.settings), seed, now, *this) {}

  void send(RequestId request, WorkerId worker, Duration give_up_after) override {
    Writer& out = begin(ActionCode::kRoute);
    out.u32(static_cast<std::uint32_t>(request));
    out.u32(static_cast<std::uint32_t>(worker));
    out.u64(nanoseconds(give_up_after));
  }
  void cancel(RequestId request, AttemptNumber attempt) override {
    Writer& out = begin(ActionCode::kRevoke);
    out.u32(static_cast<std::uint32_t>(request));
    out.u8(attempt);
  }
  void refuse(RequestId request, Duration retry_after) override {
    Writer& out = begin(ActionCode::kTurnAway);
    out.u32(static_cast<std::uint32_t>(request));
    out.u64(nanoseconds(retry_after));
  }
  void fail(RequestId request) override {
    begin(ActionCode::kError).u32(static_cast<std::uint32_t>(request));
  }
  void hold(WorkerId worker, FunctionId function, int instances) override {
    Writer& out = begin(ActionCode::kPinUp);
    out.u32(static_cast<std::uint32_t>(worker));
    out.u64(static_cast<std::uint64_t>(function));
    out.u8(static_cast<std::uint8_t>(instances));
  }
  void release(WorkerId worker, FunctionId function) override {
    Writer& out = begin(ActionCode::kFreeUp);
    out.u64(static_cast<std::uint64_t>(function));
    out.u32(static_cast<std::uint32_t>(worker));
  }
  void probe(WorkerId worker) override {
    begin(ActionCode::kInspect).u32(static_cast<std::uint32_t>(worker));
  }
  void start_timer(Duration delay, TimerToken token) override {
    Writer& out = begin(ActionCode::kWakeMe);
    out.u64(nanoseconds(delay));
    out.u64(token);
  }
  void subscribe(bool enable) override { begin(ActionCode::kFollow).u8(enable ? 1 : 0); }
  void fetch_list() override { begin(ActionCode::kRefresh); }
  void send_to_peer(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) override {
    Writer& out = begin(ActionCode::kSignal);
    out.u32(peer.value_or(kEveryPeer));
    out.u16(static_cast<std::uint16_t>(bytes.size()));
    out.bytes(bytes);
  }
  void log(std::string_view line) override {
    Writer& out = begin(ActionCode::kEmit);
    line = line.substr(0, std::numeric_limits<std::uint16_t>::max());
    out.u16(static_cast<std::uint16_t>(line.size()));
    out.text(line);
  }

 private:
  Writer& begin(ActionCode code) {
    ++host_.records_;
    host_.body_.u8(static_cast<std::uint8_t>(code));
    host_.body_.u16(id_);
    return host_.body_;
  }

  Host& host_;
  std::uint16_t id_;

 public:
  std::vector<ReportColumn> columns;
  Settings settings;
  Dispatcher dispatcher;
};

std::vector<std::byte> Host::answer(std::span<const std::byte> batch) {
  Reader in(batch, "batch header");
  const BatchHeader header = read_batch_header(in);
  body_.clear();
  records_ = 0;
  for (std::uint32_t i = 0; i < header.records; ++i) event(in, time_at(header.clock_ns));
  in.name("batch");
  if (!in.done()) in.fail("bytes are left behind the last record");
  return reply_frame(header.number, records_, body_);
}

Host::Instance& Host::instance(Reader& in) {
  const std::uint16_t id = in.u16();
  const auto it = instances_.find(id);
  if (it == instances_.end()) in.fail("instance " + std::to_string(id) + " was not launched");
  return *it->second;
}

void Host::launch(Reader& in, std::uint16_t id, Time now) {
  const std::uint64_t seed = in.u64();
  LaunchSettings settings = parse_settings(in.text(in.u32()));
  instances_.insert_or_assign(id, std::make_shared<Instance>(*this, id, std::move(settings), seed, now));
}

void Host::ledger(Reader& in) {
  const std::uint8_t number = in.u8();
  if (number >= ledgers_.size()) in.fail("list number above 15");
  Ledger& entries = ledgers_[number].emplace();
  for (std::uint32_t n = in.u32(); n > 0; --n) entries.push_back(entry_of(in));
}

void Host::event(Reader& in, Time now) {
  in.name("event code");
  const auto code = static_cast<EventCode>(in.u8());
  switch (code) {
    case EventCode::kLedger: in.name("ledger"); return ledger(in);
    case EventCode::kLaunch: in.name("launch"); return launch(in, in.u16(), now);
    case EventCode::kRetire:
      in.name("retire");
      instances_.erase(in.u16());
      return;
    case EventCode::kFleet: {
      in.name("fleet");
      Instance& to = instance(in);
      const std::uint8_t number = in.u8();
      const std::uint8_t scope = in.u8();
      ListUpdate update;
      update.version = in.u64();
      if (scope > 3) in.fail("unknown scope");
      update.scope =
          std::array{ListScope::kChanges, ListScope::kFull, ListScope::kCached, ListScope::kFailed}[scope];
      if (update.scope != ListScope::kFailed) {
        if (number >= ledgers_.size() || !ledgers_[number]) in.fail("list was never sent");
        update.entries = *ledgers_[number];
      }
      return to.dispatcher.on(now, update);
    }
    case EventCode::kArrival: {
      in.name("arrival");
      Instance& to = instance(in);
      Request r;
      r.id = static_cast<RequestId>(in.u32());
      const std::uint64_t hint = in.u64();
      r.request_class = in.u8();
      if (r.request_class >= to.settings.classes.size()) in.fail("unknown class");
      r.lanes = in.f32();
      const std::uint32_t tenant = in.u32();
      if (tenant < to.settings.tenants.size()) r.tenant = tenant;
      const float load_ms = in.f32();
      constexpr float kLongestLoadMs = 1e9F;
      if (load_ms > 0 && load_ms < kLongestLoadMs)
        r.load_time = span_of(static_cast<std::uint64_t>(static_cast<double>(load_ms) * 1e6));
      r.deadline = time_at(in.u64());
      r.memory_mb = in.f32();
      const std::uint8_t bits = in.u8();
      if (bits & kHintValid) r.work_hint = span_of(hint);
      r.is_client_retry = bits & kClientRepeat;
      r.write = bits & kIsWrite;
      r.function = static_cast<FunctionId>(in.u64());
      return to.dispatcher.on(now, r);
    }
    case EventCode::kHeaders: {
      in.name("headers");
      Instance& to = instance(in);
      StreamStarted s;
      s.request = static_cast<RequestId>(in.u32());
      s.worker = static_cast<WorkerId>(in.u32());
      s.took = span_of(in.u64());
      s.attempt = in.u8();
      return to.dispatcher.on(now, s);
    }
    case EventCode::kReturned: {
      in.name("returned");
      Instance& to = instance(in);
      AttemptResult r;
      r.request = static_cast<RequestId>(in.u32());
      r.worker = static_cast<WorkerId>(in.u32());
      const int info = in.u8();
      r.attempt = in.u8();
      r.outcome = outcome_of(in);
      r.terminal = in.u8() != 0;
      r.took = span_of(in.u64());
      r.found = found_of(info & kFoundMask);
      if (to.settings.instances.reports_others_in_flight &&
          (r.outcome == Outcome::kOk || r.outcome == Outcome::kFull))
        r.others_in_flight = info >> kCompanyShift;
      r.report = report_of(in, to.columns);
      return to.dispatcher.on(now, r);
    }
    case EventCode::kAbandoned: {
      in.name("abandoned");
      Instance& to = instance(in);
      return to.dispatcher.on(now, RequestAbandoned{static_cast<RequestId>(in.u32())});
    }
    case EventCode::kTimer: {
      in.name("timer");
      Instance& to = instance(in);
      return to.dispatcher.on(now, TimerFired{in.u64()});
    }
    case EventCode::kHealthResult: {
      in.name("health_result");
      Instance& to = instance(in);
      ProbeResult r;
      r.took = span_of(in.u64());
      r.worker = static_cast<WorkerId>(in.u32());
      r.outcome = outcome_of(in);
      r.report = report_of(in, to.columns);
      return to.dispatcher.on(now, r);
    }
    case EventCode::kMemo: {
      in.name("memo");
      Instance& to = instance(in);
      PeerMessage m;
      m.from = in.u16();
      m.bytes = in.take(in.u16());
      return to.dispatcher.on(now, m);
    }
    case EventCode::kReadyThere: {
      in.name("ready_there");
      Instance& to = instance(in);
      HoldResult r;
      r.worker = static_cast<WorkerId>(in.u32());
      r.function = static_cast<FunctionId>(in.u64());
      r.outcome = outcome_of(in);
      r.took = span_of(in.u64());
      r.instances = in.u8();
      return to.dispatcher.on(now, r);
    }
  }
  in.fail("unknown event code " + std::to_string(static_cast<int>(code)));
}

}  // namespace laureltide::wire
