// The platform's events to what the project knows as a list of workers. No I/O.
//
// Invokers are named by words; the module and the core know numbers. A number is given to a name when it is
// first told, and never to another one. When the name has left, the two part: an invoker that comes back
// under its name has started anew.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "members/list.h"

namespace laureltide::platform {

class Roster {
 public:
  static constexpr std::size_t kMostMembers = 10'000;
  enum class Verdict { kTaken, kOld, kGap, kBad };
  struct Taken {
    Verdict verdict = Verdict::kBad;
    members::Update update;  // when taken
    std::string why;         // when bad
  };
  // `data` is an event's JSON. An event of a list in full may come after a gap, changes may not.
  Taken take(std::uint64_t number, std::string_view data);
  // A gap that the bus itself does not fill on being asked again is stepped over.
  void step_over(std::uint64_t number) { last_ = number - 1; }

  std::uint64_t last() const { return last_; }
  std::size_t names() const { return numbers_.size(); }
  std::optional<std::uint32_t> number_of(const std::string& name) const;

 private:
  std::map<std::string, std::uint32_t> numbers_;
  std::uint32_t next_ = 1;
  std::uint64_t last_ = 0;
};

}  // namespace laureltide::platform
