#include "controller/intake.h"

#include <algorithm>

namespace laureltide::controller {

// Nothing of this life names it: what an earlier one left behind rules.
Intake::Heard Intake::unknown(const std::string& name, Delivery delivery, bool redelivered,
                              const ledger::Effect& effect) {
  ledger::CallLedger* book = options_.book;
  const ledger::RecoveryDecision ruling =
      book ? book->decide(options_.front, name, effect, redelivered)
           : ledger::decide_on_message(nullptr, effect, redelivered, ledger::Coverage::kNone, 0);
  switch (ruling.verdict) {
    case ledger::Verdict::kRun:
      records_[name].deliveries.push_back(std::move(delivery));
      return {Verdict::kRun, {}, {}};
    case ledger::Verdict::kRunUntil:
      records_[name].deliveries.push_back(std::move(delivery));
      book->resume(key(name), false);
      return {Verdict::kRun, {}, ruling.until_ms};
    case ledger::Verdict::kAnswer: {
      Record& record = records_[name];
      record.deliveries.push_back(std::move(delivery));
      const ledger::Record& kept = *book->find(key(name));
      record.answer = from_ledger(*kept.answer);
      record.answer->id = name + "/" + std::to_string(kept.taken_ms);
      book->resume(key(name), false);
      return {Verdict::kAnswer, {}, {}};
    }
    case ledger::Verdict::kAcknowledge: return {Verdict::kAcknowledge, {}, {}};
    case ledger::Verdict::kRefuse:
    case ledger::Verdict::kFail: break;
  }
  return {Verdict::kFail, ruling.reason, {}};
}

Intake::Heard Intake::deliver(const std::string& name, Delivery delivery, bool redelivered,
                              const ledger::Effect& effect, Time now) {
  expire(now);
  const auto it = records_.find(name);
  if (it == records_.end()) return unknown(name, std::move(delivery), redelivered, effect);
  Record& record = it->second;
  if (record.unsure > 0 && record.deliveries.empty()) {
    if (redelivered) {
      --record.unsure;
      return {Verdict::kAcknowledge, {}, {}};
    }
    record = {};
    record.deliveries.push_back(std::move(delivery));
    return {Verdict::kRun, {}, {}};
  }
  // The broker gave the message again: the delivery of a lost epoch is this one now. A message of the same
  // name that stands beside it is another one, and waits for the same call.
  const auto lost = std::find_if(record.deliveries.begin(), record.deliveries.end(),
                                 [&](const Delivery& d) { return d.epoch < delivery.epoch; });
  if (lost != record.deliveries.end()) {
    *lost = std::move(delivery);
  } else {
    if (record.deliveries.size() >= options_.most_joined) return {Verdict::kTooMany, {}, {}};
    record.deliveries.push_back(std::move(delivery));
  }
  return {record.answer ? Verdict::kAnswer : Verdict::kJoin, {}, {}};
}

std::vector<Delivery> Intake::answered(const std::string& name, const Answer& answer, std::uint64_t epoch,
                                       Time now) {
  const auto it = records_.find(name);
  if (it == records_.end() || it->second.answer) return {};
  Record& record = it->second;
  record.answer = answer;
  record.answered_at = now;
  answered_.emplace_back(now, name);
  std::vector<Delivery> standing;
  std::copy_if(record.deliveries.begin(), record.deliveries.end(), std::back_inserter(standing),
               [&](const Delivery& d) { return d.epoch == epoch; });
  return standing;
}

const Answer* Intake::answer_of(const std::string& name) const {
  const auto it = records_.find(name);
  return it == records_.end() || !it->second.answer ? nullptr : &*it->second.answer;
}

void Intake::settled(const std::string& name, std::uint64_t epoch, std::uint64_t tag, bool certain) {
  const auto it = records_.find(name);
  if (it == records_.end() || !it->second.answer) return;
  Record& record = it->second;
  const auto gone =
      std::erase_if(record.deliveries, [&](const Delivery& d) { return d.epoch == epoch && d.tag == tag; });
  if (!certain) record.unsure += gone;
  if (options_.book && gone > 0 && record.deliveries.empty())
    options_.book->delivered(
        key(name), certain ? ledger::AfterDelivery::kDropRecord : ledger::AfterDelivery::kKeepWithoutAnswer);
  if (record.deliveries.empty() && record.unsure == 0) records_.erase(it);
}

void Intake::forget(const std::string& name) {
  records_.erase(name);
  if (options_.book) options_.book->forget(key(name));
}

bool Intake::is_open(const std::string& name) const {
  const auto it = records_.find(name);
  return it != records_.end() && !it->second.answer;
}

void Intake::expire(Time now) {
  while (!answered_.empty()) {
    const auto& [at, name] = answered_.front();
    const auto it = records_.find(name);
    const bool stands = it != records_.end() && it->second.answer && it->second.answered_at == at;
    if (stands && now - at < options_.keep_answers && records_.size() <= options_.most_names) return;
    if (stands) {
      if (options_.book) options_.book->release(key(name));
      records_.erase(it);
    }
    answered_.pop_front();
  }
}

}  // namespace laureltide::controller
