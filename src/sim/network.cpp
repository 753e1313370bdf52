#include "sim/network.h"

#include <algorithm>
#include <utility>

namespace laureltide::sim {

constexpr std::size_t kLowMark = 64U << 10;  // as the real host's

// Both ends of a connection. End 0 connected, end 1 accepted.
struct Network::Link {
  struct End {
    io::ConnectionEvents* events = nullptr;  // nothing once the owner let go
    std::string inbox;                       // arrived, not consumed
    std::string wire;                        // on its way here
    Time last_arrival{};
    bool reading = true;
    bool pumping = false;
  };
  io::Address to;
  End ends[2];
  bool open = false;
  bool over = false;
};

class Network::Stream : public io::Connection {
 public:
  Stream(Network& net, std::shared_ptr<Link> link, int end) : net_(net), link_(std::move(link)), end_(end) {}
  ~Stream() override {
    link_->ends[end_].events = nullptr;
    if (!link_->over && !finished_) net_.end(link_, 1 - end_, io::CloseReason::kBroken);
  }
  void write(std::string_view bytes) override {
    if (link_->over || finished_) return;
    link_->ends[1 - end_].wire.append(bytes);
    net_.pump(link_, 1 - end_);
  }
  std::size_t unsent() const override { return link_->ends[1 - end_].wire.size(); }
  void read(bool enabled) override {
    link_->ends[end_].reading = enabled;
    if (enabled)
      net_.after(Duration(0), [net = &net_, link = link_, end = end_] { net->deliver(link, end); });
  }
  void finish() override {
    link_->ends[end_].events = nullptr;
    if (link_->over || std::exchange(finished_, true)) return;
    // In order behind what was written.
    const Time at = std::max(net_.now_, link_->ends[1 - end_].last_arrival) + net_.options_.most_delay;
    net_.after(at - net_.now_, [net = &net_, link = link_, end = end_] {
      net->end(link, 1 - end, io::CloseReason::kByPeer);
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
  SimTimer(Network& net, std::function<void()> fired) : net_(net), fired_(std::move(fired)) {}
  ~SimTimer() override { *run_ += 1; }
  void start(Duration after) override {
    const std::uint64_t mine = ++*run_;
    net_.after(std::max(after, Duration(0)), [this, run = run_, mine] {
      if (*run != mine) return;
      const auto fired = fired_;  // the timer may be destroyed by what it does
      fired();
    });
  }
  void stop() override { ++*run_; }

 private:
  Network& net_;
  std::function<void()> fired_;
  std::shared_ptr<std::uint64_t> run_ = std::make_shared<std::uint64_t>(0);
};

class Network::SimListener : public io::Listener {
 public:
  SimListener(Network& net, io::Address at, Accept accept)
      : accept(std::move(accept)), net_(net), at_(std::move(at)) {
    net_.listeners_[at_] = this;
  }
  ~SimListener() override { net_.listeners_.erase(at_); }
  io::Address address() const override { return at_; }
  void take_backlog() override {}  // here a connection is handed over in the moment it is made
  Accept accept;

 private:
  Network& net_;
  io::Address at_;
};

Network::Network(NetworkOptions options) : options_(options), state_(options.seed * 2 + 1) {}
Network::~Network() = default;

std::uint64_t Network::random() {
  std::uint64_t z = state_ += 0x9e3779b97f4a7c15ULL;  // splitmix64
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

Duration Network::delay() {
  const auto span = static_cast<double>((options_.most_delay - options_.least_delay).count());
  return options_.least_delay + Duration(static_cast<Duration::rep>(random_unit() * span));
}

void Network::after(Duration delay, std::function<void()> what) {
  events_.push({now_ + delay, order_++, std::move(what)});
}

std::unique_ptr<io::Timer> Network::timer(std::function<void()> fired) {
  return std::make_unique<SimTimer>(*this, std::move(fired));
}

std::unique_ptr<io::Connection> Network::connect(const io::Address& to, const io::StreamOptions& options,
                                                 io::ConnectionEvents& events) {
  auto link = std::make_shared<Link>();
  link->to = to;
  link->ends[0].events = &events;
  links_.insert(link);
  const auto late = connect_delays_.find(to);
  const Duration more = late == connect_delays_.end() ? Duration(0) : late->second;
  after(delay() + more, [this, link, options] {
    if (link->over || !link->ends[0].events) return;
    if (silent_.contains(link->to)) {  // a SYN without an answer
      after(options.connect_timeout, [this, link] { end(link, 0, io::CloseReason::kNeverOpened); });
      return;
    }
    const auto listener = listeners_.find(link->to);
    if (listener == listeners_.end()) return end(link, 0, io::CloseReason::kNeverOpened);
    link->open = true;
    io::ConnectionEvents* served = listener->second->accept(std::make_unique<Stream>(*this, link, 1));
    link->ends[1].events = served;
    if (!served) return;
    after(delay(), [link] {
      if (link->over) return;
      if (link->ends[1].events) link->ends[1].events->on_open();
      if (!link->over && link->ends[0].events) link->ends[0].events->on_open();
    });
  });
  return std::make_unique<Stream>(*this, link, 0);
}

std::unique_ptr<io::Listener> Network::listen(const io::Address& at, const io::StreamOptions&,
                                              Accept accept) {
  io::Address bound = at;
  if (bound.port == 0) bound.port = next_port_++;
  if (listeners_.contains(bound)) return nullptr;
  return std::make_unique<SimListener>(*this, bound, std::move(accept));
}

void Network::pump(const std::shared_ptr<Link>& link, int to) {
  Link::End& end = link->ends[to];
  if (end.pumping || end.wire.empty()) return;
  end.pumping = true;
  end.last_arrival = std::max(end.last_arrival, now_ + delay());  // bytes never overtake bytes
  after(end.last_arrival - now_, [this, link, to] {
    Link::End& here = link->ends[to];
    here.pumping = false;
    if (link->over) return;
    if (silent_.contains(link->to) || !here.reading) return;  // stays on the wire: the writer sees it unsent
    std::size_t n = here.wire.size();
    if (options_.max_segment_bytes > 0)
      n = std::min<std::size_t>(n, 1 + random() % options_.max_segment_bytes);
    here.inbox.append(here.wire, 0, n);
    const bool drained = here.wire.size() >= kLowMark && here.wire.size() - n < kLowMark;
    here.wire.erase(0, n);
    pump(link, to);
    if (io::ConnectionEvents* writer = link->ends[1 - to].events; drained && writer) writer->on_drained();
    if (link->over) return;
    deliver(link, to);
  });
}

void Network::deliver(const std::shared_ptr<Link>& link, int to) {
  Link::End& here = link->ends[to];
  if (link->over || !here.events || !here.reading || here.inbox.empty()) return;
  const std::string bytes = std::move(here.inbox);  // the machine may write, close or vanish meanwhile
  here.inbox.clear();
  const std::size_t used = here.events->on_bytes(bytes);
  here.inbox.insert(0, bytes, used, std::string::npos);
}

void Network::end(const std::shared_ptr<Link>& link, int at, io::CloseReason why) {
  if (std::exchange(link->over, true)) return;
  links_.erase(link);
  after(delay(), [link, at, why] {
    if (io::ConnectionEvents* events = std::exchange(link->ends[at].events, nullptr)) events->on_closed(why);
  });
}

bool Network::step() {
  if (events_.empty()) return false;
  Event event = events_.top();
  events_.pop();
  now_ = std::max(now_, event.at);
  event.what();
  return true;
}

void Network::run_for(Duration span) {
  const Time until = now_ + span;
  while (!events_.empty() && events_.top().at <= until) step();
  now_ = until;
}

bool Network::run_until(const std::function<bool()>& done, Duration most) {
  const Time until = now_ + most;
  while (!done()) {
    if (events_.empty() || events_.top().at > until) return false;
    step();
  }
  return true;
}

void Network::break_connections(const io::Address& to) {
  const auto links = links_;
  for (const auto& link : links) {
    if (link->to != to || link->over) continue;
    end(link, 0, io::CloseReason::kBroken);
    after(delay(), [link] {
      if (auto* events = std::exchange(link->ends[1].events, nullptr))
        events->on_closed(io::CloseReason::kBroken);
    });
  }
}

void Network::set_silent(const io::Address& to, bool silent) {
  silent ? void(silent_.insert(to)) : void(silent_.erase(to));
  if (silent) return;
  const auto links = links_;
  for (const auto& link : links)
    if (link->to == to) pump(link, 0), pump(link, 1);
}

std::size_t Network::connections(const io::Address& to) const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [&](auto& l) { return l->to == to && l->open; }));
}

std::size_t Network::unsent(const io::Address& to) const {
  std::size_t bytes = 0;
  for (const auto& link : links_)
    if (link->to == to) bytes += link->ends[1].wire.size();
  return bytes;
}

}  // namespace laureltide::sim
