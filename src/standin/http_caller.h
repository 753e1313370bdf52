// A client of the HTTP invoke API for scripted days: makes calls, retries them under the same Idempotency-Key
// when a connection fails, and records what it sees on its sockets.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "http/client.h"
#include "standin/caller.h"
#include "standin/tape.h"

namespace laureltide::standin {

struct HttpCallerOptions {
  std::vector<io::Address> gateways;          // round robin; a retry goes to the next one
  std::vector<std::string> names;             // of the gateways, as recorded
  std::map<std::string, std::string> tokens;  // by tenant; "" holds the token of calls without a tenant
  int max_attempts = 100;
  Duration retry_delay = std::chrono::milliseconds(100);
  bool deferred = false;  // sends Prefer: respond-async and polls for the answer
  double repeat = 0;      // share of the answered calls that is sent once more under the same key
};

class HttpCaller {
 public:
  HttpCaller(io::Host& host, HttpCallerOptions options, Tape& tape);
  ~HttpCaller();
  void call(const CallToMake& call);
  std::function<void(const std::string& call, const Caller::Answered&)> on_answer;
  std::size_t open() const { return open_.size(); }

 private:
  struct OpenCall {
    CallToMake call;
    std::size_t gateway = 0;
    int attempts = 0;
    bool maybe_received = false;  // a gateway may have received it
    std::string location;         // where to poll for a deferred call
    bool replayed = false;        // answered, and sent again: the same answer must come
    Time retry_until{};
    std::unique_ptr<http::Exchange> exchange;
    std::unique_ptr<io::Timer> retry_timer;
  };
  void send(const std::string& name);
  void send_request(const std::string& name, http::Request request, const io::Address& to);
  void on_result(const std::string& name, http::Exchange::Result result);
  void retry_later(OpenCall& open);

  io::Host& host_;
  HttpCallerOptions options_;
  Tape& tape_;
  std::size_t next_gateway_ = 0;
  std::map<std::string, std::unique_ptr<OpenCall>> open_;
  io::DeferredDeleter<OpenCall> dead_;
  io::DeferredDeleter<http::Exchange> dead_exchanges_;
};

}  // namespace laureltide::standin
