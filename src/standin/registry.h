// A stand-in for the store that all machines fetch from: the OCI distribution API (distribution-spec 1.1:
// pull, monolithic push, HEAD, Range) on loopback, in memory, with the faults of a scripted day or test.
//
// All clients share one bandwidth: bodies are paced together, so many clients slow each other down. It
// records for the checker every byte range that it sent, and to whom (User-Agent).
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/io.h"
#include "http/message.h"
#include "standin/tape.h"

namespace laureltide::standin {

struct RegistryOptions {
  std::string name = "store";
  double bytes_per_s = 0;   // of all bodies together; 0: unlimited
  std::size_t takes = 256;  // concurrent requests; further ones get 429
  Duration latency{};       // before each answer
  std::size_t most_body = 512U << 20;
};

class Registry {
 public:
  Registry(io::Host& host, RegistryOptions options, Tape& tape);
  ~Registry();
  bool listen(const io::Address& at);
  io::Address address() const { return listener_->address(); }

  // ---- Content, without a client ----
  std::string put_blob(const std::string& repository, std::string bytes);  // its digest
  std::string put_manifest(const std::string& repository, const std::string& tag, std::string bytes);
  void delete_blob(const std::string& digest) { blobs_.erase(digest); }

  // ---- Faults, of blobs and manifests unless stated otherwise ----
  void set_slowdown(double factor) { slowdown_ = factor; }
  // Applies to the next `times` answers (negative: to all), with `digest` only to answers for that blob.
  struct Fault {
    enum class Kind {
      kCorrupt,    // changes one byte
      kShort,      // closes the connection early
      kReset,      // resets the connection in the middle of the body
      kEndless,    // stops in the middle and keeps the connection open
      kStatus,     // `status` with `retry_after_s`
      kRedirect,   // redirects to the same path at `to`
      kWholeBody,  // ignores Range
      kOtherRange  // sends another range than requested
    } kind = Kind::kCorrupt;
    int times = 1;
    std::string digest;
    int status = 503, retry_after_s = 0;
    std::string to;  // http://ADDRESS:PORT
  };
  void add(Fault fault) { faults_.push_back(std::move(fault)); }
  void clear_faults() { faults_.clear(); }

  // ---- Counters ----
  std::uint64_t requests() const { return requests_; }
  std::uint64_t sent_bytes() const { return sent_; }  // body bytes only
  // How often each byte range of a blob was sent completely, by "client digest from-to".
  const std::map<std::string, int>& ranges() const { return ranges_; }
  std::size_t in_flight() const { return in_flight_; }
  std::size_t max_in_flight() const { return max_in_flight_; }

 private:
  class Client;
  struct Answer {
    int status = 200;
    http::Headers headers;
    std::string body;
    std::string note;  // key in ranges_, counted once the body is sent completely
  };
  Answer answer(const http::Request& request);
  Answer error(int status, const char* code, const std::string& what) const;
  Answer pull(const http::Request& request, const std::string& repository, bool blob,
              const std::string& name);
  Answer push(const http::Request& request, const std::vector<std::string>& path, const std::string& query);
  std::optional<Fault> fault(const std::string& digest);
  Duration pace(std::size_t bytes);

  io::Host& host_;
  RegistryOptions options_;
  Tape& tape_;
  std::unique_ptr<io::Listener> listener_;
  std::map<Client*, std::unique_ptr<Client>> clients_;
  io::DeferredDeleter<Client> dead_;
  std::map<std::string, std::string> blobs_;                         // by digest
  std::map<std::string, std::set<std::string>> repository_digests_;  // by repository
  std::map<std::string, std::map<std::string, std::string>> tags_;   // repository, tag or digest: the digest
  std::map<std::string, std::string> manifests_;                     // by digest
  std::set<std::string> uploads_;
  std::deque<Fault> faults_;
  double slowdown_ = 1;
  Time free_at_{};  // when the shared bandwidth is free again
  std::uint64_t requests_ = 0, sent_ = 0, next_upload_ = 1;
  std::map<std::string, int> ranges_;
  std::size_t in_flight_ = 0, max_in_flight_ = 0;
};

}  // namespace laureltide::standin
