// The AMQP 0-9-1 front: messages on configured queues are calls (docs/amqp.md has the contract).
//
// One TriggerFront serves one broker: one connection, with one channel for each queue. It reconnects with
// jittered exponential backoff; a channel that the broker closes is reopened on its own. An answer is
// published together with the acknowledgement of its message: in one transaction, or the acknowledgement
// after the broker's confirm. After a lost connection the answer waits until the broker redelivers the
// message. With `acknowledge = "take"` a message is acknowledged once its call is durable in the ledger; the
// answer is then owed, and is published until the broker confirms it.
//
// While the ledger accepts no records, the front's consumers are cancelled and messages stay with the broker.
//
// Bounds: at most `prefetch` messages of each queue are unacknowledged. While the broker does not read,
// answers wait here, and nothing more is read from the broker.
#pragma once

#include <deque>
#include <map>

#include "amqp/endpoint.h"
#include "controller/core.h"
#include "controller/intake.h"

namespace laureltide::controller {

class TriggerFront : public amqp::EndpointEvents {
 public:
  using Log = std::function<void(bool warn, const std::string& line)>;
  TriggerFront(io::Host& host, Core& core, config::Broker broker, std::string gateway_name, Log log,
               ledger::CallLedger* book = nullptr);
  ~TriggerFront() override;

  // Accepts no new calls: consumers are cancelled, and messages that still arrive are requeued.
  void drain();
  // All accepted calls are answered, and the broker has confirmed the answers.
  bool drained() const;
  bool connected() const { return endpoint_ && endpoint_->ready(); }
  const config::Broker& broker() const { return broker_; }

  // ---- amqp::EndpointEvents ----
  void on_ready() override;
  void on_method(std::uint16_t channel, const amqp::Method& method) override;
  void on_content(std::uint16_t channel, const amqp::Method& method, amqp::Content content) override;
  void on_channel_closed(std::uint16_t channel, std::uint16_t code, const std::string& text) override;
  void on_writable() override;
  void on_ended(const std::string& why) override;

 private:
  struct Reply {
    std::string name;  // empty: the message was not a valid call
    Delivery delivery;
    std::shared_ptr<const Answer> answer;
    bool owed = false;  // the message is already acknowledged: kept until the broker confirms the reply
  };
  // A message that was parsed and validated as a call.
  struct Parsed {
    Call call;
    Delivery delivery;
    ledger::Effect effect;
    bool named = false, redelivered = false;
  };
  struct Queue {
    Queue(std::string queue_name, std::uint16_t number, Intake::Options options)
        : name(std::move(queue_name)), channel(number), intake(options) {}
    std::string name;
    std::uint16_t channel = 0;
    Intake intake;
    std::uint64_t epoch = 0;     // of the channel; 0 before it was first opened
    bool channel_ready = false;  // the channel is open; replies can be published
    std::string consumer;
    std::string front;             // its name in the ledger
    bool consuming = false;        // the broker has confirmed the consumer
    bool cancelling = false;       // a cancel has been sent
    bool depth_requested = false;  // the queue's depth, for check_coverage()
    // acknowledge = "take":
    std::deque<std::string> backlog;                    // keys of owed calls not yet recovered
    std::deque<Parsed> parked;                          // parsed; waiting until the core has capacity
    std::map<std::string, std::uint64_t> acknowledged;  // owed names, with the epoch of the acknowledgement
    std::map<std::string, std::size_t>
        unconfirmed_replies;        // answered names, with their replies not yet confirmed
    std::size_t pending_takes = 0;  // calls being written to the ledger
    std::deque<Reply> outgoing;     // to be published
    std::vector<Reply> committing;  // in the transaction in flight
    std::vector<Reply> uncommitted;
    bool commit_in_flight = false;
    std::uint64_t publish_sequence = 0;  // the last sequence number, in confirm mode
    std::map<std::uint64_t, Reply> unconfirmed;
    std::size_t unacknowledged = 0;  // deliveries of this epoch whose acknowledgement is not settled
    std::unique_ptr<io::Timer> reopen_timer, retry_timer;
    Duration backoff{};
  };

  void connect_to_broker();
  void open_channel(Queue& queue);
  void reset_channel(Queue& queue);
  Queue* queue_of(std::uint16_t channel);
  void consume(Queue& queue);
  void on_message(Queue& queue, const amqp::BasicDeliver& deliver, amqp::Content content);
  std::optional<Parsed> parse_message(Queue& queue, const amqp::BasicDeliver& deliver, amqp::Content content);
  void requeue(Queue& queue, std::uint64_t tag);
  void take(Queue& queue, Parsed parsed);
  // acknowledge = "take"
  void take_owed(Queue& queue, Parsed parsed);
  void run_owed(Queue& queue, const std::string& name, Call call);
  void acknowledge(Queue& queue, const std::string& name, const Delivery& delivery);
  void on_owed_call_finished(Queue& queue, const std::string& name, const Answer& answer);
  void publish_owed(Queue& queue, const std::string& name);
  void recover_owed_calls(Queue& queue);
  void run_backlog(Queue& queue);
  std::string capacity_problem(const Queue& queue) const;
  // Stops consuming until the ledger accepts records again.
  void pause(const std::string& why);
  void check_pause();
  void check_coverage(Queue& queue);
  void reject(Queue& queue, Delivery delivery, Answer::Kind kind, std::string reason,
              const std::string& what);
  void enqueue_reply(Queue& queue, Reply reply);
  void on_call_finished(Queue& queue, const std::string& name, const std::string& ledger_key, Answer answer);
  ledger::Record record_of(const Call& call, const Delivery& delivery) const;
  void send_outgoing(Queue& queue);
  void publish(Queue& queue, Reply reply);
  void on_reply_settled(Queue& queue, const Reply& reply);
  void update_reading();
  Duration next_backoff(Duration& backoff);

  io::Host& host_;
  Core& core_;
  config::Broker broker_;
  std::string gateway_name_;
  Log log_;
  std::unique_ptr<amqp::Endpoint> endpoint_;
  io::DeferredDeleter<amqp::Endpoint> dead_;
  ledger::CallLedger* book_;
  std::vector<std::unique_ptr<Queue>> queues_;
  std::unique_ptr<io::Timer> reconnect_timer_, pause_timer_;
  Duration backoff_;
  std::uint64_t last_epoch_ = 0;
  std::uint64_t unnamed_calls_ = 0;
  bool draining_ = false, reading_ = true, paused_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace laureltide::controller
