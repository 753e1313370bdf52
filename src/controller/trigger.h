// The AMQP 0-9-1 front: messages on configured queues are calls (docs/amqp.md has the contract).
//
// One TriggerFront serves one broker: a connection, and a channel for each queue. It reconnects with jittered
// back-off; a channel that the broker closes is opened again alone. An answer leaves with the acknowledgement
// of its message, in one transaction or behind the broker's confirm; after a lost connection it waits for the
// broker to give the message again. With `acknowledge = "take"` a message is acknowledged once the ledger has
// its call; its answer is then owed whatever happens, and published until the broker confirms it.
//
// While the ledger takes nothing, neither does the front: its consumers are cancelled, and messages stay with
// the broker.
//
// Bounds: `prefetch` messages of a queue are here at a time, and the broker holds back the rest. Answers wait
// here while the broker does not read; then nothing more is read from it either.
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

  // Takes nothing more: consumers are cancelled, what comes meanwhile is given back.
  void drain();
  // Nothing is held: all that was taken is answered, and the broker has said that it knows.
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
    std::string name;  // empty: of a message that was no call
    Delivery delivery;
    std::shared_ptr<const Answer> answer;
    bool owed = false;  // its message is acknowledged already: it stays until the broker confirms it
  };
  // A message's call, read and checked.
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
    std::uint64_t epoch = 0;  // of the channel; 0 before the first
    bool standing = false;    // the channel is open and consuming
    std::string consumer;
    std::string front;        // its name in the ledger
    bool consuming = false;   // the consumer stands
    bool cancelling = false;  // we have asked to end it
    bool asking = false;      // how many messages are left, to know whether the ledger covers them all
    // acknowledge = "take":
    std::deque<std::string> backlog;                    // keys owed since before the start, not yet taken up
    std::deque<Parsed> parked;                          // read, not yet taken: the core has no room
    std::map<std::string, std::uint64_t> acknowledged;  // owed names, and the epoch of their acknowledgement
    std::map<std::string, std::size_t> unpublished;     // answered names, and replies not yet confirmed
    std::size_t taking = 0;                             // calls on their way into the ledger
    std::deque<Reply> ready;                            // to be published
    std::vector<Reply> committing;                      // in the transaction that is out
    std::vector<Reply> uncommitted;
    bool commit_out = false;
    std::uint64_t published = 0;  // confirm mode: sequence numbers
    std::map<std::uint64_t, Reply> unconfirmed;
    std::size_t unsettled = 0;  // deliveries of this epoch without a settled acknowledgement
    std::unique_ptr<io::Timer> again, look;
    Duration back_off{};
  };

  void dial();
  void open(Queue& queue);
  void channel_lost(Queue& queue);
  Queue* queue_of(std::uint16_t channel);
  void consume(Queue& queue);
  void on_message(Queue& queue, const amqp::BasicDeliver& deliver, amqp::Content content);
  std::optional<Parsed> read(Queue& queue, const amqp::BasicDeliver& deliver, amqp::Content content);
  void give_back(Queue& queue, std::uint64_t tag);
  void take(Queue& queue, Parsed parsed);
  // acknowledge = "take"
  void take_owed(Queue& queue, Parsed parsed);
  void run_owed(Queue& queue, const std::string& name, Call call);
  void acknowledge(Queue& queue, const std::string& name, const Delivery& delivery);
  void owed_ended(Queue& queue, const std::string& name, const Answer& answer);
  void publish_owed(Queue& queue, const std::string& name);
  void recover(Queue& queue);
  void make_room(Queue& queue);
  std::string room_for(const Queue& queue) const;
  // The ledger takes nothing: neither do we, until it does.
  void pause(const std::string& why);
  void look_at_pause();
  void look_at_coverage(Queue& queue);
  void turn_away(Queue& queue, Delivery delivery, Answer::Kind kind, std::string reason,
                 const std::string& what);
  void answer(Queue& queue, Reply reply);
  void call_ended(Queue& queue, const std::string& name, const std::string& record, Answer answer);
  ledger::Record record_of(const Call& call, const Delivery& delivery) const;
  void pump(Queue& queue);
  void publish(Queue& queue, Reply reply);
  void settle(Queue& queue, const Reply& reply);
  void hold_back();
  Duration jittered(Duration& back_off);

  io::Host& host_;
  Core& core_;
  config::Broker broker_;
  std::string gateway_name_;
  Log log_;
  std::unique_ptr<amqp::Endpoint> endpoint_;
  io::DeferredDeleter<amqp::Endpoint> dead_;
  ledger::CallLedger* book_;
  std::vector<std::unique_ptr<Queue>> queues_;
  std::unique_ptr<io::Timer> again_, pause_look_;
  Duration back_off_;
  std::uint64_t epochs_ = 0;
  std::uint64_t unnamed_ = 0;
  bool draining_ = false, reading_ = true, paused_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace laureltide::controller
