// Each fuzz target defines this one function: libFuzzer calls it (-DSABLESPUR_FUZZ=ON, clang), and so does
// replay.cpp, which plays a kept corpus and a fixed number of seeded mutations of it for CI.
#pragma once

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
