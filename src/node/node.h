// A controller of the platform, as run by `laureltide node`: the client server, the core, the links to
// invokers and the event feed.
//
// The decision module decides everything about a call. This class decides only whether a message is a valid
// call and whether it may still be accepted: its id must not be in use, the open calls must fit into the
// memory, and the node must not have finished draining.
//
// Runs on the host's single thread. Open calls, body bytes, client connections and connections to invokers
// are bounded by the platform's limits (docs/node.md).
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "controller/core.h"
#include "front/server.h"
#include "node/config.h"
#include "platform/feed.h"
#include "platform/invoker_list.h"

namespace laureltide::node {

enum class Severity { kInfo, kWarn };

class Node : public controller::CoreEvents, public front::Server::Events {
 public:
  // `log_calls`: logs a line for each call that ends, with its attempts.
  Node(io::Host& host, Config config, std::function<void(Severity, const std::string&)> log_line,
       bool log_calls = false);
  ~Node() override;

  bool start();  // false: cannot listen on the configured address
  // Applies the event bus address and the known events of a new configuration; other changes need a restart.
  void reload(std::string_view json);
  // Keeps serving while clients may still arrive, then stops listening and answers all open calls. Calls
  // `done` once the last answer is written and the client connections were closed. A second drain() has no
  // effect.
  void drain(std::function<void()> done);

  controller::Core& core() { return core_; }
  const platform::InvokerList& invoker_list() const { return invoker_list_; }
  const platform::EventSubscriber& feed() const { return *feed_; }
  io::Address address() const { return front_.address(); }
  std::size_t clients() const { return front_.connections(); }
  std::size_t id_count() const { return open_calls_.size() + ended_calls_.size(); }
  std::size_t open_body_bytes() const { return open_body_bytes_; }
  std::size_t unsent_bytes() const { return front_.unsent(); }

  // ---- front::Server::Events ----
  void on_call(front::Server::Ticket ticket, front::Fields fields, std::string body, Time arrived) override;
  void on_gone(front::Server::Ticket ticket) override;
  bool healthy() override { return !on_drained_; }
  void on_anomaly(const std::string& what) override;

  // ---- controller::CoreEvents ----
  void on_call_finished(const controller::CallSummary& ended) override;
  void on_log(const std::string& line) override;
  void on_send_to_peer(std::optional<std::uint32_t>, std::span<const std::byte>) override {}  // no peers here

 private:
  struct OpenCall {
    std::uint64_t id = 0;         // chosen by the client
    std::uint32_t core_call = 0;  // for Core::abandon()
    std::size_t body_bytes = 0;
  };
  bool apply_event(std::uint64_t number, std::string_view data);
  bool apply_known_events(const std::vector<KnownEvent>& known);  // false: not all of them were applied
  void reject_call(front::Server::Ticket ticket, front::Reply::Kind kind, std::string reason);
  void release_call(front::Server::Ticket ticket);
  void expire_ended_ids();
  void report_anomaly(const std::string& what);
  void on_second();
  void log_stats();
  void log_repeated_attempts(const controller::CallSummary& ended);
  void log_list_changes(std::uint64_t event, const std::vector<platform::InvokerList::Change>& changes);
  void check_discovery();
  void set_list_current_until(Time at);
  void check_drain();

  io::Host& host_;
  Config config_;
  std::function<void(Severity, const std::string&)> log_line_;
  bool log_calls_;
  std::shared_ptr<const config::Settings> settings_;
  platform::LinkOptions link_options_;
  platform::ConnectionBudget budget_;
  platform::InvokerList invoker_list_;
  controller::Core core_;
  front::Server front_;
  std::unique_ptr<platform::EventSubscriber> feed_;
  std::unordered_map<front::Server::Ticket, OpenCall> open_calls_;
  std::unordered_map<std::uint64_t, front::Server::Ticket> tickets_by_id_;  // of open calls
  // Calls that reached an invoker and ended recently. Every call has a new id, so a call with a recent id is
  // rejected: its frame could meet the first call's attempt at an invoker. None is forgotten early: with
  // `max_ended_ids_` of them, new calls are refused.
  std::deque<std::pair<Time, std::uint64_t>> ended_calls_;
  std::unordered_set<std::uint64_t> ended_ids_;
  std::size_t max_ended_ids_ = 0;
  std::size_t open_body_bytes_ = 0, max_open_body_bytes_ = 0;
  std::unique_ptr<io::Timer> second_timer_, drain_timer_;
  Time next_second_at_{}, listener_closes_at_{}, kill_deadline_{};
  bool listener_closed_ = false;
  bool closing_clients_ = false;  // the last answers are written and idle connections are being closed
  Duration worst_timer_delay_{};
  std::function<void()> on_drained_;
  int seconds_running_ = 0;
  std::uint64_t last_failed_event_ = 0;                  // the last event that could not be applied
  std::map<std::string, std::uint64_t> anomaly_counts_;  // by kind; logged once each and counted in the stats
  std::map<std::string, std::uint64_t> calls_by_end_;    // by controller::CallSummary::end
  std::size_t repeated_calls_ = 0;                       // since the last stats line
  bool discovery_lost_ = false;                          // as last logged
  Time last_heard_before_loss_{};
  Time list_current_until_{};   // as last reported to the module
  bool leases_needed_ = false;  // as last logged
};

}  // namespace laureltide::node
