#include "base/io.h"

#include <arpa/inet.h>

#include <charconv>

namespace laureltide::io {

std::optional<Address> parse_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Address address{std::string(text.substr(0, colon)), 0};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size() || port.empty()) return std::nullopt;
  in_addr raw{};
  if (inet_pton(AF_INET, address.host.c_str(), &raw) != 1) return std::nullopt;
  return address;
}

}  // namespace laureltide::io
