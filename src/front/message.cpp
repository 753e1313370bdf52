#include "front/message.h"

#include <thrift/TApplicationException.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "base/bytes.h"

namespace laureltide::front {
namespace {

using apache::thrift::TApplicationException;
using apache::thrift::TConfiguration;
using apache::thrift::protocol::TBinaryProtocolT;
using apache::thrift::protocol::TMessageType;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;
namespace proto = apache::thrift::protocol;

using Protocol = TBinaryProtocolT<TMemoryBuffer>;

constexpr std::int32_t kMaxStringBytes = static_cast<std::int32_t>(kMaxFrameBytes);
constexpr std::int32_t kMaxContainerEntries = 64;  // in a map or list
constexpr int kMaxNesting = 16;                    // nesting depth of structures

const std::shared_ptr<TConfiguration>& configuration() {
  static const auto held = std::make_shared<TConfiguration>(static_cast<int>(kMaxFrameBytes),
                                                            static_cast<int>(kMaxFrameBytes), kMaxNesting);
  return held;
}

// The message is well-formed Thrift but not a valid request, or exceeds a limit.
struct InvalidMessage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Fields read_fields(Protocol& in) {
  TType key{}, value{};
  std::uint32_t size = 0;
  in.readMapBegin(key, value, size);
  if (size > 0 && (key != proto::T_STRING || value != proto::T_STRING))
    throw InvalidMessage("fields: not a map of strings");
  Fields fields;
  for (std::uint32_t i = 0; i < size; ++i) {
    std::string name, text;
    in.readString(name);
    in.readString(text);
    if (!fields.emplace(std::move(name), std::move(text)).second)
      throw InvalidMessage("fields: duplicate name");
  }
  in.readMapEnd();
  return fields;
}

void read_call(Protocol& in, Request& request) {
  bool has_fields = false;
  for (;;) {
    std::string name;
    TType type{};
    std::int16_t id = 0;
    in.readFieldBegin(name, type, id);
    if (type == proto::T_STOP) break;
    if (id == 1 && type == proto::T_MAP) {
      request.fields = read_fields(in);
      has_fields = true;
    } else if (id == 2 && type == proto::T_STRING) {
      in.readBinary(request.body);
      if (request.body.size() > kMaxBodyBytes) throw InvalidMessage("body: exceeds 16 KiB");
    } else {
      in.skip(type);
    }
  }
  if (!has_fields) throw InvalidMessage("call: fields are missing");
}

void read_cancel(Protocol& in, Request& request) {
  bool has_number = false;
  for (;;) {
    std::string name;
    TType type{};
    std::int16_t id = 0;
    in.readFieldBegin(name, type, id);
    if (type == proto::T_STOP) break;
    if (id == 1 && type == proto::T_I32)
      in.readI32(request.cancelled), has_number = true;
    else
      in.skip(type);
  }
  if (!has_number) throw InvalidMessage("cancel: the call number is missing");
}

// Appends a frame with a message whose contents `write` writes.
template <class Write>
void frame(std::string& out, const char* method, TMessageType type, std::int32_t number, Write write) {
  const auto buffer = std::make_shared<TMemoryBuffer>(256, configuration());
  Protocol to(buffer);
  to.writeMessageBegin(method, type, number);
  write(to);
  to.writeMessageEnd();
  std::uint8_t* bytes = nullptr;
  std::uint32_t size = 0;
  buffer->getBuffer(&bytes, &size);
  Writer w(out);
  w.u32(size);
  w.bytes({reinterpret_cast<const char*>(bytes), size});
}

void write_fields(Protocol& to, std::int16_t id, const Fields& fields) {
  to.writeFieldBegin("fields", proto::T_MAP, id);
  to.writeMapBegin(proto::T_STRING, proto::T_STRING, static_cast<std::uint32_t>(fields.size()));
  for (const auto& [name, value] : fields) to.writeString(name), to.writeString(value);
  to.writeMapEnd();
}

void write_answer(Protocol& to, const Fields& fields, const std::string& body, bool good) {
  to.writeFieldBegin("success", proto::T_STRUCT, 0);
  to.writeFieldBegin("body", proto::T_STRING, 1);
  to.writeBinary(body);
  write_fields(to, 2, fields);
  to.writeFieldBegin("good", proto::T_BOOL, 3);
  to.writeBool(good);
  to.writeFieldStop();
  to.writeFieldStop();
}

}  // namespace

Parsed parse(std::string_view bytes) {
  Parsed parsed;
  bool header_read = false;
  try {
    const auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
        static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, configuration());
    Protocol in(buffer, kMaxStringBytes, kMaxContainerEntries, true, true);
    std::string method;
    TMessageType type{};
    in.readMessageBegin(method, type, parsed.request.number);
    header_read = true;
    const bool call = method == "call", cancel = method == "cancel", health = method == "health";
    if (!call && !cancel && !health) {
      parsed.kind = Parsed::Kind::kInvalid, parsed.unknown_method = true;
      parsed.why = "no such method";
      return parsed;
    }
    if (type != (cancel ? proto::T_ONEWAY : proto::T_CALL) && !(cancel && type == proto::T_CALL))
      throw InvalidMessage("wrong message type for this method");
    if (call) {
      parsed.request.method = Request::Method::kCall;
      read_call(in, parsed.request);
    } else if (cancel) {
      parsed.request.method = Request::Method::kCancel;
      read_cancel(in, parsed.request);
    } else {
      parsed.request.method = Request::Method::kHealth;
      in.skip(proto::T_STRUCT);
    }
    if (buffer->available_read() > 0) throw InvalidMessage("trailing bytes after the message");
    parsed.kind = Parsed::Kind::kRequest;
  } catch (const std::exception& e) {  // libthrift's exceptions and failed allocations
    parsed.kind = header_read ? Parsed::Kind::kInvalid : Parsed::Kind::kBad;
    parsed.why = e.what();
  }
  return parsed;
}

void write_reply(std::string& out, std::int32_t number, const Reply& reply) {
  switch (reply.kind) {
    case Reply::Kind::kServed:
      return frame(out, "call", proto::T_REPLY, number,
                   [&](Protocol& to) { write_answer(to, reply.fields, reply.body, true); });
    case Reply::Kind::kRefused:
    case Reply::Kind::kFailed:
      return frame(out, "call", proto::T_REPLY, number, [&](Protocol& to) {
        const bool refused = reply.kind == Reply::Kind::kRefused;
        to.writeFieldBegin(refused ? "refused" : "failed", proto::T_STRUCT, refused ? 1 : 2);
        write_fields(to, 1, reply.fields);
        to.writeFieldStop();
        to.writeFieldStop();
      });
    case Reply::Kind::kException:
      return frame(out, "call", proto::T_EXCEPTION, number, [&](Protocol& to) {
        TApplicationException(reply.unknown_method ? TApplicationException::UNKNOWN_METHOD
                                                   : TApplicationException::PROTOCOL_ERROR,
                              reply.text)
            .write(&to);
      });
  }
}

void write_health(std::string& out, std::int32_t number, bool good) {
  frame(out, "health", proto::T_REPLY, number, [&](Protocol& to) { write_answer(to, {}, {}, good); });
}

}  // namespace laureltide::front
