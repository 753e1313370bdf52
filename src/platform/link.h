// The controller's end towards one invoker, in the platform's binary frames. A worker::Port.
//
// A few connections, opened at need. A call takes an idle one where there is one, opens another while the
// budget that all links share has room, and shares the least laden one after that: what is spoilt or breaks
// takes as few other calls with it as can be. What may not be trusted gets nothing new: a connection on which
// an attempt went unanswered, or that is silent for `unresponsive_after` while something is out there. It
// keeps what is out until that has ended. A dial that never comes up proves that nothing ran.
//
// An invoker, or what stands between, may end idle connections long before the settings say, and a call that
// crosses such an end may have run. So a link learns for how long a connection may rest: half the rest after
// which one was found ended, and a little more again with each second that none was. An end after a rest that
// another connection came through, of late, has another cause: nothing is learnt from it.
//
// A process that dies ends all its connections. One that ends alone, while others to the same invoker stand,
// is a lost answer (error) and no sign of the invoker's death (reset).
//
// Told as never run: a miss, full, "was over", a dial that failed, a call given up before its connection
// stood. Told as may have run: everything handed to the transport whose answer did not come, or came spoilt.
//
// What waits for a connection leaves only if, when the connection stands, the worker may still begin
// something new (LinkEvents::may_start_work) and the call may still leave (may_be_sent). Bytes that the
// machine does not take are looked at again, and their connection ends when they may not: they would leave
// when the worker reads.
//
// An answer names the call's id, which all attempts of a call share, and may come twice. So an id never goes
// over one connection twice: what comes on a connection is of the one attempt that it carried. Where each
// connection has carried the id and no other can be made, the call ends as full.
//
// Bounds: `streams` frames out a connection, CarriedIds::kMost over its life; `max_connections` connections a
// link and Budget::most in all, over them a call ends as full; `most_unknown` answers that nobody waits for,
// over it the connection ends.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "base/io.h"
#include "platform/frame.h"
#include "worker/port.h"

namespace laureltide::platform {

// Connections of all links together, so that descriptors are never used up.
struct ConnectionBudget {
  std::size_t open = 0;
  std::size_t limit = 64;    // past it a link shares what it has
  std::size_t reserve = 32;  // above `most`, for links that have none
};

enum class LoadValue { kInHand, kWaiting, kBusyCores, kRunMs, kServed, kErrors, kMemory, kLoads };

struct LinkOptions {
  Duration dial_timeout = std::chrono::milliseconds(250);
  Duration idle_timeout = std::chrono::seconds(20);  // an idle connection goes before the invoker ends it
  Duration unresponsive_after =
      std::chrono::milliseconds(500);                   // silence while something is out, then nothing new
  Duration least_rest = std::chrono::milliseconds(20);  // that is ever learnt
  Duration verdict = std::chrono::milliseconds(5);      // in which a dying process ends its other connections
  std::size_t streams = 32;
  std::size_t max_connections = 16;
  std::size_t most_unknown = 64;
  std::vector<std::pair<std::string, LoadValue>> load;  // names of a report's values, as the settings list
  bool reports_others_in_flight = false;
};

class Link : public worker::Port {
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
  // Ends that are about to be told keep it too: with it they would be lost.
  bool idle() const override { return asked_.empty() && later_.empty(); }

  std::size_t connections() const { return wires_.size(); }
  std::size_t unsent() const;  // bytes that the machine has not taken yet
  Duration rest() const;       // for which a connection is idle and still trusted

 private:
  enum class Kind : std::uint8_t { kCall, kHold, kProbe };
  class Wire;
  struct Asked {
    Kind kind = Kind::kCall;
    std::uint64_t cookie = 0;
    std::uint64_t id = 0;
    Wire* wire = nullptr;  // none: its end is under way
  };
  using Key = std::pair<bool, std::uint64_t>;  // call or not, cookie: calls' and orders' are drawn apart

  void give(Kind kind, std::uint64_t cookie, std::uint64_t id, Code code, bool begins,
            std::string_view fields, std::string_view body);
  void withhold(Wire& wire, std::uint64_t id);
  Wire* pick(std::uint64_t id);
  std::uint64_t fresh_id();
  void on_frame(Wire& wire, const Frame& frame);
  void on_unasked(Wire& wire, std::uint64_t id);
  void end(std::uint64_t cookie, Kind kind, Outcome outcome, const std::string& why);
  void drop(Wire& wire, Outcome for_the_rest, const std::string& why,
            std::optional<std::uint64_t> spoilt = {});
  bool give_up(const Key& key, bool unanswered);
  void drop_later(Wire& wire);
  void end_later(Wire& wire);
  void broke(Wire& wire, const std::string& why);
  void learn_rest(Duration rested);
  void outlived(Duration rested);
  LoadReport report_of(std::string_view fields) const;
  void later(std::function<void()> what);

  io::Host& host_;
  WorkerId worker_;
  io::Address address_;
  const LinkOptions& options_;
  ConnectionBudget& budget_;
  worker::LinkEvents& events_;
  std::vector<std::unique_ptr<Wire>> wires_;
  io::DeferredDeleter<Wire> dead_;
  std::map<Key, Asked> asked_;
  Duration rest_{};  // as last learnt
  Time rest_learnt_{};
  Duration outlived_{};  // the longest rest of late that a connection came through
  Time outlived_at_{};
  struct Broken {  // what was out on connections that ended just now
    Time at;
    std::vector<Key> keys;
    std::vector<const Wire*> others;  // that stood then
    std::string why;
  };
  std::vector<Broken> broken_;
  std::unique_ptr<io::Timer> verdict_;
  void judge_broken();
  std::vector<std::function<void()>> later_;
  std::unique_ptr<io::Timer> later_timer_;
  std::uint64_t connections_made_ = 0;
  std::string scratch_;
};

}  // namespace laureltide::platform
