// What the gateway holds of the list of workers: which update counts, which is stale, where a gap shows, and
// where each worker can be reached. No I/O; the follower beside it moves the bytes.
//
// Versions are compared within an epoch (a life of the list service). A later epoch starts over from any
// version: a service that was restarted and counts from 1 again is not taken for an old list for ever. An
// earlier epoch, or an earlier version, is passed over: a list may go backwards when it is served by several.
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

const char* text_of(WorkerState state);

struct Member {
  std::uint32_t id = 0;
  io::Address address;
  std::string zone, kind, cell;
  WorkerState state = WorkerState::kReady;
  float size = 1;
  std::optional<std::int64_t> started_unix_ms;
  bool operator==(const Member&) const = default;
};

struct Update {
  bool full = true;
  std::int64_t epoch = 0;
  std::uint64_t version = 0;
  std::optional<std::uint64_t> from;  // of a change: the version it builds on
  std::vector<Member> members;
};

// One JSON document (docs/list.md). Nothing, with `why`, on anything that does not fit the page.
std::optional<Update> parse_update(std::string_view json, std::string& why);
std::string write_update(const Update& update);

enum class Verdict {
  kApplied,
  kStale,  // older than what is held: passed over
  kGap,    // a change that builds on a version not held: a full list is needed
};

class WorkerList {
 public:
  // `kinds` in the order of the settings; an unknown kind counts as the first.
  explicit WorkerList(std::vector<std::string> kinds) : kinds_(std::move(kinds)) {}

  // When taken, `entries` and `version` are what the module is to be told.
  struct ApplyResult {
    Verdict verdict = Verdict::kStale;
    ListScope scope = ListScope::kFull;
    std::uint64_t version = 0;
    std::vector<WorkerEntry> entries;
  };
  // `wall_offset` turns the list's unix times into the clock's: fixed for a process, so that a wall clock
  // that jumps does not make every worker look restarted.
  ApplyResult take(const Update& update, Duration wall_offset, bool cached = false);

  std::optional<std::uint64_t> version() const { return version_; }  // of the list held
  const Member* find(WorkerId id) const;
  const std::map<std::uint32_t, Member>& members() const { return members_; }
  // A list that only ever tells changes must not grow with those that left.
  void remove_gone(const std::function<bool(WorkerId)>& still_needed);
  Update snapshot() const;  // for the cache on disk

 private:
  std::uint16_t place(std::vector<std::string>& names, const std::string& name);

  std::vector<std::string> kinds_, zones_, cells_;
  std::map<std::uint32_t, Member> members_;  // gone ones stay for their address until forgotten
  std::int64_t epoch_ = 0;
  std::optional<std::uint64_t> version_;
  bool cached_ = false;
  std::uint64_t told_ = 0;  // the module's version: rises over all epochs
};

}  // namespace laureltide::members
