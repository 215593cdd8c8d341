// Draws the faults of a run from its seed: what, to whom, when, for how long. Free of input and
// output; the same seed gives the same plan on every machine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "tests/soak/fault_kind.h"
#include "tests/soak/fault_proxy.h"

namespace runshelf::soak {

struct PlannedFault {
  Duration at{0};  // From the start of the run.
  Duration time{0};
  FaultKind kind = FaultKind::kKillProcess;
  size_t node = 0;
  size_t peer = 0;                                  // Of kPairPath: the other end.
  FaultProxy::Mode mode = FaultProxy::Mode::kPass;  // Of ways, and of kStoreTurnsAway.
  Duration delay{0};                                // Of ways that are slow.
  bool leases_wait = false;  // Of faults of the whole store: no lease runs out meanwhile.
  Duration copy_age{0};      // Of kStoreRestored: from the copy to the beginning of the fault.
};

// One line, for results.
std::string Describe(const PlannedFault& fault);

struct FaultPlanInput {
  uint64_t seed = 1;
  std::vector<std::string> services;  // Of the workers, by node.
  Duration first{0};                  // No fault begins before this,
  Duration last{0};                   // or ends after it, but for workers that leave.
  bool store_restores = false;        // The store comes back from older copies of its data.
  bool second_answers = false;        // Workers answer twice.
};

// In the order of their beginnings. Faults come in series, which overlap.
std::vector<PlannedFault> MakeFaultPlan(const FaultPlanInput& input);

}  // namespace runshelf::soak
