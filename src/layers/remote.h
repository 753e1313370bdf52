// Interface for a single attempt to fetch an object from a store, and its implementation as a client of the
// OCI distribution API (distribution-spec 1.1, "Pull"), without credentials.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "http/client.h"
#include "layers/digest.h"
#include "layers/scheduler.h"

namespace laureltide::layers {

struct StoreRequest {
  enum class Kind { kManifest, kBlob } kind = Kind::kManifest;
  std::string repository, reference;  // a tag or digest; always a digest for a blob
  bool ranged = false;                // request only `size` bytes from `offset`
  std::uint64_t offset = 0;
  std::size_t size = 0;  // expected size; without `ranged` the maximum
  std::uint32_t replica = 0;
};
struct StoreResponse {
  FetchOutcome end = FetchOutcome::kBroken;
  std::string bytes, why;
  Duration retry_after{};
};

class RemoteStore {
 public:
  using Done = std::function<void(StoreResponse)>;
  virtual ~RemoteStore() = default;
  // `done` is called once, after this returns, unless the fetch is cancelled.
  virtual std::uint64_t fetch(const StoreRequest& request, Done done) = 0;
  virtual void cancel(std::uint64_t ticket) = 0;
};

struct RegistryClientOptions {
  std::vector<io::Address> replicas;
  std::string name = "laureltide-layers";       // User-Agent
  Duration timeout = std::chrono::seconds(10);  // plus `size` / `min_bytes_per_s` for ranged fetches
  std::size_t min_bytes_per_s = 256U << 10;     // slowest accepted transfer rate
};

class RegistryClient : public RemoteStore {
 public:
  RegistryClient(io::Host& host, RegistryClientOptions options);
  std::uint64_t fetch(const StoreRequest& request, Done done) override;
  void cancel(std::uint64_t ticket) override;

 private:
  struct InFlight {
    StoreRequest request;
    Done done;
    int redirects = 0;
    std::unique_ptr<http::Exchange> exchange;
  };
  void send_request(std::uint64_t ticket, InFlight& out, const io::Address& at, const std::string& target);
  void on_response(std::uint64_t ticket, const io::Address& at, http::Exchange::Result result);

  io::Host& host_;
  RegistryClientOptions options_;
  std::map<std::uint64_t, std::unique_ptr<InFlight>> in_flight_;
  io::DeferredDeleter<InFlight> retired_;
  std::uint64_t next_ = 1;
};

// Checks a repository name against the distribution-spec.
bool valid_repository(std::string_view name);
// Retry-After in seconds (RFC 9110, 10.2.3); the date form is ignored and gives 0.
Duration retry_after_of(const http::Headers& headers);

}  // namespace laureltide::layers
