// Tracks how far this node's copy of one prefix of the state is behind, and for how long.
#pragma once

#include <cstdint>
#include <optional>

#include "runshelf/common/clock.h"
#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// Revisions of one node's copy of a prefix, compared with what other nodes announced.
struct Freshness {
  store::Revision known = 0;      // The copy includes all changes up to this revision.
  store::Revision announced = 0;  // The newest revision that another node announced.
  Duration behind_for{0};         // Since the first missing revision was announced; zero: current.
  uint64_t stale_items = 0;       // Items ignored because the copy has a newer revision of them.
  uint64_t lost_histories = 0;    // Watches that failed because the store lacked the history.
};

// Deterministic; not thread-safe.
class FreshnessTracker {
 public:
  // Another node has all changes up to `announced`. An older revision replaces a newer one only
  // when the newer one was not repeated for some seconds, and so may have been wrong.
  void OnAnnounced(Instant now, store::Revision announced);
  // The copy includes all changes up to `known`. When it thereby catches up, returns how long it
  // was behind.
  std::optional<Duration> OnKnown(Instant now, store::Revision known);
  Freshness At(Instant now) const;

 private:
  store::Revision known_ = 0;
  store::Revision announced_ = 0;
  Instant announced_at_{};
  std::optional<Instant> behind_since_;
};

}  // namespace runshelf::sidecar
