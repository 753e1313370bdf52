#include "amqp/endpoint.h"

#include <algorithm>

namespace laureltide::amqp {
namespace {

constexpr std::size_t kFlushThreshold = 64U << 10;  // collected bytes that are sent even within on_bytes()

bool carries_content(const Method& m) {
  return std::holds_alternative<BasicPublish>(m) || std::holds_alternative<BasicDeliver>(m) ||
         std::holds_alternative<BasicReturn>(m) || std::holds_alternative<BasicGetOk>(m);
}

// The stricter of two tuning limits, where 0 means "no limit" (1.4.2.6).
template <class T>
T stricter_limit(T a, T b) {
  if (a == 0 || b == 0) return std::max(a, b);
  return std::min(a, b);
}

}  // namespace

Endpoint::Endpoint(io::Host& host, Role role, EndpointOptions options, EndpointEvents& events)
    : host_(host), role_(role), options_(std::move(options)), events_(events) {
  options_.frame_max = std::max(options_.frame_max, kMinFrameMax);
  timeout_timer_ =
      host.timer([this] { end(state_ == State::kClosing ? close_reason_ : "handshake timed out"); });
  heartbeat_timer_ = host.timer([this] { on_heartbeat_timer(); });
}
Endpoint::~Endpoint() = default;

void Endpoint::on_open() {
  last_received_ = last_sent_ = host_.now();
  timeout_timer_->start(options_.handshake_timeout);
  state_ = role_ == Role::kClient ? State::kStart : State::kAwaitHeader;
  if (role_ == Role::kClient) connection_->write(kProtocolHeader);
}

std::size_t Endpoint::on_bytes(std::string_view bytes) {
  last_received_ = host_.now();
  std::size_t used = 0;
  if (state_ == State::kAwaitHeader) {
    if (bytes.size() < kProtocolHeader.size() && kProtocolHeader.starts_with(bytes)) return 0;
    if (!bytes.starts_with(kProtocolHeader)) {  // 4.2.2: answer with the supported version and close
      connection_->write(kProtocolHeader);
      end("not an AMQP 0-9-1 client");
      return bytes.size();
    }
    used = kProtocolHeader.size();
    state_ = State::kStart;
    Table properties = options_.properties;
    send(0, ConnectionStart{0, 9, std::move(properties), {"PLAIN"}, {"en_US"}});
  }
  parsing_ = true;
  while (state_ != State::kEnded) {
    const FrameResult r = parse_frame(bytes.substr(used), frame_max_);
    if (r.kind == FrameResult::Kind::kNeedMore) break;
    if (r.kind == FrameResult::Kind::kInvalid) {
      if (role_ == Role::kClient && state_ == State::kStart && bytes.starts_with("AMQP"))
        end("the broker speaks another version of AMQP");
      else
        connection_error(ReplyCode::kFrameError, std::string(r.why));
      used = bytes.size();
      break;
    }
    used += r.size;
    on_frame(r.frame);
  }
  parsing_ = false;
  flush();
  return state_ == State::kEnded ? bytes.size() : used;
}

void Endpoint::flush() {
  if (out_.empty()) return;
  if (connection_ && state_ != State::kEnded) connection_->write(out_), last_sent_ = host_.now();
  out_.clear();
}

void Endpoint::on_frame(const Frame& frame) {
  if (frame.type == FrameType::kHeartbeat) return;
  if (frame.channel == 0) {
    if (frame.type != FrameType::kMethod)
      return connection_error(ReplyCode::kCommandInvalid, "content on channel 0");
    const MethodResult r = parse_method(frame.payload);
    if (!r.method) return connection_error(r.code, "method on channel 0", r.class_id, r.method_id);
    return on_connection_method(*r.method);
  }
  if (state_ == State::kClosing) return;
  if (state_ != State::kOpen) return connection_error(ReplyCode::kCommandInvalid, "channel before open");
  auto it = channels_.find(frame.channel);
  if (frame.type != FrameType::kMethod) {
    if (it == channels_.end())
      return connection_error(ReplyCode::kChannelError, "content on a closed channel");
    if (!it->second.closing) on_content_frame(frame.channel, it->second, frame);
    return;
  }
  const MethodResult r = parse_method(frame.payload);
  if (!r.method) return connection_error(r.code, "method", r.class_id, r.method_id);
  if (role_ == Role::kServer && std::holds_alternative<ChannelOpen>(*r.method)) {
    if (it != channels_.end()) return connection_error(ReplyCode::kChannelError, "channel is open", 20, 10);
    if (channel_max_ > 0 && frame.channel > channel_max_)
      return connection_error(ReplyCode::kChannelError, "channel over channel-max", 20, 10);
    channels_[frame.channel];
    send(frame.channel, ChannelOpenOk{});
    return events_.on_method(frame.channel, *r.method);
  }
  if (it == channels_.end()) {
    if (std::holds_alternative<ChannelCloseOk>(*r.method)) return;
    return connection_error(ReplyCode::kChannelError, "method on a closed channel", r.class_id, r.method_id);
  }
  on_channel_method(frame.channel, it->second, *r.method);
}

void Endpoint::on_connection_method(const Method& method) {
  if (const auto* m = std::get_if<ConnectionClose>(&method)) {
    send(0, ConnectionCloseOk{});
    flush();
    return end(std::to_string(m->reply_code) + " " + m->reply_text);
  }
  if (std::holds_alternative<ConnectionCloseOk>(method)) {
    if (state_ == State::kClosing) return end(close_reason_);
    return connection_error(ReplyCode::kCommandInvalid, "close-ok without close");
  }
  if (state_ == State::kClosing) return;
  if (state_ == State::kOpen) {
    if (std::holds_alternative<ConnectionBlocked>(method)) return void(blocked_ = true);
    if (std::holds_alternative<ConnectionUnblocked>(method)) {
      blocked_ = false;
      return events_.on_writable();
    }
  }
  if (role_ == Role::kClient) {
    if (const auto* m = std::get_if<ConnectionStart>(&method); m && state_ == State::kStart) {
      peer_properties_ = m->server_properties;
      if ((" " + m->mechanisms.text + " ").find(" PLAIN ") == std::string::npos)
        return end("the broker offers no PLAIN login: " + m->mechanisms.text);
      state_ = State::kTune;
      const std::string response =
          std::string(1, '\0') + options_.user + std::string(1, '\0') + options_.password;
      return send(0, ConnectionStartOk{options_.properties, "PLAIN", {response}, "en_US"});
    }
    if (const auto* m = std::get_if<ConnectionTune>(&method); m && state_ == State::kTune) {
      channel_max_ = stricter_limit(m->channel_max, options_.channel_max);
      frame_max_ = std::max(stricter_limit(m->frame_max, options_.frame_max), kMinFrameMax);
      heartbeat_s_ = stricter_limit(m->heartbeat, options_.heartbeat_s);
      state_ = State::kOpening;
      send(0, ConnectionTuneOk{channel_max_, frame_max_, heartbeat_s_});
      return send(0, ConnectionOpen{options_.vhost, "", false});
    }
    if (std::holds_alternative<ConnectionOpenOk>(method) && state_ == State::kOpening) {
      state_ = State::kOpen;
      timeout_timer_->stop();
      start_heartbeats();
      return events_.on_ready();
    }
  } else {
    if (const auto* m = std::get_if<ConnectionStartOk>(&method); m && state_ == State::kStart) {
      peer_properties_ = m->client_properties;
      const std::string& r = m->response.text;
      const std::size_t first = r.find('\0');
      const std::size_t second = first == std::string::npos ? first : r.find('\0', first + 1);
      const bool well_formed = m->mechanism == "PLAIN" && second != std::string::npos;
      if (!well_formed || !events_.may_log_in(r.substr(first + 1, second - first - 1), r.substr(second + 1)))
        return connection_error(ReplyCode::kAccessRefused, "login refused", 10, 11);
      state_ = State::kTune;
      frame_max_ = options_.frame_max;
      return send(0, ConnectionTune{options_.channel_max, options_.frame_max, options_.heartbeat_s});
    }
    if (const auto* m = std::get_if<ConnectionTuneOk>(&method); m && state_ == State::kTune) {
      const bool exceeds_offer =
          m->frame_max == 0 || m->frame_max > options_.frame_max || m->frame_max < kMinFrameMax ||
          (options_.channel_max > 0 && (m->channel_max == 0 || m->channel_max > options_.channel_max));
      if (exceeds_offer)
        return connection_error(ReplyCode::kNotAllowed, "tune-ok over what was offered", 10, 31);
      channel_max_ = m->channel_max;
      frame_max_ = m->frame_max;
      heartbeat_s_ = m->heartbeat;
      state_ = State::kOpening;
      return;
    }
    if (const auto* m = std::get_if<ConnectionOpen>(&method); m && state_ == State::kOpening) {
      if (!events_.may_open(m->virtual_host))
        return connection_error(ReplyCode::kNotAllowed, "no such virtual host: " + m->virtual_host, 10, 40);
      state_ = State::kOpen;
      timeout_timer_->stop();
      start_heartbeats();
      send(0, ConnectionOpenOk{});
      return events_.on_ready();
    }
  }
  connection_error(ReplyCode::kCommandInvalid, std::string("not expected now: ") + name_of(method));
}

void Endpoint::on_channel_method(std::uint16_t number, Channel& channel, const Method& method) {
  if (const auto* m = std::get_if<ChannelClose>(&method)) {
    const auto [code, text] = std::pair(m->reply_code, m->reply_text);
    const bool closed_by_us = channel.closing;
    channels_.erase(number);
    send(number, ChannelCloseOk{});
    if (!closed_by_us) events_.on_channel_closed(number, code, text);
    return;
  }
  if (std::holds_alternative<ChannelCloseOk>(method)) return void(channels_.erase(number));
  if (channel.closing) return;
  if (channel.method)
    return connection_error(ReplyCode::kUnexpectedFrame,
                            std::string("content expected, not ") + name_of(method));
  if (carries_content(method)) {
    channel.method = method;
    return;
  }
  if (const auto* m = std::get_if<ChannelFlow>(&method)) {
    channel.flow = m->active;
    send(number, ChannelFlowOk{m->active});
    if (m->active) events_.on_writable();
    return;
  }
  events_.on_method(number, method);
}

void Endpoint::on_content_frame(std::uint16_t number, Channel& channel, const Frame& frame) {
  if (frame.type == FrameType::kHeader) {
    if (!channel.method || channel.header)
      return connection_error(ReplyCode::kUnexpectedFrame, "content header not expected");
    channel.header = parse_content_header(frame.payload);
    if (!channel.header) return connection_error(ReplyCode::kSyntaxError, "content header");
    if (channel.header->class_id != 60)
      return connection_error(ReplyCode::kFrameError, "content header's class");
    channel.body.reserve(std::min(channel.header->body_size, std::uint64_t{frame_max_}));
  } else {
    if (!channel.header) return connection_error(ReplyCode::kUnexpectedFrame, "content body not expected");
    channel.received += frame.payload.size();
    if (channel.received > channel.header->body_size)
      return connection_error(ReplyCode::kFrameError, "more body than its header says");
    const std::uint64_t remaining =
        options_.max_body_bytes - std::min<std::uint64_t>(options_.max_body_bytes, channel.body.size());
    channel.body.append(frame.payload.substr(0, remaining));
  }
  if (channel.received == channel.header->body_size) finish_content(number, channel);
}

void Endpoint::finish_content(std::uint16_t number, Channel& channel) {
  Content content{std::move(channel.header->properties), std::move(channel.body), channel.header->body_size};
  const Method method = *std::exchange(channel.method, std::nullopt);
  channel.header.reset();
  channel.body = {};
  channel.received = 0;
  events_.on_content(number, method, std::move(content));
}

void Endpoint::open_channel(std::uint16_t channel) {
  channels_[channel];
  send(channel, ChannelOpen{});
}

void Endpoint::close_channel(std::uint16_t channel, ReplyCode code, const std::string& text,
                             const Method* cause) {
  const auto it = channels_.find(channel);
  if (it == channels_.end() || it->second.closing) return;
  it->second.closing = true;
  ChannelClose close{static_cast<std::uint16_t>(code), text, 0, 0};
  if (cause)
    std::visit([&](const auto& m) { close.failing_class = m.kClass, close.failing_method = m.kMethod; },
               *cause);
  send(channel, close);
}

void Endpoint::send(std::uint16_t channel, const Method& method) {
  if (state_ == State::kEnded) return;
  write_method(out_, channel, method);
  if (!parsing_ || out_.size() > kFlushThreshold) flush();
}

void Endpoint::send_content(std::uint16_t channel, const Method& method, const Properties& properties,
                            std::string_view body) {
  if (state_ == State::kEnded) return;
  write_content(out_, channel, method, properties, body, frame_max_);
  if (!parsing_ || out_.size() > kFlushThreshold) flush();
}

bool Endpoint::may_publish(std::uint16_t channel) const {
  const auto it = channels_.find(channel);
  return !blocked_ && state_ == State::kOpen && it != channels_.end() && it->second.flow &&
         !it->second.closing;
}

void Endpoint::read(bool enabled) {
  if (connection_ && state_ != State::kEnded) connection_->read(enabled);
}

void Endpoint::close(ReplyCode code, const std::string& text) {
  if (state_ == State::kEnded || state_ == State::kClosing) return;
  connection_error(code, text);
}

// 2.2.4: sends connection.close with the reason and waits for close-ok. Before the protocol header was
// received it only ends the connection.
void Endpoint::connection_error(ReplyCode code, const std::string& text, std::uint16_t class_id,
                                std::uint16_t method_id) {
  if (state_ == State::kEnded || state_ == State::kClosing) return;
  close_reason_ = std::to_string(static_cast<int>(code)) + " " + text;
  if (state_ == State::kIdle || state_ == State::kAwaitHeader) return end(close_reason_);
  send(0, ConnectionClose{static_cast<std::uint16_t>(code), text, class_id, method_id});
  flush();
  state_ = State::kClosing;
  channels_.clear();
  heartbeat_timer_->stop();
  timeout_timer_->start(options_.close_timeout);
}

void Endpoint::on_closed(io::CloseReason why) {
  if (state_ == State::kClosing) return end(close_reason_);
  end(why == io::CloseReason::kNeverOpened ? "no connection"
      : why == io::CloseReason::kByPeer    ? "the peer closed the connection"
                                           : "the connection broke");
}

void Endpoint::end(const std::string& why) {
  if (std::exchange(state_, State::kEnded) == State::kEnded) return;
  timeout_timer_->stop();
  heartbeat_timer_->stop();
  if (connection_) connection_->finish();
  const std::string reason = why;  // a copy: `why` may refer to a member
  events_.on_ended(reason);
}

void Endpoint::start_heartbeats() {
  if (heartbeat_s_ > 0) heartbeat_timer_->start(std::chrono::milliseconds(heartbeat_s_ * 500));
}

// 4.2.7: something is sent at least once per interval; two intervals without input mean that the peer is
// gone.
void Endpoint::on_heartbeat_timer() {
  const Duration interval = std::chrono::seconds(heartbeat_s_);
  if (host_.now() - last_received_ > 2 * interval) return end("no heartbeat for two intervals");
  if (host_.now() - last_sent_ >= interval / 2) {
    write_frame(out_, FrameType::kHeartbeat, 0, {});
    flush();
  }
  start_heartbeats();
}

}  // namespace laureltide::amqp
