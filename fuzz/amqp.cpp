// AMQP bytes as a broker or client may send them: frames, methods, headers, and a whole endpoint.
#include "amqp/endpoint.h"
#include "sim/network.h"
#include "standin/broker.h"

using namespace laureltide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  amqp::parse_method(bytes);
  if (const auto h = amqp::parse_content_header(bytes)) {
    std::string out;
    amqp::write_content_header(out, 1, *h);
    // What was read is written back so that it reads the same.
    const auto again = amqp::parse_content_header(amqp::parse_frame(out, 0).frame.payload);
    if (!again || !(again->properties == h->properties)) __builtin_trap();
  }
  for (std::size_t at = 0; at < size;) {
    const amqp::FrameResult f = amqp::parse_frame(bytes.substr(at), 4096);
    if (f.kind != amqp::FrameResult::Kind::kFrame) break;
    amqp::parse_method(f.frame.payload);
    at += f.size;
  }
  // The same bytes behind a handshake, into a stand-in broker.
  sim::Network net;
  standin::NoTape tape;
  standin::Broker broker(net, {}, tape);
  broker.declare_queue("q");
  if (!broker.listen({"127.0.0.1", 5672})) return 0;
  struct Peer : io::ConnectionEvents {
    std::unique_ptr<io::Connection> c;
    std::string out;
    void on_open() override { c->write(out); }
    std::size_t on_bytes(std::string_view b) override { return b.size(); }
    void on_closed(io::CloseReason) override {}
  } peer;
  peer.out = amqp::kProtocolHeader;
  amqp::write_method(peer.out, 0,
                     amqp::ConnectionStartOk{{}, "PLAIN", {std::string("\0guest\0guest", 12)}, "en_US"});
  amqp::write_method(peer.out, 0, amqp::ConnectionTuneOk{100, 4096, 0});
  amqp::write_method(peer.out, 0, amqp::ConnectionOpen{"/", "", false});
  amqp::write_method(peer.out, 1, amqp::ChannelOpen{});
  peer.out += bytes;
  peer.c = net.connect({"127.0.0.1", 5672}, {}, peer);
  net.run_for(std::chrono::seconds(1));
  return 0;
}
