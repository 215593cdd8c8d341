// The body of GET /status, which runshelfctl prints.
#pragma once

#include <cstdint>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/coordination/node.h"
#include "runshelf/routing/routing_snapshot.h"
#include "runshelf/routing/target_load.h"
#include "runshelf/transport/control_transport.h"

namespace runshelf::daemon {

// What a daemon tells about itself and its view of the fleet.
struct StatusReport {
  coordination::NodeStatus node;
  const routing::RoutingSnapshot& routes;
  int64_t table_revision = 0;
  Duration platform_away_for{0};
  routing::TargetLoad load;  // Of the server beside the daemon.
  transport::ControlCounters control;
};

// As JSON.
std::string EncodeStatus(const StatusReport& report);

}  // namespace runshelf::daemon
