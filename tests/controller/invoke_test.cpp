// The invoke API end to end in virtual time: all kinds of calls, crashes at every ledger step, and every
// documented status.
#include <fstream>
#include <set>
#include <sstream>

#include "controller/keyring.h"
#include "gateway_fixture.h"
#include "http/client.h"

namespace laureltide::test {
namespace {

using nlohmann::json;
struct Killed {};

std::string hex(const std::string& bytes) {
  std::ostringstream out;
  for (const char c : bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    out << kDigits[static_cast<unsigned char>(c) >> 4] << kDigits[static_cast<unsigned char>(c) & 15];
  }
  return out.str();
}
std::string invoke_settings(const std::string& more_invoke = "", const std::string& more = "") {
  return "[ledger]\ndirectory = \"unused here\"\n[invoke]\nlisten = \"127.0.0.1:8080\"\n"
         "callbacks = [\"127.0.0.1:9000\"]\n" +
         more_invoke +
         "[[tenant]]\nname = \"gulf\"\nshare = 0.4\nquota_per_s = 100\n[[key]]\ntenant = \"volta\"\nsha256 = "
         "\"" +
         hex(controller::sha256("secret-volta")) + "\"\n[[key]]\ntenant = \"gulf\"\nsha256 = \"" +
         hex(controller::sha256("secret-gulf")) + "\"\n" + more;
}

// Every (operation, status) that the tests observed; compared with the OpenAPI document at the end.
std::set<std::pair<std::string, int>>& seen() {
  static std::set<std::pair<std::string, int>> all;
  return all;
}
std::string operation_of(const std::string& method, const std::string& target) {
  if (target.starts_with("/v1/functions/")) return "call";
  if (target.starts_with("/v1/calls/")) return method == "DELETE" ? "forget" : "show";
  if (target == "/v1/openapi.json") return "describe";
  return "";
}

using Result = http::Exchange::Result;
using Fields = std::vector<std::pair<std::string, std::string>>;

struct InvokeFixture : GatewayFixture {
  io::Address at{"127.0.0.1", 8080};
  int kills = 0;
  explicit InvokeFixture(std::uint64_t seed = 1, const std::string& more_invoke = "",
                         const std::string& more = "", bool ledger = true)
      : GatewayFixture(2, seed, settings("", invoke_settings(more_invoke, more))) {
    with_ledger = ledger;
    start();
  }
  http::Request request(const std::string& method, const std::string& target, const Fields& fields = {},
                        const std::string& body = "") {
    http::Request r;
    r.method = method, r.target = target, r.body = body;
    r.headers.add("Host", "a");
    if (std::none_of(fields.begin(), fields.end(), [](auto& f) { return f.first == "Authorization"; }))
      r.headers.add("Authorization", "Bearer secret-volta");
    for (const auto& [n, v] : fields)
      if (!v.empty()) r.headers.add(n, v);
    return r;
  }
  // Sends a request and restarts the gateway when it crashes; status 0 means that the connection was lost.
  Result ask(const std::string& method, const std::string& target, const Fields& fields = {},
             const std::string& body = "", Duration within = 30s) {
    std::optional<Result> got;
    http::Exchange e(net, at, request(method, target, fields, body), within, {},
                     [&](Result r) { got = std::move(r); });
    while (!got) {
      try {
        if (!net.run_until([&] { return got.has_value(); }, 60s)) break;
      } catch (const Killed&) {
        kill_gateway();
        ++kills;
        net.run_for(50ms);
        start_gateway();
      }
    }
    EXPECT_TRUE(got);
    Result r = got.value_or(Result{});
    note(method, target, r.status);
    return r;
  }
  void run_for(Duration span) {
    const Time until = net.now() + span;
    while (net.now() < until) try {
        net.run_for(until - net.now());
      } catch (const Killed&) {
        kill_gateway();
        ++kills;
        net.run_for(50ms);
        start_gateway();
      }
  }
  static void note(const std::string& method, const std::string& target, int status) {
    if (const std::string op = operation_of(method, target); !op.empty() && status > 0)
      seen().insert({op, status});
  }
  Result call(const std::string& function, const Fields& fields = {}, const std::string& body = "payload") {
    return ask("POST", "/v1/functions/" + function + "/calls", fields, body);
  }
  Result poll(const std::string& location, Duration most = 20s) {
    const Time until = net.now() + most;
    Result r;
    do {
      r = ask("GET", location);
      if (r.status == 202) net.run_for(50ms);
    } while ((r.status == 202 || r.status == 0) && net.now() < until);
    return r;
  }
  static std::string field(const Result& r, const std::string& name) {
    const std::string* v = r.headers.find(name);
    return v ? *v : "";
  }
  static std::string detail(const Result& r) {
    const json doc = json::parse(r.body, nullptr, false);
    return doc.is_object() ? doc.value("detail", "") : "no JSON: " + r.body;
  }
  std::size_t runs() const { return tape.count("ran"); }
};

TEST(Invoke, ServesACall) {
  InvokeFixture fixture;
  const Result r = fixture.call("echo");
  EXPECT_EQ(r.status, 200);
  EXPECT_EQ(r.body, "payload");
  EXPECT_EQ(fixture.field(r, "Call-Outcome"), "served");
  EXPECT_EQ(fixture.call("gate").status, 200);
  EXPECT_EQ(fixture.call("status", {{"Call-Key", "k"}}).status, 200);
  EXPECT_EQ(fixture.book->records(), 0U);  // plain calls leave no record
  EXPECT_EQ(fixture.log.calls.size(), 3U);
}

TEST(Invoke, RequiresTenantsBearerToken) {
  InvokeFixture fixture;
  for (const char* authorization :
       {" ", "Bearer", "Bearer ", "Bearer wrong", "Basic secret-volta", "secret-volta", "Bearer secret-volt",
        "Bearer secret-voltaa", "Bearer SECRET-VOLTA"}) {
    const Result r = fixture.call("echo", {{"Authorization", authorization}});
    EXPECT_EQ(r.status, 401) << authorization;
    EXPECT_EQ(fixture.field(r, "WWW-Authenticate").substr(0, 6), "Bearer");
    EXPECT_EQ(
        fixture.ask("GET", "/v1/calls/0-" + std::string(32, 'a'), {{"Authorization", authorization}}).status,
        401);
    EXPECT_EQ(fixture.ask("DELETE", "/v1/calls/0-" + std::string(32, 'a'), {{"Authorization", authorization}})
                  .status,
              401);
  }
  EXPECT_EQ(fixture.call("echo", {{"Authorization", "bearer  secret-gulf"}}).status, 200);
  EXPECT_EQ(fixture.runs(), 1U);
}

TEST(Invoke, ReportsInvalidRequests) {
  InvokeFixture fixture;
  const std::vector<std::tuple<std::string, Fields, int, std::string>> bad{
      {"nobody", {}, 404, "unknown function: nobody"},
      {"echo", {{"Call-Deadline-Ms", "0"}}, 400, "expected milliseconds from 1 to 3600000, found 0"},
      {"echo", {{"Call-Deadline-Ms", "1s"}}, 400, "found 1s"},
      {"echo", {{"Call-Deadline-Ms", "99999999999999999999"}}, 400, "Call-Deadline-Ms"},
      {"echo", {{"Call-Deadline-Ms", "5"}, {"Call-Deadline-Ms", "6"}}, 400, "given twice"},
      {"echo", {{"Idempotency-Key", "\"\""}}, 400, "Idempotency-Key"},
      {"echo", {{"Idempotency-Key", "a"}, {"idempotency-key", "b"}}, 400, "given twice"},
      {"status", {}, 400, "needs header Call-Key"},
      {"echo", {{"Call-Callback", "http://127.0.0.1:9000/x"}}, 400, "needs Prefer: respond-async"},
      {"echo", {{"Prefer", "respond-async"}, {"Call-Callback", "https://x"}}, 400, "expected http://"},
      {"echo",
       {{"Prefer", "respond-async"}, {"Call-Callback", "http://127.0.0.1:22/"}},
       403,
       "may not be posted"},
  };
  for (const auto& [function, fields, status, why] : bad) {
    const Result r = fixture.call(function, fields);
    EXPECT_EQ(r.status, status) << why;
    EXPECT_NE(fixture.detail(r).find(why), std::string::npos) << fixture.detail(r);
    EXPECT_EQ(fixture.field(r, "Content-Type"), "application/problem+json");
    EXPECT_EQ(json::parse(r.body)["status"], status);
  }
  EXPECT_EQ(fixture.ask("GET", "/v1/functions/echo/calls").status, 405);
  EXPECT_EQ(fixture.ask("PUT", "/v1/calls/x").status, 405);
  EXPECT_EQ(fixture.field(fixture.ask("PATCH", "/v1/openapi.json"), "Allow"), "GET, HEAD");
  EXPECT_EQ(fixture.ask("GET", "/").status, 404);
  EXPECT_EQ(fixture.ask("GET", "/v1/functions/echo").status, 404);
  EXPECT_EQ(fixture.ask("GET", "/%zz").status, 400);
  EXPECT_EQ(fixture.ask("GET", "/v1/calls/0-nothing").status, 404);
  EXPECT_EQ(fixture.ask("GET", "/v1/calls/7-" + std::string(32, 'a')).status, 404);
  EXPECT_EQ(fixture.runs(), 0U);
}

TEST(Invoke, AcceptsOnlyPlainCallsWithoutLedger) {
  InvokeFixture fixture(1, "", "", false);
  EXPECT_EQ(fixture.call("echo").status, 200);
  EXPECT_EQ(fixture.call("echo", {{"Idempotency-Key", "a"}}).status, 501);
  EXPECT_EQ(fixture.call("echo", {{"Prefer", "respond-async"}}).status, 501);
}

TEST(Invoke, DeferredAnswerCanBePolled) {
  InvokeFixture fixture;
  const Result taken = fixture.call("gate", {{"Prefer", "respond-async"}});
  ASSERT_EQ(taken.status, 202);
  EXPECT_EQ(fixture.field(taken, "Preference-Applied"), "respond-async");
  EXPECT_EQ(json::parse(taken.body)["state"], "open");
  const std::string where = fixture.field(taken, "Location");
  EXPECT_EQ(fixture.ask("GET", where).status, 202);
  EXPECT_EQ(fixture.ask("GET", where, {{"Authorization", "Bearer secret-gulf"}}).status,
            404);  // also while it is open
  EXPECT_EQ(fixture.ask("DELETE", where).status, 409);
  const Result got = fixture.poll(where);
  EXPECT_EQ(got.status, 200);
  EXPECT_EQ(got.body, "payload");
  EXPECT_EQ(fixture.ask("HEAD", where).body, "");
  EXPECT_EQ(fixture.ask("GET", where).status, 200);  // repeatable
  EXPECT_EQ(fixture.ask("GET", where, {{"Authorization", "Bearer secret-gulf"}}).status,
            404);  // another tenant's call
  EXPECT_EQ(fixture.ask("DELETE", where, {{"Authorization", "Bearer secret-gulf"}}).status, 404);
  EXPECT_EQ(fixture.ask("DELETE", where).status, 204);
  EXPECT_EQ(fixture.ask("GET", where).status, 404);
  EXPECT_EQ(fixture.runs(), 1U);
}

TEST(Invoke, PreferWaitReturnsAnswerWithinWait) {
  InvokeFixture fixture;
  EXPECT_EQ(fixture.call("echo", {{"Prefer", "respond-async, wait=5"}}).status, 200);
  fixture.worker(1).set_unresponsive(true), fixture.worker(2).set_unresponsive(true);
  const Time before = fixture.net.now();
  EXPECT_EQ(fixture.call("echo", {{"Prefer", "respond-async, wait=1"}}).status, 202);
  EXPECT_GE(fixture.net.now() - before, 1s);
}

TEST(Invoke, DeferredAnswerExpires) {
  InvokeFixture fixture(1, "keep_s = 30\n");
  const std::string where = fixture.field(fixture.call("echo", {{"Prefer", "respond-async"}}), "Location");
  EXPECT_EQ(fixture.poll(where).status, 200);
  fixture.net.run_for(25s);
  EXPECT_EQ(fixture.ask("GET", where).status, 200);
  fixture.net.run_for(10s);
  EXPECT_EQ(fixture.ask("GET", where).status, 404);
  EXPECT_EQ(fixture.book->records(), 0U);
}

TEST(Invoke, DeferredCallsAreLimitedByTenant) {
  InvokeFixture fixture(1, "most_deferred = 3\n");
  for (int i = 0; i < 3; ++i) EXPECT_EQ(fixture.call("echo", {{"Prefer", "respond-async"}}).status, 202);
  const Result r = fixture.call("echo", {{"Prefer", "respond-async"}});
  EXPECT_EQ(r.status, 429);
  EXPECT_EQ(fixture.field(r, "Retry-After"), "1");
  EXPECT_EQ(
      fixture.call("echo", {{"Prefer", "respond-async"}, {"Authorization", "Bearer secret-gulf"}}).status,
      202);
  EXPECT_EQ(fixture.call("echo").status, 200);  // plain calls have no record
  InvokeFixture large(1, "most_deferred_mb = 1\n");
  EXPECT_EQ(large.call("echo", {{"Prefer", "respond-async"}}, std::string(900'000, 'x')).status, 202);
  EXPECT_EQ(large.call("echo", {{"Prefer", "respond-async"}}, std::string(900'000, 'x')).status, 202);
  EXPECT_EQ(large.call("echo", {{"Prefer", "respond-async"}}).status, 429);
}

TEST(Invoke, RepeatedKeyReturnsFirstAnswer) {
  InvokeFixture fixture;
  const Fields key{{"Idempotency-Key", "\"pay-17\""}};
  const Result first = fixture.call("gate", key), again = fixture.call("gate", key);
  EXPECT_EQ(first.status, 200);
  EXPECT_EQ(again.status, 200);
  EXPECT_EQ(again.body, "payload");
  EXPECT_EQ(fixture.field(again, "Call-Replayed"), "true");
  EXPECT_EQ(fixture.field(again, "Call-Id"), fixture.field(first, "Call-Id"));
  EXPECT_EQ(fixture.runs(), 1U);
  EXPECT_EQ(fixture.ask("GET", "/v1/calls/" + fixture.field(first, "Call-Id")).status, 200);
  const Result other = fixture.call("gate", key, "another body");
  EXPECT_EQ(other.status, 422);
  EXPECT_EQ(fixture.call("echo", key).status, 422);
  // Keys are separate for each tenant.
  EXPECT_EQ(fixture.call("gate", {{"Idempotency-Key", "\"pay-17\""}, {"Authorization", "Bearer secret-gulf"}})
                .status,
            200);
  EXPECT_EQ(fixture.runs(), 2U);
}

TEST(Invoke, RepeatedKeyJoinsOpenCall) {
  InvokeFixture fixture;
  std::vector<Result> got;
  std::vector<std::unique_ptr<http::Exchange>> out;
  const auto request =
      fixture.request("POST", "/v1/functions/gate/calls", {{"Idempotency-Key", "k"}}, "payload");
  for (int i = 0; i < 18; ++i)
    out.push_back(std::make_unique<http::Exchange>(fixture.net, fixture.at, request, 20s, http::Limits{},
                                                   [&](Result r) { got.push_back(std::move(r)); }));
  http::Request another = request;
  another.body = "another";
  out.push_back(std::make_unique<http::Exchange>(fixture.net, fixture.at, another, 20s, http::Limits{},
                                                 [&](Result r) { got.push_back(std::move(r)); }));
  ASSERT_TRUE(fixture.net.run_until([&] { return got.size() == 19; }));
  std::map<int, int> statuses;
  for (const Result& r : got) ++statuses[r.status], InvokeFixture::note("POST", request.target, r.status);
  // The first request to arrive determines the body for the key; exactly one call ran.
  EXPECT_EQ(fixture.runs(), 1U);
  EXPECT_EQ(statuses[200], statuses[422] == 18 ? 1 : 16);
  EXPECT_EQ(statuses[429], statuses[422] == 18 ? 0 : 2);
}

TEST(Invoke, RefusedCallRunsAgainWithSameKey) {
  InvokeFixture fixture;
  fixture.worker(1).set_full(true), fixture.worker(2).set_full(true);
  const Fields key{{"Idempotency-Key", "k"}, {"Call-Deadline-Ms", "500"}};
  const Result refused = fixture.call("gate", key);
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(json::parse(refused.body)["outcome"], "refused");
  fixture.worker(1).set_full(false), fixture.worker(2).set_full(false);
  fixture.net.run_for(2s);
  EXPECT_EQ(fixture.call("gate", key).status, 200);
  EXPECT_EQ(fixture.runs(), 1U);
}

TEST(Invoke, FailedCallStaysFailed) {
  InvokeFixture fixture;
  fixture.worker(1).fail_class("release", true), fixture.worker(2).fail_class("release", true);
  const Fields key{{"Idempotency-Key", "k"}};
  EXPECT_EQ(fixture.call("gate", key).status, 502);
  fixture.worker(1).fail_class("release", false), fixture.worker(2).fail_class("release", false);
  const Result again = fixture.call("gate", key);
  EXPECT_EQ(again.status, 502);
  EXPECT_EQ(json::parse(again.body)["outcome"], "failed");
  EXPECT_EQ(fixture.runs(), 1U);
}

TEST(Invoke, AbandonsPlainCallOfDisconnectedClient) {
  InvokeFixture fixture;
  fixture.worker(1).set_full(true), fixture.worker(2).set_full(true);
  for (const bool named : {false, true}) {
    {
      auto e = std::make_unique<http::Exchange>(
          fixture.net, fixture.at,
          fixture.request("POST", "/v1/functions/gate/calls", {{"Idempotency-Key", named ? "k" : ""}}, "x"),
          20s, http::Limits{}, [](const Result&) {});
      fixture.net.run_for(50ms);
      EXPECT_EQ(fixture.gateway->core().open(), 1U);
    }
    fixture.net.run_for(50ms);
    // A named call can be asked for again, so it continues.
    EXPECT_EQ(fixture.gateway->core().open(), named ? 1U : 0U);
  }
  EXPECT_EQ(fixture.gateway->core().counters().abandoned, 1U);
  fixture.worker(1).set_full(false), fixture.worker(2).set_full(false);
  EXPECT_EQ(fixture.call("gate", {{"Idempotency-Key", "k"}}, "x").status, 200);
}

// A client repeats its request with the same key until it is answered, while the gateway is killed at each
// ledger step in turn.
class EveryInvokeStep : public testing::TestWithParam<std::tuple<const char*, bool>> {};
TEST_P(EveryInvokeStep, OnceCallRunsOnceAndHasOneAnswer) {
  const auto [step, deferred] = GetParam();
  int kills = 0;
  for (int nth = 1; nth <= 3; ++nth)
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      InvokeFixture fixture(seed);
      int passed = 0;
      fixture.on_step = [&, s = std::string(step)](const char* at) {
        if (s == at && ++passed == nth) throw Killed{};
      };
      for (int i = 0; i < 3; ++i) {
        const std::size_t before = fixture.runs();
        const Fields fields{{"Idempotency-Key", "k" + std::to_string(i)},
                            {"Prefer", deferred ? "respond-async" : ""}};
        Result r;
        std::string where;
        for (int tries = 0; tries < 50 && (r.status == 0 || r.status == 202); ++tries) {
          r = where.empty() ? fixture.call("gate", fields) : fixture.ask("GET", where);
          if (r.status == 202) where = InvokeFixture::field(r, "Location");
          if (r.status == 202 || r.status == 0) fixture.run_for(40ms);
        }
        EXPECT_TRUE(r.status == 200 || r.status == 502) << r.status << " " << step << " " << r.body;
        EXPECT_LE(fixture.runs() - before, 1U) << step << " " << nth << " seed " << seed;
        if (r.status == 200) {
          EXPECT_EQ(fixture.runs() - before, 1U);
        }
        const Result again = fixture.call("gate", fields);
        EXPECT_EQ(again.status, r.status) << step;
        EXPECT_EQ(again.body, r.body) << step;
        fixture.run_for(3s);
        EXPECT_LE(fixture.runs() - before, 1U) << step;
      }
      kills += fixture.kills;
    }
  const std::string s = step;
  const bool expected = s.starts_with("attempt-") || s.starts_with("answer-queued") ||
                        s == "answer-durable" || s == "delivered-queued" ||
                        (deferred && s.starts_with("take"));
  if (expected && s != "attempt-ended") {
    EXPECT_GE(kills, 3) << step;
  }
}
INSTANTIATE_TEST_SUITE_P(Invoke, EveryInvokeStep,
                         testing::Combine(testing::ValuesIn(ledger::kCrashPoints), testing::Bool()),
                         [](const auto& info) {
                           std::string name = std::get<0>(info.param);
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name + (std::get<1>(info.param) ? "_deferred" : "_named");
                         });

TEST(Invoke, DeferredCallsAreAnsweredAfterKill) {
  InvokeFixture fixture;
  fixture.worker(1).set_unresponsive(true), fixture.worker(2).set_unresponsive(true);
  std::vector<std::string> where;
  for (int i = 0; i < 5; ++i)
    where.push_back(InvokeFixture::field(fixture.call("gate", {{"Prefer", "respond-async"}}), "Location"));
  fixture.kill_gateway();
  fixture.net.run_for(10s);
  fixture.start_gateway();
  for (const std::string& w : where) {
    const Result r = fixture.poll(w);
    EXPECT_TRUE(r.status == 502 || r.status == 503) << r.status << r.body;
  }
  EXPECT_EQ(fixture.runs(), 0U);
}

// ---- Callbacks --------------------------------------------------------------------------------------------

struct Listener : http::Server::Events {
  http::Server server;
  std::vector<http::Request> got;
  int refuse = 0;
  explicit Listener(io::Host& host) : server(host, {}, *this) {
    EXPECT_TRUE(server.listen({"127.0.0.1", 9000}));
  }
  void on_request(http::Server::Ticket t, http::Request r) override {
    got.push_back(std::move(r));
    http::Response answer;
    answer.status = refuse-- > 0 ? 500 : 204;
    server.respond(t, answer);
  }
  void on_client_disconnected(http::Server::Ticket) override {}
  std::string on_invalid_request(int, const std::string& why) override { return why; }
};
const Fields kCallback{{"Prefer", "respond-async"}, {"Call-Callback", "http://127.0.0.1:9000/done?x=1"}};

TEST(Invoke, PostsAnswerToCallback) {
  InvokeFixture fixture;
  Listener listener(fixture.net);
  listener.refuse = 2;
  const Result taken = fixture.call("gate", kCallback);
  ASSERT_TRUE(fixture.net.run_until([&] { return listener.got.size() == 3; }));
  fixture.net.run_for(60s);
  ASSERT_EQ(listener.got.size(), 3U);
  for (const auto& r : listener.got) {
    EXPECT_EQ(r.target, "/done?x=1");
    EXPECT_EQ(r.body, "payload");
    EXPECT_EQ(*r.headers.find("Call-Outcome"), "served");
    EXPECT_EQ(*r.headers.find("Idempotency-Key"), "\"" + InvokeFixture::field(taken, "Call-Id") + "\"");
  }
  EXPECT_EQ(fixture.ask("GET", InvokeFixture::field(taken, "Location")).status, 200);
}

TEST(Invoke, GivesUpCallbackAfterConfiguredAttempts) {
  InvokeFixture fixture;
  Listener listener(fixture.net);
  listener.refuse = 1000;
  const Result taken = fixture.call("gate", kCallback);
  fixture.net.run_for(300s);
  EXPECT_EQ(listener.got.size(), 5U);
  EXPECT_TRUE(fixture.log.contains("was not accepted by its callback in 5 attempts: status 500"));
  EXPECT_EQ(fixture.ask("GET", InvokeFixture::field(taken, "Location")).status, 200);
}

TEST(Invoke, PendingCallbackIsSentAfterKill) {
  InvokeFixture fixture;
  const Result taken = fixture.call("gate", kCallback);  // nobody listens yet
  fixture.net.run_for(2s);
  fixture.kill_gateway();
  Listener listener(fixture.net);
  fixture.start_gateway();
  ASSERT_TRUE(fixture.net.run_until([&] { return !listener.got.empty(); }));
  fixture.net.run_for(60s);
  EXPECT_EQ(listener.got.size(), 1U);
  EXPECT_EQ(fixture.runs(), 1U);
}

// ---- Several controllers ----------------------------------------------------------------------------------

TEST(Invoke, RedirectsKeysAndCallsOfAnotherController) {
  auto text = [](int me) {
    std::string t = settings_text(
        "", invoke_settings("", "[[peer]]\nnumber = " + std::to_string(1 - me) +
                                    "\naddress = \"127.0.0.1:" + std::to_string(7301 - me) +
                                    "\"\ninvoke = \"127.0.0.1:" + std::to_string(8081 - me) + "\"\n"));
    t.replace(t.find("name = \"gw-0\""), 13,
              "name = \"gw-" + std::to_string(me) + "\"\nnumber = " + std::to_string(me) + "\nreplicas = 2");
    t.replace(t.find("127.0.0.1:8080"), 14, "127.0.0.1:" + std::to_string(8080 + me));
    return t;
  };
  InvokeFixture fixture;
  fixture.kill_gateway();
  fixture.config = std::make_shared<const config::Settings>(*config::parse(text(0), "0").settings);
  fixture.start_gateway();
  const auto other_settings = std::make_shared<const config::Settings>(*config::parse(text(1), "1").settings);
  store::MemoryDisk disk;
  store::MemoryStore store(fixture.net, disk);
  ledger::CallLedger book(fixture.net, store, {});
  ASSERT_FALSE(book.load());
  Log log;
  controller::Gateway other(fixture.net, other_settings, log, 9, 1, &book);
  other.start();
  fixture.net.run_for(500ms);
  int moved = 0;
  for (int i = 0; i < 20; ++i) {
    const Fields fields{{"Idempotency-Key", "k" + std::to_string(i)}, {"Prefer", "respond-async"}};
    fixture.at.port = 8080;
    Result here = fixture.call("gate", fields);
    if (here.status == 307) {
      ++moved;
      EXPECT_EQ(InvokeFixture::field(here, "Location"), "http://127.0.0.1:8081/v1/functions/gate/calls");
      fixture.at.port = 8081;
      here = fixture.call("gate", fields);
    }
    ASSERT_EQ(here.status, 202);
    const std::string where = InvokeFixture::field(here, "Location");
    ASSERT_EQ(fixture.poll(where).status, 200);
    // The other controller redirects both a repeat of the key and a poll.
    const int owner = fixture.at.port;
    fixture.at.port = static_cast<std::uint16_t>(8080 + 8081 - owner);
    EXPECT_EQ(fixture.call("gate", fields).status, 307);
    const Result polled = fixture.ask("GET", where);
    EXPECT_EQ(polled.status, 307);
    EXPECT_EQ(InvokeFixture::field(polled, "Location"), "http://127.0.0.1:" + std::to_string(owner) + where);
    EXPECT_EQ(fixture.ask("DELETE", where).status, 307);
  }
  EXPECT_GT(moved, 3);
  EXPECT_LT(moved, 17);
  EXPECT_EQ(fixture.runs(), 20U);
}

TEST(Invoke, NamesOwnerWithUnknownAddress) {
  InvokeFixture fixture;
  fixture.kill_gateway();
  std::string text = settings_text("", invoke_settings());
  text.replace(text.find("name = \"gw-0\""), 13, "name = \"gw-0\"\nreplicas = 2");
  fixture.config = std::make_shared<const config::Settings>(*config::parse(text, "t").settings);
  fixture.start_gateway();
  fixture.net.run_for(100ms);
  int said = 0;
  for (int i = 0; i < 10; ++i) {
    const Result r = fixture.call("gate", {{"Idempotency-Key", "k" + std::to_string(i)}});
    said += r.status == 503 && InvokeFixture::detail(r).find("controller 1 holds this") != std::string::npos;
  }
  EXPECT_GT(said, 0);
}

// ---- Trouble ----------------------------------------------------------------------------------------------

TEST(Invoke, RefusesDeferredCallsWhenDiskIsFull) {
  InvokeFixture fixture;
  EXPECT_EQ(fixture.call("gate", {{"Idempotency-Key", "warm"}}).status, 200);
  fixture.disk.full = true;
  fixture.call("gate", {{"Prefer", "respond-async"}, {"Call-Deadline-Ms", "200"}}, "x");
  fixture.net.run_for(500ms);
  const Result r = fixture.call("gate", {{"Prefer", "respond-async"}});
  EXPECT_EQ(r.status, 503);
  EXPECT_NE(InvokeFixture::detail(r).find("no space left"), std::string::npos) << InvokeFixture::detail(r);
  EXPECT_EQ(fixture.field(r, "Retry-After"), "1");
  EXPECT_EQ(fixture.call("echo").status, 200);  // a plain call needs no record
  fixture.disk.full = false;
  fixture.net.run_for(2s);
  EXPECT_EQ(fixture.call("gate", {{"Idempotency-Key", "after"}}).status, 200);
}

TEST(Invoke, DrainAnswersAcceptedCalls) {
  InvokeFixture fixture;
  std::optional<Result> got;
  http::Exchange e(fixture.net, fixture.at, fixture.request("POST", "/v1/functions/gate/calls", {}, "x"), 20s,
                   {}, [&](Result r) { got = std::move(r); });
  fixture.net.run_for(20ms);
  std::optional<bool> drained;
  fixture.gateway->drain([&](bool all) { drained = all; });
  ASSERT_TRUE(fixture.net.run_until([&] { return drained.has_value(); }));
  EXPECT_TRUE(*drained);
  fixture.net.run_for(10ms);
  ASSERT_TRUE(got);
  EXPECT_EQ(got->status, 200);
}

// A request that was only partly received when the drain began is answered with 503 and is not run.
TEST(Invoke, RejectsRequestsWhileDraining) {
  InvokeFixture fixture;
  struct Half : io::ConnectionEvents {
    std::string heard;
    std::size_t on_bytes(std::string_view b) override { return heard += b, b.size(); }
    void on_closed(io::CloseReason) override {}
  } half;
  std::optional<Result> got;  // an open call keeps the gateway running meanwhile
  http::Exchange e(fixture.net, fixture.at, fixture.request("POST", "/v1/functions/gate/calls", {}, "x"), 20s,
                   {}, [&](Result r) { got = std::move(r); });
  std::string text;
  http::write(text, fixture.request("POST", "/v1/functions/gate/calls", {}, "y"));
  auto connection = fixture.net.connect(fixture.at, {}, half);
  fixture.net.run_for(5ms);
  connection->write(text.substr(0, text.size() / 2));
  fixture.net.run_for(5ms);
  fixture.gateway->drain([](bool) {});
  connection->write(text.substr(text.size() / 2));
  ASSERT_TRUE(fixture.net.run_until([&] { return half.heard.find("\r\n\r\n") != std::string::npos; }));
  EXPECT_TRUE(half.heard.starts_with("HTTP/1.1 503 ")) << half.heard;
  ASSERT_TRUE(fixture.net.run_until([&] { return got.has_value(); }));
  EXPECT_EQ(fixture.runs(), 1U);
}

// ---- The OpenAPI document ---------------------------------------------------------------------------------

// The suite's name makes it run last: every observed status must be documented, and every documented one
// observed.
TEST(InvokeZ, OpenApiDocumentMatchesObservedResponses) {
  InvokeFixture fixture;
  const Result served = fixture.ask("GET", "/v1/openapi.json", {{"Authorization", "none"}});
  ASSERT_EQ(served.status, 200);
  std::ifstream in(LAURELTIDE_DOCS "/openapi.json");
  std::ostringstream shipped;
  shipped << in.rdbuf();
  EXPECT_EQ(served.body, shipped.str());
  const json doc = json::parse(served.body);
  std::set<std::pair<std::string, int>> described;
  for (const auto& [path, operations] : doc["paths"].items())
    for (const auto& [method, operation] : operations.items())
      for (const auto& [status, response] : operation["responses"].items())
        described.insert({operation["operationId"], std::stoi(status)});
  for (const auto& one : seen())
    EXPECT_TRUE(described.contains(one)) << "not described: " << one.first << " " << one.second;
  if (seen().size() < 10) GTEST_SKIP() << "run alone: what other tests saw is not known";
  for (const auto& one : described)
    EXPECT_TRUE(seen().contains(one)) << "described and never seen: " << one.first << " " << one.second;
}

}  // namespace
}  // namespace laureltide::test
