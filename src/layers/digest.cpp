#include "layers/digest.h"

#include <openssl/evp.h>

#include <stdexcept>

namespace laureltide::layers {
namespace {

int hex_value(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

}  // namespace

std::string Digest::hex() const {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  out.reserve(64);
  for (const unsigned char b : bytes) out += {kDigits[b >> 4], kDigits[b & 15]};
  return out;
}

std::optional<Digest> parse_digest(std::string_view text) {
  constexpr std::string_view kAlgorithm = "sha256:";
  if (!text.starts_with(kAlgorithm) || text.size() != kAlgorithm.size() + 64) return std::nullopt;
  text.remove_prefix(kAlgorithm.size());
  Digest digest;
  for (std::size_t i = 0; i < 32; ++i) {
    const int high = hex_value(text[2 * i]), low = hex_value(text[2 * i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    digest.bytes[i] = static_cast<unsigned char>(high * 16 + low);
  }
  return digest;
}

struct Hasher::Impl {
  std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> context{EVP_MD_CTX_new(), EVP_MD_CTX_free};
};

Hasher::Hasher() : impl_(std::make_unique<Impl>()) {
  if (!impl_->context || EVP_DigestInit_ex(impl_->context.get(), EVP_sha256(), nullptr) != 1)
    throw std::runtime_error("no SHA-256");
}
Hasher::~Hasher() = default;
Hasher::Hasher(Hasher&&) noexcept = default;

void Hasher::add(std::string_view bytes) {
  EVP_DigestUpdate(impl_->context.get(), bytes.data(), bytes.size());
}

Digest Hasher::finish() {
  Digest digest;
  unsigned size = 0;
  EVP_DigestFinal_ex(impl_->context.get(), digest.bytes.data(), &size);
  return digest;
}

Digest digest_of(std::string_view bytes) {
  Hasher hasher;
  hasher.add(bytes);
  return hasher.finish();
}

}  // namespace laureltide::layers
