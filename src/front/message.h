// Messages of the platform's clients: Thrift, strict binary protocol, framed. Bytes to messages and back; no
// I/O, no state. The protocol layer is libthrift's; framing and sequence numbers belong to front::Server.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace laureltide::front {

inline constexpr std::size_t kMaxBodyBytes = 16U << 10;
// A frame holds a body and some dozens of short fields: what is longer is none.
inline constexpr std::size_t kMaxFrameBytes = kMaxBodyBytes + (16U << 10);

using Fields = std::map<std::string, std::string>;

struct Request {
  enum class Verb { kCall, kCancel, kHealth } verb = Verb::kCall;
  std::int32_t number = 0;  // the sequence number
  Fields fields;            // of a call
  std::string body;         // of a call
  std::int32_t cancelled = 0;
};

struct Parsed {
  enum class Kind {
    kRequest,
    kInvalid,  // a whole message that is no request of ours: `request.number` is to be told `why`
    kBad,      // nothing of it can be relied on
  } kind = Kind::kBad;
  Request request;
  std::string why;
  bool unknown_method = false;
};
// `frame` is what is behind a frame's length. Never throws.
Parsed parse(std::string_view frame);

struct Reply {
  enum class Kind {
    kServed,     // Answer, good
    kRefused,    // Backoff: trying again is harmless
    kFailed,     // Lost
    kException,  // an application exception with `text`
  } kind = Kind::kFailed;
  Fields fields;
  std::string body;  // kServed
  std::string text;  // kException
  bool unknown_method = false;
};
// Appends a whole frame, its length included.
void write_reply(std::string& out, std::int32_t number, const Reply& reply);
void write_health(std::string& out, std::int32_t number, bool good);

}  // namespace laureltide::front
