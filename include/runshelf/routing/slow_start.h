// Gives targets that just appeared, or whose server is cold, a share that grows to the full one.
#pragma once

#include <map>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"

namespace runshelf::routing {

struct SlowStartConfig {
  double weight_min = 0.1;                   // Of a target that just appeared.
  Duration ramp = std::chrono::seconds(10);  // Until the full weight of 1.
};

// Deterministic; not thread-safe.
class SlowStart {
 public:
  explicit SlowStart(const SlowStartConfig& config) : config_(config) {}

  // Starts the ramp of those of `sorted_targets` not seen before and forgets all others. Targets of
  // the first call have full weight: it is this process that is new, not they.
  void SetTargets(Instant now, const std::vector<InstanceId>& sorted_targets);

  // Restarts the ramp of a target that is warm so far; one that is ramping keeps its ramp.
  void OnReportedCold(Instant now, const InstanceId& target);

  // In [weight_min, 1]; 1 for an unknown target.
  double Weight(Instant now, const InstanceId& target) const;

 private:
  SlowStartConfig config_;
  bool initialized_ = false;
  std::map<InstanceId, Instant> ramp_starts_;
};

}  // namespace runshelf::routing
