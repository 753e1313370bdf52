#include "standin/worker.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace laureltide::standin {

using worker::AnswerKind;
using worker::FoundKind;
using worker::HeldKind;

namespace {
double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
}  // namespace

Worker::Worker(io::Host& host, WorkerOptions options, Tape& tape)
    : host_(host), options_(std::move(options)), tape_(tape), dead_(host), cores_(options_.cores) {
  sweep_ = host.timer([this] { sweep(); });
  if (options_.store) store_ = std::make_unique<StoreClient>(host, *options_.store);
}
Worker::~Worker() { listener_.reset(), sessions_.clear(); }

bool Worker::listen(const io::Address& at) { return start(at, false); }

bool Worker::start(const io::Address& at, bool cold) {
  io::StreamOptions stream;
  stream.read_ahead = worker::kDefaultMaxFrame + (64U << 10);
  ++incarnation_;
  draining_ = unresponsive_ = false;
  cold_since_.reset();
  if (cold) cold_since_ = host_.now();
  const std::int64_t started = host_.unix_ms();
  if (options_.agent) {
    agent_ = std::make_shared<layers::AgentClient>(
        host_, *options_.agent, options_.name, std::to_string(started) + "-" + std::to_string(incarnation_));
    agent_->watch_releases([this](const std::vector<layers::ReleaseStatus>& all) { on_releases(all); });
  }
  listener_ =
      host_.listen(at, stream, [this, started](std::unique_ptr<io::Connection> c) -> io::ConnectionEvents* {
        worker::Hello hello;
        hello.id = options_.id, hello.name = options_.name, hello.started_unix_ms = started;
        auto fresh = std::make_unique<worker::Session>(host_, hello, *this);
        worker::Session* raw = fresh.get();
        raw->attach(std::move(c));
        if (unresponsive_) raw->read(false);
        sessions_[raw] = std::move(fresh);
        return raw;
      });
  if (!listener_) return false;
  address_ = listener_->address();
  sweep_->start(kSweepInterval);
  tape_.note(host_.now(), "started", {{"worker", options_.id}, {"cold", cold}});
  return true;
}

// ---- Faults ---------------------------------------------------------------------------------------------

void Worker::crash() {
  if (!listener_) return;
  unsent_.clear();
  if (unresponsive_) set_unresponsive(false);
  tape_.note(host_.now(), "crashed", {{"worker", options_.id}});
  ++incarnation_;
  listener_.reset();
  jobs_.clear(), pools_.clear(), core_queue_.clear(), load_queue_.clear(), cold_work_.clear(),
      unsent_.clear();
  unheard_.clear(), keys_.clear(), loading_timers_.clear(), delayed_to_.clear();
  loads_ = on_core_ = 0;
  agent_.reset();  // its pins end with its lease or at the next start
  for (auto& [raw, session] : std::exchange(sessions_, {})) {
    raw->abort();
    dead_.delete_later(std::move(session));
  }
}

void Worker::set_unresponsive(bool on) {
  if (unresponsive_ == on) return;
  tape_.note(host_.now(), "silent", {{"worker", options_.id}, {"on", on}});
  unresponsive_ = on;
  for (auto& [raw, session] : sessions_) raw->read(!on);
  if (on) return;
  for (auto& [session, message] : std::exchange(unsent_, {}))
    if (sessions_.contains(session)) session->send(message);
}

void Worker::discard_instances() {
  tape_.note(host_.now(), "flushed", {{"worker", options_.id}});
  for (auto& [name, pool] : pools_) {
    if (pool.running > 0)
      pool.stale = true;
    else
      pool.ready = 0;
  }
}

void Worker::drain() {
  if (std::exchange(draining_, true)) return;
  tape_.note(host_.now(), "drains", {{"worker", options_.id}});
  for (auto& [raw, session] : sessions_) raw->drain();
}

// ---- Sessions -------------------------------------------------------------------------------------------

void Worker::on_hello(worker::Session& session, const worker::Hello&) {
  if (draining_) session.drain();
}

void Worker::on_end(worker::Session& session) {
  for (auto& [id, job] : jobs_)
    if (job.session == &session) job.session = nullptr;  // its work goes on: it was not cancelled
  for (auto& [name, pool] : pools_)
    std::erase_if(pool.orders, [&](const Order& o) { return o.session == &session; });
  // A new session may be allocated at the same address and must not get this one's messages.
  std::erase_if(unsent_, [&](const auto& u) { return u.first == &session; });
  std::erase_if(delayed_to_, [&](const auto& l) { return l.second == &session; });
  const auto it = sessions_.find(&session);
  if (it == sessions_.end()) return;
  auto dead = std::move(it->second);
  sessions_.erase(it);
  dead_.delete_later(std::move(dead));
}

void Worker::on_message(worker::Session& session, worker::Message message) {
  if (auto* call = std::get_if<worker::Call>(&message)) return on_call(session, std::move(*call));
  if (const auto* hold = std::get_if<worker::Hold>(&message)) return on_hold(session, *hold);
  if (const auto* release = std::get_if<worker::Release>(&message)) {
    if (auto it = pools_.find(release->function); it != pools_.end() && it->second.running == 0)
      it->second.ready = 0;
    return;
  }
  if (const auto* probe = std::get_if<worker::Probe>(&message))
    return send(&session, worker::Probed{probe->id, report()});
  if (const auto* cancel = std::get_if<worker::Cancel>(&message)) {
    for (auto& [id, job] : jobs_) {
      if (job.session != &session || job.call.id != cancel->id) continue;
      if (job.running) return void(job.cancelled = true);  // running work goes on
      for (auto& [name, pool] : pools_) std::erase(pool.waiting, id);
      std::erase(core_queue_, id);
      worker::Answer a;
      a.id = job.call.id, a.kind = AnswerKind::kCancelled;
      answer(&session, std::move(a), job.call);
      jobs_.erase(id);
      return;
    }
  }
}

void Worker::send(worker::Session* session, const worker::Message& message) {
  if (!session) return;
  if (unresponsive_) return void(unsent_.emplace_back(session, message));
  session->send(message);
}

void Worker::answer(worker::Session* session, worker::Answer a, const worker::Call& call) {
  static constexpr const char* kKinds[] = {"", "ok", "error", "full", "miss", "cancelled"};
  a.report = report();
  tape_.note(host_.now(), "answered",
             {{"worker", options_.id},
              {"call", call.name},
              {"attempt", call.attempt},
              {"kind", kKinds[static_cast<int>(a.kind)]},
              {"heard", session != nullptr && !unresponsive_}});
  if (!session) return;
  if (reset_answers_ > 0) {
    --reset_answers_;
    std::string bytes;
    worker::write(bytes, a);
    session->send_raw(std::string_view(bytes).substr(0, bytes.size() / 2));
    // The reset follows the bytes written, so the reader sees half a frame.
    return session->abort();
  }
  if (unknown_answers_ > 0) {
    --unknown_answers_;
    worker::Answer unknown = a;
    unknown.id = session->last_call() + 1000;
    session->send(unknown);
  }
  if (delayed_answers_ > 0) {
    --delayed_answers_;
    const std::uint64_t number = next_delayed_++;
    delayed_to_[number] = session;
    loading_timers_.push_back(host_.timer([this, number, a] {
      const auto to = delayed_to_.find(number);
      if (to == delayed_to_.end()) return;
      to->second->send(a);
      delayed_to_.erase(to);
    }));
    return loading_timers_.back()->start(answer_delay_);
  }
  const bool again = duplicate_answers_ > 0 && duplicate_answers_-- > 0;
  send(session, a);
  if (again) send(session, a);
}

// ---- Calls ----------------------------------------------------------------------------------------------

void Worker::on_call(worker::Session& session, worker::Call call) {
  tape_.note(host_.now(), "call",
             {{"worker", options_.id},
              {"from", session.peer().name},
              {"life", std::to_string(session.peer().started_unix_ms)},
              {"call", call.name},
              {"attempt", call.attempt},
              {"function", call.function},
              {"key", call.key},
              {"patience_ms", call.patience_ms}});
  worker::Answer refused;
  refused.id = call.id;
  const auto model = options_.functions.find(call.function);
  if (model == options_.functions.end()) {
    refused.kind = AnswerKind::kMiss, refused.reason = "no such function";
    return answer(&session, std::move(refused), call);
  }
  if (overloaded_by(model->second)) {
    tape_.note(host_.now(), "fell", {{"worker", options_.id}});
    return crash();
  }
  Pool& pool = pools_[call.function];
  const int others_in_flight = pool.running + static_cast<int>(pool.waiting.size());
  refused.others_in_flight = static_cast<std::uint8_t>(std::min(others_in_flight, 30));
  if (pool.ready == 0 && pool.loading == 0 && !options_.load_on_miss) {
    refused.kind = AnswerKind::kMiss, refused.reason = "not loaded";
    return answer(&session, std::move(refused), call);
  }
  std::size_t waiting = 0;
  for (const auto& [name, p] : pools_) waiting += p.waiting.size();
  const bool lane = pool.running < pool.ready * model->second.lanes;
  FoundKind found = pool.ready > 0 ? FoundKind::kLoaded : FoundKind::kAwaitedLoad;
  const bool load = pool.ready == 0 && pool.loading == 0;
  if (full_ || (!lane && waiting >= options_.queue) || (load && !begin_load(call.function, pool))) {
    refused.kind = AnswerKind::kFull, refused.reason = "no room";
    return answer(&session, std::move(refused), call);
  }
  if (load) found = FoundKind::kBeganLoad;
  const std::uint64_t id = next_job_++;
  const std::string name = call.function;
  Job& job = jobs_[id];
  job.session = &session, job.call = std::move(call), job.found = found,
  job.others_in_flight = others_in_flight;
  pool.waiting.push_back(id);
  start_waiting();
  if (reset_after_calls_ > 0) {
    --reset_after_calls_;
    session.abort();
  }
}

// Gives waiting calls a lane, then a core.
void Worker::start_waiting() {
  for (auto& [name, pool] : pools_) {
    const int lanes = pool.ready * options_.functions.at(name).lanes;
    while (!pool.waiting.empty() && pool.running < lanes) {
      ++pool.running;
      core_queue_.push_back(pool.waiting.front());
      pool.waiting.pop_front();
    }
  }
  while (!core_queue_.empty() && on_core_ < cores_) {
    const std::uint64_t id = core_queue_.front();
    core_queue_.pop_front();
    if (auto it = jobs_.find(id); it != jobs_.end()) begin(id, it->second);
  }
}

void Worker::begin(std::uint64_t id, Job& job) {
  job.running = true;
  ++on_core_;
  const FunctionModel& model = options_.functions.at(job.call.function);
  bool repeat = false;
  if (!job.call.key.empty() && key_window_ > Duration(0)) {
    auto [it, fresh] = keys_.try_emplace(job.call.key, host_.now());
    repeat = !fresh && host_.now() - it->second < key_window_;
    if (!fresh && !repeat) it->second = host_.now();
  }
  if (!repeat) ++runs_;
  job.version = pools_[job.call.function].version;
  nlohmann::json note = {{"worker", options_.id},
                         {"call", job.call.name},
                         {"attempt", job.call.attempt},
                         {"function", job.call.function},
                         {"key", job.call.key}};
  if (job.version) note["version"] = job.version->name, note["layers"] = job.version->layers;
  tape_.note(host_.now(), repeat ? "dropped" : "ran", std::move(note));
  const double draw = 1 + model.work_spread * (2 * host_.random_unit() - 1);
  const double took = seconds(model.work) * draw * slowdown_ / (options_.speed * warmth());
  job.timer = host_.timer([this, id] { finish(id); });
  job.timer->start(from_seconds(took));
}

void Worker::finish(std::uint64_t id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  auto timer = std::move(it->second.timer);  // this function runs in its callback
  Job job = std::move(it->second);
  jobs_.erase(it);
  --on_core_;
  Pool& pool = pools_[job.call.function];
  --pool.running;
  pool.idle_since = host_.now();
  if (pool.running == 0 && std::exchange(pool.stale, false)) pool.ready = 0;
  const FunctionModel& model = options_.functions.at(job.call.function);
  worker::Answer a;
  a.id = job.call.id;
  a.kind = failing_classes_.contains(model.request_class) ? AnswerKind::kError : AnswerKind::kOk;
  if (a.kind == AnswerKind::kError) a.reason = "the function failed";
  a.found = job.found;
  a.others_in_flight = static_cast<std::uint8_t>(std::min(job.others_in_flight, 30));
  if (a.kind == AnswerKind::kOk) a.body = std::move(job.call.body);
  answer(job.session, std::move(a), job.call);
  if (listener_) start_waiting();
}

// ---- Instances --------------------------------------------------------------------------------------

int Worker::instances(const std::string& function) const {
  const auto it = pools_.find(function);
  return it == pools_.end() ? 0 : it->second.ready;
}

double Worker::memory_used() const {
  double mb = 0;
  for (const auto& [name, pool] : pools_)
    mb += (pool.ready + pool.loading) * options_.functions.at(name).memory_mb;
  return mb;
}

// Unloads idle instances, the longest idle first, and never a busy one.
bool Worker::make_room(double mb) {
  while (memory_used() + mb > options_.memory_mb) {
    Pool* oldest = nullptr;
    for (auto& [name, pool] : pools_)
      if (pool.ready > 0 && pool.running == 0 && pool.waiting.empty() &&
          (!oldest || pool.idle_since < oldest->idle_since))
        oldest = &pool;
    if (!oldest) return false;
    --oldest->ready;
  }
  return true;
}

bool Worker::begin_load(const std::string& name, Pool& pool) {
  if (load_queue_.size() >= 2U * static_cast<std::size_t>(options_.loads_at_once)) return false;
  if (!make_room(options_.functions.at(name).memory_mb)) return false;
  ++pool.loading;
  load_queue_.push_back(name);
  next_load();
  return true;
}

void Worker::next_load() {
  while (loads_ < options_.loads_at_once && !load_queue_.empty()) {
    const std::string name = std::move(load_queue_.front());
    load_queue_.pop_front();
    ++loads_;
    const FunctionModel& model = options_.functions.at(name);
    auto start = [this, name, incarnation = incarnation_, takes = model.start](bool fetched) {
      if (incarnation != incarnation_) return;
      if (!fetched) return loaded(name, false);
      loading_timers_.push_back(host_.timer([this, name, incarnation] {
        if (incarnation == incarnation_) loaded(name, !load_fails_);
      }));
      loading_timers_.back()->start(takes);
    };
    if (agent_) {
      fetch(name, start);
    } else if (store_ && model.fetch > Duration(0)) {
      store_->fetch(model.fetch, start);
    } else {
      loading_timers_.push_back(host_.timer([start] { start(true); }));
      loading_timers_.back()->start(model.fetch);
    }
  }
}

// Pins and reads the current version, unless the pool has one: all instances of a pool share a version.
void Worker::fetch(const std::string& name, std::function<void(bool success)> done) {
  if (pools_[name].version) {
    loading_timers_.push_back(host_.timer([done = std::move(done)] { done(true); }));
    return loading_timers_.back()->start(Duration(0));
  }
  agent_->pin(
      name, {}, layers::Level::kHold, std::chrono::seconds(30),
      [this, name, incarnation = incarnation_, done = std::move(done)](
          const std::optional<layers::Snapshot>& s, std::string why) {
        if (incarnation != incarnation_) return;
        auto version = s ? read(*s, why) : nullptr;
        if (!version)
          tape_.note(host_.now(), "load-failed", {{"worker", options_.id}, {"function", name}, {"why", why}});
        Pool& pool = pools_[name];
        if (!pool.version) pool.version = std::move(version);
        done(pool.version != nullptr);
      });
}

std::shared_ptr<const Worker::Version> Worker::read(const layers::Snapshot& snapshot, std::string& why) {
  auto version = std::shared_ptr<Version>(
      new Version, [agent = std::weak_ptr(agent_), pin = snapshot.pin](const Version* v) {
        if (const auto still = agent.lock()) still->unpin(pin);
        delete v;
      });
  version->name = snapshot.version.text(), version->release = snapshot.release;
  for (const auto& layer : snapshot.layers) {
    layers::Hasher hasher;
    for (const auto& [path, size] : layer.chunks) {
      std::ifstream in(path, std::ios::binary);
      std::ostringstream bytes;
      bytes << in.rdbuf();
      if (!in || bytes.str().size() != size) return why = path + " is not as long as the agent said", nullptr;
      hasher.add(bytes.str());
    }
    version->layers.push_back(hasher.finish().text());
  }
  return version;
}

// Loads a newer version once it is complete on the machine. The old one serves until the new one is loaded,
// and running calls finish on the version that they began with.
void Worker::on_releases(const std::vector<layers::ReleaseStatus>& all) {
  for (const layers::ReleaseStatus& r : all) {
    const auto it = pools_.find(r.function);
    if (!r.whole || it == pools_.end() || !it->second.version || it->second.updating ||
        it->second.version->release >= r.release)
      continue;
    it->second.updating = true;
    agent_->pin(r.function, r.version, layers::Level::kRenewal, std::chrono::seconds(30),
                [this, name = r.function, incarnation = incarnation_](
                    const std::optional<layers::Snapshot>& s, std::string why) {
                  if (incarnation != incarnation_) return;
                  auto version = s ? read(*s, why) : nullptr;
                  loading_timers_.push_back(host_.timer([this, name, incarnation, version] {
                    if (incarnation != incarnation_) return;
                    Pool& pool = pools_[name];
                    pool.updating = false;
                    if (version && pool.version) pool.version = version;
                  }));
                  loading_timers_.back()->start(options_.functions.at(name).start);
                });
  }
}

void Worker::loaded(const std::string& name, bool success) {
  --loads_;
  Pool& pool = pools_[name];
  --pool.loading;
  tape_.note(host_.now(), "loaded", {{"worker", options_.id}, {"function", name}, {"well", success}});
  if (success) {
    ++pool.ready;
    pool.idle_since = host_.now();
  } else if (pool.ready == 0 && pool.loading == 0) {
    for (const std::uint64_t id : std::exchange(pool.waiting, {})) {
      const auto it = jobs_.find(id);
      if (it == jobs_.end()) continue;
      Job job = std::move(it->second);
      jobs_.erase(it);
      worker::Answer a;
      a.id = job.call.id, a.kind = AnswerKind::kMiss, a.found = FoundKind::kLoadFailed,
      a.reason = "its load failed";
      answer(job.session, std::move(a), job.call);
    }
  }
  if (!success)
    for (const Order& o : std::exchange(pool.orders, {}))
      send(o.session, worker::Held{o.order, HeldKind::kLoadFailed, static_cast<std::uint8_t>(pool.ready)});
  settle_orders(name, pool);
  next_load();
  start_waiting();
}

void Worker::on_hold(worker::Session& session, const worker::Hold& hold) {
  tape_.note(host_.now(), "hold",
             {{"worker", options_.id},
              {"from", session.peer().name},
              {"life", std::to_string(session.peer().started_unix_ms)},
              {"function", hold.function},
              {"count", hold.instances}});
  const auto model = options_.functions.find(hold.function);
  if (model == options_.functions.end())
    return send(&session, worker::Held{hold.order, HeldKind::kLoadFailed, 0});
  Pool& pool = pools_[hold.function];
  const int wanted = std::min<int>(hold.instances, 16);
  if (wanted > 0) pool.idle_since = host_.now();
  if (wanted > 0 && draining_)
    return send(&session, worker::Held{hold.order, HeldKind::kFull, static_cast<std::uint8_t>(pool.ready)});
  while (pool.ready + pool.loading < wanted)
    if (!begin_load(hold.function, pool))
      return send(&session, worker::Held{hold.order, HeldKind::kFull, static_cast<std::uint8_t>(pool.ready)});
  pool.orders.push_back({&session, hold.order, wanted});
  settle_orders(hold.function, pool);
}

void Worker::settle_orders(const std::string&, Pool& pool) {
  std::vector<Order> settled;
  std::erase_if(pool.orders, [&](const Order& o) {
    if (pool.ready < o.wanted) return false;
    settled.push_back(o);
    return true;
  });
  for (const Order& o : settled)
    send(o.session, worker::Held{o.order, HeldKind::kOk, static_cast<std::uint8_t>(pool.ready)});
}

void Worker::sweep() {
  if (!listener_) return;
  for (auto& [name, pool] : pools_)
    if (pool.ready > 0 && pool.running == 0 && pool.waiting.empty() &&
        host_.now() - pool.idle_since > options_.keep_alive)
      pool.ready = 0;
  for (auto& [name, pool] : pools_)
    if (pool.ready == 0 && pool.loading == 0 && pool.running == 0 && pool.waiting.empty())
      pool.version.reset();
  if (loading_timers_.size() > 4096)
    loading_timers_.erase(loading_timers_.begin(), loading_timers_.begin() + 2048);
  std::erase_if(keys_, [&](const auto& k) { return host_.now() - k.second > 2 * key_window_; });
  start_waiting();
  sweep_->start(kSweepInterval);
}

// ---- Load -----------------------------------------------------------------------------------------------

int Worker::busy() const { return std::min(on_core_, cores_); }

worker::Report Worker::report() const {
  std::size_t waiting = core_queue_.size();
  for (const auto& [name, p] : pools_) waiting += p.waiting.size();
  auto field = [](worker::ReportField f, double v) {
    return std::pair(static_cast<std::uint8_t>(f), static_cast<float>(v));
  };
  worker::Report r;
  r.values = {field(worker::ReportField::kInProgress, static_cast<double>(jobs_.size())),
              field(worker::ReportField::kWaiting, static_cast<double>(waiting)),
              field(worker::ReportField::kBusyCores, static_cast<double>(busy()) / cores_),
              field(worker::ReportField::kMemoryInUse, memory_used() / options_.memory_mb),
              field(worker::ReportField::kLoads, loads_ + static_cast<double>(load_queue_.size()))};
  return r;
}

double Worker::warmth() const {
  if (!cold_since_ || options_.cold_duration <= Duration(0)) return 1;
  const double age = seconds(host_.now() - *cold_since_) / seconds(options_.cold_duration);
  return age >= 1 ? 1 : options_.cold_capacity_share + (1 - options_.cold_capacity_share) * age;
}

// Rule 4: compares the work sent within the overload window with the worker's capacity at its current warmth.
bool Worker::overloaded_by(const FunctionModel& model) {
  if (options_.overload_multiple <= 0 || warmth() >= 1) return false;
  const Time now = host_.now();
  cold_work_.emplace_back(now, seconds(model.work));
  while (now - cold_work_.front().first > options_.overload_duration) cold_work_.pop_front();
  double sent = 0;
  for (const auto& [at, work] : cold_work_) sent += work;
  const double slack = 3 * seconds(model.work);  // a few concurrent calls are no overload
  const double capacity = options_.overload_multiple * warmth() * options_.cores * options_.speed *
                          seconds(options_.overload_duration);
  return sent > capacity + slack;
}

}  // namespace laureltide::standin
