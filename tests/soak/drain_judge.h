// Checks that a deregistering worker receives no requests after the drain time-out. Performs no
// I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// Collects acknowledged deregistrations and reports requests that begin too late.
class DrainJudge {
 public:
  // `drain_timeout`: how long requests may reach a worker after its deregistration was
  // acknowledged.
  explicit DrainJudge(Duration drain_timeout) : drain_timeout_(drain_timeout) {}

  void OnLeaveAcknowledged(const std::string& worker, Instant at) {
    acknowledged_.try_emplace(worker, at);
  }
  // A worker began a request. `in_touch`: no fault affected the nodes that forwarded it.
  void OnBegan(const std::string& worker, const std::string& id, Instant at, bool in_touch);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  Duration drain_timeout_;
  std::map<std::string, Instant> acknowledged_;
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
