#include "apps/ledger_tool.h"

#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>

#include "ledger/record.h"
#include "store/lmdb.h"

namespace laureltide::apps {
namespace {

using ledger::AttemptState;
using ledger::Record;
using nlohmann::json;

std::string format_time(std::int64_t ms) {
  if (ms <= 0) return "-";
  const std::time_t s = static_cast<std::time_t>(ms / 1000);
  std::tm utc{};
  gmtime_r(&s, &utc);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

const char* outcome_name(const ledger::Answer& a) {
  return a.kind == ledger::Answer::Kind::kServed    ? "served"
         : a.kind == ledger::Answer::Kind::kRefused ? "refused"
                                                    : "failed";
}

// The state names of docs/ledger.md.
std::string call_state(const Record& r) {
  if (r.answer) return std::string(r.delivered ? "delivered " : "answered ") + outcome_name(*r.answer);
  if (r.may_have_run()) return "may-have-run";
  return r.attempts.empty() ? "taken" : "never-ran";
}

json record_to_json(const std::string& front, const std::string& name, const Record& r) {
  json attempts = json::array();
  for (const auto& a : r.attempts)
    attempts.push_back({{"worker", a.worker},
                        {"sent_ms", a.sent_ms},
                        {"fate", a.state == AttemptState::kNeverRan ? "never-ran" : "may-have-run"}});
  json doc{{"front", front},
           {"call", name},
           {"state", call_state(r)},
           {"function", r.function},
           {"tenant", r.tenant},
           {"key", r.key},
           {"owed", r.owed},
           {"taken_ms", r.taken_ms},
           {"give_up_ms", r.give_up_ms},
           {"body_bytes", r.body.size()},
           {"attempts", attempts}};
  if (r.answer)
    doc["answer"] = {{"outcome", outcome_name(*r.answer)},
                     {"reason", r.answer->reason},
                     {"bytes", r.answer->body.size()},
                     {"at_ms", r.answer->at_ms}};
  if (r.keep_until_ms > 0) doc["kept_until_ms"] = r.keep_until_ms;
  return doc;
}

std::string dump(const json& doc, int indent) {
  return doc.dump(indent, ' ', false, json::error_handler_t::replace);
}

}  // namespace

void LedgerTool::add_to(CLI::App& app) {
  CLI::App* all = app.add_subcommand("ledger", "inspect a ledger's directory, also while a gateway uses it");
  all->require_subcommand(1);
  auto add_command = [&](const char* what, const char* help) {
    CLI::App* s = all->add_subcommand(what, help);
    s->add_option("directory", directory, "the directory, ledger.directory in the settings")->required();
    return s;
  };
  list = add_command("list", "print a line for each record");
  list->add_flag("--open", open_only, "only calls without a final answer");
  list->add_option("--front", front, "only records whose front begins with this text, such as amqp/main/");
  list->add_flag("--json", json, "print a line of JSON for each record");
  show = add_command("show", "print the whole record of a call");
  show->add_option("call", name, "the call's name")->required();
  show->add_option("--front", front, "only records whose front begins with this text");
  verify =
      add_command("verify", "read every page and record; prints damage and exits with 1 if there is any");
  compact = add_command("compact",
                        "write a compact copy into a new directory, as a backup or to shrink the ledger");
  compact->add_option("to", to, "the new directory")->required();
}

int LedgerTool::run() const {
  store::LmdbOptions options;
  options.directory = directory, options.check = ledger::check_entry;
  if (*compact) {
    const std::string why = store::copy_compacted(options, to);
    if (!why.empty()) return std::cerr << "laureltide ledger: " << why << '\n', 1;
    return std::cout << directory << " copied to " << to << '\n', 0;
  }
  std::size_t shown = 0, open_calls = 0;
  const store::ScanResult walked = store::scan(options, [&](std::string_view key, std::string_view value) {
    std::string why;
    const auto record = ledger::parse_record(value, why);
    const auto [f, n] = ledger::split_key(key);
    if (!record) return;  // walk() itself reports the damage
    open_calls += !record->answer;
    if (!f.starts_with(front)) return;
    if (*show && n == name) {
      std::cout << dump(record_to_json(f, n, *record), 2) << '\n';
      ++shown;
    }
    if (!*list || (open_only && record->answer)) return;
    ++shown;
    if (json)
      std::cout << dump(record_to_json(f, n, *record), -1) << '\n';
    else
      std::cout << format_time(record->taken_ms) << "  " << f << "  " << n << "  " << record->function << "  "
                << call_state(*record) << (record->owed ? "  owed" : "")
                << "  attempts=" << record->attempts.size() << '\n';
  });
  if (!walked.why.empty()) return std::cerr << "laureltide ledger: " << walked.why << '\n', 1;
  if (*show && shown == 0) return std::cerr << "laureltide ledger: no record of call " << name << '\n', 1;
  if (*verify)
    std::cout << directory << ": " << walked.records << " records (" << open_calls << " without an answer), "
              << walked.bytes << " bytes in a file of " << walked.file_bytes << ": no damage\n";
  return 0;
}

}  // namespace laureltide::apps
