// A stand-in for an AMQP 0-9-1 broker, written from the public specification: exchanges of the four types,
// bindings, queues with expiration and redelivery, consumers with prefetch, acknowledgements, transactions,
// confirms, returns. It keeps everything in memory and forgets it with the process.
//
// Faults are ordered through its methods, by a script or a test.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>

#include "amqp/endpoint.h"
#include "standin/tape.h"

namespace laureltide::standin {

struct BrokerOptions {
  std::string user = "guest", password = "guest", vhost = "/";
  std::uint16_t channel_max = 2047, heartbeat_s = 60;
  std::uint32_t frame_max = 128U << 10;
  std::uint64_t most_body = 64U << 20;
  std::size_t most_connections = 4096;
};

class Broker {
 public:
  Broker(io::Host& host, BrokerOptions options, Tape& tape);
  ~Broker();
  bool listen(const io::Address& at);
  io::Address address() const;

  void declare_queue(const std::string& name);
  std::size_t depth(const std::string& queue) const;  // ready messages
  std::size_t unacked(const std::string& queue) const;
  std::size_t connections() const { return connections_.size(); }
  std::size_t consumers(const std::string& queue) const;

  // ---- Faults. `who` is a client's connection_name; empty: all. ----
  void break_connections(const std::string& who = "");
  void set_reading_paused(bool deaf, const std::string& who = "");  // reads nothing: answers and acks pile up
  void set_writing_paused(bool mute, const std::string& who = "");  // sends nothing, heartbeats included
  void close_channels(amqp::ReplyCode code, const std::string& text, const std::string& who = "");
  void cancel_consumers(const std::string& who = "");
  // All connections end and nothing listens until restart(). Durable messages survive, as on a disk; what was
  // not acknowledged, or stood in an open transaction, is given again.
  void crash();
  bool restart();
  // Breaks the connection in place of the next n commit-ok: committed, but the client does not know.
  void drop_commit_replies(int n) { lose_commit_ok_ = n; }
  // Breaks the connection when the next n commits arrive, before they are done.
  void drop_commits(int n) { lose_commit_ = n; }
  void set_flow(bool active);
  void delete_queue(const std::string& queue) { remove_queue(queue); }

 private:
  class Connection;
  struct Message {
    std::string exchange, routing_key;
    amqp::Properties properties;
    std::string body;
  };
  struct Entry {
    std::shared_ptr<const Message> message;
    bool redelivered = false;
    std::optional<Time> expires;
    std::uint64_t position = 0;
  };
  struct Consumer {
    Connection* connection = nullptr;
    std::uint16_t channel = 0;
    std::string tag, queue;
    bool no_ack = false, exclusive = false;
    std::uint16_t prefetch = 0;
    std::size_t unacked = 0;
  };
  struct Queue {
    std::string name;
    bool durable = false, exclusive = false, auto_delete = false, had_consumers = false;
    const Connection* owner = nullptr;     // of an exclusive one
    std::map<std::uint64_t, Entry> ready;  // by position, so that what comes back keeps its place
    std::vector<std::shared_ptr<Consumer>> consumers;
    std::size_t next_consumer = 0;
    std::uint64_t next_position = 1;
    std::size_t unacked = 0;
    bool pumping = false;
  };
  struct Binding {
    std::string queue, routing_key;
    amqp::Table arguments;
    bool operator==(const Binding&) const = default;
  };
  struct Exchange {
    std::string type;
    bool durable = false;
    std::vector<Binding> bindings;
  };

  std::set<std::string> route(const Message& message, bool& found) const;
  bool publish(std::shared_ptr<const Message> message, const std::string& by);  // false: no queue took it
  void pump(Queue& queue);
  void requeue(const std::string& queue, Entry entry);
  void remove_queue(const std::string& name);
  void remove_consumer(const std::shared_ptr<Consumer>& consumer);
  template <class F>
  void each(const std::string& who, F what);

  io::Host& host_;
  BrokerOptions options_;
  Tape& tape_;
  std::unique_ptr<io::Listener> listener_;
  io::Address address_;  // where it listened before a crash
  std::map<std::string, Exchange> exchanges_;
  std::map<std::string, Queue> queues_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  io::DeferredDeleter<Connection> dead_;
  std::set<std::string> given_back_;  // queues to be looked at once what is going on is over
  std::unique_ptr<io::Timer> give_again_;
  std::uint64_t generated_ = 0;
  int lose_commit_ok_ = 0, lose_commit_ = 0;
};

// Topic patterns: words between dots, * for one word, # for none or more (3.1.3.3).
bool topic_matches(std::string_view pattern, std::string_view key);

}  // namespace laureltide::standin
