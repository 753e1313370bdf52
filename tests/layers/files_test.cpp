// Tests of the file-based disk, including its state after SIGKILL and after a restart.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "layers/disk.h"
#include "layers/layout.h"
#include "net/loop.h"

namespace laureltide::layers {
namespace {

namespace fs = std::filesystem;

std::string random_bytes(std::size_t n, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string out(n, '\0');
  for (char& c : out) c = static_cast<char>(random() & 0x3f);
  return out;
}

struct Files : testing::Test {
  std::string dir;
  PackedLayer packed = pack_layer(random_bytes(300'000, 1), ChunkerOptions{16U << 10});
  Files() {
    std::string pattern = (fs::temp_directory_path() / "laureltide-layers-XXXXXX").string();
    dir = mkdtemp(pattern.data());
  }
  ~Files() override { fs::remove_all(dir); }

  std::string frame(const Chunk& c) const { return packed.blob.substr(c.offset, c.stored_size); }
  // Writes all chunks in order and calls `at` after each.
  void write_all(Disk& disk, net::Loop& loop, const std::function<void(const Chunk&)>& at) {
    std::size_t left = packed.index.chunks.size();
    for (const Chunk& c : packed.index.chunks)
      disk.write(key_of("", c.content), c, frame(c), [&, c](DiskStatus end, const std::string& why) {
        EXPECT_EQ(end, DiskStatus::kOk) << why;
        at(c);
        if (--left == 0) loop.stop();
      });
    loop.run();
  }
};

TEST_F(Files, LoadsChunksInWriteOrder) {
  {
    net::Loop loop;
    auto opened = open_disk(dir, [&](std::function<void()> what) { loop.post(std::move(what)); });
    ASSERT_TRUE(opened.disk) << opened.why;
    EXPECT_TRUE(opened.disk->load().chunks.empty());
    write_all(*opened.disk, loop, [](const Chunk&) {});
    opened.disk->put("\nversion", "bytes");
  }
  net::Loop loop;
  auto opened = open_disk(dir, [&](std::function<void()> what) { loop.post(std::move(what)); });
  ASSERT_TRUE(opened.disk) << opened.why;
  const Disk::LoadedState found = opened.disk->load();
  ASSERT_EQ(found.chunks.size(), packed.index.chunks.size());
  for (std::size_t i = 0; i < found.chunks.size(); ++i)
    EXPECT_EQ(found.chunks[i].key, key_of("", packed.index.chunks[i].content));
  ASSERT_EQ(found.records.size(), 1U);
  EXPECT_EQ(found.records[0].second, "bytes");
  const auto file = read_file(opened.disk->path(found.chunks[0].key));
  ASSERT_TRUE(file);
  EXPECT_EQ(digest_of(*file), packed.index.chunks[0].content);
}

TEST_F(Files, VerifyDetectsChangedBytesOfSameSize) {
  net::Loop loop;
  auto opened = open_disk(dir, [&](std::function<void()> what) { loop.post(std::move(what)); });
  opened.disk->load();
  write_all(*opened.disk, loop, [](const Chunk&) {});
  const Chunk& c = packed.index.chunks[1];
  const Key key = key_of("", c.content);
  std::vector<DiskStatus> ends;
  auto note = [&](DiskStatus end, const std::string&) {
    ends.push_back(end);
    loop.stop();
  };
  opened.disk->verify(key, c.content, note);
  loop.run();
  std::string bytes = *read_file(opened.disk->path(key));
  bytes[0] = static_cast<char>(bytes[0] ^ 1);
  std::ofstream(opened.disk->path(key), std::ios::binary) << bytes;
  opened.disk->verify(key, c.content, note);
  loop.run();
  EXPECT_EQ(ends, (std::vector<DiskStatus>{DiskStatus::kOk, DiskStatus::kCorrupt}));
}

TEST_F(Files, DropsFileOfWrongSize) {
  std::string file;
  {
    net::Loop loop;
    auto opened = open_disk(dir, [&](std::function<void()> what) { loop.post(std::move(what)); });
    opened.disk->load();
    write_all(*opened.disk, loop, [](const Chunk&) {});
    file = opened.disk->path(key_of("", packed.index.chunks[2].content));
  }
  fs::resize_file(file, 10);
  net::Loop loop;
  auto opened = open_disk(dir, [&](std::function<void()> what) { loop.post(std::move(what)); });
  const Disk::LoadedState found = opened.disk->load();
  EXPECT_EQ(found.chunks.size(), packed.index.chunks.size() - 1);
  EXPECT_FALSE(fs::exists(file));
}

TEST_F(Files, RefusesDirectoryInUse) {
  net::Loop loop;
  auto post = [&](std::function<void()> what) { loop.post(std::move(what)); };
  auto first = open_disk(dir, post);
  ASSERT_TRUE(first.disk);
  auto second = open_disk(dir, post);
  EXPECT_FALSE(second.disk);
  EXPECT_NE(second.why.find("in use"), std::string::npos) << second.why;
}

// A child process is killed at the n-th occurrence of each step; the next process finds only complete chunks.
TEST_F(Files, KeepsOnlyCompleteChunksAfterKill) {
  for (const char* step : {"chunk-begun", "chunk-written", "chunk-renamed", "chunk-indexed"})
    for (const int times : {1, 4}) {
      fs::remove_all(dir);
      const pid_t child = fork();
      if (child == 0) {
        net::Loop loop;
        auto opened = open_disk(dir, [&](std::function<void()> what) { loop.post(std::move(what)); });
        if (!opened.disk) _exit(1);
        opened.disk->load();
        std::atomic<int> left = times;
        opened.disk->on_step = [&](const char* name) {
          if (std::string_view(name) == step && --left == 0) raise(SIGKILL);
        };
        write_all(*opened.disk, loop, [](const Chunk&) {});
        _exit(2);
      }
      int status = 0;
      waitpid(child, &status, 0);
      ASSERT_TRUE(WIFSIGNALED(status)) << step << " was not passed";
      net::Loop loop;
      auto opened = open_disk(dir, [&](std::function<void()> what) { loop.post(std::move(what)); });
      ASSERT_TRUE(opened.disk) << opened.why;
      const Disk::LoadedState found = opened.disk->load();
      EXPECT_LE(found.chunks.size(), static_cast<std::size_t>(times));
      for (const auto& kept : found.chunks) {
        bool whole = false;
        const auto bytes = read_file(opened.disk->path(kept.key));
        for (const Chunk& c : packed.index.chunks)
          whole |= key_of("", c.content) == kept.key && bytes && digest_of(*bytes) == c.content;
        EXPECT_TRUE(whole);
      }
      std::size_t files = 0;
      for (const auto& entry : fs::recursive_directory_iterator(dir + "/chunks"))
        files += entry.is_regular_file();
      EXPECT_EQ(files, found.chunks.size());
      EXPECT_TRUE(fs::is_empty(dir + "/half"));
    }
}

TEST_F(Files, LayoutRoundTripsAndReportsDamage) {
  std::ofstream(dir + "/model", std::ios::binary) << random_bytes(200'000, 5);
  const std::string to = dir + "/layout";
  ASSERT_EQ(write_layout(to, "decoder", 3, {{"model", dir + "/model"}}, ChunkerOptions{16U << 10}, 3), "");
  std::string why;
  const auto layout = read_layout(to, why);
  ASSERT_TRUE(layout) << why;
  EXPECT_EQ(verify_layout(*layout), "");
  EXPECT_NE(write_layout(to, "decoder", 4, {{"model", dir + "/model"}}, ChunkerOptions{}, 3),
            "");  // refuses a directory that is not empty
  const std::string blob = blob_path(to, layout->manifest.layers[0].blob);
  std::string bytes = *read_file(blob);
  bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
  std::ofstream(blob, std::ios::binary) << bytes;
  EXPECT_NE(verify_layout(*layout), "");
  fs::remove(to + "/index.json");
  EXPECT_FALSE(read_layout(to, why));
}

}  // namespace
}  // namespace laureltide::layers
