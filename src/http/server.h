// The server's end of an HTTP/1.1 connection (RFC 9112, 9). Sans-I/O.
//
// One request is handled at a time; what a client sends behind it waits unread (pipelining is right, not
// fast). Bounds: those of http::Limits; a head must be whole within `header_timeout` of its first byte and a
// body within `body_timeout` of its head (408, slow clients); an idle connection is closed after
// `idle_timeout`; a client that does not read its answer within `write_timeout` is hung up on.
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
  std::size_t max_connections = 1024;  // over it: the connection is closed at once
};

class Server {
 public:
  // Names a request until it is answered or its client is gone.
  using Ticket = std::uint64_t;
  class Events {
   public:
    virtual ~Events() = default;
    // Answer it by respond(), now or later.
    virtual void on_request(Ticket ticket, Request request) = 0;
    // The client hung up before its answer: respond() would do nothing.
    virtual void on_client_disconnected(Ticket ticket) = 0;
    // What could not be read as a request: it is answered with `error` and makes the body of that answer.
    virtual std::string on_invalid_request(int status, const std::string& why) = 0;
  };
  Server(io::Host& host, ServerOptions options, Events& events);
  ~Server();

  bool listen(const io::Address& at);
  io::Address address() const { return listener_->address(); }
  void respond(Ticket ticket, Response response);
  // Listens no more; connections close behind the answers that are owed.
  void drain();
  std::size_t connections() const { return connections_.size(); }
  std::size_t unanswered() const { return tickets_.size(); }

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
