// The seam between everything that decides or speaks a protocol and the machine it runs on.
//
// Controller, connection machines and stand-ins see a clock, timers, randomness and byte streams only through
// these interfaces. `src/net` implements them on libevent; `src/sim` in virtual time, where a test can order
// every interleaving and fault. All calls come on one thread, the host's; nothing here blocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laureltide/dispatcher.h"

namespace laureltide::io {

struct Address {
  std::string host;  // numeric IPv4
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
  std::string text() const { return host + ":" + std::to_string(port); }
};

// "127.0.0.1:5672"; nothing on anything else.
std::optional<Address> parse_address(std::string_view text);

enum class CloseReason {
  kNeverOpened,  // refused, unreachable or not made in time: no byte can have arrived
  kByPeer,       // the peer ended it in order
  kBroken,       // reset, or the host gave up on it
};

// A byte stream. Owned by whoever drives the protocol on it: destroying it closes the connection at once and
// ends all its events, also from within one of them.
class Connection {
 public:
  virtual ~Connection() = default;
  // Queues the bytes. The host never drops part of them; what it holds unsent shows in unsent().
  virtual void write(std::string_view bytes) = 0;
  virtual std::size_t unsent() const = 0;
  // Stops or resumes on_bytes. Stopped, the peer is held back by the transport's own window.
  virtual void read(bool enabled) = 0;
  // Sends the unsent bytes and then the end of the stream (FIN), and lets the peer end its side: closed at
  // once with bytes of the peer unread, the machine would send a reset, which destroys what was just written.
  // What the peer still sends is thrown away. Bounded in time, bytes and number by the host. No event
  // follows.
  virtual void finish() = 0;
};

class ConnectionEvents {
 public:
  virtual ~ConnectionEvents() = default;
  virtual void on_open() {}
  // All input not consumed yet, in one piece. Returns how many bytes were consumed; the rest comes again,
  // with what arrives behind it. An implementation must consume before `read_ahead` bytes are waiting.
  virtual std::size_t on_bytes(std::string_view bytes) = 0;
  // The unsent bytes fell under the host's low mark after write() had gone over it.
  virtual void on_drained() {}
  virtual void on_closed(CloseReason why) = 0;  // the last event
};

class Timer {
 public:
  virtual ~Timer() = default;  // stops it
  virtual void start(Duration after) = 0;
  virtual void stop() = 0;
};

class Listener {
 public:
  // Stops listening; connections handed over already stay. What the machine has accepted and nobody took in
  // yet is reset, with any request on it: take_backlog() first where that matters.
  virtual ~Listener() = default;
  // Hands over, within the call, what the machine has accepted up to now.
  virtual void take_backlog() = 0;
  virtual Address address() const = 0;
};

struct StreamOptions {
  std::size_t read_ahead = 2U << 20;  // bytes of input held before reading stops
  Duration connect_timeout = std::chrono::seconds(5);
};

class Host {
 public:
  // Takes an accepted connection, with the events object that is to serve it; the callee owns both.
  using Accept = std::function<ConnectionEvents*(std::unique_ptr<Connection>)>;

  virtual ~Host() = default;
  virtual Time now() const = 0;  // steady
  // Wall clock, for what other machines tell and for logs. May jump; no span is ever taken from it.
  virtual std::int64_t unix_ms() const = 0;
  virtual std::uint64_t random() = 0;
  virtual std::unique_ptr<Timer> timer(std::function<void()> fired) = 0;
  // `events` must live as long as the connection. Failure comes as on_closed, never from within the call.
  virtual std::unique_ptr<Connection> connect(const Address& to, const StreamOptions& options,
                                              ConnectionEvents& events) = 0;
  // Nothing if the address cannot be listened on. Port 0 takes a free one.
  virtual std::unique_ptr<Listener> listen(const Address& at, const StreamOptions& options,
                                           Accept accept) = 0;

  double random_unit() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
};

// What is done later on the loop, after the current event: owners of connections put their dead ones here
// instead of destroying an object that is still on the call stack.
template <class T>
class DeferredDeleter {
 public:
  explicit DeferredDeleter(Host& host) : timer_(host.timer([this] { dead_.clear(); })) {}
  void delete_later(std::unique_ptr<T> dead) {
    if (!dead) return;
    if (dead_.empty()) timer_->start(Duration(0));
    dead_.push_back(std::move(dead));
  }

 private:
  std::vector<std::unique_ptr<T>> dead_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace laureltide::io
