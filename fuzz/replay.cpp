// Plays a folder of inputs through a target, then a fixed number of seeded mutations of each: bytes changed,
// cut, doubled, and pieces of one put into another. The same inputs every time.
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
  const auto play = [](const std::string& s) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(s.data()), s.size());
  };
  for (const std::string& s : inputs) play(s);
  const long most = std::atol(argv[2]);
  pcg32 random(20261201);
  const auto below = [&](std::size_t n) { return n == 0 ? 0 : random(static_cast<std::uint32_t>(n)); };
  for (long k = 0; k < most && !inputs.empty(); ++k) {
    std::string s = inputs[below(inputs.size())];
    for (auto n = 1 + below(4); n > 0 && !s.empty(); --n) switch (below(5)) {
        case 0:
          s[below(s.size())] = static_cast<char>(random());
          break;
        case 1:
          s.resize(below(s.size()) + 1);
          break;
        case 2:
          s.insert(below(s.size()), s.substr(below(s.size()), below(64)));
          break;
        case 3:
          s.erase(below(s.size()), below(16));
          break;
        default: {
          const std::string& other = inputs[below(inputs.size())];
          s.insert(below(s.size()), other.substr(below(other.size()), below(64)));
        }
      }
    play(s);
  }
  std::printf("%zu inputs, %ld mutations: no fault\n", inputs.size(), inputs.empty() ? 0 : most);
  return inputs.empty() ? 1 : 0;
}
