// Fuzzes the platform's frame codec, and a link to an invoker that has a call, an order and a probe in
// flight.
#include "platform/link.h"
#include "sim/network.h"

using namespace laureltide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto result = platform::parse(bytes, platform::kInvokerMagic);
  if (result.kind == platform::ParseResult::Kind::kFrame && result.size > size) __builtin_trap();
  platform::field(bytes, "load");
  sim::NetworkOptions options;
  options.max_segment_bytes = 9;
  sim::Network net(options);
  struct Invoker : io::ConnectionEvents {
    std::unique_ptr<io::Connection> connection;
    std::string output;
    void on_open() override { connection->write(output); }
    std::size_t on_bytes(std::string_view b) override { return b.size(); }
    void on_closed(io::CloseReason) override { connection.reset(); }
  };
  std::vector<std::unique_ptr<Invoker>> invokers;
  const auto listener = net.listen({"127.0.0.1", 80}, {}, [&](std::unique_ptr<io::Connection> connection) {
    invokers.push_back(std::make_unique<Invoker>());
    invokers.back()->connection = std::move(connection), invokers.back()->output = bytes;
    return invokers.back().get();
  });
  struct Ends : worker::LinkEvents {
    int ends = 0;
    void on_call_end(WorkerId, std::uint64_t, CallEnd) override { ++ends; }
    void on_piece(WorkerId, std::uint64_t, std::string) override {}
    void on_hold_end(WorkerId, std::uint64_t, Outcome, int) override {}
    void on_probe_end(WorkerId, std::uint64_t, Outcome, LoadReport) override {}
    void on_anomaly(WorkerId, const std::string&) override {}
  } ends;
  platform::ConnectionBudget budget;
  platform::LinkOptions link_options;
  platform::Link link(net, WorkerId{1}, {"127.0.0.1", 80}, link_options, budget, ends);
  worker::Call call;
  call.name = "0101010101010101", call.function = "00000000000000aa", call.request_class = "read";
  link.call(call, "body", 1);
  link.hold("00000000000000aa", 1, 2);
  link.probe(3);
  net.run_for(std::chrono::seconds(1));
  if (ends.ends > 1) __builtin_trap();
  return 0;
}
