// Generates the experiments of the soak kind Clocks: groups that lag behind the present, restarts of
// whole groups, takeovers, and stepped wall clocks of proxies.
#pragma once

#include <cstdint>
#include <string>

namespace sablespur::lab {

// Returns the experiment of a seed as INI text. Deterministic: the same seed gives the same text.
std::string clockExperiment(std::uint64_t seed);

}  // namespace sablespur::lab
