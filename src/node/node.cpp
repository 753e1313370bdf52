#include "node/node.h"

#include <algorithm>
#include <sstream>

#include "node/intake.h"

namespace laureltide::node {
namespace {

constexpr int kStatsIntervalSeconds = 10;
// Specified by the platform: clients may connect for 0.6 s after SIGTERM. SIGKILL follows 0.7 s plus the
// longest deadline after SIGTERM, where the deadline counts as at most 3 s.
constexpr Duration kAcceptAfterTerm = std::chrono::milliseconds(700);
constexpr Duration kMaxDeadlineBeforeKill = std::chrono::seconds(3);
// Calls that arrive in time may be read late when the process is short of CPU; they are accepted for this
// much longer.
constexpr Duration kLateReadAllowance = std::chrono::milliseconds(300);
constexpr Duration kQuietPeriod =
    std::chrono::milliseconds(100);  // without client bytes: all input has been read
constexpr Duration kCloseDelay = std::chrono::milliseconds(250);  // lets clients read their last answers
constexpr Duration kEndedIdRetention = std::chrono::seconds(5);
constexpr std::size_t kEndedIdsPerMb = 1024;
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(10);
constexpr std::size_t kMaxAnomalyKinds = 64;
constexpr std::size_t kMaxRepeatsLogged = 200;  // per stats interval
// The bus sends a comment every second. Silence for this long is logged as a loss of discovery.
constexpr Duration kDiscoveryLostAfter = std::chrono::seconds(2);
constexpr std::size_t kMaxChangesLogged = 6;  // workers in one log line
constexpr std::size_t kMaxNameLogged = 60;    // characters of a worker name
// File descriptors for the process itself, the event feed, the listener, the log, and connections that are
// being accepted or closed.
constexpr std::size_t kReservedDescriptors = 24;
constexpr double kClientSocketShare =
    0.45;  // of the other descriptors; well-behaved clients hold a third of all
// Of the memory limit, for unhandled input and unsent answers of clients. The host's buffers take up to twice
// what they hold.
constexpr double kClientBufferShare = 0.125;
// Clients can name any number of functions. An entry of the module takes about half a kilobyte.
constexpr std::size_t kFunctionsPerMb = 256;
constexpr std::size_t kFunctionNamesPerMb = 512;
constexpr double kBodyMemoryShare = 0.25;  // of the memory limit, for bodies of open calls

std::size_t socket_share(const Limits& limits, double share) {
  const double rest = static_cast<double>(limits.sockets - std::min(limits.sockets, kReservedDescriptors));
  return std::max<std::size_t>(8, static_cast<std::size_t>(rest * share));
}

front::ServerOptions front_options(const Config& config) {
  front::ServerOptions options;
  options.max_connections = socket_share(config.limits, kClientSocketShare);
  options.max_buffered_bytes =
      static_cast<std::size_t>(kClientBufferShare * static_cast<double>(config.limits.memory_mb << 20));
  return options;
}

controller::Core::Options core_options(const Config& config, const platform::LinkOptions& links,
                                       platform::ConnectionBudget& budget, io::Host& host) {
  controller::Core::Options options;
  options.seed = config.seed;
  options.max_function_names = config.limits.memory_mb * kFunctionNamesPerMb;
  options.port = [&links, &budget, &host](WorkerId id, const io::Address& at, worker::LinkEvents& events) {
    return std::make_unique<platform::Link>(host, id, at, links, budget, events);
  };
  return options;
}

std::shared_ptr<const config::Settings> core_settings(const Config& config) {
  auto settings = std::make_shared<config::Settings>(config.settings);
  settings->module.max_functions = config.limits.memory_mb * kFunctionsPerMb;
  return settings;
}

platform::LinkOptions link_options(const Config& config) {
  platform::LinkOptions options;
  const laureltide::Settings& module = config.settings.module;
  if (module.bounds.dial_timeout > Duration(0)) options.dial_timeout = module.bounds.dial_timeout;
  options.unresponsive_after = 2 * options.dial_timeout;
  options.idle_timeout = config.invoker_idle_timeout * 2 / 3;
  options.streams = config.max_streams;
  options.load = config.load_columns;
  options.reports_others_in_flight = module.instances.reports_others_in_flight;
  return options;
}

// Groups similar log lines by dropping their digits, so that each kind is logged once.
std::string anomaly_kind(std::string_view line) {
  std::string kind;
  for (const char c : line.substr(0, 120))
    if (c < '0' || c > '9') kind += c;
  return kind;
}

}  // namespace

Node::Node(io::Host& host, Config config, std::function<void(Severity, const std::string&)> log_line,
           bool log_calls)
    : host_(host),
      config_(std::move(config)),
      log_line_(std::move(log_line)),
      log_calls_(log_calls),
      settings_(core_settings(config_)),
      link_options_(link_options(config_)),
      core_(host, settings_, *this, core_options(config_, link_options_, budget_, host)),
      front_(host, front_options(config_), *this),
      second_timer_(host.timer([this] { on_second(); })),
      drain_timer_(host.timer([this] { check_drain(); })) {
  budget_.limit = socket_share(config_.limits, 1 - kClientSocketShare);
  budget_.reserve = budget_.limit / 4;
  budget_.limit -= budget_.reserve;
  max_ended_ids_ = config_.limits.memory_mb * kEndedIdsPerMb;
  max_open_body_bytes_ =
      static_cast<std::size_t>(kBodyMemoryShare * static_cast<double>(config_.limits.memory_mb << 20));
}
Node::~Node() = default;

bool Node::start() {
  for (const std::string& key : config_.unused_settings)
    log_line_(Severity::kInfo, "settings." + key + " is not used by a controller");
  apply_known_events(config_.known_events);
  set_list_current_until(host_.now());  // the known events are complete up to the start
  if (!front_.listen(config_.listen)) return false;
  feed_ = std::make_unique<platform::EventSubscriber>(
      host_, config_.bus, invoker_list_.last(), platform::EventSubscriber::Options{},
      [this](const platform::Event& event) { return apply_event(event.id, event.data); },
      [this](const std::string& reason) { report_anomaly("event bus: " + reason); });
  feed_->on_current_until([this](Time at) { set_list_current_until(at); });
  // Events are numbered, so apply_event() detects gaps before the core could.
  core_.on_worker_list_gap = [] {};
  next_second_at_ = host_.now() + std::chrono::seconds(1);
  second_timer_->start(std::chrono::seconds(1));
  return true;
}

// ---- Worker list --------------------------------------------------------------------------------------

bool Node::apply_event(std::uint64_t number, std::string_view data) {
  using Verdict = platform::InvokerList::Verdict;
  platform::InvokerList::ApplyResult result = invoker_list_.take(number, data);
  if (result.verdict == Verdict::kGap || result.verdict == Verdict::kBad) {
    const bool repeated = std::exchange(last_failed_event_, number) == number;
    report_anomaly("event bus: event " + std::to_string(number) + ": " +
                   (result.verdict == Verdict::kGap ? "one before it is missing" : result.why) +
                   (repeated ? "; all events are asked for" : "; asked for again"));
    // The event may report a draining worker, so it must not be skipped.
    if (repeated && feed_) {
      invoker_list_.start_replay(number);
      feed_->resume_from(0);
    }
    return false;
  }
  if (!result.why.empty()) report_anomaly("event bus: an event that cannot be read in full: " + result.why);
  if (result.verdict != Verdict::kApplied) return true;
  log_list_changes(number, result.changes);
  result.update.from = core_.list().version();
  core_.apply_worker_list(result.update);
  return true;
}

// Logs one line per event: the number of changed workers, and the names of the first few.
void Node::log_list_changes(std::uint64_t event, const std::vector<platform::InvokerList::Change>& changes) {
  if (changes.empty()) return;
  std::ostringstream line;
  line << "list: event " << event << " changes " << changes.size() << " of " << invoker_list_.names()
       << " workers:";
  std::size_t logged = 0;
  for (const platform::InvokerList::Change& change : changes) {
    if (++logged > kMaxChangesLogged) {
      line << " ...";
      break;
    }
    line << ' ' << change.name.substr(0, kMaxNameLogged) << " (worker " << change.id << ") "
         << (change.before ? members::text_of(*change.before) : "unlisted") << "->"
         << members::text_of(change.after);
  }
  log_line_(Severity::kInfo, line.str());
}

// During a replay of all events the current list still lacks the event that made the replay necessary.
void Node::set_list_current_until(Time at) {
  if (invoker_list_.replaying() && at > list_current_until_) return;
  list_current_until_ = at;
  core_.list_current_until(at);
}

void Node::check_discovery() {
  const Time last_heard = feed_->last_line_at();
  const Time now = host_.now();
  const bool lost = now - last_heard > kDiscoveryLostAfter;
  const auto ms = [](Duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
  };
  if (lost && !std::exchange(discovery_lost_, true)) {
    last_heard_before_loss_ = last_heard;
    log_line_(Severity::kWarn, "discovery: no data for " + ms(now - last_heard) +
                                   "; keeping the list as of event " + std::to_string(invoker_list_.last()));
  } else if (!lost && std::exchange(discovery_lost_, false)) {
    log_line_(Severity::kInfo, "discovery: data received again after " +
                                   ms(last_heard - last_heard_before_loss_) + "; the list is as of event " +
                                   std::to_string(invoker_list_.last()));
  }
  const bool needed = !core_.module().list_is_valid(now);
  if (needed == std::exchange(leases_needed_, needed)) return;
  const LeaseCounters& leases = core_.module().lease_counters();
  log_line_(Severity::kInfo,
            std::string("leases: ") +
                (needed ? "the list may be stale, each worker now needs a lease of its own, asked "
                        : "the list is current again, asked ") +
                std::to_string(leases.asked) + " ready " + std::to_string(leases.ready) + " refused " +
                std::to_string(leases.refused) + " unanswered " + std::to_string(leases.unanswered));
}

// Applies the known events that continue the current list without a gap; the bus sends the others.
bool Node::apply_known_events(const std::vector<KnownEvent>& known) {
  bool complete = true;
  for (const KnownEvent& event : known)
    if (!(complete = !invoker_list_.replaying() && apply_event(event.number, event.data))) break;
  if (feed_ && !invoker_list_.replaying()) feed_->skip_to(invoker_list_.last());
  return complete;
}

void Node::reload(std::string_view json) {
  std::string error;
  auto reloaded = parse_config(json, error);
  if (!reloaded) return log_line_(Severity::kWarn, "reload: " + error + "; keeping the old configuration");
  const bool complete = apply_known_events(reloaded->known_events);
  if (reloaded->bus != feed_->bus())
    log_line_(Severity::kInfo, "reload: event bus moved to " + reloaded->bus.text());
  if (reloaded->bus != feed_->bus() || !complete)
    feed_->move(reloaded->bus);  // requests the events that could not be applied
  config_.bus = reloaded->bus;
  if (reloaded->listen != config_.listen || reloaded->limits.sockets != config_.limits.sockets ||
      reloaded->limits.memory_mb != config_.limits.memory_mb)
    log_line_(Severity::kWarn, "reload: a changed listen address or limit takes effect at the next start");
}

// ---- Calls --------------------------------------------------------------------------------------------

void Node::reject_call(front::Server::Ticket ticket, front::Reply::Kind kind, std::string reason) {
  front::Reply reply;
  reply.kind = kind;
  if (kind == front::Reply::Kind::kException) {
    report_anomaly("a call that is none: " + reason);
    reply.text = std::move(reason);
  }
  front_.respond(ticket, reply);
}

void Node::on_call(front::Server::Ticket ticket, front::Fields fields, std::string body, Time arrived) {
  using Kind = front::Reply::Kind;
  ParsedCall parsed = parse_call(fields, std::move(body), *settings_);
  if (!parsed.call) return reject_call(ticket, Kind::kException, std::move(parsed.error));
  if (tickets_by_id_.contains(parsed.id) || ended_ids_.contains(parsed.id))
    return reject_call(ticket, Kind::kException, "call: an id that is open or was so just now");
  // The client's time counts from the arrival. A call that waited here for longer than that is refused by the
  // module at once.
  if (parsed.call->timeout)
    parsed.call->timeout = std::max(Duration(0), *parsed.call->timeout - (host_.now() - arrived));
  if (on_drained_) {  // must be answered before SIGKILL, however late it was read
    const Duration left = kill_deadline_ - host_.now();
    parsed.call->timeout = std::min(parsed.call->timeout.value_or(left), left);
  }
  const bool too_late = on_drained_ && host_.now() >= listener_closes_at_ + kLateReadAllowance;
  const std::size_t body_bytes = parsed.call->body.size();
  expire_ended_ids();
  const bool ids_are_full = ended_ids_.size() + open_calls_.size() >= max_ended_ids_;
  if (ids_are_full) report_anomaly("refused calls: the ids of recent calls fill their table");
  if (too_late || ids_are_full || open_body_bytes_ + body_bytes > max_open_body_bytes_)
    return reject_call(ticket, Kind::kRefused, {});
  OpenCall& open = open_calls_[ticket];
  open = {parsed.id, 0, body_bytes};
  tickets_by_id_[parsed.id] = ticket;
  open_body_bytes_ += body_bytes;
  const auto rejection = core_.take(
      std::move(*parsed.call),
      [this, ticket](controller::Answer answer) {
        release_call(ticket);
        const Bounds& bounds = settings_->module.bounds;
        front_.respond(ticket, to_reply(std::move(answer), bounds.retry_after, bounds.max_retry_after));
      },
      &open.core_call);  // set before any answer; `open` may be gone when take() returns
  if (rejection) {
    release_call(ticket);
    return reject_call(ticket, Kind::kRefused, {});
  }
}

void Node::on_gone(front::Server::Ticket ticket) {
  const auto it = open_calls_.find(ticket);
  if (it == open_calls_.end()) return;
  const std::uint32_t core_call = it->second.core_call;
  release_call(ticket);
  core_.abandon(core_call);
}

void Node::release_call(front::Server::Ticket ticket) {
  const auto it = open_calls_.find(ticket);
  if (it == open_calls_.end()) return;
  tickets_by_id_.erase(it->second.id);
  if (core_.was_sent(it->second.core_call)) {
    ended_calls_.emplace_back(host_.now(), it->second.id);
    ended_ids_.insert(it->second.id);
  }
  open_body_bytes_ -= it->second.body_bytes;
  open_calls_.erase(it);
}

void Node::expire_ended_ids() {
  const Time before = host_.now() - kEndedIdRetention;
  while (!ended_calls_.empty() && ended_calls_.front().first < before) {
    ended_ids_.erase(ended_calls_.front().second);
    ended_calls_.pop_front();
  }
}

// ---- Draining -----------------------------------------------------------------------------------------

void Node::drain(std::function<void()> done) {
  if (on_drained_) return;  // already draining
  on_drained_ = std::move(done);
  listener_closes_at_ = host_.now() + kAcceptAfterTerm;
  Duration longest{};
  for (const RequestClass& c : settings_->module.classes) longest = std::max(longest, c.give_up);
  kill_deadline_ = listener_closes_at_ + std::min(longest, kMaxDeadlineBeforeKill);
  log_line_(Severity::kInfo, "draining: " + std::to_string(core_.open()) + " calls open");
  drain_timer_->start(kAcceptAfterTerm);
}

// When the process exits, no client byte may be unread and no answer byte unsent: the operating system would
// reset the connection, which loses the answers.
void Node::check_drain() {
  const Time now = host_.now();
  if (!std::exchange(listener_closed_, true)) {
    front_.stop_listening();
    listener_closes_at_ = now;  // leaves time to read the connections accepted just now
  }
  // Only calls that a client still waits for count; abandoned ones end by themselves.
  const bool all_read =
      front_.unsent() == 0 && now - std::max(listener_closes_at_, front_.last_received()) >= kQuietPeriod;
  const bool settled = open_calls_.empty() && (all_read || now >= kill_deadline_);
  if (!closing_clients_ && !settled) return drain_timer_->start(kDrainCheckInterval);
  if (!std::exchange(closing_clients_, true)) {
    front_.close_idle_connections();
    return drain_timer_->start(kCloseDelay);
  }
  log_line_(Severity::kInfo, "all calls answered; exiting");
  on_drained_();
}

// ---- Logging ------------------------------------------------------------------------------------------

void Node::report_anomaly(const std::string& what) {
  const std::string kind = anomaly_kind(what);
  const auto it = anomaly_counts_.find(kind);
  if (it != anomaly_counts_.end()) return void(++it->second);
  if (anomaly_counts_.size() >= kMaxAnomalyKinds) return;
  anomaly_counts_[kind] = 1;
  log_line_(Severity::kWarn, what);
}
void Node::on_anomaly(const std::string& what) { report_anomaly(what); }
void Node::on_log(const std::string& line) { report_anomaly("module: " + line); }
// A line per call would exceed the memory available for the log, so these lines are off by default.
void Node::on_call_finished(const controller::CallSummary& ended) {
  ++calls_by_end_[ended.end];
  log_repeated_attempts(ended);
  if (!log_calls_) return;
  std::ostringstream line;
  line << "call " << ended.call.name << " class "
       << settings_->class_names[ended.call.function->request_class] << " end " << ended.end << " attempts "
       << (ended.attempts.empty() ? "none" : ended.attempts) << " took_ms "
       << std::chrono::duration_cast<std::chrono::milliseconds>(ended.took).count();
  if (ended.answer.kind != controller::Answer::Kind::kServed) line << " why " << ended.answer.reason;
  log_line_(Severity::kInfo, line.str());
}

// Logs a call that is not safe to repeat but was sent more than once: how each attempt ended and over which
// connections they went.
void Node::log_repeated_attempts(const controller::CallSummary& ended) {
  const config::Function& function = *ended.call.function;
  const RequestClass& request_class = settings_->module.classes[function.request_class];
  if (ended.sent_attempts < 2 || request_class.semantics == Semantics::kRepeatable) return;
  if (++repeated_calls_ > kMaxRepeatsLogged) return;
  std::ostringstream line;
  line << "repeat: call " << ended.call.name << " class " << settings_->class_names[function.request_class];
  if (!ended.call.key.empty()) line << " key " << ended.call.key;
  line << " end " << ended.end << " attempts " << ended.trace;
  log_line_(Severity::kInfo, line.str());
}

void Node::on_second() {
  const Time now = host_.now();
  worst_timer_delay_ = std::max(worst_timer_delay_, now - next_second_at_);
  next_second_at_ = now + std::chrono::seconds(1);
  second_timer_->start(std::chrono::seconds(1));
  core_.discard_unused();
  check_discovery();
  expire_ended_ids();
  if (++seconds_running_ % kStatsIntervalSeconds == 0) log_stats();
}

void Node::log_stats() {
  const controller::Counters& counters = core_.counters();
  const controller::Core::Sizes sizes = core_.sizes();
  std::ostringstream line;
  line << "stats taken=" << counters.taken << " served=" << counters.served << " refused=" << counters.refused
       << " failed=" << counters.failed << " abandoned=" << counters.abandoned
       << " turned_away=" << counters.rejected << " attempts=" << counters.attempts
       << " holds=" << counters.holds << " probes=" << counters.probes << " open=" << sizes.open
       << " clients=" << front_.connections() << " to_invokers=" << budget_.open << " names=" << sizes.names
       << " members=" << sizes.members << " alarms=" << sizes.pending_timers << " attempts_ended=";
  for (std::size_t i = 0; i < counters.ended.size(); ++i)
    line << (i ? "," : "") << controller::text_of(static_cast<Outcome>(i)) << ':' << counters.ended[i];
  line << " calls_ended=";
  bool first = true;
  for (const auto& [end, count] : calls_by_end_) {
    line << (first ? "" : ",") << end << ':' << count;
    first = false;
  }
  line << " repeats=" << std::exchange(repeated_calls_, 0) << " connections_ended=";
  first = true;
  for (const auto& [reason, count] : counters.connections_ended) {
    line << (first ? "" : ",") << reason << ':' << count;
    first = false;
  }
  line << " list_event=" << invoker_list_.last() << " discovery_heard_ms_ago="
       << std::chrono::duration_cast<std::chrono::milliseconds>(host_.now() - feed_->last_line_at()).count();
  const LeaseCounters& leases = core_.module().lease_counters();
  line << " leases=asked:" << leases.asked << ",ready:" << leases.ready << ",refused:" << leases.refused
       << ",unanswered:" << leases.unanswered
       << " list_current=" << (core_.module().list_is_valid(host_.now()) ? 1 : 0);
  line << " late_ms=" << std::chrono::duration_cast<std::chrono::milliseconds>(worst_timer_delay_).count();
  worst_timer_delay_ = {};
  const TableSizes tables = core_.module().table_sizes();
  line << " longest_turn_ms="
       << std::chrono::duration_cast<std::chrono::milliseconds>(host_.take_longest_turn()).count()
       << " functions=" << tables.functions << " placements=" << tables.placements
       << " ended_ids=" << ended_ids_.size() << " client_buffered=" << front_.buffered_bytes()
       << " open_body_bytes=" << open_body_bytes_;
  log_line_(Severity::kInfo, line.str());
  for (auto& [kind, count] : anomaly_counts_)
    if (count > 1) log_line_(Severity::kInfo, std::to_string(count) + " times: " + kind);
}

}  // namespace laureltide::node
