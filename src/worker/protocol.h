// The worker protocol, LTWP/1: encodes and decodes the messages between controller and worker. No I/O, no
// state. docs/worker-protocol.md specifies every byte; this header follows the page's sections.
//
// A frame is a u32 length of what follows, a u8 type, and the type's fields, big-endian; strings
// have a u16 length prefix.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/bytes.h"

namespace laureltide::worker {

inline constexpr std::uint32_t kMagic = 0x4c545750;  // "LTWP"
inline constexpr std::uint8_t kMajor = 1, kMinor = 0;
inline constexpr std::uint32_t kDefaultMaxFrame = 9U << 20;
inline constexpr std::uint32_t kHelloMaxFrame =
    1024;  // before the peer's hello, so that garbage is detected early
inline constexpr std::uint8_t kOthersNotReported = 255;

enum class FrameType : std::uint8_t {
  kHello = 1,
  kCall,
  kCancel,
  kAnswer,
  kPiece,
  kHold,
  kHeld,
  kRelease,
  kProbe,
  kProbed,
  kDrain,
  kError
};

// The result of a call as reported by the worker. After kFull and kMiss it never ran there and never will.
enum class AnswerKind : std::uint8_t { kOk = 1, kError, kFull, kMiss, kCancelled };
enum class FoundKind : std::uint8_t { kNotReported = 0, kLoaded, kBeganLoad, kAwaitedLoad, kLoadFailed };
// The result of a hold order: held, no room, or a load failed.
enum class HeldKind : std::uint8_t { kOk = 1, kFull, kLoadFailed };

enum class ReportField : std::uint8_t {
  kInProgress = 1,
  kWaiting,
  kBusyCores,
  kRunMs,
  kServedPerS,
  kErrorsPerS,
  kMemoryInUse,
  kLoads
};
struct Report {
  std::vector<std::pair<std::uint8_t, float>> values;  // unknown fields are ignored
  bool operator==(const Report&) const = default;
};

struct Hello {
  std::uint8_t major = kMajor, minor = kMinor;
  std::uint32_t max_frame = kDefaultMaxFrame;  // the largest frame that the sender accepts
  std::uint32_t id = 0;                        // controller's number, or the worker's id in the list
  std::int64_t started_unix_ms = 0;            // start time of the sender's process
  std::string name;
};
struct Call {
  std::uint64_t id = 0;                     // counts the calls of a connection, from 1
  std::uint32_t patience_ms = 0;            // time left to answer, counted from arrival
  std::uint8_t attempt = 0;                 // number of this attempt at this controller
  std::string function, name, key, tenant;  // an empty key: no deduplication
  std::string body;
  std::string request_class = {};  // not sent in LTWP: workers derive it from the function
};
struct Cancel {
  std::uint64_t id = 0;
};
struct Answer {
  std::uint64_t id = 0;
  AnswerKind kind = AnswerKind::kOk;
  FoundKind found = FoundKind::kNotReported;
  std::uint8_t others_in_flight = kOthersNotReported;  // calls of the function in flight on arrival
  Report report;
  std::string reason;
  std::string body;
};
struct Piece {
  std::uint64_t id = 0;
  std::string body;
};
struct Hold {
  std::uint64_t order = 0;
  std::uint8_t instances = 0;
  std::string function;
};
struct Held {
  std::uint64_t order = 0;
  HeldKind kind = HeldKind::kOk;
  std::uint8_t instances = 0;
};
struct Release {
  std::string function;
};
struct Probe {
  std::uint64_t id = 0;
};
struct Probed {
  std::uint64_t id = 0;
  Report report;
};
struct Drain {
  std::uint64_t last_taken = 0;
};  // later calls were not taken and never will be
struct Error {
  std::uint16_t code = 0;
  std::string text;
};
enum ErrorCode : std::uint16_t { kBadFrame = 1, kTooLarge = 2, kVersion = 3, kUnexpected = 4 };

using Message =
    std::variant<Hello, Call, Cancel, Answer, Piece, Hold, Held, Release, Probe, Probed, Drain, Error>;

struct ParseResult {
  enum class Kind { kMessage, kNeedMore, kBad } kind = Kind::kNeedMore;
  Message message;
  std::size_t size = 0;
  ErrorCode code = kBadFrame;
  std::string_view why;
};
// Parses the first message of `bytes`. A frame longer than `max_frame` is rejected as soon as its length is
// known.
ParseResult parse(std::string_view bytes, std::uint32_t max_frame);
void write(std::string& out, const Message& message);
// Writes a call with `body` instead of `fields.body`, which saves a copy.
void write_call(std::string& out, const Call& fields, std::string_view body);

}  // namespace laureltide::worker
