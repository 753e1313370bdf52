#include "http/message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace laureltide::http {
namespace {

constexpr std::size_t kMaxChunkExtensionBytes = 256;  // of one chunk; extensions are ignored

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

// RFC 9110, 5.6.2
bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}
// RFC 9110, 5.5: visible characters, space, tab and non-ASCII bytes.
bool is_field_value(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto u = static_cast<unsigned char>(c);
    return c == '\t' || (u >= 0x20 && u != 0x7f);
  });
}
std::string_view trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}
int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (lower(c) >= 'a' && lower(c) <= 'f') return lower(c) - 'a' + 10;
  return -1;
}

}  // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

const std::string* Headers::find(std::string_view name) const {
  const auto it =
      std::find_if(all_.begin(), all_.end(), [&](auto& h) { return equal_ignoring_case(h.first, name); });
  return it == all_.end() ? nullptr : &it->second;
}
std::size_t Headers::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(all_.begin(), all_.end(), [&](auto& h) { return equal_ignoring_case(h.first, name); }));
}
bool Headers::has_token(std::string_view name, std::string_view token) const {
  for (const auto& [n, value] : all_) {
    if (!equal_ignoring_case(n, name)) continue;
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      if (equal_ignoring_case(trimmed(rest.substr(0, comma)), token)) return true;
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

bool Request::keep_alive() const {
  if (headers.has_token("Connection", "close")) return false;
  return minor >= 1 || headers.has_token("Connection", "keep-alive");
}

const char* reason_phrase(int status) {
  switch (status) {
    case 100: return "Continue";
    case 200: return "OK";
    case 201: return "Created";
    case 202: return "Accepted";
    case 204: return "No Content";
    case 206: return "Partial Content";
    case 307: return "Temporary Redirect";
    case 400: return "Bad Request";
    case 401: return "Unauthorized";
    case 403: return "Forbidden";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 410: return "Gone";
    case 413: return "Content Too Large";
    case 414: return "URI Too Long";
    case 416: return "Range Not Satisfiable";
    case 417: return "Expectation Failed";
    case 422: return "Unprocessable Content";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 500: return "Internal Server Error";
    case 501: return "Not Implemented";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    case 507: return "Insufficient Storage";
    case 505: return "HTTP Version Not Supported";
    default: return "Unknown";
  }
}

Parser::State Parser::reject(int status, std::string why) {
  failed_ = true;
  error_ = status;
  why_ = std::move(why);
  return State::kInvalid;
}

// Reads one line, without its CRLF. Returns false if the line is incomplete or invalid; an invalid line is
// rejected as soon as its bytes show it.
bool Parser::read_line(std::string_view bytes, std::size_t& used, std::string& line) {
  const std::string_view rest = bytes.substr(used);
  const std::size_t end = rest.find('\n');
  const std::string_view piece = rest.substr(0, end == std::string_view::npos ? rest.size() : end + 1);
  used += piece.size();
  head_bytes_ += piece.size();
  line_ += piece;
  if (head_bytes_ > limits_.max_head_bytes + (part_ == Part::kStart ? limits_.max_target_bytes : 0)) {
    reject(part_ == Part::kStart ? 414 : 431,
           "the head is over " + std::to_string(limits_.max_head_bytes) + " bytes");
    return false;
  }
  if (const std::size_t cr = line_.find('\r');
      cr != std::string::npos && cr + 1 < line_.size() && line_[cr + 1] != '\n') {
    reject(400, "a bare CR");
    return false;
  }
  if (end == std::string_view::npos) return false;
  if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
    reject(400, "a line that ends in a bare LF");
    return false;
  }
  line = line_.substr(0, line_.size() - 2);
  line_.clear();
  return true;
}

Parser::State Parser::feed(std::string_view bytes, std::size_t& used) {
  used = 0;
  if (failed_) return State::kInvalid;
  std::string line;
  while (part_ != Part::kDone) {
    switch (part_) {
      case Part::kLength:
      case Part::kChunk:
      case Part::kUntilClose: {
        std::size_t n = bytes.size() - used;
        if (part_ != Part::kUntilClose) n = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, n));
        if (request_.body.size() + n > limits_.max_body_bytes)
          return reject(413, "the body is over " + std::to_string(limits_.max_body_bytes) + " bytes");
        request_.body.append(bytes.substr(used, n));
        used += n, remaining_ -= n;
        if (part_ == Part::kUntilClose || remaining_ > 0) return State::kNeedMore;
        part_ = part_ == Part::kLength ? Part::kDone : Part::kChunkEnd;
        break;
      }
      default:
        if (!read_line(bytes, used, line)) return failed_ ? State::kInvalid : State::kNeedMore;
        if (on_line(line) == State::kInvalid) return State::kInvalid;
    }
  }
  return State::kDone;
}

Parser::State Parser::end() {
  if (part_ == Part::kUntilClose) return part_ = Part::kDone, State::kDone;
  return part_ == Part::kDone ? State::kDone : State::kNeedMore;
}

Parser::State Parser::on_line(const std::string& line) {
  switch (part_) {
    case Part::kStart:
      if (line.empty()) {  // RFC 9112, 2.2: skips up to two empty lines before a request
        if (++header_lines_ > 2) return reject(400, "empty lines in place of a request");
        return State::kNeedMore;
      }
      header_lines_ = 0;
      return side_ == Side::kRequest ? on_request_line(line) : on_status_line(line);
    case Part::kHeaders: return line.empty() ? on_head() : on_header(line, false);
    case Part::kTrailers:
      if (!line.empty()) return on_header(line, true);
      part_ = Part::kDone;
      return State::kNeedMore;
    case Part::kChunkSize: return on_chunk_size(line);
    case Part::kChunkEnd:
      if (!line.empty()) return reject(400, "a chunk is longer than it said");
      part_ = Part::kChunkSize;
      return State::kNeedMore;
    default: return State::kNeedMore;
  }
}

Parser::State Parser::on_request_line(const std::string& line) {
  const std::size_t first = line.find(' '), last = line.rfind(' ');
  if (first == std::string::npos || first == last)
    return reject(400, "the request line is not: method target version");
  request_.method = line.substr(0, first);
  request_.target = line.substr(first + 1, last - first - 1);
  const std::string version = line.substr(last + 1);
  if (!is_token(request_.method)) return reject(400, "the method is no token");
  if (request_.target.size() > limits_.max_target_bytes)
    return reject(414, "the target is over " + std::to_string(limits_.max_target_bytes) + " bytes");
  if (request_.target.empty() || std::any_of(request_.target.begin(), request_.target.end(),
                                             [](char c) { return c <= 0x20 || c == 0x7f; }))
    return reject(400, "the target holds a space, control or non-ASCII character");
  if (version.size() != 8 || version.substr(0, 5) != "HTTP/" || version[6] != '.' ||
      hex_digit(version[5]) < 0 || hex_digit(version[7]) < 0 || version[5] > '9' || version[7] > '9')
    return reject(400, "the version is not HTTP/x.y");
  if (version[5] != '1') return reject(505, "versions other than 1.0 and 1.1 are not spoken");
  request_.minor = version[7] == '0' ? 0 : 1;
  part_ = Part::kHeaders;
  return State::kNeedMore;
}

Parser::State Parser::on_status_line(const std::string& line) {
  if (line.size() < 12 || line.substr(0, 7) != "HTTP/1." || line[8] != ' ')
    return reject(502, "no HTTP/1.x status line");
  const auto [end, error] = std::from_chars(line.data() + 9, line.data() + 12, status_);
  if (error != std::errc() || end != line.data() + 12 || status_ < 100 ||
      (line.size() > 12 && line[12] != ' '))
    return reject(502, "the status is no number of three digits");
  request_.minor = line[7] == '0' ? 0 : 1;
  part_ = Part::kHeaders;
  return State::kNeedMore;
}

Parser::State Parser::on_header(const std::string& line, bool trailer) {
  if (++header_lines_ > limits_.max_header_lines)
    return reject(431, "more than " + std::to_string(limits_.max_header_lines) + " header lines");
  if (line[0] == ' ' || line[0] == '\t') return reject(400, "a folded header line");  // RFC 9112, 5.2
  const std::size_t colon = line.find(':');
  if (colon == std::string::npos) return reject(400, "a header line without a colon");
  // This also rejects white space before the colon (RFC 9112, 5.1).
  if (!is_token(std::string_view(line).substr(0, colon))) return reject(400, "a header's name is no token");
  const std::string_view value = trimmed(std::string_view(line).substr(colon + 1));
  if (!is_field_value(value)) return reject(400, "a control character in a header's value");
  // Trailer fields are validated and discarded: too late to be of use here (RFC 9110, 6.5.1).
  if (!trailer) request_.headers.add(line.substr(0, colon), std::string(value));
  return State::kNeedMore;
}

Parser::State Parser::on_head() {
  const Headers& h = request_.headers;
  const std::string* length = h.find("Content-Length");
  const std::string* coding = h.find("Transfer-Encoding");
  head_bytes_ = 0, header_lines_ = 0;  // the trailers are counted anew
  if (side_ == Side::kRequest) {
    if (request_.minor >= 1 && h.count("Host") != 1)
      return reject(400, "one header Host is needed");  // 9112, 3.2
    if (h.count("Host") > 1) return reject(400, "one header Host is needed");
  }
  if (coding && length) return reject(400, "both Transfer-Encoding and Content-Length");  // 9112, 6.1
  if (h.count("Content-Length") > 1) return reject(400, "Content-Length is given twice");
  if (h.count("Transfer-Encoding") > 1) return reject(400, "Transfer-Encoding is given twice");
  if (side_ == Side::kResponse && (no_body_ || status_ < 200 || status_ == 204 || status_ == 304))
    return part_ = Part::kDone, State::kNeedMore;
  if (coding) {
    if (request_.minor == 0) return reject(400, "Transfer-Encoding in HTTP/1.0");
    if (!equal_ignoring_case(*coding, "chunked")) return reject(501, "a transfer coding other than chunked");
    part_ = Part::kChunkSize;
  } else if (length) {
    std::uint64_t n = 0;
    const auto [end, error] = std::from_chars(length->data(), length->data() + length->size(), n);
    if (length->empty() || end != length->data() + length->size() || (*length)[0] == '-' ||
        (*length)[0] == '+')
      return reject(400, "Content-Length is no number");
    if (error != std::errc() || n > limits_.max_body_bytes)
      return reject(413, "the body is over " + std::to_string(limits_.max_body_bytes) + " bytes");
    remaining_ = n;
    part_ = n > 0 ? Part::kLength : Part::kDone;
  } else {
    part_ = side_ == Side::kRequest ? Part::kDone : Part::kUntilClose;
  }
  if (const std::string* expect = h.find("Expect"); expect && side_ == Side::kRequest) {
    if (!equal_ignoring_case(*expect, "100-continue"))
      return reject(417, "an expectation other than 100-continue");
    expects_continue_ = part_ != Part::kDone && request_.minor >= 1;
  }
  return State::kNeedMore;
}

Parser::State Parser::on_chunk_size(const std::string& line) {
  std::size_t digits = 0;
  remaining_ = 0;
  while (digits < line.size() && hex_digit(line[digits]) >= 0) {
    if (digits >= 8) return reject(413, "a chunk of 4 GiB or more");
    remaining_ = remaining_ * 16 + static_cast<std::uint64_t>(hex_digit(line[digits++]));
  }
  if (digits == 0) return reject(400, "a chunk without a size");
  const std::string_view rest = trimmed(std::string_view(line).substr(digits));
  if (!rest.empty() && rest[0] != ';') return reject(400, "a chunk's size is no number");
  if (rest.size() > kMaxChunkExtensionBytes || !is_field_value(rest))
    return reject(400, "a chunk extension that cannot be");
  if (request_.body.size() + remaining_ > limits_.max_body_bytes)
    return reject(413, "the body is over " + std::to_string(limits_.max_body_bytes) + " bytes");
  head_bytes_ = 0;
  part_ = remaining_ > 0 ? Part::kChunk : Part::kTrailers;
  return State::kNeedMore;
}

void write(std::string& out, const Response& response, bool head_only) {
  out += "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) + "\r\n";
  for (const auto& [name, value] : response.headers.all()) out += name + ": " + value + "\r\n";
  const bool bodiless = response.status < 200 || response.status == 204;
  if (!bodiless) out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (response.close) out += "Connection: close\r\n";
  out += "\r\n";
  if (!bodiless && !head_only) out += response.body;
}

void write(std::string& out, const Request& request) {
  out += request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers.all()) out += name + ": " + value + "\r\n";
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  out += "\r\n";
  out += request.body;
}

std::optional<Target> split_target(std::string_view target) {
  if (target.empty() || target[0] != '/') return std::nullopt;
  Target out;
  if (const std::size_t mark = target.find('?'); mark != std::string_view::npos) {
    out.query = target.substr(mark + 1);
    target = target.substr(0, mark);
  }
  std::string segment;
  for (std::size_t i = 1; i <= target.size(); ++i) {
    if (i == target.size() || target[i] == '/') {
      out.path.push_back(std::exchange(segment, {}));
    } else if (target[i] == '%') {
      if (i + 2 >= target.size() || hex_digit(target[i + 1]) < 0 || hex_digit(target[i + 2]) < 0)
        return std::nullopt;
      segment.push_back(static_cast<char>(hex_digit(target[i + 1]) * 16 + hex_digit(target[i + 2])));
      i += 2;
    } else {
      segment.push_back(target[i]);
    }
  }
  return out;
}

std::string percent_encode(std::string_view text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const bool plain = (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
                       std::string_view("-._~").find(c) != std::string_view::npos;
    if (plain) {
      out.push_back(c);
    } else {
      const auto u = static_cast<unsigned char>(c);
      out += {'%', kDigits[u >> 4], kDigits[u & 15]};
    }
  }
  return out;
}

}  // namespace laureltide::http
