// The worker protocol, LTWP/1: what a controller and a worker say to each other, as bytes. No I/O, no state.
// docs/worker-protocol.md tells it byte by byte; this header follows the page's sections.
//
// A frame is a u32 length of what follows, a u8 type, and the type's fields, big-endian; texts are
// u16-counted.
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
inline constexpr std::uint32_t kHelloMaxFrame = 1024;  // before the peer's hello: garbage cannot make us wait
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

// What became of a call, as the worker says. Full and miss say that it never ran here and never will.
enum class AnswerKind : std::uint8_t { kOk = 1, kError, kFull, kMiss, kCancelled };
enum class FoundKind : std::uint8_t { kNotReported = 0, kLoaded, kBeganLoad, kAwaitedLoad, kLoadFailed };
// What became of a hold order: held, or no room, or a load failed.
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
  std::vector<std::pair<std::uint8_t, float>> values;  // fields this version does not know are passed over
  bool operator==(const Report&) const = default;
};

struct Hello {
  std::uint8_t major = kMajor, minor = kMinor;
  std::uint32_t max_frame = kDefaultMaxFrame;  // the largest frame that the sender takes
  std::uint32_t id = 0;                        // controller's number, or the worker's id in the list
  std::int64_t started_unix_ms = 0;            // of the sender's process
  std::string name;
};
struct Call {
  std::uint64_t id = 0;                     // rises by one with each call of a connection, from 1
  std::uint32_t patience_ms = 0;            // how long an answer is still of use, from arrival
  std::uint8_t attempt = 0;                 // of this call by this controller
  std::string function, name, key, tenant;  // key empty: not keyed
  std::string body;
  std::string request_class = {};  // not said in LTWP, whose workers know it from the function
};
struct Cancel {
  std::uint64_t id = 0;
};
struct Answer {
  std::uint64_t id = 0;
  AnswerKind kind = AnswerKind::kOk;
  FoundKind found = FoundKind::kNotReported;
  std::uint8_t others_in_flight =
      kOthersNotReported;  // calls of the function that were here when this one came
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
};  // calls above it were not taken, and never will be
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
// The first message of `bytes`; a frame longer than `max_frame` is bad as soon as its length shows it.
ParseResult parse(std::string_view bytes, std::uint32_t max_frame);
void write(std::string& out, const Message& message);
// A call whose body is written straight behind its fields.
void write_call(std::string& out, const Call& fields, std::string_view body);

}  // namespace laureltide::worker
