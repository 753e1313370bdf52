// The worker's end of the box agent's API: pins, their lease, and news of releases. Sans-I/O.
//
// The lease is kept up by itself while the client lives. An agent that is away is asked again with jitter:
// news come late then, and pins fail, with the reason.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "http/client.h"
#include "layers/agent.h"

namespace laureltide::layers {

class AgentClient {
 public:
  // Nothing, with the reason.
  using Pinned = std::function<void(std::optional<Snapshot>, const std::string& why)>;
  // `life`: of this process of the worker; another one ends the pins of the last.
  AgentClient(io::Host& host, io::Address agent, std::string worker, std::string life);
  ~AgentClient();

  // `done` comes once, never from within the call, unless the client is destroyed.
  void pin(const std::string& function, const std::optional<Digest>& version, Level level, Duration within,
           Pinned done);
  void unpin(std::uint64_t pin);
  // Calls `news` with all releases now and at each change.
  void watch_releases(std::function<void(const std::vector<ReleaseStatus>&)> news);

 private:
  using Done = std::function<void(http::Exchange::Result)>;
  void send(http::Request request, Duration within, Done done);
  void beat();
  void listen();

  io::Host& host_;
  io::Address agent_;
  std::string worker_, life_;
  std::map<std::uint64_t, std::unique_ptr<http::Exchange>> out_;
  io::DeferredDeleter<http::Exchange> dead_;
  std::uint64_t next_ = 1, sequence_ = 0;
  std::unique_ptr<io::Timer> beat_, listen_;
  std::function<void(const std::vector<ReleaseStatus>&)> news_;
};

}  // namespace laureltide::layers
