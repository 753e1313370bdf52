// The seam's host in virtual time: a seeded network of byte streams in one process.
//
// Runs the same controller, machines and stand-ins as the real host, thousands of times faster and the same
// way for the same seed. Bytes of a connection keep their order; each write takes a drawn delay and may be
// delivered in pieces. Trouble is ordered by address: refused connections, broken ones, silence.
#pragma once

#include <deque>
#include <map>
#include <queue>
#include <set>

#include "base/io.h"

namespace laureltide::sim {

struct NetworkOptions {
  std::uint64_t seed = 1;
  Duration least_delay = std::chrono::microseconds(50);
  Duration most_delay = std::chrono::microseconds(400);
  std::size_t max_segment_bytes = 0;  // bytes delivered at once are cut to pieces of 1 to this; 0: not cut
};

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
  bool step();                  // the next event; false when there is none
  void run_for(Duration span);  // all events up to now + span, and the clock moves there
  // Runs until `done` holds; false if that took longer than `most`.
  bool run_until(const std::function<bool()>& done, Duration most = std::chrono::seconds(60));
  void after(Duration delay, std::function<void()> what);

  // ---- Trouble ----
  std::int64_t wall_clock_offset_ms = 0;                // a jump of the wall clock
  void break_connections(const io::Address& to);        // all that were made to this address are reset
  void set_silent(const io::Address& to, bool silent);  // bytes both ways are held back, nothing is reset
  // Connections made to it from now on come up so much later.
  void set_connect_delay(const io::Address& to, Duration delay) { connect_delays_[to] = delay; }
  std::size_t connections(const io::Address& to) const;
  std::size_t unsent(const io::Address& to) const;  // bytes on their way to the listener there

 private:
  static constexpr std::int64_t kEpochMs = 1'700'000'000'000;
  class Stream;
  class SimTimer;
  class SimListener;
  struct Link;
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& o) const { return std::tie(o.at, o.order) < std::tie(at, order); }
  };

  Duration delay();
  void pump(const std::shared_ptr<Link>& link, int to);
  void deliver(const std::shared_ptr<Link>& link, int to);
  void end(const std::shared_ptr<Link>& link, int at, io::CloseReason why);

  NetworkOptions options_;
  Time now_{};
  std::uint64_t state_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::map<io::Address, SimListener*> listeners_;
  std::set<std::shared_ptr<Link>> links_;
  std::set<io::Address> silent_;
  std::map<io::Address, Duration> connect_delays_;
  std::uint16_t next_port_ = 20000;
};

}  // namespace laureltide::sim
