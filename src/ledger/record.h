// What the ledger keeps of a call, and its bytes. No I/O.
//
// A record holds what the call needs after a crash: that it was accepted, each attempt (recorded before it is
// sent), which attempts provably never ran, the final answer, and whether the caller has received it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laureltide::ledger {

// State of an attempt. After a crash, kInFlight is handled like kMayHaveRun.
enum class AttemptState : std::uint8_t { kInFlight = 0, kMayHaveRun = 1, kNeverRan = 2 };

struct Attempt {
  std::uint32_t worker = 0;
  std::int64_t sent_ms = 0;  // wall clock, like all times here, so that a later process can use it
  AttemptState state = AttemptState::kInFlight;
  bool operator==(const Attempt&) const = default;
};

struct Answer {
  enum class Kind : std::uint8_t { kServed = 0, kRefused = 1, kFailed = 2 } kind = Kind::kFailed;
  std::string reason, body;
  std::int64_t retry_after_ms = 0;
  std::int64_t at_ms = 0;
  bool operator==(const Answer&) const = default;
};

// Destination of an answer whose message was acknowledged early: an AMQP queue and a correlation id.
struct ReplyTo {
  std::string to, correlation;
  bool operator==(const ReplyTo&) const = default;
};

struct Record {
  std::string function, tenant, key;
  std::string digest;  // of the call's content: the same name with another digest is another call
  std::int64_t taken_ms = 0, give_up_ms = 0;
  bool owed = false;  // acknowledged before its answer: only this gateway can still answer it
  std::string body;   // of an owed call: what is needed to run it again
  std::vector<ReplyTo> replies;
  std::string callback;  // HTTP: the URL to which the answer is posted
  std::vector<Attempt> attempts;
  std::optional<Answer> answer;
  bool delivered = false;
  std::int64_t keep_until_ms = 0;  // once answered: when the record expires; 0: as configured
  bool operator==(const Record&) const = default;

  // The first attempt that may have run.
  const Attempt* may_have_run() const;
  std::size_t size() const;  // approximate size in bytes
};

// A serialized record begins with its layout version and ends with a checksum of all preceding bytes. Later
// minor versions may append fields, which are ignored.
constexpr std::uint8_t kRecordLayout = 1;
std::string write_record(const Record& record);
void write_record(std::string& out, const Record& record);  // replaces the contents of `out`
// Checks the layout version and the checksum only, which is cheaper than parsing.
bool check_record(std::string_view bytes, std::string& why);
// Returns nothing, and sets `why`, if the bytes are damaged or of a newer layout.
std::optional<Record> parse_record(std::string_view bytes, std::string& why);

// Joins the names of a front and a call to a key, and splits it. A front's name contains no zero byte.
std::string key_of(std::string_view front, std::string_view name);
std::pair<std::string, std::string> split_key(std::string_view key);

// 128-bit XXH3 digest over the lengths and bytes of the parts, which may contain any bytes.
std::string digest_of(std::initializer_list<std::string_view> parts);

// Validates an entry of the ledger's store; see store::Check.
std::string check_entry(std::string_view key, std::string_view value);

}  // namespace laureltide::ledger
