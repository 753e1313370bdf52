// The gateway's worker list: decides which updates apply, which are stale and which reveal a gap, and keeps
// each worker's address. No I/O; ListSubscriber reads the bytes.
//
// Versions are compared within an epoch (one incarnation of the list service). A later epoch accepts any
// version, so that a restarted service that counts from 1 again is not ignored as stale forever. Updates of
// an earlier epoch or version are ignored: replicas of a list service may lag behind each other.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/io.h"
#include "laureltide/dispatcher.h"

namespace laureltide::members {

// The name of a state in list documents.
const char* text_of(WorkerState state);

// One worker of the list.
struct Member {
  std::uint32_t id = 0;
  io::Address address;
  std::string zone, kind, cell;
  WorkerState state = WorkerState::kReady;
  float size = 1;
  std::optional<std::int64_t> started_unix_ms;
  bool operator==(const Member&) const = default;
};

// A full list, or changes to an earlier version of it.
struct Update {
  bool full = true;
  std::int64_t epoch = 0;
  std::uint64_t version = 0;
  std::optional<std::uint64_t> from;  // the version that a change is based on
  std::vector<Member> members;
};

// Parses one JSON document (docs/list.md). On error returns nothing and sets `why`.
std::optional<Update> parse_update(std::string_view json, std::string& why);
// Serializes an update to the document that parse_update() reads.
std::string write_update(const Update& update);

// What became of an update.
enum class Verdict {
  kApplied,
  kStale,  // not newer than the current list: ignored
  kGap,    // a change based on another version than the current one: a full list is needed
};

// The current worker list.
class WorkerList {
 public:
  // `kinds`: worker kinds in the order of the settings; an unknown kind counts as the first.
  explicit WorkerList(std::vector<std::string> kinds) : kinds_(std::move(kinds)) {}

  // If kApplied, `entries` and `version` are to be passed on to the decision module.
  struct ApplyResult {
    Verdict verdict = Verdict::kStale;
    ListScope scope = ListScope::kFull;
    std::uint64_t version = 0;
    std::vector<WorkerEntry> entries;
  };
  // `wall_offset` converts the list's Unix times to the monotonic clock. It is fixed per process, so that a
  // jump of the wall clock does not make every worker look restarted.
  ApplyResult take(const Update& update, Duration wall_offset, bool cached = false);

  std::optional<std::uint64_t> version() const { return version_; }  // of the current list
  // Returns null for a worker that is not listed.
  const Member* find(WorkerId id) const;
  const std::map<std::uint32_t, Member>& members() const { return members_; }
  // Removes workers that are gone, so that a list updated only by changes does not grow without bound.
  void remove_gone(const std::function<bool(WorkerId)>& still_needed);
  Update snapshot() const;  // written to the cache on disk

 private:
  // Returns the index of `name`, adding it if it is new.
  std::uint16_t intern(std::vector<std::string>& names, const std::string& name);

  std::vector<std::string> kinds_, zones_, cells_;
  std::map<std::uint32_t, Member> members_;  // workers that are gone keep their address until remove_gone()
  std::int64_t epoch_ = 0;
  std::optional<std::uint64_t> version_;
  bool cached_ = false;
  std::uint64_t reported_version_ = 0;  // last version given to the decision module; rises across epochs
};

}  // namespace laureltide::members
