// `laureltide ledger ...`: reads a ledger's directory, also while a gateway uses it.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace laureltide::apps {

struct LedgerTool {
  std::string directory, to, front, name;
  bool open_only = false, json = false;
  CLI::App *list = nullptr, *show = nullptr, *verify = nullptr, *compact = nullptr;

  void add_to(CLI::App& app);
  // Exit status: 0 well, 1 damaged or not found, 2 wrong use.
  int run() const;
};

}  // namespace laureltide::apps
