// A stand-in for the store that all workers fetch functions from. It serves a few fetches at full speed,
// slows down under more, and refuses fetches over a limit. The protocol is one line each way:
//   "fetch ID MS\n" -> "done ID\n" | "refused ID\n"   (MS: duration of the fetch at full speed)
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "base/io.h"

namespace laureltide::standin {

struct StoreOptions {
  std::size_t full_speed_fetches = 8;  // concurrent fetches without slowdown
  std::size_t max_fetches = 64;        // concurrent fetches; further ones are refused
};

class Store {
 public:
  Store(io::Host& host, StoreOptions options);
  ~Store();
  bool listen(const io::Address& at);
  io::Address address() const { return listener_->address(); }
  void set_slowdown(double factor) { slowdown_ = factor; }
  std::uint64_t fetches() const { return fetches_; }

 private:
  class Client;
  io::Host& host_;
  StoreOptions options_;
  std::unique_ptr<io::Listener> listener_;
  std::map<Client*, std::unique_ptr<Client>> clients_;
  io::DeferredDeleter<Client> dead_;
  double slowdown_ = 1;
  std::size_t in_flight_ = 0;
  std::uint64_t fetches_ = 0;
};

// The worker's side of the protocol. `done(false)`: refused, or the store cannot be reached.
class StoreClient : public io::ConnectionEvents {
 public:
  using Done = std::function<void(bool fetched)>;
  StoreClient(io::Host& host, io::Address store);
  void fetch(Duration full_speed_duration, Done done);
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason why) override;

 private:
  io::Host& host_;
  io::Address store_;
  std::unique_ptr<io::Connection> connection_;
  std::map<std::uint64_t, Done> pending_;
  std::uint64_t next_id_ = 1;
};

}  // namespace laureltide::standin
