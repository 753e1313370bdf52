// The layer agent's API for the workers of its host: HTTP/1.1 with JSON on loopback (docs/layers.md, "The
// agent's API"). A worker requests a version and gets paths of files that stay as long as its pin.
#pragma once

#include <map>
#include <memory>

#include "http/server.h"
#include "layers/agent.h"

namespace laureltide::layers {

class AgentServer : public http::Server::Events {
 public:
  AgentServer(io::Host& host, Agent& agent, http::ServerOptions options = {});
  ~AgentServer() override;
  bool listen(const io::Address& at) { return server_.listen(at); }
  io::Address address() const { return server_.address(); }
  void drain() { server_.drain(); }
  std::size_t unanswered() const { return server_.unanswered(); }

  void on_request(http::Server::Ticket ticket, http::Request request) override;
  void on_client_disconnected(http::Server::Ticket ticket) override;
  std::string on_invalid_request(int status, const std::string& why) override;

 private:
  void handle_pin(http::Server::Ticket ticket, const http::Request& request);
  void handle_releases(http::Server::Ticket ticket, const std::string& query);
  void send_releases(http::Server::Ticket ticket);
  void respond(http::Server::Ticket ticket, int status, std::string body,
               const char* type = "application/json");
  void respond_problem(http::Server::Ticket ticket, int status, const std::string& detail);
  std::string state() const;

  io::Host& host_;
  Agent& agent_;
  http::Server server_;
  std::map<http::Server::Ticket, std::uint64_t> pending_;  // waiting requests, with the agent's ticket
  std::map<http::Server::Ticket, std::unique_ptr<io::Timer>> listeners_;  // long polls for release changes
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace laureltide::layers
