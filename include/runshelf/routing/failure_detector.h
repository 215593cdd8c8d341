// Judges targets by this process's own attempts: the platform's list and reported health lag.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/routing/routing_snapshot.h"

namespace runshelf::routing {

struct FailureDetectorConfig {
  uint32_t failures_to_eject = 3;  // Consecutive failures that eject a target.
  Duration ejection_min = std::chrono::milliseconds(500);  // First ejection; doubles with each.
  Duration ejection_max = std::chrono::seconds(30);
  Duration probe_interval_min = std::chrono::milliseconds(5);  // Of an unreachable owner; doubles.
  Duration probe_interval_max = std::chrono::milliseconds(50);
};

// Keeps, for each target, its consecutive failures and until when it is left out.
//
// Two uses with different rules: a target chosen by load is ejected, but never more than half of a
// service's targets; the owner of a slot has no substitute, so it is never ejected, only attempts
// are spaced out while it cannot be reached. Deterministic; not thread-safe.
class FailureDetector {
 public:
  explicit FailureDetector(const FailureDetectorConfig& config) : config_(config) {}

  // A complete answer or an orderly refusal came.
  void OnReachable(const InstanceId& target);

  // A connection failed or was lost, or an attempt timed out. `connect_failed`: nothing was sent.
  void OnFailure(Instant now, const InstanceId& target, bool connect_failed);

  // For each of `targets`, whether choice by load skips it. At most half are; those whose ejection
  // ends last.
  std::vector<bool> Ejected(Instant now, const std::vector<RouteTarget>& targets) const;

  // Whether an owner may be tried now. While it cannot be reached, one caller per probe interval
  // gets nullopt (go ahead); the others get the instant to ask again.
  std::optional<Instant> AskToTryOwner(Instant now, const InstanceId& target);

  // Drops what is kept about all other targets.
  void KeepOnly(const std::vector<InstanceId>& sorted_targets);

 private:
  struct State {
    uint32_t consecutive_failures = 0;
    uint32_t ejections = 0;  // In a row.
    Instant ejected_until{};
    Duration probe_interval{0};  // Zero while reachable.
    Instant next_probe{};
  };

  FailureDetectorConfig config_;
  std::map<InstanceId, State> states_;  // Only of targets with failures.
};

}  // namespace runshelf::routing
