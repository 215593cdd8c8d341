// Checks that workers in zones that operators have evacuated get no requests. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// Knows since when each zone is evacuated, and reports requests that begin there too late.
class EvacuationJudge {
 public:
  // `evacuation_timeout`: how long requests may reach workers of a zone after its evacuation was
  // acknowledged.
  explicit EvacuationJudge(Duration evacuation_timeout) : evacuation_timeout_(evacuation_timeout) {}

  void OnEvacuated(const std::string& zone, Instant at) { evacuated_at_.try_emplace(zone, at); }
  void OnReturned(const std::string& zone) { evacuated_at_.erase(zone); }
  // A worker of the zone began a request. `in_touch`: no fault affected the store or the nodes that
  // forwarded it.
  void OnBegan(const std::string& zone, const std::string& id, Instant at, bool in_touch);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  Duration evacuation_timeout_;
  std::map<std::string, Instant> evacuated_at_;  // By zone.
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
