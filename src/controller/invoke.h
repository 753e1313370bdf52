// The invoke API over HTTP/1.1 (docs/invoke.md has the contract, docs/openapi.json its description):
// synchronous and deferred calls on the same core and under the same rules as the AMQP front.
//
// A call with an Idempotency-Key and a deferred call have a record in the ledger under `http/<tenant>`. A
// plain call has none, and is abandoned when its client disconnects.
//
// Bounds: http::ServerOptions; `max_deferred` and `max_deferred_mb` for each tenant (429); 16 clients
// waiting for one call (429); 64 concurrent callbacks, further ones queue; each callback is tried
// `callback_attempts` times between restarts.
#pragma once

#include <deque>
#include <map>

#include "controller/core.h"
#include "controller/idempotency_key.h"
#include "controller/keyring.h"
#include "http/client.h"
#include "http/server.h"

namespace laureltide::controller {

class InvokeFront : public http::Server::Events {
 public:
  using Ticket = http::Server::Ticket;
  using Log = std::function<void(bool warn, const std::string& line)>;
  InvokeFront(io::Host& host, Core& core, const config::Settings& settings, Log log,
              ledger::CallLedger* book = nullptr);
  ~InvokeFront() override;

  bool listen(const io::Address& at) { return server_.listen(at); }
  io::Address address() const { return server_.address(); }
  // Accepts no new calls; open calls are answered and pending callbacks sent.
  void drain();
  bool drained() const;
  // Applies the keys and bounds of a reload.
  void apply_settings(const config::Settings& settings);

  // ---- http::Server::Events ----
  void on_request(Ticket ticket, http::Request request) override;
  void on_client_disconnected(Ticket ticket) override;
  std::string on_invalid_request(int status, const std::string& why) override;

 private:
  // A call without an answer. `accepted`: the ledger has its record (durable if deferred), so 202 may be
  // sent.
  struct OpenCall {
    std::uint32_t tenant = 0;
    bool recorded = false, deferred = false, accepted = false;
    std::string digest;
    std::vector<Ticket> waiting_clients;
    std::optional<std::uint32_t> request;  // its id in the core, once accepted
  };
  struct Callback {
    std::string id;
    std::uint32_t tenant = 0;
    int attempts = 0;
    std::unique_ptr<http::Exchange> exchange;
    std::unique_ptr<io::Timer> retry_timer;
  };
  // A parsed and validated request.
  struct ParsedRequest {
    Call call;
    std::string id, digest, callback;
    std::uint32_t tenant = 0;
    bool named = false, deferred = false;
    std::optional<int> wait_s;
  };

  void handle_call(Ticket ticket, const http::Request& request, const std::string& function);
  std::optional<ParsedRequest> parse_request(Ticket ticket, const http::Request& request,
                                             const std::string& function);
  void start_call(Ticket ticket, ParsedRequest parsed);
  void run_call(const std::string& id, Call call);
  void on_call_finished(const std::string& id, Answer answer);
  void join(Ticket ticket, const std::string& id, OpenCall& open, const ParsedRequest& parsed);
  void handle_show_call(Ticket ticket, const http::Request& request, const std::string& id);
  void handle_forget_call(Ticket ticket, const std::string& id, std::uint32_t tenant);
  void respond_with_answer(Ticket ticket, const std::string& id, const Answer& answer, bool replayed = false);
  void respond_pending(Ticket ticket, const std::string& id);
  void respond_with_problem(Ticket ticket, int status, const std::string& detail, http::Headers headers = {});
  bool redirect_to_owner(Ticket ticket, std::uint32_t owner, const std::string& target);
  void start_callback(const std::string& id, std::uint32_t tenant);
  void send_callback(Callback& callback);
  void finish_callback(const std::string& id, bool well);
  void recover_owed_calls();
  void run_backlog();
  std::string front(std::uint32_t tenant) const { return "http/" + tenant_names_[tenant]; }
  std::string key(std::uint32_t tenant, const std::string& id) const {
    return ledger::key_of(front(tenant), id);
  }
  std::optional<std::uint32_t> tenant_of(Ticket ticket, const http::Request& request);

  io::Host& host_;
  Core& core_;
  config::Invoke options_;
  std::uint32_t own_number_, replicas_;
  std::map<std::uint32_t, io::Address> peers_;  // invoke API addresses of other controllers
  std::vector<std::string> tenant_names_;
  Keyring keyring_;
  Log log_;
  ledger::CallLedger* book_;
  http::Server server_;
  std::map<std::string, OpenCall> open_calls_;
  std::map<Ticket, std::string> call_id_by_waiting_client_;
  std::map<Ticket, std::unique_ptr<io::Timer>> wait_timers_;   // for Prefer: wait
  std::deque<std::pair<std::uint32_t, std::string>> backlog_;  // owed since before the restart
  std::unique_ptr<io::Timer> backlog_timer_;
  std::map<std::string, std::unique_ptr<Callback>> callbacks_;
  std::deque<std::pair<std::string, std::uint32_t>> callback_queue_;
  io::DeferredDeleter<Callback> finished_callbacks_;
  bool draining_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The OpenAPI document of this API.
std::string_view openapi_document();

}  // namespace laureltide::controller
