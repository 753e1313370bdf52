// Parses and validates a controller's configuration (the file named by ROUTER_CONFIG): one JSON object. No
// I/O.
//
// `settings` is the object that the simulator sends in its first message. It is flattened to the same
// path=value pairs and read by the same parser, so that names and units cannot differ. That parser ignores
// unknown keys and has defaults for missing ones. Here, a missing key that decisions depend on is an error,
// and unused keys are reported.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "platform/link.h"

namespace laureltide::node {

// Resources that the platform grants to this process.
struct Limits {
  double cores = 1;
  std::size_t memory_mb = 32;
  std::size_t sockets = 256;
};

// An event of the platform's event bus that the configuration already contains.
struct KnownEvent {
  std::uint64_t number = 0;
  std::string data;
};

struct Config {
  std::string name;
  io::Address listen, bus;
  std::uint64_t seed = 1;
  Limits limits;
  std::vector<KnownEvent> known_events;  // all events up to the start, in order
  config::Settings settings;
  std::vector<std::pair<std::string, platform::LoadValue>> load_columns;  // of the load report in answers
  Duration invoker_idle_timeout{};  // after which invokers close idle connections
  std::size_t max_streams = 32;     // concurrent attempts on one connection
  std::vector<std::string> unused_settings;
};

// Returns nothing for an unusable configuration and sets `error` to the key at fault and what was expected.
std::optional<Config> parse_config(std::string_view json, std::string& error);

// Flattens a JSON object to lines of path=value pairs, such as "bounds.attempts_cap=4", as the
// simulator writes them.
std::string flatten(std::string_view json_object);

}  // namespace laureltide::node
