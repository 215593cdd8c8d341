// Checks that each node applies a new configuration within the time bound and never reverts to an
// older one. Performs no I/O; the caller supplies all timestamps.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// Services that may process requests, by the first path segment. A segment that is not listed has
// no route, and requests for it are answered with 404.
using AllowedServices = std::map<std::string, std::set<std::string>>;

// The outcome of a request, from which the configurations possibly in force at a node follow.
struct HandledRequest {
  std::string id;
  size_t node = 0;  // Node that received the request.
  int life = 0;     // Process incarnation of that node at `sent_at`.
  Instant sent_at{};
  Instant seen_at{};  // When a worker began it, or the caller received the 404.
  std::string route;
  std::optional<std::string> service;  // Service that processed it; absent for a 404.
  bool in_touch = false;               // Neither node nor store was recently affected by a fault.
};

// `apply`: maximum time from the store's acknowledgement until a configuration is in force.
// `rollback_slack`: how long after a configuration was observed requests may still be handled under
// an older one.
struct ConfigurationBounds {
  Duration apply = std::chrono::milliseconds(2000);
  Duration rollback_slack = std::chrono::milliseconds(250);
};

// Compares handled requests with the history of configurations.
class ConfigurationJudge {
 public:
  explicit ConfigurationJudge(ConfigurationBounds bounds) : bounds_(bounds) {}

  // The store acknowledged a newer configuration.
  void OnConfiguration(Instant acknowledged, AllowedServices allowed);
  void OnHandled(const HandledRequest& request);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Configuration {
    Instant acknowledged;
    AllowedServices allowed;
  };
  // From `seen_at` on, the configuration with index `oldest` or a newer one was in force.
  struct Seen {
    Instant seen_at;
    size_t oldest;
  };

  bool Allows(const Configuration& configuration, const HandledRequest& request) const;
  void CheckApplied(const HandledRequest& request, size_t newest);
  void CheckNoRollback(const HandledRequest& request, size_t oldest, size_t newest);

  ConfigurationBounds bounds_;
  std::vector<Configuration> configurations_;                 // In version order.
  std::map<std::pair<size_t, int>, std::vector<Seen>> seen_;  // By node and incarnation.
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
