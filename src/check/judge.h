// Judges the five rules from traffic alone: what clients, broker, list and workers noted at their sockets.
// It shares no code with the controller or the stand-ins; a tape is lines of JSON (docs/days.md).
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace laureltide::check {

struct ClassRule {
  std::string effect;         // repeatable, keyed, once
  std::string group = "all";  // keyed: who drops repeats
  double repeat_window_s = 0;
  double work_s = 0.05;  // mean work of a call, for rule 4
};

struct Rules {
  double drain_grace_s = 1, answer_grace_s = 0.5;
  double cold_capacity_share = 1, cold_for_s = 0, overload_multiple = 0, overload_for_s = 1, worker_cores = 1;
  // Answers are given at least once, not exactly once: one that is the same, by its own id, may come again.
  bool allow_repeated_answers = false;
  double order_window_s = 0, order_floor = 0, orders_per_call = 0;
  std::map<std::string, ClassRule> classes;
  std::map<std::string, std::string> class_of_function;
  std::map<std::string, std::string> rack_of_worker, zone_of_worker;  // by the worker's number as text
  // Between two programs' notes of one moment: a note is written when a program reads, not when bytes arrive.
  double slack_s = 0.25;
};

struct Break {
  int rule = 0;
  std::string what;  // with call, worker and times
};

struct ClassCount {
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, untaken = 0;
  std::vector<double> latency_s;  // of served ones
};

struct Verdict {
  std::vector<Break> breaks;
  std::map<std::string, ClassCount> classes;
  std::uint64_t calls = 0, taken = 0, attempts = 0, runs = 0, holds = 0, redelivered = 0, repeated = 0,
                asked_again = 0;
  bool kept() const { return breaks.empty(); }
  nlohmann::json report() const;
};

// `tape`: objects with t (ns of one clock), e (what), and the fields of docs/days.md; any order.
Verdict judge(const Rules& rules, std::vector<nlohmann::json> tape);

}  // namespace laureltide::check
