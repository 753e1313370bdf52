// A stand-in for the one store that all workers fetch functions from: it serves a few fetches at full pace,
// gets slower when crowded, and turns fetches away beyond a limit. A line each way:
//   "fetch ID MS\n" -> "done ID\n" | "refused ID\n"   (MS: how long the fetch takes at full pace)
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "base/io.h"

namespace laureltide::standin {

struct StoreOptions {
  std::size_t at_once = 8;  // fetches at full pace
  std::size_t takes = 64;   // fetches in hand; over it they are refused
};

class Store {
 public:
  Store(io::Host& host, StoreOptions options);
  ~Store();
  bool listen(const io::Address& at);
  io::Address address() const { return listener_->address(); }
  void set_slowdown(double times) { slow_ = times; }
  std::uint64_t fetches() const { return fetches_; }

 private:
  class Client;
  io::Host& host_;
  StoreOptions options_;
  std::unique_ptr<io::Listener> listener_;
  std::map<Client*, std::unique_ptr<Client>> clients_;
  io::DeferredDeleter<Client> dead_;
  double slow_ = 1;
  std::size_t in_hand_ = 0;
  std::uint64_t fetches_ = 0;
};

// A worker's end. `done(false)`: refused, or the store cannot be reached.
class StoreClient : public io::ConnectionEvents {
 public:
  using Done = std::function<void(bool fetched)>;
  StoreClient(io::Host& host, io::Address store);
  void fetch(Duration at_full_pace, Done done);
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason why) override;

 private:
  io::Host& host_;
  io::Address store_;
  std::unique_ptr<io::Connection> connection_;
  std::map<std::uint64_t, Done> waiting_;
  std::uint64_t next_ = 1;
};

}  // namespace laureltide::standin
