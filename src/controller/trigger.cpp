#include "controller/trigger.h"

#include <algorithm>
#include <charconv>

#include "controller/owed.h"

namespace laureltide::controller {
namespace {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(10);
constexpr Duration kPauseCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kCoverageCheckInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxReplies = 16;  // messages that wait for one call; further ones are refused
// How long a name is kept in case its acknowledgement was lost; the broker redelivers after a reconnect.
constexpr std::int64_t kLostAcknowledgementTtlMs = 600'000;
constexpr std::size_t kMaxUnsentBytes = 4U << 20;  // in the transport; further answers wait here

// Returns the header as text; sets `error_text` if it has another type.
std::string text_header(const amqp::Properties& p, const char* name, std::string& error_text) {
  const amqp::Value* value = p.headers ? p.headers->find(name) : nullptr;
  if (!value) return {};
  if (const std::string* text = value->text()) return *text;
  if (const auto number = value->number()) return std::to_string(*number);
  error_text = std::string("header ") + name + " is not a text";
  return {};
}

// A name may be reused once its call has ended; the time of acceptance distinguishes the calls.
std::string answer_id(const std::string& name, const ledger::Record& record) {
  return name + "/" + std::to_string(record.taken_ms);
}

Answer answer_from_record(const std::string& name, const ledger::Record& record) {
  Answer answer = from_ledger(*record.answer);
  answer.id = answer_id(name, record);
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
      reconnect_timer_(host.timer([this] { connect_to_broker(); })),
      pause_timer_(host.timer([this] { check_pause(); })),
      backoff_(kInitialBackoff) {
  Intake::Options options;
  options.max_names = std::max<std::size_t>(10'000, 4U * broker_.prefetch);
  std::uint16_t channel = 0;
  options.book = book_;
  for (const std::string& name : broker_.queues) {
    options.front = "amqp/" + broker_.name + "/" + name;
    queues_.push_back(std::make_unique<Queue>(name, ++channel, options));
    Queue* queue = queues_.back().get();
    queue->backoff = kInitialBackoff;
    queue->front = options.front;
    queue->retry_timer = host.timer([this, queue] {
      run_backlog(*queue);
      check_coverage(*queue);
    });
    queue->reopen_timer = host.timer([this, queue] {
      if (endpoint_ && endpoint_->ready() && !draining_) open_channel(*queue);
    });
  }
  if (book_)
    for (const auto& queue : queues_) {
      broker_.sole_reader ? book_->begin_exclusive_reading(queue->front)
                          : book_->end_exclusive_reading(queue->front);
      recover_owed_calls(*queue);
    }
  reconnect_timer_->start(Duration(0));
}

TriggerFront::~TriggerFront() { *alive_ = false; }

// ---- Connection -------------------------------------------------------------------------------------

void TriggerFront::connect_to_broker() {
  if (draining_ && drained() && core_.open() == 0) return;
  amqp::EndpointOptions options;
  options.channel_max = static_cast<std::uint16_t>(std::max<std::size_t>(queues_.size(), 8));
  options.frame_max = broker_.frame_max;
  options.heartbeat_s = broker_.heartbeat_s;
  options.max_body_bytes = core_.settings().gateway.max_body_bytes;
  options.user = broker_.user, options.password = broker_.password, options.vhost = broker_.vhost;
  amqp::Table capabilities;
  capabilities.set("consumer_cancel_notify", true).set("publisher_confirms", true).set("basic.nack", true);
  capabilities.set("connection.blocked", true);
  options.properties.set("product", std::string("laureltide")).set("connection_name", gateway_name_);
  options.properties.set("capabilities", capabilities);
  endpoint_ = std::make_unique<amqp::Endpoint>(host_, amqp::Endpoint::Role::kClient, options, *this);
  io::StreamOptions stream;
  stream.read_ahead = std::max<std::size_t>(2U << 20, 2U * broker_.frame_max);
  endpoint_->attach(host_.connect(broker_.address, stream, *endpoint_));
}

Duration TriggerFront::next_backoff(Duration& backoff) {
  const Duration wait = std::chrono::duration_cast<Duration>(backoff * (0.5 + host_.random_unit() / 2));
  backoff = std::min(backoff * 2, kMaxBackoff);
  return wait;
}

void TriggerFront::on_ready() {
  log_(false, "broker " + broker_.name + ": connected");
  backoff_ = kInitialBackoff;
  reading_ = true;
  for (const auto& queue : queues_) open_channel(*queue);
}

void TriggerFront::on_ended(const std::string& why) {
  log_(true, "broker " + broker_.name + ": connection ended: " + why);
  dead_.delete_later(std::move(endpoint_));
  for (const auto& queue : queues_) reset_channel(*queue);
  if (!(draining_ && drained())) reconnect_timer_->start(next_backoff(backoff_));
}

void TriggerFront::open_channel(Queue& queue) {
  if (draining_ && queue.outgoing.empty() && queue.unconfirmed_replies.empty()) return;
  queue.epoch = ++last_epoch_;
  endpoint_->open_channel(queue.channel);
}

TriggerFront::Queue* TriggerFront::queue_of(std::uint16_t channel) {
  return channel >= 1 && channel <= queues_.size() ? queues_[channel - 1].get() : nullptr;
}

// The broker requeues what was not acknowledged and redelivers it: replies to the old deliveries are dropped,
// and sent again for the new ones.
void TriggerFront::reset_channel(Queue& queue) {
  queue.channel_ready = queue.consuming = queue.cancelling = queue.depth_requested = false;
  queue.epoch = ++last_epoch_;  // invalidates all earlier deliveries
  // Owed answers are kept: unconfirmed ones are published again, before those that were never sent.
  std::deque<Reply> owed;
  for (auto& [number, reply] : queue.unconfirmed)
    if (reply.owed) owed.push_back(std::move(reply));
  for (Reply& reply : queue.outgoing)
    if (reply.owed) owed.push_back(std::move(reply));
  queue.outgoing = std::move(owed);
  queue.parked.clear();
  queue.committing.clear(), queue.uncommitted.clear(), queue.unconfirmed.clear();
  queue.commit_in_flight = false;
  queue.publish_sequence = 0;
  queue.unacknowledged = 0;
}

void TriggerFront::on_channel_closed(std::uint16_t channel, std::uint16_t code, const std::string& text) {
  Queue* queue = queue_of(channel);
  if (!queue) return;
  log_(true, "broker " + broker_.name + ", queue " + queue->name +
                 ": channel closed: " + std::to_string(code) + " " + text);
  reset_channel(*queue);
  queue->reopen_timer->start(next_backoff(queue->backoff));
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
    if (paused_) {  // replies may be published; no messages are consumed
      queue->channel_ready = true;
      send_outgoing(*queue);
    } else {
      consume(*queue);
    }
  } else if (const auto* ok = std::get_if<amqp::BasicConsumeOk>(&method)) {
    queue->consumer = ok->consumer_tag;
    queue->channel_ready = queue->consuming = true;
    queue->backoff = kInitialBackoff;
    log_(false, "broker " + broker_.name + ", queue " + queue->name + ": consuming");
    if (draining_ || paused_) {
      queue->cancelling = true;
      endpoint_->send(channel, amqp::BasicCancel{queue->consumer, false});
    }
    check_coverage(*queue);
    send_outgoing(*queue);
  } else if (std::holds_alternative<amqp::BasicCancelOk>(method)) {
    queue->consuming = queue->cancelling = false;
    if (!draining_ && !paused_) consume(*queue);  // the ledger accepts records again
  } else if (const auto* left = std::get_if<amqp::QueueDeclareOk>(&method)) {
    queue->depth_requested = false;
    if (left->message_count == 0 && queue->unacknowledged == 0 && queue->consuming)
      book_->mark_complete(queue->front);
    else
      queue->retry_timer->start(kCoverageCheckInterval);
  } else if (std::holds_alternative<amqp::BasicCancel>(method)) {
    log_(true, "broker " + broker_.name + ", queue " + queue->name + ": the broker cancelled the consumer");
    // Open calls can still be answered here; the queue is consumed again on a new channel.
    endpoint_->close_channel(channel, amqp::ReplyCode::kSuccess, "consumer was cancelled");
    reset_channel(*queue);
    queue->reopen_timer->start(next_backoff(queue->backoff));
  } else if (std::holds_alternative<amqp::TxCommitOk>(method)) {
    queue->commit_in_flight = false;
    if (book_) book_->crash_point("commit-known");
    for (const Reply& reply : std::exchange(queue->committing, {})) on_reply_settled(*queue, reply);
    send_outgoing(*queue);
  } else if (const auto* ack = std::get_if<amqp::BasicAck>(&method)) {
    auto first = ack->multiple ? queue->unconfirmed.begin() : queue->unconfirmed.find(ack->delivery_tag);
    const auto last = queue->unconfirmed.upper_bound(ack->delivery_tag);
    while (first != queue->unconfirmed.end() && first != last) {
      const Reply reply = std::move(first->second);
      first = queue->unconfirmed.erase(first);
      if (!reply.owed) endpoint_->send(channel, amqp::BasicAck{reply.delivery.tag, false});
      on_reply_settled(*queue, reply);
    }
  } else if (const auto* nack = std::get_if<amqp::BasicNack>(&method)) {
    // The broker rejected the answers: they are queued again, in order.
    auto first = nack->multiple ? queue->unconfirmed.begin() : queue->unconfirmed.find(nack->delivery_tag);
    const auto last = queue->unconfirmed.upper_bound(nack->delivery_tag);
    while (first != queue->unconfirmed.end() && first != last) {
      queue->outgoing.push_back(std::move(first->second));
      first = queue->unconfirmed.erase(first);
    }
    send_outgoing(*queue);
  }
}

// ---- Incoming messages --------------------------------------------------------------------------------

void TriggerFront::on_content(std::uint16_t channel, const amqp::Method& method, amqp::Content content) {
  Queue* queue = queue_of(channel);
  if (!queue) return;
  if (const auto* deliver = std::get_if<amqp::BasicDeliver>(&method))
    on_message(*queue, *deliver, std::move(content));
  else if (const auto* returned = std::get_if<amqp::BasicReturn>(&method))
    log_(true, "broker " + broker_.name + ": an answer could not be routed: reply-to " +
                   returned->routing_key + ": " + std::to_string(returned->reply_code) + " " +
                   returned->reply_text);
}

void TriggerFront::requeue(Queue& queue, std::uint64_t tag) {
  endpoint_->send(queue.channel, amqp::BasicNack{tag, false, true});
  if (broker_.answers != config::AnswerMode::kTransaction) return;
  queue.uncommitted.push_back({"", {queue.epoch, tag, "", ""}, nullptr});
  ++queue.unacknowledged;
  send_outgoing(queue);
}

void TriggerFront::on_message(Queue& queue, const amqp::BasicDeliver& deliver, amqp::Content content) {
  if (draining_ || paused_) return requeue(queue, deliver.delivery_tag);
  auto parsed = parse_message(queue, deliver, std::move(content));
  if (!parsed) return;
  const bool on_take = broker_.acknowledge == config::AcknowledgeMode::kOnTake;
  const bool recorded =
      book_ && parsed->named &&
      (on_take || parsed->effect.semantics != Semantics::kRepeatable || core_.settings().ledger.all_calls);
  if (recorded) {
    if (const std::string why = book_->refusal_reason(); !why.empty()) {
      --queue.unacknowledged;
      requeue(queue, deliver.delivery_tag);
      return pause(why);
    }
    parsed->call.ledger_key = queue.intake.key(parsed->call.name);
  }
  if (on_take && recorded) return take_owed(queue, std::move(*parsed));
  take(queue, std::move(*parsed));
}

std::optional<TriggerFront::Parsed> TriggerFront::parse_message(Queue& queue,
                                                                const amqp::BasicDeliver& deliver,
                                                                amqp::Content content) {
  const amqp::Properties& p = content.properties;
  Parsed parsed;
  parsed.redelivered = deliver.redelivered;
  parsed.delivery = {queue.epoch, deliver.delivery_tag, p.reply_to.value_or(""),
                     p.correlation_id.value_or("")};
  ++queue.unacknowledged;

  const config::Settings& settings = core_.settings();
  const std::string message_name = p.message_id.value_or("without message-id");
  auto refuse = [&](std::string reason) {
    reject(queue, std::move(parsed.delivery), Answer::Kind::kRefused, std::move(reason), message_name);
    return std::nullopt;
  };
  if (!p.type || p.type->empty()) return refuse("property type does not name a function");
  const config::Function* function = settings.find(*p.type);
  if (!function) return refuse("unknown function: " + *p.type);
  const RequestClass& request_class = settings.module.classes[function->request_class];
  if (content.body_size > content.body.size())
    return refuse("body of " + std::to_string(content.body_size) + " bytes; the most is " +
                  std::to_string(settings.gateway.max_body_bytes));
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
  std::string error_text;
  const std::string tenant = text_header(p, "tenant", error_text);
  call.key = text_header(p, "key", error_text);
  if (!error_text.empty()) return refuse(error_text);
  if (!broker_.tenant.empty()) {
    // The broker authenticates its users; a message's own tenant header is not trusted.
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
    // Without a name a redelivery cannot be distinguished from a new call.
    if (request_class.semantics != Semantics::kRepeatable)
      return refuse("a call of this class needs a message-id");
    call.name = "unnamed-" + std::to_string(++unnamed_calls_);
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

// Handles a call whose message is acknowledged together with its answer.
void TriggerFront::take(Queue& queue, Parsed parsed) {
  Call& call = parsed.call;
  const std::string name = call.name;
  Delivery& delivery = parsed.delivery;
  const Intake::Decision decision =
      queue.intake.deliver(name, delivery, parsed.redelivered, parsed.effect, host_.now());
  switch (decision.verdict) {
    case Intake::Verdict::kRun: {
      const std::string ledger_key = call.ledger_key;
      if (!ledger_key.empty()) {
        if (decision.until_ms) {  // a repeat is safe only while every worker would drop it
          const Duration window = std::chrono::milliseconds(*decision.until_ms - book_->now_ms());
          const Duration timeout =
              call.timeout.value_or(core_.settings().module.classes[call.function->request_class].give_up);
          call.timeout = std::min(timeout, window);
        } else {
          book_->take(ledger_key, record_of(call, delivery));
        }
      }
      const auto refused =
          core_.take(std::move(call), [this, &queue, name, ledger_key, alive = alive_](Answer a) {
            if (*alive) on_call_finished(queue, name, ledger_key, std::move(a));
          });
      if (refused) {
        queue.intake.forget(name);
        reject(queue, std::move(delivery), Answer::Kind::kRefused, *refused, name);
      }
      return;
    }
    case Intake::Verdict::kJoin: return;
    case Intake::Verdict::kAnswer:
      return enqueue_reply(
          queue, {name, std::move(delivery), std::make_shared<Answer>(*queue.intake.answer_of(name))});
    case Intake::Verdict::kAcknowledge:
      endpoint_->send(queue.channel, amqp::BasicAck{delivery.tag, false});
      if (queue.unacknowledged > 0) --queue.unacknowledged;
      return;
    case Intake::Verdict::kFail:
      return reject(queue, std::move(delivery), Answer::Kind::kFailed, decision.reason, name);
    case Intake::Verdict::kTooMany:
      return reject(queue, std::move(delivery), Answer::Kind::kRefused,
                    "too many messages of this name wait for one call", name);
  }
}

// ---- Acknowledged on take -------------------------------------------------------------------------------

// Handles a call whose message is acknowledged on take. The ledger alone tells whether the name is known.
void TriggerFront::take_owed(Queue& queue, Parsed parsed) {
  const std::string key = parsed.call.ledger_key, name = parsed.call.name;
  const ledger::Record* known = book_->find(key);
  if (known && parsed.redelivered) {
    // Only its acknowledgement was lost: acknowledge again once the ledger's pending writes are durable.
    return book_->when_durable([this, &queue, name, delivery = parsed.delivery, alive = alive_] {
      if (*alive) acknowledge(queue, name, delivery);
    });
  }
  if (known && !known->delivered) {  // another message of the same name waits for the answer
    if (known->replies.size() >= kMaxReplies)
      return reject(queue, std::move(parsed.delivery), Answer::Kind::kRefused,
                    "too many messages of this name wait for one call", name);
    const ledger::ReplyTo to{parsed.delivery.reply_to, parsed.delivery.correlation_id};
    return book_->add_reply(
        key, to, [this, &queue, name, key, to, delivery = parsed.delivery, alive = alive_] {
          if (!*alive) return;
          acknowledge(queue, name, delivery);
          const ledger::Record* record = book_->find(key);
          if (!record || !record->answer || to.to.empty()) return;
          ++queue.unconfirmed_replies[name];
          enqueue_reply(queue, {name,
                                {0, 0, to.to, to.correlation},
                                std::make_shared<Answer>(answer_from_record(name, *record)),
                                true});
        });
  }
  const ledger::RecoveryDecision ruling =
      book_->decide(queue.front, name, parsed.effect, parsed.redelivered && !known);
  if (ruling.verdict == ledger::Verdict::kFail)
    return reject(queue, std::move(parsed.delivery), Answer::Kind::kFailed, ruling.reason, name);
  if (!capacity_problem(queue).empty()) {  // it stays unacknowledged; prefetch bounds how many
    queue.parked.push_back(std::move(parsed));
    return;
  }
  ++queue.pending_takes;
  ledger::Record record = record_of(parsed.call, parsed.delivery);
  record.owed = true;
  record.body = parsed.call.body;
  auto call = std::make_shared<Call>(std::move(parsed.call));
  book_->take(key, std::move(record), [this, &queue, name, call, delivery = parsed.delivery, alive = alive_] {
    if (!*alive) return;
    --queue.pending_takes;
    acknowledge(queue, name, delivery);
    run_owed(queue, name, std::move(*call));
  });
}

void TriggerFront::acknowledge(Queue& queue, const std::string& name, const Delivery& delivery) {
  if (!queue.channel_ready || delivery.epoch != queue.epoch)
    return;  // it will be redelivered, and is known then
  endpoint_->send(queue.channel, amqp::BasicAck{delivery.tag, false});
  if (queue.unacknowledged > 0) --queue.unacknowledged;
  queue.acknowledged[name] = queue.epoch;
}

void TriggerFront::run_owed(Queue& queue, const std::string& name, Call call) {
  const auto refused = core_.take(std::move(call), [this, &queue, name, alive = alive_](Answer a) {
    if (*alive) on_owed_call_finished(queue, name, a);
  });
  if (refused) on_owed_call_finished(queue, name, {Answer::Kind::kRefused, *refused, {}, {}, {}});
}

void TriggerFront::on_owed_call_finished(Queue& queue, const std::string& name, const Answer& answer) {
  book_->answer(queue.intake.key(name), to_ledger(answer), [this, &queue, name, alive = alive_] {
    if (*alive) publish_owed(queue, name);
  });
  if (!queue.backlog.empty() || !queue.parked.empty()) queue.retry_timer->start(Duration(0));
}

void TriggerFront::publish_owed(Queue& queue, const std::string& name) {
  const ledger::Record* record = book_->find(queue.intake.key(name));
  if (!record || !record->answer) return;
  const auto answer = std::make_shared<const Answer>(answer_from_record(name, *record));
  std::vector<Reply> replies;
  for (const ledger::ReplyTo& to : record->replies)
    if (!to.to.empty()) replies.push_back({name, {0, 0, to.to, to.correlation}, answer, true});
  if (replies.empty())  // no reply is wanted; the message may still be redelivered
    return book_->delivered(queue.intake.key(name), ledger::AfterDelivery::kKeepWithoutAnswer,
                            kLostAcknowledgementTtlMs);
  queue.unconfirmed_replies[name] += replies.size();
  for (Reply& reply : replies) enqueue_reply(queue, std::move(reply));
}

std::string TriggerFront::capacity_problem(const Queue& queue) const {
  const auto most = static_cast<std::size_t>(core_.settings().module.bounds.max_open);
  return core_.open() + queue.pending_takes < most ? "" : "the gateway holds as many calls as it may";
}

// Recovers the calls that were owed when the gateway ended, oldest first, before any new ones.
void TriggerFront::recover_owed_calls(Queue& queue) {
  for (std::string& key : book_->owed(queue.front)) {
    book_->crash_point("owed-found");
    queue.backlog.push_back(std::move(key));
  }
  if (!queue.backlog.empty())
    log_(false, "broker " + broker_.name + ", queue " + queue.name + ": " +
                    std::to_string(queue.backlog.size()) + " owed calls found in the ledger at the start");
  run_backlog(queue);
}

void TriggerFront::run_backlog(Queue& queue) {
  while (!queue.backlog.empty() && capacity_problem(queue).empty()) {
    const std::string key = std::move(queue.backlog.front());
    queue.backlog.pop_front();
    const ledger::Record* record = book_->find(key);
    if (!record || record->delivered) continue;
    const std::string name = ledger::split_key(key).second;
    OwedCallDecision owed = decide_owed_call(core_.settings(), key, *record, book_->now_ms());
    book_->resume(key, owed.from_scratch);
    if (owed.call)
      run_owed(queue, name, std::move(*owed.call));
    else if (owed.final_answer)
      on_owed_call_finished(queue, name, *owed.final_answer);
    else
      publish_owed(queue, name);
  }
  while (queue.backlog.empty() && !queue.parked.empty() && capacity_problem(queue).empty()) {
    Parsed parsed = std::move(queue.parked.front());
    queue.parked.pop_front();
    if (queue.channel_ready && parsed.delivery.epoch == queue.epoch) take_owed(queue, std::move(parsed));
  }
}

// ---- Pausing while the ledger accepts no records ----------------------------------------------------------

void TriggerFront::pause(const std::string& why) {
  if (std::exchange(paused_, true)) return;
  log_(true, "broker " + broker_.name + ": nothing is taken: " + why);
  for (const auto& queue : queues_)
    if (queue->consuming && !std::exchange(queue->cancelling, true))
      endpoint_->send(queue->channel, amqp::BasicCancel{queue->consumer, false});
  pause_timer_->start(kPauseCheckInterval);
}

void TriggerFront::check_pause() {
  if (!paused_) return;
  if (!book_->refusal_reason().empty()) return pause_timer_->start(kPauseCheckInterval);
  paused_ = false;
  log_(false, "broker " + broker_.name + ": calls are taken again");
  if (!endpoint_ || !endpoint_->ready() || draining_) return;
  for (const auto& queue : queues_)
    if (queue->channel_ready && !queue->consuming) consume(*queue);
}

void TriggerFront::consume(Queue& queue) {
  amqp::BasicConsume method;
  method.queue = queue.name;
  method.exclusive = broker_.sole_reader;
  endpoint_->send(queue.channel, method);
}

// The ledger covers a queue once no message is left that another consumer may have received: when the queue
// is seen empty with no delivery outstanding here. From then on every redelivered message was delivered to
// this gateway alone.
void TriggerFront::check_coverage(Queue& queue) {
  if (!broker_.sole_reader || queue.depth_requested || !queue.channel_ready || !endpoint_ ||
      !endpoint_->ready())
    return;
  if (book_->coverage(queue.front) == ledger::Coverage::kComplete) return;
  amqp::QueueDeclare ask;
  ask.queue = queue.name;
  ask.passive = true;
  queue.depth_requested = true;
  endpoint_->send(queue.channel, ask);
}

// Answers a message that is not run, if it has a reply address, and acknowledges it.
void TriggerFront::reject(Queue& queue, Delivery delivery, Answer::Kind kind, std::string reason,
                          const std::string& what) {
  log_(true, "broker " + broker_.name + ", queue " + queue.name + ", message " + what + ": " + text_of(kind) +
                 ": " + reason);
  auto answer = std::make_shared<Answer>();
  answer->kind = kind;
  answer->reason = std::move(reason);
  enqueue_reply(queue, {"", std::move(delivery), std::move(answer)});
}

// ---- Outgoing answers -----------------------------------------------------------------------------------

void TriggerFront::on_call_finished(Queue& queue, const std::string& name, const std::string& ledger_key,
                                    Answer answer) {
  const ledger::Record* kept = ledger_key.empty() ? nullptr : book_->find(ledger_key);
  answer.id =
      kept ? answer_id(name, *kept) : name + "/" + std::to_string(host_.now().time_since_epoch().count());
  const auto shared = std::make_shared<const Answer>(std::move(answer));
  auto deliver = [this, &queue, name, shared] {
    for (Delivery& d :
         queue.intake.record_answer(name, *shared, queue.channel_ready ? queue.epoch : 0, host_.now()))
      enqueue_reply(queue, {name, std::move(d), shared});
  };
  if (ledger_key.empty()) return deliver();
  // A transaction publishes answer and acknowledgement atomically, so a crash cannot repeat an answer. In
  // confirm mode a restarted gateway could publish a different answer than before the crash, so the answer
  // must be durable first.
  if (broker_.answers == config::AnswerMode::kConfirm)
    return book_->answer(ledger_key, to_ledger(*shared), [deliver, alive = alive_] {
      if (*alive) deliver();
    });
  book_->answer(ledger_key, to_ledger(*shared));
  deliver();
}

void TriggerFront::enqueue_reply(Queue& queue, Reply reply) {
  queue.outgoing.push_back(std::move(reply));
  send_outgoing(queue);
}

void TriggerFront::send_outgoing(Queue& queue) {
  if (!endpoint_ || !endpoint_->ready() || !queue.channel_ready) return;
  while (!queue.outgoing.empty() && endpoint_->may_publish(queue.channel) &&
         endpoint_->unsent() < kMaxUnsentBytes) {
    Reply reply = std::move(queue.outgoing.front());
    queue.outgoing.pop_front();
    publish(queue, std::move(reply));
  }
  // One commit is in flight at a time (group commit); later replies go into the next.
  if (!queue.commit_in_flight && !queue.uncommitted.empty()) {
    queue.committing = std::exchange(queue.uncommitted, {});
    queue.commit_in_flight = true;
    endpoint_->send(queue.channel, amqp::TxCommit{});
    if (book_) book_->crash_point("commit-sent");
  }
  update_reading();
}

void TriggerFront::publish(Queue& queue, Reply reply) {
  const bool transactions = broker_.answers == config::AnswerMode::kTransaction;
  const bool reply_wanted = !reply.delivery.reply_to.empty();
  if (reply_wanted) {
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
  if (reply.owed) return void(queue.unconfirmed.emplace(++queue.publish_sequence, std::move(reply)));
  if (transactions || !reply_wanted)
    endpoint_->send(queue.channel, amqp::BasicAck{reply.delivery.tag, false});
  if (transactions) {
    queue.uncommitted.push_back(std::move(reply));
  } else if (reply_wanted) {
    queue.unconfirmed.emplace(++queue.publish_sequence, std::move(reply));
  } else {
    on_reply_settled(queue, reply);
  }
}

void TriggerFront::on_reply_settled(Queue& queue, const Reply& reply) {
  if (reply.owed) {
    const auto left = queue.unconfirmed_replies.find(reply.name);
    if (left == queue.unconfirmed_replies.end() || --left->second > 0) return;
    queue.unconfirmed_replies.erase(left);
    // A broker processes a channel in order: it has every acknowledgement sent before the answer that it
    // confirms.
    const auto acknowledged = queue.acknowledged.find(reply.name);
    const bool certain = acknowledged != queue.acknowledged.end() && acknowledged->second == queue.epoch;
    if (acknowledged != queue.acknowledged.end()) queue.acknowledged.erase(acknowledged);
    return book_->delivered(
        queue.intake.key(reply.name),
        certain ? ledger::AfterDelivery::kDropRecord : ledger::AfterDelivery::kKeepWithoutAnswer,
        kLostAcknowledgementTtlMs);
  }
  if (queue.unacknowledged > 0) --queue.unacknowledged;
  if (!reply.name.empty())
    queue.intake.on_acknowledged(reply.name, reply.delivery.epoch, reply.delivery.tag,
                                 broker_.answers == config::AnswerMode::kTransaction);
}

// Backpressure: nothing is read from a broker that does not read the answers.
void TriggerFront::update_reading() {
  if (!endpoint_) return;
  const bool reading = endpoint_->unsent() < kMaxUnsentBytes;
  if (reading != reading_) endpoint_->read(reading_ = reading);
}

void TriggerFront::on_writable() {
  for (const auto& queue : queues_) send_outgoing(*queue);
  update_reading();
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
    return q->unacknowledged == 0 && q->backlog.empty() && q->pending_takes == 0 &&
           q->unconfirmed_replies.empty();
  });
}

}  // namespace laureltide::controller
