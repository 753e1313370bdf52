#include "members/list_subscriber.h"

#include <algorithm>

namespace laureltide::members {

constexpr Duration kFirstBackOff = std::chrono::milliseconds(100);
constexpr Duration kLongestBackOff = std::chrono::seconds(5);

ListSubscriber::ListSubscriber(io::Host& host, io::Address service, std::string name,
                               std::function<void(std::string_view)> heard,
                               std::function<void(const std::string&)> lost)
    : host_(host),
      service_(std::move(service)),
      name_(std::move(name)),
      heard_(std::move(heard)),
      lost_(std::move(lost)),
      again_(host.timer([this] { dial(); })),
      back_off_(kFirstBackOff) {
  again_->start(Duration(0));
}

void ListSubscriber::dial() {
  io::StreamOptions options;
  options.read_ahead = kLongestLine + 1;
  connection_ = host_.connect(service_, options, *this);
}

void ListSubscriber::on_open() {
  open_ = true;
  connection_->write("{\"follow\":\"" + name_ + "\"}\n");
}

void ListSubscriber::request_full_list() {
  if (open_) connection_->write("{\"want\":\"full\"}\n");
}

std::size_t ListSubscriber::on_bytes(std::string_view bytes) {
  std::size_t used = 0;
  for (std::size_t end; (end = bytes.find('\n', used)) != std::string_view::npos; used = end + 1) {
    back_off_ = kFirstBackOff;
    heard_(bytes.substr(used, end - used));
  }
  if (bytes.size() - used >= kLongestLine) {
    drop("a line over 16 MiB");
    return bytes.size();
  }
  return used;
}

void ListSubscriber::on_closed(io::CloseReason why) {
  drop(why == io::CloseReason::kNeverOpened ? "no connection to the list service"
                                            : "the list service hung up");
}

void ListSubscriber::drop(const std::string& why) {
  open_ = false;
  connection_.reset();
  lost_(why);
  // Jittered over the whole span: hundreds of controllers must not come back at once.
  const double share = 0.5 + host_.random_unit() / 2;
  again_->start(std::chrono::duration_cast<Duration>(back_off_ * share));
  back_off_ = std::min(back_off_ * 2, kLongestBackOff);
}

}  // namespace laureltide::members
