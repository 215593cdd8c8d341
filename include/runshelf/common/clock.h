// Time types, and the clock interface.
//
// Decision code takes the current time as an argument; only the outermost layer of each process
// reads a real clock. The simulator can therefore run production code in virtual time, with a
// different clock rate on every node.
#pragma once

#include <chrono>
#include <cstdint>

namespace runshelf {

// The clock of one machine: monotonic, advances while the machine is suspended, and is shared by
// all processes of that machine. Instants of different machines must never be compared.
struct MachineClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MachineClock, duration>;
  static constexpr bool is_steady = true;
};

using Duration = std::chrono::microseconds;
using Instant = MachineClock::time_point;

// Returns the microseconds since the start of the machine's clock; for messages and logs.
constexpr int64_t ToMicroseconds(Instant instant) { return instant.time_since_epoch().count(); }

// The inverse of ToMicroseconds.
constexpr Instant InstantFromMicroseconds(int64_t microseconds) {
  return Instant(Duration(microseconds));
}

// Whole milliseconds of a duration, rounded towards zero; for messages and logs.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Source of instants. Implementations are safe to call from any thread.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
};

// Reads CLOCK_BOOTTIME of the machine that the process runs on.
class SystemClock : public Clock {
 public:
  Instant Now() const override;
};

}  // namespace runshelf
