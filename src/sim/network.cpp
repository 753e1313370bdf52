#include "sim/network.h"

#include <algorithm>
#include <utility>

namespace laureltide::sim {

constexpr std::size_t kLowWatermarkBytes = 64U << 10;  // same as the real host in src/net

// A connection with its two ends: end 0 connected, end 1 accepted.
struct Network::Link {
  struct End {
    io::ConnectionEvents* events = nullptr;  // null once the owner has dropped its connection
    std::string inbox;                       // arrived and not consumed yet
    std::string in_transit;                  // sent by the other end, not arrived yet
    Time last_arrival{};
    std::size_t read_ahead = io::StreamOptions{}.read_ahead;
    bool reading = true;
    bool arrival_scheduled = false;
  };
  io::Address to;
  End ends[2];
  bool open = false;
  bool closed = false;
};

class Network::SimConnection : public io::Connection {
 public:
  SimConnection(Network& net, std::shared_ptr<Link> link, int end)
      : net_(net), link_(std::move(link)), end_(end) {}
  ~SimConnection() override {
    link_->ends[end_].events = nullptr;
    if (!link_->closed && !finished_) net_.close(link_, 1 - end_, io::CloseReason::kBroken);
  }
  void write(std::string_view bytes) override {
    if (link_->closed || finished_) return;
    link_->ends[1 - end_].in_transit.append(bytes);
    net_.schedule_arrival(link_, 1 - end_);
  }
  std::size_t unsent() const override { return link_->ends[1 - end_].in_transit.size(); }
  void read(bool enabled) override {
    link_->ends[end_].reading = enabled;
    if (!enabled) return;
    net_.after(Duration(0), [net = &net_, link = link_, end = end_] { net->deliver(link, end); });
    net_.schedule_arrival(link_, end_);  // of bytes that came meanwhile
  }
  void deliver_input() override {
    const std::shared_ptr<Link> link = link_;  // on_bytes() may destroy this connection
    net_.deliver(link, end_);
  }
  bool peer_has_closed() const override { return link_->closed; }
  void finish() override {
    link_->ends[end_].events = nullptr;
    if (link_->closed || std::exchange(finished_, true)) return;
    // The end of the stream arrives after the bytes written before it.
    const Time at = std::max(net_.now_, link_->ends[1 - end_].last_arrival) + net_.options_.max_delay;
    net_.after(at - net_.now_, [net = &net_, link = link_, end = end_] {
      net->close(link, 1 - end, io::CloseReason::kByPeer);
    });
  }

 private:
  Network& net_;
  std::shared_ptr<Link> link_;
  int end_;
  bool finished_ = false;
};

class Network::SimTimer : public io::Timer {
 public:
  SimTimer(Network& net, std::function<void()> on_fire) : net_(net), on_fire_(std::move(on_fire)) {}
  ~SimTimer() override { *generation_ += 1; }
  void start(Duration after) override {
    const std::uint64_t started_generation = ++*generation_;
    net_.after(std::max(after, Duration(0)), [this, generation = generation_, started_generation] {
      if (*generation != started_generation) return;
      const auto on_fire = on_fire_;  // a copy, because the callback may destroy this timer
      on_fire();
    });
  }
  void stop() override { ++*generation_; }

 private:
  Network& net_;
  std::function<void()> on_fire_;
  std::shared_ptr<std::uint64_t> generation_ = std::make_shared<std::uint64_t>(0);
};

class Network::SimListener : public io::Listener {
 public:
  SimListener(Network& net, io::Address at, std::size_t read_ahead_bytes, Accept accept)
      : accept(std::move(accept)), read_ahead(read_ahead_bytes), net_(net), at_(std::move(at)) {
    net_.listeners_[at_] = this;
  }
  ~SimListener() override { net_.listeners_.erase(at_); }
  io::Address address() const override { return at_; }
  void take_backlog() override {}  // empty: accept() is called as soon as a connection is made
  Accept accept;
  std::size_t read_ahead;  // of accepted connections

 private:
  Network& net_;
  io::Address at_;
};

Network::Network(NetworkOptions options) : options_(options), random_state_(options.seed * 2 + 1) {}
Network::~Network() = default;

std::uint64_t Network::random() {
  std::uint64_t z = random_state_ += 0x9e3779b97f4a7c15ULL;  // splitmix64
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

Duration Network::random_delay() {
  const auto span = static_cast<double>((options_.max_delay - options_.min_delay).count());
  return options_.min_delay + Duration(static_cast<Duration::rep>(random_unit() * span));
}

void Network::after(Duration delay, std::function<void()> callback) {
  events_.push({now_ + delay, next_sequence_++, std::move(callback)});
}

std::unique_ptr<io::Timer> Network::timer(std::function<void()> on_fire) {
  return std::make_unique<SimTimer>(*this, std::move(on_fire));
}

std::unique_ptr<io::Connection> Network::connect(const io::Address& to, const io::StreamOptions& options,
                                                 io::ConnectionEvents& events) {
  auto link = std::make_shared<Link>();
  link->to = to;
  link->ends[0].events = &events;
  link->ends[0].read_ahead = options.read_ahead;
  links_.insert(link);
  const auto delay_entry = connect_delays_.find(to);
  const Duration extra_delay = delay_entry == connect_delays_.end() ? Duration(0) : delay_entry->second;
  after(random_delay() + extra_delay, [this, link, options] {
    if (link->closed || !link->ends[0].events) return;
    if (silent_addresses_.contains(link->to)) {  // the SYN gets no reply
      after(options.connect_timeout, [this, link] { close(link, 0, io::CloseReason::kNeverOpened); });
      return;
    }
    const auto listener = listeners_.find(link->to);
    if (listener == listeners_.end()) return close(link, 0, io::CloseReason::kNeverOpened);
    link->open = true;
    link->ends[1].read_ahead = listener->second->read_ahead;
    io::ConnectionEvents* server_events =
        listener->second->accept(std::make_unique<SimConnection>(*this, link, 1));
    link->ends[1].events = server_events;
    if (!server_events) return;
    after(random_delay(), [link] {
      if (link->closed) return;
      if (link->ends[1].events) link->ends[1].events->on_open();
      if (!link->closed && link->ends[0].events) link->ends[0].events->on_open();
    });
  });
  return std::make_unique<SimConnection>(*this, link, 0);
}

std::unique_ptr<io::Listener> Network::listen(const io::Address& at, const io::StreamOptions& options,
                                              Accept accept) {
  io::Address bound_address = at;
  if (bound_address.port == 0) bound_address.port = next_port_++;
  if (listeners_.contains(bound_address)) return nullptr;
  return std::make_unique<SimListener>(*this, bound_address, options.read_ahead, std::move(accept));
}

void Network::schedule_arrival(const std::shared_ptr<Link>& link, int receiver) {
  Link::End& end = link->ends[receiver];
  if (end.arrival_scheduled || end.in_transit.empty()) return;
  end.arrival_scheduled = true;
  end.last_arrival = std::max(end.last_arrival, now_ + random_delay());  // never before bytes sent earlier
  after(end.last_arrival - now_, [this, link, receiver] {
    Link::End& receiving_end = link->ends[receiver];
    receiving_end.arrival_scheduled = false;
    if (link->closed) return;
    const std::size_t room =
        receiving_end.read_ahead - std::min(receiving_end.read_ahead, receiving_end.inbox.size());
    if (silent_addresses_.contains(link->to) || !receiving_end.reading || room == 0)
      return;  // stays in transit: unsent() counts it
    std::size_t count = std::min(receiving_end.in_transit.size(), room);
    if (options_.max_segment_bytes > 0)
      count = std::min<std::size_t>(count, 1 + random() % options_.max_segment_bytes);
    receiving_end.inbox.append(receiving_end.in_transit, 0, count);
    const bool drained = receiving_end.in_transit.size() >= kLowWatermarkBytes &&
                         receiving_end.in_transit.size() - count < kLowWatermarkBytes;
    receiving_end.in_transit.erase(0, count);
    schedule_arrival(link, receiver);
    if (io::ConnectionEvents* writer = link->ends[1 - receiver].events; drained && writer)
      writer->on_drained();
    if (link->closed) return;
    deliver(link, receiver);
  });
}

void Network::deliver(const std::shared_ptr<Link>& link, int receiver) {
  Link::End& end = link->ends[receiver];
  if (link->closed || !end.events || !end.reading || end.inbox.empty()) return;
  const std::string bytes = std::move(end.inbox);  // on_bytes() may write, close or destroy the connection
  end.inbox.clear();
  const std::size_t consumed = end.events->on_bytes(bytes);
  end.inbox.insert(0, bytes, consumed, std::string::npos);
  if (consumed > 0 && !link->closed) schedule_arrival(link, receiver);
}

void Network::close(const std::shared_ptr<Link>& link, int notified_end, io::CloseReason reason) {
  if (std::exchange(link->closed, true)) return;
  links_.erase(link);
  after(random_delay(), [link, notified_end, reason] {
    if (io::ConnectionEvents* events = std::exchange(link->ends[notified_end].events, nullptr))
      events->on_closed(reason);
  });
}

bool Network::step() {
  if (events_.empty()) return false;
  Event event = events_.top();
  events_.pop();
  now_ = std::max(now_, event.at);
  event.callback();
  return true;
}

void Network::run_for(Duration span) {
  const Time until = now_ + span;
  while (!events_.empty() && events_.top().at <= until) step();
  now_ = until;
}

bool Network::run_until(const std::function<bool()>& done, Duration limit) {
  const Time until = now_ + limit;
  while (!done()) {
    if (events_.empty() || events_.top().at > until) return false;
    step();
  }
  return true;
}

void Network::break_connections(const io::Address& to) {
  const auto links = links_;
  for (const auto& link : links) {
    if (link->to != to || link->closed) continue;
    close(link, 0, io::CloseReason::kBroken);
    after(random_delay(), [link] {
      if (auto* events = std::exchange(link->ends[1].events, nullptr))
        events->on_closed(io::CloseReason::kBroken);
    });
  }
}

void Network::set_silent(const io::Address& to, bool silent) {
  silent ? void(silent_addresses_.insert(to)) : void(silent_addresses_.erase(to));
  if (silent) return;
  const auto links = links_;
  for (const auto& link : links)
    if (link->to == to) schedule_arrival(link, 0), schedule_arrival(link, 1);
}

std::size_t Network::connections(const io::Address& to) const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [&](auto& link) { return link->to == to && link->open; }));
}

std::size_t Network::unsent(const io::Address& to) const {
  std::size_t bytes = 0;
  for (const auto& link : links_)
    if (link->to == to) bytes += link->ends[1].in_transit.size();
  return bytes;
}

}  // namespace laureltide::sim
