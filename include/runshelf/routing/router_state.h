// What all requests of one process share: load, failures and the retry budget.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"
#include "runshelf/routing/failure_detector.h"
#include "runshelf/routing/load_balancer.h"
#include "runshelf/routing/probe_pacer.h"
#include "runshelf/routing/retry_budget.h"
#include "runshelf/routing/routing_snapshot.h"

namespace runshelf::routing {

struct RouterStateConfig {
  LoadBalancerConfig load_balancer;
  FailureDetectorConfig failure_detector;
  RetryBudgetConfig retry_budget;
  ProbePacerConfig owner_probes;
};

// A slot as one instance answers for it.
struct SlotAtInstance {
  InstanceId instance;
  std::string service;
  SlotNumber slot = 0;

  auto operator<=>(const SlotAtInstance&) const = default;  // NOLINT(modernize-use-nullptr)
};

// One per process. Deterministic; not thread-safe: the shell holds one lock around RequestRouter
// calls, which use it.
class RouterState {
 public:
  explicit RouterState(const RouterStateConfig& config)
      : load_balancer(config.load_balancer),
        failure_detector(config.failure_detector),
        retry_budget(config.retry_budget),
        unreachable_owners(config.owner_probes),
        refusing_owners(config.owner_probes) {}

  // Adopts the targets of a snapshot with another version than the last one. RequestRouter calls
  // it; cheap when the version is the same.
  void OnSnapshot(Instant now, const RoutingSnapshot& snapshot);

  LoadBalancer load_balancer;
  FailureDetector failure_detector;
  RetryBudget retry_budget;
  ProbePacer<InstanceId> unreachable_owners;   // Connections fail.
  ProbePacer<SlotAtInstance> refusing_owners;  // Do not hold the slot, or are leaving.

 private:
  std::optional<uint64_t> version_;
};

}  // namespace runshelf::routing
