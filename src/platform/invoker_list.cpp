#include "platform/invoker_list.h"

#include <nlohmann/json.hpp>

namespace laureltide::platform {
namespace {

using nlohmann::json;

std::optional<WorkerState> state_of(const std::string& text) {
  if (text == "active") return WorkerState::kReady;
  if (text == "leaving") return WorkerState::kDraining;
  if (text == "left") return WorkerState::kGone;
  return std::nullopt;
}

std::string word(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// One entry of an event. `why` is set where some of it cannot be read; the rest then counts as leaving.
members::Member read_member(const json& entry, std::string& why) {
  members::Member member;
  try {
    const auto phase = entry.value("phase", "active");
    const auto state = state_of(phase);
    if (!state) why = "phase '" + phase.substr(0, 20) + "', expected active, leaving or left";
    member.state = state.value_or(WorkerState::kDraining);
    const auto address = io::parse_address(entry.value("host_port", ""));
    if (address) member.address = *address;
    if (!address && member.state == WorkerState::kReady) why = "host_port is not ADDRESS:PORT";
    if (entry.contains("locality")) member.zone = word(entry["locality"]);
    if (entry.contains("flavor")) member.kind = word(entry["flavor"]);
    if (entry.contains("cell")) member.cell = word(entry["cell"]);
    member.size = entry.value("size", 1.0F);
    if (const auto since = entry.value("up_since_ms", std::int64_t{0}); since > 0)
      member.started_unix_ms = since;
  } catch (const json::exception& e) {
    why = e.what();
  }
  if (!why.empty() && member.state == WorkerState::kReady) member.state = WorkerState::kDraining;
  return member;
}

// An event as read: names, and what is told of them.
struct Event {
  bool full = false;
  std::vector<std::pair<std::string, members::Member>> entries;
  std::string bad;     // why nothing of it counts
  std::string unread;  // what of it could not be read
};

// `whole`: an entry that names nobody makes the event unreadable; else it is left out.
Event read(std::string_view data, bool whole) {
  Event event;
  const auto bad = [&](const char* why) {
    event.bad = why;
    return std::move(event);
  };
  const json doc = json::parse(data, nullptr, false);
  if (!doc.is_object() || !doc.contains("topology") || !doc["topology"].is_object())
    return bad("no object with a topology");
  const json& topology = doc["topology"];
  const auto complete = topology.find("complete");
  if (complete != topology.end() && !complete->is_boolean()) return bad("complete is neither true nor false");
  event.full = complete != topology.end() && complete->get<bool>();
  const auto listed = topology.find("members");
  if (listed == topology.end() || !listed->is_array() || listed->size() > InvokerList::kMostMembers)
    return bad("members is no list or too long");
  for (const json& entry : *listed) {
    const bool named = entry.is_object() && entry.contains("id") && entry["id"].is_string();
    if (!named && whole) return bad("a member without an id");
    if (!named) {
      event.unread = "a member without an id";
      continue;
    }
    const auto name = entry["id"].get<std::string>();
    std::string why;
    event.entries.emplace_back(name, read_member(entry, why));
    if (!why.empty()) event.unread = "invoker " + name.substr(0, 60) + ": " + why;
  }
  return event;
}

}  // namespace

InvokerList::ApplyResult InvokerList::take(std::uint64_t number, std::string_view data) {
  if (rebuild_) return replay(number, data);
  ApplyResult taken;
  if (number <= last_) return taken.verdict = Verdict::kOld, taken;
  Event event = read(data, true);
  if (!event.bad.empty()) return taken.why = std::move(event.bad), taken;
  if (!event.full && number != last_ + 1) return taken.verdict = Verdict::kGap, taken;
  taken.why = std::move(event.unread);
  taken.update.full = event.full;
  taken.update.version = number;
  taken.update.from = last_;
  const Members as_held = held_;
  Members before;
  if (event.full) before.swap(held_);
  for (auto& [name, member] : event.entries) {
    const auto known = held_.find(name);
    const auto earlier = before.find(name);
    const members::Member* held = known != held_.end()      ? &known->second
                                  : earlier != before.end() ? &earlier->second
                                                            : nullptr;
    if (!held && member.state == WorkerState::kGone) continue;
    if (!held && held_.size() >= kMostMembers) {
      taken.why = "more invokers than can be held";
      continue;
    }
    member.id = held ? held->id : next_++;
    if (held && member.address.port == 0) member.address = held->address;
    taken.update.members.push_back(member);
    if (member.state == WorkerState::kGone)
      held_.erase(name), before.erase(name);
    else
      held_[name] = std::move(member);
  }
  last_ = number;
  taken.changes = changes(as_held, held_);
  taken.verdict = Verdict::kApplied;
  return taken;
}

// Both are in the order of names.
std::vector<InvokerList::Change> InvokerList::changes(const Members& before, const Members& after) {
  std::vector<Change> all;
  for (const auto& [name, member] : before)
    if (!after.contains(name)) all.push_back({name, member.id, member.state, WorkerState::kGone});
  for (const auto& [name, member] : after) {
    const auto held = before.find(name);
    if (held == before.end())
      all.push_back({name, member.id, std::nullopt, member.state});
    else if (held->second.state != member.state)
      all.push_back({name, member.id, held->second.state, member.state});
  }
  return all;
}

void InvokerList::start_replay(std::uint64_t goal) { rebuild_ = Rebuild{goal, 0, {}}; }

InvokerList::ApplyResult InvokerList::replay(std::uint64_t number, std::string_view data) {
  ApplyResult taken;
  taken.verdict = Verdict::kOld;
  Rebuild& r = *rebuild_;
  if (number <= r.last) return taken;
  Event event = read(data, false);
  taken.why = event.bad.empty() ? std::move(event.unread) : std::move(event.bad);
  if (event.full) r.members.clear();
  for (auto& [name, member] : event.entries) {
    if (member.state == WorkerState::kGone) {
      r.members.erase(name);
      continue;
    }
    if (!r.members.contains(name) && r.members.size() >= kMostMembers) continue;
    members::Member& held = r.members[name];
    if (member.address.port == 0) member.address = held.address;
    held = std::move(member);
  }
  r.last = number;
  if (number < r.goal) return taken;
  // The same process under its name keeps its number, so that what is out there and believed of it stands.
  for (auto& [name, member] : r.members) {
    const auto before = held_.find(name);
    const bool same = before != held_.end() && before->second.address == member.address &&
                      before->second.started_unix_ms == member.started_unix_ms;
    member.id = same ? before->second.id : next_++;
    taken.update.members.push_back(member);
  }
  taken.update.full = true;
  taken.update.version = number;
  taken.changes = changes(held_, r.members);
  held_ = std::move(r.members);
  last_ = number;
  rebuild_.reset();
  taken.verdict = Verdict::kApplied;
  return taken;
}

std::optional<std::uint32_t> InvokerList::worker_id_of(const std::string& name) const {
  const auto it = held_.find(name);
  return it == held_.end() ? std::nullopt : std::optional(it->second.id);
}

}  // namespace laureltide::platform
