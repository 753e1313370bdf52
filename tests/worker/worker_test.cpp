// Tests the worker protocol: encoding, the controller's side (Link) and the worker's side (Session).
#include <gtest/gtest.h>

#include <random>

#include "sim/network.h"
#include "worker/link.h"
#include "worker/server.h"

namespace laureltide::worker {
namespace {

using namespace std::chrono_literals;
const io::Address kAt{"127.0.0.1", 7101};

std::vector<Message> every_message() {
  Report report{{{1, 2.5F}, {200, 1.0F}}};
  return {Hello{1, 0, 4096, 7, 1700000000000, "w7"},
          Call{1, 500, 2, "echo", "call-1", "key", "volta", "body"},
          Cancel{1},
          Answer{1, AnswerKind::kMiss, FoundKind::kLoadFailed, 3, report, "its load failed", ""},
          Answer{2, AnswerKind::kOk, FoundKind::kLoaded, kOthersNotReported, {}, "", "result"},
          Piece{1, "part"},
          Hold{9, 2, "echo"},
          Held{9, HeldKind::kFull, 1},
          Release{"echo"},
          Probe{4},
          Probed{4, report},
          Drain{17},
          Error{2, "too large"}};
}

TEST(WorkerProtocol, EveryMessageRoundTripsAndNeedsItsLastByte) {
  for (const Message& m : every_message()) {
    std::string bytes, rewritten;
    write(bytes, m);
    for (std::size_t n = 0; n < bytes.size(); ++n)
      ASSERT_EQ(parse(std::string_view(bytes).substr(0, n), 4096).kind, ParseResult::Kind::kNeedMore) << n;
    const ParseResult r = parse(bytes, 4096);
    ASSERT_EQ(r.kind, ParseResult::Kind::kMessage) << m.index();
    EXPECT_EQ(r.size, bytes.size());
    write(rewritten, r.message);
    EXPECT_EQ(bytes, rewritten);
  }
}

TEST(WorkerProtocol, RejectsMalformedFrames) {
  for (const Message& m : every_message()) {
    std::string bytes;
    write(bytes, m);
    std::string wrong_length = bytes;  // one byte shorter than its fields need, or one longer than they take
    wrong_length[3] = static_cast<char>(wrong_length[3] - 1);
    const bool open_ended = std::holds_alternative<Call>(m) || std::holds_alternative<Answer>(m) ||
                            std::holds_alternative<Piece>(m) || std::holds_alternative<Hello>(m);
    if (!open_ended) {
      EXPECT_EQ(parse(wrong_length, 4096).kind, ParseResult::Kind::kBad) << m.index();
    }
    EXPECT_EQ(parse(bytes, static_cast<std::uint32_t>(bytes.size() - 5)).kind, ParseResult::Kind::kBad);
    EXPECT_EQ(parse(bytes, static_cast<std::uint32_t>(bytes.size() - 4)).kind, ParseResult::Kind::kMessage);
  }
  EXPECT_EQ(parse(std::string("\0\0\0\0", 4), 10).kind, ParseResult::Kind::kBad);
  EXPECT_EQ(parse("GET / HTTP/1.1", kHelloMaxFrame).kind, ParseResult::Kind::kBad);
  EXPECT_EQ(parse(std::string("\0\0\0\7\x63", 5), 100).kind,
            ParseResult::Kind::kBad);  // rejected at its type byte
}

TEST(WorkerProtocol, ParserSurvivesRandomBytes) {
  std::mt19937 random(3);
  for (int i = 0; i < 30000; ++i) {
    std::string noise(5 + random() % 60, '\0');
    for (char& c : noise) c = static_cast<char>(random());
    noise[0] = noise[1] = noise[2] = 0, noise[3] = static_cast<char>(noise.size() - 4);
    noise[4] = static_cast<char>(1 + random() % 12);
    parse(noise, 4096);
  }
}

struct End {
  std::uint64_t cookie;
  Outcome outcome;
};
struct Events : LinkEvents {
  std::vector<End> calls, holds, probes;
  std::vector<std::string> anomalies, pieces;
  void on_call_end(WorkerId, std::uint64_t c, CallEnd e) override { calls.push_back({c, e.outcome}); }
  void on_piece(WorkerId, std::uint64_t, std::string b) override { pieces.push_back(std::move(b)); }
  void on_hold_end(WorkerId, std::uint64_t c, Outcome o, int) override { holds.push_back({c, o}); }
  void on_probe_end(WorkerId, std::uint64_t c, Outcome o, LoadReport) override { probes.push_back({c, o}); }
  void on_anomaly(WorkerId, const std::string& what) override { anomalies.push_back(what); }
  bool may_start_work(WorkerId) override { return may_start; }
  bool may_be_sent(WorkerId, std::uint64_t cookie) override { return cookie != unsendable_cookie; }
  bool may_start = true;
  std::uint64_t unsendable_cookie = 0;  // the call that may no longer be sent
  std::optional<Outcome> call(std::uint64_t cookie) const {
    std::optional<Outcome> found;
    for (const End& e : calls)
      if (e.cookie == cookie) {
        EXPECT_FALSE(found) << "two ends";
        found = e.outcome;
      }
    return found;
  }
};

// A worker that acts only on the test's commands.
struct ScriptedWorker : SessionEvents {
  sim::Network& net;
  std::unique_ptr<io::Listener> listener;
  std::vector<std::unique_ptr<Session>> sessions;
  std::vector<Message> messages;
  std::uint32_t id = 1;
  explicit ScriptedWorker(sim::Network& n) : net(n) { listen(); }
  void listen() {
    listener = net.listen(kAt, {}, [this](std::unique_ptr<io::Connection> c) {
      Hello h;
      h.id = id, h.max_frame = 5000;
      sessions.push_back(std::make_unique<Session>(net, h, *this));
      sessions.back()->attach(std::move(c));
      return sessions.back().get();
    });
  }
  Session& last() { return *sessions.back(); }
  void on_hello(Session&, const Hello&) override {}
  void on_message(Session&, Message m) override { messages.push_back(std::move(m)); }
  void on_end(Session&) override {}
  std::size_t calls() const {
    return static_cast<std::size_t>(std::count_if(messages.begin(), messages.end(),
                                                  [](auto& m) { return std::holds_alternative<Call>(m); }));
  }
};

struct LinkTest : testing::Test {
  sim::Network net;
  Events events;
  ScriptedWorker worker{net};
  Link link{net, WorkerId{1}, kAt, {}, events};
  void call(std::uint64_t cookie, const std::string& body = "b") {
    Call c;
    c.function = "echo", c.name = "n" + std::to_string(cookie);
    link.call(c, body, cookie);
  }
  void answer(std::uint64_t id, AnswerKind kind = AnswerKind::kOk) {
    Answer a;
    a.id = id, a.kind = kind;
    worker.last().send(a);
  }
};

TEST_F(LinkTest, FailedConnectReportsThatNothingRan) {
  worker.listener.reset();
  call(1);
  link.hold("echo", 1, 2);
  link.probe(3);
  net.run_for(2s);
  EXPECT_EQ(events.call(1), Outcome::kConnectFailed);
  ASSERT_EQ(events.holds.size(), 1U);
  EXPECT_EQ(events.holds[0].outcome, Outcome::kConnectFailed);
  EXPECT_EQ(events.probes.size(), 1U);
}

TEST_F(LinkTest, MissingHelloIsAFailedConnect) {
  net.set_silent(kAt, true);
  call(1);
  net.run_for(300ms);
  EXPECT_EQ(events.call(1), Outcome::kConnectFailed);
}

TEST_F(LinkTest, SentCallsMayHaveRunAfterAReset) {
  call(1);
  net.run_for(10ms);
  call(2);
  net.break_connections(kAt);  // the second may not have arrived, which counts as "may have run"
  net.run_for(10ms);
  EXPECT_EQ(events.call(1), Outcome::kReset);
  EXPECT_EQ(events.call(2), Outcome::kReset);
  call(3);  // dials again
  net.run_for(10ms);
  answer(1);
  net.run_for(10ms);
  EXPECT_EQ(events.call(3), Outcome::kOk);
}

TEST_F(LinkTest, EachCallInFlightEndsOnceWhenTheConnectionBreaks) {
  for (std::uint64_t i = 1; i <= 200; ++i) call(i);
  ASSERT_TRUE(net.run_until([&] { return worker.calls() == 200; }));
  net.break_connections(kAt);
  net.run_for(10ms);
  EXPECT_EQ(events.calls.size(), 200U);
  for (std::uint64_t i = 1; i <= 200; ++i) EXPECT_EQ(events.call(i), Outcome::kReset) << i;
  EXPECT_TRUE(link.idle());
  call(201);  // the next call reconnects
  net.run_for(10ms);
  answer(1);
  net.run_for(10ms);
  EXPECT_EQ(events.call(201), Outcome::kOk);
}

TEST_F(LinkTest, DrainEndsOnlyCallsThatWereNotTaken) {
  call(1);
  net.run_for(10ms);
  worker.last().drain();  // the last id taken is 1
  call(2);                // sent before the drain message arrives
  net.run_for(10ms);
  EXPECT_EQ(events.call(2), Outcome::kFull);
  EXPECT_EQ(events.call(1), std::nullopt);
  call(3);
  link.hold("echo", 1, 4);
  net.run_for(10ms);
  EXPECT_EQ(events.call(3), Outcome::kFull);
  ASSERT_EQ(events.holds.size(), 1U);
  EXPECT_EQ(events.holds[0].outcome, Outcome::kFull);
  EXPECT_EQ(worker.calls(), 1U);
  answer(1);
  net.run_for(10ms);
  EXPECT_EQ(events.call(1), Outcome::kOk);
}

TEST_F(LinkTest, UnexpectedAnswersAreReportedAndIgnored) {
  call(1);
  net.run_for(10ms);
  answer(1), answer(1), answer(99);
  link.forget_call(1);
  net.run_for(10ms);
  EXPECT_EQ(events.anomalies.size(), 3U);
  EXPECT_EQ(events.call(1), std::nullopt);  // forgotten before its answer came
  call(2);
  net.run_for(10ms);
  answer(2), answer(2);  // the second one is a duplicate
  net.run_for(10ms);
  EXPECT_EQ(events.call(2), Outcome::kOk);
  EXPECT_EQ(events.calls.size(), 1U);  // and no other end
  EXPECT_EQ(events.anomalies.size(), 4U);
}

TEST_F(LinkTest, RefusesAnotherWorkerAtTheAddress) {
  worker.id = 9;
  call(1);
  net.run_for(500ms);
  EXPECT_EQ(events.call(1), Outcome::kConnectFailed);
  EXPECT_EQ(worker.calls(), 0U);
}

TEST_F(LinkTest, ClosesConnectionOnGarbageFromWorker) {
  call(1);
  net.run_for(10ms);
  worker.last().send_raw("HTTP/1.1 400 Bad Request\r\n\r\n");
  net.run_for(10ms);
  EXPECT_EQ(events.call(1), Outcome::kReset);
  EXPECT_EQ(events.anomalies.size(), 1U);
}

TEST_F(LinkTest, EndsCallsOverTheLimitsAsFull) {
  LinkOptions narrow;
  narrow.max_outstanding = 2;
  Link small(net, WorkerId{1}, kAt, narrow, events);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    Call c;
    small.call(c, "", i);
  }
  small.hold("f", 1, 4);
  net.run_for(10ms);
  EXPECT_EQ(events.call(3), Outcome::kFull);
  ASSERT_EQ(events.holds.size(), 1U);
  EXPECT_EQ(events.holds[0].outcome, Outcome::kNotRun);  // full would be the worker's word
  call(10, std::string(6000, 'x'));                      // over the worker's maximum frame
  net.run_for(10ms);
  EXPECT_EQ(events.call(10), Outcome::kFull);
}

TEST_F(LinkTest, CancelBeforeTheHelloSendsNothing) {
  call(1);
  link.cancel(1);
  net.run_for(10ms);
  EXPECT_EQ(events.call(1), Outcome::kCancelled);
  EXPECT_EQ(worker.calls(), 0U);
}

TEST_F(LinkTest, RechecksQueuedCallsAfterTheHello) {
  call(1), call(2);
  events.unsendable_cookie = 1;
  net.run_for(10ms);
  EXPECT_EQ(events.call(1), Outcome::kNotRun);
  EXPECT_EQ(worker.calls(), 1U);
  EXPECT_FALSE(events.call(2));  // in flight
}

TEST_F(LinkTest, SendsNoNewWorkIfTheWorkerIsBarredAtItsHello) {
  events.may_start = false;
  call(1), link.hold("echo", 1, 2), link.hold("echo", 0, 3), link.probe(4);
  net.run_for(10ms);
  EXPECT_EQ(events.call(1), Outcome::kNotRun);
  ASSERT_EQ(events.holds.size(), 1U);
  EXPECT_EQ(events.holds[0].cookie, 2U);
  EXPECT_EQ(events.holds[0].outcome, Outcome::kFull);
  EXPECT_EQ(worker.messages.size(), 2U);  // the query and the probe
}

TEST_F(LinkTest, ForgottenProbeReportsNoEnd) {
  link.probe(1);
  net.run_for(10ms);
  EXPECT_FALSE(link.idle());
  link.forget_hold(1);
  EXPECT_TRUE(link.idle());
  net.break_connections(kAt);
  net.run_for(10ms);
  EXPECT_TRUE(events.probes.empty());
}

TEST_F(LinkTest, DeliversPiecesInOrder) {
  call(1);
  net.run_for(10ms);
  worker.last().send(Piece{1, "one"}), worker.last().send(Piece{1, "two"});
  answer(1);
  net.run_for(10ms);
  EXPECT_EQ(events.pieces, (std::vector<std::string>{"one", "two"}));
}

// A controller that violates the protocol.
struct RawClient : io::ConnectionEvents {
  std::unique_ptr<io::Connection> connection;
  std::string got;
  bool open = false, closed = false;
  RawClient(sim::Network& net) {
    connection = net.connect(kAt, {}, *this);
    net.run_until([&] { return open; });
  }
  void send(const Message& m) {
    std::string out;
    write(out, m);
    connection->write(out);
  }
  void on_open() override { open = true; }
  std::size_t on_bytes(std::string_view b) override { return got += b, b.size(); }
  void on_closed(io::CloseReason) override { closed = true; }
};

TEST(WorkerSession, EachProtocolViolationClosesTheConnection) {
  const std::vector<std::function<void(RawClient&)>> breaches = {
      [](RawClient& c) { c.connection->write("GET / HTTP/1.1\r\n\r\n"); },
      [](RawClient& c) {
        c.send(Call{1, 1, 0, "echo", "n", "", "", ""});
      },  // no hello
      [](RawClient& c) {
        c.send(Hello{2, 0, 100, 0, 0, "x"});
      },  // version
      [](RawClient& c) { c.send(Hello{}), c.send(Hello{}); },
      [](RawClient& c) {
        c.send(Hello{}), c.send(Call{5, 1, 0, "echo", "n", "", "", ""});
      },  // ids skip
      [](RawClient& c) { c.send(Hello{}), c.send(Answer{}); },
      [](RawClient& c) { c.send(Hello{}), c.connection->write(std::string("\0\xff\0\0\2", 5)); },  // over max
      [](RawClient&) {},  // half-open
  };
  for (std::size_t i = 0; i < breaches.size(); ++i) {
    sim::Network net;
    ScriptedWorker worker(net);
    RawClient c(net);
    breaches[i](c);
    net.run_for(6s);
    EXPECT_TRUE(c.closed) << i;
    EXPECT_EQ(worker.calls(), 0U) << i;
  }
}

}  // namespace
}  // namespace laureltide::worker
