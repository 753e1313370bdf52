// The controller's end of the worker protocol: one connection to one worker, opened at need.
//
// A link reports for everything given to it exactly one end, never from within the call that gave it, and
// tells apart what is proven never to have run:
//   never sent (no connection made, or it ended before the bytes were handed to the transport),
//   refused by the worker (full, miss), or above the last id that a draining worker says it took;
// from what may have run: everything handed to the transport whose answer did not come.
#pragma once

#include <map>
#include <memory>

#include "base/io.h"
#include "worker/worker_link.h"

namespace laureltide::worker {

struct LinkOptions {
  std::uint32_t controller = 0;
  std::string controller_name = "laureltide";
  std::int64_t started_unix_ms = 0;                        // of this life of the controller
  Duration dial_timeout = std::chrono::milliseconds(250);  // until the worker's hello
  std::size_t max_unsent_bytes =
      16U << 20;                       // bytes waiting for the worker to read; over it calls end as full
  std::size_t max_outstanding = 4096;  // calls and orders out or waiting for the connection; over it: full
  std::uint32_t max_frame = kDefaultMaxFrame;
};

class Link : public WorkerLink, public io::ConnectionEvents {
 public:
  Link(io::Host& host, WorkerId worker, io::Address address, LinkOptions options, LinkEvents& events);
  ~Link() override;

  // ---- Port ----
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
    // Ends that are about to be told keep it too: with it they would be lost.
    return calls_.empty() && waiting_.empty() && holds_.empty() && probes_.empty() && later_.empty();
  }
  std::size_t out() const { return calls_.size() + waiting_.size(); }

  // ---- io::ConnectionEvents ----
  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason why) override;

 private:
  enum class State { kIdle, kDialing, kReady };
  struct Waiting {  // for the connection
    Message message;
    std::uint64_t cookie;
  };

  void give(Message message, std::string_view body, std::uint64_t cookie);
  bool forget_waiting(std::uint64_t cookie);  // a call that waits for the connection
  void put(const Message& message, std::string_view body, std::uint64_t cookie);
  void dial();
  void on_message(Message message);
  void on_answer(Answer answer);
  void on_drain(std::uint64_t last_taken);
  void lost(io::CloseReason why);
  bool may_be_sent(const Waiting& waiting);
  void end_unsent(const Message& message, std::uint64_t cookie);
  void end_waiting(const Message& message, std::uint64_t cookie, Outcome outcome);
  void later(std::function<void()> what);
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
  std::uint64_t dials_ = 0;
  std::uint64_t next_id_ = 1, next_order_ = 1;
  std::vector<Waiting> waiting_;
  std::map<std::uint64_t, std::uint64_t> calls_, call_ids_;  // id to cookie, and back
  std::map<std::uint64_t, std::uint64_t> holds_, probes_;    // order to cookie
  std::vector<std::function<void()>> later_;
  std::unique_ptr<io::Timer> dialing_, later_timer_;
  std::string scratch_;
};

}  // namespace laureltide::worker
