#include "layers/remote.h"

#include <algorithm>
#include <charconv>

#include "layers/format.h"

namespace laureltide::layers {
namespace {

constexpr int kMaxRedirects = 3;

bool is_name_char(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

// Checks that Content-Range, e.g. "bytes 0-9/100" (RFC 9110, 14.4), is the requested range.
bool range_matches(const std::string* header, std::uint64_t offset, std::size_t size) {
  if (!header) return false;
  const std::string expected =
      "bytes " + std::to_string(offset) + "-" + std::to_string(offset + size - 1) + "/";
  return header->starts_with(expected);
}

}  // namespace

bool valid_repository(std::string_view name) {
  // Components [a-z0-9]+((\.|_|__|-+)[a-z0-9]+)*, separated by slashes.
  if (name.empty() || name.size() > 255) return false;
  for (std::size_t i = 0; i < name.size(); ++i) {
    const bool first = i == 0 || name[i - 1] == '/', last = i + 1 == name.size() || name[i + 1] == '/';
    if (is_name_char(name[i])) continue;
    if (first || last) return false;
    if (name[i] == '/') continue;
    if (name[i] == '.' && !is_name_char(name[i - 1])) return false;
    if (name[i] == '_' &&
        !(is_name_char(name[i - 1]) || (name[i - 1] == '_' && i >= 2 && is_name_char(name[i - 2]))))
      return false;
    if (name[i] == '-' && !(is_name_char(name[i - 1]) || name[i - 1] == '-')) return false;
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
    : host_(host), options_(std::move(options)), retired_(host) {}

std::uint64_t RegistryClient::fetch(const StoreRequest& request, Done done) {
  const std::uint64_t ticket = next_++;
  auto& slot = in_flight_[ticket];
  slot = std::make_unique<InFlight>();
  slot->request = request, slot->done = std::move(done);
  const bool blob = request.kind == StoreRequest::Kind::kBlob;
  send_request(ticket, *slot, options_.replicas[request.replica % options_.replicas.size()],
               "/v2/" + request.repository + (blob ? "/blobs/" : "/manifests/") + request.reference);
  return ticket;
}

void RegistryClient::cancel(std::uint64_t ticket) {
  const auto it = in_flight_.find(ticket);
  if (it == in_flight_.end()) return;
  it->second->exchange.reset();  // closes the connection at once, so that the store stops sending
  retired_.delete_later(std::move(it->second));
  in_flight_.erase(it);
}

void RegistryClient::send_request(std::uint64_t ticket, InFlight& out, const io::Address& at,
                                  const std::string& target) {
  http::Request request;
  request.method = "GET";
  request.target = target;
  request.headers.add("Host", at.text());
  request.headers.add("User-Agent", options_.name);
  request.headers.add("Connection", "close");
  request.headers.add("Accept", out.request.kind == StoreRequest::Kind::kBlob ? "*/*" : kManifestType);
  if (out.request.ranged)
    request.headers.add("Range", "bytes=" + std::to_string(out.request.offset) + "-" +
                                     std::to_string(out.request.offset + out.request.size - 1));
  http::Limits limits;
  limits.max_body_bytes = out.request.size;
  const double slowest_s =
      static_cast<double>(out.request.size) / static_cast<double>(options_.min_bytes_per_s);
  const Duration timeout =
      options_.timeout + (out.request.ranged
                              ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(slowest_s))
                              : Duration(0));
  out.exchange = std::make_unique<http::Exchange>(
      host_, at, request, timeout, limits,
      [this, ticket, at](http::Exchange::Result result) { on_response(ticket, at, std::move(result)); });
}

void RegistryClient::on_response(std::uint64_t ticket, const io::Address& at, http::Exchange::Result result) {
  const auto it = in_flight_.find(ticket);
  if (it == in_flight_.end()) return;
  InFlight& out = *it->second;
  const int status = result.status;
  if (status == 301 || status == 302 || status == 307 || status == 308) {
    const std::string* location = result.headers.find("Location");
    std::optional<http::Url> to;
    if (location && location->starts_with("/"))
      to = http::Url{at, *location};
    else if (location)
      to = http::parse_url(*location);
    if (to && ++out.redirects <= kMaxRedirects) {
      auto old = std::make_shared<std::unique_ptr<http::Exchange>>(std::move(out.exchange));
      send_request(ticket, out, to->address, to->target);
      // The old exchange is still on the call stack, so its deletion is deferred.
      auto retired = std::make_unique<InFlight>();
      retired->exchange = std::move(*old);
      return retired_.delete_later(std::move(retired));
    }
  }
  StoreResponse response;
  response.retry_after = retry_after_of(result.headers);
  const std::string with_status = "status " + std::to_string(status);
  if (status == 0) {
    response.why = result.why;
  } else if (status == 200 && !out.request.ranged) {
    response.end = FetchOutcome::kOk;
  } else if (status == 206 && out.request.ranged) {
    const bool matches =
        range_matches(result.headers.find("Content-Range"), out.request.offset, out.request.size) &&
        result.body.size() == out.request.size;
    response.end = matches ? FetchOutcome::kOk : FetchOutcome::kBroken;
    if (!matches) response.why = "another range than was asked for";
  } else if (status == 200) {
    response.why = "the store ignores Range";
  } else if (status == 429 || status == 503) {
    response.end = FetchOutcome::kBusy, response.why = with_status;
  } else if (status == 404 || status == 410) {
    response.end = FetchOutcome::kMissing, response.why = with_status;
  } else if (status >= 400 && status < 500) {
    response.end = FetchOutcome::kRefused, response.why = with_status;
  } else {
    response.why = with_status;
  }
  if (response.end == FetchOutcome::kOk) response.bytes = std::move(result.body);
  const Done done = std::move(out.done);
  retired_.delete_later(std::move(it->second));
  in_flight_.erase(it);
  done(std::move(response));
}

}  // namespace laureltide::layers
