// The AMQP 0-9-1 codec: examples derived from the specification, round trips, and input that must be
// rejected.
#include "amqp/codec.h"

#include <gtest/gtest.h>

#include <random>

namespace laureltide::amqp {
namespace {

std::string bytes_of(std::initializer_list<int> list) { return {list.begin(), list.end()}; }

TEST(AmqpFrame, HeartbeatIsEightOctets) {
  std::string out;
  write_frame(out, FrameType::kHeartbeat, 0, {});
  EXPECT_EQ(out, bytes_of({8, 0, 0, 0, 0, 0, 0, 0xCE}));
}

TEST(AmqpFrame, IsIncompleteUntilLastOctet) {
  std::string out;
  write_frame(out, FrameType::kBody, 7, "payload");
  for (std::size_t n = 0; n < out.size(); ++n)
    EXPECT_EQ(parse_frame(std::string_view(out).substr(0, n), 4096).kind, FrameResult::Kind::kNeedMore) << n;
  const std::string more = out + "next";
  const FrameResult r = parse_frame(more, 4096);
  ASSERT_EQ(r.kind, FrameResult::Kind::kFrame);
  EXPECT_EQ(r.frame.payload, "payload");
  EXPECT_EQ(r.frame.channel, 7);
  EXPECT_EQ(r.size, out.size());
}

TEST(AmqpFrame, RejectsOversizedFrameFromItsHeader) {
  std::string at_limit, over_limit;
  write_frame(at_limit, FrameType::kBody, 1, std::string(4096 - 8, 'x'));
  write_frame(over_limit, FrameType::kBody, 1, std::string(4096 - 7, 'x'));
  EXPECT_EQ(parse_frame(at_limit, 4096).kind, FrameResult::Kind::kFrame);
  EXPECT_EQ(parse_frame(std::string_view(over_limit).substr(0, 7), 4096).kind, FrameResult::Kind::kInvalid);
}

TEST(AmqpFrame, RejectsWrongLength) {
  std::string out;
  write_frame(out, FrameType::kBody, 1, "four");
  out[6] = 3;  // the end octet is not where the length says
  EXPECT_EQ(parse_frame(out, 4096).kind, FrameResult::Kind::kInvalid);
}

TEST(AmqpFrame, RejectsUnknownTypeFromFirstOctet) {
  EXPECT_EQ(parse_frame("G", 0).kind, FrameResult::Kind::kInvalid);
  EXPECT_EQ(parse_frame(bytes_of({8, 0, 1, 0, 0, 0, 0}), 0).kind,
            FrameResult::Kind::kInvalid);  // heartbeat on a channel
}

TEST(AmqpMethod, WritesQueueDeclareAsSpecified) {
  QueueDeclare m;
  m.queue = "q";
  m.durable = true, m.auto_delete = true;
  std::string out;
  write_method(out, 1, m);
  // frame: method, channel 1, size 14; class 50, method 10, reserved, "q", bits, empty table, end.
  EXPECT_EQ(out, bytes_of({1, 0, 1, 0, 0, 0, 13, 0, 50, 0, 10, 0, 0, 1, 'q', 0b01010, 0, 0, 0, 0, 0xCE}));
}

// Calls `visit` with a default value of every method.
template <std::size_t I = 0>
void each_method(auto&& visit) {
  if constexpr (I < std::variant_size_v<Method>) {
    visit(std::variant_alternative_t<I, Method>{});
    each_method<I + 1>(visit);
  }
}

// Fills the fields of a method with random values.
struct FillRandomly {
  std::mt19937& random;
  void operator()(auto&... fields) { (fill_field(fields), ...); }
  void fill_field(bool& v) { v = random() % 2; }
  void fill_field(std::uint8_t& v) { v = static_cast<std::uint8_t>(random()); }
  void fill_field(std::uint16_t& v) { v = static_cast<std::uint16_t>(random()); }
  void fill_field(std::uint32_t& v) { v = static_cast<std::uint32_t>(random()); }
  void fill_field(std::uint64_t& v) { v = random() * 4294967291ULL; }
  void fill_field(std::string& v) { v.assign(random() % 20, static_cast<char>(random())); }
  void fill_field(LongString& v) { v.text.assign(random() % 300, static_cast<char>(random())); }
  void fill_field(Table& v) { v.set("k", std::int32_t{-5}).set("t", Table{}.set("in", true)); }
};

TEST(AmqpMethod, EveryMethodRoundTrips) {
  std::mt19937 random(1);
  for (int round = 0; round < 20; ++round)
    each_method([&](auto m) {
      m.fields(FillRandomly{random});
      std::string out, again;
      write_method(out, 3, m);
      const FrameResult f = parse_frame(out, 0);
      ASSERT_EQ(f.kind, FrameResult::Kind::kFrame);
      const MethodResult r = parse_method(f.frame.payload);
      ASSERT_TRUE(r.method) << name_of(Method(m));
      EXPECT_STREQ(name_of(*r.method), name_of(Method(m)));
      write_method(again, 3, *r.method);
      EXPECT_EQ(out, again) << name_of(*r.method);
    });
}

TEST(AmqpMethod, MissingAndTrailingBytesAreSyntaxErrors) {
  each_method([&](auto m) {
    std::string out;
    write_method(out, 1, m);
    const std::string payload(parse_frame(out, 0).frame.payload);
    EXPECT_EQ(parse_method(payload + "x").code, ReplyCode::kSyntaxError);
    if (payload.size() > 4) {
      EXPECT_EQ(parse_method(std::string_view(payload).substr(0, payload.size() - 1)).code,
                ReplyCode::kSyntaxError);
    }
  });
  EXPECT_EQ(parse_method(bytes_of({0, 99, 0, 1})).code, ReplyCode::kNotImplemented);
}

TEST(AmqpTable, EveryTypeRoundTrips) {
  Table t;
  t.set("V", {})
      .set("t", true)
      .set("b", std::int8_t{-8})
      .set("B", std::uint8_t{200})
      .set("s", std::int16_t{-300});
  t.set("u", std::uint16_t{60000}).set("I", std::int32_t{-70000}).set("i", std::uint32_t{4000000000U});
  t.set("l", std::int64_t{-5000000000}).set("f", 1.5F).set("d", -2.25).set("D", Decimal{2, -314});
  t.set("S", std::string("text")).set("x", ByteArray{"\0\1"}).set("T", Timestamp{1700000000});
  t.set("F", Table{}.set("inner", std::string("v"))).set("A", Array{Value{true}, Value{std::string("x")}});
  std::string out;
  Writer w(out);
  write_table(w, t);
  Reader in(out);
  EXPECT_EQ(read_table(in), t);
  EXPECT_TRUE(in.done());
}

TEST(AmqpTable, RejectsDeepNestingUnknownTypesAndWrongLengths) {
  auto fails = [](const std::string& bytes) {
    Reader in(bytes);
    read_table(in);
    return !in.ok();
  };
  EXPECT_TRUE(fails(bytes_of({0, 0, 0, 3, 1, 'k', '?'})));
  EXPECT_TRUE(fails(bytes_of({0, 0, 0, 9, 1, 'k', 't'})));              // longer than the input
  EXPECT_TRUE(fails(bytes_of({0, 0, 0, 7, 1, 'k', 'S', 0, 0, 0, 9})));  // a string longer than its table
  Table deep;
  for (int i = 0; i < kMaxNesting + 1; ++i) {
    Table outer;
    outer.set("k", std::move(deep));
    deep = std::move(outer);
  }
  std::string out;
  Writer w(out);
  write_table(w, deep);
  EXPECT_TRUE(fails(out));  // bounds the stack that a peer's input can use
}

TEST(AmqpContent, HeaderWithEveryPropertyRoundTrips) {
  ContentHeader h;
  h.body_size = 1ULL << 40;
  Properties& p = h.properties;
  p.content_type = "text/plain", p.content_encoding = "x",
  p.headers = Table{}.set("tenant", std::string("volta"));
  p.delivery_mode = 2, p.priority = 9, p.correlation_id = "c", p.reply_to = "r", p.expiration = "100";
  p.message_id = "m", p.timestamp = 1, p.type = "echo", p.user_id = "u", p.app_id = "a", p.cluster_id = "";
  std::string out;
  write_content_header(out, 1, h);
  const auto back = parse_content_header(parse_frame(out, 0).frame.payload);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->properties, p);
  EXPECT_EQ(back->body_size, h.body_size);
  const std::string payload(parse_frame(out, 0).frame.payload);
  EXPECT_FALSE(parse_content_header(payload + "x"));
  EXPECT_FALSE(parse_content_header(payload.substr(0, payload.size() - 1)));
}

TEST(AmqpContent, SplitsBodyAtFrameMax) {
  std::string out;
  write_content(out, 1, BasicPublish{}, {}, std::string(10000, 'x'), 4096);
  std::size_t at = 0, bodies = 0, bytes = 0;
  while (at < out.size()) {
    const FrameResult f = parse_frame(std::string_view(out).substr(at), 4096);
    ASSERT_EQ(f.kind, FrameResult::Kind::kFrame);
    if (f.frame.type == FrameType::kBody) ++bodies, bytes += f.frame.payload.size();
    at += f.size;
  }
  EXPECT_EQ(bodies, 3U);
  EXPECT_EQ(bytes, 10000U);
}

TEST(AmqpBytes, RandomInputDoesNotBreakParsers) {
  std::mt19937 random(2);
  for (int i = 0; i < 20000; ++i) {
    std::string noise(random() % 80, '\0');
    for (char& c : noise) c = static_cast<char>(random());
    if (i % 2 && !noise.empty()) noise[0] = static_cast<char>(1 + random() % 3);
    const FrameResult f = parse_frame(noise, 4096);
    if (f.kind == FrameResult::Kind::kFrame)
      parse_method(f.frame.payload), parse_content_header(f.frame.payload);
    parse_method(noise);
    parse_content_header(noise);
  }
}

}  // namespace
}  // namespace laureltide::amqp
