// The platform's binary frames between controllers and invokers, as bytes. No I/O, no state.
//
//   mark:1 code:1 fields:2 body:4 id:8, then that many bytes of fields and of body, then check:4
//
// Big-endian; the check is the CRC-32 (IEEE) of fields and body; fields are "name=value,name=value".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laureltide::platform {

inline constexpr std::uint8_t kControllerMagic = 76, kInvokerMagic = 108;
inline constexpr std::size_t kHeaderBytes = 16, kChecksumBytes = 4;
inline constexpr std::size_t kMostFields = 4096;         // an answer's are some dozens of bytes
inline constexpr std::size_t kMaxBodyBytes = 64U << 10;  // bodies hold 16 KiB at most; with room to spare

enum class Code : std::uint8_t {
  kCall = 65,
  kGiveUp = 66,
  kPing = 67,
  kStats = 68,
  kLoad = 69,
  kUnload = 71,
  kOk = 97,
  kMiss = 99,
  kFull = 100,
  kError = 101,
  kOver = 102,
  kHealthy = 103,
  kUnhealthy = 104,
};

struct Frame {
  std::uint8_t code = 0;
  std::uint64_t id = 0;
  std::string_view fields, body;  // point into the bytes given
};

struct ParseResult {
  enum class Kind { kFrame, kNeedMore, kBad } kind = Kind::kNeedMore;
  Frame frame;
  std::size_t size = 0;
  std::string_view why;             // of what is bad
  std::optional<std::uint64_t> id;  // of a bad frame whose head could be read
};
// The first frame of `bytes`. What no frame may be is bad as soon as its head shows it: nothing waits for, or
// is sized from, a length that a peer names.
ParseResult parse(std::string_view bytes, std::uint8_t mark);
void write(std::string& out, std::uint8_t mark, Code code, std::uint64_t id, std::string_view fields,
           std::string_view body);

// The value of the first field of that name; absent where there is none.
std::optional<std::string_view> field(std::string_view fields, std::string_view name);

// 16 hex digits, in lower case as all that the platform writes; nothing on anything else.
std::optional<std::uint64_t> parse_id(std::string_view text);
std::string id_text(std::uint64_t id);

}  // namespace laureltide::platform
