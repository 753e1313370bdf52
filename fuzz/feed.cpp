// Bytes of an event bus: the same events in one piece and in many; and an event's JSON.
#include "platform/feed.h"

#include "platform/invoker_list.h"

using namespace laureltide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  platform::EventParser whole, pieces;
  std::string a, b;
  const auto note = [](std::string& to) {
    return [&to](platform::Event e) { to += std::to_string(e.id) + e.data + '\n'; };
  };
  const bool well_a = whole.feed(bytes, note(a));
  bool well_b = true;
  for (std::size_t at = 0; at < size && well_b; at += 3) well_b = pieces.feed(bytes.substr(at, 3), note(b));
  if (well_a != well_b || a != b) __builtin_trap();
  platform::InvokerList roster;
  roster.take(1, bytes);
  return 0;
}
