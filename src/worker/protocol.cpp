#include "worker/protocol.h"

namespace laureltide::worker {
namespace {

std::string text(Reader& in) { return std::string(in.take(in.u16())); }
void text(Writer& out, std::string_view v) {
  v = v.substr(0, 0xffff);
  out.u16(static_cast<std::uint16_t>(v.size()));
  out.bytes(v);
}

template <class E>
E read_enum(Reader& in, E last) {
  const std::uint8_t raw = in.u8();
  if (raw < 1 || raw > static_cast<std::uint8_t>(last)) in.fail();
  return static_cast<E>(raw);
}

Report report(Reader& in) {
  Report r;
  for (int n = in.u8(); n > 0 && in.ok(); --n) {
    const std::uint8_t field = in.u8();
    r.values.emplace_back(field, in.f32());
  }
  return r;
}
void report(Writer& out, const Report& r) {
  out.u8(static_cast<std::uint8_t>(r.values.size()));
  for (const auto& [field, value] : r.values) out.u8(field), out.f32(value);
}

Message read(FrameType type, Reader& in) {
  switch (type) {
    case FrameType::kHello: {
      Hello m;
      if (in.u32() != kMagic) in.fail();
      m.major = in.u8(), m.minor = in.u8(), m.max_frame = in.u32(), m.id = in.u32();
      m.started_unix_ms = static_cast<std::int64_t>(in.u64());
      m.name = text(in);
      in.rest();  // later minor versions may append fields
      return m;
    }
    case FrameType::kCall: {
      Call m;
      m.id = in.u64(), m.patience_ms = in.u32(), m.attempt = in.u8();
      m.function = text(in), m.name = text(in), m.key = text(in), m.tenant = text(in);
      m.body = in.rest();
      return m;
    }
    case FrameType::kCancel: return Cancel{in.u64()};
    case FrameType::kAnswer: {
      Answer m;
      m.id = in.u64(), m.kind = read_enum(in, AnswerKind::kCancelled);
      const std::uint8_t found = in.u8();
      if (found > static_cast<std::uint8_t>(FoundKind::kLoadFailed)) in.fail();
      m.found = static_cast<FoundKind>(found), m.others_in_flight = in.u8();
      m.report = report(in), m.reason = text(in), m.body = in.rest();
      return m;
    }
    case FrameType::kPiece: {
      Piece m;
      m.id = in.u64(), m.body = in.rest();
      return m;
    }
    case FrameType::kHold: {
      Hold m;
      m.order = in.u64(), m.instances = in.u8(), m.function = text(in);
      return m;
    }
    case FrameType::kHeld: {
      Held m;
      m.order = in.u64(), m.kind = read_enum(in, HeldKind::kLoadFailed), m.instances = in.u8();
      return m;
    }
    case FrameType::kRelease: return Release{text(in)};
    case FrameType::kProbe: return Probe{in.u64()};
    case FrameType::kProbed: {
      Probed m;
      m.id = in.u64(), m.report = report(in);
      return m;
    }
    case FrameType::kDrain: return Drain{in.u64()};
    case FrameType::kError: {
      Error m;
      m.code = in.u16(), m.text = text(in);
      return m;
    }
  }
  in.fail();
  return Cancel{};
}

struct FieldsOf {
  Writer& w;
  void operator()(const Hello& m) {
    w.u32(kMagic), w.u8(m.major), w.u8(m.minor), w.u32(m.max_frame), w.u32(m.id);
    w.u64(static_cast<std::uint64_t>(m.started_unix_ms)), text(w, m.name);
  }
  void operator()(const Call& m) { call(m, m.body); }
  void call(const Call& m, std::string_view body) {
    w.u64(m.id), w.u32(m.patience_ms), w.u8(m.attempt);
    text(w, m.function), text(w, m.name), text(w, m.key), text(w, m.tenant), w.bytes(body);
  }
  void operator()(const Cancel& m) { w.u64(m.id); }
  void operator()(const Answer& m) {
    w.u64(m.id), w.u8(static_cast<std::uint8_t>(m.kind)), w.u8(static_cast<std::uint8_t>(m.found));
    w.u8(m.others_in_flight), report(w, m.report), text(w, m.reason), w.bytes(m.body);
  }
  void operator()(const Piece& m) { w.u64(m.id), w.bytes(m.body); }
  void operator()(const Hold& m) { w.u64(m.order), w.u8(m.instances), text(w, m.function); }
  void operator()(const Held& m) {
    w.u64(m.order), w.u8(static_cast<std::uint8_t>(m.kind)), w.u8(m.instances);
  }
  void operator()(const Release& m) { text(w, m.function); }
  void operator()(const Probe& m) { w.u64(m.id); }
  void operator()(const Probed& m) { w.u64(m.id), report(w, m.report); }
  void operator()(const Drain& m) { w.u64(m.last_taken); }
  void operator()(const Error& m) { w.u16(m.code), text(w, m.text); }
};

}  // namespace

ParseResult parse(std::string_view bytes, std::uint32_t max_frame) {
  using Kind = ParseResult::Kind;
  if (bytes.size() < 4) return {};
  const std::size_t size = Reader(bytes).u32();
  if (size > max_frame) return {Kind::kBad, {}, 0, kTooLarge, "frame exceeds the maximum length"};
  if (size < 1) return {Kind::kBad, {}, 0, kBadFrame, "frame without a type"};
  // The type is checked before the whole frame has arrived, so that garbage is rejected early.
  if (bytes.size() < 5) return {};
  const auto type = static_cast<std::uint8_t>(bytes[4]);
  if (type < 1 || type > static_cast<std::uint8_t>(FrameType::kError))
    return {Kind::kBad, {}, 0, kBadFrame, "unknown frame type"};
  if (bytes.size() < 4 + size) return {};
  Reader in(bytes.substr(5, size - 1));
  Message message = read(static_cast<FrameType>(type), in);
  if (!in.done()) return {Kind::kBad, {}, 0, kBadFrame, "frame length does not match its fields"};
  return {Kind::kMessage, std::move(message), 4 + size, kBadFrame, {}};
}

void write(std::string& out, const Message& message) {
  Writer w(out);
  const std::size_t mark = w.mark_u32();
  w.u8(static_cast<std::uint8_t>(message.index() + 1));
  std::visit(FieldsOf{w}, message);
  w.fill_u32(mark);
}

void write_call(std::string& out, const Call& fields, std::string_view body) {
  Writer w(out);
  const std::size_t mark = w.mark_u32();
  w.u8(static_cast<std::uint8_t>(FrameType::kCall));
  FieldsOf{w}.call(fields, body);
  w.fill_u32(mark);
}

}  // namespace laureltide::worker
