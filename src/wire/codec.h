// Frames and bounds-checked reads and writes of the big-endian wire.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace laureltide::wire {

// Input that the wire page does not allow; the text names what and where.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads fields one after another and throws Malformed rather than read past the end.
class Reader {
 public:
  Reader(std::span<const std::byte> bytes, std::string_view what) : bytes_(bytes), what_(what) {}

  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::uint64_t u64() { return number(8); }
  float f32();
  std::span<const std::byte> take(std::size_t count);
  std::string_view text(std::size_t count);

  void name(std::string_view what) { what_ = what; }
  bool done() const { return at_ == bytes_.size(); }
  std::size_t position() const { return at_; }
  [[noreturn]] void fail(std::string_view why) const;

 private:
  std::uint64_t number(std::size_t width);

  std::span<const std::byte> bytes_;
  std::string_view what_;
  std::size_t at_ = 0;
};

// Appends fields to a buffer.
class Writer {
 public:
  void u8(std::uint8_t v) { number(v, 1); }
  void u16(std::uint16_t v) { number(v, 2); }
  void u32(std::uint32_t v) { number(v, 4); }
  void u64(std::uint64_t v) { number(v, 8); }
  void bytes(std::span<const std::byte> b) { out_.insert(out_.end(), b.begin(), b.end()); }
  void text(std::string_view t);
  const std::vector<std::byte>& buffer() const { return out_; }
  void clear() { out_.clear(); }

 private:
  void number(std::uint64_t v, std::size_t width);

  std::vector<std::byte> out_;
};

struct BatchHeader {
  std::uint32_t records = 0;
  std::uint64_t clock_ns = 0;
  std::uint32_t number = 0;
};

inline constexpr std::size_t kLengthBytes = 4;
inline constexpr std::size_t kBatchHeaderRest = 16;  // behind the length
inline constexpr std::size_t kReplyHeaderRest = 8;

BatchHeader read_batch_header(Reader& in);

// The whole reply frame: its header and the records written so far.
std::vector<std::byte> reply_frame(std::uint32_t number, std::uint32_t records, const Writer& body);

}  // namespace laureltide::wire
