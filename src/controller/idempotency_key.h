// Idempotency keys of the invoke API: deduplication and ownership, without I/O.
//
//   the key is                       | the same request       | another request
//   ---------------------------------+------------------------+-----------------
//   owned by another controller      | redirect (307)         | redirect (307)
//   open here                        | join: one answer for   | 422
//                                    | all waiting clients    |
//   answered served or failed        | the same answer        | 422
//   answered refused                 | run: it did not run    | run
//   recorded before a restart,       | as the ledger rules    | 422
//   without an answer                |                        |
//   unknown                          | run                    | run
//
// Rendezvous hashing over the controllers' numbers gives each key one owner in the fleet, so that a repeat
// sent to another controller still finds the first request's record, without shared state. Adding or removing
// a controller moves only the keys that it owns.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ledger/recovery.h"

namespace laureltide::controller {

// The id of a call in URLs: the owner's number, a dash, 32 hex digits.
std::string call_id(std::uint32_t owner, std::string_view digest);
// The owner's number in an id; nothing if the id is malformed.
std::optional<std::uint32_t> owner_of_id(std::string_view id);
// The number of the controller that owns the key.
std::uint32_t owner_of_key(std::string_view tenant, std::string_view key, std::uint32_t replicas);

// What to do with a request whose key is not open here.
struct KeyDecision {
  enum class Kind { kRun, kRunUntil, kAnswer, kFail, kMismatch } kind = Kind::kRun;
  std::int64_t until_ms = 0;
  std::string reason;
};
// Decides on a request whose call is not open here. `record`: null if the ledger has none.
KeyDecision decide_on_key(const ledger::Record* record, std::string_view digest, const ledger::Effect& effect,
                          std::int64_t now_ms);

// Parses the value of Idempotency-Key: a quoted string as in the IETF draft, or a bare text. Nothing if it is
// empty or malformed.
std::optional<std::string> parse_key(std::string_view header);

// Parses Prefer (RFC 7240): respond-async and wait. Unknown preferences are ignored.
struct Preferences {
  bool respond_async = false;
  std::optional<int> wait_s;
};
Preferences parse_prefer(std::string_view header);

}  // namespace laureltide::controller
