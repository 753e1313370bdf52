// The first attempt of a keyed call may have run. Its repeat may be sent only while the workers still
// deduplicate repeats, even if it has waited for a connection since the decision to send it. Runs a complete
// controller in virtual time.
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
using standin::PlatformBus;
using standin::PlatformClient;
using standin::PlatformInvoker;
using tests::kBus, tests::kListen;

constexpr std::uint8_t kError = 101;
constexpr Duration kWindow = 300ms, kSlack = 50ms;  // allowed by the protocol
constexpr Duration kDialTimeout = 1s;
const io::Address kFirst{"127.0.0.1", 7001}, kSecond{"127.0.0.1", 7002};
constexpr std::uint64_t kFunctions = 12;

struct RepeatWindow : testing::Test {
  sim::Network net;
  PlatformBus bus{net, kBus};
  PlatformInvoker first{net, PlatformInvoker::Options{kFirst}},
      second{net, PlatformInvoker::Options{kSecond}};
  std::unique_ptr<Node> node;
  std::unique_ptr<PlatformClient> client;
  std::vector<std::int32_t> numbers;

  void SetUp() override {
    first.start(), second.start(), bus.start();
    bus.publish({{"s-1", kFirst, "active", 0, 0}, {"s-2", kSecond, "active", 0, 0}});
    nlohmann::json doc = tests::config(bus.known());
    doc["settings"]["bounds"]["dial_timeout_ns"] = kDialTimeout.count();
    for (auto& c : doc["settings"]["classes"]) {
      c["give_up_ns"] = Duration(3s).count();
      c["window_ns"] = kWindow.count();
    }
    node = std::make_unique<Node>(net, tests::parsed(doc), [](Severity, const std::string&) {});
    ASSERT_TRUE(node->start());
    client = std::make_unique<PlatformClient>(net, kListen);
    net.run_for(50ms);
  }
  void call(std::uint64_t n) {
    numbers.push_back(client->call({{"op", "update"},
                                    {"call", platform::id_text(0x1000 + n)},
                                    {"ttl", "2900"},
                                    {"org", "yard"},
                                    {"dedupe", "key-" + std::to_string(n)},
                                    {"row", platform::id_text(0xf1 + n)},
                                    {"work", "8"}},
                                   "b"));
  }
  static std::optional<Time> received_at(const PlatformInvoker& worker, std::uint64_t id) {
    for (const PlatformInvoker::ReceivedCall& seen : worker.calls())
      if (seen.id == id) return seen.at;
    return std::nullopt;
  }
};

// The first worker answers each call with an error, so it may have run. Connections to the second worker come
// up only after the window.
TEST_F(RepeatWindow, DoesNotSendRepeatThatWaitedPastTheWindow) {
  first.answer_all(kError);
  net.set_connect_delay(kSecond, kWindow + 200ms);
  for (std::uint64_t n = 0; n < kFunctions; ++n) call(n);
  net.run_for(3s);

  std::size_t failed_first = 0, late = 0;
  for (std::uint64_t n = 0; n < kFunctions; ++n) {
    const auto ran = received_at(first, 0x1000 + n), repeated = received_at(second, 0x1000 + n);
    failed_first += ran.has_value();
    late += ran && repeated && *repeated > *ran + kWindow + kSlack;
  }
  EXPECT_GT(failed_first, 0U);
  EXPECT_EQ(late, 0U) << "of " << failed_first;
  for (const std::int32_t number : numbers) EXPECT_EQ(client->replies().count(number), 1U);
}

// The connection comes up within the window, so the repeat is sent.
TEST_F(RepeatWindow, SendsRepeatThatWaitedWithinTheWindow) {
  first.answer_all(kError);
  net.set_connect_delay(kSecond, kWindow / 2);
  for (std::uint64_t n = 0; n < kFunctions; ++n) call(n);
  net.run_for(3s);
  std::size_t repeated = 0;
  for (std::uint64_t n = 0; n < kFunctions; ++n)
    repeated += received_at(first, 0x1000 + n) && received_at(second, 0x1000 + n);
  EXPECT_GT(repeated, 0U);
}

}  // namespace
}  // namespace laureltide::node
