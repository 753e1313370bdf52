// Bookkeeping of the chunks cached on a host: their state, retained chunks and LRU eviction. No I/O, no
// clock.
//
// A chunk that is retained by a version (being fetched, or pinned by a worker) is never evicted; of the
// others the least recently used goes first. Chunks being written count, so `capacity` is never exceeded.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "layers/digest.h"

namespace laureltide::layers {

// Identifies a chunk on this host by its content and its domain. Two domains with the same bytes store them
// twice, so neither can detect the other's content by names, timing or fetches.
using Key = Digest;
Key key_of(std::string_view domain, const Digest& content);

class ChunkCache {
 public:
  enum class State {
    kAbsent,
    kWriting,     // space is reserved; not readable yet
    kUnverified,  // left by an earlier process; its digest must be checked before use
    kComplete
  };
  explicit ChunkCache(std::uint64_t capacity) : capacity_(capacity) {}

  State state(const Key& key) const;
  std::uint32_t size_of(const Key& key) const;

  // Adds a chunk found at startup. Call in order of last use.
  void restore(const Key& key, std::uint32_t size);
  void mark_verified(const Key& key);

  // Reserves space for a chunk that is about to be written. Returns the evicted chunks, which the caller must
  // remove at once, or nothing if not enough space can be freed.
  std::optional<std::vector<Key>> begin_write(const Key& key, std::uint32_t size);
  void finish_write(const Key& key);
  void discard(const Key& key);  // the write failed, or the chunk is corrupt

  // Protects chunks from eviction, with a count per chunk; also chunks that are not cached yet.
  void retain(const std::vector<Key>& keys);
  // Drops the protection and marks the chunks as used now.
  void release(const std::vector<Key>& keys);
  bool is_retained(const Key& key) const;

  std::uint64_t capacity() const { return capacity_; }
  std::uint64_t bytes() const { return bytes_; }
  // Bytes that could be freed by eviction.
  std::uint64_t evictable_bytes() const { return evictable_bytes_; }
  std::size_t chunks() const { return entries_.size(); }
  std::uint64_t evicted() const { return evicted_; }
  // Checks the internal invariants, for tests.
  bool consistent() const;

 private:
  struct Entry {
    State state = State::kAbsent;
    std::uint32_t size = 0;
    std::uint64_t last_used = 0;
  };
  void make_evictable(const Key& key, const Entry& entry);
  void make_unevictable(const Key& key, const Entry& entry);

  std::uint64_t capacity_, bytes_ = 0, evictable_bytes_ = 0, evicted_ = 0, use_counter_ = 0;
  std::unordered_map<Key, Entry> entries_;
  std::unordered_map<Key, std::uint32_t> retain_counts_;
  std::set<std::pair<std::uint64_t, Key>> eviction_order_;  // evictable chunks by last use
};

}  // namespace laureltide::layers
