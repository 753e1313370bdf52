#include "policy/greedy_matching.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

#include "policy/bits.h"

namespace laureltide {
namespace {

constexpr double kNoLanes = 1e-9;  // what rounding can leave of a lane

class Matcher {
 public:
  Matcher(const std::vector<FunctionDemand>& functions, std::vector<WorkerCapacity> workers,
          int max_instances)
      : functions_(functions), workers_(std::move(workers)), max_instances_(max_instances) {
    for (const FunctionDemand& function : functions_) unplaced_lanes_.push_back(function.busy_lanes);
    for (WorkerCapacity& worker : workers_) open_workers_.push_back(&worker);
    close_full_workers();
  }

  GreedyMatching run() {
    result_.by_load = by_load();
    for (const std::size_t function : result_.by_load) keep_targets(function);
    place_rest(result_.by_load);
    return std::move(result_);
  }

 private:
  // Indices of the functions, the most load first.
  std::vector<std::size_t> by_load() const {
    std::vector<std::size_t> order(functions_.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return functions_[a].busy_lanes > functions_[b].busy_lanes;
    });
    return order;
  }

  void keep_targets(std::size_t function) {
    ++result_.steps;
    for (const WorkerId id : functions_[function].kept_targets) {
      WorkerCapacity* const worker = find(id);
      if (worker && unplaced_lanes_[function] > 0 && worker->free_lanes > 0 && worker->free_slots >= 1)
        assign(function, *worker);
    }
  }

  // Always continues with the function that has the most unplaced load; of equal ones, the first in `order`.
  void place_rest(const std::vector<std::size_t>& order) {
    struct Entry {
      double unplaced_lanes;
      std::size_t position;  // in `order`
      bool operator<(const Entry& other) const {
        return std::tie(unplaced_lanes, other.position) < std::tie(other.unplaced_lanes, position);
      }
    };
    std::vector<Entry> entries;
    for (std::size_t i = 0; i < order.size(); ++i)
      if (unplaced_lanes_[order[i]] > kNoLanes) entries.push_back({unplaced_lanes_[order[i]], i});
    std::priority_queue<Entry> queue(std::less<Entry>(), std::move(entries));
    close_full_workers();
    while (!queue.empty() && !open_workers_.empty()) {
      const std::size_t position = queue.top().position;
      const std::size_t function = order[position];
      queue.pop();
      ++result_.steps;
      WorkerCapacity* const worker = best_worker(function);
      if (!worker) continue;
      assign(function, *worker);
      if (unplaced_lanes_[function] > kNoLanes) queue.push({unplaced_lanes_[function], position});
      if (is_full(*worker)) close_full_workers();
    }
  }

  // The paper maximises min(worker flow, function flow), here free and unplaced lanes, so all workers that
  // can take the whole function tie. Ties go to the highest rendezvous rank, so that front ends share
  // instances without communication.
  WorkerCapacity* best_worker(std::size_t function) {
    const FunctionDemand& demand = functions_[function];
    WorkerCapacity* best = nullptr;
    std::pair<double, std::uint64_t> best_rank;
    for (WorkerCapacity* const worker : open_workers_) {
      ++result_.steps;
      if (assigned_.contains({function, worker->id}) || excludes(demand, worker->id)) continue;
      const std::pair rank(std::min(worker->free_lanes, unplaced_lanes_[function]),
                           rendezvous_rank(demand.id, worker->id));
      if (!best || rank > best_rank) best = worker, best_rank = rank;
    }
    return best;
  }

  // Places as much of the function's load on the worker as the worker can take.
  void assign(std::size_t function, WorkerCapacity& worker) {
    const double lanes = std::min(worker.free_lanes, unplaced_lanes_[function]);
    const double instances = std::min({std::ceil(lanes / functions_[function].lanes_per_instance),
                                       std::floor(worker.free_slots), static_cast<double>(max_instances_)});
    worker.free_lanes -= lanes;
    worker.free_slots -= instances;
    unplaced_lanes_[function] -= lanes;
    assigned_.emplace(function, worker.id);
    result_.targets.push_back({function, worker.id, static_cast<int>(instances)});
  }

  static bool is_full(const WorkerCapacity& worker) {
    return worker.free_slots < 1 || worker.free_lanes <= kNoLanes;
  }
  void close_full_workers() {
    std::erase_if(open_workers_, [](const WorkerCapacity* worker) { return is_full(*worker); });
  }
  static bool excludes(const FunctionDemand& function, WorkerId id) {
    return std::find(function.excluded.begin(), function.excluded.end(), id) != function.excluded.end();
  }
  WorkerCapacity* find(WorkerId id) {
    const auto it =
        std::lower_bound(workers_.begin(), workers_.end(), id,
                         [](const WorkerCapacity& worker, WorkerId wanted) { return worker.id < wanted; });
    return it != workers_.end() && it->id == id ? &*it : nullptr;
  }

  const std::vector<FunctionDemand>& functions_;
  std::vector<WorkerCapacity> workers_;
  int max_instances_;
  std::vector<double> unplaced_lanes_;         // by function
  std::vector<WorkerCapacity*> open_workers_;  // with a free lane and slot
  std::set<std::pair<std::size_t, WorkerId>> assigned_;
  GreedyMatching result_;
};

}  // namespace

std::uint64_t rendezvous_rank(FunctionId function, WorkerId worker) {
  return mix_bits(static_cast<std::uint64_t>(function) ^ mix_bits(static_cast<std::uint64_t>(worker) + 1));
}

GreedyMatching match_greedily(const std::vector<FunctionDemand>& functions,
                              std::vector<WorkerCapacity> workers, int max_instances) {
  return Matcher(functions, std::move(workers), max_instances).run();
}

}  // namespace laureltide
