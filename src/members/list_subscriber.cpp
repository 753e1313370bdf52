#include "members/list_subscriber.h"

#include <algorithm>

namespace laureltide::members {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(5);

ListSubscriber::ListSubscriber(io::Host& host, io::Address service, std::string name,
                               std::function<void(std::string_view)> on_line,
                               std::function<void(const std::string&)> on_disconnect)
    : host_(host),
      service_(std::move(service)),
      name_(std::move(name)),
      on_line_(std::move(on_line)),
      on_disconnect_(std::move(on_disconnect)),
      reconnect_timer_(host.timer([this] { dial(); })),
      backoff_(kInitialBackoff) {
  reconnect_timer_->start(Duration(0));
}

void ListSubscriber::dial() {
  io::StreamOptions options;
  options.read_ahead = kMaxLineBytes + 1;
  connection_ = host_.connect(service_, options, *this);
}

void ListSubscriber::on_open() {
  connected_ = true;
  connection_->write("{\"follow\":\"" + name_ + "\"}\n");
}

void ListSubscriber::request_full_list() {
  if (connected_) connection_->write("{\"want\":\"full\"}\n");
}

std::size_t ListSubscriber::on_bytes(std::string_view bytes) {
  std::size_t used = 0;
  for (std::size_t end; (end = bytes.find('\n', used)) != std::string_view::npos; used = end + 1) {
    backoff_ = kInitialBackoff;
    on_line_(bytes.substr(used, end - used));
  }
  if (bytes.size() - used >= kMaxLineBytes) {
    disconnect("line exceeds 16 MiB");
    return bytes.size();
  }
  return used;
}

void ListSubscriber::on_closed(io::CloseReason reason) {
  disconnect(reason == io::CloseReason::kNeverOpened ? "cannot connect to the list service"
                                                     : "list service closed the connection");
}

void ListSubscriber::disconnect(const std::string& reason) {
  connected_ = false;
  connection_.reset();
  on_disconnect_(reason);
  // Jittered so that hundreds of controllers don't reconnect at the same moment.
  const double jitter = 0.5 + host_.random_unit() / 2;
  reconnect_timer_->start(std::chrono::duration_cast<Duration>(backoff_ * jitter));
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

}  // namespace laureltide::members
