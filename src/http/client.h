// One HTTP/1.1 exchange as a client: connects, asks, reads the answer, closes. Sans-I/O.
#pragma once

#include <functional>
#include <memory>

#include "base/io.h"
#include "http/message.h"

namespace laureltide::http {

struct Url {  // http://ADDRESS:PORT/PATH, numeric
  io::Address address;
  std::string target = "/";
};
std::optional<Url> parse_url(std::string_view text);

class Exchange : public io::ConnectionEvents {
 public:
  struct Result {
    int status = 0;  // 0: no answer
    Headers headers;
    std::string body, why;
    bool sent = false;  // the request may have arrived
  };
  using Done = std::function<void(Result)>;
  // `done` comes once, never from within the call; destroying the exchange calls it off.
  Exchange(io::Host& host, const io::Address& to, const Request& request, Duration within, Limits limits,
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
  bool sent_ = false, over_ = false;
};

}  // namespace laureltide::http
