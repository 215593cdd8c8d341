#include "runshelf/routing/load_balancer.h"

#include <algorithm>

namespace runshelf::routing {

std::optional<size_t> LoadBalancer::Choose(Instant now, const std::vector<RouteTarget>& targets,
                                           const std::vector<bool>& skipped,
                                           const std::string& own_zone, Random& random,
                                           AnswerSize answer_size) const {
  std::vector<size_t> local;
  std::vector<size_t> remote;
  for (size_t index = 0; index < targets.size(); ++index) {
    if (targets[index].leaving || skipped[index]) continue;
    (targets[index].zone == own_zone ? local : remote).push_back(index);
  }
  if (local.empty() && remote.empty()) return std::nullopt;
  if (local.empty()) return BetterOfTwo(now, targets, remote, random);
  const size_t best_local = BetterOfTwo(now, targets, local, random);
  if (remote.empty()) return best_local;
  const size_t best_remote = BetterOfTwo(now, targets, remote, random);
  const double local_score = Score(now, targets[best_local].instance);
  const double remote_score = Score(now, targets[best_remote].instance);
  const double margin = answer_size == AnswerSize::kLarge
                            ? config_.zone_load_margin_of_large_answers
                            : config_.zone_load_margin;
  const bool clearly_busier =
      local_score > remote_score * config_.zone_load_factor && local_score > remote_score + margin;
  return clearly_busier ? best_remote : best_local;
}

size_t LoadBalancer::BetterOfTwo(Instant now, const std::vector<RouteTarget>& targets,
                                 const std::vector<size_t>& candidates, Random& random) const {
  if (candidates.size() == 1) return candidates.front();
  const size_t first = random.Below(candidates.size());
  size_t second = random.Below(candidates.size() - 1);
  if (second >= first) ++second;
  const double first_score = Score(now, targets[candidates[first]].instance);
  const double second_score = Score(now, targets[candidates[second]].instance);
  return second_score < first_score ? candidates[second] : candidates[first];
}

void LoadBalancer::OnAttemptStart(const InstanceId& target) { ++states_[target].outstanding; }

void LoadBalancer::OnAttemptEnd(const InstanceId& target) {
  const auto state = states_.find(target);
  if (state != states_.end() && state->second.outstanding > 0) --state->second.outstanding;
}

void LoadBalancer::OnLoad(Instant now, const InstanceId& target, const TargetLoad& load) {
  TargetState& state = states_[target];
  state.load = load;
  state.outstanding_at_report = state.outstanding;
  state.reported_at = now;
  if (load.cold) slow_start_.OnReportedCold(now, target);
}

void LoadBalancer::SetTargets(Instant now, const std::vector<InstanceId>& sorted_targets) {
  slow_start_.SetTargets(now, sorted_targets);
  std::erase_if(states_, [&](const auto& entry) {
    return entry.second.outstanding == 0 &&
           !std::binary_search(sorted_targets.begin(), sorted_targets.end(), entry.first);
  });
}

uint32_t LoadBalancer::Outstanding(const InstanceId& target) const {
  const auto state = states_.find(target);
  return state == states_.end() ? 0 : state->second.outstanding;
}

double LoadBalancer::Score(Instant now, const InstanceId& target) const {
  double requests = 1;  // The one to be placed.
  double slots = config_.default_slots;
  const auto found = states_.find(target);
  if (found != states_.end()) {
    const TargetState& state = found->second;
    requests += state.outstanding;
    if (state.load.slots > 0) slots = state.load.slots;
    if (state.reported_at.has_value()) {
      const auto age = static_cast<double>((now - *state.reported_at).count());
      const auto lifetime = static_cast<double>(config_.report_lifetime.count());
      const double freshness = std::clamp(1 - age / lifetime, 0.0, 1.0);
      // What others sent there; the own part is known better than by any report.
      const double others =
          static_cast<double>(state.load.running) + state.load.queued - state.outstanding_at_report;
      requests += std::max(0.0, others) * freshness;
    }
  }
  const double capacity = slots / config_.default_slots * slow_start_.Weight(now, target);
  return requests / capacity;
}

}  // namespace runshelf::routing
