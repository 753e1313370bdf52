#include "platform/roster.h"

#include <nlohmann/json.hpp>
#include <set>

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

}  // namespace

Roster::Taken Roster::take(std::uint64_t number, std::string_view data) {
  Taken taken;
  const auto bad = [&](std::string why) {
    taken.verdict = Verdict::kBad, taken.why = std::move(why);
    return taken;
  };
  if (number <= last_) return taken.verdict = Verdict::kOld, taken;
  const json doc = json::parse(data, nullptr, false);
  if (!doc.is_object() || !doc.contains("topology")) return bad("no object with a topology");
  members::Update update;
  std::map<std::string, std::uint32_t> numbers = numbers_;
  std::uint32_t next = next_;
  try {
    const json& topology = doc.at("topology");
    update.full = topology.value("complete", false);
    if (!update.full && number != last_ + 1) return taken.verdict = Verdict::kGap, taken;
    update.version = number;
    update.from = last_;
    const json& listed = topology.at("members");
    if (!listed.is_array() || listed.size() > kMostMembers) return bad("members is no list or too long");
    std::set<std::string> seen;
    for (const json& m : listed) {
      const auto name = m.at("id").get<std::string>();
      seen.insert(name);
      members::Member member;
      const auto state = state_of(m.value("phase", "active"));
      if (!state) return bad("invoker " + name + ": unknown phase");
      member.state = *state;
      const auto known = numbers.find(name);
      if (known == numbers.end() && member.state == WorkerState::kGone) continue;  // never known here
      if (known == numbers.end() && numbers.size() >= kMostMembers) return bad("too many invokers");
      member.id = known == numbers.end() ? (numbers[name] = next++) : known->second;
      const auto address = io::parse_address(m.value("host_port", ""));
      if (!address && member.state != WorkerState::kGone) return bad("invoker " + name + ": no host_port");
      if (address) member.address = *address;
      if (m.contains("locality")) member.zone = word(m["locality"]);
      if (m.contains("flavor")) member.kind = word(m["flavor"]);
      if (m.contains("cell")) member.cell = word(m["cell"]);
      member.size = m.value("size", 1.0F);
      if (const auto since = m.value("up_since_ms", std::int64_t{0}); since > 0)
        member.started_unix_ms = since;
      if (member.state == WorkerState::kGone) numbers.erase(name);
      update.members.push_back(std::move(member));
    }
    if (update.full) std::erase_if(numbers, [&](const auto& n) { return !seen.contains(n.first); });
  } catch (const json::exception& e) {
    return bad(e.what());
  }
  numbers_ = std::move(numbers);
  next_ = next;
  last_ = number;
  taken.verdict = Verdict::kTaken;
  taken.update = std::move(update);
  return taken;
}

std::optional<std::uint32_t> Roster::number_of(const std::string& name) const {
  const auto it = numbers_.find(name);
  return it == numbers_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace laureltide::platform
