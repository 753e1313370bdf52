// A client's fields to a call of the core, or why they cannot be one. No I/O, no state.
//
// Every field is checked here, before anything of it can reach the module or an invoker: what passes on to
// an invoker is a text of `name=value` pairs, where a comma in a value would be another pair.
#pragma once

#include <string>

#include "controller/core.h"
#include "front/message.h"

namespace laureltide::node {

struct ParsedCall {
  std::optional<controller::Call> call;
  std::uint64_t id = 0;
  std::string why;  // what, and what was expected
};
ParsedCall parse_call(const front::Fields& fields, std::string body, const config::Settings& settings);

// The core's answer as the client's reply. `advise`: the settings let clients be told when to come back.
front::Reply to_reply(controller::Answer answer, bool advise, Duration most_advice);

}  // namespace laureltide::node
