// Largest number of events within any period of a given length.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf {

// Counts from each event; the end of a period does not belong to it.
inline size_t MostWithin(Duration period, std::vector<Instant> events) {
  std::sort(events.begin(), events.end());
  size_t most = 0;
  for (auto first = events.begin(); first != events.end(); ++first) {
    const auto last = std::lower_bound(first, events.end(), *first + period);
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

}  // namespace runshelf
