// Follows a list service: connects, reads one JSON document a line, asks for a full list after a gap, and
// reconnects with jittered back-off. What it hears goes to `heard`; silence leaves the last list standing.
#pragma once

#include <functional>
#include <memory>

#include "base/io.h"

namespace laureltide::members {

class ListSubscriber : public io::ConnectionEvents {
 public:
  // `heard` is given each line; `lost` is told when the service cannot be heard, with the reason.
  ListSubscriber(io::Host& host, io::Address service, std::string name,
                 std::function<void(std::string_view)> heard, std::function<void(const std::string&)> lost);

  void request_full_list();
  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason why) override;

 private:
  static constexpr std::size_t kLongestLine = 16U << 20;
  void dial();
  void drop(const std::string& why);

  io::Host& host_;
  io::Address service_;
  std::string name_;
  std::function<void(std::string_view)> heard_;
  std::function<void(const std::string&)> lost_;
  std::unique_ptr<io::Connection> connection_;
  std::unique_ptr<io::Timer> again_;
  Duration back_off_;
  bool open_ = false;
};

}  // namespace laureltide::members
