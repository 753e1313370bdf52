// Which ids one connection to an invoker has carried, so that none goes over it twice: an answer names the id
// alone, and a late copy of an earlier answer would be taken for the answer of the next attempt. No I/O.
//
// Bound: `kMost` ids; a connection that has carried so many is full and gets nothing new.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace laureltide::platform {

class CarriedIds {
 public:
  static constexpr std::size_t kMost = 1024;  // 8 KiB a connection

  void add(std::uint64_t id) {
    const auto at = std::lower_bound(ids_.begin(), ids_.end(), id);
    if (at == ids_.end() || *at != id) ids_.insert(at, id);
  }
  bool contains(std::uint64_t id) const { return std::binary_search(ids_.begin(), ids_.end(), id); }
  bool full() const { return ids_.size() >= kMost; }

 private:
  std::vector<std::uint64_t> ids_;  // in order
};

}  // namespace laureltide::platform
