// `laureltide layers ...`: packs functions into chunked layers, inspects and verifies them, and pushes them
// to a store (OCI distribution API).
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace laureltide::apps {

// Options and subcommands of `laureltide layers`.
struct LayersTool {
  std::string directory, against, function, store, prefix = "functions/", tag = "current";
  std::vector<std::string> files;
  std::uint64_t release = 0;
  std::size_t average_kb = 64;
  int level = 3;
  bool json = false;
  CLI::App *pack = nullptr, *push = nullptr, *inspect = nullptr, *verify = nullptr;

  void add_to(CLI::App& app);
  // Returns the exit status: 0 on success, 1 if a layout is damaged or not found or the store rejects it, 2
  // on wrong usage.
  int run() const;

 private:
  int run_pack() const;
  int run_push() const;
  int run_inspect() const;
  int run_verify() const;
};

}  // namespace laureltide::apps
