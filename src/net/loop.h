// Implements io::Host on libevent: connections, timers and signals on one thread.
#pragma once

#include <memory>

#include "base/io.h"

struct event_base;

namespace laureltide::net {

struct LoopOptions {
  bool loopback_only = true;  // no other addresses, unless a setting allows them
};

// The event loop of a process. All methods except post() are called on the thread that runs it.
class Loop : public io::Host {
 public:
  explicit Loop(LoopOptions options = {});
  ~Loop() override;

  Time now() const override;  // CLOCK_MONOTONIC: the same for all processes of one machine
  std::int64_t unix_ms() const override;
  std::uint64_t random() override;
  Duration take_longest_turn() override;
  std::unique_ptr<io::Timer> timer(std::function<void()> fired) override;
  std::unique_ptr<io::Connection> connect(const io::Address& to, const io::StreamOptions& options,
                                          io::ConnectionEvents& events) override;
  std::unique_ptr<io::Listener> listen(const io::Address& at, const io::StreamOptions& options,
                                       Accept accept) override;

  // The handler runs on the loop's thread as an ordinary event, so it is not limited to async-signal-safe
  // functions.
  void on_signal(int number, std::function<void()> handler);
  // Thread-safe. Runs `task` on the loop's thread, in the order of the calls. Tasks that have not run when
  // the loop is destroyed are dropped.
  void post(std::function<void()> task);
  // How often accept failed, for example because the process had no file descriptor left.
  std::uint64_t accepts_failed() const;
  void run();   // until stop()
  void stop();  // from the loop's thread

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace laureltide::net
