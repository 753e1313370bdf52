// Hosts dispatchers for the instances of one process and translates between them and the wire.
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

class Host {
 public:
  // Takes a batch without its length field and gives the reply frame. Throws Malformed.
  std::vector<std::byte> answer(std::span<const std::byte> batch);

 private:
  class Instance;
  using Ledger = std::vector<WorkerEntry>;

  void event(Reader& in, Time now);
  void ledger(Reader& in);
  void launch(Reader& in, std::uint16_t id, Time now);
  Instance& instance(Reader& in);

  std::map<std::uint16_t, std::shared_ptr<Instance>> instances_;
  std::array<std::optional<Ledger>, 16> ledgers_;
  Writer body_;
  std::uint32_t records_ = 0;
};

}  // namespace laureltide::wire
