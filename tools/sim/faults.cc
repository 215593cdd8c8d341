#include "tools/sim/faults.h"

#include <array>
#include <utility>

namespace runshelf::sim {
namespace {

using NamedFault = std::pair<FaultKind, std::string_view>;

constexpr std::array<NamedFault, 23> kFaults = {{
    {FaultKind::kPartition, "partition"},
    {FaultKind::kOneWayPartition, "one_way_partition"},
    {FaultKind::kIsolation, "isolation"},
    {FaultKind::kPlatformPartition, "platform_partition"},
    {FaultKind::kPauseDaemon, "pause_daemon"},
    {FaultKind::kPauseServer, "pause_server"},
    {FaultKind::kPauseMachine, "pause_machine"},
    {FaultKind::kCrashDaemon, "crash_daemon"},
    {FaultKind::kCrashServer, "crash_server"},
    {FaultKind::kCrashMachine, "crash_machine"},
    {FaultKind::kPlannedLeave, "planned_leave"},
    {FaultKind::kUnlistedLeave, "unlisted_leave"},
    {FaultKind::kListedLeave, "listed_leave"},
    {FaultKind::kJoin, "join"},
    {FaultKind::kPlatformOutage, "platform_outage"},
    {FaultKind::kPlatformSlow, "platform_slow"},
    {FaultKind::kPlatformRateLimit, "platform_rate_limit"},
    {FaultKind::kPlatformLostAnswers, "platform_lost_answers"},
    {FaultKind::kLossyNetwork, "lossy_network"},
    {FaultKind::kLostAnswers, "lost_answers"},
    {FaultKind::kSlowServer, "slow_server"},
    {FaultKind::kHotKeyShift, "hot_key_shift"},
    {FaultKind::kMajorityLoss, "majority_loss"},
}};

}  // namespace

const std::vector<FaultKind>& ToleratedFaults() {
  static const std::vector<FaultKind> kTolerated = [] {
    std::vector<FaultKind> tolerated;
    for (const auto& [kind, name] : kFaults) {
      if (kind != FaultKind::kMajorityLoss) {
        tolerated.push_back(kind);
      }
    }
    return tolerated;
  }();
  return kTolerated;
}

std::string_view FaultName(FaultKind kind) {
  for (const auto& [known, name] : kFaults) {
    if (known == kind) {
      return name;
    }
  }
  return "unknown";
}

absl::StatusOr<std::vector<FaultKind>> ParseFaults(const std::string& names) {
  std::vector<FaultKind> kinds;
  size_t begin = 0;
  while (begin <= names.size()) {
    const size_t end = std::min(names.find(',', begin), names.size());
    const std::string_view name = std::string_view(names).substr(begin, end - begin);
    bool found = false;
    for (const auto& [kind, known] : kFaults) {
      if (known == name) {
        kinds.push_back(kind);
        found = true;
      }
    }
    if (!found) {
      return absl::InvalidArgumentError("no such fault: " + std::string(name));
    }
    begin = end + 1;
  }
  return kinds;
}

}  // namespace runshelf::sim
