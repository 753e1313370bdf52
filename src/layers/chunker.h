// Where a layer is cut into chunks: content-defined, so that an insertion moves only the cuts beside it.
//
// FastCDC (Xia et al., USENIX ATC 2016): a gear hash rolled over the bytes, no cut before `least`, a harder
// mask before the average and an easier one behind it. The cuts depend on the bytes alone, so that two
// releases packed on two machines share what they have in common. No I/O, no state.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace laureltide::layers {

struct ChunkerOptions {
  std::size_t average = 64U << 10;  // a power of two; docs/layers.md has what others fetch
  std::size_t least() const { return average / 4; }
  std::size_t most() const { return average * 4; }
  // 4 KiB to 4 MiB: under it the index outweighs what is saved, over it a chunk is no small thing to repeat.
  static constexpr std::size_t kSmallest = 4U << 10, kLargest = 4U << 20;
  bool valid() const { return average >= kSmallest && average <= kLargest && (average & (average - 1)) == 0; }
};

// How many bytes the first chunk of `bytes` has; all of them if no cut comes.
std::size_t first_cut(std::string_view bytes, const ChunkerOptions& options);
// The sizes of all chunks, in order; their sum is the size of `bytes`.
std::vector<std::size_t> cut(std::string_view bytes, const ChunkerOptions& options);
// Every `average` bytes: what content-defined cuts are measured against.
std::vector<std::size_t> cut_fixed(std::string_view bytes, const ChunkerOptions& options);

}  // namespace laureltide::layers
