#include "front/server.h"

#include <algorithm>
#include <utility>

#include "base/bytes.h"
#include "front/input_age.h"

namespace laureltide::front {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kReadAhead = 2 * (kMaxFrameBytes + kLengthBytes);
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
constexpr Duration kSweepTolerance = std::chrono::milliseconds(50);
constexpr Duration kCancelWindow = std::chrono::seconds(1);

}  // namespace

class Server::Connection : public io::ConnectionEvents {
 public:
  Connection(Server& server, std::unique_ptr<io::Connection> stream)
      : server_(server),
        stream_(std::move(stream)),
        opened_at_(server.host_.now()),
        last_data_at_(opened_at_) {}

  std::size_t on_bytes(std::string_view bytes) override {
    const Time now = server_.host_.now();
    // With a full buffer nothing was read, so what is read next may have come since the buffer was last
    // filled.
    input_age_.on_input(bytes.size(), was_full_ ? last_read_at_ : server_.input_bound(now));
    was_full_ = bytes.size() >= kReadAhead || held_back_since_.has_value();
    if (!was_full_) last_read_at_ = now;
    const std::size_t used = handle_input(bytes);
    input_age_.on_handled(used);
    input_bytes_ = stream_ ? bytes.size() - used : 0;
    server_.limit_buffered_bytes_after(*this);
    return used;
  }
  void on_drained() override {
    if (stream_ && std::exchange(held_back_since_, std::nullopt)) stream_->read(true);
  }
  std::size_t handle_input(std::string_view bytes) {
    const Time now = server_.host_.now();
    has_sent_data_ = true, last_data_at_ = server_.last_received_ = now;
    if (stream_->peer_has_closed()) {
      server_.events_.on_anomaly("a client left before its messages were handled");
      server_.drop(*this);
      return bytes.size();
    }
    const bool has_turn = server_.visited_ == this || (server_.waiting_.empty() && !server_.turn_is_over());
    if (!has_turn) return server_.wait_for_turn(*this), 0;
    std::size_t used = 0;
    std::size_t handled = 0;
    while (stream_) {
      const Frame frame = next_frame(bytes.substr(used));
      if (frame.is_too_long) return close_with_error("a frame's length is over its bound"), bytes.size();
      if (!frame.is_whole) break;
      if (handled >= server_.options_.messages_per_visit || server_.turn_is_over()) {
        server_.wait_for_turn(*this);
        return used;
      }
      ++handled;
      used += kLengthBytes + frame.message.size();
      server_.start_turn_timer();
      ++server_.messages_this_turn_;
      on_message(parse(frame.message), input_age_.arrival_of(used - 1));
    }
    if (!stream_) return bytes.size();
    if (used == bytes.size())
      partial_frame_since_.reset();
    else if (used > 0 || !partial_frame_since_)
      partial_frame_since_ = now;
    return used;
  }
  void handle_waiting_messages() {
    is_waiting = false;
    if (stream_) stream_->deliver_input();
  }
  void on_closed(io::CloseReason) override { server_.drop(*this); }

  void answer(Ticket ticket, const Reply& reply) {
    const auto it = number_by_ticket_.find(ticket);
    if (it == number_by_ticket_.end()) return;
    const std::int32_t number = it->second;
    number_by_ticket_.erase(it);
    ticket_by_number_.erase(number);
    write_reply(scratch_, number, reply);
    flush();
    server_.limit_buffered_bytes_after(*this);
  }

  void end() {
    stream_.reset();
    for (const auto& [ticket, number] : std::exchange(number_by_ticket_, {})) {
      server_.tickets_.erase(ticket);
      server_.events_.on_gone(ticket);
    }
  }
  // The reason to close this connection now, or null.
  const char* overdue(Time now) const {
    if (!has_sent_data_ && now - opened_at_ >= server_.options_.first_byte_timeout) return "it says nothing";
    if (partial_frame_since_ && now - *partial_frame_since_ >= server_.options_.frame_timeout)
      return "half a frame";
    if (stream_->unsent() > server_.options_.max_unsent_bytes) return "it does not read its answers";
    if (held_back_since_ && now - *held_back_since_ >= server_.options_.frame_timeout)
      return "it does not read its answers in time";
    return nullptr;
  }
  void close_with_error(const std::string& why) {
    if (!stream_) return;
    server_.events_.on_anomaly("closed a client's connection: " + why);
    for (const auto& [ticket, open] : number_by_ticket_)
      write_reply(scratch_, open, {Reply::Kind::kFailed, {}, {}, {}});
    Reply reply;
    reply.kind = Reply::Kind::kException, reply.text = why;
    write_reply(scratch_, 0, reply);  // number 0 belongs to no request
    // A client that does not read would only keep the memory.
    if (stream_->unsent() <= server_.options_.pause_unsent_bytes) {
      stream_->write(scratch_);
      stream_->finish();
    }
    server_.drop(*this);
  }
  // Graceful close: the client still receives answers that are on their way, and a client that sends a
  // request at the same moment sees an end of stream, not a reset.
  void finish() {
    if (stream_) stream_->finish();
  }
  std::size_t unsent() const { return stream_ ? stream_->unsent() : 0; }
  std::size_t buffered_bytes() const { return input_bytes_ + unsent(); }
  std::size_t counted_bytes = 0;  // of Server::counted_bytes_
  bool is_waiting = false;        // in Server::waiting_
  bool has_open_calls() const { return !number_by_ticket_.empty(); }
  bool has_sent_data() const { return has_sent_data_; }
  Time last_data_at() const { return last_data_at_; }

 private:
  struct Frame {
    std::string_view message;
    bool is_whole = false, is_too_long = false;
  };
  static Frame next_frame(std::string_view input) {
    Frame frame;
    if (input.size() < kLengthBytes) return frame;
    Reader in(input);
    const std::uint32_t size = in.u32();
    frame.is_too_long = size > kMaxFrameBytes;  // covers negative lengths too
    frame.is_whole = !frame.is_too_long && in.left() >= size;
    if (frame.is_whole) frame.message = in.take(size);
    return frame;
  }

  void on_message(Parsed parsed, Time arrived) {
    Request& request = parsed.request;
    switch (parsed.kind) {
      case Parsed::Kind::kBad: return close_with_error("no message: " + parsed.why);
      case Parsed::Kind::kInvalid: {
        if (request.number <= highest_number_)
          return close_with_error("a sequence number that does not run up");
        Reply reply;
        reply.kind = Reply::Kind::kException, reply.text = parsed.why;
        reply.unknown_method = parsed.unknown_method;
        write_reply(scratch_, request.number, reply);
        highest_number_ = request.number;
        return flush();
      }
      case Parsed::Kind::kRequest: break;
    }
    if (request.method == Request::Method::kCancel) return on_cancel(request.cancelled);
    // A reused number could make the client take a second answer for the first request.
    if (request.number <= highest_number_) return close_with_error("a sequence number that does not run up");
    highest_number_ = request.number;
    if (request.method == Request::Method::kHealth) {
      write_health(scratch_, request.number, server_.events_.healthy());
      return flush();
    }
    if (number_by_ticket_.size() >= server_.options_.max_open_calls) {
      write_reply(scratch_, request.number, {Reply::Kind::kRefused, {}, {}, {}});
      return flush();
    }
    const Ticket ticket = server_.next_ticket_++;
    number_by_ticket_[ticket] = request.number;
    ticket_by_number_[request.number] = ticket;
    server_.tickets_[ticket] = this;
    server_.events_.on_call(ticket, std::move(request.fields), std::move(request.body), arrived);
  }

  void on_cancel(std::int32_t number) {
    const Time now = server_.host_.now();
    if (now - cancels_since_ >= kCancelWindow) cancels_since_ = now, cancels_ = 0;
    if (++cancels_ > server_.options_.max_cancels_per_second)
      return close_with_error("too many cancels at once");
    const auto it = ticket_by_number_.find(number);
    if (it == ticket_by_number_.end()) return;  // already answered
    const Ticket ticket = it->second;
    ticket_by_number_.erase(it);
    number_by_ticket_.erase(ticket);
    server_.tickets_.erase(ticket);
    server_.events_.on_gone(ticket);
  }

  void flush() {
    if (stream_) stream_->write(scratch_);
    scratch_.clear();
    if (!stream_ || held_back_since_ || stream_->unsent() <= server_.options_.pause_unsent_bytes) return;
    server_.events_.on_anomaly("a client does not read its answers: its messages wait");
    held_back_since_ = server_.host_.now();
    was_full_ = true;
    stream_->read(false);
  }

  Server& server_;
  std::unique_ptr<io::Connection> stream_;
  Time opened_at_, last_data_at_;
  bool has_sent_data_ = false;
  std::optional<Time> partial_frame_since_;
  std::optional<Time> held_back_since_;  // not reading, since it does not read its answers
  std::size_t input_bytes_ = 0;          // not handled yet
  InputAge input_age_;
  bool was_full_ = false;  // when last read: more may wait in the socket
  Time last_read_at_{};    // when the socket was last read empty
  std::int32_t highest_number_ = 0;
  std::map<Ticket, std::int32_t> number_by_ticket_;
  std::map<std::int32_t, Ticket> ticket_by_number_;
  Time cancels_since_{};
  std::size_t cancels_ = 0;
  std::string scratch_;
};

Server::Server(io::Host& host, ServerOptions options, Events& events)
    : host_(host),
      options_(options),
      events_(events),
      closed_connections_(host),
      sweep_(host.timer([this] { sweep(); })),
      turn_timer_(host.timer([this] { run_turn(); })) {}
Server::~Server() = default;

bool Server::listen(const io::Address& at) {
  io::StreamOptions options;
  options.read_ahead = kReadAhead;
  listener_ =
      host_.listen(at, options, [this](std::unique_ptr<io::Connection> s) { return accept(std::move(s)); });
  last_run_ = host_.now();
  if (listener_) sweep_->start(kSweepInterval);
  return listener_ != nullptr;
}

io::ConnectionEvents* Server::accept(std::unique_ptr<io::Connection> stream) {
  if (connections_.size() >= options_.max_connections && !close_longest_idle()) return nullptr;
  auto fresh = std::make_unique<Connection>(*this, std::move(stream));
  Connection* made = fresh.get();
  connections_[made] = std::move(fresh);
  return made;
}

// Prefers connections that never sent data, then the one idle for longest.
bool Server::close_longest_idle() {
  Connection* oldest = nullptr;
  for (const auto& [c, owned] : connections_)
    if (!c->has_open_calls() && (!oldest || std::pair(c->has_sent_data(), c->last_data_at()) <
                                                std::pair(oldest->has_sent_data(), oldest->last_data_at())))
      oldest = c;
  if (!oldest) return false;
  events_.on_anomaly("ended a client's resting connection to make room");
  // Without any request no answer can be on its way, so a graceful close would only use up one of the limited
  // lingering connections.
  if (oldest->has_sent_data()) oldest->finish();
  drop(*oldest);
  return true;
}

void Server::stop_listening() {
  if (!listener_) return;
  listener_->take_backlog();
  listener_.reset();
}

void Server::close_idle_connections() {
  std::vector<Connection*> idle;
  for (const auto& [c, owned] : connections_)
    if (!c->has_open_calls()) idle.push_back(c);
  for (Connection* c : idle) {
    c->finish();
    drop(*c);
  }
}

std::size_t Server::unsent() const {
  std::size_t bytes = 0;
  for (const auto& [c, owned] : connections_) bytes += c->unsent();
  return bytes;
}

std::size_t Server::buffered_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [c, owned] : connections_) bytes += c->buffered_bytes();
  return bytes;
}

// Counts what the connection holds now. Answers are sent without notice, so the sum is brought up to date
// before anything is closed for it.
void Server::limit_buffered_bytes_after(Connection& connection) {
  if (!connections_.contains(&connection)) return;
  counted_bytes_ += connection.buffered_bytes() - connection.counted_bytes;
  connection.counted_bytes = connection.buffered_bytes();
  if (counted_bytes_ <= options_.max_buffered_bytes) return;
  counted_bytes_ = 0;
  Connection* largest = nullptr;
  for (const auto& [c, owned] : connections_) {
    c->counted_bytes = c->buffered_bytes();
    counted_bytes_ += c->counted_bytes;
    if (!largest || c->counted_bytes > largest->counted_bytes) largest = c;
  }
  if (counted_bytes_ > options_.max_buffered_bytes)
    largest->close_with_error("it holds the most memory of all, and no more is to be had");
}

void Server::drop(Connection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  counted_bytes_ -= connection.counted_bytes;
  std::unique_ptr<Connection> owned = std::move(it->second);
  connections_.erase(it);
  if (owned->is_waiting) std::erase(waiting_, owned.get());
  owned->end();
  closed_connections_.delete_later(std::move(owned));
}

// ---- Turns --------------------------------------------------------------------------------------------

void Server::start_turn_timer() {
  if (!std::exchange(turn_timer_started_, true)) turn_timer_->start(Duration(0));
}

// The earliest time at which input that is read now can have arrived. While the loop runs, input is read as
// it comes, and the sweep's timer runs at its interval. If nothing ran for longer, the process stood still or
// was busy, and all input found after that may have come since.
Time Server::input_bound(Time now) {
  if (now - last_run_ > kSweepInterval + kSweepTolerance) {
    input_bound_ = last_run_;
    bound_ends_ = now + kSweepTolerance;
  }
  last_run_ = now;
  return now < bound_ends_ ? input_bound_ : now;
}

void Server::wait_for_turn(Connection& connection) {
  if (!std::exchange(connection.is_waiting, true)) waiting_.push_back(&connection);
  start_turn_timer();
}

// Runs once in a turn of the event loop in which messages came.
void Server::run_turn() {
  turn_timer_started_ = false;
  messages_this_turn_ = 0;
  const Time end = host_.now() + options_.max_turn;
  while (!waiting_.empty() && !turn_is_over()) {
    visited_ = waiting_.front();
    waiting_.pop_front();
    visited_->handle_waiting_messages();
    visited_ = nullptr;
    if (host_.now() >= end) break;
  }
  if (!waiting_.empty()) start_turn_timer();
}

void Server::sweep() {
  sweep_->start(kSweepInterval);
  const Time now = host_.now();
  input_bound(now);
  std::vector<std::pair<Connection*, const char*>> overdue;
  for (const auto& [c, owned] : connections_)
    if (const char* why = c->overdue(now)) overdue.emplace_back(c, why);
  for (const auto& [c, why] : overdue)
    if (connections_.contains(c)) c->close_with_error(why);
}

void Server::respond(Ticket ticket, const Reply& reply) {
  const auto it = tickets_.find(ticket);
  if (it == tickets_.end()) return;
  Connection& connection = *it->second;
  tickets_.erase(it);
  connection.answer(ticket, reply);
}

}  // namespace laureltide::front
