#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the programs of the deploy file: the project's stand-ins, the agent of a box,
# and the small peers of review/peers-2. Run it after the build of the deploy file; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build build -j4 --target laureltide_standin_app laureltide_layers_app
mkdir -p build/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build/review-2/peer review/peers-2/peer.cpp
