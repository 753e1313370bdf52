#include "platform/frame.h"

#include <zlib.h>

#include "base/bytes.h"

namespace laureltide::platform {
namespace {

std::uint32_t checksum_of(std::string_view fields, std::string_view body) {
  const auto sum = [](uLong from, std::string_view bytes) {
    return crc32_z(from, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
  };
  uLong crc = crc32_z(0, nullptr, 0);
  if (!fields.empty()) crc = sum(crc, fields);
  if (!body.empty()) crc = sum(crc, body);
  return static_cast<std::uint32_t>(crc);
}

}  // namespace

ParseResult parse(std::string_view bytes, std::uint8_t magic) {
  ParseResult result;
  const auto bad = [&](std::string_view why) {
    result.kind = ParseResult::Kind::kBad, result.why = why;
    return result;
  };
  if (bytes.empty()) return result;
  if (static_cast<std::uint8_t>(bytes[0]) != magic) return bad("another mark than the peer's");
  if (bytes.size() < kHeaderBytes) return result;
  Reader in(bytes);
  in.u8();
  result.frame.code = in.u8();
  const std::size_t fields = in.u16();
  const std::size_t body = in.u32();
  result.frame.id = in.u64();
  result.id = result.frame.id;
  if (fields > kMaxFieldsBytes) return bad("more fields than any frame has");
  if (body > kMaxBodyBytes) return bad("a body longer than any frame has");
  if (bytes.size() < kHeaderBytes + fields + body + kChecksumBytes) return result;
  result.frame.fields = in.take(fields);
  result.frame.body = in.take(body);
  if (in.u32() != checksum_of(result.frame.fields, result.frame.body)) return bad("the check does not fit");
  result.kind = ParseResult::Kind::kFrame;
  result.size = kHeaderBytes + fields + body + kChecksumBytes;
  return result;
}

void write(std::string& out, std::uint8_t magic, Code code, std::uint64_t id, std::string_view fields,
           std::string_view body) {
  Writer w(out);
  w.u8(magic);
  w.u8(static_cast<std::uint8_t>(code));
  w.u16(static_cast<std::uint16_t>(fields.size()));
  w.u32(static_cast<std::uint32_t>(body.size()));
  w.u64(id);
  w.bytes(fields);
  w.bytes(body);
  w.u32(checksum_of(fields, body));
}

std::optional<std::string_view> field(std::string_view fields, std::string_view name) {
  while (!fields.empty()) {
    const std::size_t comma = fields.find(',');
    const std::string_view pair = fields.substr(0, comma);
    fields = comma == std::string_view::npos ? std::string_view{} : fields.substr(comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) return pair.substr(equals + 1);
  }
  return std::nullopt;
}

std::optional<std::uint64_t> parse_id(std::string_view text) {
  if (text.size() != 16) return std::nullopt;
  std::uint64_t id = 0;
  for (const char c : text) {
    const bool digit = c >= '0' && c <= '9';
    if (!digit && !(c >= 'a' && c <= 'f')) return std::nullopt;
    id = id << 4 | static_cast<std::uint64_t>(digit ? c - '0' : c - 'a' + 10);
  }
  return id;
}

std::string id_text(std::uint64_t id) {
  std::string text(16, '0');
  for (std::size_t i = 16; i-- > 0; id >>= 4) text[i] = "0123456789abcdef"[id & 15];
  return text;
}

}  // namespace laureltide::platform
