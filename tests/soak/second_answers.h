// Draws how the answers of a worker are said a second time.
#pragma once

#include <cstdint>
#include <optional>

#include "runshelf/common/random.h"
#include "tests/soak/fault_proxy.h"

namespace runshelf::soak {

class SecondAnswers {
 public:
  explicit SecondAnswers(uint64_t seed) : random_(seed) {}

  // For the next answer; nullopt: it is said once.
  std::optional<FaultProxy::Repetition> Next();

 private:
  SeededRandom random_;
};

}  // namespace runshelf::soak
