// Bearer tokens of tenants (RFC 6750). Only their SHA-256 digests are stored: tokens are random with 256
// bits, so a slow password hash is not needed. A token is compared with every known key, in constant time.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"

namespace laureltide::controller {

// The raw 32-byte digest.
std::string sha256(std::string_view text);

class Keyring {
 public:
  explicit Keyring(std::vector<config::Key> keys) : keys_(std::move(keys)) {}
  // The tenant for the value of an Authorization header; nothing unless it is a known bearer token.
  std::optional<std::uint32_t> tenant(std::string_view authorization) const;

 private:
  std::vector<config::Key> keys_;
};

}  // namespace laureltide::controller
