// The zones whose workers operators have taken out of use for a time.
#pragma once

#include <map>
#include <set>
#include <string>

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// Follows the operators' items in the store. When the store is restored from an older copy, items
// that the copy lacks are removed, although operators are about to write them again; their removal
// takes effect only after a while. Deterministic; not thread-safe.
class EvacuatedZones {
 public:
  void OnWritten(const std::string& zone);
  void OnRemoved(Instant now, const std::string& zone);
  // Called before the changes that the restore brings.
  void OnStoreRestored(Instant now) { restored_at_ = now; }

  std::set<std::string> ZonesAt(Instant now) const;

 private:
  std::map<std::string, Instant> evacuated_until_;  // Instant::max(): until the item is removed.
  Instant restored_at_{};
};

}  // namespace runshelf::sidecar
