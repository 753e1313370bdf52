// laureltide: the gateway's command line. `serve` runs the gateway; `check`, `key`, `ledger`, `layers` and
// `node` are the other subcommands.

#include <openssl/rand.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "apps/layers_tool.h"
#include "apps/ledger_tool.h"
#include "apps/node.h"
#include "config/settings.h"
#include "controller/gateway.h"
#include "controller/keyring.h"
#include "net/loop.h"
#include "store/lmdb.h"

namespace lt = laureltide;

namespace {

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return in ? text.str() : std::string();
}

// Writes the most recent worker list to a file on its own thread, so that the event loop never blocks on disk
// I/O.
class WorkerListCache {
 public:
  explicit WorkerListCache(std::string path)
      : path_(std::move(path)), thread_([this](std::stop_token s) { run(s); }) {}
  void save(std::string text) {
    const std::lock_guard lock(mutex_);
    text_ = std::move(text);
    wakeup_.notify_one();
  }

 private:
  void run(const std::stop_token& stop) {
    std::unique_lock lock(mutex_);
    while (wakeup_.wait(lock, stop, [this] { return text_.has_value(); })) {
      const std::string text = *std::exchange(text_, std::nullopt);
      lock.unlock();
      std::error_code error;
      const std::string temporary_path = path_ + ".new";
      bool written_ok = false;
      {
        std::ofstream out(temporary_path, std::ios::binary);
        out << text;
        out.flush();
        written_ok = out.good();
      }
      if (written_ok) std::filesystem::rename(temporary_path, path_, error);
      if (!written_ok || error) spdlog::warn("cannot write the worker list cache {}", path_);
      lock.lock();
    }
  }

  std::string path_;
  std::mutex mutex_;
  std::condition_variable_any wakeup_;
  std::optional<std::string> text_;
  std::jthread thread_;
};

spdlog::level::level_enum parse_log_level(const std::string& name) { return spdlog::level::from_str(name); }

lt::store::LmdbOptions lmdb_options(const lt::config::Ledger& ledger) {
  using Sync = lt::store::LmdbOptions::Sync;
  lt::store::LmdbOptions o;
  o.directory = ledger.directory, o.most_mb = ledger.max_size_mb, o.gather = ledger.group_commit_window;
  o.check = lt::ledger::check_entry;
  o.sync = ledger.sync == lt::config::LedgerSync::kEach   ? Sync::kEach
           : ledger.sync == lt::config::LedgerSync::kNone ? Sync::kNone
                                                          : Sync::kGroup;
  return o;
}

// For tests: the process sends itself SIGKILL when the ledger reaches the step for the n-th time.
struct CrashPoint {
  std::string step;
  int times = 1;
};

class GatewayProgram : public lt::controller::GatewayEvents {
 public:
  GatewayProgram(std::string file, lt::config::Settings settings, std::uint64_t seed, CrashPoint crash_point)
      : file_(std::move(file)),
        settings_(std::make_shared<lt::config::Settings>(std::move(settings))),
        loop_({settings_->gateway.loopback_only}),
        json_(settings_->log_format == lt::config::LogFormat::kJson) {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("laureltide"));
    spdlog::set_level(parse_log_level(settings_->log_level));
    spdlog::set_pattern(json_ ? "%v" : "%Y-%m-%dT%H:%M:%S.%e %l %v");
    if (seed == 0) seed = loop_.random();
    if (!settings_->list.cache.empty())
      list_cache_ = std::make_unique<WorkerListCache>(settings_->list.cache);
    if (!settings_->ledger.directory.empty()) open_ledger(std::move(crash_point));
    gateway_ = std::make_unique<lt::controller::Gateway>(loop_, settings_, *this, seed, 1,
                                                         book_ ? book_.get() : nullptr);
    poll_timer_ = loop_.timer([this] { poll_worker_list(); });
  }

  int run() {
    if (!settings_->list.cache.empty())
      if (const std::string cached = read_file(settings_->list.cache); !cached.empty())
        gateway_->apply_cached_worker_list(cached);
    loop_.on_signal(SIGTERM, [this] { stop(); });
    loop_.on_signal(SIGINT, [this] { stop(); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    gateway_->start();
    if (gateway_->invoke_listen_failed()) return 1;
    if (!settings_->list.file.empty()) poll_worker_list();
    on_log_line(lt::controller::LogLevel::kInfo, "serving as " + settings_->gateway.name);
    loop_.run();
    return exit_code_;
  }

  void on_call_finished(const lt::controller::CallSummary& e) override {
    const auto& c = e.call;
    const double ms = std::chrono::duration<double, std::milli>(e.took).count();
    const std::string tenant = c.tenant ? settings_->tenant_names[*c.tenant] : "";
    if (!spdlog::should_log(spdlog::level::info)) return;
    if (json_) {
      nlohmann::json line{{"time_ms", loop_.unix_ms()},
                          {"level", "info"},
                          {"event", "call"},
                          {"call", c.name},
                          {"function", c.function->name},
                          {"class", settings_->class_names[c.function->request_class]},
                          {"tenant", tenant},
                          {"outcome", text_of(e.answer.kind)},
                          {"end", e.end},
                          {"attempts", e.attempts},
                          {"ms", ms},
                          {"reason", e.answer.reason}};
      return spdlog::info(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    spdlog::info(
        "call={} function={} class={} tenant={} outcome={} end={} attempts=[{}] ms={:.1f} reason=\"{}\"",
        c.name, c.function->name, settings_->class_names[c.function->request_class],
        tenant.empty() ? "-" : tenant, text_of(e.answer.kind), e.end, e.attempts, ms, e.answer.reason);
  }
  void on_log_line(lt::controller::LogLevel level, const std::string& line) override {
    using lt::controller::LogLevel;
    const auto to = level == LogLevel::kDebug  ? spdlog::level::debug
                    : level == LogLevel::kInfo ? spdlog::level::info
                    : level == LogLevel::kWarn ? spdlog::level::warn
                                               : spdlog::level::err;
    if (!json_) return spdlog::log(to, "{}", line);
    const nlohmann::json doc{{"time_ms", loop_.unix_ms()},
                             {"level", spdlog::level::to_string_view(to).data()},
                             {"event", "line"},
                             {"text", line}};
    spdlog::log(to, "{}", doc.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  void store_worker_list(const std::string& json) override {
    if (list_cache_) list_cache_->save(json);
  }

 private:
  void open_ledger(CrashPoint crash_point) {
    const auto start_time = loop_.now();
    auto opened = lt::store::open_lmdb(lmdb_options(settings_->ledger),
                                       [this](std::function<void()> task) { loop_.post(std::move(task)); });
    if (!opened.store) throw std::runtime_error(opened.why);
    store_ = std::move(opened.store);
    lt::ledger::CallLedgerOptions options;
    options.most_records = settings_->ledger.max_records;
    options.most_bytes = settings_->ledger.max_size_mb << 20;
    options.keep = settings_->ledger.keep;
    book_ = std::make_unique<lt::ledger::CallLedger>(loop_, *store_, options);
    if (const auto why = book_->load())
      throw std::runtime_error("the ledger in " + settings_->ledger.directory + " cannot be used: " + *why);
    const double ms = std::chrono::duration<double, std::milli>(loop_.now() - start_time).count();
    on_log_line(lt::controller::LogLevel::kInfo, "ledger: " + std::to_string(book_->records()) +
                                                     " records read in " +
                                                     std::to_string(static_cast<int>(ms)) + " ms");
    if (!crash_point.step.empty())
      book_->on_crash_point = [crash_point](const char* step) mutable {
        if (crash_point.step == step && --crash_point.times == 0) raise(SIGKILL);
      };
  }
  void stop() {
    if (stop_requests_++ > 0) return loop_.stop();  // a second signal exits without draining
    gateway_->drain([this](bool all) {
      on_log_line(all ? lt::controller::LogLevel::kInfo : lt::controller::LogLevel::kWarn,
                  all ? "all answered; bye" : "drain timed out with unanswered calls; exiting");
      exit_code_ = all ? 0 : 1;
      loop_.stop();
    });
  }
  void reload() {
    const lt::config::SettingsResult checked = lt::config::load(file_);
    for (const auto& problem : checked.problems)
      on_log_line(lt::controller::LogLevel::kError, "reload: " + problem.to_string());
    if (!checked.settings)
      return on_log_line(lt::controller::LogLevel::kError, "reload: the old settings stand");
    spdlog::set_level(parse_log_level(checked.settings->log_level));
    gateway_->reload(std::make_shared<lt::config::Settings>(*checked.settings));
  }
  void poll_worker_list() {
    // The file is small and read from the page cache, so this blocks the loop for a few microseconds only.
    std::error_code error;
    const auto written = std::filesystem::last_write_time(settings_->list.file, error);
    if (!error && written != list_modified_) {
      list_modified_ = written;
      gateway_->apply_worker_list_json(read_file(settings_->list.file));
    }
    poll_timer_->start(settings_->list.poll);
  }

  std::string file_;
  std::shared_ptr<lt::config::Settings> settings_;
  lt::net::Loop loop_;
  bool json_;
  std::unique_ptr<WorkerListCache> list_cache_;
  std::unique_ptr<lt::store::Store> store_;
  std::unique_ptr<lt::ledger::CallLedger> book_;
  std::unique_ptr<lt::controller::Gateway> gateway_;
  std::unique_ptr<lt::io::Timer> poll_timer_;
  std::filesystem::file_time_type list_modified_{};
  int stop_requests_ = 0, exit_code_ = 0;
};

constexpr int kExitBadSettings = 2;

std::optional<lt::config::Settings> load_and_report_problems(const std::string& file) {
  lt::config::SettingsResult checked = lt::config::load(file);
  for (const auto& problem : checked.problems) std::cerr << problem.to_string() << '\n';
  return std::move(checked.settings);
}

std::string to_hex(std::string_view bytes) {
  std::string hex;
  for (const char c : bytes) {
    constexpr char kDigits[] = "0123456789abcdef";
    const auto u = static_cast<unsigned char>(c);
    hex += {kDigits[u >> 4], kDigits[u & 15]};
  }
  return hex;
}

int generate_key() {
  unsigned char random[32];
  if (RAND_bytes(random, sizeof random) != 1)
    return std::cerr << "the system's random number generator failed\n", 1;
  const std::string token = "lt_" + to_hex({reinterpret_cast<const char*>(random), sizeof random});
  std::cout << "token  " << token << "\nsha256 " << to_hex(lt::controller::sha256(token)) << '\n';
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"laureltide: a gateway that hands each call to a worker"};
  app.set_version_flag("--version", "laureltide " LAURELTIDE_VERSION);
  app.require_subcommand(1);
  app.footer(
      "Examples:\n"
      "  laureltide check --config gateway.toml\n"
      "  laureltide serve --config gateway.toml\n"
      "  laureltide ledger list --open /var/lib/laureltide/ledger\n"
      "Signals of serve: TERM answers all open calls, then exits; HUP reloads the settings.");
  std::string file;
  std::uint64_t seed = 0;
  CLI::App* serve = app.add_subcommand("serve", "run the gateway until SIGTERM");
  serve->add_option("-c,--config", file, "settings file (TOML)")->required();
  serve->add_option("--seed", seed,
                    "seed of the decision module's random numbers; 0 takes one from the system");
  std::string crash_point;
  serve
      ->add_option(
          "--die-at", crash_point,
          "for tests: STEP or STEP:N, kills the process when the ledger reaches the step (for the N-th time)")
      ->check([](const std::string& text) {
        const std::string step = text.substr(0, text.find(':'));
        for (const char* known : lt::ledger::kCrashPoints)
          if (step == known) return std::string();
        return "unknown step: " + step;
      });
  CLI::App* key =
      app.add_subcommand("key", "generate a bearer key: the token for the client, the hash for [[key]]");
  lt::apps::LedgerTool ledger;
  ledger.add_to(app);
  lt::apps::LayersTool layers;
  layers.add_to(app);
  CLI::App* check = app.add_subcommand(
      "check", "print every error of a settings file; exit status 0 if there is none, else 2");
  check->add_option("-c,--config", file, "settings file (TOML)")->required();
  CLI::App* node = app.add_subcommand(
      "node", "run as a controller of the platform, configured by ROUTER_CONFIG (docs/node.md)");
  bool log_calls = false;
  node->add_flag("--log-calls", log_calls, "log a line for each finished call, with its attempts");
  CLI11_PARSE(app, argc, argv);

  if (app.got_subcommand("ledger")) return ledger.run();
  if (app.got_subcommand("layers")) return layers.run();
  if (*key) return generate_key();
  if (*node) return lt::apps::run_node(log_calls);
  auto settings = load_and_report_problems(file);
  if (!settings) return kExitBadSettings;
  if (*check) {
    std::cout << file << ": " << settings->functions.size() << " functions in "
              << settings->class_names.size() << " classes, " << settings->brokers.size()
              << " brokers: no errors\n";
    return 0;
  }
  try {
    CrashPoint die{crash_point.substr(0, crash_point.find(':')), 1};
    if (const auto colon = crash_point.find(':'); colon != std::string::npos)
      die.times = std::max(1, std::atoi(crash_point.c_str() + colon + 1));
    return GatewayProgram(file, std::move(*settings), seed, std::move(die)).run();
  } catch (const std::exception& e) {
    std::cerr << "laureltide: " << e.what() << '\n';
    return 1;
  }
}
