// AMQP 0-9-1 values: field tables with every type of the specification (4.2.5), as brokers and clients in
// the field write them ('s' is a signed short; see the "errata" page of the specification's keepers).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/bytes.h"

namespace laureltide::amqp {

struct Value;
struct Field;
struct Table {
  std::vector<Field> fields;  // in the order of the wire

  const Value* find(std::string_view name) const;
  Table& set(std::string name, Value value);
  bool operator==(const Table& other) const;
};
using Array = std::vector<Value>;

struct Decimal {
  std::uint8_t scale = 0;
  std::int32_t value = 0;
  bool operator==(const Decimal&) const = default;
};
struct Timestamp {
  std::uint64_t seconds = 0;  // since 1970
  bool operator==(const Timestamp&) const = default;
};
struct ByteArray {
  std::string bytes;
  bool operator==(const ByteArray&) const = default;
};

struct Value {
  using Any = std::variant<std::monostate, bool, std::int8_t, std::uint8_t, std::int16_t, std::uint16_t,
                           std::int32_t, std::uint32_t, std::int64_t, float, double, Decimal, std::string,
                           Array, Timestamp, Table, ByteArray>;
  Any any;

  Value() = default;
  template <class T>
  requires(!std::is_same_v<std::remove_cvref_t<T>, Value>) Value(T&& value)
      : any(std::forward<T>(value)) {}  // NOLINT: values are written as literals

  // The text of a long string or byte array; nothing for other types.
  const std::string* text() const;
  // Any whole number.
  std::optional<std::int64_t> number() const;
  bool operator==(const Value& other) const;
};

struct Field {
  std::string first;
  Value second;
  bool operator==(const Field& other) const = default;
};

constexpr int kMaxNesting = 16;  // of tables and arrays: bounds the stack that a peer can make us use

// Fails the reader on unknown types, lying lengths and deeper nesting.
Table read_table(Reader& in, int depth = 0);
void write_table(Writer& out, const Table& table);

inline std::string_view read_short(Reader& in) { return in.take(in.u8()); }
void write_short(Writer& out, std::string_view text);  // cut at 255 bytes

}  // namespace laureltide::amqp
