// The server for the platform's clients: framed Thrift, answers in any order. It does no I/O of its own.
//
// Handling of clients that misbehave or exceed a limit:
//   a frame length that is negative or over kMaxFrameBytes, an unparsable message, a sequence number that
//     does not increase, more than `max_cancels_per_second` cancels: an application exception.
//     The open calls of the connection are answered as failed and reported as abandoned.
//     The connection is closed.
//     No more of its input is read.
//   a complete message that is not a valid request, or exceeds an inner limit: an application exception; the
//     connection stays open
//   more than `max_open_calls` open calls on a connection: refused
//   no byte within `first_byte_timeout`, or a partial frame for `frame_timeout`: as for an unparsable message
// Above `max_connections`, the connection that has been idle longest without open calls is closed; if all
// have open calls, the new one is rejected.
// While more than `pause_unsent_bytes` of answers are pending on a connection, its messages are not read: its
// client's own window fills. It is closed once `max_unsent_bytes` are pending, or if it is held back for
// `frame_timeout`.
// All input that is not handled and all answers that are not sent count against `max_buffered_bytes`; at that
// limit the connection that holds the most is closed.
//
// Connections take turns: each handles a few messages, then the next one. Whole messages that are left wait
// in the connection's input for its next turn, and a turn of the event loop handles a bounded number in all,
// so that clients which send without pause delay neither others nor timers.
//
// A client that closes its side counts as gone, even if it closed only its sending half: its open calls are
// reported as abandoned, and what it sent but was not handled yet is dropped.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "base/io.h"
#include "front/message.h"

namespace laureltide::front {

struct ServerOptions {
  std::size_t max_connections = 256;
  std::size_t max_open_calls = 32;              // per connection
  std::size_t max_cancels_per_second = 64;      // per connection
  std::size_t pause_unsent_bytes = 128U << 10;  // per connection; above the host's low watermark
  std::size_t max_unsent_bytes = 1U << 20;      // per connection
  std::size_t max_buffered_bytes = 4U << 20;    // of all connections
  std::size_t messages_per_visit = 8;           // of one connection, before the next one has its turn
  std::size_t messages_per_turn = 64;           // of all connections, before timers and other input
  Duration max_turn = std::chrono::milliseconds(5);
  Duration first_byte_timeout = std::chrono::milliseconds(2000);
  Duration frame_timeout = std::chrono::milliseconds(2000);
};

class Server {
 public:
  // Identifies a call until it is answered or abandoned.
  using Ticket = std::uint64_t;
  class Events {
   public:
    virtual ~Events() = default;
    // Answer it with respond(), now or later. The call's last byte arrived at `arrived`, or somewhat later.
    virtual void on_call(Ticket ticket, Fields fields, std::string body, Time arrived) = 0;
    // The call was cancelled or its connection ended; respond() has no effect any more.
    virtual void on_gone(Ticket ticket) = 0;
    virtual bool healthy() = 0;
    virtual void on_anomaly(const std::string& what) = 0;
  };
  Server(io::Host& host, ServerOptions options, Events& events);
  ~Server();

  bool listen(const io::Address& at);
  io::Address address() const { return listener_->address(); }
  void respond(Ticket ticket, const Reply& reply);
  // Serves the connections that the operating system has accepted so far, and accepts no more.
  void stop_listening();
  // Closes all connections without open calls gracefully: clients receive what was written before.
  void close_idle_connections();
  std::size_t connections() const { return connections_.size(); }
  std::size_t open_calls() const { return tickets_.size(); }
  std::size_t unsent() const;                            // bytes of answers not yet accepted by the sockets
  std::size_t buffered_bytes() const;                    // unsent answers and input not yet handled
  Time last_received() const { return last_received_; }  // when a client last sent data

 private:
  class Connection;
  io::ConnectionEvents* accept(std::unique_ptr<io::Connection> stream);
  bool close_longest_idle();
  void drop(Connection& connection);
  void limit_buffered_bytes_after(Connection& connection);
  void sweep();
  void start_turn_timer();
  void wait_for_turn(Connection& connection);
  void run_turn();
  Time input_bound(Time now);
  bool turn_is_over() const { return messages_this_turn_ >= options_.messages_per_turn; }

  io::Host& host_;
  ServerOptions options_;
  Events& events_;
  std::unique_ptr<io::Listener> listener_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<Ticket, Connection*> tickets_;
  io::DeferredDeleter<Connection> closed_connections_;
  std::unique_ptr<io::Timer> sweep_;
  std::unique_ptr<io::Timer> turn_timer_;
  bool turn_timer_started_ = false;
  std::size_t messages_this_turn_ = 0;
  std::deque<Connection*> waiting_;  // connections with whole messages, in the order of their next turns
  Connection* visited_ = nullptr;    // whose turn it is
  // Sum over all connections of what they held when last handled or answered: at least buffered_bytes().
  std::size_t counted_bytes_ = 0;
  Time last_run_{};     // any event of this server
  Time input_bound_{};  // input read before `bound_ends_` may be as old as this
  Time bound_ends_{};
  Time last_received_{};
  Ticket next_ticket_ = 1;
};

}  // namespace laureltide::front
