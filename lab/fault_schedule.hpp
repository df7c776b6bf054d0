// Draws the experiments of the soak's first kind: overlapping faults of all kinds.
#pragma once

#include <cstdint>
#include <string>

namespace sablespur::lab {

// The experiment of a seed, as INI: its deployment, load and schedule of faults. The same text for the same
// seed.
std::string faultExperiment(std::uint64_t seed);

}  // namespace sablespur::lab
