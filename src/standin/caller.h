// A client of the gateway over AMQP, for scripted days and tests: publishes calls and records their answers.
#pragma once

#include <map>
#include <memory>

#include "amqp/endpoint.h"
#include "standin/tape.h"

namespace laureltide::standin {

struct CallerOptions {
  io::Address broker;
  std::string name = "caller", queue = "calls", answers = "answers";
  std::string user = "guest", password = "guest", vhost = "/";
  std::uint16_t heartbeat_s = 0;
};

struct CallToMake {
  std::string name, function, request_class, tenant, key, body;
  std::optional<std::uint64_t> patience_ms;
  bool wants_answer = true;
};

class Caller : public amqp::EndpointEvents {
 public:
  struct Answered {
    std::string outcome, reason, body;
    Time at{};
  };
  Caller(io::Host& host, CallerOptions options, Tape& tape);
  ~Caller() override;

  // Publishes a call. False while there is no connection: nothing was sent.
  bool call(const CallToMake& call);
  bool ready() const { return ready_; }
  std::size_t unconfirmed() const { return unconfirmed_.size(); }
  const std::multimap<std::string, Answered>& answers() const { return answers_; }
  std::size_t calls_made() const { return calls_made_; }
  std::function<void(const std::string& call, const Answered& answer)> on_answer;

  void on_ready() override;
  void on_method(std::uint16_t channel, const amqp::Method& method) override;
  void on_content(std::uint16_t channel, const amqp::Method& method, amqp::Content content) override;
  void on_channel_closed(std::uint16_t, std::uint16_t, const std::string& text) override;
  void on_ended(const std::string& why) override;

 private:
  void connect();
  io::Host& host_;
  CallerOptions options_;
  Tape& tape_;
  std::unique_ptr<amqp::Endpoint> endpoint_;
  io::DeferredDeleter<amqp::Endpoint> dead_;
  std::unique_ptr<io::Timer> reconnect_timer_;
  bool ready_ = false;
  std::uint64_t last_publish_tag_ = 0;
  std::size_t calls_made_ = 0;
  std::map<std::uint64_t, std::string> unconfirmed_;  // names of calls by publish tag
  std::multimap<std::string, Answered> answers_;
};

}  // namespace laureltide::standin
