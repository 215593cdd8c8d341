// Judges targets by this process's own attempts: the platform's list and reported health lag.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/routing/routing_snapshot.h"

namespace runshelf::routing {

struct FailureDetectorConfig {
  uint32_t failures_to_eject = 3;  // Consecutive failures that eject a target.
  Duration ejection_min = std::chrono::milliseconds(500);  // First ejection; doubles with each.
  Duration ejection_max = std::chrono::seconds(30);
};

// Keeps, for each target, its consecutive failures and until when choice by load leaves it out:
// never more than half of a service's targets. The owner of a slot has no substitute, so it is
// never ejected; see ProbePacer. Deterministic; not thread-safe.
class FailureDetector {
 public:
  explicit FailureDetector(const FailureDetectorConfig& config) : config_(config) {}

  // A complete answer or an orderly refusal came.
  void OnReachable(const InstanceId& target);

  // A connection failed or was lost, or an attempt timed out.
  void OnFailure(Instant now, const InstanceId& target);

  // For each of `targets`, whether choice by load skips it. At most half are; those whose ejection
  // ends last.
  std::vector<bool> Ejected(Instant now, const std::vector<RouteTarget>& targets) const;

  // Drops what is kept about all other targets.
  void KeepOnly(const std::vector<InstanceId>& sorted_targets);

 private:
  struct State {
    uint32_t consecutive_failures = 0;
    Duration ejection{0};  // Length of the latest one; doubles until the target is reachable.
    Instant ejected_until{};
  };

  FailureDetectorConfig config_;
  std::map<InstanceId, State> states_;  // Only of targets with failures.
};

}  // namespace runshelf::routing
