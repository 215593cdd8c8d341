#include "tools/sim/deployment.h"

namespace runshelf::sim {
namespace {

Deployment Himalwire() {
  Deployment deployment;
  deployment.name = "himalwire";
  deployment.zones = {"zone-a", "zone-b", "zone-c", "zone-d"};
  deployment.services = {{"feedread", 4, true, 0.5},
                         {"dispatch", 4, false, 0.2},
                         {"mediavault", 4, false, 0.2},
                         {"billing", 4, false, 0.1}};
  deployment.caller_classes = {"regulator", "newsroom", "issuer"};
  deployment.between_zones = std::chrono::microseconds(500);
  deployment.to_clients = std::chrono::milliseconds(8);
  return deployment;
}

Deployment Lagesse() {
  Deployment deployment;
  deployment.name = "lagesse";
  deployment.zones = {"hall-a", "hall-b", "hall-c"};
  deployment.services = {{"catalogue", 5, true, 0.4},
                         {"orders", 4, false, 0.3},
                         {"pricing", 3, false, 0.2},
                         {"billing", 3, false, 0.1}};
  deployment.caller_classes = {"hotel", "school", "shop"};
  deployment.between_zones = std::chrono::microseconds(1500);
  deployment.to_clients = std::chrono::milliseconds(3);
  return deployment;
}

}  // namespace

absl::StatusOr<Deployment> FindDeployment(const std::string& name) {
  if (name == "himalwire") {
    return Himalwire();
  }
  if (name == "lagesse") {
    return Lagesse();
  }
  return absl::InvalidArgumentError("no such deployment: " + name);
}

}  // namespace runshelf::sim
