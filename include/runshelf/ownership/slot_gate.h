// The check that a daemon makes before it hands a request to the server beside it.
#pragma once

#include <optional>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"

namespace runshelf::ownership {

// Counts requests in progress per slot, so that a slot is released only when none is left.
// Implementations are safe to call from any thread.
class SlotGate {
 public:
  virtual ~SlotGate() = default;

  // Admits one request for `slot` if the local server owns the slot now, and returns the fencing
  // token to send with it; nullopt: not the owner, certainly not run. Each success needs one Leave.
  virtual std::optional<FencingToken> Enter(Instant now, SlotNumber slot) = 0;
  virtual void Leave(SlotNumber slot) = 0;

  // Whether the local server leaves: it takes no new work that does not go by ownership.
  virtual bool IsLeaving() const { return false; }

  // Since when the local server has held `slot` without a break; nullopt when it does not hold it.
  virtual std::optional<Instant> HeldSince(Instant now, SlotNumber slot) const = 0;
};

}  // namespace runshelf::ownership
