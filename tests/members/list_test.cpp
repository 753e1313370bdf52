// Tests which list updates apply (versions, epochs, gaps) and how invalid documents are rejected.
#include "members/list.h"

#include <gtest/gtest.h>

namespace laureltide::members {
namespace {

Member member(std::uint32_t id, WorkerState state = WorkerState::kReady) {
  Member m;
  m.id = id, m.address = {"127.0.0.1", static_cast<std::uint16_t>(7000 + id)}, m.kind = "big",
  m.state = state;
  return m;
}
Update full(std::uint64_t version, std::vector<Member> members, std::int64_t epoch = 1) {
  return {true, epoch, version, {}, std::move(members)};
}
Update change(std::uint64_t from, std::uint64_t version, std::vector<Member> members,
              std::int64_t epoch = 1) {
  return {false, epoch, version, from, std::move(members)};
}

struct WorkerListTest : testing::Test {
  WorkerList list{{"small", "big"}};
  Verdict take(const Update& u, bool cached = false) { return list.take(u, {}, cached).verdict; }
};

TEST_F(WorkerListTest, IgnoresOldVersionsAndDetectsGaps) {
  EXPECT_EQ(take(full(5, {member(1)})), Verdict::kApplied);
  EXPECT_EQ(take(full(4, {})), Verdict::kStale);
  EXPECT_EQ(take(full(5, {})), Verdict::kStale);
  EXPECT_EQ(take(change(5, 6, {member(2)})), Verdict::kApplied);
  EXPECT_EQ(take(change(5, 6, {member(3)})), Verdict::kStale);
  EXPECT_EQ(take(change(7, 8, {member(4)})), Verdict::kGap);
  EXPECT_EQ(list.members().size(), 2U);
}

TEST_F(WorkerListTest, AcceptsLaterEpochAndIgnoresEarlierOne) {
  take(full(50, {member(1)}));
  EXPECT_EQ(take(change(1, 2, {member(2)}, 2)), Verdict::kGap);
  const WorkerList::ApplyResult t = list.take(full(1, {member(2)}, 2), {});
  EXPECT_EQ(t.verdict, Verdict::kApplied);
  EXPECT_GT(t.version, 1U);  // the version given to the decision module keeps rising
  EXPECT_EQ(take(full(60, {member(1)}, 1)), Verdict::kStale);
}

TEST_F(WorkerListTest, ReplacesCachedListWithServiceList) {
  EXPECT_EQ(take(full(5, {member(1)}), true), Verdict::kApplied);
  EXPECT_EQ(take(change(5, 6, {member(2)})), Verdict::kGap);  // changes cannot be based on a cached list
  EXPECT_EQ(take(full(5, {member(1), member(2)})), Verdict::kApplied);
  EXPECT_EQ(take(full(5, {member(1), member(2)})), Verdict::kStale);
}

TEST_F(WorkerListTest, KeepsKindAndAddress) {
  const WorkerList::ApplyResult t = list.take(full(1, {member(1)}), {});
  ASSERT_EQ(t.entries.size(), 1U);
  EXPECT_EQ(t.entries[0].kind, 1);
  Member gone;
  gone.id = 1, gone.state = WorkerState::kGone;
  take(change(1, 2, {gone}));
  EXPECT_EQ(list.find(WorkerId{1})->address.port, 7001);  // calls still in flight there can be answered
}

TEST_F(WorkerListTest, ConvertsStartTimesWithFixedOffset) {
  Member m = member(1);
  m.started_unix_ms = 10'000;
  const WorkerList::ApplyResult t = list.take(full(1, {m}), std::chrono::seconds(-7));
  EXPECT_EQ(*t.entries[0].started, Time(std::chrono::seconds(3)));
}

TEST(ListUpdateTest, RoundTrips) {
  Member m = member(3, WorkerState::kDraining);
  m.zone = "a", m.cell = "r1", m.started_unix_ms = 77;
  const Update u = change(4, 5, {m}, 9);
  std::string why;
  const auto back = parse_update(write_update(u), why);
  ASSERT_TRUE(back) << why;
  EXPECT_EQ(back->members, u.members);
  EXPECT_EQ(back->from, u.from);
  EXPECT_EQ(back->epoch, 9);
}

TEST(ListUpdateTest, ReportsInvalidDocuments) {
  for (const char* bad :
       {"", "[]", "{}", "{\"scope\":\"some\",\"version\":1,\"workers\":[]}",
        "{\"scope\":\"full\",\"version\":-1,\"workers\":[]}",
        "{\"scope\":\"full\",\"version\":1,\"workers\":{}}",
        "{\"scope\":\"full\",\"version\":1,\"workers\":[{\"id\":1}]}",
        "{\"scope\":\"full\",\"version\":1,\"workers\":[{\"id\":1,\"at\":\"127.0.0.1:99999\"}]}",
        "{\"scope\":\"full\",\"version\":1,\"workers\":[{\"id\":\"x\",\"at\":\"127.0.0.1:9\"}]}",
        "{\"scope\":\"full\",\"version\":1,\"workers\":[{\"id\":1,\"at\":\"127.0.0.1:9\",\"state\":\"ill\"}]"
        "}",
        "{\"scope\":\"changes\",\"version\":1,\"workers\":[]}"}) {
    std::string why;
    EXPECT_FALSE(parse_update(bad, why)) << bad;
    EXPECT_FALSE(why.empty()) << bad;
  }
}

}  // namespace
}  // namespace laureltide::members
