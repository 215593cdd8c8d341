// The deployments that are simulated: those of the two users of runshelf.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "tools/sim/network.h"

namespace runshelf::sim {

struct ServiceLayout {
  std::string name;
  uint32_t servers = 4;
  bool keyed = false;     // Divided by key; the others go by load.
  double load_share = 0;  // Of all requests.
};

struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  std::vector<ServiceLayout> services;
  std::vector<std::string> caller_classes;  // Highest weight first.
  Duration between_zones{0};                // One way.
  Duration to_clients{0};                   // One way.
};

// kInvalidArgument for names other than "himalwire" and "lagesse".
absl::StatusOr<Deployment> FindDeployment(const std::string& name);

}  // namespace runshelf::sim
