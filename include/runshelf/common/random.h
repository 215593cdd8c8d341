// Random numbers behind an interface, so that a simulated run can be reproduced from its seed.
#pragma once

#include <cstdint>
#include <random>

#include "runshelf/common/clock.h"

namespace runshelf {

// Source of random numbers. Not thread-safe.
class Random {
 public:
  virtual ~Random() = default;

  // Returns 64 uniformly distributed bits.
  virtual uint64_t Next() = 0;

  // Returns a number in [0, bound); `bound` must not be zero.
  uint64_t Below(uint64_t bound) { return Next() % bound; }

  // Returns a duration in [low, high); `low` when the range is empty.
  Duration Between(Duration low, Duration high) {
    return high <= low ? low : low + Duration(static_cast<int64_t>(Below((high - low).count())));
  }
};

// Generates the same numbers from the same seed on every machine.
class SeededRandom : public Random {
 public:
  explicit SeededRandom(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

// Seeded by the operating system.
class SystemRandom : public Random {
 public:
  SystemRandom();
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace runshelf
