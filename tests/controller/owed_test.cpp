// Recovery of owed calls after a restart, under the current settings.
#include "controller/owed.h"

#include "gateway_fixture.h"

namespace laureltide::test {
namespace {

using controller::Answer;
using controller::decide_owed_call;

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

TEST_F(OwedCall, RunsWithRemainingTimeout) {
  const auto owed = decide_owed_call(*config, key, record, 2000);
  ASSERT_TRUE(owed.call);
  EXPECT_TRUE(owed.from_scratch);
  EXPECT_EQ(owed.call->name, "c-1");
  EXPECT_EQ(owed.call->ledger_key, key);
  EXPECT_EQ(owed.call->body, "payload");
  EXPECT_EQ(owed.call->tenant, config->tenant("volta"));
  EXPECT_EQ(owed.call->timeout, Duration(1500ms));
}

TEST_F(OwedCall, RepeatEndsWithItsWindow) {
  auto text = settings_text();
  text.replace(text.find("repeats_dropped_by = \"cell\""), 27, "repeats_dropped_by = \"all\"");
  config = std::make_shared<const config::Settings>(*config::parse(text, "t").settings);
  record.function = "status", record.give_up_ms = 60'000;
  sent();
  const auto owed = decide_owed_call(*config, key, record, 2000);
  ASSERT_TRUE(owed.call);
  EXPECT_FALSE(owed.from_scratch);
  EXPECT_EQ(owed.call->timeout, Duration(1200ms));  // until 2 s after the first attempt
}

TEST_F(OwedCall, CallOfRemovedFunctionIsNotRun) {
  record.function = "gone";
  const auto never_sent = decide_owed_call(*config, key, record, 2000);
  ASSERT_TRUE(never_sent.final_answer);
  EXPECT_EQ(never_sent.final_answer->kind, Answer::Kind::kRefused);
  EXPECT_NE(never_sent.final_answer->reason.find("no longer name its function gone"), std::string::npos);
  sent();
  const auto may_have_run = decide_owed_call(*config, key, record, 2000);
  ASSERT_TRUE(may_have_run.final_answer);
  EXPECT_EQ(may_have_run.final_answer->kind, Answer::Kind::kFailed);
}

TEST_F(OwedCall, RecordedAnswerIsKept) {
  record.answer = ledger::Answer{ledger::Answer::Kind::kServed, "", "x", 0, 1500};
  const auto owed = decide_owed_call(*config, key, record, 2000);
  EXPECT_FALSE(owed.call);
  EXPECT_FALSE(owed.final_answer);
}

}  // namespace
}  // namespace laureltide::test
