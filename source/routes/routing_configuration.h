// The routes, services and limits that operators have put in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::routes {

// What may be done with a request whose outcome is not known.
enum class RequestKind {
  kIdempotent,     // It may run more than once.
  kNonIdempotent,  // It runs at most once for each client attempt.
  kDownload,       // A large answer; may run more than once.
};

constexpr bool IsRepeatable(RequestKind kind) { return kind != RequestKind::kNonIdempotent; }

struct WeightedService {
  std::string service;
  uint32_t weight = 0;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  std::optional<Duration> timeout;         // The longest time a request is held.
  std::optional<Duration> target_latency;  // Within which an answer is worth most.
  int priority = 0;                        // Zero is served first.
  uint32_t max_attempts = 1;               // Workers that one request may be sent to.
  std::vector<WeightedService> services;   // At least one.
};

// How the workers of a service that is divided by key learn which keys they hold.
enum class GrantDelivery {
  kCalls,       // The node beside a worker sends grants and releases to it.
  kHeartbeats,  // The answer to a worker's heartbeat lists all keys that it is to hold.
};

struct Service {
  std::string name;
  std::string health_check_path = "/";
  uint32_t max_connections = 0;  // Of all callers to one worker; zero: not known.
  bool sharded = false;          // Divided by key among its workers.
  // nullopt: as the settings of the node say.
  std::optional<GrantDelivery> grant_delivery;
  Duration warm_up{0};  // How long keys without a handover are slow.
};

// Bounds on what clients may send. Zero: the process's default.
struct ClientLimits {
  int64_t max_header_bytes = 0;
  int64_t max_body_bytes = 0;
  Duration header_timeout{0};
  Duration idle_timeout{0};
};

// One version of the configuration; immutable once built.
class RoutingConfiguration {
 public:
  RoutingConfiguration() = default;
  RoutingConfiguration(int64_t version, std::vector<Route> routes, std::vector<Service> services,
                       ClientLimits limits);

  int64_t version() const { return version_; }
  const ClientLimits& limits() const { return limits_; }
  const std::vector<Route>& routes() const { return routes_; }

  // The route of the host (without a port, in any case of letters) with the longest prefix that
  // begins the path; nullptr when there is none.
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
