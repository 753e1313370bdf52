// Fuzzes the AMQP parsers (frames, methods, content headers) and a whole endpoint, as broker and client
// bytes.
#include "amqp/endpoint.h"
#include "sim/network.h"
#include "standin/broker.h"

using namespace laureltide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  amqp::parse_method(bytes);
  if (const auto header = amqp::parse_content_header(bytes)) {
    std::string output;
    amqp::write_content_header(output, 1, *header);
    // A parsed header that is written and parsed again must be equal.
    const auto again = amqp::parse_content_header(amqp::parse_frame(output, 0).frame.payload);
    if (!again || !(again->properties == header->properties)) __builtin_trap();
  }
  for (std::size_t offset = 0; offset < size;) {
    const amqp::FrameResult frame = amqp::parse_frame(bytes.substr(offset), 4096);
    if (frame.kind != amqp::FrameResult::Kind::kFrame) break;
    amqp::parse_method(frame.frame.payload);
    offset += frame.size;
  }
  // Sends the same bytes to a stand-in broker after a valid handshake.
  sim::Network net;
  standin::NoTape tape;
  standin::Broker broker(net, {}, tape);
  broker.declare_queue("q");
  if (!broker.listen({"127.0.0.1", 5672})) return 0;
  struct Peer : io::ConnectionEvents {
    std::unique_ptr<io::Connection> connection;
    std::string output;
    void on_open() override { connection->write(output); }
    std::size_t on_bytes(std::string_view b) override { return b.size(); }
    void on_closed(io::CloseReason) override {}
  } peer;
  peer.output = amqp::kProtocolHeader;
  amqp::write_method(peer.output, 0,
                     amqp::ConnectionStartOk{{}, "PLAIN", {std::string("\0guest\0guest", 12)}, "en_US"});
  amqp::write_method(peer.output, 0, amqp::ConnectionTuneOk{100, 4096, 0});
  amqp::write_method(peer.output, 0, amqp::ConnectionOpen{"/", "", false});
  amqp::write_method(peer.output, 1, amqp::ChannelOpen{});
  peer.output += bytes;
  peer.connection = net.connect({"127.0.0.1", 5672}, {}, peer);
  net.run_for(std::chrono::seconds(1));
  return 0;
}
