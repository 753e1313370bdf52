// Fuzzes the codec of messages from the platform's clients, and a server that receives the bytes in small
// segments.
#include "front/server.h"
#include "sim/network.h"

using namespace laureltide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const front::Parsed parsed = front::parse(bytes);
  if (parsed.kind == front::Parsed::Kind::kRequest && parsed.request.body.size() > front::kMaxBodyBytes)
    __builtin_trap();
  sim::NetworkOptions options;
  options.max_segment_bytes = 7;
  sim::Network net(options);
  struct Echo : front::Server::Events {
    front::Server* server = nullptr;
    void on_call(front::Server::Ticket t, front::Fields, std::string body, Time) override {
      front::Reply reply;
      reply.kind = front::Reply::Kind::kServed, reply.body = std::move(body);
      server->respond(t, reply);
    }
    void on_gone(front::Server::Ticket) override {}
    bool healthy() override { return true; }
    void on_anomaly(const std::string&) override {}
  } echo;
  front::Server server(net, {}, echo);
  echo.server = &server;
  if (!server.listen({"127.0.0.1", 80})) return 0;
  struct Peer : io::ConnectionEvents {
    std::unique_ptr<io::Connection> connection;
    std::string output;
    void on_open() override { connection->write(output); }
    std::size_t on_bytes(std::string_view b) override { return b.size(); }
    void on_closed(io::CloseReason) override {}
  } peer;
  peer.output = bytes;
  peer.connection = net.connect({"127.0.0.1", 80}, {}, peer);
  net.run_for(std::chrono::seconds(1));
  if (server.open_calls() != 0) __builtin_trap();
  return 0;
}
