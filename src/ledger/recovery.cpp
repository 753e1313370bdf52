#include "ledger/recovery.h"

namespace laureltide::ledger {
namespace {

RecoveryDecision run() { return {Verdict::kRun, 0, {}}; }

std::string unknown_result_reason(const Attempt& attempt) {
  return "it was sent to worker " + std::to_string(attempt.worker) +
         " before a restart, and what came of that is not known: it may have run";
}

// A call that may have run is repeated only if its class allows that, and a keyed call only while every
// worker that could get it drops duplicates.
RecoveryDecision decide_on_repeat(const Attempt& first_attempt, const Effect& effect, std::int64_t now_ms) {
  if (effect.semantics == Semantics::kRepeatable) return run();
  // Duplicates that are dropped only within a cell or zone don't help: after a restart, the decision module
  // can't be told which one had the first attempt.
  const bool dropped_by_all_workers =
      effect.semantics == Semantics::kKeyed && effect.group == RepeatGroup::kAll;
  const std::int64_t until_ms = first_attempt.sent_ms + effect.repeat_window_ms;
  // A wall clock that was set back must not prolong the window.
  if (dropped_by_all_workers && now_ms >= first_attempt.sent_ms && now_ms < until_ms)
    return {Verdict::kRunUntil, until_ms, {}};
  return {Verdict::kFail, 0, unknown_result_reason(first_attempt)};
}

}  // namespace

RecoveryDecision decide_on_message(const Record* record, const Effect& effect, bool redelivered,
                                   Coverage coverage, std::int64_t now_ms) {
  const bool repeatable = effect.semantics == Semantics::kRepeatable;
  if (record && record->answer) {
    if (record->delivered && redelivered) return {Verdict::kAcknowledge, 0, {}};
    if (!record->delivered) return {Verdict::kAnswer, 0, {}};
    return run();  // a new message that reuses the name of an answered call
  }
  // Unless the ledger covers the queue, another reader may have run the call between two deliveries to this
  // gateway.
  if (redelivered && !repeatable && coverage == Coverage::kNone) {
    if (record && record->may_have_run())
      return {Verdict::kFail, 0, unknown_result_reason(*record->may_have_run())};
    return {
        Verdict::kFail, 0,
        "given again by the broker, and nothing here proves that it did not run: it may have gone to another "
        "reader of the queue, or to a life whose record is gone"};
  }
  if (record && record->may_have_run()) return decide_on_repeat(*record->may_have_run(), effect, now_ms);
  return run();
}

RecoveryDecision decide_on_owed(const Record& record, const Effect& effect, std::int64_t now_ms) {
  if (record.answer) return {Verdict::kAnswer, 0, {}};
  const Attempt* first_attempt = record.may_have_run();
  const bool may_refuse = !first_attempt || effect.semantics == Semantics::kRepeatable ||
                          (effect.semantics == Semantics::kKeyed && effect.group == RepeatGroup::kAll);
  if (now_ms >= record.give_up_ms) {
    if (may_refuse) return {Verdict::kRefuse, 0, "its time ran out while the gateway was down"};
    return {Verdict::kFail, 0, unknown_result_reason(*first_attempt)};
  }
  return first_attempt ? decide_on_repeat(*first_attempt, effect, now_ms) : run();
}

}  // namespace laureltide::ledger
