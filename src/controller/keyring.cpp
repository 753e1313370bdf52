#include "controller/keyring.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>

namespace laureltide::controller {

std::string sha256(std::string_view text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  return {reinterpret_cast<const char*>(digest), sizeof digest};
}

std::optional<std::uint32_t> Keyring::tenant(std::string_view authorization) const {
  constexpr std::string_view kScheme = "bearer ";
  if (authorization.size() <= kScheme.size()) return std::nullopt;
  const bool bearer = std::equal(kScheme.begin(), kScheme.end(), authorization.begin(),
                                 [](char a, char b) { return a == (b >= 'A' && b <= 'Z' ? b + 32 : b); });
  if (!bearer) return std::nullopt;
  authorization.remove_prefix(kScheme.size());
  authorization.remove_prefix(std::min(authorization.find_first_not_of(' '), authorization.size()));
  const std::string digest = sha256(authorization);
  std::optional<std::uint32_t> found;
  for (const config::Key& key : keys_)  // no early exit: the time must not reveal which key matches
    if (key.sha256.size() == digest.size() &&
        CRYPTO_memcmp(key.sha256.data(), digest.data(), digest.size()) == 0)
      found = key.tenant;
  return found;
}

}  // namespace laureltide::controller
