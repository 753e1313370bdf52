// The invoke API over HTTP/1.1 (docs/invoke.md has the contract, docs/openapi.json its description):
// synchronous and deferred calls on the same core and under the same rules as the AMQP front.
//
// A call with an Idempotency-Key, or a deferred one, has a record in the ledger under `http/<tenant>`; a
// plain one has none, and is called off when its client goes away.
//
// Bounds: http::ServerOptions; `most_deferred` and `most_deferred_mb` of a tenant (429); 16 clients that wait
// for one call (429); callbacks under way at a time 64, the rest in line, each tried `callback_attempts`
// times in a life.
#pragma once

#include <deque>
#include <map>

#include "controller/claim.h"
#include "controller/core.h"
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
  // Takes nothing more; what is taken is answered, callbacks that are due are given.
  void drain();
  bool drained() const;
  // Keys and bounds of a reload.
  void use(const config::Settings& settings);

  // ---- http::Server::Events ----
  void on_request(Ticket ticket, http::Request request) override;
  void on_gone(Ticket ticket) override;
  std::string on_bad(int status, const std::string& why) override;

 private:
  struct Open {  // a call without an answer
    std::uint32_t tenant = 0;
    bool recorded = false, deferred = false, taken = false;
    std::string digest;
    std::vector<Ticket> waiting;
    std::optional<std::uint32_t> request;  // the core's, once it has it
  };
  struct Callback {
    std::string id;
    std::uint32_t tenant = 0;
    int tried = 0;
    std::unique_ptr<http::Exchange> exchange;
    std::unique_ptr<io::Timer> again;
  };
  // A request, read and checked.
  struct Wanted {
    Call call;
    std::string id, digest, callback;
    std::uint32_t tenant = 0;
    bool named = false, deferred = false;
    std::optional<int> wait_s;
  };

  void answer_call(Ticket ticket, const http::Request& request, const std::string& function);
  std::optional<Wanted> read(Ticket ticket, const http::Request& request, const std::string& function);
  void start(Ticket ticket, Wanted wanted);
  void run(const std::string& id, Call call);
  void ended(const std::string& id, Answer answer);
  void join(Ticket ticket, const std::string& id, Open& open, const Wanted& wanted);
  void show_call(Ticket ticket, const http::Request& request, const std::string& id);
  void forget_call(Ticket ticket, const std::string& id, std::uint32_t tenant);
  void say(Ticket ticket, const std::string& id, const Answer& answer, bool replayed = false);
  void say_open(Ticket ticket, const std::string& id);
  void problem(Ticket ticket, int status, const std::string& detail, http::Headers headers = {});
  bool elsewhere(Ticket ticket, std::uint32_t owner, const std::string& target);
  void give_callback(const std::string& id, std::uint32_t tenant);
  void try_callback(Callback& callback);
  void callback_ended(const std::string& id, bool well);
  void recover();
  void make_room();
  std::string front(std::uint32_t tenant) const { return "http/" + tenant_names_[tenant]; }
  std::string key(std::uint32_t tenant, const std::string& id) const {
    return ledger::key_of(front(tenant), id);
  }
  std::optional<std::uint32_t> tenant_of(Ticket ticket, const http::Request& request);

  io::Host& host_;
  Core& core_;
  config::Invoke options_;
  std::uint32_t me_, replicas_;
  std::map<std::uint32_t, io::Address> peers_;  // where calls of other controllers are reached
  std::vector<std::string> tenant_names_;
  Keyring keyring_;
  Log log_;
  ledger::CallLedger* book_;
  http::Server server_;
  std::map<std::string, Open> open_;
  std::map<Ticket, std::string> waiting_;
  std::map<Ticket, std::unique_ptr<io::Timer>> waits_;         // Prefer: wait
  std::deque<std::pair<std::uint32_t, std::string>> backlog_;  // owed since before the start
  std::unique_ptr<io::Timer> room_;
  std::map<std::string, std::unique_ptr<Callback>> callbacks_;
  std::deque<std::pair<std::string, std::uint32_t>> callback_line_;
  io::DeferredDeleter<Callback> done_callbacks_;
  bool draining_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The description of the API, as shipped.
std::string_view openapi_document();

}  // namespace laureltide::controller
