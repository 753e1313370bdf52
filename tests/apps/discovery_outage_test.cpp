// Regression test of docs/incidents/discovery-out-of-reach.md: nodes kept sending calls and orders to
// draining workers while discovery was unreachable (692 calls and 177 orders in the incident).
//
// Discovery falls silent for every node, then busy workers begin to drain and stay up. After 4 s these drains
// count as reported, but the nodes went on with their last list until discovery returned, because list
// entries had no age.
//
// Two real nodes serve clients over loopback; the bus and the workers run in this process. The second node is
// killed during the outage and restarts with the events in its configuration.
#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>

#include "apps/node_process.h"
#include "platform/frame.h"
#include "sockets.h"
#include "standin/platform.h"

namespace laureltide::apps {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using standin::PlatformBus;
using standin::PlatformClient;
using standin::PlatformInvoker;

constexpr Duration kDrainGrace = 300ms;
constexpr Duration kProtocolSlack = 50ms;  // allowed by the protocol on each time limit
// By how much this process may read late on a busy machine; the failure lasts for seconds.
constexpr Duration kReadDelayAllowance = 700ms;
constexpr int kWorkers = 8;
constexpr int kFunctions = 6;

enum class Kind { kSilent, kDripping, kRefused };
struct OutageCase {
  const char* name;
  Kind kind;
  Duration notified_after;  // when a later list change counts as reported, per the protocol
};

void PrintTo(const OutageCase& outage, std::ostream* out) { *out << outage.name; }

class DiscoveryOutage : public testing::TestWithParam<OutageCase> {
 protected:
  std::string dir = create_temp_directory("laureltide-outage-test-");
  net::Loop loop;
  PlatformBus bus{loop, {"127.0.0.1", 0}};
  std::vector<std::unique_ptr<PlatformInvoker>> workers;
  std::vector<Time> drained_at = std::vector<Time>(kWorkers);
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  std::vector<std::unique_ptr<PlatformClient>> clients;
  std::vector<std::unique_ptr<PlatformClient>> earlier_clients;
  std::uint64_t next_id = 0x1000;
  std::size_t sent = 0;

  void SetUp() override {
    ASSERT_TRUE(bus.start());
    std::vector<standin::PlatformMember> members;
    for (int i = 0; i < kWorkers; ++i) {
      workers.push_back(std::make_unique<PlatformInvoker>(
          loop, PlatformInvoker::Options{{"127.0.0.1", 0}, 20ms, 20ms, 64, {}}));
      ASSERT_TRUE(workers.back()->start());
      members.push_back({"s-" + std::to_string(i), workers.back()->address(), "active", 0, 0});
    }
    bus.publish(members);
    json doc = node::tests::config();
    doc["bus"] = bus.address().text();
    json& settings = doc["settings"];
    settings["rules"]["drain_grace_ns"] = kDrainGrace.count();
    for (json& c : settings["classes"]) c["give_up_ns"] = Duration(3s).count();
    for (const char* name : {"n0", "n1"}) {
      nodes.push_back(std::make_unique<NodeProcess>(name, dir, doc));
      nodes.back()->start(bus.known());
    }
    clients.resize(nodes.size());
    for (std::size_t n = 0; n < nodes.size(); ++n) connect(n);
  }
  void TearDown() override {
    nodes.clear();
    std::error_code error;
    std::filesystem::remove_all(dir, error);
  }

  void connect(std::size_t n) {
    if (clients[n]) earlier_clients.push_back(std::move(clients[n]));
    const bool good = ::laureltide::tests::run_until(
        loop,
        [&] {
          if (!clients[n] || clients[n]->closed()) {
            clients[n] = std::make_unique<PlatformClient>(loop, nodes[n]->address());
            clients[n]->health();
          }
          const auto reply = clients[n]->replies().find(1);
          return reply != clients[n]->replies().end() && reply->second.good;
        },
        60s);
    ASSERT_TRUE(good) << nodes[n]->log();
  }
  void call(PlatformClient& client) {
    const std::uint64_t function = 0xf1 + sent++ % kFunctions;
    client.call({{"op", "read"},
                 {"call", platform::id_text(next_id++)},
                 {"ttl", "2900"},
                 {"org", "yard"},
                 {"row", platform::id_text(function)},
                 {"work", "8"}},
                "b");
  }
  // Sends 80 calls per second in all.
  void traffic(Duration span) {
    const Time end = loop.now() + span;
    while (loop.now() < end) {
      for (const auto& client : clients) call(*client);
      ::laureltide::tests::run_for(loop, 25ms);
    }
  }
  void drain(int worker) {
    const auto index = static_cast<std::size_t>(worker);
    workers[index]->set_draining(true);
    drained_at[index] = loop.now();
    bus.publish({{"s-" + std::to_string(worker), workers[index]->address(), "leaving", 0, 0}});
  }
  void begin_outage() {
    switch (GetParam().kind) {
      case Kind::kSilent: return bus.set_outage(PlatformBus::Outage::kSilent);
      case Kind::kDripping: return bus.set_outage(PlatformBus::Outage::kDripping);
      case Kind::kRefused: return bus.stop();
    }
  }
  void end_outage() {
    if (GetParam().kind == Kind::kRefused)
      ASSERT_TRUE(bus.start());
    else
      bus.set_outage(PlatformBus::Outage::kNone);
  }
  std::size_t served() const {
    std::size_t n = 0;
    for (const auto* all : {&clients, &earlier_clients})
      for (const auto& client : *all)
        for (const auto& [number, reply] : client->replies()) n += reply.kind == "served";
    return n;
  }
};

TEST_P(DiscoveryOutage, SendsNothingNewToWorkersThatDrainDuringOutage) {
  traffic(2s);
  const Time began = loop.now();
  const std::size_t sent_before = sent, served_before = served();
  begin_outage();
  traffic(1s);
  for (const int worker : {0, 1}) {
    EXPECT_FALSE(workers[static_cast<std::size_t>(worker)]->calls().empty());  // the worker is busy
    drain(worker);
  }
  traffic(2s);
  nodes[1]->signal(SIGKILL);
  nodes[1]->wait();
  nodes[1]->start(bus.known());
  connect(1);
  traffic(3s);
  for (const int worker : {2, 3}) drain(worker);
  traffic(4s);
  ::laureltide::tests::run_for(loop, 500ms);
  const std::size_t sent_within = sent - sent_before, served_within = served() - served_before;

  for (const int worker : {0, 1, 2, 3}) {
    const auto index = static_cast<std::size_t>(worker);
    const Time notified_at = std::max(drained_at[index], began + GetParam().notified_after);
    const Time latest = notified_at + kDrainGrace + kProtocolSlack + kReadDelayAllowance;
    std::size_t calls = 0, orders = 0;
    for (const PlatformInvoker::SentWhileDraining& seen : workers[index]->sent_while_draining())
      if (seen.at > latest) ++(seen.code == 65 ? calls : orders);
    EXPECT_EQ(calls, 0U) << "worker " << worker << ": calls after the notification time and the grace";
    EXPECT_EQ(orders, 0U) << "worker " << worker << ": orders after the notification time and the grace";
  }
  // Half of the workers stay healthy, so calls must still be served.
  EXPECT_GE(served_within * 10, sent_within * 9) << served_within << " of " << sent_within << " served\n"
                                                 << nodes[0]->log() << nodes[1]->log();
  RecordProperty("calls_within", static_cast<int>(sent_within));
  RecordProperty("served_within", static_cast<int>(served_within));

  end_outage();
  const std::size_t asked = bus.asked();
  ASSERT_TRUE(::laureltide::tests::run_until(
      loop, [&] { return bus.asked() >= asked + nodes.size(); }, 30s));
  const std::size_t before = served();
  traffic(1s);
  ::laureltide::tests::run_for(loop, 500ms);
  EXPECT_GT(served(), before);
  for (const auto& node : nodes) {
    node->signal(SIGTERM);
    EXPECT_TRUE(::laureltide::tests::run_until(
        loop, [&] { return node->log().find("all calls answered; exiting") != std::string::npos; }, 30s))
        << node->log();
  }
}

// The nodes are suspended (SIGSTOP) while discovery is lost and workers drain. Data in their sockets, such as
// bus comments, is stale when they resume and must not make the list current.
TEST_P(DiscoveryOutage, SuspendedNodeDoesNotTrustStaleListAfterResume) {
  traffic(2s);
  for (const auto& node : nodes) node->signal(SIGSTOP);
  ::laureltide::tests::run_for(loop, 1500ms);  // a comment or two
  const Time began = loop.now();
  begin_outage();
  ::laureltide::tests::run_for(loop, 500ms);
  for (const int worker : {0, 1, 2}) drain(worker);
  ::laureltide::tests::run_for(loop, GetParam().notified_after + kDrainGrace + kProtocolSlack);
  for (const auto& node : nodes) node->signal(SIGCONT);
  const std::size_t sent_before = sent, served_before = served();
  traffic(3s);
  ::laureltide::tests::run_for(loop, 500ms);
  for (const int worker : {0, 1, 2}) {
    const auto index = static_cast<std::size_t>(worker);
    const Time notified_at = std::max(drained_at[index], began + GetParam().notified_after);
    const Time latest = notified_at + kDrainGrace + kProtocolSlack;
    EXPECT_EQ(std::count_if(workers[index]->sent_while_draining().begin(),
                            workers[index]->sent_while_draining().end(),
                            [&](const auto& seen) { return seen.at > latest; }),
              0)
        << "worker " << worker << "\n"
        << nodes[0]->log();
  }
  const std::size_t sent_within = sent - sent_before, served_within = served() - served_before;
  EXPECT_GE(served_within * 10, sent_within * 9) << served_within << " of " << sent_within << " served\n"
                                                 << nodes[0]->log() << nodes[1]->log();
}

INSTANTIATE_TEST_SUITE_P(Node, DiscoveryOutage,
                         testing::Values(OutageCase{"Silent", Kind::kSilent, 4s},
                                         OutageCase{"Dripping", Kind::kDripping, 4s},
                                         OutageCase{"Refused", Kind::kRefused, 2s}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace laureltide::apps
