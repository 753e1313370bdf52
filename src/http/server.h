// An HTTP/1.1 server (RFC 9112, 9). All I/O goes through io::Host.
//
// Each connection handles one request at a time; pipelined requests wait unparsed until the response is sent.
// Bounds: those of http::Limits; a head must be complete within `header_timeout` of its first byte and a body
// within `body_timeout` of its head (else 408: slow clients); an idle connection is closed after
// `idle_timeout`, and the connection of a client that has not read its response within `write_timeout` is
// closed.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "base/io.h"
#include "http/message.h"

namespace laureltide::http {

struct ServerOptions {
  Limits limits;
  Duration header_timeout = std::chrono::seconds(10);
  Duration body_timeout = std::chrono::seconds(30);
  Duration idle_timeout = std::chrono::seconds(60);
  Duration write_timeout = std::chrono::seconds(30);
  std::size_t max_connections = 1024;  // further connections are closed at once
};

class Server {
 public:
  // Identifies a request until its response is sent or its client disconnects.
  using Ticket = std::uint64_t;
  // The handler of the requests, implemented by the server's owner.
  class Events {
   public:
    virtual ~Events() = default;
    // A complete request, to be answered by respond(), within this call or later.
    virtual void on_request(Ticket ticket, Request request) = 0;
    // The client disconnected before its response; respond() for this ticket does nothing.
    virtual void on_client_disconnected(Ticket ticket) = 0;
    // The input was rejected with `status`, and the connection is closed. Returns the body of that response.
    virtual std::string on_invalid_request(int status, const std::string& why) = 0;
  };
  Server(io::Host& host, ServerOptions options, Events& events);
  ~Server();

  bool listen(const io::Address& at);
  io::Address address() const { return listener_->address(); }
  void respond(Ticket ticket, Response response);
  // Stops listening; each connection is closed once its open request is answered.
  void drain();
  std::size_t connections() const { return connections_.size(); }
  std::size_t unanswered() const { return tickets_.size(); }  // open requests

 private:
  class Connection;
  void drop(Connection& connection);

  io::Host& host_;
  ServerOptions options_;
  Events& events_;
  std::unique_ptr<io::Listener> listener_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<Ticket, Connection*> tickets_;
  io::DeferredDeleter<Connection> dead_;
  Ticket next_ = 1;
  bool draining_ = false;
};

}  // namespace laureltide::http
