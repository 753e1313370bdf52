#include "layers/chunker.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>

namespace laureltide::layers {
namespace {

// Fixed for good: another table would cut every layer elsewhere, and share nothing with what is cached.
constexpr std::array<std::uint64_t, 256> gear_table() {
  std::array<std::uint64_t, 256> table{};
  std::uint64_t state = 0x9e3779b97f4a7c15;
  for (std::uint64_t& word : table) {  // splitmix64
    std::uint64_t z = state += 0x9e3779b97f4a7c15;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    word = z ^ (z >> 31);
  }
  return table;
}
constexpr auto kGear = gear_table();

constexpr int kNormal = 2;  // bits by which the masks differ from the average's: sizes close to it

// The high bits: they depend on the last 64 bytes, the low ones on a few.
std::uint64_t mask_of(int bits) { return ~std::uint64_t{0} << (64 - bits); }

}  // namespace

std::size_t first_cut(std::string_view bytes, const ChunkerOptions& options) {
  const std::size_t end = std::min(bytes.size(), options.most());
  if (end <= options.least()) return end;
  const int bits = std::countr_zero(options.average);
  const std::uint64_t hard = mask_of(bits + kNormal), easy = mask_of(bits - kNormal);
  std::uint64_t hash = 0;
  std::size_t at = options.least();
  for (const std::size_t middle = std::min(end, options.average); at < middle; ++at) {
    hash = (hash << 1) + kGear[static_cast<unsigned char>(bytes[at])];
    if ((hash & hard) == 0) return at + 1;
  }
  for (; at < end; ++at) {
    hash = (hash << 1) + kGear[static_cast<unsigned char>(bytes[at])];
    if ((hash & easy) == 0) return at + 1;
  }
  return end;
}

std::vector<std::size_t> cut(std::string_view bytes, const ChunkerOptions& options) {
  std::vector<std::size_t> sizes;
  while (!bytes.empty()) {
    sizes.push_back(first_cut(bytes, options));
    bytes.remove_prefix(sizes.back());
  }
  return sizes;
}

std::vector<std::size_t> cut_fixed(std::string_view bytes, const ChunkerOptions& options) {
  std::vector<std::size_t> sizes;
  for (std::size_t left = bytes.size(); left > 0; left -= sizes.back())
    sizes.push_back(std::min(left, options.average));
  return sizes;
}

}  // namespace laureltide::layers
