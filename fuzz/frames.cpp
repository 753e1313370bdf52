// Bytes of an invoker: at the frame codec, and at a link with a call, an order and a probe out.
#include "platform/link.h"
#include "sim/network.h"

using namespace laureltide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto r = platform::parse(bytes, platform::kInvokerMagic);
  if (r.kind == platform::ParseResult::Kind::kFrame && r.size > size) __builtin_trap();
  platform::field(bytes, "load");
  sim::NetworkOptions options;
  options.max_segment_bytes = 9;
  sim::Network net(options);
  struct Invoker : io::ConnectionEvents {
    std::unique_ptr<io::Connection> c;
    std::string out;
    void on_open() override { c->write(out); }
    std::size_t on_bytes(std::string_view b) override { return b.size(); }
    void on_closed(io::CloseReason) override { c.reset(); }
  };
  std::vector<std::unique_ptr<Invoker>> invokers;
  const auto listener = net.listen({"127.0.0.1", 80}, {}, [&](std::unique_ptr<io::Connection> c) {
    invokers.push_back(std::make_unique<Invoker>());
    invokers.back()->c = std::move(c), invokers.back()->out = bytes;
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
