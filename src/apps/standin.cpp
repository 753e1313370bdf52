// laureltide-standin: stand-ins for the broker, the workers, the worker list, the store and the registry.
// `stack` starts a gateway together with the stand-ins that it needs.

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/tools.h"
#include "net/loop.h"
#include "standin/broker.h"
#include "standin/day.h"
#include "standin/list.h"
#include "standin/registry.h"
#include "standin/store.h"
#include "standin/worker.h"

namespace lt = laureltide;
using namespace std::chrono_literals;

namespace {

// The command line options of all subcommands.
struct Options {
  std::uint16_t port = 0;
  std::string day, tape, ports;
  std::uint32_t id = 1;
  std::uint16_t store_port = 0, agent_port = 0;
  std::string queue = "calls";
  std::uint16_t broker_port = 0;
  double seconds = 0;
  bool standby = false;
  std::uint32_t workers = 4;
};

// Loads a day file, or returns a day for trying out a client if no file is given.
std::optional<lt::standin::Day> load_day_or_default(const std::string& file) {
  if (file.empty()) {
    lt::standin::Day day;  // no troubles, and one function that answers with its payload
    day.keep_alive = 10s, day.drain_grace = 1s;
    lt::standin::DayClass echo;
    echo.name = "echo", echo.functions = 1, echo.load = 20ms, echo.work = 1ms, echo.lanes = 64;
    day.cores = 8, day.queue = 4096;  // large enough for a burst of calls from a client under test
    day.classes.push_back(echo);
    return day;
  }
  std::vector<std::string> problems;
  auto day = lt::standin::load_day(file, problems);
  for (const std::string& p : problems) std::cerr << p << '\n';
  return day;
}

// Parses worker ids and their ports: "1=7101,2=7102".
std::map<std::uint32_t, std::uint16_t> parse_ports(const std::string& text) {
  std::map<std::uint32_t, std::uint16_t> ports;
  std::istringstream in(text);
  for (std::string entry; std::getline(in, entry, ',');)
    if (const auto equals = entry.find('='); equals != std::string::npos)
      ports[static_cast<std::uint32_t>(std::stoul(entry.substr(0, equals)))] =
          static_cast<std::uint16_t>(std::stoul(entry.substr(equals + 1)));
  return ports;
}

// Prints the port and runs the event loop until SIGTERM, SIGINT or the time limit. SIGUSR1 starts this
// process's part of the day.
int serve(lt::net::Loop& loop, const Options& common, std::uint16_t port,
          const std::function<void(lt::standin::Script&)>& start_script) {
  std::unique_ptr<lt::standin::Script> script;
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.on_signal(SIGINT, [&] { loop.stop(); });
  loop.on_signal(SIGUSR1, [&] {
    if (script) return;
    script = std::make_unique<lt::standin::Script>(loop, loop.now());
    start_script(*script);
  });
  auto end = loop.timer([&] { loop.stop(); });
  if (common.seconds > 0)
    end->start(std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(common.seconds)));
  std::cout << "listening " << port << std::endl;
  loop.run();
  return 0;
}

int report_listen_failure(std::uint16_t port) {
  std::cerr << "cannot listen on 127.0.0.1:" << port << '\n';
  return 1;
}

int run_broker(const Options& common) {
  lt::net::Loop loop;
  lt::apps::FileTape tape(common.tape);
  const auto day = load_day_or_default(common.day);
  if (!day) return 2;
  lt::standin::Broker broker(loop, {}, tape);
  if (!broker.listen({"127.0.0.1", common.port})) return report_listen_failure(common.port);
  broker.declare_queue(common.queue);
  return serve(loop, common, broker.address().port,
               [&](auto& s) { lt::standin::script_broker(s, *day, broker); });
}

int run_worker(const Options& common) {
  lt::net::Loop loop;
  lt::apps::FileTape tape(common.tape);
  const auto day = load_day_or_default(common.day);
  if (!day) return 2;
  auto options = day->worker_options(common.id);
  if (common.day.empty()) options.functions["echo"] = options.functions["echo-0"];
  if (common.store_port != 0) options.store = lt::io::Address{"127.0.0.1", common.store_port};
  if (common.agent_port != 0) options.agent = lt::io::Address{"127.0.0.1", common.agent_port};
  lt::standin::Worker worker(loop, options, tape);
  for (const auto& cls : day->classes)
    if (cls.effect == "keyed") worker.set_deduplication_window(cls.repeat_window);
  const lt::io::Address at{"127.0.0.1", common.port};
  std::uint16_t port = common.port;
  if (!common.standby) {  // a successor does not listen before the day starts it
    if (!worker.listen(at)) return report_listen_failure(common.port);
    port = worker.address().port;
  }
  return serve(loop, common, port,
               [&](auto& s) { lt::standin::script_worker(s, *day, common.id, worker, at); });
}

int run_list(const Options& common) {
  lt::net::Loop loop;
  lt::apps::FileTape tape(common.tape);
  auto day = load_day_or_default(common.day);
  if (!day) return 2;
  const auto ports = parse_ports(common.ports);
  if (common.day.empty()) day->workers = static_cast<std::uint32_t>(ports.size());
  lt::standin::ListService list(loop, tape);
  if (!list.listen({"127.0.0.1", common.port})) return report_listen_failure(common.port);
  auto address = [&](std::uint32_t id) {
    const auto it = ports.find(id);
    return lt::io::Address{"127.0.0.1", it == ports.end() ? std::uint16_t{1} : it->second};
  };
  // All workers are in the list from the start; the day's changes to it begin at SIGUSR1.
  for (std::uint32_t id = 1; id <= day->workers; ++id) {
    lt::members::Member m;
    m.id = id, m.address = address(id), m.zone = "room", m.kind = "std",
    m.cell = "rack-" + std::to_string(id % day->racks);
    list.set(m);
  }
  return serve(loop, common, list.address().port,
               [&](auto& s) { lt::standin::script_list(s, *day, list, loop, address); });
}

int run_store(const Options& common) {
  lt::net::Loop loop;
  const auto day = load_day_or_default(common.day);
  if (!day) return 2;
  lt::standin::Store store(loop, {day->store_at_once, 8 * day->store_at_once});
  if (!store.listen({"127.0.0.1", common.port})) return report_listen_failure(common.port);
  return serve(loop, common, store.address().port,
               [&](auto& s) { lt::standin::script_store(s, *day, store); });
}

int run_registry(const Options& common) {
  lt::net::Loop loop;
  lt::apps::FileTape tape(common.tape);
  const auto day = load_day_or_default(common.day);
  if (!day) return 2;
  lt::standin::RegistryOptions options;
  options.bytes_per_s = day->store_mb_per_s * 1e6;
  lt::standin::Registry registry(loop, options, tape);
  if (!common.day.empty()) lt::standin::publish_functions(*day, registry, 1, 0, tape, loop.now());
  if (!registry.listen({"127.0.0.1", common.port})) return report_listen_failure(common.port);
  return serve(loop, common, registry.address().port,
               [&](auto& s) { lt::standin::script_registry(s, *day, registry, loop, tape); });
}

// Runs a broker, workers, the worker list and a gateway as child processes until a signal or the time limit.
int run_stack(const Options& common) {
  sigset_t signals;  // blocked before any child starts, so that an early SIGINT or SIGTERM is not lost
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  sigprocmask(SIG_BLOCK, &signals, nullptr);

  const std::string program_directory = lt::apps::executable_directory(),
                    standin_program = program_directory + "/laureltide-standin";
  const std::string dir = lt::apps::create_temp_directory("laureltide-stack-");
  struct DirectoryRemover {
    std::string dir;
    ~DirectoryRemover() {
      std::error_code error;
      std::filesystem::remove_all(dir, error);
    }
  } remover{dir};
  std::vector<std::unique_ptr<lt::apps::ChildProcess>> children;
  auto start_process = [&](std::vector<std::string> command, const std::string& name) -> std::uint16_t {
    children.push_back(std::make_unique<lt::apps::ChildProcess>(command, dir + "/" + name + ".log"));
    std::string line;
    if (!children.back()->read_line(line, 20s) || !line.starts_with("listening ")) {
      std::ifstream log(dir + "/" + name + ".log");
      std::cerr << name << " did not start\n" << log.rdbuf();
      return 0;
    }
    return static_cast<std::uint16_t>(std::stoul(line.substr(10)));
  };
  const std::uint16_t broker = start_process(
      {standin_program, "broker", "--port", std::to_string(common.broker_port), "--queue", common.queue},
      "broker");
  if (broker == 0) return 1;
  std::string ports;
  for (std::uint32_t id = 1; id <= common.workers; ++id) {
    const std::uint16_t port = start_process({standin_program, "worker", "--id", std::to_string(id)},
                                             "worker-" + std::to_string(id));
    if (port == 0) return 1;
    ports += (ports.empty() ? "" : ",") + std::to_string(id) + "=" + std::to_string(port);
  }
  const std::uint16_t list = start_process({standin_program, "list", "--ports", ports}, "list");
  if (list == 0) return 1;
  std::ofstream(dir + "/gateway.toml")
      << "[gateway]\nname = \"gateway\"\n[list]\nservice = \"127.0.0.1:" << list
      << "\"\n[instances]\non_miss = \"miss\"\nkeep_alive_ms = 10000\n"
      << "[[kind]]\nname = \"std\"\nmemory_mb = 4096\n"
      << "[[class]]\nname = \"echo\"\neffect = \"repeatable\"\ntarget_ms = 10000\ngive_up_ms = 30000\n"
      << "[[function]]\nname = \"echo\"\nclass = \"echo\"\nlanes = 64\nmemory_mb = 200\n"
      << "[[broker]]\nname = \"main\"\naddress = \"127.0.0.1:" << broker << "\"\nqueues = [\"" << common.queue
      << "\"]\nprefetch = 2000\n";
  const std::string log = dir + "/gateway.log";
  children.push_back(std::make_unique<lt::apps::ChildProcess>(
      std::vector<std::string>{program_directory + "/laureltide", "serve", "--config", dir + "/gateway.toml"},
      log));
  lt::apps::ChildProcess& gateway = *children.back();
  // The stack is ready when the gateway's log says that it consumes from the broker.
  auto consuming = [&] {
    std::ifstream in(log);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str().find(": consuming") != std::string::npos;
  };
  for (int i = 0; i < 2000 && gateway.running() && !consuming(); ++i) usleep(10'000);
  if (!consuming()) {
    std::cerr << "the gateway did not start\n" << std::ifstream(log).rdbuf();
    return 1;
  }
  std::cout << "ready broker=127.0.0.1:" << broker << " queue=" << common.queue << " function=echo"
            << std::endl;
  const double run_seconds = common.seconds > 0 ? common.seconds : 1e9;
  const timespec wait{static_cast<time_t>(run_seconds),
                      static_cast<long>((run_seconds - std::floor(run_seconds)) * 1e9)};
  sigtimedwait(&signals, nullptr, &wait);
  gateway.signal(SIGTERM);
  const int exit_status = gateway.wait(40s);
  children.clear();
  return exit_status == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"laureltide-standin: stand-ins for the broker, workers, worker list and stores, on loopback"};
  app.require_subcommand(1);
  app.footer("Example:\n  laureltide-standin stack --broker-port 5672 --for 60");
  Options common;
  auto add_common_options = [&](CLI::App* sub) {
    sub->add_option("--port", common.port, "port on 127.0.0.1; 0 takes a free port and prints it");
    sub->add_option("--day", common.day,
                    "day file (TOML); this process plays its part of the day from SIGUSR1 on");
    sub->add_option("--tape", common.tape, "file to which events are appended (lines of JSON)");
    sub->add_option("--for", common.seconds, "stop after this many seconds; 0: only at SIGTERM or SIGINT");
  };
  CLI::App* broker = app.add_subcommand("broker", "an AMQP 0-9-1 broker");
  add_common_options(broker);
  broker->add_option("--queue", common.queue, "queue to declare at the start");
  CLI::App* worker = app.add_subcommand("worker", "a worker");
  add_common_options(worker);
  worker->add_option("--id", common.id, "its id in the worker list");
  worker->add_option("--store-port", common.store_port, "port of the store that it fetches from; 0: none");
  worker->add_option("--agent-port", common.agent_port,
                     "port of the box agent that it loads functions through; 0: none");
  worker->add_flag("--stand-by", common.standby, "does not listen before the day starts it");
  CLI::App* list = app.add_subcommand("list", "the worker list service");
  add_common_options(list);
  list->add_option("--ports", common.ports, "ports of the workers: 1=7101,2=7102");
  CLI::App* store = app.add_subcommand("store", "the store that workers fetch functions from");
  add_common_options(store);
  CLI::App* registry =
      app.add_subcommand("registry", "a store (OCI distribution API) that box agents fetch from");
  add_common_options(registry);
  CLI::App* stack =
      app.add_subcommand("stack", "broker, workers, worker list and a gateway; prints a line with 'ready'");
  stack->add_option("--broker-port", common.broker_port,
                    "port on which the broker listens; 0 takes a free port");
  stack->add_option("--queue", common.queue, "queue that the gateway consumes calls from");
  stack->add_option("--workers", common.workers, "number of workers")->check(CLI::Range(1, 64));
  stack->add_option("--for", common.seconds, "stop after this many seconds; 0: only at SIGINT or SIGTERM");
  CLI11_PARSE(app, argc, argv);
  try {
    if (*broker) return run_broker(common);
    if (*worker) return run_worker(common);
    if (*list) return run_list(common);
    if (*store) return run_store(common);
    if (*registry) return run_registry(common);
    return run_stack(common);
  } catch (const std::exception& e) {
    std::cerr << "laureltide-standin: " << e.what() << '\n';
    return 1;
  }
}
