// AMQP endpoints against each other and against peers that violate the protocol, in simulated time.
#include "amqp/endpoint.h"

#include <gtest/gtest.h>

#include "sim/network.h"
#include "standin/broker.h"

namespace laureltide::amqp {
namespace {

using namespace std::chrono_literals;
const io::Address kAt{"127.0.0.1", 5672};

struct Events : EndpointEvents {
  bool ready = false;
  std::string ended;
  std::vector<Method> methods;
  std::vector<std::pair<Method, Content>> contents;
  std::uint16_t closed_code = 0;
  void on_ready() override { ready = true; }
  void on_method(std::uint16_t, const Method& m) override { methods.push_back(m); }
  void on_content(std::uint16_t, const Method& m, Content c) override {
    contents.emplace_back(m, std::move(c));
  }
  void on_channel_closed(std::uint16_t, std::uint16_t code, const std::string&) override {
    closed_code = code;
  }
  void on_ended(const std::string& why) override { ended = why.empty() ? "?" : why; }
  template <class M>
  bool received() const {
    return std::any_of(methods.begin(), methods.end(), [](auto& m) { return std::holds_alternative<M>(m); });
  }
};

struct Client {
  Events events;
  Endpoint endpoint;
  Client(sim::Network& net, EndpointOptions o = {}) : endpoint(net, Endpoint::Role::kClient, o, events) {
    endpoint.attach(net.connect(kAt, {}, endpoint));
  }
};

// A peer that exchanges raw bytes.
struct RawPeer : io::ConnectionEvents {
  std::unique_ptr<io::Connection> connection;
  std::string received;
  bool open = false, closed = false;
  void on_open() override { open = true; }
  std::size_t on_bytes(std::string_view b) override { return received += b, b.size(); }
  void on_closed(io::CloseReason) override { closed = true; }
  std::optional<std::uint16_t> close_code() const {
    std::size_t at = 0;
    std::optional<std::uint16_t> code;
    while (at < received.size()) {
      const FrameResult f = parse_frame(std::string_view(received).substr(at), 0);
      if (f.kind != FrameResult::Kind::kFrame) break;
      const MethodResult m = parse_method(f.frame.payload);
      if (m.method)
        if (const auto* close = std::get_if<ConnectionClose>(&*m.method)) code = close->reply_code;
      at += f.size;
    }
    return code;
  }
};

struct BrokerFixture {
  sim::Network net;
  standin::NoTape tape;
  standin::Broker broker;
  explicit BrokerFixture(standin::BrokerOptions o = {}) : broker(net, o, tape) {
    EXPECT_TRUE(broker.listen(kAt));
  }
};

TEST(AmqpEndpoint, TunesToSmallerLimits) {
  standin::BrokerOptions o;
  o.channel_max = 10, o.frame_max = 8192, o.heartbeat_s = 60;
  BrokerFixture fixture(o);
  EndpointOptions mine;
  mine.channel_max = 64, mine.frame_max = 128 << 10;
  Client c(fixture.net, mine);
  ASSERT_TRUE(fixture.net.run_until([&] { return c.events.ready; }));
  EXPECT_EQ(c.endpoint.channel_max(), 10);
  EXPECT_EQ(c.endpoint.frame_max(), 8192U);
}

TEST(AmqpEndpoint, ReportsCodesOfWrongPasswordAndVhost) {
  BrokerFixture fixture;
  EndpointOptions o;
  o.password = "no";
  Client wrong(fixture.net, o);
  ASSERT_TRUE(fixture.net.run_until([&] { return !wrong.events.ended.empty(); }));
  EXPECT_TRUE(wrong.events.ended.starts_with("403")) << wrong.events.ended;
  o.password = "guest", o.vhost = "/elsewhere";
  Client wrong_vhost(fixture.net, o);
  ASSERT_TRUE(fixture.net.run_until([&] { return !wrong_vhost.events.ended.empty(); }));
  EXPECT_TRUE(wrong_vhost.events.ended.starts_with("530")) << wrong_vhost.events.ended;
}

// A raw peer with an open connection and channel; the test then sends what it needs.
struct HandshakenPeer : RawPeer {
  HandshakenPeer(sim::Network& net) {
    connection = net.connect(kAt, {}, *this);
    net.run_until([&] { return open; });
    std::string out(kProtocolHeader);
    write_method(out, 0, ConnectionStartOk{{}, "PLAIN", {std::string("\0guest\0guest", 12)}, "en_US"});
    write_method(out, 0, ConnectionTuneOk{100, 4096, 0});
    write_method(out, 0, ConnectionOpen{"/", "", false});
    write_method(out, 1, ChannelOpen{});
    connection->write(out);
    net.run_for(100ms);
  }
};

TEST(AmqpEndpoint, ClosesWithReplyCodeOfEachViolation) {
  struct Case {
    const char* violation;
    std::function<void(std::string&)> bytes;
    std::uint16_t code;
  };
  auto header = [](std::string& out, std::uint64_t size) { write_content_header(out, 1, {60, size, {}}); };
  const std::vector<Case> cases = {
      {"a frame one byte over", [](auto& o) { write_frame(o, FrameType::kBody, 1, std::string(4089, 'x')); },
       501},
      {"no frame end", [](auto& o) { write_frame(o, FrameType::kBody, 1, "x"), o.back() = 0; }, 501},
      {"garbage", [](auto& o) { o += "GET / HTTP/1.1\r\n\r\n"; }, 501},
      {"unknown method",
       [](auto& o) { write_frame(o, FrameType::kMethod, 1, std::string("\0\x63\0\x01", 4)); }, 540},
      {"malformed method",
       [](auto& o) { write_frame(o, FrameType::kMethod, 1, std::string("\0\x32\0\x0a\0", 5)); }, 502},
      {"method on a closed channel", [](auto& o) { write_method(o, 9, BasicQos{}); }, 504},
      {"channel opened twice", [](auto& o) { write_method(o, 1, ChannelOpen{}); }, 504},
      {"channel over the maximum", [](auto& o) { write_method(o, 101, ChannelOpen{}); }, 504},
      {"body without header", [](auto& o) { write_frame(o, FrameType::kBody, 1, "x"); }, 505},
      {"header without method", [&](auto& o) { header(o, 1); }, 505},
      {"method inside content",
       [&](auto& o) { write_method(o, 1, BasicPublish{}), write_method(o, 1, BasicQos{}); }, 505},
      {"more body than told",
       [&](auto& o) {
         write_method(o, 1, BasicPublish{}), header(o, 2), write_frame(o, FrameType::kBody, 1, "long");
       },
       501},
      {"content on channel 0", [](auto& o) { write_frame(o, FrameType::kBody, 0, "x"); }, 503},
      {"a server's method", [](auto& o) { write_method(o, 1, BasicConsumeOk{}); }, 503},
      {"immediate",
       [&](auto& o) {
         write_method(o, 1, BasicPublish{0, "", "q", false, true}), header(o, 0);
       },
       540},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.violation);
    BrokerFixture fixture;
    HandshakenPeer peer(fixture.net);
    std::string out;
    c.bytes(out);
    peer.connection->write(out);
    fixture.net.run_for(10s);
    ASSERT_TRUE(peer.close_code());
    EXPECT_EQ(*peer.close_code(), c.code);
    EXPECT_EQ(fixture.broker.connections(), 0U);
  }
}

TEST(AmqpEndpoint, AnswersOtherProtocolWithSupportedHeader) {
  BrokerFixture fixture;
  RawPeer peer;
  peer.connection = fixture.net.connect(kAt, {}, peer);
  ASSERT_TRUE(fixture.net.run_until([&] { return peer.open; }));
  peer.connection->write(std::string("AMQP\0\1\0\0", 8));
  ASSERT_TRUE(fixture.net.run_until([&] { return peer.closed; }));
  EXPECT_EQ(peer.received, kProtocolHeader);
}

TEST(AmqpEndpoint, ClosesPeersThatDoNotCompleteHandshake) {
  BrokerFixture fixture;
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (const std::string& sent : {std::string(), std::string("AMQ"), std::string(kProtocolHeader)}) {
    peers.push_back(std::make_unique<RawPeer>());
    RawPeer& p = *peers.back();
    p.connection = fixture.net.connect(kAt, {}, p);
    ASSERT_TRUE(fixture.net.run_until([&] { return p.open; }));
    if (!sent.empty()) p.connection->write(sent);
  }
  fixture.net.run_for(15s);
  for (const auto& p : peers) EXPECT_TRUE(p->closed);
  EXPECT_EQ(fixture.broker.connections(), 0U);
}

TEST(AmqpEndpoint, ClientGivesUpOnUnresponsiveBroker) {
  sim::Network net;
  RawPeer unresponsive;
  auto listener = net.listen(kAt, {}, [&](std::unique_ptr<io::Connection> c) {
    unresponsive.connection = std::move(c);
    return &unresponsive;
  });
  Client c(net);
  ASSERT_TRUE(net.run_until([&] { return !c.events.ended.empty(); }, 20s));
}

TEST(AmqpEndpoint, TruncatesOversizedContent) {
  standin::BrokerOptions o;
  o.most_body = 1000;
  BrokerFixture fixture(o);
  Client c(fixture.net);
  ASSERT_TRUE(fixture.net.run_until([&] { return c.events.ready; }));
  c.endpoint.open_channel(1);
  c.endpoint.send_content(1, BasicPublish{}, {}, std::string(5000, 'x'));
  ASSERT_TRUE(fixture.net.run_until([&] { return c.events.closed_code != 0; }));
  EXPECT_EQ(c.events.closed_code, 311);
}

}  // namespace
}  // namespace laureltide::amqp
