// HTTP/1.1 messages (RFC 9110, RFC 9112): their types, an incremental parser for requests and responses, and
// their serialization.
//
// The parser is strict where lenient parsers disagree about the end of a message, which allows request
// smuggling: Content-Length together with Transfer-Encoding, repeated or listed lengths, bare CR or LF, white
// space before a colon, folded lines (RFC 9112, 5.1, 5.2, 6.1, 6.3, 11.2). Each rejection carries the status
// to answer with. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laureltide::http {

// Header fields in the order received or added.
class Headers {
 public:
  void add(std::string name, std::string value) { all_.emplace_back(std::move(name), std::move(value)); }
  // The first field of that name. Names are case-insensitive (RFC 9110, 5.1).
  const std::string* find(std::string_view name) const;
  std::size_t count(std::string_view name) const;
  // Whether the comma-separated lists in the fields of that name contain the token, ignoring case.
  bool has_token(std::string_view name, std::string_view token) const;
  const std::vector<std::pair<std::string, std::string>>& all() const { return all_; }

 private:
  std::vector<std::pair<std::string, std::string>> all_;
};
bool equal_ignoring_case(std::string_view a, std::string_view b);  // for ASCII letters

struct Request {
  std::string method, target;  // the target as sent; see split_target()
  int minor = 1;               // of HTTP/1.x
  Headers headers;
  std::string body;
  bool keep_alive() const;  // RFC 9112, 9.3
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
  bool close = false;  // adds "Connection: close"
};
const char* reason_phrase(int status);

// Bounds of one message; each names the status of a request that exceeds it.
struct Limits {
  std::size_t max_target_bytes = 8U << 10;  // 414
  std::size_t max_head_bytes = 16U << 10;   // all lines before the body, and again the trailers: 431
  std::size_t max_header_lines = 100;       // 431
  std::size_t max_body_bytes = 8U << 20;    // 413
};

// Parses one message incrementally; reset() prepares for the next one.
class Parser {
 public:
  enum class Side { kRequest, kResponse };
  enum class State { kNeedMore, kDone, kInvalid };
  Parser(Side side, Limits limits) : side_(side), limits_(limits) {}

  // Consumes the bytes that belong to this message; `used` is set to their number.
  State feed(std::string_view bytes, std::size_t& used);
  // The peer has closed the connection: completes a response whose body ends with the connection.
  State end();

  // The head of the request is complete and the client waits for a 100 response before it sends the body
  // (RFC 9110, 10.1.1).
  bool expects_continue() const { return expects_continue_; }
  bool head_complete() const { return part_ >= Part::kLength; }
  bool started() const { return part_ != Part::kStart || !line_.empty(); }
  Request& request() { return request_; }
  int status() const { return status_; }  // of a response
  const Headers& headers() const { return request_.headers; }
  std::string& body() { return request_.body; }
  // In state kInvalid: the status for a server to answer with, and the reason.
  int error() const { return error_; }
  const std::string& why() const { return why_; }
  void reset() { *this = Parser(side_, limits_); }
  // A response to HEAD has no body, whatever its headers say (RFC 9112, 6.3).
  void expect_no_body() { no_body_ = true; }

 private:
  enum class Part { kStart, kHeaders, kLength, kChunkSize, kChunk, kChunkEnd, kTrailers, kUntilClose, kDone };
  State reject(int status, std::string why);
  bool read_line(std::string_view bytes, std::size_t& used, std::string& line);
  State on_line(const std::string& line);
  State on_request_line(const std::string& line);
  State on_status_line(const std::string& line);
  State on_header(const std::string& line, bool trailer);
  State on_head();
  State on_chunk_size(const std::string& line);

  Side side_;
  Limits limits_;
  Part part_ = Part::kStart;
  Request request_;
  int status_ = 0;
  std::string line_;
  std::size_t head_bytes_ = 0, header_lines_ = 0;
  std::uint64_t remaining_ = 0;
  bool expects_continue_ = false, no_body_ = false, failed_ = false;
  int error_ = 0;
  std::string why_;
};

// Appends the message to `out`. Adds Content-Length (not to 204 and 1xx responses).
void write(std::string& out, const Response& response, bool head_only = false);
void write(std::string& out, const Request& request);

// The percent-decoded path segments and the query. split_target() returns nothing if the target is not in
// origin form or is badly encoded.
struct Target {
  std::vector<std::string> path;
  std::string query;
};
std::optional<Target> split_target(std::string_view target);
std::string percent_encode(std::string_view text);

}  // namespace laureltide::http
