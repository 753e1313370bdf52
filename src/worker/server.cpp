#include "worker/server.h"

#include <utility>

namespace laureltide::worker {

constexpr Duration kHelloTimeout = std::chrono::seconds(5);  // bounds half-open connections

Session::Session(io::Host& host, Hello mine, SessionEvents& events)
    : own_hello_(std::move(mine)), events_(events) {
  hello_timer_ = host.timer([this] { fail(kUnexpected, "no hello in time"); });
}

void Session::on_open() {
  hello_timer_->start(kHelloTimeout);
  send(own_hello_);
}

void Session::send(const Message& message) {
  if (ended_ || !connection_) return;
  scratch_.clear();
  write(scratch_, message);
  connection_->write(scratch_);
}

void Session::send_raw(std::string_view bytes) {
  if (!ended_ && connection_) connection_->write(bytes);
}

void Session::drain() {
  if (std::exchange(draining_, true)) return;
  send(Drain{last_call_});
}

void Session::abort() {
  connection_.reset();
  end();
}

std::size_t Session::on_bytes(std::string_view bytes) {
  std::size_t used = 0;
  while (!ended_) {
    const ParseResult r = parse(bytes.substr(used), hello_received_ ? own_hello_.max_frame : kHelloMaxFrame);
    if (r.kind == ParseResult::Kind::kNeedMore) return used;
    if (r.kind == ParseResult::Kind::kBad) {
      fail(r.code, r.why);
      break;
    }
    used += r.size;
    auto& message = const_cast<Message&>(r.message);
    if (const auto* hello = std::get_if<Hello>(&message)) {
      if (hello_received_ || hello->major != kMajor) {
        fail(hello_received_ ? kUnexpected : kVersion,
             hello_received_ ? "a second hello" : "this worker supports version 1 only");
        break;
      }
      hello_received_ = true;
      hello_timer_->stop();
      peer_ = *hello;
      events_.on_hello(*this, *hello);
      continue;
    }
    if (!hello_received_) {
      fail(kUnexpected, "a message before the hello");
      break;
    }
    if (const auto* call = std::get_if<Call>(&message)) {
      if (draining_) continue;  // the drain message already rejected it
      if (call->id != last_call_ + 1) {
        fail(kUnexpected, "call ids must increase by one");
        break;
      }
      last_call_ = call->id;
    } else if (std::holds_alternative<Answer>(message) || std::holds_alternative<Piece>(message) ||
               std::holds_alternative<Held>(message) || std::holds_alternative<Probed>(message) ||
               std::holds_alternative<Drain>(message)) {
      fail(kUnexpected, "a message type that only workers send");
      break;
    } else if (std::holds_alternative<Error>(message)) {
      continue;  // the controller closes the connection after it
    }
    events_.on_message(*this, std::move(message));
  }
  return bytes.size();
}

void Session::fail(ErrorCode code, std::string_view why) {
  send(Error{code, std::string(why)});
  if (connection_) connection_->finish();
  end();
}

void Session::on_closed(io::CloseReason) { end(); }

void Session::end() {
  if (std::exchange(ended_, true)) return;
  hello_timer_->stop();
  events_.on_end(*this);
}

}  // namespace laureltide::worker
