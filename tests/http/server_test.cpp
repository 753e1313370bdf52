// The HTTP server: sequential handling, slow clients, bounds; and the HTTP client.
#include "http/server.h"

#include <gtest/gtest.h>

#include "http/client.h"
#include "sim/network.h"

namespace laureltide::http {
namespace {

using namespace std::chrono_literals;

struct RawClient : io::ConnectionEvents {
  sim::Network& net;
  std::unique_ptr<io::Connection> c;
  std::string received;
  bool open = false, closed = false;
  RawClient(sim::Network& n, const io::Address& to) : net(n) { c = net.connect(to, {}, *this); }
  void on_open() override { open = true; }
  std::size_t on_bytes(std::string_view b) override { return received += b, b.size(); }
  void on_closed(io::CloseReason) override { closed = true; }
  void send(const std::string& text) {
    net.run_until([&] { return open || closed; });
    if (!closed) c->write(text);
  }
  std::size_t answers() const {
    std::size_t n = 0;
    for (std::size_t at = 0; (at = received.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++n;
    return n;
  }
};

struct HttpServer : testing::Test, Server::Events {
  sim::Network net{{1, 50us, 400us, 64U << 10}};
  io::Address at{"127.0.0.1", 8080};
  ServerOptions options;
  std::unique_ptr<Server> server;
  std::vector<std::pair<Server::Ticket, Request>> requests;
  std::vector<Server::Ticket> disconnected;
  bool answer_immediately = true;

  void start() {
    server = std::make_unique<Server>(net, options, *this);
    ASSERT_TRUE(server->listen(at));
  }
  void on_request(Server::Ticket t, Request r) override {
    requests.emplace_back(t, std::move(r));
    if (answer_immediately) respond(requests.size() - 1);
  }
  void respond(std::size_t i) {
    Response r;
    r.body = "answer to " + requests[i].second.target;
    server->respond(requests[i].first, r);
  }
  void on_client_disconnected(Server::Ticket t) override { disconnected.push_back(t); }
  std::string on_invalid_request(int, const std::string& why) override { return why; }
  static std::string get(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }
};

TEST_F(HttpServer, AnswersPipelinedRequestsInOrder) {
  answer_immediately = false;
  start();
  RawClient client(net, at);
  client.send(get("/1") + get("/2") + get("/3"));
  net.run_for(10ms);
  ASSERT_EQ(requests.size(), 1U);  // the second waits until the first is answered
  for (std::size_t i = 0; i < 3; ++i) {
    respond(i);
    net.run_for(10ms);
  }
  const std::size_t one = client.received.find("/1"), two = client.received.find("/2"),
                    three = client.received.find("/3");
  EXPECT_TRUE(one < two && two < three && three != std::string::npos) << client.received;
}

TEST_F(HttpServer, PipelinedRequestsDoNotRecurse) {
  start();
  RawClient client(net, at);
  std::string flood;
  for (int i = 0; i < 20'000; ++i) flood += get("/x");
  client.send(flood);
  net.run_for(1s);
  EXPECT_EQ(client.answers(), 20'000U);
}

TEST_F(HttpServer, BoundsInputBehindOpenRequest) {
  answer_immediately = false;
  start();
  RawClient client(net, at);
  client.send(get("/1"));
  net.run_for(10ms);
  client.send(std::string(10U << 20, 'x'));
  net.run_for(100ms);
  EXPECT_GT(net.unsent(at), 5U << 20);  // the rest stays in the client's send buffer
  respond(0);
  net.run_for(100ms);
  EXPECT_NE(client.received.find("HTTP/1.1 4"), std::string::npos);
  EXPECT_TRUE(client.closed);
}

TEST_F(HttpServer, InvalidRequestIsAnsweredAndLaterInputIgnored) {
  start();
  RawClient client(net, at);
  client.send(
      "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
      get("/smuggled"));
  net.run_for(10ms);
  EXPECT_EQ(requests.size(), 0U);
  EXPECT_EQ(client.answers(), 1U);
  EXPECT_EQ(client.received.rfind("HTTP/1.1 400 Bad Request", 0), 0U) << client.received;
  EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
  net.run_for(1s);
  EXPECT_TRUE(client.closed);
  EXPECT_EQ(server->connections(), 0U);
}

// The same statuses as from the parser alone, sent to the client before the connection is closed.
TEST_F(HttpServer, MalformedRequestsAreAnsweredWithTheirStatus) {
  start();
  for (const auto& [bytes, status] : std::vector<std::pair<std::string, int>>{
           {"GET / HTTP/1.1\r\n\r\n", 400},
           {"GET / HTTP/2.0\r\n\r\n", 505},
           {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n", 413},
           {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
           {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: x\r\n\r\n", 417},
           {"GET /" + std::string(20'000, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n", 414},
           {"GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", 431}}) {
    RawClient client(net, at);
    client.send(bytes);
    net.run_for(1s);
    EXPECT_EQ(client.received.substr(0, 12), "HTTP/1.1 " + std::to_string(status))
        << client.received.substr(0, 80);
    EXPECT_TRUE(client.closed);
    EXPECT_EQ(client.answers(), 1U);
  }
  EXPECT_TRUE(requests.empty());
}

// Slowloris: sending a byte now and then does not keep a connection open.
TEST_F(HttpServer, SlowHeadTimesOut) {
  start();
  RawClient client(net, at);
  const std::string head = "GET / HTTP/1.1\r\nHost: a\r\nX-1: " + std::string(100, 'a');
  for (std::size_t i = 0; i < head.size() && !client.closed; ++i) {
    client.send(head.substr(i, 1));
    net.run_for(500ms);
  }
  EXPECT_TRUE(client.closed);
  EXPECT_NE(client.received.find("408"), std::string::npos) << client.received;
  EXPECT_LT(net.now().time_since_epoch(), 12s);
}

TEST_F(HttpServer, SlowBodyTimesOut) {
  start();
  RawClient client(net, at);
  client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n");
  for (int i = 0; i < 100 && !client.closed; ++i) {
    client.send("x");
    net.run_for(500ms);
  }
  EXPECT_TRUE(client.closed);
  EXPECT_NE(client.received.find("408"), std::string::npos) << client.received;
  EXPECT_LT(net.now().time_since_epoch(), 33s);
}

TEST_F(HttpServer, ClosesIdleConnection) {
  start();
  RawClient client(net, at);
  client.send(get("/1"));
  net.run_for(50s);
  EXPECT_FALSE(client.closed);
  net.run_for(15s);
  EXPECT_TRUE(client.closed);
}

TEST_F(HttpServer, ClosesConnectionOfClientThatDoesNotRead) {
  start();
  RawClient client(net, at);
  net.run_until([&] { return client.open; });
  client.c->read(false);
  client.send(get("/" + std::string(7000, 'y')));
  net.run_for(40s);
  EXPECT_EQ(server->connections(), 0U);
}

TEST_F(HttpServer, ReportsClientDisconnect) {
  answer_immediately = false;
  start();
  {
    RawClient client(net, at);
    client.send(get("/1"));
    net.run_for(10ms);
  }
  net.run_for(10ms);
  ASSERT_EQ(disconnected.size(), 1U);
  EXPECT_EQ(disconnected[0], requests[0].first);
  respond(0);  // does nothing
}

TEST_F(HttpServer, SendsContinueAfterHead) {
  start();
  RawClient client(net, at);
  client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
  net.run_for(10ms);
  EXPECT_EQ(client.received, "HTTP/1.1 100 Continue\r\n\r\n");
  client.send("hi");
  net.run_for(10ms);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].second.body, "hi");
}

TEST_F(HttpServer, HeadResponseHasNoBody) {
  start();
  RawClient client(net, at);
  client.send("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
  net.run_for(10ms);
  EXPECT_EQ(client.received.substr(client.received.size() - 4), "\r\n\r\n");
  EXPECT_NE(client.received.find("Content-Length: 12"), std::string::npos);
}

TEST_F(HttpServer, BoundsConnections) {
  options.max_connections = 2;
  start();
  RawClient a(net, at), b(net, at);
  net.run_for(10ms);
  RawClient c(net, at);
  net.run_for(10ms);
  EXPECT_EQ(server->connections(), 2U);
  c.send(get("/"));
  net.run_for(10ms);
  EXPECT_EQ(c.answers(), 0U);
}

TEST_F(HttpServer, DrainAnswersOpenRequestsAndClosesIdleConnections) {
  answer_immediately = false;
  start();
  RawClient busy(net, at), idle(net, at);
  busy.send(get("/1"));
  net.run_for(10ms);
  server->drain();
  net.run_for(10ms);
  EXPECT_TRUE(idle.closed);
  EXPECT_FALSE(busy.closed);
  respond(0);
  net.run_for(10ms);
  EXPECT_NE(busy.received.find("Connection: close"), std::string::npos);
  EXPECT_EQ(busy.answers(), 1U);
}

TEST_F(HttpServer, ExchangeReportsEveryOutcome) {
  start();
  auto ask = [&](const io::Address& to) {
    std::optional<Exchange::Result> got;
    Request r;
    r.method = "GET", r.target = "/x";
    r.headers.add("Host", "a");
    Exchange e(net, to, r, 5s, {}, [&](Exchange::Result result) { got = std::move(result); });
    net.run_until([&] { return got.has_value(); }, 20s);
    return got.value_or(Exchange::Result{});
  };
  EXPECT_EQ(ask(at).status, 200);
  EXPECT_EQ(ask(at).body, "answer to /x");
  const auto none = ask({"127.0.0.1", 1});
  EXPECT_EQ(none.status, 0);
  EXPECT_FALSE(none.sent);
  answer_immediately = false;
  const auto late = ask(at);
  EXPECT_EQ(late.why, "no answer in time");
  EXPECT_TRUE(late.sent);
  net.after(100ms, [&] { net.break_connections(at); });
  const auto broken = ask(at);
  EXPECT_EQ(broken.status, 0);
  EXPECT_TRUE(broken.sent);
}

TEST(HttpUrl, AcceptsOnlyNumericAddresses) {
  EXPECT_EQ(parse_url("http://127.0.0.1:90/a?b")->target, "/a?b");
  EXPECT_EQ(parse_url("http://127.0.0.1:90")->target, "/");
  for (const char* bad : {"https://127.0.0.1:1/", "http://localhost:1/", "http://127.0.0.1/", "ftp://x", "",
                          "http://127.0.0.1:1/a b", "http://user@127.0.0.1:1/"})
    EXPECT_FALSE(parse_url(bad)) << bad;
}

}  // namespace
}  // namespace laureltide::http
