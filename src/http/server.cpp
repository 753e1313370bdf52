#include "http/server.h"

#include <algorithm>
#include <utility>

namespace laureltide::http {

constexpr std::size_t kMaxBufferedBytes = 64U << 10;  // pipelined bytes after which reading pauses

class Server::Connection : public io::ConnectionEvents {
 public:
  Connection(Server& server, std::unique_ptr<io::Connection> stream)
      : server_(server),
        stream_(std::move(stream)),
        parser_(Parser::Side::kRequest, server.options_.limits),
        timer_(server.host_.timer([this] { on_timeout(); })) {
    timer_->start(server.options_.idle_timeout);
  }

  std::size_t on_bytes(std::string_view bytes) override {
    buffer_.append(bytes);
    if (ticket_ == 0) read();
    if (!ended_ && ticket_ != 0 && buffer_.size() > kMaxBufferedBytes) stream_->read(reading_ = false);
    return bytes.size();
  }
  void on_closed(io::CloseReason) override { on_disconnect(); }

  void respond(Response response) {
    const bool head_only = std::exchange(head_only_, false);
    response.close = response.close || !keep_alive_ || server_.draining_;
    ticket_ = 0;
    std::string out;
    write(out, response, head_only);
    stream_->write(out);
    if (response.close) return finish();
    parser_.reset();
    response_unread_ = true;
    timer_->start(std::min(server_.options_.write_timeout, server_.options_.idle_timeout));
    if (!reading_) stream_->read(reading_ = true);
    read();
  }
  void drain() {
    if (ticket_ == 0 && !parser_.started()) finish();
  }
  Ticket ticket() const { return ticket_; }

 private:
  void read() {
    if (std::exchange(in_read_, true)) return;  // respond() from within on_request: the outer call continues
    while (!ended_ && ticket_ == 0 && !buffer_.empty()) {
      const bool before_first_byte = !parser_.started();
      const bool head_was_complete = parser_.head_complete();
      std::size_t used = 0;
      const Parser::State state = parser_.feed(buffer_, used);
      buffer_.erase(0, used);
      if (state == Parser::State::kInvalid) {
        reject(parser_.error(), parser_.why());
        break;
      }
      if (state == Parser::State::kNeedMore) {
        if (parser_.started()) response_unread_ = false;
        if (!head_was_complete && parser_.head_complete()) {
          if (parser_.expects_continue()) stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
          timer_->start(server_.options_.body_timeout);
        } else if (before_first_byte && parser_.started()) {
          timer_->start(server_.options_.header_timeout);
        }
        if (used == 0) break;
        continue;
      }
      timer_->stop();
      keep_alive_ = parser_.request().keep_alive();
      head_only_ = parser_.request().method == "HEAD";
      ticket_ = server_.next_++;
      server_.tickets_[ticket_] = this;
      server_.events_.on_request(ticket_, std::move(parser_.request()));
    }
    in_read_ = false;
  }
  // Answers with an error and closes: the end of the invalid message is unknown, so nothing after it is
  // parsed.
  void reject(int status, const std::string& why) {
    Response response;
    response.status = status;
    response.close = true;
    response.headers.add("Content-Type", "application/problem+json");
    response.body = server_.events_.on_invalid_request(status, why);
    std::string out;
    write(out, response);
    stream_->write(out);
    finish();
  }
  void on_timeout() {
    if (ended_) return;
    if (parser_.started() && ticket_ == 0)
      return reject(
          408, parser_.head_complete() ? "the body did not come in time" : "the head did not come in time");
    if (std::exchange(response_unread_, false) &&
        stream_->unsent() == 0)  // the response was sent: idle since
      return timer_->start(
          std::max(Duration(0), server_.options_.idle_timeout - server_.options_.write_timeout));
    on_disconnect();  // idle, or the client does not read its response
  }
  void finish() {
    if (std::exchange(ended_, true)) return;
    timer_->stop();
    stream_->finish();
    server_.drop(*this);
  }
  void on_disconnect() {
    if (std::exchange(ended_, true)) return;
    timer_->stop();
    if (const Ticket ticket = std::exchange(ticket_, 0)) {
      server_.tickets_.erase(ticket);
      server_.events_.on_client_disconnected(ticket);
    }
    server_.drop(*this);
  }

  Server& server_;
  std::unique_ptr<io::Connection> stream_;
  Parser parser_;
  std::unique_ptr<io::Timer> timer_;
  std::string buffer_;
  Ticket ticket_ = 0;
  bool keep_alive_ = true, head_only_ = false, reading_ = true, ended_ = false, in_read_ = false,
       response_unread_ = false;
};

Server::Server(io::Host& host, ServerOptions options, Events& events)
    : host_(host), options_(options), events_(events), dead_(host) {}
Server::~Server() {
  listener_.reset();
  connections_.clear();
}

bool Server::listen(const io::Address& at) {
  io::StreamOptions stream;
  listener_ = host_.listen(at, stream, [this](std::unique_ptr<io::Connection> c) -> io::ConnectionEvents* {
    if (draining_ || connections_.size() >= options_.max_connections) return nullptr;
    auto connection = std::make_unique<Connection>(*this, std::move(c));
    Connection* raw = connection.get();
    connections_[raw] = std::move(connection);
    return raw;
  });
  return listener_ != nullptr;
}

void Server::respond(Ticket ticket, Response response) {
  const auto it = tickets_.find(ticket);
  if (it == tickets_.end()) return;  // the client has disconnected
  Connection* connection = it->second;
  tickets_.erase(it);
  connection->respond(std::move(response));
}

void Server::drain() {
  draining_ = true;
  listener_.reset();
  std::vector<Connection*> all;
  for (auto& [raw, connection] : connections_) all.push_back(raw);
  for (Connection* each : all) each->drain();
}

void Server::drop(Connection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  auto removed = std::move(it->second);
  connections_.erase(it);
  dead_.delete_later(std::move(removed));
}

}  // namespace laureltide::http
