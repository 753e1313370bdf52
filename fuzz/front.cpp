// Bytes of a client of the platform: at the message codec, and at a server in any cuts.
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
    void on_call(front::Server::Ticket t, front::Fields, std::string body) override {
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
    std::unique_ptr<io::Connection> c;
    std::string out;
    void on_open() override { c->write(out); }
    std::size_t on_bytes(std::string_view b) override { return b.size(); }
    void on_closed(io::CloseReason) override {}
  } peer;
  peer.out = bytes;
  peer.c = net.connect({"127.0.0.1", 80}, {}, peer);
  net.run_for(std::chrono::seconds(1));
  if (server.open_calls() != 0) __builtin_trap();
  return 0;
}
