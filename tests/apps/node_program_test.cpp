// `laureltide node` as a process: signals in any order, a kill and a restart at the same address, and idle
// clients that exhaust descriptors. The stand-in platform runs in this process, over real sockets.
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "apps/tools.h"
#include "node/configuration.h"
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
using tests::RawSocket;
const std::string kBin = LAURELTIDE_BIN;

struct NodeProgram : testing::Test {
  std::string dir = create_temp_directory("laureltide-node-test-");
  net::Loop loop;
  PlatformBus bus{loop, {"127.0.0.1", 0}};
  PlatformInvoker invoker{loop, {{"127.0.0.1", 0}, 200ms, 20ms, 64, {}}};
  ReservedPort port;
  io::Address at{"127.0.0.1", port.port()};
  json doc = node::tests::config();
  std::unique_ptr<ChildProcess> child;
  std::uint64_t next_id = 0x1000;

  NodeProgram() {
    bus.start(), invoker.start();
    bus.publish({{"s-1", invoker.address(), "active", 0, 0}});
    doc["listen"] = at.text();
    doc["bus"] = bus.address().text();
    doc["known"] = json::parse(bus.known());
    write();
    setenv("ROUTER_CONFIG", (dir + "/config.json").c_str(), 1);
  }
  ~NodeProgram() override {
    child.reset();
    std::error_code error;
    std::filesystem::remove_all(dir, error);
  }
  void write() { std::ofstream(dir + "/config.json") << doc.dump(); }
  void start() {
    child =
        std::make_unique<ChildProcess>(std::vector<std::string>{kBin + "/laureltide", "node"}, dir + "/log");
  }
  std::string log() const {
    std::ifstream in(dir + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  bool run_until(const std::function<bool()>& done, Duration most = 60s) {
    return tests::run_until(loop, done, most);
  }
  // Waits until the node is healthy and has served a call of the returned client.
  std::unique_ptr<PlatformClient> served_client() {
    std::unique_ptr<PlatformClient> client;
    const bool good = run_until([&] {
      if (!client || client->closed()) {
        client = std::make_unique<PlatformClient>(loop, at);
        client->health();
      }
      const auto reply = client->replies().find(1);
      return reply != client->replies().end() && reply->second.good;
    });
    EXPECT_TRUE(good) << log();
    const std::int32_t n = call(*client);
    EXPECT_TRUE(run_until([&] { return client->replies().contains(n); })) << log();
    EXPECT_EQ(client->replies().find(n)->second.kind, "served");
    return client;
  }
  std::int32_t call(PlatformClient& client) {
    return client.call({{"op", "read"},
                        {"call", platform::id_text(next_id++)},
                        {"ttl", "900"},
                        {"org", "yard"},
                        {"row", "00000000000000f1"},
                        {"work", "8"}},
                       "b");
  }
  int exit_status() {
    EXPECT_TRUE(run_until([&] { return !child->running(); })) << log();
    return child->wait(1s);
  }
};

class Signals : public NodeProgram, public testing::WithParamInterface<std::vector<int>> {};

TEST_P(Signals, AnswersCallsInFlightBeforeExit) {
  start();
  const auto client = served_client();
  std::vector<std::int32_t> numbers;
  for (int i = 0; i < 4; ++i) numbers.push_back(call(*client));
  const std::size_t before = invoker.calls().size();
  ASSERT_TRUE(run_until([&] { return invoker.calls().size() == before + 4; })) << log();
  for (const int number : GetParam()) child->signal(number);
  EXPECT_EQ(exit_status(), 0) << log();
  for (const auto n : numbers) {
    ASSERT_EQ(client->replies().count(n), 1U);
    EXPECT_EQ(client->replies().find(n)->second.kind, "served");
  }
}

INSTANTIATE_TEST_SUITE_P(Node, Signals,
                         testing::Values(std::vector<int>{SIGTERM}, std::vector<int>{SIGHUP, SIGTERM},
                                         std::vector<int>{SIGTERM, SIGHUP},
                                         std::vector<int>{SIGTERM, SIGTERM},
                                         std::vector<int>{SIGHUP, SIGTERM, SIGHUP}));

// SIGHUP arrives while the program reads its configuration, before its handler is installed. It stays pending
// and is handled once the node serves.
TEST_F(NodeProgram, HandlesSighupReceivedBeforeServing) {
  const std::string path = dir + "/config.json", gate = dir + "/gate";
  ASSERT_EQ(mkfifo(gate.c_str(), 0600), 0);
  setenv("ROUTER_CONFIG", gate.c_str(), 1);
  start();
  int fd = -1;
  ASSERT_TRUE(run_until(
      [&] { return fd = open(gate.c_str(), O_WRONLY | O_NONBLOCK), fd >= 0; }));  // the program is reading it
  child->signal(SIGHUP);
  const std::string text = doc.dump();
  doc["bus"] = "nowhere";
  write();
  std::filesystem::rename(path, gate);  // the file that the reload reads
  ASSERT_EQ(::write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
  close(fd);
  const auto client = served_client();
  EXPECT_TRUE(run_until([&] { return log().find("bus: expected ADDRESS:PORT") != std::string::npos; }))
      << log();
  child->signal(SIGTERM);
  EXPECT_EQ(exit_status(), 0);
}

// Killed with calls in flight and restarted while clients still hold their ends of the old connections.
TEST_F(NodeProgram, RestartsAtSameAddressAfterKill) {
  start();
  for (int incarnation = 0; incarnation < 3; ++incarnation) {
    const auto client = served_client();
    RawSocket keeps(at);
    call(*client), call(*client);
    const std::size_t before = invoker.calls().size();
    ASSERT_TRUE(run_until([&] { return invoker.calls().size() > before; }));
    child->signal(SIGKILL);
    child->wait(10s);
    start();  // while the old clients' ends are open
    const auto next = served_client();
    EXPECT_FALSE(client->open());
  }
}

// An unusable configuration ends with exit status 2 and a line that names the key and what was expected.
TEST_F(NodeProgram, NamesInvalidSetting) {
  doc["settings"]["rules"]["cold_ns"] = "soon";
  write();
  start();
  EXPECT_EQ(exit_status(), 2);
  EXPECT_NE(log().find("settings.rules.cold_ns: expected a number, 0 or above, not \"soon\""),
            std::string::npos)
      << log();
}

// Idle clients take all descriptors available to clients while discovery is down. The bus connection must
// still come up again, its list must be applied, and a call must be served on a connection of its own.
TEST_F(NodeProgram, IdleClientsLeaveDescriptorsForEventBusListenerAndLinks) {
  constexpr rlim_t kFew = 64;
  doc["limits"]["sockets"] = kFew;
  write();
  rlimit whole{};
  getrlimit(RLIMIT_NOFILE, &whole);
  const rlimit few{kFew, whole.rlim_max};
  setrlimit(RLIMIT_NOFILE, &few);
  start();
  setrlimit(RLIMIT_NOFILE, &whole);
  served_client();
  bus.stop();
  std::vector<std::unique_ptr<PlatformClient>> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(std::make_unique<PlatformClient>(loop, at));
    idle.back()->health();  // a client that has sent something may stay connected
  }
  ASSERT_TRUE(run_until([&] {
    return std::all_of(idle.begin(), idle.end(),
                       [](auto& c) { return c->closed() || !c->replies().empty(); });
  }));
  bus.start();
  PlatformInvoker fresh(loop, {{"127.0.0.1", 0}, 1ms, 1ms, 64, {}});
  fresh.start();
  const std::size_t asked = bus.asked();
  bus.publish({{"s-1", invoker.address(), "left", 0, 0}, {"s-2", fresh.address(), "active", 0, 0}});
  ASSERT_TRUE(run_until([&] { return bus.asked() > asked; })) << log();
  served_client();
  EXPECT_FALSE(fresh.calls().empty());
  EXPECT_EQ(log().find("accept"), std::string::npos) << log();
  child->signal(SIGTERM);
  EXPECT_EQ(exit_status(), 0);
}

}  // namespace
}  // namespace laureltide::apps
