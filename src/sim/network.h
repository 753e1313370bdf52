// A simulated network: implements io::Host in virtual time, with seeded byte streams inside one process.
//
// Runs the same controller, protocol code and stand-ins as the real host, thousands of times faster and
// reproducibly: the same seed gives the same run. The bytes of a connection keep their order; each write is
// delivered after a random delay, optionally in segments. Tests inject faults by address: connections that
// are refused, reset or slow to open, and addresses that do not respond.
#pragma once

#include <deque>
#include <map>
#include <queue>
#include <set>

#include "base/io.h"

namespace laureltide::sim {

// Delay and segmentation of deliveries, drawn from `seed`.
struct NetworkOptions {
  std::uint64_t seed = 1;
  Duration min_delay = std::chrono::microseconds(50);
  Duration max_delay = std::chrono::microseconds(400);
  std::size_t max_segment_bytes = 0;  // delivers bytes in random segments of 1 to this size; 0: unsplit
};

// The host and its network. Single-threaded: callbacks run inside step(), run_for() and run_until().
class Network : public io::Host {
 public:
  explicit Network(NetworkOptions options = {});
  ~Network() override;

  // ---- Host ----
  Time now() const override { return now_; }
  std::int64_t unix_ms() const override {
    return kEpochMs + wall_clock_offset_ms +
           std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count();
  }
  std::uint64_t random() override;
  std::unique_ptr<io::Timer> timer(std::function<void()> fired) override;
  std::unique_ptr<io::Connection> connect(const io::Address& to, const io::StreamOptions& options,
                                          io::ConnectionEvents& events) override;
  std::unique_ptr<io::Listener> listen(const io::Address& at, const io::StreamOptions& options,
                                       Accept accept) override;

  // ---- Running ----
  bool step();                  // runs the next event; false when there is none
  void run_for(Duration span);  // runs all events up to now + span and sets the clock to that time
  // Runs events until `done` returns true; returns false if that takes longer than `limit`.
  bool run_until(const std::function<bool()>& done, Duration limit = std::chrono::seconds(60));
  void after(Duration delay, std::function<void()> callback);

  // ---- Faults ----
  std::int64_t wall_clock_offset_ms = 0;          // change it to make the wall clock jump
  void break_connections(const io::Address& to);  // resets all connections made to this address
  // While an address is silent, bytes in both directions are held back and connection attempts time out.
  // Nothing is reset; the bytes are delivered once the address responds again.
  void set_silent(const io::Address& to, bool silent);
  // Adds a delay to the opening of connections that are made to this address from now on.
  void set_connect_delay(const io::Address& to, Duration delay) { connect_delays_[to] = delay; }

  // ---- Inspection ----
  std::size_t connections(const io::Address& to) const;  // open connections made to this address
  std::size_t unsent(const io::Address& to) const;       // bytes in transit to the listener at this address

 private:
  static constexpr std::int64_t kEpochMs = 1'700'000'000'000;
  class SimConnection;
  class SimTimer;
  class SimListener;
  struct Link;
  // Ordered by time, then by the order of scheduling; the earliest is at the top of the priority queue.
  struct Event {
    Time at;
    std::uint64_t sequence;
    std::function<void()> callback;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.sequence) < std::tie(at, sequence);
    }
  };

  Duration random_delay();
  // Schedules the next arrival at one end of the link, unless one is scheduled already.
  void schedule_arrival(const std::shared_ptr<Link>& link, int receiver);
  // Passes the bytes that have arrived at this end to its owner.
  void deliver(const std::shared_ptr<Link>& link, int receiver);
  // Closes the link and notifies one end of it.
  void close(const std::shared_ptr<Link>& link, int notified_end, io::CloseReason reason);

  NetworkOptions options_;
  Time now_{};
  std::uint64_t random_state_;
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Event> events_;
  std::map<io::Address, SimListener*> listeners_;
  std::set<std::shared_ptr<Link>> links_;
  std::set<io::Address> silent_addresses_;
  std::map<io::Address, Duration> connect_delays_;
  std::uint16_t next_port_ = 20000;
};

}  // namespace laureltide::sim
