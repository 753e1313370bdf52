// The checker reports each violation in a recording that has one, and none in a valid recording.
#include "check/judge.h"

#include <gtest/gtest.h>

namespace laureltide::check {
namespace {

using nlohmann::json;

Rules rules() {
  Rules r;
  r.classes["once"] = {"once", "all", 0, 0.1};
  r.classes["keyed"] = {"keyed", "cell", 2, 0.1};
  r.classes["safe"] = {"repeatable", "all", 0, 0.1};
  r.class_of_function = {{"f", "safe"}};
  r.rack_of_worker = {{"1", "a"}, {"2", "a"}, {"3", "b"}};
  r.cold_capacity_share = 0.2, r.cold_for_s = 10, r.overload_multiple = 2, r.worker_cores = 2;
  r.order_window_s = 5, r.order_floor = 2, r.orders_per_call = 0.5;
  return r;
}

struct Recording {
  std::vector<json> events;
  Recording& add(double t, const char* what, json fields) {
    fields["t"] = t * 1e9, fields["e"] = what;
    events.push_back(std::move(fields));
    return *this;
  }
  // A valid call: sent, confirmed, delivered to a gateway, run by a worker, answered.
  Recording& call(const std::string& name, const std::string& c, double t, const char* outcome = "served") {
    add(t, "sent", {{"call", name}, {"class", c}, {"function", "f"}, {"patience_ms", 3000}});
    add(t + 0.01, "confirmed", {{"call", name}});
    return given(name, t + 0.02)
        .attempt(name, 1, 0, t + 0.03)
        .ran(name, 1, t + 0.04)
        .answered(name, 1, 0, t + 0.1, "ok")
        .published(name, t + 0.11)
        .answer(name, t + 0.12, outcome);
  }
  Recording& given(const std::string& name, double t, const char* to = "gw-0") {
    return add(t, "delivered", {{"call", name}, {"to", to}, {"queue", "calls"}});
  }
  Recording& attempt(const std::string& name, int worker, int number, double t) {
    return add(
        t, "call",
        {{"call", name}, {"worker", worker}, {"attempt", number}, {"from", "gw-0"}, {"function", "f"}});
  }
  Recording& ran(const std::string& name, int worker, double t) {
    return add(t, "ran", {{"call", name}, {"worker", worker}});
  }
  Recording& answered(const std::string& name, int worker, int number, double t, const char* kind) {
    return add(t, "answered", {{"call", name}, {"worker", worker}, {"attempt", number}, {"kind", kind}});
  }
  Recording& published(const std::string& name, double t) {
    return add(t, "published", {{"correlation", name}, {"exchange", ""}, {"by", "gw-0"}});
  }
  Recording& answer(const std::string& name, double t, const char* outcome = "served") {
    return add(t, "answer", {{"call", name}, {"outcome", outcome}});
  }
  std::vector<int> violations(Rules r = rules()) const {
    std::vector<int> all;
    for (const Violation& b : judge(r, events).violations) all.push_back(b.rule);
    return all;
  }
};
using Rule = std::vector<int>;

TEST(Judge, AcceptsValidRecording) {
  Recording t;
  t.call("a", "once", 1).call("b", "keyed", 2).call("c", "safe", 3);
  EXPECT_EQ(t.violations(), Rule{});
  const Verdict v = judge(rules(), t.events);
  EXPECT_EQ(v.classes.at("once").served, 1U);
  EXPECT_EQ(v.report()["kept"], true);
}

TEST(Judge, Rule1ReportsMissingLateAndDuplicateAnswers) {
  EXPECT_EQ(Recording().call("a", "once", 1).answer("a", 2).violations(), Rule{1});  // two answers
  EXPECT_EQ(Recording()
                .add(1, "sent", {{"call", "a"}, {"class", "safe"}, {"patience_ms", 100}})
                .given("a", 1)
                .violations(),
            Rule{1});
  EXPECT_EQ(Recording().add(1, "sent", {{"call", "a"}, {"class", "safe"}, {"patience_ms", 100}}).violations(),
            Rule{});  // no gateway took it
  EXPECT_EQ(Recording()
                .add(1, "sent", {{"call", "a"}, {"class", "safe"}})
                .given("a", 1)
                .add(2, "expired", {{"call", "a"}})
                .violations(),
            Rule{});  // returned to the broker and expired there
  Recording late;
  late.add(1, "sent", {{"call", "a"}, {"class", "safe"}, {"patience_ms", 100}})
      .given("a", 1)
      .answer("a", 1.7, "failed");
  EXPECT_EQ(late.violations(), Rule{1});
  Recording deaf = late;  // the broker read nothing, so no answer could be delivered
  deaf.add(1, "deaf", {{"on", true}}).add(1.6, "deaf", {{"on", false}});
  EXPECT_EQ(deaf.violations(), Rule{});
  EXPECT_EQ(Recording().call("a", "safe", 1).attempt("a", 2, 1, 2).violations(),
            Rule{1});  // sent after its answer
  Recording made_up;
  made_up.add(1, "sent", {{"call", "a"}, {"class", "safe"}}).given("a", 1).answer("a", 1.1);
  EXPECT_EQ(made_up.violations(), Rule{1});  // served, but no worker ran it
}

TEST(Judge, Rule2ReportsRepeatedEffects) {
  Recording twice;
  twice.call("a", "once", 1).ran("a", 2, 1.05);
  EXPECT_EQ(twice.violations(), Rule{2});
  EXPECT_EQ(Recording().call("a", "once", 1, "refused").violations(), Rule{2});  // refused, but it ran
  EXPECT_EQ(Recording().call("a", "safe", 1, "refused").violations(), Rule{});
  auto second = [](const char* c, const char* kind, int worker, double at) {
    Recording t;
    t.add(1, "sent", {{"call", "a"}, {"class", c}, {"patience_ms", 9000}})
        .given("a", 1)
        .attempt("a", 1, 0, 1);
    if (*kind) t.answered("a", 1, 0, 1.1, kind);
    return t.attempt("a", worker, 1, at).ran("a", worker, at).answer("a", at + 0.1).violations();
  };
  EXPECT_EQ(second("once", "full", 2, 2), Rule{});
  EXPECT_EQ(second("once", "miss", 2, 2), Rule{});
  EXPECT_EQ(second("once", "error", 2, 2), Rule{2});
  EXPECT_EQ(second("once", "", 2, 2), Rule{2});
  EXPECT_EQ(second("keyed", "", 2, 2), Rule{});     // same rack, within the window
  EXPECT_EQ(second("keyed", "", 3, 2), Rule{2});    // another rack
  EXPECT_EQ(second("keyed", "", 2, 3.6), Rule{2});  // too late
  EXPECT_EQ(second("safe", "", 3, 5), Rule{});
}

TEST(Judge, Rule3ReportsSendsToDrainingWorkers) {
  auto told = [](Recording& t, double at, const char* state, bool full = false) -> Recording& {
    return t.add(at, "told",
                 {{"to", "gw-0"}, {"full", full}, {"states", {{"1", state}}}, {"starts", json::object()}});
  };
  Recording t;
  told(t, 1, "draining").call("a", "safe", 1.5);
  EXPECT_EQ(t.violations(), Rule{});
  t.call("b", "safe", 2.5);
  EXPECT_EQ(t.violations(), Rule{3});
  Recording back;
  told(told(back, 1, "gone"), 2, "ready").call("a", "safe", 4);
  EXPECT_EQ(back.violations(), Rule{});
  Recording order;
  told(order, 1, "gone").add(3, "hold", {{"worker", 1}, {"from", "gw-0"}, {"count", 1}});
  EXPECT_EQ(order.violations(), Rule{3});
  Recording unnamed;
  told(unnamed, 1, "ready", true)
      .add(2, "told",
           {{"to", "gw-0"}, {"full", true}, {"states", json::object()}, {"starts", json::object()}});
  unnamed.call("a", "safe", 4);
  EXPECT_EQ(unnamed.violations(), Rule{3});  // a full list that omits it
}

TEST(Judge, Rule4ReportsOverloadOfColdWorkers) {
  auto burst = [](int calls, bool knew) {
    Recording t;
    t.add(1, "started", {{"worker", 1}, {"cold", true}});
    t.add(knew ? 1.1 : 9, "told",
          {{"to", "gw-0"}, {"full", false}, {"states", {{"1", "ready"}}}, {"starts", {{"1", 5}}}});
    for (int i = 0; i < calls; ++i) t.call("c" + std::to_string(i), "safe", 1.5 + i * 0.01);
    return t.violations();
  };
  EXPECT_EQ(burst(8, true), Rule{});
  EXPECT_EQ(burst(30, true), Rule{4});
  EXPECT_EQ(burst(30, false), Rule{});  // the gateway had not been notified of the start
}

TEST(Judge, Rule5ReportsExcessLoadOrders) {
  auto orders = [](int n, int calls) {
    Recording t;
    for (int i = 0; i < calls; ++i) t.call("c" + std::to_string(i), "safe", 1);
    for (int i = 0; i < n; ++i) t.add(2 + i * 0.1, "hold", {{"worker", 1}, {"from", "gw-0"}, {"count", 1}});
    t.add(2, "hold", {{"worker", 1}, {"from", "gw-0"}, {"count", 0}});  // count 0 is a query, not an order
    return t.violations();
  };
  EXPECT_EQ(orders(2, 0), Rule{});
  EXPECT_EQ(orders(3, 0), Rule{5});
  EXPECT_EQ(orders(4, 4), Rule{});
  EXPECT_EQ(orders(5, 4), Rule{5});
}

// Repeated answers must be identical and have the same answer id.
TEST(Judge, RepeatedAnswersMustBeIdentical) {
  Rules lenient = rules();
  lenient.allow_repeated_answers = true;
  auto told = [](const char* id, const char* outcome) {
    return json{{"call", "a"}, {"outcome", outcome}, {"id", id}, {"bytes", 3}};
  };
  auto tape = [&](const char* id, const char* outcome) {
    Recording t;
    t.add(0, "sent", {{"call", "a"}, {"class", "safe"}, {"function", "f"}, {"patience_ms", 3000}});
    t.given("a", 0.01).attempt("a", 1, 0, 0.02).ran("a", 1, 0.03);
    t.add(0.1, "answer", told("a/1", "served")).add(0.2, "answer", told(id, outcome));
    return t;
  };
  EXPECT_TRUE(tape("a/1", "served").violations(lenient).empty());
  EXPECT_EQ(tape("a/1", "served").violations(), std::vector<int>{1});
  EXPECT_EQ(tape("a/1", "failed").violations(lenient), std::vector<int>{1});
  EXPECT_EQ(tape("a/2", "served").violations(lenient), std::vector<int>{1});
  EXPECT_EQ(tape("", "served").violations(lenient), std::vector<int>{1});
}

// Workers record an HTTP call by the gateway's id; a repeated request must get the same answer.
TEST(Judge, ResolvesCallIdsAndChecksRepeatedRequests) {
  auto tape = [](const char* again) {
    Recording t;
    t.add(0, "sent", {{"call", "a"}, {"class", "once"}, {"function", "f"}, {"patience_ms", 3000}});
    t.given("a", 0.01).attempt("0-id", 1, 0, 0.02).ran("0-id", 1, 0.03);
    t.add(0.1, "named", {{"call", "a"}, {"id", "0-id"}});
    t.add(0.1, "answer", {{"call", "a"}, {"outcome", "served"}, {"bytes", 3}});
    return t.add(0.2, "again", {{"call", "a"}, {"outcome", again}, {"bytes", 3}});
  };
  EXPECT_TRUE(tape("served").violations().empty());
  EXPECT_EQ(tape("failed").violations(), std::vector<int>{1});
  EXPECT_EQ(tape("served").ran("0-id", 2, 0.5).violations(), std::vector<int>{2});
}

}  // namespace
}  // namespace laureltide::check
