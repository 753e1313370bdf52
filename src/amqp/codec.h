// Parses and writes AMQP 0-9-1 frames, methods and content headers (2.3.5, 4.2). Stateless. Section numbers
// refer to the AMQP 0-9-1 specification.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "amqp/methods.h"

namespace laureltide::amqp {

inline constexpr std::string_view kProtocolHeader{"AMQP\x00\x00\x09\x01", 8};
inline constexpr std::uint32_t kMinFrameMax = 4096;  // 4.2.3: every peer must accept frames of this size
inline constexpr std::size_t kFrameOverhead = 8;     // 7 bytes of header and the frame-end octet

enum class FrameType : std::uint8_t { kMethod = 1, kHeader = 2, kBody = 3, kHeartbeat = 8 };

// Reply codes of section 1.2 that this project uses.
enum class ReplyCode : std::uint16_t {
  kSuccess = 200,
  kContentTooLarge = 311,
  kNoRoute = 312,
  kNoConsumers = 313,
  kConnectionForced = 320,
  kInvalidPath = 402,
  kAccessRefused = 403,
  kNotFound = 404,
  kResourceLocked = 405,
  kPreconditionFailed = 406,
  kFrameError = 501,
  kSyntaxError = 502,
  kCommandInvalid = 503,
  kChannelError = 504,
  kUnexpectedFrame = 505,
  kResourceError = 506,
  kNotAllowed = 530,
  kNotImplemented = 540,
  kInternalError = 541,
};

struct Frame {
  FrameType type = FrameType::kMethod;
  std::uint16_t channel = 0;
  std::string_view payload;  // points into the parsed bytes
};

struct FrameResult {
  enum class Kind { kFrame, kNeedMore, kInvalid } kind = Kind::kNeedMore;
  Frame frame;
  std::size_t size = 0;  // of the whole frame, for kFrame
  std::string_view why;  // for kInvalid, whose reply code is always 501
};

// Parses the first frame of `bytes`. A frame over `frame_max` (0: no limit) is invalid as soon as its header
// is there.
FrameResult parse_frame(std::string_view bytes, std::uint32_t frame_max);
void write_frame(std::string& out, FrameType type, std::uint16_t channel, std::string_view payload);

struct MethodResult {
  std::optional<Method> method;
  ReplyCode code = ReplyCode::kSuccess;  // if there is no method: 540 unknown, 502 malformed
  std::uint16_t class_id = 0, method_id = 0;
};
MethodResult parse_method(std::string_view payload);
void write_method(std::string& out, std::uint16_t channel, const Method& method);
const char* name_of(const Method& method);  // "basic.publish"

// The properties of class basic (1.8.2).
struct Properties {
  std::optional<std::string> content_type, content_encoding;
  std::optional<Table> headers;
  std::optional<std::uint8_t> delivery_mode, priority;
  std::optional<std::string> correlation_id, reply_to, expiration, message_id;
  std::optional<std::uint64_t> timestamp;
  std::optional<std::string> type, user_id, app_id, cluster_id;
  bool operator==(const Properties&) const = default;
};

struct ContentHeader {
  std::uint16_t class_id = 60;  // basic
  std::uint64_t body_size = 0;
  Properties properties;
};
std::optional<ContentHeader> parse_content_header(std::string_view payload);
void write_content_header(std::string& out, std::uint16_t channel, const ContentHeader& header);

struct Content {
  Properties properties;
  std::string body;
  std::uint64_t body_size = 0;  // as sent; more than body.size() if the receiver has truncated the body
};

// Writes the method, its content header and its body, split into frames of at most `frame_max` bytes.
void write_content(std::string& out, std::uint16_t channel, const Method& method,
                   const Properties& properties, std::string_view body, std::uint32_t frame_max);

}  // namespace laureltide::amqp
