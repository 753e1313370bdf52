// Judges chunked layers from traffic alone: what the store sent to whom, and what the workers read and ran.
// It shares no code with the agent, the workers or the store.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace laureltide::check {

struct LayersVerdict {
  std::vector<std::string> duplicate_sends;  // bytes that a box was sent more than once
  std::vector<std::string>
      wrong_versions;  // calls that ran on anything but one released version, as released
  std::size_t versions = 0, functions = 0, boxes = 0, ranges = 0, runs = 0, renewed = 0;
  std::uint64_t bytes = 0;
  bool kept() const { return duplicate_sends.empty() && wrong_versions.empty(); }
};

// `tape`: objects as docs/days.md has them; the notes are `release`, `store-sent` and `ran`.
LayersVerdict judge_layers(const std::vector<nlohmann::json>& tape);

}  // namespace laureltide::check
