// Fuzzes the worker protocol: the parser and both ends of a connection.
#include "sim/network.h"
#include "worker/link.h"
#include "worker/server.h"

using namespace laureltide;

namespace {
struct IgnoringEvents : worker::LinkEvents, worker::SessionEvents {
  void on_call_end(WorkerId, std::uint64_t, CallEnd) override {}
  void on_piece(WorkerId, std::uint64_t, std::string) override {}
  void on_hold_end(WorkerId, std::uint64_t, Outcome, int) override {}
  void on_probe_end(WorkerId, std::uint64_t, Outcome, LoadReport) override {}
  void on_anomaly(WorkerId, const std::string&) override {}
  void on_hello(worker::Session&, const worker::Hello&) override {}
  void on_message(worker::Session&, worker::Message) override {}
  void on_end(worker::Session&) override {}
};
struct Peer : io::ConnectionEvents {
  std::unique_ptr<io::Connection> connection;
  std::string output;
  void on_open() override { connection->write(output); }
  std::size_t on_bytes(std::string_view b) override { return b.size(); }
  void on_closed(io::CloseReason) override {}
};
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  worker::ParseResult result = worker::parse(bytes, 1U << 20);
  if (result.kind == worker::ParseResult::Kind::kMessage) {
    std::string output;
    worker::write(output, result.message);
    if (worker::parse(output, 1U << 20).kind != worker::ParseResult::Kind::kMessage) __builtin_trap();
  }
  const io::Address at{"127.0.0.1", 7101};
  std::string hello;
  worker::write(hello, worker::Hello{1, 0, 1U << 20, 1, 0, "x"});
  {  // a worker sends the bytes to a controller that has a call in flight
    sim::Network net;
    IgnoringEvents events;
    Peer peer;
    peer.output = hello + std::string(bytes);
    auto listener = net.listen(at, {}, [&](std::unique_ptr<io::Connection> connection) {
      return peer.connection = std::move(connection), &peer;
    });
    worker::Link link(net, WorkerId{1}, at, {}, events);
    link.call({}, "body", 1);
    link.hold("f", 1, 2);
    net.run_for(std::chrono::seconds(1));
  }
  {  // a controller sends the bytes to a worker
    sim::Network net;
    IgnoringEvents events;
    std::unique_ptr<worker::Session> session;
    auto listener = net.listen(at, {}, [&](std::unique_ptr<io::Connection> connection) {
      session = std::make_unique<worker::Session>(net, worker::Hello{}, events);
      session->attach(std::move(connection));
      return session.get();
    });
    Peer peer;
    peer.output = hello + std::string(bytes);
    peer.connection = net.connect(at, {}, peer);
    net.run_for(std::chrono::seconds(1));
  }
  return 0;
}
