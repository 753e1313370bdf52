// Short messages between controllers: one stream to each peer, opened at need. A message is a u32 length of
// what follows, a u32 number of the sender, and the bytes. Lost messages are lost: the module expects that.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>

#include "base/bytes.h"
#include "base/io.h"
#include "config/settings.h"

namespace laureltide::controller {

class Peers {
 public:
  using Heard = std::function<void(std::uint32_t from, std::span<const std::byte> bytes)>;
  Peers(io::Host& host, const config::Settings& settings, Heard heard);
  ~Peers();
  bool listening() const { return !wanted_ || listener_ != nullptr; }
  void tell(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes);

 private:
  static constexpr std::size_t kMost = 256;  // bytes of a message
  static constexpr std::size_t kMostUnsent = 64U
                                             << 10;  // to a peer that does not read: further ones are lost
  static constexpr std::size_t kMostInbound = 4096;
  class Inbound;
  class Outbound;

  std::uint32_t me_;
  Heard heard_;
  bool wanted_ = false;
  std::map<std::uint32_t, std::unique_ptr<Outbound>> out_;
  std::map<Inbound*, std::unique_ptr<Inbound>> in_;
  io::DeferredDeleter<Inbound> dead_;
  std::unique_ptr<io::Listener> listener_;
};

}  // namespace laureltide::controller
