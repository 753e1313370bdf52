// Measures the turns of the event loop: how long the callbacks after one poll ran, during which timers and
// input had to wait. No I/O; the loop gives it the times.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "laureltide/dispatcher.h"

namespace laureltide::net {

class TurnClock {
 public:
  // A callback starts at `now`. `poll` identifies the poll that it follows: the first callback after another
  // poll begins a turn.
  void on_callback_start(Time now, std::int64_t poll) {
    if (std::exchange(poll_, poll) != poll) began_ = now;
  }
  void on_callback_end(Time now) { longest_ = std::max(longest_, now - began_); }
  // Returns the longest turn since the last call of this function.
  Duration take_longest() { return std::exchange(longest_, Duration(0)); }

 private:
  std::int64_t poll_ = -1;
  Time began_{};  // of the current turn
  Duration longest_{};
};

}  // namespace laureltide::net
