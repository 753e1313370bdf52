// Which chunks a box keeps: what is whole, what is pinned, what goes when room is needed. No I/O, no clock.
//
// A chunk that a version holds (being fetched, or pinned by a worker) never goes; of the others the one used
// longest ago goes first. Bytes being written count, so `capacity` holds at every moment.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "layers/digest.h"

namespace laureltide::layers {

// A chunk's name on this box: its content and the domain that may know of it. Two domains that hold the same
// bytes hold them twice, and neither learns of the other by name, by time or by what is fetched.
using Key = Digest;
Key key_of(std::string_view domain, const Digest& content);

class Shelf {
 public:
  enum class Standing {
    kAbsent,
    kWriting,   // room is taken; nothing may be read yet
    kUnproven,  // of an earlier life: its digest is checked before it is believed
    kWhole
  };
  explicit Shelf(std::uint64_t capacity) : capacity_(capacity) {}

  Standing standing(const Key& key) const;
  std::uint32_t size_of(const Key& key) const;

  // At the start, in the order of their last use.
  void found(const Key& key, std::uint32_t size);
  void proven(const Key& key);

  // Takes room for a chunk that is about to be written; what must be removed for it, at once. Nothing if
  // there is no room that may be taken.
  std::optional<std::vector<Key>> begin(const Key& key, std::uint32_t size);
  void written(const Key& key);
  void gone(const Key& key);  // not written after all, or found broken

  // A version holds its chunks, one count a chunk; also those that are not here yet.
  void hold(const std::vector<Key>& keys);
  // They were used until now.
  void release(const std::vector<Key>& keys);
  bool held(const Key& key) const;

  std::uint64_t capacity() const { return capacity_; }
  std::uint64_t bytes() const { return bytes_; }
  // What could be made free.
  std::uint64_t loose() const { return loose_; }
  std::size_t chunks() const { return entries_.size(); }
  std::uint64_t evicted() const { return evicted_; }
  // Does all of it agree with itself? For tests.
  bool consistent() const;

 private:
  struct Entry {
    Standing standing = Standing::kAbsent;
    std::uint32_t size = 0;
    std::uint64_t used = 0;
  };
  void loosen(const Key& key, const Entry& entry);
  void tighten(const Key& key, const Entry& entry);

  std::uint64_t capacity_, bytes_ = 0, loose_ = 0, evicted_ = 0, tick_ = 0;
  std::unordered_map<Key, Entry> entries_;
  std::unordered_map<Key, std::uint32_t> holds_;
  std::set<std::pair<std::uint64_t, Key>> by_use_;  // of those that may go
};

}  // namespace laureltide::layers
