// Counts the bytes exchanged with other nodes, by kind and by whether they cross zones. Traffic
// between zones is expensive, and control traffic must not exceed request traffic.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace runshelf::sidecar {

// What the bytes carry, and the direction that is counted.
enum class TrafficKind {
  kStateChanges,  // Changes of the store's state, relayed to other nodes; sent.
  kBeacons,       // Sent.
  kLoadReports,   // Sent.
  kRequests,      // Forwarded to another node for its worker; sent.
  kAnswers,       // Responses to forwarded requests; received.
  kLargeAnswers,  // Responses to requests with large responses; received.
};
constexpr size_t kTrafficKinds = 6;

// Returns the name of the kind, which is also the value of the label `kind` in the metrics.
std::string_view TrafficKindName(TrafficKind kind);

// Counts payload bytes; headers of the transport protocol are not included.
class TrafficMeter {
 public:
  // `between_zones`: the bytes cross zones.
  void Count(TrafficKind kind, bool between_zones, size_t bytes);
  uint64_t Bytes(TrafficKind kind, bool between_zones) const;
  // Cross-zone bytes of every kind, for the log: "state_changes:812,beacons:90".
  std::string BetweenZones() const;

 private:
  struct Counts {
    uint64_t in_zone = 0;
    uint64_t between_zones = 0;
  };
  std::array<Counts, kTrafficKinds> counts_{};
};

}  // namespace runshelf::sidecar
