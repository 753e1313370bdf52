#include "standin/registry.h"

#include <openssl/evp.h>

#include <algorithm>
#include <charconv>

namespace laureltide::standin {
namespace {

constexpr std::size_t kSegmentBytes = 64U << 10;

// Not shared with the client under test, so that a mistake there shows.
std::string sha256(const std::string& bytes) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest, &size, EVP_sha256(), nullptr);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out = "sha256:";
  for (unsigned i = 0; i < size; ++i) out += {kDigits[digest[i] >> 4], kDigits[digest[i] & 15]};
  return out;
}

std::string joined(const std::vector<std::string>& path, std::size_t from, std::size_t to) {
  std::string out;
  for (std::size_t i = from; i < to; ++i) out += (i > from ? "/" : "") + path[i];
  return out;
}

std::string percent_decoded(const std::string& text) {
  const auto target = http::split_target("/" + text);
  return target && target->path.size() == 1 ? target->path[0] : text;
}

}  // namespace

class Registry::Client : public io::ConnectionEvents {
 public:
  Client(Registry& registry, std::unique_ptr<io::Connection> c)
      : registry_(registry),
        connection_(std::move(c)),
        parser_(http::Parser::Side::kRequest, limits(registry)),
        timer_(registry.host_.timer([this] { next_ ? next_() : void(); })) {}
  ~Client() override { leave(); }

  std::size_t on_bytes(std::string_view bytes) override {
    std::size_t used = 0;
    if (busy_) return 0;  // one request at a time
    const auto state = parser_.feed(bytes, used);
    if (state == http::Parser::State::kInvalid) {
      connection_->finish();
      delete_later();
      return bytes.size();
    }
    if (state == http::Parser::State::kNeedMore) return used;
    begin();
    return used;
  }
  void on_closed(io::CloseReason) override { delete_later(); }

 private:
  static http::Limits limits(const Registry& registry) {
    http::Limits l;
    l.max_body_bytes = registry.options_.most_body;
    return l;
  }
  void delete_later() {
    const auto it = registry_.clients_.find(this);
    if (it == registry_.clients_.end()) return;
    auto self = std::move(it->second);
    registry_.clients_.erase(it);
    leave();
    registry_.dead_.delete_later(std::move(self));
  }
  void leave() {
    if (std::exchange(busy_, false)) --registry_.in_flight_;
  }

  void begin() {
    busy_ = true;
    ++registry_.requests_;
    registry_.max_in_flight_ = std::max(registry_.max_in_flight_, ++registry_.in_flight_);
    request_ = std::move(parser_.request());
    next_ = [this] { respond(); };
    timer_->start(registry_.options_.latency);
  }

  void respond() {
    const bool overloaded = registry_.in_flight_ > registry_.options_.takes;
    Answer a = overloaded ? registry_.error(429, "TOOMANYREQUESTS", "too many requests in hand")
                          : registry_.answer(request_);
    if (overloaded) a.headers.add("Retry-After", "1");
    const bool head = request_.method == "HEAD";
    fault_ = a.status == 200 || a.status == 206 ? registry_.fault(a.note) : std::nullopt;
    using Kind = Fault::Kind;
    if (fault_ && fault_->kind == Kind::kStatus) {
      a = registry_.error(fault_->status, "UNAVAILABLE", "by the day's order");
      if (fault_->retry_after_s > 0) a.headers.add("Retry-After", std::to_string(fault_->retry_after_s));
    }
    if (fault_ && fault_->kind == Kind::kRedirect) {
      a = registry_.error(307, "MOVED", "elsewhere");
      a.headers.add("Location", fault_->to + request_.target);
    }
    if (fault_ && fault_->kind == Kind::kCorrupt && !a.body.empty()) a.body[a.body.size() / 2] ^= 0x20;
    http::Response response;
    response.status = a.status;
    response.headers = a.headers;
    response.body = a.body;
    std::string whole;
    http::write(whole, response, head);
    const std::size_t body = head ? 0 : a.body.size();
    unsent_ = std::move(whole);
    note_ = !head && (a.status == 200 || a.status == 206) ? a.note : "";
    bytes_until_cut_ = 0;
    if (fault_ &&
        (fault_->kind == Kind::kShort || fault_->kind == Kind::kReset || fault_->kind == Kind::kEndless))
      bytes_until_cut_ = unsent_.size() - body / 2;  // sends half of the body
    paced_ = body > 0;
    schedule_segment();
  }

  // Sends in segments, paced by the shared bandwidth.
  std::size_t segment_size() const {
    return std::min(kSegmentBytes, bytes_until_cut_ > 0 ? bytes_until_cut_ : unsent_.size());
  }
  void schedule_segment() {
    next_ = [this] { send_segment(); };
    timer_->start(paced_ ? registry_.pace(segment_size()) : Duration(0));
  }
  void send_segment() {
    using Kind = Fault::Kind;
    const std::size_t n = segment_size();
    connection_->write(std::string_view(unsent_).substr(0, n));
    unsent_.erase(0, n);
    if (paced_) registry_.sent_ += n;
    if (bytes_until_cut_ > 0 && (bytes_until_cut_ -= n) == 0) {
      if (fault_->kind == Kind::kEndless) return;  // sends nothing more, keeps the connection
      if (fault_->kind == Kind::kShort)
        connection_->finish();
      else
        connection_.reset();
      return delete_later();
    }
    if (unsent_.empty()) return done();
    schedule_segment();
  }

  void done() {
    if (!note_.empty()) {
      const std::string* who = request_.headers.find("User-Agent");
      const std::string from = who ? *who : "";
      ++registry_.ranges_[from + " " + note_];
      registry_.tape_.note(registry_.host_.now(), "store-sent",
                           {{"store", registry_.options_.name}, {"to", from}, {"what", note_}});
    }
    leave();
    const bool close = !request_.keep_alive();
    parser_.reset();
    if (close) {
      connection_->finish();
      delete_later();
    }
  }

  Registry& registry_;
  std::unique_ptr<io::Connection> connection_;
  http::Parser parser_;
  http::Request request_;
  std::unique_ptr<io::Timer> timer_;
  std::function<void()> next_;
  std::string unsent_, note_;
  std::optional<Fault> fault_;
  std::size_t bytes_until_cut_ = 0;
  bool busy_ = false, paced_ = false;
};

Registry::Registry(io::Host& host, RegistryOptions options, Tape& tape)
    : host_(host), options_(std::move(options)), tape_(tape), dead_(host) {}
Registry::~Registry() {
  listener_.reset();
  clients_.clear();
}

bool Registry::listen(const io::Address& at) {
  listener_ = host_.listen(at, {}, [this](std::unique_ptr<io::Connection> c) -> io::ConnectionEvents* {
    auto fresh = std::make_unique<Client>(*this, std::move(c));
    Client* raw = fresh.get();
    clients_[raw] = std::move(fresh);
    return raw;
  });
  return listener_ != nullptr;
}

std::string Registry::put_blob(const std::string& repository, std::string bytes) {
  std::string digest = sha256(bytes);
  blobs_[digest] = std::move(bytes);
  repository_digests_[repository].insert(digest);
  return digest;
}

std::string Registry::put_manifest(const std::string& repository, const std::string& tag, std::string bytes) {
  std::string digest = sha256(bytes);
  tape_.note(host_.now(), "published",
             {{"store", options_.name}, {"repository", repository}, {"tag", tag}, {"version", digest}});
  manifests_[digest] = std::move(bytes);
  tags_[repository][digest] = digest;
  tags_[repository][tag] = digest;
  return digest;
}

Duration Registry::pace(std::size_t bytes) {
  if (options_.bytes_per_s <= 0) return Duration(0);
  const auto takes = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) * slowdown_ / options_.bytes_per_s));
  free_at_ = std::max(free_at_, host_.now()) + takes;
  return free_at_ - host_.now();
}

std::optional<Registry::Fault> Registry::fault(const std::string& what) {
  for (auto it = faults_.begin(); it != faults_.end(); ++it) {
    if (it->kind == Fault::Kind::kWholeBody || it->kind == Fault::Kind::kOtherRange) continue;  // see pull()
    if (!it->digest.empty() && what.find(it->digest) == std::string::npos) continue;
    Fault fault = *it;
    if (it->times > 0 && --it->times == 0) faults_.erase(it);
    return fault;
  }
  return std::nullopt;
}

// distribution-spec, "Error Codes".
Registry::Answer Registry::error(int status, const char* code, const std::string& what) const {
  Answer a;
  a.status = status;
  a.headers.add("Content-Type", "application/json");
  a.body = nlohmann::json{{"errors", {{{"code", code}, {"message", what}}}}}.dump();
  return a;
}

Registry::Answer Registry::answer(const http::Request& request) {
  const auto target = http::split_target(request.target);
  if (!target || target->path.empty() || target->path[0] != "v2")
    return error(404, "UNSUPPORTED", "no such path");
  const auto& path = target->path;
  if (path.size() <= 2 && (path.size() == 1 || path[1].empty())) return {};  // end-1: version check
  if (path.size() < 4) return error(404, "NAME_UNKNOWN", "no such path");
  const std::string& kind = path[path.size() - 2];
  const bool read = request.method == "GET" || request.method == "HEAD";
  const std::string repository = joined(path, 1, path.size() - 2);
  if (read && kind == "blobs") return pull(request, repository, true, path.back());
  if (read && kind == "manifests") return pull(request, repository, false, path.back());
  return push(request, path, target->query);
}

Registry::Answer Registry::pull(const http::Request& request, const std::string& repository, bool blob,
                                const std::string& name) {
  std::string digest = name;
  const std::string* bytes = nullptr;
  if (blob) {
    const auto it = blobs_.find(name);
    const auto listed = repository_digests_.find(repository);
    if (it != blobs_.end() && listed != repository_digests_.end() && listed->second.contains(name))
      bytes = &it->second;
    if (!bytes) return error(404, "BLOB_UNKNOWN", "no such blob here: " + name);
  } else {
    const auto tags = tags_.find(repository);
    if (tags == tags_.end()) return error(404, "NAME_UNKNOWN", "no such repository: " + repository);
    const auto tag = tags->second.find(name);
    if (tag == tags->second.end()) return error(404, "MANIFEST_UNKNOWN", "no such manifest: " + name);
    digest = tag->second;
    bytes = &manifests_.at(digest);
  }
  Answer a;
  a.headers.add("Docker-Content-Digest", digest);
  a.headers.add("Content-Type",
                blob ? "application/octet-stream" : "application/vnd.oci.image.manifest.v1+json");
  a.headers.add("Accept-Ranges", "bytes");
  const std::string* range = request.headers.find("Range");
  const bool ignored = blob && range && !faults_.empty() && faults_.front().kind == Fault::Kind::kWholeBody;
  if (ignored && faults_.front().times > 0 && --faults_.front().times == 0) faults_.pop_front();
  if (!blob || !range || ignored) {
    a.body = *bytes;
    a.note = digest + (blob ? " 0-" + std::to_string(bytes->size()) : "");
    return a;
  }
  std::uint64_t from = 0, last = 0;
  const char* end = range->data() + range->size();
  const std::size_t dash = range->find('-');
  const bool well = range->starts_with("bytes=") && dash != std::string::npos &&
                    std::from_chars(range->data() + 6, range->data() + dash, from).ec == std::errc() &&
                    std::from_chars(range->data() + dash + 1, end, last).ec == std::errc();
  if (!well || from > last || from >= bytes->size()) {
    Answer bad = error(416, "SIZE_INVALID", "no such range: " + *range);
    return bad;
  }
  last = std::min<std::uint64_t>(last, bytes->size() - 1);
  const bool other = !faults_.empty() && faults_.front().kind == Fault::Kind::kOtherRange;
  if (other) {
    if (faults_.front().times > 0 && --faults_.front().times == 0) faults_.pop_front();
    if (from > 0)
      --from, --last;
    else
      ++last;
  }
  a.status = 206;
  a.headers.add("Content-Range", "bytes " + std::to_string(from) + "-" + std::to_string(last) + "/" +
                                     std::to_string(bytes->size()));
  a.body = bytes->substr(from, last - from + 1);
  a.note = digest + " " + std::to_string(from) + "-" + std::to_string(last + 1);
  return a;
}

// Monolithic uploads (end-4a, end-6) and manifests (end-7).
Registry::Answer Registry::push(const http::Request& request, const std::vector<std::string>& path,
                                const std::string& query) {
  const std::size_t n = path.size();
  if (request.method == "POST" && n >= 5 && path[n - 3] == "blobs" && path[n - 2] == "uploads") {
    const std::string repository = joined(path, 1, n - 3);
    const std::string place = "/v2/" + repository + "/blobs/uploads/" + std::to_string(next_upload_++);
    uploads_.insert(place);
    Answer a;
    a.status = 202;
    a.headers.add("Location", place);
    return a;
  }
  if (request.method == "PUT" && n >= 5 && path[n - 3] == "blobs" && path[n - 2] == "uploads") {
    if (uploads_.erase("/" + joined(path, 0, n)) == 0)
      return error(404, "BLOB_UPLOAD_UNKNOWN", "no such upload");
    const std::string wanted = query.starts_with("digest=") ? percent_decoded(query.substr(7)) : "";
    if (sha256(request.body) != wanted) return error(400, "DIGEST_INVALID", "the digest is another");
    const std::string repository = joined(path, 1, n - 3);
    put_blob(repository, request.body);
    Answer a;
    a.status = 201;
    a.headers.add("Location", "/v2/" + repository + "/blobs/" + wanted);
    return a;
  }
  if (request.method == "PUT" && path[n - 2] == "manifests") {
    const std::string repository = joined(path, 1, n - 2);
    const auto doc = nlohmann::json::parse(request.body, nullptr, false);
    if (!doc.is_object() || !doc.contains("layers"))
      return error(400, "MANIFEST_INVALID", "no image manifest");
    auto known = [&](const nlohmann::json& descriptor) {
      return descriptor.is_object() && descriptor.contains("digest") && descriptor["digest"].is_string() &&
             repository_digests_[repository].contains(descriptor["digest"].get<std::string>());
    };
    for (const auto& layer : doc["layers"])
      if (!known(layer)) return error(404, "MANIFEST_BLOB_UNKNOWN", "a blob that is not here");
    if (doc.contains("config") && !known(doc["config"]))
      return error(404, "MANIFEST_BLOB_UNKNOWN", "a config that is not here");
    const std::string digest = put_manifest(repository, path.back(), request.body);
    Answer a;
    a.status = 201;
    a.headers.add("Location", "/v2/" + repository + "/manifests/" + digest);
    a.headers.add("Docker-Content-Digest", digest);
    return a;
  }
  return error(405, "UNSUPPORTED", "nothing here takes " + request.method);
}

}  // namespace laureltide::standin
