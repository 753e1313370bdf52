// Runs the dispatchers that the simulator launches in this process, and translates between their interface
// and the simulator's binary protocol.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "laureltide/dispatcher.h"
#include "wire/codec.h"
#include "wire/settings.h"

namespace laureltide::wire {

// Runs dispatchers, each under the number that the simulator launched it with.
class Host {
 public:
  // Applies a batch of events, given without its length field, and returns the reply frame with the actions
  // that followed. Throws Malformed.
  std::vector<std::byte> process_batch(std::span<const std::byte> batch);

 private:
  class HostedDispatcher;
  using WorkerList = std::vector<WorkerEntry>;

  void handle_event(Reader& in, Time now);
  void read_worker_list(Reader& in);
  void launch(Reader& in, std::uint16_t id, Time now);
  HostedDispatcher& find_dispatcher(Reader& in);

  std::map<std::uint16_t, std::shared_ptr<HostedDispatcher>> dispatchers_;
  std::array<std::optional<WorkerList>, 16> worker_lists_;
  Writer reply_body_;
  std::uint32_t reply_record_count_ = 0;
};

}  // namespace laureltide::wire
