// The kinds of faults that the soak test injects.
#pragma once

#include <cstddef>
#include <string_view>

namespace runshelf::soak {

// Faults that can be injected into the fleet. Each has a duration, and several may be active at
// once.
enum class FaultKind {
  // Processes. A process that exits is restarted once it has exited and the duration has elapsed.
  kKillProcess,
  kKillAllProcesses,
  kPauseProcess,
  kTerminateProcess,
  kReloadSettings,  // Changes the settings file and sends SIGHUP.
  // The whole store.
  kStoreRefuses,
  kStoreSilent,
  kStoreLosesAnswers,
  kStoreCarriesOutLate,  // Commits unacknowledged transactions late if their conditions still hold.
  kStoreForgetsHistory,
  kStoreDownPastLeases,  // Until every lease that cannot be renewed has expired.
  kStoreTurnsAway,       // Rejects one node as its mode specifies; serves the others.
  // Network paths, through proxies.
  kStorePath,          // Between one node and the store.
  kNodePath,           // From all other nodes to one node.
  kWorkerPath,         // Between one node and its worker.
  kPairPath,           // From one node to one other node.
  kStoreConnections,   // Open connections to the store stall for good; new ones work.
  kNodeConnections,    // The same for connections to one node.
  kWorkerConnections,  // The same for connections to one worker.
  // Workers. A worker that exits is replaced by a new incarnation at the same address.
  kWorkerCrash,
  kWorkerLeaves,
  kOrdersUnanswered,   // Grants and releases get no acknowledgement; some are applied late.
  kHeartbeatsDelayed,  // Some arrive seconds late, after newer ones or newer incarnations.
  // Planned operations.
  kConfigurationChange,
  // Worker processes. These have separate series in the fault plan.
  kWorkerRestarts,        // Exits without deregistering and restarts with the same identity.
  kWorkerResetsNew,       // Connection limit reached: new connections are reset, open ones work.
  kWorkerStopsListening,  // New connections are refused, open ones work.
  // Only in runs that enable them.
  kStoreRestored,       // Unavailable, then restored from an older copy of its data.
  kWorkerAnswersTwice,  // Sends a response again, late, in place of the next one or on an idle
                        // connection.
  kZoneEvacuated,       // Operators ask to send nothing to the workers of a zone.
  kWorkerStatesLimit,   // States in its responses how many requests per second it accepts.
};

// The first enumerators, which the plan may also use as single faults.
constexpr size_t kSingleFaultKinds = 24;
constexpr size_t kFaultKinds = 31;

// The name of the fault in results and logs.
std::string_view FaultName(FaultKind kind);

}  // namespace runshelf::soak
