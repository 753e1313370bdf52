// Decides from a call's record how to go on after a restart: the table of docs/ledger.md as a function. No
// I/O, no clock, no state.
//
// It covers calls that this process isn't running: a message that names the call was delivered, or the
// gateway has started and found the call owed. It enforces rule 2, that a call that may have run is repeated
// only as its class allows, and rule 1, that an answered call is answered in the same way again.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "laureltide/dispatcher.h"
#include "ledger/record.h"

namespace laureltide::ledger {

// Whether this ledger knows of every message of a queue that may have run.
enum class Coverage {
  kNone,      // others read or have read the queue, or some messages are older than the ledger
  kComplete,  // this gateway has been the only reader since before the oldest message
};

enum class Verdict {
  kRun,          // it never ran, or may be repeated freely
  kRunUntil,     // it may be repeated until `until_ms`, as long as the workers drop duplicates
  kAnswer,       // send the recorded answer
  kAcknowledge,  // the caller has the answer; only the acknowledgement was lost
  kRefuse,       // it did not run (or may be repeated), and its deadline has passed
  kFail,         // it may have run
};

struct RecoveryDecision {
  Verdict verdict = Verdict::kFail;
  std::int64_t until_ms = 0;
  std::string reason;  // for kRefuse and kFail; shown to the caller
};

// How often a call of a class may run.
struct Effect {
  Semantics semantics = Semantics::kOnce;
  RepeatGroup group = RepeatGroup::kAll;
  std::int64_t repeat_window_ms = 0;
};

// A message that names the call was delivered. `record` is null if the ledger has none.
RecoveryDecision decide_on_message(const Record* record, const Effect& effect, bool redelivered,
                                   Coverage coverage, std::int64_t now_ms);

// The gateway has started, and `record` is owed: no message will be delivered for it.
RecoveryDecision decide_on_owed(const Record& record, const Effect& effect, std::int64_t now_ms);

}  // namespace laureltide::ledger
