#include "runshelf/common/clock.h"

#include <ctime>

namespace runshelf {

Instant SystemClock::Now() const {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                      std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace runshelf
