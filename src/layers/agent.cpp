#include "layers/agent.h"

#include <algorithm>
#include <utility>

#include "base/bytes.h"

namespace laureltide::layers {
namespace {

constexpr Duration kLeaseCheckInterval = std::chrono::seconds(1);
constexpr std::uint8_t kRecordFormatVersion = 1;

std::uint64_t hash_of(std::string_view text) { return std::hash<std::string_view>{}(text); }

void write_text(Writer& w, std::string_view text) {
  w.u32(static_cast<std::uint32_t>(text.size()));
  w.bytes(text);
}

}  // namespace

std::string Agent::domain_of(const std::string& function) {
  const std::size_t slash = function.find('/');
  return slash == std::string::npos ? "" : function.substr(0, slash);
}

Agent::Agent(io::Host& host, Disk& disk, RemoteStore& remote, AgentOptions options, Log log)
    : host_(host),
      disk_(disk),
      remote_(remote),
      options_(std::move(options)),
      log_(std::move(log)),
      cache_(options_.capacity),
      scheduler_(options_.scheduler, host.random()),
      fetch_timer_(host.timer([this] { start_fetches(); })),
      lease_timer_(host.timer([this] { expire_leases(); })) {
  scheduler_.set_replicas(0, options_.replicas);
  recover();
  lease_timer_->start(kLeaseCheckInterval);
}
Agent::~Agent() { *alive_ = false; }

// ---- After a restart ----

std::string Agent::record_name(const VersionName& name) { return name.first + "\n" + name.second.text(); }

void Agent::save_record(const Version& v) {
  std::string bytes;
  Writer w(bytes);
  w.u8(kRecordFormatVersion);
  write_text(w, v.function), write_text(w, v.manifest_bytes);
  w.u32(static_cast<std::uint32_t>(v.index_bytes.size()));
  for (const std::string& index : v.index_bytes) write_text(w, index);
  disk_.put(record_name(v.name), std::move(bytes));
}

// A recorded version is complete again if all its chunks are on disk; each chunk's digest is verified before
// first use. Records that do not match are erased and the version is fetched again on request.
void Agent::recover() {
  const Disk::LoadedState found = disk_.load();
  std::uint64_t over_capacity = 0;
  for (const auto& chunk : found.chunks) {
    if (cache_.bytes() + chunk.size > cache_.capacity()) {  // the capacity was lowered
      disk_.remove(chunk.key);
      ++over_capacity;
      continue;
    }
    cache_.restore(chunk.key, chunk.size);
  }
  if (found.dropped + over_capacity > 0)
    log_(true, "layers: " + std::to_string(found.dropped) + " partial or unknown chunks dropped, " +
                   std::to_string(over_capacity) + " over the capacity");
  for (const auto& [name, bytes] : found.records) {
    Reader r(bytes);
    const bool known = r.u8() == kRecordFormatVersion;
    const std::string function_name(r.take(r.u32()));
    auto v = std::make_unique<Version>();
    v->manifest_bytes = r.take(r.u32());
    std::string why;
    auto manifest = known && r.ok() ? parse_manifest(v->manifest_bytes, why) : std::nullopt;
    const std::uint32_t count = r.u32();
    bool valid =
        manifest && r.ok() && count == manifest->layers.size() && manifest->function == function_name;
    std::set<Key> keys;
    const std::string domain = domain_of(function_name);
    for (std::uint32_t i = 0; valid && i < count; ++i) {
      std::string index_bytes(r.take(r.u32()));
      auto index = r.ok() && digest_of(index_bytes) == manifest->layers[i].index
                       ? parse_index(index_bytes, why)
                       : std::nullopt;
      valid = index.has_value();
      if (!valid) break;
      for (const Chunk& c : index->chunks) keys.insert(key_of(domain, c.content));
      v->index_bytes.push_back(std::move(index_bytes));
      v->indexes.push_back(std::move(*index));
    }
    Function* f = valid ? function(function_name) : nullptr;
    if (!f) {
      disk_.erase(name);
      continue;
    }
    v->name = {domain, digest_of(v->manifest_bytes)};
    v->function = function_name;
    v->manifest = std::move(*manifest);
    v->keys.assign(keys.begin(), keys.end());
    v->state = Version::State::kComplete;
    const bool on_version_complete = std::all_of(v->keys.begin(), v->keys.end(), [&](const Key& key) {
      return cache_.state(key) != ChunkCache::State::kAbsent;
    });
    if (!on_version_complete) v->state = Version::State::kChunks;
    if (!f->latest || v->manifest.release > f->release)
      f->release = v->manifest.release, f->latest = v->name.second;
    const auto current = f->current ? versions_.find({domain, *f->current}) : versions_.end();
    if (on_version_complete &&
        (current == versions_.end() || v->manifest.release > current->second->manifest.release))
      f->current = v->name.second;
    versions_[v->name] = std::move(v);
  }
  std::vector<VersionName> names;
  for (const auto& [name, v] : versions_) names.push_back(name);
  for (const VersionName& name : names) release_if_unused(name);  // drops versions that were only pinned
  if (!versions_.empty())
    log_(false, "layers: " + std::to_string(versions_.size()) + " versions and " +
                    std::to_string(cache_.chunks()) + " chunks recovered from disk");
}

// ---- Snapshot requests ----

Agent::Function* Agent::function(const std::string& name) {
  const auto it = functions_.find(name);
  if (it != functions_.end()) return &it->second;
  if (!valid_repository(options_.prefix + name) || functions_.size() >= options_.max_functions)
    return nullptr;
  Function& f = functions_[name];
  f.name = name, f.domain = domain_of(name);
  f.timer = host_.timer([this, name] {
    Function& polled = functions_.at(name);
    if (host_.now() - polled.last_used > options_.tag_poll_idle_limit) return;
    fetch_tag(polled, Level::kRenewal);
  });
  return &f;
}

void Agent::mark_used(Function& f) {
  const bool was_idle = f.last_used == Time{} || host_.now() - f.last_used > options_.tag_poll_idle_limit;
  f.last_used = host_.now();
  if (was_idle && !f.tag_job)
    f.timer->start(
        std::chrono::duration_cast<Duration>(options_.tag_poll_interval * (0.5 + host_.random_unit())));
}

std::uint64_t Agent::request_snapshot(SnapshotRequest request, Done done) {
  ++counters_.requests;
  const std::uint64_t ticket = next_++;
  const std::string name = request.function;
  const bool too_many_workers = !workers_.contains(request.worker) && workers_.size() >= options_.max_workers;
  if (!too_many_workers) renew(request.worker, request.incarnation);
  PendingRequest& pending = pending_[ticket];
  pending.request = std::move(request), pending.done = std::move(done);
  if (too_many_workers || pending_.size() > options_.max_requests) {
    reject(ticket, {SnapshotError::Kind::kBusy, "too many workers wait for versions"});
    return ticket;
  }
  Function* f = function(name);
  if (!f) {
    const bool known = valid_repository(options_.prefix + name);
    reject(ticket, {known ? SnapshotError::Kind::kBusy : SnapshotError::Kind::kInvalid,
                    known ? "more functions than the agent may know" : "no name of a function: " + name});
    return ticket;
  }
  mark_used(*f);
  if (pending.request.version) {
    attach(ticket, version({f->domain, *pending.request.version}, name));
  } else if (f->current) {  // serves the current version until the latest is complete
    attach(ticket, version({f->domain, *f->current}, name));
  } else if (f->latest) {
    attach(ticket, version({f->domain, *f->latest}, name));
  } else {
    f->waiters.insert(ticket);
    fetch_tag(*f, pending.request.level);
  }
  return ticket;
}

void Agent::cancel(std::uint64_t ticket) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return;
  const PendingRequest cancelled_request = std::move(it->second);
  pending_.erase(it);
  if (const auto f = functions_.find(cancelled_request.request.function); f != functions_.end())
    f->second.waiters.erase(ticket);
  if (!cancelled_request.version) return;
  const auto v = versions_.find(*cancelled_request.version);
  if (v == versions_.end()) return;
  v->second->waiters.erase(ticket);
  release_if_unused(*cancelled_request.version);
}

void Agent::reject(std::uint64_t ticket, const SnapshotError& error) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return;
  const PendingRequest pending = std::move(it->second);
  pending_.erase(it);
  ++counters_.refused;
  pending.done(std::nullopt, error);
}

Snapshot Agent::snapshot(std::uint64_t ticket, Version& v) {
  Snapshot s;
  s.pin = ticket;
  s.function = v.function, s.version = v.name.second, s.release = v.manifest.release;
  for (std::size_t i = 0; i < v.indexes.size(); ++i) {
    Snapshot::Layer layer;
    layer.title = v.manifest.layers[i].title;
    layer.content = v.indexes[i].content, layer.size = v.indexes[i].size;
    layer.chunks.reserve(v.indexes[i].chunks.size());
    for (const Chunk& c : v.indexes[i].chunks)
      layer.chunks.emplace_back(disk_.path(key_of(v.name.first, c.content)), c.size);
    s.layers.push_back(std::move(layer));
  }
  return s;
}

// ---- Tags ----

void Agent::poll_tag(const std::string& name) {
  if (Function* f = function(name)) mark_used(*f), fetch_tag(*f, Level::kRenewal);
}

void Agent::fetch_tag(Function& f, Level level) {
  Job fresh;
  fresh.kind = Job::Kind::kTag;
  fresh.function = f.name;
  fresh.request.kind = StoreRequest::Kind::kManifest;
  fresh.request.repository = options_.prefix + f.name;
  fresh.request.reference = options_.tag;
  fresh.request.size = kMaxManifestBytes;
  f.tag_job = start_or_join_job("tag " + f.name, std::move(fresh), nullptr, level).id;
}

void Agent::on_tag_fetched(Function& f, std::optional<std::string> bytes, const SnapshotError& error) {
  f.tag_job.reset();
  f.timer->start(
      std::chrono::duration_cast<Duration>(options_.tag_poll_interval * (0.5 + host_.random_unit())));
  const auto waiters = std::exchange(f.waiters, {});
  std::string why;
  auto manifest = bytes ? parse_manifest(*bytes, why) : std::nullopt;
  if (manifest && manifest->function != f.name) {
    manifest.reset();
    why = "it is the manifest of another function";
  }
  if (!manifest) {
    const SnapshotError reason = bytes ? SnapshotError{SnapshotError::Kind::kInvalid,
                                                       "the release of " + f.name + " cannot be read: " + why}
                                       : error;
    if (std::exchange(f.last_error, reason.why) != reason.why)
      log_(true, "layers: " + f.name + ": " + reason.why);
    for (const std::uint64_t ticket : waiters) reject(ticket, reason);
    return;
  }
  f.last_error.clear();
  const Digest digest = digest_of(*bytes);
  // Release numbers only increase, also when a release restores old layers, so a lagging replica cannot undo
  // a release.
  if (!f.latest || manifest->release > f.release) {
    const auto old = f.latest;
    f.latest = digest;
    f.release = manifest->release;
    log_(false, "layers: " + f.name + ": release " + std::to_string(f.release) + " is " + digest.text());
    Version& v = version({f.domain, digest}, f.name);
    v.background = true;
    if (v.state == Version::State::kManifest) {
      v.manifest_bytes = std::move(*bytes);
      v.manifest = std::move(*manifest);
      v.state = Version::State::kIndexes;
      for (const std::uint64_t id : std::exchange(v.jobs, {}))
        detach_from_job(id, v.name);  // the tag's answer contains the manifest
      fetch_indexes(v);
    } else {
      advance(v);
    }
    if (old && old != digest) {  // superseded: stop fetching it unless a request waits
      if (const auto it = versions_.find({f.domain, *old}); it != versions_.end()) {
        it->second->background = false;
        release_if_unused(it->first);
      }
    }
    notify_change();
  } else if (digest == f.latest && f.current != f.latest) {  // incomplete since a restart, or failed
    Version& v = version({f.domain, digest}, f.name);
    if (!std::exchange(v.background, true)) advance(v);
  }
  for (const std::uint64_t ticket : waiters)
    if (pending_.contains(ticket))
      attach(ticket, version({f.domain, f.current ? *f.current : *f.latest}, f.name));
}

// ---- Versions ----

Agent::Version& Agent::version(const VersionName& name, const std::string& function_name) {
  auto& slot = versions_[name];
  if (slot) return *slot;
  slot = std::make_unique<Version>();
  slot->name = name, slot->function = function_name;
  return *slot;
}

Level Agent::level_of(const Version& v) const {
  Level level = v.background ? Level::kRenewal : Level::kPrefetch;
  for (const std::uint64_t ticket : v.waiters)
    if (const auto it = pending_.find(ticket); it != pending_.end())
      level = std::min(level, it->second.request.level);
  return level;
}

void Agent::attach(std::uint64_t ticket, Version& v) {
  PendingRequest& pending = pending_.at(ticket);
  pending.version = v.name;
  v.waiters.insert(ticket);
  raise_level(v);
  advance(v);
}

// Starts the fetches for the next missing part of the version.
void Agent::advance(Version& v) {
  if (!v.jobs.empty()) return;
  switch (v.state) {
    case Version::State::kManifest: {
      Job fresh;
      fresh.kind = Job::Kind::kManifest;
      fresh.expected = v.name.second;
      fresh.request.kind = StoreRequest::Kind::kManifest;
      fresh.request.repository = options_.prefix + v.function;
      fresh.request.reference = v.name.second.text();
      fresh.request.size = kMaxManifestBytes;
      start_or_join_job("manifest " + v.function + " " + v.name.second.hex(), std::move(fresh), &v,
                        level_of(v));
      return;
    }
    case Version::State::kIndexes: return fetch_indexes(v);
    case Version::State::kChunks:
    case Version::State::kComplete: return fetch_chunks(v);
  }
}

void Agent::fetch_indexes(Version& v) {
  v.index_bytes.resize(v.manifest.layers.size());
  v.indexes.resize(v.manifest.layers.size());
  v.remaining = 0;
  const Level level = level_of(v);
  std::set<Digest> requested;
  for (std::size_t i = 0; i < v.manifest.layers.size(); ++i) {
    const LayerRef& layer = v.manifest.layers[i];
    if (!v.index_bytes[i].empty() || !requested.insert(layer.index).second) continue;
    Job fresh;
    fresh.kind = Job::Kind::kIndex;
    fresh.expected = layer.index;
    fresh.request.kind = StoreRequest::Kind::kBlob;
    fresh.request.repository = options_.prefix + v.function;
    fresh.request.reference = layer.index.text();
    fresh.request.size = static_cast<std::size_t>(layer.index_size);
    start_or_join_job("index " + v.function + " " + layer.index.hex(), std::move(fresh), &v, level);
  }
  if (v.jobs.empty()) {
    v.state = Version::State::kChunks;
    fetch_chunks(v);
  }
}

void Agent::set_retained(Version& v, bool on) {
  if (v.chunks_retained == on) return;
  v.chunks_retained = on;
  on ? cache_.retain(v.keys) : cache_.release(v.keys);
}

void Agent::fetch_chunks(Version& v) {
  if (v.keys.empty()) {
    std::set<Key> keys;
    for (const Index& index : v.indexes)
      for (const Chunk& c : index.chunks) keys.insert(key_of(v.name.first, c.content));
    v.keys.assign(keys.begin(), keys.end());
  }
  set_retained(v, true);
  // Fails early if the version cannot fit next to the retained chunks, instead of after half of the download.
  std::uint64_t lacking = 0;
  std::set<Key> seen;
  for (const Index& index : v.indexes)
    for (const Chunk& c : index.chunks) {
      const Key key = key_of(v.name.first, c.content);
      if (cache_.state(key) == ChunkCache::State::kAbsent && seen.insert(key).second) lacking += c.size;
    }
  if (cache_.bytes() - cache_.evictable_bytes() + lacking > cache_.capacity())
    return fail_version(
        v.name, {SnapshotError::Kind::kNoSpace, "the disk holds " + std::to_string(cache_.capacity() >> 20) +
                                                    " MiB of chunks, and " + std::to_string(lacking >> 10) +
                                                    " KiB more do not fit beside what is in use"});
  const Level level = level_of(v);
  const VersionName name = v.name;
  seen.clear();
  for (std::size_t i = 0; i < v.indexes.size(); ++i) {
    const LayerRef layer = v.manifest.layers[i];
    for (const Chunk& c : v.indexes[i].chunks) {
      const Key key = key_of(name.first, c.content);
      if (!seen.insert(key).second) continue;
      const ChunkCache::State chunk_state = cache_.state(key);
      if (chunk_state == ChunkCache::State::kComplete) {
        ++counters_.chunk_hits;
        counters_.saved_bytes += c.stored_size;
        continue;
      }
      Job fresh;
      fresh.kind = Job::Kind::kChunk;
      fresh.key = key, fresh.chunk = c;
      fresh.request.kind = StoreRequest::Kind::kBlob;
      fresh.request.repository = options_.prefix + v.function;
      fresh.request.reference = layer.blob.text();
      fresh.request.ranged = true, fresh.request.offset = c.offset, fresh.request.size = c.stored_size;
      fresh.fetched = chunk_state == ChunkCache::State::kUnverified;  // on disk, only needs verification
      const bool joins = jobs_by_key_.contains("chunk " + key.hex());
      Job& started_job = start_or_join_job("chunk " + key.hex(), std::move(fresh), &v, level);
      if (joins) {
        ++counters_.chunk_joins;
        counters_.saved_bytes += c.stored_size;
      } else if (started_job.fetched) {
        ++counters_.chunk_hits;
        counters_.saved_bytes += c.stored_size;
        verify_chunk(started_job.id);
      } else {
        ++counters_.chunk_fetches;
      }
    }
  }
  if (v.jobs.empty()) return on_version_complete(v);
  if (std::exchange(v.state, Version::State::kChunks) == Version::State::kComplete)
    notify_change();  // some of its chunks were evicted
}

void Agent::on_version_complete(Version& v) {
  const bool fresh = v.state != Version::State::kComplete;
  v.state = Version::State::kComplete;
  const VersionName name = v.name;
  Function& f = functions_.at(v.function);
  // Atomic switch: requests get the previous complete version before this line and the new one after it.
  std::optional<Digest> old;
  if (f.latest == name.second && f.current != name.second) old = std::exchange(f.current, name.second);
  if (fresh) {
    save_record(v);
    notify_change();
  }
  v.background = false;
  for (const std::uint64_t ticket : std::exchange(v.waiters, {})) {
    const auto it = pending_.find(ticket);
    if (it == pending_.end()) continue;
    const PendingRequest pending = std::move(it->second);
    pending_.erase(it);
    if (pins_.size() >= options_.max_pins) {
      ++counters_.refused;
      pending.done(std::nullopt, {SnapshotError::Kind::kBusy, "more pins than the agent keeps"});
      continue;
    }
    pins_[ticket] = {pending.request.worker, name};
    workers_[pending.request.worker].pins.insert(ticket);
    ++v.pins;
    ++counters_.answered;
    pending.done(snapshot(ticket, v), {});
  }
  release_if_unused(name);
  if (old) release_if_unused({name.first, *old});
}

void Agent::fail_version(const VersionName& name, const SnapshotError& error) {
  const auto it = versions_.find(name);
  if (it == versions_.end()) return;
  Version& v = *it->second;
  log_(true, "layers: " + v.function + " " + name.second.text() + ": " + error.why);
  Function& f = functions_.at(v.function);
  f.last_error = error.why;
  const auto waiters = std::exchange(v.waiters, {});
  v.background = false;
  // Retried at the next poll if the tag still names it.
  if (f.latest == name.second && f.current != name.second) {
    f.latest = f.current;
    const auto current = f.current ? versions_.find({f.domain, *f.current}) : versions_.end();
    f.release = current == versions_.end() ? 0 : current->second->manifest.release;
  }
  release_if_unused(name);
  for (const std::uint64_t ticket : waiters) reject(ticket, error);
}

// Removes a version that no request, pin or tag refers to, and cancels the fetches made for it alone. Its
// chunks stay in the cache until evicted, because the next release may share them.
void Agent::release_if_unused(const VersionName& name) {
  const auto it = versions_.find(name);
  if (it == versions_.end()) return;
  Version& v = *it->second;
  if (!v.waiters.empty() || v.background) return raise_level(v);
  const Function& f = functions_.at(v.function);
  for (const std::uint64_t id : std::exchange(v.jobs, {})) detach_from_job(id, name);
  if (v.pins == 0) set_retained(v, false);
  const bool named = f.current == name.second || f.latest == name.second;
  if (v.pins > 0 || named) return;
  if (v.state == Version::State::kComplete || v.state == Version::State::kChunks)
    disk_.erase(record_name(name));
  versions_.erase(it);
}

void Agent::notify_change() {
  ++sequence_;
  if (on_change) on_change();
}

std::vector<ReleaseStatus> Agent::releases() const {
  std::vector<ReleaseStatus> all;
  for (const auto& [name, f] : functions_) {
    auto add = [&, domain = f.domain, function = name](const std::optional<Digest>& digest) {
      const auto it = digest ? versions_.find({domain, *digest}) : versions_.end();
      if (it == versions_.end()) return;
      const Version& v = *it->second;
      all.push_back({function, v.manifest.release, *digest, v.state == Version::State::kComplete});
    };
    add(f.current);
    if (f.latest != f.current) add(f.latest);
  }
  return all;
}

// ---- Jobs ----

Agent::Job& Agent::start_or_join_job(const std::string& dedup_key, Job fresh, Version* for_version,
                                     Level level) {
  const auto known = jobs_by_key_.find(dedup_key);
  if (known != jobs_by_key_.end()) {
    Job& job = jobs_.at(known->second);
    if (for_version) job.versions.insert(for_version->name), for_version->jobs.insert(job.id);
    if (level < job.level) job.level = level, scheduler_.raise(host_.now(), job.id, level);
    return job;
  }
  const std::uint64_t id = next_++;
  Job& job = jobs_[id] = std::move(fresh);
  job.id = id, job.dedup_key = dedup_key, job.level = level;
  jobs_by_key_[dedup_key] = id;
  if (for_version) job.versions.insert(for_version->name), for_version->jobs.insert(id);
  if (job.fetched) return job;
  const std::string& name = for_version ? for_version->function : job.function;
  Fetch fetch;
  fetch.id = id, fetch.level = level;
  fetch.tenant = static_cast<std::uint32_t>(hash_of(domain_of(name)));
  // Tags, manifests and indexes go first: they decide which chunks are needed at all.
  const bool small = job.kind != Job::Kind::kChunk;
  if (small) fetch.level = std::min(fetch.level, Level::kHold);
  fetch.function = hash_of(name) + (small ? 1 : 0);
  fetch.bytes = static_cast<std::uint32_t>(job.request.ranged ? job.request.size : 4096);
  if (!scheduler_.add(host_.now(), fetch)) rejected_jobs_.push_back(id);
  fetch_timer_->start(Duration(0));
  return job;
}

void Agent::raise_level(Version& v) {
  const Level level = level_of(v);
  for (const std::uint64_t id : v.jobs) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.level <= level) continue;
    it->second.level = level;
    scheduler_.raise(host_.now(), id, level);
  }
  if (!v.jobs.empty()) fetch_timer_->start(Duration(0));
}

// The version no longer waits for the job; a job without waiting versions is cancelled.
void Agent::detach_from_job(std::uint64_t id, const VersionName& name) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  it->second.versions.erase(name);
  if (it->second.versions.empty() && it->second.kind != Job::Kind::kTag && !it->second.fetched)
    cancel_job(id);
}

void Agent::cancel_job(std::uint64_t id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  scheduler_.drop(host_.now(), id);
  for (const auto& [attempt, ticket] : it->second.in_flight) {
    remote_.cancel(ticket);
    ++counters_.cancelled;
  }
  jobs_by_key_.erase(it->second.dedup_key);
  jobs_.erase(it);
  fetch_timer_->start(Duration(0));
}

void Agent::start_fetches() {
  const Time now = host_.now();
  for (const std::uint64_t id : std::exchange(rejected_jobs_, {}))
    if (jobs_.contains(id))
      job_failed(id, {SnapshotError::Kind::kBusy, "more fetches wait than the agent keeps"});
  while (const auto start = scheduler_.next(now)) {
    Job& job = jobs_.at(start->id);
    StoreRequest request = job.request;
    request.replica = start->replica;
    const std::uint64_t id = start->id;
    const std::uint32_t attempt = start->attempt;
    job.in_flight[attempt] =
        remote_.fetch(request, [this, id, attempt, alive = alive_](StoreResponse result) {
          if (*alive) attempt_ended(id, attempt, std::move(result));
        });
  }
  if (const auto next_wakeup = scheduler_.next_wakeup(now))
    fetch_timer_->start(std::max(Duration(0), *next_wakeup - now));
}

void Agent::attempt_ended(std::uint64_t id, std::uint32_t attempt, StoreResponse result) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  job.in_flight.erase(attempt);
  if (result.end == FetchOutcome::kOk) {
    counters_.fetched_bytes += result.bytes.size();
    bool matches = true;
    if (job.kind == Job::Kind::kChunk) matches = digest_of(result.bytes) == job.chunk.stored;
    if (job.kind == Job::Kind::kManifest || job.kind == Job::Kind::kIndex)
      matches = digest_of(result.bytes) == job.expected;
    if (!matches) {
      ++counters_.corrupt;
      result.end = FetchOutcome::kCorrupt;
    }
  }
  if (!result.why.empty()) job.detail = result.why;
  const AttemptVerdict verdict =
      scheduler_.on_attempt_ended(host_.now(), id, attempt, result.end, result.retry_after);
  fetch_timer_->start(Duration(0));
  switch (verdict.kind) {
    case AttemptVerdict::Kind::kDone:
      for (const std::uint32_t other : verdict.attempts_to_cancel)
        if (const auto in_flight = job.in_flight.find(other); in_flight != job.in_flight.end()) {
          remote_.cancel(in_flight->second);
          job.in_flight.erase(in_flight);
        }
      return job_done(id, std::move(result.bytes));
    case AttemptVerdict::Kind::kGaveUp: {
      const bool unknown = result.end == FetchOutcome::kMissing && job.kind != Job::Kind::kIndex &&
                           job.kind != Job::Kind::kChunk;
      const std::string detail = job.detail.empty() ? "" : ": " + job.detail;
      return job_failed(id,
                        {unknown ? SnapshotError::Kind::kNotFound : SnapshotError::Kind::kStoreFailed,
                         job.request.repository + " " + job.request.reference + ": " + verdict.why + detail});
    }
    case AttemptVerdict::Kind::kRetry:
    case AttemptVerdict::Kind::kDropped: return;
  }
}

void Agent::job_done(std::uint64_t id, std::string bytes) {
  Job& job = jobs_.at(id);
  if (job.kind == Job::Kind::kChunk) return store_chunk(id, std::move(bytes));
  const Job done = std::move(job);
  jobs_by_key_.erase(done.dedup_key);
  jobs_.erase(id);
  if (done.kind == Job::Kind::kTag) return on_tag_fetched(functions_.at(done.function), std::move(bytes), {});
  for (const VersionName& name : done.versions) {
    const auto it = versions_.find(name);
    if (it == versions_.end()) continue;
    Version& v = *it->second;
    v.jobs.erase(id);
    std::string why;
    if (done.kind == Job::Kind::kManifest) {
      auto manifest = parse_manifest(bytes, why);
      if (manifest && manifest->function != v.function) why = "it is another function's", manifest.reset();
      if (!manifest) {
        fail_version(name, {SnapshotError::Kind::kInvalid, "its manifest cannot be used: " + why});
        continue;
      }
      v.manifest_bytes = bytes, v.manifest = std::move(*manifest);
      v.state = Version::State::kIndexes;
      fetch_indexes(v);
      continue;
    }
    auto index = parse_index(bytes, why);
    if (!index) {
      fail_version(name, {SnapshotError::Kind::kInvalid, "a layer's index cannot be used: " + why});
      continue;
    }
    for (std::size_t i = 0; i < v.manifest.layers.size(); ++i)
      if (v.manifest.layers[i].index == done.expected) v.index_bytes[i] = bytes, v.indexes[i] = *index;
    if (!v.jobs.empty()) continue;
    v.state = Version::State::kChunks;
    fetch_chunks(v);
  }
}

void Agent::job_failed(std::uint64_t id, const SnapshotError& error) {
  const Job failed = std::move(jobs_.at(id));
  jobs_by_key_.erase(failed.dedup_key);
  jobs_.erase(id);
  if (failed.kind == Job::Kind::kTag)
    return on_tag_fetched(functions_.at(failed.function), std::nullopt, error);
  for (const VersionName& name : failed.versions) {
    if (const auto it = versions_.find(name); it != versions_.end()) it->second->jobs.erase(id);
    fail_version(name, error);
  }
}

// ---- Writing and verifying chunks ----

void Agent::store_chunk(std::uint64_t id, std::string frame) {
  Job& job = jobs_.at(id);
  job.fetched = true;
  const auto to_evict = cache_.begin_write(job.key, job.chunk.size);
  if (!to_evict)
    return job_failed(id, {SnapshotError::Kind::kNoSpace, "the disk's bound is reached by what is in use"});
  for (const Key& key : *to_evict) disk_.remove(key);
  disk_.write(job.key, job.chunk, std::move(frame),
              [this, id, alive = alive_](DiskStatus end, const std::string& why) {
                if (!*alive) return;
                Job& here = jobs_.at(id);
                if (end == DiskStatus::kOk) {
                  cache_.finish_write(here.key);
                  return on_chunk_stored(id);
                }
                cache_.discard(here.key);
                const bool full = end == DiskStatus::kFull;
                const bool bad =
                    end == DiskStatus::kCorrupt;  // the frame matched the index: the layer was packed wrongly
                job_failed(id, {full  ? SnapshotError::Kind::kNoSpace
                                : bad ? SnapshotError::Kind::kInvalid
                                      : SnapshotError::Kind::kStoreFailed,
                                (bad ? "it was published wrongly: " : "the disk: ") + why});
              });
}

// Verifies a chunk left by an earlier process; a corrupt one is fetched again.
void Agent::verify_chunk(std::uint64_t id) {
  const Job& job = jobs_.at(id);
  disk_.verify(job.key, job.chunk.content, [this, id, alive = alive_](DiskStatus end, const std::string&) {
    if (!*alive) return;
    Job& here = jobs_.at(id);
    if (end == DiskStatus::kOk) {
      cache_.mark_verified(here.key);
      return on_chunk_stored(id);
    }
    ++counters_.broken_on_disk;
    log_(true, "layers: chunk " + here.chunk.content.text() + " on disk is corrupt; fetching it again");
    cache_.discard(here.key);
    disk_.remove(here.key);
    const std::set<VersionName> versions = here.versions;
    jobs_by_key_.erase(here.dedup_key);
    jobs_.erase(id);
    for (const VersionName& name : versions) {
      const auto it = versions_.find(name);
      if (it == versions_.end()) continue;
      it->second->jobs.erase(id);
      // It may wait for other chunks by now, so all missing chunks are requested again.
      if (it->second->chunks_retained || !it->second->waiters.empty()) fetch_chunks(*it->second);
    }
  });
}

void Agent::on_chunk_stored(std::uint64_t id) {
  const Job done = std::move(jobs_.at(id));
  jobs_by_key_.erase(done.dedup_key);
  jobs_.erase(id);
  for (const VersionName& name : done.versions) {
    const auto it = versions_.find(name);
    if (it == versions_.end()) continue;
    it->second->jobs.erase(id);
    if (it->second->jobs.empty()) on_version_complete(*it->second);
  }
}

// ---- Pins and leases ----

bool Agent::unpin(std::uint64_t id) {
  const auto it = pins_.find(id);
  if (it == pins_.end()) return false;
  const Pin pin = std::move(it->second);
  pins_.erase(it);
  if (const auto w = workers_.find(pin.worker); w != workers_.end()) w->second.pins.erase(id);
  if (const auto v = versions_.find(pin.version); v != versions_.end()) {
    --v->second->pins;
    release_if_unused(pin.version);
  }
  return true;
}

void Agent::renew(const std::string& worker, const std::string& incarnation) {
  if (!workers_.contains(worker) && workers_.size() >= options_.max_workers) return;
  Worker& w = workers_[worker];
  if (w.incarnation != incarnation) {  // the worker restarted, so its old pins are unused
    w.incarnation = incarnation;
    for (const std::uint64_t pin : std::set<std::uint64_t>(w.pins)) unpin(pin);
  }
  w.lease_until = host_.now() + options_.lease;
}

void Agent::expire_leases() {
  lease_timer_->start(kLeaseCheckInterval);
  std::vector<std::string> expired;
  for (const auto& [name, w] : workers_)
    if (host_.now() >= w.lease_until) expired.push_back(name);
  for (const std::string& name : expired) {
    const std::set<std::uint64_t> pins = workers_.at(name).pins;
    if (!pins.empty())
      log_(true,
           "layers: worker " + name + " lease expired: " + std::to_string(pins.size()) + " pins released");
    for (const std::uint64_t pin : pins) unpin(pin);
    workers_.erase(name);
  }
}

std::vector<std::string> Agent::describe_waiting(std::size_t most) const {
  std::vector<std::string> lines;
  for (const auto& [name, v] : versions_) {
    if (v->jobs.empty()) continue;
    if (lines.size() == most) break;
    lines.push_back(v->function + " release " + std::to_string(v->manifest.release) + " " +
                    name.second.text() + ": waits for " + std::to_string(v->jobs.size()) +
                    " fetches at level " + text_of(level_of(*v)) + ", " + std::to_string(v->waiters.size()) +
                    " workers wait for it");
  }
  for (const auto& [name, f] : functions_)
    if (!f.last_error.empty() && lines.size() < most) lines.push_back(name + ": " + f.last_error);
  return lines;
}

}  // namespace laureltide::layers
