// The gateway end to end in virtual time: messages from the broker to a worker and back.
#include "gateway_fixture.h"

namespace laureltide::test {
namespace {

bool settled(GatewayFixture& fixture, Duration most = 20s) {
  return fixture.net.run_until(
      [&] { return fixture.broker.unacked("calls") == 0 && fixture.broker.depth("calls") == 0; }, most);
}

TEST(Gateway, ServesACallAndAcknowledgesIt) {
  GatewayFixture fixture;
  fixture.start();
  const std::string name = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
  EXPECT_EQ(fixture.caller->answers().find(name)->second.body, "payload of " + name);
  EXPECT_TRUE(settled(fixture));
  EXPECT_EQ(fixture.answers(name), 1U);
}

TEST(Gateway, ServesInConfirmModeToo) {
  GatewayFixture fixture(2, 1, settings("answers = \"confirm\"\n"));
  fixture.start();
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_TRUE(settled(fixture));
  EXPECT_EQ(fixture.outcome(name), "served");
}

TEST(Gateway, ServesSeveralQueuesOfOneBroker) {
  GatewayFixture fixture(2, 1, [] {
    std::string text = settings_text();
    text.replace(text.find("[\"calls\"]"), 9, "[\"calls\", \"more\"]");
    return std::make_shared<const config::Settings>(*config::parse(text, "t").settings);
  }());
  fixture.broker.declare_queue("more");
  fixture.start();
  standin::Caller other(fixture.net, {fixture.broker_at, "other", "more", "other-answers"}, fixture.tape);
  ASSERT_TRUE(fixture.net.run_until([&] { return other.ready() && fixture.broker.consumers("more") == 1; }));
  // The same name on two queues names two calls.
  other.call({"same", "gate", "", "", "", "b", {}, true});
  fixture.call("gate", {"same", "", "", "", "", "a", {}, true});
  ASSERT_TRUE(fixture.net.run_until(
      [&] { return fixture.answers("same") == 1 && other.answers().count("same") == 1; }));
  EXPECT_EQ(other.answers().find("same")->second.body, "b");
  EXPECT_EQ(fixture.run_count("same"), 2U);
}

TEST(Gateway, UnreachableBrokerDoesNotBlockAnother) {
  GatewayFixture fixture(
      2, 1,
      settings("", "[[broker]]\nname = \"second\"\naddress = \"127.0.0.1:5673\"\nqueues = [\"calls\"]\n"));
  standin::Broker second(fixture.net, {}, fixture.tape);
  fixture.start();
  fixture.net.run_for(1s);
  ASSERT_TRUE(fixture.wait_answer(fixture.call("echo")));  // the unreachable broker delays nothing
  ASSERT_TRUE(second.listen({"127.0.0.1", 5673}));
  second.declare_queue("calls");
  standin::Caller other(fixture.net, {{"127.0.0.1", 5673}, "other"}, fixture.tape);
  ASSERT_TRUE(fixture.net.run_until([&] { return other.ready() && second.consumers("calls") == 1; }, 30s));
  other.call({"there", "gate", "", "", "", "b", {}, true});
  ASSERT_TRUE(fixture.net.run_until([&] { return other.answers().count("there") == 1; }));
  EXPECT_EQ(fixture.answers("there"), 0U);
}

TEST(Gateway, MessageWithoutReplyToIsRunAndAcknowledged) {
  for (const char* mode : {"answers = \"transaction\"\n", "answers = \"confirm\"\n"}) {
    GatewayFixture fixture(2, 1, settings(mode));
    fixture.start();
    standin::CallToMake c;
    c.wants_answer = false;
    const std::string name = fixture.call("gate", c);
    ASSERT_TRUE(fixture.net.run_until(
        [&] { return fixture.run_count(name) == 1 && fixture.broker.unacked("calls") == 0; }));
    EXPECT_EQ(fixture.answers(name), 0U);
    EXPECT_EQ(fixture.broker.depth("calls"), 0U);
  }
}

// ---- Invalid messages ---------------------------------------------------------------------------------

struct InvalidMessage {
  const char* what;
  std::function<void(amqp::Properties&, std::string&)> change;
  const char* reason;
};

TEST(Gateway, InvalidMessageIsRefusedOnce) {
  const std::vector<InvalidMessage> cases = {
      {"unknown function", [](auto& p, auto&) { p.type = "nobody"; }, "unknown function"},
      {"no type", [](auto& p, auto&) { p.type.reset(); }, "type"},
      {"bad expiration", [](auto& p, auto&) { p.expiration = "0x10"; },
       ""},  // the broker rejects it: no delivery
      {"tenant is a table", [](auto& p, auto&) { p.headers->set("tenant", amqp::Table{}); }, "header tenant"},
      {"unknown tenant", [](auto& p, auto&) { p.headers->set("tenant", std::string("x")); },
       "unknown tenant"},
      {"keyed without key", [](auto& p, auto&) { p.type = "status"; }, "key"},
      {"once without name", [](auto& p, auto&) { p.type = "gate", p.message_id.reset(); }, "message-id"},
      {"over-long body", [](auto&, auto& body) { body.assign(1'000'001, 'x'); }, "1000001 bytes"},
  };
  for (const InvalidMessage& o : cases) {
    if (*o.reason == 0) continue;
    SCOPED_TRACE(o.what);
    GatewayFixture fixture;
    fixture.start();
    struct Raw : amqp::EndpointEvents {
      amqp::Endpoint* endpoint = nullptr;
      bool open = false;
      void on_ready() override { endpoint->open_channel(1); }
      void on_method(std::uint16_t, const amqp::Method& m) override {
        open |= std::holds_alternative<amqp::ChannelOpenOk>(m);
      }
      void on_content(std::uint16_t, const amqp::Method&, amqp::Content) override {}
      void on_channel_closed(std::uint16_t, std::uint16_t, const std::string&) override {}
      void on_ended(const std::string&) override {}
    } raw;
    amqp::Endpoint endpoint(fixture.net, amqp::Endpoint::Role::kClient, {}, raw);
    raw.endpoint = &endpoint;
    endpoint.attach(fixture.net.connect(fixture.broker_at, {}, endpoint));
    ASSERT_TRUE(fixture.net.run_until([&] { return raw.open; }));
    amqp::Properties p;
    std::string body = "payload";
    p.type = "echo", p.message_id = "odd", p.correlation_id = "odd", p.reply_to = "answers";
    p.headers.emplace();
    o.change(p, body);
    amqp::BasicPublish publish;
    publish.routing_key = "calls";
    endpoint.send_content(1, publish, p, body);
    ASSERT_TRUE(fixture.wait_answer("odd"));
    EXPECT_EQ(fixture.outcome("odd"), "refused");
    EXPECT_NE(fixture.reason("odd").find(o.reason), std::string::npos) << fixture.reason("odd");
    EXPECT_TRUE(settled(fixture));
    fixture.net.run_for(3s);  // it is not redelivered
    EXPECT_EQ(fixture.answers("odd"), 1U);
    std::size_t given = 0;
    for (const auto& l : fixture.tape.lines) given += l.what == "delivered" && l.fields["queue"] == "calls";
    EXPECT_EQ(given, 1U);
    EXPECT_EQ(fixture.tape.count("call"), 0U);
  }
}

TEST(Gateway, AssemblesBodyFromManyFrames) {
  GatewayFixture fixture(2, 1, settings("frame_max = 4096\n", ""), 3000);
  fixture.start();
  standin::CallToMake c;
  // Frames may not be smaller than 4096 bytes, so a long body is used to get many frames.
  c.body.assign(999'999, 'z');
  const std::string name = fixture.call("echo", c);
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
  EXPECT_EQ(fixture.caller->answers().find(name)->second.body, c.body);
}

// ---- The broker ---------------------------------------------------------------------------------------

TEST(Gateway, RedeliveredMessageJoinsOpenCallAfterConnectionLoss) {
  for (const char* mode : {"answers = \"transaction\"\n", "answers = \"confirm\"\n"})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      GatewayFixture fixture(2, seed, settings(mode));
      fixture.start();
      const std::string name = fixture.call("gate");
      ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(name) == 1; }));
      fixture.broker.break_connections("gw-0");
      ASSERT_TRUE(fixture.wait_answer(name)) << seed;
      EXPECT_EQ(fixture.outcome(name), "served");
      EXPECT_TRUE(settled(fixture));
      fixture.net.run_for(3s);
      EXPECT_EQ(fixture.answers(name), 1U) << seed;
      EXPECT_EQ(fixture.run_count(name), 1U) << seed;  // the redelivered message joined the open call
      EXPECT_GE(fixture.tape.count("delivered", name), 2U);
    }
}

TEST(Gateway, CallRunsAtMostOnceWhenConnectionDropsAtAnyMoment) {
  // The connection drops at each of 120 points in time: before, while and after the call runs and commits.
  for (int step = 0; step < 120; ++step) {
    GatewayFixture fixture(2, 3);
    fixture.start();
    fixture.call("echo", {"warm", "", "", "", "", "", {}, true});
    ASSERT_TRUE(fixture.wait_answer("warm"));
    const std::string name = fixture.call("gate");
    fixture.net.run_for(step * 2ms);
    fixture.broker.break_connections("gw-0");
    ASSERT_TRUE(fixture.wait_answer(name)) << step;
    EXPECT_TRUE(settled(fixture)) << step;
    fixture.net.run_for(5s);
    EXPECT_EQ(fixture.answers(name), 1U) << step;
    EXPECT_LE(fixture.run_count(name), 1U) << step;
    EXPECT_EQ(fixture.outcome(name), "served") << step << fixture.reason(name);
  }
}

TEST(Gateway, LostCommitOkDoesNotRepeatAnswer) {
  GatewayFixture fixture;
  fixture.start();
  fixture.broker.drop_commit_replies(1);
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(name));
  fixture.net.run_for(5s);
  EXPECT_EQ(fixture.answers(name), 1U);
  EXPECT_EQ(fixture.run_count(name), 1U);
  EXPECT_TRUE(settled(fixture));
}

TEST(Gateway, RejectedCommitIsRetriedWithSameAnswer) {
  GatewayFixture fixture;
  fixture.start();
  fixture.broker.drop_commits(1);
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_TRUE(settled(fixture));
  EXPECT_EQ(fixture.outcome(name), "served");
  EXPECT_EQ(fixture.answers(name), 1U);
  EXPECT_EQ(fixture.run_count(name), 1U);
}

TEST(Gateway, RedeliveredOnceCallFailsAfterRestartInsteadOfRunning) {
  GatewayFixture fixture;
  fixture.start();
  fixture.worker(1).set_slowdown(50), fixture.worker(2).set_slowdown(50);
  const std::string gate = fixture.call("gate"), echo = fixture.call("echo");
  ASSERT_TRUE(
      fixture.net.run_until([&] { return fixture.run_count(gate) == 1 && fixture.run_count(echo) == 1; }));
  fixture.gateway.reset();  // killed: nothing more is sent
  fixture.worker(1).set_slowdown(1), fixture.worker(2).set_slowdown(1);
  fixture.start_gateway(8);
  ASSERT_TRUE(fixture.wait_answer(gate));
  ASSERT_TRUE(fixture.wait_answer(echo));
  EXPECT_EQ(fixture.outcome(gate), "failed");
  EXPECT_EQ(fixture.outcome(echo), "served");  // safe to repeat
  EXPECT_EQ(fixture.run_count(gate), 1U);
  EXPECT_EQ(fixture.answers(gate), 1U);
}

TEST(Gateway, StopsConsumingFromBrokerThatStopsReading) {
  GatewayFixture fixture(2, 1, settings());
  fixture.start();
  fixture.broker.set_reading_paused(true, "gw-0");
  std::string body(900'000, 'b');
  for (int i = 0; i < 40; ++i) fixture.call("echo", {"", "", "", "", "", body, 30'000, true});
  fixture.net.run_for(3s);  // shorter than the broker's heartbeat timeout
  // 40 answers of 900 kB do not pile up in the transport: they wait in the gateway, bounded by prefetch.
  const std::size_t held = fixture.tape.count("answer");
  EXPECT_LE(fixture.net.unsent(fixture.broker_at), 6U << 20);
  fixture.broker.set_reading_paused(false, "gw-0");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.caller->answers().size() == 40; }, 60s));
  EXPECT_EQ(held, 0U);
  EXPECT_TRUE(settled(fixture));
}

TEST(Gateway, ReopensChannelClosedWith406WithoutLosingCalls) {
  GatewayFixture fixture;
  fixture.start();
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(name) == 1; }));
  fixture.broker.close_channels(amqp::ReplyCode::kPreconditionFailed, "told to", "gw-0");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_TRUE(fixture.log.contains("channel closed: 406 told to"));
  EXPECT_EQ(fixture.outcome(name), "served");
  EXPECT_TRUE(settled(fixture));
  EXPECT_EQ(fixture.answers(name), 1U);
  EXPECT_EQ(fixture.run_count(name), 1U);
}

TEST(Gateway, ConsumesAgainAfterBrokerCancelsConsumer) {
  GatewayFixture fixture;
  fixture.start();
  fixture.broker.cancel_consumers("gw-0");
  fixture.net.run_for(1s);
  const std::string name = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
}

TEST(Gateway, ClosesConnectionWhenHeartbeatsStop) {
  GatewayFixture fixture;
  fixture.start();
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(name) == 1; }));
  fixture.broker.set_writing_paused(true, "gw-0");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.log.contains("no heartbeat"); }, 15s));
  ASSERT_TRUE(fixture.wait_answer(name));
  fixture.net.run_for(3s);
  EXPECT_EQ(fixture.answers(name), 1U);
  EXPECT_EQ(fixture.run_count(name), 1U);
}

TEST(Gateway, HeartbeatsKeepAnIdleConnection) {
  GatewayFixture fixture;
  fixture.start();
  fixture.net.run_for(60s);
  EXPECT_EQ(fixture.tape.count("disconnected"), 0U);
}

TEST(Gateway, ChannelFlowPausesAnswers) {
  GatewayFixture fixture;
  fixture.start();
  fixture.broker.set_flow(false);
  fixture.net.run_for(10ms);
  const std::string name = fixture.call("echo");
  fixture.net.run_for(2s);
  EXPECT_EQ(fixture.answers(name), 0U);
  EXPECT_EQ(fixture.run_count(name), 1U);
  fixture.broker.set_flow(true);
  EXPECT_TRUE(fixture.wait_answer(name));
}

TEST(Gateway, TwoMessagesOfOneNameRunOnceAndAreBothAnswered) {
  GatewayFixture fixture;
  fixture.start();
  fixture.call("gate", {"same", "", "", "", "", "x", {}, true});
  fixture.call("gate", {"same", "", "", "", "", "x", {}, true});
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.answers("same") == 2; }));
  EXPECT_EQ(fixture.run_count("same"), 1U);
  EXPECT_TRUE(settled(fixture));
}

TEST(Gateway, UnroutableAnswerIsLoggedAndMessageAcknowledged) {
  GatewayFixture fixture;
  fixture.start();
  struct Nowhere : standin::Caller {
    using standin::Caller::Caller;
  };
  standin::Caller other(fixture.net, {fixture.broker_at, "other", "calls", "short-lived"}, fixture.tape);
  ASSERT_TRUE(fixture.net.run_until([&] { return other.ready(); }));
  fixture.worker(1).set_slowdown(20), fixture.worker(2).set_slowdown(20);
  other.call({"lost", "echo", "", "", "", "b", {}, true});
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count("lost") == 1; }));
  fixture.broker.delete_queue("short-lived");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.log.contains("an answer could not be routed"); }));
  EXPECT_TRUE(settled(fixture));
}

TEST(Gateway, ServesTenThousandCallsQueuedWhileDown) {
  GatewayFixture fixture(4, 1, settings("", ""));
  fixture.caller =
      std::make_unique<standin::Caller>(fixture.net, standin::CallerOptions{fixture.broker_at}, fixture.tape);
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.caller->ready(); }));
  for (int i = 0; i < 10'000; ++i)
    fixture.call(i % 4 == 0 ? "gate" : "echo", {"", "", "", "", "", "x", {}, true});
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.broker.depth("calls") == 10'000; }));
  fixture.start_gateway();
  std::size_t most = 0;
  ASSERT_TRUE(fixture.net.run_until(
      [&] {
        most = std::max(most, fixture.gateway->core().open());
        return fixture.caller->answers().size() >= 10'000;
      },
      600s));
  EXPECT_LE(most, 200U);  // prefetch
  EXPECT_TRUE(settled(fixture));
  std::size_t served = 0;
  for (const auto& [name, a] : fixture.caller->answers()) {
    EXPECT_EQ(fixture.answers(name), 1U);
    served += a.outcome == "served";
  }
  EXPECT_GT(served, 9'000U);
}

TEST(Gateway, RefusesCallsOverOpenCallLimit) {
  auto narrow = std::make_shared<config::Settings>(*settings());
  narrow->module.bounds.max_open = 3;
  GatewayFixture fixture(1, 1, narrow);
  fixture.start();
  fixture.worker(1).set_slowdown(20);
  for (int i = 0; i < 10; ++i) fixture.call("echo");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.caller->answers().size() == 10; }));
  EXPECT_LE(fixture.tape.count("ran"), 3U);
  EXPECT_EQ(fixture.gateway->core().counters().rejected, 7U);
  EXPECT_TRUE(settled(fixture));
}

// ---- Workers ------------------------------------------------------------------------------------------

TEST(Gateway, FailsOnceCallWhenWorkerResetsBeforeAnswering) {
  GatewayFixture fixture;
  fixture.start();
  for (std::uint32_t id : {1, 2}) fixture.worker(id).reset_after_calls(1000);
  const std::string gate = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(gate));
  EXPECT_EQ(fixture.outcome(gate), "failed");  // it may have run: neither retried nor refused
  EXPECT_EQ(fixture.tape.count("call", gate) - fixture.tape.count("answered", gate), 1U);
  for (std::uint32_t id : {1, 2}) fixture.worker(id).reset_after_calls(0);
  const std::string echo = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(echo));
  EXPECT_EQ(fixture.outcome(echo), "served");
}

TEST(Gateway, FailsOnceCallWhenAnswerBreaksOff) {
  GatewayFixture fixture;
  fixture.start();
  fixture.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("first"));
  for (std::uint32_t id : {1, 2}) fixture.worker(id).reset_answers(1);
  const std::string gate = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(gate));
  EXPECT_EQ(fixture.outcome(gate), "failed");
  EXPECT_EQ(fixture.run_count(gate), 1U);
  EXPECT_EQ(fixture.answers(gate), 1U);
}

TEST(Gateway, IgnoresLateDuplicateAndUnknownAnswers) {
  GatewayFixture fixture;
  fixture.start();
  fixture.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("first"));
  for (std::uint32_t id : {1, 2}) fixture.worker(id).delay_answers(1, 4s);
  const std::string late = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(late));
  EXPECT_EQ(fixture.outcome(late), "failed");
  fixture.net.run_for(6s);
  EXPECT_EQ(fixture.answers(late), 1U);
  EXPECT_TRUE(fixture.log.contains("nobody waits for any more"));
  for (std::uint32_t id : {1, 2})
    fixture.worker(id).delay_answers(0, 0s), fixture.worker(id).duplicate_answers(1),
        fixture.worker(id).send_unknown_answers(1);
  fixture.call("gate", {"again", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("again"));
  fixture.net.run_for(1s);
  EXPECT_EQ(fixture.answers("again"), 1U);
  EXPECT_EQ(fixture.outcome("again"), "served");
  EXPECT_TRUE(fixture.log.contains("an answer to a call never sent"));
}

TEST(Gateway, AnswersEachCallOnceWhenWorkerConnectionBreaks) {
  GatewayFixture fixture(1);
  fixture.start();
  fixture.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("first"));
  fixture.worker(1).set_slowdown(100);
  std::vector<std::string> names;
  for (int i = 0; i < 199; ++i) names.push_back(fixture.call("gate", {"", "", "", "", "", "", 20'000, true}));
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.tape.count("call") >= 200; }, 5s) || true);
  fixture.net.run_for(500ms);
  fixture.net.break_connections(GatewayFixture::worker_at(1));
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.caller->answers().size() == 200; }, 60s));
  for (const std::string& name : names) {
    EXPECT_EQ(fixture.answers(name), 1U);
    EXPECT_LE(fixture.run_count(name), 1U);
    // A call that reached the worker may have run; one that did not may be refused or served.
    if (fixture.outcome(name) == "refused") {
      EXPECT_EQ(fixture.run_count(name), 0U);
    }
  }
  EXPECT_TRUE(settled(fixture));
}

TEST(Gateway, WorkerRemovedFromListFinishesItsCallsOnly) {
  GatewayFixture fixture(2);
  fixture.start();
  fixture.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("first"));
  fixture.worker(1).set_slowdown(10), fixture.worker(2).set_slowdown(10);
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(name) == 1; }));
  fixture.set_worker_state(1, WorkerState::kGone), fixture.set_worker_state(2, WorkerState::kGone);
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");  // calls in flight run to their end
  const std::size_t before = fixture.tape.count("call") + fixture.tape.count("hold");
  fixture.net.run_for(1100ms);
  const std::string none = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(none));
  EXPECT_EQ(fixture.outcome(none), "refused");
  EXPECT_EQ(fixture.tape.count("call") + fixture.tape.count("hold"),
            before);  // rule 3: a worker that has left gets nothing new
}

TEST(Gateway, IgnoresOlderWorkerList) {
  GatewayFixture fixture(2);
  fixture.start();
  fixture.net.run_for(100ms);
  fixture.list.send_outdated_list(1);  // an older list without workers
  fixture.net.run_for(100ms);
  const std::string name = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
}

TEST(Gateway, AcceptsListsOfRestartedListService) {
  GatewayFixture fixture(2);
  fixture.start();
  for (int i = 0; i < 20; ++i) fixture.set_worker_state(2, WorkerState::kReady);
  fixture.net.run_for(100ms);
  fixture.list.begin_new_epoch();  // counts from 1 again, in a later epoch
  fixture.net.run_for(100ms);
  fixture.set_worker_state(1, WorkerState::kGone), fixture.set_worker_state(2, WorkerState::kGone);
  fixture.net.run_for(1500ms);
  const std::string name = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "refused");
}

TEST(Gateway, RequestsFullWorkerListAfterGap) {
  GatewayFixture fixture(2);
  fixture.start();
  fixture.net.run_for(50ms);
  fixture.list.skip_version();
  fixture.set_worker_state(1, WorkerState::kGone), fixture.set_worker_state(2, WorkerState::kGone);
  fixture.net.run_for(1500ms);
  const std::string name = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "refused");
}

TEST(Gateway, IgnoresGarbageFromListService) {
  GatewayFixture fixture(2);
  fixture.start();
  fixture.net.run_for(50ms);
  fixture.list.send_raw("{\"scope\":\"full\",\"version\":99,\"workers\":[{\"id\":1,\"at\":\"nowhere\"}]}\n");
  fixture.list.send_raw("\xff\xfe garbage\n");
  fixture.list.send_raw("[]\n");
  fixture.net.run_for(50ms);
  EXPECT_TRUE(fixture.log.contains("list passed over: worker 1: no address"));
  const std::string name = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
}

TEST(Gateway, DrainingWorkerGetsNothingNewAndCallsRunOnce) {
  // The worker's drain notice names the last id it accepted: calls still in transit are known not to have
  // run.
  GatewayFixture fixture(1);
  fixture.start();
  fixture.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("first"));
  fixture.add_worker(2);
  fixture.net.run_for(100ms);
  std::vector<std::string> names;
  for (int i = 0; i < 8; ++i) names.push_back(fixture.call("gate"));
  fixture.net.run_until([&] { return fixture.gateway->core().counters().attempts >= 2; });
  fixture.worker(1).drain();
  fixture.set_worker_state(1, WorkerState::kDraining);
  for (const std::string& name : names) {
    ASSERT_TRUE(fixture.wait_answer(name));
    EXPECT_EQ(fixture.outcome(name), "served") << fixture.reason(name);
    EXPECT_EQ(fixture.run_count(name), 1U);
  }
  const std::size_t at_one = [&] {
    std::size_t n = 0;
    for (const auto& l : fixture.tape.lines)
      n += (l.what == "call" || l.what == "hold") && l.fields["worker"] == 1;
    return n;
  }();
  fixture.net.run_for(1500ms);
  for (int i = 0; i < 20; ++i) ASSERT_TRUE(fixture.wait_answer(fixture.call("gate")));
  std::size_t after = 0;
  for (const auto& l : fixture.tape.lines)
    after += (l.what == "call" || l.what == "hold") && l.fields["worker"] == 1;
  EXPECT_EQ(after, at_one);  // rule 3: a draining worker gets nothing new
}

TEST(Gateway, RefusesWhileAllWorkersAreDownThenRecovers) {
  GatewayFixture fixture(2);
  fixture.worker(1).crash(), fixture.worker(2).crash();
  fixture.start();
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "refused");  // no connection was made, so it did not run
  fixture.worker(1).listen(GatewayFixture::worker_at(1));
  fixture.net.run_for(3s);
  const std::string later = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(later));
  EXPECT_EQ(fixture.outcome(later), "served");
}

TEST(Gateway, IgnoresWallClockJumps) {
  auto with_cold_rule = std::make_shared<config::Settings>(*settings());
  with_cold_rule->module.rules.cold_capacity_share = 0.01, with_cold_rule->module.rules.cold_duration = 20s;
  with_cold_rule->module.rules.overload_multiple = 1, with_cold_rule->module.rules.overload_duration = 1s;
  GatewayFixture fixture(1, 1, with_cold_rule);
  const std::int64_t started = fixture.net.unix_ms() - 3'600'000;
  fixture.set_worker_state(1, WorkerState::kReady, started);
  fixture.start();
  ASSERT_TRUE(fixture.wait_answer(fixture.call("gate")));
  fixture.net.wall_clock_offset_ms = -86'400'000;
  fixture.set_worker_state(1, WorkerState::kReady,
                           started);  // same start time: not a restart, so the worker is not cold
  fixture.net.run_for(20ms);
  std::vector<std::string> names;
  for (int i = 0; i < 4; ++i) names.push_back(fixture.call("gate"));
  fixture.net.run_for(15ms);
  for (const std::string& name : names) EXPECT_EQ(fixture.tape.count("call", name), 1U);  // none is delayed
  for (const std::string& name : names) {
    ASSERT_TRUE(fixture.wait_answer(name));
    EXPECT_EQ(fixture.outcome(name), "served");
  }
}

TEST(Gateway, DropsIdleLinkWhenListReportsRestart) {
  GatewayFixture fixture(1);
  fixture.set_worker_state(1, WorkerState::kReady, fixture.net.unix_ms() - 1000);
  fixture.start();
  ASSERT_TRUE(fixture.wait_answer(fixture.call("gate")));
  // The machine vanished and came back: the old connection still looks open here, but its first write would
  // be reset.
  const std::size_t before = fixture.worker(1).sessions();
  fixture.set_worker_state(1, WorkerState::kReady, fixture.net.unix_ms());
  fixture.net.run_for(100ms);
  EXPECT_EQ(fixture.worker(1).sessions(), before - 1);
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
}

TEST(Gateway, UnresponsiveWorkerHoldsCallOnlyUntilDeadline) {
  GatewayFixture fixture(2);
  fixture.start();
  fixture.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("first"));
  fixture.worker(1).set_unresponsive(true), fixture.worker(2).set_unresponsive(true);
  const Time sent = fixture.net.now();
  const std::string name = fixture.call("gate", {"", "", "", "", "", "", 1500, true});
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "failed");
  EXPECT_LE(fixture.net.now() - sent, 1520ms);
  EXPECT_EQ(fixture.gateway->core().open(), 0U);
  EXPECT_EQ(fixture.answers(name), 1U);
}

TEST(Gateway, RequestIdsWrapAround) {
  GatewayFixture fixture(2);
  fixture.first_request_id = 0xffffffffU - 3;
  fixture.start();
  fixture.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("first"));
  for (int i = 0; i < 12; ++i) {
    const std::string name = fixture.call(i % 2 ? "gate" : "echo");
    ASSERT_TRUE(fixture.wait_answer(name));
    EXPECT_EQ(fixture.outcome(name), "served");
    EXPECT_EQ(fixture.answers(name), 1U);
  }
  EXPECT_EQ(fixture.gateway->core().open(), 0U);
}

TEST(Gateway, IdOfOpenCallIsNotReused) {
  GatewayFixture fixture(2);
  fixture.first_request_id = 0xffffffffU;
  fixture.start();
  fixture.call("gate", {"first", "", "", "", "", "", {}, true});  // takes the last id
  ASSERT_TRUE(fixture.wait_answer("first"));
  fixture.worker(1).set_slowdown(60), fixture.worker(2).set_slowdown(60);
  const std::string slow = fixture.call("gate", {"", "", "", "", "", "", 20'000, true});  // id 1, stays open
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(slow) == 1; }));
  fixture.gateway->core().set_next_request_id(0);  // 0 is not a valid id, 1 is open
  fixture.worker(1).set_slowdown(1), fixture.worker(2).set_slowdown(1);
  const std::string quick = fixture.call("gate");
  ASSERT_TRUE(fixture.wait_answer(quick));
  ASSERT_TRUE(fixture.wait_answer(slow));
  EXPECT_EQ(fixture.outcome(slow), "served");
  EXPECT_EQ(fixture.caller->answers().find(slow)->second.body, "payload of " + slow);
  EXPECT_EQ(fixture.caller->answers().find(quick)->second.body, "payload of " + quick);
}

// A worker whose answers the test writes.
struct ScriptedWorker : worker::SessionEvents {
  sim::Network& net;
  std::unique_ptr<io::Listener> listener;
  std::vector<std::unique_ptr<worker::Session>> sessions;
  std::vector<std::pair<worker::Session*, worker::Call>> calls;
  explicit ScriptedWorker(sim::Network& n) : net(n) {
    listener = net.listen(GatewayFixture::worker_at(1), {}, [this](std::unique_ptr<io::Connection> c) {
      worker::Hello h;
      h.id = 1;
      sessions.push_back(std::make_unique<worker::Session>(net, h, *this));
      sessions.back()->attach(std::move(c));
      return sessions.back().get();
    });
  }
  void on_hello(worker::Session&, const worker::Hello&) override {}
  void on_end(worker::Session&) override {}
  void on_message(worker::Session& s, worker::Message m) override {
    if (const auto* hold = std::get_if<worker::Hold>(&m))
      s.send(worker::Held{hold->order, worker::HeldKind::kOk, 1});
    if (auto* call = std::get_if<worker::Call>(&m)) calls.emplace_back(&s, std::move(*call));
  }
  void piece(const std::string& body) {
    calls.back().first->send(worker::Piece{calls.back().second.id, body});
  }
  void end(const std::string& body) {
    worker::Answer a;
    a.id = calls.back().second.id, a.found = worker::FoundKind::kLoaded, a.body = body;
    calls.back().first->send(a);
  }
};

struct Streaming : testing::Test {
  GatewayFixture fixture{0, 1, settings("", R"(
[[class]]
name = "stream"
effect = "repeatable"
streamed = true
give_up_ms = 2000
[[function]]
name = "feed"
class = "stream"
)")};
  ScriptedWorker worker{fixture.net};
  void SetUp() override {
    fixture.set_worker_state(1, WorkerState::kReady);
    fixture.start();
    fixture.call("feed", {"s", "", "", "", "", "", {}, true});
    ASSERT_TRUE(fixture.net.run_until([&] { return worker.calls.size() == 1; }));
  }
};

TEST_F(Streaming, AssemblesResultFromPiecesPastDeadline) {
  worker.piece("one,");
  fixture.net.run_for(3s);  // a started stream has no deadline
  EXPECT_EQ(fixture.answers("s"), 0U);
  worker.piece("two,");
  worker.end("three");
  ASSERT_TRUE(fixture.wait_answer("s"));
  EXPECT_EQ(fixture.outcome("s"), "served");
  EXPECT_EQ(fixture.caller->answers().find("s")->second.body, "one,two,three");
  EXPECT_EQ(fixture.gateway->core().open(), 0U);
}

TEST_F(Streaming, BrokenStreamFailsWithoutRetry) {
  worker.piece("one,");
  fixture.net.run_for(10ms);
  worker.calls.back().first->abort();
  ASSERT_TRUE(fixture.wait_answer("s"));
  EXPECT_EQ(fixture.outcome("s"), "failed");
  fixture.net.run_for(3s);
  EXPECT_EQ(worker.calls.size(), 1U);
  EXPECT_EQ(fixture.gateway->core().open(), 0U);
}

TEST_F(Streaming, EndlessStreamTimesOut) {
  worker.piece("one,");
  ASSERT_TRUE(fixture.wait_answer("s", 70s));
  EXPECT_EQ(fixture.outcome("s"), "failed");
  for (int i = 0; i < 12; ++i) worker.piece(std::string(100'000, 'x'));
  fixture.net.run_for(1s);
  EXPECT_EQ(fixture.gateway->core().open(), 0U);
}

TEST_F(Streaming, OversizedResultFails) {
  for (int i = 0; i < 12; ++i) worker.piece(std::string(100'000, 'x'));
  worker.end("");
  ASSERT_TRUE(fixture.wait_answer("s"));
  EXPECT_EQ(fixture.outcome("s"), "failed");
  EXPECT_NE(fixture.reason("s").find("longer than"), std::string::npos);
}

// ---- Starting and stopping ----------------------------------------------------------------------------

TEST(Gateway, ServesFromCachedWorkerListBeforeServiceResponds) {
  GatewayFixture first(2);
  first.start();
  ASSERT_TRUE(first.net.run_until([&] { return !first.log.kept_list.empty(); }));
  first.net.run_for(10ms);
  auto elsewhere = std::make_shared<config::Settings>(*settings());
  elsewhere->list.service = io::Address{"127.0.0.1", 7999};  // nobody listens there
  GatewayFixture fixture(2, 1, elsewhere);
  fixture.gateway = std::make_unique<controller::Gateway>(fixture.net, fixture.config, fixture.log, 7);
  fixture.gateway->apply_cached_worker_list(first.log.kept_list);
  fixture.gateway->start();
  fixture.caller =
      std::make_unique<standin::Caller>(fixture.net, standin::CallerOptions{fixture.broker_at}, fixture.tape);
  ASSERT_TRUE(fixture.net.run_until(
      [&] { return fixture.caller->ready() && fixture.broker.consumers("calls") == 1; }));
  const std::string name = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
}

TEST(Gateway, DrainAnswersAcceptedCallsAndAcceptsNoNewOnes) {
  GatewayFixture fixture(2);
  fixture.start();
  fixture.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(fixture.wait_answer("first"));
  fixture.worker(1).set_slowdown(20), fixture.worker(2).set_slowdown(20);
  std::vector<std::string> taken;
  for (int i = 0; i < 5; ++i) taken.push_back(fixture.call("gate"));
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.gateway->core().open() == 5; }));
  std::optional<bool> all;
  const std::string after = fixture.call("echo");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.tape.count("delivered", after) == 1; }));
  fixture.gateway->drain([&](bool all_answered) { all = all_answered; });  // while that message is in transit
  ASSERT_TRUE(fixture.net.run_until([&] { return all.has_value(); }));
  EXPECT_EQ(fixture.tape.count("call", after), 0U);
  EXPECT_TRUE(*all);
  for (const std::string& name : taken) {
    EXPECT_TRUE(fixture.wait_answer(name));
    EXPECT_EQ(fixture.outcome(name), "served");
  }
  fixture.gateway.reset();
  fixture.net.run_for(100ms);
  EXPECT_EQ(fixture.answers(after), 0U);
  EXPECT_EQ(fixture.broker.depth("calls"), 1U);  // left for the next consumer
  fixture.worker(1).set_slowdown(1), fixture.worker(2).set_slowdown(1);
  fixture.start_gateway(9);
  EXPECT_TRUE(fixture.wait_answer(after));
}

TEST(Gateway, ReloadAppliesNewFunctionsAndIgnoresChangedBounds) {
  GatewayFixture fixture(2);
  fixture.start();
  auto more =
      std::make_shared<config::Settings>(*settings("", "[[function]]\nname = \"fresh\"\nclass = \"read\"\n"));
  const std::string before = fixture.call("fresh");
  ASSERT_TRUE(fixture.wait_answer(before));
  EXPECT_EQ(fixture.outcome(before), "refused");
  more->module.bounds.attempts_cap = 1;
  fixture.gateway->reload(more);
  EXPECT_TRUE(fixture.log.contains("a change of bounds needs a restart"));
  EXPECT_EQ(fixture.gateway->core().settings().module.bounds.attempts_cap, 6);
  const std::string after = fixture.call("fresh");
  ASSERT_TRUE(fixture.wait_answer(after));
  EXPECT_EQ(fixture.reason(after).find("unknown function"), std::string::npos);
  const std::string name = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
}

TEST(Gateway, ReloadDisconnectsRemovedBrokerAfterItsAnswers) {
  GatewayFixture fixture(2);
  fixture.start();
  ASSERT_TRUE(fixture.wait_answer(fixture.call("gate")));
  fixture.worker(1).set_slowdown(40), fixture.worker(2).set_slowdown(40);
  const std::string name = fixture.call("gate");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.run_count(name) == 1; }));
  auto without = std::make_shared<config::Settings>(*settings());
  without->brokers.clear();
  fixture.gateway->reload(without);
  ASSERT_TRUE(fixture.wait_answer(name));
  EXPECT_EQ(fixture.outcome(name), "served");
  ASSERT_TRUE(fixture.net.run_until([&] { return fixture.broker.connections() == 1; }, 5s));  // the caller's
}

TEST(Gateway, PeersConnectAndIgnoreGarbage) {
  auto with_peers = [](std::uint32_t me) {
    auto s = std::make_shared<config::Settings>(*settings());
    s->module.replica_index = me, s->module.replicas = 2, s->module.bounds.peers = true;
    s->gateway.name = "gw-" + std::to_string(me);
    s->gateway.peer_listen = io::Address{"127.0.0.1", static_cast<std::uint16_t>(7300 + me)};
    s->peers = {{0, {"127.0.0.1", 7300}, {}}, {1, {"127.0.0.1", 7301}, {}}};
    return s;
  };
  GatewayFixture fixture(2, 1, with_peers(0));
  fixture.start();
  Log log;
  controller::Gateway other(fixture.net, with_peers(1), log, 99);
  other.start();
  fixture.net.run_for(10s);
  EXPECT_GE(fixture.net.connections({"127.0.0.1", 7300}), 1U);
  EXPECT_GE(fixture.net.connections({"127.0.0.1", 7301}), 1U);
  // Garbage on the peer port only closes that connection.
  struct Noise : io::ConnectionEvents {
    bool closed = false;
    std::unique_ptr<io::Connection> c;
    void on_open() override { c->write("GET / HTTP/1.1\r\n\r\n"); }
    std::size_t on_bytes(std::string_view b) override { return b.size(); }
    void on_closed(io::CloseReason) override { closed = true; }
  } noise;
  noise.c = fixture.net.connect({"127.0.0.1", 7300}, {}, noise);
  ASSERT_TRUE(fixture.net.run_until([&] { return noise.closed; }));
  const std::string name = fixture.call("echo");
  ASSERT_TRUE(fixture.wait_answer(name));
}

// ---- Random faults and interleavings -------------------------------------------------------------------

class RandomFaults : public testing::TestWithParam<int> {};

TEST_P(RandomFaults, EachCallHasOneAnswerAndRunsAtMostOnce) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  GatewayFixture fixture(4, seed, settings(seed % 2 ? "" : "answers = \"confirm\"\n"),
                         seed % 3 == 0 ? 700 : 0);
  fixture.start();
  std::vector<std::string> names;
  const std::array<std::string, 3> functions = {"echo", "status", "gate"};
  for (int step = 0; step < 150; ++step) {
    fixture.net.run_for(std::chrono::milliseconds(fixture.net.random() % 40));
    if (fixture.caller->ready())
      for (std::uint64_t n = fixture.net.random() % 4; n > 0; --n)
        names.push_back(fixture.call(functions[fixture.net.random() % 3]));
    standin::Worker& w = fixture.worker(static_cast<std::uint32_t>(1 + fixture.net.random() % 4));
    switch (fixture.net.random() % 24) {
      case 0: fixture.broker.break_connections("gw-0"); break;
      case 1: fixture.broker.close_channels(amqp::ReplyCode::kPreconditionFailed, "by chance", "gw-0"); break;
      case 2: w.reset_after_calls(1); break;
      case 3: w.reset_answers(1); break;
      case 4: w.duplicate_answers(1), w.send_unknown_answers(1); break;
      case 5: w.delay_answers(1, 4s); break;
      case 6: w.crash(); break;
      case 7:
        if (!w.up()) w.start(w.address(), false);
        break;
      case 8: w.discard_instances(); break;
      case 9: fixture.broker.drop_commits(1); break;
      case 10: w.set_load_fails(fixture.net.random() % 2); break;
      case 11: w.set_full(fixture.net.random() % 2); break;
      case 12: fixture.net.break_connections(w.address()); break;
      case 13: w.set_unresponsive(true); break;
      case 14: w.set_unresponsive(false); break;
      default: break;
    }
  }
  for (std::uint32_t id = 1; id <= 4; ++id) {
    fixture.worker(id).set_unresponsive(false), fixture.worker(id).set_full(false),
        fixture.worker(id).set_load_fails(false);
    if (!fixture.worker(id).up()) fixture.worker(id).start(GatewayFixture::worker_at(id), false);
  }
  auto all = [&] {
    return std::all_of(names.begin(), names.end(), [&](auto& n) { return fixture.answers(n) >= 1; });
  };
  ASSERT_TRUE(fixture.net.run_until(all, 60s));
  EXPECT_TRUE(settled(fixture));
  fixture.net.run_for(5s);
  const bool confirms = seed % 2 == 0;
  for (const std::string& name : names) {
    // In confirm mode an answer whose confirm was lost is published again on redelivery, unchanged.
    EXPECT_GE(fixture.answers(name), 1U);
    EXPECT_TRUE(confirms || fixture.answers(name) == 1) << name << " " << fixture.answers(name);
    const auto [first, last] = fixture.caller->answers().equal_range(name);
    for (auto it = first; it != last; ++it) {
      EXPECT_EQ(it->second.outcome, first->second.outcome);
      if (it->second.outcome == "served") {
        EXPECT_EQ(it->second.body, "payload of " + name);
      }
    }
    if (name.starts_with("gate")) {
      EXPECT_LE(fixture.run_count(name), 1U) << name;
      if (fixture.outcome(name) == "refused") {
        EXPECT_EQ(fixture.run_count(name), 0U) << name;
      }
    }
  }
  EXPECT_EQ(fixture.gateway->core().open(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaults, testing::Range(1, 61));

}  // namespace
}  // namespace laureltide::test
