// Stand-ins for the platform around a controller: an invoker, the event bus and a client, written from the
// platform's protocol description, with faults that tests inject. The client encodes and decodes by hand, so
// that it shares no codec with the code under test.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "base/io.h"

namespace laureltide::standin {

// ---- Invoker ------------------------------------------------------------------------------------------

enum class InjectedFault {
  kNone,
  kBadChecksum,    // an answer with a wrong checksum
  kBadMagic,       // other bytes instead of a frame header
  kOversized,      // a header that announces 3 GB, followed by 100 kB of noise
  kTruncated,      // half an answer, then the end of the connection
  kNoAnswer,       // runs the call and never answers
  kReset,          // runs the call, then resets the connection
  kDuplicate,      // a valid answer, sent twice
  kUnknownIdFirst  // an answer under another id before the valid one
};

class PlatformInvoker {
 public:
  struct ReceivedCall {
    std::uint64_t id = 0;
    std::string fields, body;
    bool cancelled = false;
    bool ran = false;  // the call was started: its effect may have happened
    Time at{};
  };
  // The share of answers sent a second time on the same connection, and the range of the delay.
  struct Duplicates {
    double share = 0;
    Duration min_delay{}, max_delay{};
  };
  struct Options {
    io::Address address;
    Duration run = std::chrono::milliseconds(20);
    Duration load = std::chrono::milliseconds(50);
    int max_instances = 16;  // of all functions together
    std::string load_report = {};
  };
  PlatformInvoker(io::Host& host, Options options);
  ~PlatformInvoker();

  bool start();
  void stop();  // closes the listener and resets all connections
  io::Address address() const { return listener_->address(); }
  void inject_fault(InjectedFault fault, int times = 1) {
    faults_.insert(faults_.end(), static_cast<std::size_t>(times), fault);
  }
  void answer_all(std::uint8_t code) { fixed_answer_ = code; }  // 0: the usual answers
  void set_run(Duration run) { options_.run = run; }
  // Once a function is known, calls of functions that are not get an error answer (101).
  void knows_function(const std::string& function) { known_functions_.insert(function); }
  // Refuses the first attempt of each call id with this code, not the later ones. 0: refuses none.
  void refuse_first(std::uint8_t code) { refuse_first_ = code; }
  // Refuses a random share of the calls with this code.
  void refuse_some(std::uint8_t code, double share) { refuse_some_ = code, refused_share_ = share; }
  void send_duplicates(const Duplicates& duplicates) { duplicates_ = duplicates; }
  // When a call id arrives again, sends its earlier refusals again on the connections that they went to.
  void duplicate_at_next_attempt(bool on) { duplicate_at_next_attempt_ = on; }
  std::size_t duplicates_sent() const { return duplicates_sent_; }
  void seed(std::uint64_t value) { random_.seed(value); }
  // A draining invoker finishes its calls, refuses new calls and orders to load (100) and answers probes as
  // unhealthy (104). An order for 0 instances gets its usual answer.
  void set_draining(bool on) { draining_ = on; }
  struct SentWhileDraining {
    Time at;
    std::uint8_t code = 0;  // 65: a call, 69: an order to load
  };
  const std::vector<SentWhileDraining>& sent_while_draining() const { return sent_while_draining_; }
  // Resets a connection that was idle for longer when its next frame arrives, without reading the frame.
  void reset_idle_connections(Duration after) { reset_idle_after_ = after; }
  const std::vector<ReceivedCall>& calls() const { return calls_; }
  std::size_t orders() const { return orders_; }
  std::size_t probes() const { return probes_; }
  std::size_t unloads() const { return unloads_; }
  std::size_t connections() const { return sessions_.size(); }
  std::size_t connections_made() const { return next_session_ - 1; }
  int instances(const std::string& function) const;

 private:
  class Session;
  void on_frame(Session& session, std::uint8_t code, std::uint64_t id, std::string fields, std::string body);
  void answer(Session* session, std::uint8_t code, std::uint64_t id, std::string fields, std::string body);
  void take_call(Session& session, std::uint64_t id, const std::string& fields, std::string body);
  Session* session(std::uint64_t number);
  void duplicate_refusals(std::uint64_t id);
  void duplicate_later(Session& session, std::string bytes);
  double random_unit() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void run_later(Duration delay, std::function<void()> action);

  io::Host& host_;
  Options options_;
  std::unique_ptr<io::Listener> listener_;
  std::map<std::uint64_t, std::unique_ptr<Session>> sessions_;
  std::vector<std::unique_ptr<Session>> dead_;
  std::vector<std::unique_ptr<io::Timer>> timers_;
  std::uint64_t next_session_ = 1;
  std::deque<InjectedFault> faults_;
  std::uint8_t fixed_answer_ = 0, refuse_first_ = 0, refuse_some_ = 0;
  double refused_share_ = 0;
  Duplicates duplicates_;
  bool duplicate_at_next_attempt_ = false;
  struct Refused {
    std::uint64_t session = 0;
    std::string bytes;
  };
  std::multimap<std::uint64_t, Refused> refused_;  // by call id, for duplicate_at_next_attempt
  std::mt19937_64 random_{1};
  std::size_t duplicates_sent_ = 0;
  Duration reset_idle_after_{};
  bool draining_ = false;
  std::vector<SentWhileDraining> sent_while_draining_;
  std::map<std::string, int> instances_;
  std::set<std::string> known_functions_;  // empty: all
  std::vector<ReceivedCall> calls_;
  std::size_t orders_ = 0, probes_ = 0, unloads_ = 0;
};

// ---- Event bus ----------------------------------------------------------------------------------------

struct PlatformMember {
  std::string id;
  io::Address address;
  std::string phase = "active";
  int cell = 0;
  std::int64_t up_since_ms = 0;
};
std::string platform_event(std::uint64_t offset, bool complete, const std::vector<PlatformMember>& members);

class PlatformBus {
 public:
  PlatformBus(io::Host& host, io::Address address);
  ~PlatformBus();
  bool start();
  void stop();  // closes the listener and ends all connections
  io::Address address() const { return address_; }
  // Publishes a change; the first event holds the whole list. Returns the event's offset.
  std::uint64_t publish(const std::vector<PlatformMember>& members);
  std::uint64_t publish_full_list(const std::vector<PlatformMember>& members);
  std::uint64_t publish_raw(std::string event);
  void replace_event(std::uint64_t offset, std::string event) { events_[offset - 1] = std::move(event); }
  void ignore_next_requests(int connections) {
    requests_to_ignore_ = connections;
  }  // the next n requests get no answer
  void set_silent(bool on) { silent_ = on; }
  // Connections are accepted but carry no event: after the header comes nothing, or an endless line. The end
  // of an outage ends its connections.
  enum class Outage { kNone, kSilent, kDripping };
  void set_outage(Outage outage);
  void set_answer_after(Duration delay) { answer_after_ = delay; }  // as an overloaded bus does
  void set_duplicate_events(bool on) { duplicate_events_ = on; }
  // Leaves out this event; with `healed`, only until all events are requested again.
  void set_skip(std::uint64_t offset, bool healed = false) { skip_ = offset, healed_ = healed; }
  void truncate_next_event() { truncate_next_ = true; }  // sends half of it, then ends the connection
  std::size_t asked() const { return requests_; }
  std::uint64_t last_asked_from() const { return last_requested_from_; }
  std::string known() const;  // all events so far, in the form of the configuration

 private:
  class Session;
  void send(Session& session, std::uint64_t offset);

  io::Host& host_;
  io::Address address_;
  std::unique_ptr<io::Listener> listener_;
  std::set<std::unique_ptr<Session>> sessions_;
  std::vector<std::string> events_;
  std::unique_ptr<io::Timer> comment_, drip_;
  Outage outage_ = Outage::kNone;
  Duration answer_after_{};
  bool silent_ = false, duplicate_events_ = false, truncate_next_ = false, healed_ = false;
  std::uint64_t skip_ = 0, last_requested_from_ = 0;
  std::size_t requests_ = 0;
  int requests_to_ignore_ = 0;
};

// ---- Client -------------------------------------------------------------------------------------------

class PlatformClient : public io::ConnectionEvents {
 public:
  struct Reply {
    std::string kind;  // "served", "refused", "failed", "exception", "health"
    std::string body, pushback;
    bool good = false;
  };
  PlatformClient(io::Host& host, const io::Address& to);

  // Sends a call. Returns the number of the request.
  std::int32_t call(const std::map<std::string, std::string>& fields, const std::string& body);
  void cancel(std::int32_t number);
  void health();
  void raw(std::string_view bytes);
  void disconnect() { connection_.reset(); }
  void stop_reading() { connection_->read(false); }
  void resume_reading() { connection_->read(true); }
  // The bytes of a call under any number, for requests that a correct client never sends.
  static std::string call_bytes(std::int32_t number, const std::map<std::string, std::string>& fields,
                                const std::string& body);

  const std::multimap<std::int32_t, Reply>& replies() const { return replies_; }
  bool closed() const { return closed_; }
  bool open() const { return open_ && !closed_; }

  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason) override { closed_ = true; }

 private:
  void read(std::string_view frame);
  std::unique_ptr<io::Connection> connection_;
  std::string unsent_;
  bool open_ = false, closed_ = false;
  std::int32_t next_ = 1;
  std::multimap<std::int32_t, Reply> replies_;
};

}  // namespace laureltide::standin
