// Leases on workers: until when something new may start at each of them. Part of the decisions; no I/O.
//
// A worker that begins to drain may be sent something new until the drain grace has passed since the drain
// was notified, or counts as notified. The list of workers is a lease on all of its entries: a change that it
// lacks counts as notified no earlier than a certain time, which whoever follows discovery keeps ahead of the
// clock while discovery is in reach. When discovery is out of reach that time stands still, and one drain
// grace later the list ends as a lease.
//
// From then on a worker needs a lease of its own. Only proof that the worker accepts new work renews it,
// counted from when the accepted work was sent: an answer that comes now to a call sent a second ago proves
// nothing about now, since a worker that drains finishes what it has. Refused calls prove nothing either:
// they may come from load. A worker is probed for a lease only when something is to be sent there, so that
// probes cost no more than the traffic needs.
//
// Units: Time and Duration of the dispatcher. One entry for each worker that was probed or accepted a call;
// forget() removes it.
#pragma once

#include <map>
#include <optional>

#include "laureltide/dispatcher.h"

namespace laureltide {

class WorkerLeases {
 public:
  static constexpr std::size_t kMaxProbesInFlight = 8;  // further workers wait for their turn

  explicit WorkerLeases(Duration drain_grace);

  // A change that the list held lacks counts as notified no earlier than `at`. May move back, as when
  // discovery is asked anew. Time::max(), as at the start: the list is always current.
  void set_list_current_until(Time at) { list_current_until_ = at; }
  // The list suffices as a lease: discovery is in reach, or has not been out of reach for long.
  bool list_is_valid(Time now) const { return now < list_end(); }

  // Until when something new may start at the worker by its lease; its state in the list is checked
  // elsewhere.
  Time end_of(WorkerId worker) const;
  bool holds(WorkerId worker, Time now) const { return now < list_end() || now < end_of(worker); }

  // Whether a worker without a lease may be probed, now or when its turn comes: it is not in the cooldown
  // that follows a refused or unanswered probe.
  bool may_be_probed(WorkerId worker, Time now) const;
  // Whether the caller is to send a probe now; it then counts as in flight until probe_accepted(),
  // probe_refused() or probe_unanswered().
  bool start_probe(WorkerId worker, Time now);

  // The worker accepted new work that was sent at `sent_at`. True if it has refused or not answered a probe
  // since it last accepted something: it may have restarted.
  bool accepted(WorkerId worker, Time sent_at);
  // The probe's answer: the worker takes new work. Returns as accepted() does.
  bool probe_accepted(WorkerId worker, Time sent_at);
  // The probe's answer: the worker takes no new work, which voids what it accepted before.
  void probe_refused(WorkerId worker, Time sent_at, Time now);
  void probe_unanswered(WorkerId worker, Time now);

  void forget(WorkerId worker);

  const LeaseCounters& counters() const { return counters_; }

 private:
  struct Entry {
    std::optional<Time> accepted_sent_at;  // when the latest accepted work was sent
    std::optional<Time> refused_sent_at;   // when the latest refused probe was sent
    std::optional<Time> cooldown_until;
    bool probe_in_flight = false;
    bool may_have_restarted = false;
  };
  Time list_end() const;
  void end_probe(Entry& entry);

  Duration term_;  // of a lease: the drain grace less the margin for sending
  Time list_current_until_ = Time::max();
  std::map<WorkerId, Entry> entries_;
  std::size_t probes_in_flight_ = 0;
  LeaseCounters counters_;
};

}  // namespace laureltide
