// A day: a scripted scenario for laureltide-play, with a fleet, its traffic and its faults, read from one
// TOML file (docs/days.md). Every stand-in reads the same file and plays its own part, timed from the day's
// start.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "standin/worker.h"

namespace laureltide::standin {

// The faults that a day can schedule: those of the decision module's bench, under the same names, and faults
// of connections.
enum class TroubleKind {
  kAgeing,
  kBalancerCrash,
  kBalancerRoll,
  kBurst,
  kClassFail,
  kCrash,
  kDeploy,
  kDiscoveryStale,
  kListDrain,
  kListGone,
  kFlush,
  kHotKey,
  kMassRestart,
  kOriginSlow,
  kRelease,
  kPauses,
  kPreempt,
  kSlow,
  kThrottle,
  kVanish,
  kBrokerDrop,
  kBrokerDeaf,
  kBrokerCrash,
  kChannelClose,
  kReset,
  kLateAnswer,
  kTwice,
  kFull,
  kLoadFail
};

struct Trouble {
  TroubleKind kind{};
  std::string name;  // of the kind, as in the file
  Duration at{}, length{};
  double share = 0.25;                 // of the workers (or gateways, or functions), where none are named
  std::vector<std::uint32_t> workers;  // affected; drawn from the day's seed where not named
  std::vector<std::uint32_t> gateways;
  double size = 1;  // slowdown, rate factor or pause in ms, by kind (docs/days.md)
  std::string request_class;
  bool affects(std::uint32_t worker) const;
};

struct DayClass {
  std::string name, effect = "repeatable", group = "all";
  double share = 1, worth = 1;
  Duration target{}, give_up{}, repeat_window{};
  int functions = 4, lanes = 4;
  double memory_mb = 200;
  Duration load{}, work{};
};
struct DayTenant {
  std::string name;
  double share = 1;
};

struct Day {
  std::string name;
  std::uint64_t seed = 1;
  Duration length{}, settle{};  // of the traffic, and the time after it to answer all calls
  double calls_per_s = 50;
  std::size_t body_bytes = 200;
  bool wants_keys = false;
  std::vector<DayClass> classes;
  std::vector<DayTenant> tenants;
  // Fleet.
  std::uint32_t workers = 4, gateways = 1, racks = 2;
  int cores = 2, loads_at_once = 4;
  double memory_mb = 4096;
  std::size_t queue = 32, prefetch = 256;
  bool load_on_miss = false, confirm_mode = false;
  std::string front = "amqp";  // protocol of the callers: amqp, http
  bool deferred = false;       // HTTP: Prefer: respond-async and polling
  double repeat = 0;           // HTTP: share of the answered calls that is sent again under the same key
  bool ledger = false, acknowledge_on_take = false, sole_reader = false;
  // Where gateway 0 kills itself, one entry for each process: crash points such as "attempt-durable:20".
  std::vector<std::string> die_at;
  Duration keep_alive{}, list_lag{};
  // Rules.
  Duration drain_grace{}, answer_grace{}, cold_duration{}, overload_duration{}, order_window{};
  double cold_capacity_share = 1, overload_multiple = 0, order_floor = 0, orders_per_call = 0;
  std::size_t store_at_once = 8;
  // Machines whose agents load functions from an OCI store for their workers; 0: no agents.
  std::uint32_t boxes = 0;
  std::size_t layer_kb = 1024;  // of each function
  double store_mb_per_s = 50;   // of all machines together
  std::vector<Trouble> troubles;

  std::string function(const DayClass& c, int i) const { return c.name + "-" + std::to_string(i); }
  WorkerOptions worker_options(std::uint32_t id) const;
  // In a rolling deploy the successor of a worker has the worker's id plus this.
  static constexpr std::uint32_t kSuccessorIdOffset = 1000;
  bool has_successor(std::uint32_t worker) const;
  // When this worker drains within a deploy.
  std::optional<Duration> drain_time(const Trouble& deploy, std::uint32_t worker) const;
};

// Returns nothing on an invalid file, with every problem as "file:line: key: what was expected".
std::optional<Day> parse_day(std::string_view toml, const std::string& file,
                             std::vector<std::string>& problems);
// The same day with faults and traffic `factor` times as fast; timeouts, work and loads keep their length.
std::string scale_day_speed(std::string_view toml, double factor);
std::optional<Day> load_day(const std::string& file, std::vector<std::string>& problems);

// An action of a stand-in process at a time of the day.
struct Step {
  Duration at{};
  std::string what;
  std::function<void()> run;
};
// Runs actions by a host's clock. The start may lie in the past: what is due by then runs at once.
class Script {
 public:
  Script(io::Host& host, Time start);
  void add(Duration at, std::function<void()> run);
  void add_every(Duration from, Duration to, Duration period, std::function<void()> run);

 private:
  io::Host& host_;
  Time start_;
  std::vector<std::unique_ptr<io::Timer>> timers_;
};

// Schedule the part of the day that each stand-in plays.
void script_worker(Script& script, const Day& day, std::uint32_t id, Worker& worker, const io::Address& at);
class ListService;
void script_list(Script& script, const Day& day, ListService& list, io::Host& host,
                 const std::function<io::Address(std::uint32_t)>& address_of);
class Broker;
void script_broker(Script& script, const Day& day, Broker& broker);
void script_store(Script& script, const Day& day, Store& store);
class Registry;
// Publishes a release of every function. The first one comes before the day, later ones with its faults.
// `changed`: the share of blocks that the release replaces, if the day does not hold it.
void publish_functions(const Day& day, Registry& registry, std::uint64_t release, double changed, Tape& tape,
                       Time at);
void script_registry(Script& script, const Day& day, Registry& registry, io::Host& host, Tape& tape);

}  // namespace laureltide::standin
