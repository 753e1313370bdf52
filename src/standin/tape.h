// The recording of a scripted day: what a stand-in or a client saw on its sockets. It is the only input of
// the checker.
#pragma once

#include <nlohmann/json.hpp>

#include "laureltide/dispatcher.h"

namespace laureltide::standin {

// Receives the records of one program.
class Tape {
 public:
  virtual ~Tape() = default;
  // `at` is the machine's steady clock, which all programs of a day share. `fields` is a JSON object.
  virtual void note(Time at, const char* what, nlohmann::json fields) = 0;
};

// Discards all records.
class NoTape : public Tape {
 public:
  void note(Time, const char*, nlohmann::json) override {}
};

}  // namespace laureltide::standin
