// `laureltide node`: a controller of the platform, configured by the environment it is started in.
#pragma once

namespace laureltide::apps {

int run_node();

}  // namespace laureltide::apps
