// Events that cross, on real sockets: each crossing is forced, not hoped for. Peers are raw sockets that do
// nothing by themselves, and steps of the loop are held where the order matters. docs/node.md has the table.
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

// Kinds of the whole answers in `bytes`: "Answer", "Backoff", "Lost" as the field of the result names them.
std::vector<std::string> answers(std::string_view bytes) {
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

// ---- The front ----------------------------------------------------------------------------------------

struct FrontOnSockets : testing::Test, front::Server::Events {
  net::Loop loop;
  front::ServerOptions options = [] {
    front::ServerOptions o;
    o.most_connections = 1;
    return o;
  }();
  front::Server server{loop, options, *this};
  std::vector<front::Server::Ticket> calls;
  std::size_t gone = 0;

  void SetUp() override { ASSERT_TRUE(server.listen({"127.0.0.1", 0})); }
  void on_call(front::Server::Ticket t, front::Fields, std::string) override { calls.push_back(t); }
  void on_gone(front::Server::Ticket) override { ++gone; }
  bool healthy() override { return true; }
  void on_oddity(const std::string&) override {}
  bool run_until(const std::function<bool()>& done) { return ::laureltide::tests::run_until(loop, done); }
  void serve(std::size_t i, const std::string& body = "b") {
    front::Reply r;
    r.kind = front::Reply::Kind::kServed, r.body = body;
    server.respond(calls[i], r);
  }
};

// A request on a connection that the machine has accepted and the program has not.
TEST_F(FrontOnSockets, ARequestBehindAnAcceptIsTakenBeforeTheListenerCloses) {
  RawSocket client(server.address());
  client.write(PlatformClient::call_bytes(1, {{"n", "1"}}, ""));
  server.stop_listening();
  ASSERT_TRUE(run_until([&] { return calls.size() == 1; }));
  serve(0);
  ASSERT_TRUE(run_until([&] { return !client.read().empty(); }));
  EXPECT_EQ(answers(client.read()), Kinds{"served"});
}

// The client has not read its answer, and something of it crosses our end: a reset would destroy the answer.
TEST_F(FrontOnSockets, TheLastAnswerSurvivesBytesThatCrossTheEnd) {
  RawSocket client(server.address());
  client.write(PlatformClient::call_bytes(1, {{"n", "1"}}, ""));
  ASSERT_TRUE(run_until([&] { return calls.size() == 1; }));
  serve(0);
  client.write(PlatformClient::call_bytes(2, {{"n", "2"}}, ""));  // the loop has not seen it
  server.finish_idle();
  ASSERT_TRUE(run_until([&] { return client.read(), client.ended() || client.error(); }));
  EXPECT_EQ(client.error(), 0);
  EXPECT_EQ(answers(client.read()), Kinds{"served"});
  EXPECT_EQ(calls.size(), 1U);
}

TEST_F(FrontOnSockets, TheOneThatMakesRoomReadsItsAnswerToo) {
  RawSocket client(server.address());
  client.write(PlatformClient::call_bytes(1, {{"n", "1"}}, ""));
  ASSERT_TRUE(run_until([&] { return calls.size() == 1; }));
  serve(0);
  client.write(PlatformClient::call_bytes(2, {{"n", "2"}}, ""));
  RawSocket another(server.address());
  server.stop_listening();  // takes it in before the loop can see the second request
  EXPECT_EQ(server.connections(), 1U);
  ASSERT_TRUE(run_until([&] { return client.read(), client.ended() || client.error(); }));
  EXPECT_EQ(client.error(), 0);
  EXPECT_EQ(answers(client.read()), Kinds{"served"});
}

TEST_F(FrontOnSockets, UnsentAnswersAreCounted) {
  RawSocket client(server.address(), 4096);
  std::int32_t number = 1;
  const std::string body(16 << 10, 'x');
  while (server.unsent() == 0) {
    client.write(PlatformClient::call_bytes(number++, {{"n", "1"}}, ""));
    ASSERT_TRUE(run_until([&] { return calls.size() == static_cast<std::size_t>(number - 1); }));
    serve(calls.size() - 1, body);
  }
  server.finish_idle();  // what is unsent goes out all the same
  ASSERT_TRUE(run_until([&] { return client.read(), client.ended() || client.error(); }));
  EXPECT_EQ(client.error(), 0);
  EXPECT_EQ(answers(client.read()).size(), calls.size());
}

// Half a connection closed is a client gone: what came before is taken, then told gone.
TEST_F(FrontOnSockets, AClientThatClosesHalfHasGone) {
  RawSocket client(server.address());
  client.write(PlatformClient::call_bytes(1, {{"n", "1"}}, "") +
               PlatformClient::call_bytes(2, {{"n", "2"}}, ""));
  client.half_close();
  ASSERT_TRUE(run_until([&] { return gone == 2; }));
  EXPECT_EQ(calls.size(), 2U);
  EXPECT_EQ(server.connections(), 0U);
  serve(0);  // does nothing
  ASSERT_TRUE(run_until([&] { return client.read(), client.ended() || client.error(); }));
  EXPECT_TRUE(answers(client.read()).empty());
}

TEST_F(FrontOnSockets, ARequestAByteAtATime) {
  RawSocket client(server.address());
  const std::string two =
      PlatformClient::call_bytes(1, {{"n", "1"}}, "body") + PlatformClient::call_bytes(2, {{"n", "2"}}, "");
  for (const char c : two) {
    client.write({&c, 1});
    loop.post([&] { loop.stop(); });
    loop.run();
  }
  ASSERT_TRUE(run_until([&] { return calls.size() == 2; }));
  serve(1), serve(0);
  ASSERT_TRUE(run_until([&] { return answers(client.read()).size() == 2; }));
}

// ---- The whole controller -----------------------------------------------------------------------------

struct Crossing : testing::Test {
  net::Loop loop;
  PlatformBus bus{loop, {"127.0.0.1", 0}};
  std::vector<std::unique_ptr<PlatformInvoker>> invokers;
  std::unique_ptr<Node> node;
  std::vector<std::string> lines;
  json doc = tests::config();
  std::uint64_t ids = 0x1000;
  bool ended = false;

  Crossing() {
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
    std::map<std::string, std::string> f{{"op", op},      {"call", platform::id_text(ids++)}, {"ttl", "2900"},
                                         {"org", "yard"}, {"row", "00000000000000f1"},        {"work", "8"}};
    if (op == "update") f["dedupe"] = "key-" + f["call"];
    return PlatformClient::call_bytes(number, f, body);
  }
  // Codes of the whole frames that a raw invoker has read.
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
    ASSERT_TRUE(run_until([&] { return answers(client.read()).size() == static_cast<std::size_t>(number); }));
    ASSERT_EQ(answers(client.read()).back(), "served");
  }
  void drain() {
    node->drain([this] { ended = true; });
  }
};

// ---- SIGTERM ------------------------------------------------------------------------------------------

// In the very step in which the listener closes: the machine has accepted, the program has not.
TEST_F(Crossing, TermAConnectionAcceptedByTheMachineOnlyIsServed) {
  bus.publish({member("s-1", invoker().address())});
  start();
  RawSocket before(node->address());
  warm(before);
  RawSocket late;
  const io::Address at = node->address();
  // A step that lasts past the end of the time; the connection comes in the next, ahead of the end's look.
  const auto held = loop.timer([&, began = loop.now()] {
    while (loop.now() - began < 720ms) {
    }
  });
  const auto connects = loop.timer([&] {
    late = RawSocket(at);
    late.write(call(1));
  });
  held->start(600ms), connects->start(699ms);
  drain();
  ASSERT_TRUE(run_until([&] { return ended; }));
  EXPECT_EQ(answers(late.read()), Kinds{"served"});
  EXPECT_EQ(late.error(), 0);
}

TEST_F(Crossing, TermARequestHalfReadIsServedWhenItsRestComes) {
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
  ASSERT_TRUE(run_until([&] { return ended; }));
  EXPECT_EQ(answers(client.read()), (Kinds{"served", "served"}));
  EXPECT_EQ(client.error(), 0);
}

TEST_F(Crossing, TermWaitsForAnswersThatAreNotFlushed) {
  bus.publish({member("s-1", invoker().address())});
  start();
  RawSocket client(node->address(), 4096);
  warm(client);
  std::int32_t number = 1;
  while (node->unsent() == 0) {
    for (int i = 0; i < 8; ++i) client.write(call(++number, "read", std::string(16 << 10, 'x')));
    const auto taken = static_cast<std::uint64_t>(number);
    ASSERT_TRUE(
        run_until([&] { return node->core().counters().taken == taken && node->core().open() == 0; }));
  }
  drain();
  run_for(1500ms);
  EXPECT_FALSE(ended);
  ASSERT_TRUE(run_until([&] { return client.read(), ended; }));
  client.read();
  EXPECT_EQ(client.error(), 0);
  EXPECT_EQ(answers(client.read()).size(), static_cast<std::size_t>(number));
}

TEST_F(Crossing, TermACallWhoseNextAttemptIsYetToComeIsAnswered) {
  PlatformInvoker& one = invoker();
  bus.publish({member("s-1", one.address())});
  start();
  RawSocket client(node->address());
  warm(client);
  one.answer_all(100);  // full: it is tried again a little later, and again
  client.write(call(2));
  ASSERT_TRUE(
      run_until([&] { return node->core().counters().ended[static_cast<std::size_t>(Outcome::kFull)] > 0; }));
  drain();
  drain();  // told twice
  ASSERT_TRUE(run_until([&] { return ended; }));
  EXPECT_EQ(answers(client.read()).size(), 2U);
  EXPECT_EQ(client.error(), 0);
}

// SIGHUP at once before and after SIGTERM: the watch moves under an end, and the end comes as it would.
TEST_F(Crossing, TermAndAMovedWatch) {
  PlatformInvoker &one = invoker(), &two = invoker();
  PlatformBus other(loop, {"127.0.0.1", 0});
  other.start();
  bus.publish({member("s-1", one.address()), member("s-2", two.address())});
  other.publish({member("s-1", one.address()), member("s-2", two.address())});
  start();
  RawSocket client(node->address());
  warm(client);
  json moved = doc;
  moved["bus"] = other.address().text();
  node->reload(moved.dump());
  drain();
  node->reload(doc.dump());
  node->reload(moved.dump());
  other.publish({member("s-1", one.address(), "leaving")});
  ASSERT_TRUE(run_until([&] { return node->roster().last() == 2; }));
  run_for(250ms);  // the grace
  const std::size_t calls = one.calls().size();
  client.write(call(2));
  ASSERT_TRUE(run_until([&] { return ended; }));
  EXPECT_EQ(one.calls().size(), calls);
  EXPECT_EQ(answers(client.read()), (Kinds{"served", "served"}));
}

// ---- Clients that have gone, and drains, while a dial is under way --------------------------------------

// Where settings allow no cancel, nothing but the core itself can spare what waits for a connection.
struct HeldDial : Crossing {
  RawListener invoker{true};  // its connection comes up 1 s late, when room() has been called
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
  // What a connection that came up late brings, if one comes; nothing comes after a fifth of a second of
  // silence.
  std::vector<int> brought() {
    invoker.room();
    RawSocket late;
    if (!run_until([&] { return late = invoker.take(), late.stands(); }, 3s)) return {};
    run_until([&] { return !late.read().empty() || late.ended(); }, 200ms);
    return frames(late.read());
  }
};

TEST_F(HeldDial, ComesUpAndBringsTheCall) { EXPECT_EQ(brought(), std::vector<int>{65}); }

TEST_F(HeldDial, AClientThatClosedIsNotSentFor) {
  client.close();
  ASSERT_TRUE(run_until([&] { return node->core().counters().abandoned == 1; }));
  EXPECT_TRUE(brought().empty());
  EXPECT_EQ(node->core().open(), 0U);
}

TEST_F(HeldDial, AClientThatResetIsNotSentFor) {
  client.reset();
  ASSERT_TRUE(run_until([&] { return node->core().counters().abandoned == 1; }));
  EXPECT_TRUE(brought().empty());
}

TEST_F(HeldDial, ACancelledCallIsNotSent) {
  std::string m;
  Writer w(m);
  w.u32(0x80010004U), w.u32(6), w.bytes("cancel"), w.u32(2), w.u8(8), w.u16(1), w.u32(1), w.u8(0);
  std::string framed;
  Writer f(framed);
  f.u32(static_cast<std::uint32_t>(m.size())), f.bytes(m);
  client.write(framed);
  ASSERT_TRUE(run_until([&] { return node->core().counters().abandoned == 1; }));
  EXPECT_TRUE(brought().empty());
}

// Told between the choice of the invoker and the first byte: past the grace nothing goes there.
TEST_F(HeldDial, ADrainToldMeanwhileIsKept) {
  bus.publish({member("s-1", invoker.address(), "leaving")});
  ASSERT_TRUE(run_until([&] { return node->roster().last() == 2; }));
  EXPECT_TRUE(brought().empty());
}

TEST_F(HeldDial, AWholeListWithoutItIsKept) {
  bus.publish_full_list({});
  ASSERT_TRUE(run_until([&] { return node->roster().last() == 2; }));
  EXPECT_TRUE(brought().empty());
}

// ---- Invokers' ends -----------------------------------------------------------------------------------

struct RawInvoker : Crossing {
  RawListener invoker;
  RawSocket client, link;
  std::uint64_t id = 0;
  void SetUp() override {
    doc["settings"]["family_info"]["miss_mode"] = "load";
    doc["settings"]["family_info"]["orders"] = false;
    bus.publish({member("s-1", invoker.address())});
    start();
    client = RawSocket(node->address());
    id = ids;
    client.write(call(1, "release"));
    ASSERT_TRUE(run_until([&] { return link = invoker.take(), link.stands(); }));
    ASSERT_TRUE(run_until([&] { return frames(link.read()) == std::vector<int>{65}; }));
  }
  std::string ok(const std::string& body = "done") {
    std::string out;
    platform::write(out, platform::kInvokerMagic, platform::Code::kOk, id, "ahead=0", body);
    return out;
  }
};

TEST_F(RawInvoker, AnAnswerAndAResetInOneReadIsServed) {
  link.write(ok());
  link.reset();
  ASSERT_TRUE(run_until([&] { return !answers(client.read()).empty(); }));
  EXPECT_EQ(answers(client.read()), Kinds{"served"});
}

TEST_F(RawInvoker, AnAnswerAndAnEndInOneReadIsServed) {
  link.write(ok());
  link.close();
  ASSERT_TRUE(run_until([&] { return !answers(client.read()).empty(); }));
  EXPECT_EQ(answers(client.read()), Kinds{"served"});
}

TEST_F(RawInvoker, HalfAnAnswerAndAnEndIsFailedOnce) {
  link.write(ok().substr(0, 18));
  link.close();
  ASSERT_TRUE(run_until([&] { return !answers(client.read()).empty(); }));
  run_for(50ms);
  EXPECT_EQ(answers(client.read()), Kinds{"failed"});
  for (RawSocket s = invoker.take(); s.stands(); s = invoker.take())
    for (const int code : frames(s.read())) EXPECT_NE(code, 65);  // it may have run: no other attempt
}

TEST_F(RawInvoker, AnAnswerAByteAtATime) {
  for (const char c : ok()) {
    link.write({&c, 1});
    loop.post([&] { loop.stop(); });
    loop.run();
  }
  ASSERT_TRUE(run_until([&] { return !answers(client.read()).empty(); }));
  EXPECT_EQ(answers(client.read()), Kinds{"served"});
}

TEST_F(RawInvoker, ASecondAnswerInOneReadOrLaterIsNone) {
  link.write(ok("first") + ok("second"));
  ASSERT_TRUE(run_until([&] { return !answers(client.read()).empty(); }));
  link.write(ok("third"));
  run_for(50ms);
  EXPECT_EQ(answers(client.read()), Kinds{"served"});
  EXPECT_NE(client.read().find("first"), std::string::npos);
}

// The client's time ends while the answer is on its way: one answer, and the late one is nobody's.
TEST_F(RawInvoker, TheDeadlineCrossesTheAnswer) {
  ASSERT_TRUE(run_until([&] { return !answers(client.read()).empty(); }));
  link.write(ok());
  run_for(50ms);
  EXPECT_EQ(answers(client.read()), Kinds{"failed"});
}

// ---- A link's queue ------------------------------------------------------------------------------------

// The invoker takes no bytes: the machine holds what it can, the rest waits here and would leave when it
// reads.
struct QueuedLink : testing::Test, worker::LinkEvents {
  static constexpr std::uint64_t kCalls = 400;  // of 16 KiB: more than the machine holds for a connection
  net::Loop loop;
  RawListener invoker;
  RawSocket peer;
  platform::ConnectionBudget budget{0, 1, 0};
  platform::LinkOptions options = [] {
    platform::LinkOptions o;
    o.streams = 1000, o.max_connections = 1, o.unresponsive_after = 60s;
    return o;
  }();
  std::map<std::uint64_t, std::vector<Outcome>> ends;
  platform::Link link{loop, WorkerId{1}, invoker.address(), options, budget, *this};

  void on_call_end(WorkerId, std::uint64_t c, CallEnd end) override { ends[c].push_back(end.outcome); }
  void on_piece(WorkerId, std::uint64_t, std::string) override {}
  void on_hold_end(WorkerId, std::uint64_t, Outcome, int) override {}
  void on_probe_end(WorkerId, std::uint64_t, Outcome, LoadReport) override {}
  void on_oddity(WorkerId, const std::string&) override {}
  bool may_start_work(WorkerId) override { return may; }
  bool may_be_sent(WorkerId, std::uint64_t cookie) override { return cookie != over; }
  bool may = true;
  std::uint64_t over = 0;  // the call that may not leave any more
  bool run_until(const std::function<bool()>& done) { return ::laureltide::tests::run_until(loop, done); }

  void SetUp() override {
    for (std::uint64_t c = 1; c <= kCalls; ++c) {
      worker::Call call;
      call.name = platform::id_text(c), call.function = platform::id_text(7), call.request_class = "read";
      link.call(std::move(call), std::string(16 << 10, 'x'), c);
      if (c > 1) continue;
      ASSERT_TRUE(run_until([&] { return peer = invoker.take(), peer.stands(); }));
      ASSERT_TRUE(run_until([&] { return !peer.read().empty(); }));
    }
  }
  // Ids of the whole calls that come when it reads again.
  std::set<std::uint64_t> read_all() {
    run_until([&] {
      return peer.read(), peer.ended() || peer.error() || Crossing::frames(peer.read()).size() == kCalls;
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

// Nobody tells that it leaves: discovery is out of reach, and what was proven of it has run out.
TEST_F(QueuedLink, NothingLeavesWhenItMayNotBeginAnyMore) {
  may = false;
  ASSERT_TRUE(run_until([&] { return ends.size() == kCalls; }));
  EXPECT_LT(read_all().size(), kCalls);
  for (std::uint64_t c = 1; c <= kCalls; ++c) EXPECT_EQ(ends[c], std::vector<Outcome>{Outcome::kReset}) << c;
}

// The workers drop repeats of it no more.
TEST_F(QueuedLink, ACallThatMayNotLeaveAnyMoreDoesNot) {
  over = kCalls;
  ASSERT_TRUE(run_until([&] { return ends.size() == kCalls; }));
  EXPECT_FALSE(read_all().contains(kCalls));
  EXPECT_EQ(ends[kCalls], std::vector<Outcome>{Outcome::kReset});
}

// As few bytes held back as can be: they go at the next turn of the loop when the invoker reads.
struct BarelyQueuedLink : QueuedLink {
  std::uint64_t calls = 0;
  void call() {
    worker::Call call;
    call.name = platform::id_text(++calls), call.function = platform::id_text(7), call.request_class = "read";
    link.call(std::move(call), std::string(16 << 10, 'x'), calls);
  }
  void SetUp() override {
    call();
    ASSERT_TRUE(run_until([&] { return peer = invoker.take(), peer.stands(); }));
    ASSERT_TRUE(run_until([&] { return !peer.read().empty(); }));
    while (link.unsent() == 0 && calls < 4 * kCalls) call();
    ASSERT_GT(link.unsent(), 0U);
  }
};

// The machine takes what was held back between the cancel and the loop's next turn: the invoker is told all
// the same, by a give-up or by the end of the connection, since the call's next attempt may be under way.
TEST_F(BarelyQueuedLink, ACancelIsToldThoughItsBytesAreTakenJustThen) {
  link.cancel(1);
  peer.read();
  ASSERT_TRUE(run_until([&] { return ends[1].size() == 1; }));
  EXPECT_EQ(ends[1], std::vector<Outcome>{Outcome::kCancelled});
  const auto told = [&] {
    const std::vector<int> codes = Crossing::frames(peer.read());
    return peer.ended() || peer.error() != 0 || std::find(codes.begin(), codes.end(), 66) != codes.end();
  };
  EXPECT_TRUE(::laureltide::tests::run_until(loop, told, 2s));
}

TEST_F(QueuedLink, LeavesWhenTheInvokerReads) { EXPECT_EQ(read_all().size(), kCalls); }

TEST_F(QueuedLink, ACallThatNobodyWantsNeverLeaves) {
  link.withdraw(kCalls);
  ASSERT_TRUE(run_until([&] { return ends[kCalls].size() == 1; }));
  EXPECT_EQ(ends[kCalls], std::vector<Outcome>{Outcome::kCancelled});
  EXPECT_FALSE(read_all().contains(kCalls));
  for (std::uint64_t c = 1; c <= kCalls; ++c) EXPECT_EQ(ends[c].size(), 1U) << c;
}

TEST_F(QueuedLink, NothingLeavesForAnInvokerThatLeaves) {
  link.withdraw_waiting();
  ASSERT_TRUE(run_until([&] { return ends.size() == kCalls; }));
  EXPECT_LT(read_all().size(), kCalls);
  for (std::uint64_t c = 1; c <= kCalls; ++c) EXPECT_EQ(ends[c], std::vector<Outcome>{Outcome::kReset}) << c;
}

// ---- Discovery out of reach -------------------------------------------------------------------------------

// The program stands still for longer than the watch may be silent, with a comment of before in its buffer:
// what the bus has told since is not known, so the old comment says nothing and the bus is asked anew.
TEST_F(Crossing, ACommentThatIsReadLateSaysNothing) {
  RawListener raw;
  bus.publish({member("s-1", invoker().address())});
  doc["bus"] = raw.address().text();
  start();
  RawSocket watch;
  ASSERT_TRUE(run_until([&] { return watch = raw.take(), watch.stands(); }));
  watch.write("HTTP/1.1 200 OK\r\n\r\n:\n\n");
  run_for(100ms);
  const auto current = [&] { return node->core().module().list_is_valid(loop.now()); };
  EXPECT_TRUE(current());
  watch.write(":\n\n");
  const auto held = loop.timer([began = loop.now(), this] {
    while (loop.now() - began < 2500ms) {
    }
  });
  held->start(0ms);
  RawSocket next;
  ASSERT_TRUE(run_until([&] { return next = raw.take(), next.stands(); }));
  EXPECT_FALSE(current());
  next.write("HTTP/1.1 200 OK\r\n\r\n:\n\n");
  ASSERT_TRUE(run_until(current));
}

// ---- Discovery ----------------------------------------------------------------------------------------

// The watch falls silent, and the next one too; then the bus is not there. What it told is known in 4 s.
TEST_F(Crossing, AWatchThatFallsSilentTwiceStillTellsADrainInTime) {
  PlatformInvoker &one = invoker(), &two = invoker();
  bus.publish({member("s-1", one.address()), member("s-2", two.address())});
  start();
  ASSERT_TRUE(run_until([&] { return node->feed().connected(); }));
  bus.set_silent(true);
  bus.ignore_next_requests(1);
  const Time began = loop.now();
  bus.publish({member("s-1", one.address(), "leaving")});
  ASSERT_TRUE(run_until([&] { return node->roster().last() == 2; }));
  EXPECT_EQ(bus.asked(), 3U);
  EXPECT_LT(loop.now() - began, Duration(4s));
}

}  // namespace
}  // namespace laureltide::node
