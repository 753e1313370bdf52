// Core of the layer agent. One agent per host fetches each chunk once for all workers, versions and
// functions, and gives a worker a pinned snapshot of exactly one version. It does no I/O itself: disk, store,
// clock and timers are injected.
//
// The scheduler (layers/scheduler.h) decides about fetches and the chunk cache (layers/chunk_cache.h) about
// disk space. The agent holds the state between them: requested versions, their missing parts and the
// requests that wait for them.
//
// A version is identified by its manifest's digest. A function has at most one `current` version, the newest
// that is complete on this host, and one `latest`, the newest that the store names. The current version stays
// until the latest is complete. A pinned version stays unchanged until the worker unpins it or its lease
// expires.
//
// A domain is the part of a function's name before its first slash, or the empty string. Domains share
// neither chunks nor fetches.
//
// Runs on the host's event loop thread only. AgentOptions holds the limits; a request over a limit is
// rejected with the reason.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/io.h"
#include "layers/chunk_cache.h"
#include "layers/disk.h"
#include "layers/format.h"
#include "layers/remote.h"
#include "layers/scheduler.h"

namespace laureltide::layers {

struct AgentOptions {
  std::uint64_t capacity = std::uint64_t{10} << 30;         // bytes of chunks on disk
  std::string prefix = "functions/";                        // repository name = prefix + function
  std::string tag = "current";                              // the tag that names a function's current release
  Duration tag_poll_interval = std::chrono::seconds(5);     // for functions in use, jittered
  Duration tag_poll_idle_limit = std::chrono::minutes(30);  // polling stops this long after the last use
  Duration lease = std::chrono::seconds(10);                // pins of a worker expire without a renewal
  std::uint32_t replicas = 1;
  std::size_t max_requests = 4096, max_pins = 65'536, max_functions = 4096, max_workers = 4096;
  SchedulerOptions scheduler;
};

struct SnapshotRequest {
  std::string worker, incarnation;  // a new incarnation ends the pins of the previous one
  std::string function;
  std::optional<Digest> version;  // unset: the current version
  Level level = Level::kCall;
};
struct Snapshot {
  struct Layer {
    std::string title;
    Digest content;
    std::uint64_t size = 0;
    std::vector<std::pair<std::string, std::uint32_t>> chunks;  // path and size, in layer order
  };
  std::uint64_t pin = 0;
  std::string function;
  Digest version;
  std::uint64_t release = 0;
  std::vector<Layer> layers;
};
// Why a snapshot was not provided.
struct SnapshotError {
  enum class Kind {
    kNotFound,     // the store has no such function or version
    kInvalid,      // the published content or the function name is invalid
    kStoreFailed,  // the store failed
    kNoSpace,      // the disk cannot hold it in addition to the pinned chunks
    kBusy          // a limit of the agent was reached
  } kind = Kind::kStoreFailed;
  std::string why;
};

// State of a function's release on this host. Workers report it to their controllers.
struct ReleaseStatus {
  std::string function;
  std::uint64_t release = 0;
  Digest version;
  bool whole = false;
};

struct AgentCounters {
  std::uint64_t requests = 0, answered = 0, refused = 0;
  std::uint64_t chunk_hits = 0;     // already in the cache
  std::uint64_t chunk_joins = 0;    // joined a fetch that was already in flight
  std::uint64_t chunk_fetches = 0;  // new fetches from the store
  std::uint64_t fetched_bytes = 0, saved_bytes = 0, corrupt = 0, cancelled = 0, broken_on_disk = 0;
};

class Agent {
 public:
  using Done = std::function<void(std::optional<Snapshot>, SnapshotError)>;
  using Log = std::function<void(bool warn, const std::string& line)>;
  Agent(io::Host& host, Disk& disk, RemoteStore& remote, AgentOptions options, Log log);
  ~Agent();

  // `done` is called exactly once, possibly before this returns, unless the request is cancelled.
  std::uint64_t request_snapshot(SnapshotRequest request, Done done);
  void cancel(std::uint64_t ticket);
  bool unpin(std::uint64_t pin);
  // Renews the lease of the worker's pins.
  void renew(const std::string& worker, const std::string& incarnation);
  // Polls the function's tag now, because a new release was reported.
  void poll_tag(const std::string& function);

  // Increases with every change of `releases()`.
  std::uint64_t sequence() const { return sequence_; }
  std::vector<ReleaseStatus> releases() const;
  std::function<void()> on_change;

  const AgentCounters& counters() const { return counters_; }
  const ChunkCache& cache() const { return cache_; }
  StoreState store() const { return scheduler_.state(host_.now(), 0); }
  const Scheduler& scheduler() const { return scheduler_; }
  std::size_t pins() const { return pins_.size(); }
  // Human-readable list of waiting versions and their reasons, at most `most` lines.
  std::vector<std::string> describe_waiting(std::size_t most) const;

 private:
  using VersionName = std::pair<std::string, Digest>;  // domain, manifest
  struct Version {
    VersionName name;
    std::string function;
    enum class State { kManifest, kIndexes, kChunks, kComplete } state = State::kManifest;
    std::string manifest_bytes;
    Manifest manifest;
    std::vector<std::string> index_bytes;  // in layer order
    std::vector<Index> indexes;
    std::vector<Key> keys;      // without duplicates; retained in the cache while fetched or pinned
    std::size_t remaining = 0;  // missing indexes or chunks
    std::set<std::uint64_t> waiters;
    std::set<std::uint64_t> jobs;  // that this version waits for
    std::size_t pins = 0;
    bool background = false;  // fetched as the latest release, without a waiting request
    bool chunks_retained = false;
  };
  struct Function {
    std::string name, domain;
    std::optional<Digest> current, latest;
    std::uint64_t release = 0;  // release number of `latest`
    std::optional<std::uint64_t> tag_job;
    std::set<std::uint64_t> waiters;  // requests that wait for the tag
    Time last_used{};
    std::unique_ptr<io::Timer> timer;
    std::string last_error;
  };
  struct Job {  // an object that is fetched once for all versions that wait for it
    enum class Kind { kTag, kManifest, kIndex, kChunk } kind = Kind::kTag;
    std::uint64_t id = 0;
    StoreRequest request;
    std::string function;   // kTag
    std::string dedup_key;  // identical fetches share one job
    Digest expected;        // kManifest, kIndex
    Key key{};              // kChunk
    Chunk chunk;
    std::set<VersionName> versions;                    // waiting versions
    std::map<std::uint32_t, std::uint64_t> in_flight;  // attempt number to the store's ticket
    Level level = Level::kPrefetch;
    bool fetched = false;  // fetched; the disk write or verification is pending
    std::string detail;    // error text of the last attempt
  };
  struct PendingRequest {
    SnapshotRequest request;
    Done done;
    std::optional<VersionName> version;
  };
  struct Pin {
    std::string worker;
    VersionName version;
  };
  struct Worker {
    std::string incarnation;
    Time lease_until{};
    std::set<std::uint64_t> pins;
  };

  static std::string domain_of(const std::string& function);
  void recover();
  Function* function(const std::string& name);
  void mark_used(Function& function);
  void fetch_tag(Function& function, Level level);
  void on_tag_fetched(Function& function, std::optional<std::string> bytes, const SnapshotError& error);
  Version& version(const VersionName& name, const std::string& function);
  void attach(std::uint64_t ticket, Version& version);
  void advance(Version& version);
  void fetch_indexes(Version& version);
  void fetch_chunks(Version& version);
  void on_version_complete(Version& version);
  void fail_version(const VersionName& name, const SnapshotError& error);
  void forget_version(Version& version);  // removes an unused version and cancels its fetches
  void release_if_unused(const VersionName& name);
  Level level_of(const Version& version) const;
  void set_retained(Version& version, bool on);
  void save_record(const Version& version);
  static std::string record_name(const VersionName& name);

  Job& start_or_join_job(const std::string& dedup_key, Job fresh, Version* for_version, Level level);
  void detach_from_job(std::uint64_t job, const VersionName& version);
  void raise_level(Version& version);
  void cancel_job(std::uint64_t job);
  void start_fetches();  // starts the fetches that the scheduler permits
  void attempt_ended(std::uint64_t job, std::uint32_t attempt, StoreResponse result);
  void job_done(std::uint64_t job, std::string bytes);
  void job_failed(std::uint64_t job, const SnapshotError& error);
  void on_chunk_stored(std::uint64_t job);
  void store_chunk(std::uint64_t job, std::string frame);
  void verify_chunk(std::uint64_t job);

  Snapshot snapshot(std::uint64_t ticket, Version& version);
  void reject(std::uint64_t ticket, const SnapshotError& error);
  void expire_leases();
  void notify_change();

  io::Host& host_;
  Disk& disk_;
  RemoteStore& remote_;
  AgentOptions options_;
  Log log_;
  ChunkCache cache_;
  Scheduler scheduler_;
  std::map<std::string, Function> functions_;
  std::map<VersionName, std::unique_ptr<Version>> versions_;
  std::unordered_map<std::uint64_t, Job> jobs_;
  std::unordered_map<std::string, std::uint64_t> jobs_by_key_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::map<std::uint64_t, Pin> pins_;
  std::map<std::string, Worker> workers_;
  std::vector<std::uint64_t> rejected_jobs_;  // jobs over the scheduler's limit, not yet reported
  std::uint64_t next_ = 1, sequence_ = 1;
  AgentCounters counters_;
  std::unique_ptr<io::Timer> fetch_timer_, lease_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace laureltide::layers
