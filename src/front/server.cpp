#include "front/server.h"

#include <algorithm>
#include <utility>

#include "base/bytes.h"

namespace laureltide::front {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr Duration kSweepEvery = std::chrono::milliseconds(250);
constexpr Duration kCancelsWithin = std::chrono::seconds(1);

}  // namespace

class Server::Connection : public io::ConnectionEvents {
 public:
  Connection(Server& server, std::unique_ptr<io::Connection> stream)
      : server_(server), stream_(std::move(stream)), since_(server.host_.now()), said_(since_) {}

  std::size_t on_bytes(std::string_view bytes) override {
    const Time now = server_.host_.now();
    spoke_ = true, said_ = server_.heard_ = now;
    std::size_t used = 0;
    while (stream_) {
      const std::string_view left = bytes.substr(used);
      if (left.size() < kLengthBytes) break;
      Reader in(left);
      const std::uint32_t size = in.u32();
      if (size > kMaxFrameBytes) {  // also what is below nothing
        hang_up("a frame's length is over its bound");
        return bytes.size();
      }
      if (in.left() < size) break;
      used += kLengthBytes + size;
      on_message(parse(in.take(size)));
    }
    if (!stream_) return bytes.size();
    if (used == bytes.size())
      half_since_.reset();
    else if (used > 0 || !half_since_)
      half_since_ = now;
    return used;
  }
  void on_closed(io::CloseReason) override { server_.drop(*this); }

  void answer(Ticket ticket, const Reply& reply) {
    const auto it = numbers_.find(ticket);
    if (it == numbers_.end()) return;
    const std::int32_t number = it->second;
    numbers_.erase(it);
    open_.erase(number);
    write_reply(scratch_, number, reply);
    flush();
  }

  void end() {
    stream_.reset();
    for (const auto& [ticket, number] : std::exchange(numbers_, {})) {
      server_.tickets_.erase(ticket);
      server_.events_.on_gone(ticket);
    }
  }
  // Why it may stay no longer, if so.
  const char* overdue(Time now) const {
    if (!spoke_ && now - since_ >= server_.options_.first_byte_timeout) return "it says nothing";
    if (half_since_ && now - *half_since_ >= server_.options_.frame_timeout) return "half a frame";
    if (stream_->unsent() > server_.options_.max_unsent_bytes) return "it does not read its answers";
    return nullptr;
  }
  void hang_up(const std::string& why) {
    if (!stream_) return;
    server_.events_.on_anomaly("closed a client's connection: " + why);
    for (const auto& [ticket, open] : numbers_)
      write_reply(scratch_, open, {Reply::Kind::kFailed, {}, {}, {}});
    Reply reply;
    reply.kind = Reply::Kind::kException, reply.text = why;
    write_reply(scratch_, 0, reply);  // under no number that ever had an answer
    if (stream_->unsent() <= server_.options_.max_unsent_bytes) {
      stream_->write(scratch_);
      stream_->finish();
    }
    server_.drop(*this);
  }
  // In order: a client whose answer is still on its way gets it, and one whose request crosses the end sees
  // an end and no reset.
  void finish() {
    if (stream_) stream_->finish();
  }
  std::size_t unsent() const { return stream_ ? stream_->unsent() : 0; }
  bool busy() const { return !numbers_.empty(); }
  bool spoke() const { return spoke_; }
  Time said() const { return said_; }

 private:
  void on_message(Parsed parsed) {
    Request& request = parsed.request;
    switch (parsed.kind) {
      case Parsed::Kind::kBad: return hang_up("no message: " + parsed.why);
      case Parsed::Kind::kInvalid: {
        if (request.number <= highest_) return hang_up("a sequence number that does not run up");
        Reply reply;
        reply.kind = Reply::Kind::kException, reply.text = parsed.why;
        reply.unknown_method = parsed.unknown_method;
        write_reply(scratch_, request.number, reply);
        highest_ = request.number;
        return flush();
      }
      case Parsed::Kind::kRequest: break;
    }
    if (request.verb == Request::Verb::kCancel) return on_cancel(request.cancelled);
    // Two answers under one number would be two answers to one request.
    if (request.number <= highest_) return hang_up("a sequence number that does not run up");
    highest_ = request.number;
    if (request.verb == Request::Verb::kHealth) {
      write_health(scratch_, request.number, server_.events_.healthy());
      return flush();
    }
    if (numbers_.size() >= server_.options_.max_open_calls) {
      write_reply(scratch_, request.number, {Reply::Kind::kRefused, {}, {}, {}});
      return flush();
    }
    const Ticket ticket = server_.next_++;
    numbers_[ticket] = request.number;
    open_[request.number] = ticket;
    server_.tickets_[ticket] = this;
    server_.events_.on_call(ticket, std::move(request.fields), std::move(request.body));
  }

  void on_cancel(std::int32_t number) {
    const Time now = server_.host_.now();
    if (now - cancels_since_ >= kCancelsWithin) cancels_since_ = now, cancels_ = 0;
    if (++cancels_ > server_.options_.max_cancels_per_second) return hang_up("too many cancels at once");
    const auto it = open_.find(number);
    if (it == open_.end()) return;  // its answer has crossed it
    const Ticket ticket = it->second;
    open_.erase(it);
    numbers_.erase(ticket);
    server_.tickets_.erase(ticket);
    server_.events_.on_gone(ticket);
  }

  void flush() {
    if (stream_) stream_->write(scratch_);
    scratch_.clear();
  }

  Server& server_;
  std::unique_ptr<io::Connection> stream_;
  Time since_, said_;
  bool spoke_ = false;
  std::optional<Time> half_since_;
  std::int32_t highest_ = 0;
  std::map<Ticket, std::int32_t> numbers_;
  std::map<std::int32_t, Ticket> open_;
  Time cancels_since_{};
  std::size_t cancels_ = 0;
  std::string scratch_;
};

Server::Server(io::Host& host, ServerOptions options, Events& events)
    : host_(host), options_(options), events_(events), dead_(host), sweep_(host.timer([this] { sweep(); })) {}
Server::~Server() = default;

bool Server::listen(const io::Address& at) {
  io::StreamOptions options;
  options.read_ahead = 2 * (kMaxFrameBytes + kLengthBytes);
  listener_ =
      host_.listen(at, options, [this](std::unique_ptr<io::Connection> s) { return accept(std::move(s)); });
  if (listener_) sweep_->start(kSweepEvery);
  return listener_ != nullptr;
}

io::ConnectionEvents* Server::accept(std::unique_ptr<io::Connection> stream) {
  if (connections_.size() >= options_.max_connections && !make_room()) return nullptr;
  auto fresh = std::make_unique<Connection>(*this, std::move(stream));
  Connection* made = fresh.get();
  connections_[made] = std::move(fresh);
  return made;
}

// Those that never said anything go first, then the longest silent.
bool Server::make_room() {
  Connection* oldest = nullptr;
  for (const auto& [c, owned] : connections_)
    if (!c->busy() &&
        (!oldest || std::pair(c->spoke(), c->said()) < std::pair(oldest->spoke(), oldest->said())))
      oldest = c;
  if (!oldest) return false;
  events_.on_anomaly("ended a client's resting connection to make room");
  // One that has never spoken has nothing on its way; the bounded number that may linger is for the others.
  if (oldest->spoke()) oldest->finish();
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
    if (!c->busy()) idle.push_back(c);
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
  dead_.delete_later(std::move(owned));
}

void Server::sweep() {
  sweep_->start(kSweepEvery);
  const Time now = host_.now();
  std::vector<std::pair<Connection*, const char*>> overdue;
  for (const auto& [c, owned] : connections_)
    if (const char* why = c->overdue(now)) overdue.emplace_back(c, why);
  for (const auto& [c, why] : overdue)
    if (connections_.contains(c)) c->hang_up(why);
}

void Server::respond(Ticket ticket, const Reply& reply) {
  const auto it = tickets_.find(ticket);
  if (it == tickets_.end()) return;
  Connection& connection = *it->second;
  tickets_.erase(it);
  connection.answer(ticket, reply);
}

}  // namespace laureltide::front
