#include "platform/feed.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace laureltide::platform {
namespace {

constexpr std::size_t kMostSizeLine = 64;  // of a chunk
// The bus comments each second. A line that is read much later than this after the one before may have lain
// in the machine's buffer meanwhile: it counts as said no later than this.
constexpr Duration kBetweenLines = std::chrono::milliseconds(1500);

std::optional<std::uint64_t> number(std::string_view text, int base = 10) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc{} || end == text.data() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

bool same_word(std::string_view a, std::string_view b) {
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

bool EventParser::bad(std::string why) {
  state_ = State::kOver, why_ = std::move(why);
  return false;
}

bool EventParser::feed(std::string_view bytes, const std::function<void(Event)>& heard) {
  while (!bytes.empty()) switch (state_) {
      case State::kHead: {
        const std::size_t before = held_.size();
        held_ += bytes.substr(0, kMostHead + 1 - std::min(kMostHead, before));
        const std::size_t end = held_.find("\r\n\r\n");
        if (end == std::string::npos) {
          if (held_.size() > kMostHead) return bad("a head over its bound");
          return true;
        }
        bytes.remove_prefix(end + 4 - before);
        if (!read_head(std::string_view(held_).substr(0, end))) return false;
        held_.clear();
        break;
      }
      case State::kBody: return lines(bytes, heard);
      case State::kChunkSize:
      case State::kChunkEnd: {
        const std::size_t end = bytes.find('\n');
        held_ += bytes.substr(0, std::min(end, kMostSizeLine));
        if (held_.size() > kMostSizeLine) return bad("a chunk's size over its bound");
        if (end == std::string_view::npos) return true;
        bytes.remove_prefix(end + 1);
        const std::string text = std::exchange(held_, {});
        if (state_ == State::kChunkEnd) {
          if (!trimmed(text).empty()) return bad("a chunk longer than it says");
          state_ = State::kChunkSize;
          break;
        }
        const auto size = number(trimmed(std::string_view(text).substr(0, text.find(';'))), 16);
        if (!size) return bad("a chunk's size is no number");
        if (*size == 0) return bad("the bus ended its answer");
        chunk_left_ = *size, state_ = State::kChunk;
        break;
      }
      case State::kChunk: {
        const std::size_t n = std::min(chunk_left_, bytes.size());
        if (!lines(bytes.substr(0, n), heard)) return false;
        bytes.remove_prefix(n);
        chunk_left_ -= n;
        if (chunk_left_ == 0) state_ = State::kChunkEnd;
        break;
      }
      case State::kOver: return false;
    }
  return true;
}

bool EventParser::read_head(std::string_view head) {
  const std::string_view status = head.substr(0, head.find("\r\n"));
  if (!status.starts_with("HTTP/1.") || status.size() < 12 || status.substr(8, 4) != " 200")
    return bad("answered '" + std::string(status.substr(0, 60)) + "'");
  state_ = State::kBody;
  while (!head.empty()) {
    const std::size_t end = head.find("\r\n");
    const std::string_view header = head.substr(0, end);
    head = end == std::string_view::npos ? std::string_view{} : head.substr(end + 2);
    const std::size_t colon = header.find(':');
    if (colon == std::string_view::npos) continue;
    if (same_word(header.substr(0, colon), "transfer-encoding") &&
        same_word(trimmed(header.substr(colon + 1)), "chunked"))
      state_ = State::kChunkSize;
  }
  return true;
}

// Lines end in LF, CR LF or CR.
bool EventParser::lines(std::string_view bytes, const std::function<void(Event)>& heard) {
  while (!bytes.empty()) {
    if (std::exchange(after_cr_, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const std::size_t end = bytes.find_first_of("\r\n");
    const std::string_view part = bytes.substr(0, end);
    if (line_.size() + part.size() + data_.size() > kMostEvent) return bad("an event over its bound");
    line_ += part;
    if (end == std::string_view::npos) return true;
    after_cr_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    if (!line(std::exchange(line_, {}), heard)) return false;
  }
  return true;
}

bool EventParser::line(std::string_view text, const std::function<void(Event)>& heard) {
  ++lines_read_;
  if (text.starts_with(':')) ++comments_read_;
  if (text.empty()) {
    if (!data_.empty() && id_) heard({*id_, std::exchange(data_, {})});
    data_.clear(), id_.reset();
    return state_ != State::kOver;
  }
  const std::size_t colon = text.find(':');
  const std::string_view name = text.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? std::string_view{} : text.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (name == "id") {
    id_ = number(value);
    if (!id_) return bad("an event's id is no number");
  } else if (name == "data") {
    if (!data_.empty()) data_ += '\n';
    data_ += value;
  }
  return true;
}

EventSubscriber::EventSubscriber(io::Host& host, io::Address bus, std::uint64_t last, Options options,
                                 std::function<bool(const Event&)> heard,
                                 std::function<void(const std::string&)> lost)
    : host_(host),
      bus_(std::move(bus)),
      last_(last),
      options_(options),
      heard_(std::move(heard)),
      lost_(std::move(lost)),
      timer_(host.timer([this] { dial(); })),
      silence_(host.timer([this] { on_silence(); })),
      answer_wait_(options.answer_within),
      heard_at_(host.now()),
      current_until_(host.now()) {  // what is held was so at the start
  timer_->start(Duration(0));
}

void EventSubscriber::move(const io::Address& bus) {
  bus_ = bus;
  connection_.reset();
  back_off_ = {};
  dial();
}

void EventSubscriber::dial() {
  timer_->stop();
  parser_ = {};
  dialed_ = host_.now();
  io::StreamOptions options;
  options.connect_timeout = options_.dial_timeout;
  options.read_ahead = 64U << 10;
  connection_ = host_.connect(bus_, options, *this);
  silence_->start(options_.dial_timeout + answer_wait_);
}

void EventSubscriber::on_open() {
  silence_->start(answer_wait_);
  line_or_ask_at_ = bytes_at_ = said_at_ = host_.now();
  set_current_until(std::min(current_until_, host_.now()));
  connection_->write("GET /bus/read HTTP/1.1\r\nHost: " + bus_.text() +
                     "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(last_) + "\r\n\r\n");
}

std::size_t EventSubscriber::on_bytes(std::string_view bytes) {
  bool gap = false;
  const std::size_t lines = parser_.lines_read();
  const bool was_in_body = parser_.in_body();  // the head may take longer than lines may
  const bool well = parser_.feed(bytes, [&](const Event& event) {
    if (gap || event.id <= last_) return;  // told twice
    gap = !heard_(event);
    if (!gap) last_ = event.id;
  });
  const Time now = host_.now();
  const bool read_late = was_in_body && now - bytes_at_ > options_.silent;
  bytes_at_ = now;
  if (parser_.lines_read() > lines) {
    heard_at_ = line_or_ask_at_ = now;
    said_at_ = std::min(now, said_at_ + kBetweenLines);
    answer_wait_ = options_.answer_within;
  }
  silence_->start(parser_.in_body() ? options_.silent : answer_wait_);
  if (!well)
    drop(parser_.why());
  else if (gap)
    drop("a number is missing");
  else if (read_late)
    drop("read late: what was said meanwhile is asked for");
  else if (now - line_or_ask_at_ > options_.line_within)
    drop("bytes that make no line");
  else if (parser_.comments_read() > 0)
    set_current_until(said_at_ + kToldAfter);
  return bytes.size();
}

void EventSubscriber::on_closed(io::CloseReason why) {
  drop(why == io::CloseReason::kNeverOpened ? "no connection to the bus" : "the bus hung up");
}

void EventSubscriber::on_silence() {
  if (parser_.in_body()) return drop("silent");
  answer_wait_ = std::min(2 * answer_wait_, options_.longest_answer_within);
  drop("no answer");
}

void EventSubscriber::set_current_until(Time at) {
  if (at == current_until_) return;
  current_until_ = at;
  if (current_) current_(at);
}

void EventSubscriber::drop(const std::string& why) {
  connection_.reset();
  silence_->stop();
  lost_(why);
  if (host_.now() - dialed_ >= options_.silent / 2) back_off_ = {};  // it had worked
  // At once after a break of what had worked; then jittered, so that controllers do not come back in step.
  timer_->start(std::chrono::duration_cast<Duration>(back_off_ * (0.5 + host_.random_unit() / 2)));
  back_off_ = std::clamp(back_off_ * 2, options_.first_back_off, options_.longest_back_off);
}

}  // namespace laureltide::platform
