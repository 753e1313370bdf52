// The judge sees each break in a tape that has it, and none in one that has not.
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

struct Tape {
  std::vector<json> lines;
  Tape& add(double t, const char* what, json fields) {
    fields["t"] = t * 1e9, fields["e"] = what;
    lines.push_back(std::move(fields));
    return *this;
  }
  // A call as it should go: sent, confirmed, given to a gateway, run at a worker, answered.
  Tape& call(const std::string& name, const std::string& c, double t, const char* outcome = "served") {
    add(t, "sent", {{"call", name}, {"class", c}, {"function", "f"}, {"patience_ms", 3000}});
    add(t + 0.01, "confirmed", {{"call", name}});
    return given(name, t + 0.02)
        .attempt(name, 1, 0, t + 0.03)
        .ran(name, 1, t + 0.04)
        .answered(name, 1, 0, t + 0.1, "ok")
        .published(name, t + 0.11)
        .answer(name, t + 0.12, outcome);
  }
  Tape& given(const std::string& name, double t, const char* to = "gw-0") {
    return add(t, "delivered", {{"call", name}, {"to", to}, {"queue", "calls"}});
  }
  Tape& attempt(const std::string& name, int worker, int number, double t) {
    return add(
        t, "call",
        {{"call", name}, {"worker", worker}, {"attempt", number}, {"from", "gw-0"}, {"function", "f"}});
  }
  Tape& ran(const std::string& name, int worker, double t) {
    return add(t, "ran", {{"call", name}, {"worker", worker}});
  }
  Tape& answered(const std::string& name, int worker, int number, double t, const char* kind) {
    return add(t, "answered", {{"call", name}, {"worker", worker}, {"attempt", number}, {"kind", kind}});
  }
  Tape& published(const std::string& name, double t) {
    return add(t, "published", {{"correlation", name}, {"exchange", ""}, {"by", "gw-0"}});
  }
  Tape& answer(const std::string& name, double t, const char* outcome = "served") {
    return add(t, "answer", {{"call", name}, {"outcome", outcome}});
  }
  std::vector<int> breaks(Rules r = rules()) const {
    std::vector<int> all;
    for (const Break& b : judge(r, lines).breaks) all.push_back(b.rule);
    return all;
  }
};
using Rule = std::vector<int>;

TEST(Judge, AGoodTapeIsKept) {
  Tape t;
  t.call("a", "once", 1).call("b", "keyed", 2).call("c", "safe", 3);
  EXPECT_EQ(t.breaks(), Rule{});
  const Verdict v = judge(rules(), t.lines);
  EXPECT_EQ(v.classes.at("once").served, 1U);
  EXPECT_EQ(v.report()["kept"], true);
}

TEST(Judge, Rule1) {
  EXPECT_EQ(Tape().call("a", "once", 1).answer("a", 2).breaks(), Rule{1});  // two answers
  EXPECT_EQ(
      Tape().add(1, "sent", {{"call", "a"}, {"class", "safe"}, {"patience_ms", 100}}).given("a", 1).breaks(),
      Rule{1});
  EXPECT_EQ(Tape().add(1, "sent", {{"call", "a"}, {"class", "safe"}, {"patience_ms", 100}}).breaks(),
            Rule{});  // untaken
  EXPECT_EQ(Tape()
                .add(1, "sent", {{"call", "a"}, {"class", "safe"}})
                .given("a", 1)
                .add(2, "expired", {{"call", "a"}})
                .breaks(),
            Rule{});  // given back and expired at the broker
  Tape late;
  late.add(1, "sent", {{"call", "a"}, {"class", "safe"}, {"patience_ms", 100}})
      .given("a", 1)
      .answer("a", 1.7, "failed");
  EXPECT_EQ(late.breaks(), Rule{1});
  Tape deaf = late;  // the broker did not read: nothing could come out
  deaf.add(1, "deaf", {{"on", true}}).add(1.6, "deaf", {{"on", false}});
  EXPECT_EQ(deaf.breaks(), Rule{});
  EXPECT_EQ(Tape().call("a", "safe", 1).attempt("a", 2, 1, 2).breaks(), Rule{1});  // sent after its answer
  Tape made_up;
  made_up.add(1, "sent", {{"call", "a"}, {"class", "safe"}}).given("a", 1).answer("a", 1.1);
  EXPECT_EQ(made_up.breaks(), Rule{1});  // served, but nobody ran it
}

TEST(Judge, Rule2) {
  Tape twice;
  twice.call("a", "once", 1).ran("a", 2, 1.05);
  EXPECT_EQ(twice.breaks(), Rule{2});
  EXPECT_EQ(Tape().call("a", "once", 1, "refused").breaks(), Rule{2});  // refused, but it ran
  EXPECT_EQ(Tape().call("a", "safe", 1, "refused").breaks(), Rule{});
  auto second = [](const char* c, const char* kind, int worker, double at) {
    Tape t;
    t.add(1, "sent", {{"call", "a"}, {"class", c}, {"patience_ms", 9000}})
        .given("a", 1)
        .attempt("a", 1, 0, 1);
    if (*kind) t.answered("a", 1, 0, 1.1, kind);
    return t.attempt("a", worker, 1, at).ran("a", worker, at).answer("a", at + 0.1).breaks();
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

TEST(Judge, Rule3) {
  auto told = [](Tape& t, double at, const char* state, bool full = false) -> Tape& {
    return t.add(at, "told",
                 {{"to", "gw-0"}, {"full", full}, {"states", {{"1", state}}}, {"starts", json::object()}});
  };
  Tape t;
  told(t, 1, "draining").call("a", "safe", 1.5);
  EXPECT_EQ(t.breaks(), Rule{});
  t.call("b", "safe", 2.5);
  EXPECT_EQ(t.breaks(), Rule{3});
  Tape back;
  told(told(back, 1, "gone"), 2, "ready").call("a", "safe", 4);
  EXPECT_EQ(back.breaks(), Rule{});
  Tape order;
  told(order, 1, "gone").add(3, "hold", {{"worker", 1}, {"from", "gw-0"}, {"count", 1}});
  EXPECT_EQ(order.breaks(), Rule{3});
  Tape unnamed;
  told(unnamed, 1, "ready", true)
      .add(2, "told",
           {{"to", "gw-0"}, {"full", true}, {"states", json::object()}, {"starts", json::object()}});
  unnamed.call("a", "safe", 4);
  EXPECT_EQ(unnamed.breaks(), Rule{3});  // a full list without it
}

TEST(Judge, Rule4) {
  auto burst = [](int calls, bool knew) {
    Tape t;
    t.add(1, "started", {{"worker", 1}, {"cold", true}});
    t.add(knew ? 1.1 : 9, "told",
          {{"to", "gw-0"}, {"full", false}, {"states", {{"1", "ready"}}}, {"starts", {{"1", 5}}}});
    for (int i = 0; i < calls; ++i) t.call("c" + std::to_string(i), "safe", 1.5 + i * 0.01);
    return t.breaks();
  };
  EXPECT_EQ(burst(8, true), Rule{});
  EXPECT_EQ(burst(30, true), Rule{4});
  EXPECT_EQ(burst(30, false), Rule{});  // nobody had told the gateway of the start
}

TEST(Judge, Rule5) {
  auto orders = [](int n, int calls) {
    Tape t;
    for (int i = 0; i < calls; ++i) t.call("c" + std::to_string(i), "safe", 1);
    for (int i = 0; i < n; ++i) t.add(2 + i * 0.1, "hold", {{"worker", 1}, {"from", "gw-0"}, {"count", 1}});
    t.add(2, "hold", {{"worker", 1}, {"from", "gw-0"}, {"count", 0}});  // asking is no order
    return t.breaks();
  };
  EXPECT_EQ(orders(2, 0), Rule{});
  EXPECT_EQ(orders(3, 0), Rule{5});
  EXPECT_EQ(orders(4, 4), Rule{});
  EXPECT_EQ(orders(5, 4), Rule{5});
}

// Answers that may come again must be the same ones, by their own ids.
TEST(Judge, AnswersThatMayRepeatMustBeTheSame) {
  Rules lenient = rules();
  lenient.allow_repeated_answers = true;
  auto told = [](const char* id, const char* outcome) {
    return json{{"call", "a"}, {"outcome", outcome}, {"id", id}, {"bytes", 3}};
  };
  auto tape = [&](const char* id, const char* outcome) {
    Tape t;
    t.add(0, "sent", {{"call", "a"}, {"class", "safe"}, {"function", "f"}, {"patience_ms", 3000}});
    t.given("a", 0.01).attempt("a", 1, 0, 0.02).ran("a", 1, 0.03);
    t.add(0.1, "answer", told("a/1", "served")).add(0.2, "answer", told(id, outcome));
    return t;
  };
  EXPECT_TRUE(tape("a/1", "served").breaks(lenient).empty());
  EXPECT_EQ(tape("a/1", "served").breaks(), std::vector<int>{1});
  EXPECT_EQ(tape("a/1", "failed").breaks(lenient), std::vector<int>{1});
  EXPECT_EQ(tape("a/2", "served").breaks(lenient), std::vector<int>{1});
  EXPECT_EQ(tape("", "served").breaks(lenient), std::vector<int>{1});
}

// Workers know an HTTP call by the gateway's id; asked for again, it must be answered as it was.
TEST(Judge, NamedCallsAreFollowedAndAskedAgain) {
  auto tape = [](const char* again) {
    Tape t;
    t.add(0, "sent", {{"call", "a"}, {"class", "once"}, {"function", "f"}, {"patience_ms", 3000}});
    t.given("a", 0.01).attempt("0-id", 1, 0, 0.02).ran("0-id", 1, 0.03);
    t.add(0.1, "named", {{"call", "a"}, {"id", "0-id"}});
    t.add(0.1, "answer", {{"call", "a"}, {"outcome", "served"}, {"bytes", 3}});
    return t.add(0.2, "again", {{"call", "a"}, {"outcome", again}, {"bytes", 3}});
  };
  EXPECT_TRUE(tape("served").breaks().empty());
  EXPECT_EQ(tape("failed").breaks(), std::vector<int>{1});
  EXPECT_EQ(tape("served").ran("0-id", 2, 0.5).breaks(), std::vector<int>{2});
}

}  // namespace
}  // namespace laureltide::check
