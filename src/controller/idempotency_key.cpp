#include "controller/idempotency_key.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace laureltide::controller {
namespace {

constexpr std::size_t kMaxKeyLength = 255;
constexpr int kMaxWaitSeconds = 3600;

std::string_view trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}
bool equals_ignore_case(std::string_view a, std::string_view b) {
  auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
}

}  // namespace

std::string call_id(std::uint32_t owner, std::string_view digest) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string id = std::to_string(owner) + "-";
  for (const char c : digest.substr(0, 16)) {
    const auto u = static_cast<unsigned char>(c);
    id += {kDigits[u >> 4], kDigits[u & 15]};
  }
  return id;
}

std::optional<std::uint32_t> owner_of_id(std::string_view id) {
  const std::size_t dash = id.find('-');
  if (dash == std::string_view::npos || id.size() - dash - 1 != 32) return std::nullopt;
  std::uint32_t number = 0;
  const auto [end, error] = std::from_chars(id.data(), id.data() + dash, number);
  if (error != std::errc() || end != id.data() + dash) return std::nullopt;
  const std::string_view hex = id.substr(dash + 1);
  const bool plain = std::all_of(hex.begin(), hex.end(),
                                 [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
  return plain ? std::optional(number) : std::nullopt;
}

std::uint32_t owner_of_key(std::string_view tenant, std::string_view key, std::uint32_t replicas) {
  std::uint32_t best = 0;
  std::uint64_t weight = 0;
  const std::string tenant_and_key = std::string(tenant) + '\0' + std::string(key);
  for (std::uint32_t n = 0; n < replicas; ++n) {
    const std::uint64_t w = XXH3_64bits_withSeed(tenant_and_key.data(), tenant_and_key.size(), n);
    if (n == 0 || w > weight) best = n, weight = w;
  }
  return best;
}

KeyDecision decide_on_key(const ledger::Record* record, std::string_view digest, const ledger::Effect& effect,
                          std::int64_t now_ms) {
  if (!record) return {};
  if (record->answer && record->answer->kind == ledger::Answer::Kind::kRefused) return {};
  if (record->digest != digest)
    return {KeyDecision::Kind::kMismatch, 0, "this Idempotency-Key was used for another request"};
  if (record->answer) return {KeyDecision::Kind::kAnswer, 0, {}};
  // This controller alone owns the key, so every attempt ever sent for it is in this ledger.
  const ledger::RecoveryDecision r =
      ledger::decide_on_message(record, effect, true, ledger::Coverage::kComplete, now_ms);
  switch (r.verdict) {
    case ledger::Verdict::kRun: return {};
    case ledger::Verdict::kRunUntil: return {KeyDecision::Kind::kRunUntil, r.until_ms, {}};
    default: return {KeyDecision::Kind::kFail, 0, r.reason};
  }
}

std::optional<std::string> parse_key(std::string_view header) {
  std::string_view text = trimmed(header);
  std::string key;
  if (!text.empty() && text.front() == '"') {
    if (text.size() < 2 || text.back() != '"') return std::nullopt;
    text = text.substr(1, text.size() - 2);
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '"') return std::nullopt;
      if (text[i] == '\\') {  // RFC 8941, 3.3.3
        if (++i == text.size() || (text[i] != '"' && text[i] != '\\')) return std::nullopt;
      }
      key.push_back(text[i]);
    }
  } else {
    key = text;
  }
  if (key.empty() || key.size() > kMaxKeyLength) return std::nullopt;
  const bool plain = std::all_of(key.begin(), key.end(), [](char c) { return c >= 0x20 && c < 0x7f; });
  return plain ? std::optional(key) : std::nullopt;
}

Preferences parse_prefer(std::string_view header) {
  Preferences p;
  while (!header.empty()) {
    const std::size_t comma = std::min(header.find(','), header.size());
    std::string_view one = header.substr(0, comma);
    header.remove_prefix(std::min(comma + 1, header.size()));
    one = trimmed(one.substr(0, one.find(';')));
    const std::size_t equals = one.find('=');
    const std::string_view name = trimmed(one.substr(0, equals));
    if (equals_ignore_case(name, "respond-async")) p.respond_async = true;
    if (equals_ignore_case(name, "wait") && equals != std::string_view::npos &&
        !p.wait_s) {  // the first one wins (RFC 7240, section 2)
      std::string_view value = trimmed(one.substr(equals + 1));
      if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
        value = value.substr(1, value.size() - 2);
      int seconds = 0;
      const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), seconds);
      if (error == std::errc() && end == value.data() + value.size() && seconds >= 0)
        p.wait_s = std::min(seconds, kMaxWaitSeconds);
    }
  }
  return p;
}

}  // namespace laureltide::controller
