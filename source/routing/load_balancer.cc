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
  const Candidates candidates{now, targets, MeanRefusedPercent(now, targets)};
  if (local.empty()) return BetterOfTwo(candidates, remote, random);
  const size_t best_local = BetterOfTwo(candidates, local, random);
  if (remote.empty()) return best_local;
  const size_t best_remote = BetterOfTwo(candidates, remote, random);
  const double local_score = ScoreAmong(candidates, best_local);
  const double remote_score = ScoreAmong(candidates, best_remote);
  const double margin = answer_size == AnswerSize::kLarge
                            ? config_.zone_load_margin_of_large_answers
                            : config_.zone_load_margin;
  const bool clearly_busier =
      local_score > remote_score * config_.zone_load_factor && local_score > remote_score + margin;
  return clearly_busier ? best_remote : best_local;
}

size_t LoadBalancer::BetterOfTwo(const Candidates& candidates, const std::vector<size_t>& indices,
                                 Random& random) const {
  if (indices.size() == 1) return indices.front();
  const size_t first = random.Below(indices.size());
  size_t second = random.Below(indices.size() - 1);
  if (second >= first) ++second;
  const double first_score = ScoreAmong(candidates, indices[first]);
  const double second_score = ScoreAmong(candidates, indices[second]);
  return second_score < first_score ? indices[second] : indices[first];
}

double LoadBalancer::ScoreAmong(const Candidates& candidates, size_t index) const {
  const InstanceId& target = candidates.targets[index].instance;
  const double score = Score(candidates.now, target);
  if (candidates.mean_refused_percent <= 0) return score;
  const RefusedShare refused = RefusedShareOf(target);
  const double excess = refused.percent - candidates.mean_refused_percent;
  const double missing_room = std::clamp(excess / config_.refused_percent_of_full, 0.0, 1.0);
  return score + missing_room * Freshness(candidates.now, refused) * config_.default_slots;
}

LoadBalancer::RefusedShare LoadBalancer::RefusedShareOf(const InstanceId& target) const {
  const auto found = states_.find(target);
  return found == states_.end() ? RefusedShare{} : found->second.refused;
}

double LoadBalancer::Freshness(Instant now, const RefusedShare& refused) const {
  const auto age = static_cast<double>((now - refused.reported_at).count());
  const auto lifetime = static_cast<double>(config_.refusal_lifetime.count());
  return std::clamp(1 - age / lifetime, 0.0, 1.0);
}

// Of the targets that have reported, which may be few: others are not known to refuse less.
double LoadBalancer::MeanRefusedPercent(Instant now,
                                        const std::vector<RouteTarget>& targets) const {
  if (now >= refusals_until_) return 0;
  double sum = 0;
  double count = 0;
  for (const RouteTarget& target : targets) {
    if (target.leaving) continue;
    const RefusedShare refused = RefusedShareOf(target.instance);
    const double freshness = Freshness(now, refused);
    sum += refused.percent * freshness;
    count += freshness;
  }
  return count > 0 ? sum / count : 0;
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
  OnRefusedShare(now, target, load.refused_percent);
  if (load.cold) slow_start_.OnReportedCold(now, target);
}

void LoadBalancer::OnRefusedShare(Instant now, const InstanceId& target, uint32_t percent) {
  states_[target].refused = {percent, now};
  if (percent > 0) refusals_until_ = now + config_.refusal_lifetime;
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
