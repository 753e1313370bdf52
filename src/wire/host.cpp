#include "wire/host.h"

#include <algorithm>
#include <limits>
#include <string>

#include "wire/codes.h"

namespace laureltide::wire {
namespace {

Time to_time(std::uint64_t ns) {
  constexpr std::uint64_t kLatest = std::numeric_limits<Duration::rep>::max();
  return Time(Duration(static_cast<Duration::rep>(std::min(ns, kLatest))));
}

Duration to_duration(std::uint64_t ns) { return to_time(ns).time_since_epoch(); }

std::uint64_t to_nanoseconds(Duration d) { return d.count() > 0 ? static_cast<std::uint64_t>(d.count()) : 0; }

Outcome read_outcome(Reader& in) {
  switch (static_cast<OutcomeCode>(in.u8())) {
    case OutcomeCode::kOk: return Outcome::kOk;
    case OutcomeCode::kError: return Outcome::kError;
    case OutcomeCode::kFull: return Outcome::kFull;
    case OutcomeCode::kTimeout: return Outcome::kTimeout;
    case OutcomeCode::kConnectFailed: return Outcome::kConnectFailed;
    case OutcomeCode::kReset: return Outcome::kReset;
    case OutcomeCode::kCancelled: return Outcome::kCancelled;
    case OutcomeCode::kNotRun: return Outcome::kNotRun;
    case OutcomeCode::kMiss: return Outcome::kMiss;
  }
  in.fail("unknown outcome code");
}

Found to_found(int code) {
  switch (code) {
    case 1: return Found::kLoaded;
    case 2: return Found::kBeganLoad;
    case 3: return Found::kAwaitedLoad;
    case 4: return Found::kLoadFailed;
    default: return Found::kNotReported;
  }
}

LoadReport read_load_report(Reader& in, const std::vector<ReportColumn>& columns) {
  LoadReport report;
  const std::size_t count = in.u8();
  for (std::size_t i = 0; i < count; ++i) {
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

WorkerEntry read_worker_entry(Reader& in) {
  WorkerEntry entry;
  entry.id = static_cast<WorkerId>(in.u32());
  entry.zone = in.u16();
  entry.kind = in.u16();
  entry.cell = in.u16();
  switch (in.u8()) {
    case 0: entry.state = WorkerState::kGone; break;
    case 1: entry.state = WorkerState::kReady; break;
    case 2: entry.state = WorkerState::kDraining; break;
    default: in.fail("unknown state of a worker list entry");
  }
  entry.size = in.f32();
  if (const std::uint64_t started = in.u64(); started != 0) entry.started = to_time(started);
  return entry;
}

}  // namespace

// A dispatcher and its action sink, which appends each action as a record to the reply being built.
class Host::HostedDispatcher : public ActionSink {
 public:
  HostedDispatcher(Host& host, std::uint16_t id, LaunchSettings launch, std::uint64_t seed, Time now)
      : host_(host),
        id_(id),
        columns(std::move(launch.columns)),
        settings(launch.settings),
        dispatcher(std::move(launch.settings), seed, now, *this) {}

  void send(RequestId request, WorkerId worker, Duration give_up_after) override {
    Writer& record = begin_record(ActionCode::kSend);
    record.u32(static_cast<std::uint32_t>(request));
    record.u32(static_cast<std::uint32_t>(worker));
    record.u64(to_nanoseconds(give_up_after));
  }
  void cancel(RequestId request, AttemptNumber attempt) override {
    Writer& record = begin_record(ActionCode::kCancel);
    record.u32(static_cast<std::uint32_t>(request));
    record.u8(attempt);
  }
  void refuse(RequestId request, Duration retry_after) override {
    Writer& record = begin_record(ActionCode::kRefuse);
    record.u32(static_cast<std::uint32_t>(request));
    record.u64(to_nanoseconds(retry_after));
  }
  void fail(RequestId request) override {
    begin_record(ActionCode::kFail).u32(static_cast<std::uint32_t>(request));
  }
  void hold(WorkerId worker, FunctionId function, int instances) override {
    Writer& record = begin_record(ActionCode::kHold);
    record.u32(static_cast<std::uint32_t>(worker));
    record.u64(static_cast<std::uint64_t>(function));
    record.u8(static_cast<std::uint8_t>(instances));
  }
  void release(WorkerId worker, FunctionId function) override {
    Writer& record = begin_record(ActionCode::kRelease);
    record.u64(static_cast<std::uint64_t>(function));
    record.u32(static_cast<std::uint32_t>(worker));
  }
  void probe(WorkerId worker) override {
    begin_record(ActionCode::kProbe).u32(static_cast<std::uint32_t>(worker));
  }
  void start_timer(Duration delay, TimerToken token) override {
    Writer& record = begin_record(ActionCode::kStartTimer);
    record.u64(to_nanoseconds(delay));
    record.u64(token);
  }
  void subscribe(bool enable) override { begin_record(ActionCode::kSubscribe).u8(enable ? 1 : 0); }
  void fetch_list() override { begin_record(ActionCode::kFetchList); }
  void send_to_peer(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) override {
    Writer& record = begin_record(ActionCode::kSendToPeer);
    record.u32(peer.value_or(kAllPeers));
    record.u16(static_cast<std::uint16_t>(bytes.size()));
    record.bytes(bytes);
  }
  void log(std::string_view line) override {
    Writer& record = begin_record(ActionCode::kLog);
    line = line.substr(0, std::numeric_limits<std::uint16_t>::max());
    record.u16(static_cast<std::uint16_t>(line.size()));
    record.text(line);
  }

 private:
  Writer& begin_record(ActionCode code) {
    ++host_.reply_record_count_;
    host_.reply_body_.u8(static_cast<std::uint8_t>(code));
    host_.reply_body_.u16(id_);
    return host_.reply_body_;
  }

  Host& host_;
  std::uint16_t id_;

 public:
  std::vector<ReportColumn> columns;
  Settings settings;
  Dispatcher dispatcher;
};

std::vector<std::byte> Host::process_batch(std::span<const std::byte> batch) {
  Reader in(batch, "batch header");
  const BatchHeader header = read_batch_header(in);
  reply_body_.clear();
  reply_record_count_ = 0;
  for (std::uint32_t i = 0; i < header.record_count; ++i) handle_event(in, to_time(header.time_ns));
  in.set_record_name("batch");
  if (!in.done()) in.fail("bytes remain after the last record");
  return reply_frame(header.batch_number, reply_record_count_, reply_body_);
}

Host::HostedDispatcher& Host::find_dispatcher(Reader& in) {
  const std::uint16_t id = in.u16();
  const auto it = dispatchers_.find(id);
  if (it == dispatchers_.end()) in.fail("instance " + std::to_string(id) + " was not launched");
  return *it->second;
}

void Host::launch(Reader& in, std::uint16_t id, Time now) {
  const std::uint64_t seed = in.u64();
  LaunchSettings settings = parse_settings(in.text(in.u32()));
  dispatchers_.insert_or_assign(
      id, std::make_shared<HostedDispatcher>(*this, id, std::move(settings), seed, now));
}

void Host::read_worker_list(Reader& in) {
  const std::uint8_t number = in.u8();
  if (number >= worker_lists_.size()) in.fail("worker list number above 15");
  WorkerList& entries = worker_lists_[number].emplace();
  for (std::uint32_t left = in.u32(); left > 0; --left) entries.push_back(read_worker_entry(in));
}

void Host::handle_event(Reader& in, Time now) {
  in.set_record_name("event code");
  const auto code = static_cast<EventCode>(in.u8());
  switch (code) {
    case EventCode::kListContents: in.set_record_name("ledger"); return read_worker_list(in);
    case EventCode::kLaunch: in.set_record_name("launch"); return launch(in, in.u16(), now);
    case EventCode::kRetire:
      in.set_record_name("retire");
      dispatchers_.erase(in.u16());
      return;
    case EventCode::kListUpdate: {
      in.set_record_name("fleet");
      HostedDispatcher& target = find_dispatcher(in);
      const std::uint8_t number = in.u8();
      const std::uint8_t scope = in.u8();
      ListUpdate update;
      update.version = in.u64();
      if (scope > 3) in.fail("unknown scope of a list update");
      update.scope =
          std::array{ListScope::kChanges, ListScope::kFull, ListScope::kCached, ListScope::kFailed}[scope];
      if (update.scope != ListScope::kFailed) {
        if (number >= worker_lists_.size() || !worker_lists_[number])
          in.fail("worker list was not sent before");
        update.entries = *worker_lists_[number];
      }
      return target.dispatcher.on(now, update);
    }
    case EventCode::kRequestArrived: {
      in.set_record_name("arrival");
      HostedDispatcher& target = find_dispatcher(in);
      Request request;
      request.id = static_cast<RequestId>(in.u32());
      const std::uint64_t hint = in.u64();
      request.request_class = in.u8();
      if (request.request_class >= target.settings.classes.size()) in.fail("unknown request class");
      request.lanes = in.f32();
      const std::uint32_t tenant = in.u32();
      if (tenant < target.settings.tenants.size()) request.tenant = tenant;
      const float load_ms = in.f32();
      constexpr float kMaxLoadMs = 1e9F;
      if (load_ms > 0 && load_ms < kMaxLoadMs)
        request.load_time = to_duration(static_cast<std::uint64_t>(static_cast<double>(load_ms) * 1e6));
      request.deadline = to_time(in.u64());
      request.memory_mb = in.f32();
      const std::uint8_t flags = in.u8();
      if (flags & kWorkHintValid) request.work_hint = to_duration(hint);
      request.is_client_retry = flags & kClientRepeat;
      request.write = flags & kIsWrite;
      request.function = static_cast<FunctionId>(in.u64());
      return target.dispatcher.on(now, request);
    }
    case EventCode::kStreamStarted: {
      in.set_record_name("headers");
      HostedDispatcher& target = find_dispatcher(in);
      StreamStarted started;
      started.request = static_cast<RequestId>(in.u32());
      started.worker = static_cast<WorkerId>(in.u32());
      started.took = to_duration(in.u64());
      started.attempt = in.u8();
      return target.dispatcher.on(now, started);
    }
    case EventCode::kAttemptResult: {
      in.set_record_name("returned");
      HostedDispatcher& target = find_dispatcher(in);
      AttemptResult result;
      result.request = static_cast<RequestId>(in.u32());
      result.worker = static_cast<WorkerId>(in.u32());
      const int info = in.u8();
      result.attempt = in.u8();
      result.outcome = read_outcome(in);
      result.terminal = in.u8() != 0;
      result.took = to_duration(in.u64());
      result.found = to_found(info & kFoundMask);
      if (target.settings.instances.reports_others_in_flight &&
          (result.outcome == Outcome::kOk || result.outcome == Outcome::kFull))
        result.others_in_flight = info >> kOtherRequestsShift;
      result.report = read_load_report(in, target.columns);
      return target.dispatcher.on(now, result);
    }
    case EventCode::kRequestAbandoned: {
      in.set_record_name("abandoned");
      HostedDispatcher& target = find_dispatcher(in);
      return target.dispatcher.on(now, RequestAbandoned{static_cast<RequestId>(in.u32())});
    }
    case EventCode::kTimerFired: {
      in.set_record_name("timer");
      HostedDispatcher& target = find_dispatcher(in);
      return target.dispatcher.on(now, TimerFired{in.u64()});
    }
    case EventCode::kProbeResult: {
      in.set_record_name("health_result");
      HostedDispatcher& target = find_dispatcher(in);
      ProbeResult result;
      result.took = to_duration(in.u64());
      result.worker = static_cast<WorkerId>(in.u32());
      result.outcome = read_outcome(in);
      result.report = read_load_report(in, target.columns);
      return target.dispatcher.on(now, result);
    }
    case EventCode::kPeerMessage: {
      in.set_record_name("memo");
      HostedDispatcher& target = find_dispatcher(in);
      PeerMessage message;
      message.from = in.u16();
      message.bytes = in.take(in.u16());
      return target.dispatcher.on(now, message);
    }
    case EventCode::kHoldResult: {
      in.set_record_name("ready_there");
      HostedDispatcher& target = find_dispatcher(in);
      HoldResult result;
      result.worker = static_cast<WorkerId>(in.u32());
      result.function = static_cast<FunctionId>(in.u64());
      result.outcome = read_outcome(in);
      result.took = to_duration(in.u64());
      result.instances = in.u8();
      return target.dispatcher.on(now, result);
    }
  }
  in.fail("unknown event code " + std::to_string(static_cast<int>(code)));
}

}  // namespace laureltide::wire
