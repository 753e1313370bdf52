// Regression tests of docs/incidents/hostile-client-flood.md: other clients got their answers late while some
// clients sent calls at full speed under ever new function names.
//
// A real node serves over loopback; the bus and the workers run in this process, the flood on a thread.
#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>

#include "apps/flood_clients.h"
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

// An answer may come this much after its due time, by the protocol: 500 ms, and 50 ms on each time limit.
constexpr Duration kLateAnswerLimit = 550ms;
constexpr Duration kCallTimeout = 1s;
constexpr Duration kReplanInterval = 2s;
constexpr int kWorkers = 3;
constexpr std::uint64_t kFunctions = 6;  // of the ordinary client
constexpr std::uint64_t kFirstFunction = 0xf1;

struct HostileFlood : testing::Test {
  std::string dir = create_temp_directory("laureltide-flood-test-");
  net::Loop loop;
  PlatformBus bus{loop, {"127.0.0.1", 0}};
  std::vector<std::unique_ptr<PlatformInvoker>> workers;
  std::unique_ptr<NodeProcess> node;
  std::unique_ptr<PlatformClient> client;
  std::uint64_t next_id = 1;
  struct Sent {
    std::int32_t number = 0;
    Time at;
    std::optional<Duration> answered_after;
  };
  std::vector<Sent> sent;
  Duration worst_own_delay{};  // of this process, which reads the answers

  void SetUp() override {
    ASSERT_TRUE(bus.start());
    std::vector<standin::PlatformMember> members;
    for (int i = 0; i < kWorkers; ++i) {
      workers.push_back(std::make_unique<PlatformInvoker>(
          loop, PlatformInvoker::Options{{"127.0.0.1", 0}, 20ms, 20ms, 64, {}}));
      for (std::uint64_t f = 0; f < kFunctions; ++f)
        workers.back()->knows_function(platform::id_text(kFirstFunction + f));
      ASSERT_TRUE(workers.back()->start());
      members.push_back({"s-" + std::to_string(i), workers.back()->address(), "active", 0, 0});
    }
    bus.publish(members);
    json doc = node::tests::config();
    doc["bus"] = bus.address().text();
    json& settings = doc["settings"];
    settings["replicas_of_me"] = 3;
    settings["bounds"]["attempts_cap"] = 1;  // in the incident nearly each call of the flood had one attempt
    settings["family_info"]["idle_life_ns"] = Duration(30s).count();
    node = std::make_unique<NodeProcess>("n0", dir, doc);
    node->start(bus.known());
    ASSERT_NO_FATAL_FAILURE(connect());
  }
  void TearDown() override {
    node.reset();
    std::error_code error;
    std::filesystem::remove_all(dir, error);
  }
  void connect() {
    const bool good = ::laureltide::tests::run_until(
        loop,
        [&] {
          if (!client || client->closed()) {
            client = std::make_unique<PlatformClient>(loop, node->address());
            client->health();
          }
          const auto reply = client->replies().find(1);
          return reply != client->replies().end() && reply->second.good;
        },
        60s);
    ASSERT_TRUE(good) << node->log();
  }
  std::uint64_t unique_id() { return next_id++ * 0x9e3779b97f4a7c15ULL; }
  static std::map<std::string, std::string> fields(std::uint64_t id, std::uint64_t function, Duration ttl) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(ttl).count();
    return {{"op", "read"},  {"call", platform::id_text(id)},      {"ttl", std::to_string(ms)},
            {"org", "yard"}, {"row", platform::id_text(function)}, {"work", "8"}};
  }
  // Sends a call of the ordinary client every 20 ms until `done`, then awaits all answers.
  void ordinary_traffic(const std::function<bool()>& done) {
    Time expected = loop.now();
    Time next_call = loop.now();
    const auto step = [&](bool send) {
      const Time now = loop.now();
      worst_own_delay = std::max(worst_own_delay, now - expected);
      if (send && now >= next_call) {
        next_call = now + 20ms;
        const std::uint64_t function = kFirstFunction + sent.size() % kFunctions;
        sent.push_back({client->call(fields(unique_id(), function, kCallTimeout), "b"), now, {}});
      }
      for (Sent& call : sent)
        if (!call.answered_after && client->replies().contains(call.number))
          call.answered_after = now - call.at;
      ::laureltide::tests::run_for(loop, 2ms);
      expected = now + 4ms;
    };
    while (!done()) step(true);
    const Time end = loop.now() + 15s;
    const auto open = [&](const Sent& call) { return !call.answered_after; };
    while (std::any_of(sent.begin(), sent.end(), open) && loop.now() < end) step(false);
  }
  void expect_answers_in_time() {
    std::size_t late = 0, served = 0;
    Duration worst{};
    for (const Sent& call : sent) {
      const Duration after = call.answered_after.value_or(1h);
      worst = std::max(worst, after);
      late += after > kCallTimeout + kLateAnswerLimit + worst_own_delay;
      const auto reply = client->replies().find(call.number);
      served += reply != client->replies().end() && reply->second.kind == "served";
    }
    const auto ms = [](Duration d) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
    };
    EXPECT_EQ(late, 0U) << "of " << sent.size() << " calls; the slowest took " << ms(worst) << " ms\n"
                        << node->log();
    RecordProperty("calls", static_cast<int>(sent.size()));
    RecordProperty("served", static_cast<int>(served));
    RecordProperty("slowest_ms", static_cast<int>(ms(worst)));
    RecordProperty("own_delay_ms", static_cast<int>(ms(worst_own_delay)));
  }
};

// The node stands still while a call waits in its socket. The call's time counts from when it was sent, so it
// is not served after its due time as if it had just come.
TEST_F(HostileFlood, NodeThatStoodStillServesNothingLate) {
  for (std::uint64_t f = 0; f < kFunctions; ++f)
    client->call(fields(unique_id(), kFirstFunction + f, kCallTimeout), "b");
  ::laureltide::tests::run_for(loop, 1s);
  for (const auto& worker : workers) worker->set_run(950ms);
  node->signal(SIGSTOP);
  const Time sent_at = loop.now();
  const std::int32_t number = client->call(fields(unique_id(), kFirstFunction, kCallTimeout), "b");
  ::laureltide::tests::run_for(loop, 700ms);
  node->signal(SIGCONT);
  ASSERT_TRUE(::laureltide::tests::run_until(loop, [&] { return client->replies().contains(number); }))
      << node->log();
  EXPECT_LE(loop.now() - sent_at, kCallTimeout + kLateAnswerLimit)
      << client->replies().find(number)->second.kind;
}

// Each call names a function that no worker knows.
TEST_F(HostileFlood, OfNewFunctionNamesDelaysOtherClients) {
  FloodOptions options;
  options.to = node->address();
  options.messages = 40'000;
  options.message = [](std::size_t n, std::int32_t number) {
    const std::uint64_t id = (n + 1) * 0xbf58476d1ce4e5b9ULL;
    return PlatformClient::call_bytes(number, fields(id, id ^ 0x5555, kCallTimeout), "b");
  };
  FloodClients flood(options);
  std::optional<Time> finished_at;
  const Time end = loop.now() + 20s;
  ordinary_traffic([&] {
    if (flood.finished() && !finished_at) finished_at = loop.now();
    return loop.now() > end || (finished_at && loop.now() - *finished_at > kReplanInterval + 500ms);
  });
  EXPECT_GT(flood.answered(), 1000U);
  expect_answers_in_time();
  RecordProperty("flood_answered", static_cast<int>(flood.answered()));
}

}  // namespace
}  // namespace laureltide::apps
