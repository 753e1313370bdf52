// Where what must outlive the process is kept: an embedded store behind a seam, so that a test orders every
// delay, loss and fault. All calls come on the loop's thread and return at once; what they lead to comes back
// on it.
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
  // The store cannot write; what it was given waits and is tried again, unless `permanent`.
  virtual void on_write_failed(const std::string& why, bool permanent) = 0;
  virtual void on_write_recovered() = 0;  // all that waited is written
  // So many more commits, in the order in which they were asked for, are on disk.
  virtual void on_durable(std::size_t commits) = 0;
};

class Store {
 public:
  virtual ~Store() = default;
  virtual void serve(StoreEvents* events) = 0;
  // The bytes are copied.
  virtual void put(std::string_view key, std::string_view value) = 0;
  virtual void erase(std::string_view key) = 0;
  // on_durable counts it once all that was put and erased before is on disk; never from within the call, and
  // not at all when the process ends first.
  virtual void commit() = 0;
  // About as many as load() gives.
  virtual std::size_t entries() const = 0;
  // Everything the store held when it was opened.
  virtual void load(const std::function<void(std::string_view key, std::string_view value)>& each) = 0;
};

// A store in memory for tests and the simulated host. `Disk` outlives the store as a disk outlives a process:
// what was not committed is lost with the store.
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
  void gather();
  void sync();

  io::Host& host_;
  MemoryDisk& disk_;
  StoreEvents* events_ = nullptr;
  std::vector<std::pair<std::string, std::optional<std::string>>> given_, syncing_;
  std::size_t waiting_ = 0, synced_ = 0;
  bool busy_ = false, troubled_ = false;
  std::unique_ptr<io::Timer> timer_;
};

}  // namespace laureltide::store
