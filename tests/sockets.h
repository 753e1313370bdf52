// Real sockets for tests that force a crossing: peers that do nothing by themselves, so that the test decides
// which byte, connection or end is there before the loop's next step. Loopback only.
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
  // Stands when the machine has accepted it, whether or not the peer's program has.
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
  // What has come up to now, all of it since the start. ended() and error() tell of the end.
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

// Listens, and accepts only when told. `hold`: its queue is full from the start, so that a connection made to
// it does not come up before room() is called: the machine drops the SYN, and the peer's sends it again after
// 1 s.
class RawListener {
 public:
  explicit RawListener(bool hold = false) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in raw = raw_address({"127.0.0.1", 0});
    bind(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw);
    listen(fd_, hold ? 0 : 64);
    if (hold) filler_ = RawSocket(address());
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
  // Not standing where none waits.
  RawSocket accept_one() { return RawSocket(accept(fd_, nullptr, nullptr)); }

 private:
  int fd_;
  RawSocket filler_;
};

// Runs the loop until `done` holds; false if that took longer than `most`.
inline bool run_until(net::Loop& loop, const std::function<bool()>& done,
                      Duration most = std::chrono::seconds(10)) {
  const Time end = loop.now() + most;
  bool held = false;
  std::unique_ptr<io::Timer> look;
  look = loop.timer([&] {
    held = done();
    if (held || loop.now() >= end) return loop.stop();
    look->start(std::chrono::milliseconds(1));
  });
  look->start(Duration(0));
  loop.run();
  return held;
}
inline void run_for(net::Loop& loop, Duration span) {
  run_until(
      loop, [] { return false; }, span);
}

inline std::size_t open_descriptors() {
  std::size_t n = 0;
  DIR* dir = opendir("/proc/self/fd");
  while (readdir(dir)) ++n;
  closedir(dir);
  return n - 3;  // itself, ".", ".."
}

}  // namespace laureltide::tests
