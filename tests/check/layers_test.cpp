// Tests of the layers checker with hand-written recordings: a valid one and each kind of violation.
#include "check/layers.h"

#include <gtest/gtest.h>

namespace laureltide::check {
namespace {

using nlohmann::json;

json release(const char* function, int n, const char* version, const char* blob, const char* layer) {
  return {{"e", "release"},     {"function", function}, {"release", n},
          {"version", version}, {"blob", blob},         {"layers", {layer}}};
}
json sent(const char* box, const char* what) { return {{"e", "store-sent"}, {"to", box}, {"what", what}}; }
json ran(const char* function, const char* version, const char* layer) {
  return {{"e", "ran"},           {"worker", 1},        {"call", "c"},
          {"function", function}, {"version", version}, {"layers", {layer}}};
}

struct Layers : testing::Test {
  std::vector<json> recording{release("f", 1, "v1", "b1", "l1"), release("f", 2, "v2", "b2", "l2"),
                              release("g", 1, "w1", "c1", "m1")};
  LayersVerdict with(std::vector<json> more) {
    more.insert(more.begin(), recording.begin(), recording.end());
    return judge_layers(more);
  }
};

TEST_F(Layers, AcceptsValidRecording) {
  const auto v =
      with({sent("box-1", "b1 0-10"), sent("box-1", "b1 10-20"), sent("box-2", "b1 0-10"),
            sent("box-1", "b2 0-10"), sent("box-1", "index 0-10"), sent("box-1", "index 0-10"),
            sent("box-1", "manifest"), ran("f", "v1", "l1"), ran("f", "v2", "l2"), ran("g", "w1", "m1")});
  EXPECT_TRUE(v.kept());
  EXPECT_EQ(v.ranges, 4U);
  EXPECT_EQ(v.bytes, 40U);
  EXPECT_EQ(v.boxes, 2U);
  EXPECT_EQ(v.runs, 3U);
  EXPECT_EQ(v.renewed, 1U);
}

TEST_F(Layers, ReportsBytesSentTwiceToOneHost) {
  EXPECT_EQ(with({sent("box-1", "b1 0-10"), sent("box-1", "b1 0-10")}).duplicate_sends.size(), 1U);
  EXPECT_EQ(with({sent("box-1", "b1 0-10"), sent("box-1", "b1 9-20")}).duplicate_sends.size(), 1U);
  EXPECT_EQ(with({sent("box-1", "b1 10-20"), sent("box-1", "b1 0-11")}).duplicate_sends.size(), 1U);
  EXPECT_EQ(with({sent("box-1", "b1 10-12"), sent("box-1", "b1 0-20")}).duplicate_sends.size(), 1U);
}

TEST_F(Layers, ReportsRunsOnWrongVersions) {
  EXPECT_EQ(with({ran("f", "v3", "l1")}).wrong_versions.size(), 1U);  // never released
  EXPECT_EQ(with({ran("f", "v1", "l2")}).wrong_versions.size(), 1U);  // layers of another release
  EXPECT_EQ(with({ran("f", "w1", "m1")}).wrong_versions.size(), 1U);  // a version of another function
  json none = ran("f", "v1", "l1");
  none.erase("version");
  EXPECT_EQ(with({none}).wrong_versions.size(), 1U);
}

}  // namespace
}  // namespace laureltide::check
