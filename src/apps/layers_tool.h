// `laureltide layers ...`: packs functions for a store of the OCI distribution API, pushes and looks at them.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace laureltide::apps {

struct LayersTool {
  std::string directory, against, function, store, prefix = "functions/", tag = "current";
  std::vector<std::string> files;
  std::uint64_t release = 0;
  std::size_t average_kb = 64;
  int level = 3;
  bool json = false;
  CLI::App *pack = nullptr, *push = nullptr, *inspect = nullptr, *verify = nullptr;

  void add_to(CLI::App& app);
  // Exit status: 0 well, 1 damaged, not found or not taken by the store, 2 wrong use.
  int run() const;

 private:
  int run_pack() const;
  int run_push() const;
  int run_inspect() const;
  int run_verify() const;
};

}  // namespace laureltide::apps
