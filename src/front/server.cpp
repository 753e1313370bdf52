#include "front/server.h"

#include <algorithm>
#include <utility>

#include "base/bytes.h"

namespace laureltide::front {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
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
    has_sent_data_ = true, last_data_at_ = server_.last_received_ = now;
    std::size_t used = 0;
    while (stream_) {
      const std::string_view left = bytes.substr(used);
      if (left.size() < kLengthBytes) break;
      Reader in(left);
      const std::uint32_t size = in.u32();
      if (size > kMaxFrameBytes) {  // covers negative lengths too
        close_with_error("frame length exceeds the maximum");
        return bytes.size();
      }
      if (in.left() < size) break;
      used += kLengthBytes + size;
      on_message(parse(in.take(size)));
    }
    if (!stream_) return bytes.size();
    if (used == bytes.size())
      partial_frame_since_.reset();
    else if (used > 0 || !partial_frame_since_)
      partial_frame_since_ = now;
    return used;
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
    if (!has_sent_data_ && now - opened_at_ >= server_.options_.first_byte_timeout)
      return "no data received in time";
    if (partial_frame_since_ && now - *partial_frame_since_ >= server_.options_.frame_timeout)
      return "incomplete frame timed out";
    if (stream_->unsent() > server_.options_.max_unsent_bytes) return "client does not read its answers";
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
    if (stream_->unsent() <= server_.options_.max_unsent_bytes) {
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
  bool has_open_calls() const { return !number_by_ticket_.empty(); }
  bool has_sent_data() const { return has_sent_data_; }
  Time last_data_at() const { return last_data_at_; }

 private:
  void on_message(Parsed parsed) {
    Request& request = parsed.request;
    switch (parsed.kind) {
      case Parsed::Kind::kBad: return close_with_error("unparsable message: " + parsed.why);
      case Parsed::Kind::kInvalid: {
        if (request.number <= highest_number_) return close_with_error("sequence number does not increase");
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
    if (request.number <= highest_number_) return close_with_error("sequence number does not increase");
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
    server_.events_.on_call(ticket, std::move(request.fields), std::move(request.body));
  }

  void on_cancel(std::int32_t number) {
    const Time now = server_.host_.now();
    if (now - cancels_since_ >= kCancelWindow) cancels_since_ = now, cancels_ = 0;
    if (++cancels_ > server_.options_.max_cancels_per_second)
      return close_with_error("too many cancels per second");
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
  }

  Server& server_;
  std::unique_ptr<io::Connection> stream_;
  Time opened_at_, last_data_at_;
  bool has_sent_data_ = false;
  std::optional<Time> partial_frame_since_;
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
      sweep_(host.timer([this] { sweep(); })) {}
Server::~Server() = default;

bool Server::listen(const io::Address& at) {
  io::StreamOptions options;
  options.read_ahead = 2 * (kMaxFrameBytes + kLengthBytes);
  listener_ =
      host_.listen(at, options, [this](std::unique_ptr<io::Connection> s) { return accept(std::move(s)); });
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
  events_.on_anomaly("closed a client's idle connection to make room for a new one");
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

void Server::drop(Connection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  std::unique_ptr<Connection> owned = std::move(it->second);
  connections_.erase(it);
  owned->end();
  closed_connections_.delete_later(std::move(owned));
}

void Server::sweep() {
  sweep_->start(kSweepInterval);
  const Time now = host_.now();
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
