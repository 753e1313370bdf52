// What the platform tells a controller (ROUTER_CONFIG): one JSON object, read and checked. No I/O.
//
// `settings` is the object that the simulator's first message holds; it is flattened to the same path=value
// pairs and read by the same parser, so that names and units cannot part. That parser passes over what it
// does not know and has defaults for what is absent; here a key that decisions cannot do without is an error
// that names it, and keys that mean nothing here are listed.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "platform/link.h"

namespace laureltide::node {

struct Limits {
  double cores = 1;
  std::size_t memory_mb = 32;
  std::size_t sockets = 256;
};

struct KnownEvent {  // an event of the bus
  std::uint64_t number = 0;
  std::string data;
};

struct Config {
  std::string name;
  io::Address listen, bus;
  std::uint64_t seed = 1;
  Limits limits;
  std::vector<KnownEvent> known;  // up to now, in order
  config::Settings settings;
  std::vector<std::pair<std::string, platform::LoadValue>> load;  // what an answer's report holds
  Duration invoker_idle_timeout{};                                // when invokers end idle connections
  std::size_t streams = 32;                                       // attempts that a connection carries
  std::vector<std::string> unread;                                // settings that mean nothing here
};

// Nothing, with `why` (what, where, what was expected), on anything that cannot be used.
std::optional<Config> parse_config(std::string_view json, std::string& why);

// "settings.bounds.attempts_cap" and the like: path=value pairs, one a line, as the simulator writes them.
std::string flatten(std::string_view json_object);

}  // namespace laureltide::node
