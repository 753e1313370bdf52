// Speaks the wire on standard input and output. Ends with 0 at the end of input, with 1 on malformed input.
#include <array>
#include <cstdio>
#include <exception>
#include <vector>

#include "wire/codec.h"
#include "wire/host.h"

namespace {

// Reads up to `count` bytes in steps, so that a false length costs no memory that the input does not fill.
std::vector<std::byte> read_up_to(std::FILE* in, std::size_t count) {
  constexpr std::size_t kStep = std::size_t{1} << 20;
  std::vector<std::byte> bytes;
  while (bytes.size() < count) {
    const std::size_t before = bytes.size();
    const std::size_t step = std::min(kStep, count - before);
    bytes.resize(before + step);
    const std::size_t got = std::fread(bytes.data() + before, 1, step, in);
    bytes.resize(before + got);
    if (got < step) break;
  }
  return bytes;
}

int serve() {
  using namespace laureltide::wire;
  Host host;
  while (true) {
    const auto length_bytes = read_up_to(stdin, kLengthBytes);
    if (length_bytes.empty()) return 0;
    Reader length_reader(length_bytes, "frame length");
    const std::size_t length = length_reader.u32();
    if (length < kBatchHeaderRest) length_reader.fail("frame is shorter than its header");
    const auto batch = read_up_to(stdin, length);
    if (batch.size() < length)
      throw Malformed("frame: input ended before its " + std::to_string(length) + " bytes");
    const auto reply = host.answer(batch);
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
