// The view of the fleet by which requests are routed. It may be stale: the owner's own daemon and
// the server check again, so a stale view costs a detour and never a second owner.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "runshelf/common/instance_id.h"
#include "runshelf/common/slot.h"

namespace runshelf::routing {

constexpr uint32_t kNoOwner = UINT32_MAX;

// A daemon that stands beside a server.
struct RouteTarget {
  InstanceId instance;
  std::string zone;
  std::string forward_address;  // IP number and port that takes forwarded requests.
  bool leaving = false;         // Takes no new work, or has fallen silent.
};

struct ServiceRoutes {
  uint32_t slot_count = 0;
  std::vector<RouteTarget> targets;
  std::vector<uint32_t> slot_owners;  // Index into `targets` for each slot, or kNoOwner.
};

// Immutable once published; shared between threads by std::shared_ptr<const RoutingSnapshot>.
struct RoutingSnapshot {
  uint64_t version = 0;
  std::map<std::string, ServiceRoutes> services;
};

}  // namespace runshelf::routing
