// What a record means: the table of docs/ledger.md as a function. No I/O, no clock, no state.
//
// It rules on a call that this life of the gateway does not hold: a message that names it has come, or the
// gateway has started and finds it owed. Rule 2 is kept here: nothing that may have run is run again, but as
// its class allows; and rule 1: what was answered is answered the same way.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "laureltide/dispatcher.h"
#include "ledger/record.h"

namespace laureltide::ledger {

// Whether all that ever ran of a queue's messages is in this ledger.
enum class Coverage {
  kNone,      // others may read the queue, or did, or the ledger is younger than its messages
  kComplete,  // one reader, this ledger, since before the oldest message
};

enum class Verdict {
  kRun,          // it never ran, or may be repeated freely
  kRunUntil,     // it may be repeated, until `until_ms`: the workers drop the repeat as long
  kAnswer,       // as recorded
  kAcknowledge,  // its caller has the answer; only the acknowledgement was lost
  kRefuse,       // it did not run (or may be repeated), and there is no time left for it
  kFail,         // it may have run
};

struct RecoveryDecision {
  Verdict verdict = Verdict::kFail;
  std::int64_t until_ms = 0;
  std::string reason;  // in plain words, of kRefuse and kFail
};

// The effect of a class, as the ledger sees it.
struct Effect {
  Semantics semantics = Semantics::kOnce;
  RepeatGroup group = RepeatGroup::kAll;
  std::int64_t repeat_window_ms = 0;
};

// A message names the call. `record`: null if the ledger has none.
RecoveryDecision decide_on_message(const Record* record, const Effect& effect, bool redelivered,
                                   Coverage coverage, std::int64_t now_ms);

// The gateway has started, and `record` is owed: no message will come for it.
RecoveryDecision decide_on_owed(const Record& record, const Effect& effect, std::int64_t now_ms);

}  // namespace laureltide::ledger
