#include "amqp/codec.h"

#include <array>

namespace laureltide::amqp {
namespace {

constexpr char kFrameEnd = '\xCE';
constexpr std::size_t kFrameHeaderBytes = 7;

// Reads the fields of a method in wire order. Consecutive bits share octets, low bit first (4.2.5.2).
class FieldReader {
 public:
  explicit FieldReader(Reader& in) : in_(in) {}
  void operator()(auto&... fields) { (read_field(fields), ...); }

 private:
  void read_field(bool& v) {
    if (bit_ == 0 || bit_ == 8) octet_ = in_.u8(), bit_ = 0;
    v = octet_ >> bit_++ & 1;
  }
  void read_field(std::uint8_t& v) { v = in_.u8(), bit_ = 0; }
  void read_field(std::uint16_t& v) { v = in_.u16(), bit_ = 0; }
  void read_field(std::uint32_t& v) { v = in_.u32(), bit_ = 0; }
  void read_field(std::uint64_t& v) { v = in_.u64(), bit_ = 0; }
  void read_field(std::string& v) { v = read_short(in_), bit_ = 0; }
  void read_field(LongString& v) { v.text = in_.take(in_.u32()), bit_ = 0; }
  void read_field(Table& v) { v = read_table(in_), bit_ = 0; }

  Reader& in_;
  std::uint8_t octet_ = 0;
  int bit_ = 0;
};

// Writes the fields of a method as FieldReader reads them.
class FieldWriter {
 public:
  explicit FieldWriter(Writer& out) : out_(out) {}
  void operator()(const auto&... fields) { (write_field(fields), ...), flush(); }

 private:
  void write_field(bool v) {
    if (bit_ == 8) flush();
    octet_ = static_cast<std::uint8_t>(octet_ | (v ? 1 : 0) << bit_++);
  }
  void write_field(std::uint8_t v) { flush(), out_.u8(v); }
  void write_field(std::uint16_t v) { flush(), out_.u16(v); }
  void write_field(std::uint32_t v) { flush(), out_.u32(v); }
  void write_field(std::uint64_t v) { flush(), out_.u64(v); }
  void write_field(const std::string& v) { flush(), write_short(out_, v); }
  void write_field(const LongString& v) {
    flush(), out_.u32(static_cast<std::uint32_t>(v.text.size())), out_.bytes(v.text);
  }
  void write_field(const Table& v) { flush(), write_table(out_, v); }
  void flush() {
    if (bit_ > 0) out_.u8(octet_);
    octet_ = 0, bit_ = 0;
  }

  Writer& out_;
  std::uint8_t octet_ = 0;
  int bit_ = 0;
};

template <class M>
bool read_as(MethodResult& result, Reader& in) {
  if (M::kClass != result.class_id || M::kMethod != result.method_id) return false;
  M method;
  method.fields(FieldReader(in));
  // Trailing bytes are an error like missing ones: they mean that the peer's fields differ from ours.
  if (in.done())
    result.method = std::move(method);
  else
    result.code = ReplyCode::kSyntaxError;
  return true;
}

template <class... M>
void read_any(MethodResult& result, Reader& in, const std::variant<M...>*) {
  if (!(read_as<M>(result, in) || ...)) result.code = ReplyCode::kNotImplemented;
}

// Visits each property with its bit in the flags word, in the order of the specification. Bit 0 announces
// another flags word, which class basic with its 14 properties does not have.
template <class P>
void each_property(P& p, auto&& visit) {
  visit(15, p.content_type), visit(14, p.content_encoding), visit(13, p.headers), visit(12, p.delivery_mode);
  visit(11, p.priority), visit(10, p.correlation_id), visit(9, p.reply_to), visit(8, p.expiration);
  visit(7, p.message_id), visit(6, p.timestamp), visit(5, p.type), visit(4, p.user_id), visit(3, p.app_id);
  visit(2, p.cluster_id);
}

}  // namespace

FrameResult parse_frame(std::string_view bytes, std::uint32_t frame_max) {
  using Kind = FrameResult::Kind;
  if (bytes.empty()) return {};
  const auto type = static_cast<FrameType>(bytes[0]);
  if (type != FrameType::kMethod && type != FrameType::kHeader && type != FrameType::kBody &&
      type != FrameType::kHeartbeat)
    return {Kind::kInvalid, {}, 0, "unknown frame type"};
  if (bytes.size() < kFrameHeaderBytes) return {};
  Reader in(bytes.substr(1, 6));
  const std::uint16_t channel = in.u16();
  const std::size_t size = in.u32();
  if (frame_max > 0 && size + kFrameOverhead > frame_max)
    return {Kind::kInvalid, {}, 0, "frame over frame-max"};
  if (type == FrameType::kHeartbeat && (size > 0 || channel != 0))
    return {Kind::kInvalid, {}, 0, "heartbeat with a payload or a channel"};
  if (bytes.size() < size + kFrameOverhead) return {};
  if (bytes[kFrameHeaderBytes + size] != kFrameEnd)
    return {Kind::kInvalid, {}, 0, "no frame end where the length says"};
  return {Kind::kFrame, {type, channel, bytes.substr(kFrameHeaderBytes, size)}, size + kFrameOverhead, {}};
}

void write_frame(std::string& out, FrameType type, std::uint16_t channel, std::string_view payload) {
  Writer w(out);
  w.u8(static_cast<std::uint8_t>(type));
  w.u16(channel);
  w.u32(static_cast<std::uint32_t>(payload.size()));
  w.bytes(payload);
  out.push_back(kFrameEnd);
}

MethodResult parse_method(std::string_view payload) {
  MethodResult result;
  Reader in(payload);
  result.class_id = in.u16();
  result.method_id = in.u16();
  if (!in.ok())
    result.code = ReplyCode::kSyntaxError;
  else
    read_any(result, in, static_cast<const Method*>(nullptr));
  return result;
}

void write_method(std::string& out, std::uint16_t channel, const Method& method) {
  Writer w(out);
  w.u8(static_cast<std::uint8_t>(FrameType::kMethod));
  w.u16(channel);
  const std::size_t mark = w.mark_u32();
  std::visit(
      [&](const auto& m) {
        w.u16(m.kClass);
        w.u16(m.kMethod);
        auto& fields = const_cast<std::remove_cvref_t<decltype(m)>&>(m);  // FieldWriter changes nothing
        fields.fields(FieldWriter(w));
      },
      method);
  w.fill_u32(mark);
  out.push_back(kFrameEnd);
}

const char* name_of(const Method& method) {
  static constexpr std::array kNames = {
      "connection.start", "connection.start-ok", "connection.secure",   "connection.secure-ok",
      "connection.tune",  "connection.tune-ok",  "connection.open",     "connection.open-ok",
      "connection.close", "connection.close-ok", "connection.blocked",  "connection.unblocked",
      "channel.open",     "channel.open-ok",     "channel.flow",        "channel.flow-ok",
      "channel.close",    "channel.close-ok",    "exchange.declare",    "exchange.declare-ok",
      "exchange.delete",  "exchange.delete-ok",  "queue.declare",       "queue.declare-ok",
      "queue.bind",       "queue.bind-ok",       "queue.purge",         "queue.purge-ok",
      "queue.delete",     "queue.delete-ok",     "queue.unbind",        "queue.unbind-ok",
      "basic.qos",        "basic.qos-ok",        "basic.consume",       "basic.consume-ok",
      "basic.cancel",     "basic.cancel-ok",     "basic.publish",       "basic.return",
      "basic.deliver",    "basic.get",           "basic.get-ok",        "basic.get-empty",
      "basic.ack",        "basic.reject",        "basic.recover-async", "basic.recover",
      "basic.recover-ok", "basic.nack",          "confirm.select",      "confirm.select-ok",
      "tx.select",        "tx.select-ok",        "tx.commit",           "tx.commit-ok",
      "tx.rollback",      "tx.rollback-ok"};
  static_assert(kNames.size() == std::variant_size_v<Method>);
  return kNames[method.index()];
}

std::optional<ContentHeader> parse_content_header(std::string_view payload) {
  Reader in(payload);
  ContentHeader header;
  header.class_id = in.u16();
  in.u16();  // weight, always 0
  header.body_size = in.u64();
  const std::uint16_t flags = in.u16();
  if (flags & 3) in.fail();
  each_property(header.properties, [&](int bit, auto& property) {
    if (!(flags >> bit & 1)) return;
    using T = typename std::remove_cvref_t<decltype(property)>::value_type;
    if constexpr (std::is_same_v<T, std::string>)
      property = std::string(read_short(in));
    else if constexpr (std::is_same_v<T, Table>)
      property = read_table(in);
    else if constexpr (std::is_same_v<T, std::uint8_t>)
      property = in.u8();
    else
      property = in.u64();
  });
  if (!in.done()) return std::nullopt;
  return header;
}

void write_content_header(std::string& out, std::uint16_t channel, const ContentHeader& header) {
  Writer w(out);
  w.u8(static_cast<std::uint8_t>(FrameType::kHeader));
  w.u16(channel);
  const std::size_t mark = w.mark_u32();
  w.u16(header.class_id);
  w.u16(0);
  w.u64(header.body_size);
  std::uint16_t flags = 0;
  each_property(header.properties, [&](int bit, auto& p) {
    if (p) flags = static_cast<std::uint16_t>(flags | 1U << bit);
  });
  w.u16(flags);
  each_property(header.properties, [&](int, auto& property) {
    if (!property) return;
    using T = typename std::remove_cvref_t<decltype(property)>::value_type;
    if constexpr (std::is_same_v<T, std::string>)
      write_short(w, *property);
    else if constexpr (std::is_same_v<T, Table>)
      write_table(w, *property);
    else if constexpr (std::is_same_v<T, std::uint8_t>)
      w.u8(*property);
    else
      w.u64(*property);
  });
  w.fill_u32(mark);
  out.push_back(kFrameEnd);
}

void write_content(std::string& out, std::uint16_t channel, const Method& method,
                   const Properties& properties, std::string_view body, std::uint32_t frame_max) {
  write_method(out, channel, method);
  write_content_header(out, channel, {60, body.size(), properties});
  const std::size_t payload_bytes = frame_max > 0 ? frame_max - kFrameOverhead : body.size();
  for (std::size_t offset = 0; offset < body.size(); offset += payload_bytes)
    write_frame(out, FrameType::kBody, channel, body.substr(offset, payload_bytes));
}

}  // namespace laureltide::amqp
