// Runs dispatchers for the simulator, with its binary protocol on standard input and output. Exits with 0 at
// the end of input and with 1 on an error, such as malformed input.
#include <array>
#include <cstdio>
#include <exception>
#include <vector>

#include "wire/codec.h"
#include "wire/host.h"

namespace {

// Reads up to `count` bytes. Allocates in steps, so that a false length takes no more memory than the input
// fills.
std::vector<std::byte> read_up_to(std::FILE* in, std::size_t count) {
  constexpr std::size_t kStepBytes = std::size_t{1} << 20;
  std::vector<std::byte> bytes;
  while (bytes.size() < count) {
    const std::size_t before = bytes.size();
    const std::size_t step = std::min(kStepBytes, count - before);
    bytes.resize(before + step);
    const std::size_t read_count = std::fread(bytes.data() + before, 1, step, in);
    bytes.resize(before + read_count);
    if (read_count < step) break;
  }
  return bytes;
}

int serve() {
  using namespace laureltide::wire;
  Host host;
  while (true) {
    const auto length_bytes = read_up_to(stdin, kFrameLengthBytes);
    if (length_bytes.empty()) return 0;
    Reader length_reader(length_bytes, "frame length");
    const std::size_t length = length_reader.u32();
    if (length < kBatchHeaderBytes) length_reader.fail("frame is shorter than its header");
    const auto batch = read_up_to(stdin, length);
    if (batch.size() < length)
      throw Malformed("frame: input ended before its " + std::to_string(length) + " bytes");
    const auto reply = host.process_batch(batch);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      throw std::runtime_error("standard output cannot be written");
  }
}

}  // namespace

int main() {
  try {
    return serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "laureltide_wirehost: %s\n", error.what());
    return 1;
  }
}
