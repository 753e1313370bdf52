// Tests the settings: each error names its line, its key and what was expected.
#include "config/settings.h"

#include <gtest/gtest.h>

namespace laureltide::config {
namespace {

const std::string kMinimalSettings = R"([list]
file = "workers.json"
[[class]]
name = "read"
effect = "repeatable"
[[function]]
name = "echo"
class = "read"
)";

TEST(Settings, AcceptsMinimalSettings) {
  const SettingsResult c = parse(kMinimalSettings, "f.toml");
  for (const Problem& p : c.problems) ADD_FAILURE() << p.to_string();
  ASSERT_TRUE(c.settings);
  EXPECT_TRUE(c.settings->gateway.loopback_only);
  EXPECT_NE(c.settings->find("echo"), nullptr);
}

TEST(Settings, ErrorsNameLineKeyAndExpectation) {
  struct Case {
    std::string more, key, text;
    std::uint32_t line;
  };
  const std::vector<Case> cases = {
      {"[gateway]\nanswer_reserve_ms = \"soon\"\n", "gateway.answer_reserve_ms", "expected a number", 10},
      {"[gateway]\nnumbr = 1\n", "gateway.numbr", "unknown key; expected one of", 10},
      {"[gateway]\nnumber = 2\nreplicas = 2\n", "gateway.number", "under replicas", 10},
      {"[bounds]\nopen_calls = 0\n", "bounds.open_calls", "from 1 to", 10},
      {"[bounds]\nopen_calls = 1.5\n", "bounds.open_calls", "a whole number", 10},
      {"[bounds]\nmay_cancel = 1\n", "bounds.may_cancel", "true or false", 10},
      {"[instances]\non_miss = \"wait\"\n", "instances.on_miss", "one of \"load\", \"miss\"", 10},
      {"[[class]]\nname = \"k\"\neffect = \"keyed\"\n", "class[1].repeat_window_ms", "is needed", 9},
      {"[[class]]\nname = \"read\"\n", "class[1].name", "is given twice", 10},
      {"[[class]]\nname = \"k\"\ntarget_ms = 500\ngive_up_ms = 100\n", "class[1].give_up_ms",
       "under target_ms", 12},
      {"[[function]]\nname = \"f\"\nclass = \"none\"\n", "function[1].class", "no such class", 11},
      {"[[function]]\nname = \"echo\"\nclass = \"read\"\n", "function[1].name", "is given twice", 10},
      {"[[broker]]\nqueues = [\"a\"]\n", "broker[0].address", "is needed", 9},
      {"[[broker]]\naddress = \"localhost:5672\"\nqueues = [\"a\"]\n", "broker[0].address", "numeric address",
       10},
      {"[[broker]]\naddress = \"127.0.0.1:5672\"\nqueues = []\n", "broker[0].queues", "is needed", 11},
      {"[[broker]]\naddress = \"127.0.0.1:5672\"\nqueues = [\"a\", \"a\"]\n", "broker[0].queues", "twice",
       11},
      {"[[broker]]\naddress = \"127.0.0.1:5672\"\nqueues = [\"a\"]\nprefetch = 30000\n", "broker",
       "open_calls", 0},
      {"[[broker]]\naddress = \"127.0.0.1:5672\"\nqueues = [\"a\"]\nanswers = \"maybe\"\n",
       "broker[0].answers", "one of", 12},
      {"[kind]\nname = \"x\"\n", "kind", "a list of tables", 9},
      {"list_of = 1\n", "function[0].list_of", "unknown key", 9},
      {"[gateway\n", "", "", 9},
  };
  for (const Case& k : cases) {
    SCOPED_TRACE(k.more);
    const SettingsResult c = parse(kMinimalSettings + k.more, "f.toml");
    EXPECT_FALSE(c.settings);
    ASSERT_FALSE(c.problems.empty());
    const bool named = std::any_of(c.problems.begin(), c.problems.end(), [&](const Problem& p) {
      return p.key == k.key && p.text.find(k.text) != std::string::npos && (k.line == 0 || p.line == k.line);
    });
    EXPECT_TRUE(named) << c.problems[0].to_string();
  }
}

TEST(Settings, ReportsAllErrorsAtOnce) {
  const SettingsResult c =
      parse(kMinimalSettings + "[bounds]\nopen_calls = -1\nattempts = 0\nprobes = 3\n", "f.toml");
  EXPECT_EQ(c.problems.size(), 3U);
  EXPECT_EQ(c.problems[0].to_string().rfind("f.toml:10: bounds.open_calls: expected", 0), 0U)
      << c.problems[0].to_string();
}

TEST(Settings, RejectsUnquotedNonAscii) {
  const SettingsResult c = parse(
      "# caf\xc3\xa9\n\xce\xb6"
      "6 = 1\n",
      "f.toml");
  ASSERT_EQ(c.problems.size(), 1U);
  EXPECT_EQ(c.problems[0].line, 2U);
  EXPECT_TRUE(parse(kMinimalSettings + "[[tenant]]\nname = \"T\xc3\xa9ma\"\n", "f").settings);
}

TEST(Settings, WorkerListNeedsExactlyOneSource) {
  std::string both = kMinimalSettings;
  both.insert(both.find("file"), "service = \"127.0.0.1:7000\"\n");
  EXPECT_FALSE(parse(both, "f").settings);
  EXPECT_FALSE(parse("[[class]]\nname=\"a\"\n[[function]]\nname=\"f\"\nclass=\"a\"\n", "f").settings);
}

TEST(Settings, FunctionIdDependsOnTheNameAlone) {
  EXPECT_EQ(function_id("echo"), function_id("echo"));
  EXPECT_NE(function_id("echo"), function_id("echo2"));
  EXPECT_LT(static_cast<std::uint64_t>(function_id("x")), 1ULL << 40);
}

TEST(Settings, NamesChangedKeysThatNeedARestart) {
  const Settings a = *parse(kMinimalSettings, "f").settings;
  const Settings b =
      *parse(kMinimalSettings + "[bounds]\nattempts = 2\n[[function]]\nname = \"f\"\nclass = \"read\"\n", "f")
           .settings;
  EXPECT_EQ(needs_restart(a, b), std::vector<std::string>{"bounds"});
  EXPECT_TRUE(needs_restart(a, a).empty());
}

// Found by fuzzing: the library reads past its tables on such a key (fuzz/seeds/config).
TEST(Settings, RejectsNonAsciiBareKeysBeforeParsing) {
  const SettingsResult checked = parse(
      "[gateway]\n\xce\xb6"
      "6 = 1\n",
      "g.toml");
  ASSERT_EQ(checked.problems.size(), 1U);
  EXPECT_EQ(checked.problems[0].to_string(), "g.toml:2: expected ASCII outside of quotes and comments");
}

}  // namespace
}  // namespace laureltide::config
