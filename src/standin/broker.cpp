#include "standin/broker.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace laureltide::standin {

using namespace amqp;

// ---- A client's connection ----------------------------------------------------------------------------

class Broker::Connection : public EndpointEvents {
 public:
  struct Unacked {
    std::string queue;
    Entry entry;
    std::shared_ptr<Consumer> consumer;  // absent: basic.get
  };
  struct Operation {  // of an open transaction
    std::shared_ptr<const Message> publish;
    bool mandatory = false;
    std::optional<Method> settle;
  };
  struct Channel {
    std::uint16_t prefetch = 0;
    std::uint64_t next_tag = 1, published = 0;
    std::map<std::uint64_t, Unacked> unacked;
    std::map<std::string, std::shared_ptr<Consumer>> consumers;
    bool confirms = false, transacted = false;
    std::vector<Operation> transaction;
  };

  Connection(Broker& broker, std::unique_ptr<io::Connection> stream)
      : broker_(broker), endpoint_(broker.host_, Endpoint::Role::kServer, endpoint_options(broker), *this) {
    endpoint_.attach(std::make_unique<PausableConnection>(std::move(stream), *this));
  }
  ~Connection() override { release(); }

  Endpoint& endpoint() { return endpoint_; }
  const std::string& name() const { return name_; }
  Channel* channel(std::uint16_t number) {
    const auto it = channels_.find(number);
    return it == channels_.end() ? nullptr : &it->second;
  }
  void set_writing_paused(bool paused) {
    writing_paused_ = paused;
    if (!paused && !unsent_.empty()) stream_->write(std::exchange(unsent_, {}));
  }
  void abort() { leave("broken by order"); }
  void close_channels(ReplyCode code, const std::string& text) {
    for (auto& [number, c] : std::exchange(channels_, {}))
      drop_channel(c), endpoint_.close_channel(number, code, text);
  }
  void cancel_consumers() {
    for (auto& [number, c] : channels_)
      for (auto& [tag, consumer] : std::exchange(c.consumers, {})) {
        broker_.remove_consumer(consumer);
        endpoint_.send(number, BasicCancel{tag, true});
      }
  }
  void set_flow(bool active) {
    for (auto& [number, c] : channels_) endpoint_.send(number, ChannelFlow{active});
  }

  void deliver(Consumer& consumer, Entry entry, std::shared_ptr<Consumer> shared) {
    Channel& c = channels_.at(consumer.channel);
    BasicDeliver method{consumer.tag, c.next_tag++, entry.redelivered, entry.message->exchange,
                        entry.message->routing_key};
    const auto message = entry.message;
    broker_.tape_.note(broker_.host_.now(), "delivered",
                       {{"to", name_},
                        {"queue", consumer.queue},
                        {"call", message->properties.message_id.value_or("")},
                        {"redelivered", entry.redelivered}});
    if (!consumer.no_ack) {
      ++consumer.unacked;
      ++broker_.queues_.at(consumer.queue).unacked;
      c.unacked[method.delivery_tag] = {consumer.queue, std::move(entry), std::move(shared)};
    }
    endpoint_.send_content(consumer.channel, method, message->properties, message->body);
  }

  // ---- EndpointEvents ----
  bool may_log_in(const std::string& user, const std::string& password) override {
    return user == broker_.options_.user && password == broker_.options_.password;
  }
  bool may_open(const std::string& vhost) override { return vhost == broker_.options_.vhost; }
  void on_ready() override {
    if (const Value* name = endpoint_.peer_properties().find("connection_name"))
      if (const std::string* text = name->text()) name_ = *text;
    broker_.tape_.note(broker_.host_.now(), "connected", {{"who", name_}});
  }
  void on_channel_closed(std::uint16_t number, std::uint16_t, const std::string&) override { forget(number); }
  void on_writable() override {
    for (auto& [number, c] : channels_)
      for (auto& [tag, consumer] : c.consumers)
        if (auto q = broker_.queues_.find(consumer->queue); q != broker_.queues_.end())
          broker_.deliver_ready(q->second);
  }
  void on_ended(const std::string& why) override { leave(why); }
  void on_method(std::uint16_t number, const Method& method) override {
    if (std::holds_alternative<ChannelOpen>(method)) return void(channels_[number]);
    Channel* c = channel(number);
    if (!c) return;
    cause_ = &method;
    std::visit([&](const auto& m) { on(number, *c, m); }, method);
    cause_ = nullptr;
  }
  void on_content(std::uint16_t number, const Method& method, Content content) override {
    Channel* c = channel(number);
    const auto* publish = std::get_if<BasicPublish>(&method);
    if (!c || !publish) return endpoint_.close(ReplyCode::kCommandInvalid, "content that is no publish");
    cause_ = &method;
    on_publish(number, *c, *publish, std::move(content));
    cause_ = nullptr;
  }

 private:
  // Buffers what the broker writes while writing is paused.
  class PausableConnection : public io::Connection {
   public:
    PausableConnection(std::unique_ptr<io::Connection> inner, Broker::Connection& owner)
        : inner_(std::move(inner)), owner_(owner) {
      owner_.stream_ = inner_.get();
    }
    ~PausableConnection() override { owner_.stream_ = nullptr; }
    void write(std::string_view bytes) override {
      owner_.writing_paused_ ? void(owner_.unsent_ += bytes) : inner_->write(bytes);
    }
    std::size_t unsent() const override { return inner_->unsent() + owner_.unsent_.size(); }
    void read(bool enabled) override { inner_->read(enabled); }
    void deliver_input() override { inner_->deliver_input(); }
    bool peer_has_closed() const override { return inner_->peer_has_closed(); }
    void finish() override { inner_->finish(); }

   private:
    std::unique_ptr<io::Connection> inner_;
    Broker::Connection& owner_;
  };

  static EndpointOptions endpoint_options(const Broker& broker) {
    EndpointOptions o;
    o.channel_max = broker.options_.channel_max;
    o.frame_max = broker.options_.frame_max;
    o.heartbeat_s = broker.options_.heartbeat_s;
    o.max_body_bytes = broker.options_.most_body;
    Table can;
    can.set("publisher_confirms", true).set("basic.nack", true).set("consumer_cancel_notify", true);
    can.set("per_consumer_qos", true);
    o.properties.set("product", std::string("laureltide stand-in broker"))
        .set("version", std::string("0.9.1"));
    o.properties.set("capabilities", can);
    return o;
  }

  void channel_error(std::uint16_t number, ReplyCode code, const std::string& text) {
    endpoint_.close_channel(number, code, text, cause_);
    forget(number);
  }
  void forget(std::uint16_t number) {
    const auto it = channels_.find(number);
    if (it == channels_.end()) return;
    Channel gone = std::move(it->second);
    channels_.erase(it);
    drop_channel(gone);
  }
  // Requeues unacknowledged messages in their old position, marked as redelivered (2.1).
  void drop_channel(Channel& c) {
    for (auto& [tag, consumer] : c.consumers) broker_.remove_consumer(consumer);
    c.consumers.clear();
    for (auto& [tag, u] : std::exchange(c.unacked, {})) requeue(u);
  }
  void requeue(Unacked& u) {
    forget_delivery(u);
    broker_.requeue(u.queue, std::move(u.entry));
  }
  void forget_delivery(const Unacked& u) {
    if (u.consumer && u.consumer->unacked > 0) --u.consumer->unacked;
    if (auto q = broker_.queues_.find(u.queue); q != broker_.queues_.end()) --q->second.unacked;
  }
  void release() {
    for (auto& [number, c] : std::exchange(channels_, {})) drop_channel(c);
    std::vector<std::string> own;
    for (const auto& [name, q] : broker_.queues_)
      if (q.owner == this) own.push_back(name);
    for (const std::string& name : own) broker_.remove_queue(name);
  }
  void leave(const std::string& why) {
    if (std::exchange(left_, true)) return;
    broker_.tape_.note(broker_.host_.now(), "disconnected", {{"who", name_}, {"why", why}});
    release();
    const auto it = broker_.connections_.find(this);
    auto self = std::move(it->second);
    broker_.connections_.erase(it);
    broker_.dead_.delete_later(std::move(self));
  }

  Queue* find_queue(std::uint16_t number, const std::string& name) {
    const auto it = broker_.queues_.find(name);
    if (it == broker_.queues_.end())
      return channel_error(number, ReplyCode::kNotFound, "no queue '" + name + "' in vhost"), nullptr;
    if (it->second.exclusive && it->second.owner != this)
      return channel_error(number, ReplyCode::kResourceLocked,
                           "queue '" + name + "' is exclusive to another"),
             nullptr;
    return &it->second;
  }

  template <class M>
  void on(std::uint16_t, Channel&, const M&) {
    endpoint_.close(ReplyCode::kCommandInvalid,
                    std::string("not a client's method: ") + name_of(Method(M{})));
  }
  void on(std::uint16_t n, Channel&, const ChannelFlow& m) { endpoint_.send(n, ChannelFlowOk{m.active}); }
  void on(std::uint16_t, Channel&, const ChannelFlowOk&) {}
  void on(std::uint16_t, Channel&, const BasicCancelOk&) {}

  void on(std::uint16_t n, Channel&, const ExchangeDeclare& m) {
    const auto it = broker_.exchanges_.find(m.exchange);
    if (m.passive && it == broker_.exchanges_.end())
      return channel_error(n, ReplyCode::kNotFound, "no exchange '" + m.exchange + "'");
    if (!m.passive) {
      static const std::set<std::string> kTypes{"direct", "fanout", "topic", "headers"};
      if (!kTypes.contains(m.type))
        return endpoint_.close(ReplyCode::kCommandInvalid, "unknown exchange type " + m.type);
      if (it != broker_.exchanges_.end() && (it->second.type != m.type || it->second.durable != m.durable))
        return channel_error(n, ReplyCode::kPreconditionFailed,
                             "exchange '" + m.exchange + "' is declared otherwise");
      if (it == broker_.exchanges_.end() && (m.exchange.empty() || m.exchange.starts_with("amq.")))
        return channel_error(n, ReplyCode::kAccessRefused, "exchange names of amq. are reserved");
      if (it == broker_.exchanges_.end()) broker_.exchanges_[m.exchange] = {m.type, m.durable, {}};
    }
    if (!m.no_wait) endpoint_.send(n, ExchangeDeclareOk{});
  }
  void on(std::uint16_t n, Channel&, const ExchangeDelete& m) {
    if (m.exchange.empty() || m.exchange.starts_with("amq."))
      return channel_error(n, ReplyCode::kAccessRefused, "a standard exchange stays");
    const auto it = broker_.exchanges_.find(m.exchange);
    if (it != broker_.exchanges_.end() && m.if_unused && !it->second.bindings.empty())
      return channel_error(n, ReplyCode::kPreconditionFailed, "exchange '" + m.exchange + "' is in use");
    if (it != broker_.exchanges_.end()) broker_.exchanges_.erase(it);
    if (!m.no_wait) endpoint_.send(n, ExchangeDeleteOk{});
  }
  void on(std::uint16_t n, Channel&, const QueueDeclare& m) {
    std::string name =
        m.queue.empty() && !m.passive ? "amq.gen-" + std::to_string(++broker_.generated_) : m.queue;
    const auto it = broker_.queues_.find(name);
    if (it == broker_.queues_.end()) {
      if (m.passive) return channel_error(n, ReplyCode::kNotFound, "no queue '" + name + "' in vhost");
      Queue& q = broker_.queues_[name];
      q.name = name, q.durable = m.durable, q.exclusive = m.exclusive, q.auto_delete = m.auto_delete;
      if (m.exclusive) q.owner = this;
    } else {
      Queue* q = find_queue(n, name);
      if (!q) return;
      if (!m.passive &&
          (q->durable != m.durable || q->exclusive != m.exclusive || q->auto_delete != m.auto_delete))
        return channel_error(n, ReplyCode::kPreconditionFailed, "queue '" + name + "' is declared otherwise");
    }
    const Queue& q = broker_.queues_.at(name);
    last_queue_ = name;
    if (!m.no_wait)
      endpoint_.send(n, QueueDeclareOk{name, static_cast<std::uint32_t>(q.ready.size()),
                                       static_cast<std::uint32_t>(q.consumers.size())});
  }
  const std::string& or_last_declared(const std::string& queue) const {
    return queue.empty() ? last_queue_ : queue;
  }
  void on(std::uint16_t n, Channel&, const QueueBind& m) {
    if (!find_queue(n, or_last_declared(m.queue))) return;
    const auto e = broker_.exchanges_.find(m.exchange);
    if (e == broker_.exchanges_.end())
      return channel_error(n, ReplyCode::kNotFound, "no exchange '" + m.exchange + "'");
    if (m.exchange.empty())
      return channel_error(n, ReplyCode::kAccessRefused, "the default exchange takes no bindings");
    Binding b{or_last_declared(m.queue), m.routing_key, m.arguments};
    auto& all = e->second.bindings;
    if (std::find(all.begin(), all.end(), b) == all.end()) all.push_back(std::move(b));
    if (!m.no_wait) endpoint_.send(n, QueueBindOk{});
  }
  void on(std::uint16_t n, Channel&, const QueueUnbind& m) {
    const auto e = broker_.exchanges_.find(m.exchange);
    if (e != broker_.exchanges_.end())
      std::erase(e->second.bindings, Binding{or_last_declared(m.queue), m.routing_key, m.arguments});
    endpoint_.send(n, QueueUnbindOk{});
  }
  void on(std::uint16_t n, Channel&, const QueuePurge& m) {
    Queue* q = find_queue(n, or_last_declared(m.queue));
    if (!q) return;
    const auto count = static_cast<std::uint32_t>(q->ready.size());
    q->ready.clear();
    if (!m.no_wait) endpoint_.send(n, QueuePurgeOk{count});
  }
  void on(std::uint16_t n, Channel&, const QueueDelete& m) {
    const std::string name = or_last_declared(m.queue);
    std::uint32_t count = 0;
    if (broker_.queues_.contains(name)) {  // deleting an unknown queue succeeds
      Queue* q = find_queue(n, name);
      if (!q) return;
      count = static_cast<std::uint32_t>(q->ready.size());
      if ((m.if_unused && !q->consumers.empty()) || (m.if_empty && count > 0))
        return channel_error(n, ReplyCode::kPreconditionFailed,
                             "queue '" + name + "' is in use or not empty");
      broker_.remove_queue(name);
    }
    if (!m.no_wait) endpoint_.send(n, QueueDeleteOk{count});
  }
  void on(std::uint16_t n, Channel& c, const BasicQos& m) {
    if (m.prefetch_size != 0) return endpoint_.close(ReplyCode::kNotImplemented, "prefetch by size");
    c.prefetch = m.prefetch_count;
    endpoint_.send(n, BasicQosOk{});
  }
  void on(std::uint16_t n, Channel& c, const BasicConsume& m) {
    const std::string name = or_last_declared(m.queue);
    Queue* q = find_queue(n, name);
    if (!q) return;
    const std::string tag =
        m.consumer_tag.empty() ? "ctag-" + std::to_string(++broker_.generated_) : m.consumer_tag;
    if (c.consumers.contains(tag))
      return endpoint_.close(ReplyCode::kNotAllowed, "consumer tag in use: " + tag);
    const bool held =
        std::any_of(q->consumers.begin(), q->consumers.end(), [](auto& each) { return each->exclusive; });
    if (held || (m.exclusive && !q->consumers.empty()))
      return channel_error(n, ReplyCode::kAccessRefused,
                           "queue '" + name + (held ? "' is consumed exclusively" : "' has consumers"));
    auto consumer =
        std::make_shared<Consumer>(Consumer{this, n, tag, name, m.no_ack, m.exclusive, c.prefetch, 0});
    c.consumers[tag] = consumer;
    q->consumers.push_back(consumer);
    q->had_consumers = true;
    if (!m.no_wait) endpoint_.send(n, BasicConsumeOk{tag});
    broker_.deliver_ready(*q);
  }
  void on(std::uint16_t n, Channel& c, const BasicCancel& m) {
    if (const auto it = c.consumers.find(m.consumer_tag); it != c.consumers.end()) {
      const auto consumer = it->second;
      c.consumers.erase(it);
      broker_.remove_consumer(consumer);
    }
    if (!m.no_wait) endpoint_.send(n, BasicCancelOk{m.consumer_tag});
  }
  void on(std::uint16_t n, Channel& c, const BasicGet& m) {
    Queue* q = find_queue(n, or_last_declared(m.queue));
    if (!q) return;
    while (!q->ready.empty()) {
      Entry entry = std::move(q->ready.begin()->second);
      q->ready.erase(q->ready.begin());
      if (entry.expires && *entry.expires <= broker_.host_.now()) continue;
      const auto message = entry.message;
      const BasicGetOk ok{c.next_tag++, entry.redelivered, message->exchange, message->routing_key,
                          static_cast<std::uint32_t>(q->ready.size())};
      if (!m.no_ack) ++q->unacked, c.unacked[ok.delivery_tag] = {q->name, std::move(entry), nullptr};
      return endpoint_.send_content(n, ok, message->properties, message->body);
    }
    endpoint_.send(n, BasicGetEmpty{});
  }
  void on(std::uint16_t n, Channel& c, const BasicAck& m) { settle_or_defer(n, c, m); }
  void on(std::uint16_t n, Channel& c, const BasicNack& m) { settle_or_defer(n, c, m); }
  void on(std::uint16_t n, Channel& c, const BasicReject& m) {
    settle_or_defer(n, c, BasicNack{m.delivery_tag, false, m.requeue});
  }
  void on(std::uint16_t n, Channel& c, const BasicRecover& m) {
    recover(c, m.requeue), endpoint_.send(n, BasicRecoverOk{});
  }
  void on(std::uint16_t, Channel& c, const BasicRecoverAsync& m) { recover(c, m.requeue); }
  void recover(Channel& c, bool) {
    for (auto& [tag, u] : std::exchange(c.unacked, {})) requeue(u);
  }
  void on(std::uint16_t n, Channel& c, const ConfirmSelect& m) {
    if (c.transacted) return channel_error(n, ReplyCode::kPreconditionFailed, "the channel is transactional");
    c.confirms = true;
    if (!m.no_wait) endpoint_.send(n, ConfirmSelectOk{});
  }
  void on(std::uint16_t n, Channel& c, const TxSelect&) {
    if (c.confirms) return channel_error(n, ReplyCode::kPreconditionFailed, "the channel confirms");
    c.transacted = true;
    endpoint_.send(n, TxSelectOk{});
  }
  void on(std::uint16_t n, Channel& c, const TxCommit&) {
    if (!c.transacted)
      return channel_error(n, ReplyCode::kPreconditionFailed, "the channel is not transactional");
    if (broker_.commits_to_drop_ > 0) return --broker_.commits_to_drop_, abort();
    const auto operations = std::exchange(c.transaction, {});
    for (const Operation& o : operations)
      if (o.settle) {
        if (!settle(n, c, *o.settle)) return;
      } else {
        route_or_return(n, o.publish, o.mandatory);
      }
    if (broker_.commit_replies_to_drop_ > 0) return --broker_.commit_replies_to_drop_, abort();
    endpoint_.send(n, TxCommitOk{});
  }
  void on(std::uint16_t n, Channel& c, const TxRollback&) {
    if (!c.transacted)
      return channel_error(n, ReplyCode::kPreconditionFailed, "the channel is not transactional");
    c.transaction.clear();
    endpoint_.send(n, TxRollbackOk{});
  }

  void settle_or_defer(std::uint16_t n, Channel& c, const Method& method) {
    if (c.transacted)
      c.transaction.push_back({nullptr, false, method});
    else
      settle(n, c, method);
  }
  // Acknowledges or requeues; false if the channel had to be closed.
  bool settle(std::uint16_t n, Channel& c, const Method& method) {
    const auto* ack = std::get_if<BasicAck>(&method);
    const auto* nack = std::get_if<BasicNack>(&method);
    const std::uint64_t tag = ack ? ack->delivery_tag : nack->delivery_tag;
    const bool multiple = ack ? ack->multiple : nack->multiple;
    auto last = tag == 0 && multiple ? c.unacked.end() : c.unacked.upper_bound(tag);
    auto first = multiple ? c.unacked.begin() : c.unacked.find(tag);
    if (first == c.unacked.end() && !(multiple && tag == 0))
      return channel_error(n, ReplyCode::kPreconditionFailed, "unknown delivery tag " + std::to_string(tag)),
             false;
    std::vector<Unacked> settled;
    while (first != last) settled.push_back(std::move(first->second)), first = c.unacked.erase(first);
    std::set<std::string> queues;
    for (Unacked& u : settled) {
      queues.insert(u.queue);
      if (nack && nack->requeue) {
        requeue(u);
        continue;
      }
      forget_delivery(u);
      broker_.tape_.note(
          broker_.host_.now(), "acked",
          {{"by", name_}, {"queue", u.queue}, {"call", u.entry.message->properties.message_id.value_or("")}});
    }
    for (const std::string& q : queues)
      if (auto it = broker_.queues_.find(q); it != broker_.queues_.end()) broker_.deliver_ready(it->second);
    return true;
  }

  void on_publish(std::uint16_t n, Channel& c, const BasicPublish& m, Content content) {
    if (m.immediate) return endpoint_.close(ReplyCode::kNotImplemented, "immediate");
    if (!broker_.exchanges_.contains(m.exchange))
      return channel_error(n, ReplyCode::kNotFound, "no exchange '" + m.exchange + "'");
    if (content.body_size > content.body.size())
      return channel_error(n, ReplyCode::kContentTooLarge, "message over the broker's bound");
    if (const auto& e = content.properties.expiration) {
      std::uint64_t ms = 0;
      const auto r = std::from_chars(e->data(), e->data() + e->size(), ms);
      if (r.ec != std::errc() || r.ptr != e->data() + e->size())
        return channel_error(n, ReplyCode::kPreconditionFailed, "invalid expiration '" + *e + "'");
    }
    auto message = std::make_shared<Message>();
    message->exchange = m.exchange, message->routing_key = m.routing_key;
    message->properties = std::move(content.properties), message->body = std::move(content.body);
    if (c.transacted) return c.transaction.push_back({std::move(message), m.mandatory, std::nullopt});
    route_or_return(n, std::move(message), m.mandatory);
    if (c.confirms) endpoint_.send(n, BasicAck{++c.published, false});
  }
  void route_or_return(std::uint16_t n, std::shared_ptr<const Message> message, bool mandatory) {
    if (broker_.publish(message, name_) || !mandatory) return;
    endpoint_.send_content(n,
                           BasicReturn{static_cast<std::uint16_t>(ReplyCode::kNoRoute), "NO_ROUTE",
                                       message->exchange, message->routing_key},
                           message->properties, message->body);
  }

  Broker& broker_;
  io::Connection* stream_ = nullptr;
  bool writing_paused_ = false, left_ = false;
  std::string unsent_;
  Endpoint endpoint_;
  std::string name_, last_queue_;
  std::map<std::uint16_t, Channel> channels_;
  const Method* cause_ = nullptr;
};

// ---- Exchanges ------------------------------------------------------------------------------------------

bool topic_matches(std::string_view pattern, std::string_view key) {
  auto cut = [](std::string_view& text) {
    const std::size_t dot = text.find('.');
    const std::string_view word = text.substr(0, dot);
    text = dot == std::string_view::npos ? std::string_view{} : text.substr(dot + 1);
    return std::pair(word, dot != std::string_view::npos);
  };
  std::vector<std::string_view> p, k;
  auto words = [&](std::string_view text, auto& out) {
    if (text.empty()) return;
    for (bool more = true; more;) {
      const auto [word, rest] = cut(text);
      out.push_back(word);
      more = rest;
    }
  };
  words(pattern, p), words(key, k);
  // row[j]: the pattern's words so far match the first j words of the key.
  std::vector<bool> row(k.size() + 1, false);
  row[0] = true;
  for (const std::string_view word : p) {
    std::vector<bool> next(k.size() + 1, false);
    for (std::size_t j = 0; j <= k.size(); ++j) {
      if (word == "#")
        next[j] = row[j] || (j > 0 && next[j - 1]);
      else if (j > 0)
        next[j] = row[j - 1] && (word == "*" || word == k[j - 1]);
    }
    row = std::move(next);
  }
  return row[k.size()];
}

namespace {

// Headers exchange (3.1.3.4): all or any of the binding's arguments; x- ones are not compared.
bool headers_match(const Table& wanted, const std::optional<Table>& given) {
  const Value* mode = wanted.find("x-match");
  const bool any = mode && mode->text() && *mode->text() == "any";
  bool all = true, one = false;
  for (const auto& [name, value] : wanted.fields) {
    if (name.starts_with("x-")) continue;
    const Value* found = given ? given->find(name) : nullptr;
    const bool same = found && (std::holds_alternative<std::monostate>(value.any) || *found == value);
    all &= same, one |= same;
  }
  return any ? one : all;
}

}  // namespace

std::set<std::string> Broker::route(const Message& m, bool& found) const {
  std::set<std::string> to;
  const auto it = exchanges_.find(m.exchange);
  found = it != exchanges_.end();
  if (!found) return to;
  if (m.exchange.empty()) {
    if (queues_.contains(m.routing_key)) to.insert(m.routing_key);
    return to;
  }
  for (const Binding& b : it->second.bindings) {
    const std::string& type = it->second.type;
    const bool match = type == "fanout"    ? true
                       : type == "topic"   ? topic_matches(b.routing_key, m.routing_key)
                       : type == "headers" ? headers_match(b.arguments, m.properties.headers)
                                           : b.routing_key == m.routing_key;
    if (match && queues_.contains(b.queue)) to.insert(b.queue);
  }
  return to;
}

bool Broker::publish(std::shared_ptr<const Message> message, const std::string& by) {
  bool found = false;
  const auto to = route(*message, found);
  std::optional<Time> expires;
  if (const auto& e = message->properties.expiration)
    expires = host_.now() + std::chrono::milliseconds(std::strtoull(e->c_str(), nullptr, 10));
  tape_.note(host_.now(), "published",
             {{"by", by},
              {"exchange", message->exchange},
              {"key", message->routing_key},
              {"call", message->properties.message_id.value_or("")},
              {"correlation", message->properties.correlation_id.value_or("")},
              {"queues", to.size()}});
  for (const std::string& name : to) {
    Queue& q = queues_.at(name);
    const std::uint64_t position = q.next_position++;
    q.ready[position] = {message, false, expires, position};
    deliver_ready(q);
  }
  return !to.empty();
}

// ---- Queues ---------------------------------------------------------------------------------------------

void Broker::deliver_ready(Queue& queue) {
  if (std::exchange(queue.delivering, true)) return;  // a delivery may call this again
  constexpr std::size_t kMostUnsent = 4U << 20;       // limit for consumers that do not read
  while (!queue.ready.empty() && !queue.consumers.empty()) {
    std::shared_ptr<Consumer> free;
    for (std::size_t i = 0; i < queue.consumers.size() && !free; ++i) {
      const auto& c = queue.consumers[(queue.next_consumer + i) % queue.consumers.size()];
      const bool room = c->no_ack || c->prefetch == 0 || c->unacked < c->prefetch;
      if (!room || c->connection->endpoint().unsent() > kMostUnsent) continue;
      free = c;
      queue.next_consumer = (queue.next_consumer + i + 1) % queue.consumers.size();
    }
    Entry entry = std::move(queue.ready.begin()->second);
    if (entry.expires && *entry.expires <= host_.now()) {
      tape_.note(host_.now(), "expired",
                 {{"queue", queue.name}, {"call", entry.message->properties.message_id.value_or("")}});
      queue.ready.erase(queue.ready.begin());
      continue;
    }
    if (!free) {
      queue.ready.begin()->second = std::move(entry);
      break;
    }
    queue.ready.erase(queue.ready.begin());
    free->connection->deliver(*free, std::move(entry), free);
  }
  queue.delivering = false;
}

void Broker::requeue(const std::string& name, Entry entry) {
  const auto it = queues_.find(name);
  if (it == queues_.end()) return;
  entry.redelivered = true;
  const std::uint64_t position = entry.position;
  it->second.ready[position] = std::move(entry);
  // Delivered from a timer: the consumer that returned it may still be closing.
  if (requeued_.empty()) redelivery_timer_->start(Duration(0));
  requeued_.insert(name);
}

void Broker::remove_queue(const std::string& name) {
  const auto it = queues_.find(name);
  if (it == queues_.end()) return;
  const auto consumers = it->second.consumers;
  queues_.erase(it);
  for (const auto& c : consumers) {
    if (auto* channel = c->connection->channel(c->channel)) channel->consumers.erase(c->tag);
    c->connection->endpoint().send(c->channel, BasicCancel{c->tag, true});
  }
  for (auto& [exchange, e] : exchanges_)
    std::erase_if(e.bindings, [&](const Binding& b) { return b.queue == name; });
}

void Broker::remove_consumer(const std::shared_ptr<Consumer>& consumer) {
  const auto it = queues_.find(consumer->queue);
  if (it == queues_.end()) return;
  std::erase(it->second.consumers, consumer);
  if (it->second.auto_delete && it->second.consumers.empty()) remove_queue(consumer->queue);
}

// ---- The broker -----------------------------------------------------------------------------------------

Broker::Broker(io::Host& host, BrokerOptions options, Tape& tape)
    : host_(host),
      options_(std::move(options)),
      tape_(tape),
      dead_(host),
      redelivery_timer_(host.timer([this] {
        for (const std::string& name : std::exchange(requeued_, {}))
          if (auto q = queues_.find(name); q != queues_.end()) deliver_ready(q->second);
      })) {
  exchanges_[""] = {"direct", true, {}};
  for (const char* type : {"direct", "fanout", "topic", "headers"})
    exchanges_["amq." + std::string(type)] = {type, true, {}};
  exchanges_["amq.match"] = {"headers", true, {}};
}
Broker::~Broker() {
  listener_.reset();
  connections_.clear();
}

bool Broker::listen(const io::Address& at) {
  io::StreamOptions stream;
  stream.read_ahead = 2U * options_.frame_max + (1U << 20);
  listener_ = host_.listen(at, stream, [this](std::unique_ptr<io::Connection> c) -> io::ConnectionEvents* {
    if (connections_.size() >= options_.most_connections) return nullptr;
    auto fresh = std::make_unique<Connection>(*this, std::move(c));
    Connection* raw = fresh.get();
    connections_[raw] = std::move(fresh);
    return &raw->endpoint();
  });
  return listener_ != nullptr;
}
io::Address Broker::address() const { return listener_->address(); }

void Broker::declare_queue(const std::string& name) {
  queues_[name].name = name;
  queues_[name].durable = true;
}
std::size_t Broker::depth(const std::string& queue) const {
  const auto it = queues_.find(queue);
  return it == queues_.end() ? 0 : it->second.ready.size();
}
std::size_t Broker::unacked(const std::string& queue) const {
  const auto it = queues_.find(queue);
  return it == queues_.end() ? 0 : it->second.unacked;
}
std::size_t Broker::consumers(const std::string& queue) const {
  const auto it = queues_.find(queue);
  return it == queues_.end() ? 0 : it->second.consumers.size();
}

template <class F>
void Broker::for_each_connection(const std::string& who, F what) {
  std::vector<Connection*> all;
  for (const auto& [raw, c] : connections_)
    if (who.empty() || c->name() == who) all.push_back(raw);
  for (Connection* c : all)
    if (connections_.contains(c)) what(*c);
}
void Broker::crash() {
  if (!listener_) return;
  address_ = listener_->address();
  tape_.note(host_.now(), "broker_crashed", nlohmann::json::object());
  listener_.reset();
  break_connections();
}

bool Broker::restart() {
  tape_.note(host_.now(), "broker_started", nlohmann::json::object());
  return listener_ || listen(address_);
}

void Broker::break_connections(const std::string& who) {
  for_each_connection(who, [](Connection& c) { c.abort(); });
}
void Broker::set_reading_paused(bool paused, const std::string& who) {
  tape_.note(host_.now(), "deaf", {{"on", paused}, {"who", who}});
  for_each_connection(who, [&](Connection& c) { c.endpoint().read(!paused); });
}
void Broker::set_writing_paused(bool paused, const std::string& who) {
  for_each_connection(who, [&](Connection& c) { c.set_writing_paused(paused); });
}
void Broker::close_channels(ReplyCode code, const std::string& text, const std::string& who) {
  for_each_connection(who, [&](Connection& c) { c.close_channels(code, text); });
}
void Broker::cancel_consumers(const std::string& who) {
  for_each_connection(who, [](Connection& c) { c.cancel_consumers(); });
}
void Broker::set_flow(bool active) {
  for_each_connection("", [&](Connection& c) { c.set_flow(active); });
}

}  // namespace laureltide::standin
