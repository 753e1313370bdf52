// The event bus as followed, and what its events say.
#include "platform/feed.h"

#include <gtest/gtest.h>

#include "platform/invoker_list.h"
#include "sim/network.h"
#include "standin/platform.h"

namespace laureltide::platform {
namespace {

using namespace std::chrono_literals;
using standin::platform_event;
using standin::PlatformBus;
using standin::PlatformMember;
const io::Address kBus{"127.0.0.1", 4222}, kOther{"127.0.0.1", 4223};

std::vector<Event> read(const std::vector<std::string>& pieces, bool* well = nullptr) {
  EventParser parser;
  std::vector<Event> events;
  bool ok = true;
  for (const std::string& piece : pieces)
    ok = ok && parser.feed(piece, [&](Event e) { events.push_back(std::move(e)); });
  if (well) *well = ok;
  return events;
}

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

TEST(EventParser, IsTheSameForAllCuts) {
  const std::string plain =
      kHead +
      "\r\n:hi\n\nid: 4\ndata: {\"a\":1}\n\n\nid:5\r\nevent: x\r\ndata:b\r\ndata:c\r\n\r\nid: 6\rdata: d\r\r";
  const std::string chunked =
      kHead + "Transfer-Encoding: Chunked\r\n\r\n5\r\nid: 4\r\n8;x=y\r\n\ndata: e\r\n2\r\n\n\n\r\n";
  for (const auto& [bytes, count] : {std::pair{plain, 3U}, {chunked, 1U}})
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      const auto events = read({bytes.substr(0, cut), bytes.substr(cut)});
      ASSERT_EQ(events.size(), count) << cut;
      EXPECT_EQ(events[0].id, 4U);
      if (count == 3U) {
        EXPECT_EQ(events[1].data, "b\nc");
        EXPECT_EQ(events[2].data, "d");
      }
    }
}

TEST(EventParser, HalfAnEventIsNone) {
  EXPECT_TRUE(read({kHead + "\r\nid: 4\ndata: x\n"}).empty());
  EXPECT_TRUE(read({kHead + "\r\ndata: x\n\n"}).empty());  // without a number
}

TEST(EventParser, WhatIsNoSuchAnswerEnds) {
  bool well = true;
  const std::vector<std::string> bad = {"HTTP/1.1 404 Not Found\r\n\r\n",
                                        "SSH-2.0\r\n\r\n",
                                        std::string(EventParser::kMostHead + 1, 'x'),
                                        kHead + "\r\nid: x\n",
                                        kHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                                        kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                                        kHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n",
                                        kHead + "\r\ndata: " + std::string(EventParser::kMostEvent, 'x')};
  for (const std::string& bytes : bad) {
    read({bytes}, &well);
    EXPECT_FALSE(well) << bytes.substr(0, 80);
  }
}

struct FollowerTest : testing::Test {
  sim::Network net;
  PlatformBus bus{net, kBus};
  std::vector<std::uint64_t> heard;
  std::vector<std::string> lost;
  std::uint64_t gap = 0;
  std::unique_ptr<EventSubscriber> follower;

  void SetUp() override {
    ASSERT_TRUE(bus.start());
    for (int i = 0; i < 3; ++i) bus.publish({});
    follower = std::make_unique<EventSubscriber>(
        net, kBus, 1, EventSubscriber::Options{},
        [this](const Event& e) {
          if (e.id == gap) return false;
          heard.push_back(e.id);
          return true;
        },
        [this](const std::string& why) { lost.push_back(why); });
    net.run_for(100ms);
  }
};

TEST_F(FollowerTest, GoesOnFromWhatItHolds) {
  EXPECT_EQ(bus.last_asked_from(), 1U);
  EXPECT_EQ(heard, (std::vector<std::uint64_t>{2, 3}));
  net.run_for(30s);  // comments keep it
  EXPECT_EQ(bus.asked(), 1U);
}

TEST_F(FollowerTest, DoublesArePassedOver) {
  bus.set_duplicate_events(true);
  bus.publish({}), bus.publish({});
  net.run_for(100ms);
  EXPECT_EQ(heard, (std::vector<std::uint64_t>{2, 3, 4, 5}));
}

TEST_F(FollowerTest, ABreakWithinAnEventAsksAgainAtOnce) {
  net.run_for(2s);
  bus.truncate_next_event();
  bus.publish({});
  net.run_for(200ms);
  EXPECT_EQ(heard.back(), 4U);
  EXPECT_EQ(bus.last_asked_from(), 3U);
  EXPECT_EQ(lost.size(), 1U);
}

TEST_F(FollowerTest, SilenceIsABreak) {
  bus.set_silent(true);
  bus.publish({});
  net.run_for(2500ms);
  EXPECT_EQ(heard.back(), 4U);  // told when asked again
  ASSERT_GE(lost.size(), 1U);
  EXPECT_EQ(lost[0], "silent");
}

TEST_F(FollowerTest, AMachineThatIsCutOffIsLeft) {
  net.set_silent(kBus, true);
  net.run_for(3s);
  net.set_silent(kBus, false);
  bus.publish({});
  net.run_for(2s);
  EXPECT_EQ(heard.back(), 4U);
}

TEST_F(FollowerTest, RefusalsAreMetWithPatienceNotWithASpin) {
  net.run_for(2s);
  bus.stop();
  net.run_for(10s);
  EXPECT_LT(lost.size(), 60U);
  EXPECT_GT(lost.size(), 5U);
  ASSERT_TRUE(bus.start());
  bus.publish({});
  net.run_for(1s);
  EXPECT_EQ(heard.back(), 4U);
}

// It takes longer than the first patience: the next ones are longer, and short again once it is heard.
TEST_F(FollowerTest, ACrowdedBusThatAnswersLateIsHeardInTheEnd) {
  net.run_for(2s);
  bus.set_answer_after(3500ms);
  bus.stop();
  bus.publish({});
  ASSERT_TRUE(bus.start());
  net.run_for(15s);
  EXPECT_EQ(heard.back(), 4U);
  EXPECT_EQ(std::count(lost.begin(), lost.end(), "no answer"), 2);
  const std::size_t asked = bus.asked();
  bus.set_answer_after(Duration(0));
  bus.ignore_next_requests(1);
  bus.stop();
  ASSERT_TRUE(bus.start());
  net.run_for(2500ms);
  EXPECT_EQ(bus.asked(), asked + 2);
}

TEST_F(FollowerTest, AGapAsksAgainFromTheLastHeld) {
  gap = 5;
  bus.set_skip(4);
  bus.publish({}), bus.publish({});
  net.run_for(20ms);
  EXPECT_GE(bus.asked(), 2U);
  EXPECT_EQ(bus.last_asked_from(), 3U);
  gap = 0;
  bus.set_skip(0);
  net.run_for(2s);
  EXPECT_EQ(heard, (std::vector<std::uint64_t>{2, 3, 4, 5}));
}

TEST_F(FollowerTest, AnotherBusTakesOverAndNumbersGoOn) {
  PlatformBus other(net, kOther);
  ASSERT_TRUE(other.start());
  for (int i = 0; i < 5; ++i) other.publish({});
  bus.stop();
  follower->move(kOther);
  net.run_for(100ms);
  EXPECT_EQ(other.last_asked_from(), 3U);
  EXPECT_EQ(heard.back(), 5U);
}

// ---- How current the list is ----------------------------------------------------------------------------

struct FreshnessTest : FollowerTest {
  Time until{};
  std::vector<Time> falls;  // when it fell back
  void SetUp() override {
    FollowerTest::SetUp();
    follower->on_current_until([this](Time at) {
      if (at < until) falls.push_back(net.now());
      until = at;
    });
  }
  Duration ahead() const { return until - net.now(); }
};

TEST_F(FreshnessTest, EachCommentKeepsItAhead) {
  for (int i = 0; i < 50; ++i) {
    net.run_for(100ms);
    if (i > 11) {
      EXPECT_GE(ahead(), EventSubscriber::kToldAfter - 1001ms);
    }
    EXPECT_LE(ahead(), Duration(EventSubscriber::kToldAfter));
  }
}

// The backlog of a new connection may hold more behind the event that has come.
TEST_F(FreshnessTest, AnEventBeforeTheFirstCommentSaysNothing) {
  net.run_for(2500ms);
  bus.stop();
  net.run_for(1500ms);
  bus.publish({}), bus.publish({});
  ASSERT_TRUE(bus.start());
  net.run_until([&] { return heard.back() == 5; });
  EXPECT_LE(ahead(), Duration(0));
  net.run_for(1100ms);  // the comment
  EXPECT_GT(ahead(), Duration(0));
}

// Read long after the question, it may have lain here since: it counts as said at most a little after that.
TEST_F(FreshnessTest, WhatIsReadLongAfterTheQuestionCountsAsSaidEarlier) {
  net.run_for(2500ms);
  bus.set_answer_after(3500ms);
  follower->move(kBus);
  net.run_until([&] { return lost.size() == 2; });  // after 1 s and 2 s
  const Time asked = net.now();
  net.run_until([&] { return ahead() > Duration(0); }, 10s);
  EXPECT_GT(net.now() - asked, Duration(3500ms));
  EXPECT_LT(ahead(), EventSubscriber::kToldAfter - 1s);
  net.run_for(6s);
  EXPECT_GE(ahead(), EventSubscriber::kToldAfter - 1001ms);
}

TEST_F(FreshnessTest, AskingAnewEndsIt) {
  net.run_for(2500ms);
  const Time began = net.now();
  bus.set_outage(PlatformBus::Outage::kSilent);
  net.run_for(20s);  // each connection is answered with a head, and no more
  EXPECT_LE(until - began, Duration(EventSubscriber::kToldAfter));
  ASSERT_FALSE(falls.empty());
  EXPECT_LE(falls.front() - began, Duration(1800ms));
  EXPECT_EQ(falls.size(), 1U);
  bus.set_outage(PlatformBus::Outage::kNone);
  net.run_for(2s);
  EXPECT_GT(ahead(), Duration(0));
}

TEST_F(FreshnessTest, BytesThatMakeNoLineSayNothingAndAreABreakInTheEnd) {
  net.run_for(2500ms);
  const Time began = net.now();
  const std::size_t asked = bus.asked();
  bus.set_outage(PlatformBus::Outage::kDripping);
  net.run_for(4s);
  EXPECT_LE(until - began, Duration(EventSubscriber::kToldAfter));
  EXPECT_EQ(bus.asked(), asked);  // it may be a long event
  net.run_for(3s);
  EXPECT_GT(bus.asked(), asked);
  ASSERT_FALSE(lost.empty());
  EXPECT_EQ(lost.back(), "bytes that make no line");
  EXPECT_LE(until - began, Duration(7s));
  EXPECT_LE(ahead(), Duration(0));
}

// ---- Roster -------------------------------------------------------------------------------------------

PlatformMember invoker(const std::string& id, const std::string& phase = "active",
                       std::uint16_t port = 7001) {
  return {id, {"127.0.0.1", port}, phase, 2, 0};
}

TEST(InvokerList, NumbersAreNeverGivenTwice) {
  InvokerList roster;
  auto first = roster.take(1, platform_event(1, true, {invoker("a"), invoker("b", "leaving")}));
  ASSERT_EQ(first.verdict, InvokerList::Verdict::kApplied) << first.why;
  EXPECT_TRUE(first.update.full);
  EXPECT_EQ(first.update.members[0].zone, "yard");
  EXPECT_EQ(first.update.members[0].cell, "2");
  EXPECT_EQ(first.update.members[1].state, WorkerState::kDraining);
  const std::uint32_t a = first.update.members[0].id;
  auto left = roster.take(2, platform_event(2, false, {invoker("a", "left")}));
  EXPECT_EQ(left.update.members[0].id, a);
  EXPECT_EQ(roster.names(), 1U);
  auto anew =
      roster.take(3, platform_event(3, false, {invoker("c"), invoker("a")}));  // at a's address, and a
  EXPECT_NE(anew.update.members[0].id, a);
  EXPECT_NE(anew.update.members[1].id, a);
  EXPECT_NE(anew.update.members[0].id, anew.update.members[1].id);
}

TEST(InvokerList, OldOnesGapsAndWhatCannotBeReadChangeNothing) {
  InvokerList roster;
  roster.take(4, platform_event(4, true, {invoker("a")}));
  EXPECT_EQ(roster.take(4, platform_event(4, false, {invoker("b")})).verdict, InvokerList::Verdict::kOld);
  EXPECT_EQ(roster.take(3, platform_event(3, true, {invoker("b")})).verdict, InvokerList::Verdict::kOld);
  EXPECT_EQ(roster.take(6, platform_event(6, false, {invoker("b")})).verdict, InvokerList::Verdict::kGap);
  for (const char* bad :
       {"", "[]", "{}", R"({"topology":{}})", R"({"topology":7})", R"({"topology":{"members":{}}})",
        R"({"topology":{"members":[1]}})", R"({"topology":{"members":[{"id":7,"host_port":"1.2.3.4:5"}]}})",
        R"({"topology":{"members":[{"host_port":"1.2.3.4:5"}]}})",
        R"({"topology":{"complete":"yes","members":[]}})"}) {
    const auto taken = roster.take(5, bad);
    EXPECT_EQ(taken.verdict, InvokerList::Verdict::kBad) << bad;
    EXPECT_FALSE(taken.why.empty()) << bad;
  }
  EXPECT_EQ(roster.names(), 1U);
  EXPECT_EQ(roster.last(), 4U);
  EXPECT_EQ(roster.take(6, platform_event(6, true, {invoker("b")})).verdict, InvokerList::Verdict::kApplied);
  EXPECT_FALSE(roster.worker_id_of("a"));  // not in the whole list
}

// An entry that names an invoker and cannot be read in full may be its drain.
TEST(InvokerList, AnEntryReadInPartCountsAsLeaving) {
  for (const char* part : {R"("phase":"odd")", R"("phase":3)", R"("host_port":"nowhere")", R"("size":"big")",
                           R"("up_since_ms":"now")"}) {
    InvokerList roster;
    roster.take(1, platform_event(1, true, {invoker("a"), invoker("b")}));
    const std::uint32_t a = *roster.worker_id_of("a");
    const auto taken = roster.take(2, std::string(R"({"topology":{"members":[{"id":"a",)") + part +
                                          R"(},{"id":"b","phase":"leaving"}]}})");
    ASSERT_EQ(taken.verdict, InvokerList::Verdict::kApplied) << part;
    EXPECT_NE(taken.why.find("invoker a"), std::string::npos) << taken.why;
    ASSERT_EQ(taken.update.members.size(), 2U);
    EXPECT_EQ(taken.update.members[0].id, a);
    EXPECT_EQ(taken.update.members[0].state, WorkerState::kDraining) << part;
    EXPECT_EQ(taken.update.members[1].state, WorkerState::kDraining);  // its neighbour is read all the same
  }
}

// The list held stands until the replay has come as far as was told before, and is then replaced in one step.
TEST(InvokerList, AReplayReplacesTheListInOneStep) {
  InvokerList roster;
  roster.take(1, platform_event(1, true, {invoker("a"), invoker("b", "active", 7002), invoker("c")}));
  const std::uint32_t a = *roster.worker_id_of("a"), b = *roster.worker_id_of("b"),
                      c = *roster.worker_id_of("c");
  roster.start_replay(4);  // 2 and 3 never came
  EXPECT_TRUE(roster.replaying());
  EXPECT_EQ(
      roster.take(1, platform_event(1, true, {invoker("a"), invoker("b", "active", 7002), invoker("c")}))
          .verdict,
      InvokerList::Verdict::kOld);
  EXPECT_EQ(roster.take(2, platform_event(2, false, {invoker("c", "left")})).verdict,
            InvokerList::Verdict::kOld);
  EXPECT_TRUE(roster.worker_id_of("c"));  // as held
  EXPECT_EQ(roster.take(3, platform_event(3, false, {invoker("a", "leaving")})).verdict,
            InvokerList::Verdict::kOld);
  EXPECT_EQ(roster.take(3, platform_event(3, false, {invoker("b", "left")})).verdict,
            InvokerList::Verdict::kOld);
  const auto whole = roster.take(4, platform_event(4, false, {invoker("c", "active", 7003)}));
  ASSERT_EQ(whole.verdict, InvokerList::Verdict::kApplied);
  EXPECT_TRUE(whole.update.full);
  EXPECT_EQ(whole.update.version, 4U);
  ASSERT_EQ(whole.update.members.size(), 3U);
  EXPECT_EQ(roster.worker_id_of("a"), a);
  EXPECT_EQ(whole.update.members[0].state, WorkerState::kDraining);
  EXPECT_EQ(roster.worker_id_of("b"), b);
  EXPECT_NE(roster.worker_id_of("c"), c);  // it had left, and came back as another process
  EXPECT_EQ(roster.last(), 4U);
  EXPECT_FALSE(roster.replaying());
  EXPECT_EQ(roster.take(5, platform_event(5, false, {invoker("a", "left")})).verdict,
            InvokerList::Verdict::kApplied);
}

// What even the replay lacks, or tells unreadably, is passed over there; the rest counts.
TEST(InvokerList, WhatTheReplayLacksIsPassedOver) {
  InvokerList roster;
  roster.take(1, platform_event(1, true, {invoker("a"), invoker("b")}));
  roster.start_replay(4);
  roster.take(1, platform_event(1, true, {invoker("a"), invoker("b")}));
  roster.take(2, "noise");
  const auto whole = roster.take(4, platform_event(4, false, {invoker("b", "leaving")}));
  ASSERT_EQ(whole.verdict, InvokerList::Verdict::kApplied);
  ASSERT_EQ(whole.update.members.size(), 2U);
  EXPECT_EQ(whole.update.members[1].state, WorkerState::kDraining);
}

TEST(InvokerList, NamesDoNotPileUp) {
  InvokerList roster;
  roster.take(1, platform_event(1, true, {}));
  for (std::uint64_t n = 2; n < 2000; n += 2) {
    roster.take(n, platform_event(n, false, {invoker("s" + std::to_string(n))}));
    roster.take(n + 1, platform_event(n + 1, false, {invoker("s" + std::to_string(n), "left")}));
  }
  EXPECT_EQ(roster.names(), 0U);
}

}  // namespace
}  // namespace laureltide::platform
