// The platform around a controller, as stand-ins: an invoker, the event bus, a client. Written from the
// platform's page, with faults that a test orders. The client writes and reads its bytes by hand, so that it
// shares no codec with what it tests.
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
  kBadChecksum,    // a check that does not fit
  kBadMagic,       // noise instead of a head
  kOversized,      // a head that says 3 GB, and noise behind it without end
  kTruncated,      // half an answer, then reset
  kNoAnswer,       // ran, and never answers
  kReset,          // ran, then the connection is reset
  kDuplicate,      // a good answer and a copy
  kUnknownIdFirst  // an answer under another id ahead of the good one
};

class PlatformInvoker {
 public:
  struct ReceivedCall {
    std::uint64_t id = 0;
    std::string fields, body;
    bool cancelled = false;
    bool ran = false;  // it began: its effect may have happened
    Time at{};
  };
  // How often what is answered comes a second time, on the same connection, and how much later.
  struct Duplicates {
    double share = 0;
    Duration least{}, most{};
  };
  struct Options {
    io::Address address;
    Duration run = std::chrono::milliseconds(20);
    Duration load = std::chrono::milliseconds(50);
    int room = 16;  // copies in all
    std::string load_report = {};
  };
  PlatformInvoker(io::Host& host, Options options);
  ~PlatformInvoker();

  bool start();
  void stop();  // refuses connections, resets those open
  io::Address address() const { return listener_->address(); }
  void inject_fault(InjectedFault how, int times = 1) {
    spoils_.insert(spoils_.end(), static_cast<std::size_t>(times), how);
  }
  void answer_all(std::uint8_t code) { only_ = code; }  // 0: as usual
  // The first time that an id comes it gets this answer, then the usual one. 0: always the usual one.
  void refuse_first(std::uint8_t code) { refuse_first_ = code; }
  // This share of calls gets this answer, by chance.
  void refuse_some(std::uint8_t code, double share) { refuse_some_ = code, refused_share_ = share; }
  void send_duplicates(const Duplicates& instances) { copies_sent_as_ = instances; }
  // When a call comes again, what it got before comes again at once on the connection that brought it.
  void duplicate_at_next_attempt(bool on) { copy_at_next_attempt_ = on; }
  std::size_t duplicates_sent() const { return copies_sent_; }
  void seed(std::uint64_t value) { random_.seed(value); }
  // Draining, it finishes what it has, turns away new calls and orders to load (100) and calls itself unwell
  // to probes (104); an order for 0 copies gets its usual answer.
  void set_draining(bool on) { draining_ = on; }
  struct SentWhileDraining {
    Time at;
    std::uint8_t code = 0;  // 65: a call, 69: an order to load
  };
  const std::vector<SentWhileDraining>& sent_while_draining() const { return sent_while_draining_; }
  // A connection that rested for longer is reset by the next frame on it, which is not read.
  void reset_idle_connections(Duration after) { reset_rested_ = after; }
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
  void copy_earlier(std::uint64_t id);
  void copy_later(Session& session, std::string bytes);
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void later(Duration after, std::function<void()> what);

  io::Host& host_;
  Options options_;
  std::unique_ptr<io::Listener> listener_;
  std::map<std::uint64_t, std::unique_ptr<Session>> sessions_;
  std::vector<std::unique_ptr<Session>> dead_;
  std::vector<std::unique_ptr<io::Timer>> timers_;
  std::uint64_t next_session_ = 1;
  std::deque<InjectedFault> spoils_;
  std::uint8_t only_ = 0, refuse_first_ = 0, refuse_some_ = 0;
  double refused_share_ = 0;
  Duplicates copies_sent_as_;
  bool copy_at_next_attempt_ = false;
  struct Refused {
    std::uint64_t session = 0;
    std::string bytes;
  };
  std::multimap<std::uint64_t, Refused> refused_;  // by id, while copies of it may be sent
  std::mt19937_64 random_{1};
  std::size_t copies_sent_ = 0;
  Duration reset_rested_{};
  bool draining_ = false;
  std::vector<SentWhileDraining> sent_while_draining_;
  std::map<std::string, int> copies_;
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
  void stop();  // refuses connections, breaks those open
  io::Address address() const { return address_; }
  // Tells a change; the first event holds the whole list.
  std::uint64_t publish(const std::vector<PlatformMember>& members);
  std::uint64_t publish_full_list(const std::vector<PlatformMember>& members);
  std::uint64_t publish_raw(std::string event);
  void replace_event(std::uint64_t offset, std::string event) { events_[offset - 1] = std::move(event); }
  void ignore_next_requests(int connections) { mute_ = connections; }  // these are asked and say nothing
  void set_silent(bool on) { silent_ = on; }
  // Connections stand and are accepted, and bring no event: after the head nothing, or bytes without end that
  // never make a line. The end of an outage ends its connections.
  enum class Outage { kNone, kSilent, kDripping };
  void set_outage(Outage outage);
  void set_answer_after(Duration delay) { answer_after_ = delay; }  // a crowded bus answers late
  void set_duplicate_events(bool on) { doubles_ = on; }
  // Is left out; `healed`: not when all events are asked for.
  void set_skip(std::uint64_t offset, bool healed = false) { skip_ = offset, healed_ = healed; }
  void truncate_next_event() { break_next_ = true; }  // half of the next one, then the end
  std::size_t asked() const { return asked_; }
  std::uint64_t last_asked_from() const { return last_from_; }
  std::string known() const;  // as a configuration holds it

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
  bool silent_ = false, doubles_ = false, break_next_ = false, healed_ = false;
  std::uint64_t skip_ = 0, last_from_ = 0;
  std::size_t asked_ = 0;
  int mute_ = 0;
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

  // The number of the request.
  std::int32_t call(const std::map<std::string, std::string>& fields, const std::string& body);
  void cancel(std::int32_t number);
  void health();
  void raw(std::string_view bytes);
  void disconnect() { connection_.reset(); }
  // Bytes of a call under any number, for what a client in order never sends.
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
  std::string waiting_;
  bool open_ = false, closed_ = false;
  std::int32_t next_ = 1;
  std::multimap<std::int32_t, Reply> replies_;
};

}  // namespace laureltide::standin
