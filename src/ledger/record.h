// What the ledger keeps of a call, and its bytes. No I/O.
//
// A record is written for what its call may still need after a crash: that it was taken, each attempt before
// its bytes leave, what attempts are proven never to have run, the final answer, and whether the caller has
// it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laureltide::ledger {

// Of an attempt. kInFlight is what a crash leaves behind, and means the same as kMayHaveRun.
enum class AttemptState : std::uint8_t { kInFlight = 0, kMayHaveRun = 1, kNeverRan = 2 };

struct Attempt {
  std::uint32_t worker = 0;
  std::int64_t sent_ms = 0;  // wall clock, as are all times here: they must mean something to the next life
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

// Where an answer goes when no message of the broker's waits for it: an AMQP queue and its correlation id.
struct ReplyTo {
  std::string to, correlation;
  bool operator==(const ReplyTo&) const = default;
};

struct Record {
  std::string function, tenant, key;
  std::string digest;  // of what was asked for: the same name with another digest is another request
  std::int64_t taken_ms = 0, give_up_ms = 0;
  bool owed = false;  // nobody will bring this call again: this gateway alone can answer it
  std::string body;   // of an owed call: what is needed to run it
  std::vector<ReplyTo> replies;
  std::string callback;  // HTTP: where the answer is posted
  std::vector<Attempt> attempts;
  std::optional<Answer> answer;
  bool delivered = false;
  std::int64_t keep_until_ms = 0;  // once answered: how long the answer is kept; 0: as the settings say
  bool operator==(const Record&) const = default;

  // The first attempt that may have run.
  const Attempt* may_have_run() const;
  std::size_t size() const;  // bytes, about
};

// A record's bytes begin with the version of their layout and end with a checksum of all before it. Later
// minor versions may add fields at the end, which are passed over.
constexpr std::uint8_t kRecordLayout = 1;
std::string write_record(const Record& record);
void write_record(std::string& out, const Record& record);  // in place of what `out` held
// Nothing, with `why`, on bytes that are damaged or of a later layout.
// Whether the bytes are whole and of a layout that can be read, by their checksum alone: cheaper than reading
// them.
bool check_record(std::string_view bytes, std::string& why);
std::optional<Record> parse_record(std::string_view bytes, std::string& why);

// "front / call" as one key, and back. A front's name holds no zero byte.
std::string key_of(std::string_view front, std::string_view name);
std::pair<std::string, std::string> split_key(std::string_view key);

// A digest of the parts, which may hold any bytes: 128 bits of XXH3 over their lengths and bytes.
std::string digest_of(std::initializer_list<std::string_view> parts);

// The ledger's check of an entry of its store (store::Check).
std::string check_entry(std::string_view key, std::string_view value);

}  // namespace laureltide::ledger
