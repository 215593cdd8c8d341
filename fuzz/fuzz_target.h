// What every fuzz target defines, and the check that it uses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

// Called with one input; returns 0. A fault ends the process.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace runshelf::fuzz {

// Inputs that the decoder has accepted so far, as its target counts them.
inline size_t accepted_inputs = 0;

inline void CountAccepted() { ++accepted_inputs; }

inline std::string ToText(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// Ends the process when `holds` is false; `property` says what was expected.
inline void Require(bool holds, const char* property) {
  if (holds) return;
  std::fprintf(stderr, "property violated: %s\n", property);
  std::abort();
}

}  // namespace runshelf::fuzz
