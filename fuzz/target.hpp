// The entry point that each fuzz target defines. Called by libFuzzer (-DSABLESPUR_FUZZ=ON, clang)
// and by replay.cpp, which CI uses to run a stored corpus and a fixed number of seeded mutations of
// it.
#pragma once

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
