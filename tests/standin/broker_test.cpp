// Checks the stand-in broker against the AMQP specification, as far as client libraries rely on it.
#include "standin/broker.h"

#include <gtest/gtest.h>

#include "amqp/endpoint.h"
#include "sim/network.h"

namespace laureltide::standin {
namespace {

using namespace amqp;
using namespace std::chrono_literals;
const io::Address kAt{"127.0.0.1", 5672};

struct Client : EndpointEvents {
  Endpoint endpoint;
  bool ready = false;
  std::string ended;
  std::vector<Method> methods;
  std::vector<std::pair<Method, Content>> contents;
  std::vector<std::uint16_t> closed;
  sim::Network& net;
  explicit Client(sim::Network& n) : endpoint(n, Endpoint::Role::kClient, {}, *this), net(n) {
    endpoint.attach(net.connect(kAt, {}, endpoint));
    net.run_until([&] { return ready; });
    endpoint.open_channel(1);
    wait<ChannelOpenOk>();
  }
  void on_ready() override { ready = true; }
  void on_method(std::uint16_t, const Method& m) override { methods.push_back(m); }
  void on_content(std::uint16_t, const Method& m, Content c) override {
    contents.emplace_back(m, std::move(c));
  }
  void on_channel_closed(std::uint16_t, std::uint16_t code, const std::string&) override {
    closed.push_back(code);
  }
  void on_ended(const std::string& why) override { ended = why; }
  template <class M>
  M wait() {
    auto find = [&] {
      return std::find_if(methods.begin(), methods.end(),
                          [](auto& m) { return std::holds_alternative<M>(m); });
    };
    EXPECT_TRUE(net.run_until([&] { return find() != methods.end(); }, 5s));
    if (find() == methods.end()) return {};
    const M m = std::get<M>(*find());
    methods.erase(find());
    return m;
  }
  template <class Ok, class M>
  Ok ask(const M& m) {
    endpoint.send(1, m);
    return wait<Ok>();
  }
  void publish(const std::string& exchange, const std::string& key, const std::string& body,
               Properties p = {}, bool mandatory = false) {
    endpoint.send_content(1, BasicPublish{0, exchange, key, mandatory, false}, p, body);
  }
  std::optional<std::string> get(const std::string& queue, bool no_ack = true) {
    const std::size_t had = contents.size();
    endpoint.send(1, BasicGet{0, queue, no_ack});
    net.run_until(
        [&] {
          return contents.size() > had || std::any_of(methods.begin(), methods.end(), [](auto& m) {
                   return std::holds_alternative<BasicGetEmpty>(m);
                 });
        },
        5s);
    std::erase_if(methods, [](auto& m) { return std::holds_alternative<BasicGetEmpty>(m); });
    if (contents.size() == had) return std::nullopt;
    return contents.back().second.body;
  }
  std::string queue(const std::string& name) {
    QueueDeclare d;
    d.queue = name;
    return ask<QueueDeclareOk>(d).queue;
  }
};

struct BrokerTest : testing::Test {
  sim::Network net;
  NoTape tape;
  Broker broker{net, {}, tape};
  void SetUp() override { ASSERT_TRUE(broker.listen(kAt)); }
};

TEST_F(BrokerTest, RoutesByEveryExchangeType) {
  Client c(net);
  for (const char* q : {"d", "f", "t", "h"}) c.queue(q);
  c.ask<QueueBindOk>(QueueBind{0, "d", "amq.direct", "red", false, {}});
  c.ask<QueueBindOk>(QueueBind{0, "f", "amq.fanout", "", false, {}});
  c.ask<QueueBindOk>(QueueBind{0, "t", "amq.topic", "ship.*.berth.#", false, {}});
  c.ask<QueueBindOk>(QueueBind{
      0, "h", "amq.headers", "", false,
      Table{}.set("x-match", std::string("any")).set("port", std::string("tema")).set("n", std::int32_t{1})});
  c.publish("amq.direct", "red", "1"), c.publish("amq.direct", "blue", "2");
  c.publish("amq.fanout", "whatever", "3");
  c.publish("amq.topic", "ship.a.berth", "4"), c.publish("amq.topic", "ship.a.b.berth", "5");
  Properties p;
  p.headers = Table{}.set("port", std::string("tema"));
  c.publish("amq.headers", "", "6", p), c.publish("amq.headers", "", "7");
  net.run_for(50ms);
  EXPECT_EQ(c.get("d"), "1");
  EXPECT_EQ(c.get("f"), "3");
  EXPECT_EQ(c.get("t"), "4");
  EXPECT_EQ(c.get("h"), "6");
  for (const char* q : {"d", "f", "t", "h"}) EXPECT_EQ(broker.depth(q), 0U) << q;
}

TEST_F(BrokerTest, MatchesTopicPatterns) {
  EXPECT_TRUE(topic_matches("#", ""));
  EXPECT_TRUE(topic_matches("#", "a.b.c"));
  EXPECT_TRUE(topic_matches("a.#", "a"));
  EXPECT_TRUE(topic_matches("a.#.z", "a.z"));
  EXPECT_TRUE(topic_matches("a.#.z", "a.b.c.z"));
  EXPECT_TRUE(topic_matches("*.b", "a.b"));
  EXPECT_FALSE(topic_matches("*", "a.b"));
  EXPECT_FALSE(topic_matches("*", ""));
  EXPECT_FALSE(topic_matches("a.*", "a"));
  EXPECT_FALSE(topic_matches("a.#.z", "a.b"));
}

TEST_F(BrokerTest, RequeuesUnackedMessagesInOrderAsRedelivered) {
  Client c(net);
  c.queue("q");
  for (const char* body : {"1", "2", "3"}) c.publish("", "q", body);
  net.run_for(20ms);
  {
    Client gone(net);
    EXPECT_EQ(gone.get("q", false), "1");
    EXPECT_EQ(gone.get("q", false), "2");
  }
  net.run_for(100ms);
  EXPECT_EQ(c.get("q"), "1");
  EXPECT_TRUE(std::get<BasicGetOk>(c.contents.back().first).redelivered);
  EXPECT_EQ(c.get("q"), "2");
  EXPECT_EQ(c.get("q"), "3");
  EXPECT_FALSE(std::get<BasicGetOk>(c.contents.back().first).redelivered);
}

TEST_F(BrokerTest, LimitsUnackedMessagesToPrefetch) {
  Client c(net);
  c.queue("q");
  c.ask<BasicQosOk>(BasicQos{0, 2, false});
  BasicConsume consume;
  consume.queue = "q";
  c.ask<BasicConsumeOk>(consume);
  for (int i = 0; i < 5; ++i) c.publish("", "q", "m");
  net.run_for(100ms);
  EXPECT_EQ(c.contents.size(), 2U);
  c.endpoint.send(1, BasicAck{2, true});
  net.run_for(100ms);
  EXPECT_EQ(c.contents.size(), 4U);
  c.endpoint.send(1, BasicNack{3, false, true});
  net.run_for(100ms);
  EXPECT_EQ(c.contents.size(), 5U);
  EXPECT_TRUE(std::get<BasicDeliver>(c.contents.back().first).redelivered);
}

TEST_F(BrokerTest, DoesNotDeliverExpiredMessages) {
  Client c(net);
  c.queue("q");
  Properties p;
  p.expiration = "50";
  c.publish("", "q", "old", p);
  net.run_for(100ms);
  EXPECT_EQ(c.get("q"), std::nullopt);
  p.expiration = "x";
  c.publish("", "q", "bad", p);
  ASSERT_TRUE(net.run_until([&] { return !c.closed.empty(); }));
  EXPECT_EQ(c.closed[0], 406);
}

TEST_F(BrokerTest, AppliesTransactionsAtomically) {
  Client c(net), other(net);
  c.queue("q"), c.queue("in");
  c.publish("", "in", "work");
  net.run_for(20ms);
  c.ask<TxSelectOk>(TxSelect{});
  EXPECT_EQ(c.get("in", false), "work");
  c.publish("", "q", "answer");
  c.endpoint.send(1, BasicAck{1, false});
  net.run_for(20ms);
  EXPECT_EQ(broker.depth("q"), 0U);
  EXPECT_EQ(broker.unacked("in"), 1U);
  c.ask<TxRollbackOk>(TxRollback{});
  c.ask<TxCommitOk>(TxCommit{});
  EXPECT_EQ(broker.depth("q"), 0U);
  c.publish("", "q", "answer");
  c.endpoint.send(1, BasicAck{1, false});
  c.ask<TxCommitOk>(TxCommit{});
  EXPECT_EQ(broker.depth("q"), 1U);
  EXPECT_EQ(broker.unacked("in"), 0U);
}

TEST_F(BrokerTest, ReturnsUnroutableMessageBeforeConfirm) {
  Client c(net);
  c.ask<ConfirmSelectOk>(ConfirmSelect{});
  c.publish("", "nobody", "lost", {}, true);
  const BasicAck ack = c.wait<BasicAck>();
  EXPECT_EQ(ack.delivery_tag, 1U);
  ASSERT_EQ(c.contents.size(), 1U);  // the return comes before the confirm
  EXPECT_EQ(std::get<BasicReturn>(c.contents[0].first).reply_code, 312);
  c.endpoint.send(1, TxSelect{});
  ASSERT_TRUE(net.run_until([&] { return !c.closed.empty(); }));
  EXPECT_EQ(c.closed[0], 406);
}

TEST_F(BrokerTest, ClosesChannelWithSpecifiedErrorCode) {
  struct Case {
    Method method;
    std::uint16_t code;
  };
  QueueDeclare passive, otherwise;
  passive.queue = "none", passive.passive = true;
  otherwise.queue = "q", otherwise.durable = true;
  BasicConsume none;
  none.queue = "none";
  ExchangeDeclare reserved;
  reserved.exchange = "amq.mine", reserved.type = "direct";
  for (const Case& k :
       {Case{passive, 404}, Case{otherwise, 406}, Case{none, 404}, Case{BasicAck{77, false}, 406},
        Case{QueueBind{0, "q", "none", "", false, {}}, 404}, Case{reserved, 403}}) {
    Client c(net);
    c.queue("q");
    c.endpoint.send(1, k.method);
    ASSERT_TRUE(net.run_until([&] { return !c.closed.empty(); }, 5s)) << name_of(k.method);
    EXPECT_EQ(c.closed[0], k.code) << name_of(k.method);
  }
}

TEST_F(BrokerTest, DeletesExclusiveQueueWithItsConnection) {
  Client c(net);
  {
    Client owner(net);
    QueueDeclare d;
    d.queue = "mine", d.exclusive = true;
    owner.ask<QueueDeclareOk>(d);
    BasicConsume consume;
    consume.queue = "mine";
    c.endpoint.send(1, consume);
    ASSERT_TRUE(net.run_until([&] { return !c.closed.empty(); }));
    EXPECT_EQ(c.closed[0], 405);
  }
  net.run_for(100ms);
  Client d(net);
  QueueDeclare passive;
  passive.queue = "mine", passive.passive = true;
  d.endpoint.send(1, passive);
  ASSERT_TRUE(net.run_until([&] { return !d.closed.empty(); }));
  EXPECT_EQ(d.closed[0], 404);
}

}  // namespace
}  // namespace laureltide::standin
