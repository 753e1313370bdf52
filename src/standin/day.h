// A day for laureltide-play: a fleet, its traffic and what goes wrong, from one TOML file (docs/days.md).
// Every stand-in reads the same file and does its own part of it, by time from the day's start.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "standin/worker.h"

namespace laureltide::standin {

// The troubles that a day can hold: those of the module's bench by their names, and some of sockets.
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
  std::string name;  // of the kind
  Duration at{}, length{};
  double part = 0.25;                  // of the workers (or gateways, or functions), where none are named
  std::vector<std::uint32_t> workers;  // struck; drawn from the day's seed where not named
  std::vector<std::uint32_t> gateways;
  double size = 1;  // times slower, times the rate, ms of a pause: as docs/days.md tells
  std::string request_class;
  bool strikes(std::uint32_t worker) const;
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
  Duration length{}, settle{};  // traffic, and the time to answer all after it
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
  std::string front = "amqp";  // that calls come by: amqp, http
  bool deferred = false;       // HTTP: respond-async and polling
  double repeat = 0;           // HTTP: the part of answered calls that is asked for again under its key
  bool ledger = false, acknowledge_on_take = false, sole_reader = false;
  // Where gateway 0 kills itself, life after life: steps of the ledger, such as "attempt-durable:20".
  std::vector<std::string> die_at;
  Duration keep_alive{}, list_lag{};
  // Rules.
  Duration drain_grace{}, answer_grace{}, cold_duration{}, overload_duration{}, order_window{};
  double cold_capacity_share = 1, overload_multiple = 0, order_floor = 0, orders_per_call = 0;
  std::size_t store_at_once = 8;
  // Workers load through agents of their boxes, from an OCI store: 0: they do not.
  std::uint32_t boxes = 0;
  std::size_t layer_kb = 1024;  // of each function
  double store_mb_per_s = 50;   // of all boxes together
  std::vector<Trouble> troubles;

  std::string function(const DayClass& c, int i) const { return c.name + "-" + std::to_string(i); }
  WorkerOptions worker_options(std::uint32_t id) const;
  // Successors of a rolling deploy have ids from here: old id + successor_of.
  static constexpr std::uint32_t kSuccessorIdOffset = 1000;
  bool has_successor(std::uint32_t worker) const;
  // When, within a deploy, this worker's turn to drain comes.
  std::optional<Duration> turn(const Trouble& deploy, std::uint32_t worker) const;
};

// Nothing, with every problem as "file:line: key: what was expected", on a bad file.
std::optional<Day> parse_day(std::string_view toml, const std::string& file,
                             std::vector<std::string>& problems);
// The same day with its troubles and traffic `times` as fast; patience, work and loads stay as they are.
std::string scale_day_speed(std::string_view toml, double times);
std::optional<Day> load_day(const std::string& file, std::vector<std::string>& problems);

// What a stand-in process does at a time of the day.
struct Step {
  Duration at{};
  std::string what;
  std::function<void()> run;
};
// Runs steps by a host's clock; the first life of the day's start may lie in the past.
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

// The parts of the day that each stand-in plays.
void script_worker(Script& script, const Day& day, std::uint32_t id, Worker& worker, const io::Address& at);
class ListService;
void script_list(Script& script, const Day& day, ListService& list, io::Host& host,
                 const std::function<io::Address(std::uint32_t)>& address_of);
class Broker;
void script_broker(Script& script, const Day& day, Broker& broker);
void script_store(Script& script, const Day& day, Store& store);
class Registry;
// Publishes the first release of every function; later ones come with the day's troubles.
void publish_functions(const Day& day, Registry& registry, std::uint64_t release, double changed, Tape& tape,
                       Time at);
void script_registry(Script& script, const Day& day, Registry& registry, io::Host& host, Tape& tape);

}  // namespace laureltide::standin
