// Recovery of owed calls after a restart: applies the ledger's ruling under the current settings. No I/O.
// Each front recovers its own calls and delivers their answers.
#pragma once

#include <optional>
#include <string>

#include "config/settings.h"
#include "controller/core.h"
#include "ledger/recovery.h"

namespace laureltide::controller {

// The side-effect semantics of a class, in the ledger's terms.
ledger::Effect effect_of(const RequestClass& request_class);

// What to do with an owed call: run it, or give a final answer. Neither is set if the record already has an
// answer.
struct OwedCallDecision {
  std::optional<Call> call;            // run it, within the rest of its timeout
  bool from_scratch = false;           // no earlier attempt needs to be considered
  std::optional<Answer> final_answer;  // it is not run; this is its final answer
};
OwedCallDecision decide_owed_call(const config::Settings& settings, const std::string& key,
                                  const ledger::Record& record, std::int64_t now_ms);

}  // namespace laureltide::controller
