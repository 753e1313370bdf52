// Tests of the record format: a written record parses to an equal one, and damaged or newer bytes are
// rejected.
#include "ledger/record.h"

#include <gtest/gtest.h>

namespace laureltide::ledger {
namespace {

Record full_record() {
  Record r;
  r.function = "gate-0", r.tenant = "volta", r.key = "k\0k", r.digest = digest_of({"a", "b"});
  r.taken_ms = 1'700'000'000'000, r.give_up_ms = r.taken_ms + 2500, r.owed = true;
  r.body = std::string("\0body\xff", 6);
  r.replies = {{"answers", "c-1"}, {"", ""}};
  r.callback = "http://127.0.0.1:9/x";
  r.attempts = {{3, 17, AttemptState::kNeverRan}, {5, 18, AttemptState::kInFlight}};
  r.answer = Answer{Answer::Kind::kRefused, "no room", "b", 250, 19};
  r.delivered = true, r.keep_until_ms = 20;
  return r;
}

TEST(Record, ParsesWhatItWrote) {
  for (const Record& r : {Record{}, full_record()}) {
    std::string why;
    const auto parsed = parse_record(write_record(r), why);
    ASSERT_TRUE(parsed) << why;
    EXPECT_EQ(*parsed, r);
  }
}

TEST(Record, RejectsEveryTruncationAndBitFlip) {
  const std::string bytes = write_record(full_record());
  std::string why;
  for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(parse_record(bytes.substr(0, n), why)) << n;
  for (std::size_t n = 0; n < bytes.size() * 8; ++n) {
    std::string damaged = bytes;
    damaged[n / 8] = static_cast<char>(damaged[n / 8] ^ (1 << (n % 8)));
    EXPECT_FALSE(parse_record(damaged, why)) << n;
    EXPECT_FALSE(why.empty());
  }
}

TEST(Record, RejectsNewerLayoutAndSaysSo) {
  std::string bytes = write_record(full_record()), why;
  bytes[0] = kRecordLayout + 1;
  EXPECT_FALSE(parse_record(bytes, why));
  EXPECT_NE(why.find("newer"), std::string::npos) << why;
}

TEST(Record, KeysAndDigestsSeparateTheirParts) {
  EXPECT_EQ(split_key(key_of("amqp/main/q", "c-1")),
            std::pair(std::string("amqp/main/q"), std::string("c-1")));
  EXPECT_EQ(split_key(key_of("f", std::string("a\0b", 3))).second, std::string("a\0b", 3));
  EXPECT_NE(digest_of({"ab", "c"}), digest_of({"a", "bc"}));
  EXPECT_EQ(digest_of({"ab", "c"}).size(), 16U);
}

}  // namespace
}  // namespace laureltide::ledger
