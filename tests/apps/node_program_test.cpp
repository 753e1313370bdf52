// `laureltide node` as a process: signals that cross, a kill and a restart at the same address, descriptors
// that idle clients fill. Its platform runs in this process, on the real host.
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
  std::string dir = fresh_directory("laureltide-node-test-");
  net::Loop loop;
  PlatformBus bus{loop, {"127.0.0.1", 0}};
  PlatformInvoker invoker{loop, {{"127.0.0.1", 0}, 200ms, 20ms, 64, {}}};
  PortReserve port;
  io::Address at{"127.0.0.1", port.port()};
  json doc = node::tests::config();
  std::unique_ptr<Child> child;
  std::uint64_t ids = 0x1000;

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
    child = std::make_unique<Child>(std::vector<std::string>{kBin + "/laureltide", "node"}, dir + "/log");
  }
  std::string log() const {
    std::ifstream in(dir + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  bool run_until(const std::function<bool()>& done, Duration most = 60s) {
    return tests::run_until(loop, done, most);
  }
  // A client whose call was served: the node decides and serves.
  std::unique_ptr<PlatformClient> ready() {
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
                        {"call", platform::id_text(ids++)},
                        {"ttl", "900"},
                        {"org", "yard"},
                        {"row", "00000000000000f1"},
                        {"work", "8"}},
                       "b");
  }
  int ends() {
    EXPECT_TRUE(run_until([&] { return !child->running(); })) << log();
    return child->wait(1s);
  }
};

class Signals : public NodeProgram, public testing::WithParamInterface<std::vector<int>> {};

TEST_P(Signals, CrossCallsInFlightAndEndWithNothingOwed) {
  start();
  const auto client = ready();
  std::vector<std::int32_t> numbers;
  for (int i = 0; i < 4; ++i) numbers.push_back(call(*client));
  const std::size_t before = invoker.calls().size();
  ASSERT_TRUE(run_until([&] { return invoker.calls().size() == before + 4; })) << log();
  for (const int number : GetParam()) child->signal(number);
  EXPECT_EQ(ends(), 0) << log();
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

// Sent while the program reads its configuration, before it has a handler: it waits, and counts when it
// serves.
TEST_F(NodeProgram, AHangUpBeforeItServesDoesNotEndIt) {
  const std::string path = dir + "/config.json", gate = dir + "/gate";
  ASSERT_EQ(mkfifo(gate.c_str(), 0600), 0);
  setenv("ROUTER_CONFIG", gate.c_str(), 1);
  start();
  int fd = -1;
  ASSERT_TRUE(
      run_until([&] { return fd = open(gate.c_str(), O_WRONLY | O_NONBLOCK), fd >= 0; }));  // it reads
  child->signal(SIGHUP);
  const std::string text = doc.dump();
  doc["bus"] = "nowhere";
  write();
  std::filesystem::rename(path, gate);  // what it reads when it hears of the signal
  ASSERT_EQ(::write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
  close(fd);
  const auto client = ready();
  EXPECT_TRUE(run_until([&] { return log().find("bus: expected ADDRESS:PORT") != std::string::npos; }))
      << log();
  child->signal(SIGTERM);
  EXPECT_EQ(ends(), 0);
}

// Killed with calls in flight, and started again while its old connections' leftovers are still there.
TEST_F(NodeProgram, AKillAndARestartAtTheSameAddress) {
  start();
  for (int life = 0; life < 3; ++life) {
    const auto client = ready();
    RawSocket keeps(at);
    call(*client), call(*client);
    const std::size_t before = invoker.calls().size();
    ASSERT_TRUE(run_until([&] { return invoker.calls().size() > before; }));
    child->signal(SIGKILL);
    child->wait(10s);
    start();  // with the old clients' ends still open
    const auto next = ready();
    EXPECT_FALSE(client->open());
  }
}

// A configuration that cannot be used: exit 2, and the line says what, where, and what was expected.
TEST_F(NodeProgram, ABadConfigurationIsNamed) {
  doc["settings"]["rules"]["cold_ns"] = "soon";
  write();
  start();
  EXPECT_EQ(ends(), 2);
  EXPECT_NE(log().find("settings.rules.cold_ns: expected a number, 0 or above, not \"soon\""),
            std::string::npos)
      << log();
}

// All descriptors that clients may have are taken by ones that say nothing, while discovery is down. The
// watch comes up again, the list it tells counts, and a call is served on a connection of its own.
TEST_F(NodeProgram, IdleClientsLeaveDescriptorsForTheWatchTheListenerAndTheLinks) {
  constexpr rlim_t kFew = 64;
  doc["limits"]["sockets"] = kFew;
  write();
  rlimit whole{};
  getrlimit(RLIMIT_NOFILE, &whole);
  const rlimit few{kFew, whole.rlim_max};
  setrlimit(RLIMIT_NOFILE, &few);
  start();
  setrlimit(RLIMIT_NOFILE, &whole);
  ready();
  bus.stop();
  std::vector<std::unique_ptr<PlatformClient>> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(std::make_unique<PlatformClient>(loop, at));
    idle.back()->health();  // they have spoken, and keep their connection
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
  ready();
  EXPECT_FALSE(fresh.calls().empty());
  EXPECT_EQ(log().find("accept"), std::string::npos) << log();
  child->signal(SIGTERM);
  EXPECT_EQ(ends(), 0);
}

}  // namespace
}  // namespace laureltide::apps
