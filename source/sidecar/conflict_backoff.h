// How long a change of the shard map waits when other nodes' changes come first.
//
// A conflict brings the item as it is, so that a try at once has a good chance: a change takes some
// 8 ms from reading to writing. After a longer wait the copy is old again, and the next try mostly
// serves to read it. So a try follows each conflict at once, and only the second conflict in a row
// waits, for a time that grows. It answers a common restart: each of 93 nodes has a change to make,
// and with a growing wait after every conflict they made some 1,200 tries in nine seconds.
#pragma once

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"

namespace runshelf::sidecar {

// Deterministic given the random source; not thread-safe.
class ConflictBackoff {
 public:
  // Until the next try. `defers_to_planner`: somebody else is about to make the same change for
  // many nodes at once, and needs a moment without others.
  Duration Wait(Random& random, bool defers_to_planner) const;
  void OnConflict() { ++conflicts_; }
  void ResetConflicts() { conflicts_ = 0; }
  int conflicts() const { return conflicts_; }

 private:
  int conflicts_ = 0;  // In a row.
};

}  // namespace runshelf::sidecar
