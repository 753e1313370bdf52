// A stand-in for an AMQP 0-9-1 broker, written from the public specification: exchanges of the four types,
// bindings, queues with expiration and redelivery, consumers with prefetch, acknowledgements, transactions,
// confirms, returns. It keeps everything in memory.
//
// Scripts and tests inject faults through its methods.
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
  // Reads nothing while paused: answers and acks pile up.
  void set_reading_paused(bool paused, const std::string& who = "");
  // Sends nothing while paused, heartbeats included.
  void set_writing_paused(bool paused, const std::string& who = "");
  void close_channels(amqp::ReplyCode code, const std::string& text, const std::string& who = "");
  void cancel_consumers(const std::string& who = "");
  // Ends all connections and closes the listener until restart(). Durable messages survive, as on a disk;
  // what was not acknowledged, or was part of an open transaction, is redelivered.
  void crash();
  bool restart();
  // Commits the next n transactions, but breaks the connection instead of sending commit-ok.
  void drop_commit_replies(int n) { commit_replies_to_drop_ = n; }
  // Breaks the connection when the next n commits arrive, without committing.
  void drop_commits(int n) { commits_to_drop_ = n; }
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
    const Connection* owner = nullptr;     // of an exclusive queue
    std::map<std::uint64_t, Entry> ready;  // by position, so that a requeued message keeps its place
    std::vector<std::shared_ptr<Consumer>> consumers;
    std::size_t next_consumer = 0;
    std::uint64_t next_position = 1;
    std::size_t unacked = 0;
    bool delivering = false;
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
  void deliver_ready(Queue& queue);
  void requeue(const std::string& queue, Entry entry);
  void remove_queue(const std::string& name);
  void remove_consumer(const std::shared_ptr<Consumer>& consumer);
  template <class F>
  void for_each_connection(const std::string& who, F what);

  io::Host& host_;
  BrokerOptions options_;
  Tape& tape_;
  std::unique_ptr<io::Listener> listener_;
  io::Address address_;  // to listen on again after a crash
  std::map<std::string, Exchange> exchanges_;
  std::map<std::string, Queue> queues_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  io::DeferredDeleter<Connection> dead_;
  std::set<std::string> requeued_;  // queues to deliver from once the current callback has returned
  std::unique_ptr<io::Timer> redelivery_timer_;
  std::uint64_t generated_ = 0;
  int commit_replies_to_drop_ = 0, commits_to_drop_ = 0;
};

// Matches a topic pattern: words between dots, * for one word, # for none or more (3.1.3.3).
bool topic_matches(std::string_view pattern, std::string_view key);

}  // namespace laureltide::standin
