// What a decision of the fetch scheduler costs with so many fetches waiting: add, start, end, in
// microseconds. Beside it, in the same run, the same steps on a plain std::set ordered by arrival, which
// decides nothing.

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

constexpr int kSteps = 200'000;

double us_a_step(Clock::time_point from) {
  return std::chrono::duration<double, std::micro>(Clock::now() - from).count() / kSteps;
}

double scheduler(std::size_t waiting) {
  layers::Scheduler s({}, 1);
  std::mt19937_64 random(1);
  std::uint64_t next = 1;
  Time now{1h};
  auto add = [&] {
    layers::Fetch f;
    f.id = next++, f.level = static_cast<layers::Level>(random() % 4);
    f.tenant = static_cast<std::uint32_t>(random() % 50), f.function = random() % 500, f.bytes = 65'536;
    s.add(now, f);
  };
  while (s.size() < waiting) add();
  std::deque<layers::ScheduledAttempt> out;
  const auto from = Clock::now();
  for (int i = 0; i < kSteps; ++i) {
    now += 100us;
    while (const auto start = s.next(now)) out.push_back(*start);
    s.on_attempt_ended(now, out.front().id, out.front().attempt, layers::FetchOutcome::kOk, {});
    out.pop_front();
    add();
  }
  return us_a_step(from);
}

double plain(std::size_t waiting) {
  std::set<std::pair<std::uint64_t, std::uint64_t>> line;
  std::mt19937_64 random(1);
  std::uint64_t next = 1;
  while (line.size() < waiting) line.emplace(random() % 4, next++);
  const auto from = Clock::now();
  for (int i = 0; i < kSteps; ++i) {
    line.erase(line.begin());
    line.emplace(random() % 4, next++);
  }
  return us_a_step(from);
}

}  // namespace

int main() {
  std::printf("%10s %14s %14s %8s\n", "waiting", "scheduler us", "std::set us", "ratio");
  for (const std::size_t n : {100UL, 1'000UL, 10'000UL, 100'000UL, 500'000UL}) {
    const double a = scheduler(n), b = plain(n);
    std::printf("%10zu %14.3f %14.3f %8.1f\n", n, a, b, a / b);
  }
}
