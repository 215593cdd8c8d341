#include "source/sidecar/traffic_meter.h"

namespace runshelf::sidecar {
namespace {

constexpr std::array<std::string_view, kTrafficKinds> kNames{
    "state_changes", "beacons", "load_reports", "requests", "answers", "large_answers"};

}  // namespace

std::string_view TrafficKindName(TrafficKind kind) { return kNames[static_cast<size_t>(kind)]; }

void TrafficMeter::Count(TrafficKind kind, bool between_zones, size_t bytes) {
  Counts& counts = counts_[static_cast<size_t>(kind)];
  (between_zones ? counts.between_zones : counts.in_zone) += bytes;
}

uint64_t TrafficMeter::Bytes(TrafficKind kind, bool between_zones) const {
  const Counts& counts = counts_[static_cast<size_t>(kind)];
  return between_zones ? counts.between_zones : counts.in_zone;
}

std::string TrafficMeter::BetweenZones() const {
  std::string text;
  for (size_t kind = 0; kind < kTrafficKinds; ++kind) {
    if (!text.empty()) text += ',';
    text.append(kNames[kind]).append(":").append(std::to_string(counts_[kind].between_zones));
  }
  return text;
}

}  // namespace runshelf::sidecar
