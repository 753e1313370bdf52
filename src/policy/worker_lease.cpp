#include "policy/worker_lease.h"

#include <algorithm>
#include <utility>

namespace laureltide {
namespace {

using namespace std::chrono_literals;

// From the decision to the first byte: a late event loop, a slow write. At most a quarter of a short grace.
constexpr Duration kSendMargin = 100ms;
constexpr Duration kProbeCooldown = 1s;  // after a refused or unanswered probe

}  // namespace

WorkerLeases::WorkerLeases(Duration drain_grace)
    : term_(drain_grace - std::min(kSendMargin, drain_grace / 4)) {}

Time WorkerLeases::list_end() const {
  return list_current_until_ == Time::max() ? Time::max() : list_current_until_ + term_;
}

Time WorkerLeases::end_of(WorkerId worker) const {
  const Time end_by_list = list_end();
  const auto it = entries_.find(worker);
  if (it == entries_.end() || !it->second.accepted_sent_at) return end_by_list;
  return std::max(end_by_list, *it->second.accepted_sent_at + term_);
}

bool WorkerLeases::may_be_probed(WorkerId worker, Time now) const {
  const auto it = entries_.find(worker);
  return it == entries_.end() || !it->second.cooldown_until || now >= *it->second.cooldown_until;
}

bool WorkerLeases::start_probe(WorkerId worker, Time now) {
  if (probes_in_flight_ >= kMaxProbesInFlight || !may_be_probed(worker, now)) return false;
  Entry& entry = entries_[worker];
  if (entry.probe_in_flight) return false;
  entry.probe_in_flight = true;
  ++probes_in_flight_;
  ++counters_.asked;
  return true;
}

void WorkerLeases::end_probe(Entry& entry) {
  if (!entry.probe_in_flight) return;
  entry.probe_in_flight = false;
  --probes_in_flight_;
}

bool WorkerLeases::accepted(WorkerId worker, Time sent_at) {
  Entry& entry = entries_[worker];
  if (entry.refused_sent_at && sent_at <= *entry.refused_sent_at) return false;  // sent before the refusal
  entry.accepted_sent_at = std::max(entry.accepted_sent_at.value_or(sent_at), sent_at);
  entry.cooldown_until.reset();
  return std::exchange(entry.may_have_restarted, false);
}

bool WorkerLeases::probe_accepted(WorkerId worker, Time sent_at) {
  end_probe(entries_[worker]);
  ++counters_.ready;
  return accepted(worker, sent_at);
}

void WorkerLeases::probe_refused(WorkerId worker, Time sent_at, Time now) {
  Entry& entry = entries_[worker];
  end_probe(entry);
  ++counters_.refused;
  entry.refused_sent_at = std::max(entry.refused_sent_at.value_or(sent_at), sent_at);
  if (entry.accepted_sent_at && *entry.accepted_sent_at <= sent_at) entry.accepted_sent_at.reset();
  entry.cooldown_until = now + kProbeCooldown;
  entry.may_have_restarted = true;
}

void WorkerLeases::probe_unanswered(WorkerId worker, Time now) {
  Entry& entry = entries_[worker];
  end_probe(entry);
  ++counters_.unanswered;
  entry.cooldown_until = now + kProbeCooldown;
  entry.may_have_restarted = true;
}

void WorkerLeases::forget(WorkerId worker) {
  const auto it = entries_.find(worker);
  if (it == entries_.end()) return;
  end_probe(it->second);
  entries_.erase(it);
}

}  // namespace laureltide
