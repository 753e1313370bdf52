// The methods of AMQP 0-9-1, class by class, with the fields in the order of the specification's XML; plus
// the common extensions basic.nack, confirm.* and connection.blocked. `fields` passes the fields to a codec
// in wire order; consecutive bits share an octet (4.2.5.2).
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "amqp/types.h"

namespace laureltide::amqp {

// A string with a 32-bit length. A std::string field is a short string (at most 255 bytes).
struct LongString {
  std::string text;
  bool operator==(const LongString&) const = default;
};

struct ConnectionStart {
  static constexpr std::uint16_t kClass = 10, kMethod = 10;
  std::uint8_t version_major = 0;
  std::uint8_t version_minor = 9;
  Table server_properties;
  LongString mechanisms;
  LongString locales;
  void fields(auto&& visit) { visit(version_major, version_minor, server_properties, mechanisms, locales); }
};
struct ConnectionStartOk {
  static constexpr std::uint16_t kClass = 10, kMethod = 11;
  Table client_properties;
  std::string mechanism;
  LongString response;
  std::string locale;
  void fields(auto&& visit) { visit(client_properties, mechanism, response, locale); }
};
struct ConnectionSecure {
  static constexpr std::uint16_t kClass = 10, kMethod = 20;
  LongString challenge;
  void fields(auto&& visit) { visit(challenge); }
};
struct ConnectionSecureOk {
  static constexpr std::uint16_t kClass = 10, kMethod = 21;
  LongString response;
  void fields(auto&& visit) { visit(response); }
};
struct ConnectionTune {
  static constexpr std::uint16_t kClass = 10, kMethod = 30;
  std::uint16_t channel_max = 0;
  std::uint32_t frame_max = 0;
  std::uint16_t heartbeat = 0;
  void fields(auto&& visit) { visit(channel_max, frame_max, heartbeat); }
};
struct ConnectionTuneOk {
  static constexpr std::uint16_t kClass = 10, kMethod = 31;
  std::uint16_t channel_max = 0;
  std::uint32_t frame_max = 0;
  std::uint16_t heartbeat = 0;
  void fields(auto&& visit) { visit(channel_max, frame_max, heartbeat); }
};
struct ConnectionOpen {
  static constexpr std::uint16_t kClass = 10, kMethod = 40;
  std::string virtual_host;
  std::string reserved_1;
  bool reserved_2 = false;
  void fields(auto&& visit) { visit(virtual_host, reserved_1, reserved_2); }
};
struct ConnectionOpenOk {
  static constexpr std::uint16_t kClass = 10, kMethod = 41;
  std::string reserved_1;
  void fields(auto&& visit) { visit(reserved_1); }
};
struct ConnectionClose {
  static constexpr std::uint16_t kClass = 10, kMethod = 50;
  std::uint16_t reply_code = 0;
  std::string reply_text;
  std::uint16_t failing_class = 0;
  std::uint16_t failing_method = 0;
  void fields(auto&& visit) { visit(reply_code, reply_text, failing_class, failing_method); }
};
struct ConnectionCloseOk {
  static constexpr std::uint16_t kClass = 10, kMethod = 51;
  void fields(auto&& visit) { visit(); }
};
struct ConnectionBlocked {
  static constexpr std::uint16_t kClass = 10, kMethod = 60;
  std::string reason;
  void fields(auto&& visit) { visit(reason); }
};
struct ConnectionUnblocked {
  static constexpr std::uint16_t kClass = 10, kMethod = 61;
  void fields(auto&& visit) { visit(); }
};
struct ChannelOpen {
  static constexpr std::uint16_t kClass = 20, kMethod = 10;
  std::string reserved_1;
  void fields(auto&& visit) { visit(reserved_1); }
};
struct ChannelOpenOk {
  static constexpr std::uint16_t kClass = 20, kMethod = 11;
  LongString reserved_1;
  void fields(auto&& visit) { visit(reserved_1); }
};
struct ChannelFlow {
  static constexpr std::uint16_t kClass = 20, kMethod = 20;
  bool active = true;
  void fields(auto&& visit) { visit(active); }
};
struct ChannelFlowOk {
  static constexpr std::uint16_t kClass = 20, kMethod = 21;
  bool active = true;
  void fields(auto&& visit) { visit(active); }
};
struct ChannelClose {
  static constexpr std::uint16_t kClass = 20, kMethod = 40;
  std::uint16_t reply_code = 0;
  std::string reply_text;
  std::uint16_t failing_class = 0;
  std::uint16_t failing_method = 0;
  void fields(auto&& visit) { visit(reply_code, reply_text, failing_class, failing_method); }
};
struct ChannelCloseOk {
  static constexpr std::uint16_t kClass = 20, kMethod = 41;
  void fields(auto&& visit) { visit(); }
};
struct ExchangeDeclare {
  static constexpr std::uint16_t kClass = 40, kMethod = 10;
  std::uint16_t reserved_1 = 0;
  std::string exchange;
  std::string type;
  bool passive = false;
  bool durable = false;
  bool auto_delete = false;
  bool internal = false;
  bool no_wait = false;
  Table arguments;
  void fields(auto&& visit) {
    visit(reserved_1, exchange, type, passive, durable, auto_delete, internal, no_wait, arguments);
  }
};
struct ExchangeDeclareOk {
  static constexpr std::uint16_t kClass = 40, kMethod = 11;
  void fields(auto&& visit) { visit(); }
};
struct ExchangeDelete {
  static constexpr std::uint16_t kClass = 40, kMethod = 20;
  std::uint16_t reserved_1 = 0;
  std::string exchange;
  bool if_unused = false;
  bool no_wait = false;
  void fields(auto&& visit) { visit(reserved_1, exchange, if_unused, no_wait); }
};
struct ExchangeDeleteOk {
  static constexpr std::uint16_t kClass = 40, kMethod = 21;
  void fields(auto&& visit) { visit(); }
};
struct QueueDeclare {
  static constexpr std::uint16_t kClass = 50, kMethod = 10;
  std::uint16_t reserved_1 = 0;
  std::string queue;
  bool passive = false;
  bool durable = false;
  bool exclusive = false;
  bool auto_delete = false;
  bool no_wait = false;
  Table arguments;
  void fields(auto&& visit) {
    visit(reserved_1, queue, passive, durable, exclusive, auto_delete, no_wait, arguments);
  }
};
struct QueueDeclareOk {
  static constexpr std::uint16_t kClass = 50, kMethod = 11;
  std::string queue;
  std::uint32_t message_count = 0;
  std::uint32_t consumer_count = 0;
  void fields(auto&& visit) { visit(queue, message_count, consumer_count); }
};
struct QueueBind {
  static constexpr std::uint16_t kClass = 50, kMethod = 20;
  std::uint16_t reserved_1 = 0;
  std::string queue;
  std::string exchange;
  std::string routing_key;
  bool no_wait = false;
  Table arguments;
  void fields(auto&& visit) { visit(reserved_1, queue, exchange, routing_key, no_wait, arguments); }
};
struct QueueBindOk {
  static constexpr std::uint16_t kClass = 50, kMethod = 21;
  void fields(auto&& visit) { visit(); }
};
struct QueuePurge {
  static constexpr std::uint16_t kClass = 50, kMethod = 30;
  std::uint16_t reserved_1 = 0;
  std::string queue;
  bool no_wait = false;
  void fields(auto&& visit) { visit(reserved_1, queue, no_wait); }
};
struct QueuePurgeOk {
  static constexpr std::uint16_t kClass = 50, kMethod = 31;
  std::uint32_t message_count = 0;
  void fields(auto&& visit) { visit(message_count); }
};
struct QueueDelete {
  static constexpr std::uint16_t kClass = 50, kMethod = 40;
  std::uint16_t reserved_1 = 0;
  std::string queue;
  bool if_unused = false;
  bool if_empty = false;
  bool no_wait = false;
  void fields(auto&& visit) { visit(reserved_1, queue, if_unused, if_empty, no_wait); }
};
struct QueueDeleteOk {
  static constexpr std::uint16_t kClass = 50, kMethod = 41;
  std::uint32_t message_count = 0;
  void fields(auto&& visit) { visit(message_count); }
};
struct QueueUnbind {
  static constexpr std::uint16_t kClass = 50, kMethod = 50;
  std::uint16_t reserved_1 = 0;
  std::string queue;
  std::string exchange;
  std::string routing_key;
  Table arguments;
  void fields(auto&& visit) { visit(reserved_1, queue, exchange, routing_key, arguments); }
};
struct QueueUnbindOk {
  static constexpr std::uint16_t kClass = 50, kMethod = 51;
  void fields(auto&& visit) { visit(); }
};
struct BasicQos {
  static constexpr std::uint16_t kClass = 60, kMethod = 10;
  std::uint32_t prefetch_size = 0;
  std::uint16_t prefetch_count = 0;
  bool global = false;
  void fields(auto&& visit) { visit(prefetch_size, prefetch_count, global); }
};
struct BasicQosOk {
  static constexpr std::uint16_t kClass = 60, kMethod = 11;
  void fields(auto&& visit) { visit(); }
};
struct BasicConsume {
  static constexpr std::uint16_t kClass = 60, kMethod = 20;
  std::uint16_t reserved_1 = 0;
  std::string queue;
  std::string consumer_tag;
  bool no_local = false;
  bool no_ack = false;
  bool exclusive = false;
  bool no_wait = false;
  Table arguments;
  void fields(auto&& visit) {
    visit(reserved_1, queue, consumer_tag, no_local, no_ack, exclusive, no_wait, arguments);
  }
};
struct BasicConsumeOk {
  static constexpr std::uint16_t kClass = 60, kMethod = 21;
  std::string consumer_tag;
  void fields(auto&& visit) { visit(consumer_tag); }
};
struct BasicCancel {
  static constexpr std::uint16_t kClass = 60, kMethod = 30;
  std::string consumer_tag;
  bool no_wait = false;
  void fields(auto&& visit) { visit(consumer_tag, no_wait); }
};
struct BasicCancelOk {
  static constexpr std::uint16_t kClass = 60, kMethod = 31;
  std::string consumer_tag;
  void fields(auto&& visit) { visit(consumer_tag); }
};
struct BasicPublish {
  static constexpr std::uint16_t kClass = 60, kMethod = 40;
  std::uint16_t reserved_1 = 0;
  std::string exchange;
  std::string routing_key;
  bool mandatory = false;
  bool immediate = false;
  void fields(auto&& visit) { visit(reserved_1, exchange, routing_key, mandatory, immediate); }
};
struct BasicReturn {
  static constexpr std::uint16_t kClass = 60, kMethod = 50;
  std::uint16_t reply_code = 0;
  std::string reply_text;
  std::string exchange;
  std::string routing_key;
  void fields(auto&& visit) { visit(reply_code, reply_text, exchange, routing_key); }
};
struct BasicDeliver {
  static constexpr std::uint16_t kClass = 60, kMethod = 60;
  std::string consumer_tag;
  std::uint64_t delivery_tag = 0;
  bool redelivered = false;
  std::string exchange;
  std::string routing_key;
  void fields(auto&& visit) { visit(consumer_tag, delivery_tag, redelivered, exchange, routing_key); }
};
struct BasicGet {
  static constexpr std::uint16_t kClass = 60, kMethod = 70;
  std::uint16_t reserved_1 = 0;
  std::string queue;
  bool no_ack = false;
  void fields(auto&& visit) { visit(reserved_1, queue, no_ack); }
};
struct BasicGetOk {
  static constexpr std::uint16_t kClass = 60, kMethod = 71;
  std::uint64_t delivery_tag = 0;
  bool redelivered = false;
  std::string exchange;
  std::string routing_key;
  std::uint32_t message_count = 0;
  void fields(auto&& visit) { visit(delivery_tag, redelivered, exchange, routing_key, message_count); }
};
struct BasicGetEmpty {
  static constexpr std::uint16_t kClass = 60, kMethod = 72;
  std::string reserved_1;
  void fields(auto&& visit) { visit(reserved_1); }
};
struct BasicAck {
  static constexpr std::uint16_t kClass = 60, kMethod = 80;
  std::uint64_t delivery_tag = 0;
  bool multiple = false;
  void fields(auto&& visit) { visit(delivery_tag, multiple); }
};
struct BasicReject {
  static constexpr std::uint16_t kClass = 60, kMethod = 90;
  std::uint64_t delivery_tag = 0;
  bool requeue = false;
  void fields(auto&& visit) { visit(delivery_tag, requeue); }
};
struct BasicRecoverAsync {
  static constexpr std::uint16_t kClass = 60, kMethod = 100;
  bool requeue = false;
  void fields(auto&& visit) { visit(requeue); }
};
struct BasicRecover {
  static constexpr std::uint16_t kClass = 60, kMethod = 110;
  bool requeue = false;
  void fields(auto&& visit) { visit(requeue); }
};
struct BasicRecoverOk {
  static constexpr std::uint16_t kClass = 60, kMethod = 111;
  void fields(auto&& visit) { visit(); }
};
struct BasicNack {
  static constexpr std::uint16_t kClass = 60, kMethod = 120;
  std::uint64_t delivery_tag = 0;
  bool multiple = false;
  bool requeue = false;
  void fields(auto&& visit) { visit(delivery_tag, multiple, requeue); }
};
struct ConfirmSelect {
  static constexpr std::uint16_t kClass = 85, kMethod = 10;
  bool no_wait = false;
  void fields(auto&& visit) { visit(no_wait); }
};
struct ConfirmSelectOk {
  static constexpr std::uint16_t kClass = 85, kMethod = 11;
  void fields(auto&& visit) { visit(); }
};
struct TxSelect {
  static constexpr std::uint16_t kClass = 90, kMethod = 10;
  void fields(auto&& visit) { visit(); }
};
struct TxSelectOk {
  static constexpr std::uint16_t kClass = 90, kMethod = 11;
  void fields(auto&& visit) { visit(); }
};
struct TxCommit {
  static constexpr std::uint16_t kClass = 90, kMethod = 20;
  void fields(auto&& visit) { visit(); }
};
struct TxCommitOk {
  static constexpr std::uint16_t kClass = 90, kMethod = 21;
  void fields(auto&& visit) { visit(); }
};
struct TxRollback {
  static constexpr std::uint16_t kClass = 90, kMethod = 30;
  void fields(auto&& visit) { visit(); }
};
struct TxRollbackOk {
  static constexpr std::uint16_t kClass = 90, kMethod = 31;
  void fields(auto&& visit) { visit(); }
};

using Method =
    std::variant<ConnectionStart, ConnectionStartOk, ConnectionSecure, ConnectionSecureOk, ConnectionTune,
                 ConnectionTuneOk, ConnectionOpen, ConnectionOpenOk, ConnectionClose, ConnectionCloseOk,
                 ConnectionBlocked, ConnectionUnblocked, ChannelOpen, ChannelOpenOk, ChannelFlow,
                 ChannelFlowOk, ChannelClose, ChannelCloseOk, ExchangeDeclare, ExchangeDeclareOk,
                 ExchangeDelete, ExchangeDeleteOk, QueueDeclare, QueueDeclareOk, QueueBind, QueueBindOk,
                 QueuePurge, QueuePurgeOk, QueueDelete, QueueDeleteOk, QueueUnbind, QueueUnbindOk, BasicQos,
                 BasicQosOk, BasicConsume, BasicConsumeOk, BasicCancel, BasicCancelOk, BasicPublish,
                 BasicReturn, BasicDeliver, BasicGet, BasicGetOk, BasicGetEmpty, BasicAck, BasicReject,
                 BasicRecoverAsync, BasicRecover, BasicRecoverOk, BasicNack, ConfirmSelect, ConfirmSelectOk,
                 TxSelect, TxSelectOk, TxCommit, TxCommitOk, TxRollback, TxRollbackOk>;

}  // namespace laureltide::amqp
