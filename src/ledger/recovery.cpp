#include "ledger/recovery.h"

namespace laureltide::ledger {
namespace {

RecoveryDecision run() { return {Verdict::kRun, 0, {}}; }

std::string met(const Attempt& a) {
  return "it was sent to worker " + std::to_string(a.worker) +
         " before a restart, and what came of that is not known: it may have run";
}

// What may have run: again only as the class allows, and only while every worker that could get it drops
// repeats.
RecoveryDecision repeat(const Attempt& first, const Effect& effect, std::int64_t now_ms) {
  if (effect.semantics == Semantics::kRepeatable) return run();
  // A cell or zone that drops repeats cannot be told to the decisions of a new life, so it does not help.
  const bool dropped_anywhere = effect.semantics == Semantics::kKeyed && effect.group == RepeatGroup::kAll;
  const std::int64_t until = first.sent_ms + effect.repeat_window_ms;
  // A wall clock that was set back must not make the window longer than it is.
  if (dropped_anywhere && now_ms >= first.sent_ms && now_ms < until) return {Verdict::kRunUntil, until, {}};
  return {Verdict::kFail, 0, met(first)};
}

}  // namespace

RecoveryDecision decide_on_message(const Record* record, const Effect& effect, bool redelivered,
                                   Coverage coverage, std::int64_t now_ms) {
  const bool free = effect.semantics == Semantics::kRepeatable;
  if (record && record->answer) {
    if (record->delivered && redelivered) return {Verdict::kAcknowledge, 0, {}};
    if (!record->delivered) return {Verdict::kAnswer, 0, {}};
    return run();  // another message of an old name
  }
  // What went elsewhere between two of our deliveries is not in this ledger, unless it covers the queue.
  if (redelivered && !free && coverage == Coverage::kNone) {
    if (record && record->may_have_run()) return {Verdict::kFail, 0, met(*record->may_have_run())};
    return {
        Verdict::kFail, 0,
        "given again by the broker, and nothing here proves that it did not run: it may have gone to another "
        "reader of the queue, or to a life whose record is gone"};
  }
  if (record && record->may_have_run()) return repeat(*record->may_have_run(), effect, now_ms);
  return run();
}

RecoveryDecision decide_on_owed(const Record& record, const Effect& effect, std::int64_t now_ms) {
  if (record.answer) return {Verdict::kAnswer, 0, {}};
  const Attempt* first = record.may_have_run();
  const bool refusable = !first || effect.semantics == Semantics::kRepeatable ||
                         (effect.semantics == Semantics::kKeyed && effect.group == RepeatGroup::kAll);
  if (now_ms >= record.give_up_ms) {
    if (refusable) return {Verdict::kRefuse, 0, "its time ran out while the gateway was down"};
    return {Verdict::kFail, 0, met(*first)};
  }
  return first ? repeat(*first, effect, now_ms) : run();
}

}  // namespace laureltide::ledger
