// One version of the routing configuration: routes, services and limits set by operators.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::routes {

// Whether a request may be repeated when its outcome is unknown.
enum class RequestKind {
  kIdempotent,     // It may run more than once.
  kNonIdempotent,  // It runs at most once for each client attempt.
  kDownload,       // A large answer; may run more than once.
};

constexpr bool IsRepeatable(RequestKind kind) { return kind != RequestKind::kNonIdempotent; }

// A target of a route; traffic is split in proportion to the weights.
struct WeightedService {
  std::string service;
  uint32_t weight = 0;
};

// Maps requests by host and path prefix to services.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  std::optional<Duration> timeout;         // Maximum time until the answer.
  std::optional<Duration> target_latency;  // Desired time until the answer.
  int priority = 0;                        // Zero is the highest priority.
  uint32_t max_attempts = 1;               // Workers that one request may be sent to.
  std::vector<WeightedService> services;   // At least one.
  // Regions whose workers may run the requests; empty: all.
  std::vector<std::string> allowed_regions;
};

// How the workers of a sharded service learn which keys they own.
enum class GrantDelivery {
  kCalls,       // The worker's sidecar sends it grants and releases.
  kHeartbeats,  // The answer to a worker's heartbeat lists all keys that it should own.
};

struct Service {
  std::string name;
  std::string health_check_path = "/";
  uint32_t max_connections = 0;  // Limit of one worker, over all callers; zero: not known.
  bool sharded = false;          // Its keys are divided among its workers.
  // nullopt: as set in the node's settings.
  std::optional<GrantDelivery> grant_delivery;
  Duration warm_up{0};     // How long requests for a key are slow after a move without handover.
  Duration cold_start{0};  // How long a worker stays cold after its start.
  double cold_rate = 0;    // Requests per second that a cold worker can bear; zero: no limit.
};

// Limits on client requests. Zero: the default of the process.
struct ClientLimits {
  int64_t max_header_bytes = 0;
  int64_t max_body_bytes = 0;
  Duration header_timeout{0};
  Duration idle_timeout{0};
};

// One version of the configuration; immutable after construction.
class RoutingConfiguration {
 public:
  RoutingConfiguration() = default;
  RoutingConfiguration(int64_t version, std::vector<Route> routes, std::vector<Service> services,
                       ClientLimits limits);

  int64_t version() const { return version_; }
  const ClientLimits& limits() const { return limits_; }
  const std::vector<Route>& routes() const { return routes_; }

  // The route of the host (its port and the case of its letters are ignored) with the longest
  // matching path prefix; nullptr when there is none.
  const Route* Match(std::string_view host, std::string_view path) const;
  const Service* FindService(const std::string& name) const;

 private:
  int64_t version_ = 0;
  std::vector<Route> routes_;
  std::unordered_map<std::string, Service> services_;
  std::unordered_map<std::string, std::vector<size_t>> routes_by_host_;  // Longest prefix first.
  ClientLimits limits_;
};

}  // namespace runshelf::routes
