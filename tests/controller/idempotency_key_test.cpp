// Idempotency keys: the decision table, call ids, key ownership and header parsing.
#include "controller/idempotency_key.h"

#include <gtest/gtest.h>

#include <map>

namespace laureltide::controller {
namespace {

const ledger::Effect kOnce{Semantics::kOnce, RepeatGroup::kAll, 0},
    kKeyed{Semantics::kKeyed, RepeatGroup::kAll, 2000}, kRead{Semantics::kRepeatable, RepeatGroup::kAll, 0};

ledger::Record record(std::optional<ledger::Answer::Kind> answer = {}, bool sent = false) {
  ledger::Record r;
  r.digest = "same";
  if (sent) r.attempts = {{1, 1000, ledger::AttemptState::kInFlight}};
  if (answer) r.answer = ledger::Answer{*answer, "", "x", 0, 1500};
  return r;
}

TEST(IdempotencyKey, Table) {
  using K = KeyDecision::Kind;
  using A = ledger::Answer::Kind;
  EXPECT_EQ(decide_on_key(nullptr, "same", kOnce, 1500).kind, K::kRun);
  for (const A answer : {A::kServed, A::kFailed})
    for (const bool delivered : {false, true}) {
      auto r = record(answer, true);
      r.delivered = delivered;
      EXPECT_EQ(decide_on_key(&r, "same", kOnce, 1500).kind, K::kAnswer);
      EXPECT_EQ(decide_on_key(&r, "other", kOnce, 1500).kind, K::kMismatch);
    }
  auto refused = record(A::kRefused);
  EXPECT_EQ(decide_on_key(&refused, "same", kOnce, 1500).kind, K::kRun);
  EXPECT_EQ(decide_on_key(&refused, "other", kOnce, 1500).kind, K::kRun);
  auto taken = record(), sent = record({}, true);
  EXPECT_EQ(decide_on_key(&taken, "same", kOnce, 1500).kind, K::kRun);
  EXPECT_EQ(decide_on_key(&taken, "other", kOnce, 1500).kind, K::kMismatch);
  EXPECT_EQ(decide_on_key(&sent, "same", kOnce, 1500).kind, K::kFail);
  EXPECT_EQ(decide_on_key(&sent, "same", kRead, 1500).kind, K::kRun);
  EXPECT_EQ(decide_on_key(&sent, "same", kKeyed, 1500).kind, K::kRunUntil);
  EXPECT_EQ(decide_on_key(&sent, "same", kKeyed, 1500).until_ms, 3000);
  EXPECT_EQ(decide_on_key(&sent, "same", kKeyed, 3000).kind, K::kFail);
}

TEST(IdempotencyKey, CallIdContainsOwner) {
  const std::string id = call_id(12, std::string(16, '\xab'));
  EXPECT_EQ(id, "12-abababababababababababababababab");
  EXPECT_EQ(owner_of_id(id), 12U);
  for (const char* bad :
       {"", "12", "-abababababababababababababababab", "x-abababababababababababababababab",
        "12-ABABABABABABABABABABABABABABABAB", "12-abab", "99999999999-abababababababababababababababab"})
    EXPECT_FALSE(owner_of_id(bad)) << bad;
}

// Rendezvous hashing: an added controller takes over only its own share of the keys.
TEST(IdempotencyKey, AddingControllerMovesOnlyItsShareOfKeys) {
  std::map<std::uint32_t, int> count;
  int moved = 0;
  for (int i = 0; i < 10'000; ++i) {
    const std::string key = "k" + std::to_string(i);
    const std::uint32_t a = owner_of_key("t", key, 5), b = owner_of_key("t", key, 6);
    ++count[a];
    moved += a != b;
    if (a != b) {
      EXPECT_EQ(b, 5U);
    }
  }
  for (std::uint32_t n = 0; n < 5; ++n) EXPECT_NEAR(count[n], 2000, 200);
  EXPECT_NEAR(moved, 10'000 / 6, 200);
  EXPECT_EQ(owner_of_key("t", "k", 1), 0U);
}

TEST(IdempotencyKey, ParsesQuotedAndBareKeys) {
  EXPECT_EQ(parse_key("\"8e03\""), "8e03");
  EXPECT_EQ(parse_key(" bare "), "bare");
  EXPECT_EQ(parse_key(R"("a\"b\\")"), "a\"b\\");
  for (const std::string& bad : std::vector<std::string>{"", "\"\"", "\"open", "\"a\"b\"", "\"a\\x\"",
                                                         "\"a\\", "a\x01", "\xc3\xa9", std::string(256, 'x')})
    EXPECT_FALSE(parse_key(bad)) << bad;
}

TEST(IdempotencyKey, Preferences) {
  EXPECT_TRUE(parse_prefer("respond-async").respond_async);
  EXPECT_TRUE(parse_prefer("x=1, Respond-Async ; p=q").respond_async);
  EXPECT_EQ(parse_prefer("respond-async, wait=10").wait_s, 10);
  EXPECT_EQ(parse_prefer("wait=\"3\", wait=4").wait_s, 3);
  EXPECT_FALSE(parse_prefer("wait=x").wait_s);
  EXPECT_FALSE(parse_prefer("wait=-1").wait_s);
  EXPECT_FALSE(parse_prefer("return=minimal").respond_async);
}

}  // namespace
}  // namespace laureltide::controller
