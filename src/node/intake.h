// Converts a client's fields into a call for the core, or explains why they are not a valid call. No I/O, no
// state.
//
// Every field is validated here, before any of it reaches the decision module or an invoker. Fields are
// forwarded to invokers as comma-separated `name=value` pairs, so a comma in a value would inject another
// pair.
#pragma once

#include <string>

#include "controller/core.h"
#include "front/message.h"

namespace laureltide::node {

struct ParsedCall {
  std::optional<controller::Call> call;
  std::uint64_t id = 0;
  std::string error;  // the invalid field and what was expected
};
ParsedCall parse_call(const front::Fields& fields, std::string body, const config::Settings& settings);

// Converts the core's answer into the reply to the client. `send_retry_after`: the settings allow telling
// clients when to retry.
front::Reply to_reply(controller::Answer answer, bool send_retry_after, Duration max_retry_after);

}  // namespace laureltide::node
