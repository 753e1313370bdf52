// Interface of the embedded key-value store for data that must survive a restart of the process. Tests use an
// implementation in memory to control every delay, loss and fault. All calls are made on the event loop's
// thread and don't block; events are delivered on the same thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/io.h"

namespace laureltide::store {

class StoreEvents {
 public:
  virtual ~StoreEvents() = default;
  // A write failed. Pending operations are kept and retried, unless the failure is `permanent`.
  virtual void on_write_failed(const std::string& why, bool permanent) = 0;
  virtual void on_write_recovered() = 0;  // all pending operations were written
  // The next `commits` commits, in the order in which they were requested, are on disk.
  virtual void on_durable(std::size_t commits) = 0;
};

class Store {
 public:
  virtual ~Store() = default;
  virtual void serve(StoreEvents* events) = 0;
  // The bytes are copied.
  virtual void put(std::string_view key, std::string_view value) = 0;
  virtual void erase(std::string_view key) = 0;
  // Requests a commit. on_durable counts it once all earlier puts and erasures are on disk: never from within
  // this call, and not at all if the process ends first.
  virtual void commit() = 0;
  // The approximate number of entries that load() visits.
  virtual std::size_t entries() const = 0;
  // Everything the store held when it was opened.
  virtual void load(const std::function<void(std::string_view key, std::string_view value)>& each) = 0;
};

// A store in memory for tests and the simulated host. The MemoryDisk outlives the store as a disk outlives a
// process: operations that were not committed are lost with the store.
struct MemoryDisk {
  std::map<std::string, std::string> data;
  Duration least_delay = std::chrono::microseconds(200), most_delay = std::chrono::milliseconds(2);
  bool full = false;  // nothing can be written until it is false again
  std::size_t commits = 0;
};

class MemoryStore : public Store {
 public:
  MemoryStore(io::Host& host, MemoryDisk& disk);
  void serve(StoreEvents* events) override { events_ = events; }
  void put(std::string_view key, std::string_view value) override;
  void erase(std::string_view key) override;
  void commit() override;
  std::size_t entries() const override { return disk_.data.size(); }
  void load(const std::function<void(std::string_view, std::string_view)>& each) override;

 private:
  void start_sync();
  void finish_sync();

  io::Host& host_;
  MemoryDisk& disk_;
  StoreEvents* events_ = nullptr;
  std::vector<std::pair<std::string, std::optional<std::string>>> pending_operations_, syncing_operations_;
  std::size_t pending_commits_ = 0, syncing_commits_ = 0;
  bool sync_in_flight_ = false, write_failed_ = false;
  std::unique_ptr<io::Timer> timer_;
};

}  // namespace laureltide::store
