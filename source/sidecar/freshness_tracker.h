// Tells how far this node's copy of a part of the state is behind, and for how long.
#pragma once

#include <cstdint>
#include <optional>

#include "runshelf/common/clock.h"
#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// What one node knows of a part of the state, and what it could know.
struct Freshness {
  store::Revision known = 0;      // Its copy includes all changes up to this one.
  store::Revision announced = 0;  // The newest that another node said to include.
  Duration behind_for{0};         // Since that was heard; zero: the copy includes it.
  uint64_t stale_items = 0;       // Dropped, since the copy has a higher revision of them.
  uint64_t lost_histories = 0;    // Watches that the store had no history for.
};

// Deterministic; not thread-safe.
class FreshnessTracker {
 public:
  // Another node has all changes up to `announced`. An older announcement takes a newer one back
  // only when that was not repeated for some seconds: whoever made it may have been wrong.
  void OnAnnounced(Instant now, store::Revision announced);
  // The copy includes all changes up to `known`. Returns for how long it was behind, when it no
  // longer is.
  std::optional<Duration> OnKnown(Instant now, store::Revision known);
  Freshness At(Instant now) const;

 private:
  store::Revision known_ = 0;
  store::Revision announced_ = 0;
  Instant announced_at_{};
  std::optional<Instant> behind_since_;
};

}  // namespace runshelf::sidecar
