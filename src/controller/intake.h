// What a message means that names a call: run it, join a call that is open, repeat an answer, or answer that
// it cannot be run. One Intake serves one queue. No I/O; tested by table and by drawn histories.
//
//   the name is          | redelivered        | class      | verdict
//   ---------------------+--------------------+------------+-----------------------------------------------
//   open here            | any                | any        | join: its answer will be this message's too
//   answered, not yet    | any                | any        | answer: the same answer again, in place of the
//   acknowledged         |                    |            | message whose connection was lost
//   answered and         | yes                | any        | acknowledge: the answer is with the broker, only
//   acknowledged, unsure |                    |            | the acknowledgement was lost (confirm mode)
//   answered and         | no                 | any        | run: another message of an old name
//   acknowledged, unsure |                    |            |
//   unknown              | any                | any        | as the ledger's record of an earlier life rules
//                        |                    |            | (ledger/recovery.h); without one: run what was
//                        not |                    |            | given before or may be repeated, fail the
//                        rest
//
// A delivery belongs to an epoch, a life of the channel that brought it. When the epoch ends, the broker
// gives the message again, perhaps to another consumer: an answer leaves only with a delivery that still
// stands.
//
// Bounds: `most_names` names are held. Answered ones without a standing delivery go first, oldest first; they
// are forgotten after `keep_answers` in any case. Open calls are bounded by prefetch and never dropped.
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

struct Delivery {
  std::uint64_t epoch = 0, tag = 0;
  std::string reply_to, correlation_id;
};

class Intake {
 public:
  struct Options {
    std::size_t most_names = 100'000;
    Duration keep_answers = std::chrono::seconds(120);
    std::size_t most_joined = 16;        // messages that wait for one call; over it: refused
    ledger::CallLedger* book = nullptr;  // none: nothing is known of earlier lives
    std::string front;                   // this queue's name in the book
  };
  explicit Intake(Options options) : options_(std::move(options)) {}

  enum class Verdict { kRun, kJoin, kAnswer, kAcknowledge, kFail, kTooMany };
  struct Heard {
    Verdict verdict = Verdict::kFail;
    std::string reason;                    // of kFail
    std::optional<std::int64_t> until_ms;  // of kRun: it may have run, and may be repeated until then
  };
  // kRun and kJoin keep the delivery; for kAnswer, `answer_of` has what to say.
  Heard deliver(const std::string& name, Delivery delivery, bool redelivered, const ledger::Effect& effect,
                Time now);

  // The call has its final answer: the deliveries that stand, which are to be answered and acknowledged.
  std::vector<Delivery> answered(const std::string& name, const Answer& answer, std::uint64_t epoch,
                                 Time now);
  const Answer* answer_of(const std::string& name) const;
  // The delivery is answered and acknowledged. `certain`: the broker said that it has both, and the name goes
  // with its last delivery. Else the acknowledgement may be lost on its way, and the name is kept a while.
  void settled(const std::string& name, std::uint64_t epoch, std::uint64_t tag, bool certain);
  // The name's key in the book.
  std::string key(const std::string& name) const { return ledger::key_of(options_.front, name); }
  // The call was never taken after kRun: as if the message had not come.
  void forget(const std::string& name);

  std::size_t names() const { return records_.size(); }
  bool is_open(const std::string& name) const;

 private:
  struct Record {
    std::vector<Delivery> deliveries;
    std::optional<Answer> answer;  // absent: the call is open
    Time answered_at{};
    std::size_t unsure = 0;  // deliveries acknowledged without the broker's word
  };
  using Records = std::unordered_map<std::string, Record>;
  void expire(Time now);
  Heard unknown(const std::string& name, Delivery delivery, bool redelivered, const ledger::Effect& effect);

  Options options_;
  Records records_;
  std::list<std::pair<Time, std::string>> answered_;  // oldest first; may name what is long gone
};

}  // namespace laureltide::controller
