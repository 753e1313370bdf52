// A stand-in client of the invoke API: makes calls over HTTP, repeats them under the same Idempotency-Key
// when a connection fails, and notes what it sees on its sockets.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "http/client.h"
#include "standin/caller.h"
#include "standin/tape.h"

namespace laureltide::standin {

struct HttpCallerOptions {
  std::vector<io::Address> gateways;          // calls go to them in turn, and repeats to the next
  std::vector<std::string> names;             // of the gateways, for the tape
  std::map<std::string, std::string> tokens;  // by tenant; that of "" serves calls without one
  int tries = 100;
  Duration pause = std::chrono::milliseconds(100);
  bool deferred = false;  // Prefer: respond-async, and polling
  double repeat = 0;      // the part of answered calls that is asked for once more under its key
};

class HttpCaller {
 public:
  HttpCaller(io::Host& host, HttpCallerOptions options, Tape& tape);
  ~HttpCaller();
  void call(const CallToMake& call);
  std::function<void(const std::string& call, const Caller::Answered&)> on_answer;
  std::size_t open() const { return open_.size(); }

 private:
  struct Open {
    CallToMake call;
    std::size_t gateway = 0;
    int tries = 0;
    bool given = false;        // some gateway may have it
    std::string location;      // of a deferred one
    bool again_asked = false;  // it has its answer, and asks whether that stands
    Time until{};
    std::unique_ptr<http::Exchange> exchange;
    std::unique_ptr<io::Timer> again;
  };
  void send(const std::string& name);
  void ask(const std::string& name, http::Request request, const io::Address& to);
  void on_result(const std::string& name, http::Exchange::Result result);
  void later(Open& open);

  io::Host& host_;
  HttpCallerOptions options_;
  Tape& tape_;
  std::size_t turn_ = 0;
  std::map<std::string, std::unique_ptr<Open>> open_;
  io::DeferredDeleter<Open> dead_;
  io::DeferredDeleter<http::Exchange> dead_exchanges_;
};

}  // namespace laureltide::standin
