#include "apps/node.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "net/loop.h"
#include "node/node.h"

namespace laureltide::apps {
namespace {

constexpr int kBadConfiguration = 2;

std::string read_file(const char* path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return in ? text.str() : std::string();
}

}  // namespace

int run_node(bool log_calls) {
  // Blocks signals until their handlers are installed: by default SIGHUP would end the process.
  sigset_t handled;
  sigemptyset(&handled);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&handled, number);
  sigprocmask(SIG_BLOCK, &handled, nullptr);
  spdlog::set_default_logger(spdlog::stderr_logger_st("laureltide"));
  spdlog::set_pattern("%L %v");
  const char* path = std::getenv("ROUTER_CONFIG");
  if (!path)
    return spdlog::error("ROUTER_CONFIG is not set; it must name the controller's configuration file"),
           kBadConfiguration;
  std::string error;
  auto config = node::parse_config(read_file(path), error);
  if (!config) return spdlog::error("{}: {}", path, error), kBadConfiguration;

  net::Loop loop;
  const auto log_line = [](node::Severity level, const std::string& line) {
    spdlog::log(level == node::Severity::kWarn ? spdlog::level::warn : spdlog::level::info, "{}", line);
  };
  const std::string name = config->name;
  const std::string at = config->listen.text();
  node::Node controller(loop, std::move(*config), log_line, log_calls);
  loop.on_signal(SIGTERM, [&] { controller.drain([&] { loop.stop(); }); });
  loop.on_signal(SIGINT, [&] { loop.stop(); });
  loop.on_signal(SIGHUP, [&] { controller.reload(read_file(path)); });
  if (!controller.start()) return spdlog::error("cannot listen on {}", at), 1;
  spdlog::info("serving as {} at {}", name, at);
  sigprocmask(SIG_UNBLOCK, &handled, nullptr);
  loop.run();
  return 0;
}

}  // namespace laureltide::apps
