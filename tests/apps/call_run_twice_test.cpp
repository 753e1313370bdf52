// A call that must not run twice runs once even if answers arrive in duplicate: a duplicate of an earlier
// refusal must not be taken as the answer of the next attempt, which may have run. Real nodes over loopback,
// with the platform's stand-ins in this process; judged from what the workers ran and which replies clients
// received.
#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <map>

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

constexpr std::uint64_t kFirstFunction = 0xf1;
constexpr std::uint8_t kMiss = 99, kFull = 100, kOver = 102;  // answers that mean that a call never ran

// Nodes, workers and clients; records the result of each call.
class CallRunTwice : public testing::Test {
 protected:
  std::string dir = create_temp_directory("laureltide-twice-test-");
  net::Loop loop;
  PlatformBus bus{loop, {"127.0.0.1", 0}};
  std::vector<std::unique_ptr<PlatformInvoker>> workers;
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  std::vector<std::unique_ptr<PlatformClient>> clients;
  struct Sent {
    PlatformClient* client = nullptr;
    std::int32_t number = 0;
    bool once = false;  // must not run twice
  };
  std::map<std::uint64_t, Sent> sent;  // by id
  std::uint64_t next_id = 0x1000;

  void TearDown() override {
    nodes.clear();
    std::error_code error;
    std::filesystem::remove_all(dir, error);
  }
  void start(int worker_count, int node_count, int sockets = 256) {
    ASSERT_TRUE(bus.start());
    std::vector<standin::PlatformMember> members;
    for (int i = 0; i < worker_count; ++i) {
      workers.push_back(std::make_unique<PlatformInvoker>(
          loop, PlatformInvoker::Options{{"127.0.0.1", 0}, 40ms, 20ms, 4096, {}}));
      workers.back()->seed(static_cast<std::uint64_t>(i) + 1);
      ASSERT_TRUE(workers.back()->start());
      members.push_back({"s-" + std::to_string(i), workers.back()->address(), "active", 0, 0});
    }
    bus.publish(members);
    json doc = node::tests::config();
    doc["bus"] = bus.address().text();
    doc["limits"]["sockets"] = sockets;
    for (json& c : doc["settings"]["classes"]) {
      c["give_up_ns"] = Duration(3s).count();
      // A call waits for a free worker for 0.4 of the target, and the cooldown after a full answer lasts up
      // to 0.2 s.
      c["target_ns"] = Duration(1500ms).count();
    }
    for (int n = 0; n < node_count; ++n) {
      nodes.push_back(std::make_unique<NodeProcess>("n" + std::to_string(n), dir, doc));
      nodes.back()->start(bus.known());
    }
    clients.resize(nodes.size());
    for (std::size_t n = 0; n < nodes.size(); ++n) connect(n);
  }
  void connect(std::size_t n) {
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
  void call(PlatformClient& client, bool once, std::uint64_t function) {
    const std::uint64_t id = next_id++;
    const std::int32_t number = client.call({{"op", once ? "release" : "read"},
                                             {"call", platform::id_text(id)},
                                             {"ttl", "2900"},
                                             {"org", "yard"},
                                             {"row", platform::id_text(function)},
                                             {"work", "8"}},
                                            "b");
    sent[id] = {&client, number, once};
  }
  const PlatformClient::Reply* reply(const Sent& call) const {
    const auto it = call.client->replies().find(call.number);
    return it == call.client->replies().end() ? nullptr : &it->second;
  }
  bool all_answered() {
    return ::laureltide::tests::run_until(
        loop, [&] { return std::all_of(sent.begin(), sent.end(), [&](auto& s) { return reply(s.second); }); },
        20s);
  }
  // Loads the functions before the test proper.
  void load(std::uint64_t functions) {
    for (std::uint64_t f = 0; f < functions; ++f) call(*clients[0], true, kFirstFunction + f);
    ASSERT_TRUE(all_answered()) << logs();
  }
  std::string logs() const {
    std::string all;
    for (const auto& node : nodes) all += node->log();
    return all;
  }
  std::size_t duplicates_sent() const {
    std::size_t n = 0;
    for (const auto& worker : workers) n += worker->duplicates_sent();
    return n;
  }

  // Checks that each call gets one answer and no once-only call runs twice or is refused after it ran, and
  // that calls are still served.
  void expect_rules_kept(double least_served) {
    ASSERT_TRUE(all_answered()) << logs();
    std::map<std::uint64_t, int> runs;
    for (const auto& worker : workers)
      for (const PlatformInvoker::ReceivedCall& seen : worker->calls()) runs[seen.id] += seen.ran;
    std::size_t twice = 0, refused_though_run = 0, two_answers = 0, served = 0;
    for (const auto& [id, call] : sent) {
      const std::string kind = reply(call)->kind;
      two_answers += call.client->replies().count(call.number) != 1;
      served += kind == "served";
      if (!call.once) continue;
      twice += runs[id] > 1;
      refused_though_run += kind == "refused" && runs[id] > 0;
    }
    EXPECT_EQ(twice, 0U) << "of " << sent.size() << " calls\n" << logs();
    EXPECT_EQ(refused_though_run, 0U) << logs();
    EXPECT_EQ(two_answers, 0U) << logs();
    EXPECT_GE(static_cast<double>(served), least_served * static_cast<double>(sent.size())) << logs();
    EXPECT_GT(duplicates_sent(), 0U);
    RecordProperty("calls", static_cast<int>(sent.size()));
    RecordProperty("served", static_cast<int>(served));
    RecordProperty("copies", static_cast<int>(duplicates_sent()));
  }
};

class DuplicateRefusal : public CallRunTwice, public testing::WithParamInterface<std::uint8_t> {};

// The duplicate of an earlier refusal arrives while the next attempt of the same call is in flight to the
// same worker.
TEST_P(DuplicateRefusal, IsNotTakenAsAnswerOfNextAttempt) {
  ASSERT_NO_FATAL_FAILURE(start(1, 1));
  load(4);
  workers[0]->refuse_first(GetParam());
  workers[0]->duplicate_at_next_attempt(true);
  for (std::uint64_t n = 0; n < 40; ++n) {
    call(*clients[0], true, kFirstFunction + n % 4);
    ::laureltide::tests::run_for(loop, 25ms);
  }
  expect_rules_kept(0.9);
  // The log names the connection of each attempt.
  EXPECT_NE(logs().find("repeat: call 0000000000001004 class release end So attempts w1/c"),
            std::string::npos)
      << logs();
}

INSTANTIATE_TEST_SUITE_P(Node, DuplicateRefusal, testing::Values(kMiss, kFull, kOver), [](const auto& info) {
  return info.param == kMiss ? "Miss" : info.param == kFull ? "Full" : "Over";
});

// Half of all answers, including those to orders, are duplicated up to 450 ms later, over few connections.
TEST_F(CallRunTwice, DuplicateAnswersAtAnyTimeWithFewConnections) {
  ASSERT_NO_FATAL_FAILURE(start(3, 2, 64));
  for (const auto& worker : workers) {
    worker->refuse_some(kMiss, 0.3);
    worker->send_duplicates({0.5, 300us, 450ms});
  }
  std::uint64_t n = 0;
  for (const Time end = loop.now() + 4s; loop.now() < end;) {
    for (const auto& client : clients) call(*client, n % 3 != 0, kFirstFunction + n % 12), ++n;
    ::laureltide::tests::run_for(loop, 20ms);
  }
  expect_rules_kept(0.5);
}

}  // namespace
}  // namespace laureltide::apps
