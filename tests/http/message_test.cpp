// The HTTP parser: valid messages, and a hundred malformed ones with the status of each.
#include "http/message.h"

#include <gtest/gtest.h>

#include <random>

namespace laureltide::http {
namespace {

struct ParseOutcome {
  Parser::State state = Parser::State::kNeedMore;
  Request request;
  int error = 0;
  std::string why;
  std::size_t used = 0;
};
Limits small_limits() {
  Limits l;
  l.max_body_bytes = 1000;
  return l;
}
ParseOutcome parse_request(std::string_view bytes, std::size_t piece = 0) {
  Parser p(Parser::Side::kRequest, small_limits());
  ParseOutcome r;
  while (r.used < bytes.size() && r.state == Parser::State::kNeedMore) {
    std::size_t used = 0;
    const std::string_view next = bytes.substr(r.used, piece ? piece : std::string_view::npos);
    r.state = p.feed(next, used);
    r.used += used;
    if (used == 0 && r.state == Parser::State::kNeedMore) break;
  }
  r.request = p.request(), r.error = p.error(), r.why = p.why();
  return r;
}
const std::string kHost = "Host: a\r\n";

TEST(HttpParser, ParsesRequestsInPiecesOfAnySize) {
  const std::string plain =
      "POST /v1/x?q=1 HTTP/1.1\r\n" + kHost + "Content-Length: 5\r\nX-Y:  a b \r\n\r\nhello";
  const std::string chunked =
      "POST /c HTTP/1.1\r\n" + kHost +
      "Transfer-Encoding: Chunked\r\n\r\n5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nT: z\r\n\r\n";
  for (std::size_t piece = 0; piece < 40; ++piece) {
    const ParseOutcome a = parse_request(plain + "GET", piece);
    ASSERT_EQ(a.state, Parser::State::kDone) << piece << a.why;
    EXPECT_EQ(a.request.method, "POST");
    EXPECT_EQ(a.request.target, "/v1/x?q=1");
    EXPECT_EQ(*a.request.headers.find("x-y"), "a b");
    EXPECT_EQ(a.request.body, "hello");
    EXPECT_EQ(a.used, plain.size());  // the bytes that follow belong to the next message
    const ParseOutcome b = parse_request(chunked, piece);
    ASSERT_EQ(b.state, Parser::State::kDone) << piece << b.why;
    EXPECT_EQ(b.request.body, "hello world");
    EXPECT_EQ(b.request.headers.find("T"), nullptr);
    EXPECT_EQ(b.used, chunked.size());
  }
}

TEST(HttpParser, KeepAlive) {
  EXPECT_TRUE(parse_request("GET / HTTP/1.1\r\n" + kHost + "\r\n").request.keep_alive());
  EXPECT_FALSE(
      parse_request("GET / HTTP/1.1\r\n" + kHost + "Connection: x, Close\r\n\r\n").request.keep_alive());
  EXPECT_FALSE(parse_request("GET / HTTP/1.0\r\n\r\n").request.keep_alive());
  EXPECT_TRUE(parse_request("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n").request.keep_alive());
}

struct MalformedRequest {
  std::string bytes;
  int status;
};
std::vector<MalformedRequest> malformed() {
  const std::string get = "GET / HTTP/1.1\r\n", post = "POST / HTTP/1.1\r\n" + kHost;
  std::vector<MalformedRequest> all{
      // Request smuggling: messages whose end lenient parsers disagree about.
      {post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400},
      {post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400},
      {post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400},
      {post + "Content-Length: 5, 5\r\n\r\nhello", 400},
      {post + "Content-Length: +5\r\n\r\nhello", 400},
      {post + "Content-Length: -5\r\n\r\nhello", 400},
      {post + "Content-Length: 0x5\r\n\r\nhello", 400},
      {post + "Content-Length: 5 5\r\n\r\nhello", 400},
      {post + "Content-Length: five\r\n\r\nhello", 400},
      {post + "Content-Length:\r\n\r\nhello", 400},
      {post + "Content-Length : 5\r\n\r\nhello", 400},
      {post + "Content-Length\t: 5\r\n\r\nhello", 400},
      {post + " Content-Length: 5\r\n\r\nhello", 400},
      {post + "X: a\r\n folded\r\n\r\n", 400},
      {post + "X: a\r\n\tfolded\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", 400},
      {post + "Transfer-Encoding: identity\r\n\r\n", 501},
      {post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
      {post + "Transfer-Encoding: chunked, chunked\r\n\r\n", 501},
      {post + "Transfer-Encoding: \"chunked\"\r\n\r\n", 501},
      {post + "Transfer-Encoding: xchunked\r\n\r\n", 501},
      {post + "Transfer-Encoding:\r\n\r\n", 501},
      {post + "Transfer-Encoding: \vchunked\r\n\r\n", 400},
      {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {post + "X: a\rY: b\r\n\r\n", 400},
      {post + "X: a\nY: b\r\n\r\n", 400},
      {post + "X: a\r\n\n", 400},
      {get + "Host: a\n\r\n", 400},
      {"GET / HTTP/1.1\n" + kHost + "\r\n", 400},
      {"GET / HTTP/1.1\r" + kHost + "\r\n", 400},
      {post + "X: a\r\r\n\r\n", 400},
      // Chunks.
      {post + "Transfer-Encoding: chunked\r\n\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\nx\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n5 5\r\nhello\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloX\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\n0\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n123456789\r\n", 413},
      {post + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", 413},
      {post + "Transfer-Encoding: chunked\r\n\r\n5;" + std::string(300, 'x') + "\r\nhello\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n5;a\x01\r\nhello\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n0\r\nno colon\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n0\r\nA : b\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n folded\r\n\r\n", 400},
      // Bounds.
      // 2^64 + 5 must not overflow to 5.
      {post + "Transfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello\r\n0\r\n\r\n", 413},
      {"GET /\x01 HTTP/1.1\r\n" + kHost + "\r\n", 400},
      {"GET /a b HTTP/1.1\r\n" + kHost + "\r\n", 400},
      {"GET /\x7f HTTP/1.1\r\n" + kHost + "\r\n", 400},
      {post + "Content-Length: 1001\r\n\r\n", 413},
      {post + "Content-Length: 99999999999999999999\r\n\r\n", 413},
      {post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n", 413},
      {"GET /" + std::string(9000, 'x') + " HTTP/1.1\r\n" + kHost + "\r\n", 414},
      {"GET /" + std::string(40000, 'x'), 414},
      {get + "X: " + std::string(20000, 'x') + "\r\n\r\n", 431},
      {get + "X: " + std::string(40000, 'x'), 431},
      {post + "Transfer-Encoding: chunked\r\n\r\n0\r\nT: " + std::string(20000, 'x') + "\r\n\r\n", 431},
      // Request lines.
      {"GET\r\n\r\n", 400},
      {"GET /\r\n\r\n", 400},
      {"GET / \r\n\r\n", 400},
      {" GET / HTTP/1.1\r\n\r\n", 400},
      {"GET  / HTTP/1.1\r\n\r\n", 400},
      {"GET / / HTTP/1.1\r\n\r\n", 400},
      {"GET /\tx HTTP/1.1\r\n\r\n", 400},
      {"GET /\x7f HTTP/1.1\r\n\r\n", 400},
      {"GET /\xc3\xa9 HTTP/1.1\r\n\r\n", 400},
      {std::string("GET /\0 HTTP/1.1\r\n\r\n", 19), 400},
      {"G(T / HTTP/1.1\r\n\r\n", 400},
      {"G\x01T / HTTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/1.1 \r\n\r\n", 400},
      {"GET / http/1.1\r\n\r\n", 400},
      {"GET / HTTP/11\r\n\r\n", 400},
      {"GET / HTTP/1.10\r\n\r\n", 400},
      {"GET / HTTP/x.1\r\n\r\n", 400},
      {"GET / HTTP/1.x\r\n\r\n", 400},
      {"GET / HTTP/a.1\r\n\r\n", 400},
      {"GET / FTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/2.0\r\n\r\n", 505},
      {"GET / HTTP/0.9\r\n\r\n", 505},
      {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505},
      {"\r\n\r\n\r\n", 400},
      {"\x16\x03\x01\x02\n", 400},
      {"EHLO there\r\n", 400},
      // Header lines.
      {get + "\r\n", 400},
      {get + kHost + kHost + "\r\n", 400},
      {get + kHost + "host: b\r\n\r\n", 400},
      {"GET / HTTP/1.0\r\n" + kHost + kHost + "\r\n", 400},
      {get + kHost + "no colon\r\n\r\n", 400},
      {get + kHost + ": empty\r\n\r\n", 400},
      {get + kHost + "A B: c\r\n\r\n", 400},
      {get + kHost + "A(: c\r\n\r\n", 400},
      {get + kHost + "\xc3\xa9: c\r\n\r\n", 400},
      {get + kHost + std::string("A\0: c\r\n\r\n", 9), 400},
      {get + kHost + std::string("A: c\0d\r\n\r\n", 10), 400},
      {get + kHost + "A: c\x01\r\n\r\n", 400},
      {get + kHost + "A: c\x7f\r\n\r\n", 400},
      {get + kHost + "A: c\vd\r\n\r\n", 400},
      {get + kHost + "A: c\x1b[0m\r\n\r\n", 400},
      {get + kHost + "\"A\": c\r\n\r\n", 400},
      {get + kHost + "A@b: c\r\n\r\n", 400},
      {post + "Content-Length: 5\r\nExpect: a-pony\r\n\r\nhello", 417},
      {post + "Content-Length: 5\r\nExpect: 100-continue, x\r\n\r\nhello", 417},
  };
  std::string many = get + kHost;
  for (int i = 0; i < 101; ++i) many += "A: b\r\n";
  all.push_back({many + "\r\n", 431});
  return all;
}

TEST(HttpParser, RejectsMalformedRequestsWithTheirStatus) {
  const auto all = malformed();
  ASSERT_GE(all.size(), 100U);
  for (const MalformedRequest& each : all)
    for (const std::size_t piece : {std::size_t{0}, std::size_t{1}, std::size_t{7}}) {
      const ParseOutcome r = parse_request(each.bytes, piece);
      EXPECT_EQ(r.state, Parser::State::kInvalid) << testing::PrintToString(each.bytes.substr(0, 120));
      EXPECT_EQ(r.error, each.status) << testing::PrintToString(each.bytes.substr(0, 120)) << " " << r.why;
      EXPECT_FALSE(r.why.empty());
    }
}

// Random input must give the same result in one piece and in several.
TEST(HttpParser, RandomInputParsesTheSameInAnyPieces) {
  std::mt19937_64 random(7);
  const std::vector<std::string> words{"GET ",     "POST ",   "/ ",
                                       "HTTP/1.1", "\r\n",    "\n",
                                       "\r",       "Host: a", "Content-Length: ",
                                       "5",        "0",       "Transfer-Encoding: chunked",
                                       " ",        ":",       "hello",
                                       ";",        "\t",      "a"};
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = i % 2 ? "POST / HTTP/1.1\r\nHost: a\r\n" : "";
    for (auto n = random() % 14; n > 0; --n) bytes += words[random() % words.size()];
    const ParseOutcome whole = parse_request(bytes), pieces = parse_request(bytes, 1 + random() % 5);
    ASSERT_EQ(whole.state, pieces.state) << testing::PrintToString(bytes);
    ASSERT_EQ(whole.error, pieces.error) << testing::PrintToString(bytes);
    if (whole.state == Parser::State::kDone) {
      ASSERT_EQ(whole.used, pieces.used) << testing::PrintToString(bytes);
      ASSERT_EQ(whole.request.body, pieces.request.body);
    }
  }
}

TEST(HttpParser, ParsesResponses) {
  auto parse = [](std::string_view bytes, bool closed = false) {
    Parser p(Parser::Side::kResponse, small_limits());
    std::size_t used = 0;
    Parser::State s = p.feed(bytes, used);
    if (s == Parser::State::kNeedMore && closed) s = p.end();
    return std::tuple(s, p.status(), p.body());
  };
  EXPECT_EQ(parse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
            std::tuple(Parser::State::kDone, 200, "hi"));
  EXPECT_EQ(parse("HTTP/1.1 200 \r\n\r\nuntil", true), std::tuple(Parser::State::kDone, 200, "until"));
  EXPECT_EQ(std::get<0>(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", true)),
            Parser::State::kNeedMore);
  EXPECT_EQ(parse("HTTP/1.1 204 No Content\r\n\r\n"), std::tuple(Parser::State::kDone, 204, ""));
  EXPECT_EQ(std::get<0>(parse("HTTP/1.1 2x0 OK\r\n\r\n")), Parser::State::kInvalid);
  EXPECT_EQ(std::get<0>(parse("SSH-2.0-x\r\n")), Parser::State::kInvalid);
}

TEST(HttpParser, SplitsTargets) {
  EXPECT_EQ(split_target("/v1/a%20b/c?x=%y")->path, (std::vector<std::string>{"v1", "a b", "c"}));
  EXPECT_EQ(split_target("/a?b?c")->query, "b?c");
  EXPECT_FALSE(split_target("http://a/"));
  EXPECT_FALSE(split_target("*"));
  EXPECT_FALSE(split_target("/%4"));
  EXPECT_FALSE(split_target("/%zz"));
  EXPECT_EQ(percent_encode("a b/\xff~"), "a%20b%2F%FF~");
  EXPECT_EQ(split_target("/" + percent_encode("a/b"))->path, std::vector<std::string>{"a/b"});
}

}  // namespace
}  // namespace laureltide::http
