#include "runshelf/routing/slow_start.h"

#include <algorithm>

namespace runshelf::routing {

void SlowStart::SetTargets(Instant now, const std::vector<InstanceId>& sorted_targets) {
  std::map<InstanceId, Instant> kept;
  for (const InstanceId& target : sorted_targets) {
    const auto known = ramp_starts_.find(target);
    const Instant full_weight = now - config_.ramp;
    const Instant new_start = initialized_ ? now : full_weight;
    kept.emplace(target, known == ramp_starts_.end() ? new_start : known->second);
  }
  ramp_starts_ = std::move(kept);
  initialized_ = true;
}

void SlowStart::OnReportedCold(Instant now, const InstanceId& target) {
  const auto known = ramp_starts_.find(target);
  if (known == ramp_starts_.end()) return;
  if (now - known->second >= config_.ramp) known->second = now;
}

double SlowStart::Weight(Instant now, const InstanceId& target) const {
  const auto known = ramp_starts_.find(target);
  if (known == ramp_starts_.end()) return 1;
  const Duration elapsed = now - known->second;
  if (elapsed >= config_.ramp) return 1;
  const double progress =
      static_cast<double>(elapsed.count()) / static_cast<double>(config_.ramp.count());
  return config_.weight_min + (1 - config_.weight_min) * std::max(0.0, progress);
}

}  // namespace runshelf::routing
