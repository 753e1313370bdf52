// The store on LMDB, with its own thread for writes and syncs: the loop never waits for a disk.
//
// Group commit: operations that arrive during a sync are written by the next one, so many calls share a sync,
// and a call waits for at most two. A directory has one writer at a time; readers (`laureltide ledger`) may
// open it at any time.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "store/store.h"

namespace laureltide::store {

// Validates an entry and returns what is wrong with it, or an empty string. It isn't called for internal
// entries, whose keys begin with byte 1. It also runs in a child process.
using Check = std::function<std::string(std::string_view key, std::string_view value)>;

struct LmdbOptions {
  std::string directory;
  std::string what = "ledger";  // what the store holds; named in the version file and in messages
  Check check;                  // run on each entry when the file is scanned; empty: any bytes are valid
  std::size_t most_mb = 4096;   // maximum file size; writes fail above it
  Duration gather{};            // how long a commit waits so that others can share its sync
  enum class Sync {
    kGroup,  // one sync for all commits requested since the last one
    kEach,   // one sync for each commit, for comparison
    kNone,   // no sync: a crash of the machine loses commits that were reported durable
  } sync = Sync::kGroup;
};

// The layout of the directory: a text file `version` and LMDB's data.mdb.
constexpr int kStoreVersion = 1;

struct OpenResult {
  std::unique_ptr<Store> store;
  std::string why;  // if `store` is null: what is wrong with the directory, and what to do
};
// Opens the store, and creates the directory if it doesn't exist. `post` runs a function on the loop's
// thread; it must outlive the store, or drop the functions that it is given. A child process first reads the
// whole file, so that damage that crashes a reader ends only the child and is reported.
OpenResult open_lmdb(const LmdbOptions& options, std::function<void(std::function<void()>)> post);

// For tools: reads a directory that another process may be using.
struct ScanResult {
  std::size_t records = 0, bytes = 0, file_bytes = 0;
  std::string why;  // the first fault found; empty: none
};
// `options`: its directory, what it holds, and the check.
ScanResult scan(const LmdbOptions& options,
                const std::function<void(std::string_view key, std::string_view value)>& each);
// Writes a compacted copy to a new directory; safe while the store is in use. Returns the reason on failure.
std::string copy_compacted(const LmdbOptions& from, const std::string& to);

}  // namespace laureltide::store
