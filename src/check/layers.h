// Checks chunked function layers from recorded traffic alone: what the registry sent to which host, and which
// layers the workers loaded and ran. It shares no code with the agent, the workers or the registry.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace laureltide::check {

struct LayersVerdict {
  std::vector<std::string> duplicate_sends;  // byte ranges sent to the same host more than once
  // Calls that ran on anything but the unmodified layers of one released version.
  std::vector<std::string> wrong_versions;
  std::size_t versions = 0, functions = 0, boxes = 0, ranges = 0, runs = 0, renewed = 0;
  std::uint64_t bytes = 0;
  bool kept() const { return duplicate_sends.empty() && wrong_versions.empty(); }
};

// `recording`: the events of docs/days.md; `release`, `store-sent` and `ran` are evaluated.
LayersVerdict judge_layers(const std::vector<nlohmann::json>& recording);

}  // namespace laureltide::check
