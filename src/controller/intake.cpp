#include "controller/intake.h"

#include <algorithm>

namespace laureltide::controller {

// A name not seen since the start: the ledger's record from before the restart decides.
Intake::Decision Intake::decide_unknown_name(const std::string& name, Delivery delivery, bool redelivered,
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
      const ledger::Record& stored = *book->find(key(name));
      record.answer = from_ledger(*stored.answer);
      record.answer->id = name + "/" + std::to_string(stored.taken_ms);
      book->resume(key(name), false);
      return {Verdict::kAnswer, {}, {}};
    }
    case ledger::Verdict::kAcknowledge: return {Verdict::kAcknowledge, {}, {}};
    case ledger::Verdict::kRefuse:
    case ledger::Verdict::kFail: break;
  }
  return {Verdict::kFail, ruling.reason, {}};
}

Intake::Decision Intake::deliver(const std::string& name, Delivery delivery, bool redelivered,
                                 const ledger::Effect& effect, Time now) {
  expire(now);
  const auto it = records_.find(name);
  if (it == records_.end()) return decide_unknown_name(name, std::move(delivery), redelivered, effect);
  Record& record = it->second;
  if (record.unconfirmed_acknowledgements > 0 && record.deliveries.empty()) {
    if (redelivered) {
      --record.unconfirmed_acknowledgements;
      return {Verdict::kAcknowledge, {}, {}};
    }
    record = {};
    record.deliveries.push_back(std::move(delivery));
    return {Verdict::kRun, {}, {}};
  }
  // A delivery of an earlier epoch is the same message: this redelivery replaces it. Otherwise it is another
  // message of the same name, which waits for the same call.
  const auto previous = std::find_if(record.deliveries.begin(), record.deliveries.end(),
                                     [&](const Delivery& d) { return d.epoch < delivery.epoch; });
  if (previous != record.deliveries.end()) {
    *previous = std::move(delivery);
  } else {
    if (record.deliveries.size() >= options_.max_joined) return {Verdict::kTooMany, {}, {}};
    record.deliveries.push_back(std::move(delivery));
  }
  return {record.answer ? Verdict::kAnswer : Verdict::kJoin, {}, {}};
}

std::vector<Delivery> Intake::record_answer(const std::string& name, const Answer& answer,
                                            std::uint64_t epoch, Time now) {
  const auto it = records_.find(name);
  if (it == records_.end() || it->second.answer) return {};
  Record& record = it->second;
  record.answer = answer;
  record.answered_at = now;
  answer_order_.emplace_back(now, name);
  std::vector<Delivery> standing;
  std::copy_if(record.deliveries.begin(), record.deliveries.end(), std::back_inserter(standing),
               [&](const Delivery& d) { return d.epoch == epoch; });
  return standing;
}

const Answer* Intake::answer_of(const std::string& name) const {
  const auto it = records_.find(name);
  return it == records_.end() || !it->second.answer ? nullptr : &*it->second.answer;
}

void Intake::on_acknowledged(const std::string& name, std::uint64_t epoch, std::uint64_t tag,
                             bool broker_confirmed) {
  const auto it = records_.find(name);
  if (it == records_.end() || !it->second.answer) return;
  Record& record = it->second;
  const auto acknowledged =
      std::erase_if(record.deliveries, [&](const Delivery& d) { return d.epoch == epoch && d.tag == tag; });
  if (!broker_confirmed) record.unconfirmed_acknowledgements += acknowledged;
  if (options_.book && acknowledged > 0 && record.deliveries.empty())
    options_.book->delivered(key(name), broker_confirmed ? ledger::AfterDelivery::kDropRecord
                                                         : ledger::AfterDelivery::kKeepWithoutAnswer);
  if (record.deliveries.empty() && record.unconfirmed_acknowledgements == 0) records_.erase(it);
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
  while (!answer_order_.empty()) {
    const auto& [at, name] = answer_order_.front();
    const auto it = records_.find(name);
    const bool current = it != records_.end() && it->second.answer && it->second.answered_at == at;
    if (current && now - at < options_.answer_ttl && records_.size() <= options_.max_names) return;
    if (current) {
      if (options_.book) options_.book->release(key(name));
      records_.erase(it);
    }
    answer_order_.pop_front();
  }
}

}  // namespace laureltide::controller
