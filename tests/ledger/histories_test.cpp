// Property tests: random histories of deliveries, attempts, answers, crashes, reconnects and redeliveries run
// through the intake and the call ledger in simulated time. RapidCheck shrinks a failing history.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "controller/intake.h"
#include "sim/network.h"

namespace laureltide::controller {
namespace {

using namespace std::chrono_literals;

// One event of a history. `pick` selects the message, call or attempt that it applies to.
enum class StepKind {
  kDeliver,
  kSend,
  kEnd,
  kRefuse,
  kAnswer,
  kCommit,
  kDisconnect,
  kCrash,
  kWait,
  kLoseCommit
};
struct Step {
  StepKind kind{};
  unsigned pick = 0;
};
std::ostream& operator<<(std::ostream& out, const Step& s) {
  static constexpr const char* kNames[] = {"deliver", "send", "end",   "refuse", "answer",
                                           "commit",  "cut",  "crash", "wait",   "lose-commit"};
  return out << kNames[static_cast<int>(s.kind)] << ' ' << s.pick;
}

// A model of a broker's queue, one gateway that may crash, and workers that count runs. Rules 1 and 2 are
// checked on the model alone: `runs_` is what the workers ran, `answers` what the broker accepted.
class SimulatedSystem {
 public:
  SimulatedSystem(Semantics semantics, bool sole_reader)
      : effect_{semantics, RepeatGroup::kAll, 40}, sole_reader_(sole_reader) {
    disk_.least_delay = 1ms, disk_.most_delay = 4ms;
    for (int i = 0; i < 3; ++i) messages_["m" + std::to_string(i)];
    begin();
    if (sole_reader_) ledger_->begin_exclusive_reading("f"), ledger_->mark_complete("f");
    net_.run_for(20ms);
  }

  void step(const Step& s) {
    switch (s.kind) {
      case StepKind::kDeliver: deliver(s.pick); break;
      case StepKind::kSend: send(s.pick); break;
      case StepKind::kEnd: end(s.pick, true); break;
      case StepKind::kRefuse: end(s.pick, false); break;
      case StepKind::kAnswer: answer(s.pick); break;
      case StepKind::kCommit: commit(true); break;
      case StepKind::kLoseCommit: commit(s.pick % 2 == 0), disconnect(); break;
      case StepKind::kDisconnect: disconnect(); break;
      case StepKind::kCrash: crash(); break;
      case StepKind::kWait: net_.run_for(std::chrono::milliseconds(1 + s.pick % 7)); break;
    }
    net_.run_for(100us);
  }
  // Completes all calls that are still open after the history.
  void finish() {
    for (int i = 0; i < 60 && !done(); ++i) {
      net_.run_for(5ms);
      for (unsigned m = 0; m < messages_.size(); ++m) deliver(m);
      for (unsigned c = 0; c < 3; ++c) send(0);
      net_.run_for(5ms);
      while (!sent_attempts_.empty()) end(0, true);
      while (!calls_.empty()) answer(0);
      net_.run_for(5ms);
      commit(true);
    }
  }
  bool done() const {
    return std::all_of(messages_.begin(), messages_.end(), [](auto& m) { return m.second.gone; });
  }
  void check() const {
    for (const auto& [name, m] : messages_) {
      RC_ASSERT(m.gone);
      RC_ASSERT(m.answers.size() == 1U);
      const auto runs_of_message = runs_.find(name);
      const std::size_t runs = runs_of_message == runs_.end() ? 0 : runs_of_message->second.size();
      if (effect_.semantics == Semantics::kOnce) {
        RC_ASSERT(runs <= 1U);
        if (m.answers[0] == Answer::Kind::kRefused) RC_ASSERT(runs == 0U);
      }
      if (effect_.semantics == Semantics::kKeyed && runs > 1)  // workers drop duplicates only for this long
        RC_ASSERT(runs_of_message->second.back() - runs_of_message->second.front() <= 41ms);
      if (m.answers[0] == Answer::Kind::kServed) RC_ASSERT(runs >= 1U);
      // With complete coverage, a call fails only if a gateway tried to send it.
      if (sole_reader_ && m.answers[0] == Answer::Kind::kFailed) RC_ASSERT(attempted_.contains(name));
    }
  }

 private:
  struct Message {
    bool redelivered = false, out = false, gone = false;
    std::uint64_t tag = 0;
    std::vector<Answer::Kind> answers;
  };
  struct OpenCall {  // a call of this process
    std::vector<std::size_t> attempts;
    bool out = false, may_have_run = false, ok = false;
    std::optional<std::int64_t> until_ms;
  };
  struct SentAttempt {  // an attempt that was sent
    std::string name;
    std::size_t number = 0;
    bool of_this_process = true;
  };

  void begin() {
    store_ = std::make_unique<store::MemoryStore>(net_, disk_);
    ledger_ = std::make_unique<ledger::CallLedger>(net_, *store_, ledger::CallLedgerOptions{});
    RC_ASSERT(!ledger_->load());
    Intake::Options o;
    o.book = ledger_.get(), o.front = "f";
    intake_ = std::make_unique<Intake>(o);
  }
  std::string key(const std::string& name) const { return ledger::key_of("f", name); }

  void deliver(unsigned pick) {
    auto it = messages_.begin();
    std::advance(it, pick % messages_.size());
    auto& [name, m] = *it;
    if (m.out || m.gone) return;
    m.out = true, m.tag = ++last_tag_;
    const Intake::Decision decision =
        intake_->deliver(name, {epoch_, m.tag, "r", "c"}, m.redelivered, effect_, net_.now());
    switch (decision.verdict) {
      case Intake::Verdict::kRun:
        if (!decision.until_ms) {
          ledger::Record r;
          r.taken_ms = ledger_->now_ms(), r.give_up_ms = r.taken_ms + 100'000;
          ledger_->take(key(name), r);
        }
        calls_[name] = {};
        calls_[name].until_ms = decision.until_ms;
        calls_[name].may_have_run = decision.until_ms.has_value();
        break;
      case Intake::Verdict::kAnswer:
        ready_answers_.push_back({name, m.tag, intake_->answer_of(name)->kind, true});
        break;
      case Intake::Verdict::kFail:
        ready_answers_.push_back({name, m.tag, Answer::Kind::kFailed, false});
        break;
      case Intake::Verdict::kAcknowledge: m.gone = true; break;
      case Intake::Verdict::kJoin: break;
      case Intake::Verdict::kTooMany: RC_FAIL("too many"); break;
    }
  }
  // As the decision module does: one attempt at a time, and a repeat only if the class allows it.
  void send(unsigned pick) {
    if (calls_.empty()) return;
    auto it = calls_.begin();
    std::advance(it, pick % calls_.size());
    const std::string name = it->first;
    OpenCall& call = it->second;
    if (call.out || call.ok) return;
    if (call.may_have_run && effect_.semantics == Semantics::kOnce) return;
    if (call.may_have_run && effect_.semantics == Semantics::kKeyed &&
        (!call.until_ms || ledger_->now_ms() >= *call.until_ms))
      return;
    call.out = true;
    attempted_.insert(name);
    if (effect_.semantics == Semantics::kRepeatable) return record_sent(name, 0);
    const std::size_t number = call.attempts.size();
    call.attempts.push_back(0);
    const std::size_t recorded =
        ledger_->add_attempt(key(name), 1, [this, name, number, process_number = process_number_] {
          if (process_number == process_number_) record_sent(name, number);
        });
    calls_.at(name).attempts[number] = recorded;
    if (!call.until_ms) call.until_ms = ledger_->now_ms() + effect_.repeat_window_ms;
  }
  void record_sent(const std::string& name, std::size_t number) {
    sent_attempts_.push_back({name, number, true});
  }
  // A worker runs the call or rejects it; the result reaches the gateway only if the process that sent the
  // attempt still runs.
  void end(unsigned pick, bool runs) {
    if (sent_attempts_.empty()) return;
    const auto it = sent_attempts_.begin() + pick % static_cast<unsigned>(sent_attempts_.size());
    const SentAttempt o = *it;
    sent_attempts_.erase(it);
    if (runs) runs_[o.name].push_back(net_.now());
    if (!o.of_this_process) return;
    const auto call = calls_.find(o.name);
    if (call == calls_.end()) return;
    call->second.out = false;
    if (runs) {
      call->second.ok = call->second.may_have_run = true;
    } else if (effect_.semantics != Semantics::kRepeatable) {
      ledger_->mark_never_ran(key(o.name), call->second.attempts[o.number]);
    }
  }
  void answer(unsigned pick) {
    if (calls_.empty()) return;
    auto it = calls_.begin();
    std::advance(it, pick % calls_.size());
    if (it->second.out) return answer_with_attempt_in_flight(it->first);
    const auto [name, call] = *it;
    calls_.erase(it);
    Answer a;
    a.kind = call.ok             ? Answer::Kind::kServed
             : call.may_have_run ? Answer::Kind::kFailed
                                 : Answer::Kind::kRefused;
    ledger_->answer(key(name), to_ledger(a));
    for (const Delivery& d : intake_->record_answer(name, a, epoch_, net_.now()))
      ready_answers_.push_back({name, d.tag, a.kind, true});
  }
  // The deadline passes while an attempt is in flight, so the call may have run.
  void answer_with_attempt_in_flight(const std::string name) {  // by value: the call that owns it is erased
    const auto it = calls_.find(name);
    calls_.erase(it);
    Answer a;
    a.kind = effect_.semantics == Semantics::kRepeatable ? Answer::Kind::kRefused : Answer::Kind::kFailed;
    ledger_->answer(key(name), to_ledger(a));
    for (const Delivery& d : intake_->record_answer(name, a, epoch_, net_.now()))
      ready_answers_.push_back({name, d.tag, a.kind, true});
  }
  // A transaction of answers and acknowledgements. With `result_known`, the gateway learns that it succeeded.
  void commit(bool result_known) {
    for (const auto& r : ready_answers_) {
      Message& m = messages_.at(r.name);
      if (!m.out || m.tag != r.tag) continue;
      m.gone = true, m.out = false;
      m.answers.push_back(r.kind);
      if (result_known && r.from_intake) intake_->on_acknowledged(r.name, epoch_, r.tag, true);
    }
    ready_answers_.clear();
  }
  void disconnect() {
    ++epoch_;
    ready_answers_.clear();
    for (auto& [name, m] : messages_)
      if (m.out && !m.gone) m.out = false, m.redelivered = true;
  }
  void crash() {
    ++process_number_;
    disconnect();
    calls_.clear();
    for (SentAttempt& o : sent_attempts_) o.of_this_process = false;
    intake_.reset(), ledger_.reset(), store_.reset();
    net_.run_for(1ms);
    begin();
  }

  struct ReadyAnswer {
    std::string name;
    std::uint64_t tag;
    Answer::Kind kind;
    bool from_intake;
  };
  ledger::Effect effect_;
  bool sole_reader_;
  sim::Network net_;
  store::MemoryDisk disk_;
  std::unique_ptr<store::MemoryStore> store_;
  std::unique_ptr<ledger::CallLedger> ledger_;
  std::unique_ptr<Intake> intake_;
  std::map<std::string, Message> messages_;
  std::map<std::string, OpenCall> calls_;
  std::vector<SentAttempt> sent_attempts_;
  std::vector<ReadyAnswer> ready_answers_;
  std::map<std::string, std::vector<Time>> runs_;
  std::set<std::string> attempted_;
  std::uint64_t epoch_ = 1, last_tag_ = 0;
  int process_number_ = 1;
};

rc::Gen<std::vector<Step>> history_generator() {
  const auto kind = rc::gen::weightedElement<StepKind>({{6, StepKind::kDeliver},
                                                        {6, StepKind::kSend},
                                                        {4, StepKind::kEnd},
                                                        {2, StepKind::kRefuse},
                                                        {3, StepKind::kAnswer},
                                                        {3, StepKind::kCommit},
                                                        {2, StepKind::kDisconnect},
                                                        {2, StepKind::kCrash},
                                                        {4, StepKind::kWait},
                                                        {1, StepKind::kLoseCommit}});
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::kind, kind), rc::gen::set(&Step::pick, rc::gen::inRange(0U, 12U))));
}

void check_histories(Semantics semantics, bool sole_reader, int count) {
  rc::detail::TestParams params;
  params.seed = 20261201;
  params.maxSuccess = count;
  params.maxSize = 40;
  rc::detail::TestMetadata metadata;
  const auto result = rc::detail::checkTestable(
      [=] {
        const auto history = *history_generator();
        SimulatedSystem system(semantics, sole_reader);
        for (const Step& s : history) system.step(s);
        system.finish();
        system.check();
      },
      metadata, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << message.str();
}

#ifdef __SANITIZE_ADDRESS__
constexpr int kHistoriesPerClass = 3'000;  // fewer, because the sanitizers make each history slower
#else
constexpr int kHistoriesPerClass = 20'000;
#endif

TEST(Histories, Once) { check_histories(Semantics::kOnce, false, kHistoriesPerClass); }
TEST(Histories, OnceWithSoleReader) { check_histories(Semantics::kOnce, true, 2 * kHistoriesPerClass); }
TEST(Histories, Keyed) { check_histories(Semantics::kKeyed, false, kHistoriesPerClass); }
TEST(Histories, KeyedWithSoleReader) { check_histories(Semantics::kKeyed, true, kHistoriesPerClass); }
TEST(Histories, Repeatable) { check_histories(Semantics::kRepeatable, false, kHistoriesPerClass); }

}  // namespace
}  // namespace laureltide::controller
