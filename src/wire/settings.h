// Reads the settings text of a launch record: key=value pairs, one per line.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "laureltide/dispatcher.h"

namespace laureltide::wire {

// Meaning of a value in a load report. The deployment's settings list the values in the order in which it
// sends them.
enum class ReportColumn {
  kUnknown,
  kInFlight,
  kWaiting,
  kBusyCores,
  kRunMs,   // average run time
  kServed,  // per second
  kErrors,  // per second
  kMemory,  // share of memory in use by running or loading instances
  kLoads    // loads in progress or waiting
};

// The settings of one dispatcher.
struct LaunchSettings {
  Settings settings;
  std::vector<ReportColumn> columns;      // of the load reports, in order
  std::vector<std::string> unknown_keys;  // keys in the text that no setting has
};

// Throws Malformed for values that cannot be used. Ignores unknown keys; optional keys that are absent get
// their defaults.
LaunchSettings parse_settings(std::string_view text);

}  // namespace laureltide::wire
