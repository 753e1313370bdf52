// A controller of the platform: the front, the core, its links, the feed. What `laureltide node` runs.
//
// Everything about a call is the module's word; what is decided here is what can be a call at all, and who
// may still be taken in: an id that is open already, a client past the bounds, a node that ends.
//
// One thread, the host's. Bounds, from the platform's limits: calls and bytes held, connections of clients
// and to invokers (docs/node.md).
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
  // `log_calls`: a line for each call that ends, with its attempts.
  Node(io::Host& host, Config config, std::function<void(Severity, const std::string&)> say,
       bool log_calls = false);
  ~Node() override;

  bool start();  // false: `listen` cannot be listened on
  // A configuration that came anew: the bus and what it knows; what else changed needs a restart.
  void reload(std::string_view json);
  // Serves on while clients may still come, then takes nothing more and answers all that is open; `done`
  // comes when the last answer has left and clients were told the end. Told again, it changes nothing.
  void drain(std::function<void()> done);

  controller::Core& core() { return core_; }
  const platform::InvokerList& roster() const { return roster_; }
  const platform::EventSubscriber& feed() const { return *feed_; }
  io::Address address() const { return front_.address(); }
  std::size_t clients() const { return front_.connections(); }
  std::size_t ids() const { return tickets_.size() + ended_.size(); }
  std::size_t open_body_bytes() const { return held_bytes_; }
  std::size_t unsent() const { return front_.unsent(); }

  // ---- front::Server::Events ----
  void on_call(front::Server::Ticket ticket, front::Fields fields, std::string body) override;
  void on_gone(front::Server::Ticket ticket) override;
  bool healthy() override { return !drained_; }
  void on_anomaly(const std::string& what) override;

  // ---- controller::CoreEvents ----
  void on_call_finished(const controller::CallSummary& ended) override;
  void on_log(const std::string& line) override;
  void on_send_to_peer(std::optional<std::uint32_t>, std::span<const std::byte>) override {}  // no peers here

 private:
  struct Open {
    std::uint64_t id = 0;  // the client's
    std::uint32_t call = 0;
    std::size_t bytes = 0;
  };
  bool take_event(std::uint64_t number, std::string_view data);
  bool take_known(const std::vector<KnownEvent>& known);  // false: not all of it could be taken
  void turn_away(front::Server::Ticket ticket, front::Reply::Kind kind, std::string why);
  void close(front::Server::Ticket ticket);
  void forget_ended(Time before, std::size_t most);
  void odd(const std::string& what);
  void second();
  void say_stats();
  void say_repeat(const controller::CallSummary& ended);
  void say_changes(std::uint64_t event, const std::vector<platform::InvokerList::Change>& changes);
  void look_at_discovery();
  void list_current_until(Time at);
  void look_at_drain();

  io::Host& host_;
  Config config_;
  std::function<void(Severity, const std::string&)> say_;
  bool log_calls_;
  std::shared_ptr<const config::Settings> settings_;
  platform::LinkOptions link_options_;
  platform::ConnectionBudget budget_;
  platform::InvokerList roster_;
  controller::Core core_;
  front::Server front_;
  std::unique_ptr<platform::EventSubscriber> feed_;
  std::unordered_map<front::Server::Ticket, Open> tickets_;
  std::unordered_map<std::uint64_t, front::Server::Ticket> ids_;  // of open calls
  // Of calls that ended not long ago: an id is new with every request, so one that comes again is no call,
  // and its second frame could meet the first one's attempt at an invoker.
  std::deque<std::pair<Time, std::uint64_t>> ended_;
  std::unordered_set<std::uint64_t> ended_ids_;
  std::size_t held_bytes_ = 0, most_held_bytes_ = 0;
  std::unique_ptr<io::Timer> second_, drain_look_;
  Time second_due_{}, closes_at_{}, killed_at_{};
  bool closed_ = false;   // nobody is let in any more
  bool parting_ = false;  // the last answers are out, clients are told the end
  Duration worst_lateness_{};
  std::function<void()> drained_;
  int seconds_ = 0;
  std::uint64_t missing_at_ = 0;                   // the event that could not be taken last
  std::map<std::string, std::uint64_t> oddities_;  // told once each, with a count in the stats
  std::map<std::string, std::uint64_t> ends_;      // calls by how they ended (controller::Ended::end)
  std::size_t repeats_ = 0;                        // calls told by say_repeat since the last stats line
  bool discovery_away_ = false;                    // as last logged
  Time discovery_heard_{};                         // the last line before it went away
  Time current_until_{};                           // as told to the module
  bool leases_needed_ = false;                     // as last logged
};

}  // namespace laureltide::node
