// The box agent against the stand-in store in virtual time: each hard case of docs/layers.md, caused.
#include "layers/agent.h"

#include <gtest/gtest.h>

#include <random>

#include "layers/agent_server.h"
#include "layers/client.h"
#include "sim/network.h"
#include "standin/registry.h"

namespace laureltide::layers {
namespace {

using namespace std::chrono_literals;
using standin::Registry;
using Fault = Registry::Fault;

std::string noise(std::size_t n, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string out(n, '\0');
  for (char& c : out) c = static_cast<char>(random() & 0x3f);
  return out;
}

// A store with published functions, and a box beside it.
struct Box : testing::Test {
  static constexpr std::size_t kSize = 200'000;
  sim::Network net;
  standin::NoTape tape;
  Registry store{net, registry_options(), tape};
  MemoryFiles files;
  AgentOptions options;
  std::unique_ptr<MemoryDisk> disk;
  std::unique_ptr<RegistryClient> remote;
  std::unique_ptr<Agent> agent;
  std::vector<std::string> said;
  std::uint64_t release = 0;
  std::map<std::string, std::string> plain;  // version to its layer's bytes

  static standin::RegistryOptions registry_options() {
    standin::RegistryOptions o;
    o.bytes_per_s = 20e6, o.latency = 1ms;
    return o;
  }
  Box() {
    store.listen({"10.0.0.1", 5000});
    options.capacity = 4U << 20;
    options.scheduler.first_pause = 10ms;
  }
  void start(const char* name = "box-1") {
    disk = std::make_unique<MemoryDisk>(net, files);
    RegistryClientOptions o;
    o.replicas.push_back({"10.0.0.1", 5000});
    for (std::uint32_t r = 1; r < options.replicas; ++r)
      o.replicas.push_back({"10.0.0.1", static_cast<std::uint16_t>(5000 + r)});
    o.name = name, o.within = 2s;
    remote = std::make_unique<RegistryClient>(net, o);
    agent = std::make_unique<Agent>(net, *disk, *remote, options,
                                    [this](bool, const std::string& line) { said.push_back(line); });
  }
  void stop() { agent.reset(), remote.reset(), disk.reset(); }

  struct Published {
    Digest version;
    PackedLayer packed;
  };
  Published publish(const std::string& function, const std::string& bytes, Registry* into = nullptr) {
    Registry& r = into ? *into : store;
    Published p;
    p.packed = pack_layer(bytes, ChunkerOptions{16U << 10});
    const std::string repository = "functions/" + function;
    r.put_blob(repository, p.packed.blob), r.put_blob(repository, p.packed.index_bytes);
    Manifest m;
    m.function = function, m.release = ++release;
    m.layers.push_back({"model", digest_of(p.packed.blob), digest_of(p.packed.index_bytes),
                        p.packed.blob.size(), p.packed.index_bytes.size()});
    const std::string text = write_manifest(m);
    p.version = digest_of(text);
    r.put_manifest(repository, "current", text);
    plain[p.version.text()] = bytes;
    return p;
  }
  // A pin as a worker gets it, and the bytes it would load.
  struct Got {
    bool over = false;
    std::optional<Snapshot> snapshot;
    NoSnapshot no;
    std::uint64_t ticket = 0;
  };
  std::shared_ptr<Got> ask(const std::string& function, Level level = Level::kCall,
                           const std::string& worker = "w1", std::optional<Digest> version = {}) {
    auto got = std::make_shared<Got>();
    got->ticket = agent->ask({worker, "life-1", function, version, level},
                             [got](std::optional<Snapshot> s, const NoSnapshot& no) {
                               got->over = true, got->snapshot = std::move(s), got->no = no;
                             });
    return got;
  }
  bool run(const std::shared_ptr<Got>& got, Duration most = 60s) {
    return net.run_until([&] { return got->over; }, most) && got->snapshot.has_value();
  }
  std::string read(const Snapshot& s) const {
    std::string all;
    for (const auto& layer : s.layers)
      for (const auto& [path, size] : layer.chunks) {
        const auto key = parse_digest("sha256:" + path.substr(path.rfind('/') + 1));
        const auto file = files.files.find(*key);
        if (file == files.files.end()) return "missing";
        all += file->second;
      }
    return all;
  }
  void expect_whole(const Snapshot& s) const {
    const std::string bytes = read(s);
    EXPECT_EQ(digest_of(bytes), s.layers[0].content);
    EXPECT_EQ(bytes, plain.at(s.version.text()));
  }
  // The store's own count: nothing was sent twice to this box.
  void expect_once() const {
    for (const auto& [range, times] : store.ranges())
      if (range.find('-', range.find(' ')) != std::string::npos && range.find(" 0-") == std::string::npos) {
        EXPECT_EQ(times, 1) << range;
      }
  }
};

TEST_F(Box, AWorkerGetsAWholeVersion) {
  const auto p = publish("decoder", noise(kSize, 1));
  start();
  const auto got = ask("decoder");
  ASSERT_TRUE(run(got)) << got->no.why;
  EXPECT_EQ(got->snapshot->version, p.version);
  expect_whole(*got->snapshot);
  EXPECT_EQ(agent->counters().chunk_fetches, p.packed.index.chunks.size());
  EXPECT_TRUE(agent->shelf().consistent());
}

TEST_F(Box, SixtyFourWorkersAtOnceAreOneFetchOfEachChunk) {
  publish("decoder", noise(kSize, 1));
  start();
  std::vector<std::shared_ptr<Got>> all;
  for (int i = 0; i < 64; ++i) all.push_back(ask("decoder", Level::kCall, "w" + std::to_string(i)));
  for (const auto& got : all) {
    ASSERT_TRUE(run(got)) << got->no.why;
    expect_whole(*got->snapshot);
  }
  expect_once();
  EXPECT_EQ(agent->pins(), 64U);
}

// Through the API, with a client of each worker.
TEST_F(Box, TheApiGivesTheSameAndALeaseThatRunsOutLetsGo) {
  publish("decoder", noise(kSize, 1));
  start();
  AgentServer server(net, *agent);
  ASSERT_TRUE(server.listen({"10.0.0.2", 7800}));
  std::vector<std::unique_ptr<AgentClient>> clients;
  int pinned = 0;
  std::vector<ReleaseStatus> news;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(
        std::make_unique<AgentClient>(net, io::Address{"10.0.0.2", 7800}, "w" + std::to_string(i), "1"));
    clients.back()->pin("decoder", {}, Level::kHold, 30s,
                        [&](std::optional<Snapshot> s, const std::string& why) {
                          ASSERT_TRUE(s) << why;
                          expect_whole(*s);
                          ++pinned;
                        });
  }
  clients[0]->watch_releases([&](const std::vector<ReleaseStatus>& all) { news = all; });
  ASSERT_TRUE(net.run_until([&] { return pinned == 8; }));
  ASSERT_TRUE(net.run_until([&] { return news.size() == 1 && news[0].whole; }));
  net.run_for(60s);
  EXPECT_EQ(agent->pins(), 8U);                       // kept up by the clients
  clients.erase(clients.begin() + 1, clients.end());  // seven workers die holding theirs
  net.run_for(options.lease + 3s);
  EXPECT_EQ(agent->pins(), 1U);
  std::string refused;
  clients[0]->pin("no-such", {}, Level::kCall, 30s,
                  [&](const std::optional<Snapshot>& s, const std::string& why) {
                    EXPECT_FALSE(s);
                    refused = why;
                  });
  ASSERT_TRUE(net.run_until([&] { return !refused.empty(); }));
  EXPECT_NE(refused.find("the store does not have it"), std::string::npos) << refused;
}

TEST_F(Box, ANewLifeOfAWorkerEndsThePinsOfTheOld) {
  publish("decoder", noise(kSize, 1));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  agent->renew("w1", "life-2");
  EXPECT_EQ(agent->pins(), 0U);
}

TEST_F(Box, ACorruptChunkIsFetchedAgain) {
  const auto p = publish("decoder", noise(kSize, 1));
  store.add({Fault::Kind::kCorrupt, 1, digest_of(p.packed.blob).text(), 0, 0, ""});
  start();
  const auto got = ask("decoder");
  ASSERT_TRUE(run(got)) << got->no.why;
  expect_whole(*got->snapshot);
  EXPECT_EQ(agent->counters().corrupt, 1U);
}

TEST_F(Box, AlwaysCorruptIsSaidAndNothingOfItIsKept) {
  const auto p = publish("decoder", noise(kSize, 1));
  store.add({Fault::Kind::kCorrupt, -1, digest_of(p.packed.blob).text(), 0, 0, ""});
  start();
  const auto got = ask("decoder");
  EXPECT_FALSE(run(got, 300s));
  EXPECT_TRUE(got->over);
  EXPECT_EQ(got->no.kind, NoSnapshot::Kind::kStore);
  EXPECT_NE(got->no.why.find("other bytes than the digest names"), std::string::npos) << got->no.why;
  EXPECT_TRUE(files.files.empty());
  store.clear_faults();
  ASSERT_TRUE(run(ask("decoder")));  // and the next one asks anew
}

TEST_F(Box, ACorruptReplicaIsPassedBy) {
  Registry second(net, registry_options(), tape);
  ASSERT_TRUE(second.listen({"10.0.0.1", 5001}));
  const auto p = publish("decoder", noise(kSize, 1));
  --release;
  publish("decoder", noise(kSize, 1), &second);
  second.add({Fault::Kind::kCorrupt, -1, digest_of(p.packed.blob).text(), 0, 0, ""});
  options.replicas = 2;
  start();
  const auto got = ask("decoder");
  ASSERT_TRUE(run(got)) << got->no.why;
  expect_whole(*got->snapshot);
  EXPECT_LE(agent->counters().corrupt, 4U);  // those that were out at once; then it rests
}

struct Answers : Box, testing::WithParamInterface<Fault::Kind> {};

TEST_P(Answers, BrokenOnceAreAskedForAgain) {
  const auto p = publish("decoder", noise(kSize, 1));
  Fault fault{GetParam(), 2, "", 503, 0, ""};
  if (GetParam() != Fault::Kind::kWholeBody && GetParam() != Fault::Kind::kOtherRange)
    fault.digest = digest_of(p.packed.blob).text();
  store.add(fault);
  start();
  const auto got = ask("decoder");
  ASSERT_TRUE(run(got)) << got->no.why;
  expect_whole(*got->snapshot);
  EXPECT_GE(agent->scheduler().repeats(), 2U);
  EXPECT_EQ(agent->counters().corrupt, 0U);  // known for what it is, not for other bytes
}
INSTANTIATE_TEST_SUITE_P(Layers, Answers,
                         testing::Values(Fault::Kind::kShort, Fault::Kind::kReset, Fault::Kind::kEndless,
                                         Fault::Kind::kStatus, Fault::Kind::kWholeBody,
                                         Fault::Kind::kOtherRange));

TEST_F(Box, ARedirectIsFollowedAndALoopOfThemIsNot) {
  Registry elsewhere(net, registry_options(), tape);
  ASSERT_TRUE(elsewhere.listen({"10.0.0.1", 5009}));
  publish("decoder", noise(kSize, 1), &elsewhere);
  --release;
  const auto p = publish("decoder", noise(kSize, 1));
  store.add({Fault::Kind::kRedirect, -1, digest_of(p.packed.blob).text(), 0, 0, "http://10.0.0.1:5009"});
  start();
  const auto got = ask("decoder");
  ASSERT_TRUE(run(got)) << got->no.why;
  expect_whole(*got->snapshot);
  stop();
  files = {};
  store.clear_faults();
  store.add({Fault::Kind::kRedirect, -1, digest_of(p.packed.blob).text(), 0, 0, "http://10.0.0.1:5000"});
  start();
  const auto round = ask("decoder");
  EXPECT_FALSE(run(round, 300s));
  EXPECT_TRUE(round->over);
  EXPECT_EQ(round->no.kind, NoSnapshot::Kind::kStore);
}

TEST_F(Box, AMissingChunkIsSaidAndTheOldVersionStays) {
  const auto first = publish("decoder", noise(kSize, 1));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  const auto second = publish("decoder", noise(kSize, 2));
  store.delete_blob(digest_of(second.packed.blob).text());
  agent->look("decoder");
  net.run_for(20s);
  const auto got = ask("decoder", Level::kCall, "w2");
  ASSERT_TRUE(run(got));
  EXPECT_EQ(got->snapshot->version, first.version);
  ASSERT_FALSE(agent->waiting(10).empty());
  EXPECT_NE(agent->waiting(10)[0].find("the store does not have it"), std::string::npos)
      << agent->waiting(10)[0];
}

TEST_F(Box, AReleaseThatLandsWhileTheOldIsHalfFetched) {
  const std::string shared = noise(kSize, 1);
  const auto first = publish("decoder", shared);
  start();
  const auto early = ask("decoder");
  ASSERT_TRUE(net.run_until([&] { return agent->shelf().chunks() >= 3; }));
  ASSERT_FALSE(early->over);
  const auto second = publish("decoder", shared.substr(0, kSize / 2) + noise(kSize / 2, 3));
  agent->look("decoder");
  // Who asked for the first gets the first, whole; who comes later gets whichever is whole, whole.
  ASSERT_TRUE(run(early));
  EXPECT_EQ(early->snapshot->version, first.version);
  expect_whole(*early->snapshot);
  ASSERT_TRUE(net.run_until([&] {
    const auto r = agent->releases();
    return r.size() == 1 && r[0].version == second.version && r[0].whole;
  }));
  const auto late = ask("decoder", Level::kCall, "w2");
  ASSERT_TRUE(run(late));
  EXPECT_EQ(late->snapshot->version, second.version);
  expect_whole(*late->snapshot);
  expect_whole(*early->snapshot);  // pinned: still there
  expect_once();                   // what both hold was fetched once
}

TEST_F(Box, OfTwoReleasesWithinASecondTheFirstIsCalledOff) {
  publish("decoder", noise(kSize, 1));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  publish("decoder", noise(8 * kSize, 2));
  agent->look("decoder");
  ASSERT_TRUE(net.run_until([&] { return agent->shelf().chunks() > 20; }));
  const auto third = publish("decoder", noise(kSize, 3));
  agent->look("decoder");
  ASSERT_TRUE(net.run_until([&] {
    const auto r = agent->releases();
    return r.size() == 1 && r[0].version == third.version;
  }));
  EXPECT_GT(agent->counters().called_off, 0U);
  EXPECT_LT(agent->counters().fetched_bytes, 6 * kSize);  // far from all of the second
}

TEST_F(Box, AReplicaThatLagsDoesNotBringAnOldReleaseBack) {
  const auto first = publish("decoder", noise(kSize, 1));
  const auto second = publish("decoder", noise(kSize, 2));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  Manifest old;  // the tag as it was
  release = 0;
  publish("decoder", noise(kSize, 1));
  agent->look("decoder");
  net.run_for(10s);
  const auto got = ask("decoder", Level::kCall, "w2");
  ASSERT_TRUE(run(got));
  EXPECT_EQ(got->snapshot->version, second.version);
  static_cast<void>(first);
}

TEST_F(Box, ARollbackToAVersionHalfEvictedFetchesTheOtherHalf) {
  const std::string old = noise(kSize, 1);
  publish("decoder", old);
  options.capacity = kSize * 3 / 2;
  start();
  const auto one = ask("decoder");
  ASSERT_TRUE(run(one));
  agent->unpin(one->snapshot->pin);
  publish("decoder", noise(kSize, 2));
  agent->look("decoder");
  ASSERT_TRUE(
      net.run_until([&] { return agent->releases().size() == 1 && agent->releases()[0].release == 2; }));
  EXPECT_GT(agent->shelf().evicted(), 0U);
  const std::uint64_t before = agent->counters().chunk_fetches;
  const auto back = publish("decoder", old);
  agent->look("decoder");
  ASSERT_TRUE(
      net.run_until([&] { return agent->releases().size() == 1 && agent->releases()[0].release == 3; }));
  const auto got = ask("decoder");
  ASSERT_TRUE(run(got));
  expect_whole(*got->snapshot);
  const std::uint64_t fetched = agent->counters().chunk_fetches - before;
  EXPECT_GT(fetched, 0U);
  EXPECT_LT(fetched, back.packed.index.chunks.size());
  EXPECT_LE(agent->shelf().bytes(), options.capacity);
  EXPECT_LE(files.used(), options.capacity);
}

TEST_F(Box, WhatIsPinnedIsNeverEvictedForMore) {
  publish("a", noise(kSize, 1)), publish("b", noise(kSize, 2));
  options.capacity = kSize * 3 / 2;
  start();
  const auto a = ask("a");
  ASSERT_TRUE(run(a));
  const std::uint64_t before = agent->counters().fetched_bytes;
  const auto b = ask("b", Level::kCall, "w2");
  EXPECT_FALSE(run(b));
  EXPECT_LT(agent->counters().fetched_bytes - before, 20'000U);  // said before half of it was fetched
  EXPECT_EQ(b->no.kind, NoSnapshot::Kind::kRoom);
  expect_whole(*a->snapshot);
  agent->unpin(a->snapshot->pin);
  ASSERT_TRUE(run(ask("b", Level::kCall, "w2")));
  EXPECT_LE(files.used(), options.capacity);
}

TEST_F(Box, AFullDiskInMidLayerIsSaidAndMendsItself) {
  publish("decoder", noise(kSize, 1));
  files.room = kSize / 2;
  start();
  const auto got = ask("decoder");
  EXPECT_FALSE(run(got));
  EXPECT_EQ(got->no.kind, NoSnapshot::Kind::kRoom);
  EXPECT_NE(got->no.why.find("no space left"), std::string::npos) << got->no.why;
  EXPECT_TRUE(agent->shelf().consistent());
  files.room = UINT64_MAX;
  const auto again = ask("decoder");
  ASSERT_TRUE(run(again));
  expect_whole(*again->snapshot);
}

TEST_F(Box, AStoreThatTurnsAwayIsAskedLessAndServesInTheEnd) {
  publish("decoder", noise(8 * kSize, 1));
  store.add({Fault::Kind::kStatus, 12, "", 429, 1, ""});
  start();
  const auto got = ask("decoder");
  ASSERT_TRUE(run(got, 300s)) << got->no.why;
  expect_whole(*got->snapshot);
}

TEST_F(Box, AStoreEightTimesSlowerHasFewerFetchesAtOnce) {
  publish("decoder", noise(2 * kSize, 1)), publish("other", noise(12 * kSize, 2));
  options.capacity = 64U << 20;
  start();
  ASSERT_TRUE(run(ask("decoder")));
  const double before = agent->store().window;
  store.set_slowdown(8);
  const auto got = ask("other");
  ASSERT_TRUE(run(got, 300s)) << got->no.why;
  EXPECT_LT(agent->store().window, before);
}

TEST_F(Box, AReleaseDoesNotStarveTheCallsOfToday) {
  options.capacity = 64U << 20;
  publish("decoder", noise(kSize, 1)), publish("gate", noise(kSize, 2));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  publish("decoder", noise(40 * kSize, 3));  // 8 MB at 20 MB/s: 400 ms for all of it
  agent->look("decoder");
  ASSERT_TRUE(net.run_until([&] { return agent->counters().chunk_fetches > 20; }));
  const Time from = net.now();
  const auto got = ask("gate", Level::kCall, "w2");
  ASSERT_TRUE(run(got));
  EXPECT_LT(net.now() - from, 150ms);
}

TEST_F(Box, WhatNobodyWaitsForAnyMoreIsCalledOff) {
  const auto p = publish("decoder", noise(8 * kSize, 3));
  options.tag_poll_interval = 1h;
  start();
  const auto asked = ask("decoder", Level::kCall, "w1", p.version);
  ASSERT_TRUE(net.run_until([&] { return agent->shelf().chunks() > 3; }));
  agent->call_off(asked->ticket);
  EXPECT_GT(agent->counters().called_off, 0U);
  const std::uint64_t sent = store.sent_bytes();
  net.run_for(5s);
  EXPECT_LT(store.sent_bytes() - sent, 300'000U);  // at most what was on its way
  EXPECT_EQ(agent->scheduler().size(), 0U);
}

TEST_F(Box, DomainsShareNothing) {
  const std::string same = noise(kSize, 1);
  publish("line-a/decoder", same), publish("line-b/decoder", same);
  start();
  ASSERT_TRUE(run(ask("line-a/decoder")));
  const std::uint64_t before = agent->counters().chunk_fetches;
  ASSERT_TRUE(run(ask("line-b/decoder", Level::kCall, "w2")));
  EXPECT_EQ(agent->counters().chunk_fetches, 2 * before);  // as if the other were not there
  EXPECT_EQ(agent->counters().chunk_hits, 0U);
}

TEST_F(Box, WithinADomainFunctionsShareChunks) {
  const std::string same = noise(kSize, 1);
  publish("line-a/one", same), publish("line-a/two", same);
  start();
  ASSERT_TRUE(run(ask("line-a/one")));
  const std::uint64_t before = agent->counters().chunk_fetches;
  ASSERT_TRUE(run(ask("line-a/two", Level::kCall, "w2")));
  EXPECT_EQ(agent->counters().chunk_fetches, before);
}

TEST_F(Box, AJumpOfTheWallClockChangesNothing) {
  publish("decoder", noise(kSize, 1));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  net.wall_clock_offset_ms += 365LL * 86'400'000;
  net.run_for(5s);
  agent->renew("w1", "life-1");
  net.wall_clock_offset_ms -= 2 * 365LL * 86'400'000;
  net.run_for(5s);
  EXPECT_EQ(agent->pins(), 1U);
}

TEST_F(Box, ARestartFetchesNothingAgainAndBelievesNothingUnproven) {
  publish("decoder", noise(kSize, 1));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  const std::uint64_t sent = store.sent_bytes();
  stop();
  auto broken = files.files.begin()->first;
  files.files[broken][10] ^= 1;  // same size, other bytes: only a digest tells
  start();
  EXPECT_EQ(agent->releases().size(), 1U);
  EXPECT_TRUE(agent->releases()[0].whole);
  const auto got = ask("decoder");
  ASSERT_TRUE(run(got)) << got->no.why;
  expect_whole(*got->snapshot);
  EXPECT_EQ(agent->counters().broken_on_disk, 1U);
  EXPECT_LT(store.sent_bytes() - sent, 80'000U);  // the one chunk
}

TEST_F(Box, AVersionThatWasOnlyHalfHereComesBackAfterARestart) {
  const auto first = publish("decoder", noise(kSize, 1));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  const auto second = publish("decoder", noise(kSize, 2));
  agent->look("decoder");
  ASSERT_TRUE(net.run_until([&] { return agent->shelf().chunks() > 16; }));
  stop();
  start();
  const auto got = ask("decoder");  // the old one is whole
  ASSERT_TRUE(run(got));
  EXPECT_EQ(got->snapshot->version, first.version);
  expect_whole(*got->snapshot);
  ASSERT_TRUE(net.run_until([&] {
    for (const ReleaseStatus& r : agent->releases())
      if (r.version == second.version && r.whole) return true;
    return false;
  }));
  int twice = 0;  // what was on its way when the process ended
  for (const auto& [range, times] : store.ranges())
    twice += times > 1 && range.find('-', range.find(' ')) != std::string::npos;
  EXPECT_LE(twice, 8);
}

TEST_F(Box, IndexAndFilesThatDisagreeAreDropped) {
  publish("decoder", noise(kSize, 1));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  stop();
  files.files.erase(files.files.begin());                // an entry without its file
  files.index.erase(std::prev(files.index.end()));       // a file without its entry
  std::next(files.files.begin(), 1)->second.pop_back();  // another size
  start();
  const auto got = ask("decoder");
  ASSERT_TRUE(run(got)) << got->no.why;
  expect_whole(*got->snapshot);
}

TEST_F(Box, AReleaseThatLostAChunkIsMadeWholeAgainUnasked) {
  publish("decoder", noise(kSize, 1));
  start();
  ASSERT_TRUE(run(ask("decoder")));
  stop();
  files.files.erase(files.files.begin());
  start();
  ASSERT_FALSE(agent->releases()[0].whole);
  agent->look("decoder");
  EXPECT_TRUE(net.run_until([&] { return agent->releases()[0].whole; }, 30s));
}

// The process ends at each step of the disk, at several times each; whatever it left, the next life serves
// whole versions and nothing else.
struct Steps : Box, testing::WithParamInterface<const char*> {};

TEST_P(Steps, AKillAtAnyOfThemLeavesNothingThatIsBelievedWrongly) {
  struct Killed {};
  for (const int times : {1, 2, 5}) {
    files = {};
    stop();
    release = 0;
    publish("decoder", noise(kSize, 1));
    start();
    int left = times;
    bool killed = false;
    disk->on_step = [&](const char* step) {
      if (std::string(step) == GetParam() && --left == 0) throw Killed();
    };
    try {
      ask("decoder");
      net.run_for(30s);
    } catch (const Killed&) {
      killed = true;
    }
    if (!killed && std::string(GetParam()) == "version-recorded" && times > 1) continue;  // it happens once
    ASSERT_TRUE(killed);
    stop();
    start();
    const auto got = ask("decoder");
    ASSERT_TRUE(run(got)) << got->no.why;
    expect_whole(*got->snapshot);
    EXPECT_TRUE(agent->shelf().consistent());
    for (const auto& [key, bytes] : files.files) EXPECT_EQ(files.index.count(key), 1U);
  }
}
INSTANTIATE_TEST_SUITE_P(Layers, Steps, testing::ValuesIn(kDiskSteps));

// Boxes that share nothing do not push the store over.
TEST_F(Box, ManyBoxesDoNotPushTheStoreOver) {
  publish("decoder", noise(4 * kSize, 1));
  struct One {
    MemoryFiles files;
    std::unique_ptr<MemoryDisk> disk;
    std::unique_ptr<RegistryClient> remote;
    std::unique_ptr<Agent> agent;
    bool well = false;
  };
  standin::RegistryOptions small = registry_options();
  small.takes = 40, small.bytes_per_s = 10e6;
  Registry crowded(net, small, tape);
  ASSERT_TRUE(crowded.listen({"10.0.0.1", 5050}));
  --release;
  publish("decoder", noise(4 * kSize, 1), &crowded);
  std::vector<std::unique_ptr<One>> boxes;
  for (int i = 0; i < 20; ++i) {
    auto one = std::make_unique<One>();
    one->disk = std::make_unique<MemoryDisk>(net, one->files);
    RegistryClientOptions o;
    o.replicas.push_back({"10.0.0.1", 5050});
    o.name = "box-" + std::to_string(i);
    one->remote = std::make_unique<RegistryClient>(net, o);
    one->agent =
        std::make_unique<Agent>(net, *one->disk, *one->remote, options, [](bool, const std::string&) {});
    one->agent->ask(
        {"w", "1", "decoder", {}, Level::kCall},
        [&well = one->well](const std::optional<Snapshot>& s, const NoSnapshot&) { well = s.has_value(); });
    boxes.push_back(std::move(one));
  }
  ASSERT_TRUE(net.run_until(
      [&] { return std::all_of(boxes.begin(), boxes.end(), [](auto& b) { return b->well; }); }, 300s));
  EXPECT_LT(crowded.max_in_flight(), 20U * 4U + 20U);
}

}  // namespace
}  // namespace laureltide::layers
