// Codec of the platform's binary frames between controllers and invokers. No I/O, no state.
//
//   magic:1 code:1 fields length:2 body length:4 id:8, then fields and body, then checksum:4
//
// Big-endian; the checksum is the CRC-32 (IEEE) of fields and body; fields are "name=value,name=value".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laureltide::platform {

inline constexpr std::uint8_t kControllerMagic = 76, kInvokerMagic = 108;
inline constexpr std::size_t kHeaderBytes = 16, kChecksumBytes = 4;
inline constexpr std::size_t kMaxFieldsBytes = 4096;     // an answer's fields take a few dozen bytes
inline constexpr std::size_t kMaxBodyBytes = 64U << 10;  // the platform sends at most 16 KiB

// Frame types: first the controller's, then the invoker's answers.
enum class Code : std::uint8_t {
  kCall = 65,
  kCancel = 66,
  kPing = 67,
  kStats = 68,
  kLoad = 69,
  kUnload = 71,
  kOk = 97,
  kMiss = 99,
  kFull = 100,
  kError = 101,
  kAlreadyOver = 102,  // the call was over before it started, so it never ran
  kHealthy = 103,
  kUnhealthy = 104,
};

// A parsed frame.
struct Frame {
  std::uint8_t code = 0;
  std::uint64_t id = 0;
  std::string_view fields, body;  // views into the bytes passed to parse()
};

struct ParseResult {
  enum class Kind { kFrame, kNeedMore, kBad } kind = Kind::kNeedMore;
  Frame frame;
  std::size_t size = 0;
  std::string_view why;             // of kBad
  std::optional<std::uint64_t> id;  // of a malformed frame whose header was readable
};
// Parses the first frame of `bytes`. A frame over the limits is kBad as soon as its header is read: nothing
// waits for, or allocates, an unchecked length given by the peer.
ParseResult parse(std::string_view bytes, std::uint8_t magic);
// Appends a frame to `out`.
void write(std::string& out, std::uint8_t magic, Code code, std::uint64_t id, std::string_view fields,
           std::string_view body);

// Returns the value of the first field with that name, if any.
std::optional<std::string_view> field(std::string_view fields, std::string_view name);

// Accepts exactly 16 lower-case hex digits, the platform's spelling of ids.
std::optional<std::uint64_t> parse_id(std::string_view text);
std::string id_text(std::uint64_t id);

}  // namespace laureltide::platform
