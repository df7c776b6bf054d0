// Generates the experiments of the soak kind Takeovers: takeovers, idle periods and read-only load.
#pragma once

#include <cstdint>
#include <string>

namespace sablespur::lab {

// Returns the experiment of a seed as INI text. Deterministic: the same seed gives the same text.
std::string takeoverExperiment(std::uint64_t seed);

}  // namespace sablespur::lab
