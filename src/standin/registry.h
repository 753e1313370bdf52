// A stand-in for the one store that all boxes fetch from: the OCI distribution API (distribution-spec 1.1:
// pull, monolithic push, HEAD, Range) on loopback, in memory, with the faults that a day or test orders.
//
// Bandwidth is one for all who ask: bodies are paced together, so a crowd is slow for everybody. It notes
// every byte range that it sent, and to whom (User-Agent), for the checker.
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
  double bytes_per_s = 0;   // of all bodies together; 0: as fast as they are read
  std::size_t takes = 256;  // requests in hand; over it 429
  Duration latency{};       // before an answer begins
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

  // ---- Faults. Of blobs and manifests alike, unless said otherwise ----
  void set_slowdown(double times) { slow_ = times; }
  // The next n answers; `digest`: only of that blob. n < 0: for ever.
  struct Fault {
    enum class Kind {
      kCorrupt,    // a byte is another
      kShort,      // ends early, in order
      kReset,      // breaks off in the middle
      kEndless,    // stops in the middle and stays
      kStatus,     // `status` with `retry_after_s`
      kRedirect,   // to the same path at `to`
      kWholeBody,  // ignores Range
      kOtherRange  // another part than was asked for
    } kind = Kind::kCorrupt;
    int times = 1;
    std::string digest;
    int status = 503, retry_after_s = 0;
    std::string to;  // http://ADDRESS:PORT
  };
  void add(Fault fault) { faults_.push_back(std::move(fault)); }
  void clear_faults() { faults_.clear(); }

  // ---- What was seen ----
  std::uint64_t requests() const { return requests_; }
  std::uint64_t sent_bytes() const { return sent_; }  // of bodies
  // How often each byte range of a blob was sent whole to whom: "who digest from-to".
  const std::map<std::string, int>& ranges() const { return ranges_; }
  std::size_t in_hand() const { return in_hand_; }
  std::size_t max_in_flight() const { return most_in_hand_; }

 private:
  class Client;
  struct Answer {
    int status = 200;
    http::Headers headers;
    std::string body;
    std::string note;  // for ranges_, once it is sent whole
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
  std::map<std::string, std::string> blobs_;                        // by digest
  std::map<std::string, std::set<std::string>> of_repository_;      // digests that it lists
  std::map<std::string, std::map<std::string, std::string>> tags_;  // repository, tag or digest: the digest
  std::map<std::string, std::string> manifests_;                    // by digest
  std::set<std::string> uploads_;
  std::deque<Fault> faults_;
  double slow_ = 1;
  Time free_at_{};  // when the line is free again
  std::uint64_t requests_ = 0, sent_ = 0, next_upload_ = 1;
  std::map<std::string, int> ranges_;
  std::size_t in_hand_ = 0, most_in_hand_ = 0;
};

}  // namespace laureltide::standin
