// Generates random duplicates of a worker's responses.
#pragma once

#include <cstdint>
#include <optional>

#include "runshelf/common/random.h"
#include "tests/soak/fault_proxy.h"

namespace runshelf::soak {

// Decides for each response whether and how the proxy repeats it; determined by the seed.
class SecondAnswers {
 public:
  explicit SecondAnswers(uint64_t seed) : random_(seed) {}

  // Returns how to repeat the next response; nullopt: not at all.
  std::optional<FaultProxy::Repetition> Next();

 private:
  SeededRandom random_;
};

}  // namespace runshelf::soak
