// What a call owed by an earlier life becomes in this one: the ledger's ruling, met with today's settings.
// No I/O. Each front takes up its own and gives the answers its own way.
#pragma once

#include <optional>
#include <string>

#include "config/settings.h"
#include "controller/core.h"
#include "ledger/recovery.h"

namespace laureltide::controller {

// The effect of a class, as the ledger sees it.
ledger::Effect effect_of(const RequestClass& request_class);

// Exactly one of the three, or none: it is answered, and its answer is in the record.
struct Owed {
  std::optional<Call> call;   // it runs, within the patience it has left
  bool fresh = false;         // as if nothing had been sent for it
  std::optional<Answer> end;  // it does not run, and this is its final answer
};
Owed take_up(const config::Settings& settings, const std::string& key, const ledger::Record& record,
             std::int64_t now_ms);

}  // namespace laureltide::controller
