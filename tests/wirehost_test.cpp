// The adapter as a process of its own.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "wire/codec.h"

namespace {

struct Finished {
  int status = -1;
  std::string out, err;
};

std::string slurp(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

Finished run_host(const std::string& input) {
  const auto info = ::testing::UnitTest::GetInstance()->current_test_info();
  const auto dir = std::filesystem::temp_directory_path() / (std::string("laureltide_") + info->name());
  std::filesystem::create_directories(dir);
  std::ofstream(dir / "in", std::ios::binary) << input;
  const std::string command = std::string(LAURELTIDE_WIREHOST) + " <" + (dir / "in").string() + " >" +
                              (dir / "out").string() + " 2>" + (dir / "err").string();
  const int status = std::system(command.c_str());
  Finished result{WIFEXITED(status) ? WEXITSTATUS(status) : -1, slurp(dir / "out"), slurp(dir / "err")};
  std::filesystem::remove_all(dir);
  return result;
}

std::string empty_batch(std::uint32_t number) {
  laureltide::wire::Writer w;
  w.u32(16);
  w.u32(0);
  w.u64(8'412'249'488);
  w.u32(number);
  return {reinterpret_cast<const char*>(w.buffer().data()), w.buffer().size()};
}

TEST(Wirehost, EndOfInputIsAGoodEnd) {
  const Finished r = run_host("");
  EXPECT_EQ(r.status, 0);
  EXPECT_TRUE(r.out.empty());
  EXPECT_TRUE(r.err.empty());
}

TEST(Wirehost, AnswersEachBatchOnce) {
  const Finished r = run_host(empty_batch(1) + empty_batch(2));
  EXPECT_EQ(r.status, 0);
  EXPECT_EQ(r.out, std::string("\0\0\0\10\0\0\0\0\0\0\0\1\0\0\0\10\0\0\0\0\0\0\0\2", 24));
}

TEST(Wirehost, MalformedInputGetsAPlainMessageAndNoPartialReply) {
  for (const std::string& input : {std::string("\0\0", 2), std::string("\0\0\0\1x", 5),
                                   empty_batch(1).substr(0, 9), std::string("\xff\xff\xff\xff zzz", 8)}) {
    const Finished r = run_host(input);
    EXPECT_EQ(r.status, 1);
    EXPECT_TRUE(r.out.empty());
    EXPECT_NE(r.err.find("laureltide_wirehost: "), std::string::npos);
  }
}

}  // namespace
