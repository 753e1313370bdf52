// Tests of the chunk cache: capacity, retained chunks and eviction order.
#include "layers/chunk_cache.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace laureltide::layers {
namespace {

Key key(int n) { return digest_of(std::to_string(n)); }
void keep(ChunkCache& cache, int n, std::uint32_t size) {
  ASSERT_TRUE(cache.begin_write(key(n), size));
  cache.finish_write(key(n));
}

TEST(ChunkCache, EvictsLeastRecentlyUsedFirst) {
  ChunkCache cache(30);
  keep(cache, 1, 10), keep(cache, 2, 10), keep(cache, 3, 10);
  cache.retain({key(1)}), cache.release({key(1)});  // used again
  const auto to_evict = cache.begin_write(key(4), 10);
  ASSERT_TRUE(to_evict);
  EXPECT_EQ(*to_evict, std::vector<Key>{key(2)});
  EXPECT_EQ(cache.state(key(2)), ChunkCache::State::kAbsent);
}

TEST(ChunkCache, NeverEvictsRetainedChunks) {
  ChunkCache cache(30);
  keep(cache, 1, 10), keep(cache, 2, 10), keep(cache, 3, 10);
  cache.retain({key(1), key(2), key(3)});
  cache.retain({key(3)});
  cache.release({key(3)});  // still retained once
  EXPECT_FALSE(cache.begin_write(key(4), 1));
  EXPECT_EQ(cache.bytes(), 30U);
}

TEST(ChunkCache, ChunksBeingWrittenCountAndStay) {
  ChunkCache cache(30);
  ASSERT_TRUE(cache.begin_write(key(1), 20));
  EXPECT_FALSE(cache.begin_write(key(2), 20));  // space is reserved for the first chunk
  EXPECT_EQ(cache.state(key(1)), ChunkCache::State::kWriting);
  cache.discard(key(1));  // the write failed
  EXPECT_TRUE(cache.begin_write(key(2), 20));
}

TEST(ChunkCache, RetainsChunkBeforeItIsWritten) {
  ChunkCache cache(20);
  cache.retain({key(1)});
  keep(cache, 1, 20);
  EXPECT_FALSE(cache.begin_write(key(2), 1));
}

TEST(ChunkCache, RestoredChunkIsUnverifiedAndEvictable) {
  ChunkCache cache(20);
  cache.restore(key(1), 20);
  EXPECT_EQ(cache.state(key(1)), ChunkCache::State::kUnverified);
  cache.mark_verified(key(1));
  EXPECT_EQ(cache.state(key(1)), ChunkCache::State::kComplete);
  EXPECT_TRUE(cache.begin_write(key(2), 20));
}

TEST(ChunkCache, DomainsHaveDifferentKeysForSameBytes) {
  EXPECT_NE(key_of("a", key(1)), key_of("b", key(1)));
  EXPECT_NE(key_of("", key(1)), key(1));
}

TEST(ChunkCache, AnySequenceKeepsInvariants) {
  EXPECT_TRUE(rc::check("the cache invariants hold", [] {
    ChunkCache cache(100);
    std::map<int, int> holds;
    for (int i = 0; i < 200; ++i) {
      const int n = *rc::gen::inRange(0, 12);
      switch (*rc::gen::inRange(0, 6)) {
        case 0: cache.begin_write(key(n), static_cast<std::uint32_t>(*rc::gen::inRange(1, 40))); break;
        case 1: cache.finish_write(key(n)); break;
        case 2: cache.discard(key(n)); break;
        case 3: cache.retain({key(n)}), ++holds[n]; break;
        case 4:
          if (holds[n] > 0) cache.release({key(n)}), --holds[n];
          break;
        case 5: {
          const auto state = cache.state(key(n));
          if (state == ChunkCache::State::kAbsent && cache.bytes() + 5 <= 100) cache.restore(key(n), 5);
          break;
        }
        default: break;
      }
      RC_ASSERT(cache.consistent());
    }
  }));
}

}  // namespace
}  // namespace laureltide::layers
