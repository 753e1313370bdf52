// Reads the settings that come with a launch: path=value pairs, one a line.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "laureltide/dispatcher.h"

namespace laureltide::wire {

// The values of a load report, in the order in which the deployment sends them.
enum class ReportColumn {
  kUnknown,
  kInFlight,
  kWaiting,
  kBusyCores,
  kRunMs,
  kServed,
  kErrors,
  kMemory,
  kLoads
};

struct LaunchSettings {
  Settings settings;
  std::vector<ReportColumn> columns;
  std::vector<std::string> unknown_keys;  // keys that were given and mean nothing here
};

// Throws Malformed for what cannot be used; unknown keys are ignored and absent optional ones keep
// defaults.
LaunchSettings parse_settings(std::string_view text);

}  // namespace laureltide::wire
