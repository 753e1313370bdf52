#include "http/client.h"

#include <utility>

namespace laureltide::http {

std::optional<Url> parse_url(std::string_view text) {
  constexpr std::string_view kScheme = "http://";
  if (!text.starts_with(kScheme)) return std::nullopt;
  text.remove_prefix(kScheme.size());
  const std::size_t slash = std::min(text.find('/'), text.size());
  const auto address = io::parse_address(text.substr(0, slash));
  if (!address) return std::nullopt;
  Url url{*address, "/"};
  if (slash < text.size()) url.target = text.substr(slash);
  for (const char c : url.target)
    if (c <= 0x20 || c == 0x7f) return std::nullopt;
  return url;
}

Exchange::Exchange(io::Host& host, const io::Address& to, const Request& request, Duration timeout,
                   Limits limits, Done done)
    : parser_(Parser::Side::kResponse, limits),
      done_(std::move(done)),
      timer_(host.timer([this] { finish("no answer in time"); })) {
  write(out_, request);
  if (request.method == "HEAD") parser_.expect_no_body();
  timer_->start(timeout);
  io::StreamOptions options;
  options.connect_timeout = timeout;
  connection_ = host.connect(to, options, *this);
}

void Exchange::on_open() {
  sent_ = true;
  connection_->write(std::exchange(out_, {}));
}

std::size_t Exchange::on_bytes(std::string_view bytes) {
  std::size_t used = 0;
  while (!finished_) {
    std::size_t n = 0;
    const Parser::State state = parser_.feed(bytes.substr(used), n);
    used += n;
    if (state == Parser::State::kNeedMore) return bytes.size();
    if (state == Parser::State::kInvalid) {
      finish("no HTTP answer: " + parser_.why());
    } else if (parser_.status() < 200) {
      parser_.reset();  // an interim (1xx) response
    } else {
      finish("");
    }
  }
  return bytes.size();
}

void Exchange::on_closed(io::CloseReason why) {
  if (parser_.end() == Parser::State::kDone) return finish("");
  finish(why == io::CloseReason::kNeverOpened ? "no connection" : "the connection broke before the answer");
}

void Exchange::finish(std::string why) {
  if (std::exchange(finished_, true)) return;
  timer_->stop();
  Result result;
  result.sent = sent_;
  if (why.empty()) {
    result.status = parser_.status();
    result.headers = parser_.headers();
    result.body = std::move(parser_.body());
  }
  result.why = std::move(why);
  connection_.reset();
  const Done done = std::move(done_);
  done(std::move(result));  // may destroy this object
}

}  // namespace laureltide::http
