#include "layers/agent.h"

#include <algorithm>
#include <utility>

#include "base/bytes.h"

namespace laureltide::layers {
namespace {

constexpr Duration kSweepEvery = std::chrono::seconds(1);
constexpr std::uint8_t kRecordLayout = 1;

std::uint64_t number_of(std::string_view text) { return std::hash<std::string_view>{}(text); }

void put(Writer& w, std::string_view text) {
  w.u32(static_cast<std::uint32_t>(text.size()));
  w.bytes(text);
}

}  // namespace

std::string Agent::domain_of(const std::string& function) {
  const std::size_t slash = function.find('/');
  return slash == std::string::npos ? "" : function.substr(0, slash);
}

Agent::Agent(io::Host& host, Disk& disk, Remote& remote, AgentOptions options, Log log)
    : host_(host),
      disk_(disk),
      remote_(remote),
      options_(std::move(options)),
      log_(std::move(log)),
      shelf_(options_.capacity),
      scheduler_(options_.scheduler, host.random()),
      turn_(host.timer([this] { turn(); })),
      sweep_(host.timer([this] { sweep(); })) {
  scheduler_.set_replicas(0, options_.replicas);
  recover();
  sweep_->start(kSweepEvery);
}
Agent::~Agent() { *alive_ = false; }

// ---- After a restart --------------------------------------------------------------------------------------

std::string Agent::record_name(const VersionName& name) { return name.first + "\n" + name.second.text(); }

void Agent::record(const Version& v) {
  std::string bytes;
  Writer w(bytes);
  w.u8(kRecordLayout);
  put(w, v.function), put(w, v.manifest_bytes);
  w.u32(static_cast<std::uint32_t>(v.index_bytes.size()));
  for (const std::string& index : v.index_bytes) put(w, index);
  disk_.put(record_name(v.name), std::move(bytes));
}

// A version comes back whole if all its chunks are here; none of them is believed before its digest was
// checked. What does not fit is forgotten: it is fetched again when it is asked for.
void Agent::recover() {
  const Disk::Found found = disk_.load();
  std::uint64_t over = 0;
  for (const auto& chunk : found.chunks) {
    if (shelf_.bytes() + chunk.size > shelf_.capacity()) {  // the bound was lowered
      disk_.remove(chunk.key);
      ++over;
      continue;
    }
    shelf_.found(chunk.key, chunk.size);
  }
  if (found.dropped + over > 0)
    log_(true, "layers: " + std::to_string(found.dropped) + " half-written or unknown chunks dropped, " +
                   std::to_string(over) + " over the bound");
  for (const auto& [name, bytes] : found.records) {
    Reader r(bytes);
    const bool known = r.u8() == kRecordLayout;
    const std::string function_name(r.take(r.u32()));
    auto v = std::make_unique<Version>();
    v->manifest_bytes = r.take(r.u32());
    std::string why;
    auto manifest = known && r.ok() ? parse_manifest(v->manifest_bytes, why) : std::nullopt;
    const std::uint32_t count = r.u32();
    bool well = manifest && r.ok() && count == manifest->layers.size() && manifest->function == function_name;
    std::set<Key> keys;
    const std::string domain = domain_of(function_name);
    for (std::uint32_t i = 0; well && i < count; ++i) {
      std::string index_bytes(r.take(r.u32()));
      auto index = r.ok() && digest_of(index_bytes) == manifest->layers[i].index
                       ? parse_index(index_bytes, why)
                       : std::nullopt;
      well = index.has_value();
      if (!well) break;
      for (const Chunk& c : index->chunks) keys.insert(key_of(domain, c.content));
      v->index_bytes.push_back(std::move(index_bytes));
      v->indexes.push_back(std::move(*index));
    }
    Function* f = well ? function(function_name) : nullptr;
    if (!f) {
      disk_.erase(name);
      continue;
    }
    v->name = {domain, digest_of(v->manifest_bytes)};
    v->function = function_name;
    v->manifest = std::move(*manifest);
    v->keys.assign(keys.begin(), keys.end());
    v->state = Version::State::kWhole;
    const bool whole = std::all_of(v->keys.begin(), v->keys.end(), [&](const Key& key) {
      return shelf_.standing(key) != Shelf::Standing::kAbsent;
    });
    if (!whole) v->state = Version::State::kChunks;
    if (!f->wanted || v->manifest.release > f->release)
      f->release = v->manifest.release, f->wanted = v->name.second;
    const auto current = f->current ? versions_.find({domain, *f->current}) : versions_.end();
    if (whole && (current == versions_.end() || v->manifest.release > current->second->manifest.release))
      f->current = v->name.second;
    versions_[v->name] = std::move(v);
  }
  std::vector<VersionName> names;
  for (const auto& [name, v] : versions_) names.push_back(name);
  for (const VersionName& name : names) let_go(name);  // what was only pinned
  if (!versions_.empty())
    log_(false, "layers: " + std::to_string(versions_.size()) + " versions and " +
                    std::to_string(shelf_.chunks()) + " chunks are here from before the start");
}

// ---- Asks
// ---------------------------------------------------------------------------------------------------

Agent::Function* Agent::function(const std::string& name) {
  const auto it = functions_.find(name);
  if (it != functions_.end()) return &it->second;
  if (!valid_repository(options_.prefix + name) || functions_.size() >= options_.most_functions)
    return nullptr;
  Function& f = functions_[name];
  f.name = name, f.domain = domain_of(name);
  f.timer = host_.timer([this, name] {
    Function& mine = functions_.at(name);
    if (host_.now() - mine.used > options_.look_for) return;
    look_now(mine, Level::kRenewal);
  });
  return &f;
}

void Agent::use(Function& f) {
  const bool slept = f.used == Time{} || host_.now() - f.used > options_.look_for;
  f.used = host_.now();
  if (slept && !f.look_job)
    f.timer->start(
        std::chrono::duration_cast<Duration>(options_.tag_poll_interval * (0.5 + host_.random_unit())));
}

std::uint64_t Agent::ask(Ask ask, Done done) {
  ++counters_.asks;
  const std::uint64_t ticket = next_++;
  const std::string name = ask.function;
  const bool crowded = !workers_.contains(ask.worker) && workers_.size() >= options_.most_workers;
  if (!crowded) renew(ask.worker, ask.life);
  Waiting& waiting = asks_[ticket];
  waiting.ask = std::move(ask), waiting.done = std::move(done);
  if (crowded || asks_.size() > options_.most_asks) {
    answer(ticket, {NoSnapshot::Kind::kBusy, "too many workers wait for versions"});
    return ticket;
  }
  Function* f = function(name);
  if (!f) {
    const bool known = valid_repository(options_.prefix + name);
    answer(ticket, {known ? NoSnapshot::Kind::kBusy : NoSnapshot::Kind::kBad,
                    known ? "more functions than the agent may know" : "no name of a function: " + name});
    return ticket;
  }
  use(*f);
  if (waiting.ask.version) {
    attach(ticket, version({f->domain, *waiting.ask.version}, name));
  } else if (f->current) {  // the old one, until the new one stands
    attach(ticket, version({f->domain, *f->current}, name));
  } else if (f->wanted) {
    attach(ticket, version({f->domain, *f->wanted}, name));
  } else {
    f->asks.insert(ticket);
    look_now(*f, waiting.ask.level);
  }
  return ticket;
}

void Agent::call_off(std::uint64_t ticket) {
  const auto it = asks_.find(ticket);
  if (it == asks_.end()) return;
  const Waiting gone = std::move(it->second);
  asks_.erase(it);
  if (const auto f = functions_.find(gone.ask.function); f != functions_.end()) f->second.asks.erase(ticket);
  if (!gone.version) return;
  const auto v = versions_.find(*gone.version);
  if (v == versions_.end()) return;
  v->second->asks.erase(ticket);
  let_go(*gone.version);
}

void Agent::answer(std::uint64_t ticket, const NoSnapshot& no) {
  const auto it = asks_.find(ticket);
  if (it == asks_.end()) return;
  const Waiting waiting = std::move(it->second);
  asks_.erase(it);
  ++counters_.refused;
  waiting.done(std::nullopt, no);
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

// ---- Tags
// ---------------------------------------------------------------------------------------------------

void Agent::look(const std::string& name) {
  if (Function* f = function(name)) use(*f), look_now(*f, Level::kRenewal);
}

void Agent::look_now(Function& f, Level level) {
  Job fresh;
  fresh.kind = Job::Kind::kTag;
  fresh.function = f.name;
  fresh.request.kind = RemoteRequest::Kind::kManifest;
  fresh.request.repository = options_.prefix + f.name;
  fresh.request.reference = options_.tag;
  fresh.request.size = kMostManifest;
  f.look_job = job("tag " + f.name, std::move(fresh), nullptr, level).id;
}

void Agent::on_tag(Function& f, std::optional<std::string> bytes, const NoSnapshot& no) {
  f.look_job.reset();
  f.timer->start(
      std::chrono::duration_cast<Duration>(options_.tag_poll_interval * (0.5 + host_.random_unit())));
  const auto asks = std::exchange(f.asks, {});
  std::string why;
  auto manifest = bytes ? parse_manifest(*bytes, why) : std::nullopt;
  if (manifest && manifest->function != f.name) {
    manifest.reset();
    why = "it is the manifest of another function";
  }
  if (!manifest) {
    const NoSnapshot reason =
        bytes ? NoSnapshot{NoSnapshot::Kind::kBad, "the release of " + f.name + " cannot be read: " + why}
              : no;
    if (std::exchange(f.trouble, reason.why) != reason.why)
      log_(true, "layers: " + f.name + ": " + reason.why);
    for (const std::uint64_t ticket : asks) answer(ticket, reason);
    return;
  }
  f.trouble.clear();
  const Digest digest = digest_of(*bytes);
  // A release goes forward by its number, also one that brings old layers back; a replica that lags behind
  // does not undo it.
  if (!f.wanted || manifest->release > f.release) {
    const auto old = f.wanted;
    f.wanted = digest;
    f.release = manifest->release;
    log_(false, "layers: " + f.name + ": release " + std::to_string(f.release) + " is " + digest.text());
    Version& v = version({f.domain, digest}, f.name);
    v.background = true;
    if (v.state == Version::State::kManifest) {
      v.manifest_bytes = std::move(*bytes);
      v.manifest = std::move(*manifest);
      v.state = Version::State::kIndexes;
      for (const std::uint64_t id : std::exchange(v.jobs, {}))
        leave(id, v.name);  // its manifest came this way
      want_indexes(v);
    } else {
      advance(v);
    }
    if (old && old != digest) {  // overtaken: what nobody asked for is no longer fetched
      if (const auto it = versions_.find({f.domain, *old}); it != versions_.end()) {
        it->second->background = false;
        let_go(it->first);
      }
    }
    news();
  } else if (digest == f.wanted && f.current != f.wanted) {  // half fetched by an earlier life, or failed
    Version& v = version({f.domain, digest}, f.name);
    if (!std::exchange(v.background, true)) advance(v);
  }
  for (const std::uint64_t ticket : asks)
    if (asks_.contains(ticket))
      attach(ticket, version({f.domain, f.current ? *f.current : *f.wanted}, f.name));
}

// ---- Versions
// -----------------------------------------------------------------------------------------------

Agent::Version& Agent::version(const VersionName& name, const std::string& function_name) {
  auto& slot = versions_[name];
  if (slot) return *slot;
  slot = std::make_unique<Version>();
  slot->name = name, slot->function = function_name;
  return *slot;
}

Level Agent::level_of(const Version& v) const {
  Level level = v.background ? Level::kRenewal : Level::kPrefetch;
  for (const std::uint64_t ticket : v.asks)
    if (const auto it = asks_.find(ticket); it != asks_.end()) level = std::min(level, it->second.ask.level);
  return level;
}

void Agent::attach(std::uint64_t ticket, Version& v) {
  Waiting& waiting = asks_.at(ticket);
  waiting.version = v.name;
  v.asks.insert(ticket);
  raise(v);
  advance(v);
}

// From whatever state it is in to the next thing it lacks.
void Agent::advance(Version& v) {
  if (!v.jobs.empty()) return;
  switch (v.state) {
    case Version::State::kManifest: {
      Job fresh;
      fresh.kind = Job::Kind::kManifest;
      fresh.expected = v.name.second;
      fresh.request.kind = RemoteRequest::Kind::kManifest;
      fresh.request.repository = options_.prefix + v.function;
      fresh.request.reference = v.name.second.text();
      fresh.request.size = kMostManifest;
      job("manifest " + v.function + " " + v.name.second.hex(), std::move(fresh), &v, level_of(v));
      return;
    }
    case Version::State::kIndexes: return want_indexes(v);
    case Version::State::kChunks:
    case Version::State::kWhole: return want_chunks(v);
  }
}

void Agent::want_indexes(Version& v) {
  v.index_bytes.resize(v.manifest.layers.size());
  v.indexes.resize(v.manifest.layers.size());
  v.left = 0;
  const Level level = level_of(v);
  std::set<Digest> wanted;
  for (std::size_t i = 0; i < v.manifest.layers.size(); ++i) {
    const LayerRef& layer = v.manifest.layers[i];
    if (!v.index_bytes[i].empty() || !wanted.insert(layer.index).second) continue;
    Job fresh;
    fresh.kind = Job::Kind::kIndex;
    fresh.expected = layer.index;
    fresh.request.kind = RemoteRequest::Kind::kBlob;
    fresh.request.repository = options_.prefix + v.function;
    fresh.request.reference = layer.index.text();
    fresh.request.size = static_cast<std::size_t>(layer.index_size);
    job("index " + v.function + " " + layer.index.hex(), std::move(fresh), &v, level);
  }
  if (v.jobs.empty()) {
    v.state = Version::State::kChunks;
    want_chunks(v);
  }
}

void Agent::hold(Version& v, bool on) {
  if (v.held == on) return;
  v.held = on;
  on ? shelf_.hold(v.keys) : shelf_.release(v.keys);
}

void Agent::want_chunks(Version& v) {
  if (v.keys.empty()) {
    std::set<Key> keys;
    for (const Index& index : v.indexes)
      for (const Chunk& c : index.chunks) keys.insert(key_of(v.name.first, c.content));
    v.keys.assign(keys.begin(), keys.end());
  }
  hold(v, true);
  // Can it be whole at all beside what is pinned? Better said now than after half of it was fetched.
  std::uint64_t lacking = 0;
  std::set<Key> seen;
  for (const Index& index : v.indexes)
    for (const Chunk& c : index.chunks) {
      const Key key = key_of(v.name.first, c.content);
      if (shelf_.standing(key) == Shelf::Standing::kAbsent && seen.insert(key).second) lacking += c.size;
    }
  if (shelf_.bytes() - shelf_.loose() + lacking > shelf_.capacity())
    return fail(v.name,
                {NoSnapshot::Kind::kRoom, "the disk holds " + std::to_string(shelf_.capacity() >> 20) +
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
      const Shelf::Standing standing = shelf_.standing(key);
      if (standing == Shelf::Standing::kWhole) {
        ++counters_.chunk_hits;
        counters_.saved_bytes += c.stored_size;
        continue;
      }
      Job fresh;
      fresh.kind = Job::Kind::kChunk;
      fresh.key = key, fresh.chunk = c;
      fresh.request.kind = RemoteRequest::Kind::kBlob;
      fresh.request.repository = options_.prefix + v.function;
      fresh.request.reference = layer.blob.text();
      fresh.request.ranged = true, fresh.request.offset = c.offset, fresh.request.size = c.stored_size;
      fresh.fetched = standing == Shelf::Standing::kUnproven;  // it only needs to be proven
      const bool joins = singles_.contains("chunk " + key.hex());
      Job& made = job("chunk " + key.hex(), std::move(fresh), &v, level);
      if (joins) {
        ++counters_.chunk_joins;
        counters_.saved_bytes += c.stored_size;
      } else if (made.fetched) {
        ++counters_.chunk_hits;
        counters_.saved_bytes += c.stored_size;
        prove(made.id);
      } else {
        ++counters_.chunk_fetches;
      }
    }
  }
  if (v.jobs.empty()) return whole(v);
  if (std::exchange(v.state, Version::State::kChunks) == Version::State::kWhole) news();  // parts of it went
}

void Agent::whole(Version& v) {
  const bool fresh = v.state != Version::State::kWhole;
  v.state = Version::State::kWhole;
  const VersionName name = v.name;
  Function& f = functions_.at(v.function);
  // Atomic: from here on asks get it, and until here they got the old one, whole.
  std::optional<Digest> old;
  if (f.wanted == name.second && f.current != name.second) old = std::exchange(f.current, name.second);
  if (fresh) {
    record(v);
    news();
  }
  v.background = false;
  for (const std::uint64_t ticket : std::exchange(v.asks, {})) {
    const auto it = asks_.find(ticket);
    if (it == asks_.end()) continue;
    const Waiting waiting = std::move(it->second);
    asks_.erase(it);
    if (pins_.size() >= options_.most_pins) {
      ++counters_.refused;
      waiting.done(std::nullopt, {NoSnapshot::Kind::kBusy, "more pins than the agent keeps"});
      continue;
    }
    pins_[ticket] = {waiting.ask.worker, name};
    workers_[waiting.ask.worker].pins.insert(ticket);
    ++v.pins;
    ++counters_.answered;
    waiting.done(snapshot(ticket, v), {});
  }
  let_go(name);
  if (old) let_go({name.first, *old});
}

void Agent::fail(const VersionName& name, const NoSnapshot& no) {
  const auto it = versions_.find(name);
  if (it == versions_.end()) return;
  Version& v = *it->second;
  log_(true, "layers: " + v.function + " " + name.second.text() + ": " + no.why);
  Function& f = functions_.at(v.function);
  f.trouble = no.why;
  const auto asks = std::exchange(v.asks, {});
  v.background = false;
  // Named again by the tag, it is tried again: at the next look.
  if (f.wanted == name.second && f.current != name.second) {
    f.wanted = f.current;
    const auto current = f.current ? versions_.find({f.domain, *f.current}) : versions_.end();
    f.release = current == versions_.end() ? 0 : current->second->manifest.release;
  }
  let_go(name);
  for (const std::uint64_t ticket : asks) answer(ticket, no);
}

// What nobody waits for, pins or names goes, and with it what is fetched for it alone. Its chunks stay until
// their room is needed: the next release may hold them too.
void Agent::let_go(const VersionName& name) {
  const auto it = versions_.find(name);
  if (it == versions_.end()) return;
  Version& v = *it->second;
  if (!v.asks.empty() || v.background) return raise(v);
  const Function& f = functions_.at(v.function);
  for (const std::uint64_t id : std::exchange(v.jobs, {})) leave(id, name);
  if (v.pins == 0) hold(v, false);
  const bool named = f.current == name.second || f.wanted == name.second;
  if (v.pins > 0 || named) return;
  if (v.state == Version::State::kWhole || v.state == Version::State::kChunks) disk_.erase(record_name(name));
  versions_.erase(it);
}

void Agent::news() {
  ++sequence_;
  if (on_news) on_news();
}

std::vector<ReleaseStatus> Agent::releases() const {
  std::vector<ReleaseStatus> all;
  for (const auto& [name, f] : functions_) {
    auto add = [&, domain = f.domain, function = name](const std::optional<Digest>& digest) {
      const auto it = digest ? versions_.find({domain, *digest}) : versions_.end();
      if (it == versions_.end()) return;
      const Version& v = *it->second;
      all.push_back({function, v.manifest.release, *digest, v.state == Version::State::kWhole});
    };
    add(f.current);
    if (f.wanted != f.current) add(f.wanted);
  }
  return all;
}

// ---- Jobs
// ---------------------------------------------------------------------------------------------------

Agent::Job& Agent::job(const std::string& single, Job fresh, Version* for_version, Level level) {
  const auto known = singles_.find(single);
  if (known != singles_.end()) {
    Job& mine = jobs_.at(known->second);
    if (for_version) mine.versions.insert(for_version->name), for_version->jobs.insert(mine.id);
    if (level < mine.level) mine.level = level, scheduler_.raise(host_.now(), mine.id, level);
    return mine;
  }
  const std::uint64_t id = next_++;
  Job& mine = jobs_[id] = std::move(fresh);
  mine.id = id, mine.single = single, mine.level = level;
  singles_[single] = id;
  if (for_version) mine.versions.insert(for_version->name), for_version->jobs.insert(id);
  if (mine.fetched) return mine;
  const std::string& name = for_version ? for_version->function : mine.function;
  Fetch fetch;
  fetch.id = id, fetch.level = level;
  fetch.tenant = static_cast<std::uint32_t>(number_of(domain_of(name)));
  // What says what to fetch does not wait behind what it may make needless.
  const bool small = mine.kind != Job::Kind::kChunk;
  if (small) fetch.level = std::min(fetch.level, Level::kHold);
  fetch.function = number_of(name) + (small ? 1 : 0);
  fetch.bytes = static_cast<std::uint32_t>(mine.request.ranged ? mine.request.size : 4096);
  if (!scheduler_.add(host_.now(), fetch)) refused_.push_back(id);
  turn_->start(Duration(0));
  return mine;
}

void Agent::raise(Version& v) {
  const Level level = level_of(v);
  for (const std::uint64_t id : v.jobs) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.level <= level) continue;
    it->second.level = level;
    scheduler_.raise(host_.now(), id, level);
  }
  if (!v.jobs.empty()) turn_->start(Duration(0));
}

// The version waits for it no longer; without anybody who does, it is called off.
void Agent::leave(std::uint64_t id, const VersionName& name) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  it->second.versions.erase(name);
  if (it->second.versions.empty() && it->second.kind != Job::Kind::kTag && !it->second.fetched) drop(id);
}

void Agent::drop(std::uint64_t id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  scheduler_.drop(host_.now(), id);
  for (const auto& [attempt, ticket] : it->second.out) {
    remote_.call_off(ticket);
    ++counters_.called_off;
  }
  singles_.erase(it->second.single);
  jobs_.erase(it);
  turn_->start(Duration(0));
}

void Agent::turn() {
  const Time now = host_.now();
  for (const std::uint64_t id : std::exchange(refused_, {}))
    if (jobs_.contains(id))
      job_failed(id, {NoSnapshot::Kind::kBusy, "more fetches wait than the agent keeps"});
  while (const auto start = scheduler_.next(now)) {
    Job& mine = jobs_.at(start->id);
    RemoteRequest request = mine.request;
    request.replica = start->replica;
    const std::uint64_t id = start->id;
    const std::uint32_t attempt = start->attempt;
    mine.out[attempt] = remote_.fetch(request, [this, id, attempt, alive = alive_](RemoteResult result) {
      if (*alive) attempt_ended(id, attempt, std::move(result));
    });
  }
  if (const auto wake = scheduler_.wake(now)) turn_->start(std::max(Duration(0), *wake - now));
}

void Agent::attempt_ended(std::uint64_t id, std::uint32_t attempt, RemoteResult result) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& mine = it->second;
  mine.out.erase(attempt);
  if (result.end == FetchOutcome::kOk) {
    counters_.fetched_bytes += result.bytes.size();
    bool fits = true;
    if (mine.kind == Job::Kind::kChunk) fits = digest_of(result.bytes) == mine.chunk.stored;
    if (mine.kind == Job::Kind::kManifest || mine.kind == Job::Kind::kIndex)
      fits = digest_of(result.bytes) == mine.expected;
    if (!fits) {
      ++counters_.corrupt;
      result.end = FetchOutcome::kCorrupt;
    }
  }
  if (!result.why.empty()) mine.detail = result.why;
  const Verdict verdict =
      scheduler_.on_attempt_ended(host_.now(), id, attempt, result.end, result.retry_after);
  turn_->start(Duration(0));
  switch (verdict.kind) {
    case Verdict::Kind::kDone:
      for (const std::uint32_t other : verdict.call_off)
        if (const auto out = mine.out.find(other); out != mine.out.end()) {
          remote_.call_off(out->second);
          mine.out.erase(out);
        }
      return job_done(id, std::move(result.bytes));
    case Verdict::Kind::kGaveUp: {
      const bool unknown = result.end == FetchOutcome::kMissing && mine.kind != Job::Kind::kIndex &&
                           mine.kind != Job::Kind::kChunk;
      const std::string detail = mine.detail.empty() ? "" : ": " + mine.detail;
      return job_failed(
          id, {unknown ? NoSnapshot::Kind::kUnknown : NoSnapshot::Kind::kStore,
               mine.request.repository + " " + mine.request.reference + ": " + verdict.why + detail});
    }
    case Verdict::Kind::kAgain:
    case Verdict::Kind::kNobody: return;
  }
}

void Agent::job_done(std::uint64_t id, std::string bytes) {
  Job& mine = jobs_.at(id);
  if (mine.kind == Job::Kind::kChunk) return keep(id, std::move(bytes));
  const Job done = std::move(mine);
  singles_.erase(done.single);
  jobs_.erase(id);
  if (done.kind == Job::Kind::kTag) return on_tag(functions_.at(done.function), std::move(bytes), {});
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
        fail(name, {NoSnapshot::Kind::kBad, "its manifest cannot be used: " + why});
        continue;
      }
      v.manifest_bytes = bytes, v.manifest = std::move(*manifest);
      v.state = Version::State::kIndexes;
      want_indexes(v);
      continue;
    }
    auto index = parse_index(bytes, why);
    if (!index) {
      fail(name, {NoSnapshot::Kind::kBad, "a layer's index cannot be used: " + why});
      continue;
    }
    for (std::size_t i = 0; i < v.manifest.layers.size(); ++i)
      if (v.manifest.layers[i].index == done.expected) v.index_bytes[i] = bytes, v.indexes[i] = *index;
    if (!v.jobs.empty()) continue;
    v.state = Version::State::kChunks;
    want_chunks(v);
  }
}

void Agent::job_failed(std::uint64_t id, const NoSnapshot& no) {
  const Job failed = std::move(jobs_.at(id));
  singles_.erase(failed.single);
  jobs_.erase(id);
  if (failed.kind == Job::Kind::kTag) return on_tag(functions_.at(failed.function), std::nullopt, no);
  for (const VersionName& name : failed.versions) {
    if (const auto it = versions_.find(name); it != versions_.end()) it->second->jobs.erase(id);
    fail(name, no);
  }
}

// ---- Chunks on their way to the disk
// ------------------------------------------------------------------------

void Agent::keep(std::uint64_t id, std::string frame) {
  Job& mine = jobs_.at(id);
  mine.fetched = true;
  const auto go = shelf_.begin(mine.key, mine.chunk.size);
  if (!go) return job_failed(id, {NoSnapshot::Kind::kRoom, "the disk's bound is reached by what is in use"});
  for (const Key& key : *go) disk_.remove(key);
  disk_.write(mine.key, mine.chunk, std::move(frame),
              [this, id, alive = alive_](DiskEnd end, const std::string& why) {
                if (!*alive) return;
                Job& here = jobs_.at(id);
                if (end == DiskEnd::kOk) {
                  shelf_.written(here.key);
                  return chunk_stands(id);
                }
                shelf_.gone(here.key);
                const bool full = end == DiskEnd::kFull;
                const bool bad =
                    end == DiskEnd::kCorrupt;  // of the digests the index names: the packer's fault
                job_failed(id, {full  ? NoSnapshot::Kind::kRoom
                                : bad ? NoSnapshot::Kind::kBad
                                      : NoSnapshot::Kind::kStore,
                                (bad ? "it was published wrongly: " : "the disk: ") + why});
              });
}

// Of an earlier life: believed once its digest was checked, fetched again if it does not fit.
void Agent::prove(std::uint64_t id) {
  const Job& mine = jobs_.at(id);
  disk_.prove(mine.key, mine.chunk.content, [this, id, alive = alive_](DiskEnd end, const std::string&) {
    if (!*alive) return;
    Job& here = jobs_.at(id);
    if (end == DiskEnd::kOk) {
      shelf_.proven(here.key);
      return chunk_stands(id);
    }
    ++counters_.broken_on_disk;
    log_(true, "layers: chunk " + here.chunk.content.text() + " on the disk is broken; it is fetched again");
    shelf_.gone(here.key);
    disk_.remove(here.key);
    const std::set<VersionName> versions = here.versions;
    singles_.erase(here.single);
    jobs_.erase(id);
    for (const VersionName& name : versions) {
      const auto it = versions_.find(name);
      if (it == versions_.end()) continue;
      it->second->jobs.erase(id);
      // It may wait for others meanwhile: all that is lacking is asked for again.
      if (it->second->held || !it->second->asks.empty()) want_chunks(*it->second);
    }
  });
}

void Agent::chunk_stands(std::uint64_t id) {
  const Job done = std::move(jobs_.at(id));
  singles_.erase(done.single);
  jobs_.erase(id);
  for (const VersionName& name : done.versions) {
    const auto it = versions_.find(name);
    if (it == versions_.end()) continue;
    it->second->jobs.erase(id);
    if (it->second->jobs.empty()) whole(*it->second);
  }
}

// ---- Pins and leases
// ----------------------------------------------------------------------------------------

bool Agent::unpin(std::uint64_t id) {
  const auto it = pins_.find(id);
  if (it == pins_.end()) return false;
  const Pin pin = std::move(it->second);
  pins_.erase(it);
  if (const auto w = workers_.find(pin.worker); w != workers_.end()) w->second.pins.erase(id);
  if (const auto v = versions_.find(pin.version); v != versions_.end()) {
    --v->second->pins;
    let_go(pin.version);
  }
  return true;
}

void Agent::renew(const std::string& worker, const std::string& life) {
  if (!workers_.contains(worker) && workers_.size() >= options_.most_workers) return;
  Worker& w = workers_[worker];
  if (w.life != life) {  // it died, and what it ran died with it
    w.life = life;
    for (const std::uint64_t pin : std::set<std::uint64_t>(w.pins)) unpin(pin);
  }
  w.until = host_.now() + options_.lease;
}

void Agent::sweep() {
  sweep_->start(kSweepEvery);
  std::vector<std::string> gone;
  for (const auto& [name, w] : workers_)
    if (host_.now() >= w.until) gone.push_back(name);
  for (const std::string& name : gone) {
    const std::set<std::uint64_t> pins = workers_.at(name).pins;
    if (!pins.empty())
      log_(true, "layers: worker " + name + " has not been heard of: " + std::to_string(pins.size()) +
                     " pins are let go");
    for (const std::uint64_t pin : pins) unpin(pin);
    workers_.erase(name);
  }
}

std::vector<std::string> Agent::waiting(std::size_t most) const {
  std::vector<std::string> lines;
  for (const auto& [name, v] : versions_) {
    if (v->jobs.empty()) continue;
    if (lines.size() == most) break;
    lines.push_back(v->function + " release " + std::to_string(v->manifest.release) + " " +
                    name.second.text() + ": waits for " + std::to_string(v->jobs.size()) +
                    " fetches at level " + text_of(level_of(*v)) + ", " + std::to_string(v->asks.size()) +
                    " workers wait for it");
  }
  for (const auto& [name, f] : functions_)
    if (!f.trouble.empty() && lines.size() < most) lines.push_back(name + ": " + f.trouble);
  return lines;
}

}  // namespace laureltide::layers
