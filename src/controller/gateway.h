// A complete gateway on a host: the core, the AMQP and HTTP fronts, the worker list follower and the peers.
// Programs start and stop this class.
#pragma once

#include "controller/core.h"
#include "controller/invoke.h"
#include "controller/trigger.h"
#include "members/list_subscriber.h"

namespace laureltide::controller {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// What the gateway reports to the program that runs it.
class GatewayEvents {
 public:
  virtual ~GatewayEvents() = default;
  virtual void on_call_finished(const CallSummary& ended) = 0;  // once for each accepted call
  virtual void on_log_line(LogLevel level, const std::string& line) = 0;
  virtual void store_worker_list(const std::string& json) = 0;  // for the next start; must not block
};

class Peers;

class Gateway : public CoreEvents {
 public:
  Gateway(io::Host& host, std::shared_ptr<const config::Settings> settings, GatewayEvents& events,
          std::uint64_t seed, std::uint32_t first_request_id = 1, ledger::CallLedger* book = nullptr);
  ~Gateway() override;

  // Applies the worker list that an earlier process stored; call it before start().
  void apply_cached_worker_list(std::string_view json);
  void start();
  void apply_worker_list_json(std::string_view json);
  // Applies changed functions and brokers; a change that needs a restart is logged and ignored.
  void reload(std::shared_ptr<const config::Settings> settings);
  // Accepts no new calls and answers the open ones. `done` is invoked when all are answered, or after the
  // settings' drain_timeout.
  void drain(std::function<void(bool all_answered)> done);

  // The address of the invoke API; nothing if it is disabled or cannot listen.
  std::optional<io::Address> invoke_address() const;
  Core& core() { return core_; }
  bool connected() const;
  bool invoke_listen_failed() const { return invoke_listen_failed_; }  // enabled, but cannot listen

  // ---- CoreEvents ----
  void on_call_finished(const CallSummary& ended) override { events_.on_call_finished(ended); }
  void on_log(const std::string& line) override { events_.on_log_line(LogLevel::kInfo, "module: " + line); }
  void on_anomaly(const std::string& line) override { events_.on_log_line(LogLevel::kWarn, line); }
  void on_send_to_peer(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) override;

 private:
  void add_front(const config::Broker& broker);
  void log_stats();
  void check_drain();
  void remove_drained_fronts();

  io::Host& host_;
  std::shared_ptr<const config::Settings> settings_;
  GatewayEvents& events_;
  ledger::CallLedger* book_;  // outlives the gateway; null: nothing is persisted
  Core core_;
  std::vector<std::unique_ptr<TriggerFront>> fronts_;
  std::vector<std::unique_ptr<TriggerFront>> draining_fronts_;  // of brokers that a reload removed
  std::unique_ptr<InvokeFront> invoke_front_;
  std::unique_ptr<members::ListSubscriber> list_subscriber_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<io::Timer> stats_timer_, drain_timer_, draining_fronts_timer_;
  std::function<void(bool)> on_drained_;
  Time drain_deadline_{};
  std::string last_list_error_;
  bool invoke_listen_failed_ = false;
};

}  // namespace laureltide::controller
