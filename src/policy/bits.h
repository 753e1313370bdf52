// Bit mixing for hashes and the module's random numbers.
#pragma once

#include <cstdint>

namespace laureltide {

// The finalizer of splitmix64: every bit of the result depends on every bit of `x`.
inline std::uint64_t mix_bits(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace laureltide
