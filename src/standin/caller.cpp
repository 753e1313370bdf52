#include "standin/caller.h"

namespace laureltide::standin {

using namespace amqp;

Caller::Caller(io::Host& host, CallerOptions options, Tape& tape)
    : host_(host),
      options_(std::move(options)),
      tape_(tape),
      dead_(host),
      reconnect_timer_(host.timer([this] { connect(); })) {
  reconnect_timer_->start(Duration(0));
}
Caller::~Caller() = default;

void Caller::connect() {
  EndpointOptions endpoint_options;
  endpoint_options.user = options_.user, endpoint_options.password = options_.password,
  endpoint_options.vhost = options_.vhost;
  endpoint_options.heartbeat_s = options_.heartbeat_s;
  endpoint_options.properties.set("connection_name", options_.name);
  endpoint_ = std::make_unique<Endpoint>(host_, Endpoint::Role::kClient, endpoint_options, *this);
  endpoint_->attach(host_.connect(options_.broker, {}, *endpoint_));
}

void Caller::on_ready() { endpoint_->open_channel(1); }

void Caller::on_method(std::uint16_t channel, const Method& method) {
  if (std::holds_alternative<ChannelOpenOk>(method)) {
    QueueDeclare declare;
    declare.queue = options_.answers;
    declare.durable = true;
    endpoint_->send(channel, declare);
  } else if (std::holds_alternative<QueueDeclareOk>(method)) {
    BasicConsume consume;
    consume.queue = options_.answers;
    consume.no_ack = true;
    endpoint_->send(channel, consume);
  } else if (std::holds_alternative<BasicConsumeOk>(method)) {
    endpoint_->send(channel, ConfirmSelect{});
  } else if (std::holds_alternative<ConfirmSelectOk>(method)) {
    ready_ = true;
    last_publish_tag_ = 0;
  } else if (const auto* ack = std::get_if<BasicAck>(&method)) {
    const auto last = unconfirmed_.upper_bound(ack->delivery_tag);
    auto first = ack->multiple ? unconfirmed_.begin() : unconfirmed_.find(ack->delivery_tag);
    while (first != unconfirmed_.end() && first != last) {
      tape_.note(host_.now(), "confirmed", {{"call", first->second}});
      first = unconfirmed_.erase(first);
    }
  }
}

bool Caller::call(const CallToMake& c) {
  if (!ready_) return false;
  Properties p;
  p.type = c.function;
  p.message_id = c.name;
  p.correlation_id = c.name;
  if (c.wants_answer) p.reply_to = options_.answers;
  if (c.patience_ms) p.expiration = std::to_string(*c.patience_ms);
  p.headers.emplace();
  if (!c.tenant.empty()) p.headers->set("tenant", c.tenant);
  if (!c.key.empty()) p.headers->set("key", c.key);
  BasicPublish publish;
  publish.routing_key = options_.queue;
  tape_.note(host_.now(), "sent",
             {{"call", c.name},
              {"function", c.function},
              {"class", c.request_class},
              {"tenant", c.tenant},
              {"key", c.key},
              {"patience_ms", c.patience_ms.value_or(0)},
              {"wants_answer", c.wants_answer}});
  unconfirmed_[++last_publish_tag_] = c.name;
  ++calls_made_;
  endpoint_->send_content(1, publish, p, c.body);
  return true;
}

void Caller::on_content(std::uint16_t, const Method& method, Content content) {
  if (!std::holds_alternative<BasicDeliver>(method)) return;
  Answered a;
  a.at = host_.now();
  a.body = std::move(content.body);
  if (const auto& h = content.properties.headers) {
    if (const Value* v = h->find("outcome"); v && v->text()) a.outcome = *v->text();
    if (const Value* v = h->find("reason"); v && v->text()) a.reason = *v->text();
  }
  const std::string call = content.properties.correlation_id.value_or("");
  tape_.note(host_.now(), "answer",
             {{"call", call},
              {"outcome", a.outcome},
              {"reason", a.reason},
              {"bytes", a.body.size()},
              {"id", content.properties.message_id.value_or("")}});
  if (on_answer) on_answer(call, a);
  answers_.emplace(call, std::move(a));
}

void Caller::on_channel_closed(std::uint16_t, std::uint16_t, const std::string& text) {
  tape_.note(host_.now(), "caller_channel_closed", {{"why", text}});
  endpoint_->close(ReplyCode::kSuccess, "a channel was closed");
}

void Caller::on_ended(const std::string& why) {
  tape_.note(host_.now(), "caller_disconnected", {{"why", why}});
  ready_ = false;
  for (const auto& [tag, name] : unconfirmed_) tape_.note(host_.now(), "unconfirmed", {{"call", name}});
  unconfirmed_.clear();
  dead_.delete_later(std::move(endpoint_));
  reconnect_timer_->start(std::chrono::milliseconds(100));
}

}  // namespace laureltide::standin
