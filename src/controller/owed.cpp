#include "controller/owed.h"

#include <algorithm>

namespace laureltide::controller {

ledger::Effect effect_of(const RequestClass& c) {
  return {c.semantics, c.group,
          std::chrono::duration_cast<std::chrono::milliseconds>(c.repeat_window).count()};
}

OwedCallDecision decide_owed_call(const config::Settings& settings, const std::string& key,
                                  const ledger::Record& record, std::int64_t now_ms) {
  using ledger::Verdict;
  const config::Function* function = settings.find(record.function);
  // If the function is unknown, so is its class: the strictest semantics apply.
  const ledger::Effect effect =
      function ? effect_of(settings.module.classes[function->request_class]) : ledger::Effect{};
  ledger::RecoveryDecision ruling = ledger::decide_on_owed(record, effect, now_ms);
  const bool runs = ruling.verdict == Verdict::kRun || ruling.verdict == Verdict::kRunUntil;
  if (runs && !function) {
    ruling.verdict = record.may_have_run() ? Verdict::kFail : Verdict::kRefuse;
    ruling.reason = "the settings no longer name its function " + record.function;
  }
  OwedCallDecision owed;
  owed.from_scratch = ruling.verdict == Verdict::kRun;
  switch (ruling.verdict) {
    case Verdict::kRun:
    case Verdict::kRunUntil: {
      Call& call = owed.call.emplace();
      call.name = ledger::split_key(key).second, call.ledger_key = key;
      call.function = function, call.key = record.key, call.body = record.body;
      if (!record.tenant.empty()) call.tenant = settings.tenant(record.tenant);
      const std::int64_t until = ruling.verdict == Verdict::kRunUntil
                                     ? std::min(ruling.until_ms, record.give_up_ms)
                                     : record.give_up_ms;
      call.timeout = std::chrono::milliseconds(until - now_ms);
      break;
    }
    case Verdict::kRefuse:
      owed.final_answer = Answer{Answer::Kind::kRefused, ruling.reason, {}, {}, {}};
      break;
    case Verdict::kFail: owed.final_answer = Answer{Answer::Kind::kFailed, ruling.reason, {}, {}, {}}; break;
    case Verdict::kAnswer:
    case Verdict::kAcknowledge: break;
  }
  return owed;
}

}  // namespace laureltide::controller
