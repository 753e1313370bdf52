#include "amqp/types.h"

#include <algorithm>

namespace laureltide::amqp {
namespace {

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

Value read_value(Reader& in, int depth) {
  switch (in.u8()) {
    case 't': return in.u8() != 0;
    case 'b': return static_cast<std::int8_t>(in.u8());
    case 'B': return in.u8();
    case 's':
    case 'U': return static_cast<std::int16_t>(in.u16());
    case 'u': return in.u16();
    case 'I': return static_cast<std::int32_t>(in.u32());
    case 'i': return in.u32();
    case 'l':
    case 'L': return static_cast<std::int64_t>(in.u64());
    case 'f': return in.f32();
    case 'd': return in.f64();
    case 'D': {
      const std::uint8_t scale = in.u8();
      return Decimal{scale, static_cast<std::int32_t>(in.u32())};
    }
    case 'S': return std::string(in.take(in.u32()));
    case 'x': return ByteArray{std::string(in.take(in.u32()))};
    case 'T': return Timestamp{in.u64()};
    case 'F': return read_table(in, depth + 1);
    case 'V': return {};
    case 'A': {
      if (depth >= kMaxNesting) return in.fail(), Value{};
      Reader items(in.take(in.u32()));
      Array array;
      while (items.ok() && items.left() > 0) array.push_back(read_value(items, depth + 1));
      if (!items.ok()) in.fail();
      return array;
    }
    default: in.fail(); return {};
  }
}

void write_value(Writer& out, const Value& value) {
  auto number = [&](char type, auto v, auto write) { out.u8(static_cast<std::uint8_t>(type)), write(v); };
  auto text = [&](char type, std::string_view v) {
    out.u8(static_cast<std::uint8_t>(type)), out.u32(static_cast<std::uint32_t>(v.size())), out.bytes(v);
  };
  std::visit(
      Overloaded{[&](std::monostate) { out.u8('V'); },
                 [&](bool v) { number('t', v, [&](bool b) { out.u8(b ? 1 : 0); }); },
                 [&](std::int8_t v) { out.u8('b'), out.u8(static_cast<std::uint8_t>(v)); },
                 [&](std::uint8_t v) { out.u8('B'), out.u8(v); },
                 [&](std::int16_t v) { out.u8('s'), out.u16(static_cast<std::uint16_t>(v)); },
                 [&](std::uint16_t v) { out.u8('u'), out.u16(v); },
                 [&](std::int32_t v) { out.u8('I'), out.u32(static_cast<std::uint32_t>(v)); },
                 [&](std::uint32_t v) { out.u8('i'), out.u32(v); },
                 [&](std::int64_t v) { out.u8('l'), out.u64(static_cast<std::uint64_t>(v)); },
                 [&](float v) { out.u8('f'), out.f32(v); }, [&](double v) { out.u8('d'), out.f64(v); },
                 [&](const Decimal& v) {
                   out.u8('D'), out.u8(v.scale), out.u32(static_cast<std::uint32_t>(v.value));
                 },
                 [&](const std::string& v) { text('S', v); }, [&](const ByteArray& v) { text('x', v.bytes); },
                 [&](const Timestamp& v) { out.u8('T'), out.u64(v.seconds); },
                 [&](const Table& v) { out.u8('F'), write_table(out, v); },
                 [&](const Array& v) {
                   out.u8('A');
                   const std::size_t mark = out.mark_u32();
                   for (const Value& item : v) write_value(out, item);
                   out.fill_u32(mark);
                 }},
      value.any);
}

}  // namespace

bool Table::operator==(const Table& other) const { return fields == other.fields; }
bool Value::operator==(const Value& other) const { return any == other.any; }

const Value* Table::find(std::string_view name) const {
  const auto it = std::find_if(fields.begin(), fields.end(), [&](auto& f) { return f.first == name; });
  return it == fields.end() ? nullptr : &it->second;
}

Table& Table::set(std::string name, Value value) {
  fields.push_back({std::move(name), std::move(value)});
  return *this;
}

const std::string* Value::text() const {
  if (const auto* s = std::get_if<std::string>(&any)) return s;
  if (const auto* b = std::get_if<ByteArray>(&any)) return &b->bytes;
  return nullptr;
}

std::optional<std::int64_t> Value::number() const {
  return std::visit(
      [](const auto& v) -> std::optional<std::int64_t> {
        using T = std::decay_t<decltype(v)>;
        if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>)
          return static_cast<std::int64_t>(v);
        else
          return std::nullopt;
      },
      any);
}

Table read_table(Reader& in, int depth) {
  Table table;
  if (depth >= kMaxNesting) return in.fail(), table;
  Reader fields(in.take(in.u32()));
  while (fields.ok() && fields.left() > 0) {
    std::string name(read_short(fields));
    table.fields.push_back({std::move(name), read_value(fields, depth)});
  }
  if (!fields.ok()) in.fail();
  return table;
}

void write_table(Writer& out, const Table& table) {
  const std::size_t mark = out.mark_u32();
  for (const auto& [name, value] : table.fields) {
    write_short(out, name);
    write_value(out, value);
  }
  out.fill_u32(mark);
}

void write_short(Writer& out, std::string_view text) {
  text = text.substr(0, 255);
  out.u8(static_cast<std::uint8_t>(text.size()));
  out.bytes(text);
}

}  // namespace laureltide::amqp
