// Interfaces to the machine, for the code that makes decisions or implements protocols.
//
// Controller, protocol state machines and stand-ins use clocks, timers, randomness and byte streams only
// through these interfaces. `src/net` implements them on libevent; `src/sim` in virtual time, where a test
// controls every interleaving and fault. All calls are made on the host's thread; nothing here blocks.
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
  kNeverOpened,  // refused, unreachable or timed out: the peer can't have received any byte
  kByPeer,       // the peer closed it normally
  kBroken,       // reset by the peer, or aborted by the host
};

// A byte stream, owned by the protocol code that uses it. Destroying it closes the connection at once and
// ends all its events; it may be destroyed from within one of them.
class Connection {
 public:
  virtual ~Connection() = default;
  // Queues the bytes. The host never drops part of them; unsent() counts those not yet sent.
  virtual void write(std::string_view bytes) = 0;
  virtual std::size_t unsent() const = 0;
  // Stops or resumes on_bytes. While stopped, the transport's flow control holds the peer back.
  virtual void read(bool enabled) = 0;
  // Calls on_bytes() with the unconsumed input now, if there is any and reading is not stopped. Not to be
  // called from within on_bytes().
  virtual void deliver_input() = 0;
  // Whether the peer has closed its side or the connection broke, even if input sent before is still unread.
  virtual bool peer_has_closed() const = 0;
  // Sends the unsent bytes and the end of the stream (FIN), then waits until the peer closes its side:
  // closing at once with unread input would send a reset, which can destroy the bytes just written. Further
  // input is discarded. The host limits the time, the bytes and the number of such connections. No event
  // follows.
  virtual void finish() = 0;
};

class ConnectionEvents {
 public:
  virtual ~ConnectionEvents() = default;
  virtual void on_open() {}
  // All unconsumed input, contiguous. Returns the number of bytes consumed; the rest is passed again together
  // with later input, or by deliver_input(). Once `read_ahead` bytes are waiting, no more are read.
  virtual std::size_t on_bytes(std::string_view bytes) = 0;
  // The unsent bytes fell below the host's low watermark after write() had exceeded it.
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
  // Stops listening; connections already handed over stay open. Connections still in the kernel's backlog are
  // reset, with any request on them: call take_backlog() first where that matters.
  virtual ~Listener() = default;
  // Hands over, within this call, the connections that the kernel has accepted up to now.
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
  // Wall clock, for times exchanged with other machines and for logs. May jump: never used for durations.
  virtual std::int64_t unix_ms() const = 0;
  virtual std::uint64_t random() = 0;
  // The longest time, since the last call of this function, for which timers and input had to wait because
  // callbacks ran. Zero where that takes no time.
  virtual Duration take_longest_turn() { return {}; }
  virtual std::unique_ptr<Timer> timer(std::function<void()> fired) = 0;
  // `events` must live as long as the connection. Failure comes as on_closed, never from within the call.
  virtual std::unique_ptr<Connection> connect(const Address& to, const StreamOptions& options,
                                              ConnectionEvents& events) = 0;
  // Returns null if the address can't be listened on. Port 0 selects a free port.
  virtual std::unique_ptr<Listener> listen(const Address& at, const StreamOptions& options,
                                           Accept accept) = 0;

  double random_unit() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
};

// Destroys objects on the loop after the current event. Owners of connections pass closed ones here instead
// of destroying an object whose member function is still on the call stack.
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
