// The greedy matching of functions to workers that sets the targets of a plan: how many instances of which
// function each worker is to have. No I/O, no state; deterministic.
//
// The function with the most unplaced load goes first, to the worker that can take the most of it ("Optimal
// Content Replication and Request Matching in Large Caching Systems", sections IV and V). Targets of the plan
// before that still get load are kept first, so that instances do not move without need.
//
// Cost: about F log F + T W steps for F functions, T targets and W workers. It does not grow with F times F:
// clients can name any number of functions, and the event loop waits meanwhile.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "laureltide/dispatcher.h"

namespace laureltide {

// Rendezvous hashing: front ends that know nothing of each other try workers for a function in the same
// order.
std::uint64_t rendezvous_rank(FunctionId function, WorkerId worker);

// A function to place.
struct FunctionDemand {
  FunctionId id{};
  double lanes_per_instance = 1;
  double busy_lanes = 0;               // the load to place
  std::vector<WorkerId> kept_targets;  // workers that were targets in the plan before, in order of their ids
  std::vector<WorkerId> excluded;      // workers that get no new target for it now
};

// What a worker can still take.
struct WorkerCapacity {
  WorkerId id{};
  double free_lanes = 0, free_slots = 0;
};

struct PlacementTarget {
  std::size_t function = 0;  // index into the functions given
  WorkerId worker{};
  int instances = 0;
};

struct GreedyMatching {
  std::vector<PlacementTarget> targets;
  std::vector<std::size_t> by_load;  // indices of all functions given, the one with the most load first
  std::size_t steps = 0;             // functions and candidates looked at, as a measure of the work
};

// `workers` is sorted by id. A target has at most `max_instances` instances.
GreedyMatching match_greedily(const std::vector<FunctionDemand>& functions,
                              std::vector<WorkerCapacity> workers, int max_instances);

}  // namespace laureltide
