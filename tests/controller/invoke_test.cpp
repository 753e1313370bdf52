// The invoke API on the whole path, in virtual time: every kind of call, every crash, every status as
// described.
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

// Every (operation, status) that any test saw, held against the description at the end.
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

struct HttpTown : GatewayFixture {
  io::Address at{"127.0.0.1", 8080};
  int kills = 0;
  explicit HttpTown(std::uint64_t seed = 1, const std::string& more_invoke = "", const std::string& more = "",
                    bool ledger = true)
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
  // Asks, and goes on through crashes; a lost connection ends it with status 0.
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
  HttpTown town;
  const Result r = town.call("echo");
  EXPECT_EQ(r.status, 200);
  EXPECT_EQ(r.body, "payload");
  EXPECT_EQ(town.field(r, "Call-Outcome"), "served");
  EXPECT_EQ(town.call("gate").status, 200);
  EXPECT_EQ(town.call("status", {{"Call-Key", "k"}}).status, 200);
  EXPECT_EQ(town.book->records(), 0U);  // plain calls leave no record
  EXPECT_EQ(town.log.calls.size(), 3U);
}

TEST(Invoke, NoKeyNoCall) {
  HttpTown town;
  for (const char* authorization :
       {" ", "Bearer", "Bearer ", "Bearer wrong", "Basic secret-volta", "secret-volta", "Bearer secret-volt",
        "Bearer secret-voltaa", "Bearer SECRET-VOLTA"}) {
    const Result r = town.call("echo", {{"Authorization", authorization}});
    EXPECT_EQ(r.status, 401) << authorization;
    EXPECT_EQ(town.field(r, "WWW-Authenticate").substr(0, 6), "Bearer");
    EXPECT_EQ(
        town.ask("GET", "/v1/calls/0-" + std::string(32, 'a'), {{"Authorization", authorization}}).status,
        401);
    EXPECT_EQ(
        town.ask("DELETE", "/v1/calls/0-" + std::string(32, 'a'), {{"Authorization", authorization}}).status,
        401);
  }
  EXPECT_EQ(town.call("echo", {{"Authorization", "bearer  secret-gulf"}}).status, 200);
  EXPECT_EQ(town.runs(), 1U);
}

TEST(Invoke, WhatDoesNotFitIsSaid) {
  HttpTown town;
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
    const Result r = town.call(function, fields);
    EXPECT_EQ(r.status, status) << why;
    EXPECT_NE(town.detail(r).find(why), std::string::npos) << town.detail(r);
    EXPECT_EQ(town.field(r, "Content-Type"), "application/problem+json");
    EXPECT_EQ(json::parse(r.body)["status"], status);
  }
  EXPECT_EQ(town.ask("GET", "/v1/functions/echo/calls").status, 405);
  EXPECT_EQ(town.ask("PUT", "/v1/calls/x").status, 405);
  EXPECT_EQ(town.field(town.ask("PATCH", "/v1/openapi.json"), "Allow"), "GET, HEAD");
  EXPECT_EQ(town.ask("GET", "/").status, 404);
  EXPECT_EQ(town.ask("GET", "/v1/functions/echo").status, 404);
  EXPECT_EQ(town.ask("GET", "/%zz").status, 400);
  EXPECT_EQ(town.ask("GET", "/v1/calls/0-nothing").status, 404);
  EXPECT_EQ(town.ask("GET", "/v1/calls/7-" + std::string(32, 'a')).status, 404);
  EXPECT_EQ(town.runs(), 0U);
}

TEST(Invoke, WithoutALedgerOnlyPlainCalls) {
  HttpTown town(1, "", "", false);
  EXPECT_EQ(town.call("echo").status, 200);
  EXPECT_EQ(town.call("echo", {{"Idempotency-Key", "a"}}).status, 501);
  EXPECT_EQ(town.call("echo", {{"Prefer", "respond-async"}}).status, 501);
}

TEST(Invoke, DeferredCallsAreAskedFor) {
  HttpTown town;
  const Result taken = town.call("gate", {{"Prefer", "respond-async"}});
  ASSERT_EQ(taken.status, 202);
  EXPECT_EQ(town.field(taken, "Preference-Applied"), "respond-async");
  EXPECT_EQ(json::parse(taken.body)["state"], "open");
  const std::string where = town.field(taken, "Location");
  EXPECT_EQ(town.ask("GET", where).status, 202);
  EXPECT_EQ(town.ask("GET", where, {{"Authorization", "Bearer secret-gulf"}}).status, 404);  // open or not
  EXPECT_EQ(town.ask("DELETE", where).status, 409);
  const Result got = town.poll(where);
  EXPECT_EQ(got.status, 200);
  EXPECT_EQ(got.body, "payload");
  EXPECT_EQ(town.ask("HEAD", where).body, "");
  EXPECT_EQ(town.ask("GET", where).status, 200);  // as often as one likes
  EXPECT_EQ(town.ask("GET", where, {{"Authorization", "Bearer secret-gulf"}}).status,
            404);  // another tenant's
  EXPECT_EQ(town.ask("DELETE", where, {{"Authorization", "Bearer secret-gulf"}}).status, 404);
  EXPECT_EQ(town.ask("DELETE", where).status, 204);
  EXPECT_EQ(town.ask("GET", where).status, 404);
  EXPECT_EQ(town.runs(), 1U);
}

TEST(Invoke, PreferWaitAnswersAtOnceWhatIsSoonThere) {
  HttpTown town;
  EXPECT_EQ(town.call("echo", {{"Prefer", "respond-async, wait=5"}}).status, 200);
  town.worker(1).set_silent(true), town.worker(2).set_silent(true);
  const Time before = town.net.now();
  EXPECT_EQ(town.call("echo", {{"Prefer", "respond-async, wait=1"}}).status, 202);
  EXPECT_GE(town.net.now() - before, 1s);
}

TEST(Invoke, DeferredAnswersAreKeptSoLong) {
  HttpTown town(1, "keep_s = 30\n");
  const std::string where = town.field(town.call("echo", {{"Prefer", "respond-async"}}), "Location");
  EXPECT_EQ(town.poll(where).status, 200);
  town.net.run_for(25s);
  EXPECT_EQ(town.ask("GET", where).status, 200);
  town.net.run_for(10s);
  EXPECT_EQ(town.ask("GET", where).status, 404);
  EXPECT_EQ(town.book->records(), 0U);
}

TEST(Invoke, ATenantsDeferredCallsAreBounded) {
  HttpTown town(1, "most_deferred = 3\n");
  for (int i = 0; i < 3; ++i) EXPECT_EQ(town.call("echo", {{"Prefer", "respond-async"}}).status, 202);
  const Result r = town.call("echo", {{"Prefer", "respond-async"}});
  EXPECT_EQ(r.status, 429);
  EXPECT_EQ(town.field(r, "Retry-After"), "1");
  EXPECT_EQ(town.call("echo", {{"Prefer", "respond-async"}, {"Authorization", "Bearer secret-gulf"}}).status,
            202);
  EXPECT_EQ(town.call("echo").status, 200);  // plain calls hold nothing
  HttpTown large(1, "most_deferred_mb = 1\n");
  EXPECT_EQ(large.call("echo", {{"Prefer", "respond-async"}}, std::string(900'000, 'x')).status, 202);
  EXPECT_EQ(large.call("echo", {{"Prefer", "respond-async"}}, std::string(900'000, 'x')).status, 202);
  EXPECT_EQ(large.call("echo", {{"Prefer", "respond-async"}}).status, 429);
}

TEST(Invoke, ARepeatFindsItsFirstAnswer) {
  HttpTown town;
  const Fields key{{"Idempotency-Key", "\"pay-17\""}};
  const Result first = town.call("gate", key), again = town.call("gate", key);
  EXPECT_EQ(first.status, 200);
  EXPECT_EQ(again.status, 200);
  EXPECT_EQ(again.body, "payload");
  EXPECT_EQ(town.field(again, "Call-Replayed"), "true");
  EXPECT_EQ(town.field(again, "Call-Id"), town.field(first, "Call-Id"));
  EXPECT_EQ(town.runs(), 1U);
  EXPECT_EQ(town.ask("GET", "/v1/calls/" + town.field(first, "Call-Id")).status, 200);
  const Result other = town.call("gate", key, "another body");
  EXPECT_EQ(other.status, 422);
  EXPECT_EQ(town.call("echo", key).status, 422);
  // Another tenant's key of the same text is another key.
  EXPECT_EQ(
      town.call("gate", {{"Idempotency-Key", "\"pay-17\""}, {"Authorization", "Bearer secret-gulf"}}).status,
      200);
  EXPECT_EQ(town.runs(), 2U);
}

TEST(Invoke, ARepeatWhileTheFirstIsOpenWaitsForIt) {
  HttpTown town;
  std::vector<Result> got;
  std::vector<std::unique_ptr<http::Exchange>> out;
  const auto request =
      town.request("POST", "/v1/functions/gate/calls", {{"Idempotency-Key", "k"}}, "payload");
  for (int i = 0; i < 18; ++i)
    out.push_back(std::make_unique<http::Exchange>(town.net, town.at, request, 20s, http::Limits{},
                                                   [&](Result r) { got.push_back(std::move(r)); }));
  http::Request another = request;
  another.body = "another";
  out.push_back(std::make_unique<http::Exchange>(town.net, town.at, another, 20s, http::Limits{},
                                                 [&](Result r) { got.push_back(std::move(r)); }));
  ASSERT_TRUE(town.net.run_until([&] { return got.size() == 19; }));
  std::map<int, int> statuses;
  for (const Result& r : got) ++statuses[r.status], HttpTown::note("POST", request.target, r.status);
  // Whoever comes first sets the request; whichever that is, one ran.
  EXPECT_EQ(town.runs(), 1U);
  EXPECT_EQ(statuses[200], statuses[422] == 18 ? 1 : 16);
  EXPECT_EQ(statuses[429], statuses[422] == 18 ? 0 : 2);
}

TEST(Invoke, WhatWasRefusedRunsUnderTheSameKey) {
  HttpTown town;
  town.worker(1).set_full(true), town.worker(2).set_full(true);
  const Fields key{{"Idempotency-Key", "k"}, {"Call-Deadline-Ms", "500"}};
  const Result refused = town.call("gate", key);
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(json::parse(refused.body)["outcome"], "refused");
  town.worker(1).set_full(false), town.worker(2).set_full(false);
  town.net.run_for(2s);
  EXPECT_EQ(town.call("gate", key).status, 200);
  EXPECT_EQ(town.runs(), 1U);
}

TEST(Invoke, WhatFailedStaysFailed) {
  HttpTown town;
  town.worker(1).fail_class("release", true), town.worker(2).fail_class("release", true);
  const Fields key{{"Idempotency-Key", "k"}};
  EXPECT_EQ(town.call("gate", key).status, 502);
  town.worker(1).fail_class("release", false), town.worker(2).fail_class("release", false);
  const Result again = town.call("gate", key);
  EXPECT_EQ(again.status, 502);
  EXPECT_EQ(json::parse(again.body)["outcome"], "failed");
  EXPECT_EQ(town.runs(), 1U);
}

TEST(Invoke, AClientThatGoesAwayIsNotWaitedFor) {
  HttpTown town;
  town.worker(1).set_full(true), town.worker(2).set_full(true);
  for (const bool named : {false, true}) {
    {
      auto e = std::make_unique<http::Exchange>(
          town.net, town.at,
          town.request("POST", "/v1/functions/gate/calls", {{"Idempotency-Key", named ? "k" : ""}}, "x"), 20s,
          http::Limits{}, [](const Result&) {});
      town.net.run_for(50ms);
      EXPECT_EQ(town.gateway->core().open(), 1U);
    }
    town.net.run_for(50ms);
    // A named call can be asked for again: it goes on.
    EXPECT_EQ(town.gateway->core().open(), named ? 1U : 0U);
  }
  EXPECT_EQ(town.gateway->core().counters().abandoned, 1U);
  town.worker(1).set_full(false), town.worker(2).set_full(false);
  EXPECT_EQ(town.call("gate", {{"Idempotency-Key", "k"}}, "x").status, 200);
}

// A client that repeats under its key until it has an answer, and a gateway that dies at every step there is.
class EveryInvokeStep : public testing::TestWithParam<std::tuple<const char*, bool>> {};
TEST_P(EveryInvokeStep, AGateReleaseRunsOnceAndHasOneAnswer) {
  const auto [step, deferred] = GetParam();
  int deaths = 0;
  for (int nth = 1; nth <= 3; ++nth)
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      HttpTown town(seed);
      int passed = 0;
      town.on_step = [&, s = std::string(step)](const char* at) {
        if (s == at && ++passed == nth) throw Killed{};
      };
      for (int i = 0; i < 3; ++i) {
        const std::size_t before = town.runs();
        const Fields fields{{"Idempotency-Key", "k" + std::to_string(i)},
                            {"Prefer", deferred ? "respond-async" : ""}};
        Result r;
        std::string where;
        for (int tries = 0; tries < 50 && (r.status == 0 || r.status == 202); ++tries) {
          r = where.empty() ? town.call("gate", fields) : town.ask("GET", where);
          if (r.status == 202) where = HttpTown::field(r, "Location");
          if (r.status == 202 || r.status == 0) town.run_for(40ms);
        }
        EXPECT_TRUE(r.status == 200 || r.status == 502) << r.status << " " << step << " " << r.body;
        EXPECT_LE(town.runs() - before, 1U) << step << " " << nth << " seed " << seed;
        if (r.status == 200) {
          EXPECT_EQ(town.runs() - before, 1U);
        }
        const Result again = town.call("gate", fields);
        EXPECT_EQ(again.status, r.status) << step;
        EXPECT_EQ(again.body, r.body) << step;
        town.run_for(3s);
        EXPECT_LE(town.runs() - before, 1U) << step;
      }
      deaths += town.kills;
    }
  const std::string s = step;
  const bool expected = s.starts_with("attempt-") || s.starts_with("answer-queued") ||
                        s == "answer-durable" || s == "delivered-queued" ||
                        (deferred && s.starts_with("take"));
  if (expected && s != "attempt-ended") {
    EXPECT_GE(deaths, 3) << step;
  }
}
INSTANTIATE_TEST_SUITE_P(Invoke, EveryInvokeStep,
                         testing::Combine(testing::ValuesIn(ledger::kCrashPoints), testing::Bool()),
                         [](const auto& info) {
                           std::string name = std::get<0>(info.param);
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name + (std::get<1>(info.param) ? "_deferred" : "_named");
                         });

TEST(Invoke, DeferredCallsSurviveAKillAndAreAnsweredInTime) {
  HttpTown town;
  town.worker(1).set_silent(true), town.worker(2).set_silent(true);
  std::vector<std::string> where;
  for (int i = 0; i < 5; ++i)
    where.push_back(HttpTown::field(town.call("gate", {{"Prefer", "respond-async"}}), "Location"));
  town.kill_gateway();
  town.net.run_for(10s);
  town.start_gateway();
  for (const std::string& w : where) {
    const Result r = town.poll(w);
    EXPECT_TRUE(r.status == 502 || r.status == 503) << r.status << r.body;
  }
  EXPECT_EQ(town.runs(), 0U);
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
  void on_gone(http::Server::Ticket) override {}
  std::string on_bad(int, const std::string& why) override { return why; }
};
const Fields kCallback{{"Prefer", "respond-async"}, {"Call-Callback", "http://127.0.0.1:9000/done?x=1"}};

TEST(Invoke, AnswersArePostedToTheirCallback) {
  HttpTown town;
  Listener listener(town.net);
  listener.refuse = 2;
  const Result taken = town.call("gate", kCallback);
  ASSERT_TRUE(town.net.run_until([&] { return listener.got.size() == 3; }));
  town.net.run_for(60s);
  ASSERT_EQ(listener.got.size(), 3U);
  for (const auto& r : listener.got) {
    EXPECT_EQ(r.target, "/done?x=1");
    EXPECT_EQ(r.body, "payload");
    EXPECT_EQ(*r.headers.find("Call-Outcome"), "served");
    EXPECT_EQ(*r.headers.find("Idempotency-Key"), "\"" + HttpTown::field(taken, "Call-Id") + "\"");
  }
  EXPECT_EQ(town.ask("GET", HttpTown::field(taken, "Location")).status, 200);
}

TEST(Invoke, CallbacksAreTriedSoOftenAndNoMore) {
  HttpTown town;
  Listener listener(town.net);
  listener.refuse = 1000;
  const Result taken = town.call("gate", kCallback);
  town.net.run_for(300s);
  EXPECT_EQ(listener.got.size(), 5U);
  EXPECT_TRUE(town.log.contains("was not taken by its callback in 5 attempts: status 500"));
  EXPECT_EQ(town.ask("GET", HttpTown::field(taken, "Location")).status, 200);
}

TEST(Invoke, CallbacksThatAreDueSurviveAKill) {
  HttpTown town;
  const Result taken = town.call("gate", kCallback);  // nobody listens yet
  town.net.run_for(2s);
  town.kill_gateway();
  Listener listener(town.net);
  town.start_gateway();
  ASSERT_TRUE(town.net.run_until([&] { return !listener.got.empty(); }));
  town.net.run_for(60s);
  EXPECT_EQ(listener.got.size(), 1U);
  EXPECT_EQ(town.runs(), 1U);
}

// ---- Several controllers ----------------------------------------------------------------------------------

TEST(Invoke, KeysAndCallsOfAnotherControllerAreFoundThere) {
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
  HttpTown town;
  town.kill_gateway();
  town.config = std::make_shared<const config::Settings>(*config::parse(text(0), "0").settings);
  town.start_gateway();
  const auto other_settings = std::make_shared<const config::Settings>(*config::parse(text(1), "1").settings);
  store::MemoryDisk disk;
  store::MemoryStore store(town.net, disk);
  ledger::CallLedger book(town.net, store, {});
  ASSERT_FALSE(book.load());
  Log log;
  controller::Gateway other(town.net, other_settings, log, 9, 1, &book);
  other.start();
  town.net.run_for(500ms);
  int moved = 0;
  for (int i = 0; i < 20; ++i) {
    const Fields fields{{"Idempotency-Key", "k" + std::to_string(i)}, {"Prefer", "respond-async"}};
    town.at.port = 8080;
    Result here = town.call("gate", fields);
    if (here.status == 307) {
      ++moved;
      EXPECT_EQ(HttpTown::field(here, "Location"), "http://127.0.0.1:8081/v1/functions/gate/calls");
      town.at.port = 8081;
      here = town.call("gate", fields);
    }
    ASSERT_EQ(here.status, 202);
    const std::string where = HttpTown::field(here, "Location");
    ASSERT_EQ(town.poll(where).status, 200);
    // The same key at the other one is sent here, and so is whoever polls there.
    const int owner = town.at.port;
    town.at.port = static_cast<std::uint16_t>(8080 + 8081 - owner);
    EXPECT_EQ(town.call("gate", fields).status, 307);
    const Result polled = town.ask("GET", where);
    EXPECT_EQ(polled.status, 307);
    EXPECT_EQ(HttpTown::field(polled, "Location"), "http://127.0.0.1:" + std::to_string(owner) + where);
    EXPECT_EQ(town.ask("DELETE", where).status, 307);
  }
  EXPECT_GT(moved, 3);
  EXPECT_LT(moved, 17);
  EXPECT_EQ(town.runs(), 20U);
}

TEST(Invoke, AControllerWhoseAddressIsNotToldIsNamed) {
  HttpTown town;
  town.kill_gateway();
  std::string text = settings_text("", invoke_settings());
  text.replace(text.find("name = \"gw-0\""), 13, "name = \"gw-0\"\nreplicas = 2");
  town.config = std::make_shared<const config::Settings>(*config::parse(text, "t").settings);
  town.start_gateway();
  town.net.run_for(100ms);
  int said = 0;
  for (int i = 0; i < 10; ++i) {
    const Result r = town.call("gate", {{"Idempotency-Key", "k" + std::to_string(i)}});
    said += r.status == 503 && HttpTown::detail(r).find("controller 1 holds this") != std::string::npos;
  }
  EXPECT_GT(said, 0);
}

// ---- Trouble ----------------------------------------------------------------------------------------------

TEST(Invoke, AFullDiskTakesNoDeferredCalls) {
  HttpTown town;
  EXPECT_EQ(town.call("gate", {{"Idempotency-Key", "warm"}}).status, 200);
  town.disk.full = true;
  town.call("gate", {{"Prefer", "respond-async"}, {"Call-Deadline-Ms", "200"}}, "x");
  town.net.run_for(500ms);
  const Result r = town.call("gate", {{"Prefer", "respond-async"}});
  EXPECT_EQ(r.status, 503);
  EXPECT_NE(HttpTown::detail(r).find("no space left"), std::string::npos) << HttpTown::detail(r);
  EXPECT_EQ(town.field(r, "Retry-After"), "1");
  EXPECT_EQ(town.call("echo").status, 200);  // needs no record
  town.disk.full = false;
  town.net.run_for(2s);
  EXPECT_EQ(town.call("gate", {{"Idempotency-Key", "after"}}).status, 200);
}

TEST(Invoke, DrainAnswersWhatWasTaken) {
  HttpTown town;
  std::optional<Result> got;
  http::Exchange e(town.net, town.at, town.request("POST", "/v1/functions/gate/calls", {}, "x"), 20s, {},
                   [&](Result r) { got = std::move(r); });
  town.net.run_for(20ms);
  std::optional<bool> drained;
  town.gateway->drain([&](bool all) { drained = all; });
  ASSERT_TRUE(town.net.run_until([&] { return drained.has_value(); }));
  EXPECT_TRUE(*drained);
  town.net.run_for(10ms);
  ASSERT_TRUE(got);
  EXPECT_EQ(got->status, 200);
}

// A request that was half here when the gateway began to stop is told so, and is not run.
TEST(Invoke, WhatComesWhileItDrainsIsTurnedAway) {
  HttpTown town;
  struct Half : io::ConnectionEvents {
    std::string heard;
    std::size_t on_bytes(std::string_view b) override { return heard += b, b.size(); }
    void on_closed(io::CloseReason) override {}
  } half;
  std::optional<Result> got;  // something to answer keeps the gateway alive meanwhile
  http::Exchange e(town.net, town.at, town.request("POST", "/v1/functions/gate/calls", {}, "x"), 20s, {},
                   [&](Result r) { got = std::move(r); });
  std::string text;
  http::write(text, town.request("POST", "/v1/functions/gate/calls", {}, "y"));
  auto connection = town.net.connect(town.at, {}, half);
  town.net.run_for(5ms);
  connection->write(text.substr(0, text.size() / 2));
  town.net.run_for(5ms);
  town.gateway->drain([](bool) {});
  connection->write(text.substr(text.size() / 2));
  ASSERT_TRUE(town.net.run_until([&] { return half.heard.find("\r\n\r\n") != std::string::npos; }));
  EXPECT_TRUE(half.heard.starts_with("HTTP/1.1 503 ")) << half.heard;
  ASSERT_TRUE(town.net.run_until([&] { return got.has_value(); }));
  EXPECT_EQ(town.runs(), 1U);
}

// ---- The description --------------------------------------------------------------------------------------

// Run last of its suite by its name: all that the tests above saw is described, and all that is described was
// seen.
TEST(InvokeZ, TheDescriptionAndTheServerAgree) {
  HttpTown town;
  const Result served = town.ask("GET", "/v1/openapi.json", {{"Authorization", "none"}});
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
