// A whole gateway on a host: the core, its fronts, the followed list, peers. What a program starts and stops.
#pragma once

#include "controller/core.h"
#include "controller/invoke.h"
#include "controller/trigger.h"
#include "members/list_subscriber.h"

namespace laureltide::controller {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

class GatewayEvents {
 public:
  virtual ~GatewayEvents() = default;
  virtual void on_call_finished(const CallSummary& ended) = 0;  // one for each taken call
  virtual void on_log_line(LogLevel level, const std::string& line) = 0;
  virtual void store_worker_list(
      const std::string& json) = 0;  // to be stored for the next life; must not block
};

class Peers;

class Gateway : public CoreEvents {
 public:
  Gateway(io::Host& host, std::shared_ptr<const config::Settings> settings, GatewayEvents& events,
          std::uint64_t seed, std::uint32_t first_request_id = 1, ledger::CallLedger* book = nullptr);
  ~Gateway() override;

  // The list of an earlier life; before start().
  void apply_cached_worker_list(std::string_view json);
  void start();
  void apply_worker_list_json(std::string_view json);
  // Takes over functions and brokers; what needs a restart is told and left as it is.
  void reload(std::shared_ptr<const config::Settings> settings);
  // Takes nothing more and answers all; `done` comes then, or after the settings' drain_within.
  void drain(std::function<void(bool all_answered)> done);

  // Where the invoke API is reached; nothing if it is off or cannot listen.
  std::optional<io::Address> invoke_address() const;
  Core& core() { return core_; }
  bool connected() const;
  bool invoke_listen_failed() const { return invoke_failed_; }  // it is wanted and cannot listen

  // ---- CoreEvents ----
  void on_call_finished(const CallSummary& ended) override { events_.on_call_finished(ended); }
  void on_log(const std::string& line) override { events_.on_log_line(LogLevel::kInfo, "module: " + line); }
  void on_oddity(const std::string& line) override { events_.on_log_line(LogLevel::kWarn, line); }
  void on_send_to_peer(std::optional<std::uint32_t> peer, std::span<const std::byte> bytes) override;

 private:
  void add_front(const config::Broker& broker);
  void say_stats();
  void look_at_drain();
  void look_at_leaving();

  io::Host& host_;
  std::shared_ptr<const config::Settings> settings_;
  GatewayEvents& events_;
  ledger::CallLedger* book_;  // outlives the gateway; none: nothing outlives the process
  Core core_;
  std::vector<std::unique_ptr<TriggerFront>> fronts_;
  std::vector<std::unique_ptr<TriggerFront>> leaving_;  // of brokers that a reload dropped
  std::unique_ptr<InvokeFront> invoke_;
  std::unique_ptr<members::ListSubscriber> follower_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<io::Timer> stats_, drain_look_, leaving_look_;
  std::function<void(bool)> drained_;
  Time drain_until_{};
  std::string list_said_;
  bool invoke_failed_ = false;
};

}  // namespace laureltide::controller
