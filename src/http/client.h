// An HTTP/1.1 client for a single exchange: connects, sends the request, reads the response, closes. All I/O
// goes through io::Host.
#pragma once

#include <functional>
#include <memory>

#include "base/io.h"
#include "http/message.h"

namespace laureltide::http {

struct Url {  // http://ADDRESS:PORT/PATH with a numeric address
  io::Address address;
  std::string target = "/";
};
std::optional<Url> parse_url(std::string_view text);

// One request and its response.
class Exchange : public io::ConnectionEvents {
 public:
  struct Result {
    int status = 0;  // 0: no response
    Headers headers;
    std::string body, why;  // `why`: the error, where there is no response
    bool sent = false;      // the server may have received the request
  };
  using Done = std::function<void(Result)>;
  // Calls `done` once, never from within the constructor. Destroying the exchange cancels it.
  Exchange(io::Host& host, const io::Address& to, const Request& request, Duration timeout, Limits limits,
           Done done);

  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason why) override;

 private:
  void finish(std::string why);

  std::string out_;
  Parser parser_;
  Done done_;
  std::unique_ptr<io::Timer> timer_;
  std::unique_ptr<io::Connection> connection_;
  bool sent_ = false, finished_ = false;
};

}  // namespace laureltide::http
