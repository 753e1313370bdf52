// What a call owed by an earlier life becomes under today's settings.
#include "controller/owed.h"

#include "gateway_fixture.h"

namespace laureltide::test {
namespace {

using controller::Answer;
using controller::take_up;

struct OwedCall : testing::Test {
  std::shared_ptr<const config::Settings> config = settings();
  std::string key = ledger::key_of("amqp/main/calls", "c-1");
  ledger::Record record;
  OwedCall() {
    record.function = "gate", record.tenant = "volta", record.body = "payload", record.owed = true;
    record.taken_ms = 1000, record.give_up_ms = 3500;
  }
  void sent() { record.attempts = {{1, 1200, ledger::AttemptState::kInFlight}}; }
};

TEST_F(OwedCall, RunsWithThePatienceItHasLeft) {
  const auto owed = take_up(*config, key, record, 2000);
  ASSERT_TRUE(owed.call);
  EXPECT_TRUE(owed.fresh);
  EXPECT_EQ(owed.call->name, "c-1");
  EXPECT_EQ(owed.call->record, key);
  EXPECT_EQ(owed.call->body, "payload");
  EXPECT_EQ(owed.call->tenant, config->tenant("volta"));
  EXPECT_EQ(owed.call->timeout, Duration(1500ms));
}

TEST_F(OwedCall, ARepeatKeepsToItsWindow) {
  auto text = settings_text();
  text.replace(text.find("repeats_dropped_by = \"cell\""), 27, "repeats_dropped_by = \"all\"");
  config = std::make_shared<const config::Settings>(*config::parse(text, "t").settings);
  record.function = "status", record.give_up_ms = 60'000;
  sent();
  const auto owed = take_up(*config, key, record, 2000);
  ASSERT_TRUE(owed.call);
  EXPECT_FALSE(owed.fresh);
  EXPECT_EQ(owed.call->timeout, Duration(1200ms));  // to 2 s after the first attempt
}

TEST_F(OwedCall, AFunctionThatIsGoneIsNotRun) {
  record.function = "gone";
  const auto never_sent = take_up(*config, key, record, 2000);
  ASSERT_TRUE(never_sent.end);
  EXPECT_EQ(never_sent.end->kind, Answer::Kind::kRefused);
  EXPECT_NE(never_sent.end->reason.find("no longer name its function gone"), std::string::npos);
  sent();
  const auto may_have_run = take_up(*config, key, record, 2000);
  ASSERT_TRUE(may_have_run.end);
  EXPECT_EQ(may_have_run.end->kind, Answer::Kind::kFailed);
}

TEST_F(OwedCall, AnAnswerIsGivenAsItIs) {
  record.answer = ledger::Answer{ledger::Answer::Kind::kServed, "", "x", 0, 1500};
  const auto owed = take_up(*config, key, record, 2000);
  EXPECT_FALSE(owed.call);
  EXPECT_FALSE(owed.end);
}

}  // namespace
}  // namespace laureltide::test
