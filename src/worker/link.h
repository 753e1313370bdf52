// The controller's side of the worker protocol: one connection to one worker, opened on demand.
//
// Each submitted call, hold and probe ends exactly once, and never from within the submitting function.
// A call is known never to have run if it was
//   never sent (no connection was made, or it ended before the bytes were handed to the transport),
//   refused by the worker (full, miss), or above the last id that a draining worker reports as taken.
// Any other call that was handed to the transport and got no answer may have run.
#pragma once

#include <map>
#include <memory>

#include "base/io.h"
#include "worker/worker_link.h"

namespace laureltide::worker {

struct LinkOptions {
  std::uint32_t controller = 0;
  std::string controller_name = "laureltide";
  std::int64_t started_unix_ms = 0;                        // start time of this controller process
  Duration dial_timeout = std::chrono::milliseconds(250);  // connect and receive the worker's hello
  std::size_t max_unsent_bytes =
      16U << 20;                       // bytes not yet accepted by the socket; above it calls end as full
  std::size_t max_outstanding = 4096;  // in flight or queued for the connection; above it: full
  std::uint32_t max_frame = kDefaultMaxFrame;
};

class Link : public WorkerLink, public io::ConnectionEvents {
 public:
  Link(io::Host& host, WorkerId worker, io::Address address, LinkOptions options, LinkEvents& events);
  ~Link() override;

  // ---- WorkerLink ----
  void call(Call call, std::string_view body, std::uint64_t cookie) override;
  void cancel(std::uint64_t cookie) override;
  void withdraw(std::uint64_t cookie) override;
  void withdraw_waiting() override;
  bool forget_call(std::uint64_t cookie) override;
  void forget_hold(std::uint64_t cookie) override;
  void hold(const std::string& function, int instances, std::uint64_t cookie) override;
  void release(const std::string& function) override;
  void probe(std::uint64_t cookie) override;
  const io::Address& address() const override { return address_; }
  bool idle() const override {
    // Deferred ends count as well: destroying the link would lose them.
    return calls_.empty() && waiting_.empty() && holds_.empty() && probes_.empty() && deferred_.empty();
  }
  std::size_t out() const { return calls_.size() + waiting_.size(); }

  // ---- io::ConnectionEvents ----
  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason why) override;

 private:
  enum class State { kIdle, kDialing, kReady };
  struct Waiting {  // queued until the connection is ready
    Message message;
    std::uint64_t cookie;
  };

  void send_or_queue(Message message, std::string_view body, std::uint64_t cookie);
  bool forget_waiting(std::uint64_t cookie);  // removes a call that is queued for the connection
  void transmit(const Message& message, std::string_view body, std::uint64_t cookie);
  void dial();
  void on_message(Message message);
  void on_answer(Answer answer);
  void on_drain(std::uint64_t last_taken);
  void on_connection_lost(io::CloseReason why);
  bool may_be_sent(const Waiting& waiting);
  void end_unsent(const Message& message, std::uint64_t cookie);
  void end_waiting(const Message& message, std::uint64_t cookie, Outcome outcome);
  void defer(std::function<void()> what);
  void fail_protocol(ErrorCode code, std::string_view why);

  io::Host& host_;
  WorkerId worker_;
  io::Address address_;
  LinkOptions options_;
  LinkEvents& events_;
  std::unique_ptr<io::Connection> connection_;
  State state_ = State::kIdle;
  bool draining_ = false;
  std::uint32_t peer_max_frame_ = kHelloMaxFrame;
  std::uint64_t dial_count_ = 0;
  std::uint64_t next_id_ = 1, next_order_ = 1;
  std::vector<Waiting> waiting_;
  std::map<std::uint64_t, std::uint64_t> calls_, call_ids_;  // call id to cookie, and cookie to call id
  std::map<std::uint64_t, std::uint64_t> holds_, probes_;    // order id to cookie
  std::vector<std::function<void()>> deferred_;
  std::unique_ptr<io::Timer> dial_timer_, deferred_timer_;
  std::string scratch_;
};

}  // namespace laureltide::worker
