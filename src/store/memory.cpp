#include <utility>

#include "store/store.h"

namespace laureltide::store {

constexpr Duration kTryAgain = std::chrono::milliseconds(100);

MemoryStore::MemoryStore(io::Host& host, MemoryDisk& disk)
    : host_(host), disk_(disk), timer_(host.timer([this] { sync(); })) {}

void MemoryStore::put(std::string_view key, std::string_view value) {
  given_.emplace_back(key, std::string(value));
  gather();
}
void MemoryStore::erase(std::string_view key) {
  given_.emplace_back(key, std::nullopt);
  gather();
}
void MemoryStore::commit() {
  ++waiting_;
  gather();
}
void MemoryStore::load(const std::function<void(std::string_view, std::string_view)>& each) {
  for (const auto& [key, value] : disk_.data) each(key, value);
}

// One sync is out at a time, as on a disk; what comes meanwhile goes with the next.
void MemoryStore::gather() {
  if (busy_) return;
  busy_ = true;
  syncing_ = std::exchange(given_, {}), synced_ = std::exchange(waiting_, 0);
  const auto spread = static_cast<std::uint64_t>((disk_.most_delay - disk_.least_delay).count() + 1);
  timer_->start(disk_.least_delay + Duration(static_cast<std::int64_t>(host_.random() % spread)));
}

void MemoryStore::sync() {
  if (disk_.full) {
    if (!std::exchange(troubled_, true) && events_)
      events_->on_write_failed("no space left on the disk", false);
    return timer_->start(kTryAgain);
  }
  ++disk_.commits;
  for (auto& [key, value] : std::exchange(syncing_, {}))
    value ? void(disk_.data[key] = std::move(*value)) : void(disk_.data.erase(key));
  busy_ = false;
  if (std::exchange(troubled_, false) && events_) events_->on_write_recovered();
  const std::size_t durable = std::exchange(synced_, 0);
  if (!given_.empty() || waiting_ > 0) gather();
  if (durable > 0 && events_) events_->on_durable(durable);  // the last thing: it may end this store
}

}  // namespace laureltide::store
