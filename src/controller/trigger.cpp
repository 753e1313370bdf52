#include "controller/trigger.h"

#include <algorithm>
#include <charconv>

#include "controller/owed.h"

namespace laureltide::controller {
namespace {

constexpr Duration kFirstBackOff = std::chrono::milliseconds(100);
constexpr Duration kLongestBackOff = std::chrono::seconds(10);
constexpr Duration kPauseLook = std::chrono::milliseconds(500);
constexpr Duration kCoverageLook = std::chrono::seconds(1);
constexpr std::size_t kMostReplies = 16;  // messages that wait for one call; over it: refused
// A message whose acknowledgement was lost comes again at most a reconnect later.
constexpr std::int64_t kLostAcknowledgement = 600'000;
constexpr std::size_t kMostUnsent = 4U << 20;  // answers that wait in the transport; the rest waits here

// A header that must be a text; `bad` says why it is none.
std::string text_header(const amqp::Properties& p, const char* name, std::string& bad) {
  const amqp::Value* value = p.headers ? p.headers->find(name) : nullptr;
  if (!value) return {};
  if (const std::string* text = value->text()) return *text;
  if (const auto number = value->number()) return std::to_string(*number);
  bad = std::string("header ") + name + " is not a text";
  return {};
}

// A name may be used again once its call is over; the moment of its taking tells the calls apart.
std::string id_of(const std::string& name, const ledger::Record& record) {
  return name + "/" + std::to_string(record.taken_ms);
}

Answer told(const std::string& name, const ledger::Record& record) {
  Answer answer = from_ledger(*record.answer);
  answer.id = id_of(name, record);
  return answer;
}

}  // namespace

TriggerFront::TriggerFront(io::Host& host, Core& core, config::Broker broker, std::string gateway_name,
                           Log log, ledger::CallLedger* book)
    : host_(host),
      core_(core),
      broker_(std::move(broker)),
      gateway_name_(std::move(gateway_name)),
      log_(std::move(log)),
      dead_(host),
      book_(book),
      again_(host.timer([this] { dial(); })),
      pause_look_(host.timer([this] { look_at_pause(); })),
      back_off_(kFirstBackOff) {
  Intake::Options options;
  options.most_names = std::max<std::size_t>(10'000, 4U * broker_.prefetch);
  std::uint16_t channel = 0;
  options.book = book_;
  for (const std::string& name : broker_.queues) {
    options.front = "amqp/" + broker_.name + "/" + name;
    queues_.push_back(std::make_unique<Queue>(name, ++channel, options));
    Queue* queue = queues_.back().get();
    queue->back_off = kFirstBackOff;
    queue->front = options.front;
    queue->look = host.timer([this, queue] {
      make_room(*queue);
      look_at_coverage(*queue);
    });
    queue->again = host.timer([this, queue] {
      if (endpoint_ && endpoint_->ready() && !draining_) open(*queue);
    });
  }
  if (book_)
    for (const auto& queue : queues_) {
      broker_.sole_reader ? book_->begin_exclusive_reading(queue->front)
                          : book_->end_exclusive_reading(queue->front);
      recover(*queue);
    }
  again_->start(Duration(0));
}

TriggerFront::~TriggerFront() { *alive_ = false; }

// ---- Connection -------------------------------------------------------------------------------------

void TriggerFront::dial() {
  if (draining_ && drained() && core_.open() == 0) return;
  amqp::EndpointOptions options;
  options.channel_max = static_cast<std::uint16_t>(std::max<std::size_t>(queues_.size(), 8));
  options.frame_max = broker_.frame_max;
  options.heartbeat_s = broker_.heartbeat_s;
  options.most_body = core_.settings().gateway.most_body;
  options.user = broker_.user, options.password = broker_.password, options.vhost = broker_.vhost;
  amqp::Table can;
  can.set("consumer_cancel_notify", true).set("publisher_confirms", true).set("basic.nack", true);
  can.set("connection.blocked", true);
  options.properties.set("product", std::string("laureltide")).set("connection_name", gateway_name_);
  options.properties.set("capabilities", can);
  endpoint_ = std::make_unique<amqp::Endpoint>(host_, amqp::Endpoint::Role::kClient, options, *this);
  io::StreamOptions stream;
  stream.read_ahead = std::max<std::size_t>(2U << 20, 2U * broker_.frame_max);
  endpoint_->attach(host_.connect(broker_.address, stream, *endpoint_));
}

Duration TriggerFront::jittered(Duration& back_off) {
  const Duration wait = std::chrono::duration_cast<Duration>(back_off * (0.5 + host_.random_unit() / 2));
  back_off = std::min(back_off * 2, kLongestBackOff);
  return wait;
}

void TriggerFront::on_ready() {
  log_(false, "broker " + broker_.name + ": connected");
  back_off_ = kFirstBackOff;
  reading_ = true;
  for (const auto& queue : queues_) open(*queue);
}

void TriggerFront::on_ended(const std::string& why) {
  log_(true, "broker " + broker_.name + ": connection ended: " + why);
  dead_.delete_later(std::move(endpoint_));
  for (const auto& queue : queues_) channel_lost(*queue);
  if (!(draining_ && drained())) again_->start(jittered(back_off_));
}

void TriggerFront::open(Queue& queue) {
  if (draining_ && queue.ready.empty() && queue.unpublished.empty()) return;
  queue.epoch = ++epochs_;
  endpoint_->open_channel(queue.channel);
}

TriggerFront::Queue* TriggerFront::queue_of(std::uint16_t channel) {
  return channel >= 1 && channel <= queues_.size() ? queues_[channel - 1].get() : nullptr;
}

// The broker takes back what was not acknowledged and gives it again: whatever waited to leave with the old
// deliveries waits for the new ones.
void TriggerFront::channel_lost(Queue& queue) {
  queue.standing = queue.consuming = queue.cancelling = queue.asking = false;
  queue.epoch = ++epochs_;  // no delivery of before stands any more
  // Owed answers stay: what the broker has not confirmed is published again, before what never left.
  std::deque<Reply> owed;
  for (auto& [number, reply] : queue.unconfirmed)
    if (reply.owed) owed.push_back(std::move(reply));
  for (Reply& reply : queue.ready)
    if (reply.owed) owed.push_back(std::move(reply));
  queue.ready = std::move(owed);
  queue.parked.clear();
  queue.committing.clear(), queue.uncommitted.clear(), queue.unconfirmed.clear();
  queue.commit_out = false;
  queue.published = 0;
  queue.unsettled = 0;
}

void TriggerFront::on_channel_closed(std::uint16_t channel, std::uint16_t code, const std::string& text) {
  Queue* queue = queue_of(channel);
  if (!queue) return;
  log_(true, "broker " + broker_.name + ", queue " + queue->name +
                 ": channel closed: " + std::to_string(code) + " " + text);
  channel_lost(*queue);
  queue->again->start(jittered(queue->back_off));
}

void TriggerFront::on_method(std::uint16_t channel, const amqp::Method& method) {
  Queue* queue = queue_of(channel);
  if (!queue) return;
  const bool transactions = broker_.answers == config::AnswerMode::kTransaction;
  if (std::holds_alternative<amqp::ChannelOpenOk>(method)) {
    endpoint_->send(channel, amqp::BasicQos{0, broker_.prefetch, false});
  } else if (std::holds_alternative<amqp::BasicQosOk>(method)) {
    transactions ? endpoint_->send(channel, amqp::TxSelect{})
                 : endpoint_->send(channel, amqp::ConfirmSelect{});
  } else if (std::holds_alternative<amqp::TxSelectOk>(method) ||
             std::holds_alternative<amqp::ConfirmSelectOk>(method)) {
    if (paused_) {  // answers may leave; nothing is taken
      queue->standing = true;
      pump(*queue);
    } else {
      consume(*queue);
    }
  } else if (const auto* ok = std::get_if<amqp::BasicConsumeOk>(&method)) {
    queue->consumer = ok->consumer_tag;
    queue->standing = queue->consuming = true;
    queue->back_off = kFirstBackOff;
    log_(false, "broker " + broker_.name + ", queue " + queue->name + ": consuming");
    if (draining_ || paused_) {
      queue->cancelling = true;
      endpoint_->send(channel, amqp::BasicCancel{queue->consumer, false});
    }
    look_at_coverage(*queue);
    pump(*queue);
  } else if (std::holds_alternative<amqp::BasicCancelOk>(method)) {
    queue->consuming = queue->cancelling = false;
    if (!draining_ && !paused_) consume(*queue);  // the ledger is well again
  } else if (const auto* left = std::get_if<amqp::QueueDeclareOk>(&method)) {
    queue->asking = false;
    if (left->message_count == 0 && queue->unsettled == 0 && queue->consuming)
      book_->mark_complete(queue->front);
    else
      queue->look->start(kCoverageLook);
  } else if (std::holds_alternative<amqp::BasicCancel>(method)) {
    log_(true, "broker " + broker_.name + ", queue " + queue->name + ": the broker cancelled the consumer");
    // What is out can still be answered here; the queue is tried again on a fresh channel.
    endpoint_->close_channel(channel, amqp::ReplyCode::kSuccess, "consumer was cancelled");
    channel_lost(*queue);
    queue->again->start(jittered(queue->back_off));
  } else if (std::holds_alternative<amqp::TxCommitOk>(method)) {
    queue->commit_out = false;
    if (book_) book_->crash_point("commit-known");
    for (const Reply& reply : std::exchange(queue->committing, {})) settle(*queue, reply);
    pump(*queue);
  } else if (const auto* ack = std::get_if<amqp::BasicAck>(&method)) {
    auto first = ack->multiple ? queue->unconfirmed.begin() : queue->unconfirmed.find(ack->delivery_tag);
    const auto last = queue->unconfirmed.upper_bound(ack->delivery_tag);
    while (first != queue->unconfirmed.end() && first != last) {
      const Reply reply = std::move(first->second);
      first = queue->unconfirmed.erase(first);
      if (!reply.owed) endpoint_->send(channel, amqp::BasicAck{reply.delivery.tag, false});
      settle(*queue, reply);
    }
  } else if (const auto* nack = std::get_if<amqp::BasicNack>(&method)) {
    // The broker did not take the answers: they are given again when there is room, in order.
    auto first = nack->multiple ? queue->unconfirmed.begin() : queue->unconfirmed.find(nack->delivery_tag);
    const auto last = queue->unconfirmed.upper_bound(nack->delivery_tag);
    while (first != queue->unconfirmed.end() && first != last) {
      queue->ready.push_back(std::move(first->second));
      first = queue->unconfirmed.erase(first);
    }
    pump(*queue);
  }
}

// ---- Messages that come -------------------------------------------------------------------------------

void TriggerFront::on_content(std::uint16_t channel, const amqp::Method& method, amqp::Content content) {
  Queue* queue = queue_of(channel);
  if (!queue) return;
  if (const auto* deliver = std::get_if<amqp::BasicDeliver>(&method))
    on_message(*queue, *deliver, std::move(content));
  else if (const auto* returned = std::get_if<amqp::BasicReturn>(&method))
    log_(true, "broker " + broker_.name + ": an answer found no queue: reply-to " + returned->routing_key +
                   ": " + std::to_string(returned->reply_code) + " " + returned->reply_text);
}

void TriggerFront::give_back(Queue& queue, std::uint64_t tag) {
  endpoint_->send(queue.channel, amqp::BasicNack{tag, false, true});
  if (broker_.answers != config::AnswerMode::kTransaction) return;
  queue.uncommitted.push_back({"", {queue.epoch, tag, "", ""}, nullptr});
  ++queue.unsettled;
  pump(queue);
}

void TriggerFront::on_message(Queue& queue, const amqp::BasicDeliver& deliver, amqp::Content content) {
  if (draining_ || paused_)
    return give_back(queue, deliver.delivery_tag);  // not taken: back to the queue at once
  auto parsed = read(queue, deliver, std::move(content));
  if (!parsed) return;
  const bool on_take = broker_.acknowledge == config::AcknowledgeMode::kOnTake;
  const bool recorded =
      book_ && parsed->named &&
      (on_take || parsed->effect.semantics != Semantics::kRepeatable || core_.settings().ledger.all_calls);
  if (recorded) {
    if (const std::string why = book_->refusal_reason(); !why.empty()) {
      --queue.unsettled;
      give_back(queue, deliver.delivery_tag);
      return pause(why);
    }
    parsed->call.record = queue.intake.key(parsed->call.name);
  }
  if (on_take && recorded) return take_owed(queue, std::move(*parsed));
  take(queue, std::move(*parsed));
}

std::optional<TriggerFront::Parsed> TriggerFront::read(Queue& queue, const amqp::BasicDeliver& deliver,
                                                       amqp::Content content) {
  const amqp::Properties& p = content.properties;
  Parsed parsed;
  parsed.redelivered = deliver.redelivered;
  parsed.delivery = {queue.epoch, deliver.delivery_tag, p.reply_to.value_or(""),
                     p.correlation_id.value_or("")};
  ++queue.unsettled;

  const config::Settings& settings = core_.settings();
  const std::string shown = p.message_id.value_or("without message-id");
  auto refuse = [&](std::string reason) {
    turn_away(queue, std::move(parsed.delivery), Answer::Kind::kRefused, std::move(reason), shown);
    return std::nullopt;
  };
  if (!p.type || p.type->empty()) return refuse("property type does not name a function");
  const config::Function* function = settings.find(*p.type);
  if (!function) return refuse("unknown function: " + *p.type);
  const RequestClass& request_class = settings.module.classes[function->request_class];
  if (content.body_size > content.body.size())
    return refuse("body of " + std::to_string(content.body_size) + " bytes; the most is " +
                  std::to_string(settings.gateway.most_body));
  Call& call = parsed.call;
  call.function = function;
  if (p.expiration) {
    std::uint64_t ms = 0;
    const auto [end, error] =
        std::from_chars(p.expiration->data(), p.expiration->data() + p.expiration->size(), ms);
    if (error != std::errc() || end != p.expiration->data() + p.expiration->size())
      return refuse("expiration is no number of milliseconds: " + *p.expiration);
    constexpr std::uint64_t kHour = 3'600'000;
    call.timeout = std::chrono::milliseconds(std::min(ms, kHour));
  }
  std::string bad;
  const std::string tenant = text_header(p, "tenant", bad);
  call.key = text_header(p, "key", bad);
  if (!bad.empty()) return refuse(bad);
  if (!broker_.tenant.empty()) {
    // Who may log in there is the broker's matter; what a message says of itself is anyone's.
    call.tenant = settings.tenant(broker_.tenant);
    if (!tenant.empty() && tenant != broker_.tenant)
      return refuse("the tenant of this broker's calls is " + broker_.tenant + ", not " + tenant);
  } else if (!tenant.empty()) {
    call.tenant = settings.tenant(tenant);
    if (!call.tenant) return refuse("unknown tenant: " + tenant);
  }
  parsed.effect = effect_of(request_class);
  const bool keyed = request_class.semantics == Semantics::kKeyed;
  if (keyed && call.key.empty()) return refuse("a call of this class needs the header key");
  parsed.named = p.message_id && !p.message_id->empty();
  if (!parsed.named) {
    // Without a name a redelivery could not be told from a new call.
    if (request_class.semantics != Semantics::kRepeatable)
      return refuse("a call of this class needs a message-id");
    call.name = "unnamed-" + std::to_string(++unnamed_);
  } else {
    call.name = *p.message_id;
  }
  call.body = std::move(content.body);
  return parsed;
}

ledger::Record TriggerFront::record_of(const Call& call, const Delivery& delivery) const {
  const config::Settings& settings = core_.settings();
  ledger::Record r;
  r.function = call.function->name, r.key = call.key;
  if (call.tenant) r.tenant = settings.tenant_names[*call.tenant];
  r.taken_ms = book_->now_ms();
  const Duration timeout =
      call.timeout.value_or(settings.module.classes[call.function->request_class].give_up);
  r.give_up_ms = r.taken_ms + std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  r.replies.push_back({delivery.reply_to, delivery.correlation_id});
  return r;
}

// The whole of a call that is acknowledged with its answer.
void TriggerFront::take(Queue& queue, Parsed parsed) {
  Call& call = parsed.call;
  const std::string name = call.name;
  Delivery& delivery = parsed.delivery;
  const Intake::Heard heard =
      queue.intake.deliver(name, delivery, parsed.redelivered, parsed.effect, host_.now());
  switch (heard.verdict) {
    case Intake::Verdict::kRun: {
      const std::string record = call.record;
      if (!record.empty()) {
        if (heard.until_ms) {  // repeated only while every worker drops the repeat
          const Duration window = std::chrono::milliseconds(*heard.until_ms - book_->now_ms());
          const Duration timeout =
              call.timeout.value_or(core_.settings().module.classes[call.function->request_class].give_up);
          call.timeout = std::min(timeout, window);
        } else {
          book_->take(record, record_of(call, delivery));
        }
      }
      const auto refused =
          core_.take(std::move(call), [this, &queue, name, record, alive = alive_](Answer a) {
            if (*alive) call_ended(queue, name, record, std::move(a));
          });
      if (refused) {
        queue.intake.forget(name);
        turn_away(queue, std::move(delivery), Answer::Kind::kRefused, *refused, name);
      }
      return;
    }
    case Intake::Verdict::kJoin: return;
    case Intake::Verdict::kAnswer:
      return answer(queue,
                    {name, std::move(delivery), std::make_shared<Answer>(*queue.intake.answer_of(name))});
    case Intake::Verdict::kAcknowledge:
      endpoint_->send(queue.channel, amqp::BasicAck{delivery.tag, false});
      if (queue.unsettled > 0) --queue.unsettled;
      return;
    case Intake::Verdict::kFail:
      return turn_away(queue, std::move(delivery), Answer::Kind::kFailed, heard.reason, name);
    case Intake::Verdict::kTooMany:
      return turn_away(queue, std::move(delivery), Answer::Kind::kRefused,
                       "too many messages of this name wait for one call", name);
  }
}

// ---- Acknowledged on take -------------------------------------------------------------------------------

// A name that the book has is a call of ours, open or answered; nothing else is looked at but the book.
void TriggerFront::take_owed(Queue& queue, Parsed parsed) {
  const std::string key = parsed.call.record, name = parsed.call.name;
  const ledger::Record* known = book_->find(key);
  if (known && parsed.redelivered) {
    // Only its acknowledgement was lost. It is made again once what we know of it is on disk.
    return book_->when_durable([this, &queue, name, delivery = parsed.delivery, alive = alive_] {
      if (*alive) acknowledge(queue, name, delivery);
    });
  }
  if (known && !known->delivered) {  // another message of the name waits for the same answer
    if (known->replies.size() >= kMostReplies)
      return turn_away(queue, std::move(parsed.delivery), Answer::Kind::kRefused,
                       "too many messages of this name wait for one call", name);
    const ledger::ReplyTo to{parsed.delivery.reply_to, parsed.delivery.correlation_id};
    return book_->add_reply(
        key, to, [this, &queue, name, key, to, delivery = parsed.delivery, alive = alive_] {
          if (!*alive) return;
          acknowledge(queue, name, delivery);
          const ledger::Record* record = book_->find(key);
          if (!record || !record->answer || to.to.empty()) return;
          ++queue.unpublished[name];
          answer(queue,
                 {name, {0, 0, to.to, to.correlation}, std::make_shared<Answer>(told(name, *record)), true});
        });
  }
  const ledger::RecoveryDecision ruling =
      book_->decide(queue.front, name, parsed.effect, parsed.redelivered && !known);
  if (ruling.verdict == ledger::Verdict::kFail)
    return turn_away(queue, std::move(parsed.delivery), Answer::Kind::kFailed, ruling.reason, name);
  if (!room_for(queue).empty()) {  // it stays unacknowledged, and prefetch bounds how many do
    queue.parked.push_back(std::move(parsed));
    return;
  }
  ++queue.taking;
  ledger::Record record = record_of(parsed.call, parsed.delivery);
  record.owed = true;
  record.body = parsed.call.body;
  auto call = std::make_shared<Call>(std::move(parsed.call));
  book_->take(key, std::move(record), [this, &queue, name, call, delivery = parsed.delivery, alive = alive_] {
    if (!*alive) return;
    --queue.taking;
    acknowledge(queue, name, delivery);
    run_owed(queue, name, std::move(*call));
  });
}

void TriggerFront::acknowledge(Queue& queue, const std::string& name, const Delivery& delivery) {
  if (!queue.standing || delivery.epoch != queue.epoch) return;  // it comes again, and is known then
  endpoint_->send(queue.channel, amqp::BasicAck{delivery.tag, false});
  if (queue.unsettled > 0) --queue.unsettled;
  queue.acknowledged[name] = queue.epoch;
}

void TriggerFront::run_owed(Queue& queue, const std::string& name, Call call) {
  const auto refused = core_.take(std::move(call), [this, &queue, name, alive = alive_](Answer a) {
    if (*alive) owed_ended(queue, name, a);
  });
  if (refused) owed_ended(queue, name, {Answer::Kind::kRefused, *refused, {}, {}, {}});
}

void TriggerFront::owed_ended(Queue& queue, const std::string& name, const Answer& said) {
  book_->answer(queue.intake.key(name), to_ledger(said), [this, &queue, name, alive = alive_] {
    if (*alive) publish_owed(queue, name);
  });
  if (!queue.backlog.empty() || !queue.parked.empty()) queue.look->start(Duration(0));
}

void TriggerFront::publish_owed(Queue& queue, const std::string& name) {
  const ledger::Record* record = book_->find(queue.intake.key(name));
  if (!record || !record->answer) return;
  const auto said = std::make_shared<const Answer>(told(name, *record));
  std::vector<Reply> replies;
  for (const ledger::ReplyTo& to : record->replies)
    if (!to.to.empty()) replies.push_back({name, {0, 0, to.to, to.correlation}, said, true});
  if (replies.empty())  // nobody asked for it; its message may still come once more
    return book_->delivered(queue.intake.key(name), ledger::AfterDelivery::kKeepWithoutAnswer,
                            kLostAcknowledgement);
  queue.unpublished[name] += replies.size();
  for (Reply& reply : replies) answer(queue, std::move(reply));
}

std::string TriggerFront::room_for(const Queue& queue) const {
  const auto most = static_cast<std::size_t>(core_.settings().module.bounds.max_open);
  return core_.open() + queue.taking < most ? "" : "the gateway holds as many calls as it may";
}

// What this gateway owed when it ended is taken up again, oldest first, before anything new.
void TriggerFront::recover(Queue& queue) {
  for (std::string& key : book_->owed(queue.front)) {
    book_->crash_point("owed-found");
    queue.backlog.push_back(std::move(key));
  }
  if (!queue.backlog.empty())
    log_(false, "broker " + broker_.name + ", queue " + queue.name + ": " +
                    std::to_string(queue.backlog.size()) + " calls are owed from before the start");
  make_room(queue);
}

void TriggerFront::make_room(Queue& queue) {
  while (!queue.backlog.empty() && room_for(queue).empty()) {
    const std::string key = std::move(queue.backlog.front());
    queue.backlog.pop_front();
    const ledger::Record* record = book_->find(key);
    if (!record || record->delivered) continue;
    const std::string name = ledger::split_key(key).second;
    Owed owed = take_up(core_.settings(), key, *record, book_->now_ms());
    book_->resume(key, owed.fresh);
    if (owed.call)
      run_owed(queue, name, std::move(*owed.call));
    else if (owed.end)
      owed_ended(queue, name, *owed.end);
    else
      publish_owed(queue, name);
  }
  while (queue.backlog.empty() && !queue.parked.empty() && room_for(queue).empty()) {
    Parsed parsed = std::move(queue.parked.front());
    queue.parked.pop_front();
    if (queue.standing && parsed.delivery.epoch == queue.epoch) take_owed(queue, std::move(parsed));
  }
}

// ---- Taking nothing, while the ledger does not ------------------------------------------------------------

void TriggerFront::pause(const std::string& why) {
  if (std::exchange(paused_, true)) return;
  log_(true, "broker " + broker_.name + ": nothing is taken: " + why);
  for (const auto& queue : queues_)
    if (queue->consuming && !std::exchange(queue->cancelling, true))
      endpoint_->send(queue->channel, amqp::BasicCancel{queue->consumer, false});
  pause_look_->start(kPauseLook);
}

void TriggerFront::look_at_pause() {
  if (!paused_) return;
  if (!book_->refusal_reason().empty()) return pause_look_->start(kPauseLook);
  paused_ = false;
  log_(false, "broker " + broker_.name + ": calls are taken again");
  if (!endpoint_ || !endpoint_->ready() || draining_) return;
  for (const auto& queue : queues_)
    if (queue->standing && !queue->consuming) consume(*queue);
}

void TriggerFront::consume(Queue& queue) {
  amqp::BasicConsume method;
  method.queue = queue.name;
  method.exclusive = broker_.sole_reader;
  endpoint_->send(queue.channel, method);
}

// The ledger covers a queue once nothing is left in it that others may have had: when it is seen empty, with
// nothing of it here. From then on whatever comes redelivered was given to this gateway alone.
void TriggerFront::look_at_coverage(Queue& queue) {
  if (!broker_.sole_reader || queue.asking || !queue.standing || !endpoint_ || !endpoint_->ready()) return;
  if (book_->coverage(queue.front) == ledger::Coverage::kComplete) return;
  amqp::QueueDeclare ask;
  ask.queue = queue.name;
  ask.passive = true;
  queue.asking = true;
  endpoint_->send(queue.channel, ask);
}

// A message that is not run. It is answered where it can be, and never comes again.
void TriggerFront::turn_away(Queue& queue, Delivery delivery, Answer::Kind kind, std::string reason,
                             const std::string& what) {
  log_(true, "broker " + broker_.name + ", queue " + queue.name + ", message " + what + ": " + text_of(kind) +
                 ": " + reason);
  auto said = std::make_shared<Answer>();
  said->kind = kind;
  said->reason = std::move(reason);
  answer(queue, {"", std::move(delivery), std::move(said)});
}

// ---- Answers that go ------------------------------------------------------------------------------------

void TriggerFront::call_ended(Queue& queue, const std::string& name, const std::string& record, Answer said) {
  const ledger::Record* kept = record.empty() ? nullptr : book_->find(record);
  said.id = kept ? id_of(name, *kept) : name + "/" + std::to_string(host_.now().time_since_epoch().count());
  const auto shared = std::make_shared<const Answer>(std::move(said));
  auto give = [this, &queue, name, shared] {
    for (Delivery& d : queue.intake.answered(name, *shared, queue.standing ? queue.epoch : 0, host_.now()))
      answer(queue, {name, std::move(d), shared});
  };
  if (record.empty()) return give();
  // In a transaction the broker has answer and acknowledgement or neither, and a crash repeats nothing that
  // was said. Behind a confirm it could say something else than what was published before: so that waits for
  // the disk.
  if (broker_.answers == config::AnswerMode::kConfirm)
    return book_->answer(record, to_ledger(*shared), [give, alive = alive_] {
      if (*alive) give();
    });
  book_->answer(record, to_ledger(*shared));
  give();
}

void TriggerFront::answer(Queue& queue, Reply reply) {
  queue.ready.push_back(std::move(reply));
  pump(queue);
}

void TriggerFront::pump(Queue& queue) {
  if (!endpoint_ || !endpoint_->ready() || !queue.standing) return;
  while (!queue.ready.empty() && endpoint_->may_publish(queue.channel) && endpoint_->unsent() < kMostUnsent) {
    Reply reply = std::move(queue.ready.front());
    queue.ready.pop_front();
    publish(queue, std::move(reply));
  }
  // One commit is out at a time; what comes meanwhile goes with the next.
  if (!queue.commit_out && !queue.uncommitted.empty()) {
    queue.committing = std::exchange(queue.uncommitted, {});
    queue.commit_out = true;
    endpoint_->send(queue.channel, amqp::TxCommit{});
    if (book_) book_->crash_point("commit-sent");
  }
  hold_back();
}

void TriggerFront::publish(Queue& queue, Reply reply) {
  const bool transactions = broker_.answers == config::AnswerMode::kTransaction;
  const bool wanted = !reply.delivery.reply_to.empty();
  if (wanted) {
    amqp::BasicPublish method;
    method.routing_key = reply.delivery.reply_to;
    method.mandatory = true;
    amqp::Properties p;
    if (!reply.answer->id.empty() && reply.answer->id.size() <= 255) p.message_id = reply.answer->id;
    if (!reply.delivery.correlation_id.empty()) p.correlation_id = reply.delivery.correlation_id;
    p.headers.emplace().set("outcome", std::string(text_of(reply.answer->kind)));
    if (!reply.answer->reason.empty()) p.headers->set("reason", reply.answer->reason);
    if (reply.answer->retry_after > Duration(0))
      p.headers->set("retry-after-ms",
                     static_cast<std::int64_t>(reply.answer->retry_after.count() / 1'000'000));
    endpoint_->send_content(queue.channel, method, p, reply.answer->body);
    if (book_) book_->crash_point("answer-given");
  }
  if (reply.owed) return void(queue.unconfirmed.emplace(++queue.published, std::move(reply)));
  if (transactions || !wanted) endpoint_->send(queue.channel, amqp::BasicAck{reply.delivery.tag, false});
  if (transactions) {
    queue.uncommitted.push_back(std::move(reply));
  } else if (wanted) {
    queue.unconfirmed.emplace(++queue.published, std::move(reply));
  } else {
    settle(queue, reply);
  }
}

void TriggerFront::settle(Queue& queue, const Reply& reply) {
  if (reply.owed) {
    const auto left = queue.unpublished.find(reply.name);
    if (left == queue.unpublished.end() || --left->second > 0) return;
    queue.unpublished.erase(left);
    // A broker works in the order of a channel: it has an acknowledgement that left before an answer it
    // confirms.
    const auto acknowledged = queue.acknowledged.find(reply.name);
    const bool certain = acknowledged != queue.acknowledged.end() && acknowledged->second == queue.epoch;
    if (acknowledged != queue.acknowledged.end()) queue.acknowledged.erase(acknowledged);
    return book_->delivered(
        queue.intake.key(reply.name),
        certain ? ledger::AfterDelivery::kDropRecord : ledger::AfterDelivery::kKeepWithoutAnswer,
        kLostAcknowledgement);
  }
  if (queue.unsettled > 0) --queue.unsettled;
  if (!reply.name.empty())
    queue.intake.settled(reply.name, reply.delivery.epoch, reply.delivery.tag,
                         broker_.answers == config::AnswerMode::kTransaction);
}

// A broker that does not read our answers gives us no more calls.
void TriggerFront::hold_back() {
  if (!endpoint_) return;
  const bool reading = endpoint_->unsent() < kMostUnsent;
  if (reading != reading_) endpoint_->read(reading_ = reading);
}

void TriggerFront::on_writable() {
  for (const auto& queue : queues_) pump(*queue);
  hold_back();
}

// ---- Stopping -------------------------------------------------------------------------------------------

void TriggerFront::drain() {
  if (std::exchange(draining_, true)) return;
  if (!endpoint_ || !endpoint_->ready()) return;
  for (const auto& queue : queues_)
    if (queue->consuming && !std::exchange(queue->cancelling, true))
      endpoint_->send(queue->channel, amqp::BasicCancel{queue->consumer, false});
}

bool TriggerFront::drained() const {
  return std::all_of(queues_.begin(), queues_.end(), [](const auto& q) {
    return q->unsettled == 0 && q->backlog.empty() && q->taking == 0 && q->unpublished.empty();
  });
}

}  // namespace laureltide::controller
