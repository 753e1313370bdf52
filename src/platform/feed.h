// Client of the platform's event bus: server-sent events over HTTP/1.1, resumed with Last-Event-ID. Sans-I/O.
//
// EventSubscriber keeps one connection open. It reconnects when the connection breaks, when no byte arrives
// within `silence_timeout` (the bus sends a comment every second), when no response begins within
// `response_timeout`, and when the response cannot be parsed. The new connection resumes after the last event
// received. The first attempt after a break is immediate; after refusals it backs off exponentially with
// jitter. Incomplete events are dropped.
//
// When a bus falls silent, the platform counts all changes as notified 4 s later. One silence, followed by a
// second one on the next connection or by a lost dial, has to be over by then. Hence 1.8 + 1.8 s, or 1.8 +
// 0.5 + 1 s.
//
// The bus sends events in order on each connection, and comments in between. Once a comment has arrived on a
// connection, all events sent before it have been received; each later complete line confirms this again.
// Bytes that complete no line, and the response head, confirm nothing. From the last confirming line the
// subscriber derives the time before which no change counts as notified that it has not received
// (on_current_until): kNotifiedAfter later, or when the bus is asked again on a new connection, whichever
// comes first.
//
// Bounds: kMaxHeadBytes for the response head, kMaxEventBytes for a line and for an event; beyond them the
// connection is closed.
#pragma once

#include <functional>
#include <memory>

#include "base/io.h"

namespace laureltide::platform {

// A server-sent event with a numeric id.
struct Event {
  std::uint64_t id = 0;
  std::string data;
};

// Parses the bytes of a response to GET /bus/read into events, in chunks of any size.
class EventParser {
 public:
  static constexpr std::size_t kMaxHeadBytes = 16U << 10;
  static constexpr std::size_t kMaxEventBytes = 1U << 20;
  // Returns false once the bytes cannot be such a response; error() says why. It parses nothing after that.
  bool feed(std::string_view bytes, const std::function<void(Event)>& on_event);
  bool in_body() const { return state_ != State::kHead; }
  // Complete lines of the body so far, and how many of them were comments.
  std::size_t lines_read() const { return lines_read_; }
  std::size_t comments_read() const { return comments_read_; }
  const std::string& error() const { return error_; }

 private:
  enum class State { kHead, kBody, kChunkSize, kChunk, kChunkEnd, kFailed };
  bool fail(std::string reason);
  bool read_head(std::string_view head);
  bool read_lines(std::string_view bytes, const std::function<void(Event)>& on_event);
  bool read_line(std::string_view text, const std::function<void(Event)>& on_event);

  State state_ = State::kHead;
  std::string partial_;  // a response head or chunk size that is not complete yet
  std::size_t chunk_left_ = 0;
  std::string line_, data_;
  bool after_cr_ = false;
  std::optional<std::uint64_t> id_;
  std::size_t lines_read_ = 0, comments_read_ = 0;
  std::string error_;
};

// Follows the event bus. See the head of this file.
class EventSubscriber : public io::ConnectionEvents {
 public:
  struct Options {
    Duration silence_timeout = std::chrono::milliseconds(1800);  // comments come every second and may be late
    Duration line_timeout = std::chrono::seconds(5);             // limit on bytes that complete no line
    // Doubled up to the maximum each time that no response begins: an overloaded bus may need longer and
    // would otherwise never be read.
    Duration response_timeout = std::chrono::milliseconds(1000);
    Duration max_response_timeout = std::chrono::seconds(8);
    Duration dial_timeout = std::chrono::milliseconds(500);
    Duration initial_backoff = std::chrono::milliseconds(50);
    Duration max_backoff = std::chrono::milliseconds(800);
  };
  // `on_event` gets each event after `last` once, in order. It returns false for an event that cannot be
  // applied yet (a gap); the subscriber then reconnects and resumes after the last applied one.
  // `on_disconnect` gets the reason each time a connection ends.
  EventSubscriber(io::Host& host, io::Address bus, std::uint64_t last, Options options,
                  std::function<bool(const Event&)> on_event,
                  std::function<void(const std::string&)> on_disconnect);

  // When the bus is unreachable, the platform counts changes as notified 2 s after a break and 4 s after the
  // bus falls silent. This is the shorter of the two.
  static constexpr Duration kNotifiedAfter = std::chrono::seconds(2);
  // `callback` gets the time before which no change counts as notified that `on_event` has not received. The
  // time mostly increases; it falls back when the subscriber reconnects and the bus has not responded yet.
  void on_current_until(std::function<void(Time)> callback) { on_current_until_ = std::move(callback); }

  // Switches to another bus, which continues the event numbers.
  void move(const io::Address& bus);
  // Requests the events after this one again. To be called from `on_event`, which then returns false.
  void resume_from(std::uint64_t last) { last_ = last; }
  // Skips events up to this one, which were received by other means.
  void skip_to(std::uint64_t last) { last_ = std::max(last_, last); }
  std::uint64_t last() const { return last_; }
  const io::Address& bus() const { return bus_; }
  bool connected() const { return parser_.in_body(); }
  // When the last complete line (event or comment) arrived; the time of construction if none has.
  Time last_line_at() const { return last_line_at_; }

  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason reason) override;

 private:
  void dial();
  void disconnect(const std::string& reason);
  void on_silence_timeout();
  void set_current_until(Time at);

  io::Host& host_;
  io::Address bus_;
  std::uint64_t last_;
  Options options_;
  std::function<bool(const Event&)> on_event_;
  std::function<void(const std::string&)> on_disconnect_;
  EventParser parser_;
  std::unique_ptr<io::Connection> connection_;
  std::unique_ptr<io::Timer> reconnect_timer_, silence_timer_;
  std::function<void(Time)> on_current_until_;
  Duration current_response_timeout_{};  // for the current connection
  Duration backoff_{};
  Time dialed_at_{};
  Time last_line_at_{};       // last complete line on any connection
  Time last_progress_at_{};   // last complete line on this connection, else when it opened
  Time last_bytes_at_{};      // last bytes on this connection, else when it opened
  Time last_line_sent_at_{};  // earliest time at which the bus may have sent the last line
  Time current_until_{};
};

}  // namespace laureltide::platform
