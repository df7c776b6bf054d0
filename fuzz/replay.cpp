// Runs a fuzz target on all files of a directory, then on a fixed number of seeded mutations of
// them: bytes changed, truncated, duplicated or erased, and parts of one input inserted into
// another. Every run uses the same inputs.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fuzz/target.hpp"

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: %s FOLDER MUTATIONS\n", argv[0]);
    return 2;
  }
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  std::vector<std::string> inputs;
  for (const auto& f : files) {
    std::ifstream in(f, std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  }
  const auto run = [](const std::string& s) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(s.data()), s.size());
  };
  for (const std::string& s : inputs) run(s);
  const long mutationCount = std::atol(argv[2]);
  pcg32 random(20261201);
  const auto randomBelow = [&](std::size_t n) { return n == 0 ? 0 : random(static_cast<std::uint32_t>(n)); };
  for (long k = 0; k < mutationCount && !inputs.empty(); ++k) {
    std::string s = inputs[randomBelow(inputs.size())];
    for (auto n = 1 + randomBelow(4); n > 0 && !s.empty(); --n) switch (randomBelow(5)) {
        case 0:
          s[randomBelow(s.size())] = static_cast<char>(random());
          break;
        case 1:
          s.resize(randomBelow(s.size()) + 1);
          break;
        case 2:
          s.insert(randomBelow(s.size()), s.substr(randomBelow(s.size()), randomBelow(64)));
          break;
        case 3:
          s.erase(randomBelow(s.size()), randomBelow(16));
          break;
        default: {
          const std::string& other = inputs[randomBelow(inputs.size())];
          s.insert(randomBelow(s.size()), other.substr(randomBelow(other.size()), randomBelow(64)));
        }
      }
    run(s);
  }
  std::printf("%zu inputs, %ld mutations: no fault\n", inputs.size(), inputs.empty() ? 0 : mutationCount);
  return inputs.empty() ? 1 : 0;
}
