// The whole path, in virtual time: what a message meets from the broker to a worker and back.
#include "gateway_fixture.h"

namespace laureltide::test {
namespace {

bool settled(GatewayFixture& town, Duration most = 20s) {
  return town.net.run_until(
      [&] { return town.broker.unacked("calls") == 0 && town.broker.depth("calls") == 0; }, most);
}

TEST(Gateway, ServesACallAndAcknowledgesIt) {
  GatewayFixture town;
  town.start();
  const std::string name = town.call("echo");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
  EXPECT_EQ(town.caller->answers().find(name)->second.body, "payload of " + name);
  EXPECT_TRUE(settled(town));
  EXPECT_EQ(town.answers(name), 1U);
}

TEST(Gateway, ServesInConfirmModeToo) {
  GatewayFixture town(2, 1, settings("answers = \"confirm\"\n"));
  town.start();
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_TRUE(settled(town));
  EXPECT_EQ(town.outcome(name), "served");
}

TEST(Gateway, SeveralQueuesOfOneBroker) {
  GatewayFixture town(2, 1, [] {
    std::string text = settings_text();
    text.replace(text.find("[\"calls\"]"), 9, "[\"calls\", \"more\"]");
    return std::make_shared<const config::Settings>(*config::parse(text, "t").settings);
  }());
  town.broker.declare_queue("more");
  town.start();
  standin::Caller other(town.net, {town.broker_at, "other", "more", "other-answers"}, town.tape);
  ASSERT_TRUE(town.net.run_until([&] { return other.ready() && town.broker.consumers("more") == 1; }));
  // The same name on two queues names two calls.
  other.call({"same", "gate", "", "", "", "b", {}, true});
  town.call("gate", {"same", "", "", "", "", "a", {}, true});
  ASSERT_TRUE(
      town.net.run_until([&] { return town.answers("same") == 1 && other.answers().count("same") == 1; }));
  EXPECT_EQ(other.answers().find("same")->second.body, "b");
  EXPECT_EQ(town.run_count("same"), 2U);
}

TEST(Gateway, SeveralBrokersInOneGateway) {
  GatewayFixture town(
      2, 1,
      settings("", "[[broker]]\nname = \"second\"\naddress = \"127.0.0.1:5673\"\nqueues = [\"calls\"]\n"));
  standin::Broker second(town.net, {}, town.tape);
  town.start();
  town.net.run_for(1s);
  ASSERT_TRUE(town.wait_answer(town.call("echo")));  // one that cannot be reached holds up nothing
  ASSERT_TRUE(second.listen({"127.0.0.1", 5673}));
  second.declare_queue("calls");
  standin::Caller other(town.net, {{"127.0.0.1", 5673}, "other"}, town.tape);
  ASSERT_TRUE(town.net.run_until([&] { return other.ready() && second.consumers("calls") == 1; }, 30s));
  other.call({"there", "gate", "", "", "", "b", {}, true});
  ASSERT_TRUE(town.net.run_until([&] { return other.answers().count("there") == 1; }));
  EXPECT_EQ(town.answers("there"), 0U);
}

TEST(Gateway, MessageWithoutReplyToIsRunAndAcknowledged) {
  for (const char* mode : {"answers = \"transaction\"\n", "answers = \"confirm\"\n"}) {
    GatewayFixture town(2, 1, settings(mode));
    town.start();
    standin::CallToMake c;
    c.wants_answer = false;
    const std::string name = town.call("gate", c);
    ASSERT_TRUE(
        town.net.run_until([&] { return town.run_count(name) == 1 && town.broker.unacked("calls") == 0; }));
    EXPECT_EQ(town.answers(name), 0U);
    EXPECT_EQ(town.broker.depth("calls"), 0U);
  }
}

// ---- What cannot be a call ----------------------------------------------------------------------------

struct Odd {
  const char* what;
  std::function<void(amqp::Properties&, std::string&)> change;
  const char* reason;
};

TEST(Gateway, MessageThatCannotBeACallIsAnsweredRefusedOnce) {
  const std::vector<Odd> odd = {
      {"unknown function", [](auto& p, auto&) { p.type = "nobody"; }, "unknown function"},
      {"no type", [](auto& p, auto&) { p.type.reset(); }, "type"},
      {"bad expiration", [](auto& p, auto&) { p.expiration = "0x10"; },
       ""},  // the broker refuses it: no delivery
      {"tenant is a table", [](auto& p, auto&) { p.headers->set("tenant", amqp::Table{}); }, "header tenant"},
      {"unknown tenant", [](auto& p, auto&) { p.headers->set("tenant", std::string("x")); },
       "unknown tenant"},
      {"keyed without key", [](auto& p, auto&) { p.type = "status"; }, "key"},
      {"once without name", [](auto& p, auto&) { p.type = "gate", p.message_id.reset(); }, "message-id"},
      {"over-long body", [](auto&, auto& body) { body.assign(1'000'001, 'x'); }, "1000001 bytes"},
  };
  for (const Odd& o : odd) {
    if (*o.reason == 0) continue;
    SCOPED_TRACE(o.what);
    GatewayFixture town;
    town.start();
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
    amqp::Endpoint endpoint(town.net, amqp::Endpoint::Role::kClient, {}, raw);
    raw.endpoint = &endpoint;
    endpoint.attach(town.net.connect(town.broker_at, {}, endpoint));
    ASSERT_TRUE(town.net.run_until([&] { return raw.open; }));
    amqp::Properties p;
    std::string body = "payload";
    p.type = "echo", p.message_id = "odd", p.correlation_id = "odd", p.reply_to = "answers";
    p.headers.emplace();
    o.change(p, body);
    amqp::BasicPublish publish;
    publish.routing_key = "calls";
    endpoint.send_content(1, publish, p, body);
    ASSERT_TRUE(town.wait_answer("odd"));
    EXPECT_EQ(town.outcome("odd"), "refused");
    EXPECT_NE(town.reason("odd").find(o.reason), std::string::npos) << town.reason("odd");
    EXPECT_TRUE(settled(town));
    town.net.run_for(3s);  // it never comes again
    EXPECT_EQ(town.answers("odd"), 1U);
    std::size_t given = 0;
    for (const auto& l : town.tape.lines) given += l.what == "delivered" && l.fields["queue"] == "calls";
    EXPECT_EQ(given, 1U);
    EXPECT_EQ(town.tape.count("call"), 0U);
  }
}

TEST(Gateway, BodyInManyFrames) {
  GatewayFixture town(2, 1, settings("frame_max = 4096\n", ""), 3000);
  town.start();
  standin::CallToMake c;
  // A smaller frame than any peer may ask for: 333 bytes a frame would be illegal, so the body is long
  // instead.
  c.body.assign(999'999, 'z');
  const std::string name = town.call("echo", c);
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
  EXPECT_EQ(town.caller->answers().find(name)->second.body, c.body);
}

// ---- The broker ---------------------------------------------------------------------------------------

TEST(Gateway, ConnectionDropsWhileAGateReleaseIsOut) {
  for (const char* mode : {"answers = \"transaction\"\n", "answers = \"confirm\"\n"})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      GatewayFixture town(2, seed, settings(mode));
      town.start();
      const std::string name = town.call("gate");
      ASSERT_TRUE(town.net.run_until([&] { return town.run_count(name) == 1; }));
      town.broker.break_connections("gw-0");
      ASSERT_TRUE(town.wait_answer(name)) << seed;
      EXPECT_EQ(town.outcome(name), "served");
      EXPECT_TRUE(settled(town));
      town.net.run_for(3s);
      EXPECT_EQ(town.answers(name), 1U) << seed;
      EXPECT_EQ(town.run_count(name), 1U) << seed;  // the redelivered message joined the open call
      EXPECT_GE(town.tape.count("delivered", name), 2U);
    }
}

TEST(Gateway, ConnectionDropsAtAnyMomentOfACall) {
  // The drop walks over the whole life of a call in small steps: before, while and after it runs and commits.
  for (int step = 0; step < 120; ++step) {
    GatewayFixture town(2, 3);
    town.start();
    town.call("echo", {"warm", "", "", "", "", "", {}, true});
    ASSERT_TRUE(town.wait_answer("warm"));
    const std::string name = town.call("gate");
    town.net.run_for(step * 2ms);
    town.broker.break_connections("gw-0");
    ASSERT_TRUE(town.wait_answer(name)) << step;
    EXPECT_TRUE(settled(town)) << step;
    town.net.run_for(5s);
    EXPECT_EQ(town.answers(name), 1U) << step;
    EXPECT_LE(town.run_count(name), 1U) << step;
    EXPECT_EQ(town.outcome(name), "served") << step << town.reason(name);
  }
}

TEST(Gateway, CommitThatIsLostOnItsWayBackIsNotAnsweredAgain) {
  GatewayFixture town;
  town.start();
  town.broker.lose_commits(1);
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.wait_answer(name));
  town.net.run_for(5s);
  EXPECT_EQ(town.answers(name), 1U);
  EXPECT_EQ(town.run_count(name), 1U);
  EXPECT_TRUE(settled(town));
}

TEST(Gateway, CommitThatNeverArrivedIsMadeAgainWithTheSameAnswer) {
  GatewayFixture town;
  town.start();
  town.broker.refuse_commits(1);
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_TRUE(settled(town));
  EXPECT_EQ(town.outcome(name), "served");
  EXPECT_EQ(town.answers(name), 1U);
  EXPECT_EQ(town.run_count(name), 1U);
}

TEST(Gateway, RedeliveredOnceCallOfAnotherLifeIsFailedNotRun) {
  GatewayFixture town;
  town.start();
  town.worker(1).set_slow(50), town.worker(2).set_slow(50);
  const std::string gate = town.call("gate"), echo = town.call("echo");
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(gate) == 1 && town.run_count(echo) == 1; }));
  town.gateway.reset();  // killed: nothing is said to anyone
  town.worker(1).set_slow(1), town.worker(2).set_slow(1);
  town.start_gateway(8);
  ASSERT_TRUE(town.wait_answer(gate));
  ASSERT_TRUE(town.wait_answer(echo));
  EXPECT_EQ(town.outcome(gate), "failed");
  EXPECT_EQ(town.outcome(echo), "served");  // safe to repeat
  EXPECT_EQ(town.run_count(gate), 1U);
  EXPECT_EQ(town.answers(gate), 1U);
}

TEST(Gateway, BrokerThatStopsReadingGetsNoMoreCallsTaken) {
  GatewayFixture town(2, 1, settings());
  town.start();
  town.broker.set_deaf(true, "gw-0");
  std::string body(900'000, 'b');
  for (int i = 0; i < 40; ++i) town.call("echo", {"", "", "", "", "", body, 30'000, true});
  town.net.run_for(3s);  // shorter than the broker's patience without a heartbeat
  // 40 answers of 900 kB wait in no transport: they stay here, and prefetch bounds them.
  const std::size_t held = town.tape.count("answer");
  EXPECT_LE(town.net.unsent(town.broker_at), 6U << 20);
  town.broker.set_deaf(false, "gw-0");
  ASSERT_TRUE(town.net.run_until([&] { return town.caller->answers().size() == 40; }, 60s));
  EXPECT_EQ(held, 0U);
  EXPECT_TRUE(settled(town));
}

TEST(Gateway, ChannelClosedWith406IsOpenedAgainAndNothingIsLost) {
  GatewayFixture town;
  town.start();
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(name) == 1; }));
  town.broker.close_channels(amqp::ReplyCode::kPreconditionFailed, "told to", "gw-0");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_TRUE(town.log.contains("channel closed: 406 told to"));
  EXPECT_EQ(town.outcome(name), "served");
  EXPECT_TRUE(settled(town));
  EXPECT_EQ(town.answers(name), 1U);
  EXPECT_EQ(town.run_count(name), 1U);
}

TEST(Gateway, ConsumerCancelledByTheBrokerConsumesAgain) {
  GatewayFixture town;
  town.start();
  town.broker.cancel_consumers("gw-0");
  town.net.run_for(1s);
  const std::string name = town.call("echo");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
}

TEST(Gateway, HeartbeatsStopAndTheConnectionIsGivenUp) {
  GatewayFixture town;
  town.start();
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(name) == 1; }));
  town.broker.set_mute(true, "gw-0");
  ASSERT_TRUE(town.net.run_until([&] { return town.log.contains("no heartbeat"); }, 15s));
  ASSERT_TRUE(town.wait_answer(name));
  town.net.run_for(3s);
  EXPECT_EQ(town.answers(name), 1U);
  EXPECT_EQ(town.run_count(name), 1U);
}

TEST(Gateway, HeartbeatsKeepAnIdleConnection) {
  GatewayFixture town;
  town.start();
  town.net.run_for(60s);
  EXPECT_EQ(town.tape.count("disconnected"), 0U);
}

TEST(Gateway, FlowStopsAnswersUntilItIsGivenBack) {
  GatewayFixture town;
  town.start();
  town.broker.set_flow(false);
  town.net.run_for(10ms);
  const std::string name = town.call("echo");
  town.net.run_for(2s);
  EXPECT_EQ(town.answers(name), 0U);
  EXPECT_EQ(town.run_count(name), 1U);
  town.broker.set_flow(true);
  EXPECT_TRUE(town.wait_answer(name));
}

TEST(Gateway, TwoMessagesOfOneNameRunOnceAndAreBothAnswered) {
  GatewayFixture town;
  town.start();
  town.call("gate", {"same", "", "", "", "", "x", {}, true});
  town.call("gate", {"same", "", "", "", "", "x", {}, true});
  ASSERT_TRUE(town.net.run_until([&] { return town.answers("same") == 2; }));
  EXPECT_EQ(town.run_count("same"), 1U);
  EXPECT_TRUE(settled(town));
}

TEST(Gateway, AnswerWithoutAQueueIsToldAndTheMessageIsAcknowledged) {
  GatewayFixture town;
  town.start();
  struct Nowhere : standin::Caller {
    using standin::Caller::Caller;
  };
  standin::Caller other(town.net, {town.broker_at, "other", "calls", "short-lived"}, town.tape);
  ASSERT_TRUE(town.net.run_until([&] { return other.ready(); }));
  town.worker(1).set_slow(20), town.worker(2).set_slow(20);
  other.call({"lost", "echo", "", "", "", "b", {}, true});
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count("lost") == 1; }));
  town.broker.drop("short-lived");
  ASSERT_TRUE(town.net.run_until([&] { return town.log.contains("an answer found no queue"); }));
  EXPECT_TRUE(settled(town));
}

TEST(Gateway, TenThousandCallsQueuedWhileItWasDown) {
  GatewayFixture town(4, 1, settings("", ""));
  town.caller =
      std::make_unique<standin::Caller>(town.net, standin::CallerOptions{town.broker_at}, town.tape);
  ASSERT_TRUE(town.net.run_until([&] { return town.caller->ready(); }));
  for (int i = 0; i < 10'000; ++i)
    town.call(i % 4 == 0 ? "gate" : "echo", {"", "", "", "", "", "x", {}, true});
  ASSERT_TRUE(town.net.run_until([&] { return town.broker.depth("calls") == 10'000; }));
  town.start_gateway();
  std::size_t most = 0;
  ASSERT_TRUE(town.net.run_until(
      [&] {
        most = std::max(most, town.gateway->core().open());
        return town.caller->answers().size() >= 10'000;
      },
      600s));
  EXPECT_LE(most, 200U);  // prefetch
  EXPECT_TRUE(settled(town));
  std::size_t served = 0;
  for (const auto& [name, a] : town.caller->answers()) {
    EXPECT_EQ(town.answers(name), 1U);
    served += a.outcome == "served";
  }
  EXPECT_GT(served, 9'000U);
}

TEST(Gateway, RefusesOverItsBoundOfOpenCalls) {
  auto narrow = std::make_shared<config::Settings>(*settings());
  narrow->module.bounds.max_open = 3;
  GatewayFixture town(1, 1, narrow);
  town.start();
  town.worker(1).set_slow(20);
  for (int i = 0; i < 10; ++i) town.call("echo");
  ASSERT_TRUE(town.net.run_until([&] { return town.caller->answers().size() == 10; }));
  EXPECT_LE(town.tape.count("ran"), 3U);
  EXPECT_EQ(town.gateway->core().counters().rejected, 7U);
  EXPECT_TRUE(settled(town));
}

// ---- Workers ------------------------------------------------------------------------------------------

TEST(Gateway, WorkerResetsAfterTakingACallAndBeforeAnswering) {
  GatewayFixture town;
  town.start();
  for (std::uint32_t id : {1, 2}) town.worker(id).take_and_reset(1000);
  const std::string gate = town.call("gate");
  ASSERT_TRUE(town.wait_answer(gate));
  EXPECT_EQ(town.outcome(gate), "failed");  // it may have run: never again, never refused
  EXPECT_EQ(town.tape.count("call", gate) - town.tape.count("answered", gate), 1U);
  for (std::uint32_t id : {1, 2}) town.worker(id).take_and_reset(0);
  const std::string echo = town.call("echo");
  ASSERT_TRUE(town.wait_answer(echo));
  EXPECT_EQ(town.outcome(echo), "served");
}

TEST(Gateway, WorkerBreaksOffInTheMiddleOfAnAnswer) {
  GatewayFixture town;
  town.start();
  town.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("first"));
  for (std::uint32_t id : {1, 2}) town.worker(id).reset_answers(1);
  const std::string gate = town.call("gate");
  ASSERT_TRUE(town.wait_answer(gate));
  EXPECT_EQ(town.outcome(gate), "failed");
  EXPECT_EQ(town.run_count(gate), 1U);
  EXPECT_EQ(town.answers(gate), 1U);
}

TEST(Gateway, WorkerAnswersAfterTheDeadlineTwiceAndForACallNeverSent) {
  GatewayFixture town;
  town.start();
  town.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("first"));
  for (std::uint32_t id : {1, 2}) town.worker(id).answer_late(1, 4s);
  const std::string late = town.call("gate");
  ASSERT_TRUE(town.wait_answer(late));
  EXPECT_EQ(town.outcome(late), "failed");
  town.net.run_for(6s);
  EXPECT_EQ(town.answers(late), 1U);
  EXPECT_TRUE(town.log.contains("nobody waits for any more"));
  for (std::uint32_t id : {1, 2})
    town.worker(id).answer_late(0, 0s), town.worker(id).answer_twice(1), town.worker(id).answer_ghosts(1);
  town.call("gate", {"again", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("again"));
  town.net.run_for(1s);
  EXPECT_EQ(town.answers("again"), 1U);
  EXPECT_EQ(town.outcome("again"), "served");
  EXPECT_TRUE(town.log.contains("an answer to a call never sent"));
}

TEST(Gateway, TwoHundredCallsInFlightOnAConnectionThatDies) {
  GatewayFixture town(1);
  town.start();
  town.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("first"));
  town.worker(1).set_slow(100);
  std::vector<std::string> names;
  for (int i = 0; i < 199; ++i) names.push_back(town.call("gate", {"", "", "", "", "", "", 20'000, true}));
  ASSERT_TRUE(town.net.run_until([&] { return town.tape.count("call") >= 200; }, 5s) || true);
  town.net.run_for(500ms);
  town.net.break_connections(GatewayFixture::worker_at(1));
  ASSERT_TRUE(town.net.run_until([&] { return town.caller->answers().size() == 200; }, 60s));
  for (const std::string& name : names) {
    EXPECT_EQ(town.answers(name), 1U);
    EXPECT_LE(town.run_count(name), 1U);
    // A call that reached the worker may have run; one that did not is free to be refused or served.
    if (town.outcome(name) == "refused") {
      EXPECT_EQ(town.run_count(name), 0U);
    }
  }
  EXPECT_TRUE(settled(town));
}

TEST(Gateway, ListSaysGoneWhileCallsAreOut) {
  GatewayFixture town(2);
  town.start();
  town.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("first"));
  town.worker(1).set_slow(10), town.worker(2).set_slow(10);
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(name) == 1; }));
  town.set_worker_state(1, WorkerState::kGone), town.set_worker_state(2, WorkerState::kGone);
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");  // what is out is heard to its end
  const std::size_t before = town.tape.count("call") + town.tape.count("hold");
  town.net.run_for(1100ms);
  const std::string none = town.call("gate");
  ASSERT_TRUE(town.wait_answer(none));
  EXPECT_EQ(town.outcome(none), "refused");
  EXPECT_EQ(town.tape.count("call") + town.tape.count("hold"), before);  // rule 3
}

TEST(Gateway, ListThatGoesBackwardsIsPassedOver) {
  GatewayFixture town(2);
  town.start();
  town.net.run_for(100ms);
  town.list.send_old(1);  // an older list that knows of nobody
  town.net.run_for(100ms);
  const std::string name = town.call("echo");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
}

TEST(Gateway, ListServiceThatWasRebornIsHeard) {
  GatewayFixture town(2);
  town.start();
  for (int i = 0; i < 20; ++i) town.set_worker_state(2, WorkerState::kReady);
  town.net.run_for(100ms);
  town.list.rebirth();  // counts from 1 again, in a later epoch
  town.net.run_for(100ms);
  town.set_worker_state(1, WorkerState::kGone), town.set_worker_state(2, WorkerState::kGone);
  town.net.run_for(1500ms);
  const std::string name = town.call("echo");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "refused");
}

TEST(Gateway, GapInTheListAsksForAFullOne) {
  GatewayFixture town(2);
  town.start();
  town.net.run_for(50ms);
  town.list.skip_version();
  town.set_worker_state(1, WorkerState::kGone), town.set_worker_state(2, WorkerState::kGone);
  town.net.run_for(1500ms);
  const std::string name = town.call("echo");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "refused");
}

TEST(Gateway, GarbageFromTheListServiceLosesNothing) {
  GatewayFixture town(2);
  town.start();
  town.net.run_for(50ms);
  town.list.send_raw("{\"scope\":\"full\",\"version\":99,\"workers\":[{\"id\":1,\"at\":\"nowhere\"}]}\n");
  town.list.send_raw("\xff\xfe garbage\n");
  town.list.send_raw("[]\n");
  town.net.run_for(50ms);
  EXPECT_TRUE(town.log.contains("list passed over: worker 1: no address"));
  const std::string name = town.call("echo");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
}

TEST(Gateway, DrainNoticeWithOrdersAndCallsQueued) {
  // The worker says that nothing above the last id was taken: what was on its way is proven not to have run.
  GatewayFixture town(1);
  town.start();
  town.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("first"));
  town.add_worker(2);
  town.net.run_for(100ms);
  std::vector<std::string> names;
  for (int i = 0; i < 8; ++i) names.push_back(town.call("gate"));
  town.net.run_until([&] { return town.gateway->core().counters().attempts >= 2; });
  town.worker(1).drain();
  town.set_worker_state(1, WorkerState::kDraining);
  for (const std::string& name : names) {
    ASSERT_TRUE(town.wait_answer(name));
    EXPECT_EQ(town.outcome(name), "served") << town.reason(name);
    EXPECT_EQ(town.run_count(name), 1U);
  }
  const std::size_t at_one = [&] {
    std::size_t n = 0;
    for (const auto& l : town.tape.lines)
      n += (l.what == "call" || l.what == "hold") && l.fields["worker"] == 1;
    return n;
  }();
  town.net.run_for(1500ms);
  for (int i = 0; i < 20; ++i) ASSERT_TRUE(town.wait_answer(town.call("gate")));
  std::size_t after = 0;
  for (const auto& l : town.tape.lines)
    after += (l.what == "call" || l.what == "hold") && l.fields["worker"] == 1;
  EXPECT_EQ(after, at_one);  // rule 3
}

TEST(Gateway, AllWorkersDownAtTheStart) {
  GatewayFixture town(2);
  town.worker(1).crash(), town.worker(2).crash();
  town.start();
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "refused");  // no connection was ever made: it did not run
  town.worker(1).listen(GatewayFixture::worker_at(1));
  town.net.run_for(3s);
  const std::string later = town.call("gate");
  ASSERT_TRUE(town.wait_answer(later));
  EXPECT_EQ(town.outcome(later), "served");
}

TEST(Gateway, WallClockJumpsChangeNothing) {
  auto with_cold_rule = std::make_shared<config::Settings>(*settings());
  with_cold_rule->module.rules.cold_capacity_share = 0.01, with_cold_rule->module.rules.cold_duration = 20s;
  with_cold_rule->module.rules.overload_multiple = 1, with_cold_rule->module.rules.overload_duration = 1s;
  GatewayFixture town(1, 1, with_cold_rule);
  const std::int64_t started = town.net.unix_ms() - 3'600'000;
  town.set_worker_state(1, WorkerState::kReady, started);
  town.start();
  ASSERT_TRUE(town.wait_answer(town.call("gate")));
  town.net.wall_clock_offset_ms = -86'400'000;
  town.set_worker_state(1, WorkerState::kReady, started);  // the same start: no restart, so it is not cold
  town.net.run_for(20ms);
  std::vector<std::string> names;
  for (int i = 0; i < 4; ++i) names.push_back(town.call("gate"));
  town.net.run_for(15ms);
  for (const std::string& name : names) EXPECT_EQ(town.tape.count("call", name), 1U);  // none is held back
  for (const std::string& name : names) {
    ASSERT_TRUE(town.wait_answer(name));
    EXPECT_EQ(town.outcome(name), "served");
  }
}

TEST(Gateway, RestartThatTheListTellsCostsNoCall) {
  GatewayFixture town(1);
  town.set_worker_state(1, WorkerState::kReady, town.net.unix_ms() - 1000);
  town.start();
  ASSERT_TRUE(town.wait_answer(town.call("gate")));
  // The machine vanished and came back: the old connection stands at our end, and its first write meets a
  // reset.
  const std::size_t before = town.worker(1).sessions();
  town.set_worker_state(1, WorkerState::kReady, town.net.unix_ms());
  town.net.run_for(100ms);
  EXPECT_EQ(town.worker(1).sessions(), before - 1);
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
}

TEST(Gateway, SilentWorkerHoldsACallOnlyUntilItsDeadline) {
  GatewayFixture town(2);
  town.start();
  town.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("first"));
  town.worker(1).set_silent(true), town.worker(2).set_silent(true);
  const Time sent = town.net.now();
  const std::string name = town.call("gate", {"", "", "", "", "", "", 1500, true});
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "failed");
  EXPECT_LE(town.net.now() - sent, 1520ms);
  EXPECT_EQ(town.gateway->core().open(), 0U);
  EXPECT_EQ(town.answers(name), 1U);
}

TEST(Gateway, RequestIdsWrapWithACallStillOpen) {
  GatewayFixture town(2);
  town.first_request_id = 0xffffffffU - 3;
  town.start();
  town.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("first"));
  for (int i = 0; i < 12; ++i) {
    const std::string name = town.call(i % 2 ? "gate" : "echo");
    ASSERT_TRUE(town.wait_answer(name));
    EXPECT_EQ(town.outcome(name), "served");
    EXPECT_EQ(town.answers(name), 1U);
  }
  EXPECT_EQ(town.gateway->core().open(), 0U);
}

TEST(Gateway, IdOfAnOpenCallIsNotGivenAgain) {
  GatewayFixture town(2);
  town.first_request_id = 0xffffffffU;
  town.start();
  town.call("gate", {"first", "", "", "", "", "", {}, true});  // takes the last id
  ASSERT_TRUE(town.wait_answer("first"));
  town.worker(1).set_slow(60), town.worker(2).set_slow(60);
  const std::string slow = town.call("gate", {"", "", "", "", "", "", 20'000, true});  // id 1, and stays open
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(slow) == 1; }));
  town.gateway->core().rewind_ids(0);  // 0 names no call, 1 is open
  town.worker(1).set_slow(1), town.worker(2).set_slow(1);
  const std::string quick = town.call("gate");
  ASSERT_TRUE(town.wait_answer(quick));
  ASSERT_TRUE(town.wait_answer(slow));
  EXPECT_EQ(town.outcome(slow), "served");
  EXPECT_EQ(town.caller->answers().find(slow)->second.body, "payload of " + slow);
  EXPECT_EQ(town.caller->answers().find(quick)->second.body, "payload of " + quick);
}

// A worker whose answers a test writes itself.
struct Puppet : worker::SessionEvents {
  sim::Network& net;
  std::unique_ptr<io::Listener> listener;
  std::vector<std::unique_ptr<worker::Session>> sessions;
  std::vector<std::pair<worker::Session*, worker::Call>> calls;
  explicit Puppet(sim::Network& n) : net(n) {
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
  GatewayFixture town{0, 1, settings("", R"(
[[class]]
name = "stream"
effect = "repeatable"
streamed = true
give_up_ms = 2000
[[function]]
name = "feed"
class = "stream"
)")};
  Puppet worker{town.net};
  void SetUp() override {
    town.set_worker_state(1, WorkerState::kReady);
    town.start();
    town.call("feed", {"s", "", "", "", "", "", {}, true});
    ASSERT_TRUE(town.net.run_until([&] { return worker.calls.size() == 1; }));
  }
};

TEST_F(Streaming, PiecesMakeTheResultAlsoPastTheDeadline) {
  worker.piece("one,");
  town.net.run_for(3s);  // a begun stream is bound to no deadline
  EXPECT_EQ(town.answers("s"), 0U);
  worker.piece("two,");
  worker.end("three");
  ASSERT_TRUE(town.wait_answer("s"));
  EXPECT_EQ(town.outcome("s"), "served");
  EXPECT_EQ(town.caller->answers().find("s")->second.body, "one,two,three");
  EXPECT_EQ(town.gateway->core().open(), 0U);
}

TEST_F(Streaming, BrokenStreamIsFailedAndNotSentAgain) {
  worker.piece("one,");
  town.net.run_for(10ms);
  worker.calls.back().first->abort();
  ASSERT_TRUE(town.wait_answer("s"));
  EXPECT_EQ(town.outcome("s"), "failed");
  town.net.run_for(3s);
  EXPECT_EQ(worker.calls.size(), 1U);
  EXPECT_EQ(town.gateway->core().open(), 0U);
}

TEST_F(Streaming, EndlessStreamIsBounded) {
  worker.piece("one,");
  ASSERT_TRUE(town.wait_answer("s", 70s));
  EXPECT_EQ(town.outcome("s"), "failed");
  for (int i = 0; i < 12; ++i) worker.piece(std::string(100'000, 'x'));
  town.net.run_for(1s);
  EXPECT_EQ(town.gateway->core().open(), 0U);
}

TEST_F(Streaming, ResultOverTheBoundIsFailed) {
  for (int i = 0; i < 12; ++i) worker.piece(std::string(100'000, 'x'));
  worker.end("");
  ASSERT_TRUE(town.wait_answer("s"));
  EXPECT_EQ(town.outcome("s"), "failed");
  EXPECT_NE(town.reason("s").find("longer than"), std::string::npos);
}

// ---- Starting and stopping ----------------------------------------------------------------------------

TEST(Gateway, CachedListServesBeforeTheServiceIsHeard) {
  GatewayFixture first(2);
  first.start();
  ASSERT_TRUE(first.net.run_until([&] { return !first.log.kept_list.empty(); }));
  first.net.run_for(10ms);
  auto elsewhere = std::make_shared<config::Settings>(*settings());
  elsewhere->list.service = io::Address{"127.0.0.1", 7999};  // nobody listens there
  GatewayFixture town(2, 1, elsewhere);
  town.gateway = std::make_unique<controller::Gateway>(town.net, town.config, town.log, 7);
  town.gateway->apply_cached_worker_list(first.log.kept_list);
  town.gateway->start();
  town.caller =
      std::make_unique<standin::Caller>(town.net, standin::CallerOptions{town.broker_at}, town.tape);
  ASSERT_TRUE(
      town.net.run_until([&] { return town.caller->ready() && town.broker.consumers("calls") == 1; }));
  const std::string name = town.call("echo");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
}

TEST(Gateway, DrainAnswersAllThatWasTakenAndTakesNoMore) {
  GatewayFixture town(2);
  town.start();
  town.call("gate", {"first", "", "", "", "", "", {}, true});
  ASSERT_TRUE(town.wait_answer("first"));
  town.worker(1).set_slow(20), town.worker(2).set_slow(20);
  std::vector<std::string> taken;
  for (int i = 0; i < 5; ++i) taken.push_back(town.call("gate"));
  ASSERT_TRUE(town.net.run_until([&] { return town.gateway->core().open() == 5; }));
  std::optional<bool> all;
  const std::string after = town.call("echo");
  ASSERT_TRUE(town.net.run_until([&] { return town.tape.count("delivered", after) == 1; }));
  town.gateway->drain([&](bool well) { all = well; });  // while that message is on its way here
  ASSERT_TRUE(town.net.run_until([&] { return all.has_value(); }));
  EXPECT_EQ(town.tape.count("call", after), 0U);
  EXPECT_TRUE(*all);
  for (const std::string& name : taken) {
    EXPECT_TRUE(town.wait_answer(name));
    EXPECT_EQ(town.outcome(name), "served");
  }
  town.gateway.reset();
  town.net.run_for(100ms);
  EXPECT_EQ(town.answers(after), 0U);
  EXPECT_EQ(town.broker.depth("calls"), 1U);  // for whoever comes next
  town.worker(1).set_slow(1), town.worker(2).set_slow(1);
  town.start_gateway(9);
  EXPECT_TRUE(town.wait_answer(after));
}

TEST(Gateway, ReloadTakesNewFunctionsAndBrokersAndKeepsTheRest) {
  GatewayFixture town(2);
  town.start();
  auto more =
      std::make_shared<config::Settings>(*settings("", "[[function]]\nname = \"fresh\"\nclass = \"read\"\n"));
  const std::string before = town.call("fresh");
  ASSERT_TRUE(town.wait_answer(before));
  EXPECT_EQ(town.outcome(before), "refused");
  more->module.bounds.attempts_cap = 1;
  town.gateway->reload(more);
  EXPECT_TRUE(town.log.contains("a change of bounds needs a restart"));
  EXPECT_EQ(town.gateway->core().settings().module.bounds.attempts_cap, 6);
  const std::string after = town.call("fresh");
  ASSERT_TRUE(town.wait_answer(after));
  EXPECT_EQ(town.reason(after).find("unknown function"), std::string::npos);
  const std::string name = town.call("echo");
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
}

TEST(Gateway, ReloadLeavesABrokerOnceItHasItsAnswers) {
  GatewayFixture town(2);
  town.start();
  ASSERT_TRUE(town.wait_answer(town.call("gate")));
  town.worker(1).set_slow(40), town.worker(2).set_slow(40);
  const std::string name = town.call("gate");
  ASSERT_TRUE(town.net.run_until([&] { return town.run_count(name) == 1; }));
  auto without = std::make_shared<config::Settings>(*settings());
  without->brokers.clear();
  town.gateway->reload(without);
  ASSERT_TRUE(town.wait_answer(name));
  EXPECT_EQ(town.outcome(name), "served");
  ASSERT_TRUE(town.net.run_until([&] { return town.broker.connections() == 1; }, 5s));  // the caller's
}

TEST(Gateway, PeersHearOfEachOther) {
  auto with_peers = [](std::uint32_t me) {
    auto s = std::make_shared<config::Settings>(*settings());
    s->module.replica_index = me, s->module.replicas = 2, s->module.bounds.peers = true;
    s->gateway.name = "gw-" + std::to_string(me);
    s->gateway.peer_listen = io::Address{"127.0.0.1", static_cast<std::uint16_t>(7300 + me)};
    s->peers = {{0, {"127.0.0.1", 7300}, {}}, {1, {"127.0.0.1", 7301}, {}}};
    return s;
  };
  GatewayFixture town(2, 1, with_peers(0));
  town.start();
  Log log;
  controller::Gateway other(town.net, with_peers(1), log, 99);
  other.start();
  town.net.run_for(10s);
  EXPECT_GE(town.net.connections({"127.0.0.1", 7300}), 1U);
  EXPECT_GE(town.net.connections({"127.0.0.1", 7301}), 1U);
  // Garbage on the peers' port ends that connection and nothing else.
  struct Noise : io::ConnectionEvents {
    bool closed = false;
    std::unique_ptr<io::Connection> c;
    void on_open() override { c->write("GET / HTTP/1.1\r\n\r\n"); }
    std::size_t on_bytes(std::string_view b) override { return b.size(); }
    void on_closed(io::CloseReason) override { closed = true; }
  } noise;
  noise.c = town.net.connect({"127.0.0.1", 7300}, {}, noise);
  ASSERT_TRUE(town.net.run_until([&] { return noise.closed; }));
  const std::string name = town.call("echo");
  ASSERT_TRUE(town.wait_answer(name));
}

// ---- The same day, any interleaving ---------------------------------------------------------------------

class AnyInterleaving : public testing::TestWithParam<int> {};

TEST_P(AnyInterleaving, TroubleOfAllKindsKeepsOneAnswerAndNoEffectTwice) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  GatewayFixture town(4, seed, settings(seed % 2 ? "" : "answers = \"confirm\"\n"), seed % 3 == 0 ? 700 : 0);
  town.start();
  std::vector<std::string> names;
  const std::array<std::string, 3> functions = {"echo", "status", "gate"};
  for (int step = 0; step < 150; ++step) {
    town.net.run_for(std::chrono::milliseconds(town.net.random() % 40));
    if (town.caller->ready())
      for (std::uint64_t n = town.net.random() % 4; n > 0; --n)
        names.push_back(town.call(functions[town.net.random() % 3]));
    standin::Worker& w = town.worker(static_cast<std::uint32_t>(1 + town.net.random() % 4));
    switch (town.net.random() % 24) {
      case 0: town.broker.break_connections("gw-0"); break;
      case 1: town.broker.close_channels(amqp::ReplyCode::kPreconditionFailed, "by chance", "gw-0"); break;
      case 2: w.take_and_reset(1); break;
      case 3: w.reset_answers(1); break;
      case 4: w.answer_twice(1), w.answer_ghosts(1); break;
      case 5: w.answer_late(1, 4s); break;
      case 6: w.crash(); break;
      case 7:
        if (!w.up()) w.start(w.address(), false);
        break;
      case 8: w.void_copies(); break;
      case 9: town.broker.refuse_commits(1); break;
      case 10: w.set_load_fails(town.net.random() % 2); break;
      case 11: w.set_full(town.net.random() % 2); break;
      case 12: town.net.break_connections(w.address()); break;
      case 13: w.set_silent(true); break;
      case 14: w.set_silent(false); break;
      default: break;
    }
  }
  for (std::uint32_t id = 1; id <= 4; ++id) {
    town.worker(id).set_silent(false), town.worker(id).set_full(false), town.worker(id).set_load_fails(false);
    if (!town.worker(id).up()) town.worker(id).start(GatewayFixture::worker_at(id), false);
  }
  auto all = [&] {
    return std::all_of(names.begin(), names.end(), [&](auto& n) { return town.answers(n) >= 1; });
  };
  ASSERT_TRUE(town.net.run_until(all, 60s));
  EXPECT_TRUE(settled(town));
  town.net.run_for(5s);
  const bool confirms = seed % 2 == 0;
  for (const std::string& name : names) {
    // With confirms an answer whose confirm was lost leaves again with the redelivery: the same answer.
    EXPECT_GE(town.answers(name), 1U);
    EXPECT_TRUE(confirms || town.answers(name) == 1) << name << " " << town.answers(name);
    const auto [first, last] = town.caller->answers().equal_range(name);
    for (auto it = first; it != last; ++it) {
      EXPECT_EQ(it->second.outcome, first->second.outcome);
      if (it->second.outcome == "served") {
        EXPECT_EQ(it->second.body, "payload of " + name);
      }
    }
    if (name.starts_with("gate")) {
      EXPECT_LE(town.run_count(name), 1U) << name;
      if (town.outcome(name) == "refused") {
        EXPECT_EQ(town.run_count(name), 0U) << name;
      }
    }
  }
  EXPECT_EQ(town.gateway->core().open(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, AnyInterleaving, testing::Range(1, 61));

}  // namespace
}  // namespace laureltide::test
