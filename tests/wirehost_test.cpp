// Tests of laureltide_wirehost as a separate process: bytes in, bytes and exit status out.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "wire/codec.h"

namespace {

struct ProcessResult {
  int status = -1;
  std::string out, err;
};

std::string read_file(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

ProcessResult run_host(const std::string& input) {
  const auto info = ::testing::UnitTest::GetInstance()->current_test_info();
  const auto dir = std::filesystem::temp_directory_path() / (std::string("laureltide_") + info->name());
  std::filesystem::create_directories(dir);
  std::ofstream(dir / "in", std::ios::binary) << input;
  const std::string command = std::string(LAURELTIDE_WIREHOST) + " <" + (dir / "in").string() + " >" +
                              (dir / "out").string() + " 2>" + (dir / "err").string();
  const int status = std::system(command.c_str());
  ProcessResult result{WIFEXITED(status) ? WEXITSTATUS(status) : -1, read_file(dir / "out"),
                       read_file(dir / "err")};
  std::filesystem::remove_all(dir);
  return result;
}

std::string empty_batch(std::uint32_t number) {
  laureltide::wire::Writer out;
  out.u32(16);
  out.u32(0);
  out.u64(8'412'249'488);
  out.u32(number);
  return {reinterpret_cast<const char*>(out.buffer().data()), out.buffer().size()};
}

TEST(Wirehost, ExitsWithZeroAtEndOfInput) {
  const ProcessResult result = run_host("");
  EXPECT_EQ(result.status, 0);
  EXPECT_TRUE(result.out.empty());
  EXPECT_TRUE(result.err.empty());
}

TEST(Wirehost, RepliesOnceToEachBatch) {
  const ProcessResult result = run_host(empty_batch(1) + empty_batch(2));
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.out, std::string("\0\0\0\10\0\0\0\0\0\0\0\1\0\0\0\10\0\0\0\0\0\0\0\2", 24));
}

TEST(Wirehost, MalformedInputPrintsAnErrorAndNoReply) {
  for (const std::string& input : {std::string("\0\0", 2), std::string("\0\0\0\1x", 5),
                                   empty_batch(1).substr(0, 9), std::string("\xff\xff\xff\xff zzz", 8)}) {
    const ProcessResult result = run_host(input);
    EXPECT_EQ(result.status, 1);
    EXPECT_TRUE(result.out.empty());
    EXPECT_NE(result.err.find("laureltide_wirehost: "), std::string::npos);
  }
}

}  // namespace
