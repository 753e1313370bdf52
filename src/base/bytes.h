// Big-endian reader and writer over byte strings, the only place that touches raw offsets.
//
// A Reader never throws and never reads past its end. After the first read past the end, ok() is false and
// all reads return zero or an empty view, so it is enough to check ok() once after a whole structure was
// read.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace laureltide {

// Reads big-endian numbers and byte strings; see above for how it fails.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::uint64_t u64() { return number(8); }
  float f32() { return std::bit_cast<float>(u32()); }
  double f64() { return std::bit_cast<double>(u64()); }

  // The result points into the bytes that the reader was made with.
  std::string_view take(std::size_t n) {
    if (n > bytes_.size()) return fail(), std::string_view{};
    const std::string_view taken = bytes_.substr(0, n);
    bytes_.remove_prefix(n);
    return taken;
  }
  std::string_view rest() { return take(bytes_.size()); }

  void fail() { ok_ = false, bytes_ = {}; }
  bool ok() const { return ok_; }
  bool done() const { return ok_ && bytes_.empty(); }
  std::size_t left() const { return bytes_.size(); }

 private:
  std::uint64_t number(std::size_t n) {
    std::uint64_t value = 0;
    for (const char c : take(n)) value = value << 8 | static_cast<unsigned char>(c);
    return value;
  }

  std::string_view bytes_;
  bool ok_ = true;
};

// Appends big-endian numbers and byte strings to a string.
class Writer {
 public:
  // Appends to `out`, which must outlive the writer.
  explicit Writer(std::string& out) : out_(out) {}

  void u8(std::uint8_t v) { out_.push_back(static_cast<char>(v)); }
  void u16(std::uint16_t v) { number(v, 2); }
  void u32(std::uint32_t v) { number(v, 4); }
  void u64(std::uint64_t v) { number(v, 8); }
  void f32(float v) { u32(std::bit_cast<std::uint32_t>(v)); }
  void f64(double v) { u64(std::bit_cast<std::uint64_t>(v)); }
  void bytes(std::string_view v) { out_.append(v); }

  // For a length that is known only after the bytes that it counts: mark_u32 reserves the field, and fill_u32
  // sets it to the number of bytes that were written since.
  std::size_t mark_u32() { return u32(0), out_.size(); }
  void fill_u32(std::size_t mark) {
    const auto length = static_cast<std::uint32_t>(out_.size() - mark);
    for (std::size_t i = 0; i < 4; ++i) out_[mark - 4 + i] = static_cast<char>(length >> (24 - 8 * i));
  }

 private:
  void number(std::uint64_t v, std::size_t n) {
    char raw[8];
    for (std::size_t i = 0; i < n; ++i) raw[i] = static_cast<char>(v >> (8 * (n - 1 - i)));
    out_.append(raw, n);
  }

  std::string& out_;
};

}  // namespace laureltide
