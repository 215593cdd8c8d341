// Chooses a target for requests that any instance of a service may serve.
//
// Two random choices, compared by the requests that this process has outstanding there plus the
// load that the target reported lately. Targets of the own zone are preferred while they are not
// clearly busier. Reported load lags and may mislead, so it counts less the older it is.
//
// A target that refuses a larger share of its requests than the others counts as having that much
// less room, up to none. The share counts less the older its report is, so that requests find out
// whether it still holds.
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
  // The weight of a reported share of refusals falls to zero by then. Longer than report_lifetime:
  // a target that is avoided sends no reports.
  Duration refusal_lifetime = std::chrono::seconds(10);
  // A target that refuses so much more of its requests than the mean of all counts as full.
  double refused_percent_of_full = 25;
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
  // The share of requests that the target refuses with slots free; part of OnLoad().
  void OnRefusedShare(Instant now, const InstanceId& target, uint32_t percent);
  void SetTargets(Instant now, const std::vector<InstanceId>& sorted_targets);

  // Attempts of this process under way at `target`.
  uint32_t Outstanding(const InstanceId& target) const;

  // Expected number of requests at `target`, scaled to a warm server of default_slots.
  double Score(Instant now, const InstanceId& target) const;

 private:
  struct RefusedShare {
    uint32_t percent = 0;
    Instant reported_at{};
  };
  struct TargetState {
    uint32_t outstanding = 0;
    RefusedShare refused;
    TargetLoad load;
    uint32_t outstanding_at_report = 0;
    std::optional<Instant> reported_at;
  };

  // The targets of one choice.
  struct Candidates {
    Instant now;
    const std::vector<RouteTarget>& targets;
    double mean_refused_percent;
  };
  size_t BetterOfTwo(const Candidates& candidates, const std::vector<size_t>& indices,
                     Random& random) const;
  // Score() of the target, with what it refuses more than the mean of the candidates.
  double ScoreAmong(const Candidates& candidates, size_t index) const;
  RefusedShare RefusedShareOf(const InstanceId& target) const;
  double Freshness(Instant now, const RefusedShare& refused) const;
  double MeanRefusedPercent(Instant now, const std::vector<RouteTarget>& targets) const;

  LoadBalancerConfig config_;
  SlowStart slow_start_;
  std::map<InstanceId, TargetState> states_;
  Instant refusals_until_{};  // By then no report of refusals counts any more.
};

}  // namespace runshelf::routing
