// Counts the bytes that a node exchanges with others, by what they carry and by whether they leave
// its zone: bytes between zones are dear, and control must not outgrow the requests.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace runshelf::sidecar {

enum class TrafficKind {
  kStateChanges,  // Changes of the state in the store, passed on; sent.
  kBeacons,       // Sent.
  kLoadReports,   // Sent.
  kRequests,      // Forwarded to the node beside a worker; sent.
  kAnswers,       // Of forwarded requests; received.
  kLargeAnswers,  // The same, of requests whose answers are large.
};
constexpr size_t kTrafficKinds = 6;

// Also the value of the label `kind` in the metrics.
std::string_view TrafficKindName(TrafficKind kind);

// Payload of the transport: its own headers are not included.
class TrafficMeter {
 public:
  void Count(TrafficKind kind, bool between_zones, size_t bytes);
  uint64_t Bytes(TrafficKind kind, bool between_zones) const;
  // Bytes between zones of every kind, for the log: "state_changes:812,beacons:90".
  std::string BetweenZones() const;

 private:
  struct Counts {
    uint64_t in_zone = 0;
    uint64_t between_zones = 0;
  };
  std::array<Counts, kTrafficKinds> counts_{};
};

}  // namespace runshelf::sidecar
