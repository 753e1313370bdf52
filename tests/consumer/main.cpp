// Makes a dispatcher, feeds it a list, a request and its outcome, and checks what it asked for.
#include <laureltide/dispatcher.h>

#include <cstdio>
#include <vector>

namespace lt = laureltide;
using namespace std::chrono_literals;

namespace {

class Recorder : public lt::ActionSink {
 public:
  void send(lt::RequestId, lt::WorkerId worker, lt::Duration) override { sent.push_back(worker); }
  void cancel(lt::RequestId, lt::AttemptNumber) override {}
  void refuse(lt::RequestId, lt::Duration) override { ++ended; }
  void fail(lt::RequestId) override { ++ended; }
  void hold(lt::WorkerId, lt::FunctionId, int) override {}
  void release(lt::WorkerId, lt::FunctionId) override {}
  void probe(lt::WorkerId) override {}
  void start_timer(lt::Duration, lt::TimerToken) override { ++timers; }
  void subscribe(bool) override {}
  void fetch_list() override {}
  void send_to_peer(std::optional<std::uint32_t>, std::span<const std::byte>) override {}
  void log(std::string_view) override {}

  std::vector<lt::WorkerId> sent;
  int ended = 0, timers = 0;
};

bool expect(bool holds, const char* what) {
  if (!holds) std::fprintf(stderr, "not so: %s\n", what);
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

  const bool good =
      expect(actions.sent == std::vector{lt::WorkerId{11}}, "the request went to the only worker") &
      expect(actions.ended == 0, "a served request gets no further answer") &
      expect(actions.timers > 0, "timers were asked for");
  std::puts(good ? "consumer: as expected" : "consumer: failed");
  return good ? 0 : 1;
}
