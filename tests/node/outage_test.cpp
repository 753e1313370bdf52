// A complete controller in virtual time while discovery is unreachable. The drain rule (nothing new reaches a
// worker once its drain counts as reported and the grace has passed) is judged from what the stand-in workers
// received, with the protocol's time limits and its slack of 50 ms.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "node/configuration.h"
#include "node/node.h"
#include "platform/frame.h"
#include "sim/network.h"
#include "standin/platform.h"

namespace laureltide::node {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using standin::PlatformBus;
using standin::PlatformClient;
using standin::PlatformInvoker;
using standin::PlatformMember;
using tests::kBus, tests::kListen;

constexpr int kWorkers = 6;
constexpr Duration kGrace = 1s, kSlack = 50ms;
constexpr Duration kNotifiedAfterBreak = 2s, kNotifiedAfterSilence = 4s;
const io::Address kOtherBus{"127.0.0.1", 4223};

enum class OutageKind { kSilent, kDripping, kRefused, kCutOff };

const char* text_of(OutageKind form) {
  switch (form) {
    case OutageKind::kSilent: return "Silent";
    case OutageKind::kDripping: return "Dripping";
    case OutageKind::kRefused: return "Refused";
    case OutageKind::kCutOff: return "CutOff";
  }
  return "Unknown";
}
void PrintTo(OutageKind form, std::ostream* out) { *out << text_of(form); }

struct Outage : testing::Test {
  sim::NetworkOptions network_options(std::uint64_t seed) {
    sim::NetworkOptions options;
    options.seed = seed;
    options.max_segment_bytes = 300;  // splits events
    return options;
  }
  sim::Network net{network_options(1)};
  PlatformBus bus{net, kBus};
  std::vector<std::unique_ptr<PlatformInvoker>> workers;
  std::vector<Time> notified_at = std::vector<Time>(kWorkers, Time::max());
  std::vector<std::string> lines;
  json doc;
  std::unique_ptr<Node> node;
  std::unique_ptr<PlatformClient> client;
  std::uint64_t next_id = 0x1000;
  std::size_t sent = 0;
  std::vector<std::pair<const PlatformClient*, std::int32_t>> sent_calls;
  Time began{};
  Duration notified_after{};

  static io::Address address(int worker) { return {"127.0.0.1", static_cast<std::uint16_t>(7000 + worker)}; }
  static std::string name(int worker) { return "s-" + std::to_string(worker); }
  PlatformInvoker& at(int worker) { return *workers[static_cast<std::size_t>(worker)]; }

  void SetUp() override {
    std::vector<PlatformMember> members;
    for (int i = 0; i < kWorkers; ++i) {
      workers.push_back(std::make_unique<PlatformInvoker>(net, PlatformInvoker::Options{address(i)}));
      workers.back()->start();
      members.push_back({name(i), address(i), "active", i % 2, 0});
    }
    bus.start();
    bus.publish(members);
    doc = tests::config(bus.known());
    doc["settings"]["rules"]["drain_grace_ns"] = kGrace.count();
  }
  void start() {
    node = std::make_unique<Node>(net, tests::parsed(doc),
                                  [this](Severity, const std::string& line) { lines.push_back(line); });
    ASSERT_TRUE(node->start());
    client = std::make_unique<PlatformClient>(net, kListen);
  }
  void call() {
    const std::uint64_t function = 0xf1 + sent++ % 5;
    const std::int32_t number = client->call({{"op", "read"},
                                              {"call", platform::id_text(next_id++)},
                                              {"ttl", "900"},
                                              {"org", "yard"},
                                              {"row", platform::id_text(function)},
                                              {"work", "8"}},
                                             "b");
    sent_calls.emplace_back(client.get(), number);
  }
  void traffic(Duration span, Duration gap = 40ms) {
    for (const Time end = net.now() + span; net.now() < end; net.run_for(gap)) call();
  }
  void begin(OutageKind form) {
    began = net.now();
    notified_after = form == OutageKind::kRefused ? kNotifiedAfterBreak : kNotifiedAfterSilence;
    switch (form) {
      case OutageKind::kSilent: return bus.set_outage(PlatformBus::Outage::kSilent);
      case OutageKind::kDripping: return bus.set_outage(PlatformBus::Outage::kDripping);
      case OutageKind::kRefused: return bus.stop();
      case OutageKind::kCutOff: return net.set_silent(kBus, true);
    }
  }
  void end(OutageKind form) {
    switch (form) {
      case OutageKind::kSilent:
      case OutageKind::kDripping: return bus.set_outage(PlatformBus::Outage::kNone);
      case OutageKind::kRefused: ASSERT_TRUE(bus.start()); return;
      case OutageKind::kCutOff: return net.set_silent(kBus, false);
    }
  }
  void drain(int worker) {
    at(worker).set_draining(true);
    notified_at[static_cast<std::size_t>(worker)] = std::max(net.now(), began + notified_after);
    bus.publish({{name(worker), address(worker), "leaving", worker % 2, 0}});
  }
  // Calls and orders that arrived after the notification time plus the grace.
  std::size_t late_sends() const {
    std::size_t late = 0;
    for (std::size_t i = 0; i < workers.size(); ++i)
      for (const PlatformInvoker::SentWhileDraining& seen : workers[i]->sent_while_draining())
        late += notified_at[i] != Time::max() && seen.at > notified_at[i] + kGrace + kSlack;
    return late;
  }
  double served() const {
    std::size_t n = 0;
    for (const auto& [from, number] : sent_calls) {
      EXPECT_EQ(from->replies().count(number), 1U) << number;
      const auto reply = from->replies().find(number);
      n += reply != from->replies().end() && reply->second.kind == "served";
    }
    return static_cast<double>(n) / static_cast<double>(sent_calls.size());
  }
  bool logged(const std::string& part) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const std::string& line) { return line.find(part) != std::string::npos; });
  }
};

struct OutageKinds : Outage, testing::WithParamInterface<OutageKind> {};

TEST_P(OutageKinds, KeepsDrainRuleAndServesDuringOutage) {
  start();
  traffic(5s);
  begin(GetParam());
  traffic(500ms);
  drain(0);
  traffic(2s);
  drain(1);
  traffic(4s);
  drain(2);
  traffic(8s);
  drain(3);
  traffic(5s);
  net.run_for(2s);
  EXPECT_EQ(late_sends(), 0U);
  EXPECT_GE(served(), 0.97);
  EXPECT_TRUE(logged("leases: the list may be stale, each worker now needs a lease of its own"));
  EXPECT_LT(node->core().counters().probes, sent);  // far from one probe per call
  end(GetParam());
  traffic(3s);
  net.run_for(2s);
  EXPECT_EQ(late_sends(), 0U);
  EXPECT_TRUE(logged("leases: the list is current again"));
  EXPECT_EQ(node->invoker_list().last(), 5U);
}

// Calls are too rare to renew leases.
TEST_P(OutageKinds, KeepsDrainRuleWithLittleTraffic) {
  start();
  traffic(10s, 700ms);
  begin(GetParam());
  net.run_for(500ms);
  drain(0), drain(1);
  traffic(30s, 1700ms);
  drain(2);
  traffic(30s, 1700ms);
  net.run_for(2s);
  EXPECT_EQ(late_sends(), 0U);
  EXPECT_GE(served(), 0.97);
}

// The controller knows only the events in its configuration, which lack those published after the start.
TEST_P(OutageKinds, KeepsDrainRuleWhenStartedDuringOutage) {
  began = net.now();
  begin(GetParam());
  net.run_for(10s);
  drain(0);
  doc["known"] = json::parse(bus.known());
  start();
  traffic(300ms);
  drain(1);
  traffic(3s);
  drain(2);
  traffic(10s);
  net.run_for(2s);
  EXPECT_EQ(late_sends(), 0U);
  EXPECT_GE(served(), 0.97);
}

// Both the old and the new bus are unreachable. The new bus continues the event numbers.
TEST_P(OutageKinds, KeepsDrainRuleWhenReloadMovesBusDuringOutage) {
  start();
  traffic(3s);
  begin(GetParam());
  traffic(3s);
  json moved = doc;
  moved["bus"] = kOtherBus.text();
  node->reload(moved.dump());
  drain(0);
  traffic(5s);
  drain(1);
  traffic(5s);
  PlatformBus other(net, kOtherBus);
  ASSERT_TRUE(other.start());
  other.publish({}), other.publish({{name(0), address(0), "leaving", 0, 0}});
  other.publish({{name(1), address(1), "leaving", 1, 0}});
  traffic(3s);
  net.run_for(2s);
  EXPECT_EQ(node->invoker_list().last(), 3U);
  EXPECT_EQ(late_sends(), 0U);
  EXPECT_GE(served(), 0.97);
}

TEST_P(OutageKinds, KeepsDrainRuleWhileDrainingDuringOutage) {
  start();
  traffic(3s);
  begin(GetParam());
  traffic(6s);
  drain(0), drain(1);
  traffic(1500ms);
  bool ended = false;
  node->drain([&] { ended = true; });
  traffic(500ms);
  net.run_for(3s);
  EXPECT_TRUE(ended);
  EXPECT_EQ(late_sends(), 0U);
  EXPECT_GE(served(), 0.97);
}

INSTANTIATE_TEST_SUITE_P(Outages, OutageKinds,
                         testing::Values(OutageKind::kSilent, OutageKind::kDripping, OutageKind::kRefused,
                                         OutageKind::kCutOff),
                         [](const auto& info) { return std::string(text_of(info.param)); });

// Discovery returns and sends all pending changes, in several reads. A waiting call must not be sent between
// two of them to a worker that the next one reports as leaving.
TEST_F(Outage, AppliesAllPendingChangesBeforeSendingWaitingCalls) {
  start();
  traffic(3s);
  begin(OutageKind::kRefused);
  traffic(3s);
  for (int i = 0; i < kWorkers - 1; ++i) {
    at(i).set_draining(true);
    notified_at[static_cast<std::size_t>(i)] = net.now();
    for (int twice = 0; twice < 20; ++twice) bus.publish({{name(5), address(5), "active", 1, 0}});
    bus.publish({{name(i), address(i), "leaving", i % 2, 0}});
  }
  net.run_for(1500ms);
  end(OutageKind::kRefused);
  traffic(3s, 5ms);
  net.run_for(2s);
  EXPECT_EQ(node->invoker_list().last(), bus.publish({}) - 1);
  EXPECT_EQ(late_sends(), 0U);
}

// Events are known to be missing and the bus cannot supply them: comments of the bus must not make the list
// current.
TEST_F(Outage, IncompleteReplayIsNotCurrent) {
  start();
  traffic(2s);
  const auto current = [&] { return node->core().module().list_is_valid(net.now()); };
  EXPECT_TRUE(current());
  bus.publish_raw("noise");
  ASSERT_TRUE(net.run_until([&] { return node->invoker_list().replaying(); }));
  PlatformBus other(net, kOtherBus);  // has only the first event
  ASSERT_TRUE(other.start());
  other.publish({});
  json moved = doc;
  moved["bus"] = kOtherBus.text();
  node->reload(moved.dump());
  net.run_for(5s);
  ASSERT_TRUE(node->invoker_list().replaying());
  EXPECT_FALSE(current());
  other.publish({});
  net.run_for(1500ms);
  EXPECT_FALSE(node->invoker_list().replaying());
  EXPECT_TRUE(current());
}

// A worker drains, stops and returns under its name and address before discovery does, so nothing reports
// that it is cold.
TEST_F(Outage, DoesNotOverloadWorkerThatRestartsDuringOutage) {
  doc["settings"]["rules"]["cold_ns"] = Duration(20s).count();
  start();
  traffic(5s, 5ms);
  const auto calls_during = [&](Duration span) {
    const std::size_t before = at(0).calls().size();
    traffic(span, 5ms);
    return at(0).calls().size() - before;
  };
  const std::size_t warm = calls_during(1s);
  ASSERT_GT(warm, 10U);
  begin(OutageKind::kSilent);
  traffic(1s, 5ms);
  drain(0);
  traffic(5s, 5ms);
  at(0).stop();
  traffic(3s, 5ms);
  notified_at[0] = Time::max();
  at(0).set_draining(false);
  ASSERT_TRUE(at(0).start());
  for (int i = 0; i < 5; ++i) EXPECT_LT(calls_during(1s), warm * 7 / 10);
  net.run_for(2s);
  EXPECT_GE(served(), 0.95);
}

// Workers that are gone refuse connections; calls go elsewhere.
TEST_F(Outage, LosesNoCallToWorkersGoneDuringOutage) {
  start();
  traffic(3s);
  begin(OutageKind::kSilent);
  traffic(4s);
  at(0).stop(), at(1).stop();
  traffic(10s);
  net.run_for(2s);
  EXPECT_GE(served(), 0.97);
}

// Probes are not allowed, so only traffic renews leases.
TEST_F(Outage, KeepsDrainRuleAndServesWithoutProbes) {
  doc["settings"]["bounds"]["probes"] = false;
  start();
  traffic(5s, 20ms);
  begin(OutageKind::kRefused);
  traffic(500ms, 20ms);
  drain(0);
  traffic(5s, 20ms);
  drain(1);
  traffic(10s, 20ms);
  net.run_for(2s);
  EXPECT_EQ(late_sends(), 0U);
  EXPECT_EQ(node->core().counters().probes, 0U);
  EXPECT_GE(served(), 0.9);
}

TEST_F(Outage, KeepsDrainRuleAndServesWithoutOrders) {
  doc["settings"]["family_info"]["orders"] = false;
  doc["settings"]["family_info"]["miss_mode"] = "load";
  for (auto& worker : workers) worker->answer_all(97);
  start();
  traffic(5s);
  begin(OutageKind::kSilent);
  traffic(500ms);
  drain(0);
  traffic(8s);
  drain(1);
  traffic(8s);
  net.run_for(2s);
  EXPECT_EQ(late_sends(), 0U);
  EXPECT_GE(served(), 0.97);
}

// Consecutive outages, some shorter and some longer than the protocol's limits, with jumps of the wall clock.
TEST_F(Outage, KeepsDrainRuleThroughRepeatedOutagesAndWallClockJumps) {
  start();
  traffic(3s);
  for (int round = 0; round < 8; ++round) {
    const auto form = static_cast<OutageKind>(round % 4);
    begin(form);
    net.wall_clock_offset_ms += round % 2 == 0 ? 3'600'000 : -7'200'000;
    traffic(round % 2 == 0 ? 1s : 7s);
    const int worker = round / 2;
    if (round % 2 == 1) drain(worker);
    traffic(round % 2 == 0 ? 500ms : 5s);
    end(form);
    traffic(round % 3 == 0 ? 300ms : 4s);
  }
  net.run_for(2s);
  EXPECT_EQ(late_sends(), 0U);
  EXPECT_GE(served(), 0.97);
}

}  // namespace
}  // namespace laureltide::node
