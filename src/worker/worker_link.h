// What the controller needs of its end towards one worker, whatever protocol is spoken there.
//
// A port reports for everything given to it exactly one end, never from within the call that gave it, and
// tells apart what is proven never to have run from what may have run (LinkEvents). Two stand behind it:
// worker::Link (LTWP) and platform::Link (the platform's binary frames).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/io.h"
#include "laureltide/dispatcher.h"
#include "worker/protocol.h"

namespace laureltide::worker {

// `cookie` is the caller's own word for what it gave.
class LinkEvents {
 public:
  virtual ~LinkEvents() = default;
  struct CallEnd {
    Outcome outcome = Outcome::kOk;
    Found found = Found::kNotReported;
    std::optional<int> others_in_flight;
    LoadReport report;
    std::string reason, body;
  };
  virtual void on_call_end(WorkerId worker, std::uint64_t cookie, CallEnd end) = 0;
  virtual void on_piece(WorkerId worker, std::uint64_t cookie, std::string body) = 0;
  virtual void on_hold_end(WorkerId worker, std::uint64_t cookie, Outcome outcome, int instances) = 0;
  virtual void on_probe_end(WorkerId worker, std::uint64_t cookie, Outcome outcome, LoadReport report) = 0;
  // Whether something new may begin at the worker now. Asked at the moment at which the bytes of a call or of
  // an order to load would leave that waited for a connection, or that the machine has not taken.
  virtual bool may_start_work(WorkerId) { return true; }
  // Whether a call's bytes may still leave that has waited since it was given; asked at the same moments.
  virtual bool may_be_sent(WorkerId, std::uint64_t) { return true; }
  // The bytes of a call were handed to the transport, on the connection of that number of the port's own.
  virtual void on_call_sent(WorkerId, std::uint64_t, std::uint64_t) {}
  // A connection to the worker ended; `why` is one of a few fixed texts.
  virtual void on_connection_end(WorkerId, std::string_view) {}
  // Something the worker did that the protocol does not allow, or an answer that nobody waits for.
  virtual void on_anomaly(WorkerId worker, const std::string& what) = 0;
};

class WorkerLink {
 public:
  virtual ~WorkerLink() = default;

  // `call.id` is set by the port. The body is read at once, or kept only until the connection stands.
  virtual void call(Call call, std::string_view body, std::uint64_t cookie) = 0;
  virtual void cancel(std::uint64_t cookie) = 0;  // the end still comes
  // Nobody wants it any more, whether or not the worker could be told: what has not been handed to the
  // transport never is, and ends as moot. What was handed over stays out.
  virtual void withdraw(std::uint64_t cookie) = 0;
  // The same for all that waits here, orders and probes too (those end as full): the worker leaves.
  virtual void withdraw_waiting() = 0;
  // The caller waits no longer: no end comes, a later answer is passed over. True when nothing of it had
  // left.
  virtual bool forget_call(std::uint64_t cookie) = 0;
  virtual void forget_hold(std::uint64_t cookie) = 0;  // or a probe
  // `instances` 0 only asks: that is nothing new to the worker.
  virtual void hold(const std::string& function, int instances, std::uint64_t cookie) = 0;
  virtual void release(const std::string& function) = 0;
  virtual void probe(std::uint64_t cookie) = 0;

  virtual const io::Address& address() const = 0;
  virtual bool idle() const = 0;  // nothing is out and nothing waits
};

}  // namespace laureltide::worker
