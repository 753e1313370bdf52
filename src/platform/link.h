// The controller's client for one invoker, speaking the platform's binary frames. Implements worker::Port.
//
// Connection choice: connections are opened on demand. A call takes an idle connection if there is one, opens
// a new one while the budget shared by all links has room, and otherwise shares the least loaded one, so that
// a malformed answer or a lost connection affects as few calls as possible. A connection gets nothing new
// once an attempt on it went unanswered, or while it has been silent for `unresponsive_after` with something
// in flight. What is already in flight stays there until it ends. If the dial fails, nothing sent on it has
// run.
//
// Idle limit: an invoker or a proxy in between may close idle connections much earlier than the settings say,
// and a call sent at that moment may have run. A link therefore learns how long a connection may stay idle:
// half the idle time after which a connection turned out to be closed, growing again with each second in
// which none did. If another connection recently survived a longer idle time, the close had another cause,
// and nothing is learned from it.
//
// Lost connections: an invoker process that exits closes all its connections. If one closes alone while
// others to the same invoker stay open, its calls end as lost answers (kError); otherwise the invoker counts
// as crashed (kReset).
//
// Reported as never run: a miss, full, "already over", a failed dial, and a call abandoned before its
// connection was open. Reported as may have run: everything handed to the transport whose answer was lost or
// malformed.
//
// Calls queued for a connection that is still being opened are sent only if, once it is open, the worker may
// still start new work (LinkEvents::may_start_work) and the call may still be sent (may_be_sent). Bytes that
// the operating system has not accepted are checked again periodically; if they may no longer be sent, their
// connection is closed, because they would be sent as soon as the worker reads again.
//
// An answer carries only the call's id, which all attempts of a call share, and may be delivered twice. An id
// is therefore sent at most once per connection, so that every answer on a connection belongs to the one
// attempt sent there. If every connection has carried the id and no other can be opened, the call ends as
// full.
//
// Bounds: `streams` frames in flight per connection and CarriedIds::kCapacity ids over its lifetime;
// `max_connections` per link and ConnectionBudget::limit in total, beyond which a call ends as full;
// `max_unexpected_answers` per connection, beyond which it is closed.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "base/io.h"
#include "platform/frame.h"
#include "worker/worker_link.h"

namespace laureltide::platform {

// The number of connections of all links together, bounded so that file descriptors never run out.
struct ConnectionBudget {
  std::size_t open = 0;
  std::size_t limit = 64;    // beyond it a link shares its open connections
  std::size_t reserve = 32;  // above `limit`, for links without a usable connection
};

// What a key of an invoker's load report stands for.
enum class LoadValue { kInHand, kWaiting, kBusyCores, kRunMs, kServed, kErrors, kMemory, kLoads };

struct LinkOptions {
  Duration dial_timeout = std::chrono::milliseconds(250);
  Duration idle_timeout = std::chrono::seconds(20);  // shorter than the invoker's own idle timeout
  // Silence with something in flight after which a connection gets nothing new.
  Duration unresponsive_after = std::chrono::milliseconds(500);
  Duration min_idle_limit = std::chrono::milliseconds(20);  // lower bound of the learned idle limit
  // Time within which all connections of a crashed process are seen to close.
  Duration crash_window = std::chrono::milliseconds(5);
  std::size_t streams = 32;
  std::size_t max_connections = 16;
  std::size_t max_unexpected_answers = 64;
  std::vector<std::pair<std::string, LoadValue>> load;  // load report keys, as configured in the settings
  bool reports_others_in_flight = false;
};

// The link to one invoker. See the head of this file.
class Link : public worker::WorkerLink {
 public:
  Link(io::Host& host, WorkerId worker, io::Address address, const LinkOptions& options,
       ConnectionBudget& budget, worker::LinkEvents& events);
  ~Link() override;

  // ---- Port ----
  void call(worker::Call call, std::string_view body, std::uint64_t cookie) override;
  void cancel(std::uint64_t cookie) override;
  void withdraw(std::uint64_t cookie) override;
  void withdraw_waiting() override;
  bool forget_call(std::uint64_t cookie) override;
  void forget_hold(std::uint64_t cookie) override;
  void hold(const std::string& function, int instances, std::uint64_t cookie) override;
  void release(const std::string& function) override;
  void probe(std::uint64_t cookie) override;
  const io::Address& address() const override { return address_; }
  // Deferred results keep the link from being idle: destroying an idle link would lose them.
  bool idle() const override { return pending_.empty() && deferred_.empty(); }

  std::size_t connections() const { return connections_.size(); }
  std::size_t unsent() const;   // bytes that the operating system has not accepted yet
  Duration idle_limit() const;  // how long a connection may stay idle and still be used

 private:
  enum class Kind : std::uint8_t { kCall, kHold, kProbe };
  class InvokerConnection;
  struct Pending {
    Kind kind = Kind::kCall;
    std::uint64_t cookie = 0;
    std::uint64_t id = 0;
    InvokerConnection* connection = nullptr;  // null: its end is about to be reported
  };
  // Whether it is a call, and its cookie: cookies of calls and of orders are numbered separately.
  using Key = std::pair<bool, std::uint64_t>;

  void dispatch(Kind kind, std::uint64_t cookie, std::uint64_t id, Code code, bool starts_work,
                std::string_view fields, std::string_view body);
  void discard_queued(InvokerConnection& connection, std::uint64_t id);
  InvokerConnection* pick_connection(std::uint64_t id);
  std::uint64_t random_id();
  void on_frame(InvokerConnection& connection, const Frame& frame);
  void on_unexpected_answer(InvokerConnection& connection, std::uint64_t id);
  void report_end(std::uint64_t cookie, Kind kind, Outcome outcome, const std::string& why);
  void close_connection(InvokerConnection& connection, Outcome outcome_of_others, const std::string& why,
                        std::optional<std::uint64_t> malformed = {});
  bool abandon(const Key& key, bool unanswered);
  void close_connection_later(InvokerConnection& connection);
  void force_close_later(InvokerConnection& connection);
  void on_connection_lost(InvokerConnection& connection, const std::string& why);
  void learn_idle_limit(Duration idle_time);
  void note_idle_survived(Duration idle_time);
  LoadReport report_of(std::string_view fields) const;
  void defer(std::function<void()> action);

  io::Host& host_;
  WorkerId worker_;
  io::Address address_;
  const LinkOptions& options_;
  ConnectionBudget& budget_;
  worker::LinkEvents& events_;
  std::vector<std::unique_ptr<InvokerConnection>> connections_;
  io::DeferredDeleter<InvokerConnection> closed_;
  std::map<Key, Pending> pending_;
  Duration idle_limit_{};  // when last learned; zero: never
  Time idle_limit_learned_at_{};
  Duration longest_idle_survived_{};  // recent idle time after which a connection still worked
  Time idle_survived_at_{};
  struct LostConnection {
    Time at;
    std::vector<Key> keys;                           // what was in flight on it
    std::vector<const InvokerConnection*> siblings;  // the link's other connections that were open then
    std::string why;
  };
  std::vector<LostConnection> lost_connections_;  // for which the crash window is still running
  std::unique_ptr<io::Timer> crash_timer_;
  void settle_lost_connections();
  std::vector<std::function<void()>> deferred_;
  std::unique_ptr<io::Timer> deferred_timer_;
  std::uint64_t connections_made_ = 0;
  std::string scratch_;
};

}  // namespace laureltide::platform
