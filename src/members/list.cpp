#include "members/list.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace laureltide::members {
namespace {

using nlohmann::json;

constexpr std::size_t kMostMembers = 100'000;  // bounds what a broken source can make us hold

std::optional<WorkerState> state_of(const std::string& text) {
  if (text == "ready") return WorkerState::kReady;
  if (text == "draining") return WorkerState::kDraining;
  if (text == "gone") return WorkerState::kGone;
  return std::nullopt;
}

// The library wraps negative and cuts large numbers; a list must not.
std::uint64_t whole(const json& value, std::uint64_t most) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most)
    throw json::other_error::create(501, "a whole number is out of range or none: " + value.dump(), &value);
  return value.get<std::uint64_t>();
}

}  // namespace

const char* text_of(WorkerState state) {
  return state == WorkerState::kReady ? "ready" : state == WorkerState::kDraining ? "draining" : "gone";
}

std::optional<Update> parse_update(std::string_view text, std::string& why) {
  const json doc = json::parse(text, nullptr, false);
  if (doc.is_discarded() || !doc.is_object()) return why = "not a JSON object", std::nullopt;
  try {
    Update update;
    const auto scope = doc.at("scope").get<std::string>();
    if (scope != "full" && scope != "changes") return why = "scope is neither full nor changes", std::nullopt;
    update.full = scope == "full";
    update.epoch = doc.value("epoch", std::int64_t{0});
    update.version = whole(doc.at("version"), ~0ULL);
    if (!update.full) update.from = whole(doc.at("from"), ~0ULL);
    const json& workers = doc.at("workers");
    if (!workers.is_array() || workers.size() > kMostMembers)
      return why = "workers is no list or too long", std::nullopt;
    for (const json& w : workers) {
      Member m;
      m.id = static_cast<std::uint32_t>(whole(w.at("id"), ~0U));
      const auto state = state_of(w.value("state", "ready"));
      if (!state) return why = "worker " + std::to_string(m.id) + ": unknown state", std::nullopt;
      m.state = *state;
      const auto address = io::parse_address(w.value("at", ""));
      if (address) m.address = *address;
      if (!address && m.state != WorkerState::kGone)
        return why = "worker " + std::to_string(m.id) + ": no address in 'at'", std::nullopt;
      m.zone = w.value("zone", ""), m.kind = w.value("kind", ""), m.cell = w.value("cell", "");
      m.size = w.value("size", 1.0F);
      if (w.contains("started_ms")) m.started_unix_ms = w.at("started_ms").get<std::int64_t>();
      update.members.push_back(std::move(m));
    }
    return update;
  } catch (const json::exception& e) {
    return why = e.what(), std::nullopt;
  }
}

std::string write_update(const Update& update) {
  json workers = json::array();
  for (const Member& m : update.members) {
    json w{{"id", m.id},     {"at", m.address.text()}, {"state", text_of(m.state)},
           {"zone", m.zone}, {"kind", m.kind},         {"cell", m.cell},
           {"size", m.size}};
    if (m.started_unix_ms) w["started_ms"] = *m.started_unix_ms;
    workers.push_back(std::move(w));
  }
  json doc{{"scope", update.full ? "full" : "changes"},
           {"epoch", update.epoch},
           {"version", update.version},
           {"workers", std::move(workers)}};
  if (update.from) doc["from"] = *update.from;
  return doc.dump();
}

std::uint16_t WorkerList::place(std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) names.push_back(name);
  return static_cast<std::uint16_t>(
      std::min<std::ptrdiff_t>(std::find(names.begin(), names.end(), name) - names.begin(), 0xffff));
}

WorkerList::ApplyResult WorkerList::take(const Update& update, Duration wall_offset, bool cached) {
  ApplyResult taken;
  const bool later_epoch = version_ && update.epoch > epoch_;
  if (version_ && update.epoch < epoch_) return taken;
  if (version_ && !later_epoch) {
    // The service's own list replaces a cached one of the same version.
    if (update.full ? update.version < *version_ || (update.version == *version_ && !cached_)
                    : update.version <= *version_)
      return taken;
  }
  if (!update.full && (!version_ || later_epoch || cached_ || update.from != version_)) {
    taken.verdict = Verdict::kGap;
    return taken;
  }
  taken.verdict = Verdict::kApplied;
  taken.scope = cached ? ListScope::kCached : update.full ? ListScope::kFull : ListScope::kChanges;
  taken.version = ++told_;
  epoch_ = update.epoch;
  version_ = update.version;
  cached_ = cached;
  if (update.full) members_.clear();
  for (const Member& m : update.members) {
    Member& held = members_[m.id];
    const io::Address address = m.address.port != 0 ? m.address : held.address;
    held = m;
    held.address = address;
    WorkerEntry entry;
    entry.id = WorkerId{m.id};
    entry.zone = place(zones_, m.zone);
    const auto kind = std::find(kinds_.begin(), kinds_.end(), m.kind);
    entry.kind = kind == kinds_.end() ? 0 : static_cast<std::uint16_t>(kind - kinds_.begin());
    entry.cell = place(cells_, m.cell);
    entry.state = m.state;
    entry.size = m.size;
    if (m.started_unix_ms) entry.started = Time(std::chrono::milliseconds(*m.started_unix_ms) + wall_offset);
    taken.entries.push_back(entry);
  }
  return taken;
}

const Member* WorkerList::find(WorkerId id) const {
  const auto it = members_.find(static_cast<std::uint32_t>(id));
  return it == members_.end() ? nullptr : &it->second;
}

void WorkerList::remove_gone(const std::function<bool(WorkerId)>& still_needed) {
  std::erase_if(members_, [&](const auto& m) {
    return m.second.state == WorkerState::kGone && !still_needed(WorkerId{m.first});
  });
}

Update WorkerList::snapshot() const {
  Update update;
  update.epoch = epoch_;
  update.version = version_.value_or(0);
  for (const auto& [id, member] : members_) update.members.push_back(member);
  return update;
}

}  // namespace laureltide::members
