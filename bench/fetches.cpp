// Measures the cost of one step of the fetch scheduler (add, start and end a fetch) in microseconds, by the
// number of waiting fetches. The same run measures the steps on a std::set ordered by level and arrival as
// the baseline.

#include <chrono>
#include <cstdio>
#include <deque>
#include <random>
#include <set>

#include "layers/scheduler.h"

namespace {

using namespace laureltide;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int kMeasuredSteps = 200'000;

double us_per_step(Clock::time_point start_time) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start_time).count() / kMeasuredSteps;
}

double scheduler(std::size_t waiting) {
  layers::Scheduler s({}, 1);
  std::mt19937_64 random(1);
  std::uint64_t next_id = 1;
  Time now{1h};
  auto add = [&] {
    layers::Fetch f;
    f.id = next_id++, f.level = static_cast<layers::Level>(random() % 4);
    f.tenant = static_cast<std::uint32_t>(random() % 50), f.function = random() % 500, f.bytes = 65'536;
    s.add(now, f);
  };
  while (s.size() < waiting) add();
  std::deque<layers::ScheduledAttempt> in_flight;
  const auto start_time = Clock::now();
  for (int i = 0; i < kMeasuredSteps; ++i) {
    now += 100us;
    while (const auto start = s.next(now)) in_flight.push_back(*start);
    s.on_attempt_ended(now, in_flight.front().id, in_flight.front().attempt, layers::FetchOutcome::kOk, {});
    in_flight.pop_front();
    add();
  }
  return us_per_step(start_time);
}

double plain_set(std::size_t waiting) {
  std::set<std::pair<std::uint64_t, std::uint64_t>> queue;
  std::mt19937_64 random(1);
  std::uint64_t next_id = 1;
  while (queue.size() < waiting) queue.emplace(random() % 4, next_id++);
  const auto start_time = Clock::now();
  for (int i = 0; i < kMeasuredSteps; ++i) {
    queue.erase(queue.begin());
    queue.emplace(random() % 4, next_id++);
  }
  return us_per_step(start_time);
}

}  // namespace

int main() {
  std::printf("%10s %14s %14s %8s\n", "waiting", "scheduler us", "std::set us", "ratio");
  for (const std::size_t n : {100UL, 1'000UL, 10'000UL, 100'000UL, 500'000UL}) {
    const double a = scheduler(n), b = plain_set(n);
    std::printf("%10zu %14.3f %14.3f %8.1f\n", n, a, b, a / b);
  }
}
