// Short messages between controllers: one stream to each peer, opened on demand. A message is a u32 length of
// the rest, the u32 number of the sender, and the payload. Delivery is best effort; the module tolerates
// loss.
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
  using OnMessage = std::function<void(std::uint32_t from, std::span<const std::byte> bytes)>;
  Peers(io::Host& host, const config::Settings& settings, OnMessage on_message);
  ~Peers();
  // False if a listening address is configured and could not be bound.
  bool listening() const { return !listen_configured_ || listener_ != nullptr; }
  // Sends to one peer, or to all if `peer` is absent.
  void send(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes);

 private:
  static constexpr std::size_t kMaxMessageBytes = 256;       // payload of one message
  static constexpr std::size_t kMaxUnsentBytes = 64U << 10;  // for each peer; further messages are dropped
  static constexpr std::size_t kMaxInboundConnections = 4096;
  class Inbound;
  class Outbound;

  std::uint32_t own_number_;
  OnMessage on_message_;
  bool listen_configured_ = false;
  std::map<std::uint32_t, std::unique_ptr<Outbound>> outbound_;
  std::map<Inbound*, std::unique_ptr<Inbound>> inbound_;
  io::DeferredDeleter<Inbound> closed_;
  std::unique_ptr<io::Listener> listener_;
};

}  // namespace laureltide::controller
