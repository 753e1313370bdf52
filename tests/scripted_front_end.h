// A front end for tests of the decision module: a simulated clock, a record of the actions, and short
// functions that give events.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "laureltide/dispatcher.h"

namespace laureltide::test {

using namespace std::chrono_literals;

enum class ActionKind {
  kSend,
  kCancel,
  kRefuse,
  kFail,
  kHold,
  kRelease,
  kProbe,
  kSubscribe,
  kFetch,
  kSendToPeer
};

struct Action {
  ActionKind kind;
  Time at;
  RequestId request{};
  WorkerId worker{};
  FunctionId function{};
  int count = 0;  // instances ordered, the attempt cancelled, or 1 to subscribe
  bool operator==(const Action&) const = default;
};

inline Settings default_settings() {
  Settings s;
  RequestClass repeatable;
  repeatable.semantics = Semantics::kRepeatable;
  repeatable.target = 1s;
  repeatable.give_up = 3s;
  repeatable.repeat_window = 2s;
  RequestClass keyed = repeatable;
  keyed.semantics = Semantics::kKeyed;
  keyed.group = RepeatGroup::kCell;
  RequestClass once = repeatable;
  once.semantics = Semantics::kOnce;
  s.classes = {repeatable, keyed, once};
  s.bounds.attempts_cap = 6;
  s.bounds.may_cancel = true;
  s.instances.orders = true;
  s.instances.reports_instance_found = true;
  s.instances.keep_alive = 8s;
  s.instances.memory_mb_by_kind = {4000};
  s.instances.order_timeout = 10s;
  s.rules.cold_capacity_share = 0.25;
  s.rules.cold_duration = 18s;
  s.rules.overload_multiple = 2;
  s.rules.overload_duration = 1s;
  s.rules.drain_grace = 1s;
  s.rules.answer_grace = 16ms;
  s.tick = 4ms;
  return s;
}

class ScriptedFrontEnd : public ActionSink {
 public:
  static constexpr ClassIndex kRepeatable = 0, kKeyed = 1, kOnce = 2;

  explicit ScriptedFrontEnd(Settings settings = default_settings(), std::uint64_t seed = 7)
      : now(Time(100s)), dispatcher(std::move(settings), seed, now, *this) {}

  // ---- Events
  static WorkerEntry worker(std::uint32_t id, std::uint16_t cell = 0) {
    WorkerEntry e;
    e.id = WorkerId{id};
    e.cell = cell;
    return e;
  }
  void update_list(std::vector<WorkerEntry> entries, ListScope scope = ListScope::kFull) {
    dispatcher.on(now, ListUpdate{scope, ++list_version, entries});
  }
  RequestId request(ClassIndex c = kRepeatable, std::uint64_t function = 1, Duration timeout = 3s,
                    std::optional<std::uint32_t> tenant = {}) {
    Request event;
    event.id = RequestId{++last_request};
    event.function = FunctionId{function};
    event.request_class = c;
    event.deadline = now + timeout;
    event.tenant = tenant;
    event.lanes = 4;
    event.memory_mb = 400;
    dispatcher.on(now, event);
    return event.id;
  }
  void answer_attempt(const Action& sent, Outcome outcome, bool terminal = false,
                      Found found = Found::kNotReported) {
    AttemptResult result;
    result.request = sent.request;
    result.worker = sent.worker;
    result.attempt = static_cast<AttemptNumber>(attempt_of(sent));
    result.outcome = outcome;
    result.terminal = terminal;
    result.found = found;
    result.took = now - sent.at;
    dispatcher.on(now, result);
  }
  void serve(const Action& sent, Found found = Found::kLoaded) {
    answer_attempt(sent, Outcome::kOk, true, found);
  }
  void answer_order(const Action& order, Outcome outcome = Outcome::kOk, int instances = 1) {
    dispatcher.on(now, HoldResult{order.worker, order.function, outcome, now - order.at, instances,
                                  static_cast<int>(order.count)});
  }

  // Moves the clock in steps; due timers fire in order.
  void advance(Duration by, Duration step = 4ms) {
    const Time until = now + by;
    while (now < until) {
      now = std::min(now + step, until);
      while (true) {
        const auto due = std::min_element(timers.begin(), timers.end());
        if (due == timers.end() || due->first > now) break;
        const TimerToken token = due->second;
        timers.erase(due);
        dispatcher.on(now, TimerFired{token});
      }
    }
  }

  // ---- Recorded actions
  std::vector<Action> actions_of(ActionKind kind) const {
    std::vector<Action> matching;
    std::copy_if(actions.begin(), actions.end(), std::back_inserter(matching),
                 [&](auto& a) { return a.kind == kind; });
    return matching;
  }
  std::vector<Action> sends_of(RequestId id) const {
    std::vector<Action> matching = actions_of(ActionKind::kSend);
    std::erase_if(matching, [&](auto& a) { return a.request != id; });
    return matching;
  }
  std::vector<Action> answers_of(RequestId id) const {
    std::vector<Action> matching;
    for (const Action& a : actions)
      if (a.request == id && (a.kind == ActionKind::kRefuse || a.kind == ActionKind::kFail))
        matching.push_back(a);
    return matching;
  }

  // ---- ActionSink
  void send(RequestId r, WorkerId w, Duration) override {
    actions.push_back({ActionKind::kSend, now, r, w, {}, 0});
  }
  void cancel(RequestId r, AttemptNumber n) override {
    actions.push_back({ActionKind::kCancel, now, r, {}, {}, n});
  }
  void refuse(RequestId r, Duration retry_after) override {
    actions.push_back({ActionKind::kRefuse, now, r, {}, {}, 0});
    retry_after_delays.push_back(retry_after);
  }
  void fail(RequestId r) override { actions.push_back({ActionKind::kFail, now, r, {}, {}, 0}); }
  void hold(WorkerId w, FunctionId f, int n) override {
    actions.push_back({ActionKind::kHold, now, {}, w, f, n});
  }
  void release(WorkerId w, FunctionId f) override {
    actions.push_back({ActionKind::kRelease, now, {}, w, f, 0});
  }
  void probe(WorkerId w) override { actions.push_back({ActionKind::kProbe, now, {}, w, {}, 0}); }
  void start_timer(Duration delay, TimerToken token) override {
    timers.emplace_back(now + std::max<Duration>(delay, 1ms), token);
  }
  void subscribe(bool on) override {
    actions.push_back({ActionKind::kSubscribe, now, {}, {}, {}, on ? 1 : 0});
  }
  void fetch_list() override { actions.push_back({ActionKind::kFetch, now, {}, {}, {}, 0}); }
  void send_to_peer(std::optional<std::uint32_t>, std::span<const std::byte>) override {
    actions.push_back({ActionKind::kSendToPeer, now, {}, {}, {}, 0});
  }
  void log(std::string_view line) override { log_lines.emplace_back(line); }

  Time now;
  std::vector<Action> actions;
  std::vector<std::string> log_lines;
  std::vector<Duration> retry_after_delays;  // one for each refusal
  std::vector<std::pair<Time, TimerToken>> timers;
  std::uint64_t list_version = 0;
  std::uint32_t last_request = 0;
  Dispatcher dispatcher;

 private:
  std::size_t attempt_of(const Action& sent) const {
    const auto sends = sends_of(sent.request);
    return static_cast<std::size_t>(std::find(sends.begin(), sends.end(), sent) - sends.begin());
  }
};

}  // namespace laureltide::test
