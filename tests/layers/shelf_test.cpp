// The shelf's bound, pins and order of eviction.
#include "layers/shelf.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace laureltide::layers {
namespace {

Key key(int n) { return digest_of(std::to_string(n)); }
void keep(Shelf& shelf, int n, std::uint32_t size) {
  ASSERT_TRUE(shelf.begin(key(n), size));
  shelf.written(key(n));
}

TEST(Shelf, TheOneUsedLongestAgoGoesFirst) {
  Shelf shelf(30);
  keep(shelf, 1, 10), keep(shelf, 2, 10), keep(shelf, 3, 10);
  shelf.hold({key(1)}), shelf.release({key(1)});  // used again
  const auto go = shelf.begin(key(4), 10);
  ASSERT_TRUE(go);
  EXPECT_EQ(*go, std::vector<Key>{key(2)});
  EXPECT_EQ(shelf.standing(key(2)), Shelf::Standing::kAbsent);
}

TEST(Shelf, WhatIsHeldNeverGoes) {
  Shelf shelf(30);
  keep(shelf, 1, 10), keep(shelf, 2, 10), keep(shelf, 3, 10);
  shelf.hold({key(1), key(2), key(3)});
  shelf.hold({key(3)});
  shelf.release({key(3)});  // still held once
  EXPECT_FALSE(shelf.begin(key(4), 1));
  EXPECT_EQ(shelf.bytes(), 30U);
}

TEST(Shelf, WhatIsBeingWrittenCountsAndStays) {
  Shelf shelf(30);
  ASSERT_TRUE(shelf.begin(key(1), 20));
  EXPECT_FALSE(shelf.begin(key(2), 20));  // the first one's room is taken
  EXPECT_EQ(shelf.standing(key(1)), Shelf::Standing::kWriting);
  shelf.gone(key(1));  // it failed
  EXPECT_TRUE(shelf.begin(key(2), 20));
}

TEST(Shelf, AHoldOnWhatIsNotHereYetCounts) {
  Shelf shelf(20);
  shelf.hold({key(1)});
  keep(shelf, 1, 20);
  EXPECT_FALSE(shelf.begin(key(2), 1));
}

TEST(Shelf, WhatAnEarlierLifeLeftIsUnprovenAndMayGo) {
  Shelf shelf(20);
  shelf.found(key(1), 20);
  EXPECT_EQ(shelf.standing(key(1)), Shelf::Standing::kUnproven);
  shelf.proven(key(1));
  EXPECT_EQ(shelf.standing(key(1)), Shelf::Standing::kWhole);
  EXPECT_TRUE(shelf.begin(key(2), 20));
}

TEST(Shelf, DomainsHaveOtherNamesForTheSameBytes) {
  EXPECT_NE(key_of("a", key(1)), key_of("b", key(1)));
  EXPECT_NE(key_of("", key(1)), key(1));
}

TEST(Shelf, AnySequenceKeepsItsBounds) {
  EXPECT_TRUE(rc::check("the shelf agrees with itself", [] {
    Shelf shelf(100);
    std::map<int, int> holds;
    for (int i = 0; i < 200; ++i) {
      const int n = *rc::gen::inRange(0, 12);
      switch (*rc::gen::inRange(0, 6)) {
        case 0: shelf.begin(key(n), static_cast<std::uint32_t>(*rc::gen::inRange(1, 40))); break;
        case 1: shelf.written(key(n)); break;
        case 2: shelf.gone(key(n)); break;
        case 3: shelf.hold({key(n)}), ++holds[n]; break;
        case 4:
          if (holds[n] > 0) shelf.release({key(n)}), --holds[n];
          break;
        case 5: {
          const auto standing = shelf.standing(key(n));
          if (standing == Shelf::Standing::kAbsent && shelf.bytes() + 5 <= 100) shelf.found(key(n), 5);
          break;
        }
        default: break;
      }
      RC_ASSERT(shelf.consistent());
    }
  }));
}

}  // namespace
}  // namespace laureltide::layers
