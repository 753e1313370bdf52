#include "layers/chunker.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>

namespace laureltide::layers {
namespace {

// Must never change: another table moves all boundaries, and new layers share nothing with cached chunks.
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

constexpr int kNormalizationBits =
    2;  // mask bits added and removed around the average, which narrows the size distribution

// Uses the high bits, which depend on the last 64 bytes; the low bits depend on only a few.
std::uint64_t mask_of(int bits) { return ~std::uint64_t{0} << (64 - bits); }

}  // namespace

std::size_t first_chunk_size(std::string_view bytes, const ChunkerOptions& options) {
  const std::size_t end = std::min(bytes.size(), options.max_size());
  if (end <= options.min_size()) return end;
  const int bits = std::countr_zero(options.average);
  const std::uint64_t strict_mask = mask_of(bits + kNormalizationBits),
                      loose_mask = mask_of(bits - kNormalizationBits);
  std::uint64_t hash = 0;
  std::size_t at = options.min_size();
  for (const std::size_t middle = std::min(end, options.average); at < middle; ++at) {
    hash = (hash << 1) + kGear[static_cast<unsigned char>(bytes[at])];
    if ((hash & strict_mask) == 0) return at + 1;
  }
  for (; at < end; ++at) {
    hash = (hash << 1) + kGear[static_cast<unsigned char>(bytes[at])];
    if ((hash & loose_mask) == 0) return at + 1;
  }
  return end;
}

std::vector<std::size_t> chunk_sizes(std::string_view bytes, const ChunkerOptions& options) {
  std::vector<std::size_t> sizes;
  while (!bytes.empty()) {
    sizes.push_back(first_chunk_size(bytes, options));
    bytes.remove_prefix(sizes.back());
  }
  return sizes;
}

std::vector<std::size_t> fixed_chunk_sizes(std::string_view bytes, const ChunkerOptions& options) {
  std::vector<std::size_t> sizes;
  for (std::size_t left = bytes.size(); left > 0; left -= sizes.back())
    sizes.push_back(std::min(left, options.average));
  return sizes;
}

}  // namespace laureltide::layers
