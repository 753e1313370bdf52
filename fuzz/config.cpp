// Fuzzes the parsers of settings files and of worker list documents.
#include "config/settings.h"
#include "members/list.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace laureltide;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const config::SettingsResult checked = config::parse(bytes, "f");
  if (checked.settings.has_value() == !checked.problems.empty()) __builtin_trap();
  std::string why;
  if (const auto update = members::parse_update(bytes, why)) {
    members::WorkerList list({"a"});
    list.take(*update, {});
    if (!members::parse_update(members::write_update(*update), why)) __builtin_trap();
  }
  return 0;
}
