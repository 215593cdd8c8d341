// Chooses a target for requests that any instance of a service may serve.
//
// Two random choices, compared by the requests that this process has outstanding there plus the
// load that the target reported lately. Targets of the own zone are preferred while they are not
// clearly busier. Reported load lags and may mislead, so it counts less the older it is.
//
// At thousands of targets per service each process should keep connections to a bounded subset
// only (ConnectionSubset); not done yet, the choice below is independent of the number of targets
// except for the scan of ejected ones.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/common/random.h"
#include "runshelf/routing/routing_snapshot.h"
#include "runshelf/routing/slow_start.h"
#include "runshelf/routing/target_load.h"

namespace runshelf::routing {

struct LoadBalancerConfig {
  Duration report_lifetime = std::chrono::seconds(1);  // A report's weight falls to zero by then.
  uint32_t default_slots = 20;                         // Of targets that reported none.
  // A target of another zone is chosen when the local one's load is larger by this factor and by
  // this many requests.
  double zone_load_factor = 1.5;
  double zone_load_margin = 4;
  // As zone_load_margin, for requests whose answers are large: bytes between zones are dear.
  double zone_load_margin_of_large_answers = 10;
  SlowStartConfig slow_start;
};

enum class AnswerSize { kUsual, kLarge };

// Deterministic given the random source; not thread-safe.
class LoadBalancer {
 public:
  explicit LoadBalancer(const LoadBalancerConfig& config)
      : config_(config), slow_start_(config.slow_start) {}

  // Returns the index of the chosen target; nullopt when all are skipped. `skipped[i]` leaves
  // targets[i] out; leaving targets are left out in any case.
  std::optional<size_t> Choose(Instant now, const std::vector<RouteTarget>& targets,
                               const std::vector<bool>& skipped, const std::string& own_zone,
                               Random& random, AnswerSize answer_size = AnswerSize::kUsual) const;

  void OnAttemptStart(const InstanceId& target);
  void OnAttemptEnd(const InstanceId& target);
  void OnLoad(Instant now, const InstanceId& target, const TargetLoad& load);
  void SetTargets(Instant now, const std::vector<InstanceId>& sorted_targets);

  // Attempts of this process under way at `target`.
  uint32_t Outstanding(const InstanceId& target) const;

  // Expected number of requests at `target`, scaled to a warm server of default_slots.
  double Score(Instant now, const InstanceId& target) const;

 private:
  struct TargetState {
    uint32_t outstanding = 0;
    TargetLoad load;
    uint32_t outstanding_at_report = 0;
    std::optional<Instant> reported_at;
  };

  size_t BetterOfTwo(Instant now, const std::vector<RouteTarget>& targets,
                     const std::vector<size_t>& candidates, Random& random) const;

  LoadBalancerConfig config_;
  SlowStart slow_start_;
  std::map<InstanceId, TargetState> states_;
};

}  // namespace runshelf::routing
