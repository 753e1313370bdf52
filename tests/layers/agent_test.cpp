// Tests of the layer agent against the simulated registry in virtual time, for the failure cases of
// docs/layers.md.
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

std::string random_bytes(std::size_t n, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string out(n, '\0');
  for (char& c : out) c = static_cast<char>(random() & 0x3f);
  return out;
}

// A registry with published functions, and a host with one agent.
struct AgentTest : testing::Test {
  static constexpr std::size_t kSize = 200'000;
  sim::Network net;
  standin::NoTape tape;
  Registry store{net, registry_options(), tape};
  MemoryFiles files;
  AgentOptions options;
  std::unique_ptr<MemoryDisk> disk;
  std::unique_ptr<RegistryClient> remote;
  std::unique_ptr<Agent> agent;
  std::vector<std::string> log_lines;
  std::uint64_t release = 0;
  std::map<std::string, std::string> plain;  // version to its layer's plain bytes

  static standin::RegistryOptions registry_options() {
    standin::RegistryOptions o;
    o.bytes_per_s = 20e6, o.latency = 1ms;
    return o;
  }
  AgentTest() {
    store.listen({"10.0.0.1", 5000});
    options.capacity = 4U << 20;
    options.scheduler.initial_backoff = 10ms;
  }
  void start(const char* name = "box-1") {
    disk = std::make_unique<MemoryDisk>(net, files);
    RegistryClientOptions o;
    o.replicas.push_back({"10.0.0.1", 5000});
    for (std::uint32_t r = 1; r < options.replicas; ++r)
      o.replicas.push_back({"10.0.0.1", static_cast<std::uint16_t>(5000 + r)});
    o.name = name, o.timeout = 2s;
    remote = std::make_unique<RegistryClient>(net, o);
    agent = std::make_unique<Agent>(net, *disk, *remote, options,
                                    [this](bool, const std::string& line) { log_lines.push_back(line); });
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
  // Result of a snapshot request.
  struct Result {
    bool done = false;
    std::optional<Snapshot> snapshot;
    SnapshotError error;
    std::uint64_t ticket = 0;
  };
  std::shared_ptr<Result> request(const std::string& function, Level level = Level::kCall,
                                  const std::string& worker = "w1", std::optional<Digest> version = {}) {
    auto result = std::make_shared<Result>();
    result->ticket = agent->request_snapshot({worker, "life-1", function, version, level},
                                             [result](std::optional<Snapshot> s, const SnapshotError& error) {
                                               result->done = true, result->snapshot = std::move(s),
                                               result->error = error;
                                             });
    return result;
  }
  bool run(const std::shared_ptr<Result>& result, Duration limit = 60s) {
    return net.run_until([&] { return result->done; }, limit) && result->snapshot.has_value();
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
  void expect_complete(const Snapshot& s) const {
    const std::string bytes = read(s);
    EXPECT_EQ(digest_of(bytes), s.layers[0].content);
    EXPECT_EQ(bytes, plain.at(s.version.text()));
  }
  // Checks by the registry's counters that no range was sent twice to this host.
  void expect_no_duplicate_sends() const {
    for (const auto& [range, times] : store.ranges())
      if (range.find('-', range.find(' ')) != std::string::npos && range.find(" 0-") == std::string::npos) {
        EXPECT_EQ(times, 1) << range;
      }
  }
};

TEST_F(AgentTest, ReturnsCompleteVersion) {
  const auto p = publish("decoder", random_bytes(kSize, 1));
  start();
  const auto result = request("decoder");
  ASSERT_TRUE(run(result)) << result->error.why;
  EXPECT_EQ(result->snapshot->version, p.version);
  expect_complete(*result->snapshot);
  EXPECT_EQ(agent->counters().chunk_fetches, p.packed.index.chunks.size());
  EXPECT_TRUE(agent->cache().consistent());
}

TEST_F(AgentTest, FetchesEachChunkOnceFor64ConcurrentWorkers) {
  publish("decoder", random_bytes(kSize, 1));
  start();
  std::vector<std::shared_ptr<Result>> all;
  for (int i = 0; i < 64; ++i) all.push_back(request("decoder", Level::kCall, "w" + std::to_string(i)));
  for (const auto& result : all) {
    ASSERT_TRUE(run(result)) << result->error.why;
    expect_complete(*result->snapshot);
  }
  expect_no_duplicate_sends();
  EXPECT_EQ(agent->pins(), 64U);
}

// Uses the HTTP API, with one client per worker.
TEST_F(AgentTest, ApiReturnsSnapshotsAndExpiredLeaseReleasesPins) {
  publish("decoder", random_bytes(kSize, 1));
  start();
  AgentServer server(net, *agent);
  ASSERT_TRUE(server.listen({"10.0.0.2", 7800}));
  std::vector<std::unique_ptr<AgentClient>> clients;
  int pinned = 0;
  std::vector<ReleaseStatus> releases;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(
        std::make_unique<AgentClient>(net, io::Address{"10.0.0.2", 7800}, "w" + std::to_string(i), "1"));
    clients.back()->pin("decoder", {}, Level::kHold, 30s,
                        [&](std::optional<Snapshot> s, const std::string& why) {
                          ASSERT_TRUE(s) << why;
                          expect_complete(*s);
                          ++pinned;
                        });
  }
  clients[0]->watch_releases([&](const std::vector<ReleaseStatus>& all) { releases = all; });
  ASSERT_TRUE(net.run_until([&] { return pinned == 8; }));
  ASSERT_TRUE(net.run_until([&] { return releases.size() == 1 && releases[0].whole; }));
  net.run_for(60s);
  EXPECT_EQ(agent->pins(), 8U);                       // the clients renew their leases
  clients.erase(clients.begin() + 1, clients.end());  // seven workers crash with a pin
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

TEST_F(AgentTest, NewIncarnationReleasesPinsOfPreviousOne) {
  publish("decoder", random_bytes(kSize, 1));
  start();
  ASSERT_TRUE(run(request("decoder")));
  agent->renew("w1", "life-2");
  EXPECT_EQ(agent->pins(), 0U);
}

TEST_F(AgentTest, RefetchesCorruptChunk) {
  const auto p = publish("decoder", random_bytes(kSize, 1));
  store.add({Fault::Kind::kCorrupt, 1, digest_of(p.packed.blob).text(), 0, 0, ""});
  start();
  const auto result = request("decoder");
  ASSERT_TRUE(run(result)) << result->error.why;
  expect_complete(*result->snapshot);
  EXPECT_EQ(agent->counters().corrupt, 1U);
}

TEST_F(AgentTest, ReportsPermanentCorruptionAndStoresNothing) {
  const auto p = publish("decoder", random_bytes(kSize, 1));
  store.add({Fault::Kind::kCorrupt, -1, digest_of(p.packed.blob).text(), 0, 0, ""});
  start();
  const auto result = request("decoder");
  EXPECT_FALSE(run(result, 300s));
  EXPECT_TRUE(result->done);
  EXPECT_EQ(result->error.kind, SnapshotError::Kind::kStoreFailed);
  EXPECT_NE(result->error.why.find("other bytes than the digest names"), std::string::npos)
      << result->error.why;
  EXPECT_TRUE(files.files.empty());
  store.clear_faults();
  ASSERT_TRUE(run(request("decoder")));  // the next request fetches again
}

TEST_F(AgentTest, AvoidsCorruptReplica) {
  Registry second(net, registry_options(), tape);
  ASSERT_TRUE(second.listen({"10.0.0.1", 5001}));
  const auto p = publish("decoder", random_bytes(kSize, 1));
  --release;
  publish("decoder", random_bytes(kSize, 1), &second);
  second.add({Fault::Kind::kCorrupt, -1, digest_of(p.packed.blob).text(), 0, 0, ""});
  options.replicas = 2;
  start();
  const auto result = request("decoder");
  ASSERT_TRUE(run(result)) << result->error.why;
  expect_complete(*result->snapshot);
  EXPECT_LE(agent->counters().corrupt, 4U);  // the concurrent fetches; after that the replica is avoided
}

struct FaultyResponses : AgentTest, testing::WithParamInterface<Fault::Kind> {};

TEST_P(FaultyResponses, RetriesFailedResponse) {
  const auto p = publish("decoder", random_bytes(kSize, 1));
  Fault fault{GetParam(), 2, "", 503, 0, ""};
  if (GetParam() != Fault::Kind::kWholeBody && GetParam() != Fault::Kind::kOtherRange)
    fault.digest = digest_of(p.packed.blob).text();
  store.add(fault);
  start();
  const auto result = request("decoder");
  ASSERT_TRUE(run(result)) << result->error.why;
  expect_complete(*result->snapshot);
  EXPECT_GE(agent->scheduler().retries(), 2U);
  EXPECT_EQ(agent->counters().corrupt, 0U);  // counted as failed, not as corrupt
}
INSTANTIATE_TEST_SUITE_P(Layers, FaultyResponses,
                         testing::Values(Fault::Kind::kShort, Fault::Kind::kReset, Fault::Kind::kEndless,
                                         Fault::Kind::kStatus, Fault::Kind::kWholeBody,
                                         Fault::Kind::kOtherRange));

TEST_F(AgentTest, FollowsRedirectButNotRedirectLoop) {
  Registry elsewhere(net, registry_options(), tape);
  ASSERT_TRUE(elsewhere.listen({"10.0.0.1", 5009}));
  publish("decoder", random_bytes(kSize, 1), &elsewhere);
  --release;
  const auto p = publish("decoder", random_bytes(kSize, 1));
  store.add({Fault::Kind::kRedirect, -1, digest_of(p.packed.blob).text(), 0, 0, "http://10.0.0.1:5009"});
  start();
  const auto result = request("decoder");
  ASSERT_TRUE(run(result)) << result->error.why;
  expect_complete(*result->snapshot);
  stop();
  files = {};
  store.clear_faults();
  store.add({Fault::Kind::kRedirect, -1, digest_of(p.packed.blob).text(), 0, 0, "http://10.0.0.1:5000"});
  start();
  const auto round = request("decoder");
  EXPECT_FALSE(run(round, 300s));
  EXPECT_TRUE(round->done);
  EXPECT_EQ(round->error.kind, SnapshotError::Kind::kStoreFailed);
}

TEST_F(AgentTest, ReportsMissingChunkAndKeepsCurrentVersion) {
  const auto first = publish("decoder", random_bytes(kSize, 1));
  start();
  ASSERT_TRUE(run(request("decoder")));
  const auto second = publish("decoder", random_bytes(kSize, 2));
  store.delete_blob(digest_of(second.packed.blob).text());
  agent->poll_tag("decoder");
  net.run_for(20s);
  const auto result = request("decoder", Level::kCall, "w2");
  ASSERT_TRUE(run(result));
  EXPECT_EQ(result->snapshot->version, first.version);
  ASSERT_FALSE(agent->describe_waiting(10).empty());
  EXPECT_NE(agent->describe_waiting(10)[0].find("the store does not have it"), std::string::npos)
      << agent->describe_waiting(10)[0];
}

TEST_F(AgentTest, HandlesReleaseDuringFetchOfPreviousOne) {
  const std::string shared = random_bytes(kSize, 1);
  const auto first = publish("decoder", shared);
  start();
  const auto early = request("decoder");
  ASSERT_TRUE(net.run_until([&] { return agent->cache().chunks() >= 3; }));
  ASSERT_FALSE(early->done);
  const auto second = publish("decoder", shared.substr(0, kSize / 2) + random_bytes(kSize / 2, 3));
  agent->poll_tag("decoder");
  // The waiting request gets the first release; later requests get the newest complete release.
  ASSERT_TRUE(run(early));
  EXPECT_EQ(early->snapshot->version, first.version);
  expect_complete(*early->snapshot);
  ASSERT_TRUE(net.run_until([&] {
    const auto r = agent->releases();
    return r.size() == 1 && r[0].version == second.version && r[0].whole;
  }));
  const auto late = request("decoder", Level::kCall, "w2");
  ASSERT_TRUE(run(late));
  EXPECT_EQ(late->snapshot->version, second.version);
  expect_complete(*late->snapshot);
  expect_complete(*early->snapshot);  // pinned, so still on disk
  expect_no_duplicate_sends();        // shared chunks were fetched once
}

TEST_F(AgentTest, CancelsSupersededRelease) {
  publish("decoder", random_bytes(kSize, 1));
  start();
  ASSERT_TRUE(run(request("decoder")));
  publish("decoder", random_bytes(8 * kSize, 2));
  agent->poll_tag("decoder");
  ASSERT_TRUE(net.run_until([&] { return agent->cache().chunks() > 20; }));
  const auto third = publish("decoder", random_bytes(kSize, 3));
  agent->poll_tag("decoder");
  ASSERT_TRUE(net.run_until([&] {
    const auto r = agent->releases();
    return r.size() == 1 && r[0].version == third.version;
  }));
  EXPECT_GT(agent->counters().cancelled, 0U);
  EXPECT_LT(agent->counters().fetched_bytes, 6 * kSize);  // most of the second release was not fetched
}

TEST_F(AgentTest, IgnoresOldReleaseOfLaggingReplica) {
  const auto first = publish("decoder", random_bytes(kSize, 1));
  const auto second = publish("decoder", random_bytes(kSize, 2));
  start();
  ASSERT_TRUE(run(request("decoder")));
  Manifest old;
  release = 0;
  publish("decoder", random_bytes(kSize, 1));
  agent->poll_tag("decoder");
  net.run_for(10s);
  const auto result = request("decoder", Level::kCall, "w2");
  ASSERT_TRUE(run(result));
  EXPECT_EQ(result->snapshot->version, second.version);
  static_cast<void>(first);
}

TEST_F(AgentTest, RollbackFetchesOnlyEvictedChunks) {
  const std::string old = random_bytes(kSize, 1);
  publish("decoder", old);
  options.capacity = kSize * 3 / 2;
  start();
  const auto one = request("decoder");
  ASSERT_TRUE(run(one));
  agent->unpin(one->snapshot->pin);
  publish("decoder", random_bytes(kSize, 2));
  agent->poll_tag("decoder");
  ASSERT_TRUE(
      net.run_until([&] { return agent->releases().size() == 1 && agent->releases()[0].release == 2; }));
  EXPECT_GT(agent->cache().evicted(), 0U);
  const std::uint64_t before = agent->counters().chunk_fetches;
  const auto back = publish("decoder", old);
  agent->poll_tag("decoder");
  ASSERT_TRUE(
      net.run_until([&] { return agent->releases().size() == 1 && agent->releases()[0].release == 3; }));
  const auto result = request("decoder");
  ASSERT_TRUE(run(result));
  expect_complete(*result->snapshot);
  const std::uint64_t fetched = agent->counters().chunk_fetches - before;
  EXPECT_GT(fetched, 0U);
  EXPECT_LT(fetched, back.packed.index.chunks.size());
  EXPECT_LE(agent->cache().bytes(), options.capacity);
  EXPECT_LE(files.used(), options.capacity);
}

TEST_F(AgentTest, NeverEvictsPinnedChunks) {
  publish("a", random_bytes(kSize, 1)), publish("b", random_bytes(kSize, 2));
  options.capacity = kSize * 3 / 2;
  start();
  const auto a = request("a");
  ASSERT_TRUE(run(a));
  const std::uint64_t before = agent->counters().fetched_bytes;
  const auto b = request("b", Level::kCall, "w2");
  EXPECT_FALSE(run(b));
  EXPECT_LT(agent->counters().fetched_bytes - before, 20'000U);  // rejected before the download
  EXPECT_EQ(b->error.kind, SnapshotError::Kind::kNoSpace);
  expect_complete(*a->snapshot);
  agent->unpin(a->snapshot->pin);
  ASSERT_TRUE(run(request("b", Level::kCall, "w2")));
  EXPECT_LE(files.used(), options.capacity);
}

TEST_F(AgentTest, ReportsFullDiskAndRecovers) {
  publish("decoder", random_bytes(kSize, 1));
  files.capacity = kSize / 2;
  start();
  const auto result = request("decoder");
  EXPECT_FALSE(run(result));
  EXPECT_EQ(result->error.kind, SnapshotError::Kind::kNoSpace);
  EXPECT_NE(result->error.why.find("no space left"), std::string::npos) << result->error.why;
  EXPECT_TRUE(agent->cache().consistent());
  files.capacity = UINT64_MAX;
  const auto again = request("decoder");
  ASSERT_TRUE(run(again));
  expect_complete(*again->snapshot);
}

TEST_F(AgentTest, CompletesAfterStoreOverload) {
  publish("decoder", random_bytes(8 * kSize, 1));
  store.add({Fault::Kind::kStatus, 12, "", 429, 1, ""});
  start();
  const auto result = request("decoder");
  ASSERT_TRUE(run(result, 300s)) << result->error.why;
  expect_complete(*result->snapshot);
}

TEST_F(AgentTest, ShrinksWindowForSlowStore) {
  publish("decoder", random_bytes(2 * kSize, 1)), publish("other", random_bytes(12 * kSize, 2));
  options.capacity = 64U << 20;
  start();
  ASSERT_TRUE(run(request("decoder")));
  const double before = agent->store().window;
  store.set_slowdown(8);
  const auto result = request("other");
  ASSERT_TRUE(run(result, 300s)) << result->error.why;
  EXPECT_LT(agent->store().window, before);
}

TEST_F(AgentTest, ReleaseDoesNotDelayCallsOfOtherFunctions) {
  options.capacity = 64U << 20;
  publish("decoder", random_bytes(kSize, 1)), publish("gate", random_bytes(kSize, 2));
  start();
  ASSERT_TRUE(run(request("decoder")));
  publish("decoder", random_bytes(40 * kSize, 3));  // 8 MB at 20 MB/s take 400 ms
  agent->poll_tag("decoder");
  ASSERT_TRUE(net.run_until([&] { return agent->counters().chunk_fetches > 20; }));
  const Time from = net.now();
  const auto result = request("gate", Level::kCall, "w2");
  ASSERT_TRUE(run(result));
  EXPECT_LT(net.now() - from, 150ms);
}

TEST_F(AgentTest, CancelsFetchesWithoutWaitingRequest) {
  const auto p = publish("decoder", random_bytes(8 * kSize, 3));
  options.tag_poll_interval = 1h;
  start();
  const auto asked = request("decoder", Level::kCall, "w1", p.version);
  ASSERT_TRUE(net.run_until([&] { return agent->cache().chunks() > 3; }));
  agent->cancel(asked->ticket);
  EXPECT_GT(agent->counters().cancelled, 0U);
  const std::uint64_t sent = store.sent_bytes();
  net.run_for(5s);
  EXPECT_LT(store.sent_bytes() - sent, 300'000U);  // at most the bytes in flight
  EXPECT_EQ(agent->scheduler().size(), 0U);
}

TEST_F(AgentTest, DomainsDoNotShareChunks) {
  const std::string same = random_bytes(kSize, 1);
  publish("line-a/decoder", same), publish("line-b/decoder", same);
  start();
  ASSERT_TRUE(run(request("line-a/decoder")));
  const std::uint64_t before = agent->counters().chunk_fetches;
  ASSERT_TRUE(run(request("line-b/decoder", Level::kCall, "w2")));
  EXPECT_EQ(agent->counters().chunk_fetches, 2 * before);  // no chunk is shared between domains
  EXPECT_EQ(agent->counters().chunk_hits, 0U);
}

TEST_F(AgentTest, FunctionsOfOneDomainShareChunks) {
  const std::string same = random_bytes(kSize, 1);
  publish("line-a/one", same), publish("line-a/two", same);
  start();
  ASSERT_TRUE(run(request("line-a/one")));
  const std::uint64_t before = agent->counters().chunk_fetches;
  ASSERT_TRUE(run(request("line-a/two", Level::kCall, "w2")));
  EXPECT_EQ(agent->counters().chunk_fetches, before);
}

TEST_F(AgentTest, IgnoresWallClockJumps) {
  publish("decoder", random_bytes(kSize, 1));
  start();
  ASSERT_TRUE(run(request("decoder")));
  net.wall_clock_offset_ms += 365LL * 86'400'000;
  net.run_for(5s);
  agent->renew("w1", "life-1");
  net.wall_clock_offset_ms -= 2 * 365LL * 86'400'000;
  net.run_for(5s);
  EXPECT_EQ(agent->pins(), 1U);
}

TEST_F(AgentTest, ReusesVerifiedChunksAfterRestart) {
  publish("decoder", random_bytes(kSize, 1));
  start();
  ASSERT_TRUE(run(request("decoder")));
  const std::uint64_t sent = store.sent_bytes();
  stop();
  auto broken = files.files.begin()->first;
  files.files[broken][10] ^= 1;  // same size, so only the digest detects it
  start();
  EXPECT_EQ(agent->releases().size(), 1U);
  EXPECT_TRUE(agent->releases()[0].whole);
  const auto result = request("decoder");
  ASSERT_TRUE(run(result)) << result->error.why;
  expect_complete(*result->snapshot);
  EXPECT_EQ(agent->counters().broken_on_disk, 1U);
  EXPECT_LT(store.sent_bytes() - sent, 80'000U);  // only the corrupt chunk
}

TEST_F(AgentTest, ResumesPartialVersionAfterRestart) {
  const auto first = publish("decoder", random_bytes(kSize, 1));
  start();
  ASSERT_TRUE(run(request("decoder")));
  const auto second = publish("decoder", random_bytes(kSize, 2));
  agent->poll_tag("decoder");
  ASSERT_TRUE(net.run_until([&] { return agent->cache().chunks() > 16; }));
  stop();
  start();
  const auto result = request("decoder");  // the previous release is complete
  ASSERT_TRUE(run(result));
  EXPECT_EQ(result->snapshot->version, first.version);
  expect_complete(*result->snapshot);
  ASSERT_TRUE(net.run_until([&] {
    for (const ReleaseStatus& r : agent->releases())
      if (r.version == second.version && r.whole) return true;
    return false;
  }));
  int twice = 0;  // chunks in flight when the process ended
  for (const auto& [range, times] : store.ranges())
    twice += times > 1 && range.find('-', range.find(' ')) != std::string::npos;
  EXPECT_LE(twice, 8);
}

TEST_F(AgentTest, DropsMismatchedIndexEntriesAndFiles) {
  publish("decoder", random_bytes(kSize, 1));
  start();
  ASSERT_TRUE(run(request("decoder")));
  stop();
  files.files.erase(files.files.begin());                // an index entry without its file
  files.index.erase(std::prev(files.index.end()));       // a file without its index entry
  std::next(files.files.begin(), 1)->second.pop_back();  // a size mismatch
  start();
  const auto result = request("decoder");
  ASSERT_TRUE(run(result)) << result->error.why;
  expect_complete(*result->snapshot);
}

TEST_F(AgentTest, RefetchesLostChunkOfCurrentReleaseWithoutRequest) {
  publish("decoder", random_bytes(kSize, 1));
  start();
  ASSERT_TRUE(run(request("decoder")));
  stop();
  files.files.erase(files.files.begin());
  start();
  ASSERT_FALSE(agent->releases()[0].whole);
  agent->poll_tag("decoder");
  EXPECT_TRUE(net.run_until([&] { return agent->releases()[0].whole; }, 30s));
}

// The process crashes at each disk step, at several occurrences; after the restart the agent serves only
// complete versions, whatever was left on disk.
struct DiskSteps : AgentTest, testing::WithParamInterface<const char*> {};

TEST_P(DiskSteps, ServesOnlyCompleteVersionsAfterCrash) {
  struct Killed {};
  for (const int times : {1, 2, 5}) {
    files = {};
    stop();
    release = 0;
    publish("decoder", random_bytes(kSize, 1));
    start();
    int left = times;
    bool killed = false;
    disk->on_step = [&](const char* step) {
      if (std::string(step) == GetParam() && --left == 0) throw Killed();
    };
    try {
      request("decoder");
      net.run_for(30s);
    } catch (const Killed&) {
      killed = true;
    }
    if (!killed && std::string(GetParam()) == "version-recorded" && times > 1) continue;  // occurs only once
    ASSERT_TRUE(killed);
    stop();
    start();
    const auto result = request("decoder");
    ASSERT_TRUE(run(result)) << result->error.why;
    expect_complete(*result->snapshot);
    EXPECT_TRUE(agent->cache().consistent());
    for (const auto& [key, bytes] : files.files) EXPECT_EQ(files.index.count(key), 1U);
  }
}
INSTANTIATE_TEST_SUITE_P(Layers, DiskSteps, testing::ValuesIn(kDiskSteps));

// Without coordination, 20 hosts keep the registry below overload.
TEST_F(AgentTest, ManyHostsDoNotOverloadStore) {
  publish("decoder", random_bytes(4 * kSize, 1));
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
  publish("decoder", random_bytes(4 * kSize, 1), &crowded);
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
    one->agent->request_snapshot({"w", "1", "decoder", {}, Level::kCall},
                                 [&well = one->well](const std::optional<Snapshot>& s, const SnapshotError&) {
                                   well = s.has_value();
                                 });
    boxes.push_back(std::move(one));
  }
  ASSERT_TRUE(net.run_until(
      [&] { return std::all_of(boxes.begin(), boxes.end(), [](auto& b) { return b->well; }); }, 300s));
  EXPECT_LT(crowded.max_in_flight(), 20U * 4U + 20U);
}

}  // namespace
}  // namespace laureltide::layers
