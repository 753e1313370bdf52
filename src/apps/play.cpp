// laureltide-play: plays a day with real processes over loopback and ends with a verdict on the five rules.

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

double ms(lt::Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }
double s(lt::Duration d) { return std::chrono::duration<double>(d).count(); }
lt::Duration from_s(double v) {
  return std::chrono::duration_cast<lt::Duration>(std::chrono::duration<double>(v));
}

std::vector<std::string> tenants_of(const Day& day) {
  std::vector<std::string> names;
  for (const auto& t : day.tenants) names.push_back(t.name);
  if (names.empty()) names.emplace_back("all");
  return names;
}
std::string token_of(const std::string& tenant) { return "key-of-" + tenant; }
std::string hashed(const std::string& token) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest);
  std::ostringstream out;
  for (const unsigned char c : digest) out << std::hex << std::setw(2) << std::setfill('0') << int{c};
  return out.str();
}

std::string gateway_settings(const Day& day, std::uint32_t n, std::uint16_t broker, std::uint16_t list,
                             const std::vector<std::uint16_t>& peers,
                             const std::vector<std::uint16_t>& invoke, const std::string& dir) {
  std::ostringstream o;
  const double answer_reserve = 30;
  o << "[gateway]\nname = \"gw-" << n << "\"\nnumber = " << n << "\nreplicas = " << day.gateways
    << "\nanswer_reserve_ms = " << answer_reserve << "\n";
  if (day.gateways > 1) o << "peer_listen = \"127.0.0.1:" << peers[n] << "\"\n";
  o << "[log]\nlevel = \"info\"\n[list]\nservice = \"127.0.0.1:" << list << "\"\ncache = \"" << dir
    << "/list-" << n << ".json\"\n[bounds]\nopen_calls = " << std::max<std::size_t>(1000, 2 * day.prefetch)
    << "\nprobes = true\n[instances]\non_miss = \"" << (day.load_on_miss ? "load" : "miss")
    << "\"\nkeep_alive_ms = " << ms(day.keep_alive) << "\norder_floor = " << day.order_floor
    << "\norders_per_call = " << day.orders_per_call << "\norder_window_ms = " << ms(day.order_window)
    << "\n[rules]\ncold_from = " << day.cold_capacity_share << "\ncold_for_ms = " << ms(day.cold_duration)
    << "\nfall_multiple = " << std::max(0.1, day.overload_multiple)
    << "\noverload_for_ms = " << ms(day.overload_duration) << "\ndrain_grace_ms = " << ms(day.drain_grace)
    << "\nover_share_worth = 0.1\n"
    << "[[kind]]\nname = \"std\"\nmemory_mb = " << day.memory_mb << "\n";
  for (const DayClass& c : day.classes)
    o << "[[class]]\nname = \"" << c.name << "\"\neffect = \"" << c.effect << "\"\nrepeats_dropped_by = \""
      << c.group << "\"\nrepeat_window_ms = " << ms(c.repeat_window) << "\ntarget_ms = " << ms(c.target)
      << "\ngive_up_ms = " << ms(c.give_up) << "\nworth = " << c.worth << "\n";
  double shares = 0;
  for (const auto& t : day.tenants) shares += t.share;
  for (const auto& t : day.tenants)
    o << "[[tenant]]\nname = \"" << t.name << "\"\nshare = " << t.share / shares
      << "\nquota_per_s = " << 1.3 * day.calls_per_s * t.share / shares << "\n";
  if (day.tenants.empty())
    o << "[[tenant]]\nname = \"all\"\nshare = 1\nquota_per_s = " << 2 * day.calls_per_s << "\n";
  if (day.front == "http") {
    o << "[invoke]\nlisten = \"127.0.0.1:" << invoke[n] << "\"\nmost_deferred = 100000\n";
    for (const std::string& tenant : tenants_of(day))
      o << "[[key]]\ntenant = \"" << tenant << "\"\nsha256 = \"" << hashed(token_of(tenant)) << "\"\n";
  }
  for (const DayClass& c : day.classes)
    for (int i = 0; i < c.functions; ++i)
      o << "[[function]]\nname = \"" << day.function(c, i) << "\"\nclass = \"" << c.name
        << "\"\nlanes = " << c.lanes << "\nmemory_mb = " << c.memory_mb << "\nwork_ms = " << ms(c.work)
        << "\n";
  o << "[[broker]]\nname = \"main\"\naddress = \"127.0.0.1:" << broker
    << "\"\nheartbeat_s = 4\nqueues = [\"calls\"]\n"
    << "prefetch = " << day.prefetch << "\nanswers = \"" << (day.confirm_mode ? "confirm" : "transaction")
    << "\"\n";
  if (day.acknowledge_on_take) o << "acknowledge = \"take\"\n";
  if (day.sole_reader) o << "sole_reader = true\n";
  if (day.ledger) o << "[ledger]\ndirectory = \"" << dir << "/ledger-" << n << "\"\nmost_mb = 256\n";
  for (std::uint32_t i = 0; day.gateways > 1 && i < day.gateways; ++i)
    if (i != n)
      o << "[[peer]]\nnumber = " << i << "\naddress = \"127.0.0.1:" << peers[i]
        << "\"\ninvoke = \"127.0.0.1:" << invoke[i] << "\"\n";
  return o.str();
}

lt::check::Rules rules_of(const Day& day) {
  lt::check::Rules r;
  r.drain_grace_s = s(day.drain_grace), r.answer_grace_s = s(day.answer_grace);
  r.cold_capacity_share = day.cold_capacity_share, r.cold_for_s = s(day.cold_duration),
  r.overload_multiple = day.overload_multiple;
  r.overload_for_s = s(day.overload_duration), r.worker_cores = day.cores;
  r.allow_repeated_answers = day.confirm_mode || day.acknowledge_on_take;
  r.order_window_s = s(day.order_window), r.order_floor = day.order_floor,
  r.orders_per_call = day.orders_per_call;
  for (const DayClass& c : day.classes) {
    r.classes[c.name] = {c.effect, c.group, s(c.repeat_window), s(c.work)};
    for (int i = 0; i < c.functions; ++i) r.class_of_function[day.function(c, i)] = c.name;
  }
  for (std::uint32_t id = 1; id <= day.workers; ++id)
    for (const std::uint32_t w : {id, id + Day::kSuccessorIdOffset}) {
      r.rack_of_worker[std::to_string(w)] = "rack-" + std::to_string(id % day.racks);
      r.zone_of_worker[std::to_string(w)] = "room";
    }
  return r;
}

class Player {
 public:
  Player(Day day, std::string day_file, std::string dir)
      : day_(std::move(day)),
        day_file_(std::move(day_file)),
        dir_(std::move(dir)),
        here_(lt::apps::executable_directory()),
        random_(day_.seed),
        tape_(dir_ + "/caller.tape") {}

  lt::check::Verdict play() {
    start_all();
    loop_.on_signal(SIGINT, [this] { loop_.stop(); });
    loop_.on_signal(SIGTERM, [this] { loop_.stop(); });
    begin_ = loop_.timer([this] { await_gateways(); });
    begin_->start(20ms);
    loop_.run();
    for (auto& g : gateways_) g->signal(SIGTERM);
    for (auto& g : gateways_) g->wait(15s);
    // What the gateways said last still comes.
    auto rest = loop_.timer([this] { loop_.stop(); });
    rest->start(200ms);
    loop_.run();
    caller_.reset(), invoker_.reset();
    standins_.clear();
    std::vector<nlohmann::json> tape;
    for (const auto& entry : std::filesystem::directory_iterator(dir_))
      if (entry.path().extension() == ".tape")
        for (auto& line : lt::apps::read_tape(entry.path().string())) tape.push_back(std::move(line));
    if (day_.boxes > 0) layers_ = lt::check::judge_layers(tape);
    return lt::check::judge(rules_of(day_), std::move(tape));
  }
  std::size_t made() const { return made_; }
  std::size_t deaths() const { return deaths_; }
  const std::optional<lt::check::LayersVerdict>& layers() const { return layers_; }

 private:
  void standin(const std::string& name, std::vector<std::string> words) {
    std::vector<std::string> command{here_ + "/laureltide-standin"};
    command.insert(command.end(), words.begin(), words.end());
    command.insert(command.end(), {"--day", day_file_});
    if (words[0] != "store") command.insert(command.end(), {"--tape", dir_ + "/" + name + ".tape"});
    standins_.push_back(std::make_unique<lt::apps::ChildProcess>(command, dir_ + "/" + name + ".log"));
    std::string line;
    if (!standins_.back()->read_line(line, 20s))
      throw std::runtime_error(name + " did not start; see " + dir_);
  }
  std::uint16_t reserve() {
    ports_.emplace_back();
    return ports_.back().port();
  }
  void start_all() {
    broker_port_ = reserve();
    const std::uint16_t list = reserve(), store = reserve();
    standin("store", {"store", "--port", std::to_string(store)});
    std::vector<std::uint16_t> agents;
    if (day_.boxes > 0) {
      const std::uint16_t registry = reserve();
      standin("registry", {"registry", "--port", std::to_string(registry)});
      for (std::uint32_t box = 0; box < day_.boxes; ++box) {
        agents.push_back(reserve());
        const std::string name = "box-" + std::to_string(box + 1);
        standins_.push_back(std::make_unique<lt::apps::ChildProcess>(
            std::vector<std::string>{here_ + "/laureltide-layers", "--directory", dir_ + "/" + name, "--name",
                                     name, "--store", "127.0.0.1:" + std::to_string(registry), "--port",
                                     std::to_string(agents.back()), "--look-s", "0.3"},
            dir_ + "/" + name + ".log"));
        std::string line;
        if (!standins_.back()->read_line(line, 20s))
          throw std::runtime_error(name + " did not start; see " + dir_);
        agents_.insert(standins_.back().get());
      }
    }
    standin("broker", {"broker", "--port", std::to_string(broker_port_)});
    std::string ports;
    auto worker = [&](std::uint32_t id, bool stand_by) {
      const std::uint16_t port = reserve();
      std::vector<std::string> words{"worker",
                                     "--id",
                                     std::to_string(id),
                                     "--port",
                                     std::to_string(port),
                                     "--store-port",
                                     std::to_string(store)};
      if (!agents.empty())
        words.insert(words.end(), {"--agent-port", std::to_string(agents[(id - 1) % agents.size()])});
      if (stand_by) words.emplace_back("--stand-by");
      standin("worker-" + std::to_string(id), words);
      ports += (ports.empty() ? "" : ",") + std::to_string(id) + "=" + std::to_string(port);
    };
    for (std::uint32_t id = 1; id <= day_.workers; ++id) {
      worker(id, false);
      if (day_.has_successor(id)) worker(id + Day::kSuccessorIdOffset, true);
    }
    standin("list", {"list", "--port", std::to_string(list), "--ports", ports});
    std::vector<std::uint16_t> peers;
    for (std::uint32_t n = 0; n < day_.gateways; ++n)
      peers.push_back(reserve()), invoke_.push_back(reserve());
    for (std::uint32_t n = 0; n < day_.gateways; ++n) {
      std::ofstream(dir_ + "/gw-" + std::to_string(n) + ".toml")
          << gateway_settings(day_, n, broker_port_, list, peers, invoke_, dir_);
      gateways_.push_back(gateway(n));
    }
    if (day_.front == "http") {
      lt::standin::HttpCallerOptions o;
      for (std::uint32_t n = 0; n < day_.gateways; ++n) {
        o.gateways.push_back({"127.0.0.1", invoke_[n]});
        o.names.push_back("gw-" + std::to_string(n));
      }
      for (const std::string& tenant : tenants_of(day_)) o.tokens[tenant] = token_of(tenant);
      o.deferred = day_.deferred;
      o.repeat = day_.repeat;
      invoker_ = std::make_unique<lt::standin::HttpCaller>(loop_, o, tape_);
      invoker_->on_answer = [this](const std::string& call, const lt::standin::Caller::Answered& a) {
        if (open_.erase(call) > 0) ++outcomes_[a.outcome];
      };
    }
    lt::standin::CallerOptions options;
    options.broker = {"127.0.0.1", broker_port_};
    caller_ = std::make_unique<lt::standin::Caller>(loop_, options, tape_);
    caller_->on_answer = [this](const std::string& call, const lt::standin::Caller::Answered& a) {
      if (open_.erase(call) > 0) ++outcomes_[a.outcome];
    };
  }
  std::unique_ptr<lt::apps::ChildProcess> gateway(std::uint32_t n) {
    const std::string name = dir_ + "/gw-" + std::to_string(n);
    std::vector<std::string> command{
        here_ + "/laureltide", "serve",  "--config",
        name + ".toml",        "--seed", std::to_string(day_.seed * 100 + n + 1)};
    if (n == 0 && deaths_ < day_.die_at.size())
      command.insert(command.end(), {"--die-at", day_.die_at[deaths_]});
    return std::make_unique<lt::apps::ChildProcess>(command, name + ".log");
  }
  // A gateway that killed itself comes back, to die at the next step.
  void look_at_deaths() {
    if (deaths_ < day_.die_at.size() && !killed_.contains(0) && !gateways_[0]->running()) {
      ++deaths_;
      gateways_[0] = gateway(0);
    }
    if (deaths_ < day_.die_at.size()) death_look_->start(20ms);
  }
  bool consuming(std::uint32_t n) const {
    std::ifstream in(dir_ + "/gw-" + std::to_string(n) + ".log");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str().find(": consuming") != std::string::npos;
  }

  // The day begins once all gateways take calls.
  void await_gateways() {
    bool all = caller_->ready();
    for (std::uint32_t n = 0; n < day_.gateways; ++n) {
      if (!gateways_[n]->running())
        throw std::runtime_error("gw-" + std::to_string(n) + " did not start; see " + dir_);
      all = all && consuming(n);
    }
    if (!all) return begin_->start(20ms);
    for (auto& child : standins_)
      if (!agents_.contains(child.get())) child->signal(SIGUSR1);
    start_ = loop_.now();
    script_ = std::make_unique<lt::standin::Script>(loop_, start_);
    for (const Trouble& t : day_.troubles) strike(t);
    next_call_ = loop_.timer([this] { make_call(); });
    make_call();
    death_look_ = loop_.timer([this] { look_at_deaths(); });
    if (!day_.die_at.empty()) look_at_deaths();
    progress_ = loop_.timer([this] { progress(); });
    progress();
  }

  void strike(const Trouble& t) {
    if (t.kind == TroubleKind::kBalancerCrash)
      for (const std::uint32_t n : t.gateways) {
        if (n >= day_.gateways) continue;
        script_->add(t.at, [this, n] { killed_.insert(n), gateways_[n]->signal(SIGKILL); });
        script_->add(t.at + t.length, [this, n] { killed_.erase(n), gateways_[n] = gateway(n); });
      }
    if (t.kind == TroubleKind::kBalancerRoll)
      for (std::size_t i = 0; i < t.gateways.size(); ++i) {
        const std::uint32_t n = t.gateways[i];
        if (n >= day_.gateways) continue;
        const lt::Duration turn = t.at + t.length * static_cast<int>(i) / static_cast<int>(t.gateways.size());
        script_->add(turn, [this, n] { gateways_[n]->signal(SIGTERM); });
        // In order: its successor starts when it has answered all and left.
        script_->add_every(turn + 50ms, turn + 30s, 50ms, [this, n, done = std::make_shared<bool>(false)] {
          if (*done || gateways_[n]->running()) return;
          *done = true;
          gateways_[n] = gateway(n);
        });
      }
  }

  double rate(lt::Duration at) const {
    double rate = day_.calls_per_s;
    for (const Trouble& t : day_.troubles)
      if (t.kind == TroubleKind::kBurst && at >= t.at && at < t.at + t.length) rate *= t.size;
    return rate;
  }
  double unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void make_call() {
    const lt::Duration now = loop_.now() - start_;
    while (due_ <= now && due_ < day_.length) {
      publish(due_);
      due_ += from_s(std::max(1e-6, -std::log(1 - unit()) / rate(due_)));
    }
    if (due_ < day_.length) next_call_->start(due_ - now);
  }
  void publish(lt::Duration at) {
    double shares = 0;
    for (const DayClass& c : day_.classes) shares += c.share;
    double pick = unit() * shares;
    const DayClass* chosen = &day_.classes.back();
    for (const DayClass& c : day_.classes)
      if ((pick -= c.share) < 0) {
        chosen = &c;
        break;
      }
    // Popularity falls with the square root of the rank; a hot function takes its part of the class.
    auto function = static_cast<int>(unit() * unit() * chosen->functions);
    for (const Trouble& t : day_.troubles)
      if (t.kind == TroubleKind::kHotKey && at >= t.at && at < t.at + t.length && unit() < t.share)
        function = chosen->functions - 1;
    lt::standin::CallToMake call;
    call.name = "c-" + std::to_string(++named_);
    call.function = day_.function(*chosen, std::min(function, chosen->functions - 1));
    call.request_class = chosen->name;
    call.patience_ms = static_cast<std::uint64_t>(ms(chosen->give_up));
    if (chosen->effect == "keyed") call.key = "k-" + std::to_string(named_);
    if (!day_.tenants.empty()) {
      double t = unit();
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
    call.body.assign(day_.body_bytes, static_cast<char>('a' + named_ % 26));
    open_.insert(call.name);
    if (invoker_) {
      invoker_->call(call);
    } else if (!caller_->call(call)) {
      open_.erase(call.name);
      return;
    }
    ++made_;
  }

  void progress() {
    const lt::Duration now = loop_.now() - start_;
    std::string troubles;
    for (const Trouble& t : day_.troubles)
      if (now >= t.at && now < t.at + std::max<lt::Duration>(t.length, 1s)) troubles += " " + t.name;
    std::ostringstream line;
    line << std::fixed << std::setprecision(0) << s(now) << " s: " << made_ << " calls, "
         << outcomes_["served"] << " served, " << outcomes_["refused"] << " refused, " << outcomes_["failed"]
         << " failed, " << open_.size() << " open" << (troubles.empty() ? "" : "; trouble:") << troubles;
    if (isatty(STDOUT_FILENO))
      std::cout << "\r\x1b[K" << line.str() << std::flush;
    else
      std::cout << line.str() << std::endl;
    if (now >= day_.length && (open_.empty() || now >= day_.length + day_.settle)) {
      if (isatty(STDOUT_FILENO)) std::cout << std::endl;
      return loop_.stop();
    }
    progress_->start(1s);
  }

  Day day_;
  std::string day_file_, dir_, here_;
  std::mt19937_64 random_;
  lt::net::Loop loop_;
  lt::apps::FileTape tape_;
  std::vector<lt::apps::ReservedPort> ports_;
  std::vector<std::unique_ptr<lt::apps::ChildProcess>> standins_, gateways_;
  std::set<lt::apps::ChildProcess*> agents_;  // of the boxes: programs of ours, which play no part
  std::unique_ptr<lt::standin::Caller> caller_;
  std::unique_ptr<lt::standin::HttpCaller> invoker_;
  std::vector<std::uint16_t> invoke_;
  std::unique_ptr<lt::standin::Script> script_;
  std::unique_ptr<lt::io::Timer> begin_, next_call_, progress_, death_look_;
  std::size_t deaths_ = 0;
  std::optional<lt::check::LayersVerdict> layers_;
  std::set<std::uint32_t> killed_;  // by the day's order, until it has them back
  lt::Time start_{};
  lt::Duration due_{};
  std::uint16_t broker_port_ = 0;
  std::uint64_t named_ = 0;
  std::size_t made_ = 0;
  std::set<std::string> open_;
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
  static constexpr const char* kNames[] = {"one answer for each call, in time", "no effect twice",
                                           "drains kept", "cold workers not pushed over",
                                           "load orders within the ration"};
  for (int rule = 1; rule <= 5; ++rule) {
    const auto& r = report["rules"][std::to_string(rule)];
    std::cout << "rule " << rule << " (" << kNames[rule - 1]
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
  CLI::App app{"laureltide-play: plays a day over loopback and judges the five rules from its traffic"};
  app.footer(
      "Exit: 0 all rules kept, 1 a rule broken, 2 a bad day file.\nExample:\n  laureltide-play "
      "examples/bad-day.toml");
  std::string file, report, keep;
  double speed = 1;
  app.add_option("day", file, "the day (TOML, docs/days.md)")->required();
  app.add_option("--report", report, "write the verdict as JSON");
  app.add_option("--speed", speed, "calls and troubles come so many times faster")
      ->check(CLI::Range(0.1, 20.0));
  app.add_option("--keep", keep, "leave tapes and logs in this directory");
  CLI11_PARSE(app, argc, argv);
  std::vector<std::string> problems;
  auto day = lt::standin::load_day(file, problems);
  for (const std::string& p : problems) std::cerr << p << '\n';
  if (!day) return 2;
  std::string dir = keep.empty() ? lt::apps::create_temp_directory("laureltide-play-") : keep;
  std::filesystem::create_directories(dir);
  try {
    std::string played = std::filesystem::absolute(file).string();
    if (speed != 1) {  // the stand-ins read the same, faster day
      std::ifstream in(file);
      std::ostringstream text;
      text << in.rdbuf();
      played = dir + "/day.toml";
      std::ofstream(played) << lt::standin::scale_day_speed(text.str(), speed);
      day = lt::standin::load_day(played, problems);
      if (!day) return 2;
    }
    Player player(*day, played, dir);
    const lt::check::Verdict verdict = player.play();
    if (!day->die_at.empty())
      std::cout << "gateway 0 died at " << player.deaths() << " of " << day->die_at.size() << " steps\n";
    print(verdict);
    if (player.layers()) print(*player.layers());
    const bool kept = verdict.kept() && (!player.layers() || player.layers()->kept());
    if (player.deaths() < day->die_at.size())
      throw std::runtime_error("the day ended before the step " + day->die_at[player.deaths()] +
                               " was passed");
    auto doc = verdict.report();
    if (const auto& l = player.layers())
      doc["layers"] = {{"once", l->duplicate_sends},
                       {"mixed", l->wrong_versions},
                       {"versions", l->versions},
                       {"boxes", l->boxes},
                       {"ranges", l->ranges},
                       {"bytes", l->bytes},
                       {"runs", l->runs},
                       {"renewed", l->renewed}};
    if (!report.empty()) std::ofstream(report) << doc.dump(2) << '\n';
    if (keep.empty() && kept) std::filesystem::remove_all(dir);
    if (keep.empty() && !kept) std::cout << "tapes and logs: " << dir << '\n';
    return kept ? 0 : 1;
  } catch (const std::exception& e) {
    std::cerr << "laureltide-play: " << e.what() << '\n';
    return 3;
  }
}
