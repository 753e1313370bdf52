// A scripted front end for module tests: a clock, a recorder of actions, and short ways to say events.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "laureltide/dispatcher.h"

namespace laureltide::test {

using namespace std::chrono_literals;

enum class Did { kSend, kCancel, kRefuse, kFail, kHold, kRelease, kProbe, kSubscribe, kFetch, kTell };

struct Action {
  Did did;
  Time at;
  RequestId request{};
  WorkerId worker{};
  FunctionId function{};
  int count = 0;  // instances held, or the attempt cancelled
  bool operator==(const Action&) const = default;
};

inline Settings plain_settings() {
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

class Bench : public ActionSink {
 public:
  static constexpr ClassIndex kRepeatable = 0, kKeyed = 1, kOnce = 2;

  explicit Bench(Settings settings = plain_settings(), std::uint64_t seed = 7)
      : now(Time(100s)), dispatcher(std::move(settings), seed, now, *this) {}

  // ---- Events
  static WorkerEntry worker(std::uint32_t id, std::uint16_t cell = 0) {
    WorkerEntry e;
    e.id = WorkerId{id};
    e.cell = cell;
    return e;
  }
  void list(std::vector<WorkerEntry> entries, ListScope scope = ListScope::kFull) {
    dispatcher.on(now, ListUpdate{scope, ++version, entries});
  }
  RequestId ask(ClassIndex c = kRepeatable, std::uint64_t function = 1, Duration patience = 3s,
                std::optional<std::uint32_t> tenant = {}) {
    Request r;
    r.id = RequestId{++last_request};
    r.function = FunctionId{function};
    r.request_class = c;
    r.deadline = now + patience;
    r.tenant = tenant;
    r.lanes = 4;
    r.memory_mb = 400;
    dispatcher.on(now, r);
    return r.id;
  }
  void answer(const Action& sent, Outcome outcome, bool terminal = false, Found found = Found::kNotReported) {
    AttemptResult r;
    r.request = sent.request;
    r.worker = sent.worker;
    r.attempt = static_cast<AttemptNumber>(attempt_of(sent));
    r.outcome = outcome;
    r.terminal = terminal;
    r.found = found;
    r.took = now - sent.at;
    dispatcher.on(now, r);
  }
  void serve(const Action& sent, Found found = Found::kLoaded) { answer(sent, Outcome::kOk, true, found); }
  void held(const Action& order, Outcome outcome = Outcome::kOk, int instances = 1) {
    dispatcher.on(now, HoldResult{order.worker, order.function, outcome, now - order.at, instances,
                                  static_cast<int>(order.count)});
  }

  // Moves the clock; timers fire in order on the way.
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

  // ---- What was done
  std::vector<Action> all(Did did) const {
    std::vector<Action> some;
    std::copy_if(actions.begin(), actions.end(), std::back_inserter(some),
                 [&](auto& a) { return a.did == did; });
    return some;
  }
  std::vector<Action> sends_of(RequestId id) const {
    std::vector<Action> some = all(Did::kSend);
    std::erase_if(some, [&](auto& a) { return a.request != id; });
    return some;
  }
  std::vector<Action> answers_of(RequestId id) const {
    std::vector<Action> some;
    for (const Action& a : actions)
      if (a.request == id && (a.did == Did::kRefuse || a.did == Did::kFail)) some.push_back(a);
    return some;
  }

  // ---- ActionSink
  void send(RequestId r, WorkerId w, Duration) override { actions.push_back({Did::kSend, now, r, w, {}, 0}); }
  void cancel(RequestId r, AttemptNumber n) override { actions.push_back({Did::kCancel, now, r, {}, {}, n}); }
  void refuse(RequestId r, Duration retry_after) override {
    actions.push_back({Did::kRefuse, now, r, {}, {}, 0});
    advice.push_back(retry_after);
  }
  void fail(RequestId r) override { actions.push_back({Did::kFail, now, r, {}, {}, 0}); }
  void hold(WorkerId w, FunctionId f, int n) override { actions.push_back({Did::kHold, now, {}, w, f, n}); }
  void release(WorkerId w, FunctionId f) override { actions.push_back({Did::kRelease, now, {}, w, f, 0}); }
  void probe(WorkerId w) override { actions.push_back({Did::kProbe, now, {}, w, {}, 0}); }
  void start_timer(Duration delay, TimerToken token) override {
    timers.emplace_back(now + std::max<Duration>(delay, 1ms), token);
  }
  void subscribe(bool on) override { actions.push_back({Did::kSubscribe, now, {}, {}, {}, on ? 1 : 0}); }
  void fetch_list() override { actions.push_back({Did::kFetch, now, {}, {}, {}, 0}); }
  void send_to_peer(std::optional<std::uint32_t>, std::span<const std::byte>) override {
    actions.push_back({Did::kTell, now, {}, {}, {}, 0});
  }
  void log(std::string_view line) override { lines.emplace_back(line); }

  Time now;
  std::vector<Action> actions;
  std::vector<std::string> lines;
  std::vector<Duration> advice;  // of each refusal
  std::vector<std::pair<Time, TimerToken>> timers;
  std::uint64_t version = 0;
  std::uint32_t last_request = 0;
  Dispatcher dispatcher;

 private:
  std::size_t attempt_of(const Action& sent) const {
    const auto sends = sends_of(sent.request);
    return static_cast<std::size_t>(std::find(sends.begin(), sends.end(), sent) - sends.begin());
  }
};

}  // namespace laureltide::test
