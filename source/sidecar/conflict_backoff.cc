#include "source/sidecar/conflict_backoff.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Delay before the first attempt, so that changes that arise together are committed together.
constexpr Duration kBatchingWait = std::chrono::milliseconds(5);
constexpr Duration kImmediateRetryWait = std::chrono::milliseconds(1);
// Upper bound of the wait after the second conflict in a row; doubled after the fourth, and so on.
constexpr Duration kConflictWait = std::chrono::milliseconds(40);
constexpr int kMaxDoublings = 4;
// Covers at least one run of the planner, which checks the map four times a second.
constexpr Duration kPlannerWaitMin = std::chrono::milliseconds(400);
constexpr Duration kPlannerWaitMax = std::chrono::milliseconds(900);

}  // namespace

Duration ConflictBackoff::Wait(Random& random, bool defers_to_planner) const {
  if (conflicts_ == 0) return kBatchingWait;
  if (conflicts_ % 2 == 1) return kImmediateRetryWait;
  if (defers_to_planner) return random.Between(kPlannerWaitMin, kPlannerWaitMax);
  const int doublings = std::min(conflicts_ / 2 - 1, kMaxDoublings);
  return random.Between(kBatchingWait, kBatchingWait + kConflictWait * (1 << doublings));
}

}  // namespace runshelf::sidecar
