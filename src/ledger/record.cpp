#include "ledger/record.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "base/bytes.h"

namespace laureltide::ledger {
namespace {

constexpr std::size_t kMaxAttempts = 256;
constexpr std::size_t kMaxReplies = 64;

void write_text(Writer& w, std::string_view text) {
  w.u32(static_cast<std::uint32_t>(text.size()));
  w.bytes(text);
}
std::string read_text(Reader& r) { return std::string(r.take(r.u32())); }

std::uint64_t checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

}  // namespace

const Attempt* Record::may_have_run() const {
  const auto it = std::find_if(attempts.begin(), attempts.end(),
                               [](const Attempt& a) { return a.state != AttemptState::kNeverRan; });
  return it == attempts.end() ? nullptr : &*it;
}

std::size_t Record::size() const {
  std::size_t n = 128 + function.size() + tenant.size() + key.size() + digest.size() + body.size() +
                  callback.size() + attempts.size() * sizeof(Attempt);
  for (const ReplyTo& r : replies) n += 32 + r.to.size() + r.correlation.size();
  if (answer) n += answer->body.size() + answer->reason.size();
  return n;
}

std::string write_record(const Record& record) {
  std::string out;
  write_record(out, record);
  return out;
}

void write_record(std::string& out, const Record& record) {
  out.clear();
  out.reserve(record.size() + 64);
  Writer w(out);
  w.u8(kRecordLayout);
  write_text(w, record.function), write_text(w, record.tenant), write_text(w, record.key),
      write_text(w, record.digest);
  w.u64(static_cast<std::uint64_t>(record.taken_ms)), w.u64(static_cast<std::uint64_t>(record.give_up_ms));
  w.u8(record.owed);
  write_text(w, record.body);
  w.u16(static_cast<std::uint16_t>(record.replies.size()));
  for (const ReplyTo& r : record.replies) write_text(w, r.to), write_text(w, r.correlation);
  write_text(w, record.callback);
  w.u16(static_cast<std::uint16_t>(record.attempts.size()));
  for (const Attempt& a : record.attempts)
    w.u32(a.worker), w.u64(static_cast<std::uint64_t>(a.sent_ms)), w.u8(static_cast<std::uint8_t>(a.state));
  w.u8(record.answer.has_value());
  if (record.answer) {
    w.u8(static_cast<std::uint8_t>(record.answer->kind));
    write_text(w, record.answer->reason), write_text(w, record.answer->body);
    w.u64(static_cast<std::uint64_t>(record.answer->retry_after_ms));
    w.u64(static_cast<std::uint64_t>(record.answer->at_ms));
  }
  w.u8(record.delivered);
  w.u64(static_cast<std::uint64_t>(record.keep_until_ms));
  w.u64(checksum(out));
}

bool check_record(std::string_view bytes, std::string& why) {
  if (bytes.size() < 9) return why = "too short for a record", false;
  const int layout = static_cast<std::uint8_t>(bytes[0]);
  if (layout > kRecordLayout) {
    why =
        "layout " + std::to_string(layout) + " is newer than this program's " + std::to_string(kRecordLayout);
    return false;
  }
  const std::string_view content = bytes.substr(0, bytes.size() - 8);
  if (Reader(bytes.substr(content.size())).u64() != checksum(content))
    return why = "the checksum does not match", false;
  return true;
}

std::optional<Record> parse_record(std::string_view bytes, std::string& why) {
  if (!check_record(bytes, why)) return std::nullopt;
  const std::string_view content = bytes.substr(0, bytes.size() - 8);
  Reader r(content);
  Record record;
  r.u8();
  record.function = read_text(r), record.tenant = read_text(r), record.key = read_text(r),
  record.digest = read_text(r);
  record.taken_ms = static_cast<std::int64_t>(r.u64()),
  record.give_up_ms = static_cast<std::int64_t>(r.u64());
  record.owed = r.u8() != 0;
  record.body = read_text(r);
  const std::size_t replies = r.u16();
  if (replies > kMaxReplies) r.fail();
  for (std::size_t i = 0; i < replies && r.ok(); ++i) {
    ReplyTo to;
    to.to = read_text(r), to.correlation = read_text(r);
    record.replies.push_back(std::move(to));
  }
  record.callback = read_text(r);
  const std::size_t attempts = r.u16();
  if (attempts > kMaxAttempts) r.fail();
  for (std::size_t i = 0; i < attempts && r.ok(); ++i) {
    Attempt a;
    a.worker = r.u32(), a.sent_ms = static_cast<std::int64_t>(r.u64());
    const std::uint8_t state = r.u8();
    if (state > static_cast<std::uint8_t>(AttemptState::kNeverRan)) r.fail();
    a.state = static_cast<AttemptState>(state);
    record.attempts.push_back(a);
  }
  if (r.u8() != 0) {
    Answer a;
    const std::uint8_t kind = r.u8();
    if (kind > static_cast<std::uint8_t>(Answer::Kind::kFailed)) r.fail();
    a.kind = static_cast<Answer::Kind>(kind);
    a.reason = read_text(r), a.body = read_text(r);
    a.retry_after_ms = static_cast<std::int64_t>(r.u64()), a.at_ms = static_cast<std::int64_t>(r.u64());
    record.answer = std::move(a);
  }
  record.delivered = r.u8() != 0;
  record.keep_until_ms = static_cast<std::int64_t>(r.u64());
  if (!r.ok()) return why = "a field does not fit", std::nullopt;
  return record;
}

std::string key_of(std::string_view front, std::string_view name) {
  std::string key(front);
  key.push_back('\0');
  return key.append(name);
}

std::pair<std::string, std::string> split_key(std::string_view key) {
  const std::size_t at = key.find('\0');
  if (at == std::string_view::npos) return {std::string(key), ""};
  return {std::string(key.substr(0, at)), std::string(key.substr(at + 1))};
}

std::string check_entry(std::string_view key, std::string_view value) {
  std::string why;
  if (check_record(value, why)) return {};
  const auto [front, name] = split_key(key);
  return "record of " + front + " / " + name + ": " + why;
}

std::string digest_of(std::initializer_list<std::string_view> parts) {
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  for (const std::string_view part : parts) {
    const std::uint64_t size = part.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  std::string out;
  Writer w(out);
  w.u64(hash.high64), w.u64(hash.low64);
  return out;
}

}  // namespace laureltide::ledger
