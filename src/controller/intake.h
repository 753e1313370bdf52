// Deduplication of AMQP messages by call name: a message runs the call, joins an open call, repeats an
// answer, or is answered as failed. One Intake serves one queue. No I/O.
//
//   the name is          | redelivered        | class      | verdict
//   ---------------------+--------------------+------------+-----------------------------------------------
//   open here            | any                | any        | join: its answer is sent for this message too
//   answered, not yet    | any                | any        | answer: the same answer again, instead of for
//   acknowledged         |                    |            | the message whose connection was lost
//   answered, its        | yes                | any        | acknowledge: the broker has the answer, only
//   acknowledgement not  |                    |            | the acknowledgement was lost (confirm mode)
//   confirmed            |                    |            |
//   answered, its        | no                 | any        | run: a new message that reuses an old name
//   acknowledgement not  |                    |            |
//   confirmed            |                    |            |
//   unknown              | any                | any        | as the ledger rules on its record from before
//                        |                    |            | a restart (ledger/recovery.h); without one:
//                        |                    |            | run if not redelivered or safe to repeat, else
//                        |                    |            | fail
//
// A delivery belongs to an epoch: one opening of the channel that it arrived on. When an epoch ends, the
// broker redelivers the message, perhaps to another consumer, so an answer is only sent for a delivery of the
// current epoch.
//
// Bounds: at most `max_names` names. Answered names are evicted oldest first, and in any case after
// `answer_ttl`. Open calls are bounded by prefetch and never evicted.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/core.h"
#include "ledger/call_ledger.h"

namespace laureltide::controller {

// One delivery of a message by the broker: its channel epoch, its delivery tag and where its answer goes.
struct Delivery {
  std::uint64_t epoch = 0, tag = 0;
  std::string reply_to, correlation_id;
};

class Intake {
 public:
  struct Options {
    std::size_t max_names = 100'000;
    Duration answer_ttl = std::chrono::seconds(120);
    std::size_t max_joined = 16;         // messages that wait for one call; further ones are refused
    ledger::CallLedger* book = nullptr;  // null: nothing is known from before a restart
    std::string front;                   // this queue's name in the ledger
  };
  explicit Intake(Options options) : options_(std::move(options)) {}

  enum class Verdict { kRun, kJoin, kAnswer, kAcknowledge, kFail, kTooMany };
  struct Decision {
    Verdict verdict = Verdict::kFail;
    std::string reason;                    // of kFail
    std::optional<std::int64_t> until_ms;  // of kRun: it may have run and may be repeated until then
  };
  // kRun and kJoin keep the delivery; for kAnswer, answer_of() returns the answer.
  Decision deliver(const std::string& name, Delivery delivery, bool redelivered, const ledger::Effect& effect,
                   Time now);

  // Records the call's final answer. Returns the deliveries of `epoch`, to be answered and acknowledged now.
  std::vector<Delivery> record_answer(const std::string& name, const Answer& answer, std::uint64_t epoch,
                                      Time now);
  const Answer* answer_of(const std::string& name) const;
  // The delivery is answered and acknowledged. `broker_confirmed`: the broker has confirmed both, and the
  // name is dropped with its last delivery. Otherwise the acknowledgement may be lost, and the name is kept
  // for a while.
  void on_acknowledged(const std::string& name, std::uint64_t epoch, std::uint64_t tag,
                       bool broker_confirmed);
  // The key of the name in the ledger.
  std::string key(const std::string& name) const { return ledger::key_of(options_.front, name); }
  // The call was not accepted after kRun: forgets the message.
  void forget(const std::string& name);

  std::size_t names() const { return records_.size(); }
  bool is_open(const std::string& name) const;

 private:
  struct Record {
    std::vector<Delivery> deliveries;
    std::optional<Answer> answer;  // absent: the call is open
    Time answered_at{};
    std::size_t unconfirmed_acknowledgements = 0;  // sent, not confirmed by the broker
  };
  using Records = std::unordered_map<std::string, Record>;
  void expire(Time now);
  Decision decide_unknown_name(const std::string& name, Delivery delivery, bool redelivered,
                               const ledger::Effect& effect);

  Options options_;
  Records records_;
  std::list<std::pair<Time, std::string>> answer_order_;  // oldest first; may hold names already dropped
};

}  // namespace laureltide::controller
