// Tests the protocol towards the platform's clients: messages, and the handling of misbehaving clients.
#include <gtest/gtest.h>

#include "front/input_age.h"
#include "front/server.h"
#include "sim/network.h"
#include "standin/platform.h"

namespace laureltide::front {
namespace {

using namespace std::chrono_literals;
using standin::PlatformClient;
const io::Address kAt{"127.0.0.1", 6565};

std::string frame_of(std::int32_t number, const Fields& fields, const std::string& body) {
  return PlatformClient::call_bytes(number, fields, body).substr(4);
}

TEST(FrontMessage, ParsesCallOfAnIndependentEncoder) {
  const std::string body("any\0bytes", 9);
  const Parsed p = parse(frame_of(7, {{"op", "read"}, {"call", "1"}}, body));
  ASSERT_EQ(p.kind, Parsed::Kind::kRequest) << p.why;
  EXPECT_EQ(p.request.number, 7);
  EXPECT_EQ(p.request.fields.at("op"), "read");
  EXPECT_EQ(p.request.body, body);
}

TEST(FrontMessage, RejectsTruncatedAndExtendedMessages) {
  const std::string whole = frame_of(7, {{"op", "read"}, {"call", "1"}}, "body");
  for (std::size_t n = 0; n < whole.size(); ++n)
    EXPECT_NE(parse(std::string_view(whole).substr(0, n)).kind, Parsed::Kind::kRequest) << n;
  EXPECT_EQ(parse(whole + "x").kind, Parsed::Kind::kInvalid);
}

TEST(FrontMessage, SurvivesFalseInnerLengths) {
  const std::string whole = frame_of(7, {{"op", "read"}}, "body");
  for (std::size_t at = 0; at + 4 <= whole.size(); ++at)
    for (const char* lie : {"\xff\xff\xff\xff", "\x7f\xff\xff\xff", "\x80\x00\x00\x01"}) {
      std::string bad = whole;
      bad.replace(at, 4, lie, 4);
      static_cast<void>(parse(bad));  // any result will do, but no throw and no allocation of that size
    }
  std::string old = whole;  // non-strict encoding without a version
  old.replace(0, 4, std::string("\0\0\0\4", 4));
  EXPECT_EQ(parse(old).kind, Parsed::Kind::kBad);
}

TEST(FrontMessage, LimitsBodyAndFields) {
  EXPECT_EQ(parse(frame_of(1, {{"a", "b"}}, std::string(kMaxBodyBytes, 'x'))).kind, Parsed::Kind::kRequest);
  EXPECT_EQ(parse(frame_of(1, {{"a", "b"}}, std::string(kMaxBodyBytes + 1, 'x'))).kind,
            Parsed::Kind::kInvalid);
  Fields many;
  for (int i = 0; i < 100; ++i) many[std::to_string(i)] = "x";
  EXPECT_EQ(parse(frame_of(1, many, "")).kind, Parsed::Kind::kInvalid);
}

// ---- Server -------------------------------------------------------------------------------------------

struct FrontTest : testing::Test, Server::Events {
  sim::Network net;
  ServerOptions options = [] {
    ServerOptions o;
    o.max_connections = 8;
    return o;
  }();
  Server server{net, options, *this};
  std::vector<std::pair<Server::Ticket, Fields>> calls;
  std::vector<Time> arrivals;  // of the calls
  std::vector<Server::Ticket> abandoned;
  int anomalies = 0;

  void SetUp() override { ASSERT_TRUE(server.listen(kAt)); }
  void on_call(Server::Ticket t, Fields f, std::string, Time arrived) override {
    calls.emplace_back(t, std::move(f));
    arrivals.push_back(arrived);
  }
  void on_gone(Server::Ticket t) override { abandoned.push_back(t); }
  bool healthy() override { return true; }
  void on_anomaly(const std::string&) override { ++anomalies; }

  void serve(std::size_t i) {
    Reply r;
    r.kind = Reply::Kind::kServed, r.body = "for " + calls[i].second["n"];
    server.respond(calls[i].first, r);
  }
  static std::string kinds(const PlatformClient& c, std::int32_t number) {
    std::string all;
    const auto [from, to] = c.replies().equal_range(number);
    for (auto it = from; it != to; ++it) all += (all.empty() ? "" : ",") + it->second.kind;
    return all;
  }
};

TEST_F(FrontTest, AnswersInAnyOrderWithMatchingNumbers) {
  PlatformClient client(net, kAt);
  client.health();
  client.call({{"n", "2"}}, ""), client.call({{"n", "3"}}, ""), client.call({{"n", "4"}}, "");
  net.run_for(50ms);
  ASSERT_EQ(calls.size(), 3U);
  serve(2), serve(0);
  Reply refused;
  refused.kind = Reply::Kind::kRefused, refused.fields["pushback"] = "70";
  server.respond(calls[1].first, refused);
  server.respond(calls[1].first, refused);  // a second answer does nothing
  net.run_for(50ms);
  EXPECT_EQ(kinds(client, 1), "health");
  EXPECT_TRUE(client.replies().find(1)->second.good);
  EXPECT_EQ(client.replies().find(2)->second.body, "for 2");
  EXPECT_EQ(client.replies().find(4)->second.body, "for 4");
  EXPECT_EQ(kinds(client, 3), "refused");
  EXPECT_EQ(client.replies().find(3)->second.pushback, "70");
  EXPECT_EQ(server.open_calls(), 0U);
}

TEST_F(FrontTest, ClosesConnectionOnExcessiveFrameLength) {
  for (const char* head : {"\xff\xff\xff\xff", "\x80\x00\x00\x00", "\x03\x93\x87\x00", "\x7f\xff\xff\xff"}) {
    PlatformClient client(net, kAt);
    client.raw(std::string_view(head, 4));
    net.run_for(20ms);
    EXPECT_EQ(kinds(client, 0), "exception");
    EXPECT_TRUE(client.closed());
  }
  EXPECT_EQ(server.connections(), 0U);
}

TEST_F(FrontTest, FailsOpenCallsWhenItClosesAConnection) {
  PlatformClient client(net, kAt);
  client.call({{"n", "1"}}, "");
  net.run_for(20ms);
  client.raw(std::string(4, '\xff'));
  net.run_for(20ms);
  EXPECT_EQ(kinds(client, 1), "failed");
  EXPECT_TRUE(client.closed());
  ASSERT_EQ(abandoned.size(), 1U);  // reported once
  serve(0);
  net.run_for(20ms);
  EXPECT_EQ(kinds(client, 1), "failed");
}

TEST_F(FrontTest, ClosesConnectionOnReusedSequenceNumber) {
  PlatformClient client(net, kAt);
  client.raw(PlatformClient::call_bytes(5, {{"n", "a"}}, "") +
             PlatformClient::call_bytes(5, {{"n", "b"}}, "x"));
  net.run_for(20ms);
  EXPECT_EQ(calls.size(), 1U);
  EXPECT_EQ(kinds(client, 5), "failed");
  EXPECT_TRUE(client.closed());
  PlatformClient later(net, kAt);  // a number whose call was already answered
  later.raw(PlatformClient::call_bytes(5, {{"n", "a"}}, ""));
  net.run_for(20ms);
  serve(1);
  net.run_for(20ms);
  later.raw(PlatformClient::call_bytes(5, {{"n", "a"}}, ""));
  net.run_for(20ms);
  EXPECT_TRUE(later.closed());
  EXPECT_EQ(calls.size(), 2U);
  EXPECT_EQ(kinds(later, 5).substr(0, 6), "served");
}

TEST_F(FrontTest, RefusesCallsOverTheOpenCallLimit) {
  PlatformClient client(net, kAt);
  for (int i = 0; i < 40; ++i) client.call({{"n", "x"}}, "");
  net.run_for(20ms);
  EXPECT_EQ(calls.size(), 32U);
  for (std::int32_t n = 33; n <= 40; ++n) EXPECT_EQ(kinds(client, n), "refused");
  EXPECT_TRUE(client.open());
}

TEST_F(FrontTest, CancelledCallGetsNoReply) {
  PlatformClient client(net, kAt);
  const auto n = client.call({{"n", "x"}}, "");
  client.cancel(n), client.cancel(n), client.cancel(999);
  net.run_for(20ms);
  EXPECT_EQ(abandoned.size(), 1U);
  serve(0);
  net.run_for(20ms);
  EXPECT_TRUE(client.replies().empty());
  EXPECT_TRUE(client.open());
}

TEST_F(FrontTest, ClosesConnectionOnTooManyCancels) {
  PlatformClient client(net, kAt);
  for (int i = 0; i < 300; ++i) client.cancel(client.call({{"n", "x"}}, ""));
  net.run_for(20ms);
  EXPECT_TRUE(client.closed());
  EXPECT_EQ(server.open_calls(), 0U);
}

TEST_F(FrontTest, ClosesConnectionsWithoutDataOrWithPartialFrames) {
  PlatformClient silent(net, kAt), half(net, kAt), idle(net, kAt);
  half.raw(PlatformClient::call_bytes(1, {{"n", "x"}}, "body").substr(0, 30));
  idle.call({{"n", "x"}}, "");
  net.run_for(100ms);
  serve(0);
  net.run_for(2800ms);
  EXPECT_TRUE(silent.closed());
  EXPECT_TRUE(half.closed());
  EXPECT_TRUE(idle.open());  // idle after its answer
  net.run_for(60s);
  EXPECT_TRUE(idle.open());
}

TEST_F(FrontTest, AcceptsCallSentByteByByte) {
  PlatformClient client(net, kAt);
  const std::string bytes = PlatformClient::call_bytes(1, {{"n", "x"}}, std::string(50, 'x'));
  for (const char c : bytes) client.raw({&c, 1}), net.run_for(10ms);
  EXPECT_EQ(calls.size(), 1U);
}

TEST_F(FrontTest, InvalidRequestsGetAnExceptionAndTheConnectionStays) {
  PlatformClient client(net, kAt);
  std::string other = PlatformClient::call_bytes(1, {}, "");
  other.replace(12, 4, "tell");
  client.raw(other);
  client.raw(PlatformClient::call_bytes(2, {{"n", "x"}}, std::string(kMaxBodyBytes + 1, 'x')));
  client.raw(PlatformClient::call_bytes(3, {{"n", "x"}}, ""));
  net.run_for(20ms);
  EXPECT_EQ(kinds(client, 1), "exception");
  EXPECT_EQ(kinds(client, 2), "exception");
  EXPECT_EQ(calls.size(), 1U);
  EXPECT_TRUE(client.open());
}

TEST_F(FrontTest, ClosesLongestIdleConnectionAtTheLimit) {
  std::vector<std::unique_ptr<PlatformClient>> all;
  for (int i = 0; i < 8; ++i) {
    all.push_back(std::make_unique<PlatformClient>(net, kAt));
    if (i != 3) all.back()->call({{"n", "x"}}, "");
    net.run_for(10ms);
  }
  serve(0);  // the first is idle; the fourth never sent data
  PlatformClient more(net, kAt);
  more.call({{"n", "y"}}, "");
  net.run_for(20ms);
  EXPECT_TRUE(all[3]->closed());
  EXPECT_TRUE(all[0]->open());
  PlatformClient another(net, kAt);
  another.call({{"n", "y"}}, "");
  net.run_for(20ms);
  EXPECT_TRUE(all[0]->closed());
  EXPECT_TRUE(another.open());
  PlatformClient none(net, kAt);  // all have open calls
  none.call({{"n", "y"}}, "");
  net.run_for(20ms);
  EXPECT_TRUE(none.closed());
  EXPECT_EQ(server.connections(), 8U);
}

// Several clients whose bytes all arrive at the same moment.
struct FrontTurns : FrontTest {
  sim::Network fixed{{1, 100us, 100us, 0}};
  ServerOptions many = [] {
    ServerOptions o;
    o.max_connections = 32;
    return o;
  }();
  Server turns{fixed, many, *this};
  std::vector<std::unique_ptr<PlatformClient>> clients;

  void connect(int count) {
    ASSERT_TRUE(turns.listen(kAt));
    for (int i = 0; i < count; ++i) clients.push_back(std::make_unique<PlatformClient>(fixed, kAt));
    fixed.run_for(10ms);
  }
  static std::string messages(const std::string& sender, std::int32_t count) {
    std::string bytes;
    for (std::int32_t n = 1; n <= count; ++n) bytes += PlatformClient::call_bytes(n, {{"n", sender}}, "");
    return bytes;
  }
  std::ptrdiff_t first_call_of(const std::string& sender) const {
    const auto is_sender = [&](const auto& call) { return call.second.at("n") == sender; };
    return std::find_if(calls.begin(), calls.end(), is_sender) - calls.begin();
  }
};

TEST_F(FrontTurns, BacklogOfOneConnectionDoesNotDelayOthers) {
  ASSERT_NO_FATAL_FAILURE(connect(2));
  clients[0]->raw(messages("flood", 400));
  clients[1]->raw(messages("other", 1));
  fixed.run_for(50ms);
  EXPECT_LE(first_call_of("other"), 16);  // behind two visits to the flood
  EXPECT_EQ(calls.size(), 32U + 1U);
  EXPECT_EQ(clients[0]->replies().size(), 400U - 32U);
}

TEST_F(FrontTurns, ATurnOfTheLoopHandlesABoundedNumberOfMessages) {
  ASSERT_NO_FATAL_FAILURE(connect(16));
  for (const auto& client : clients) client->raw(messages("flood", 30));
  std::size_t most = 0;
  while (calls.size() < 480U) {
    const std::size_t before = calls.size();
    ASSERT_TRUE(fixed.step());
    most = std::max(most, calls.size() - before);
  }
  EXPECT_LE(most, many.messages_per_turn);
}

TEST_F(FrontTurns, ConnectionsTakeTurns) {
  ASSERT_NO_FATAL_FAILURE(connect(8));
  for (std::size_t i = 0; i < 8; ++i) clients[i]->raw(messages(std::to_string(i), 30));
  fixed.run_for(50ms);
  ASSERT_EQ(calls.size(), 240U);
  for (std::size_t i = 0; i < 8; ++i) EXPECT_LT(first_call_of(std::to_string(i)), 72) << i;
}

// What a client sent before it left is not begun for nobody, on a worker.
TEST_F(FrontTurns, MessagesOfAClientThatLeftAreNotHandled) {
  ASSERT_NO_FATAL_FAILURE(connect(1));
  clients[0]->raw(messages("gone", 30));
  while (calls.empty()) fixed.step();
  clients[0]->disconnect();
  fixed.run_for(50ms);
  EXPECT_EQ(calls.size(), many.messages_per_visit);
  EXPECT_EQ(abandoned.size(), calls.size());
  EXPECT_EQ(turns.connections(), 0U);
}

// ---- Memory -------------------------------------------------------------------------------------------

// A client that sends on and reads none of its answers is held back, then closed.
TEST_F(FrontTest, DoesNotReadFromAClientThatDoesNotReadItsAnswers) {
  PlatformClient client(net, kAt);
  net.run_for(10ms);
  client.raw(PlatformClient::call_bytes(1, {{"n", "x"}}, ""));
  net.run_for(10ms);
  ASSERT_EQ(calls.size(), 1U);
  Reply large;
  large.kind = Reply::Kind::kServed, large.body = std::string(200'000, 'x');
  client.stop_reading();
  server.respond(calls[0].first, large);
  for (std::int32_t n = 2; n <= 20; ++n) client.raw(PlatformClient::call_bytes(n, {{"n", "x"}}, ""));
  net.run_for(1s);
  EXPECT_EQ(calls.size(), 1U);
  EXPECT_EQ(server.connections(), 1U);
  net.run_for(2s);
  EXPECT_EQ(server.connections(), 0U);
}

TEST_F(FrontTest, ReadsOnOnceTheAnswersAreRead) {
  PlatformClient client(net, kAt);
  client.raw(PlatformClient::call_bytes(1, {{"n", "x"}}, ""));
  net.run_for(10ms);
  Reply large;
  large.kind = Reply::Kind::kServed, large.body = std::string(200'000, 'x');
  client.stop_reading();
  server.respond(calls[0].first, large);
  client.raw(PlatformClient::call_bytes(2, {{"n", "x"}}, ""));
  net.run_for(500ms);
  EXPECT_EQ(calls.size(), 1U);
  client.resume_reading();
  net.run_for(100ms);
  EXPECT_EQ(calls.size(), 2U);
  EXPECT_EQ(client.replies().size(), 1U);
  EXPECT_TRUE(client.open());
}

// A call that waited because its client did not read has used up that much of its time.
TEST_F(FrontTest, ArrivalOfACallCountsTheTimeItWaitedUnread) {
  PlatformClient client(net, kAt);
  client.raw(PlatformClient::call_bytes(1, {{"n", "x"}}, ""));
  net.run_for(10ms);
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_GE(arrivals[0], net.now() - 10ms);
  const Time read_at = net.now();
  Reply large;
  large.kind = Reply::Kind::kServed, large.body = std::string(200'000, 'x');
  client.stop_reading();
  server.respond(calls[0].first, large);
  client.raw(PlatformClient::call_bytes(2, {{"n", "x"}}, ""));
  net.run_for(500ms);
  client.resume_reading();
  net.run_for(100ms);
  ASSERT_EQ(calls.size(), 2U);
  EXPECT_LE(arrivals[1], read_at + 10ms);
  client.raw(PlatformClient::call_bytes(3, {{"n", "x"}}, ""));
  net.run_for(10ms);
  ASSERT_EQ(calls.size(), 3U);
  EXPECT_GE(arrivals[2], net.now() - 10ms);
}

TEST(InputAge, TellsTheArrivalOfEachByte) {
  const Time start{};
  InputAge age;
  age.on_input(10, start + 1s);
  age.on_input(30, start + 2s);
  age.on_input(30, start + 3s);  // nothing new
  EXPECT_EQ(age.arrival_of(9), start + 1s);
  EXPECT_EQ(age.arrival_of(10), start + 2s);
  age.on_handled(15);
  EXPECT_EQ(age.arrival_of(0), start + 2s);
  age.on_input(16, start + 4s);
  EXPECT_EQ(age.arrival_of(14), start + 2s);
  EXPECT_EQ(age.arrival_of(15), start + 4s);
  for (int i = 0; i < 1000; ++i) age.on_input(17 + static_cast<std::size_t>(i), start + 5s + i * 1s);
  EXPECT_LE(age.arrival_of(1015), start + 100s);  // bounded: older than it is
}

// Many clients stop in the middle of a large request.
TEST_F(FrontTest, HalfRequestsOfAllClientsAreBoundedTogether) {
  ServerOptions small;
  small.max_connections = 100;
  small.max_buffered_bytes = 200'000;
  const io::Address at{"127.0.0.1", 6566};
  Server bounded(net, small, *this);
  ASSERT_TRUE(bounded.listen(at));
  const std::string half =
      PlatformClient::call_bytes(1, {{"n", "x"}}, std::string(15'000, 'x')).substr(0, 14'000);
  std::vector<std::unique_ptr<PlatformClient>> all;
  PlatformClient sound(net, at);
  sound.call({{"n", "sound"}}, "");
  for (int i = 0; i < 60; ++i) {
    all.push_back(std::make_unique<PlatformClient>(net, at));
    all.back()->raw(half);
    net.run_for(2ms);
    ASSERT_LE(bounded.buffered_bytes(), small.max_buffered_bytes);
  }
  EXPECT_GE(bounded.connections(), 14U);
  EXPECT_TRUE(sound.open());
}

TEST_F(FrontTest, AbandonsCallsOfAClientThatDisconnects) {
  auto client = std::make_unique<PlatformClient>(net, kAt);
  client->call({{"n", "x"}}, "");
  net.run_for(20ms);
  client->disconnect();
  net.run_for(20ms);
  EXPECT_EQ(abandoned.size(), 1U);
  EXPECT_EQ(server.open_calls(), 0U);
  EXPECT_EQ(server.connections(), 0U);
}

}  // namespace
}  // namespace laureltide::front
