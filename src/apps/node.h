// `laureltide node`: a controller of the platform, configured by the file that ROUTER_CONFIG names.
#pragma once

namespace laureltide::apps {

// Runs until a signal ends it and returns the exit status. `log_calls`: logs a line for each call that ends.
int run_node(bool log_calls);

}  // namespace laureltide::apps
