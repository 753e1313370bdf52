// The set of ids sent on one connection to an invoker, so that none is sent on it twice: an answer carries
// only the id, so a late duplicate of an earlier answer would be taken for the next attempt's answer. No I/O.
//
// Bound: `kCapacity` ids; a connection that has carried that many is full and gets nothing new.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace laureltide::platform {

class CarriedIds {
 public:
  static constexpr std::size_t kCapacity = 1024;  // 8 KiB per connection

  void add(std::uint64_t id) {
    const auto at = std::lower_bound(ids_.begin(), ids_.end(), id);
    if (at == ids_.end() || *at != id) ids_.insert(at, id);
  }
  bool contains(std::uint64_t id) const { return std::binary_search(ids_.begin(), ids_.end(), id); }
  bool full() const { return ids_.size() >= kCapacity; }

 private:
  std::vector<std::uint64_t> ids_;  // sorted
};

}  // namespace laureltide::platform
