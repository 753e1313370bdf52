#include "controller/gateway.h"

#include <algorithm>

#include "controller/peers.h"

namespace laureltide::controller {

constexpr Duration kDrainedFrontsCheckInterval = std::chrono::seconds(1);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);

Gateway::Gateway(io::Host& host, std::shared_ptr<const config::Settings> settings, GatewayEvents& events,
                 std::uint64_t seed, std::uint32_t first_request_id, ledger::CallLedger* book)
    : host_(host),
      settings_(std::move(settings)),
      events_(events),
      book_(book),
      core_(host, settings_, *this, {seed, first_request_id, book}),
      stats_timer_(host.timer([this] { log_stats(); })),
      drain_timer_(host.timer([this] { check_drain(); })),
      draining_fronts_timer_(host.timer([this] { remove_drained_fronts(); })) {}
Gateway::~Gateway() {
  if (book_) book_->on_state = nullptr;
}

void Gateway::apply_cached_worker_list(std::string_view json) {
  std::string why;
  if (const auto update = members::parse_update(json, why))
    core_.apply_worker_list(*update, true);
  else
    events_.on_log_line(LogLevel::kWarn, "cached worker list ignored: " + why);
}

void Gateway::start() {
  if (book_)
    book_->on_state = [this](bool healthy) {
      events_.on_log_line(
          healthy ? LogLevel::kInfo : LogLevel::kError,
          healthy ? "ledger: writable again" : "ledger: cannot be written: " + book_->write_error());
    };
  if (settings_->list.service) {
    list_subscriber_ = std::make_unique<members::ListSubscriber>(
        host_, *settings_->list.service, settings_->gateway.name,
        [this](std::string_view line) { apply_worker_list_json(line); },
        [this](const std::string& why) {
          if (std::exchange(last_list_error_, why) != why)
            events_.on_log_line(LogLevel::kWarn, "list: " + why + "; keeping the last worker list");
        });
    core_.on_worker_list_gap = [this] {
      if (list_subscriber_) list_subscriber_->request_full_list();
    };
  }
  if (!settings_->peers.empty() || settings_->gateway.peer_listen) {
    peers_ = std::make_unique<Peers>(
        host_, *settings_,
        [this](std::uint32_t from, std::span<const std::byte> bytes) { core_.on_peer_message(from, bytes); });
    if (!peers_->listening())
      events_.on_log_line(LogLevel::kError,
                          "cannot listen for peers on " + settings_->gateway.peer_listen->text());
  }
  for (const config::Broker& broker : settings_->brokers) add_front(broker);
  if (settings_->invoke.listen) {
    invoke_front_ = std::make_unique<InvokeFront>(
        host_, core_, *settings_,
        [this](bool warn, const std::string& line) {
          events_.on_log_line(warn ? LogLevel::kWarn : LogLevel::kInfo, line);
        },
        book_);
    invoke_listen_failed_ = !invoke_front_->listen(*settings_->invoke.listen);
    events_.on_log_line(
        invoke_listen_failed_ ? LogLevel::kError : LogLevel::kInfo,
        (invoke_listen_failed_ ? "invoke: cannot listen on " : "invoke: listening on ") +
            (invoke_listen_failed_ ? *settings_->invoke.listen : invoke_front_->address()).text());
  }
  if (settings_->stats_interval > Duration(0)) stats_timer_->start(settings_->stats_interval);
}

void Gateway::add_front(const config::Broker& broker) {
  fronts_.push_back(std::make_unique<TriggerFront>(
      host_, core_, broker, settings_->gateway.name,
      [this](bool warn, const std::string& line) {
        events_.on_log_line(warn ? LogLevel::kWarn : LogLevel::kInfo, line);
      },
      book_));
}

void Gateway::apply_worker_list_json(std::string_view json) {
  std::string why;
  const auto update = members::parse_update(json, why);
  if (!update) return events_.on_log_line(LogLevel::kError, "list passed over: " + why);
  last_list_error_.clear();
  core_.apply_worker_list(*update);
  events_.store_worker_list(members::write_update(core_.list().snapshot()));
}

void Gateway::reload(std::shared_ptr<const config::Settings> settings) {
  for (const std::string& key : config::needs_restart(*settings_, *settings))
    events_.on_log_line(LogLevel::kWarn,
                        "reload: a change of " + key + " needs a restart; keeping the old value");
  // The module keeps the settings that it was built with, and functions refer to classes and tenants by
  // index.
  if (settings->class_names != settings_->class_names || settings->tenant_names != settings_->tenant_names)
    return events_.on_log_line(LogLevel::kError, "reload: classes or tenants differ; no change was applied");
  auto merged = std::make_shared<config::Settings>(*settings);
  merged->module = settings_->module;
  merged->gateway = settings_->gateway;
  merged->list = settings_->list;
  merged->ledger = settings_->ledger;
  settings_ = merged;
  core_.apply_settings(merged);
  if (invoke_front_) invoke_front_->apply_settings(*merged);
  for (auto it = fronts_.begin(); it != fronts_.end();) {
    const bool stays =
        std::find(merged->brokers.begin(), merged->brokers.end(), (*it)->broker()) != merged->brokers.end();
    if (stays) {
      ++it;
      continue;
    }
    (*it)->drain();
    draining_fronts_.push_back(std::move(*it));
    it = fronts_.erase(it);
  }
  if (!draining_fronts_.empty()) draining_fronts_timer_->start(kDrainedFrontsCheckInterval);
  for (const config::Broker& broker : merged->brokers) {
    const bool runs =
        std::any_of(fronts_.begin(), fronts_.end(), [&](const auto& f) { return f->broker() == broker; });
    if (!runs) add_front(broker);
  }
  events_.on_log_line(LogLevel::kInfo, "reload: " + std::to_string(merged->functions.size()) +
                                           " functions, " + std::to_string(merged->brokers.size()) +
                                           " brokers");
}

// Disconnects from removed brokers once all their calls are answered.
void Gateway::remove_drained_fronts() {
  std::erase_if(draining_fronts_, [](const auto& front) { return front->drained(); });
  if (!draining_fronts_.empty()) draining_fronts_timer_->start(kDrainedFrontsCheckInterval);
}

void Gateway::drain(std::function<void(bool)> done) {
  if (on_drained_) return;
  on_drained_ = std::move(done);
  drain_deadline_ = host_.now() + settings_->gateway.drain_timeout;
  events_.on_log_line(LogLevel::kInfo, "draining: no new calls are accepted, " +
                                           std::to_string(core_.open()) + " calls are open");
  for (const auto& front : fronts_) front->drain();
  if (invoke_front_) invoke_front_->drain();
  check_drain();
}

void Gateway::check_drain() {
  auto settled = [](const auto& fronts) {
    return std::all_of(fronts.begin(), fronts.end(), [](const auto& f) { return f->drained(); });
  };
  const bool all = core_.open() == 0 && settled(fronts_) && settled(draining_fronts_) &&
                   (!invoke_front_ || invoke_front_->drained());
  if (!all && host_.now() < drain_deadline_) return drain_timer_->start(kDrainCheckInterval);
  on_drained_(all);
}

std::optional<io::Address> Gateway::invoke_address() const {
  if (!invoke_front_ || invoke_listen_failed_) return std::nullopt;
  return invoke_front_->address();
}

bool Gateway::connected() const {
  return std::all_of(fronts_.begin(), fronts_.end(), [](const auto& f) { return f->connected(); });
}

void Gateway::on_send_to_peer(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) {
  if (peers_) peers_->send(peer, bytes);
}

void Gateway::log_stats() {
  const Counters& c = core_.counters();
  events_.on_log_line(LogLevel::kInfo,
                      "stats: taken=" + std::to_string(c.taken) + " served=" + std::to_string(c.served) +
                          " refused=" + std::to_string(c.refused) + " failed=" + std::to_string(c.failed) +
                          " turned_away=" + std::to_string(c.rejected) + " abandoned=" +
                          std::to_string(c.abandoned) + " open=" + std::to_string(core_.open()) +
                          " attempts=" + std::to_string(c.attempts) + " holds=" + std::to_string(c.holds) +
                          " probes=" + std::to_string(c.probes) + " oddities=" + std::to_string(c.anomalies));
  stats_timer_->start(settings_->stats_interval);
}

}  // namespace laureltide::controller
