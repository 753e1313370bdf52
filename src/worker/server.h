// The worker's side of the worker protocol: one accepted connection. It does no I/O of its own.
#pragma once

#include <memory>

#include "base/io.h"
#include "worker/protocol.h"

namespace laureltide::worker {

class Session;

class SessionEvents {
 public:
  virtual ~SessionEvents() = default;
  virtual void on_hello(Session& session, const Hello& hello) = 0;
  virtual void on_message(Session& session, Message message) = 0;  // call, cancel, hold, release or probe
  // The last event. The owner may destroy the session only outside its calls (io::Graveyard).
  virtual void on_end(Session& session) = 0;
};

class Session : public io::ConnectionEvents {
 public:
  Session(io::Host& host, Hello mine, SessionEvents& events);

  void attach(std::unique_ptr<io::Connection> connection) { connection_ = std::move(connection); }
  void send(const Message& message);
  void send_raw(std::string_view bytes);  // lets stand-ins violate the protocol
  void drain();                           // reports the last call taken; later calls are ignored
  void abort();                           // resets the connection
  void read(bool enabled) {
    if (connection_) connection_->read(enabled);
  }
  bool ended() const { return ended_; }
  std::uint64_t last_call() const { return last_call_; }
  const Hello& peer() const { return peer_; }

  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(io::CloseReason why) override;

 private:
  void fail(ErrorCode code, std::string_view why);
  void end();

  Hello own_hello_, peer_;
  SessionEvents& events_;
  std::unique_ptr<io::Connection> connection_;
  std::unique_ptr<io::Timer> hello_timer_;
  bool hello_received_ = false, ended_ = false, draining_ = false;
  std::uint64_t last_call_ = 0;
  std::string scratch_;
};

}  // namespace laureltide::worker
