// Configuration, call parsing, and a complete controller in virtual time with stand-ins for the platform.
#include "node/node.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "node/configuration.h"
#include "node/intake.h"
#include "sim/network.h"
#include "standin/platform.h"

namespace laureltide::node {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using standin::InjectedFault;
using standin::PlatformBus;
using standin::PlatformClient;
using standin::PlatformInvoker;
using standin::PlatformMember;

using tests::config, tests::kBus, tests::kListen, tests::parsed, tests::settings;

const io::Address kBus2{"127.0.0.1", 4223};
io::Address invoker_at(int i) { return {"127.0.0.1", static_cast<std::uint16_t>(7000 + i)}; }

// ---- Configuration ------------------------------------------------------------------------------------

TEST(NodeConfig, ParsesSettingsLikeTheSimulator) {
  const Config c = parsed(config());
  EXPECT_EQ(c.settings.module.classes.size(), 3U);
  EXPECT_EQ(c.settings.module.classes[1].semantics, Semantics::kKeyed);
  EXPECT_EQ(c.settings.module.classes[0].give_up, Duration(1s));
  EXPECT_EQ(c.settings.module.instances.memory_mb_by_kind, std::vector<double>{4096.0});
  EXPECT_EQ(c.settings.module.rules.drain_grace, Duration(1s));
  EXPECT_EQ(c.settings.tenant_names, (std::vector<std::string>{"harbour", "yard"}));
  EXPECT_EQ(c.settings.gateway.answer_reserve, Duration(5ms));
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964ULL);
  ASSERT_EQ(c.load_columns.size(),
            3U);  // x1 is resolved by its description, which flattening writes without spaces
  EXPECT_EQ(c.load_columns[2],
            (std::pair<std::string, platform::LoadValue>("x1", platform::LoadValue::kLoads)));
  EXPECT_NE(std::find(c.unused_settings.begin(), c.unused_settings.end(), "stats.how"),
            c.unused_settings.end());
}

TEST(NodeConfig, FlattensLikeTheSimulator) {
  EXPECT_EQ(flatten(R"({"a":{"b":1.5,"c":"x y,z"},"d":[1,2],"e":[{"f":true},{"f":false}],"g":null})"),
            "a.b=1.5\na.c=x_y_z\nd=1,2\ne.count=2\ne.0.f=true\ne.1.f=false\n");
}

// A missing or invalid setting must not fall back to a default.
TEST(NodeConfig, NamesMissingRequiredKey) {
  const json good = config();
  const auto paths = {"/settings/bounds/attempts_cap",
                      "/settings/bounds/dial_timeout_ns",
                      "/settings/family_info/idle_life_ns",
                      "/settings/family_info/miss_mode",
                      "/settings/rules/drain_grace_ns",
                      "/settings/rules/cold_ns",
                      "/settings/tick_ns",
                      "/settings/classes/1/semantics",
                      "/settings/classes/0/give_up_ns",
                      "/settings/tenants/1/share",
                      "/settings/replicas_of_me",
                      "/limits/sockets",
                      "/listen",
                      "/known",
                      "/bus",
                      "/settings"};
  for (const char* path : paths) {
    json doc = good;
    const json::json_pointer at(path);
    doc.at(at.parent_pointer()).erase(at.back());
    std::string why;
    EXPECT_FALSE(parse_config(doc.dump(), why)) << path;
    EXPECT_NE(why.find(at.back()), std::string::npos) << path << ": " << why;
  }
  std::string why;
  for (const char* bad : {"", "[]", "{", "null", R"({"name":7})"})
    EXPECT_FALSE(parse_config(bad, why)) << bad;
  json odd = good;
  odd["settings"]["classes"][0]["semantics"] = "sometimes";
  EXPECT_FALSE(parse_config(odd.dump(), why));
  EXPECT_NE(why.find("sometimes"), std::string::npos);
}

// ---- Call fields --------------------------------------------------------------------------------------

front::Fields good_fields() {
  return {
      {"op", "update"},  {"call", "00000000000000a1"}, {"ttl", "800"},  {"org", "yard"},
      {"dedupe", "abc"}, {"row", "00000000000000f1"},  {"work", "8.2"}, {"more", "memory_mb:512;lanes:2"}};
}

TEST(NodeIntake, ReadsFunctionAttributesFromCall) {
  const Config c = parsed(config());
  const ParsedCall r = parse_call(good_fields(), "body", c.settings);
  ASSERT_TRUE(r.call) << r.error;
  EXPECT_EQ(r.id, 0xa1U);
  EXPECT_EQ(r.call->function->id, FunctionId{0xf1});
  EXPECT_EQ(r.call->function->request_class, 1);
  EXPECT_EQ(r.call->function->memory_mb, 512);
  EXPECT_EQ(r.call->function->lanes, 2);
  EXPECT_EQ(r.call->function->work_hint, Duration(8'200'000));
  EXPECT_EQ(r.call->tenant, 1U);
  EXPECT_EQ(r.call->key, "abc");
  EXPECT_EQ(r.call->timeout, Duration(800ms));
}

TEST(NodeIntake, NamesInvalidOrMissingField) {
  const Config c = parsed(config());
  const std::pair<const char*, std::vector<std::string>> table[] = {
      {"op", {"", "odd", "read,k=1"}},
      {"call", {"", "1", "00000000000000A1", "00000000000000a1 ", "zz000000000000a1"}},
      {"org", {"", "nobody"}},
      {"row", {"", "f1", "00000000000000F1", "00000000000000f1,units=9"}},
      {"ttl", {"", "0", "-5", "nan", "inf", "1e12", "800ms", "0x10"}},
      {"dedupe", {"", "a,b", "a=b", "a b", std::string(65, 'a'), "a\nb"}},
      {"work", {"x", "-1", "nan", "1e300", "8.2 "}},
      {"more", {"memory_mb", "memory_mb:x", "lanes:-2", "lanes:inf", ";"}}};
  for (const auto& [name, values] : table) {
    for (const std::string& value : values) {
      front::Fields fields = good_fields();
      fields[name] = value;
      const ParsedCall r = parse_call(fields, "", c.settings);
      EXPECT_FALSE(r.call) << name << "=" << value;
      EXPECT_EQ(r.error.substr(0, std::strlen(name)), name) << value;
    }
    front::Fields fields = good_fields();
    fields.erase(name);
    const bool optional = std::string(name) == "work" || std::string(name) == "more";
    EXPECT_EQ(parse_call(fields, "", c.settings).call.has_value(), optional) << name;
  }
  front::Fields unkeyed = good_fields();
  unkeyed["op"] = "read", unkeyed.erase("dedupe");
  EXPECT_TRUE(parse_call(unkeyed, "", c.settings).call);
  unkeyed["dedupe"] = "a,w=9";  // would be forwarded as another field
  EXPECT_FALSE(parse_call(unkeyed, "", c.settings).call);
}

TEST(NodeIntake, SendsPushbackOnlyWhenSettingsAllow) {
  controller::Answer refused;
  refused.kind = controller::Answer::Kind::kRefused, refused.retry_after = 70500us;
  EXPECT_EQ(to_reply(refused, true, 1s).fields.at("pushback"), "71");
  EXPECT_EQ(to_reply(refused, true, 50ms).fields.at("pushback"), "50");
  EXPECT_TRUE(to_reply(refused, false, 1s).fields.empty());
  refused.retry_after = {};
  EXPECT_TRUE(to_reply(refused, true, 1s).fields.empty());
}

// ---- Complete controller ------------------------------------------------------------------------------

struct NodeTest : testing::Test {
  sim::Network net;
  PlatformBus bus{net, kBus};
  std::vector<std::unique_ptr<PlatformInvoker>> invokers;
  std::vector<std::string> lines;
  std::unique_ptr<Node> node;
  std::uint64_t next_id = 0x1000;

  static PlatformMember member(int i, const std::string& phase = "active") {
    return {"s-" + std::to_string(i), invoker_at(i), phase, i % 2, 0};
  }
  void SetUp() override {
    std::vector<PlatformMember> members;
    for (int i = 1; i <= 3; ++i) {
      invokers.push_back(std::make_unique<PlatformInvoker>(net, PlatformInvoker::Options{invoker_at(i)}));
      invokers.back()->start();
      members.push_back(member(i));
    }
    bus.start();
    bus.publish(members);
    start(config(bus.known()));
  }
  void start(const json& doc) {
    node = std::make_unique<Node>(net, parsed(doc),
                                  [this](Severity, const std::string& line) { lines.push_back(line); });
    ASSERT_TRUE(node->start());
  }
  PlatformInvoker& invoker(int i) { return *invokers[static_cast<std::size_t>(i - 1)]; }

  front::Fields fields(const std::string& op = "read") {
    front::Fields f{{"op", op},
                    {"call", platform::id_text(next_id++)},
                    {"ttl", "900"},
                    {"org", "yard"},
                    {"row", "00000000000000f1"},
                    {"work", "8"}};
    if (op == "update") f["dedupe"] = "key-" + f["call"];
    return f;
  }
  static std::string kind(const PlatformClient& c, std::int32_t number) {
    if (c.replies().count(number) != 1) return std::to_string(c.replies().count(number)) + " answers";
    return c.replies().find(number)->second.kind;
  }
  std::optional<WorkerState> state(int i) const {
    const auto number = node->invoker_list().worker_id_of("s-" + std::to_string(i));
    const members::Member* m = number ? node->core().list().find(WorkerId{*number}) : nullptr;
    return m ? std::optional(m->state) : std::nullopt;
  }
  std::size_t run_count(std::uint64_t id) const {
    std::size_t n = 0;
    for (const auto& i : invokers)
      for (const auto& seen : i->calls()) n += seen.id == id;
    return n;
  }
};

TEST_F(NodeTest, IsReadyAtOnceAndReturnsAnswersUnchanged) {
  PlatformClient client(net, kListen);
  client.health();
  net.run_for(10ms);
  EXPECT_TRUE(client.replies().find(1)->second.good);
  const auto n = client.call(fields(), std::string("any\0bytes", 9));
  net.run_for(1s);
  ASSERT_EQ(kind(client, n), "served");
  EXPECT_EQ(client.replies().find(n)->second.body, std::string("answer to any\0bytes", 19));
}

TEST_F(NodeTest, AnswersEachCallOnceUnderManyFaults) {
  PlatformClient client(net, kListen);
  std::vector<std::int32_t> numbers;
  for (int i = 0; i < 600; ++i) {
    numbers.push_back(client.call(fields(i % 3 == 0 ? "read" : i % 3 == 1 ? "update" : "release"), "b"));
    if (i % 40 == 7) invoker(1 + i % 3).inject_fault(static_cast<InjectedFault>(1 + (i / 40) % 8));
    if (i == 300) invoker(2).stop();
    if (i == 400) invoker(2).start();
    net.run_for(10ms);
  }
  net.run_for(3s);
  std::size_t served = 0;
  for (const auto n : numbers) {
    EXPECT_EQ(client.replies().count(n), 1U) << n;
    served += kind(client, n) == "served";
  }
  EXPECT_GT(served, numbers.size() * 8 / 10);
  EXPECT_EQ(node->core().open(), 0U);
  EXPECT_EQ(node->open_body_bytes(), 0U);
}

TEST_F(NodeTest, DoesNotRepeatOnceCallThatMayHaveRun) {
  PlatformClient client(net, kListen);
  client.call(fields("release"), "warm");
  net.run_for(1s);
  for (int i = 1; i <= 3; ++i) invoker(i).inject_fault(InjectedFault::kReset);
  front::Fields f = fields("release");
  const std::uint64_t id = *platform::parse_id(f["call"]);
  const auto n = client.call(f, "b");
  net.run_for(2s);
  EXPECT_EQ(kind(client, n), "failed");
  EXPECT_EQ(run_count(id), 1U);
}

TEST_F(NodeTest, RejectsIdOfOpenOrRecentCall) {
  PlatformClient client(net, kListen), other(net, kListen);
  front::Fields f = fields();
  const std::uint64_t id = *platform::parse_id(f["call"]);
  const auto first = client.call(f, "first");
  net.run_for(5ms);
  const auto second = other.call(f, "second");
  net.run_for(1s);
  EXPECT_EQ(kind(client, first), "served");
  EXPECT_EQ(kind(other, second), "exception");
  const auto third = other.call(f, "third");
  net.run_for(1s);
  EXPECT_EQ(kind(other, third), "exception");
  for (const auto& i : invokers)
    for (const auto& seen : i->calls())
      if (seen.id == id) {
        EXPECT_EQ(seen.body, "first");
      }
}

TEST_F(NodeTest, ForwardsNothingOfInvalidCall) {
  PlatformClient client(net, kListen);
  front::Fields f = fields("update");
  f["dedupe"] = "a,k=00000000000000f2";
  const auto n = client.call(f, "b");
  net.run_for(1s);
  EXPECT_EQ(kind(client, n), "exception");
  for (const auto& i : invokers) EXPECT_TRUE(i->calls().empty() && i->orders() == 0);
}

TEST_F(NodeTest, ServesOthersDespiteMisbehavingClients) {
  PlatformClient good(net, kListen);
  good.call(fields(), "warm");
  net.run_for(1s);
  std::vector<std::unique_ptr<PlatformClient>> bad;
  for (int i = 0; i < 300; ++i) bad.push_back(std::make_unique<PlatformClient>(net, kListen));
  for (int i = 0; i < 30; ++i) bad[static_cast<std::size_t>(i)]->raw(std::string(60'000, '\xff'));
  net.run_for(50ms);
  PlatformClient late(net, kListen);
  const auto n = late.call(fields(), "b");
  net.run_for(500ms);
  EXPECT_EQ(kind(late, n), "served");
  EXPECT_LE(node->clients(), 110U);
}

TEST_F(NodeTest, SendsNothingNewToLeavingInvoker) {
  PlatformClient client(net, kListen);
  for (int i = 0; i < 30; ++i) client.call(fields(), "b"), net.run_for(20ms);
  bus.publish({member(1, "leaving")});
  net.run_for(200ms);
  const std::size_t calls = invoker(1).calls().size(), orders = invoker(1).orders();
  for (int i = 0; i < 100; ++i) client.call(fields(), "b"), net.run_for(50ms);
  EXPECT_EQ(invoker(1).calls().size(), calls);
  EXPECT_EQ(invoker(1).orders(), orders);
}

TEST_F(NodeTest, AppliesDrainPublishedWhileDisconnected) {
  PlatformClient client(net, kListen);
  for (int i = 0; i < 30; ++i) client.call(fields(), "b"), net.run_for(20ms);
  bus.stop();
  bus.publish({member(1, "leaving")});
  net.run_for(1s);
  bus.start();
  net.run_for(1s);
  const std::size_t calls = invoker(1).calls().size();
  for (int i = 0; i < 50; ++i) client.call(fields(), "b"), net.run_for(50ms);
  EXPECT_EQ(invoker(1).calls().size(), calls);
}

TEST_F(NodeTest, GivesNewNumberToInvokerAtReusedAddress) {
  PlatformClient client(net, kListen);
  for (int i = 0; i < 10; ++i) client.call(fields(), "b"), net.run_for(50ms);
  const auto before = *node->invoker_list().worker_id_of("s-1");
  bus.publish({member(1, "left"), {"s-9", invoker_at(1), "active", 1, 0}});
  net.run_for(100ms);
  EXPECT_FALSE(node->invoker_list().worker_id_of("s-1"));
  EXPECT_NE(*node->invoker_list().worker_id_of("s-9"), before);
  for (int i = 0; i < 20; ++i) {
    const auto n = client.call(fields(), "b");
    net.run_for(300ms);
    EXPECT_EQ(kind(client, n), "served");
  }
}

TEST_F(NodeTest, SkipsGapThatBusCannotFill) {
  bus.set_skip(2);
  bus.publish({member(1, "leaving")}), bus.publish({member(2, "leaving")});
  net.run_for(3s);
  EXPECT_EQ(node->invoker_list().last(), 3U);
  EXPECT_EQ(node->core().list().find(WorkerId{*node->invoker_list().worker_id_of("s-2")})->state,
            WorkerState::kDraining);
}

// The missing event reports a drain. The full history has it and is requested before later events are
// applied.
TEST_F(NodeTest, FillsGapFromFullHistory) {
  bus.set_skip(2, true);
  bus.publish({member(1, "leaving")}), bus.publish({member(2, "leaving")});
  net.run_for(1s);
  EXPECT_EQ(node->invoker_list().last(), 3U);
  EXPECT_EQ(state(1), WorkerState::kDraining);
  EXPECT_EQ(state(2), WorkerState::kDraining);
  EXPECT_EQ(state(3), WorkerState::kReady);
}

TEST_F(NodeTest, AppliesEventsAfterUnreadableOne) {
  bus.publish_raw("{\"topology\":"), bus.publish({member(1, "leaving")});
  net.run_for(1s);
  EXPECT_EQ(node->invoker_list().last(), 3U);
  EXPECT_EQ(state(1), WorkerState::kDraining);
  EXPECT_EQ(state(2), WorkerState::kReady);
}

// The event is corrupted only in transit, so a second request returns it intact.
TEST_F(NodeTest, RequestsCorruptedEventAgain) {
  bus.publish_raw("noise");
  bus.replace_event(2, standin::platform_event(2, false, {member(1, "leaving")}));
  net.run_for(1s);
  EXPECT_EQ(bus.last_asked_from(), 1U);
  EXPECT_EQ(node->invoker_list().last(), 2U);
  EXPECT_EQ(state(1), WorkerState::kDraining);
}

TEST_F(NodeTest, FullListRemovesWorkersThatItOmits) {
  PlatformClient client(net, kListen);
  for (int i = 0; i < 30; ++i) client.call(fields(), "b"), net.run_for(20ms);
  bus.publish_full_list({member(2), member(3)});
  net.run_for(200ms);
  EXPECT_FALSE(node->invoker_list().worker_id_of("s-1"));
  const std::size_t calls = invoker(1).calls().size(), orders = invoker(1).orders();
  for (int i = 0; i < 50; ++i) client.call(fields(), "b"), net.run_for(50ms);
  EXPECT_EQ(invoker(1).calls().size(), calls);
  EXPECT_EQ(invoker(1).orders(), orders);
}

// The reloaded configuration has newer events than the bus connection, which is silent.
TEST_F(NodeTest, ReloadAppliesKnownDrainsAtOnce) {
  net.run_for(100ms);
  bus.set_silent(true);
  bus.publish({member(1, "leaving")}), bus.publish({member(2, "leaving")});
  node->reload(config(bus.known()).dump());
  EXPECT_EQ(state(1), WorkerState::kDraining);
  EXPECT_EQ(state(2), WorkerState::kDraining);
  bus.set_silent(false);
  bus.publish({member(2, "left")});
  net.run_for(5s);
  EXPECT_EQ(node->invoker_list().last(), 4U);
  EXPECT_FALSE(node->invoker_list().worker_id_of("s-2"));
}

// The known events lack one that reports a drain: later ones must wait for the bus.
TEST_F(NodeTest, ReloadWithGapInKnownEventsSkipsNothing) {
  net.run_for(100ms);
  bus.set_silent(true);
  bus.publish({member(1, "leaving")}), bus.publish({member(2, "leaving")});
  json with_gap = json::parse(bus.known());
  with_gap["batch"].erase(1);
  node->reload(config(with_gap.dump()).dump());
  EXPECT_EQ(node->invoker_list().last(), 1U);
  bus.set_silent(false);
  net.run_for(3s);
  EXPECT_EQ(node->invoker_list().last(), 3U);
  EXPECT_EQ(state(1), WorkerState::kDraining);
}

// ---- Log lines and lost bus connections ---------------------------------------------------------------

TEST_F(NodeTest, LogsBeginAndEndOfDiscoveryOutage) {
  net.run_for(2s);
  const auto count_logged = [&](const char* part) {
    return std::count_if(lines.begin(), lines.end(),
                         [&](const std::string& l) { return l.find(part) != std::string::npos; });
  };
  EXPECT_EQ(count_logged("discovery: "), 0);
  bus.stop();
  net.run_for(20s);
  EXPECT_EQ(count_logged("discovery: no data for"), 1);
  EXPECT_EQ(count_logged("keeping the list as of event 1"), 1);
  EXPECT_GE(count_logged("discovery_heard_ms_ago=1"), 1);  // 10 s or more
  bus.start();
  bus.publish({member(1, "leaving")});
  net.run_for(3s);
  EXPECT_EQ(count_logged("discovery: data received again after"), 1);
  EXPECT_EQ(count_logged("list: event 2 changes 1 of 3 workers: s-1 (worker 1) ready->draining"), 1);
}

TEST_F(NodeTest, CountsCallEndsAndLogsThemOnRequest) {
  node.reset();
  node = std::make_unique<Node>(
      net, parsed(config(bus.known())), [this](Severity, const std::string& line) { lines.push_back(line); },
      true);
  ASSERT_TRUE(node->start());
  PlatformClient client(net, kListen);
  front::Fields f = fields();
  client.call(f, "b");
  net.run_for(11s);
  const auto was_logged = [&](const std::string& part) {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const std::string& l) { return l.find(part) != std::string::npos; });
  };
  EXPECT_TRUE(was_logged("call " + f["call"] + " class read end So attempts w"));
  EXPECT_TRUE(was_logged("calls_ended=So:1"));
}

// The bus connection breaks within an event, and the next one never sends a byte.
TEST_F(NodeTest, LearnsOfDrainAfterBreakAndSilentReconnect) {
  net.run_for(2s);
  bus.ignore_next_requests(1);
  bus.truncate_next_event();
  bus.publish({member(1, "leaving")});
  net.run_for(1500ms);
  EXPECT_EQ(state(1), WorkerState::kDraining);
}

// The bus refuses connections for longer than the allowed silence.
TEST_F(NodeTest, KeepsReconnectingWhenBusRefuses) {
  net.run_for(2s);
  bus.stop();
  bus.publish({member(1, "leaving")});
  net.run_for(8s);
  bus.start();
  net.run_for(1s);
  EXPECT_EQ(state(1), WorkerState::kDraining);
}

// The connect was never answered, so no byte was sent and a retry is safe even for a call that must not run
// twice.
TEST_F(NodeTest, RefusesCallThatNeverLeft) {
  json doc = config(bus.known());
  doc["settings"]["bounds"]["dial_timeout_ns"] = 5'000'000'000;
  doc["settings"]["family_info"]["miss_mode"] = "load";
  node.reset();
  start(doc);
  for (int i = 1; i <= 3; ++i) net.set_silent(invoker_at(i), true);
  PlatformClient client(net, kListen);
  const auto n = client.call(fields("release"), "b");
  net.run_for(1s);
  EXPECT_EQ(kind(client, n), "refused");
}

TEST_F(NodeTest, ReloadMovesBusUnderLoadAndIgnoresBadFile) {
  PlatformClient client(net, kListen);
  std::vector<std::int32_t> numbers;
  PlatformBus other(net, kBus2);
  other.start();
  other.publish({member(1), member(2), member(3)});
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 10; ++i) numbers.push_back(client.call(fields(), "b")), net.run_for(10ms);
    node->reload("{\"name\":");
    EXPECT_NE(lines.back().find("keeping the old configuration"), std::string::npos);
    const bool second = round % 2 == 0;
    node->reload(config(second ? other.known() : bus.known(), second ? kBus2 : kBus).dump());
    (second ? other : bus).publish({member(3, round % 3 == 0 ? "leaving" : "active")});
    if (second)
      bus.publish({member(3)});
    else
      other.publish({member(3)});
    net.run_for(500ms);
    EXPECT_EQ(node->feed().bus(), second ? kBus2 : kBus);
  }
  net.run_for(2s);
  for (const auto n : numbers) EXPECT_EQ(kind(client, n), "served") << n;
  EXPECT_EQ(node->invoker_list().last(), 7U);
}

TEST_F(NodeTest, DrainServesLateCallsAndAnswersAll) {
  PlatformClient client(net, kListen);
  std::vector<std::int32_t> numbers;
  numbers.push_back(client.call(fields(), "warm"));
  net.run_for(1s);
  numbers.push_back(client.call(fields(), "open"));
  net.run_for(1ms);
  bool ended = false;
  Time at{};
  node->drain([&] { ended = true, at = net.now(); });
  const Time began = net.now();
  net.run_for(300ms);
  PlatformClient late(net, kListen);  // on a new connection
  const auto n = late.call(fields(), "late");
  net.run_for(350ms);
  numbers.push_back(client.call(fields(), "last"));
  const auto health = late.call({}, "");
  net.run_for(2s);
  EXPECT_TRUE(ended);
  EXPECT_GE(at - began, Duration(700ms));
  EXPECT_LT(at - began, Duration(1900ms));
  for (const auto number : numbers) EXPECT_EQ(kind(client, number), "served");
  EXPECT_EQ(kind(late, n), "served");
  EXPECT_EQ(kind(late, health), "exception");
  PlatformClient too_late(net, kListen);
  net.run_for(100ms);
  EXPECT_TRUE(too_late.closed());
}

TEST_F(NodeTest, IgnoresSecondDrain) {
  bool first = false, second = false;
  node->drain([&] { first = true; });
  net.run_for(600ms);
  node->drain([&] { second = true; });
  net.run_for(600ms);
  EXPECT_TRUE(first);
  EXPECT_FALSE(second);
}

// Ten times as many calls, clients, functions and invokers must leave tables of the same size.
TEST_F(NodeTest, TableSizesDoNotGrowWithTime) {
  const auto play = [&](int rounds) {
    for (int r = 0; r < rounds; ++r) {
      PlatformClient client(net, kListen);
      for (int i = 0; i < 20; ++i) {
        front::Fields f = fields(i % 2 ? "read" : "update");
        f["row"] = platform::id_text(next_id * 7);
        client.call(f, "b");
      }
      net.run_for(100ms);
      const std::string name = "t-" + std::to_string(next_id);
      bus.publish({{name, invoker_at(1), "active", 0, 0}});
      net.run_for(50ms);
      bus.publish({{name, invoker_at(1), "left", 0, 0}});
      net.run_for(50ms);
    }
    net.run_for(11min);
    const auto s = node->core().sizes();
    EXPECT_EQ(s.open, 0U);
    EXPECT_EQ(s.orders, 0U);
    return std::array<std::size_t, 7>{s.names,
                                      s.worker_links,
                                      s.members,
                                      s.pending_timers,
                                      node->id_count(),
                                      node->invoker_list().names(),
                                      node->open_body_bytes()};
  };
  const auto few = play(5), many = play(50);
  EXPECT_EQ(few, many);
}

TEST_F(NodeTest, BoundsFunctionNamesUnderBurst) {
  controller::Core::Options options;
  options.max_function_names = 100;
  struct Events : controller::CoreEvents {
    void on_call_finished(const controller::CallSummary&) override {}
    void on_log(const std::string&) override {}
    void on_anomaly(const std::string&) override {}
    void on_send_to_peer(std::optional<std::uint32_t>, std::span<const std::byte>) override {}
  } events;
  controller::Core core(net, std::make_shared<config::Settings>(parsed(config()).settings), events, options);
  for (int i = 0; i < 450; ++i) {
    front::Fields f = fields();
    f["row"] = platform::id_text(0x10'000ULL + static_cast<std::uint64_t>(i));
    ParsedCall r = parse_call(f, "", core.settings());
    core.take(std::move(*r.call), [](controller::Answer) {});
    EXPECT_LE(core.sizes().names, 100U);
    if (i % 7 == 0) net.run_for(1ms);
  }
  net.run_for(5s);
}

// The core can have forgotten a function's name under a flood of others. Its order is not sent then; the
// worker is as good as before.
TEST_F(NodeTest, OrderForAForgottenNameDoesNotMakeTheWorkerSuspect) {
  node->core().hold(WorkerId{1}, FunctionId{0xdead}, 1);
  net.run_for(1s);  // the result is handled with the module's next event
  for (const std::string& line : lines) EXPECT_EQ(line.find("suspect"), std::string::npos) << line;
}

TEST_F(NodeTest, RefusesCallsBeyondMemoryLimit) {
  node.reset();
  json doc = config(bus.known());
  doc["limits"]["memory_mb"] = 1;  // a quarter of it holds 16 bodies of 16 KiB
  start(doc);
  for (auto& i : invokers) i->inject_fault(InjectedFault::kNoAnswer, 100);
  PlatformClient client(net, kListen);
  for (int i = 0; i < 30; ++i) client.call(fields(), std::string(16 << 10, 'x'));
  net.run_for(30ms);
  EXPECT_LE(node->open_body_bytes(), 256U << 10);
  std::size_t refused = 0;
  for (const auto& [n, reply] : client.replies()) refused += reply.kind == "refused";
  EXPECT_EQ(refused, 14U);
}

}  // namespace
}  // namespace laureltide::node
