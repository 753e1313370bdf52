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
      if (size < 4 || size > kMost + 4) {  // garbage: nothing behind it can be trusted
        connection_->finish();
        leave();
        return bytes.size();
      }
      if (bytes.size() - used < 4 + size) break;
      const std::uint32_t from = in.u32();
      const std::string_view body = in.take(size - 4);
      owner_.heard_(from, std::as_bytes(std::span(body.data(), body.size())));
      used += 4 + size;
    }
    return used;
  }
  void on_closed(io::CloseReason) override { leave(); }

 private:
  void leave() {
    const auto it = owner_.in_.find(this);
    if (it == owner_.in_.end()) return;
    auto self = std::move(it->second);
    owner_.in_.erase(it);
    owner_.dead_.delete_later(std::move(self));
  }
  Peers& owner_;
  std::unique_ptr<io::Connection> connection_;
};

class Peers::Outbound : public io::ConnectionEvents {
 public:
  Outbound(io::Host& host, io::Address to) : host_(host), to_(std::move(to)) {}
  void tell(std::string_view bytes) {
    if (!connection_) connection_ = host_.connect(to_, {}, *this);
    if (connection_->unsent() < kMostUnsent) connection_->write(bytes);
  }
  std::size_t on_bytes(std::string_view bytes) override { return bytes.size(); }
  void on_closed(io::CloseReason) override { connection_.reset(); }  // the next message tries again

 private:
  io::Host& host_;
  io::Address to_;
  std::unique_ptr<io::Connection> connection_;
};

Peers::Peers(io::Host& host, const config::Settings& settings, Heard heard)
    : me_(settings.module.replica_index), heard_(std::move(heard)), dead_(host) {
  for (const config::Peer& peer : settings.peers)
    if (peer.number != me_) out_[peer.number] = std::make_unique<Outbound>(host, peer.address);
  wanted_ = settings.gateway.peer_listen.has_value();
  if (!wanted_) return;
  listener_ =
      host.listen(*settings.gateway.peer_listen, {}, [this](std::unique_ptr<io::Connection> c) -> Inbound* {
        if (in_.size() >= kMostInbound) return nullptr;
        auto fresh = std::make_unique<Inbound>(*this, std::move(c));
        Inbound* raw = fresh.get();
        in_[raw] = std::move(fresh);
        return raw;
      });
}
Peers::~Peers() = default;

void Peers::tell(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) {
  if (bytes.size() > kMost) return;
  std::string message;
  Writer w(message);
  w.u32(static_cast<std::uint32_t>(bytes.size() + 4));
  w.u32(me_);
  w.bytes({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  for (const auto& [number, out] : out_)
    if (!peer || *peer == number) out->tell(message);
}

}  // namespace laureltide::controller
