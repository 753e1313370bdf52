// Tracks when the unhandled input of a connection arrived, so that a request's time counts from its arrival
// and not from its turn. No I/O.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "laureltide/dispatcher.h"

namespace laureltide::front {

class InputAge {
 public:
  // `total` bytes are unhandled now; those that are new arrived at `arrived` or later.
  void on_input(std::size_t total, Time arrived) {
    if (total <= total_) return;
    const std::size_t added = total - total_;
    total_ = total;
    if (parts_.size() >= kMaxParts)
      parts_.back().first += added;  // counts as older than it is
    else
      parts_.emplace_back(added, arrived);
  }
  // The first `count` bytes were handled.
  void on_handled(std::size_t count) {
    total_ -= std::min(count, total_);
    while (!parts_.empty() && count >= parts_.front().first) {
      count -= parts_.front().first;
      parts_.pop_front();
    }
    if (!parts_.empty()) parts_.front().first -= count;
  }
  // When the byte at `offset` of the unhandled input arrived, at the earliest.
  Time arrival_of(std::size_t offset) const {
    Time arrived{};
    for (const auto& [size, at] : parts_) {
      arrived = at;
      if (offset < size) break;
      offset -= size;
    }
    return arrived;
  }

 private:
  static constexpr std::size_t kMaxParts = 64;
  std::size_t total_ = 0;
  std::deque<std::pair<std::size_t, Time>> parts_;  // sizes and arrivals, oldest first
};

}  // namespace laureltide::front
