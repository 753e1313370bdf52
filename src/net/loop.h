// The seam's host on libevent: bufferevents, timers and signals on one thread.
#pragma once

#include <memory>

#include "base/io.h"

struct event_base;

namespace laureltide::net {

struct LoopOptions {
  bool loopback_only = true;  // listening or connecting elsewhere fails; lifted by an explicit setting
};

class Loop : public io::Host {
 public:
  explicit Loop(LoopOptions options = {});
  ~Loop() override;

  Time now() const override;  // CLOCK_MONOTONIC, so that the programs of one machine agree on it
  std::int64_t unix_ms() const override;
  std::uint64_t random() override;
  std::unique_ptr<io::Timer> timer(std::function<void()> fired) override;
  std::unique_ptr<io::Connection> connect(const io::Address& to, const io::StreamOptions& options,
                                          io::ConnectionEvents& events) override;
  std::unique_ptr<io::Listener> listen(const io::Address& at, const io::StreamOptions& options,
                                       Accept accept) override;

  // Handled on the loop's thread, so that a handler may do anything.
  void on_signal(int number, std::function<void()> handler);
  // From any thread: runs `what` on the loop's, in order. What is left when the loop ends is dropped.
  void post(std::function<void()> what);
  // Times that a connection waited and no descriptor was left to take it in.
  std::uint64_t accepts_failed() const;
  void run();   // until stop()
  void stop();  // from the loop's thread

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace laureltide::net
