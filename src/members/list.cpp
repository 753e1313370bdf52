#include "members/list.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace laureltide::members {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxMembers = 100'000;  // bounds the memory that a faulty list service can take

std::optional<WorkerState> state_of(const std::string& text) {
  if (text == "ready") return WorkerState::kReady;
  if (text == "draining") return WorkerState::kDraining;
  if (text == "gone") return WorkerState::kGone;
  return std::nullopt;
}

// The JSON library wraps negative numbers and truncates large ones; here they are errors.
std::uint64_t whole_number(const json& value, std::uint64_t max) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
    throw json::other_error::create(501, "not a whole number within range: " + value.dump(), &value);
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
    update.version = whole_number(doc.at("version"), ~0ULL);
    if (!update.full) update.from = whole_number(doc.at("from"), ~0ULL);
    const json& workers = doc.at("workers");
    if (!workers.is_array() || workers.size() > kMaxMembers)
      return why = "workers is not an array or is too long", std::nullopt;
    for (const json& entry : workers) {
      Member member;
      member.id = static_cast<std::uint32_t>(whole_number(entry.at("id"), ~0U));
      const auto state = state_of(entry.value("state", "ready"));
      if (!state) return why = "worker " + std::to_string(member.id) + ": unknown state", std::nullopt;
      member.state = *state;
      const auto address = io::parse_address(entry.value("at", ""));
      if (address) member.address = *address;
      if (!address && member.state != WorkerState::kGone)
        return why = "worker " + std::to_string(member.id) + ": no address in 'at'", std::nullopt;
      member.zone = entry.value("zone", ""), member.kind = entry.value("kind", ""),
      member.cell = entry.value("cell", "");
      member.size = entry.value("size", 1.0F);
      if (entry.contains("started_ms")) member.started_unix_ms = entry.at("started_ms").get<std::int64_t>();
      update.members.push_back(std::move(member));
    }
    return update;
  } catch (const json::exception& e) {
    return why = e.what(), std::nullopt;
  }
}

std::string write_update(const Update& update) {
  json workers = json::array();
  for (const Member& member : update.members) {
    json entry{{"id", member.id},     {"at", member.address.text()}, {"state", text_of(member.state)},
               {"zone", member.zone}, {"kind", member.kind},         {"cell", member.cell},
               {"size", member.size}};
    if (member.started_unix_ms) entry["started_ms"] = *member.started_unix_ms;
    workers.push_back(std::move(entry));
  }
  json doc{{"scope", update.full ? "full" : "changes"},
           {"epoch", update.epoch},
           {"version", update.version},
           {"workers", std::move(workers)}};
  if (update.from) doc["from"] = *update.from;
  return doc.dump();
}

std::uint16_t WorkerList::intern(std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) names.push_back(name);
  return static_cast<std::uint16_t>(
      std::min<std::ptrdiff_t>(std::find(names.begin(), names.end(), name) - names.begin(), 0xffff));
}

WorkerList::ApplyResult WorkerList::take(const Update& update, Duration wall_offset, bool cached) {
  ApplyResult result;
  const bool later_epoch = version_ && update.epoch > epoch_;
  if (version_ && update.epoch < epoch_) return result;
  if (version_ && !later_epoch) {
    // A full list from the service replaces a cached one of the same version.
    if (update.full ? update.version < *version_ || (update.version == *version_ && !cached_)
                    : update.version <= *version_)
      return result;
  }
  if (!update.full && (!version_ || later_epoch || cached_ || update.from != version_)) {
    result.verdict = Verdict::kGap;
    return result;
  }
  result.verdict = Verdict::kApplied;
  result.scope = cached ? ListScope::kCached : update.full ? ListScope::kFull : ListScope::kChanges;
  result.version = ++reported_version_;
  epoch_ = update.epoch;
  version_ = update.version;
  cached_ = cached;
  if (update.full) members_.clear();
  for (const Member& member : update.members) {
    Member& current = members_[member.id];
    const io::Address address = member.address.port != 0 ? member.address : current.address;
    current = member;
    current.address = address;
    WorkerEntry entry;
    entry.id = WorkerId{member.id};
    entry.zone = intern(zones_, member.zone);
    const auto kind = std::find(kinds_.begin(), kinds_.end(), member.kind);
    entry.kind = kind == kinds_.end() ? 0 : static_cast<std::uint16_t>(kind - kinds_.begin());
    entry.cell = intern(cells_, member.cell);
    entry.state = member.state;
    entry.size = member.size;
    if (member.started_unix_ms)
      entry.started = Time(std::chrono::milliseconds(*member.started_unix_ms) + wall_offset);
    result.entries.push_back(entry);
  }
  return result;
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
