// laureltide-play: runs a day (a scripted test scenario) with real processes over loopback, then checks the
// recorded events against the five rules and prints the verdict.

#include <openssl/sha.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

#include "apps/tools.h"
#include "check/judge.h"
#include "check/layers.h"
#include "net/loop.h"
#include "standin/caller.h"
#include "standin/day.h"
#include "standin/http_caller.h"

namespace lt = laureltide;
using lt::standin::Day;
using lt::standin::DayClass;
using lt::standin::Trouble;
using lt::standin::TroubleKind;
using namespace std::chrono_literals;

namespace {

double to_ms(lt::Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }
double to_seconds(lt::Duration d) { return std::chrono::duration<double>(d).count(); }
lt::Duration from_seconds(double v) {
  return std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(v));
}

std::vector<std::string> tenant_names(const Day& day) {
  std::vector<std::string> names;
  for (const auto& t : day.tenants) names.push_back(t.name);
  if (names.empty()) names.emplace_back("all");
  return names;
}
std::string bearer_token(const std::string& tenant) { return "key-of-" + tenant; }
std::string sha256_hex(const std::string& token) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest);
  std::ostringstream out;
  for (const unsigned char c : digest) out << std::hex << std::setw(2) << std::setfill('0') << int{c};
  return out.str();
}

// The settings file of one gateway.
std::string gateway_settings(const Day& day, std::uint32_t gateway_number, std::uint16_t broker,
                             std::uint16_t list, const std::vector<std::uint16_t>& peers,
                             const std::vector<std::uint16_t>& invoke, const std::string& dir) {
  std::ostringstream toml;
  const double answer_reserve = 30;
  toml << "[gateway]\nname = \"gw-" << gateway_number << "\"\nnumber = " << gateway_number
       << "\nreplicas = " << day.gateways << "\nanswer_reserve_ms = " << answer_reserve << "\n";
  if (day.gateways > 1) toml << "peer_listen = \"127.0.0.1:" << peers[gateway_number] << "\"\n";
  toml << "[log]\nlevel = \"info\"\n[list]\nservice = \"127.0.0.1:" << list << "\"\ncache = \"" << dir
       << "/list-" << gateway_number
       << ".json\"\n[bounds]\nopen_calls = " << std::max<std::size_t>(1000, 2 * day.prefetch)
       << "\nprobes = true\n[instances]\non_miss = \"" << (day.load_on_miss ? "load" : "miss")
       << "\"\nkeep_alive_ms = " << to_ms(day.keep_alive) << "\norder_floor = " << day.order_floor
       << "\norders_per_call = " << day.orders_per_call << "\norder_window_ms = " << to_ms(day.order_window)
       << "\n[rules]\ncold_from = " << day.cold_capacity_share
       << "\ncold_for_ms = " << to_ms(day.cold_duration)
       << "\nfall_multiple = " << std::max(0.1, day.overload_multiple)
       << "\noverload_for_ms = " << to_ms(day.overload_duration)
       << "\ndrain_grace_ms = " << to_ms(day.drain_grace) << "\nover_share_worth = 0.1\n"
       << "[[kind]]\nname = \"std\"\nmemory_mb = " << day.memory_mb << "\n";
  for (const DayClass& c : day.classes)
    toml << "[[class]]\nname = \"" << c.name << "\"\neffect = \"" << c.effect << "\"\nrepeats_dropped_by = \""
         << c.group << "\"\nrepeat_window_ms = " << to_ms(c.repeat_window)
         << "\ntarget_ms = " << to_ms(c.target) << "\ngive_up_ms = " << to_ms(c.give_up)
         << "\nworth = " << c.worth << "\n";
  double shares = 0;
  for (const auto& t : day.tenants) shares += t.share;
  for (const auto& t : day.tenants)
    toml << "[[tenant]]\nname = \"" << t.name << "\"\nshare = " << t.share / shares
         << "\nquota_per_s = " << 1.3 * day.calls_per_s * t.share / shares << "\n";
  if (day.tenants.empty())
    toml << "[[tenant]]\nname = \"all\"\nshare = 1\nquota_per_s = " << 2 * day.calls_per_s << "\n";
  if (day.front == "http") {
    toml << "[invoke]\nlisten = \"127.0.0.1:" << invoke[gateway_number] << "\"\nmost_deferred = 100000\n";
    for (const std::string& tenant : tenant_names(day))
      toml << "[[key]]\ntenant = \"" << tenant << "\"\nsha256 = \"" << sha256_hex(bearer_token(tenant))
           << "\"\n";
  }
  for (const DayClass& c : day.classes)
    for (int i = 0; i < c.functions; ++i)
      toml << "[[function]]\nname = \"" << day.function(c, i) << "\"\nclass = \"" << c.name
           << "\"\nlanes = " << c.lanes << "\nmemory_mb = " << c.memory_mb << "\nwork_ms = " << to_ms(c.work)
           << "\n";
  toml << "[[broker]]\nname = \"main\"\naddress = \"127.0.0.1:" << broker
       << "\"\nheartbeat_s = 4\nqueues = [\"calls\"]\n"
       << "prefetch = " << day.prefetch << "\nanswers = \"" << (day.confirm_mode ? "confirm" : "transaction")
       << "\"\n";
  if (day.acknowledge_on_take) toml << "acknowledge = \"take\"\n";
  if (day.sole_reader) toml << "sole_reader = true\n";
  if (day.ledger)
    toml << "[ledger]\ndirectory = \"" << dir << "/ledger-" << gateway_number << "\"\nmost_mb = 256\n";
  for (std::uint32_t i = 0; day.gateways > 1 && i < day.gateways; ++i)
    if (i != gateway_number)
      toml << "[[peer]]\nnumber = " << i << "\naddress = \"127.0.0.1:" << peers[i]
           << "\"\ninvoke = \"127.0.0.1:" << invoke[i] << "\"\n";
  return toml.str();
}

// What the checks of the five rules need to know of the day.
lt::check::Rules check_rules(const Day& day) {
  lt::check::Rules rules;
  rules.drain_grace_s = to_seconds(day.drain_grace), rules.answer_grace_s = to_seconds(day.answer_grace);
  rules.cold_capacity_share = day.cold_capacity_share, rules.cold_for_s = to_seconds(day.cold_duration),
  rules.overload_multiple = day.overload_multiple;
  rules.overload_for_s = to_seconds(day.overload_duration), rules.worker_cores = day.cores;
  rules.allow_repeated_answers = day.confirm_mode || day.acknowledge_on_take;
  rules.order_window_s = to_seconds(day.order_window), rules.order_floor = day.order_floor,
  rules.orders_per_call = day.orders_per_call;
  for (const DayClass& c : day.classes) {
    rules.classes[c.name] = {c.effect, c.group, to_seconds(c.repeat_window), to_seconds(c.work)};
    for (int i = 0; i < c.functions; ++i) rules.class_of_function[day.function(c, i)] = c.name;
  }
  for (std::uint32_t id = 1; id <= day.workers; ++id)
    for (const std::uint32_t w : {id, id + Day::kSuccessorIdOffset}) {
      rules.rack_of_worker[std::to_string(w)] = "rack-" + std::to_string(id % day.racks);
      rules.zone_of_worker[std::to_string(w)] = "room";
    }
  return rules;
}

// Starts the processes of a day, sends its calls, applies its troubles to the gateways and collects the
// tapes.
class DayRunner {
 public:
  DayRunner(Day day, std::string day_file, std::string dir)
      : day_(std::move(day)),
        day_file_(std::move(day_file)),
        dir_(std::move(dir)),
        program_directory_(lt::apps::executable_directory()),
        random_(day_.seed),
        tape_(dir_ + "/caller.tape") {}

  lt::check::Verdict play() {
    start_processes();
    loop_.on_signal(SIGINT, [this] { loop_.stop(); });
    loop_.on_signal(SIGTERM, [this] { loop_.stop(); });
    start_timer_ = loop_.timer([this] { start_day_when_ready(); });
    start_timer_->start(20ms);
    loop_.run();
    for (auto& g : gateway_processes_) g->signal(SIGTERM);
    for (auto& g : gateway_processes_) g->wait(15s);
    // The caller still reads the last answers that the gateways sent.
    auto last_answers_timer = loop_.timer([this] { loop_.stop(); });
    last_answers_timer->start(200ms);
    loop_.run();
    caller_.reset(), invoker_.reset();
    standin_processes_.clear();
    std::vector<nlohmann::json> tape;
    for (const auto& entry : std::filesystem::directory_iterator(dir_))
      if (entry.path().extension() == ".tape")
        for (auto& line : lt::apps::read_tape(entry.path().string())) tape.push_back(std::move(line));
    if (day_.boxes > 0) layers_ = lt::check::judge_layers(tape);
    return lt::check::judge(check_rules(day_), std::move(tape));
  }
  std::size_t calls_sent() const { return calls_sent_; }
  std::size_t crashes() const { return crashes_; }
  const std::optional<lt::check::LayersVerdict>& layers() const { return layers_; }

 private:
  void start_standin(const std::string& name, std::vector<std::string> arguments) {
    std::vector<std::string> command{program_directory_ + "/laureltide-standin"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    command.insert(command.end(), {"--day", day_file_});
    if (arguments[0] != "store") command.insert(command.end(), {"--tape", dir_ + "/" + name + ".tape"});
    standin_processes_.push_back(
        std::make_unique<lt::apps::ChildProcess>(command, dir_ + "/" + name + ".log"));
    std::string line;
    if (!standin_processes_.back()->read_line(line, 20s))
      throw std::runtime_error(name + " did not start; see " + dir_);
  }
  std::uint16_t reserve_port() {
    ports_.emplace_back();
    return ports_.back().port();
  }
  void start_processes() {
    broker_port_ = reserve_port();
    const std::uint16_t list = reserve_port(), store = reserve_port();
    start_standin("store", {"store", "--port", std::to_string(store)});
    std::vector<std::uint16_t> agents;
    if (day_.boxes > 0) {
      const std::uint16_t registry = reserve_port();
      start_standin("registry", {"registry", "--port", std::to_string(registry)});
      for (std::uint32_t box = 0; box < day_.boxes; ++box) {
        agents.push_back(reserve_port());
        const std::string name = "box-" + std::to_string(box + 1);
        standin_processes_.push_back(std::make_unique<lt::apps::ChildProcess>(
            std::vector<std::string>{program_directory_ + "/laureltide-layers", "--directory",
                                     dir_ + "/" + name, "--name", name, "--store",
                                     "127.0.0.1:" + std::to_string(registry), "--port",
                                     std::to_string(agents.back()), "--look-s", "0.3"},
            dir_ + "/" + name + ".log"));
        std::string line;
        if (!standin_processes_.back()->read_line(line, 20s))
          throw std::runtime_error(name + " did not start; see " + dir_);
        agent_processes_.insert(standin_processes_.back().get());
      }
    }
    start_standin("broker", {"broker", "--port", std::to_string(broker_port_)});
    std::string ports;
    auto start_worker = [&](std::uint32_t id, bool standby) {
      const std::uint16_t port = reserve_port();
      std::vector<std::string> arguments{"worker",
                                         "--id",
                                         std::to_string(id),
                                         "--port",
                                         std::to_string(port),
                                         "--store-port",
                                         std::to_string(store)};
      if (!agents.empty())
        arguments.insert(arguments.end(), {"--agent-port", std::to_string(agents[(id - 1) % agents.size()])});
      if (standby) arguments.emplace_back("--stand-by");
      start_standin("worker-" + std::to_string(id), arguments);
      ports += (ports.empty() ? "" : ",") + std::to_string(id) + "=" + std::to_string(port);
    };
    for (std::uint32_t id = 1; id <= day_.workers; ++id) {
      start_worker(id, false);
      if (day_.has_successor(id)) start_worker(id + Day::kSuccessorIdOffset, true);
    }
    start_standin("list", {"list", "--port", std::to_string(list), "--ports", ports});
    std::vector<std::uint16_t> peers;
    for (std::uint32_t n = 0; n < day_.gateways; ++n)
      peers.push_back(reserve_port()), invoke_ports_.push_back(reserve_port());
    for (std::uint32_t n = 0; n < day_.gateways; ++n) {
      std::ofstream(dir_ + "/gw-" + std::to_string(n) + ".toml")
          << gateway_settings(day_, n, broker_port_, list, peers, invoke_ports_, dir_);
      gateway_processes_.push_back(start_gateway(n));
    }
    if (day_.front == "http") {
      lt::standin::HttpCallerOptions o;
      for (std::uint32_t n = 0; n < day_.gateways; ++n) {
        o.gateways.push_back({"127.0.0.1", invoke_ports_[n]});
        o.names.push_back("gw-" + std::to_string(n));
      }
      for (const std::string& tenant : tenant_names(day_)) o.tokens[tenant] = bearer_token(tenant);
      o.deferred = day_.deferred;
      o.repeat = day_.repeat;
      invoker_ = std::make_unique<lt::standin::HttpCaller>(loop_, o, tape_);
      invoker_->on_answer = [this](const std::string& call, const lt::standin::Caller::Answered& a) {
        if (open_calls_.erase(call) > 0) ++outcomes_[a.outcome];
      };
    }
    lt::standin::CallerOptions options;
    options.broker = {"127.0.0.1", broker_port_};
    caller_ = std::make_unique<lt::standin::Caller>(loop_, options, tape_);
    caller_->on_answer = [this](const std::string& call, const lt::standin::Caller::Answered& a) {
      if (open_calls_.erase(call) > 0) ++outcomes_[a.outcome];
    };
  }
  std::unique_ptr<lt::apps::ChildProcess> start_gateway(std::uint32_t n) {
    const std::string name = dir_ + "/gw-" + std::to_string(n);
    std::vector<std::string> command{
        program_directory_ + "/laureltide",     "serve", "--config", name + ".toml", "--seed",
        std::to_string(day_.seed * 100 + n + 1)};
    if (n == 0 && crashes_ < day_.die_at.size())
      command.insert(command.end(), {"--die-at", day_.die_at[crashes_]});
    return std::make_unique<lt::apps::ChildProcess>(command, name + ".log");
  }
  // Restarts gateway 0 after it killed itself; the new process kills itself at the day's next step.
  void restart_crashed_gateway() {
    if (crashes_ < day_.die_at.size() && !killed_by_day_.contains(0) && !gateway_processes_[0]->running()) {
      ++crashes_;
      gateway_processes_[0] = start_gateway(0);
    }
    if (crashes_ < day_.die_at.size()) crash_poll_timer_->start(20ms);
  }
  bool consuming(std::uint32_t n) const {
    std::ifstream in(dir_ + "/gw-" + std::to_string(n) + ".log");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str().find(": consuming") != std::string::npos;
  }

  // Starts the day as soon as all gateways consume calls.
  void start_day_when_ready() {
    bool all = caller_->ready();
    for (std::uint32_t n = 0; n < day_.gateways; ++n) {
      if (!gateway_processes_[n]->running())
        throw std::runtime_error("gw-" + std::to_string(n) + " did not start; see " + dir_);
      all = all && consuming(n);
    }
    if (!all) return start_timer_->start(20ms);
    for (auto& child : standin_processes_)
      if (!agent_processes_.contains(child.get())) child->signal(SIGUSR1);
    day_start_ = loop_.now();
    script_ = std::make_unique<lt::standin::Script>(loop_, day_start_);
    for (const Trouble& t : day_.troubles) schedule_trouble(t);
    call_timer_ = loop_.timer([this] { send_due_calls(); });
    send_due_calls();
    crash_poll_timer_ = loop_.timer([this] { restart_crashed_gateway(); });
    if (!day_.die_at.empty()) restart_crashed_gateway();
    progress_timer_ = loop_.timer([this] { report_progress(); });
    report_progress();
  }

  void schedule_trouble(const Trouble& t) {
    if (t.kind == TroubleKind::kBalancerCrash)
      for (const std::uint32_t n : t.gateways) {
        if (n >= day_.gateways) continue;
        script_->add(t.at, [this, n] { killed_by_day_.insert(n), gateway_processes_[n]->signal(SIGKILL); });
        script_->add(t.at + t.length,
                     [this, n] { killed_by_day_.erase(n), gateway_processes_[n] = start_gateway(n); });
      }
    if (t.kind == TroubleKind::kBalancerRoll)
      for (std::size_t i = 0; i < t.gateways.size(); ++i) {
        const std::uint32_t n = t.gateways[i];
        if (n >= day_.gateways) continue;
        const lt::Duration restart_at =
            t.at + t.length * static_cast<int>(i) / static_cast<int>(t.gateways.size());
        script_->add(restart_at, [this, n] { gateway_processes_[n]->signal(SIGTERM); });
        // Rolling restart: the new process starts once the old one has drained and exited.
        script_->add_every(restart_at + 50ms, restart_at + 30s, 50ms,
                           [this, n, done = std::make_shared<bool>(false)] {
                             if (*done || gateway_processes_[n]->running()) return;
                             *done = true;
                             gateway_processes_[n] = start_gateway(n);
                           });
      }
  }

  double arrival_rate(lt::Duration at) const {
    double arrival_rate = day_.calls_per_s;
    for (const Trouble& t : day_.troubles)
      if (t.kind == TroubleKind::kBurst && at >= t.at && at < t.at + t.length) arrival_rate *= t.size;
    return arrival_rate;
  }
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void send_due_calls() {
    const lt::Duration now = loop_.now() - day_start_;
    while (next_arrival_ <= now && next_arrival_ < day_.length) {
      send_call(next_arrival_);
      next_arrival_ +=
          from_seconds(std::max(1e-6, -std::log(1 - random_fraction()) / arrival_rate(next_arrival_)));
    }
    if (next_arrival_ < day_.length) call_timer_->start(next_arrival_ - now);
  }
  void send_call(lt::Duration at) {
    double shares = 0;
    for (const DayClass& c : day_.classes) shares += c.share;
    double remaining_share = random_fraction() * shares;
    const DayClass* chosen = &day_.classes.back();
    for (const DayClass& c : day_.classes)
      if ((remaining_share -= c.share) < 0) {
        chosen = &c;
        break;
      }
    // A function's popularity falls with the square root of its rank; a hot key trouble directs its share of
    // the class's calls to one function.
    auto function = static_cast<int>(random_fraction() * random_fraction() * chosen->functions);
    for (const Trouble& t : day_.troubles)
      if (t.kind == TroubleKind::kHotKey && at >= t.at && at < t.at + t.length && random_fraction() < t.share)
        function = chosen->functions - 1;
    lt::standin::CallToMake call;
    call.name = "c-" + std::to_string(++call_number_);
    call.function = day_.function(*chosen, std::min(function, chosen->functions - 1));
    call.request_class = chosen->name;
    call.patience_ms = static_cast<std::uint64_t>(to_ms(chosen->give_up));
    if (chosen->effect == "keyed") call.key = "k-" + std::to_string(call_number_);
    if (!day_.tenants.empty()) {
      double t = random_fraction();
      double total = 0;
      for (const auto& tenant : day_.tenants) total += tenant.share;
      t *= total;
      call.tenant = day_.tenants.back().name;
      for (const auto& tenant : day_.tenants)
        if ((t -= tenant.share) < 0) {
          call.tenant = tenant.name;
          break;
        }
    }
    call.body.assign(day_.body_bytes, static_cast<char>('a' + call_number_ % 26));
    open_calls_.insert(call.name);
    if (invoker_) {
      invoker_->call(call);
    } else if (!caller_->call(call)) {
      open_calls_.erase(call.name);
      return;
    }
    ++calls_sent_;
  }

  void report_progress() {
    const lt::Duration now = loop_.now() - day_start_;
    std::string troubles;
    for (const Trouble& t : day_.troubles)
      if (now >= t.at && now < t.at + std::max<lt::Duration>(t.length, 1s)) troubles += " " + t.name;
    std::ostringstream line;
    line << std::fixed << std::setprecision(0) << to_seconds(now) << " s: " << calls_sent_ << " calls, "
         << outcomes_["served"] << " served, " << outcomes_["refused"] << " refused, " << outcomes_["failed"]
         << " failed, " << open_calls_.size() << " open" << (troubles.empty() ? "" : "; trouble:")
         << troubles;
    if (isatty(STDOUT_FILENO))
      std::cout << "\r\x1b[K" << line.str() << std::flush;
    else
      std::cout << line.str() << std::endl;
    if (now >= day_.length && (open_calls_.empty() || now >= day_.length + day_.settle)) {
      if (isatty(STDOUT_FILENO)) std::cout << std::endl;
      return loop_.stop();
    }
    progress_timer_->start(1s);
  }

  Day day_;
  std::string day_file_, dir_, program_directory_;
  std::mt19937_64 random_;
  lt::net::Loop loop_;
  lt::apps::FileTape tape_;
  std::vector<lt::apps::ReservedPort> ports_;
  std::vector<std::unique_ptr<lt::apps::ChildProcess>> standin_processes_, gateway_processes_;
  // The box agents: they have no part in the day's script and get no SIGUSR1.
  std::set<lt::apps::ChildProcess*> agent_processes_;
  std::unique_ptr<lt::standin::Caller> caller_;
  std::unique_ptr<lt::standin::HttpCaller> invoker_;
  std::vector<std::uint16_t> invoke_ports_;
  std::unique_ptr<lt::standin::Script> script_;
  std::unique_ptr<lt::io::Timer> start_timer_, call_timer_, progress_timer_, crash_poll_timer_;
  std::size_t crashes_ = 0;
  std::optional<lt::check::LayersVerdict> layers_;
  std::set<std::uint32_t> killed_by_day_;  // gateways killed by a trouble of the day and not yet restarted
  lt::Time day_start_{};
  lt::Duration next_arrival_{};
  std::uint16_t broker_port_ = 0;
  std::uint64_t call_number_ = 0;
  std::size_t calls_sent_ = 0;
  std::set<std::string> open_calls_;
  std::map<std::string, std::uint64_t> outcomes_;
};

void print(const lt::check::Verdict& verdict) {
  const auto report = verdict.report();
  std::cout << "\nclass                sent  served refused  failed unanswered   p50 ms   p99 ms\n";
  for (const auto& [name, c] : report["classes"].items())
    std::cout << std::left << std::setw(18) << name << std::right << std::setw(7)
              << c["sent"].get<std::uint64_t>() << std::setw(8) << c["served"].get<std::uint64_t>()
              << std::setw(8) << c["refused"].get<std::uint64_t>() << std::setw(8)
              << c["failed"].get<std::uint64_t>() << std::setw(11) << c["unanswered"].get<std::uint64_t>()
              << std::fixed << std::setprecision(1) << std::setw(9) << c["p50_ms"].get<double>()
              << std::setw(9) << c["p99_ms"].get<double>() << '\n';
  std::cout << "attempts " << verdict.attempts << ", runs " << verdict.runs << ", load orders "
            << verdict.holds << ", redelivered " << verdict.redelivered << ", answers told again "
            << verdict.repeated << "\n\n";
  static constexpr const char* kRuleNames[] = {"one answer for each call, in time", "no effect twice",
                                               "drains kept", "cold workers not pushed over",
                                               "load orders within the ration"};
  for (int rule = 1; rule <= 5; ++rule) {
    const auto& r = report["rules"][std::to_string(rule)];
    std::cout << "rule " << rule << " (" << kRuleNames[rule - 1]
              << "): " << (r["kept"].get<bool>() ? "kept" : "BROKEN") << '\n';
    int shown = 0;
    for (const auto& b : r["breaks"])
      if (++shown <= 5) std::cout << "  " << b.get<std::string>() << '\n';
    if (r["breaks"].size() > 5) std::cout << "  and " << r["breaks"].size() - 5 << " more\n";
  }
  std::cout << "verdict: " << (verdict.kept() ? "kept" : "broken") << std::endl;
}

void print(const lt::check::LayersVerdict& v) {
  std::cout << "layers: " << v.versions << " versions of " << v.functions << " functions released, "
            << v.boxes << " boxes fetched " << v.ranges << " ranges, " << v.bytes << " bytes; " << v.runs
            << " runs on a known version, " << v.renewed << " of a later release\n";
  std::cout << "layers (each chunk once a box): " << (v.duplicate_sends.empty() ? "kept" : "BROKEN") << '\n';
  for (std::size_t i = 0; i < std::min<std::size_t>(5, v.duplicate_sends.size()); ++i)
    std::cout << "  " << v.duplicate_sends[i] << '\n';
  std::cout << "layers (no call on mixed versions): " << (v.wrong_versions.empty() ? "kept" : "BROKEN")
            << '\n';
  for (std::size_t i = 0; i < std::min<std::size_t>(5, v.wrong_versions.size()); ++i)
    std::cout << "  " << v.wrong_versions[i] << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "laureltide-play: runs a scripted day over loopback and checks its traffic against the five rules"};
  app.footer(
      "Exit status: 0 all rules kept, 1 a rule broken, 2 an invalid day file, 3 another error.\nExample:\n  "
      "laureltide-play "
      "examples/bad-day.toml");
  std::string file, report, keep_directory;
  double speed = 1;
  app.add_option("day", file, "day file (TOML, docs/days.md)")->required();
  app.add_option("--report", report, "write the verdict as JSON");
  app.add_option("--speed", speed, "factor by which calls and troubles come faster")
      ->check(CLI::Range(0.1, 20.0));
  app.add_option("--keep", keep_directory, "keep tapes and logs in this directory");
  CLI11_PARSE(app, argc, argv);
  std::vector<std::string> problems;
  auto day = lt::standin::load_day(file, problems);
  for (const std::string& p : problems) std::cerr << p << '\n';
  if (!day) return 2;
  std::string dir =
      keep_directory.empty() ? lt::apps::create_temp_directory("laureltide-play-") : keep_directory;
  std::filesystem::create_directories(dir);
  try {
    std::string played_file = std::filesystem::absolute(file).string();
    if (speed != 1) {  // the stand-ins read the sped-up day, too
      std::ifstream in(file);
      std::ostringstream text;
      text << in.rdbuf();
      played_file = dir + "/day.toml";
      std::ofstream(played_file) << lt::standin::scale_day_speed(text.str(), speed);
      day = lt::standin::load_day(played_file, problems);
      if (!day) return 2;
    }
    DayRunner runner(*day, played_file, dir);
    const lt::check::Verdict verdict = runner.play();
    if (!day->die_at.empty())
      std::cout << "gateway 0 died at " << runner.crashes() << " of " << day->die_at.size() << " steps\n";
    print(verdict);
    if (runner.layers()) print(*runner.layers());
    const bool all_kept = verdict.kept() && (!runner.layers() || runner.layers()->kept());
    if (runner.crashes() < day->die_at.size())
      throw std::runtime_error("the day ended before the step " + day->die_at[runner.crashes()] +
                               " was reached");
    auto doc = verdict.report();
    if (const auto& l = runner.layers())
      doc["layers"] = {{"once", l->duplicate_sends},
                       {"mixed", l->wrong_versions},
                       {"versions", l->versions},
                       {"boxes", l->boxes},
                       {"ranges", l->ranges},
                       {"bytes", l->bytes},
                       {"runs", l->runs},
                       {"renewed", l->renewed}};
    if (!report.empty()) std::ofstream(report) << doc.dump(2) << '\n';
    if (keep_directory.empty() && all_kept) std::filesystem::remove_all(dir);
    if (keep_directory.empty() && !all_kept) std::cout << "tapes and logs: " << dir << '\n';
    return all_kept ? 0 : 1;
  } catch (const std::exception& e) {
    std::cerr << "laureltide-play: " << e.what() << '\n';
    return 3;
  }
}
