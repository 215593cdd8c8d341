// Settings of a sidecar process. One sidecar runs beside every worker and serves the clients of its
// machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "runshelf/common/clock.h"
#include "source/event/tcp_stream.h"
#include "source/routes/routing_configuration.h"

namespace runshelf::sidecar {

// Time for the last request to a worker that is leaving to arrive there.
constexpr Duration kDrainArrivalMargin = std::chrono::milliseconds(150);

// Limits that the operators of the fleet guarantee to their callers. All durations are maximums.
struct FleetBounds {
  // From the acknowledgement that a worker is leaving.
  Duration drain_timeout = std::chrono::seconds(2);
  // From the acknowledgement that a zone is evacuated until no request reaches its workers.
  Duration evacuation_timeout = std::chrono::seconds(5);
  // From the acknowledgement of a configuration until it is in force everywhere.
  Duration configuration_timeout = std::chrono::seconds(2);
  Duration grace_period = std::chrono::seconds(6);  // From SIGTERM to SIGKILL.
  // After the end of a worker its address stays unused, or with its service, for this long.
  // Unlike the others a minimum; zero: not known.
  Duration reuse_after{0};
  Duration max_hold = std::chrono::seconds(10);  // Validity of a grant of keys.
  // A cold worker is sent this multiple of the rate that it can bear, and so many requests more,
  // within one second.
  double cold_rate_factor = 1;
  double cold_burst = 0;
  double retry_budget_ratio = 0.2;  // Retries per first attempt within the window.
  Duration retry_budget_window = std::chrono::seconds(10);
  double retry_budget_extra = 10;  // Additional retries of all nodes together within the window.

  // How long requests may be sent to a worker that is leaving.
  Duration DrainSendTime() const { return drain_timeout - kDrainArrivalMargin; }
};

// Settings of one sidecar process. Endpoints without a value are not listened on.
struct Settings {
  std::string node_name;
  std::string zone;
  std::string ip_address;
  std::map<std::string, std::string> regions;    // Region of each zone of the fleet.
  std::optional<event::Endpoint> outbound;       // Requests of local clients and the worker.
  std::optional<event::Endpoint> inbound;        // Requests of other nodes.
  std::optional<event::Endpoint> readiness;      // Readiness checks of the platform.
  std::optional<event::Endpoint> control_plane;  // Heartbeats of the worker.
  std::optional<event::Endpoint> metrics;
  event::Endpoint worker;      // The worker of this machine.
  std::string worker_service;  // Service of that worker.
  event::Endpoint store;
  Duration store_min_time_to_live = std::chrono::seconds(1);
  double processor_cores = 0;  // Cores available to the machine, may be fractional; zero: unknown.
  size_t memory_bytes = size_t{256} * 1000 * 1000;  // That the process may use.
  size_t file_descriptors = 4096;                   // That the process may have open.
  double link_bytes_per_second = 0;  // Bandwidth of the machine's link; zero: no known limit.
  uint16_t peer_port_first = 0;      // Range of ports for traffic between nodes.
  uint16_t peer_port_last = 0;
  // For services whose configuration does not specify it.
  routes::GrantDelivery grant_delivery = routes::GrantDelivery::kCalls;
  Duration heartbeat_interval = std::chrono::milliseconds(1000);
  bool first_start = false;  // First start of the whole system.
  FleetBounds bounds;
};

}  // namespace runshelf::sidecar
