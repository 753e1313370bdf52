// SHA-256 digests in the OCI notation (image-spec, descriptor.md: "sha256:" and 64 lower-case hex digits).
#pragma once

#include <array>
#include <compare>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace laureltide::layers {

struct Digest {
  std::array<unsigned char, 32> bytes{};
  auto operator<=>(const Digest&) const = default;
  std::string hex() const;
  std::string text() const { return "sha256:" + hex(); }
};

// Returns nothing for any other algorithm, length or character.
std::optional<Digest> parse_digest(std::string_view text);
Digest digest_of(std::string_view bytes);

// Incremental hashing.
class Hasher {
 public:
  Hasher();
  ~Hasher();
  Hasher(Hasher&&) noexcept;
  void add(std::string_view bytes);
  Digest finish();  // call once

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace laureltide::layers

template <>
struct std::hash<laureltide::layers::Digest> {
  std::size_t operator()(const laureltide::layers::Digest& d) const noexcept {
    std::size_t word = 0;  // the digest is already uniformly distributed
    std::memcpy(&word, d.bytes.data(), sizeof word);
    return word;
  }
};
