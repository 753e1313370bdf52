// Checks the five rules from recorded traffic alone: what clients, the broker, the worker list and the
// workers recorded at their sockets. It shares no code with the controller or the test servers. A recording
// consists of JSON lines (docs/days.md).
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace laureltide::check {

struct ClassRule {
  std::string effect;         // repeatable, keyed, once
  std::string group = "all";  // keyed: the group of workers that drops duplicates
  double repeat_window_s = 0;
  double work_s = 0.05;  // mean work of a call, for rule 4
};

struct Rules {
  double drain_grace_s = 1, answer_grace_s = 0.5;
  double cold_capacity_share = 1, cold_for_s = 0, overload_multiple = 0, overload_for_s = 1, worker_cores = 1;
  // At-least-once answers: an identical answer with the same answer id may arrive again.
  bool allow_repeated_answers = false;
  double order_window_s = 0, order_floor = 0, orders_per_call = 0;
  std::map<std::string, ClassRule> classes;
  std::map<std::string, std::string> class_of_function;
  std::map<std::string, std::string> rack_of_worker, zone_of_worker;  // key: the worker's number as text
  // Tolerance between the records of two programs: a program records a message when it reads it, not when the
  // bytes arrive.
  double slack_s = 0.25;
};

struct Violation {
  int rule = 0;
  std::string what;  // names the call, the worker and the times
};

struct ClassCount {
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, unanswered = 0;
  std::vector<double> latency_s;  // of served calls
};

struct Verdict {
  std::vector<Violation> violations;
  std::map<std::string, ClassCount> classes;
  std::uint64_t calls = 0, taken = 0, attempts = 0, runs = 0, holds = 0, redelivered = 0, repeated = 0,
                asked_again = 0;
  bool kept() const { return violations.empty(); }
  nlohmann::json report() const;
};

// `recording`: objects with t (ns of one clock), e (what), and the fields of docs/days.md; any order.
Verdict judge(const Rules& rules, std::vector<nlohmann::json> recording);

}  // namespace laureltide::check
