#include "layers/chunk_cache.h"

namespace laureltide::layers {

Key key_of(std::string_view domain, const Digest& content) {
  Hasher hasher;
  hasher.add(domain);
  hasher.add(std::string_view("\0", 1));
  hasher.add({reinterpret_cast<const char*>(content.bytes.data()), content.bytes.size()});
  return hasher.finish();
}

ChunkCache::State ChunkCache::state(const Key& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? State::kAbsent : it->second.state;
}
std::uint32_t ChunkCache::size_of(const Key& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? 0 : it->second.size;
}
bool ChunkCache::is_retained(const Key& key) const { return retain_counts_.contains(key); }

void ChunkCache::make_evictable(const Key& key, const Entry& e) {
  if (e.state == State::kWriting || retain_counts_.contains(key)) return;
  if (eviction_order_.emplace(e.last_used, key).second) evictable_bytes_ += e.size;
}
void ChunkCache::make_unevictable(const Key& key, const Entry& e) {
  if (eviction_order_.erase({e.last_used, key}) > 0) evictable_bytes_ -= e.size;
}

void ChunkCache::restore(const Key& key, std::uint32_t size) {
  const auto [it, fresh] = entries_.try_emplace(key);
  if (!fresh) return;
  it->second = {State::kUnverified, size, ++use_counter_};
  bytes_ += size;
  make_evictable(key, it->second);
}
void ChunkCache::mark_verified(const Key& key) {
  if (const auto it = entries_.find(key); it != entries_.end() && it->second.state == State::kUnverified)
    it->second.state = State::kComplete;
}

std::optional<std::vector<Key>> ChunkCache::begin_write(const Key& key, std::uint32_t size) {
  if (entries_.contains(key)) return std::nullopt;
  if (bytes_ - evictable_bytes_ + size > capacity_) return std::nullopt;
  std::vector<Key> to_evict;
  while (bytes_ + size > capacity_) {
    to_evict.push_back(eviction_order_.begin()->second);
    discard(to_evict.back());
    ++evicted_;
  }
  entries_[key] = {State::kWriting, size, 0};
  bytes_ += size;
  return to_evict;
}

void ChunkCache::finish_write(const Key& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end() || it->second.state != State::kWriting) return;
  it->second.state = State::kComplete;
  it->second.last_used = ++use_counter_;
  make_evictable(key, it->second);
}

void ChunkCache::discard(const Key& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  make_unevictable(key, it->second);
  bytes_ -= it->second.size;
  entries_.erase(it);
}

void ChunkCache::retain(const std::vector<Key>& keys) {
  for (const Key& key : keys) {
    if (const auto it = entries_.find(key); it != entries_.end()) make_unevictable(key, it->second);
    ++retain_counts_[key];
  }
}

void ChunkCache::release(const std::vector<Key>& keys) {
  for (const Key& key : keys) {
    const auto h = retain_counts_.find(key);
    if (h == retain_counts_.end() || --h->second > 0) continue;
    retain_counts_.erase(h);
    const auto it = entries_.find(key);
    if (it == entries_.end()) continue;
    it->second.last_used = ++use_counter_;
    make_evictable(key, it->second);
  }
}

bool ChunkCache::consistent() const {
  std::uint64_t bytes = 0, evictable_bytes = 0;
  std::size_t evictable_count = 0;
  for (const auto& [key, e] : entries_) {
    bytes += e.size;
    const bool is_evictable = e.state != State::kWriting && !retain_counts_.contains(key);
    if (is_evictable != eviction_order_.contains({e.last_used, key})) return false;
    if (is_evictable) evictable_bytes += e.size, ++evictable_count;
  }
  return bytes == bytes_ && evictable_bytes == evictable_bytes_ &&
         evictable_count == eviction_order_.size() && bytes_ <= capacity_;
}

}  // namespace laureltide::layers
