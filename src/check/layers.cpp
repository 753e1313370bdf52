#include "check/layers.h"

#include <cstdio>
#include <map>
#include <set>

namespace laureltide::check {
namespace {

struct Released {
  std::string function;
  std::uint64_t release = 0;
  nlohmann::json layers;
};

}  // namespace

LayersVerdict judge_layers(const std::vector<nlohmann::json>& recording) {
  LayersVerdict v;
  std::map<std::string, Released> versions;
  std::set<std::string> blobs, functions;
  std::map<std::pair<std::string, std::string>, std::map<std::uint64_t, std::uint64_t>>
      sent;  // (host, blob) to ranges: begin, end
  std::set<std::string> hosts_seen;
  for (const auto& note : recording)
    if (note.value("e", "") == "release") {
      versions[note.at("version")] = {note.at("function"), note.at("release"), note.at("layers")};
      blobs.insert(note.at("blob").get<std::string>());
      functions.insert(note.at("function").get<std::string>());
    }
  v.versions = versions.size(), v.functions = functions.size();
  for (const auto& note : recording) {
    const std::string event = note.value("e", "");
    if (event == "store-sent") {
      const std::string host = note.at("to"), transfer = note.at("what");
      const std::size_t space = transfer.find(' ');
      unsigned long long from = 0, to = 0;
      if (space == std::string::npos ||
          std::sscanf(transfer.c_str() + space + 1, "%llu-%llu", &from, &to) != 2)
        continue;
      const std::string blob = transfer.substr(0, space);
      if (!blobs.contains(blob)) continue;
      ++v.ranges, v.bytes += to - from;
      hosts_seen.insert(host);
      auto& ranges = sent[{host, blob}];
      auto next = ranges.lower_bound(from);
      const bool into_next = next != ranges.end() && next->first < to;
      const bool into_last = next != ranges.begin() && std::prev(next)->second > from;
      if (into_next || into_last)
        v.duplicate_sends.push_back(host + " was sent bytes " + std::to_string(from) + " to " +
                                    std::to_string(to) + " of " + blob + " again");
      ranges[from] = std::max<std::uint64_t>(to, ranges[from]);
    } else if (event == "ran") {
      const std::string who = "worker " + std::to_string(note.value("worker", 0)) + " ran call " +
                              note.value("call", "") + " of " + note.value("function", "");
      const auto it = versions.find(note.value("version", ""));
      if (it == versions.end()) {
        v.wrong_versions.push_back(who + " on no released version");
        continue;
      }
      ++v.runs;
      if (it->second.release > 1) ++v.renewed;
      if (it->second.function != note.value("function", ""))
        v.wrong_versions.push_back(who + " on a version of " + it->second.function);
      else if (it->second.layers != note.value("layers", nlohmann::json()))
        v.wrong_versions.push_back(who + " on bytes that are not those of release " +
                                   std::to_string(it->second.release));
    }
  }
  v.boxes = hosts_seen.size();
  return v;
}

}  // namespace laureltide::check
