// laureltide-standin: stand-ins for what the gateway works with, and a whole stack of them.

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

struct Common {
  std::uint16_t port = 0;
  std::string day, tape, ports;
  std::uint32_t id = 1;
  std::uint16_t store_port = 0, agent_port = 0;
  std::string queue = "calls";
  std::uint16_t broker_port = 0;
  double seconds = 0;
  bool stand_by = false;
  std::uint32_t workers = 4;
};

std::optional<lt::standin::Day> day_of(const std::string& file) {
  if (file.empty()) {
    lt::standin::Day day;  // no trouble, one function that answers its payload
    day.keep_alive = 10s, day.drain_grace = 1s;
    lt::standin::DayClass c;
    c.name = "echo", c.functions = 1, c.load = 20ms, c.work = 1ms, c.lanes = 64;
    day.cores = 8, day.queue = 4096;  // a burst of a client that is being tried out finds room
    day.classes.push_back(c);
    return day;
  }
  std::vector<std::string> problems;
  auto day = lt::standin::load_day(file, problems);
  for (const std::string& p : problems) std::cerr << p << '\n';
  return day;
}

// "1=7101,2=7102"
std::map<std::uint32_t, std::uint16_t> ports_of(const std::string& text) {
  std::map<std::uint32_t, std::uint16_t> ports;
  std::istringstream in(text);
  for (std::string one; std::getline(in, one, ',');)
    if (const auto eq = one.find('='); eq != std::string::npos)
      ports[static_cast<std::uint32_t>(std::stoul(one.substr(0, eq)))] =
          static_cast<std::uint16_t>(std::stoul(one.substr(eq + 1)));
  return ports;
}

// Says on standard output that it listens; its part of the day begins at SIGUSR1.
int serve(lt::net::Loop& loop, const Common& c, std::uint16_t port,
          const std::function<void(lt::standin::Script&)>& part) {
  std::unique_ptr<lt::standin::Script> script;
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.on_signal(SIGINT, [&] { loop.stop(); });
  loop.on_signal(SIGUSR1, [&] {
    if (script) return;
    script = std::make_unique<lt::standin::Script>(loop, loop.now());
    part(*script);
  });
  auto end = loop.timer([&] { loop.stop(); });
  if (c.seconds > 0)
    end->start(std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(c.seconds)));
  std::cout << "listening " << port << std::endl;
  loop.run();
  return 0;
}

int cannot_listen(std::uint16_t port) {
  std::cerr << "cannot listen on 127.0.0.1:" << port << '\n';
  return 1;
}

int run_broker(const Common& c) {
  lt::net::Loop loop;
  lt::apps::FileTape tape(c.tape);
  const auto day = day_of(c.day);
  if (!day) return 2;
  lt::standin::Broker broker(loop, {}, tape);
  if (!broker.listen({"127.0.0.1", c.port})) return cannot_listen(c.port);
  broker.declare_queue(c.queue);
  return serve(loop, c, broker.address().port, [&](auto& s) { lt::standin::script_broker(s, *day, broker); });
}

int run_worker(const Common& c) {
  lt::net::Loop loop;
  lt::apps::FileTape tape(c.tape);
  const auto day = day_of(c.day);
  if (!day) return 2;
  auto options = day->worker_options(c.id);
  if (c.day.empty()) options.functions["echo"] = options.functions["echo-0"];
  if (c.store_port != 0) options.store = lt::io::Address{"127.0.0.1", c.store_port};
  if (c.agent_port != 0) options.agent = lt::io::Address{"127.0.0.1", c.agent_port};
  lt::standin::Worker worker(loop, options, tape);
  for (const auto& cls : day->classes)
    if (cls.effect == "keyed") worker.set_deduplication_window(cls.repeat_window);
  const lt::io::Address at{"127.0.0.1", c.port};
  std::uint16_t port = c.port;
  if (!c.stand_by) {  // a successor starts when the day says so
    if (!worker.listen(at)) return cannot_listen(c.port);
    port = worker.address().port;
  }
  return serve(loop, c, port, [&](auto& s) { lt::standin::script_worker(s, *day, c.id, worker, at); });
}

int run_list(const Common& c) {
  lt::net::Loop loop;
  lt::apps::FileTape tape(c.tape);
  auto day = day_of(c.day);
  if (!day) return 2;
  const auto ports = ports_of(c.ports);
  if (c.day.empty()) day->workers = static_cast<std::uint32_t>(ports.size());
  lt::standin::ListService list(loop, tape);
  if (!list.listen({"127.0.0.1", c.port})) return cannot_listen(c.port);
  auto address = [&](std::uint32_t id) {
    const auto it = ports.find(id);
    return lt::io::Address{"127.0.0.1", it == ports.end() ? std::uint16_t{1} : it->second};
  };
  // The fleet is known from the start; the day's part begins with the signal.
  for (std::uint32_t id = 1; id <= day->workers; ++id) {
    lt::members::Member m;
    m.id = id, m.address = address(id), m.zone = "room", m.kind = "std",
    m.cell = "rack-" + std::to_string(id % day->racks);
    list.set(m);
  }
  return serve(loop, c, list.address().port,
               [&](auto& s) { lt::standin::script_list(s, *day, list, loop, address); });
}

int run_store(const Common& c) {
  lt::net::Loop loop;
  const auto day = day_of(c.day);
  if (!day) return 2;
  lt::standin::Store store(loop, {day->store_at_once, 8 * day->store_at_once});
  if (!store.listen({"127.0.0.1", c.port})) return cannot_listen(c.port);
  return serve(loop, c, store.address().port, [&](auto& s) { lt::standin::script_store(s, *day, store); });
}

int run_registry(const Common& c) {
  lt::net::Loop loop;
  lt::apps::FileTape tape(c.tape);
  const auto day = day_of(c.day);
  if (!day) return 2;
  lt::standin::RegistryOptions options;
  options.bytes_per_s = day->store_mb_per_s * 1e6;
  lt::standin::Registry registry(loop, options, tape);
  if (!c.day.empty()) lt::standin::publish_functions(*day, registry, 1, 0, tape, loop.now());
  if (!registry.listen({"127.0.0.1", c.port})) return cannot_listen(c.port);
  return serve(loop, c, registry.address().port,
               [&](auto& s) { lt::standin::script_registry(s, *day, registry, loop, tape); });
}

// Broker, workers, list and the gateway itself, as processes of this one.
int run_stack(const Common& c) {
  sigset_t signals;  // before any child: a stop that comes early is not lost
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  sigprocmask(SIG_BLOCK, &signals, nullptr);

  const std::string here = lt::apps::executable_directory(), self = here + "/laureltide-standin";
  const std::string dir = lt::apps::create_temp_directory("laureltide-stack-");
  struct Cleaner {
    std::string dir;
    ~Cleaner() {
      std::error_code error;
      std::filesystem::remove_all(dir, error);
    }
  } cleaner{dir};
  std::vector<std::unique_ptr<lt::apps::ChildProcess>> children;
  auto start = [&](std::vector<std::string> command, const std::string& name) -> std::uint16_t {
    children.push_back(std::make_unique<lt::apps::ChildProcess>(command, dir + "/" + name + ".log"));
    std::string line;
    if (!children.back()->read_line(line, 20s) || !line.starts_with("listening ")) {
      std::ifstream log(dir + "/" + name + ".log");
      std::cerr << name << " did not start\n" << log.rdbuf();
      return 0;
    }
    return static_cast<std::uint16_t>(std::stoul(line.substr(10)));
  };
  const std::uint16_t broker =
      start({self, "broker", "--port", std::to_string(c.broker_port), "--queue", c.queue}, "broker");
  if (broker == 0) return 1;
  std::string ports;
  for (std::uint32_t id = 1; id <= c.workers; ++id) {
    const std::uint16_t port =
        start({self, "worker", "--id", std::to_string(id)}, "worker-" + std::to_string(id));
    if (port == 0) return 1;
    ports += (ports.empty() ? "" : ",") + std::to_string(id) + "=" + std::to_string(port);
  }
  const std::uint16_t list = start({self, "list", "--ports", ports}, "list");
  if (list == 0) return 1;
  std::ofstream(dir + "/gateway.toml")
      << "[gateway]\nname = \"gateway\"\n[list]\nservice = \"127.0.0.1:" << list
      << "\"\n[instances]\non_miss = \"miss\"\nkeep_alive_ms = 10000\n"
      << "[[kind]]\nname = \"std\"\nmemory_mb = 4096\n"
      << "[[class]]\nname = \"echo\"\neffect = \"repeatable\"\ntarget_ms = 10000\ngive_up_ms = 30000\n"
      << "[[function]]\nname = \"echo\"\nclass = \"echo\"\nlanes = 64\nmemory_mb = 200\n"
      << "[[broker]]\nname = \"main\"\naddress = \"127.0.0.1:" << broker << "\"\nqueues = [\"" << c.queue
      << "\"]\nprefetch = 2000\n";
  const std::string log = dir + "/gateway.log";
  children.push_back(std::make_unique<lt::apps::ChildProcess>(
      std::vector<std::string>{here + "/laureltide", "serve", "--config", dir + "/gateway.toml"}, log));
  lt::apps::ChildProcess& gateway = *children.back();
  // Ready once the gateway consumes; it says so in its log.
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
  std::cout << "ready broker=127.0.0.1:" << broker << " queue=" << c.queue << " function=echo" << std::endl;
  const double span = c.seconds > 0 ? c.seconds : 1e9;
  const timespec wait{static_cast<time_t>(span), static_cast<long>((span - std::floor(span)) * 1e9)};
  sigtimedwait(&signals, nullptr, &wait);
  gateway.signal(SIGTERM);
  const int code = gateway.wait(40s);
  children.clear();
  return code == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"laureltide-standin: stand-ins for broker, workers, list and store, on loopback"};
  app.require_subcommand(1);
  app.footer("Example:\n  laureltide-standin stack --broker-port 5672 --for 60");
  Common c;
  auto common = [&](CLI::App* sub) {
    sub->add_option("--port", c.port, "of 127.0.0.1; 0 takes a free one, which is printed");
    sub->add_option("--day", c.day, "the day whose part is played from SIGUSR1 on (TOML)");
    sub->add_option("--tape", c.tape, "where to note what is seen (lines of JSON)");
    sub->add_option("--for", c.seconds, "stop after so many seconds; 0: at SIGTERM or SIGINT");
  };
  CLI::App* broker = app.add_subcommand("broker", "an AMQP 0-9-1 broker");
  common(broker);
  broker->add_option("--queue", c.queue, "declared at the start");
  CLI::App* worker = app.add_subcommand("worker", "a worker");
  common(worker);
  worker->add_option("--id", c.id, "its number in the list");
  worker->add_option("--store-port", c.store_port, "of the store it fetches from; 0: none");
  worker->add_option("--agent-port", c.agent_port,
                     "of its box's agent, which it then loads through; 0: none");
  worker->add_flag("--stand-by", c.stand_by, "does not listen before the day says so");
  CLI::App* list = app.add_subcommand("list", "the list of workers");
  common(list);
  list->add_option("--ports", c.ports, "of the workers: 1=7101,2=7102");
  CLI::App* store = app.add_subcommand("store", "the store that workers fetch functions from");
  common(store);
  CLI::App* registry =
      app.add_subcommand("registry", "a store of the OCI distribution API, that boxes fetch from");
  common(registry);
  CLI::App* stack = app.add_subcommand("stack", "all of it with a gateway; prints a line with 'ready'");
  stack->add_option("--broker-port", c.broker_port, "where the broker listens; 0 takes a free port");
  stack->add_option("--queue", c.queue, "whose messages are calls");
  stack->add_option("--workers", c.workers, "how many")->check(CLI::Range(1, 64));
  stack->add_option("--for", c.seconds, "stop after so many seconds; 0: at SIGINT or SIGTERM");
  CLI11_PARSE(app, argc, argv);
  try {
    if (*broker) return run_broker(c);
    if (*worker) return run_worker(c);
    if (*list) return run_list(c);
    if (*store) return run_store(c);
    if (*registry) return run_registry(c);
    return run_stack(c);
  } catch (const std::exception& e) {
    std::cerr << "laureltide-standin: " << e.what() << '\n';
    return 1;
  }
}
