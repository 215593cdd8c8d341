// Backoff between attempts to change the shard map when compare-and-swap conflicts with other
// nodes' changes.
//
// A conflict response carries the current item, so an immediate retry is likely to succeed: a
// change takes about 8 ms from read to write. After a longer wait the copy is stale again, and the
// next attempt mostly just refreshes it. Therefore a retry follows an odd conflict immediately, and
// only every second conflict in a row waits, for a growing time. This matters when all nodes
// restart together: with 93 nodes that each have a change to make, a growing wait after every
// conflict led to about 1,200 attempts in nine seconds.
#pragma once

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"

namespace runshelf::sidecar {

// Counts consecutive conflicts of one writer. Deterministic given the random source; not
// thread-safe.
class ConflictBackoff {
 public:
  // The delay before the next attempt. `defers_to_planner`: the planner is about to make the same
  // change for many nodes at once, so this writer waits longer to let it commit.
  Duration Wait(Random& random, bool defers_to_planner) const;
  void OnConflict() { ++conflicts_; }
  void ResetConflicts() { conflicts_ = 0; }
  int conflicts() const { return conflicts_; }

 private:
  int conflicts_ = 0;  // Consecutive.
};

}  // namespace runshelf::sidecar
