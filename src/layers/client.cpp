#include "layers/client.h"

#include <nlohmann/json.hpp>

namespace laureltide::layers {
namespace {

using nlohmann::json;

constexpr Duration kLeaseRenewInterval = std::chrono::seconds(2);  // several renewals per lease
constexpr Duration kRequestTimeout = std::chrono::seconds(5);
constexpr int kReleasesWaitS = 20;

std::optional<Snapshot> parse_snapshot(const std::string& body) {
  const json doc = json::parse(body, nullptr, false);
  try {
    Snapshot s;
    s.pin = doc.at("pin"), s.function = doc.at("function"), s.release = doc.at("release");
    const auto version = parse_digest(doc.at("version").get<std::string>());
    if (!version) return std::nullopt;
    s.version = *version;
    for (const json& l : doc.at("layers")) {
      Snapshot::Layer layer;
      const auto content = parse_digest(l.at("digest").get<std::string>());
      if (!content) return std::nullopt;
      layer.title = l.at("title"), layer.content = *content, layer.size = l.at("size");
      for (const json& c : l.at("chunks"))
        layer.chunks.emplace_back(c.at(0).get<std::string>(), c.at(1).get<std::uint32_t>());
      s.layers.push_back(std::move(layer));
    }
    return s;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string detail_of(const http::Exchange::Result& r) {
  if (r.status == 0) return "the box agent: " + r.why;
  const json doc = json::parse(r.body, nullptr, false);
  if (doc.is_object() && doc.contains("detail") && doc["detail"].is_string()) return doc["detail"];
  return "the box agent answered with status " + std::to_string(r.status);
}

}  // namespace

AgentClient::AgentClient(io::Host& host, io::Address agent, std::string worker, std::string incarnation)
    : host_(host),
      agent_(std::move(agent)),
      worker_(std::move(worker)),
      incarnation_(std::move(incarnation)),
      retired_(host),
      lease_timer_(host.timer([this] { renew_lease(); })),
      poll_timer_(host.timer([this] { poll_releases(); })) {
  lease_timer_->start(Duration(0));
}
AgentClient::~AgentClient() = default;

void AgentClient::send(http::Request request, Duration timeout, Done done) {
  request.headers.add("Host", agent_.text());
  request.headers.add("Connection", "close");
  http::Limits limits;
  limits.max_body_bytes = 64U << 20;  // a snapshot of many chunks
  const std::uint64_t id = next_++;
  in_flight_[id] = std::make_unique<http::Exchange>(
      host_, agent_, request, timeout, limits, [this, id, done = std::move(done)](http::Exchange::Result r) {
        retired_.delete_later(std::move(in_flight_.at(id)));
        in_flight_.erase(id);
        done(std::move(r));
      });
}

void AgentClient::pin(const std::string& function, const std::optional<Digest>& version, Level level,
                      Duration timeout, PinCallback done) {
  json doc = {{"worker", worker_}, {"life", incarnation_}, {"function", function}, {"for", text_of(level)}};
  if (version) doc["version"] = version->text();
  http::Request request;
  request.method = "POST", request.target = "/v1/pins", request.body = doc.dump();
  send(std::move(request), timeout, [done = std::move(done)](const http::Exchange::Result& r) {
    if (r.status != 200) return done(std::nullopt, detail_of(r));
    auto snapshot = parse_snapshot(r.body);
    done(snapshot, snapshot ? "" : "the box agent's answer cannot be read");
  });
}

void AgentClient::unpin(std::uint64_t pin) {
  http::Request request;
  request.method = "DELETE", request.target = "/v1/pins/" + std::to_string(pin);
  send(std::move(request), kRequestTimeout,
       [](const http::Exchange::Result&) {});  // on failure the pin ends with its lease
}

void AgentClient::renew_lease() {
  lease_timer_->start(kLeaseRenewInterval);
  http::Request request;
  request.method = "PUT";
  request.target = "/v1/workers/" + http::percent_encode(worker_) + "/" + http::percent_encode(incarnation_);
  send(std::move(request), kRequestTimeout, [](const http::Exchange::Result&) {});
}

void AgentClient::watch_releases(std::function<void(const std::vector<ReleaseStatus>&)> on_releases) {
  on_releases_ = std::move(on_releases);
  poll_releases();
}

void AgentClient::poll_releases() {
  http::Request request;
  request.method = "GET";
  request.target =
      "/v1/releases?after=" + std::to_string(sequence_) + "&wait=" + std::to_string(kReleasesWaitS);
  send(std::move(request), std::chrono::seconds(kReleasesWaitS) + kRequestTimeout,
       [this](const http::Exchange::Result& r) {
         const json doc = r.status == 200 ? json::parse(r.body, nullptr, false) : json();
         Duration pause =
             std::chrono::duration_cast<Duration>(std::chrono::seconds(1) * (0.5 + host_.random_unit()));
         try {
           if (doc.is_object()) {
             const std::uint64_t sequence = doc.at("sequence");
             std::vector<ReleaseStatus> all;
             for (const json& one : doc.at("releases")) {
               const auto version = parse_digest(one.at("version").get<std::string>());
               if (version) all.push_back({one.at("function"), one.at("release"), *version, one.at("whole")});
             }
             // Any other number counts as a change: it decreases when the agent restarts.
             if (std::exchange(sequence_, sequence) != sequence) on_releases_(all);
             pause = std::chrono::milliseconds(10);
           }
         } catch (const json::exception&) {  // unexpected answer format: retried later
         }
         poll_timer_->start(pause);
       });
}

}  // namespace laureltide::layers
