// Tests EventParser, EventSubscriber and InvokerList.
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
const io::Address kBus{"127.0.0.1", 4222}, kOtherBus{"127.0.0.1", 4223};

std::vector<Event> read(const std::vector<std::string>& chunks, bool* ok_out = nullptr) {
  EventParser parser;
  std::vector<Event> events;
  bool ok = true;
  for (const std::string& chunk : chunks)
    ok = ok && parser.feed(chunk, [&](Event e) { events.push_back(std::move(e)); });
  if (ok_out) *ok_out = ok;
  return events;
}

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

TEST(EventParser, ParsesTheSameForAnyChunking) {
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

TEST(EventParser, DropsIncompleteEvents) {
  EXPECT_TRUE(read({kHead + "\r\nid: 4\ndata: x\n"}).empty());
  EXPECT_TRUE(read({kHead + "\r\ndata: x\n\n"}).empty());  // without an id
}

TEST(EventParser, RejectsInvalidResponses) {
  bool ok = true;
  const std::vector<std::string> bad = {"HTTP/1.1 404 Not Found\r\n\r\n",
                                        "SSH-2.0\r\n\r\n",
                                        std::string(EventParser::kMaxHeadBytes + 1, 'x'),
                                        kHead + "\r\nid: x\n",
                                        kHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                                        kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                                        kHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n",
                                        kHead + "\r\ndata: " + std::string(EventParser::kMaxEventBytes, 'x')};
  for (const std::string& bytes : bad) {
    read({bytes}, &ok);
    EXPECT_FALSE(ok) << bytes.substr(0, 80);
  }
}

struct EventSubscriberTest : testing::Test {
  sim::Network net;
  PlatformBus bus{net, kBus};
  std::vector<std::uint64_t> received;
  std::vector<std::string> disconnects;
  std::uint64_t gap = 0;
  std::unique_ptr<EventSubscriber> subscriber;

  void SetUp() override {
    ASSERT_TRUE(bus.start());
    for (int i = 0; i < 3; ++i) bus.publish({});
    subscriber = std::make_unique<EventSubscriber>(
        net, kBus, 1, EventSubscriber::Options{},
        [this](const Event& e) {
          if (e.id == gap) return false;
          received.push_back(e.id);
          return true;
        },
        [this](const std::string& why) { disconnects.push_back(why); });
    net.run_for(100ms);
  }
};

TEST_F(EventSubscriberTest, ResumesAfterLastEvent) {
  EXPECT_EQ(bus.last_asked_from(), 1U);
  EXPECT_EQ(received, (std::vector<std::uint64_t>{2, 3}));
  net.run_for(30s);  // comments keep the connection open
  EXPECT_EQ(bus.asked(), 1U);
}

TEST_F(EventSubscriberTest, IgnoresDuplicateEvents) {
  bus.set_duplicate_events(true);
  bus.publish({}), bus.publish({});
  net.run_for(100ms);
  EXPECT_EQ(received, (std::vector<std::uint64_t>{2, 3, 4, 5}));
}

TEST_F(EventSubscriberTest, ReconnectsAtOnceAfterBreakWithinEvent) {
  net.run_for(2s);
  bus.truncate_next_event();
  bus.publish({});
  net.run_for(200ms);
  EXPECT_EQ(received.back(), 4U);
  EXPECT_EQ(bus.last_asked_from(), 3U);
  EXPECT_EQ(disconnects.size(), 1U);
}

TEST_F(EventSubscriberTest, ReconnectsAfterSilence) {
  bus.set_silent(true);
  bus.publish({});
  net.run_for(2500ms);
  EXPECT_EQ(received.back(), 4U);  // received after the reconnect
  ASSERT_GE(disconnects.size(), 1U);
  EXPECT_EQ(disconnects[0], "silent");
}

TEST_F(EventSubscriberTest, ReconnectsAfterNetworkPartition) {
  net.set_silent(kBus, true);
  net.run_for(3s);
  net.set_silent(kBus, false);
  bus.publish({});
  net.run_for(2s);
  EXPECT_EQ(received.back(), 4U);
}

TEST_F(EventSubscriberTest, BacksOffWhileBusRefusesConnections) {
  net.run_for(2s);
  bus.stop();
  net.run_for(10s);
  EXPECT_LT(disconnects.size(), 60U);
  EXPECT_GT(disconnects.size(), 5U);
  ASSERT_TRUE(bus.start());
  bus.publish({});
  net.run_for(1s);
  EXPECT_EQ(received.back(), 4U);
}

// A bus that responds later than the first timeout is reached by doubling the timeout, which then resets.
TEST_F(EventSubscriberTest, ExtendsResponseTimeoutForSlowBus) {
  net.run_for(2s);
  bus.set_answer_after(3500ms);
  bus.stop();
  bus.publish({});
  ASSERT_TRUE(bus.start());
  net.run_for(15s);
  EXPECT_EQ(received.back(), 4U);
  EXPECT_EQ(std::count(disconnects.begin(), disconnects.end(), "no answer"), 2);
  const std::size_t asked = bus.asked();
  bus.set_answer_after(Duration(0));
  bus.ignore_next_requests(1);
  bus.stop();
  ASSERT_TRUE(bus.start());
  net.run_for(2500ms);
  EXPECT_EQ(bus.asked(), asked + 2);
}

TEST_F(EventSubscriberTest, ResumesAfterLastAppliedEventOnGap) {
  gap = 5;
  bus.set_skip(4);
  bus.publish({}), bus.publish({});
  net.run_for(20ms);
  EXPECT_GE(bus.asked(), 2U);
  EXPECT_EQ(bus.last_asked_from(), 3U);
  gap = 0;
  bus.set_skip(0);
  net.run_for(2s);
  EXPECT_EQ(received, (std::vector<std::uint64_t>{2, 3, 4, 5}));
}

TEST_F(EventSubscriberTest, ContinuesEventNumbersOnAnotherBus) {
  PlatformBus other(net, kOtherBus);
  ASSERT_TRUE(other.start());
  for (int i = 0; i < 5; ++i) other.publish({});
  bus.stop();
  subscriber->move(kOtherBus);
  net.run_for(100ms);
  EXPECT_EQ(other.last_asked_from(), 3U);
  EXPECT_EQ(received.back(), 5U);
}

// ---- on_current_until ---------------------------------------------------------------------------

struct CurrentUntilTest : EventSubscriberTest {
  Time current_until{};
  std::vector<Time> decreases;  // when the value decreased
  void SetUp() override {
    EventSubscriberTest::SetUp();
    subscriber->on_current_until([this](Time at) {
      if (at < current_until) decreases.push_back(net.now());
      current_until = at;
    });
  }
  Duration ahead() const { return current_until - net.now(); }
};

TEST_F(CurrentUntilTest, AdvancesWithEachComment) {
  for (int i = 0; i < 50; ++i) {
    net.run_for(100ms);
    if (i > 11) {
      EXPECT_GE(ahead(), EventSubscriber::kNotifiedAfter - 1001ms);
    }
    EXPECT_LE(ahead(), Duration(EventSubscriber::kNotifiedAfter));
  }
}

// The backlog of a new connection may hold more events after the one received.
TEST_F(CurrentUntilTest, DoesNotAdvanceOnEventBeforeFirstComment) {
  net.run_for(2500ms);
  bus.stop();
  net.run_for(1500ms);
  bus.publish({}), bus.publish({});
  ASSERT_TRUE(bus.start());
  net.run_until([&] { return received.back() == 5; });
  EXPECT_LE(ahead(), Duration(0));
  net.run_for(1100ms);  // until the next comment
  EXPECT_GT(ahead(), Duration(0));
}

// A response read long after the request may have waited in the receive buffer: it counts as sent shortly
// after the request.
TEST_F(CurrentUntilTest, AdvancesLessWhenResponseIsReadLate) {
  net.run_for(2500ms);
  bus.set_answer_after(3500ms);
  subscriber->move(kBus);
  net.run_until([&] { return disconnects.size() == 2; });  // after 1 s and 2 s
  const Time asked = net.now();
  net.run_until([&] { return ahead() > Duration(0); }, 10s);
  EXPECT_GT(net.now() - asked, Duration(3500ms));
  EXPECT_LT(ahead(), EventSubscriber::kNotifiedAfter - 1s);
  net.run_for(6s);
  EXPECT_GE(ahead(), EventSubscriber::kNotifiedAfter - 1001ms);
}

TEST_F(CurrentUntilTest, StopsAdvancingOnReconnect) {
  net.run_for(2500ms);
  const Time began = net.now();
  bus.set_outage(PlatformBus::Outage::kSilent);
  net.run_for(20s);  // each connection gets a response head and nothing else
  EXPECT_LE(current_until - began, Duration(EventSubscriber::kNotifiedAfter));
  ASSERT_FALSE(decreases.empty());
  EXPECT_LE(decreases.front() - began, Duration(1800ms));
  EXPECT_EQ(decreases.size(), 1U);
  bus.set_outage(PlatformBus::Outage::kNone);
  net.run_for(2s);
  EXPECT_GT(ahead(), Duration(0));
}

TEST_F(CurrentUntilTest, IgnoresIncompleteLinesAndReconnectsAfterLineTimeout) {
  net.run_for(2500ms);
  const Time began = net.now();
  const std::size_t asked = bus.asked();
  bus.set_outage(PlatformBus::Outage::kDripping);
  net.run_for(4s);
  EXPECT_LE(current_until - began, Duration(EventSubscriber::kNotifiedAfter));
  EXPECT_EQ(bus.asked(), asked);  // it may still be a long event
  net.run_for(3s);
  EXPECT_GT(bus.asked(), asked);
  ASSERT_FALSE(disconnects.empty());
  EXPECT_EQ(disconnects.back(), "bytes that make no line");
  EXPECT_LE(current_until - began, Duration(7s));
  EXPECT_LE(ahead(), Duration(0));
}

// ---- InvokerList --------------------------------------------------------------------------------

PlatformMember invoker(const std::string& id, const std::string& phase = "active",
                       std::uint16_t port = 7001) {
  return {id, {"127.0.0.1", port}, phase, 2, 0};
}

TEST(InvokerList, NeverReusesWorkerIds) {
  InvokerList invokers;
  auto first = invokers.take(1, platform_event(1, true, {invoker("a"), invoker("b", "leaving")}));
  ASSERT_EQ(first.verdict, InvokerList::Verdict::kApplied) << first.why;
  EXPECT_TRUE(first.update.full);
  EXPECT_EQ(first.update.members[0].zone, "yard");
  EXPECT_EQ(first.update.members[0].cell, "2");
  EXPECT_EQ(first.update.members[1].state, WorkerState::kDraining);
  const std::uint32_t a = first.update.members[0].id;
  auto left = invokers.take(2, platform_event(2, false, {invoker("a", "left")}));
  EXPECT_EQ(left.update.members[0].id, a);
  EXPECT_EQ(invokers.names(), 1U);
  auto returned = invokers.take(
      3, platform_event(3, false, {invoker("c"), invoker("a")}));  // c at the address that a had, and a again
  EXPECT_NE(returned.update.members[0].id, a);
  EXPECT_NE(returned.update.members[1].id, a);
  EXPECT_NE(returned.update.members[0].id, returned.update.members[1].id);
}

// A process is told by its name, address and start. Another one under the name, or at the address, is a new
// worker; the old one gets nothing new.
TEST(InvokerList, AnotherProcessUnderTheNameIsANewWorker) {
  InvokerList invokers;
  const auto first = invokers.take(1, platform_event(1, true, {invoker("a", "active", 7001)}));
  const std::uint32_t old_id = first.update.members[0].id;
  PlatformMember moved = invoker("a", "active", 7002);
  const auto after_move = invokers.take(2, platform_event(2, false, {moved}));
  ASSERT_EQ(after_move.update.members.size(), 2U);
  EXPECT_EQ(after_move.update.members[0].id, old_id);
  EXPECT_EQ(after_move.update.members[0].state, WorkerState::kGone);
  const std::uint32_t moved_id = after_move.update.members[1].id;
  EXPECT_NE(moved_id, old_id);
  EXPECT_EQ(after_move.changes.size(), 1U);
  moved.up_since_ms = 1'700'000'000'000;
  const auto after_restart = invokers.take(3, platform_event(3, false, {moved}));
  ASSERT_EQ(after_restart.update.members.size(), 2U);
  EXPECT_EQ(after_restart.update.members[0].id, moved_id);
  const std::uint32_t restarted_id = after_restart.update.members[1].id;
  EXPECT_NE(restarted_id, moved_id);
  moved.phase = "leaving", moved.up_since_ms = 0;  // the same process drains
  const auto after_drain = invokers.take(4, platform_event(4, false, {moved}));
  ASSERT_EQ(after_drain.update.members.size(), 1U);
  EXPECT_EQ(after_drain.update.members[0].id, restarted_id);
}

TEST(InvokerList, AWorkerWhoseAddressAnotherTookGetsNothingNew) {
  InvokerList invokers;
  const auto first =
      invokers.take(1, platform_event(1, true, {invoker("a", "active", 7001), invoker("b", "active", 7002)}));
  const std::uint32_t a = first.update.members[0].id;
  const auto taken = invokers.take(2, platform_event(2, false, {invoker("c", "active", 7001)}));
  ASSERT_EQ(taken.update.members.size(), 2U);
  EXPECT_EQ(taken.update.members[1].id, a);
  EXPECT_EQ(taken.update.members[1].state, WorkerState::kDraining);
  EXPECT_EQ(invokers.worker_id_of("b"), first.update.members[1].id);
}

TEST(InvokerList, IgnoresOldGappedAndUnreadableEvents) {
  InvokerList invokers;
  invokers.take(4, platform_event(4, true, {invoker("a")}));
  EXPECT_EQ(invokers.take(4, platform_event(4, false, {invoker("b")})).verdict,
            InvokerList::Verdict::kNoChange);
  EXPECT_EQ(invokers.take(3, platform_event(3, true, {invoker("b")})).verdict,
            InvokerList::Verdict::kNoChange);
  EXPECT_EQ(invokers.take(6, platform_event(6, false, {invoker("b")})).verdict, InvokerList::Verdict::kGap);
  for (const char* bad :
       {"", "[]", "{}", R"({"topology":{}})", R"({"topology":7})", R"({"topology":{"members":{}}})",
        R"({"topology":{"members":[1]}})", R"({"topology":{"members":[{"id":7,"host_port":"1.2.3.4:5"}]}})",
        R"({"topology":{"members":[{"host_port":"1.2.3.4:5"}]}})",
        R"({"topology":{"complete":"yes","members":[]}})"}) {
    const auto taken = invokers.take(5, bad);
    EXPECT_EQ(taken.verdict, InvokerList::Verdict::kBad) << bad;
    EXPECT_FALSE(taken.why.empty()) << bad;
  }
  EXPECT_EQ(invokers.names(), 1U);
  EXPECT_EQ(invokers.last(), 4U);
  EXPECT_EQ(invokers.take(6, platform_event(6, true, {invoker("b")})).verdict,
            InvokerList::Verdict::kApplied);
  EXPECT_FALSE(invokers.worker_id_of("a"));  // not in the full list
}

// An entry that names an invoker but cannot be read in full may announce its drain.
TEST(InvokerList, TreatsPartlyReadableEntryAsDraining) {
  for (const char* field : {R"("phase":"odd")", R"("phase":3)", R"("host_port":"nowhere")", R"("size":"big")",
                            R"("up_since_ms":"now")"}) {
    InvokerList invokers;
    invokers.take(1, platform_event(1, true, {invoker("a"), invoker("b")}));
    const std::uint32_t a = *invokers.worker_id_of("a");
    const auto taken = invokers.take(2, std::string(R"({"topology":{"members":[{"id":"a",)") + field +
                                            R"(},{"id":"b","phase":"leaving"}]}})");
    ASSERT_EQ(taken.verdict, InvokerList::Verdict::kApplied) << field;
    EXPECT_NE(taken.why.find("invoker a"), std::string::npos) << taken.why;
    ASSERT_EQ(taken.update.members.size(), 2U);
    EXPECT_EQ(taken.update.members[0].id, a);
    EXPECT_EQ(taken.update.members[0].state, WorkerState::kDraining) << field;
    EXPECT_EQ(taken.update.members[1].state, WorkerState::kDraining);  // the other entry still applies
  }
}

// The current list stays in force until the replay has reached the last event seen before.
TEST(InvokerList, ReplacesListInOneStepAfterReplay) {
  InvokerList invokers;
  invokers.take(1, platform_event(1, true, {invoker("a"), invoker("b", "active", 7002), invoker("c")}));
  const std::uint32_t a = *invokers.worker_id_of("a"), b = *invokers.worker_id_of("b"),
                      c = *invokers.worker_id_of("c");
  invokers.start_replay(4);  // 2 and 3 were lost
  EXPECT_TRUE(invokers.replaying());
  EXPECT_EQ(
      invokers.take(1, platform_event(1, true, {invoker("a"), invoker("b", "active", 7002), invoker("c")}))
          .verdict,
      InvokerList::Verdict::kNoChange);
  EXPECT_EQ(invokers.take(2, platform_event(2, false, {invoker("c", "left")})).verdict,
            InvokerList::Verdict::kNoChange);
  EXPECT_TRUE(invokers.worker_id_of("c"));  // from the current list
  EXPECT_EQ(invokers.take(3, platform_event(3, false, {invoker("a", "leaving")})).verdict,
            InvokerList::Verdict::kNoChange);
  EXPECT_EQ(invokers.take(3, platform_event(3, false, {invoker("b", "left")})).verdict,
            InvokerList::Verdict::kNoChange);
  const auto whole = invokers.take(4, platform_event(4, false, {invoker("c", "active", 7003)}));
  ASSERT_EQ(whole.verdict, InvokerList::Verdict::kApplied);
  EXPECT_TRUE(whole.update.full);
  EXPECT_EQ(whole.update.version, 4U);
  ASSERT_EQ(whole.update.members.size(), 3U);
  EXPECT_EQ(invokers.worker_id_of("a"), a);
  EXPECT_EQ(whole.update.members[0].state, WorkerState::kDraining);
  EXPECT_EQ(invokers.worker_id_of("b"), b);
  EXPECT_NE(invokers.worker_id_of("c"), c);  // it left and returned as another process
  EXPECT_EQ(invokers.last(), 4U);
  EXPECT_FALSE(invokers.replaying());
  EXPECT_EQ(invokers.take(5, platform_event(5, false, {invoker("a", "left")})).verdict,
            InvokerList::Verdict::kApplied);
}

// Events that the replay lacks, or that are unreadable in it, are skipped; the others apply.
TEST(InvokerList, SkipsEventsMissingFromReplay) {
  InvokerList invokers;
  invokers.take(1, platform_event(1, true, {invoker("a"), invoker("b")}));
  invokers.start_replay(4);
  invokers.take(1, platform_event(1, true, {invoker("a"), invoker("b")}));
  invokers.take(2, "noise");
  const auto whole = invokers.take(4, platform_event(4, false, {invoker("b", "leaving")}));
  ASSERT_EQ(whole.verdict, InvokerList::Verdict::kApplied);
  ASSERT_EQ(whole.update.members.size(), 2U);
  EXPECT_EQ(whole.update.members[1].state, WorkerState::kDraining);
}

TEST(InvokerList, ForgetsInvokersThatLeft) {
  InvokerList invokers;
  invokers.take(1, platform_event(1, true, {}));
  for (std::uint64_t n = 2; n < 2000; n += 2) {
    invokers.take(n, platform_event(n, false, {invoker("s" + std::to_string(n))}));
    invokers.take(n + 1, platform_event(n + 1, false, {invoker("s" + std::to_string(n), "left")}));
  }
  EXPECT_EQ(invokers.names(), 0U);
}

}  // namespace
}  // namespace laureltide::platform
