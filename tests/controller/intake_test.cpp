// Message deduplication: the verdict table, and random histories of broker behaviour.
#include "controller/intake.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace laureltide::controller {
namespace {

using namespace std::chrono_literals;
using Verdict = Intake::Verdict;
const Time kNow{Duration(1s)};
Delivery d(std::uint64_t epoch, std::uint64_t tag) { return {epoch, tag, "r", "c"}; }
const ledger::Effect kOnce{Semantics::kOnce, {}, 0}, kKeyed{Semantics::kKeyed, RepeatGroup::kCell, 2000},
    kRepeatable{Semantics::kRepeatable, {}, 0};
const Answer kServed{Answer::Kind::kServed, "", "result", {}, {}};

TEST(Intake, RunsOrFailsUnknownNames) {
  Intake in({});
  EXPECT_EQ(in.deliver("a", d(1, 1), false, kOnce, kNow).verdict, Verdict::kRun);
  EXPECT_EQ(in.deliver("b", d(1, 2), true, kRepeatable, kNow).verdict, Verdict::kRun);
  EXPECT_EQ(in.deliver("c", d(1, 3), true, kOnce, kNow).verdict, Verdict::kFail);
  EXPECT_EQ(in.deliver("d", d(1, 4), true, kKeyed, kNow).verdict, Verdict::kFail);
  EXPECT_EQ(in.names(), 2U);
}

TEST(Intake, MessagesOfOpenCallJoinAndAreAllAnswered) {
  Intake in({});
  in.deliver("a", d(1, 1), false, kOnce, kNow);
  EXPECT_EQ(in.deliver("a", d(2, 7), true, kOnce, kNow).verdict,
            Verdict::kJoin);  // replaces the lost delivery
  EXPECT_EQ(in.deliver("a", d(2, 8), false, kOnce, kNow).verdict, Verdict::kJoin);  // another message
  const auto standing = in.record_answer("a", kServed, 2, kNow);
  ASSERT_EQ(standing.size(), 2U);
  EXPECT_EQ(standing[0].tag, 7U);
  EXPECT_EQ(standing[1].tag, 8U);
  in.on_acknowledged("a", 2, 7, true);
  EXPECT_EQ(in.names(), 1U);
  in.on_acknowledged("a", 2, 8, true);
  EXPECT_EQ(in.names(), 0U);
}

TEST(Intake, AnswerWaitsForRedelivery) {
  Intake in({});
  in.deliver("a", d(1, 1), false, kOnce, kNow);
  EXPECT_TRUE(in.record_answer("a", kServed, 2, kNow).empty());  // its epoch is over
  EXPECT_EQ(in.deliver("a", d(2, 1), true, kOnce, kNow).verdict, Verdict::kAnswer);
  ASSERT_NE(in.answer_of("a"), nullptr);
  EXPECT_EQ(in.answer_of("a")->body, "result");
  in.on_acknowledged("a", 1, 1, true);  // an acknowledgement of the lost epoch settles nothing
  EXPECT_EQ(in.names(), 1U);
  in.on_acknowledged("a", 2, 1, true);
  EXPECT_EQ(in.names(), 0U);
}

TEST(Intake, UnconfirmedAcknowledgementIsRepeatedWithoutAnswer) {
  Intake in({});
  in.deliver("a", d(1, 1), false, kOnce, kNow);
  in.record_answer("a", kServed, 1, kNow);
  in.on_acknowledged("a", 1, 1, false);
  EXPECT_EQ(in.deliver("a", d(2, 1), true, kOnce, kNow).verdict, Verdict::kAcknowledge);
  in.deliver("b", d(1, 2), false, kOnce, kNow);
  in.record_answer("b", kServed, 1, kNow);
  in.on_acknowledged("b", 1, 2, false);
  EXPECT_EQ(in.deliver("b", d(2, 2), false, kOnce, kNow).verdict,
            Verdict::kRun);  // a new message that reuses an old name
}

TEST(Intake, NamesAndJoinedMessagesAreBounded) {
  Intake in({3, 10s, 2, nullptr, ""});
  in.deliver("j", d(1, 1), false, kOnce, kNow);
  in.deliver("j", d(1, 2), false, kOnce, kNow);
  EXPECT_EQ(in.deliver("j", d(1, 3), false, kOnce, kNow).verdict, Verdict::kTooMany);
  for (int i = 0; i < 100; ++i) {
    const std::string name = "n" + std::to_string(i);
    in.deliver(name, d(1, 10), false, kOnce, kNow);
    in.record_answer(name, kServed, 2, kNow + Duration(i));
  }
  EXPECT_LE(in.names(), 5U);
  EXPECT_TRUE(in.is_open("j"));  // an open call is never dropped
  in.deliver("last", d(1, 11), false, kOnce, kNow + 60s);
  EXPECT_LE(in.names(), 2U);  // the answers have expired
}

// Random deliveries, commits and connection losses: in transaction mode each once call runs exactly once and
// each message is answered exactly once.
TEST(Intake, RandomHistoriesAnswerEachMessageOnce) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937_64 random(seed);
    Intake in({});
    struct Message {
      bool redelivered = false, out = false, gone = false;
      std::uint64_t epoch = 0, tag = 0;
      int answers = 0;
    };
    std::map<std::string, Message> queue;
    for (int i = 0; i < 4; ++i) queue["m" + std::to_string(i)];
    std::set<std::string> open;
    std::map<std::string, int> ran;
    std::uint64_t epoch = 1, tag = 0;
    std::vector<std::pair<std::string, std::uint64_t>> uncommitted;  // name, tag of this epoch
    Time now = kNow;
    auto done = [&] {
      return std::all_of(queue.begin(), queue.end(), [](auto& m) { return m.second.gone; });
    };
    for (int step = 0; step < 2000 && !done(); ++step) {
      now += 1ms;
      switch (random() % 8) {
        case 0:  // the connection breaks; the commit may have arrived with only its reply lost
          if (random() % 2)
            for (const auto& [name, t] : uncommitted) queue[name].gone = true, ++queue[name].answers;
          uncommitted.clear();
          ++epoch;
          for (auto& [name, m] : queue)
            if (m.out && !m.gone) m.out = false, m.redelivered = true;
          break;
        case 1:
        case 2:
        case 3: {  // the broker delivers a message
          for (auto& [name, m] : queue) {
            if (m.out || m.gone) continue;
            m.out = true, m.epoch = epoch, m.tag = ++tag;
            const Verdict v = in.deliver(name, d(epoch, m.tag), m.redelivered, kOnce, now).verdict;
            if (v == Verdict::kRun) {
              ++ran[name];
              open.insert(name);
            } else if (v == Verdict::kAnswer) {
              uncommitted.emplace_back(name, m.tag);
            } else {
              ASSERT_EQ(v, Verdict::kJoin) << seed;
            }
            break;
          }
          break;
        }
        case 4:
        case 5:  // a call ends
          if (!open.empty()) {
            const std::string name = *open.begin();
            open.erase(open.begin());
            for (const Delivery& each : in.record_answer(name, kServed, epoch, now))
              uncommitted.emplace_back(name, each.tag);
          }
          break;
        default:  // the broker confirms the commit
          for (const auto& [name, t] : uncommitted) {
            queue[name].gone = true, ++queue[name].answers;
            in.on_acknowledged(name, epoch, t, true);
          }
          uncommitted.clear();
      }
    }
    ASSERT_TRUE(done()) << seed;
    for (const auto& [name, m] : queue) {
      EXPECT_EQ(m.answers, 1) << seed << " " << name;
      EXPECT_EQ(ran[name], 1) << seed << " " << name;
    }
  }
}

}  // namespace
}  // namespace laureltide::controller
