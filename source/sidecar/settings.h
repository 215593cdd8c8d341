// Settings of a sidecar process: one runs beside every worker and serves the clients of its
// machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "runshelf/common/clock.h"
#include "source/event/tcp_stream.h"
#include "source/routes/routing_configuration.h"

namespace runshelf::sidecar {

// Bounds that the operators of the fleet promise their callers. All times are at most.
struct FleetBounds {
  Duration drain_timeout =
      std::chrono::seconds(2);                      // From the acknowledgement of a leaving worker.
  Duration grace_period = std::chrono::seconds(6);  // From SIGTERM to SIGKILL.
  Duration max_hold = std::chrono::seconds(10);     // Of a grant of keys.
  double retry_budget_ratio = 0.2;                  // Of the first attempts within the window.
  Duration retry_budget_window = std::chrono::seconds(10);
  double retry_budget_extra = 10;  // Of all nodes together, within the window.
};

struct Settings {
  std::string node_name;
  std::string zone;
  std::string ip_address;
  std::optional<event::Endpoint> outbound;       // Clients and the worker of this machine.
  std::optional<event::Endpoint> inbound;        // Other nodes.
  std::optional<event::Endpoint> readiness;      // Asked by the platform.
  std::optional<event::Endpoint> control_plane;  // Heartbeats of the worker.
  std::optional<event::Endpoint> metrics;
  event::Endpoint worker;      // The worker of this machine.
  std::string worker_service;  // Its service.
  event::Endpoint store;
  Duration store_min_time_to_live = std::chrono::seconds(1);
  double processor_cores = 0;  // That the machine may use, a fraction or more; zero: not known.
  double link_bytes_per_second = 0;  // Bandwidth of the machine's link; zero: no bound is known.
  uint16_t peer_port_first = 0;      // Ports that nodes may use among themselves.
  uint16_t peer_port_last = 0;
  // Of services whose configuration does not say it.
  routes::GrantDelivery grant_delivery = routes::GrantDelivery::kCalls;
  Duration heartbeat_interval = std::chrono::milliseconds(1000);
  bool first_start = false;  // Of the whole system.
  FleetBounds bounds;
};

}  // namespace runshelf::sidecar
