#include "platform/feed.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace laureltide::platform {
namespace {

constexpr std::size_t kMaxChunkSizeLineBytes = 64;
// The bus sends a comment every second. A line read much later than this after the previous one may have
// waited in the receive buffer, so it counts as sent no later than this after the previous one.
constexpr Duration kMaxLineInterval = std::chrono::milliseconds(1500);

std::optional<std::uint64_t> parse_number(std::string_view text, int base = 10) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc{} || end == text.data() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

bool equal_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
  });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
    text.remove_suffix(1);
  return text;
}

}  // namespace

bool EventParser::fail(std::string reason) {
  state_ = State::kFailed, error_ = std::move(reason);
  return false;
}

bool EventParser::feed(std::string_view bytes, const std::function<void(Event)>& on_event) {
  while (!bytes.empty()) switch (state_) {
      case State::kHead: {
        const std::size_t before = partial_.size();
        partial_ += bytes.substr(0, kMaxHeadBytes + 1 - std::min(kMaxHeadBytes, before));
        const std::size_t end = partial_.find("\r\n\r\n");
        if (end == std::string::npos) {
          if (partial_.size() > kMaxHeadBytes) return fail("a head over its bound");
          return true;
        }
        bytes.remove_prefix(end + 4 - before);
        if (!read_head(std::string_view(partial_).substr(0, end))) return false;
        partial_.clear();
        break;
      }
      case State::kBody: return read_lines(bytes, on_event);
      case State::kChunkSize:
      case State::kChunkEnd: {
        const std::size_t end = bytes.find('\n');
        partial_ += bytes.substr(0, std::min(end, kMaxChunkSizeLineBytes));
        if (partial_.size() > kMaxChunkSizeLineBytes) return fail("a chunk's size over its bound");
        if (end == std::string_view::npos) return true;
        bytes.remove_prefix(end + 1);
        const std::string text = std::exchange(partial_, {});
        if (state_ == State::kChunkEnd) {
          if (!trimmed(text).empty()) return fail("a chunk longer than it says");
          state_ = State::kChunkSize;
          break;
        }
        const auto size = parse_number(trimmed(std::string_view(text).substr(0, text.find(';'))), 16);
        if (!size) return fail("a chunk's size is no number");
        if (*size == 0) return fail("the bus ended its answer");
        chunk_left_ = *size, state_ = State::kChunk;
        break;
      }
      case State::kChunk: {
        const std::size_t n = std::min(chunk_left_, bytes.size());
        if (!read_lines(bytes.substr(0, n), on_event)) return false;
        bytes.remove_prefix(n);
        chunk_left_ -= n;
        if (chunk_left_ == 0) state_ = State::kChunkEnd;
        break;
      }
      case State::kFailed: return false;
    }
  return true;
}

bool EventParser::read_head(std::string_view head) {
  const std::string_view status = head.substr(0, head.find("\r\n"));
  if (!status.starts_with("HTTP/1.") || status.size() < 12 || status.substr(8, 4) != " 200")
    return fail("answered '" + std::string(status.substr(0, 60)) + "'");
  state_ = State::kBody;
  while (!head.empty()) {
    const std::size_t end = head.find("\r\n");
    const std::string_view header = head.substr(0, end);
    head = end == std::string_view::npos ? std::string_view{} : head.substr(end + 2);
    const std::size_t colon = header.find(':');
    if (colon == std::string_view::npos) continue;
    if (equal_ignoring_case(header.substr(0, colon), "transfer-encoding") &&
        equal_ignoring_case(trimmed(header.substr(colon + 1)), "chunked"))
      state_ = State::kChunkSize;
  }
  return true;
}

// Splits the body into lines, which end in LF, CR LF or CR.
bool EventParser::read_lines(std::string_view bytes, const std::function<void(Event)>& on_event) {
  while (!bytes.empty()) {
    if (std::exchange(after_cr_, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const std::size_t end = bytes.find_first_of("\r\n");
    const std::string_view part = bytes.substr(0, end);
    if (line_.size() + part.size() + data_.size() > kMaxEventBytes) return fail("an event over its bound");
    line_ += part;
    if (end == std::string_view::npos) return true;
    after_cr_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    if (!read_line(std::exchange(line_, {}), on_event)) return false;
  }
  return true;
}

bool EventParser::read_line(std::string_view text, const std::function<void(Event)>& on_event) {
  ++lines_read_;
  if (text.starts_with(':')) ++comments_read_;
  if (text.empty()) {
    if (!data_.empty() && id_) on_event({*id_, std::exchange(data_, {})});
    data_.clear(), id_.reset();
    return state_ != State::kFailed;
  }
  const std::size_t colon = text.find(':');
  const std::string_view name = text.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? std::string_view{} : text.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (name == "id") {
    id_ = parse_number(value);
    if (!id_) return fail("an event's id is no number");
  } else if (name == "data") {
    if (!data_.empty()) data_ += '\n';
    data_ += value;
  }
  return true;
}

EventSubscriber::EventSubscriber(io::Host& host, io::Address bus, std::uint64_t last, Options options,
                                 std::function<bool(const Event&)> on_event,
                                 std::function<void(const std::string&)> on_disconnect)
    : host_(host),
      bus_(std::move(bus)),
      last_(last),
      options_(options),
      on_event_(std::move(on_event)),
      on_disconnect_(std::move(on_disconnect)),
      reconnect_timer_(host.timer([this] { dial(); })),
      silence_timer_(host.timer([this] { on_silence_timeout(); })),
      current_response_timeout_(options.response_timeout),
      last_line_at_(host.now()),
      current_until_(host.now()) {  // the initial list was current at startup
  reconnect_timer_->start(Duration(0));
}

void EventSubscriber::move(const io::Address& bus) {
  bus_ = bus;
  connection_.reset();
  backoff_ = {};
  dial();
}

void EventSubscriber::dial() {
  reconnect_timer_->stop();
  parser_ = {};
  dialed_at_ = host_.now();
  io::StreamOptions options;
  options.connect_timeout = options_.dial_timeout;
  options.read_ahead = 64U << 10;
  connection_ = host_.connect(bus_, options, *this);
  silence_timer_->start(options_.dial_timeout + current_response_timeout_);
}

void EventSubscriber::on_open() {
  silence_timer_->start(current_response_timeout_);
  last_progress_at_ = last_bytes_at_ = last_line_sent_at_ = host_.now();
  set_current_until(std::min(current_until_, host_.now()));
  connection_->write("GET /bus/read HTTP/1.1\r\nHost: " + bus_.text() +
                     "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(last_) + "\r\n\r\n");
}

std::size_t EventSubscriber::on_bytes(std::string_view bytes) {
  bool gap = false;
  const std::size_t lines = parser_.lines_read();
  const bool was_in_body = parser_.in_body();  // the head may take longer than silence_timeout
  const bool ok = parser_.feed(bytes, [&](const Event& event) {
    if (gap || event.id <= last_) return;  // duplicate
    gap = !on_event_(event);
    if (!gap) last_ = event.id;
  });
  const Time now = host_.now();
  const bool read_late = was_in_body && now - last_bytes_at_ > options_.silence_timeout;
  last_bytes_at_ = now;
  if (parser_.lines_read() > lines) {
    last_line_at_ = last_progress_at_ = now;
    last_line_sent_at_ = std::min(now, last_line_sent_at_ + kMaxLineInterval);
    current_response_timeout_ = options_.response_timeout;
  }
  silence_timer_->start(parser_.in_body() ? options_.silence_timeout : current_response_timeout_);
  if (!ok)
    disconnect(parser_.error());
  else if (gap)
    disconnect("a number is missing");
  else if (read_late)
    disconnect("read late: what was said meanwhile is asked for");
  else if (now - last_progress_at_ > options_.line_timeout)
    disconnect("bytes that make no line");
  else if (parser_.comments_read() > 0)
    set_current_until(last_line_sent_at_ + kNotifiedAfter);
  return bytes.size();
}

void EventSubscriber::on_closed(io::CloseReason reason) {
  disconnect(reason == io::CloseReason::kNeverOpened ? "no connection to the bus" : "the bus hung up");
}

void EventSubscriber::on_silence_timeout() {
  if (parser_.in_body()) return disconnect("silent");
  current_response_timeout_ = std::min(2 * current_response_timeout_, options_.max_response_timeout);
  disconnect("no answer");
}

void EventSubscriber::set_current_until(Time at) {
  if (at == current_until_) return;
  current_until_ = at;
  if (on_current_until_) on_current_until_(at);
}

void EventSubscriber::disconnect(const std::string& reason) {
  connection_.reset();
  silence_timer_->stop();
  on_disconnect_(reason);
  if (host_.now() - dialed_at_ >= options_.silence_timeout / 2) backoff_ = {};  // the connection had worked
  // Immediate if the connection had worked; otherwise jittered, so that controllers do not reconnect in step.
  reconnect_timer_->start(std::chrono::duration_cast<Duration>(backoff_ * (0.5 + host_.random_unit() / 2)));
  backoff_ = std::clamp(backoff_ * 2, options_.initial_backoff, options_.max_backoff);
}

}  // namespace laureltide::platform
