// The server's end of the platform's client connections: framed Thrift, answers in any order. Sans-I/O.
//
// A request and what it gets, where it is no ordinary call:
//   a length below nothing or over kMaxFrameBytes, bytes that are no message, a sequence number that does not
//   run
//     up, more cancels than `max_cancels_per_second` at once: an application exception, the connection's open
//     calls are told failed and end, and it is closed; nothing behind it is read
//   a whole message that is no request, or is over a bound within: an application exception, the rest goes on
//   over `max_open_calls` open on a connection: refused
//   nothing said within `first_byte_timeout`, half a frame for `frame_timeout`: as bytes that are no message
// Over `max_connections` the one goes that has been silent longest with nothing open; where all have
// something open, the new one. A client that does not read its answers is hung up on at `max_unsent_bytes`
// bytes.
//
// A client that ends its side has gone, also if it only ended half of the connection: what it sent before
// is taken and then told gone, in that order.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "base/io.h"
#include "front/message.h"

namespace laureltide::front {

struct ServerOptions {
  std::size_t max_connections = 256;
  std::size_t max_open_calls = 32;          // on one connection
  std::size_t max_cancels_per_second = 64;  // in a second, on one connection
  std::size_t max_unsent_bytes = 1U << 20;
  Duration first_byte_timeout = std::chrono::milliseconds(2000);
  Duration frame_timeout = std::chrono::milliseconds(2000);
};

class Server {
 public:
  // Names a call until it is answered or nobody waits for it.
  using Ticket = std::uint64_t;
  class Events {
   public:
    virtual ~Events() = default;
    // Answer it by respond(), now or later.
    virtual void on_call(Ticket ticket, Fields fields, std::string body) = 0;
    // It was cancelled, or its connection ended: respond() would do nothing.
    virtual void on_gone(Ticket ticket) = 0;
    virtual bool healthy() = 0;
    virtual void on_anomaly(const std::string& what) = 0;
  };
  Server(io::Host& host, ServerOptions options, Events& events);
  ~Server();

  bool listen(const io::Address& at);
  io::Address address() const { return listener_->address(); }
  void respond(Ticket ticket, const Reply& reply);
  // Takes in what the machine has accepted up to now, and accepts no more.
  void stop_listening();
  // Ends all connections on which nothing is open, in order: what was written is read first.
  void close_idle_connections();
  std::size_t connections() const { return connections_.size(); }
  std::size_t open_calls() const { return tickets_.size(); }
  std::size_t unsent() const;                    // bytes of answers that the machine has not taken yet
  Time last_received() const { return heard_; }  // bytes of any client

 private:
  class Connection;
  io::ConnectionEvents* accept(std::unique_ptr<io::Connection> stream);
  bool make_room();
  void drop(Connection& connection);
  void sweep();

  io::Host& host_;
  ServerOptions options_;
  Events& events_;
  std::unique_ptr<io::Listener> listener_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<Ticket, Connection*> tickets_;
  io::DeferredDeleter<Connection> dead_;
  std::unique_ptr<io::Timer> sweep_;
  Time heard_{};
  Ticket next_ = 1;
};

}  // namespace laureltide::front
