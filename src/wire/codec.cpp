#include "wire/codec.h"

#include <bit>

namespace laureltide::wire {

void Reader::fail(std::string_view reason) const {
  throw Malformed(std::string(record_name_) + " at byte " + std::to_string(position_) + ": " +
                  std::string(reason));
}

std::uint64_t Reader::big_endian(std::size_t width) {
  std::uint64_t value = 0;
  for (std::byte byte : take(width)) value = (value << 8) | std::to_integer<std::uint64_t>(byte);
  return value;
}

float Reader::f32() { return std::bit_cast<float>(u32()); }

std::span<const std::byte> Reader::take(std::size_t count) {
  if (count > bytes_.size() - position_) fail("record is too short");
  const auto part = bytes_.subspan(position_, count);
  position_ += count;
  return part;
}

std::string_view Reader::text(std::size_t count) {
  const auto part = take(count);
  return {reinterpret_cast<const char*>(part.data()), part.size()};
}

void Writer::big_endian(std::uint64_t value, std::size_t width) {
  for (std::size_t i = width; i-- > 0;) buffer_.push_back(static_cast<std::byte>(value >> (8 * i)));
}

void Writer::text(std::string_view source) { bytes(std::as_bytes(std::span(source.data(), source.size()))); }

BatchHeader read_batch_header(Reader& in) {
  BatchHeader header;
  header.record_count = in.u32();
  header.time_ns = in.u64();
  header.batch_number = in.u32();
  return header;
}

std::vector<std::byte> reply_frame(std::uint32_t batch_number, std::uint32_t record_count,
                                   const Writer& body) {
  Writer frame;
  frame.u32(static_cast<std::uint32_t>(kReplyHeaderBytes + body.buffer().size()));
  frame.u32(record_count);
  frame.u32(batch_number);
  frame.bytes(body.buffer());
  return frame.buffer();
}

}  // namespace laureltide::wire
