// Frames of the simulator's big-endian binary protocol, with bounds-checked reads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace laureltide::wire {

// Input that violates the protocol; the message says which record and where.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads fields in sequence. Throws Malformed instead of reading past the end.
class Reader {
 public:
  Reader(std::span<const std::byte> bytes, std::string_view record_name)
      : bytes_(bytes), record_name_(record_name) {}

  std::uint8_t u8() { return static_cast<std::uint8_t>(big_endian(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(big_endian(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(big_endian(4)); }
  std::uint64_t u64() { return big_endian(8); }
  float f32();
  std::span<const std::byte> take(std::size_t count);
  std::string_view text(std::size_t count);

  void set_record_name(std::string_view name) { record_name_ = name; }
  bool done() const { return position_ == bytes_.size(); }
  std::size_t position() const { return position_; }
  // Throws Malformed with the record name, the position and the reason.
  [[noreturn]] void fail(std::string_view reason) const;

 private:
  std::uint64_t big_endian(std::size_t width);

  std::span<const std::byte> bytes_;
  std::string_view record_name_;
  std::size_t position_ = 0;
};

// Appends big-endian fields to a buffer.
class Writer {
 public:
  void u8(std::uint8_t value) { big_endian(value, 1); }
  void u16(std::uint16_t value) { big_endian(value, 2); }
  void u32(std::uint32_t value) { big_endian(value, 4); }
  void u64(std::uint64_t value) { big_endian(value, 8); }
  void bytes(std::span<const std::byte> source) {
    buffer_.insert(buffer_.end(), source.begin(), source.end());
  }
  void text(std::string_view source);
  const std::vector<std::byte>& buffer() const { return buffer_; }
  void clear() { buffer_.clear(); }

 private:
  void big_endian(std::uint64_t value, std::size_t width);

  std::vector<std::byte> buffer_;
};

// Header of a batch, without the length field of its frame.
struct BatchHeader {
  std::uint32_t record_count = 0;
  std::uint64_t time_ns = 0;
  std::uint32_t batch_number = 0;
};

// Sizes of the length field of a frame and of the headers that follow it.
inline constexpr std::size_t kFrameLengthBytes = 4;
inline constexpr std::size_t kBatchHeaderBytes = 16;
inline constexpr std::size_t kReplyHeaderBytes = 8;

BatchHeader read_batch_header(Reader& in);

// Returns a complete reply frame: length field, header and the records in `body`.
std::vector<std::byte> reply_frame(std::uint32_t batch_number, std::uint32_t record_count,
                                   const Writer& body);

}  // namespace laureltide::wire
