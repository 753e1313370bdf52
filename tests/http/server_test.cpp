// The server's end: one request after the other, slow clients, bounds; and the client's.
#include "http/server.h"

#include <gtest/gtest.h>

#include "http/client.h"
#include "sim/network.h"

namespace laureltide::http {
namespace {

using namespace std::chrono_literals;

struct Raw : io::ConnectionEvents {
  sim::Network& net;
  std::unique_ptr<io::Connection> c;
  std::string heard;
  bool open = false, closed = false;
  Raw(sim::Network& n, const io::Address& to) : net(n) { c = net.connect(to, {}, *this); }
  void on_open() override { open = true; }
  std::size_t on_bytes(std::string_view b) override { return heard += b, b.size(); }
  void on_closed(io::CloseReason) override { closed = true; }
  void say(const std::string& text) {
    net.run_until([&] { return open || closed; });
    if (!closed) c->write(text);
  }
  std::size_t answers() const {
    std::size_t n = 0;
    for (std::size_t at = 0; (at = heard.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++n;
    return n;
  }
};

struct HttpServer : testing::Test, Server::Events {
  sim::Network net{{1, 50us, 400us, 64U << 10}};
  io::Address at{"127.0.0.1", 8080};
  ServerOptions options;
  std::unique_ptr<Server> server;
  std::vector<std::pair<Server::Ticket, Request>> requests;
  std::vector<Server::Ticket> gone;
  bool answer_at_once = true;

  void start() {
    server = std::make_unique<Server>(net, options, *this);
    ASSERT_TRUE(server->listen(at));
  }
  void on_request(Server::Ticket t, Request r) override {
    requests.emplace_back(t, std::move(r));
    if (answer_at_once) respond(requests.size() - 1);
  }
  void respond(std::size_t i) {
    Response r;
    r.body = "answer to " + requests[i].second.target;
    server->respond(requests[i].first, r);
  }
  void on_client_disconnected(Server::Ticket t) override { gone.push_back(t); }
  std::string on_invalid_request(int, const std::string& why) override { return why; }
  static std::string get(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }
};

TEST_F(HttpServer, PipelinedRequestsAreAnsweredOneAfterTheOther) {
  answer_at_once = false;
  start();
  Raw client(net, at);
  client.say(get("/1") + get("/2") + get("/3"));
  net.run_for(10ms);
  ASSERT_EQ(requests.size(), 1U);  // the second is not begun before the first is answered
  for (std::size_t i = 0; i < 3; ++i) {
    respond(i);
    net.run_for(10ms);
  }
  const std::size_t one = client.heard.find("/1"), two = client.heard.find("/2"),
                    three = client.heard.find("/3");
  EXPECT_TRUE(one < two && two < three && three != std::string::npos) << client.heard;
}

TEST_F(HttpServer, AFloodOfPipelinedRequestsNeedsNoStack) {
  start();
  Raw client(net, at);
  std::string flood;
  for (int i = 0; i < 20'000; ++i) flood += get("/x");
  client.say(flood);
  net.run_for(1s);
  EXPECT_EQ(client.answers(), 20'000U);
}

TEST_F(HttpServer, WhatWaitsBehindAnOpenRequestIsBounded) {
  answer_at_once = false;
  start();
  Raw client(net, at);
  client.say(get("/1"));
  net.run_for(10ms);
  client.say(std::string(10U << 20, 'x'));
  net.run_for(100ms);
  EXPECT_GT(net.unsent(at), 5U << 20);  // it stays with the client
  respond(0);
  net.run_for(100ms);
  EXPECT_NE(client.heard.find("HTTP/1.1 4"), std::string::npos);
  EXPECT_TRUE(client.closed);
}

TEST_F(HttpServer, ABadRequestIsAnsweredAndNothingBehindItIsRead) {
  start();
  Raw client(net, at);
  client.say("GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
             get("/smuggled"));
  net.run_for(10ms);
  EXPECT_EQ(requests.size(), 0U);
  EXPECT_EQ(client.answers(), 1U);
  EXPECT_EQ(client.heard.rfind("HTTP/1.1 400 Bad Request", 0), 0U) << client.heard;
  EXPECT_NE(client.heard.find("Connection: close"), std::string::npos);
  net.run_for(1s);
  EXPECT_TRUE(client.closed);
  EXPECT_EQ(server->connections(), 0U);
}

// Slowloris: a byte now and then keeps nothing open.
// On the whole path too: the status that says why, and then the connection ends.
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
    Raw client(net, at);
    client.say(bytes);
    net.run_for(1s);
    EXPECT_EQ(client.heard.substr(0, 12), "HTTP/1.1 " + std::to_string(status)) << client.heard.substr(0, 80);
    EXPECT_TRUE(client.closed);
    EXPECT_EQ(client.answers(), 1U);
  }
  EXPECT_TRUE(requests.empty());
}

TEST_F(HttpServer, AHeadThatDripsIsGivenUp) {
  start();
  Raw client(net, at);
  const std::string head = "GET / HTTP/1.1\r\nHost: a\r\nX-1: " + std::string(100, 'a');
  for (std::size_t i = 0; i < head.size() && !client.closed; ++i) {
    client.say(head.substr(i, 1));
    net.run_for(500ms);
  }
  EXPECT_TRUE(client.closed);
  EXPECT_NE(client.heard.find("408"), std::string::npos) << client.heard;
  EXPECT_LT(net.now().time_since_epoch(), 12s);
}

TEST_F(HttpServer, ABodyThatDripsIsGivenUp) {
  start();
  Raw client(net, at);
  client.say("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n");
  for (int i = 0; i < 100 && !client.closed; ++i) {
    client.say("x");
    net.run_for(500ms);
  }
  EXPECT_TRUE(client.closed);
  EXPECT_NE(client.heard.find("408"), std::string::npos) << client.heard;
  EXPECT_LT(net.now().time_since_epoch(), 33s);
}

TEST_F(HttpServer, AnIdleConnectionIsClosed) {
  start();
  Raw client(net, at);
  client.say(get("/1"));
  net.run_for(50s);
  EXPECT_FALSE(client.closed);
  net.run_for(15s);
  EXPECT_TRUE(client.closed);
}

TEST_F(HttpServer, AClientThatDoesNotReadIsHungUpOn) {
  start();
  Raw client(net, at);
  net.run_until([&] { return client.open; });
  client.c->read(false);
  client.say(get("/" + std::string(7000, 'y')));
  net.run_for(40s);
  EXPECT_EQ(server->connections(), 0U);
}

TEST_F(HttpServer, AClientThatGoesIsTold) {
  answer_at_once = false;
  start();
  {
    Raw client(net, at);
    client.say(get("/1"));
    net.run_for(10ms);
  }
  net.run_for(10ms);
  ASSERT_EQ(gone.size(), 1U);
  EXPECT_EQ(gone[0], requests[0].first);
  respond(0);  // does nothing
}

TEST_F(HttpServer, ContinueIsSaidOnceTheHeadIsRead) {
  start();
  Raw client(net, at);
  client.say("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
  net.run_for(10ms);
  EXPECT_EQ(client.heard, "HTTP/1.1 100 Continue\r\n\r\n");
  client.say("hi");
  net.run_for(10ms);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].second.body, "hi");
}

TEST_F(HttpServer, HeadHasNoBody) {
  start();
  Raw client(net, at);
  client.say("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
  net.run_for(10ms);
  EXPECT_EQ(client.heard.substr(client.heard.size() - 4), "\r\n\r\n");
  EXPECT_NE(client.heard.find("Content-Length: 12"), std::string::npos);
}

TEST_F(HttpServer, ConnectionsAreBounded) {
  options.max_connections = 2;
  start();
  Raw a(net, at), b(net, at);
  net.run_for(10ms);
  Raw c(net, at);
  net.run_for(10ms);
  EXPECT_EQ(server->connections(), 2U);
  c.say(get("/"));
  net.run_for(10ms);
  EXPECT_EQ(c.answers(), 0U);
}

TEST_F(HttpServer, DrainAnswersWhatItHasAndTakesNoMore) {
  answer_at_once = false;
  start();
  Raw busy(net, at), idle(net, at);
  busy.say(get("/1"));
  net.run_for(10ms);
  server->drain();
  net.run_for(10ms);
  EXPECT_TRUE(idle.closed);
  EXPECT_FALSE(busy.closed);
  respond(0);
  net.run_for(10ms);
  EXPECT_NE(busy.heard.find("Connection: close"), std::string::npos);
  EXPECT_EQ(busy.answers(), 1U);
}

TEST_F(HttpServer, ExchangesEndInEveryWayThereIs) {
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
  answer_at_once = false;
  const auto late = ask(at);
  EXPECT_EQ(late.why, "no answer in time");
  EXPECT_TRUE(late.sent);
  net.after(100ms, [&] { net.break_connections(at); });
  const auto broke = ask(at);
  EXPECT_EQ(broke.status, 0);
  EXPECT_TRUE(broke.sent);
}

TEST(HttpUrl, NumericAddressesOnly) {
  EXPECT_EQ(parse_url("http://127.0.0.1:90/a?b")->target, "/a?b");
  EXPECT_EQ(parse_url("http://127.0.0.1:90")->target, "/");
  for (const char* bad : {"https://127.0.0.1:1/", "http://localhost:1/", "http://127.0.0.1/", "ftp://x", "",
                          "http://127.0.0.1:1/a b", "http://user@127.0.0.1:1/"})
    EXPECT_FALSE(parse_url(bad)) << bad;
}

}  // namespace
}  // namespace laureltide::http
