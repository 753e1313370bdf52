// Worker-side client of the layer agent's API: pins, lease renewal and release notifications. All I/O goes
// through io::Host.
//
// The client renews the lease on its own. While the agent is unreachable, polling is retried with jitter,
// release notifications are late, and pins fail with the reason.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "http/client.h"
#include "layers/agent.h"

namespace laureltide::layers {

class AgentClient {
 public:
  // Receives the snapshot, or nothing and the reason.
  using PinCallback = std::function<void(std::optional<Snapshot>, const std::string& why)>;
  // `incarnation` identifies this worker process; a new one ends the pins of the previous one.
  AgentClient(io::Host& host, io::Address agent, std::string worker, std::string incarnation);
  ~AgentClient();

  // `done` is called once, after this returns, unless the client is destroyed first.
  void pin(const std::string& function, const std::optional<Digest>& version, Level level, Duration timeout,
           PinCallback done);
  void unpin(std::uint64_t pin);
  // Calls `on_releases` with all releases now and after each change.
  void watch_releases(std::function<void(const std::vector<ReleaseStatus>&)> on_releases);

 private:
  using Done = std::function<void(http::Exchange::Result)>;
  void send(http::Request request, Duration timeout, Done done);
  void renew_lease();
  void poll_releases();

  io::Host& host_;
  io::Address agent_;
  std::string worker_, incarnation_;
  std::map<std::uint64_t, std::unique_ptr<http::Exchange>> in_flight_;
  io::DeferredDeleter<http::Exchange> retired_;
  std::uint64_t next_ = 1, sequence_ = 0;
  std::unique_ptr<io::Timer> lease_timer_, poll_timer_;
  std::function<void(const std::vector<ReleaseStatus>&)> on_releases_;
};

}  // namespace laureltide::layers
