// laureltide: the gateway's program.

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

// Stores the newest text given to it, on its own thread: the loop never waits for a disk.
class Keeper {
 public:
  explicit Keeper(std::string path)
      : path_(std::move(path)), thread_([this](std::stop_token s) { run(s); }) {}
  void keep(std::string text) {
    const std::lock_guard lock(mutex_);
    text_ = std::move(text);
    woken_.notify_one();
  }

 private:
  void run(const std::stop_token& stop) {
    std::unique_lock lock(mutex_);
    while (woken_.wait(lock, stop, [this] { return text_.has_value(); })) {
      const std::string text = *std::exchange(text_, std::nullopt);
      lock.unlock();
      std::error_code error;
      const std::string fresh = path_ + ".new";
      bool well = false;
      {
        std::ofstream out(fresh, std::ios::binary);
        out << text;
        out.flush();
        well = out.good();
      }
      if (well) std::filesystem::rename(fresh, path_, error);
      if (!well || error) spdlog::warn("the list could not be cached in {}", path_);
      lock.lock();
    }
  }

  std::string path_;
  std::mutex mutex_;
  std::condition_variable_any woken_;
  std::optional<std::string> text_;
  std::jthread thread_;
};

spdlog::level::level_enum level_of(const std::string& name) { return spdlog::level::from_str(name); }

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

// For tests: the process kills itself the n-th time that the ledger passes a step, as a crash there would.
struct DieAt {
  std::string step;
  int times = 1;
};

class Program : public lt::controller::GatewayEvents {
 public:
  Program(std::string file, lt::config::Settings settings, std::uint64_t seed, DieAt die_at)
      : file_(std::move(file)),
        settings_(std::make_shared<lt::config::Settings>(std::move(settings))),
        loop_({settings_->gateway.loopback_only}),
        json_(settings_->log_format == lt::config::LogFormat::kJson) {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("laureltide"));
    spdlog::set_level(level_of(settings_->log_level));
    spdlog::set_pattern(json_ ? "%v" : "%Y-%m-%dT%H:%M:%S.%e %l %v");
    if (seed == 0) seed = loop_.random();
    if (!settings_->list.cache.empty()) keeper_ = std::make_unique<Keeper>(settings_->list.cache);
    if (!settings_->ledger.directory.empty()) open_ledger(std::move(die_at));
    gateway_ = std::make_unique<lt::controller::Gateway>(loop_, settings_, *this, seed, 1,
                                                         book_ ? book_.get() : nullptr);
    poll_ = loop_.timer([this] { poll_list(); });
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
    if (!settings_->list.file.empty()) poll_list();
    on_log_line(lt::controller::LogLevel::kInfo, "serving as " + settings_->gateway.name);
    loop_.run();
    return code_;
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
    if (keeper_) keeper_->keep(json);
  }

 private:
  void open_ledger(DieAt die_at) {
    const auto began = loop_.now();
    auto opened = lt::store::open_lmdb(lmdb_options(settings_->ledger),
                                       [this](std::function<void()> what) { loop_.post(std::move(what)); });
    if (!opened.store) throw std::runtime_error(opened.why);
    store_ = std::move(opened.store);
    lt::ledger::CallLedgerOptions options;
    options.most_records = settings_->ledger.max_records;
    options.most_bytes = settings_->ledger.max_size_mb << 20;
    options.keep = settings_->ledger.keep;
    book_ = std::make_unique<lt::ledger::CallLedger>(loop_, *store_, options);
    if (const auto why = book_->load())
      throw std::runtime_error("the ledger in " + settings_->ledger.directory + " cannot be used: " + *why);
    const double ms = std::chrono::duration<double, std::milli>(loop_.now() - began).count();
    on_log_line(lt::controller::LogLevel::kInfo, "ledger: " + std::to_string(book_->records()) +
                                                     " records read in " +
                                                     std::to_string(static_cast<int>(ms)) + " ms");
    if (!die_at.step.empty())
      book_->on_crash_point = [die_at](const char* step) mutable {
        if (die_at.step == step && --die_at.times == 0) raise(SIGKILL);
      };
  }
  void stop() {
    if (stopping_++ > 0) return loop_.stop();  // asked twice: at once
    gateway_->drain([this](bool all) {
      on_log_line(all ? lt::controller::LogLevel::kInfo : lt::controller::LogLevel::kWarn,
                  all ? "all answered; bye" : "time is up with calls unanswered; bye");
      code_ = all ? 0 : 1;
      loop_.stop();
    });
  }
  void reload() {
    const lt::config::SettingsResult checked = lt::config::load(file_);
    for (const auto& problem : checked.problems)
      on_log_line(lt::controller::LogLevel::kError, "reload: " + problem.to_string());
    if (!checked.settings)
      return on_log_line(lt::controller::LogLevel::kError, "reload: the old settings stand");
    spdlog::set_level(level_of(checked.settings->log_level));
    gateway_->reload(std::make_shared<lt::config::Settings>(*checked.settings));
  }
  void poll_list() {
    // A small file, read from the page cache: a few microseconds.
    std::error_code error;
    const auto written = std::filesystem::last_write_time(settings_->list.file, error);
    if (!error && written != list_written_) {
      list_written_ = written;
      gateway_->apply_worker_list_json(read_file(settings_->list.file));
    }
    poll_->start(settings_->list.poll);
  }

  std::string file_;
  std::shared_ptr<lt::config::Settings> settings_;
  lt::net::Loop loop_;
  bool json_;
  std::unique_ptr<Keeper> keeper_;
  std::unique_ptr<lt::store::Store> store_;
  std::unique_ptr<lt::ledger::CallLedger> book_;
  std::unique_ptr<lt::controller::Gateway> gateway_;
  std::unique_ptr<lt::io::Timer> poll_;
  std::filesystem::file_time_type list_written_{};
  int stopping_ = 0, code_ = 0;
};

constexpr int kBadSettings = 2;

std::optional<lt::config::Settings> load_or_tell(const std::string& file) {
  lt::config::SettingsResult checked = lt::config::load(file);
  for (const auto& problem : checked.problems) std::cerr << problem.to_string() << '\n';
  return std::move(checked.settings);
}

std::string hex_of(std::string_view bytes) {
  std::string hex;
  for (const char c : bytes) {
    constexpr char kDigits[] = "0123456789abcdef";
    const auto u = static_cast<unsigned char>(c);
    hex += {kDigits[u >> 4], kDigits[u & 15]};
  }
  return hex;
}

int draw_key() {
  unsigned char random[32];
  if (RAND_bytes(random, sizeof random) != 1) return std::cerr << "no randomness\n", 1;
  const std::string token = "lt_" + hex_of({reinterpret_cast<const char*>(random), sizeof random});
  std::cout << "token  " << token << "\nsha256 " << hex_of(lt::controller::sha256(token)) << '\n';
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
      "Signals to serve: TERM answers all and exits; HUP reads the settings again.");
  std::string file;
  std::uint64_t seed = 0;
  CLI::App* serve = app.add_subcommand("serve", "run the gateway until SIGTERM");
  serve->add_option("-c,--config", file, "settings (TOML)")->required();
  serve->add_option("--seed", seed, "of the module's draws; 0 takes one from the system");
  std::string die_at;
  serve
      ->add_option("--die-at", die_at,
                   "for tests: STEP or STEP:N, the ledger's step at which the process kills itself")
      ->check([](const std::string& text) {
        const std::string step = text.substr(0, text.find(':'));
        for (const char* known : lt::ledger::kCrashPoints)
          if (step == known) return std::string();
        return "no such step: " + step;
      });
  CLI::App* key =
      app.add_subcommand("key", "draw a bearer key: the token for the client, the hash for [[key]]");
  lt::apps::LedgerTool ledger;
  ledger.add_to(app);
  lt::apps::LayersTool layers;
  layers.add_to(app);
  CLI::App* check =
      app.add_subcommand("check", "say every error of a settings file; exit 0 when there is none, else 2");
  check->add_option("-c,--config", file, "settings (TOML)")->required();
  CLI::App* node =
      app.add_subcommand("node", "run as a controller of the platform, told by ROUTER_CONFIG (docs/node.md)");
  bool log_calls = false;
  node->add_flag("--log-calls", log_calls, "a log line for each call that ends, with its attempts");
  CLI11_PARSE(app, argc, argv);

  if (app.got_subcommand("ledger")) return ledger.run();
  if (app.got_subcommand("layers")) return layers.run();
  if (*key) return draw_key();
  if (*node) return lt::apps::run_node(log_calls);
  auto settings = load_or_tell(file);
  if (!settings) return kBadSettings;
  if (*check) {
    std::cout << file << ": " << settings->functions.size() << " functions in "
              << settings->class_names.size() << " classes, " << settings->brokers.size()
              << " brokers: no errors\n";
    return 0;
  }
  try {
    DieAt die{die_at.substr(0, die_at.find(':')), 1};
    if (const auto colon = die_at.find(':'); colon != std::string::npos)
      die.times = std::max(1, std::atoi(die_at.c_str() + colon + 1));
    return Program(file, std::move(*settings), seed, std::move(die)).run();
  } catch (const std::exception& e) {
    std::cerr << "laureltide: " << e.what() << '\n';
    return 1;
  }
}
