// Content-defined chunking of a layer: an insertion moves only the boundaries next to it.
//
// FastCDC (Xia et al., USENIX ATC 2016): a gear hash rolls over the bytes, with no boundary before
// `min_size`, a stricter mask before the average and a looser one after it. Boundaries depend on the bytes
// alone, so releases packed on different machines share their common chunks. No I/O, no state.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace laureltide::layers {

struct ChunkerOptions {
  std::size_t average = 64U << 10;  // a power of two; docs/layers.md compares the sizes
  std::size_t min_size() const { return average / 4; }
  std::size_t max_size() const { return average * 4; }
  // 4 KiB to 4 MiB: below it the index costs more than sharing saves, above it a retried chunk is
  // expensive.
  static constexpr std::size_t kMinAverage = 4U << 10, kMaxAverage = 4U << 20;
  bool valid() const {
    return average >= kMinAverage && average <= kMaxAverage && (average & (average - 1)) == 0;
  }
};

// Size of the first chunk of `bytes`; all of it if there is no boundary.
std::size_t first_chunk_size(std::string_view bytes, const ChunkerOptions& options);
// Sizes of all chunks, in order; they add up to the size of `bytes`.
std::vector<std::size_t> chunk_sizes(std::string_view bytes, const ChunkerOptions& options);
// Fixed-size chunks of `average` bytes, as the baseline for comparison.
std::vector<std::size_t> fixed_chunk_sizes(std::string_view bytes, const ChunkerOptions& options);

}  // namespace laureltide::layers
