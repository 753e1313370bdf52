// Fuzzes the parser of the node's configuration.
#include "node/config.h"

using namespace laureltide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string why;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (!node::parse_config(bytes, why) && why.empty()) __builtin_trap();
  node::flatten(bytes);
  return 0;
}
