// Subscribes to a list service: connects, reads one JSON document per line, requests a full list after a gap,
// and reconnects with jittered exponential backoff. While the service is unreachable the last list stays in
// force.
#pragma once

#include <functional>
#include <memory>

#include "base/io.h"

namespace laureltide::members {

class ListSubscriber : public io::ConnectionEvents {
 public:
  // `on_line` gets each line. `on_disconnect` gets the reason whenever the connection fails or ends.
  ListSubscriber(io::Host& host, io::Address service, std::string name,
                 std::function<void(std::string_view)> on_line,
                 std::function<void(const std::string&)> on_disconnect);

  // Does nothing while disconnected.
  void request_full_list();
  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason reason) override;

 private:
  static constexpr std::size_t kMaxLineBytes = 16U << 20;
  void dial();
  void disconnect(const std::string& reason);

  io::Host& host_;
  io::Address service_;
  std::string name_;
  std::function<void(std::string_view)> on_line_;
  std::function<void(const std::string&)> on_disconnect_;
  std::unique_ptr<io::Connection> connection_;
  std::unique_ptr<io::Timer> reconnect_timer_;
  Duration backoff_;
  bool connected_ = false;
};

}  // namespace laureltide::members
