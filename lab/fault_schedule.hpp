// Generates the experiments of the soak kind Faults: overlapping faults of all kinds.
#pragma once

#include <cstdint>
#include <string>

namespace sablespur::lab {

// Returns the experiment of a seed as INI text: its deployment, load and fault schedule.
// Deterministic: the same seed gives the same text.
std::string faultExperiment(std::uint64_t seed);

}  // namespace sablespur::lab
