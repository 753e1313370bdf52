// Races between clients, invokers, the event bus and shutdown, on real sockets. Each race is forced: peers
// are raw sockets that act only when the test says so, and loop steps are delayed where the order matters.
// docs/node.md lists the races.
#include <gtest/gtest.h>

#include <set>

#include "base/bytes.h"
#include "front/server.h"
#include "node/configuration.h"
#include "node/node.h"
#include "platform/link.h"
#include "sockets.h"
#include "standin/platform.h"

namespace laureltide::node {
namespace {

using namespace std::chrono_literals;
using ::laureltide::tests::RawListener;
using ::laureltide::tests::RawSocket;
using nlohmann::json;
using standin::PlatformBus;
using standin::PlatformClient;
using standin::PlatformInvoker;
using standin::PlatformMember;

// Kinds of the complete replies in `bytes`, from the result field that is set: Answer, Backoff or Lost.
std::vector<std::string> reply_kinds(std::string_view bytes) {
  std::vector<std::string> all;
  while (bytes.size() >= 4) {
    Reader in(bytes);
    const std::uint32_t size = in.u32();
    if (in.left() < size) break;
    Reader message(in.take(size));
    const std::uint32_t version = message.u32();
    message.take(message.u32());
    message.u32();
    message.u8();
    const std::uint16_t which = message.u16();
    all.push_back((version & 0xff) == 3 ? "exception"
                  : which == 0          ? "served"
                  : which == 1          ? "refused"
                                        : "failed");
    bytes.remove_prefix(4 + size);
  }
  return all;
}

using Kinds = std::vector<std::string>;

// ---- Client server ------------------------------------------------------------------------------------

struct ServerOnSockets : testing::Test, front::Server::Events {
  net::Loop loop;
  front::ServerOptions options = [] {
    front::ServerOptions o;
    o.max_connections = 1;
    return o;
  }();
  front::Server server{loop, options, *this};
  std::vector<front::Server::Ticket> calls;
  std::size_t gone = 0;

  void SetUp() override { ASSERT_TRUE(server.listen({"127.0.0.1", 0})); }
  void on_call(front::Server::Ticket t, front::Fields, std::string, Time) override { calls.push_back(t); }
  void on_gone(front::Server::Ticket) override { ++gone; }
  bool healthy() override { return true; }
  void on_anomaly(const std::string&) override {}
  bool run_until(const std::function<bool()>& done) { return ::laureltide::tests::run_until(loop, done); }
  void serve(std::size_t i, const std::string& body = "b") {
    front::Reply r;
    r.kind = front::Reply::Kind::kServed, r.body = body;
    server.respond(calls[i], r);
  }
};

// A request on a connection that the kernel has accepted but the program has not.
TEST_F(ServerOnSockets, ReadsRequestOfUnacceptedConnectionBeforeListenerCloses) {
  RawSocket client(server.address());
  client.write(PlatformClient::call_bytes(1, {{"n", "1"}}, ""));
  server.stop_listening();
  ASSERT_TRUE(run_until([&] { return calls.size() == 1; }));
  serve(0);
  ASSERT_TRUE(run_until([&] { return !client.read().empty(); }));
  EXPECT_EQ(reply_kinds(client.read()), Kinds{"served"});
}

// The client sends a request while the server closes the connection, before it has read its answer. A reset
// would destroy the answer.
TEST_F(ServerOnSockets, DeliversLastAnswerWhenRequestArrivesDuringClose) {
  RawSocket client(server.address());
  client.write(PlatformClient::call_bytes(1, {{"n", "1"}}, ""));
  ASSERT_TRUE(run_until([&] { return calls.size() == 1; }));
  serve(0);
  client.write(PlatformClient::call_bytes(2, {{"n", "2"}}, ""));  // not yet read by the loop
  server.close_idle_connections();
  ASSERT_TRUE(run_until([&] { return client.read(), client.ended() || client.error(); }));
  EXPECT_EQ(client.error(), 0);
  EXPECT_EQ(reply_kinds(client.read()), Kinds{"served"});
  EXPECT_EQ(calls.size(), 1U);
}

TEST_F(ServerOnSockets, DeliversAnswerToConnectionEvictedForAnother) {
  RawSocket client(server.address());
  client.write(PlatformClient::call_bytes(1, {{"n", "1"}}, ""));
  ASSERT_TRUE(run_until([&] { return calls.size() == 1; }));
  serve(0);
  client.write(PlatformClient::call_bytes(2, {{"n", "2"}}, ""));
  RawSocket another(server.address());
  server.stop_listening();  // accepts the other client before the loop can read the second request
  EXPECT_EQ(server.connections(), 1U);
  ASSERT_TRUE(run_until([&] { return client.read(), client.ended() || client.error(); }));
  EXPECT_EQ(client.error(), 0);
  EXPECT_EQ(reply_kinds(client.read()), Kinds{"served"});
}

TEST_F(ServerOnSockets, CountsAndFlushesUnsentAnswers) {
  RawSocket client(server.address(), 4096);
  std::int32_t number = 1;
  const std::string body(16 << 10, 'x');
  while (server.unsent() == 0) {
    client.write(PlatformClient::call_bytes(number++, {{"n", "1"}}, ""));
    ASSERT_TRUE(run_until([&] { return calls.size() == static_cast<std::size_t>(number - 1); }));
    serve(calls.size() - 1, body);
  }
  server.close_idle_connections();  // still flushes unsent answers
  ASSERT_TRUE(run_until([&] { return client.read(), client.ended() || client.error(); }));
  EXPECT_EQ(client.error(), 0);
  EXPECT_EQ(reply_kinds(client.read()).size(), calls.size());
}

// A client that half-closes its connection is gone: its open requests are reported as gone, and what it sent
// right before the close is not begun.
TEST_F(ServerOnSockets, TreatsHalfCloseAsClientGone) {
  RawSocket client(server.address());
  client.write(PlatformClient::call_bytes(1, {{"n", "1"}}, "") +
               PlatformClient::call_bytes(2, {{"n", "2"}}, ""));
  ASSERT_TRUE(run_until([&] { return calls.size() == 2; }));
  client.write(PlatformClient::call_bytes(3, {{"n", "3"}}, ""));
  client.half_close();
  ASSERT_TRUE(run_until([&] { return gone == 2; }));
  EXPECT_EQ(calls.size(), 2U);
  EXPECT_EQ(server.connections(), 0U);
  serve(0);  // has no effect
  ASSERT_TRUE(run_until([&] { return client.read(), client.ended() || client.error(); }));
  EXPECT_TRUE(reply_kinds(client.read()).empty());
}

TEST_F(ServerOnSockets, ParsesRequestsReadOneByteAtATime) {
  RawSocket client(server.address());
  const std::string requests =
      PlatformClient::call_bytes(1, {{"n", "1"}}, "body") + PlatformClient::call_bytes(2, {{"n", "2"}}, "");
  for (const char c : requests) {
    client.write({&c, 1});
    loop.post([&] { loop.stop(); });
    loop.run();
  }
  ASSERT_TRUE(run_until([&] { return calls.size() == 2; }));
  serve(1), serve(0);
  ASSERT_TRUE(run_until([&] { return reply_kinds(client.read()).size() == 2; }));
}

// ---- Complete controller ------------------------------------------------------------------------------

struct RaceTest : testing::Test {
  net::Loop loop;
  PlatformBus bus{loop, {"127.0.0.1", 0}};
  std::vector<std::unique_ptr<PlatformInvoker>> invokers;
  std::unique_ptr<Node> node;
  std::vector<std::string> lines;
  json doc = tests::config();
  std::uint64_t next_id = 0x1000;
  bool drained = false;

  RaceTest() {
    bus.start();
    doc["listen"] = "127.0.0.1:0";
    doc["bus"] = bus.address().text();
    auto& bounds = doc["settings"]["bounds"];
    bounds["dial_timeout_ns"] = 5'000'000'000;
    doc["settings"]["rules"]["drain_grace_ns"] = 200'000'000;
    for (auto& c : doc["settings"]["classes"]) c["give_up_ns"] = 3'000'000'000;
  }
  static PlatformMember member(const std::string& name, const io::Address& at,
                               const std::string& phase = "active") {
    return {name, at, phase, 0, 0};
  }
  PlatformInvoker& invoker() {
    invokers.push_back(std::make_unique<PlatformInvoker>(loop, PlatformInvoker::Options{{"127.0.0.1", 0}}));
    invokers.back()->start();
    return *invokers.back();
  }
  void start() {
    doc["known"] = json::parse(bus.known());
    node = std::make_unique<Node>(loop, tests::parsed(doc),
                                  [this](Severity, const std::string& l) { lines.push_back(l); });
    ASSERT_TRUE(node->start());
  }
  bool run_until(const std::function<bool()>& done, Duration most = 10s) {
    return ::laureltide::tests::run_until(loop, done, most);
  }
  void run_for(Duration span) { ::laureltide::tests::run_for(loop, span); }
  std::string call(std::int32_t number, const std::string& op = "read", const std::string& body = "b") {
    std::map<std::string, std::string> f{{"op", op},
                                         {"call", platform::id_text(next_id++)},
                                         {"ttl", "2900"},
                                         {"org", "yard"},
                                         {"row", "00000000000000f1"},
                                         {"work", "8"}};
    if (op == "update") f["dedupe"] = "key-" + f["call"];
    return PlatformClient::call_bytes(number, f, body);
  }
  // Codes of the complete frames that a raw invoker has read.
  static std::vector<int> frames(std::string_view bytes) {
    std::vector<int> codes;
    while (bytes.size() >= platform::kHeaderBytes) {
      Reader in(bytes);
      in.u8();
      const int code = in.u8();
      const std::size_t size =
          in.u16() + std::size_t{in.u32()} + platform::kHeaderBytes + platform::kChecksumBytes;
      if (bytes.size() < size) break;
      codes.push_back(code);
      bytes.remove_prefix(size);
    }
    return codes;
  }
  void warm(RawSocket& client, std::int32_t number = 1) {
    client.write(call(number));
    ASSERT_TRUE(
        run_until([&] { return reply_kinds(client.read()).size() == static_cast<std::size_t>(number); }));
    ASSERT_EQ(reply_kinds(client.read()).back(), "served");
  }
  void drain() {
    node->drain([this] { drained = true; });
  }
};

// ---- SIGTERM ------------------------------------------------------------------------------------------

// The kernel accepts a connection in the same loop step in which the listener closes.
TEST_F(RaceTest, DrainServesConnectionNotYetAccepted) {
  bus.publish({member("s-1", invoker().address())});
  start();
  RawSocket before(node->address());
  warm(before);
  RawSocket late;
  const io::Address at = node->address();
  // A loop step that runs past the accept period. The connection arrives in the next step, before the drain
  // check.
  const auto blocking_step = loop.timer([&, began = loop.now()] {
    while (loop.now() - began < 720ms) {
    }
  });
  const auto connects = loop.timer([&] {
    late = RawSocket(at);
    late.write(call(1));
  });
  blocking_step->start(600ms), connects->start(699ms);
  drain();
  ASSERT_TRUE(run_until([&] { return drained; }));
  EXPECT_EQ(reply_kinds(late.read()), Kinds{"served"});
  EXPECT_EQ(late.error(), 0);
}

TEST_F(RaceTest, DrainServesHalfReadRequestWhenRestArrives) {
  bus.publish({member("s-1", invoker().address())});
  start();
  RawSocket client(node->address());
  warm(client);
  const std::string whole = call(2);
  client.write(whole.substr(0, whole.size() / 2));
  run_for(20ms);
  drain();
  run_for(400ms);
  client.write(whole.substr(whole.size() / 2));
  ASSERT_TRUE(run_until([&] { return drained; }));
  EXPECT_EQ(reply_kinds(client.read()), (Kinds{"served", "served"}));
  EXPECT_EQ(client.error(), 0);
}

TEST_F(RaceTest, DrainWaitsForUnsentAnswers) {
  bus.publish({member("s-1", invoker().address())});
  start();
  RawSocket client(node->address(), 4096);
  warm(client);
  std::int32_t number = 1;
  while (node->unsent_bytes() == 0) {
    for (int i = 0; i < 8; ++i) client.write(call(++number, "read", std::string(16 << 10, 'x')));
    const auto taken = static_cast<std::uint64_t>(number);
    ASSERT_TRUE(
        run_until([&] { return node->core().counters().taken == taken && node->core().open() == 0; }));
  }
  drain();
  run_for(1500ms);
  EXPECT_FALSE(drained);
  ASSERT_TRUE(run_until([&] { return client.read(), drained; }));
  client.read();
  EXPECT_EQ(client.error(), 0);
  EXPECT_EQ(reply_kinds(client.read()).size(), static_cast<std::size_t>(number));
}

TEST_F(RaceTest, DrainAnswersCallWaitingForItsNextAttempt) {
  PlatformInvoker& first = invoker();
  bus.publish({member("s-1", first.address())});
  start();
  RawSocket client(node->address());
  warm(client);
  first.answer_all(100);  // full: the call is retried repeatedly
  client.write(call(2));
  ASSERT_TRUE(
      run_until([&] { return node->core().counters().ended[static_cast<std::size_t>(Outcome::kFull)] > 0; }));
  drain();
  drain();  // a second SIGTERM
  ASSERT_TRUE(run_until([&] { return drained; }));
  EXPECT_EQ(reply_kinds(client.read()).size(), 2U);
  EXPECT_EQ(client.error(), 0);
}

// SIGHUP just before and after SIGTERM: the event bus moves while the node drains, which must not stop the
// drain.
TEST_F(RaceTest, DrainContinuesWhenReloadMovesEventBus) {
  PlatformInvoker &first = invoker(), &second = invoker();
  PlatformBus other(loop, {"127.0.0.1", 0});
  other.start();
  bus.publish({member("s-1", first.address()), member("s-2", second.address())});
  other.publish({member("s-1", first.address()), member("s-2", second.address())});
  start();
  RawSocket client(node->address());
  warm(client);
  json moved = doc;
  moved["bus"] = other.address().text();
  node->reload(moved.dump());
  drain();
  node->reload(doc.dump());
  node->reload(moved.dump());
  other.publish({member("s-1", first.address(), "leaving")});
  ASSERT_TRUE(run_until([&] { return node->invoker_list().last() == 2; }));
  run_for(250ms);  // the grace
  const std::size_t calls = first.calls().size();
  client.write(call(2));
  ASSERT_TRUE(run_until([&] { return drained; }));
  EXPECT_EQ(first.calls().size(), calls);
  EXPECT_EQ(reply_kinds(client.read()), (Kinds{"served", "served"}));
}

// ---- Departed clients and draining workers during a connect -------------------------------------------

// The settings allow no cancel, so only the core can drop a call that waits for a connection.
struct DelayedConnect : RaceTest {
  RawListener invoker{true};  // the connection comes up about 1 s late, once room() was called
  RawSocket client;
  void SetUp() override {
    doc["settings"]["bounds"]["may_cancel"] = false;
    doc["settings"]["family_info"]["miss_mode"] = "load";
    doc["settings"]["family_info"]["orders"] = false;
    bus.publish({member("s-1", invoker.address())});
    start();
    client = RawSocket(node->address());
    client.write(call(1));
    ASSERT_TRUE(run_until([&] { return node->core().counters().attempts == 1; }));
  }
  // The frames on the delayed connection, or none if it never comes up. Waits at most 200 ms for bytes.
  std::vector<int> frames_received() {
    invoker.free_backlog();
    RawSocket late;
    if (!run_until([&] { return late = invoker.accept_one(), late.is_connected(); }, 3s)) return {};
    run_until([&] { return !late.read().empty() || late.ended(); }, 200ms);
    return frames(late.read());
  }
};

TEST_F(DelayedConnect, SendsCallOnceConnected) { EXPECT_EQ(frames_received(), std::vector<int>{65}); }

TEST_F(DelayedConnect, DoesNotSendCallOfClosedClient) {
  client.close();
  ASSERT_TRUE(run_until([&] { return node->core().counters().abandoned == 1; }));
  EXPECT_TRUE(frames_received().empty());
  EXPECT_EQ(node->core().open(), 0U);
}

TEST_F(DelayedConnect, DoesNotSendCallOfResetClient) {
  client.reset();
  ASSERT_TRUE(run_until([&] { return node->core().counters().abandoned == 1; }));
  EXPECT_TRUE(frames_received().empty());
}

TEST_F(DelayedConnect, DoesNotSendCancelledCall) {
  std::string m;
  Writer w(m);
  w.u32(0x80010004U), w.u32(6), w.bytes("cancel"), w.u32(2), w.u8(8), w.u16(1), w.u32(1), w.u8(0);
  std::string framed;
  Writer f(framed);
  f.u32(static_cast<std::uint32_t>(m.size())), f.bytes(m);
  client.write(framed);
  ASSERT_TRUE(run_until([&] { return node->core().counters().abandoned == 1; }));
  EXPECT_TRUE(frames_received().empty());
}

// The drain is reported between the choice of the invoker and the first byte: after the grace nothing may be
// sent there.
TEST_F(DelayedConnect, DoesNotSendToWorkerThatBeganDraining) {
  bus.publish({member("s-1", invoker.address(), "leaving")});
  ASSERT_TRUE(run_until([&] { return node->invoker_list().last() == 2; }));
  EXPECT_TRUE(frames_received().empty());
}

TEST_F(DelayedConnect, DoesNotSendToWorkerMissingFromFullList) {
  bus.publish_full_list({});
  ASSERT_TRUE(run_until([&] { return node->invoker_list().last() == 2; }));
  EXPECT_TRUE(frames_received().empty());
}

// ---- Connections ended by invokers --------------------------------------------------------------------

struct RawInvoker : RaceTest {
  RawListener invoker;
  RawSocket client, link;
  std::uint64_t id = 0;
  void SetUp() override {
    doc["settings"]["family_info"]["miss_mode"] = "load";
    doc["settings"]["family_info"]["orders"] = false;
    bus.publish({member("s-1", invoker.address())});
    start();
    client = RawSocket(node->address());
    id = next_id;
    client.write(call(1, "release"));
    ASSERT_TRUE(run_until([&] { return link = invoker.accept_one(), link.is_connected(); }));
    ASSERT_TRUE(run_until([&] { return frames(link.read()) == std::vector<int>{65}; }));
  }
  std::string ok(const std::string& body = "done") {
    std::string out;
    platform::write(out, platform::kInvokerMagic, platform::Code::kOk, id, "ahead=0", body);
    return out;
  }
};

TEST_F(RawInvoker, ServesAnswerFollowedByReset) {
  link.write(ok());
  link.reset();
  ASSERT_TRUE(run_until([&] { return !reply_kinds(client.read()).empty(); }));
  EXPECT_EQ(reply_kinds(client.read()), Kinds{"served"});
}

TEST_F(RawInvoker, ServesAnswerFollowedByClose) {
  link.write(ok());
  link.close();
  ASSERT_TRUE(run_until([&] { return !reply_kinds(client.read()).empty(); }));
  EXPECT_EQ(reply_kinds(client.read()), Kinds{"served"});
}

TEST_F(RawInvoker, FailsCallOnceAfterPartialAnswer) {
  link.write(ok().substr(0, 18));
  link.close();
  ASSERT_TRUE(run_until([&] { return !reply_kinds(client.read()).empty(); }));
  run_for(50ms);
  EXPECT_EQ(reply_kinds(client.read()), Kinds{"failed"});
  for (RawSocket s = invoker.accept_one(); s.is_connected(); s = invoker.accept_one())
    for (const int code : frames(s.read())) EXPECT_NE(code, 65);  // the call may have run: no second attempt
}

TEST_F(RawInvoker, ParsesAnswerReadOneByteAtATime) {
  for (const char c : ok()) {
    link.write({&c, 1});
    loop.post([&] { loop.stop(); });
    loop.run();
  }
  ASSERT_TRUE(run_until([&] { return !reply_kinds(client.read()).empty(); }));
  EXPECT_EQ(reply_kinds(client.read()), Kinds{"served"});
}

TEST_F(RawInvoker, IgnoresFurtherAnswers) {
  link.write(ok("first") + ok("second"));
  ASSERT_TRUE(run_until([&] { return !reply_kinds(client.read()).empty(); }));
  link.write(ok("third"));
  run_for(50ms);
  EXPECT_EQ(reply_kinds(client.read()), Kinds{"served"});
  EXPECT_NE(client.read().find("first"), std::string::npos);
}

// The deadline passes while the answer is on its way: the client gets one reply and the late answer is
// dropped.
TEST_F(RawInvoker, IgnoresAnswerAfterDeadline) {
  ASSERT_TRUE(run_until([&] { return !reply_kinds(client.read()).empty(); }));
  link.write(ok());
  run_for(50ms);
  EXPECT_EQ(reply_kinds(client.read()), Kinds{"failed"});
}

// ---- Unsent bytes of a link ---------------------------------------------------------------------------

// The invoker does not read: the socket buffers fill, the link holds the rest and would send it once the
// invoker reads again.
struct LinkWithUnsentCalls : testing::Test, worker::LinkEvents {
  static constexpr std::uint64_t kCalls = 400;  // of 16 KiB each: more than the socket buffers hold
  net::Loop loop;
  RawListener invoker;
  RawSocket peer;
  platform::ConnectionBudget budget{0, 1, 0};
  platform::LinkOptions options = [] {
    platform::LinkOptions o;
    o.streams = 1000, o.max_connections = 1, o.unresponsive_after = 60s;
    return o;
  }();
  std::map<std::uint64_t, std::vector<Outcome>> outcomes;
  platform::Link link{loop, WorkerId{1}, invoker.address(), options, budget, *this};

  void on_call_end(WorkerId, std::uint64_t c, CallEnd end) override { outcomes[c].push_back(end.outcome); }
  void on_piece(WorkerId, std::uint64_t, std::string) override {}
  void on_hold_end(WorkerId, std::uint64_t, Outcome, int) override {}
  void on_probe_end(WorkerId, std::uint64_t, Outcome, LoadReport) override {}
  void on_anomaly(WorkerId, const std::string&) override {}
  bool may_start_work(WorkerId) override { return may_begin_calls; }
  bool may_be_sent(WorkerId, std::uint64_t cookie) override { return cookie != blocked_call; }
  bool may_begin_calls = true;
  std::uint64_t blocked_call = 0;  // must not be sent any more
  bool run_until(const std::function<bool()>& done) { return ::laureltide::tests::run_until(loop, done); }

  void SetUp() override {
    for (std::uint64_t c = 1; c <= kCalls; ++c) {
      worker::Call call;
      call.name = platform::id_text(c), call.function = platform::id_text(7), call.request_class = "read";
      link.call(std::move(call), std::string(16 << 10, 'x'), c);
      if (c > 1) continue;
      ASSERT_TRUE(run_until([&] { return peer = invoker.accept_one(), peer.is_connected(); }));
      ASSERT_TRUE(run_until([&] { return !peer.read().empty(); }));
    }
  }
  // Ids of the complete calls that arrive once the invoker reads again.
  std::set<std::uint64_t> read_all() {
    run_until([&] {
      return peer.read(), peer.ended() || peer.error() || RaceTest::frames(peer.read()).size() == kCalls;
    });
    std::set<std::uint64_t> ids;
    std::string_view bytes = peer.read();
    while (bytes.size() >= platform::kHeaderBytes) {
      const auto r = platform::parse(bytes, platform::kControllerMagic);
      if (r.kind != platform::ParseResult::Kind::kFrame) break;
      if (r.frame.code == 65) ids.insert(r.frame.id);
      bytes.remove_prefix(r.size);
    }
    return ids;
  }
};

// Discovery is unreachable and the worker's lease has expired, so it may be draining.
TEST_F(LinkWithUnsentCalls, SendsNothingWhenWorkerMayNotBeginCalls) {
  may_begin_calls = false;
  ASSERT_TRUE(run_until([&] { return outcomes.size() == kCalls; }));
  EXPECT_LT(read_all().size(), kCalls);
  for (std::uint64_t c = 1; c <= kCalls; ++c)
    EXPECT_EQ(outcomes[c], std::vector<Outcome>{Outcome::kReset}) << c;
}

// The workers no longer deduplicate repeats of this call.
TEST_F(LinkWithUnsentCalls, DoesNotSendCallThatMayNoLongerLeave) {
  blocked_call = kCalls;
  ASSERT_TRUE(run_until([&] { return outcomes.size() == kCalls; }));
  EXPECT_FALSE(read_all().contains(kCalls));
  EXPECT_EQ(outcomes[kCalls], std::vector<Outcome>{Outcome::kReset});
}

// Holds as few unsent bytes as possible: they are sent in the next loop step after the invoker reads.
struct LinkWithFewUnsentBytes : LinkWithUnsentCalls {
  std::uint64_t calls = 0;
  void call() {
    worker::Call call;
    call.name = platform::id_text(++calls), call.function = platform::id_text(7), call.request_class = "read";
    link.call(std::move(call), std::string(16 << 10, 'x'), calls);
  }
  void SetUp() override {
    call();
    ASSERT_TRUE(run_until([&] { return peer = invoker.accept_one(), peer.is_connected(); }));
    ASSERT_TRUE(run_until([&] { return !peer.read().empty(); }));
    while (link.unsent() == 0 && calls < 4 * kCalls) call();
    ASSERT_GT(link.unsent(), 0U);
  }
};

// The kernel accepts the unsent bytes between the cancel and the next loop step. The invoker must still learn
// of the cancel, by a give-up frame or a closed connection, because the call's next attempt may be under way.
TEST_F(LinkWithFewUnsentBytes, NotifiesInvokerOfCancelWhenBytesWereJustSent) {
  link.cancel(1);
  peer.read();
  ASSERT_TRUE(run_until([&] { return outcomes[1].size() == 1; }));
  EXPECT_EQ(outcomes[1], std::vector<Outcome>{Outcome::kCancelled});
  const auto notified = [&] {
    const std::vector<int> codes = RaceTest::frames(peer.read());
    return peer.ended() || peer.error() != 0 || std::find(codes.begin(), codes.end(), 66) != codes.end();
  };
  EXPECT_TRUE(::laureltide::tests::run_until(loop, notified, 2s));
}

TEST_F(LinkWithUnsentCalls, SendsAllWhenInvokerReads) { EXPECT_EQ(read_all().size(), kCalls); }

TEST_F(LinkWithUnsentCalls, DoesNotSendWithdrawnCall) {
  link.withdraw(kCalls);
  ASSERT_TRUE(run_until([&] { return outcomes[kCalls].size() == 1; }));
  EXPECT_EQ(outcomes[kCalls], std::vector<Outcome>{Outcome::kCancelled});
  EXPECT_FALSE(read_all().contains(kCalls));
  for (std::uint64_t c = 1; c <= kCalls; ++c) EXPECT_EQ(outcomes[c].size(), 1U) << c;
}

TEST_F(LinkWithUnsentCalls, SendsNothingAfterWithdrawingAllWaiting) {
  link.withdraw_waiting();
  ASSERT_TRUE(run_until([&] { return outcomes.size() == kCalls; }));
  EXPECT_LT(read_all().size(), kCalls);
  for (std::uint64_t c = 1; c <= kCalls; ++c)
    EXPECT_EQ(outcomes[c], std::vector<Outcome>{Outcome::kReset}) << c;
}

// ---- Unreachable discovery ----------------------------------------------------------------------------

// The process stalls for longer than the allowed silence, with an old comment in its receive buffer. Events
// published since then are unknown, so the comment must not make the list current, and the node reconnects.
TEST_F(RaceTest, IgnoresBusCommentReadLate) {
  RawListener raw;
  bus.publish({member("s-1", invoker().address())});
  doc["bus"] = raw.address().text();
  start();
  RawSocket watch;
  ASSERT_TRUE(run_until([&] { return watch = raw.accept_one(), watch.is_connected(); }));
  watch.write("HTTP/1.1 200 OK\r\n\r\n:\n\n");
  run_for(100ms);
  const auto current = [&] { return node->core().module().list_is_valid(loop.now()); };
  EXPECT_TRUE(current());
  watch.write(":\n\n");
  const auto blocking_step = loop.timer([began = loop.now(), this] {
    while (loop.now() - began < 2500ms) {
    }
  });
  blocking_step->start(0ms);
  RawSocket next;
  ASSERT_TRUE(run_until([&] { return next = raw.accept_one(), next.is_connected(); }));
  EXPECT_FALSE(current());
  next.write("HTTP/1.1 200 OK\r\n\r\n:\n\n");
  ASSERT_TRUE(run_until(current));
}

// ---- Discovery ----------------------------------------------------------------------------------------

// The bus connection falls silent, and so does the next one. The drain must still be known within 4 s.
TEST_F(RaceTest, LearnsOfDrainInTimeAfterTwoSilentConnections) {
  PlatformInvoker &first = invoker(), &second = invoker();
  bus.publish({member("s-1", first.address()), member("s-2", second.address())});
  start();
  ASSERT_TRUE(run_until([&] { return node->feed().connected(); }));
  bus.set_silent(true);
  bus.ignore_next_requests(1);
  const Time began = loop.now();
  bus.publish({member("s-1", first.address(), "leaving")});
  ASSERT_TRUE(run_until([&] { return node->invoker_list().last() == 2; }));
  EXPECT_EQ(bus.asked(), 3U);
  EXPECT_LT(loop.now() - began, Duration(4s));
}

}  // namespace
}  // namespace laureltide::node
