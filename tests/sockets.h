// Real sockets for tests that force a race: they do nothing by themselves, so the test decides which bytes,
// connections and closes have happened before the loop's next iteration. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <string>
#include <utility>

#include "net/loop.h"

namespace laureltide::tests {

inline sockaddr_in raw_address(const io::Address& at) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(at.port);
  inet_pton(AF_INET, at.host.c_str(), &raw.sin_addr);
  return raw;
}

// One end of a connection.
class RawSocket {
 public:
  RawSocket() = default;
  explicit RawSocket(int fd) : fd_(fd) {}
  // Connected once the kernel has accepted the connection, whether or not the peer's program has.
  explicit RawSocket(const io::Address& to, int receive_buffer = 0) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_buffer > 0) setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in raw = raw_address(to);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0) error_ = errno;
  }
  RawSocket(RawSocket&& o) noexcept
      : fd_(std::exchange(o.fd_, -1)), error_(o.error_), read_(std::move(o.read_)) {}
  RawSocket& operator=(RawSocket&& o) noexcept {
    close();
    fd_ = std::exchange(o.fd_, -1), error_ = o.error_, read_ = std::move(o.read_);
    return *this;
  }
  ~RawSocket() { close(); }

  bool is_connected() const { return fd_ >= 0 && error_ == 0; }
  int error() const { return error_; }
  void write(std::string_view bytes) {
    ASSERT_EQ(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), ssize_t(bytes.size()));
  }
  void half_close() { shutdown(fd_, SHUT_WR); }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void reset() {  // RST
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  // All bytes received since the start. After the end of the stream ended() or error() is set.
  const std::string& read() {
    char buffer[65536];
    while (fd_ >= 0 && !ended_ && error_ == 0) {
      const ssize_t n = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n > 0)
        read_.append(buffer, static_cast<std::size_t>(n));
      else if (n == 0)
        ended_ = true;
      else if (errno == EAGAIN)
        break;
      else
        error_ = errno;
    }
    return read_;
  }
  bool ended() const { return ended_; }

 private:
  int fd_ = -1;
  int error_ = 0;
  bool ended_ = false;
  std::string read_;
};

// Listens, and accepts only when told to. With `full_backlog` the backlog is full from the start, so a
// connection to it is not established before free_backlog() is called: the kernel drops the SYN, and the
// peer's kernel sends it again after 1 s.
class RawListener {
 public:
  explicit RawListener(bool full_backlog = false) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in raw = raw_address({"127.0.0.1", 0});
    bind(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw);
    listen(fd_, full_backlog ? 0 : 64);
    if (full_backlog) filler_ = RawSocket(address());
  }
  ~RawListener() { ::close(fd_); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  io::Address address() const {
    sockaddr_in raw{};
    socklen_t size = sizeof raw;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&raw), &size);
    return {"127.0.0.1", ntohs(raw.sin_port)};
  }
  void free_backlog() {
    RawSocket filled(accept(fd_, nullptr, nullptr));
    filler_.close();
  }
  // Not connected if no connection is waiting.
  RawSocket accept_one() { return RawSocket(accept(fd_, nullptr, nullptr)); }

 private:
  int fd_;
  RawSocket filler_;
};

// Runs the loop until `done` returns true; returns false if that took longer than `timeout`.
inline bool run_until(net::Loop& loop, const std::function<bool()>& done,
                      Duration timeout = std::chrono::seconds(10)) {
  const Time end = loop.now() + timeout;
  bool was_done = false;
  std::unique_ptr<io::Timer> poll_timer;
  poll_timer = loop.timer([&] {
    was_done = done();
    if (was_done || loop.now() >= end) return loop.stop();
    poll_timer->start(std::chrono::milliseconds(1));
  });
  poll_timer->start(Duration(0));
  loop.run();
  return was_done;
}
inline void run_for(net::Loop& loop, Duration duration) {
  run_until(
      loop, [] { return false; }, duration);
}

inline std::size_t open_descriptors() {
  std::size_t n = 0;
  DIR* dir = opendir("/proc/self/fd");
  while (readdir(dir)) ++n;
  closedir(dir);
  return n - 3;  // itself, ".", ".."
}

}  // namespace laureltide::tests
