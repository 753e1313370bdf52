#include "layers/agent_server.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace laureltide::layers {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxListeners = 1024;
constexpr Duration kMaxReleasesWait = std::chrono::seconds(30);
constexpr std::size_t kMaxStateLines = 100;
constexpr std::size_t kMaxNameBytes = 255;

std::string dump(const json& doc) { return doc.dump(-1, ' ', false, json::error_handler_t::replace); }

std::optional<Level> level_named(const std::string& text) {
  for (std::size_t l = 0; l < kLevels; ++l)
    if (text == text_of(static_cast<Level>(l))) return static_cast<Level>(l);
  return std::nullopt;
}

std::optional<std::string> text(const json& doc, const char* name) {
  const auto it = doc.find(name);
  if (it == doc.end() || !it->is_string()) return std::nullopt;
  const auto& value = it->get_ref<const std::string&>();
  return value.empty() || value.size() > kMaxNameBytes ? std::nullopt : std::optional(value);
}

// Numeric query parameter, e.g. "after=12"; 0 if absent.
std::uint64_t number_in(const std::string& query, const std::string& name) {
  const std::size_t at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) return 0;
  std::uint64_t n = 0;
  const char* from = query.data() + at + name.size() + 1;
  std::from_chars(from, query.data() + query.size(), n);
  return n;
}

json to_json(const Snapshot& s) {
  json layers = json::array();
  for (const Snapshot::Layer& layer : s.layers) {
    json chunks = json::array();
    for (const auto& [path, size] : layer.chunks) chunks.push_back({path, size});
    layers.push_back({{"title", layer.title},
                      {"digest", layer.content.text()},
                      {"size", layer.size},
                      {"chunks", std::move(chunks)}});
  }
  return {{"pin", s.pin},
          {"function", s.function},
          {"version", s.version.text()},
          {"release", s.release},
          {"layers", std::move(layers)}};
}

int status_of(SnapshotError::Kind kind) {
  switch (kind) {
    case SnapshotError::Kind::kNotFound: return 404;
    case SnapshotError::Kind::kInvalid: return 422;
    case SnapshotError::Kind::kStoreFailed: return 502;
    case SnapshotError::Kind::kNoSpace: return 507;
    case SnapshotError::Kind::kBusy: return 503;
  }
  return 500;
}

}  // namespace

AgentServer::AgentServer(io::Host& host, Agent& agent, http::ServerOptions options)
    : host_(host), agent_(agent), server_(host, options, *this) {
  agent_.on_change = [this] {
    // Delayed by 1 ms to report several simultaneous changes together.
    for (auto& [ticket, timer] : listeners_) timer->start(std::chrono::milliseconds(1));
  };
}
AgentServer::~AgentServer() {
  *alive_ = false;
  agent_.on_change = nullptr;
}

void AgentServer::respond(http::Server::Ticket ticket, int status, std::string body, const char* type) {
  http::Response response;
  response.status = status;
  if (!body.empty()) response.headers.add("Content-Type", type);
  response.body = std::move(body);
  server_.respond(ticket, std::move(response));
}

void AgentServer::respond_problem(http::Server::Ticket ticket, int status, const std::string& detail) {
  respond(ticket, status, on_invalid_request(status, detail), "application/problem+json");
}

std::string AgentServer::on_invalid_request(int status, const std::string& why) {
  return dump(
      {{"type", "about:blank"}, {"title", http::reason_phrase(status)}, {"status", status}, {"detail", why}});
}

void AgentServer::on_request(http::Server::Ticket ticket, http::Request request) {
  const auto target = http::split_target(request.target);
  if (!target) return respond_problem(ticket, 400, "the target is no path, or is badly encoded");
  const auto& path = target->path;
  const std::string& method = request.method;
  if (path.size() < 2 || path[0] != "v1") return respond_problem(ticket, 404, "nothing is here");
  if (path[1] == "pins" && path.size() == 2 && method == "POST") return handle_pin(ticket, request);
  if (path[1] == "pins" && path.size() == 3 && method == "DELETE") {
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(path[2].data(), path[2].data() + path[2].size(), id);
    const bool number = error == std::errc() && end == path[2].data() + path[2].size();
    return number && agent_.unpin(id) ? respond(ticket, 204, "")
                                      : respond_problem(ticket, 404, "no such pin: " + path[2]);
  }
  if (path[1] == "workers" && path.size() == 4 && method == "PUT") {  // /v1/workers/NAME/INCARNATION
    if (path[2].empty() || path[2].size() > kMaxNameBytes || path[3].size() > kMaxNameBytes)
      return respond_problem(ticket, 400, "a worker's name has 1 to 255 characters");
    agent_.renew(path[2], path[3]);
    return respond(ticket, 204, "");
  }
  if (path[1] == "releases" && path.size() == 2 && method == "GET")
    return handle_releases(ticket, target->query);
  if (path[1] == "look" && path.size() == 3 && method == "POST") {
    agent_.poll_tag(path[2]);
    return respond(ticket, 202, "");
  }
  if (path[1] == "state" && path.size() == 2 && method == "GET") return respond(ticket, 200, state());
  respond_problem(ticket, 404, "nothing is here");
}

void AgentServer::handle_pin(http::Server::Ticket ticket, const http::Request& request) {
  const json doc = json::parse(request.body, nullptr, false);
  if (!doc.is_object()) return respond_problem(ticket, 400, "the body is no JSON object");
  SnapshotRequest snapshot_request;
  const auto worker = text(doc, "worker"), incarnation = text(doc, "life"), function = text(doc, "function");
  if (!worker || !incarnation || !function)
    return respond_problem(ticket, 400, "texts worker, life and function of 1 to 255 bytes are needed");
  snapshot_request.worker = *worker, snapshot_request.incarnation = *incarnation,
  snapshot_request.function = *function;
  if (doc.contains("version")) {
    const auto name = text(doc, "version");
    snapshot_request.version = name ? parse_digest(*name) : std::nullopt;
    if (!snapshot_request.version)
      return respond_problem(ticket, 400, "version is no digest: expected sha256: and 64 hex digits");
  }
  if (doc.contains("for")) {
    const auto name = text(doc, "for");
    const auto level = name ? level_named(*name) : std::nullopt;
    if (!level) return respond_problem(ticket, 400, "for: expected call, hold, renewal or prefetch");
    snapshot_request.level = *level;
  }
  auto finished = std::make_shared<bool>(false);
  const std::uint64_t id = agent_.request_snapshot(
      std::move(snapshot_request),
      [this, ticket, finished, alive = alive_](std::optional<Snapshot> s, const SnapshotError& error) {
        *finished = true;
        if (!*alive) return;
        pending_.erase(ticket);
        s ? respond(ticket, 200, dump(to_json(*s)))
          : respond_problem(ticket, status_of(error.kind), error.why);
      });
  if (!*finished) pending_[ticket] = id;
}

void AgentServer::on_client_disconnected(http::Server::Ticket ticket) {
  listeners_.erase(ticket);
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return;
  const std::uint64_t id = it->second;
  pending_.erase(it);
  agent_.cancel(id);
}

void AgentServer::handle_releases(http::Server::Ticket ticket, const std::string& query) {
  const std::uint64_t after = number_in(query, "after");
  const auto wait = std::chrono::seconds(std::min<std::uint64_t>(number_in(query, "wait"), 30));
  if (after < agent_.sequence() || wait.count() == 0 || listeners_.size() >= kMaxListeners)
    return send_releases(ticket);
  auto& timer = listeners_[ticket];
  timer = host_.timer([this, ticket] {
    auto mine = std::move(listeners_[ticket]);  // keeps the running timer alive until this callback returns
    listeners_.erase(ticket);
    send_releases(ticket);
  });
  timer->start(std::min<Duration>(wait, kMaxReleasesWait));
}

void AgentServer::send_releases(http::Server::Ticket ticket) {
  json all = json::array();
  for (const ReleaseStatus& r : agent_.releases())
    all.push_back({{"function", r.function},
                   {"release", r.release},
                   {"version", r.version.text()},
                   {"whole", r.whole}});
  respond(ticket, 200, dump({{"sequence", agent_.sequence()}, {"releases", std::move(all)}}));
}

std::string AgentServer::state() const {
  const AgentCounters& c = agent_.counters();
  const StoreState s = agent_.store();
  json levels;
  for (std::size_t l = 0; l < kLevels; ++l) levels[text_of(static_cast<Level>(l))] = s.waiting_at[l];
  const ChunkCache& cache = agent_.cache();
  return dump({{"asks", {{"all", c.requests}, {"answered", c.answered}, {"refused", c.refused}}},
               {"chunks",
                {{"hits", c.chunk_hits},
                 {"joins", c.chunk_joins},
                 {"fetches", c.chunk_fetches},
                 {"corrupt", c.corrupt},
                 {"broken_on_disk", c.broken_on_disk},
                 {"called_off", c.cancelled}}},
               {"bytes", {{"fetched", c.fetched_bytes}, {"saved", c.saved_bytes}}},
               {"disk",
                {{"bytes", cache.bytes()},
                 {"most", cache.capacity()},
                 {"in_use", cache.bytes() - cache.evictable_bytes()},
                 {"chunks", cache.chunks()},
                 {"evicted", cache.evicted()},
                 {"pins", agent_.pins()}}},
               {"store",
                {{"window", s.window},
                 {"running", s.running},
                 {"waiting", levels},
                 {"resting", s.cooling_down},
                 {"usual_ms", s.baseline_s * 1000},
                 {"repeats", agent_.scheduler().retries()},
                 {"hedges", agent_.scheduler().hedges()}}},
               {"waits", agent_.describe_waiting(kMaxStateLines)}});
}

}  // namespace laureltide::layers
