// The kinds of trouble that the soak makes.
#pragma once

#include <cstddef>
#include <string_view>

namespace runshelf::soak {

// What may be done to the fleet.
enum class FaultKind {
  kKillProcess,
  kKillAllProcesses,
  kPauseProcess,
  kTerminateProcess,
  kStoreRefuses,
  kStoreSilent,
  kStoreLosesAnswers,
  kStoreForgetsHistory,
  kStoreDownPastLeases,  // Until every lease that cannot be renewed has run out.
  kStorePath,            // Of one node, by its proxy.
  kNodePath,             // To one node, by its proxy.
  kWorkerPath,           // Between one node and its worker, by its proxy.
  kWorkerCrash,
  kWorkerLeaves,
  kConfigurationChange,
};

constexpr size_t kFaultKinds = 15;

std::string_view FaultName(FaultKind kind);

// Planned work, during which the promises bound by time hold.
bool IsPlanned(FaultKind kind);

}  // namespace runshelf::soak
