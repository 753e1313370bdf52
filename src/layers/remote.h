// The store as the agent sees it: one attempt at one thing. The client end of the OCI distribution API
// (distribution-spec 1.1, "Pull"), without credentials.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "http/client.h"
#include "layers/digest.h"
#include "layers/scheduler.h"

namespace laureltide::layers {

struct RemoteRequest {
  enum class Kind { kManifest, kBlob } kind = Kind::kManifest;
  std::string repository, reference;  // a tag or digest; for a blob a digest
  bool ranged = false;                // only `size` bytes from `offset`
  std::uint64_t offset = 0;
  std::size_t size = 0;  // of what is expected; without `ranged` the most that is taken
  std::uint32_t replica = 0;
};
struct RemoteResult {
  FetchOutcome end = FetchOutcome::kBroken;
  std::string bytes, why;
  Duration retry_after{};
};

class Remote {
 public:
  using Done = std::function<void(RemoteResult)>;
  virtual ~Remote() = default;
  // `done` comes once, never from within the call, unless it is called off.
  virtual std::uint64_t fetch(const RemoteRequest& request, Done done) = 0;
  virtual void call_off(std::uint64_t ticket) = 0;
};

struct RegistryClientOptions {
  std::vector<io::Address> replicas;
  std::string name = "laureltide-layers";      // User-Agent
  Duration within = std::chrono::seconds(10);  // a whole answer, and so much more for each `pace` bytes of it
  std::size_t pace = 256U << 10;               // bytes a second, the slowest that is borne
};

class RegistryClient : public Remote {
 public:
  RegistryClient(io::Host& host, RegistryClientOptions options);
  std::uint64_t fetch(const RemoteRequest& request, Done done) override;
  void call_off(std::uint64_t ticket) override;

 private:
  struct Out {
    RemoteRequest request;
    Done done;
    int hops = 0;
    std::unique_ptr<http::Exchange> exchange;
  };
  void ask(std::uint64_t ticket, Out& out, const io::Address& at, const std::string& target);
  void answered(std::uint64_t ticket, const io::Address& at, http::Exchange::Result result);

  io::Host& host_;
  RegistryClientOptions options_;
  std::map<std::uint64_t, std::unique_ptr<Out>> out_;
  io::DeferredDeleter<Out> dead_;
  std::uint64_t next_ = 1;
};

// distribution-spec: the form of a repository's name.
bool valid_repository(std::string_view name);
// "Retry-After" in seconds (RFC 9110, 10.2.3); a date is not understood, and gives nothing.
Duration retry_after_of(const http::Headers& headers);

}  // namespace laureltide::layers
