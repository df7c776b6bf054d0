// Draws the experiments of the soak's second kind: takeovers, quiet times and readers alone.
#pragma once

#include <cstdint>
#include <string>

namespace sablespur::lab {

// The experiment of a seed, as INI. The same text for the same seed.
std::string takeoverExperiment(std::uint64_t seed);

}  // namespace sablespur::lab
