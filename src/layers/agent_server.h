// The box agent's API for the workers of its box: HTTP/1.1 with JSON on loopback (docs/layers.md, "The
// agent's API"). A worker asks for a version and gets paths of files that stay while its pin does.
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
  std::size_t owed() const { return server_.unanswered(); }

  void on_request(http::Server::Ticket ticket, http::Request request) override;
  void on_client_disconnected(http::Server::Ticket ticket) override;
  std::string on_invalid_request(int status, const std::string& why) override;

 private:
  void pin(http::Server::Ticket ticket, const http::Request& request);
  void tell_releases(http::Server::Ticket ticket, const std::string& query);
  void say_releases(http::Server::Ticket ticket);
  void say(http::Server::Ticket ticket, int status, std::string body, const char* type = "application/json");
  void problem(http::Server::Ticket ticket, int status, const std::string& detail);
  std::string state() const;

  io::Host& host_;
  Agent& agent_;
  http::Server server_;
  std::map<http::Server::Ticket, std::uint64_t> asks_;                    // that wait, and the agent's ticket
  std::map<http::Server::Ticket, std::unique_ptr<io::Timer>> listeners_;  // wait for news
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace laureltide::layers
