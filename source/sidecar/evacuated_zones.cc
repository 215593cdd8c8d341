#include "source/sidecar/evacuated_zones.h"

namespace runshelf::sidecar {
namespace {

// Time that operators have to write their items again after the store was restored.
constexpr Duration kRestoreTime = std::chrono::seconds(5);

}  // namespace

void EvacuatedZones::OnWritten(const std::string& zone) { evacuated_until_[zone] = Instant::max(); }

void EvacuatedZones::OnRemoved(Instant now, const std::string& zone) {
  const bool restored = restored_at_ != Instant{} && now < restored_at_ + kRestoreTime;
  if (restored && evacuated_until_.contains(zone)) {
    evacuated_until_[zone] = restored_at_ + kRestoreTime;
  } else {
    evacuated_until_.erase(zone);
  }
}

std::set<std::string> EvacuatedZones::ZonesAt(Instant now) const {
  std::set<std::string> zones;
  for (const auto& [zone, until] : evacuated_until_) {
    if (now < until) zones.insert(zone);
  }
  return zones;
}

}  // namespace runshelf::sidecar
