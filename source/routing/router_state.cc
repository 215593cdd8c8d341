#include "runshelf/routing/router_state.h"

#include <algorithm>

namespace runshelf::routing {

void RouterState::OnSnapshot(Instant now, const RoutingSnapshot& snapshot) {
  if (version_ == snapshot.version) return;
  version_ = snapshot.version;
  std::vector<InstanceId> targets;
  for (const auto& [service, routes] : snapshot.services) {
    for (const RouteTarget& target : routes.targets) targets.push_back(target.instance);
  }
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  load_balancer.SetTargets(now, targets);
  failure_detector.KeepOnly(targets);
  unreachable_owners.Clear();
  refusing_owners.Clear();
}

}  // namespace runshelf::routing
