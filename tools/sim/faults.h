// The kinds of faults that a scenario is made of.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace runshelf::sim {

enum class FaultKind {
  kPartition,            // The fleet falls into two parts.
  kOneWayPartition,      // One part does not hear the other.
  kIsolation,            // One machine is cut off from all others.
  kPlatformPartition,    // Some machines do not reach the platform.
  kPauseDaemon,          // Pauses of any length.
  kPauseServer,          //
  kPauseMachine,         // Server and daemon together.
  kCrashDaemon,          // The process ends and is started again as a new instance.
  kCrashServer,          //
  kCrashMachine,         // Both, and nobody answers on the network.
  kPlannedLeave,         // SIGTERM, with the machine list saying so.
  kUnlistedLeave,        // SIGTERM that the machine list never shows.
  kListedLeave,          // The machine list says so before anybody tells the daemon.
  kJoin,                 // One more machine.
  kPlatformOutage,       // The platform refuses, or does not answer.
  kPlatformSlow,         // Slower than clients wait, or less.
  kPlatformRateLimit,    //
  kPlatformLostAnswers,  // Writes take effect, their answers are lost.
  kLossyNetwork,         // Loss, duplication and reordering of datagrams.
  kLostAnswers,          // Servers execute requests and cut the connection.
  kSlowServer,           // A slow dependency.
  kHotKeyShift,          //
  kMajorityLoss,         // Most replicas of the ownership log are lost at once.
};

// Every kind but kMajorityLoss, which is more than the tolerated loss.
const std::vector<FaultKind>& ToleratedFaults();

// "partition", "one_way_partition", ...
std::string_view FaultName(FaultKind kind);

// Parses names separated by commas; kInvalidArgument names an unknown one.
absl::StatusOr<std::vector<FaultKind>> ParseFaults(const std::string& names);

}  // namespace runshelf::sim
