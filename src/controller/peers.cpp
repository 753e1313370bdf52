#include "controller/peers.h"

namespace laureltide::controller {

class Peers::Inbound : public io::ConnectionEvents {
 public:
  Inbound(Peers& owner, std::unique_ptr<io::Connection> connection)
      : owner_(owner), connection_(std::move(connection)) {}
  std::size_t on_bytes(std::string_view bytes) override {
    std::size_t used = 0;
    while (bytes.size() - used >= 4) {
      Reader in(bytes.substr(used));
      const std::size_t size = in.u32();
      if (size < 4 || size > kMaxMessageBytes + 4) {  // malformed: the rest of the stream cannot be parsed
        connection_->finish();
        remove_self();
        return bytes.size();
      }
      if (bytes.size() - used < 4 + size) break;
      const std::uint32_t from = in.u32();
      const std::string_view body = in.take(size - 4);
      owner_.on_message_(from, std::as_bytes(std::span(body.data(), body.size())));
      used += 4 + size;
    }
    return used;
  }
  void on_closed(io::CloseReason) override { remove_self(); }

 private:
  void remove_self() {
    const auto it = owner_.inbound_.find(this);
    if (it == owner_.inbound_.end()) return;
    auto self = std::move(it->second);
    owner_.inbound_.erase(it);
    owner_.closed_.delete_later(std::move(self));
  }
  Peers& owner_;
  std::unique_ptr<io::Connection> connection_;
};

class Peers::Outbound : public io::ConnectionEvents {
 public:
  Outbound(io::Host& host, io::Address to) : host_(host), to_(std::move(to)) {}
  void send(std::string_view bytes) {
    if (!connection_) connection_ = host_.connect(to_, {}, *this);
    if (connection_->unsent() < kMaxUnsentBytes) connection_->write(bytes);
  }
  std::size_t on_bytes(std::string_view bytes) override { return bytes.size(); }
  void on_closed(io::CloseReason) override { connection_.reset(); }  // the next message reconnects

 private:
  io::Host& host_;
  io::Address to_;
  std::unique_ptr<io::Connection> connection_;
};

Peers::Peers(io::Host& host, const config::Settings& settings, OnMessage on_message)
    : own_number_(settings.module.replica_index), on_message_(std::move(on_message)), closed_(host) {
  for (const config::Peer& peer : settings.peers)
    if (peer.number != own_number_) outbound_[peer.number] = std::make_unique<Outbound>(host, peer.address);
  listen_configured_ = settings.gateway.peer_listen.has_value();
  if (!listen_configured_) return;
  listener_ =
      host.listen(*settings.gateway.peer_listen, {}, [this](std::unique_ptr<io::Connection> c) -> Inbound* {
        if (inbound_.size() >= kMaxInboundConnections) return nullptr;
        auto created = std::make_unique<Inbound>(*this, std::move(c));
        Inbound* raw = created.get();
        inbound_[raw] = std::move(created);
        return raw;
      });
}
Peers::~Peers() = default;

void Peers::send(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) {
  if (bytes.size() > kMaxMessageBytes) return;
  std::string message;
  Writer w(message);
  w.u32(static_cast<std::uint32_t>(bytes.size() + 4));
  w.u32(own_number_);
  w.bytes({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  for (const auto& [number, out] : outbound_)
    if (!peer || *peer == number) out->send(message);
}

}  // namespace laureltide::controller
