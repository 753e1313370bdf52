// The store on LMDB, with its own thread for writes and syncs: the loop never waits for a disk.
//
// Group commit: what is given while a sync is out goes with the next one, so many calls share a sync, and a
// call waits for at most two. A directory has one writer at a time; readers (`laureltide ledger`) may come
// and go.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "store/store.h"

namespace laureltide::store {

// What is wrong with an entry; empty: nothing. The store's own entries, whose names begin with byte 1, are
// not shown to it. Runs in a child process too.
using Check = std::function<std::string(std::string_view key, std::string_view value)>;

struct LmdbOptions {
  std::string directory;
  std::string what = "ledger";  // it holds: named in its version file and in messages
  Check check;                  // of each entry when the file is walked; none: any bytes are well
  std::size_t most_mb = 4096;   // of the file; over it nothing more is taken
  Duration gather{};            // a commit waits so long for company
  enum class Sync {
    kGroup,  // one sync for all that came meanwhile
    kEach,   // one sync for each commit asked for: for comparison
    kNone,   // the system writes when it likes: a crash of the machine loses what was told
  } sync = Sync::kGroup;
};

// The layout of the directory: a text file `version` and LMDB's data.mdb.
constexpr int kStoreVersion = 1;

struct OpenResult {
  std::unique_ptr<Store> store;
  std::string why;  // if there is none: what is wrong with the directory, and what to do
};
// `post` brings a function to the loop's thread; it must outlive the store, or drop what it is given. Creates
// the directory where there is none. Before a byte is served, a child process walks the whole file: damage
// that would crash a reader ends the child and is told.
OpenResult open_lmdb(const LmdbOptions& options, std::function<void(std::function<void()>)> post);

// For tools: reads a directory that another process may be using.
struct ScanResult {
  std::size_t records = 0, bytes = 0, file_bytes = 0;
  std::string why;  // the first thing that is wrong; empty: nothing
};
// `options`: its directory, what it holds, and the check.
ScanResult scan(const LmdbOptions& options,
                const std::function<void(std::string_view key, std::string_view value)>& each);
// A compact copy into another, new directory; safe while it is in use. A reason if it fails.
std::string copy_compacted(const LmdbOptions& from, const std::string& to);

}  // namespace laureltide::store
