// Leases on workers: until when something new may begin at each of them. Part of the decisions; no I/O.
//
// A worker that begins to drain may be sent something new for the drain grace after that was told, or counts
// as told. The list of workers is a lease on all of its entries: a change that it lacks counts as told no
// earlier than a time that whoever follows discovery keeps ahead of the clock while discovery is heard. When
// discovery is out of reach that time stands still, and with the grace behind it the list ends as a lease.
//
// From then on a worker needs a lease of its own. It is renewed only by proof that the worker accepts new
// work, counted from when what it accepted was sent: an answer that comes now to a call of a second ago says
// nothing of now, since a worker that drains finishes what it has. Refusals of calls prove nothing, they come
// from load as well. Nobody is asked before something is to be sent there, so that the questions cost no more
// than the traffic needs.
//
// Units: Time and Duration of the dispatcher. One entry for each worker that was asked or accepted a call;
// forget() removes it.
#pragma once

#include <map>
#include <optional>

#include "laureltide/dispatcher.h"

namespace laureltide {

class WorkerLeases {
 public:
  static constexpr std::size_t kMostQuestions = 8;  // out at once; further workers wait for their turn

  explicit WorkerLeases(Duration drain_grace);

  // A change that the list held lacks counts as told no earlier than `at`. May move back, as when discovery
  // is asked anew. Time::max(), as at the start: the list is always current.
  void set_list_current_until(Time at) { list_current_until_ = at; }
  // The list is lease enough: discovery is heard, or has not been out of reach for long.
  bool list_is_valid(Time now) const { return now < list_ends(); }

  // Until when something new may begin at the worker, as far as leases go; its state in the list comes first.
  Time ends(WorkerId worker) const;
  bool holds(WorkerId worker, Time now) const { return now < list_ends() || now < ends(worker); }

  // A worker without a lease that may be asked for one, now or when its turn comes: it has not just refused,
  // or failed to answer.
  bool may_be_asked(WorkerId worker, Time now) const;
  // Whether the question goes out now; if so it counts as out until one of the answers below.
  bool ask(WorkerId worker, Time now);

  // It accepted something new that was sent at `sent`. True if it had refused or not answered a question
  // since it last accepted: it may have come back as another process.
  bool accepted(WorkerId worker, Time sent);
  // How a question that was sent at `sent` ended: it takes new work (returns as accepted() does), it does
  // not, which voids what it had accepted before, or there was no answer.
  bool said_ready(WorkerId worker, Time sent);
  void refused(WorkerId worker, Time sent, Time now);
  void unanswered(WorkerId worker, Time now);

  void forget(WorkerId worker);

  const LeaseCounters& counters() const { return counters_; }

 private:
  struct Entry {
    std::optional<Time> accepted;  // when the latest that it accepted was sent
    std::optional<Time> refused;   // when the latest question that it refused was sent
    std::optional<Time> rests_until;
    bool asked = false;  // a question is out
    bool doubted = false;
  };
  Time list_ends() const;
  void end_question(Entry& entry);

  Duration term_;  // of a lease: the grace, less what sending may take
  Time list_current_until_ = Time::max();
  std::map<WorkerId, Entry> entries_;
  std::size_t questions_ = 0;
  LeaseCounters counters_;
};

}  // namespace laureltide
