// Builds against the installed package: gives a dispatcher a worker list, a request and its result, and
// checks the actions.
#include <laureltide/dispatcher.h>

#include <cstdio>
#include <vector>

namespace lt = laureltide;
using namespace std::chrono_literals;

namespace {

class Recorder : public lt::ActionSink {
 public:
  void send(lt::RequestId, lt::WorkerId worker, lt::Duration) override { sent_to.push_back(worker); }
  void cancel(lt::RequestId, lt::AttemptNumber) override {}
  void refuse(lt::RequestId, lt::Duration) override { ++final_answers; }
  void fail(lt::RequestId) override { ++final_answers; }
  void hold(lt::WorkerId, lt::FunctionId, int) override {}
  void release(lt::WorkerId, lt::FunctionId) override {}
  void probe(lt::WorkerId) override {}
  void start_timer(lt::Duration, lt::TimerToken) override { ++timers; }
  void subscribe(bool) override {}
  void fetch_list() override {}
  void send_to_peer(std::optional<std::uint32_t>, std::span<const std::byte>) override {}
  void log(std::string_view) override {}

  std::vector<lt::WorkerId> sent_to;
  int final_answers = 0, timers = 0;
};

bool expect(bool holds, const char* expectation) {
  if (!holds) std::fprintf(stderr, "failed: %s\n", expectation);
  return holds;
}

}  // namespace

int main() {
  lt::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].semantics = lt::Semantics::kRepeatable;
  settings.bounds.attempts_cap = 2;
  Recorder actions;
  const lt::Time start(1s);
  lt::Dispatcher dispatcher(settings, 1, start, actions);

  lt::WorkerEntry worker;
  worker.id = lt::WorkerId{11};
  const std::vector<lt::WorkerEntry> list{worker};
  dispatcher.on(start, lt::ListUpdate{lt::ListScope::kFull, 1, list});

  lt::Request request;
  request.id = lt::RequestId{1};
  request.function = lt::FunctionId{7};
  request.deadline = start + 1s;
  dispatcher.on(start + 1ms, request);

  lt::AttemptResult result;
  result.request = request.id;
  result.worker = worker.id;
  result.outcome = lt::Outcome::kOk;
  result.terminal = true;
  dispatcher.on(start + 50ms, result);

  const bool passed =
      expect(actions.sent_to == std::vector{lt::WorkerId{11}}, "the request went to the only worker") &
      expect(actions.final_answers == 0, "a served request gets no other answer") &
      expect(actions.timers > 0, "timers were started");
  std::puts(passed ? "consumer: as expected" : "consumer: failed");
  return passed ? 0 : 1;
}
