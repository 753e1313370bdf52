// A gateway with stand-ins of the broker, list service, workers and caller, on a simulated network in virtual
// time. The seed decides every interleaving; nothing sleeps.
#pragma once

#include <gtest/gtest.h>

#include "config/settings.h"
#include "controller/gateway.h"
#include "sim/network.h"
#include "standin/broker.h"
#include "standin/caller.h"
#include "standin/list.h"
#include "standin/worker.h"

namespace laureltide::test {

using namespace std::chrono_literals;

struct MemoryTape : standin::Tape {
  struct Line {
    Time at;
    std::string what;
    nlohmann::json fields;
  };
  std::vector<Line> lines;
  void note(Time at, const char* what, nlohmann::json fields) override {
    lines.push_back({at, what, std::move(fields)});
  }
  std::size_t count(const std::string& what, const std::string& call = "") const {
    std::size_t n = 0;
    for (const Line& l : lines) n += l.what == what && (call.empty() || l.fields.value("call", "") == call);
    return n;
  }
};

struct Log : controller::GatewayEvents {
  struct Call {
    std::string name, end, attempts;
    controller::Answer::Kind kind;
  };
  std::vector<Call> calls;
  std::vector<std::string> lines;
  std::string kept_list;
  void on_call_finished(const controller::CallSummary& e) override {
    calls.push_back({e.call.name, e.end, e.attempts, e.answer.kind});
  }
  void on_log_line(controller::LogLevel, const std::string& line) override { lines.push_back(line); }
  void store_worker_list(const std::string& json) override { kept_list = json; }
  bool contains(const std::string& text) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](auto& l) { return l.find(text) != std::string::npos; });
  }
};

inline std::string settings_text(const std::string& more_broker = "", const std::string& more = "") {
  return R"(
[gateway]
name = "gw-0"
answer_reserve_ms = 5
most_body_bytes = 1000000
[list]
service = "127.0.0.1:7000"
[bounds]
open_calls = 5000
[instances]
on_miss = "miss"
keep_alive_ms = 8000
[rules]
drain_grace_ms = 1000
[[kind]]
name = "std"
memory_mb = 4096
[[class]]
name = "read"
effect = "repeatable"
target_ms = 1000
give_up_ms = 3000
[[class]]
name = "update"
effect = "keyed"
repeats_dropped_by = "cell"
repeat_window_ms = 2000
target_ms = 600
give_up_ms = 3000
[[class]]
name = "release"
effect = "once"
target_ms = 1000
give_up_ms = 2500
[[tenant]]
name = "volta"
share = 0.6
quota_per_s = 100
[[function]]
name = "echo"
class = "read"
lanes = 4
[[function]]
name = "status"
class = "update"
lanes = 4
[[function]]
name = "gate"
class = "release"
lanes = 4
[[broker]]
name = "main"
address = "127.0.0.1:5672"
heartbeat_s = 2
queues = ["calls"]
prefetch = 200
)" + more_broker +
         more;
}

inline std::shared_ptr<const config::Settings> settings(const std::string& more_broker = "",
                                                        const std::string& more = "") {
  config::SettingsResult checked = config::parse(settings_text(more_broker, more), "test.toml");
  for (const auto& p : checked.problems) ADD_FAILURE() << p.to_string();
  return std::make_shared<config::Settings>(std::move(checked.settings).value());
}

struct GatewayFixture {
  sim::Network net;
  MemoryTape tape;
  Log log;
  standin::Broker broker;
  standin::ListService list;
  std::vector<std::unique_ptr<standin::Worker>> workers;
  std::shared_ptr<const config::Settings> config;
  store::MemoryDisk disk;  // outlives the gateway
  std::unique_ptr<store::MemoryStore> store;
  std::unique_ptr<ledger::CallLedger> book;
  bool with_ledger = false;
  ledger::CallLedgerOptions book_options;
  std::unique_ptr<controller::Gateway> gateway;
  std::unique_ptr<standin::Caller> caller;
  io::Address broker_at{"127.0.0.1", 5672}, list_at{"127.0.0.1", 7000};
  std::uint32_t first_request_id = 1;
  int calls_named = 0;

  explicit GatewayFixture(int count = 2, std::uint64_t seed = 1,
                          std::shared_ptr<const config::Settings> with = settings(),
                          std::size_t max_segment_bytes = 0)
      : net({seed, 50us, 400us, max_segment_bytes}),
        broker(net, {}, tape),
        list(net, tape),
        config(std::move(with)) {
    EXPECT_TRUE(broker.listen(broker_at));
    broker.declare_queue("calls");
    EXPECT_TRUE(list.listen(list_at));
    for (int i = 1; i <= count; ++i) add_worker(static_cast<std::uint32_t>(i));
  }

  static standin::WorkerOptions worker_options(std::uint32_t id) {
    standin::WorkerOptions o;
    o.id = id, o.name = "w" + std::to_string(id), o.cores = 4;
    for (const auto& [name, c] : {std::pair("echo", "read"), {"status", "update"}, {"gate", "release"}}) {
      standin::FunctionModel m;
      m.request_class = c, m.lanes = 4, m.fetch = 50ms, m.start = 50ms, m.work = 20ms;
      o.functions[name] = m;
    }
    return o;
  }
  static io::Address worker_at(std::uint32_t id) {
    return {"127.0.0.1", static_cast<std::uint16_t>(7100 + id)};
  }
  standin::Worker& add_worker(std::uint32_t id) {
    workers.push_back(std::make_unique<standin::Worker>(net, worker_options(id), tape));
    EXPECT_TRUE(workers.back()->listen(worker_at(id)));
    set_worker_state(id, WorkerState::kReady);
    return *workers.back();
  }
  void set_worker_state(std::uint32_t id, WorkerState state, std::optional<std::int64_t> started = {}) {
    members::Member m;
    m.id = id, m.address = worker_at(id), m.zone = "a", m.kind = "std", m.cell = "r" + std::to_string(id % 2);
    m.state = state;
    m.started_unix_ms = started;
    state == WorkerState::kGone ? list.remove(id) : list.set(m);
  }
  standin::Worker& worker(std::uint32_t id) { return *workers.at(id - 1); }

  void start_gateway(std::uint64_t seed = 7) {
    if (with_ledger) {
      store = std::make_unique<store::MemoryStore>(net, disk);
      book = std::make_unique<ledger::CallLedger>(net, *store, book_options);
      const auto error = book->load();
      ASSERT_FALSE(error) << *error;
      book->on_crash_point = [this](const char* step) {
        steps.emplace_back(step);
        if (on_step) on_step(step);
      };
    }
    gateway = std::make_unique<controller::Gateway>(net, config, log, seed, first_request_id, book.get());
    gateway->start();
  }
  // As by kill -9: unsent bytes are lost, and so is what was not on disk.
  void kill_gateway() { gateway.reset(), book.reset(), store.reset(); }
  std::vector<std::string> steps;
  std::function<void(const char*)> on_step;
  void start() {
    start_gateway();
    caller = std::make_unique<standin::Caller>(net, standin::CallerOptions{broker_at}, tape);
    ASSERT_TRUE(net.run_until([&] { return caller->ready() && broker.consumers("calls") == 1; }));
  }
  std::string call(const std::string& function, standin::CallToMake c = {}) {
    if (c.name.empty()) c.name = function + "-" + std::to_string(++calls_named);
    c.function = function;
    if (c.body.empty()) c.body = "payload of " + c.name;
    if (function == "status" && c.key.empty()) c.key = c.name;
    EXPECT_TRUE(caller->call(c));
    return c.name;
  }
  std::size_t answers(const std::string& name) const { return caller->answers().count(name); }
  bool wait_answer(const std::string& name, Duration timeout = 20s) {
    return net.run_until([&] { return answers(name) > 0; }, timeout);
  }
  std::string outcome(const std::string& name) const {
    const auto it = caller->answers().find(name);
    return it == caller->answers().end() ? "none" : it->second.outcome;
  }
  std::string reason(const std::string& name) const {
    const auto it = caller->answers().find(name);
    return it == caller->answers().end() ? "none" : it->second.reason;
  }
  std::size_t run_count(const std::string& name) const { return tape.count("ran", name); }
};

}  // namespace laureltide::test
