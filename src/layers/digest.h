// SHA-256 digests as OCI names content (image-spec, descriptor.md: "sha256:" and 64 lower-case hex digits).
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

// Nothing on any other algorithm, length or letter.
std::optional<Digest> parse_digest(std::string_view text);
Digest digest_of(std::string_view bytes);

// For content that comes in pieces.
class Hasher {
 public:
  Hasher();
  ~Hasher();
  Hasher(Hasher&&) noexcept;
  void add(std::string_view bytes);
  Digest finish();  // once

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace laureltide::layers

template <>
struct std::hash<laureltide::layers::Digest> {
  std::size_t operator()(const laureltide::layers::Digest& d) const noexcept {
    std::size_t word = 0;  // the digest is as good as random already
    std::memcpy(&word, d.bytes.data(), sizeof word);
    return word;
  }
};
