// The interface through which the controller talks to one worker, independent of the wire protocol.
//
// For each call, hold and probe submitted, a link reports exactly one end through LinkEvents, and never from
// within the submitting function. The outcome distinguishes calls that are known never to have run from those
// that may have run. Implementations: worker::Link (LTWP) and platform::Link (the platform's binary frames).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/io.h"
#include "laureltide/dispatcher.h"
#include "worker/protocol.h"

namespace laureltide::worker {

// Receives the results. `cookie` is the value that the submitter passed to identify its call, hold or probe.
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
  // Whether the worker may be given new work now. Asked just before a call or an order to load is sent that
  // was queued, either for the connection or because the socket buffer was full.
  virtual bool may_start_work(WorkerId) { return true; }
  // Whether a queued call may still be sent; asked at the same moments.
  virtual bool may_be_sent(WorkerId, std::uint64_t) { return true; }
  // The bytes of a call were handed to the transport; the last argument numbers the link's connections.
  virtual void on_call_sent(WorkerId, std::uint64_t, std::uint64_t) {}
  // A connection to the worker ended; `why` is one of a few fixed reasons.
  virtual void on_connection_end(WorkerId, std::string_view) {}
  // The worker violated the protocol, or sent an answer to a call that is not in flight.
  virtual void on_anomaly(WorkerId worker, const std::string& what) = 0;
};

class WorkerLink {
 public:
  virtual ~WorkerLink() = default;

  // The link sets `call.id`. The body is sent at once, or copied and kept only until the connection is ready.
  virtual void call(Call call, std::string_view body, std::uint64_t cookie) = 0;
  virtual void cancel(std::uint64_t cookie) = 0;  // the call still ends through on_call_end
  // The call is no longer wanted, whether or not the worker could be notified. If it has not been handed to
  // the transport it is never sent and ends as kNotRun; otherwise it stays in flight.
  virtual void withdraw(std::uint64_t cookie) = 0;
  // Withdraws everything queued, because the worker is leaving. Holds and probes end as kFull.
  virtual void withdraw_waiting() = 0;
  // Drops the call without reporting an end; a later answer is ignored. Returns true if none of its bytes
  // were handed to the transport.
  virtual bool forget_call(std::uint64_t cookie) = 0;
  virtual void forget_hold(std::uint64_t cookie) = 0;  // also drops a probe
  // With `instances` 0 this only queries the worker and starts no work.
  virtual void hold(const std::string& function, int instances, std::uint64_t cookie) = 0;
  virtual void release(const std::string& function) = 0;
  virtual void probe(std::uint64_t cookie) = 0;

  virtual const io::Address& address() const = 0;
  virtual bool idle() const = 0;  // nothing is in flight or queued
};

}  // namespace laureltide::worker
