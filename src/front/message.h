// Encodes and decodes the messages of the platform's clients: framed Thrift in the strict binary protocol. No
// I/O, no state. libthrift does the protocol layer; front::Server does framing and sequence numbers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace laureltide::front {

inline constexpr std::size_t kMaxBodyBytes = 16U << 10;
// A frame holds a body and a few dozen short fields; longer frames are rejected.
inline constexpr std::size_t kMaxFrameBytes = kMaxBodyBytes + (16U << 10);

using Fields = std::map<std::string, std::string>;

struct Request {
  enum class Method { kCall, kCancel, kHealth } method = Method::kCall;
  std::int32_t number = 0;  // the sequence number
  Fields fields;            // of a call
  std::string body;         // of a call
  std::int32_t cancelled = 0;
};

struct Parsed {
  enum class Kind {
    kRequest,
    kInvalid,  // a complete message but no valid request: reply to `request.number` with `why`
    kBad,      // the message header cannot be parsed
  } kind = Kind::kBad;
  Request request;
  std::string why;
  bool unknown_method = false;
};
// Parses a frame without its length prefix. Never throws.
Parsed parse(std::string_view frame);

struct Reply {
  enum class Kind {
    kServed,     // an Answer with good = true
    kRefused,    // a Backoff: safe to retry
    kFailed,     // a Lost
    kException,  // an application exception with `text`
  } kind = Kind::kFailed;
  Fields fields;
  std::string body;  // kServed
  std::string text;  // kException
  bool unknown_method = false;
};
// Appends a complete frame, including its length prefix.
void write_reply(std::string& out, std::int32_t number, const Reply& reply);
void write_health(std::string& out, std::int32_t number, bool good);

}  // namespace laureltide::front
