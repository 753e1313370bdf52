// What a named request of the invoke API means: the decisions around Idempotency-Key and ownership, without
// I/O.
//
//   the key is                       | the same request       | another request
//   ---------------------------------+------------------------+-----------------
//   of another controller            | go there (307)         | go there (307)
//   open here                        | join: one answer for   | 422
//                                    | all that wait          |
//   answered served or failed        | the same answer        | 422
//   answered refused                 | run: it did not run    | run
//   recorded by an earlier life,     | as the ledger rules    | 422
//   without an answer                |                        |
//   unknown                          | run                    | run
//
// A key belongs to one controller of the fleet, by rendezvous hashing over their numbers, so that a repeat
// that comes in elsewhere finds the first one's record, and nothing has to be shared. With a controller added
// or taken away only the keys that move with it change their owner.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ledger/recovery.h"

namespace laureltide::controller {

// Ids of calls in URLs: the owner's number, a dash, 32 hex digits.
std::string call_id(std::uint32_t owner, std::string_view digest);
// The number in an id; nothing if it is no id of ours.
std::optional<std::uint32_t> owner_of_id(std::string_view id);
std::uint32_t owner_of_key(std::string_view tenant, std::string_view key, std::uint32_t replicas);

struct Claim {
  enum class Kind { kRun, kRunUntil, kAnswer, kFail, kMismatch } kind = Kind::kRun;
  std::int64_t until_ms = 0;
  std::string reason;
};
// A request names a call that is not open here. `record`: null if the ledger has none.
Claim claim(const ledger::Record* record, std::string_view digest, const ledger::Effect& effect,
            std::int64_t now_ms);

// The value of Idempotency-Key: a quoted string as the draft has it, or bare. Nothing if it is neither, or
// empty.
std::optional<std::string> parse_key(std::string_view header);

// Prefer (RFC 7240): respond-async and wait. Unknown preferences are passed over.
struct Preferences {
  bool respond_async = false;
  std::optional<int> wait_s;
};
Preferences parse_prefer(std::string_view header);

}  // namespace laureltide::controller
