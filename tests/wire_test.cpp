// The wire on bytes: framing, bounds, settings and translation.
#include <gtest/gtest.h>

#include <string>

#include "wire/codec.h"
#include "wire/host.h"
#include "wire/settings.h"

namespace laureltide::wire {
namespace {

const std::string kSettings =
    "classes.count=1\nclasses.0.semantics=repeatable\nclasses.0.target_ns=1000000000\nbounds.attempts_cap="
    "3\n"
    "stats.columns=cpu,active,x1\nfamily_info.report_x1=loads_under_way_or_waiting\nunknown.key=7\n";

Writer batch(std::uint32_t records, std::uint32_t number, const Writer& body) {
  Writer w;
  w.u32(records);
  w.u64(1'000'000'000);
  w.u32(number);
  w.bytes(body.buffer());
  return w;
}

void put_launch(Writer& w, std::uint16_t id) {
  w.u8(2);
  w.u16(id);
  w.u64(42);
  w.u32(static_cast<std::uint32_t>(kSettings.size()));
  w.text(kSettings);
}

void put_list(Writer& w, std::uint16_t id) {
  w.u8(9);
  w.u8(0);
  w.u32(1);
  w.u32(0x03124a07);
  w.u16(0);
  w.u16(0);
  w.u16(0);
  w.u8(1);
  w.u32(0x3f800000);
  w.u64(0);
  w.u8(8);
  w.u16(id);
  w.u8(0);
  w.u8(2);
  w.u64(41);
}

void put_arrival(Writer& w, std::uint16_t id, std::uint32_t request) {
  w.u8(3);
  w.u16(id);
  w.u32(request);
  w.u64(0);
  w.u8(0);
  w.u32(0x40000000);
  w.u32(0);
  w.u32(0);
  w.u64(3'000'000'000);
  w.u32(0x43c00000);
  w.u8(0);
  w.u64(0x7c55d20a01);
}

TEST(Codec, EmptyBatchAsOnTheWirePage) {
  Host host;
  const auto reply = host.answer(batch(0, 1, {}).buffer());
  Writer expected;
  expected.u32(8);
  expected.u32(0);
  expected.u32(1);
  EXPECT_EQ(reply, expected.buffer());
}

TEST(Codec, ReaderStopsAtTheEnd) {
  Writer w;
  w.u16(7);
  Reader in(w.buffer(), "thing");
  EXPECT_THROW(in.u32(), Malformed);
  EXPECT_EQ(in.u16(), 7);
  EXPECT_TRUE(in.done());
}

TEST(Host, ARequestIsRoutedInBytes) {
  Host host;
  Writer body;
  put_launch(body, 3);
  put_list(body, 3);
  put_arrival(body, 3, 0x5d3a91c4);
  const auto reply = host.answer(batch(4, 9, body).buffer());
  Writer route;
  route.u8(71);
  route.u16(3);
  route.u32(0x5d3a91c4);
  route.u32(0x03124a07);
  route.u64(0);
  const auto& needle = route.buffer();
  EXPECT_NE(std::search(reply.begin(), reply.end(), needle.begin(), needle.end()), reply.end());
}

TEST(Host, EveryCutOfABatchIsRefused) {
  Writer body;
  put_launch(body, 3);
  put_list(body, 3);
  put_arrival(body, 3, 5);
  const auto whole = batch(4, 9, body).buffer();
  for (std::size_t n = 0; n < whole.size(); ++n) {
    Host host;
    EXPECT_THROW(host.answer(std::span(whole).first(n)), Malformed) << n;
  }
}

TEST(Host, UnknownCodesInstancesAndListsAreNamed) {
  const auto message = [](const Writer& body) {
    Host host;
    try {
      host.answer(batch(1, 1, body).buffer());
    } catch (const Malformed& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  Writer code;
  code.u8(200);
  EXPECT_NE(message(code).find("unknown event code 200"), std::string::npos);
  Writer arrival;
  put_arrival(arrival, 8, 1);
  EXPECT_NE(message(arrival).find("instance 8"), std::string::npos);
}

TEST(Settings, ReadsKnownKeysAndIgnoresOthers) {
  const LaunchSettings launch = parse_settings(kSettings);
  EXPECT_EQ(launch.settings.classes[0].semantics, Semantics::kRepeatable);
  EXPECT_EQ(launch.settings.bounds.attempts_cap, 3);
  ASSERT_EQ(launch.columns.size(), 3U);
  EXPECT_EQ(launch.columns[2], ReportColumn::kLoads);
}

TEST(Settings, UnusableOnesAreNamed) {
  for (const char* text :
       {"", "classes.count=0\n", "classes.count=x\n", "no equals sign\n", "classes.count=-1\n",
        "classes.count=1\nclasses.0.semantics=often\n", "classes.count=99999999\n",
        "classes.count=1\nbounds.may_cancel=perhaps\n", "classes.count=1\ntick_ns=nan\n"})
    EXPECT_THROW(parse_settings(text), Malformed) << text;
}

}  // namespace
}  // namespace laureltide::wire
