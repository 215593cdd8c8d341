// Pauses between attempts: doubling up to a bound, with jitter so that callers do not fall in step.
#pragma once

#include <algorithm>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"

namespace runshelf::table {

class Backoff {
 public:
  Backoff(Duration first, Duration longest, Random& random)
      : first_(first), longest_(longest), next_(first), random_(random) {}

  // Returns the next pause, between half of the current bound and the whole of it.
  Duration Next() {
    const Duration bound = next_;
    next_ = std::min(next_ * 2, longest_);
    return random_.Between(bound / 2, bound);
  }

  void Reset() { next_ = first_; }

 private:
  Duration first_;
  Duration longest_;
  Duration next_;
  Random& random_;
};

}  // namespace runshelf::table
