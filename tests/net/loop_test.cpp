// The host on libevent: what is under way when a loop ends leaves nothing behind (under the sanitizers).
#include "net/loop.h"

#include <gtest/gtest.h>

namespace laureltide::net {
namespace {

using namespace std::chrono_literals;

struct Quiet : io::ConnectionEvents {
  std::unique_ptr<io::Connection> connection;
  int opened = 0, closed = 0;
  void on_open() override { ++opened; }
  std::size_t on_bytes(std::string_view bytes) override { return bytes.size(); }
  void on_closed(io::Closed) override { ++closed; }
};

TEST(Loop, EndsWithAFailureNotYetTold) {
  Loop loop;
  Quiet client;
  client.connection = loop.connect({"192.0.2.1", 9}, {}, client);  // not loopback: it fails a moment later
  EXPECT_EQ(client.closed, 0);
}

TEST(Loop, EndsWithBytesThatNobodyReads) {
  Loop loop;
  Quiet server, client;
  auto listener =
      loop.listen({"127.0.0.1", 0}, {}, [&](std::unique_ptr<io::Connection> c) -> io::ConnectionEvents* {
        server.connection = std::move(c);
        server.connection->read(false);
        loop.stop();
        return &server;
      });
  ASSERT_TRUE(listener);
  client.connection = loop.connect(listener->address(), {}, client);
  loop.run();
  client.connection->write(std::string(32U << 20, 'x'));
  client.connection->finish();  // it lingers
  client.connection.reset();
}

}  // namespace
}  // namespace laureltide::net
