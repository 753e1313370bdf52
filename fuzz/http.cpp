// Fuzzes the HTTP parser (bytes in one piece and in several), a server with an echo handler, and ledger
// records.
#include "http/client.h"
#include "http/server.h"
#include "ledger/record.h"
#include "sim/network.h"

using namespace laureltide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  http::Limits limits;
  limits.max_body_bytes = 4096;
  for (const auto side : {http::Parser::Side::kRequest, http::Parser::Side::kResponse}) {
    http::Parser whole(side, limits), pieces(side, limits);
    std::size_t used = 0, at = 0;
    const auto a = whole.feed(bytes, used);
    auto b = http::Parser::State::kNeedMore;
    while (at < bytes.size() && b == http::Parser::State::kNeedMore) {
      std::size_t n = 0;
      b = pieces.feed(bytes.substr(at, 3), n);
      at += n;
    }
    // The end of a message must not depend on how its bytes are split.
    if (a != b || (a == http::Parser::State::kDone && (used != at || whole.body() != pieces.body())))
      __builtin_trap();
  }
  http::split_target(bytes);
  std::string why;
  if (const auto record = ledger::parse_record(bytes, why))
    if (!ledger::parse_record(ledger::write_record(*record), why)) __builtin_trap();
  sim::Network net;
  struct Echo : http::Server::Events {
    http::Server* server = nullptr;
    void on_request(http::Server::Ticket t, http::Request r) override {
      http::Response answer;
      answer.body = r.body;
      server->respond(t, std::move(answer));
    }
    void on_client_disconnected(http::Server::Ticket) override {}
    std::string on_invalid_request(int, const std::string& reason) override { return reason; }
  } echo;
  http::Server server(net, {}, echo);
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
  return 0;
}
