// Measures the turns of the event loop: how long the callbacks of one iteration ran, during which timers and
// input had to wait. No I/O; the loop gives it the times.
#pragma once

#include <algorithm>
#include <optional>
#include <utility>

#include "laureltide/dispatcher.h"

namespace laureltide::net {

class TurnClock {
 public:
  // A callback starts at `now`. The first one after a poll begins the turn.
  void on_callback(Time now) {
    if (!began_) began_ = now;
  }
  // All callbacks of the iteration have returned.
  void on_iteration_end(Time now) {
    if (began_) longest_ = std::max(longest_, now - *began_);
    began_.reset();
  }
  // Returns the longest turn since the last call of this function.
  Duration take_longest() { return std::exchange(longest_, Duration(0)); }

 private:
  std::optional<Time> began_;  // of the current turn; absent while the loop polls
  Duration longest_{};
};

}  // namespace laureltide::net
