#include "layers/agent_server.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace laureltide::layers {
namespace {

using nlohmann::json;

constexpr std::size_t kMostListeners = 1024;
constexpr Duration kLongestNews = std::chrono::seconds(30);
constexpr std::size_t kMostLines = 100;
constexpr std::size_t kLongestName = 255;

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
  return value.empty() || value.size() > kLongestName ? std::nullopt : std::optional(value);
}

// "after=12"; 0 if it is not there.
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

int status_of(NoSnapshot::Kind kind) {
  switch (kind) {
    case NoSnapshot::Kind::kUnknown: return 404;
    case NoSnapshot::Kind::kBad: return 422;
    case NoSnapshot::Kind::kStore: return 502;
    case NoSnapshot::Kind::kRoom: return 507;
    case NoSnapshot::Kind::kBusy: return 503;
  }
  return 500;
}

}  // namespace

AgentServer::AgentServer(io::Host& host, Agent& agent, http::ServerOptions options)
    : host_(host), agent_(agent), server_(host, options, *this) {
  agent_.on_news = [this] {
    // A moment later: several changes at once are told once.
    for (auto& [ticket, timer] : listeners_) timer->start(std::chrono::milliseconds(1));
  };
}
AgentServer::~AgentServer() {
  *alive_ = false;
  agent_.on_news = nullptr;
}

void AgentServer::say(http::Server::Ticket ticket, int status, std::string body, const char* type) {
  http::Response response;
  response.status = status;
  if (!body.empty()) response.headers.add("Content-Type", type);
  response.body = std::move(body);
  server_.respond(ticket, std::move(response));
}

void AgentServer::problem(http::Server::Ticket ticket, int status, const std::string& detail) {
  say(ticket, status, on_invalid_request(status, detail), "application/problem+json");
}

std::string AgentServer::on_invalid_request(int status, const std::string& why) {
  return dump(
      {{"type", "about:blank"}, {"title", http::reason_phrase(status)}, {"status", status}, {"detail", why}});
}

void AgentServer::on_request(http::Server::Ticket ticket, http::Request request) {
  const auto target = http::split_target(request.target);
  if (!target) return problem(ticket, 400, "the target is no path, or is badly encoded");
  const auto& path = target->path;
  const std::string& method = request.method;
  if (path.size() < 2 || path[0] != "v1") return problem(ticket, 404, "nothing is here");
  if (path[1] == "pins" && path.size() == 2 && method == "POST") return pin(ticket, request);
  if (path[1] == "pins" && path.size() == 3 && method == "DELETE") {
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(path[2].data(), path[2].data() + path[2].size(), id);
    const bool number = error == std::errc() && end == path[2].data() + path[2].size();
    return number && agent_.unpin(id) ? say(ticket, 204, "")
                                      : problem(ticket, 404, "no such pin: " + path[2]);
  }
  if (path[1] == "workers" && path.size() == 4 && method == "PUT") {  // its name, its life
    if (path[2].empty() || path[2].size() > kLongestName || path[3].size() > kLongestName)
      return problem(ticket, 400, "a worker's name has 1 to 255 characters");
    agent_.renew(path[2], path[3]);
    return say(ticket, 204, "");
  }
  if (path[1] == "releases" && path.size() == 2 && method == "GET")
    return tell_releases(ticket, target->query);
  if (path[1] == "look" && path.size() == 3 && method == "POST") {
    agent_.look(path[2]);
    return say(ticket, 202, "");
  }
  if (path[1] == "state" && path.size() == 2 && method == "GET") return say(ticket, 200, state());
  problem(ticket, 404, "nothing is here");
}

void AgentServer::pin(http::Server::Ticket ticket, const http::Request& request) {
  const json doc = json::parse(request.body, nullptr, false);
  if (!doc.is_object()) return problem(ticket, 400, "the body is no JSON object");
  Ask ask;
  const auto worker = text(doc, "worker"), life = text(doc, "life"), function = text(doc, "function");
  if (!worker || !life || !function)
    return problem(ticket, 400, "texts worker, life and function of 1 to 255 bytes are needed");
  ask.worker = *worker, ask.life = *life, ask.function = *function;
  if (doc.contains("version")) {
    const auto name = text(doc, "version");
    ask.version = name ? parse_digest(*name) : std::nullopt;
    if (!ask.version) return problem(ticket, 400, "version is no digest: expected sha256: and 64 hex digits");
  }
  if (doc.contains("for")) {
    const auto name = text(doc, "for");
    const auto level = name ? level_named(*name) : std::nullopt;
    if (!level) return problem(ticket, 400, "for: expected call, hold, renewal or prefetch");
    ask.level = *level;
  }
  auto over = std::make_shared<bool>(false);
  const std::uint64_t id = agent_.ask(
      std::move(ask), [this, ticket, over, alive = alive_](std::optional<Snapshot> s, const NoSnapshot& no) {
        *over = true;
        if (!*alive) return;
        asks_.erase(ticket);
        s ? say(ticket, 200, dump(to_json(*s))) : problem(ticket, status_of(no.kind), no.why);
      });
  if (!*over) asks_[ticket] = id;
}

void AgentServer::on_client_disconnected(http::Server::Ticket ticket) {
  listeners_.erase(ticket);
  const auto it = asks_.find(ticket);
  if (it == asks_.end()) return;
  const std::uint64_t id = it->second;
  asks_.erase(it);
  agent_.call_off(id);
}

void AgentServer::tell_releases(http::Server::Ticket ticket, const std::string& query) {
  const std::uint64_t after = number_in(query, "after");
  const auto wait = std::chrono::seconds(std::min<std::uint64_t>(number_in(query, "wait"), 30));
  if (after < agent_.sequence() || wait.count() == 0 || listeners_.size() >= kMostListeners)
    return say_releases(ticket);
  auto& timer = listeners_[ticket];
  timer = host_.timer([this, ticket] {
    auto mine = std::move(listeners_[ticket]);  // it is running this
    listeners_.erase(ticket);
    say_releases(ticket);
  });
  timer->start(std::min<Duration>(wait, kLongestNews));
}

void AgentServer::say_releases(http::Server::Ticket ticket) {
  json all = json::array();
  for (const ReleaseStatus& r : agent_.releases())
    all.push_back({{"function", r.function},
                   {"release", r.release},
                   {"version", r.version.text()},
                   {"whole", r.whole}});
  say(ticket, 200, dump({{"sequence", agent_.sequence()}, {"releases", std::move(all)}}));
}

std::string AgentServer::state() const {
  const AgentCounters& c = agent_.counters();
  const StoreState s = agent_.store();
  json levels;
  for (std::size_t l = 0; l < kLevels; ++l) levels[text_of(static_cast<Level>(l))] = s.waiting_at[l];
  const Shelf& shelf = agent_.shelf();
  return dump({{"asks", {{"all", c.asks}, {"answered", c.answered}, {"refused", c.refused}}},
               {"chunks",
                {{"hits", c.chunk_hits},
                 {"joins", c.chunk_joins},
                 {"fetches", c.chunk_fetches},
                 {"corrupt", c.corrupt},
                 {"broken_on_disk", c.broken_on_disk},
                 {"called_off", c.called_off}}},
               {"bytes", {{"fetched", c.fetched_bytes}, {"saved", c.saved_bytes}}},
               {"disk",
                {{"bytes", shelf.bytes()},
                 {"most", shelf.capacity()},
                 {"in_use", shelf.bytes() - shelf.loose()},
                 {"chunks", shelf.chunks()},
                 {"evicted", shelf.evicted()},
                 {"pins", agent_.pins()}}},
               {"store",
                {{"window", s.window},
                 {"running", s.running},
                 {"waiting", levels},
                 {"resting", s.resting},
                 {"usual_ms", s.usual_s * 1000},
                 {"repeats", agent_.scheduler().repeats()},
                 {"hedges", agent_.scheduler().hedges()}}},
               {"waits", agent_.waiting(kMostLines)}});
}

}  // namespace laureltide::layers
