#include "platform/invoker_list.h"

#include <algorithm>
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

std::string text_value(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Parses one entry of an event. If part of it cannot be read, sets `why` and counts an active invoker as
// draining.
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
    if (entry.contains("locality")) member.zone = text_value(entry["locality"]);
    if (entry.contains("flavor")) member.kind = text_value(entry["flavor"]);
    if (entry.contains("cell")) member.cell = text_value(entry["cell"]);
    member.size = entry.value("size", 1.0F);
    if (const auto since = entry.value("up_since_ms", std::int64_t{0}); since > 0)
      member.started_unix_ms = since;
  } catch (const json::exception& e) {
    why = e.what();
  }
  if (!why.empty() && member.state == WorkerState::kReady) member.state = WorkerState::kDraining;
  return member;
}

// Whether an entry under a listed name can be about the process listed. A process keeps its address, and the
// time of its start where both entries tell one; a drained process may be told without it.
bool may_be_same_process(const members::Member& listed, const members::Member& told) {
  if (told.state == WorkerState::kGone) return true;
  return told.address == listed.address &&
         (!told.started_unix_ms || told.started_unix_ms == listed.started_unix_ms);
}

// A parsed event: its entries by invoker name.
struct ParsedEvent {
  bool full = false;
  std::vector<std::pair<std::string, members::Member>> entries;
  std::string error;            // if set, the event as a whole is unreadable
  std::string unreadable_part;  // the last entry that could not be read in full
};

// `reject_unnamed`: whether an entry without an id makes the event unreadable; otherwise it is skipped.
ParsedEvent parse_event(std::string_view data, bool reject_unnamed) {
  ParsedEvent event;
  const auto fail = [&](const char* why) {
    event.error = why;
    return std::move(event);
  };
  const json doc = json::parse(data, nullptr, false);
  if (!doc.is_object() || !doc.contains("topology") || !doc["topology"].is_object())
    return fail("no object with a topology");
  const json& topology = doc["topology"];
  const auto complete = topology.find("complete");
  if (complete != topology.end() && !complete->is_boolean())
    return fail("complete is neither true nor false");
  event.full = complete != topology.end() && complete->get<bool>();
  const auto listed = topology.find("members");
  if (listed == topology.end() || !listed->is_array() || listed->size() > InvokerList::kMaxMembers)
    return fail("members is no list or too long");
  for (const json& entry : *listed) {
    const bool named = entry.is_object() && entry.contains("id") && entry["id"].is_string();
    if (!named && reject_unnamed) return fail("a member without an id");
    if (!named) {
      event.unreadable_part = "a member without an id";
      continue;
    }
    const auto name = entry["id"].get<std::string>();
    std::string why;
    event.entries.emplace_back(name, read_member(entry, why));
    if (!why.empty()) event.unreadable_part = "invoker " + name.substr(0, 60) + ": " + why;
  }
  return event;
}

}  // namespace

InvokerList::ApplyResult InvokerList::take(std::uint64_t number, std::string_view data) {
  if (replay_) return apply_replayed(number, data);
  ApplyResult result;
  if (number <= last_event_) return result.verdict = Verdict::kNoChange, result;
  ParsedEvent event = parse_event(data, true);
  if (!event.error.empty()) return result.why = std::move(event.error), result;
  if (!event.full && number != last_event_ + 1) return result.verdict = Verdict::kGap, result;
  result.why = std::move(event.unreadable_part);
  result.update.full = event.full;
  result.update.version = number;
  result.update.from = last_event_;
  const Members previous = members_;
  first_new_id_ = next_id_;
  Members before;
  if (event.full) before.swap(members_);
  for (auto& [name, member] : event.entries) {
    const auto known = members_.find(name);
    const auto earlier = before.find(name);
    const members::Member* current = known != members_.end()   ? &known->second
                                     : earlier != before.end() ? &earlier->second
                                                               : nullptr;
    if (!current && member.state == WorkerState::kGone) continue;
    if (!current && members_.size() >= kMaxMembers) {
      result.why = "more invokers than can be held";
      continue;
    }
    if (current && member.address.port == 0) member.address = current->address;
    const bool replaced = current && !may_be_same_process(*current, member);
    if (replaced) {
      members::Member gone = *current;
      gone.state = WorkerState::kGone;
      result.update.members.push_back(std::move(gone));
    }
    member.id = current && !replaced ? current->id : next_id_++;
    result.update.members.push_back(member);
    if (member.state == WorkerState::kGone)
      members_.erase(name), before.erase(name);
    else
      members_[name] = std::move(member);
  }
  if (!event.full) retire_displaced(result.update);
  last_event_ = number;
  result.changes = changes(previous, members_);
  result.verdict = Verdict::kApplied;
  return result;
}

// A worker that is new in the update has its address for itself: what was listed there before is another
// process that has gone, whether or not that was told, so it gets nothing new.
void InvokerList::retire_displaced(members::Update& update) {
  const std::vector<members::Member> told = update.members;
  const auto is_told = [&](std::uint32_t id) {
    return std::any_of(told.begin(), told.end(), [&](const members::Member& m) { return m.id == id; });
  };
  for (const members::Member& fresh : told) {
    if (fresh.state == WorkerState::kGone || fresh.id < first_new_id_) continue;
    for (auto& [name, member] : members_) {
      if (member.address != fresh.address || is_told(member.id) || member.state != WorkerState::kReady)
        continue;
      member.state = WorkerState::kDraining;
      update.members.push_back(member);
    }
  }
}

// Compares two lists, both sorted by name.
std::vector<InvokerList::Change> InvokerList::changes(const Members& before, const Members& after) {
  std::vector<Change> all;
  for (const auto& [name, member] : before)
    if (!after.contains(name)) all.push_back({name, member.id, member.state, WorkerState::kGone});
  for (const auto& [name, member] : after) {
    const auto current = before.find(name);
    if (current == before.end())
      all.push_back({name, member.id, std::nullopt, member.state});
    else if (current->second.id != member.id || current->second.state != member.state)
      all.push_back({name, member.id, current->second.state, member.state});
  }
  return all;
}

void InvokerList::start_replay(std::uint64_t until) { replay_ = Replay{until, 0, {}}; }

InvokerList::ApplyResult InvokerList::apply_replayed(std::uint64_t number, std::string_view data) {
  ApplyResult result;
  result.verdict = Verdict::kNoChange;
  Replay& replayed = *replay_;
  if (number <= replayed.last) return result;
  ParsedEvent event = parse_event(data, false);
  result.why = event.error.empty() ? std::move(event.unreadable_part) : std::move(event.error);
  if (event.full) replayed.members.clear();
  for (auto& [name, member] : event.entries) {
    if (member.state == WorkerState::kGone) {
      replayed.members.erase(name);
      continue;
    }
    if (!replayed.members.contains(name) && replayed.members.size() >= kMaxMembers) continue;
    members::Member& current = replayed.members[name];
    if (member.address.port == 0) member.address = current.address;
    current = std::move(member);
  }
  replayed.last = number;
  if (number < replayed.until) return result;
  // A process that is unchanged under its name keeps its id, so its calls in flight and estimated state carry
  // over.
  for (auto& [name, member] : replayed.members) {
    const auto before = members_.find(name);
    const bool same = before != members_.end() && before->second.address == member.address &&
                      before->second.started_unix_ms == member.started_unix_ms;
    member.id = same ? before->second.id : next_id_++;
    result.update.members.push_back(member);
  }
  result.update.full = true;
  result.update.version = number;
  result.changes = changes(members_, replayed.members);
  members_ = std::move(replayed.members);
  last_event_ = number;
  replay_.reset();
  result.verdict = Verdict::kApplied;
  return result;
}

std::optional<std::uint32_t> InvokerList::worker_id_of(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? std::nullopt : std::optional(it->second.id);
}

}  // namespace laureltide::platform
