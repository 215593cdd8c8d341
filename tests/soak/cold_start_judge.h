// Checks that workers that warm up get no more requests than they bear. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// Counts the requests of each cold worker. Those that were sent and that arrived within the same
// second count, whichever machine they came from.
class ColdStartJudge {
 public:
  // `most_per_second`: requests that a cold worker may get within one second.
  explicit ColdStartJudge(size_t most_per_second) : most_per_second_(most_per_second) {}

  // The worker has started, and is cold until `until`.
  void OnCold(const std::string& worker, Instant until) { cold_until_[worker] = until; }
  // A worker began a request that its client sent at `sent_at`.
  void OnBegan(const std::string& worker, Instant sent_at, Instant at);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Arrival {
    Instant sent_at{};
    Instant at{};
  };

  size_t most_per_second_;
  std::map<std::string, Instant> cold_until_;
  std::map<std::string, std::vector<Arrival>> arrivals_;  // Of the last second, by cold worker.
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
