// Tests the platform's binary frames and the controller's link to an invoker.
#include "platform/link.h"

#include <gtest/gtest.h>

#include "platform/carried_ids.h"
#include "sim/network.h"
#include "standin/platform.h"

namespace laureltide::platform {
namespace {

using namespace std::chrono_literals;
using standin::InjectedFault;
using standin::PlatformInvoker;
const io::Address kAddress{"127.0.0.1", 6565};
const std::string kFunction = "00000000000000aa";

// ---- Frames -------------------------------------------------------------------------------------------

TEST(PlatformFrame, MatchesDocumentedEncoding) {
  std::string out;
  write(out, kControllerMagic, Code::kCall, 0x0102030405060708, "123", "456789");
  const std::string head("\x4c\x41\x00\x03\x00\x00\x00\x06\x01\x02\x03\x04\x05\x06\x07\x08", 16);
  // cbf43926 is the standard CRC-32 check value, of "123456789".
  EXPECT_EQ(out, head + "123456789" + "\xcb\xf4\x39\x26");
}

TEST(PlatformFrame, NeedsMoreUntilLastByte) {
  std::string out;
  write(out, kInvokerMagic, Code::kOk, 7, "ahead=1", std::string("\0body", 5));
  for (std::size_t n = 0; n < out.size(); ++n)
    ASSERT_EQ(parse(std::string_view(out).substr(0, n), kInvokerMagic).kind, ParseResult::Kind::kNeedMore)
        << n;
  const ParseResult r = parse(out + "more", kInvokerMagic);
  ASSERT_EQ(r.kind, ParseResult::Kind::kFrame);
  EXPECT_EQ(r.size, out.size());
  EXPECT_EQ(r.frame.id, 7U);
  EXPECT_EQ(r.frame.body.size(), 5U);
}

TEST(PlatformFrame, RejectsFlippedBits) {
  std::string out;
  write(out, kInvokerMagic, Code::kOk, 7, "ahead=1", "body");
  for (std::size_t i = kHeaderBytes; i < out.size(); ++i) {
    std::string bad = out;
    bad[i] = static_cast<char>(bad[i] ^ 4);
    const ParseResult r = parse(bad, kInvokerMagic);
    EXPECT_EQ(r.kind, ParseResult::Kind::kBad) << i;
    EXPECT_EQ(r.id, 7U);
  }
  EXPECT_EQ(parse("H", kInvokerMagic).kind,
            ParseResult::Kind::kBad);  // at the first byte, before the header is complete
}

TEST(PlatformFrame, RejectsOversizedLengthAtHeader) {
  for (const auto& [fields, body] : {std::pair<int, unsigned>{0, 3'000'000'000U}, {60'000, 0U}}) {
    std::string head("\x6c\x61", 2);
    head += static_cast<char>(fields >> 8), head += static_cast<char>(fields & 255);
    for (int s = 24; s >= 0; s -= 8) head += static_cast<char>(body >> s);
    head += std::string(8, '\1');
    EXPECT_EQ(parse(head, kInvokerMagic).kind, ParseResult::Kind::kBad);
  }
}

TEST(PlatformFrame, ParsesFieldsAndIds) {
  EXPECT_EQ(field("a=1,load=x:1;y:2,a=3", "load"), "x:1;y:2");
  EXPECT_EQ(field("a=1,a=3", "a"), "1");
  EXPECT_FALSE(field("ab=1,=,x", "b"));
  EXPECT_EQ(parse_id("00000000000000ff"), 255U);
  EXPECT_EQ(id_text(255), "00000000000000ff");
  for (const char* bad : {"", "ff", "00000000000000FF", "0000000000000g00", "000000000000000000"})
    EXPECT_FALSE(parse_id(bad)) << bad;
}

// ---- Link ---------------------------------------------------------------------------------------------

struct LinkTest : testing::Test, worker::LinkEvents {
  LinkTest() { invoker.start(); }

  sim::Network net;
  PlatformInvoker invoker{net, {kAddress, 20ms, 50ms, 16, "active:7;cpu:0.61;odd:x;nobody:1"}};
  ConnectionBudget budget{0, 8, 2};
  LinkOptions options = [] {
    LinkOptions o;
    o.load = {{"active", LoadValue::kInHand}, {"cpu", LoadValue::kBusyCores}};
    o.reports_others_in_flight = true;
    return o;
  }();
  std::map<std::uint64_t, std::vector<CallEnd>> ends;
  std::map<std::uint64_t, std::vector<std::pair<Outcome, int>>> holds;
  std::map<std::uint64_t, std::vector<Outcome>> probes;
  int oddities = 0;
  bool in_link_call = false;  // during a call into the link, which must not report ends
  Link link{net, WorkerId{1}, kAddress, options, budget, *this};

  void on_call_end(WorkerId, std::uint64_t c, CallEnd end) override {
    EXPECT_FALSE(in_link_call);
    ends[c].push_back(std::move(end));
  }
  void on_piece(WorkerId, std::uint64_t, std::string) override { FAIL(); }
  void on_hold_end(WorkerId, std::uint64_t c, Outcome o, int n) override {
    EXPECT_FALSE(in_link_call);
    holds[c].emplace_back(o, n);
  }
  void on_probe_end(WorkerId, std::uint64_t c, Outcome o, LoadReport) override { probes[c].push_back(o); }
  void on_anomaly(WorkerId, const std::string&) override { ++oddities; }
  bool may_start_work(WorkerId) override { return worker_may_start_work; }
  bool may_be_sent(WorkerId, std::uint64_t cookie) override { return !withdrawn.contains(cookie); }
  bool worker_may_start_work = true;
  std::set<std::uint64_t> withdrawn;  // calls that may no longer be sent

  void call(std::uint64_t cookie, std::uint64_t id = 0) {
    worker::Call c;
    c.name = id_text(id ? id : 0x1000 + cookie), c.function = kFunction, c.request_class = "read",
    c.key = "k-1";
    c.patience_ms = 900;
    in_link_call = true;
    link.call(std::move(c), "body " + std::to_string(cookie), cookie);
    in_link_call = false;
  }
  void load(int instances = 4) {
    link.hold(kFunction, instances, 999'999);
    net.run_for(200ms);
    ASSERT_EQ(holds[999'999].size(), 1U);
  }
  Outcome outcome(std::uint64_t cookie) {
    EXPECT_EQ(ends[cookie].size(), 1U) << cookie;
    return ends[cookie].empty() ? Outcome::kTimeout : ends[cookie][0].outcome;
  }
};

// While the connection is being opened, the worker may have begun to drain.
TEST_F(LinkTest, DiscardsQueuedWorkIfWorkerMayNotStartIt) {
  link.hold(kFunction, 1, 1), link.hold(kFunction, 0, 2), link.probe(3);
  call(4), call(5);
  worker_may_start_work = false;
  net.run_for(200ms);
  EXPECT_EQ(outcome(4), Outcome::kNotRun);
  EXPECT_EQ(outcome(5), Outcome::kNotRun);
  ASSERT_EQ(holds[1].size(), 1U);
  EXPECT_EQ(holds[1][0].first, Outcome::kFull);
  ASSERT_EQ(holds[2].size(), 1U);  // a query starts no work
  EXPECT_EQ(holds[2][0].first, Outcome::kOk);
  EXPECT_EQ(probes[3], std::vector<Outcome>{Outcome::kOk});
  EXPECT_TRUE(invoker.calls().empty());
  EXPECT_EQ(invoker.orders(), 1U);  // the query
  EXPECT_TRUE(link.idle());
}

TEST_F(LinkTest, DiscardsQueuedCallThatMayNoLongerBeSent) {
  call(1), call(2);
  withdrawn = {1};
  net.run_for(200ms);
  EXPECT_EQ(outcome(1), Outcome::kNotRun);
  EXPECT_EQ(outcome(2), Outcome::kMiss);
  ASSERT_EQ(invoker.calls().size(), 1U);
  EXPECT_EQ(invoker.calls()[0].body, "body 2");
}

TEST_F(LinkTest, ReportsCallAnswer) {
  load();
  call(1);
  net.run_for(100ms);
  EXPECT_EQ(outcome(1), Outcome::kOk);
  const CallEnd& end = ends[1][0];
  EXPECT_EQ(end.body, "answer to body 1");
  EXPECT_EQ(end.others_in_flight, 2);
  EXPECT_EQ(end.report.in_progress, 7.0F);
  EXPECT_EQ(end.report.busy_cores, 0.61F);
  EXPECT_FALSE(end.report.loads);
  ASSERT_EQ(invoker.calls().size(), 1U);
  EXPECT_EQ(invoker.calls()[0].fields, "c=read,k=" + kFunction + ",w=900,i=k-1");
  EXPECT_TRUE(link.idle());
}

TEST_F(LinkTest, MapsEachCodeToItsOutcome) {
  const std::pair<int, Outcome> codes[] = {
      {99, Outcome::kMiss}, {100, Outcome::kFull}, {101, Outcome::kError}, {102, Outcome::kNotRun}};
  std::uint64_t cookie = 1;
  for (const auto& [code, expected] : codes) {
    invoker.answer_all(static_cast<std::uint8_t>(code));
    call(cookie);
    net.run_for(50ms);
    EXPECT_EQ(outcome(cookie), expected) << code;
    ++cookie;
  }
}

TEST_F(LinkTest, ClosesConnectionOnUnexpectedCode) {
  invoker.answer_all(103);
  call(1);
  net.run_for(50ms);
  EXPECT_EQ(outcome(1), Outcome::kError);
  EXPECT_EQ(link.connections(), 0U);
}

TEST_F(LinkTest, AnswersOrdersAndProbes) {
  link.hold(kFunction, 2, 1), link.probe(2), link.hold(kFunction, 0, 3);
  net.run_for(200ms);
  EXPECT_EQ(holds[1], (std::vector{std::pair(Outcome::kOk, 2)}));
  EXPECT_EQ(probes[2], std::vector{Outcome::kOk});
  EXPECT_EQ(holds[3][0].first, Outcome::kOk);
  link.hold(kFunction, 99, 4);
  net.run_for(200ms);
  EXPECT_EQ(holds[4], (std::vector{std::pair(Outcome::kFull, 2)}));
  link.release(kFunction);
  net.run_for(50ms);
  EXPECT_EQ(invoker.unloads(), 1U);
}

// A malformed answer means that its call has run; calls on other connections are not affected.
TEST_F(LinkTest, ClosesOnlyTheConnectionOfMalformedAnswer) {
  load();
  const std::pair<InjectedFault, Outcome> table[] = {{InjectedFault::kBadChecksum, Outcome::kError},
                                                     {InjectedFault::kBadMagic, Outcome::kReset},
                                                     {InjectedFault::kOversized, Outcome::kError},
                                                     {InjectedFault::kTruncated, Outcome::kError},
                                                     {InjectedFault::kReset, Outcome::kError}};
  std::uint64_t cookie = 10;
  for (const auto& [spoil, expected] : table) {
    invoker.inject_fault(spoil);
    call(cookie), call(cookie + 1), call(cookie + 2);
    net.run_for(300ms);
    std::multiset<Outcome> met;  // connections are chosen in any order
    for (std::uint64_t c = cookie; c < cookie + 3; ++c) met.insert(outcome(c));
    EXPECT_EQ(met, (std::multiset{Outcome::kOk, Outcome::kOk, expected})) << static_cast<int>(spoil);
    cookie += 10;
  }
  EXPECT_TRUE(link.idle());
}

TEST_F(LinkTest, ReportsCallsOnMalformedConnectionAsMayHaveRun) {
  load();
  budget.limit = 0, budget.reserve = 1;  // one connection for all calls
  invoker.inject_fault(InjectedFault::kBadMagic);
  call(1), call(2), call(3);
  net.run_for(300ms);
  for (std::uint64_t c = 1; c <= 3; ++c) EXPECT_EQ(outcome(c), Outcome::kReset);
}

// A crash closes all connections of the invoker; a single lost connection only means a lost answer.
TEST_F(LinkTest, ReportsCrashWhenAllConnectionsClose) {
  load();
  call(1), call(2), call(3);
  net.run_for(15ms);
  invoker.stop();
  net.run_for(50ms);
  for (std::uint64_t c = 1; c <= 3; ++c) EXPECT_EQ(outcome(c), Outcome::kReset);
  EXPECT_TRUE(link.idle());
}

TEST_F(LinkTest, ForgetsCallOnLostConnection) {
  load();
  invoker.inject_fault(InjectedFault::kReset);
  call(1), call(2);
  net.run_until([&] { return link.connections() == 1; });
  link.forget_call(1), link.cancel(2);
  net.run_for(100ms);
  EXPECT_LE(ends[1].size() + ends[2].size(), 2U);
  EXPECT_TRUE(link.idle());
}

TEST_F(LinkTest, LearnsIdleLimitAndRelaxesIt) {
  load();
  invoker.reset_idle_connections(150ms);
  std::uint64_t cookie = 1;
  const auto failed_calls = [&](int rounds, Duration pause) {
    int n = 0;
    for (int i = 0; i < rounds; ++i) {
      call(cookie), call(cookie + 1);
      net.run_for(60ms);
      n += (outcome(cookie) != Outcome::kOk) + (outcome(cookie + 1) != Outcome::kOk);
      cookie += 2;
      net.run_for(pause);
    }
    return n;
  };
  EXPECT_GE(failed_calls(2, 300ms), 1);
  EXPECT_EQ(failed_calls(20, 300ms), 0);  // each pause exceeds the invoker's limit
  EXPECT_LT(link.idle_limit(), 300ms);
  invoker.reset_idle_connections(0ms);
  net.run_for(10min);
  EXPECT_EQ(link.idle_limit(), options.idle_timeout);
}

// Connections can also be reset by chance. A connection that survived a longer idle time tells the two apart.
TEST_F(LinkTest, DoesNotLearnIdleLimitFromRandomReset) {
  load();
  call(1);
  net.run_for(500ms);
  call(2);
  net.run_for(300ms);
  EXPECT_EQ(outcome(2), Outcome::kOk);
  invoker.reset_idle_connections(100ms);
  call(3);
  net.run_for(60ms);
  EXPECT_NE(outcome(3), Outcome::kOk);
  EXPECT_EQ(link.idle_limit(), options.idle_timeout);
}

TEST_F(LinkTest, WithdrawsQueuedCalls) {
  call(1), call(2);
  link.hold(kFunction, 1, 7);
  link.withdraw(1);
  EXPECT_TRUE(ends.empty());  // never from within a call into the link
  EXPECT_FALSE(link.idle());
  EXPECT_TRUE(link.forget_call(2));  // nothing of it had been sent
  link.withdraw_waiting();
  net.run_for(200ms);
  EXPECT_EQ(outcome(1), Outcome::kNotRun);
  EXPECT_TRUE(ends[2].empty());
  ASSERT_EQ(holds[7].size(), 1U);
  EXPECT_EQ(holds[7][0].first, Outcome::kFull);
  EXPECT_TRUE(invoker.calls().empty());
  EXPECT_EQ(invoker.orders(), 0U);
  EXPECT_TRUE(link.idle());
  call(3);
  net.run_for(1ms);
  link.withdraw(3);  // already sent, so its answer is awaited
  EXPECT_FALSE(link.forget_call(3));
}

TEST_F(LinkTest, IgnoresDuplicateAndUnknownAnswers) {
  load();
  invoker.inject_fault(InjectedFault::kDuplicate), invoker.inject_fault(InjectedFault::kUnknownIdFirst);
  call(1);
  net.run_for(100ms);
  call(2);
  net.run_for(100ms);
  EXPECT_EQ(outcome(1), Outcome::kOk);
  EXPECT_EQ(outcome(2), Outcome::kOk);
  EXPECT_EQ(ends[2][0].body, "answer to body 2");
  EXPECT_EQ(oddities, 2);
}

TEST_F(LinkTest, ClosesConnectionAfterTooManyUnexpectedAnswers) {
  options.max_unexpected_answers = 3;
  load();
  invoker.inject_fault(InjectedFault::kDuplicate, 4);
  for (std::uint64_t c = 1; c <= 4; ++c) call(c), net.run_for(100ms);
  EXPECT_EQ(link.connections(), 0U);
}

TEST_F(LinkTest, RetiresConnectionOfUnansweredCall) {
  load();
  invoker.inject_fault(InjectedFault::kNoAnswer);
  call(1);
  net.run_for(100ms);
  const std::size_t before = link.connections();
  link.forget_call(1);
  net.run_for(10ms);
  EXPECT_EQ(link.connections(), before - 1);
  EXPECT_EQ(invoker.connections(), before - 1);  // closing it cancels what is open there
  EXPECT_TRUE(ends[1].empty());                  // forgotten, so no end is reported
}

TEST_F(LinkTest, AvoidsUnresponsiveConnectionButKeepsItsCalls) {
  load();
  invoker.inject_fault(InjectedFault::kNoAnswer);
  call(1);
  net.run_for(options.unresponsive_after + 100ms);
  const std::size_t before = link.connections();
  call(2);
  net.run_for(100ms);
  EXPECT_EQ(outcome(2), Outcome::kOk);
  EXPECT_EQ(link.connections(), before + 1);
  EXPECT_FALSE(link.idle());  // the first answer may still come
}

TEST_F(LinkTest, ReportsConnectFailedWhenDialFails) {
  invoker.stop();
  net.run_for(10ms);
  call(1), link.hold(kFunction, 1, 2);
  net.run_for(10ms);
  EXPECT_EQ(outcome(1), Outcome::kConnectFailed);
  EXPECT_EQ(holds[2], (std::vector{std::pair(Outcome::kConnectFailed, 0)}));
}

TEST_F(LinkTest, GivesUpDialAfterTimeout) {
  net.set_silent(kAddress, true);
  call(1);
  net.run_for(options.dial_timeout + 5ms);
  EXPECT_EQ(outcome(1), Outcome::kConnectFailed);
  EXPECT_EQ(budget.open, 0U);
}

TEST_F(LinkTest, ReportsCancelBeforeConnectAsNeverRun) {
  call(1);
  link.cancel(1);
  net.run_for(100ms);
  EXPECT_EQ(outcome(1), Outcome::kNotRun);
  EXPECT_TRUE(invoker.calls().empty());
}

TEST_F(LinkTest, CancelsAtInvokerAndIgnoresLateAnswer) {
  load();
  call(1);
  net.run_for(10ms);
  link.cancel(1);
  net.run_for(100ms);
  EXPECT_EQ(outcome(1), Outcome::kCancelled);
  EXPECT_TRUE(invoker.calls()[0].cancelled);
}

TEST_F(LinkTest, EndsCallOnceWhenCancelRacesAnswer) {
  load();
  call(1);
  net.run_until([&] { return invoker.calls().size() == 1; });
  net.run_for(20ms - 10us);
  link.cancel(1);
  net.run_for(100ms);
  EXPECT_EQ(ends[1].size(), 1U);
}

TEST_F(LinkTest, SendsSecondAttemptOnAnotherConnection) {
  load();
  call(1, 77), call(2, 77);  // two attempts with one id at one invoker
  net.run_for(100ms);
  EXPECT_EQ(outcome(1), Outcome::kOk);
  EXPECT_EQ(outcome(2), Outcome::kOk);
  EXPECT_EQ(ends[2][0].body, "answer to body 2");
}

TEST_F(LinkTest, DoesNotTakeDuplicateAnswerForNextAttempt) {
  load();
  invoker.refuse_first(99);
  invoker.duplicate_at_next_attempt(true);
  call(1, 77);
  net.run_for(50ms);
  EXPECT_EQ(outcome(1), Outcome::kMiss);
  call(2, 77);
  net.run_for(100ms);
  EXPECT_EQ(outcome(2), Outcome::kOk);
  EXPECT_EQ(invoker.duplicates_sent(), 1U);
}

TEST_F(LinkTest, NeverReusesIdOnConnectionWhenBudgetIsTight) {
  budget.limit = 1, budget.reserve = 0;
  invoker.answer_all(99);
  call(1, 77);
  net.run_for(50ms);
  EXPECT_EQ(outcome(1), Outcome::kMiss);
  const std::size_t made = invoker.connections_made();
  call(2, 77);  // the idle connection has carried the id and is replaced
  net.run_for(50ms);
  EXPECT_EQ(outcome(2), Outcome::kMiss);
  EXPECT_EQ(invoker.connections_made(), made + 1);
  invoker.answer_all(0);
  load();
  call(3, 78);
  net.run_for(1ms);
  call(4, 77);  // the only connection has carried the id and is in use
  net.run_for(100ms);
  EXPECT_EQ(outcome(3), Outcome::kOk);
  EXPECT_EQ(outcome(4), Outcome::kFull);
  EXPECT_EQ(invoker.calls().size(), 3U);
}

TEST_F(LinkTest, ReplacesConnectionThatCarriedMaxIds) {
  load();
  const std::size_t made = invoker.connections_made();
  for (std::uint64_t c = 1; c <= CarriedIds::kCapacity + 10; ++c) {
    call(c);
    net.run_for(25ms);
    ASSERT_EQ(outcome(c), Outcome::kOk);
  }
  EXPECT_EQ(invoker.connections_made(), made + 1);
  EXPECT_EQ(link.connections(), 1U);
}

TEST_F(LinkTest, EndsCallAsFullBeyondConnectionBudget) {
  load();
  options.streams = 2;
  budget.limit = 3, budget.reserve = 0;
  for (std::uint64_t c = 1; c <= 8; ++c) call(c);
  net.run_for(200ms);
  EXPECT_LE(budget.open, 3U);
  int full = 0;
  for (std::uint64_t c = 1; c <= 8; ++c) full += outcome(c) == Outcome::kFull;
  EXPECT_EQ(full, 2);  // three connections with two streams each
  EXPECT_EQ(invoker.calls().size(), 6U);
}

// An order answered full means that the worker has no memory, or drains: not that this link has no
// connection.
TEST_F(LinkTest, OrderBeyondConnectionBudgetEndsAsNotRun) {
  budget.limit = 0, budget.reserve = 0;
  link.hold(kFunction, 1, 1), link.hold(kFunction, 0, 2);
  net.run_for(200ms);
  EXPECT_EQ(holds[1], (std::vector{std::pair(Outcome::kNotRun, 0)}));
  EXPECT_EQ(holds[2], (std::vector{std::pair(Outcome::kNotRun, 0)}));
}

TEST_F(LinkTest, ClosesIdleConnectionsAfterTimeout) {
  load();
  call(1), call(2);
  net.run_for(100ms);
  EXPECT_GT(budget.open, 0U);
  net.run_for(options.idle_timeout + 1s);
  EXPECT_EQ(budget.open, 0U);
  EXPECT_EQ(link.connections(), 0U);
}

}  // namespace
}  // namespace laureltide::platform
