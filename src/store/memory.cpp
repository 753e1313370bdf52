#include <utility>

#include "store/store.h"

namespace laureltide::store {

constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(100);

MemoryStore::MemoryStore(io::Host& host, MemoryDisk& disk)
    : host_(host), disk_(disk), timer_(host.timer([this] { finish_sync(); })) {}

void MemoryStore::put(std::string_view key, std::string_view value) {
  pending_operations_.emplace_back(key, std::string(value));
  start_sync();
}
void MemoryStore::erase(std::string_view key) {
  pending_operations_.emplace_back(key, std::nullopt);
  start_sync();
}
void MemoryStore::commit() {
  ++pending_commits_;
  start_sync();
}
void MemoryStore::load(const std::function<void(std::string_view, std::string_view)>& each) {
  for (const auto& [key, value] : disk_.data) each(key, value);
}

// At most one sync is in flight, as on a disk; operations that arrive during it go with the next one.
void MemoryStore::start_sync() {
  if (sync_in_flight_) return;
  sync_in_flight_ = true;
  syncing_operations_ = std::exchange(pending_operations_, {}),
  syncing_commits_ = std::exchange(pending_commits_, 0);
  const auto delay_range = static_cast<std::uint64_t>((disk_.most_delay - disk_.least_delay).count() + 1);
  timer_->start(disk_.least_delay + Duration(static_cast<std::int64_t>(host_.random() % delay_range)));
}

void MemoryStore::finish_sync() {
  if (disk_.full) {
    if (!std::exchange(write_failed_, true) && events_)
      events_->on_write_failed("no space left on the disk", false);
    return timer_->start(kWriteRetryDelay);
  }
  ++disk_.commits;
  for (auto& [key, value] : std::exchange(syncing_operations_, {}))
    value ? void(disk_.data[key] = std::move(*value)) : void(disk_.data.erase(key));
  sync_in_flight_ = false;
  if (std::exchange(write_failed_, false) && events_) events_->on_write_recovered();
  const std::size_t durable_commits = std::exchange(syncing_commits_, 0);
  if (!pending_operations_.empty() || pending_commits_ > 0) start_sync();
  if (durable_commits > 0 && events_)
    events_->on_durable(durable_commits);  // last, because the listener may destroy this store
}

}  // namespace laureltide::store
