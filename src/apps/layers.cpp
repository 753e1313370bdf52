// laureltide-layers: the box agent. One agent per box fetches versions of functions for all workers of the
// box.

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <iostream>

#include "layers/agent_server.h"
#include "net/loop.h"

namespace lt = laureltide;
using namespace std::chrono_literals;

namespace {

struct Options {
  std::string directory, name = "box";
  std::uint16_t port = 0;
  std::vector<std::string> stores;
  double capacity_mb = 10'240, release_poll_s = 5, lease_s = 10;
  std::size_t store_at_once = 64;
  std::string prefix = "functions/", release_tag = "current";
  std::string die_at;
};

lt::Duration from_seconds(double s) {
  return std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(s));
}

int run(const Options& o) {
  lt::net::Loop loop;
  lt::layers::RegistryClientOptions remote_options;
  for (const std::string& text : o.stores) {
    const auto address = lt::io::parse_address(text);
    if (!address) return std::cerr << "--store: expected ADDRESS:PORT, found " << text << '\n', 2;
    remote_options.replicas.push_back(*address);
  }
  remote_options.name = o.name;
  auto opened =
      lt::layers::open_disk(o.directory, [&](std::function<void()> task) { loop.post(std::move(task)); });
  if (!opened.disk) return std::cerr << "laureltide-layers: " << opened.why << '\n', 1;
  // For tests: the process sends itself SIGKILL when a step is reached for the n-th time.
  if (!o.die_at.empty()) {
    const std::size_t colon = o.die_at.find(':');
    const int times = colon == std::string::npos ? 1 : std::atoi(o.die_at.c_str() + colon + 1);
    opened.disk->on_step = [step = o.die_at.substr(0, colon),
                            left = std::make_shared<std::atomic<int>>(times)](const char* name) {
      if (step == name && --*left == 0) raise(SIGKILL);
    };
  }
  lt::layers::AgentOptions options;
  options.capacity = static_cast<std::uint64_t>(o.capacity_mb * 1048576);
  options.prefix = o.prefix, options.tag = o.release_tag;
  options.tag_poll_interval = from_seconds(o.release_poll_s), options.lease = from_seconds(o.lease_s);
  options.replicas = static_cast<std::uint32_t>(o.stores.size());
  options.scheduler.max_window = static_cast<double>(o.store_at_once);
  lt::layers::RegistryClient remote(loop, remote_options);
  lt::layers::Agent agent(loop, *opened.disk, remote, options, [](bool warn, const std::string& line) {
    spdlog::log(warn ? spdlog::level::warn : spdlog::level::info, "{}", line);
  });
  lt::http::ServerOptions http;
  http.limits.max_body_bytes = 64U << 10;
  http.body_timeout = 5s, http.idle_timeout = 60s;
  lt::layers::AgentServer server(loop, agent, http);
  if (!server.listen({"127.0.0.1", o.port}))
    return std::cerr << "cannot listen on 127.0.0.1:" << o.port << '\n', 1;
  auto drained = loop.timer([&] { loop.stop(); });
  auto stop = [&] {
    server.drain();
    drained->start(200ms);  // workers repeat their requests to the next process
  };
  loop.on_signal(SIGTERM, stop);
  loop.on_signal(SIGINT, stop);
  std::cout << "listening " << server.address().port << std::endl;
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"laureltide-layers: fetches functions in chunks, once for all workers of a box"};
  app.footer(
      "Example:\n  laureltide-layers --directory /var/lib/laureltide/layers --port 7800 --store "
      "127.0.0.1:5000");
  Options o;
  app.add_option("--directory", o.directory, "directory of the chunk store")->required();
  app.add_option("--store", o.stores, "ADDRESS:PORT of a store; several addresses are replicas of one store")
      ->required();
  app.add_option("--port", o.port, "port on 127.0.0.1; 0 takes a free port and prints it");
  app.add_option("--name", o.name, "name of this box, sent to the store (User-Agent)");
  app.add_option("--capacity-mb", o.capacity_mb, "total size of all chunks")->check(CLI::Range(1.0, 1e9));
  app.add_option("--store-at-once", o.store_at_once, "limit of concurrent fetches")
      ->check(CLI::Range(1, 1024));
  app.add_option("--look-s", o.release_poll_s, "how often the release of a function in use is checked")
      ->check(CLI::Range(0.05, 86'400.0));
  app.add_option("--lease-s", o.lease_s, "how long an unresponsive worker keeps its pins")
      ->check(CLI::Range(1.0, 3600.0));
  app.add_option("--prefix", o.prefix, "prefix of the functions' repositories");
  app.add_option("--tag", o.release_tag, "tag of a function's current release");
  app.add_option("--die-at", o.die_at)->group("");
  CLI11_PARSE(app, argc, argv);
  try {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("layers"));
    return run(o);
  } catch (const std::exception& e) {
    std::cerr << "laureltide-layers: " << e.what() << '\n';
    return 1;
  }
}
