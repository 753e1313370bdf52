#include "worker/server.h"

#include <utility>

namespace laureltide::worker {

constexpr Duration kHelloWithin = std::chrono::seconds(5);  // for a half-open client

Session::Session(io::Host& host, Hello mine, SessionEvents& events)
    : mine_(std::move(mine)), events_(events) {
  patience_ = host.timer([this] { fail(kUnexpected, "no hello in time"); });
}

void Session::on_open() {
  patience_->start(kHelloWithin);
  send(mine_);
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
    const ParseResult r = parse(bytes.substr(used), greeted_ ? mine_.max_frame : kHelloMaxFrame);
    if (r.kind == ParseResult::Kind::kNeedMore) return used;
    if (r.kind == ParseResult::Kind::kBad) {
      fail(r.code, r.why);
      break;
    }
    used += r.size;
    auto& message = const_cast<Message&>(r.message);
    if (const auto* hello = std::get_if<Hello>(&message)) {
      if (greeted_ || hello->major != kMajor) {
        fail(greeted_ ? kUnexpected : kVersion, greeted_ ? "a second hello" : "this worker speaks version 1");
        break;
      }
      greeted_ = true;
      patience_->stop();
      peer_ = *hello;
      events_.on_hello(*this, *hello);
      continue;
    }
    if (!greeted_) {
      fail(kUnexpected, "no hello first");
      break;
    }
    if (const auto* call = std::get_if<Call>(&message)) {
      if (draining_) continue;  // it was told: nothing above the last id was taken
      if (call->id != last_call_ + 1) {
        fail(kUnexpected, "call ids rise by one");
        break;
      }
      last_call_ = call->id;
    } else if (std::holds_alternative<Answer>(message) || std::holds_alternative<Piece>(message) ||
               std::holds_alternative<Held>(message) || std::holds_alternative<Probed>(message) ||
               std::holds_alternative<Drain>(message)) {
      fail(kUnexpected, "a worker's message from a controller");
      break;
    } else if (std::holds_alternative<Error>(message)) {
      continue;  // it closes behind this
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
  patience_->stop();
  events_.on_end(*this);
}

}  // namespace laureltide::worker
