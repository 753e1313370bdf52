// The platform's events to what the project knows as a list of workers. No I/O.
//
// Invokers are named by words; the module and the core know numbers. A number is given to a name when it is
// first told, and never to another one. When the name has left, the two part: an invoker that comes back
// under its name has started anew.
//
// Events are changes, each building on the one before. One that is missing or that cannot be read may have
// told a drain, so it is not passed over: the holder asks for all events again, from the first, which holds
// the whole list (rebuild). While they come, the list held stays in force; it is replaced in one step, when
// the replay has come as far as was told before. What even the replay lacks is passed over there. An entry
// that can be read in part only counts as leaving: nothing new goes where nobody knows what was told.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "members/list.h"

namespace laureltide::platform {

class InvokerList {
 public:
  static constexpr std::size_t kMostMembers = 10'000;
  enum class Verdict {
    kApplied,
    kOld,  // told before, or part of a replay that is not whole yet
    kGap,  // an earlier one is missing: nothing of it counts
    kBad,  // unreadable: nothing of it counts
  };
  // A worker whose state another event has changed. Absent: it was not listed.
  struct Change {
    std::string name;
    std::uint32_t id = 0;
    std::optional<WorkerState> before;
    WorkerState after = WorkerState::kReady;
  };
  struct ApplyResult {
    Verdict verdict = Verdict::kBad;
    members::Update update;       // when taken; at the end of a replay the list in full
    std::vector<Change> changes;  // when taken, for logs
    std::string why;              // when bad; else what of it could not be read, if anything
  };
  // `data` is an event's JSON. An event of a list in full may come after a gap, changes may not.
  ApplyResult take(std::uint64_t number, std::string_view data);
  // All events are going to be told again from the first, as far as `goal` at least.
  void start_replay(std::uint64_t goal);
  bool replaying() const { return rebuild_.has_value(); }

  std::uint64_t last() const { return last_; }  // of the list held
  std::size_t names() const { return held_.size(); }
  std::optional<std::uint32_t> worker_id_of(const std::string& name) const;

 private:
  using Members = std::map<std::string, members::Member>;  // by name
  struct Rebuild {
    std::uint64_t goal = 0, last = 0;
    Members members;
  };
  ApplyResult replay(std::uint64_t number, std::string_view data);
  static std::vector<Change> changes(const Members& before, const Members& after);

  Members held_;
  std::uint32_t next_ = 1;
  std::uint64_t last_ = 0;
  std::optional<Rebuild> rebuild_;
};

}  // namespace laureltide::platform
