#include "layers/shelf.h"

namespace laureltide::layers {

Key key_of(std::string_view domain, const Digest& content) {
  Hasher hasher;
  hasher.add(domain);
  hasher.add(std::string_view("\0", 1));
  hasher.add({reinterpret_cast<const char*>(content.bytes.data()), content.bytes.size()});
  return hasher.finish();
}

Shelf::Standing Shelf::standing(const Key& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? Standing::kAbsent : it->second.standing;
}
std::uint32_t Shelf::size_of(const Key& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? 0 : it->second.size;
}
bool Shelf::held(const Key& key) const { return holds_.contains(key); }

void Shelf::loosen(const Key& key, const Entry& e) {
  if (e.standing == Standing::kWriting || holds_.contains(key)) return;
  if (by_use_.emplace(e.used, key).second) loose_ += e.size;
}
void Shelf::tighten(const Key& key, const Entry& e) {
  if (by_use_.erase({e.used, key}) > 0) loose_ -= e.size;
}

void Shelf::found(const Key& key, std::uint32_t size) {
  const auto [it, fresh] = entries_.try_emplace(key);
  if (!fresh) return;
  it->second = {Standing::kUnproven, size, ++tick_};
  bytes_ += size;
  loosen(key, it->second);
}
void Shelf::proven(const Key& key) {
  if (const auto it = entries_.find(key); it != entries_.end() && it->second.standing == Standing::kUnproven)
    it->second.standing = Standing::kWhole;
}

std::optional<std::vector<Key>> Shelf::begin(const Key& key, std::uint32_t size) {
  if (entries_.contains(key)) return std::nullopt;
  if (bytes_ - loose_ + size > capacity_) return std::nullopt;
  std::vector<Key> go;
  while (bytes_ + size > capacity_) {
    go.push_back(by_use_.begin()->second);
    gone(go.back());
    ++evicted_;
  }
  entries_[key] = {Standing::kWriting, size, 0};
  bytes_ += size;
  return go;
}

void Shelf::written(const Key& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end() || it->second.standing != Standing::kWriting) return;
  it->second.standing = Standing::kWhole;
  it->second.used = ++tick_;
  loosen(key, it->second);
}

void Shelf::gone(const Key& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  tighten(key, it->second);
  bytes_ -= it->second.size;
  entries_.erase(it);
}

void Shelf::hold(const std::vector<Key>& keys) {
  for (const Key& key : keys) {
    if (const auto it = entries_.find(key); it != entries_.end()) tighten(key, it->second);
    ++holds_[key];
  }
}

void Shelf::release(const std::vector<Key>& keys) {
  for (const Key& key : keys) {
    const auto h = holds_.find(key);
    if (h == holds_.end() || --h->second > 0) continue;
    holds_.erase(h);
    const auto it = entries_.find(key);
    if (it == entries_.end()) continue;
    it->second.used = ++tick_;
    loosen(key, it->second);
  }
}

bool Shelf::consistent() const {
  std::uint64_t bytes = 0, loose = 0;
  std::size_t may_go = 0;
  for (const auto& [key, e] : entries_) {
    bytes += e.size;
    const bool goes = e.standing != Standing::kWriting && !holds_.contains(key);
    if (goes != by_use_.contains({e.used, key})) return false;
    if (goes) loose += e.size, ++may_go;
  }
  return bytes == bytes_ && loose == loose_ && may_go == by_use_.size() && bytes_ <= capacity_;
}

}  // namespace laureltide::layers
