#include "net/loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <map>
#include <mutex>
#include <random>
#include <stdexcept>
#include <utility>

namespace laureltide::net {
namespace {

constexpr std::size_t kLowMark = 64U << 10;                  // unsent bytes under which a writer may go on
constexpr Duration kFinishWithin = std::chrono::seconds(5);  // for a peer that does not read
// A peer that has been sent our end has this long to send its own: longer than its bytes may cross ours.
constexpr Duration kLinger = std::chrono::milliseconds(200);
constexpr std::size_t kMostLingerBytes = 256U << 10;  // from a peer that sends on as if nothing had been said
constexpr std::size_t kMostLingering = 16;            // descriptors; over them the oldest goes at once
// With no descriptor left a connection cannot be taken in, and stays readable: looked at again this much
// later.
constexpr Duration kAcceptAgain = std::chrono::milliseconds(20);

template <auto Free>
struct Freed {
  void operator()(auto* p) const { Free(p); }
};
using EventPtr = std::unique_ptr<event, Freed<event_free>>;
using BufferEventPtr = std::unique_ptr<bufferevent, Freed<bufferevent_free>>;

timeval to_timeval(Duration d) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(std::max(d, Duration(0)) + Duration(999));
  return {static_cast<time_t>(us.count() / 1'000'000), static_cast<suseconds_t>(us.count() % 1'000'000)};
}

bool is_loopback(const io::Address& a) { return a.host.starts_with("127."); }

std::optional<sockaddr_in> to_sockaddr(const io::Address& a) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(a.port);
  if (inet_pton(AF_INET, a.host.c_str(), &raw.sin_addr) != 1) return std::nullopt;
  return raw;
}

class LoopTimer : public io::Timer {
 public:
  LoopTimer(event_base* base, std::function<void()> fired) : fired_(std::move(fired)) {
    event_.reset(event_new(
        base, -1, 0,
        [](evutil_socket_t, short, void* self) {
          auto fired = static_cast<LoopTimer*>(self)->fired_;  // the timer may be destroyed by what it does
          fired();
        },
        this));
  }
  void start(Duration after) override {
    const timeval tv = to_timeval(after);
    event_add(event_.get(), &tv);
  }
  void stop() override { event_del(event_.get()); }

 private:
  std::function<void()> fired_;
  EventPtr event_;
};

// The library closes a descriptor some turns of the loop later. Until then it counts, and a flood of
// connections that are turned away would leave none for the others: it goes at once.
void close_now(BufferEventPtr stream) {
  const evutil_socket_t fd = bufferevent_getfd(stream.get());
  bufferevent_disable(stream.get(), EV_READ | EV_WRITE);
  if (fd < 0) return;
  bufferevent_setfd(stream.get(), -1);
  evutil_closesocket(fd);
}

// Outlives its Stream when that was finished: first the unsent bytes go out, then our end of the stream; then
// the peer has a moment to send its own. The loop owns it, so that one that ends with such a moment under way
// leaves nothing behind.
class Lingering {
 public:
  using All = std::map<std::uint64_t, std::unique_ptr<Lingering>>;  // by age
  static void start(BufferEventPtr stream, All& all) {
    if (all.size() >= kMostLingering) all.erase(all.begin());
    const std::uint64_t number = all.empty() ? 0 : all.rbegin()->first + 1;
    auto fresh = std::make_unique<Lingering>(std::move(stream), all, number);
    Lingering* self = fresh.get();
    all[number] = std::move(fresh);
    self->begin();
  }
  Lingering(BufferEventPtr stream, All& all, std::uint64_t number)
      : stream_(std::move(stream)), all_(all), number_(number) {}
  ~Lingering() { close_now(std::move(stream_)); }

 private:
  void begin() {
    const timeval tv = to_timeval(kFinishWithin);
    bufferevent_set_timeouts(stream_.get(), nullptr, &tv);
    bufferevent_setcb(
        stream_.get(), [](bufferevent*, void* self) { static_cast<Lingering*>(self)->on_read(); },
        [](bufferevent*, void* self) { static_cast<Lingering*>(self)->on_written(); },
        [](bufferevent*, short, void* self) { static_cast<Lingering*>(self)->end(); }, this);
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, 0);
    bufferevent_setwatermark(stream_.get(), EV_WRITE, 0, 0);
    evbuffer_drain(bufferevent_get_input(stream_.get()), SIZE_MAX);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    if (evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0) on_written();
  }
  void on_read() {
    evbuffer* in = bufferevent_get_input(stream_.get());
    read_ += evbuffer_get_length(in);
    evbuffer_drain(in, SIZE_MAX);
    if (read_ > kMostLingerBytes) end();
  }
  void on_written() {
    if (evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0 || std::exchange(ended_, true)) return;
    shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
    // Once for all: a peer that keeps sending does not prolong it.
    end_.reset(event_new(
        bufferevent_get_base(stream_.get()), -1, 0,
        [](evutil_socket_t, short, void* self) { static_cast<Lingering*>(self)->end(); }, this));
    const timeval tv = to_timeval(kLinger);
    event_add(end_.get(), &tv);
    bufferevent_disable(stream_.get(), EV_WRITE);
  }
  void end() { all_.erase(number_); }

  BufferEventPtr stream_;
  All& all_;
  std::uint64_t number_;
  EventPtr end_;
  std::size_t read_ = 0;
  bool ended_ = false;
};

class Stream : public io::Connection {
 public:
  Stream(event_base* base, evutil_socket_t fd, const io::StreamOptions& options, Lingering::All& lingering)
      : lingering_(lingering) {
    stream_.reset(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(stream_.get(), on_read, on_write, on_event, this);
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, options.read_ahead);
    bufferevent_setwatermark(stream_.get(), EV_WRITE, kLowMark, 0);
    bufferevent_set_max_single_read(stream_.get(), 128U << 10);
    bufferevent_set_max_single_write(stream_.get(), 256U << 10);
    if (fd >= 0) opened(fd);
  }
  ~Stream() override {
    *alive_ = false;
    if (stream_) close_now(std::move(stream_));
  }

  void serve(io::ConnectionEvents* events) { events_ = events; }
  void accepted(event_base* base) {
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    open_ = true;
    // Not from within accept: the owner has not stored us yet.
    soon(base, [](Stream& self) { self.events_->on_open(); });
  }
  void connect(event_base* base, const sockaddr_in& to, Duration timeout) {
    const timeval tv = to_timeval(timeout);
    bufferevent_set_timeouts(stream_.get(), nullptr, &tv);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
      fail(base);
  }
  void fail(event_base* base) {
    soon(base, [](Stream& self) { self.ended(io::CloseReason::kNeverOpened); });
  }

  void write(std::string_view bytes) override {
    if (over_) return;
    // Straight to the kernel where nothing waits before it: what is written first on one connection leaves
    // before what is written next on another. Left to the loop, a call's second attempt could overtake the
    // word that gives up the first.
    if (open_ && unsent() == 0) {
      const ssize_t sent = send(bufferevent_getfd(stream_.get()), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent > 0) bytes.remove_prefix(static_cast<std::size_t>(sent));
      if (bytes.empty()) return;  // an error shows when the rest is written
    }
    bufferevent_write(stream_.get(), bytes.data(), bytes.size());
    above_ |= unsent() > kLowMark;
  }
  std::size_t unsent() const override { return evbuffer_get_length(bufferevent_get_output(stream_.get())); }
  void read(bool enabled) override {
    if (over_) return;
    enabled ? bufferevent_enable(stream_.get(), EV_READ) : bufferevent_disable(stream_.get(), EV_READ);
    if (enabled && evbuffer_get_length(bufferevent_get_input(stream_.get())) > 0)
      bufferevent_trigger(stream_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
  void finish() override {
    if (std::exchange(over_, true)) return;
    if (!open_) return;
    shared_events_off();
    Lingering::start(std::move(stream_), lingering_);
  }

 private:
  void shared_events_off() { *alive_ = false, alive_ = std::make_shared<bool>(true); }

  // Later on the loop, unless the stream is gone by then; once in a stream's life.
  void soon(event_base* base, void (*what)(Stream&)) {
    soon_what_ = what;
    soon_.reset(event_new(
        base, -1, 0,
        [](evutil_socket_t, short, void* raw) {
          auto& self = *static_cast<Stream*>(raw);
          if (!self.over_) self.soon_what_(self);
        },
        this));
    const timeval none{};
    event_add(soon_.get(), &none);
  }

  static void opened(evutil_socket_t fd) {
    const int on = 1;  // calls are small and each matters: no waiting for more bytes
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  static void on_read(bufferevent* b, void* raw) {
    auto& self = *static_cast<Stream*>(raw);
    if (self.over_ || !(bufferevent_get_enabled(b) & EV_READ)) return;
    evbuffer* in = bufferevent_get_input(b);
    const std::size_t size = evbuffer_get_length(in);
    if (size == 0) return;
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(in, -1));
    const auto alive = self.alive_;
    const std::size_t used = self.events_->on_bytes({bytes, size});
    if (*alive && !self.over_) evbuffer_drain(in, used);
  }
  static void on_write(bufferevent*, void* raw) {
    auto& self = *static_cast<Stream*>(raw);
    if (!self.over_ && self.open_ && std::exchange(self.above_, false)) self.events_->on_drained();
  }
  static void on_event(bufferevent* b, short what, void* raw) {
    auto& self = *static_cast<Stream*>(raw);
    if (self.over_) return;
    if (what & BEV_EVENT_CONNECTED) {
      opened(bufferevent_getfd(b));
      bufferevent_set_timeouts(b, nullptr, nullptr);
      self.open_ = true;
      return self.events_->on_open();
    }
    if (!self.open_) return self.ended(io::CloseReason::kNeverOpened);
    self.ended(what & BEV_EVENT_EOF ? io::CloseReason::kByPeer : io::CloseReason::kBroken);
  }
  void ended(io::CloseReason why) {
    if (std::exchange(over_, true)) return;
    bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
    events_->on_closed(why);
  }

  Lingering::All& lingering_;
  BufferEventPtr stream_;
  EventPtr soon_;
  void (*soon_what_)(Stream&) = nullptr;
  io::ConnectionEvents* events_ = nullptr;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool open_ = false, over_ = false, above_ = false;
};

class LoopListener : public io::Listener {
 public:
  LoopListener(event_base* base, const sockaddr_in& at, const io::StreamOptions& options,
               io::Host::Accept accept, Lingering::All& lingering, std::uint64_t& failed)
      : base_(base), options_(options), accept_(std::move(accept)), lingering_(lingering), failed_(failed) {
    listener_.reset(evconnlistener_new_bind(base, accepted, this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                            1024, reinterpret_cast<const sockaddr*>(&at), sizeof at));
    if (!listener_) return;
    evconnlistener_set_error_cb(listener_.get(),
                                [](evconnlistener*, void* raw) { static_cast<LoopListener*>(raw)->rest(); });
    again_.reset(event_new(
        base, -1, 0,
        [](evutil_socket_t, short, void* raw) {
          evconnlistener_enable(static_cast<LoopListener*>(raw)->listener_.get());
        },
        this));
  }
  bool listening() const { return listener_ != nullptr; }
  io::Address address() const override {
    sockaddr_in raw{};
    socklen_t size = sizeof raw;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&raw), &size);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &raw.sin_addr, text, sizeof text);
    return {text, ntohs(raw.sin_port)};
  }
  void take_backlog() override {
    while (true) {
      const evutil_socket_t fd =
          accept4(evconnlistener_get_fd(listener_.get()), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0)
        accepted(nullptr, fd, nullptr, 0, this);
      else if (errno != EINTR && errno != ECONNABORTED)
        return;
    }
  }

 private:
  // No descriptor, or no memory: the connection waits in the machine, and its readiness must not spin the
  // loop.
  void rest() {
    ++failed_;
    evconnlistener_disable(listener_.get());
    const timeval tv = to_timeval(kAcceptAgain);
    event_add(again_.get(), &tv);
  }
  static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* raw) {
    auto& self = *static_cast<LoopListener*>(raw);
    auto stream = std::make_unique<Stream>(self.base_, fd, self.options_, self.lingering_);
    Stream* kept = stream.get();
    io::ConnectionEvents* events = self.accept_(std::move(stream));
    if (!events) return;  // turned away: the stream is already gone
    kept->serve(events);
    kept->accepted(self.base_);
  }

  event_base* base_;
  io::StreamOptions options_;
  io::Host::Accept accept_;
  Lingering::All& lingering_;
  std::uint64_t& failed_;
  std::unique_ptr<evconnlistener, Freed<evconnlistener_free>> listener_;
  EventPtr again_;
};

}  // namespace

struct Loop::Impl {
  LoopOptions options;
  std::unique_ptr<event_base, Freed<event_base_free>> base;
  Lingering::All lingering;
  std::uint64_t accepts_failed = 0;
  std::mt19937_64 random{std::random_device{}()};
  struct Signal {
    std::function<void()> handler;
    EventPtr event;
  };
  std::vector<std::unique_ptr<Signal>> signals;
  // What other threads bring, and the descriptor that wakes the loop for it.
  std::mutex mutex;
  std::vector<std::function<void()>> brought;
  int wake = -1;
  EventPtr woken;
  void take_brought() {
    std::uint64_t count = 0;
    const ssize_t ignored = read(wake, &count, sizeof count);
    static_cast<void>(ignored);
    std::vector<std::function<void()>> all;
    {
      const std::lock_guard lock(mutex);
      all.swap(brought);
    }
    for (const auto& what : all) what();
  }
  ~Impl() {
    signals.clear();
    woken.reset();
    if (wake >= 0) close(wake);
    lingering.clear();
    // A stream whose callback was due when the loop stopped is held by it until it has run, and the library
    // drops such callbacks with the base. A last turn runs them; what they would tell has gone.
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
  }
};

Loop::Loop(LoopOptions options) : impl_(std::make_unique<Impl>()) {
  impl_->options = options;
  std::unique_ptr<event_config, Freed<event_config_free>> config(event_config_new());
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  // Many short writes: changes of interest are gathered, which spares two system calls a write. No descriptor
  // is ever duplicated, which this flag could not bear.
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  impl_->base.reset(event_base_new_with_config(config.get()));
  if (!impl_->base) throw std::runtime_error("no event loop can be made");
  std::signal(SIGPIPE, SIG_IGN);
  impl_->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (impl_->wake < 0) throw std::runtime_error("no descriptor to wake the loop with");
  impl_->woken.reset(event_new(
      impl_->base.get(), impl_->wake, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* raw) { static_cast<Impl*>(raw)->take_brought(); }, impl_.get()));
  event_add(impl_->woken.get(), nullptr);
}
Loop::~Loop() = default;

Time Loop::now() const {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return Time(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}
std::int64_t Loop::unix_ms() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
std::uint64_t Loop::random() { return impl_->random(); }

std::unique_ptr<io::Timer> Loop::timer(std::function<void()> fired) {
  return std::make_unique<LoopTimer>(impl_->base.get(), std::move(fired));
}

std::unique_ptr<io::Connection> Loop::connect(const io::Address& to, const io::StreamOptions& options,
                                              io::ConnectionEvents& events) {
  auto stream = std::make_unique<Stream>(impl_->base.get(), -1, options, impl_->lingering);
  stream->serve(&events);
  const auto raw = to_sockaddr(to);
  if (!raw || (impl_->options.loopback_only && !is_loopback(to)))
    stream->fail(impl_->base.get());
  else
    stream->connect(impl_->base.get(), *raw, options.connect_timeout);
  return stream;
}

std::unique_ptr<io::Listener> Loop::listen(const io::Address& at, const io::StreamOptions& options,
                                           Accept accept) {
  const auto raw = to_sockaddr(at);
  if (!raw || (impl_->options.loopback_only && !is_loopback(at))) return nullptr;
  auto listener = std::make_unique<LoopListener>(impl_->base.get(), *raw, options, std::move(accept),
                                                 impl_->lingering, impl_->accepts_failed);
  if (!listener->listening()) return nullptr;
  return listener;
}

void Loop::on_signal(int number, std::function<void()> handler) {
  auto signal = std::make_unique<Impl::Signal>();
  signal->handler = std::move(handler);
  signal->event.reset(evsignal_new(
      impl_->base.get(), number,
      [](evutil_socket_t, short, void* raw) { static_cast<Impl::Signal*>(raw)->handler(); }, signal.get()));
  event_add(signal->event.get(), nullptr);
  impl_->signals.push_back(std::move(signal));
}

void Loop::post(std::function<void()> what) {
  bool first = false;
  {
    const std::lock_guard lock(impl_->mutex);
    first = impl_->brought.empty();
    impl_->brought.push_back(std::move(what));
  }
  if (!first) return;  // it is woken already
  const std::uint64_t one = 1;
  const ssize_t ignored = write(impl_->wake, &one, sizeof one);
  static_cast<void>(ignored);
}

std::uint64_t Loop::accepts_failed() const { return impl_->accepts_failed; }

void Loop::run() { event_base_loop(impl_->base.get(), EVLOOP_NO_EXIT_ON_EMPTY); }
void Loop::stop() { event_base_loopbreak(impl_->base.get()); }

}  // namespace laureltide::net
