#include "runshelf/routing/failure_detector.h"

#include <algorithm>

namespace runshelf::routing {
void FailureDetector::OnReachable(const InstanceId& target) { states_.erase(target); }

void FailureDetector::OnFailure(Instant now, const InstanceId& target) {
  State& state = states_[target];
  ++state.consecutive_failures;
  const bool ejected_already = state.ejected_until > now;
  if (state.consecutive_failures < config_.failures_to_eject || ejected_already) return;
  state.ejection = std::clamp(state.ejection * 2, config_.ejection_min, config_.ejection_max);
  state.ejected_until = now + state.ejection;
}

std::vector<bool> FailureDetector::Ejected(Instant now,
                                           const std::vector<RouteTarget>& targets) const {
  struct Candidate {
    size_t index;
    Instant until;
  };
  std::vector<Candidate> candidates;
  std::vector<bool> ejected(targets.size(), false);
  if (states_.empty()) return ejected;
  for (size_t index = 0; index < targets.size(); ++index) {
    const auto state = states_.find(targets[index].instance);
    if (state == states_.end() || state->second.ejected_until <= now) continue;
    candidates.push_back({index, state->second.ejected_until});
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.until > right.until; });
  const size_t most = std::min(candidates.size(), targets.size() / 2);
  for (size_t rank = 0; rank < most; ++rank) ejected[candidates[rank].index] = true;
  return ejected;
}

void FailureDetector::KeepOnly(const std::vector<InstanceId>& sorted_targets) {
  std::erase_if(states_, [&](const auto& entry) {
    return !std::binary_search(sorted_targets.begin(), sorted_targets.end(), entry.first);
  });
}

}  // namespace runshelf::routing
