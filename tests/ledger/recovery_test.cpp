// Checks the recovery decisions against the tables of docs/ledger.md, which the tests read from the page.
#include "ledger/recovery.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace laureltide::ledger {
namespace {

constexpr std::int64_t kNow = 1'000'000;
const Effect kRead{Semantics::kRepeatable, RepeatGroup::kAll, 0};
const Effect kKeyedAll{Semantics::kKeyed, RepeatGroup::kAll, 2000};
const Effect kKeyedCell{Semantics::kKeyed, RepeatGroup::kCell, 2000};
const Effect kOnce{Semantics::kOnce, RepeatGroup::kAll, 0};

// The record that the first column of a table names.
std::optional<Record> record_of(const std::string& last_record) {
  if (last_record == "none") return std::nullopt;
  Record r;
  r.taken_ms = kNow - 1000, r.give_up_ms = kNow + 1000;
  if (last_record == "taken") return r;
  r.attempts = {{1, kNow - 900, AttemptState::kNeverRan}};
  if (last_record == "never ran") return r;
  r.attempts.push_back({2, kNow - 800, AttemptState::kInFlight});
  if (last_record == "may have run") return r;
  if (last_record == "may have run, window over") return r.attempts.back().sent_ms = kNow - 2000, r;
  if (last_record == "may have run, clock set back") return r.attempts.back().sent_ms = kNow + 1, r;
  r.answer = Answer{Answer::Kind::kServed, "", "x", 0, kNow - 700};
  if (last_record == "answered") return r;
  r.delivered = true;
  if (last_record == "delivered") return r;
  ADD_FAILURE() << "the page names a record that this test does not define: " << last_record;
  return std::nullopt;
}
std::string text_of(Verdict v) {
  switch (v) {
    case Verdict::kRun: return "run";
    case Verdict::kRunUntil: return "run until";
    case Verdict::kAnswer: return "answer";
    case Verdict::kAcknowledge: return "acknowledge";
    case Verdict::kRefuse: return "refuse";
    case Verdict::kFail: return "fail";
  }
  return "";
}
std::string trimmed(std::string s) {
  s.erase(0, s.find_first_not_of(" `"));
  s.erase(s.find_last_not_of(" `") + 1);
  return s;
}

// The cells of the rows in the section whose heading contains `table`, if they have at least `cells` cells.
std::vector<std::vector<std::string>> read_table_rows(const std::string& table, std::size_t cells) {
  std::ifstream in(LAURELTIDE_DOCS "/ledger.md");
  std::vector<std::vector<std::string>> found;
  bool in_section = false;
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("#", 0) == 0) in_section = line.find(table) != std::string::npos;
    if (!in_section || line.rfind("| ", 0) != 0) continue;
    std::vector<std::string> row;
    std::istringstream text(line.substr(1));
    for (std::string cell; std::getline(text, cell, '|');) row.push_back(trimmed(cell));
    if (row.size() >= cells && row[0] != "last record" && row[0] != "---") found.push_back(row);
  }
  return found;
}
const std::map<std::string, Effect> kClasses{
    {"repeatable", kRead}, {"keyed, all", kKeyedAll}, {"keyed, zone or cell", kKeyedCell}, {"once", kOnce}};

// Columns: last record | redelivered | complete coverage | repeatable | keyed, all | keyed, zone or cell |
// once
TEST(RecoveryDecision, MessagesAsThePageSays) {
  const auto table = read_table_rows("A message names the call", 7);
  ASSERT_GE(table.size(), 14U);
  std::size_t checked = 0;
  for (const auto& row : table) {
    const auto record = record_of(row[0]);
    for (const bool redelivered : {false, true})
      for (const bool complete_coverage : {false, true}) {
        if (row[1] != "any" && redelivered != (row[1] == "yes")) continue;
        if (row[2] != "any" && complete_coverage != (row[2] == "yes")) continue;
        const char* names[] = {"repeatable", "keyed, all", "keyed, zone or cell", "once"};
        for (std::size_t c = 0; c < 4; ++c) {
          const RecoveryDecision r =
              decide_on_message(record ? &*record : nullptr, kClasses.at(names[c]), redelivered,
                                complete_coverage ? Coverage::kComplete : Coverage::kNone, kNow);
          EXPECT_EQ(text_of(r.verdict), row[3 + c])
              << row[0] << ", redelivered " << redelivered << ", complete coverage " << complete_coverage
              << ", " << names[c];
          if (r.verdict == Verdict::kFail) {
            EXPECT_FALSE(r.reason.empty());
          }
          if (r.verdict == Verdict::kRunUntil) {
            EXPECT_EQ(r.until_ms, kNow - 800 + 2000);
          }
          ++checked;
        }
      }
  }
  EXPECT_EQ(checked, 8U * 2 * 2 * 4);  // exactly one row covers each record in each case
}

// Columns: last record | time left | repeatable | keyed, all | keyed, zone or cell | once
TEST(RecoveryDecision, OwedCallsAsThePageSays) {
  const auto table = read_table_rows("An owed call is found", 6);
  ASSERT_GE(table.size(), 6U);
  for (const auto& row : table) {
    for (const bool time_left : {false, true}) {
      if (row[1] != "any" && time_left != (row[1] == "yes")) continue;
      auto record = record_of(row[0]);
      ASSERT_TRUE(record) << row[0];
      record->give_up_ms = time_left ? kNow + 1 : kNow;
      const char* names[] = {"repeatable", "keyed, all", "keyed, zone or cell", "once"};
      for (std::size_t c = 0; c < 4; ++c)
        EXPECT_EQ(text_of(decide_on_owed(*record, kClasses.at(names[c]), kNow).verdict), row[2 + c])
            << row[0] << ", time left " << time_left << ", " << names[c];
    }
  }
}

}  // namespace
}  // namespace laureltide::ledger
