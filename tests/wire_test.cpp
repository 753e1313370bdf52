// Tests of the simulator's adapter: framing, bounds checks, settings and the translation of records.
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

// A batch of `records` records with the encoded records in `body`.
Writer batch(std::uint32_t records, std::uint32_t number, const Writer& body) {
  Writer out;
  out.u32(records);
  out.u64(1'000'000'000);
  out.u32(number);
  out.bytes(body.buffer());
  return out;
}

void add_launch(Writer& out, std::uint16_t id) {
  out.u8(2);
  out.u16(id);
  out.u64(42);
  out.u32(static_cast<std::uint32_t>(kSettings.size()));
  out.text(kSettings);
}

// A worker list of one worker (record 9), followed by the list update that refers to it (record 8).
void add_worker_list(Writer& out, std::uint16_t id) {
  out.u8(9);
  out.u8(0);
  out.u32(1);
  out.u32(0x03124a07);
  out.u16(0);
  out.u16(0);
  out.u16(0);
  out.u8(1);
  out.u32(0x3f800000);
  out.u64(0);
  out.u8(8);
  out.u16(id);
  out.u8(0);
  out.u8(2);
  out.u64(41);
}

void add_arrival(Writer& out, std::uint16_t id, std::uint32_t request) {
  out.u8(3);
  out.u16(id);
  out.u32(request);
  out.u64(0);
  out.u8(0);
  out.u32(0x40000000);
  out.u32(0);
  out.u32(0);
  out.u64(3'000'000'000);
  out.u32(0x43c00000);
  out.u8(0);
  out.u64(0x7c55d20a01);
}

TEST(Codec, EmptyBatchGetsAnEmptyReply) {
  Host host;
  const auto reply = host.process_batch(batch(0, 1, {}).buffer());
  Writer expected;
  expected.u32(8);
  expected.u32(0);
  expected.u32(1);
  EXPECT_EQ(reply, expected.buffer());
}

TEST(Codec, ReaderThrowsPastTheEnd) {
  Writer out;
  out.u16(7);
  Reader in(out.buffer(), "record");
  EXPECT_THROW(in.u32(), Malformed);
  EXPECT_EQ(in.u16(), 7);
  EXPECT_TRUE(in.done());
}

TEST(Host, SendsAnArrivedRequestToTheListedWorker) {
  Host host;
  Writer body;
  add_launch(body, 3);
  add_worker_list(body, 3);
  add_arrival(body, 3, 0x5d3a91c4);
  const auto reply = host.process_batch(batch(4, 9, body).buffer());
  Writer send;
  send.u8(71);
  send.u16(3);
  send.u32(0x5d3a91c4);
  send.u32(0x03124a07);
  send.u64(0);
  const auto& send_record = send.buffer();
  EXPECT_NE(std::search(reply.begin(), reply.end(), send_record.begin(), send_record.end()), reply.end());
}

TEST(Host, RejectsABatchTruncatedAtAnyByte) {
  Writer body;
  add_launch(body, 3);
  add_worker_list(body, 3);
  add_arrival(body, 3, 5);
  const auto complete = batch(4, 9, body).buffer();
  for (std::size_t length = 0; length < complete.size(); ++length) {
    Host host;
    EXPECT_THROW(host.process_batch(std::span(complete).first(length)), Malformed) << length;
  }
}

TEST(Host, ErrorsNameUnknownEventCodesAndInstances) {
  const auto error_message = [](const Writer& body) {
    Host host;
    try {
      host.process_batch(batch(1, 1, body).buffer());
    } catch (const Malformed& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  Writer unknown_event;
  unknown_event.u8(200);
  EXPECT_NE(error_message(unknown_event).find("unknown event code 200"), std::string::npos);
  Writer arrival;
  add_arrival(arrival, 8, 1);
  EXPECT_NE(error_message(arrival).find("instance 8"), std::string::npos);
}

TEST(Settings, ReadsKnownKeysAndIgnoresOthers) {
  const LaunchSettings launch = parse_settings(kSettings);
  EXPECT_EQ(launch.settings.classes[0].semantics, Semantics::kRepeatable);
  EXPECT_EQ(launch.settings.bounds.attempts_cap, 3);
  ASSERT_EQ(launch.columns.size(), 3U);
  EXPECT_EQ(launch.columns[2], ReportColumn::kLoads);
}

TEST(Settings, RejectsUnusableText) {
  for (const char* text :
       {"", "classes.count=0\n", "classes.count=x\n", "no equals sign\n", "classes.count=-1\n",
        "classes.count=1\nclasses.0.semantics=often\n", "classes.count=99999999\n",
        "classes.count=1\nbounds.may_cancel=perhaps\n", "classes.count=1\ntick_ns=nan\n"})
    EXPECT_THROW(parse_settings(text), Malformed) << text;
}

}  // namespace
}  // namespace laureltide::wire
