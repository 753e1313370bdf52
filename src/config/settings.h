// Settings of the gateway, read from TOML and checked. docs/settings.md lists every key with its default.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/io.h"
#include "laureltide/dispatcher.h"

namespace laureltide::config {

struct Function {
  std::string name;
  FunctionId id{};  // derived from the name alone, so that all controllers agree
  ClassIndex request_class = 0;
  float memory_mb = 0;
  float lanes = 1;
  std::optional<Duration> load_time, work_hint;
};

enum class AnswerMode {
  kTransaction,  // answer and acknowledgement in one transaction: the broker gets both or neither
  kConfirm,      // acknowledge after the broker has confirmed the answer
};

enum class AcknowledgeMode {
  kOnAnswer,  // with the answer; after a crash the broker redelivers open calls
  kOnTake,    // once the ledger has stored the call; this gateway then owns it, even across crashes
};

struct Broker {
  std::string name;
  io::Address address;
  std::string vhost = "/", user = "guest", password = "guest";
  std::uint16_t heartbeat_s = 10;
  std::uint32_t frame_max = 128U << 10;
  std::vector<std::string> queues;
  std::uint16_t prefetch = 256;  // per queue
  AnswerMode answers = AnswerMode::kTransaction;
  AcknowledgeMode acknowledge = AcknowledgeMode::kOnAnswer;
  // The operator guarantees that no other gateway ever reads these queues; the broker keeps others out
  // meanwhile.
  bool sole_reader = false;
  std::string tenant;  // tenant of all calls of this broker; empty: taken from each message
  bool operator==(const Broker&) const = default;
};

struct ListSource {
  std::optional<io::Address> service;
  std::string file, cache;
  Duration poll = std::chrono::milliseconds(200);
};

enum class LedgerSync { kGroup, kEach, kNone };

struct Ledger {
  std::string directory;  // empty: no ledger
  std::size_t max_size_mb = 4096, max_records = 1'000'000;
  Duration keep = std::chrono::hours(24);
  Duration group_commit_window = std::chrono::milliseconds(1);
  LedgerSync sync = LedgerSync::kGroup;
  bool all_calls = false;  // record calls that are safe to repeat, too
  bool operator==(const Ledger&) const = default;
};

enum class LogFormat { kText, kJson };

struct Peer {
  std::uint32_t number = 0;
  io::Address address;
  std::optional<io::Address> invoke;  // its invoke API, to which calls that it owns are forwarded
};

struct Invoke {
  std::optional<io::Address> listen;      // absent: the invoke API is off
  Duration keep = std::chrono::hours(1);  // how long answers of deferred and named calls are kept
  std::size_t max_deferred = 1000, max_deferred_mb = 64;  // per tenant, open and answered
  std::vector<io::Address> callbacks;  // allowed addresses for callbacks; empty: callbacks are off
  int callback_attempts = 5;
  std::size_t max_connections = 1024;
  Duration header_timeout = std::chrono::seconds(10), body_timeout = std::chrono::seconds(30);
};

struct Key {
  std::uint32_t tenant = 0;
  std::string sha256;  // digest of the bearer token, 32 bytes
};

struct Gateway {
  std::string name = "laureltide";
  bool loopback_only = true;
  std::uint64_t max_body_bytes = 8U << 20;
  Duration answer_reserve =
      std::chrono::milliseconds(20);  // part of a call's timeout reserved for returning the answer
  Duration drain_timeout = std::chrono::seconds(30);  // time limit for draining after SIGTERM
  std::optional<io::Address> peer_listen;
};

struct Settings {
  laureltide::Settings module;
  std::vector<std::string> class_names, tenant_names, kind_names;
  std::vector<Function> functions;
  std::unordered_map<std::string, std::size_t> function_index;
  std::vector<Broker> brokers;
  std::vector<Peer> peers;
  Invoke invoke;
  std::vector<Key> keys;
  ListSource list;
  Ledger ledger;
  Gateway gateway;
  LogFormat log_format = LogFormat::kText;
  std::string log_level = "info";
  Duration stats_interval = std::chrono::seconds(10);

  const Function* find(const std::string& name) const {
    const auto it = function_index.find(name);
    return it == function_index.end() ? nullptr : &functions[it->second];
  }
  std::optional<std::uint32_t> tenant(std::string_view name) const;
};

struct Problem {
  std::string file;
  std::uint32_t line = 0;  // 0: concerns the whole file
  std::string key;
  std::string text;
  std::string to_string() const;
};

struct SettingsResult {
  std::optional<Settings> settings;  // absent if there are problems
  std::vector<Problem> problems;     // all of them, in the order of the file
};
SettingsResult parse(std::string_view toml, const std::string& file);
SettingsResult load(const std::string& file);

// Returns the changed keys that a reload on SIGHUP cannot apply, so that they need a restart.
std::vector<std::string> needs_restart(const Settings& from, const Settings& to);

FunctionId function_id(std::string_view name);

}  // namespace laureltide::config
