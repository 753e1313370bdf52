// Fuzzes the event bus parser, which must give the same events whether the bytes come in one piece or in
// many, and the JSON of an event.
#include "platform/feed.h"

#include "platform/invoker_list.h"

using namespace laureltide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  platform::EventParser whole, pieces;
  std::string whole_events, pieces_events;
  const auto append_to = [](std::string& output) {
    return [&output](platform::Event e) { output += std::to_string(e.id) + e.data + '\n'; };
  };
  const bool whole_ok = whole.feed(bytes, append_to(whole_events));
  bool pieces_ok = true;
  for (std::size_t offset = 0; offset < size && pieces_ok; offset += 3)
    pieces_ok = pieces.feed(bytes.substr(offset, 3), append_to(pieces_events));
  if (whole_ok != pieces_ok || whole_events != pieces_events) __builtin_trap();
  platform::InvokerList invokers;
  invokers.take(1, bytes);
  return 0;
}
