// The platform's event bus: server-sent events over HTTP/1.1, followed with Last-Event-ID. Sans-I/O.
//
// Follower keeps one connection. It ends at a break, at `silent` without a byte (the bus comments each
// second), when no answer has begun within `answer_within`, and at anything that cannot be read; the next one
// asks from the last event held. The first try after a break is made at once, those after refusals with
// jittered back-off. Half an event is no event.
//
// A bus that falls silent counts as having told all 4 s later: a silence, and a second one on the very next
// connection or a dial that is lost, must be over by then. Hence 1.8 + 1.8 s, or 1.8 + 0.5 + 1 s.
//
// What the bus tells is told to its connections in order, and it comments between events. So once it has
// commented on a connection, all that it told before is held, and each whole line after that says so again;
// bytes that never make a line, and the head of an answer, say nothing. From the last such line the follower
// derives since when a change that is not held may count as told (`current`): kToldAfter later, or when the
// bus is asked anew, whichever comes first.
//
// Bounds: a head of kMostHead, a line and an event of kMostEvent bytes; over them the connection ends.
#pragma once

#include <functional>
#include <memory>

#include "base/io.h"

namespace laureltide::platform {

struct Event {
  std::uint64_t id = 0;
  std::string data;
};

// The bytes of a response to GET /bus/read, in any cuts, to events. After false it takes nothing more.
class EventParser {
 public:
  static constexpr std::size_t kMostHead = 16U << 10;
  static constexpr std::size_t kMostEvent = 1U << 20;
  // False when the bytes can be no such response; why() tells.
  bool feed(std::string_view bytes, const std::function<void(Event)>& heard);
  bool in_body() const { return state_ != State::kHead; }
  // Whole lines of the body so far, and how many of them were comments.
  std::size_t lines_read() const { return lines_read_; }
  std::size_t comments_read() const { return comments_read_; }
  const std::string& why() const { return why_; }

 private:
  enum class State { kHead, kBody, kChunkSize, kChunk, kChunkEnd, kOver };
  bool bad(std::string why);
  bool read_head(std::string_view head);
  bool lines(std::string_view bytes, const std::function<void(Event)>& heard);
  bool line(std::string_view text, const std::function<void(Event)>& heard);

  State state_ = State::kHead;
  std::string held_;  // a head or a chunk's size, until it is whole
  std::size_t chunk_left_ = 0;
  std::string line_, data_;
  bool after_cr_ = false;
  std::optional<std::uint64_t> id_;
  std::size_t lines_read_ = 0, comments_read_ = 0;
  std::string why_;
};

class EventSubscriber : public io::ConnectionEvents {
 public:
  struct Options {
    Duration silent = std::chrono::milliseconds(1800);  // a comment is late by most of a second
    Duration line_within = std::chrono::seconds(5);     // bytes that make no line for so long: a break
    // Doubled up to the longest each time that no answer begins: a crowded bus may need longer, and would
    // else never be heard.
    Duration answer_within = std::chrono::milliseconds(1000);
    Duration longest_answer_within = std::chrono::seconds(8);
    Duration dial_timeout = std::chrono::milliseconds(500);
    Duration first_back_off = std::chrono::milliseconds(50);
    Duration longest_back_off = std::chrono::milliseconds(800);
  };
  // `heard` is given each event once, in order, above `last`. It returns false for one that cannot be taken
  // yet (a gap): the bus is asked again from the last one held. `lost` is told why a connection ended.
  EventSubscriber(io::Host& host, io::Address bus, std::uint64_t last, Options options,
                  std::function<bool(const Event&)> heard, std::function<void(const std::string&)> lost);

  // The shortest of the platform's times after which what a bus out of reach would tell counts as told: 2 s
  // after a break, 4 s after it falls silent.
  static constexpr Duration kToldAfter = std::chrono::seconds(2);
  // `current` is given the time before which no change can count as told that has not been given to `heard`.
  // It mostly rises; it falls back when the bus is asked anew and has not answered yet.
  void on_current_until(std::function<void(Time)> current) { current_ = std::move(current); }

  // Another bus from now on; the numbers go on.
  void move(const io::Address& bus);
  // Events behind this one are told again. From within `heard`, which then returns false.
  void resume_from(std::uint64_t last) { last_ = last; }
  // Events up to this one came by another way.
  void skip_to(std::uint64_t last) { last_ = std::max(last_, last); }
  std::uint64_t last() const { return last_; }
  const io::Address& bus() const { return bus_; }
  bool connected() const { return parser_.in_body(); }
  // When the bus last said a whole line, an event or a comment; the start of the watch where it has not.
  Time last_line_at() const { return heard_at_; }

  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason why) override;

 private:
  void dial();
  void drop(const std::string& why);
  void on_silence();
  void set_current_until(Time at);

  io::Host& host_;
  io::Address bus_;
  std::uint64_t last_;
  Options options_;
  std::function<bool(const Event&)> heard_;
  std::function<void(const std::string&)> lost_;
  EventParser parser_;
  std::unique_ptr<io::Connection> connection_;
  std::unique_ptr<io::Timer> timer_, silence_;
  std::function<void(Time)> current_;
  Duration answer_wait_{};  // of the present connection
  Duration back_off_{};
  Time dialed_{};
  Time heard_at_{};        // the last whole line
  Time line_or_ask_at_{};  // the last whole line of this connection, else its begin
  Time bytes_at_{};        // the last bytes of this connection, else its begin
  Time said_at_{};         // when the last line left the bus, at the earliest
  Time current_until_{};
};

}  // namespace laureltide::platform
