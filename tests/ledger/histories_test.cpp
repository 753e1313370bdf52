// Drawn histories of take, send, answer, crash, reconnect and redelivery against the ledger's table, through
// the intake and the book in simulated time. A failure is shrunk to its shortest history.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "controller/intake.h"
#include "sim/network.h"

namespace laureltide::controller {
namespace {

using namespace std::chrono_literals;

// What can happen next. `pick` chooses which message, call or attempt.
enum class What { kDeliver, kSend, kEnd, kRefuse, kAnswer, kCommit, kCut, kCrash, kWait, kLoseCommit };
struct Step {
  What what{};
  unsigned pick = 0;
};
std::ostream& operator<<(std::ostream& out, const Step& s) {
  static constexpr const char* kNames[] = {"deliver", "send", "end",   "refuse", "answer",
                                           "commit",  "cut",  "crash", "wait",   "lose-commit"};
  return out << kNames[static_cast<int>(s.what)] << ' ' << s.pick;
}

// A broker's queue, one gateway that may die, and workers that keep count. Rule 2 and rule 1 are judged by
// the model alone: `ran` is what workers did, `answers` what the broker accepted.
class World {
 public:
  World(Semantics semantics, bool sole) : effect_{semantics, RepeatGroup::kAll, 40}, sole_(sole) {
    disk_.least_delay = 1ms, disk_.most_delay = 4ms;
    for (int i = 0; i < 3; ++i) messages_["m" + std::to_string(i)];
    begin();
    if (sole_) book_->begin_exclusive_reading("f"), book_->mark_complete("f");
    net_.run_for(20ms);
  }

  void step(const Step& s) {
    switch (s.what) {
      case What::kDeliver: deliver(s.pick); break;
      case What::kSend: send(s.pick); break;
      case What::kEnd: end(s.pick, true); break;
      case What::kRefuse: end(s.pick, false); break;
      case What::kAnswer: answer(s.pick); break;
      case What::kCommit: commit(true); break;
      case What::kLoseCommit: commit(s.pick % 2 == 0), cut(); break;
      case What::kCut: cut(); break;
      case What::kCrash: crash(); break;
      case What::kWait: net_.run_for(std::chrono::milliseconds(1 + s.pick % 7)); break;
    }
    net_.run_for(100us);
  }
  // Whatever has happened, what is left comes to its end.
  void finish() {
    for (int i = 0; i < 60 && !done(); ++i) {
      net_.run_for(5ms);
      for (unsigned m = 0; m < messages_.size(); ++m) deliver(m);
      for (unsigned c = 0; c < 3; ++c) send(0);
      net_.run_for(5ms);
      while (!out_.empty()) end(0, true);
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
      const auto ran = ran_.find(name);
      const std::size_t runs = ran == ran_.end() ? 0 : ran->second.size();
      if (effect_.semantics == Semantics::kOnce) {
        RC_ASSERT(runs <= 1U);
        if (m.answers[0] == Answer::Kind::kRefused) RC_ASSERT(runs == 0U);
      }
      if (effect_.semantics == Semantics::kKeyed && runs > 1)  // workers drop repeats only so long
        RC_ASSERT(ran->second.back() - ran->second.front() <= 41ms);
      if (m.answers[0] == Answer::Kind::kServed) RC_ASSERT(runs >= 1U);
      // With the whole of the queue in the ledger, nothing fails that no gateway was about to send.
      if (sole_ && m.answers[0] == Answer::Kind::kFailed) RC_ASSERT(tried_.contains(name));
    }
  }

 private:
  struct Message {
    bool redelivered = false, out = false, gone = false;
    std::uint64_t tag = 0;
    std::vector<Answer::Kind> answers;
  };
  struct Open {  // a call of this life
    std::vector<std::size_t> attempts;
    bool out = false, may_have_run = false, ok = false;
    std::optional<std::int64_t> until_ms;
  };
  struct Out {  // an attempt that left
    std::string name;
    std::size_t number = 0;
    bool of_this_life = true;
  };

  void begin() {
    store_ = std::make_unique<store::MemoryStore>(net_, disk_);
    book_ = std::make_unique<ledger::CallLedger>(net_, *store_, ledger::CallLedgerOptions{});
    RC_ASSERT(!book_->load());
    Intake::Options o;
    o.book = book_.get(), o.front = "f";
    intake_ = std::make_unique<Intake>(o);
  }
  std::string key(const std::string& name) const { return ledger::key_of("f", name); }

  void deliver(unsigned pick) {
    auto it = messages_.begin();
    std::advance(it, pick % messages_.size());
    auto& [name, m] = *it;
    if (m.out || m.gone) return;
    m.out = true, m.tag = ++tags_;
    const Intake::Decision decision =
        intake_->deliver(name, {epoch_, m.tag, "r", "c"}, m.redelivered, effect_, net_.now());
    switch (decision.verdict) {
      case Intake::Verdict::kRun:
        if (!decision.until_ms) {
          ledger::Record r;
          r.taken_ms = book_->now_ms(), r.give_up_ms = r.taken_ms + 100'000;
          book_->take(key(name), r);
        }
        calls_[name] = {};
        calls_[name].until_ms = decision.until_ms;
        calls_[name].may_have_run = decision.until_ms.has_value();
        break;
      case Intake::Verdict::kAnswer:
        ready_.push_back({name, m.tag, intake_->answer_of(name)->kind, true});
        break;
      case Intake::Verdict::kFail: ready_.push_back({name, m.tag, Answer::Kind::kFailed, false}); break;
      case Intake::Verdict::kAcknowledge: m.gone = true; break;
      case Intake::Verdict::kJoin: break;
      case Intake::Verdict::kTooMany: RC_FAIL("too many"); break;
    }
  }
  // As the module would: one attempt at a time, and again only what its class allows.
  void send(unsigned pick) {
    if (calls_.empty()) return;
    auto it = calls_.begin();
    std::advance(it, pick % calls_.size());
    const std::string name = it->first;
    Open& open = it->second;
    if (open.out || open.ok) return;
    if (open.may_have_run && effect_.semantics == Semantics::kOnce) return;
    if (open.may_have_run && effect_.semantics == Semantics::kKeyed &&
        (!open.until_ms || book_->now_ms() >= *open.until_ms))
      return;
    open.out = true;
    tried_.insert(name);
    if (effect_.semantics == Semantics::kRepeatable) return leave(name, 0);
    const std::size_t number = open.attempts.size();
    open.attempts.push_back(0);
    const std::size_t recorded = book_->add_attempt(key(name), 1, [this, name, number, life = life_] {
      if (life == life_) leave(name, number);
    });
    calls_.at(name).attempts[number] = recorded;
    if (!open.until_ms) open.until_ms = book_->now_ms() + effect_.repeat_window_ms;
  }
  void leave(const std::string& name, std::size_t number) { out_.push_back({name, number, true}); }
  // A worker runs it, or says that it did not; the word reaches the gateway only in the life that sent it.
  void end(unsigned pick, bool runs) {
    if (out_.empty()) return;
    const auto it = out_.begin() + pick % static_cast<unsigned>(out_.size());
    const Out o = *it;
    out_.erase(it);
    if (runs) ran_[o.name].push_back(net_.now());
    if (!o.of_this_life) return;
    const auto open = calls_.find(o.name);
    if (open == calls_.end()) return;
    open->second.out = false;
    if (runs) {
      open->second.ok = open->second.may_have_run = true;
    } else if (effect_.semantics != Semantics::kRepeatable) {
      book_->mark_never_ran(key(o.name), open->second.attempts[o.number]);
    }
  }
  void answer(unsigned pick) {
    if (calls_.empty()) return;
    auto it = calls_.begin();
    std::advance(it, pick % calls_.size());
    if (it->second.out) return finish_out(it->first);
    const auto [name, open] = *it;
    calls_.erase(it);
    Answer a;
    a.kind = open.ok             ? Answer::Kind::kServed
             : open.may_have_run ? Answer::Kind::kFailed
                                 : Answer::Kind::kRefused;
    book_->answer(key(name), to_ledger(a));
    for (const Delivery& d : intake_->record_answer(name, a, epoch_, net_.now()))
      ready_.push_back({name, d.tag, a.kind, true});
  }
  // Its time is up with an attempt out: it may have run.
  void finish_out(const std::string name) {  // by value: its call goes
    const auto it = calls_.find(name);
    calls_.erase(it);
    Answer a;
    a.kind = effect_.semantics == Semantics::kRepeatable ? Answer::Kind::kRefused : Answer::Kind::kFailed;
    book_->answer(key(name), to_ledger(a));
    for (const Delivery& d : intake_->record_answer(name, a, epoch_, net_.now()))
      ready_.push_back({name, d.tag, a.kind, true});
  }
  // A transaction: answers and acknowledgements, all or none; `known`: and the gateway hears of it.
  void commit(bool known) {
    for (const auto& r : ready_) {
      Message& m = messages_.at(r.name);
      if (!m.out || m.tag != r.tag) continue;
      m.gone = true, m.out = false;
      m.answers.push_back(r.kind);
      if (known && r.named) intake_->on_acknowledged(r.name, epoch_, r.tag, true);
    }
    ready_.clear();
  }
  void cut() {
    ++epoch_;
    ready_.clear();
    for (auto& [name, m] : messages_)
      if (m.out && !m.gone) m.out = false, m.redelivered = true;
  }
  void crash() {
    ++life_;
    cut();
    calls_.clear();
    for (Out& o : out_) o.of_this_life = false;
    intake_.reset(), book_.reset(), store_.reset();
    net_.run_for(1ms);
    begin();
  }

  struct Ready {
    std::string name;
    std::uint64_t tag;
    Answer::Kind kind;
    bool named;
  };
  ledger::Effect effect_;
  bool sole_;
  sim::Network net_;
  store::MemoryDisk disk_;
  std::unique_ptr<store::MemoryStore> store_;
  std::unique_ptr<ledger::CallLedger> book_;
  std::unique_ptr<Intake> intake_;
  std::map<std::string, Message> messages_;
  std::map<std::string, Open> calls_;
  std::vector<Out> out_;
  std::vector<Ready> ready_;
  std::map<std::string, std::vector<Time>> ran_;
  std::set<std::string> tried_;
  std::uint64_t epoch_ = 1, tags_ = 0;
  int life_ = 1;
};

rc::Gen<std::vector<Step>> histories() {
  const auto what = rc::gen::weightedElement<What>({{6, What::kDeliver},
                                                    {6, What::kSend},
                                                    {4, What::kEnd},
                                                    {2, What::kRefuse},
                                                    {3, What::kAnswer},
                                                    {3, What::kCommit},
                                                    {2, What::kCut},
                                                    {2, What::kCrash},
                                                    {4, What::kWait},
                                                    {1, What::kLoseCommit}});
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::what, what), rc::gen::set(&Step::pick, rc::gen::inRange(0U, 12U))));
}

void check_histories(Semantics semantics, bool sole, int count) {
  rc::detail::TestParams params;
  params.seed = 20261201;
  params.maxSuccess = count;
  params.maxSize = 40;
  rc::detail::TestMetadata metadata;
  const auto result = rc::detail::checkTestable(
      [=] {
        const auto history = *histories();
        World world(semantics, sole);
        for (const Step& s : history) world.step(s);
        world.finish();
        world.check();
      },
      metadata, params);
  std::ostringstream said;
  rc::detail::printResultMessage(result, said);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << said.str();
}

#ifdef __SANITIZE_ADDRESS__
constexpr int kCount = 3'000;  // of each kind: the sanitizers make each dearer
#else
constexpr int kCount = 20'000;
#endif

TEST(Histories, OnceOnly) { check_histories(Semantics::kOnce, false, kCount); }
TEST(Histories, OnceOnlyWithASoleReader) { check_histories(Semantics::kOnce, true, 2 * kCount); }
TEST(Histories, Keyed) { check_histories(Semantics::kKeyed, false, kCount); }
TEST(Histories, KeyedWithASoleReader) { check_histories(Semantics::kKeyed, true, kCount); }
TEST(Histories, Repeatable) { check_histories(Semantics::kRepeatable, false, kCount); }

}  // namespace
}  // namespace laureltide::controller
