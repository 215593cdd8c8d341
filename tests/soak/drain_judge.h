// Judges whether workers that leave are left alone in time. Free of input and output.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

class DrainJudge {
 public:
  // `drain_timeout`: how long requests may reach a worker after its leaving was acknowledged.
  explicit DrainJudge(Duration drain_timeout) : drain_timeout_(drain_timeout) {}

  void OnLeaveAcknowledged(const std::string& worker, Instant at) {
    acknowledged_.try_emplace(worker, at);
  }
  // A worker began a request. `in_touch`: nothing disturbed the nodes that sent it on.
  void OnBegan(const std::string& worker, const std::string& id, Instant at, bool in_touch);

  // One line for each finding, in the order in which they were seen.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  Duration drain_timeout_;
  std::map<std::string, Instant> acknowledged_;
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
