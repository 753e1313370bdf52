// Clients that send to a node as fast as it lets them, on a thread of their own: hostile neighbours of the
// clients that a test looks at. Blocking sockets over loopback; bounded in messages, stops by itself.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/bytes.h"
#include "sockets.h"

namespace laureltide::apps {

struct FloodOptions {
  io::Address to;
  int connections = 8;
  std::size_t window = 32;      // messages on a connection without an answer
  std::size_t messages = 1000;  // in all, then the flood ends
  bool reads_answers = true;    // false: also sends without waiting for any
  // The bytes of the n-th message of the flood, which is the `number`-th of its connection (from 1).
  std::function<std::string(std::size_t n, std::int32_t number)> message;
};

class FloodClients {
 public:
  explicit FloodClients(FloodOptions options) : options_(std::move(options)), thread_([this] { run(); }) {}
  ~FloodClients() {
    stop_ = true;
    thread_.join();
  }
  FloodClients(const FloodClients&) = delete;
  FloodClients& operator=(const FloodClients&) = delete;

  bool finished() const { return finished_; }  // all messages sent and, if it reads, answered
  std::size_t sent() const { return sent_; }
  std::size_t answered() const { return answered_; }
  std::size_t reconnected() const { return reconnected_; }

 private:
  struct Connection {
    int fd = -1;
    std::int32_t number = 0;
    std::size_t open = 0;  // messages without an answer
    std::string unsent, input;
  };

  void run() {
    std::vector<Connection> all(static_cast<std::size_t>(options_.connections));
    while (!stop_) {
      std::vector<pollfd> polled;
      for (Connection& connection : all) {
        if (connection.fd < 0) open(connection);
        fill(connection);
        const int events = (options_.reads_answers ? POLLIN : 0) | (connection.unsent.empty() ? 0 : POLLOUT);
        polled.push_back({connection.fd, static_cast<short>(events), 0});
      }
      if (sent_ >= options_.messages && idle(all)) break;
      poll(polled.data(), polled.size(), 10);
      for (std::size_t i = 0; i < all.size(); ++i) {
        if (polled[i].revents & POLLOUT) write(all[i]);
        if (polled[i].revents & (POLLIN | POLLHUP | POLLERR)) read(all[i]);
      }
    }
    for (const Connection& connection : all)
      if (connection.fd >= 0) close(connection.fd);
    finished_ = !stop_;
  }
  static bool idle(const std::vector<Connection>& all) {
    for (const Connection& connection : all)
      if (!connection.unsent.empty() || connection.open > 0) return false;
    return true;
  }
  void open(Connection& connection) {
    const sockaddr_in raw = tests::raw_address(options_.to);
    connection = {socket(AF_INET, SOCK_STREAM, 0), 0, 0, {}, {}};
    if (connect(connection.fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0) end(connection);
  }
  void end(Connection& connection) {
    close(connection.fd);
    connection = {};
    ++reconnected_;
  }
  void fill(Connection& connection) {
    if (connection.fd < 0 || connection.unsent.size() > 4096) return;
    while (connection.open < options_.window && sent_ < options_.messages) {
      connection.unsent += options_.message(sent_++, ++connection.number);
      connection.open += options_.reads_answers;
      if (connection.unsent.size() > 4096) break;
    }
    write(connection);
  }
  void write(Connection& connection) {
    if (connection.unsent.empty()) return;
    const ssize_t n =
        send(connection.fd, connection.unsent.data(), connection.unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) connection.unsent.erase(0, static_cast<std::size_t>(n));
    if (n < 0 && errno != EAGAIN) end(connection);
  }
  void read(Connection& connection) {
    char buffer[65536];
    if (connection.fd < 0) return;
    const ssize_t n = recv(connection.fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) return end(connection);
    connection.input.append(buffer, static_cast<std::size_t>(n));
    std::size_t used = 0;
    while (connection.input.size() - used >= 4) {
      Reader in(std::string_view(connection.input).substr(used));
      const std::uint32_t size = in.u32();
      if (in.left() < size) break;
      used += 4 + size;
      connection.open -= connection.open > 0;
      ++answered_;
    }
    connection.input.erase(0, used);
  }

  FloodOptions options_;
  std::atomic<bool> stop_ = false, finished_ = false;
  std::atomic<std::size_t> sent_ = 0, answered_ = 0, reconnected_ = 0;
  std::thread thread_;
};

}  // namespace laureltide::apps
