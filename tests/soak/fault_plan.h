// Generates the fault schedule of a run from its seed: kind, target, start and duration of each
// fault. Performs no I/O; a seed gives the same plan on every machine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "tests/soak/fault_kind.h"
#include "tests/soak/fault_proxy.h"

namespace runshelf::soak {

// A scheduled fault; `time` is its duration.
struct PlannedFault {
  Duration at{0};  // From the start of the run.
  Duration time{0};
  FaultKind kind = FaultKind::kKillProcess;
  size_t node = 0;                                  // kZoneEvacuated: number of the zone.
  size_t peer = 0;                                  // kPairPath: the other end.
  FaultProxy::Mode mode = FaultProxy::Mode::kPass;  // For network paths and kStoreTurnsAway.
  Duration delay{0};                                // For network paths in mode kDelay.
  bool leases_wait = false;  // For store faults: no lease expires during the fault.
  double limit = 0;          // kWorkerStatesLimit: requests per second.
  Duration copy_age{0};      // kStoreRestored: age of the copy at the start of the fault.
};

// One-line description for result files.
std::string Describe(const PlannedFault& fault);

// Parameters of a plan. Faults lie between `first` and `last`; only workers that deregister may
// take longer to finish.
struct FaultPlanInput {
  uint64_t seed = 1;
  std::vector<std::string> services;  // Service of the worker, by node.
  Duration first{0};                  // Earliest start of a fault.
  Duration last{0};                   // Latest end of a fault.
  bool store_restores = false;        // Include kStoreRestored.
  bool second_answers = false;        // Include kWorkerAnswersTwice.
  bool stated_limits = false;         // Include kWorkerStatesLimit.
  size_t evacuated_zones = 0;         // Number of zones to choose from for kZoneEvacuated.
};

// Returns the faults sorted by start time. They are generated in series, which overlap.
std::vector<PlannedFault> MakeFaultPlan(const FaultPlanInput& input);

}  // namespace runshelf::soak
