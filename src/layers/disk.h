// Where a box keeps its chunks and what it knows of versions, behind a seam: a test orders every delay, loss
// and fault. All calls come on the loop's thread and return at once; what they lead to comes back on it, in
// the order of the calls.
//
// A cache need not survive: it must only never be believed wrongly. So nothing here waits for a sync. A chunk
// is a file that appears whole under its name or not at all, an index entry follows its file, and what a new
// life finds is `kUnproven` until its digest was checked.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/io.h"
#include "layers/format.h"
#include "layers/shelf.h"

namespace laureltide::layers {

enum class DiskEnd {
  kOk,
  kCorrupt,  // the bytes are not what their digest says
  kFull,     // no space left
  kBroken    // any other trouble
};

// Named moments at which the end of the process means something else than a moment before; tests end it
// there.
constexpr const char* kDiskSteps[] = {"chunk-begun", "chunk-written", "chunk-renamed", "chunk-indexed",
                                      "version-recorded"};

class Disk {
 public:
  using Done = std::function<void(DiskEnd end, const std::string& why)>;
  struct Found {
    struct Kept {
      Key key;
      std::uint32_t size = 0;
    };
    std::vector<Kept> chunks;                                  // in the order in which they were written
    std::vector<std::pair<std::string, std::string>> records;  // by name
    std::size_t dropped = 0;  // entries without their file, files without an entry, files of another size
  };
  virtual ~Disk() = default;
  // Once, before all else. Index and files that disagree are dropped, both.
  virtual Found load() = 0;
  // Unpacks the frame and keeps its plain bytes. kCorrupt: the content is not what the index said.
  virtual void write(const Key& key, const Chunk& chunk, std::string frame, Done done) = 0;
  // Is what lies under the key the content?
  virtual void prove(const Key& key, const Digest& content, Done done) = 0;
  virtual void remove(const Key& key) = 0;
  // What the agent remembers; written soon.
  virtual void put(const std::string& name, std::string bytes) = 0;
  virtual void erase(const std::string& name) = 0;
  // Where a worker reads the chunk. A pin keeps it there.
  virtual std::string path(const Key& key) const = 0;

  std::function<void(const char* step)> on_step;  // see kDiskSteps

 protected:
  void step(const char* name) const {
    if (on_step) on_step(name);
  }
};

// For tests and the simulated host. The state outlives the disk as a disk outlives a process.
struct MemoryFiles {
  std::map<Key, std::string> files, half;  // whole under their name; being written
  std::map<Key, std::uint32_t> index;
  std::vector<Key> order;
  std::map<std::string, std::string> records;
  Duration delay = std::chrono::microseconds(300);
  std::uint64_t room = UINT64_MAX;  // bytes, before it is full
  std::uint64_t used() const;
};

class MemoryDisk : public Disk {
 public:
  MemoryDisk(io::Host& host, MemoryFiles& files);
  ~MemoryDisk() override;
  Found load() override;
  void write(const Key& key, const Chunk& chunk, std::string frame, Done done) override;
  void prove(const Key& key, const Digest& content, Done done) override;
  void remove(const Key& key) override;
  void put(const std::string& name, std::string bytes) override;
  void erase(const std::string& name) override;
  std::string path(const Key& key) const override { return "/memory/" + key.hex(); }

 private:
  void later(std::function<void()> what);

  io::Host& host_;
  MemoryFiles& files_;
  std::vector<std::function<void()>> line_;
  std::unique_ptr<io::Timer> timer_;
};

// Files under `directory`, worked on by a thread of its own, with the index in LMDB beside them. `post` as
// for the embedded store (store/lmdb.h). Nothing, with the reason, if the directory cannot be used.
struct OpenedDisk {
  std::unique_ptr<Disk> disk;
  std::string why;
};
OpenedDisk open_disk(const std::string& directory, std::function<void(std::function<void()>)> post);

}  // namespace laureltide::layers
