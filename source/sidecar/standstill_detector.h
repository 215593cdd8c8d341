// Detects that the process did not run for a while.
#pragma once

#include <utility>

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// Measures the time between iterations of the event loop, whose timers make it run several times a
// second. Deterministic; not thread-safe.
class StandstillDetector {
 public:
  // `threshold`: shorter times between iterations are no standstill.
  StandstillDetector(Instant now, Duration threshold)
      : last_iteration_at_(now), threshold_(threshold) {}

  void set_threshold(Duration threshold) { threshold_ = threshold; }
  void OnLoopIteration(Instant now) {
    last_iteration_at_ = now;
    reported_ = false;
  }
  // Returns the length of a standstill since the last iteration, once; zero if there was none.
  Duration TakeStandstill(Instant now) {
    const Duration elapsed = now - last_iteration_at_;
    if (elapsed < threshold_ || std::exchange(reported_, true)) return Duration(0);
    return elapsed;
  }

 private:
  Instant last_iteration_at_;
  Duration threshold_;
  bool reported_ = false;
};

}  // namespace runshelf::sidecar
