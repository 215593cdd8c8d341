// Virtual time of a simulation, and the clocks that the simulated machines see.
//
// TrueTime is the one timeline on which the judge orders events. Machines never see it: each has a
// DriftingClock, and instants of different machines are not comparable.
#pragma once

#include <chrono>
#include <cstdint>

#include "runshelf/common/clock.h"

namespace runshelf::sim {

struct TrueClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<TrueClock, duration>;
  static constexpr bool is_steady = true;
};

using TrueTime = TrueClock::time_point;

// Microseconds since the start of the simulation, for output.
constexpr int64_t ToMicroseconds(TrueTime time) { return time.time_since_epoch().count(); }

constexpr TrueTime kEndOfTime = TrueTime::max();

// A machine's clock: runs at a constant rate against true time, from an arbitrary start.
class DriftingClock {
 public:
  // `rate` is the machine's seconds per true second, near 1.
  DriftingClock(double rate, Duration offset) : rate_(rate), offset_(offset) {}

  Instant At(TrueTime time) const {
    const double elapsed = static_cast<double>(time.time_since_epoch().count());
    return Instant(offset_ + Duration(static_cast<int64_t>(elapsed * rate_)));
  }

  // The true time at which this clock shows `instant`.
  TrueTime TrueTimeOf(Instant instant) const {
    const double elapsed = static_cast<double>((instant.time_since_epoch() - offset_).count());
    return TrueTime(Duration(static_cast<int64_t>(elapsed / rate_)));
  }

 private:
  double rate_;
  Duration offset_;
};

}  // namespace runshelf::sim
