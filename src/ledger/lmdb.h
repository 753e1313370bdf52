// The ledger's store on LMDB, with its own thread for writes and syncs: the loop never waits for a disk.
//
// Group commit: what is given while a sync is out goes with the next one, so many calls share a sync, and a
// call waits for at most two. A directory has one writer at a time; readers (`laureltide ledger`) may come
// and go.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "ledger/store.h"

namespace laureltide::ledger {

struct LmdbOptions {
  std::string directory;
  std::size_t most_mb = 4096;  // of the file; over it nothing more is taken
  Duration gather{};           // a commit waits so long for company
  enum class Sync {
    kGroup,  // one sync for all that came meanwhile
    kEach,   // one sync for each commit asked for: for comparison
    kNone,   // the system writes when it likes: a crash of the machine loses what was told
  } sync = Sync::kGroup;
};

// The layout of the directory: a text file `version` and LMDB's data.mdb.
constexpr int kStoreVersion = 1;

struct Opened {
  std::unique_ptr<Store> store;
  std::string why;  // if there is none: what is wrong with the directory, and what to do
};
// `post` brings a function to the loop's thread; it must outlive the store, or drop what it is given. Creates
// the directory where there is none. Before a byte is served, a child process walks the whole file: damage
// that would crash a reader ends the child and is told.
Opened open_lmdb(const LmdbOptions& options, std::function<void(std::function<void()>)> post);

// For tools: reads a directory that a gateway may be using.
struct Walked {
  std::size_t records = 0, bytes = 0, file_bytes = 0;
  std::string why;  // the first thing that is wrong; empty: nothing
};
Walked walk(const std::string& directory,
            const std::function<void(std::string_view key, std::string_view value)>& each);
// A compact copy into another, new directory; safe while a gateway runs. A reason if it fails.
std::string copy_compact(const std::string& from, const std::string& to);

}  // namespace laureltide::ledger
