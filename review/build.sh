#!/usr/bin/env bash
# Builds every stand-in that the cases start: the project's own, and those of review/peers. To be run after the
# build of the deploy file; uses its folder and its packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build build -j4 --target laureltide_standin_app laureltide_play laureltide_layers_app
libraries=()
for name in tools standin amqp worker layers http members store net base; do
  libraries+=("build/src/liblaureltide_$name.a")
done
g++ -std=c++20 -O1 -g -Wall -Wextra -Isrc -Iinclude review/peers/peers.cpp -o build/review-peers \
  -Wl,--start-group "${libraries[@]}" build/liblaureltide.a -Wl,--end-group \
  $(pkg-config --libs libevent_core lmdb libzstd) -lcrypto -lpthread
echo "built build/review-peers"
