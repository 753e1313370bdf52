#include "standin/store.h"

#include <cstdio>
#include <utility>

namespace laureltide::standin {

class Store::Client : public io::ConnectionEvents {
 public:
  Client(Store& store, std::unique_ptr<io::Connection> c) : store_(store), connection_(std::move(c)) {}
  ~Client() override { store_.in_flight_ -= timers_.size(); }
  std::size_t on_bytes(std::string_view bytes) override {
    std::size_t used = 0;
    for (std::size_t end; (end = bytes.find('\n', used)) != std::string_view::npos; used = end + 1) {
      unsigned long long id = 0;
      double ms = 0;
      if (std::sscanf(std::string(bytes.substr(used, end - used)).c_str(), "fetch %llu %lf", &id, &ms) == 2)
        begin(id, ms);
    }
    return bytes.size() - used > 256 ? bytes.size() : used;
  }
  void on_closed(io::CloseReason) override {
    const auto it = store_.clients_.find(this);
    auto self = std::move(it->second);
    store_.clients_.erase(it);
    store_.dead_.delete_later(std::move(self));
  }

 private:
  void begin(std::uint64_t id, double ms) {
    ++store_.fetches_;
    if (store_.in_flight_ >= store_.options_.max_fetches)
      return connection_->write("refused " + std::to_string(id) + "\n");
    ++store_.in_flight_;
    const double slowdown = std::max(1.0, static_cast<double>(store_.in_flight_) /
                                              static_cast<double>(store_.options_.full_speed_fetches));
    auto& timer = timers_[id];
    timer = store_.host_.timer([this, id] {
      timers_.erase(id);
      --store_.in_flight_;
      connection_->write("done " + std::to_string(id) + "\n");
    });
    timer->start(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms * slowdown * store_.slowdown_)));
  }
  Store& store_;
  std::unique_ptr<io::Connection> connection_;
  std::map<std::uint64_t, std::unique_ptr<io::Timer>> timers_;
};

Store::Store(io::Host& host, StoreOptions options) : host_(host), options_(options), dead_(host) {}
Store::~Store() { clients_.clear(); }

bool Store::listen(const io::Address& at) {
  listener_ = host_.listen(at, {}, [this](std::unique_ptr<io::Connection> c) -> io::ConnectionEvents* {
    auto fresh = std::make_unique<Client>(*this, std::move(c));
    Client* raw = fresh.get();
    clients_[raw] = std::move(fresh);
    return raw;
  });
  return listener_ != nullptr;
}

StoreClient::StoreClient(io::Host& host, io::Address store) : host_(host), store_(std::move(store)) {}

void StoreClient::fetch(Duration full_speed_duration, Done done) {
  if (!connection_) connection_ = host_.connect(store_, {}, *this);
  const std::uint64_t id = next_id_++;
  pending_[id] = std::move(done);
  connection_->write("fetch " + std::to_string(id) + " " +
                     std::to_string(std::chrono::duration<double, std::milli>(full_speed_duration).count()) +
                     "\n");
}

std::size_t StoreClient::on_bytes(std::string_view bytes) {
  std::size_t used = 0;
  for (std::size_t end; (end = bytes.find('\n', used)) != std::string_view::npos; used = end + 1) {
    const std::string line(bytes.substr(used, end - used));
    const std::size_t space = line.find(' ');
    if (space == std::string::npos) continue;
    const auto it = pending_.find(std::strtoull(line.c_str() + space + 1, nullptr, 10));
    if (it == pending_.end()) continue;
    const Done done = std::move(it->second);
    pending_.erase(it);
    done(line.starts_with("done"));
  }
  return used;
}

void StoreClient::on_closed(io::CloseReason) {
  connection_.reset();
  for (auto& [id, done] : std::exchange(pending_, {})) done(false);
}

}  // namespace laureltide::standin
