// HTTP/1.1 messages (RFC 9110, RFC 9112): what is read and written, and an incremental parser for either
// side.
//
// The parser is strict where leniency has led proxies and servers to disagree on where a message ends: both
// lengths at once, repeated or listed lengths, bare CR or LF, white space before a colon, folded lines (RFC
// 9112, 5.1, 5.2, 6.1, 6.3, 11.2). What it refuses comes with the status that says why. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laureltide::http {

class Headers {
 public:
  void add(std::string name, std::string value) { all_.emplace_back(std::move(name), std::move(value)); }
  // Names are compared without case (RFC 9110, 5.1). The first of the name.
  const std::string* find(std::string_view name) const;
  std::size_t count(std::string_view name) const;
  // Whether a comma-separated list of the name has the token, without case.
  bool has_token(std::string_view name, std::string_view token) const;
  const std::vector<std::pair<std::string, std::string>>& all() const { return all_; }

 private:
  std::vector<std::pair<std::string, std::string>> all_;
};
bool equal_ignoring_case(std::string_view a, std::string_view b);  // without case

struct Request {
  std::string method, target;  // the target as sent; see split_target
  int minor = 1;               // of HTTP/1.x
  Headers headers;
  std::string body;
  bool keep_alive() const;  // RFC 9112, 9.3
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
  bool close = false;
};
const char* reason_phrase(int status);

struct Limits {
  std::size_t max_target_bytes = 8U << 10;  // of the request target: 414
  std::size_t max_head_bytes = 16U << 10;   // of all lines before the body, and of trailers: 431
  std::size_t max_header_lines = 100;       // 431
  std::size_t max_body_bytes = 8U << 20;    // 413
};

class Parser {
 public:
  enum class Side { kRequest, kResponse };
  enum class State { kNeedMore, kDone, kInvalid };
  Parser(Side side, Limits limits) : side_(side), limits_(limits) {}

  // Consumes what belongs to this message; says in `used` how much that was.
  State feed(std::string_view bytes, std::size_t& used);
  // The peer has closed: whole only for a response whose body ends with the connection.
  State end();

  // Of a request, once its head is read and before its body: the peer waits for a word (RFC 9110, 10.1.1).
  bool expects_continue() const { return expects_continue_; }
  bool head_complete() const { return part_ >= Part::kLength; }
  bool started() const { return part_ != Part::kStart || !line_.empty(); }
  Request& request() { return request_; }
  int status() const { return status_; }  // of a response
  const Headers& headers() const { return request_.headers; }
  std::string& body() { return request_.body; }
  // Of kInvalid: what a server answers, and why.
  int error() const { return error_; }
  const std::string& why() const { return why_; }
  void reset() { *this = Parser(side_, limits_); }
  // A response to HEAD has no body whatever its headers say (RFC 9112, 6.3).
  void expect_no_body() { no_body_ = true; }

 private:
  enum class Part { kStart, kHeaders, kLength, kChunkSize, kChunk, kChunkEnd, kTrailers, kUntilClose, kDone };
  State bad(int status, std::string why);
  bool take_line(std::string_view bytes, std::size_t& used, std::string& line);
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
  std::uint64_t left_ = 0;
  bool expects_continue_ = false, no_body_ = false, failed_ = false;
  int error_ = 0;
  std::string why_;
};

// Writes the head and body; Content-Length is set here (none with 204 and 1xx).
void write(std::string& out, const Response& response, bool head_only = false);
void write(std::string& out, const Request& request);

// The path's segments, percent-decoded, and the query; nothing if the target is no origin form or badly
// encoded.
struct Target {
  std::vector<std::string> path;
  std::string query;
};
std::optional<Target> split_target(std::string_view target);
std::string percent_encode(std::string_view text);

}  // namespace laureltide::http
