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

LayersVerdict judge_layers(const std::vector<nlohmann::json>& tape) {
  LayersVerdict v;
  std::map<std::string, Released> versions;
  std::set<std::string> blobs, functions;
  std::map<std::pair<std::string, std::string>, std::map<std::uint64_t, std::uint64_t>>
      sent;  // box, blob: from, to
  std::set<std::string> boxes;
  for (const auto& note : tape)
    if (note.value("e", "") == "release") {
      versions[note.at("version")] = {note.at("function"), note.at("release"), note.at("layers")};
      blobs.insert(note.at("blob").get<std::string>());
      functions.insert(note.at("function").get<std::string>());
    }
  v.versions = versions.size(), v.functions = functions.size();
  for (const auto& note : tape) {
    const std::string what = note.value("e", "");
    if (what == "store-sent") {
      const std::string box = note.at("to"), said = note.at("what");
      const std::size_t space = said.find(' ');
      unsigned long long from = 0, to = 0;
      if (space == std::string::npos || std::sscanf(said.c_str() + space + 1, "%llu-%llu", &from, &to) != 2)
        continue;
      const std::string blob = said.substr(0, space);
      if (!blobs.contains(blob)) continue;
      ++v.ranges, v.bytes += to - from;
      boxes.insert(box);
      auto& ranges = sent[{box, blob}];
      auto next = ranges.lower_bound(from);
      const bool into_next = next != ranges.end() && next->first < to;
      const bool into_last = next != ranges.begin() && std::prev(next)->second > from;
      if (into_next || into_last)
        v.duplicate_sends.push_back(box + " was sent bytes " + std::to_string(from) + " to " +
                                    std::to_string(to) + " of " + blob + " again");
      ranges[from] = std::max<std::uint64_t>(to, ranges[from]);
    } else if (what == "ran") {
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
  v.boxes = boxes.size();
  return v;
}

}  // namespace laureltide::check
