// The grant that a server holds, and the rule by which it lets a request execute.
//
// Deterministic and free of input and output. Not thread-safe: the executor calls it under the lock
// that also guards the record of executions.
#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"

namespace runshelf::server_standin {

// Ownership of some slots until an instant on the clock of the server's machine.
struct Grant {
  FencingToken token;
  Instant expires_at;
  std::vector<SlotRange> slots;  // Ascending, as ToRanges returns them.
};

// Invariant: the token of the current grant never falls. A slot that was given up, or whose grant
// lapsed, starts a new tenure when it is granted again, so that a request admitted under the
// earlier tenure no longer executes.
class GrantBook {
 public:
  // Replaces the grant. False, and nothing changes, when its token is lower than the current one.
  bool Install(Instant now, const Grant& grant);

  // Whether a request admitted for `slot` under `token` may execute at `now`.
  bool MayExecute(Instant now, SlotNumber slot, const FencingToken& token) const;

  const Grant& current() const { return current_; }

 private:
  Grant current_;
  std::map<SlotNumber, FencingToken> tenure_start_;  // First token of each slot's unbroken tenure.
};

}  // namespace runshelf::server_standin
