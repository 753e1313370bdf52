#include "net/loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <poll.h>
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

#include "net/turn_clock.h"

namespace laureltide::net {
namespace {

constexpr std::size_t kWriteLowWatermark = 64U << 10;         // on_drained comes below this
constexpr Duration kFinishTimeout = std::chrono::seconds(5);  // for a peer that does not read
// After our FIN the peer has this long to send its own: enough for bytes that were in flight at that time.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(200);
constexpr std::size_t kMaxLingerBytes = 256U << 10;  // of a peer that keeps sending after our FIN
constexpr std::size_t kMaxLingering = 16;  // one descriptor each; the oldest is closed when more are needed
// When accept fails for lack of descriptors the listening socket stays readable; accepting pauses this long.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);

template <auto Free>
struct FreeWith {
  void operator()(auto* p) const { Free(p); }
};
using EventPtr = std::unique_ptr<event, FreeWith<event_free>>;
using BufferEventPtr = std::unique_ptr<bufferevent, FreeWith<bufferevent_free>>;

timeval to_timeval(Duration d) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(std::max(d, Duration(0)) + Duration(999));
  return {static_cast<time_t>(us.count() / 1'000'000), static_cast<suseconds_t>(us.count() % 1'000'000)};
}

Time steady_now() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return Time(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

// Measures a callback of the loop, from its creation to its end.
class MeasuredCallback {
 public:
  MeasuredCallback(TurnClock& turns, event_base* base) : turns_(turns) {
    timeval polled{};
    event_base_gettimeofday_cached(base, &polled);  // the same for all callbacks after one poll
    turns_.on_callback_start(steady_now(), polled.tv_sec * std::int64_t{1'000'000} + polled.tv_usec);
  }
  ~MeasuredCallback() { turns_.on_callback_end(steady_now()); }
  MeasuredCallback(const MeasuredCallback&) = delete;
  MeasuredCallback& operator=(const MeasuredCallback&) = delete;

 private:
  TurnClock& turns_;
};

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
  LoopTimer(event_base* base, TurnClock& turns, std::function<void()> fired)
      : base_(base), turns_(turns), fired_(std::move(fired)) {
    event_.reset(event_new(
        base, -1, 0,
        [](evutil_socket_t, short, void* raw) {
          auto& self = *static_cast<LoopTimer*>(raw);
          const MeasuredCallback measured(self.turns_, self.base_);
          auto fired = self.fired_;  // a copy: the callback may destroy the timer
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
  event_base* base_;
  TurnClock& turns_;
  std::function<void()> fired_;
  EventPtr event_;
};

// Closes the descriptor at once. libevent would close it some loop iterations later, so a flood of rejected
// connections could use up all descriptors.
void close_now(BufferEventPtr stream) {
  const evutil_socket_t fd = bufferevent_getfd(stream.get());
  bufferevent_disable(stream.get(), EV_READ | EV_WRITE);
  if (fd < 0) return;
  bufferevent_setfd(stream.get(), -1);
  evutil_closesocket(fd);
}

// Completes the orderly close of a finished Stream, which it outlives: sends the unsent bytes, then our FIN,
// and waits a short time for the peer's FIN. Owned by the loop, so that nothing leaks if the loop ends
// meanwhile.
class Lingering {
 public:
  using All = std::map<std::uint64_t, std::unique_ptr<Lingering>>;  // oldest first
  static void start(BufferEventPtr stream, All& all) {
    if (all.size() >= kMaxLingering) all.erase(all.begin());
    const std::uint64_t number = all.empty() ? 0 : all.rbegin()->first + 1;
    auto fresh = std::make_unique<Lingering>(std::move(stream), all, number);
    Lingering* self = fresh.get();
    all[number] = std::move(fresh);
    self->begin();
  }
  Lingering(BufferEventPtr stream, All& all, std::uint64_t number)
      : stream_(std::move(stream)), all_(all), id_(number) {}
  ~Lingering() { close_now(std::move(stream_)); }

 private:
  void begin() {
    const timeval tv = to_timeval(kFinishTimeout);
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
    discarded_bytes_ += evbuffer_get_length(in);
    evbuffer_drain(in, SIZE_MAX);
    if (discarded_bytes_ > kMaxLingerBytes) end();
  }
  void on_written() {
    if (evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0 || std::exchange(ended_, true)) return;
    shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
    // Started once: a peer that keeps sending does not extend it.
    linger_timer_.reset(event_new(
        bufferevent_get_base(stream_.get()), -1, 0,
        [](evutil_socket_t, short, void* self) { static_cast<Lingering*>(self)->end(); }, this));
    const timeval tv = to_timeval(kLingerTimeout);
    event_add(linger_timer_.get(), &tv);
    bufferevent_disable(stream_.get(), EV_WRITE);
  }
  void end() { all_.erase(id_); }

  BufferEventPtr stream_;
  All& all_;
  std::uint64_t id_;
  EventPtr linger_timer_;
  std::size_t discarded_bytes_ = 0;
  bool ended_ = false;
};

class Stream : public io::Connection {
 public:
  Stream(event_base* base, evutil_socket_t fd, const io::StreamOptions& options, Lingering::All& lingering,
         TurnClock& turns)
      : base_(base), lingering_(lingering), turns_(turns) {
    stream_.reset(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(stream_.get(), on_read, on_write, on_event, this);
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, options.read_ahead);
    bufferevent_setwatermark(stream_.get(), EV_WRITE, kWriteLowWatermark, 0);
    bufferevent_set_max_single_read(stream_.get(), 128U << 10);
    bufferevent_set_max_single_write(stream_.get(), 256U << 10);
    if (fd >= 0) set_no_delay(fd);
  }
  ~Stream() override {
    *alive_ = false;
    if (stream_) close_now(std::move(stream_));
  }

  void set_events(io::ConnectionEvents* events) { events_ = events; }
  void accepted(event_base* base) {
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    open_ = true;
    // Deferred: within the accept callback the owner has not stored this connection yet.
    defer(base, [](Stream& self) { self.events_->on_open(); });
  }
  void connect(event_base* base, const sockaddr_in& to, Duration timeout) {
    const timeval tv = to_timeval(timeout);
    bufferevent_set_timeouts(stream_.get(), nullptr, &tv);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
      fail(base);
  }
  void fail(event_base* base) {
    defer(base, [](Stream& self) { self.ended(io::CloseReason::kNeverOpened); });
  }

  void write(std::string_view bytes) override {
    if (closed_) return;
    // With nothing queued, writes go to the kernel at once, so that writes on different connections leave in
    // the order in which they were made. Left to the loop, a call's second attempt on one connection could
    // overtake the message on another that gives up the first attempt.
    if (open_ && unsent() == 0) {
      const ssize_t sent = send(bufferevent_getfd(stream_.get()), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent > 0) bytes.remove_prefix(static_cast<std::size_t>(sent));
      if (bytes.empty()) return;  // an error appears again when the rest is written
    }
    bufferevent_write(stream_.get(), bytes.data(), bytes.size());
    above_watermark_ |= unsent() > kWriteLowWatermark;
  }
  std::size_t unsent() const override { return evbuffer_get_length(bufferevent_get_output(stream_.get())); }
  void read(bool enabled) override {
    if (closed_) return;
    enabled ? bufferevent_enable(stream_.get(), EV_READ) : bufferevent_disable(stream_.get(), EV_READ);
    if (enabled && evbuffer_get_length(bufferevent_get_input(stream_.get())) > 0)
      bufferevent_trigger(stream_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
  void deliver_input() override { on_read(stream_.get(), this); }
  bool peer_has_closed() const override {
    pollfd polled{bufferevent_getfd(stream_.get()), POLLRDHUP, 0};
    return closed_ || (poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
  }
  void finish() override {
    if (std::exchange(closed_, true)) return;
    if (!open_) return;
    invalidate_callbacks();
    Lingering::start(std::move(stream_), lingering_);
  }

 private:
  void invalidate_callbacks() { *alive_ = false, alive_ = std::make_shared<bool>(true); }

  // Runs `what` in a later loop iteration, unless the stream is destroyed or closed by then. Used at most
  // once per stream.
  void defer(event_base* base, void (*what)(Stream&)) {
    deferred_ = what;
    deferred_event_.reset(event_new(
        base, -1, 0,
        [](evutil_socket_t, short, void* raw) {
          auto& self = *static_cast<Stream*>(raw);
          const MeasuredCallback measured(self.turns_, self.base_);
          if (!self.closed_) self.deferred_(self);
        },
        this));
    const timeval none{};
    event_add(deferred_event_.get(), &none);
  }

  static void set_no_delay(evutil_socket_t fd) {
    const int on = 1;  // messages are small and latency matters: no Nagle delay
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  static void on_read(bufferevent* b, void* raw) {
    auto& self = *static_cast<Stream*>(raw);
    const MeasuredCallback measured(self.turns_, self.base_);
    if (self.closed_ || !(bufferevent_get_enabled(b) & EV_READ)) return;
    evbuffer* in = bufferevent_get_input(b);
    const std::size_t size = evbuffer_get_length(in);
    if (size == 0) return;
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(in, -1));
    const auto alive = self.alive_;
    const std::size_t used = self.events_->on_bytes({bytes, size});
    if (*alive && !self.closed_) evbuffer_drain(in, used);
  }
  static void on_write(bufferevent*, void* raw) {
    auto& self = *static_cast<Stream*>(raw);
    const MeasuredCallback measured(self.turns_, self.base_);
    if (!self.closed_ && self.open_ && std::exchange(self.above_watermark_, false))
      self.events_->on_drained();
  }
  static void on_event(bufferevent* b, short what, void* raw) {
    auto& self = *static_cast<Stream*>(raw);
    const MeasuredCallback measured(self.turns_, self.base_);
    if (self.closed_) return;
    if (what & BEV_EVENT_CONNECTED) {
      set_no_delay(bufferevent_getfd(b));
      bufferevent_set_timeouts(b, nullptr, nullptr);
      self.open_ = true;
      return self.events_->on_open();
    }
    if (!self.open_) return self.ended(io::CloseReason::kNeverOpened);
    self.ended(what & BEV_EVENT_EOF ? io::CloseReason::kByPeer : io::CloseReason::kBroken);
  }
  void ended(io::CloseReason why) {
    if (std::exchange(closed_, true)) return;
    bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
    events_->on_closed(why);
  }

  event_base* base_;
  Lingering::All& lingering_;
  TurnClock& turns_;
  BufferEventPtr stream_;
  EventPtr deferred_event_;
  void (*deferred_)(Stream&) = nullptr;
  io::ConnectionEvents* events_ = nullptr;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool open_ = false, closed_ = false, above_watermark_ = false;
};

class LoopListener : public io::Listener {
 public:
  LoopListener(event_base* base, const sockaddr_in& at, const io::StreamOptions& options,
               io::Host::Accept accept, Lingering::All& lingering, TurnClock& turns, std::uint64_t& failed)
      : base_(base),
        options_(options),
        accept_(std::move(accept)),
        lingering_(lingering),
        turns_(turns),
        failed_(failed) {
    listener_.reset(evconnlistener_new_bind(base, accepted, this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                            1024, reinterpret_cast<const sockaddr*>(&at), sizeof at));
    if (!listener_) return;
    evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* raw) {
      static_cast<LoopListener*>(raw)->pause_accepting();
    });
    resume_event_.reset(event_new(
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
  // accept failed (no descriptor or no memory): the connection stays in the kernel's backlog and keeps the
  // socket readable, so accepting pauses to keep the loop from spinning.
  void pause_accepting() {
    ++failed_;
    evconnlistener_disable(listener_.get());
    const timeval tv = to_timeval(kAcceptRetryDelay);
    event_add(resume_event_.get(), &tv);
  }
  static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* raw) {
    auto& self = *static_cast<LoopListener*>(raw);
    const MeasuredCallback measured(self.turns_, self.base_);
    auto stream = std::make_unique<Stream>(self.base_, fd, self.options_, self.lingering_, self.turns_);
    Stream* accepted_stream = stream.get();
    io::ConnectionEvents* events = self.accept_(std::move(stream));
    if (!events) return;  // rejected: the stream is already destroyed
    accepted_stream->set_events(events);
    accepted_stream->accepted(self.base_);
  }

  event_base* base_;
  io::StreamOptions options_;
  io::Host::Accept accept_;
  Lingering::All& lingering_;
  TurnClock& turns_;
  std::uint64_t& failed_;
  std::unique_ptr<evconnlistener, FreeWith<evconnlistener_free>> listener_;
  EventPtr resume_event_;
};

}  // namespace

struct Loop::Impl {
  LoopOptions options;
  std::unique_ptr<event_base, FreeWith<event_base_free>> base;
  TurnClock turns;
  Lingering::All lingering;
  std::uint64_t accepts_failed = 0;
  std::mt19937_64 random{std::random_device{}()};
  struct Signal {
    std::function<void()> handler;
    EventPtr event;
  };
  std::vector<std::unique_ptr<Signal>> signals;
  // Tasks posted by other threads, and the eventfd that wakes the loop for them.
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  int wake_fd = -1;
  EventPtr wake_event;
  void run_posted() {
    std::uint64_t count = 0;
    const ssize_t ignored = read(wake_fd, &count, sizeof count);
    static_cast<void>(ignored);
    std::vector<std::function<void()>> all;
    {
      const std::lock_guard lock(mutex);
      all.swap(posted);
    }
    const MeasuredCallback measured(turns, base.get());
    for (const auto& task : all) task();
  }
  ~Impl() {
    signals.clear();
    wake_event.reset();
    if (wake_fd >= 0) close(wake_fd);
    lingering.clear();
    // A pending deferred callback keeps its bufferevent alive, and libevent drops such callbacks with the
    // base, which would leak the bufferevent. One last iteration runs them; their streams are already
    // destroyed.
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
  }
};

Loop::Loop(LoopOptions options) : impl_(std::make_unique<Impl>()) {
  impl_->options = options;
  std::unique_ptr<event_config, FreeWith<event_config_free>> config(event_config_new());
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  // Collects changes of the epoll interest set, which saves two system calls per write with many short
  // writes. The flag is unsafe with duplicated descriptors; none are duplicated here.
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  impl_->base.reset(event_base_new_with_config(config.get()));
  if (!impl_->base) throw std::runtime_error("cannot create the event loop");
  std::signal(SIGPIPE, SIG_IGN);
  impl_->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (impl_->wake_fd < 0) throw std::runtime_error("cannot create the eventfd that wakes the loop");
  impl_->wake_event.reset(event_new(
      impl_->base.get(), impl_->wake_fd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* raw) { static_cast<Impl*>(raw)->run_posted(); }, impl_.get()));
  event_add(impl_->wake_event.get(), nullptr);
}
Loop::~Loop() = default;

Time Loop::now() const { return steady_now(); }
std::int64_t Loop::unix_ms() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
std::uint64_t Loop::random() { return impl_->random(); }

std::unique_ptr<io::Timer> Loop::timer(std::function<void()> fired) {
  return std::make_unique<LoopTimer>(impl_->base.get(), impl_->turns, std::move(fired));
}

std::unique_ptr<io::Connection> Loop::connect(const io::Address& to, const io::StreamOptions& options,
                                              io::ConnectionEvents& events) {
  auto stream = std::make_unique<Stream>(impl_->base.get(), -1, options, impl_->lingering, impl_->turns);
  stream->set_events(&events);
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
                                                 impl_->lingering, impl_->turns, impl_->accepts_failed);
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

void Loop::post(std::function<void()> task) {
  bool first = false;
  {
    const std::lock_guard lock(impl_->mutex);
    first = impl_->posted.empty();
    impl_->posted.push_back(std::move(task));
  }
  if (!first) return;  // the loop has been notified already
  const std::uint64_t one = 1;
  const ssize_t ignored = write(impl_->wake_fd, &one, sizeof one);
  static_cast<void>(ignored);
}

std::uint64_t Loop::accepts_failed() const { return impl_->accepts_failed; }

Duration Loop::take_longest_turn() { return impl_->turns.take_longest(); }

void Loop::run() { event_base_loop(impl_->base.get(), EVLOOP_NO_EXIT_ON_EMPTY); }
void Loop::stop() { event_base_loopbreak(impl_->base.get()); }

}  // namespace laureltide::net
