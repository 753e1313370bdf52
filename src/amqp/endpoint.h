// One end of an AMQP 0-9-1 connection: handshake, tuning, heartbeats, framing of the channels' content,
// closing with the specification's reply codes. All I/O goes through an io::Connection, time through
// io::Host.
//
// An Endpoint knows nothing about queues or calls. It passes methods and complete contents to its
// EndpointEvents, which must not destroy the endpoint from within one of these calls (see the deferred
// destruction in base/io.h).
//
// Bounds: a frame is at most the negotiated frame-max; `max_body_bytes` of a content's body are kept (the
// rest is counted and dropped); at most channel-max channels are open; a table nests at most kMaxNesting
// deep.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "amqp/codec.h"
#include "base/io.h"

namespace laureltide::amqp {

struct EndpointOptions {
  std::uint16_t channel_max = 64;
  std::uint32_t frame_max = 128U << 10;
  std::uint16_t heartbeat_s = 30;  // 0: no heartbeats
  std::uint64_t max_body_bytes = 8U << 20;
  Duration handshake_timeout = std::chrono::seconds(10);  // to open-ok; closes half-open peers
  Duration close_timeout = std::chrono::seconds(2);       // to wait for connection.close-ok
  Table properties;
  // Used by clients only.
  std::string user = "guest", password = "guest", vhost = "/";
};

// What an endpoint reports to its owner.
class EndpointEvents {
 public:
  virtual ~EndpointEvents() = default;
  virtual void on_ready() = 0;  // connection.open-ok sent or received
  virtual void on_method(std::uint16_t channel, const Method& method) = 0;
  virtual void on_content(std::uint16_t channel, const Method& method, Content content) = 0;
  virtual void on_channel_closed(std::uint16_t channel, std::uint16_t code, const std::string& text) = 0;
  virtual void on_writable() {}  // the unsent bytes have fallen, or the peer has lifted its flow control
  // The last event. `why` is the peer's reply text or a local error.
  virtual void on_ended(const std::string& why) = 0;
  // Server only: user and password, virtual host. False closes with access-refused (403) or not-allowed
  // (530).
  virtual bool may_log_in(const std::string&, const std::string&) { return true; }
  virtual bool may_open(const std::string&) { return true; }
};

class Endpoint : public io::ConnectionEvents {
 public:
  enum class Role { kClient, kServer };
  Endpoint(io::Host& host, Role role, EndpointOptions options, EndpointEvents& events);
  ~Endpoint() override;

  // Called once, before any event of the connection.
  void attach(std::unique_ptr<io::Connection> connection) { connection_ = std::move(connection); }

  void open_channel(std::uint16_t channel);  // client only; the peer's channel.open-ok comes as on_method
  void close_channel(std::uint16_t channel, ReplyCode code, const std::string& text,
                     const Method* cause = nullptr);
  void send(std::uint16_t channel, const Method& method);
  void send_content(std::uint16_t channel, const Method& method, const Properties& properties,
                    std::string_view body);
  // Orderly close: sends connection.close and waits for close-ok or a timeout, then on_ended follows.
  void close(ReplyCode code, const std::string& text);
  void read(bool enabled);

  bool ready() const { return state_ == State::kOpen; }
  std::uint16_t channel_max() const { return channel_max_; }
  std::uint32_t frame_max() const { return frame_max_; }
  std::size_t unsent() const { return connection_ ? connection_->unsent() : 0; }
  const Table& peer_properties() const { return peer_properties_; }
  // False while the peer has stopped the channel (channel.flow) or the broker blocks the connection.
  bool may_publish(std::uint16_t channel) const;

  // ---- io::ConnectionEvents ----
  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_drained() override { events_.on_writable(); }
  void on_closed(io::CloseReason why) override;

 private:
  enum class State { kIdle, kAwaitHeader, kStart, kTune, kOpening, kOpen, kClosing, kEnded };
  struct Channel {
    std::optional<Method> method;  // whose content is being received
    std::optional<ContentHeader> header;
    std::string body;
    std::uint64_t received = 0;
    bool closing = false;
    bool flow = true;
  };

  void on_frame(const Frame& frame);
  void on_connection_method(const Method& method);
  void on_channel_method(std::uint16_t number, Channel& channel, const Method& method);
  void on_content_frame(std::uint16_t number, Channel& channel, const Frame& frame);
  void finish_content(std::uint16_t number, Channel& channel);
  void connection_error(ReplyCode code, const std::string& text, std::uint16_t class_id = 0,
                        std::uint16_t method_id = 0);
  void end(const std::string& why);
  void start_heartbeats();
  void on_heartbeat_timer();
  void flush();

  io::Host& host_;
  Role role_;
  EndpointOptions options_;
  EndpointEvents& events_;
  std::unique_ptr<io::Connection> connection_;
  State state_ = State::kIdle;
  std::map<std::uint16_t, Channel> channels_;
  std::uint16_t channel_max_ = 0;
  std::uint32_t frame_max_ = kMinFrameMax;
  std::uint16_t heartbeat_s_ = 0;
  bool blocked_ = false;
  bool parsing_ = false;  // writes are collected and sent once per on_bytes()
  std::string out_;
  Table peer_properties_;
  std::string close_reason_;
  Time last_received_{}, last_sent_{};
  std::unique_ptr<io::Timer> timeout_timer_, heartbeat_timer_;
};

}  // namespace laureltide::amqp
