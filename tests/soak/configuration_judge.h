// Judges whether nodes follow the operator's configurations: in force within the bound, and never
// back to an older one. Free of input and output; times are given by the caller.
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

// Which services may run requests, by the first part of their path. A path that is missing has no
// route and is answered 404.
using AllowedServices = std::map<std::string, std::set<std::string>>;

// What became of a request that shows which configurations may be in force at a node.
struct HandledRequest {
  std::string id;
  size_t node = 0;  // That it was sent to.
  int life = 0;     // Of that node's process, when it was sent.
  Instant sent_at{};
  Instant seen_at{};  // When a worker began it, or the caller got the answer 404.
  std::string route;
  std::optional<std::string> service;  // That ran it; absent: 404.
  bool in_touch = false;  // Nothing disturbed the node, nor the store, for long enough.
};

struct ConfigurationBounds {
  Duration apply = std::chrono::milliseconds(2000);
  Duration rollback_slack = std::chrono::milliseconds(250);
};

class ConfigurationJudge {
 public:
  explicit ConfigurationJudge(ConfigurationBounds bounds) : bounds_(bounds) {}

  // The store acknowledged a newer configuration.
  void OnConfiguration(Instant acknowledged, AllowedServices allowed);
  void OnHandled(const HandledRequest& request);

  // One line for each finding, in the order in which they were seen.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Configuration {
    Instant acknowledged;
    AllowedServices allowed;
  };
  // Every request that was handled since `seen_at` was handled under this configuration or a newer
  // one.
  struct Seen {
    Instant seen_at;
    size_t oldest;
  };

  bool Allows(const Configuration& configuration, const HandledRequest& request) const;
  void CheckApplied(const HandledRequest& request, size_t newest);
  void CheckNeverBack(const HandledRequest& request, size_t oldest, size_t newest);

  ConfigurationBounds bounds_;
  std::vector<Configuration> configurations_;                 // In order of their versions.
  std::map<std::pair<size_t, int>, std::vector<Seen>> seen_;  // By node and life.
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
