#include "policy/greedy_matching.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <tuple>

namespace laureltide {
namespace {

constexpr int kMaxInstances = 16;

// The matching as the paper states it, without regard to its cost: each step scans all functions for the one
// with the most unplaced load, and all workers for the one that can take the most of it.
std::vector<PlacementTarget> match_by_scans(const std::vector<FunctionDemand>& functions,
                                            std::vector<WorkerCapacity> workers) {
  std::vector<PlacementTarget> targets;
  std::vector<std::size_t> order(functions.size());
  std::vector<double> unplaced;
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i, unplaced.push_back(functions[i].busy_lanes);
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return unplaced[a] > unplaced[b]; });
  const auto is_target = [&](std::size_t function, WorkerId worker) {
    return std::any_of(targets.begin(), targets.end(),
                       [&](const auto& t) { return t.function == function && t.worker == worker; });
  };
  const auto assign = [&](std::size_t function, WorkerCapacity& worker) {
    const double lanes = std::min(worker.free_lanes, unplaced[function]);
    const double instances = std::min({std::ceil(lanes / functions[function].lanes_per_instance),
                                       std::floor(worker.free_slots), double{kMaxInstances}});
    worker.free_lanes -= lanes, worker.free_slots -= instances, unplaced[function] -= lanes;
    targets.push_back({function, worker.id, static_cast<int>(instances)});
  };
  for (const std::size_t function : order)
    for (const WorkerId id : functions[function].kept_targets)
      for (WorkerCapacity& worker : workers)
        if (worker.id == id && unplaced[function] > 0 && worker.free_lanes > 0 && worker.free_slots >= 1)
          assign(function, worker);
  while (!order.empty()) {
    const std::size_t function = *std::max_element(order.begin(), order.end(),
                                                   [&](auto a, auto b) { return unplaced[a] < unplaced[b]; });
    if (unplaced[function] <= 1e-9) break;
    WorkerCapacity* best = nullptr;
    const auto rank = [&](const WorkerCapacity& worker) {
      return std::tuple(std::min(worker.free_lanes, unplaced[function]),
                        rendezvous_rank(functions[function].id, worker.id));
    };
    for (WorkerCapacity& worker : workers) {
      const auto& excluded = functions[function].excluded;
      if (worker.free_slots < 1 || worker.free_lanes <= 1e-9 || is_target(function, worker.id) ||
          std::find(excluded.begin(), excluded.end(), worker.id) != excluded.end())
        continue;
      if (!best || rank(worker) > rank(*best)) best = &worker;
    }
    if (best)
      assign(function, *best);
    else
      unplaced[function] = 0;
  }
  return targets;
}

class RandomFleet {
 public:
  explicit RandomFleet(std::uint64_t seed) : random_(seed) {}
  std::vector<WorkerCapacity> workers(std::size_t count) {
    std::vector<WorkerCapacity> all;
    for (std::size_t i = 0; i < count; ++i)
      all.push_back({WorkerId(static_cast<std::uint32_t>(i + 1)), 4 * unit(), std::floor(6 * unit())});
    return all;
  }
  std::vector<FunctionDemand> functions(std::size_t count, std::size_t workers) {
    std::vector<FunctionDemand> all;
    for (std::size_t i = 0; i < count; ++i) {
      FunctionDemand function{FunctionId{random_()}, 1 + std::floor(3 * unit()), 0, {}, {}};
      function.busy_lanes = unit() < 0.4 ? 0.25 : 2 * unit();  // several are equal
      for (std::uint32_t id = 1; id <= workers; ++id) {
        if (unit() < 0.2) function.kept_targets.push_back(WorkerId{id});
        if (unit() < 0.2) function.excluded.push_back(WorkerId{id});
      }
      all.push_back(std::move(function));
    }
    return all;
  }

 private:
  double unit() { return std::uniform_real_distribution<>(0, 1)(random_); }
  std::mt19937_64 random_;
};

TEST(GreedyMatching, ChoosesAsTheScanOverAllFunctionsAndWorkers) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RandomFleet fleet(seed);
    const auto workers = fleet.workers(seed % 9);
    const auto functions = fleet.functions(seed % 30, workers.size());
    const auto expected = match_by_scans(functions, workers);
    const auto actual = match_greedily(functions, workers, kMaxInstances).targets;
    ASSERT_EQ(actual.size(), expected.size()) << seed;
    for (std::size_t i = 0; i < actual.size(); ++i) {
      EXPECT_EQ(actual[i].function, expected[i].function) << seed;
      EXPECT_EQ(actual[i].worker, expected[i].worker) << seed;
      EXPECT_EQ(actual[i].instances, expected[i].instances) << seed;
    }
  }
}

// Each function of a flood of new names has a little load; the workers are full long before all are placed.
TEST(GreedyMatching, WorkGrowsWithTheFunctionsAndNotWithTheirSquare) {
  constexpr std::size_t kFunctions = 40'000;
  std::vector<FunctionDemand> functions;
  for (std::size_t i = 0; i < kFunctions; ++i) functions.push_back({FunctionId{i + 1}, 1, 0.01, {}, {}});
  std::vector<WorkerCapacity> workers;
  for (std::uint32_t id = 1; id <= 11; ++id) workers.push_back({WorkerId{id}, 100, 16});
  const GreedyMatching matching = match_greedily(functions, workers, kMaxInstances);
  EXPECT_EQ(matching.targets.size(), 11U * 16U);
  EXPECT_LE(matching.steps, 2 * kFunctions);
}

}  // namespace
}  // namespace laureltide
