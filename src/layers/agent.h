// The box agent's core: one for a box, it fetches each chunk once for all workers, versions and functions,
// and gives a worker a pinned snapshot of exactly one version. Sans-I/O: disk, store, clock and timers come
// in.
//
// What is decided about fetches is the scheduler's (layers/scheduler.h), about room the shelf's
// (layers/shelf.h); here is the state between them: which versions are wanted, what they lack, who waits.
//
// A version is its manifest's digest. Of a function there is at most one `current` version, the newest that
// is whole here, and one `wanted`, the newest that the store names; the old one stays current until the new
// one is whole. What a worker pinned stays as it is until the worker lets go or its lease runs out.
//
// Domains: the part of a function's name before its first slash (none: the empty domain). Domains share
// nothing here, neither chunks nor fetches.
//
// One thread, the host's. Bounds: AgentOptions; over them an ask is answered with the reason.
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
#include "layers/disk.h"
#include "layers/format.h"
#include "layers/remote.h"
#include "layers/scheduler.h"
#include "layers/shelf.h"

namespace laureltide::layers {

struct AgentOptions {
  std::uint64_t capacity = std::uint64_t{10} << 30;      // bytes of chunks on the disk
  std::string prefix = "functions/";                     // of repositories: prefix + function
  std::string tag = "current";                           // that names a function's release
  Duration tag_poll_interval = std::chrono::seconds(5);  // at the tag of a function in use, jittered
  Duration look_for = std::chrono::minutes(30);          // after its last use; then only when asked for
  Duration lease = std::chrono::seconds(10);             // of a worker's pins, without a word of it
  std::uint32_t replicas = 1;
  std::size_t most_asks = 4096, most_pins = 65'536, most_functions = 4096, most_workers = 4096;
  SchedulerOptions scheduler;
};

struct Ask {
  std::string worker, life;  // a new life ends the pins of the old
  std::string function;
  std::optional<Digest> version;  // nothing: the current one
  Level level = Level::kCall;
};
struct Snapshot {
  struct Layer {
    std::string title;
    Digest content;
    std::uint64_t size = 0;
    std::vector<std::pair<std::string, std::uint32_t>> chunks;  // path and size, in order
  };
  std::uint64_t pin = 0;
  std::string function;
  Digest version;
  std::uint64_t release = 0;
  std::vector<Layer> layers;
};
// Why there is none.
struct NoSnapshot {
  enum class Kind {
    kUnknown,  // the store has no such function or version
    kBad,      // what was published is not what it should be, or the name is none
    kStore,    // the store fails
    kRoom,     // the disk cannot hold it beside what is pinned
    kBusy      // a bound of the agent's
  } kind = Kind::kStore;
  std::string why;
};

// What a function's versions are doing here: for workers, which tell their controllers.
struct ReleaseStatus {
  std::string function;
  std::uint64_t release = 0;
  Digest version;
  bool whole = false;
};

struct AgentCounters {
  std::uint64_t asks = 0, answered = 0, refused = 0;
  std::uint64_t chunk_hits = 0;     // were here
  std::uint64_t chunk_joins = 0;    // were on their way already, for another
  std::uint64_t chunk_fetches = 0;  // asked of the store for the first time
  std::uint64_t fetched_bytes = 0, saved_bytes = 0, corrupt = 0, called_off = 0, broken_on_disk = 0;
};

class Agent {
 public:
  using Done = std::function<void(std::optional<Snapshot>, NoSnapshot)>;
  using Log = std::function<void(bool warn, const std::string& line)>;
  Agent(io::Host& host, Disk& disk, Remote& remote, AgentOptions options, Log log);
  ~Agent();

  // `done` comes once, maybe from within the call, unless the ask is called off.
  std::uint64_t ask(Ask ask, Done done);
  void call_off(std::uint64_t ticket);
  bool unpin(std::uint64_t pin);
  // A sign of life: its pins stay for another lease.
  void renew(const std::string& worker, const std::string& life);
  // Look at the function's tag now: somebody knows of a release.
  void look(const std::string& function);

  // Rises with every change of `releases()`.
  std::uint64_t sequence() const { return sequence_; }
  std::vector<ReleaseStatus> releases() const;
  std::function<void()> on_news;

  const AgentCounters& counters() const { return counters_; }
  const Shelf& shelf() const { return shelf_; }
  StoreState store() const { return scheduler_.state(host_.now(), 0); }
  const Scheduler& scheduler() const { return scheduler_; }
  std::size_t pins() const { return pins_.size(); }
  // What waits, for what, in plain words; at most `most` lines.
  std::vector<std::string> waiting(std::size_t most) const;

 private:
  using VersionName = std::pair<std::string, Digest>;  // domain, manifest
  struct Version {
    VersionName name;
    std::string function;
    enum class State { kManifest, kIndexes, kChunks, kWhole } state = State::kManifest;
    std::string manifest_bytes;
    Manifest manifest;
    std::vector<std::string> index_bytes;  // in the layers' order
    std::vector<Index> indexes;
    std::vector<Key> keys;  // each once; held on the shelf while it is built or pinned
    std::size_t left = 0;   // indexes or chunks that are not here
    std::set<std::uint64_t> asks;
    std::set<std::uint64_t> jobs;  // that it waits for
    std::size_t pins = 0;
    bool background = false;  // wanted by its function, whoever asks
    bool held = false;
  };
  struct Function {
    std::string name, domain;
    std::optional<Digest> current, wanted;
    std::uint64_t release = 0;  // of wanted
    std::optional<std::uint64_t> look_job;
    std::set<std::uint64_t> asks;  // that wait for the tag
    Time used{};
    std::unique_ptr<io::Timer> timer;
    std::string trouble;
  };
  struct Job {  // a thing that is fetched once for all that wait for it
    enum class Kind { kTag, kManifest, kIndex, kChunk } kind = Kind::kTag;
    std::uint64_t id = 0;
    RemoteRequest request;
    std::string function;  // kTag
    std::string single;    // single flight: what is the same is fetched once
    Digest expected;       // kManifest, kIndex
    Key key{};             // kChunk
    Chunk chunk;
    std::set<VersionName> versions;              // that wait
    std::map<std::uint32_t, std::uint64_t> out;  // attempt to the remote's ticket
    Level level = Level::kPrefetch;
    bool fetched = false;  // it is on its way to the disk
    std::string detail;    // what the last attempt met
  };
  struct Waiting {
    Ask ask;
    Done done;
    std::optional<VersionName> version;
  };
  struct Pin {
    std::string worker;
    VersionName version;
  };
  struct Worker {
    std::string life;
    Time until{};
    std::set<std::uint64_t> pins;
  };

  static std::string domain_of(const std::string& function);
  void recover();
  Function* function(const std::string& name);
  void use(Function& function);
  void look_now(Function& function, Level level);
  void on_tag(Function& function, std::optional<std::string> bytes, const NoSnapshot& no);
  Version& version(const VersionName& name, const std::string& function);
  void attach(std::uint64_t ticket, Version& version);
  void advance(Version& version);
  void want_indexes(Version& version);
  void want_chunks(Version& version);
  void whole(Version& version);
  void fail(const VersionName& name, const NoSnapshot& no);
  void lose(Version& version);  // nobody wants it: it is forgotten, what is fetched for it is called off
  void let_go(const VersionName& name);
  Level level_of(const Version& version) const;
  void hold(Version& version, bool on);
  void record(const Version& version);
  static std::string record_name(const VersionName& name);

  Job& job(const std::string& single, Job fresh, Version* for_version, Level level);
  void leave(std::uint64_t job, const VersionName& version);
  void raise(Version& version);
  void drop(std::uint64_t job);
  void turn();  // starts what the scheduler lets start
  void attempt_ended(std::uint64_t job, std::uint32_t attempt, RemoteResult result);
  void job_done(std::uint64_t job, std::string bytes);
  void job_failed(std::uint64_t job, const NoSnapshot& no);
  void chunk_stands(std::uint64_t job);
  void keep(std::uint64_t job, std::string frame);
  void prove(std::uint64_t job);

  Snapshot snapshot(std::uint64_t ticket, Version& version);
  void answer(std::uint64_t ticket, const NoSnapshot& no);
  void sweep();
  void news();

  io::Host& host_;
  Disk& disk_;
  Remote& remote_;
  AgentOptions options_;
  Log log_;
  Shelf shelf_;
  Scheduler scheduler_;
  std::map<std::string, Function> functions_;
  std::map<VersionName, std::unique_ptr<Version>> versions_;
  std::unordered_map<std::uint64_t, Job> jobs_;
  std::unordered_map<std::string, std::uint64_t> singles_;
  std::map<std::uint64_t, Waiting> asks_;
  std::map<std::uint64_t, Pin> pins_;
  std::map<std::string, Worker> workers_;
  std::vector<std::uint64_t> refused_;  // jobs over the scheduler's bound, not yet told
  std::uint64_t next_ = 1, sequence_ = 1;
  AgentCounters counters_;
  std::unique_ptr<io::Timer> turn_, sweep_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace laureltide::layers
