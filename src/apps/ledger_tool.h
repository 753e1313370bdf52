// `laureltide ledger ...`: lists, shows, verifies and copies the records of a ledger, also while a gateway
// uses it.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace laureltide::apps {

// Options and subcommands of `laureltide ledger`.
struct LedgerTool {
  std::string directory, to, front, name;
  bool open_only = false, json = false;
  CLI::App *list = nullptr, *show = nullptr, *verify = nullptr, *compact = nullptr;

  void add_to(CLI::App& app);
  // Returns the exit status: 0 on success, 1 if the ledger is damaged or a record or ledger is not found, 2
  // on wrong usage.
  int run() const;
};

}  // namespace laureltide::apps
