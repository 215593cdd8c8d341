#include "source/sidecar/conflict_backoff.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Changes that come together are committed together.
constexpr Duration kFirstWait = std::chrono::milliseconds(5);
constexpr Duration kFreshWait = std::chrono::milliseconds(1);
// After the second conflict in a row; doubled after the fourth, and so on.
constexpr Duration kConflictWait = std::chrono::milliseconds(40);
constexpr int kMostDoublings = 4;
// The planner looks at the map four times a second.
constexpr Duration kGivenWayMin = std::chrono::milliseconds(400);
constexpr Duration kGivenWayMax = std::chrono::milliseconds(900);

}  // namespace

Duration ConflictBackoff::Wait(Random& random, bool gives_way) const {
  if (conflicts_ == 0) return kFirstWait;
  if (conflicts_ % 2 == 1) return kFreshWait;
  if (gives_way) return random.Between(kGivenWayMin, kGivenWayMax);
  const int doublings = std::min(conflicts_ / 2 - 1, kMostDoublings);
  return random.Between(kFirstWait, kFirstWait + kConflictWait * (1 << doublings));
}

}  // namespace runshelf::sidecar
