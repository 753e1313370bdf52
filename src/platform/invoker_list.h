// Converts the platform's membership events into worker list updates. No I/O.
//
// The platform names invokers by strings; the decision module and the core use numeric worker ids. A name
// gets an id when it first appears, and an id is never reused. A name that has left loses its id, so an
// invoker that returns under the same name counts as a new worker. So does one whose entry tells another
// address or start: calls, connections and estimates of the old process are not carried over.
//
// Events are changes, each based on the one before. A missing or unreadable event may have announced a drain,
// so it is not skipped: the owner requests all events again from the first one, which holds the full list
// (start_replay). During the replay the current list stays in force. It is replaced in one step once the
// replay has reached the last event seen before. Events that even the replay lacks are skipped there. An
// entry that can be read only in part counts as draining, so that no new work goes to an invoker whose state
// is uncertain.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "members/list.h"

namespace laureltide::platform {

// The platform's invokers as of the last event applied.
class InvokerList {
 public:
  static constexpr std::size_t kMaxMembers = 10'000;
  enum class Verdict {
    kApplied,
    kNoChange,  // already applied, or part of a replay that is not complete yet
    kGap,       // an earlier event is missing: the event is not applied
    kBad,       // unreadable: the event is not applied
  };
  // A worker whose state the event changed. `before` is absent if it was not listed.
  struct Change {
    std::string name;
    std::uint32_t id = 0;
    std::optional<WorkerState> before;
    WorkerState after = WorkerState::kReady;
  };
  struct ApplyResult {
    Verdict verdict = Verdict::kBad;
    members::Update update;       // if kApplied; at the end of a replay, the full list
    std::vector<Change> changes;  // if kApplied, for logging
    std::string why;              // if kBad; otherwise what could not be read, if anything
  };
  // Applies the event with this number, whose JSON is `data`. An event with the full list may follow a gap;
  // one with changes may not.
  ApplyResult take(std::uint64_t number, std::string_view data);
  // Announces that all events will be given again from the first, at least up to event `until`.
  void start_replay(std::uint64_t until);
  bool replaying() const { return replay_.has_value(); }

  std::uint64_t last() const { return last_event_; }     // the last event applied
  std::size_t names() const { return members_.size(); }  // number of invokers listed
  std::optional<std::uint32_t> worker_id_of(const std::string& name) const;

 private:
  using Members = std::map<std::string, members::Member>;  // keyed by name
  struct Replay {
    std::uint64_t until = 0, last = 0;
    Members members;
  };
  ApplyResult apply_replayed(std::uint64_t number, std::string_view data);
  void retire_displaced(members::Update& update);
  static std::vector<Change> changes(const Members& before, const Members& after);

  Members members_;
  std::uint32_t next_id_ = 1;
  std::uint32_t first_new_id_ = 1;  // ids from here on are new with the event that is being applied
  std::uint64_t last_event_ = 0;
  std::optional<Replay> replay_;
};

}  // namespace laureltide::platform
