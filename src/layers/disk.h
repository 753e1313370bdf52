// Interface to the host's storage of chunks and version records; tests replace it to inject delays, losses
// and faults. All calls come on the event loop's thread and return at once; callbacks run on the same thread,
// in the order of the calls.
//
// The cache need not survive a crash, but must never serve wrong content, so nothing here waits for fsync. A
// chunk file appears complete under its name or not at all, its index entry is written after it, and chunks
// found after a restart are `kUnverified` until their digest is checked.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/io.h"
#include "layers/chunk_cache.h"
#include "layers/format.h"

namespace laureltide::layers {

enum class DiskStatus {
  kOk,
  kCorrupt,  // the bytes do not match their digest
  kFull,     // no space left
  kBroken    // any other error
};

// Steps between which a crash leaves different state on disk; tests end the process at each of them.
constexpr const char* kDiskSteps[] = {"chunk-begun", "chunk-written", "chunk-renamed", "chunk-indexed",
                                      "version-recorded"};

class Disk {
 public:
  using Done = std::function<void(DiskStatus end, const std::string& why)>;
  struct LoadedState {
    struct StoredChunk {
      Key key;
      std::uint32_t size = 0;
    };
    std::vector<StoredChunk> chunks;                           // in write order
    std::vector<std::pair<std::string, std::string>> records;  // by name
    std::size_t dropped = 0;  // entries without a file, files without an entry, size mismatches
  };
  virtual ~Disk() = default;
  // Called once, first. Drops files and index entries that do not match each other.
  virtual LoadedState load() = 0;
  // Unpacks the frame and stores its plain bytes. kCorrupt: the content does not match the index.
  virtual void write(const Key& key, const Chunk& chunk, std::string frame, Done done) = 0;
  // Checks that the chunk stored under the key has this content.
  virtual void verify(const Key& key, const Digest& content, Done done) = 0;
  virtual void remove(const Key& key) = 0;
  // Stores a version record of the agent, asynchronously.
  virtual void put(const std::string& name, std::string bytes) = 0;
  virtual void erase(const std::string& name) = 0;
  // Path at which a worker reads the chunk; it stays while pinned.
  virtual std::string path(const Key& key) const = 0;

  std::function<void(const char* step)> on_step;  // see kDiskSteps

 protected:
  void step(const char* name) const {
    if (on_step) on_step(name);
  }
};

// For tests and the simulated host. The contents outlive MemoryDisk, as files outlive a process.
struct MemoryFiles {
  std::map<Key, std::string> files, partial;  // complete files; files being written
  std::map<Key, std::uint32_t> index;
  std::vector<Key> order;
  std::map<std::string, std::string> records;
  Duration delay = std::chrono::microseconds(300);
  std::uint64_t capacity = UINT64_MAX;  // bytes
  std::uint64_t used() const;
};

class MemoryDisk : public Disk {
 public:
  MemoryDisk(io::Host& host, MemoryFiles& files);
  ~MemoryDisk() override;
  LoadedState load() override;
  void write(const Key& key, const Chunk& chunk, std::string frame, Done done) override;
  void verify(const Key& key, const Digest& content, Done done) override;
  void remove(const Key& key) override;
  void put(const std::string& name, std::string bytes) override;
  void erase(const std::string& name) override;
  std::string path(const Key& key) const override { return "/memory/" + key.hex(); }

 private:
  void enqueue(std::function<void()> task);

  io::Host& host_;
  MemoryFiles& files_;
  std::vector<std::function<void()>> queue_;
  std::unique_ptr<io::Timer> timer_;
};

// Files under `directory`, accessed by a dedicated thread, with the index in LMDB next to them. `post` as for
// the embedded store (store/lmdb.h). `disk` is null, with the reason, if the directory cannot be used.
struct OpenedDisk {
  std::unique_ptr<Disk> disk;
  std::string why;
};
OpenedDisk open_disk(const std::string& directory, std::function<void(std::function<void()>)> post);

}  // namespace laureltide::layers
