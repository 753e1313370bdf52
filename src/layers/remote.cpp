#include "layers/remote.h"

#include <algorithm>
#include <charconv>

#include "layers/format.h"

namespace laureltide::layers {
namespace {

constexpr int kMostHops = 3;

bool letter(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

// "bytes 0-9/100" (RFC 9110, 14.4), and is it what was asked for?
bool range_fits(const std::string* header, std::uint64_t offset, std::size_t size) {
  if (!header) return false;
  const std::string wanted =
      "bytes " + std::to_string(offset) + "-" + std::to_string(offset + size - 1) + "/";
  return header->starts_with(wanted);
}

}  // namespace

bool valid_repository(std::string_view name) {
  // [a-z0-9]+((\.|_|__|-+)[a-z0-9]+)* parts, with slashes between them
  if (name.empty() || name.size() > 255) return false;
  for (std::size_t i = 0; i < name.size(); ++i) {
    const bool first = i == 0 || name[i - 1] == '/', last = i + 1 == name.size() || name[i + 1] == '/';
    if (letter(name[i])) continue;
    if (first || last) return false;
    if (name[i] == '/') continue;
    if (name[i] == '.' && !letter(name[i - 1])) return false;
    if (name[i] == '_' && !(letter(name[i - 1]) || (name[i - 1] == '_' && i >= 2 && letter(name[i - 2]))))
      return false;
    if (name[i] == '-' && !(letter(name[i - 1]) || name[i - 1] == '-')) return false;
    if (name[i] != '.' && name[i] != '_' && name[i] != '-') return false;
  }
  return name.front() != '/' && name.back() != '/';
}

Duration retry_after_of(const http::Headers& headers) {
  const std::string* text = headers.find("Retry-After");
  if (!text) return {};
  std::uint32_t seconds = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), seconds);
  if (error != std::errc() || end != text->data() + text->size()) return {};
  return std::chrono::seconds(std::min(seconds, 3600U));
}

RegistryClient::RegistryClient(io::Host& host, RegistryClientOptions options)
    : host_(host), options_(std::move(options)), dead_(host) {}

std::uint64_t RegistryClient::fetch(const RemoteRequest& request, Done done) {
  const std::uint64_t ticket = next_++;
  auto& slot = out_[ticket];
  slot = std::make_unique<Out>();
  slot->request = request, slot->done = std::move(done);
  const bool blob = request.kind == RemoteRequest::Kind::kBlob;
  ask(ticket, *slot, options_.replicas[request.replica % options_.replicas.size()],
      "/v2/" + request.repository + (blob ? "/blobs/" : "/manifests/") + request.reference);
  return ticket;
}

void RegistryClient::call_off(std::uint64_t ticket) {
  const auto it = out_.find(ticket);
  if (it == out_.end()) return;
  it->second->exchange.reset();  // hung up on at once: nothing more is sent for it
  dead_.delete_later(std::move(it->second));
  out_.erase(it);
}

void RegistryClient::ask(std::uint64_t ticket, Out& out, const io::Address& at, const std::string& target) {
  http::Request request;
  request.method = "GET";
  request.target = target;
  request.headers.add("Host", at.text());
  request.headers.add("User-Agent", options_.name);
  request.headers.add("Connection", "close");
  request.headers.add("Accept", out.request.kind == RemoteRequest::Kind::kBlob ? "*/*" : kManifestType);
  if (out.request.ranged)
    request.headers.add("Range", "bytes=" + std::to_string(out.request.offset) + "-" +
                                     std::to_string(out.request.offset + out.request.size - 1));
  http::Limits limits;
  limits.max_body_bytes = out.request.size;
  const double slowest = static_cast<double>(out.request.size) / static_cast<double>(options_.pace);
  const Duration within =
      options_.within + (out.request.ranged
                             ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(slowest))
                             : Duration(0));
  out.exchange = std::make_unique<http::Exchange>(
      host_, at, request, within, limits,
      [this, ticket, at](http::Exchange::Result result) { answered(ticket, at, std::move(result)); });
}

void RegistryClient::answered(std::uint64_t ticket, const io::Address& at, http::Exchange::Result result) {
  const auto it = out_.find(ticket);
  if (it == out_.end()) return;
  Out& out = *it->second;
  const int status = result.status;
  if (status == 301 || status == 302 || status == 307 || status == 308) {
    const std::string* location = result.headers.find("Location");
    std::optional<http::Url> to;
    if (location && location->starts_with("/"))
      to = http::Url{at, *location};
    else if (location)
      to = http::parse_url(*location);
    if (to && ++out.hops <= kMostHops) {
      auto old = std::make_shared<std::unique_ptr<http::Exchange>>(std::move(out.exchange));
      ask(ticket, out, to->address, to->target);
      // The old exchange is on the call stack: it goes behind it.
      auto grave = std::make_unique<Out>();
      grave->exchange = std::move(*old);
      return dead_.delete_later(std::move(grave));
    }
  }
  RemoteResult said;
  said.retry_after = retry_after_of(result.headers);
  const std::string with_status = "status " + std::to_string(status);
  if (status == 0) {
    said.why = result.why;
  } else if (status == 200 && !out.request.ranged) {
    said.end = FetchOutcome::kOk;
  } else if (status == 206 && out.request.ranged) {
    const bool fits =
        range_fits(result.headers.find("Content-Range"), out.request.offset, out.request.size) &&
        result.body.size() == out.request.size;
    said.end = fits ? FetchOutcome::kOk : FetchOutcome::kBroken;
    if (!fits) said.why = "another range than was asked for";
  } else if (status == 200) {
    said.why = "the store ignores Range";
  } else if (status == 429 || status == 503) {
    said.end = FetchOutcome::kBusy, said.why = with_status;
  } else if (status == 404 || status == 410) {
    said.end = FetchOutcome::kMissing, said.why = with_status;
  } else if (status >= 400 && status < 500) {
    said.end = FetchOutcome::kRefused, said.why = with_status;
  } else {
    said.why = with_status;
  }
  if (said.end == FetchOutcome::kOk) said.bytes = std::move(result.body);
  const Done done = std::move(out.done);
  dead_.delete_later(std::move(it->second));
  out_.erase(it);
  done(std::move(said));
}

}  // namespace laureltide::layers
