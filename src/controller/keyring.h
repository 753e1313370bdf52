// Bearer tokens of tenants (RFC 6750). Only their SHA-256 is held: tokens are drawn with 256 bits, so that
// nothing slower is needed. Every known key is compared, in constant time, whichever fits.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"

namespace laureltide::controller {

std::string sha256(std::string_view text);

class Keyring {
 public:
  explicit Keyring(std::vector<config::Key> keys) : keys_(std::move(keys)) {}
  // The tenant of an Authorization header's value; nothing if it is no known bearer token.
  std::optional<std::uint32_t> tenant(std::string_view authorization) const;

 private:
  std::vector<config::Key> keys_;
};

}  // namespace laureltide::controller
