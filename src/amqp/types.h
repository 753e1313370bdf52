// AMQP 0-9-1 values: field tables with every type of the specification (4.2.5). The type tags are those that
// brokers and clients use in practice ('s' is a signed short; see the published errata of the specification).
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
// A field table. Keeps the order of its fields, and duplicates.
struct Table {
  std::vector<Field> fields;  // in wire order

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
  std::uint64_t seconds = 0;  // since the Unix epoch
  bool operator==(const Timestamp&) const = default;
};
struct ByteArray {
  std::string bytes;
  bool operator==(const ByteArray&) const = default;
};

// A value of a field table or array.
struct Value {
  using Any = std::variant<std::monostate, bool, std::int8_t, std::uint8_t, std::int16_t, std::uint16_t,
                           std::int32_t, std::uint32_t, std::int64_t, float, double, Decimal, std::string,
                           Array, Timestamp, Table, ByteArray>;
  Any any;

  Value() = default;
  template <class T>
  requires(!std::is_same_v<std::remove_cvref_t<T>, Value>) Value(T&& value)
      : any(std::forward<T>(value)) {}  // NOLINT: values are written as literals

  // The bytes of a long string or byte array; null for other types.
  const std::string* text() const;
  // The value of any integer type; nothing for other types.
  std::optional<std::int64_t> number() const;
  bool operator==(const Value& other) const;
};

struct Field {
  std::string first;
  Value second;
  bool operator==(const Field& other) const = default;
};

constexpr int kMaxNesting = 16;  // of tables and arrays: bounds the stack that a peer's input can use

// Fails the reader on unknown types, lengths that exceed the input and deeper nesting.
Table read_table(Reader& in, int depth = 0);
void write_table(Writer& out, const Table& table);

inline std::string_view read_short(Reader& in) { return in.take(in.u8()); }
void write_short(Writer& out, std::string_view text);  // truncated at 255 bytes

}  // namespace laureltide::amqp
