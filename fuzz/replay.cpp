// Runs a fuzz target on every seed of a directory without libFuzzer, so that inputs that once crashed it stay
// tests in any build.
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  std::size_t inputs_run = 0;
  if (argc == 2)
    for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
      std::ifstream in(entry.path(), std::ios::binary);
      const std::string bytes(std::istreambuf_iterator<char>(in), {});
      std::cout << entry.path().filename().string() << ", " << bytes.size() << " bytes" << std::endl;
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
      ++inputs_run;
    }
  if (inputs_run == 0) std::cerr << "usage: replay SEEDS (a directory with at least one seed file)\n";
  return inputs_run > 0 ? 0 : 2;
}
