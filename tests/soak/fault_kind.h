// The kinds of trouble that the soak makes.
#pragma once

#include <cstddef>
#include <string_view>

namespace runshelf::soak {

// What may be done to the fleet. Each lasts for a time, and several may go on at once.
enum class FaultKind {
  // Processes. One that has ended is started again, after the fault's time if that is longer.
  kKillProcess,
  kKillAllProcesses,
  kPauseProcess,
  kTerminateProcess,
  kReloadSettings,  // The settings file changes, and SIGHUP says so.
  // The whole store.
  kStoreRefuses,
  kStoreSilent,
  kStoreLosesAnswers,
  kStoreCarriesOutLate,  // Unanswered transactions, if their conditions still hold.
  kStoreForgetsHistory,
  kStoreDownPastLeases,  // Until every lease that cannot be renewed has run out.
  kStoreTurnsAway,       // One node, by what its mode says; it serves the others.
  // Ways, by proxies.
  kStorePath,          // Of one node.
  kNodePath,           // Of all others to one node.
  kWorkerPath,         // Between one node and its worker.
  kPairPath,           // Of one node to one other.
  kStoreConnections,   // Those that are open to the store fall silent for good; new ones work.
  kNodeConnections,    // The same of those to one node.
  kWorkerConnections,  // The same of those to one worker.
  // Workers. One that has ended is replaced by a new life at the same address.
  kWorkerCrash,
  kWorkerLeaves,
  kOrdersUnanswered,   // Grants and releases are left unanswered, and some carried out late.
  kHeartbeatsDelayed,  // Some arrive seconds late, after newer ones or newer lives.
  // Planned.
  kConfigurationChange,
  // Workers as processes. These are drawn by series of their own.
  kWorkerRestarts,        // Ends without a word, and starts again under its identity.
  kWorkerResetsNew,       // At its limit of connections: new ones are reset, it serves on.
  kWorkerStopsListening,  // New connections are refused; it serves those that are open.
  // Drawn only when a run asks for them.
  kStoreRestored,       // Away, and then back from an older copy of its data.
  kWorkerAnswersTwice,  // The second time late, in the place of the next answer or of none.
};

// Those that may come by themselves: the first ones.
constexpr size_t kSingleFaultKinds = 24;
constexpr size_t kFaultKinds = 29;

std::string_view FaultName(FaultKind kind);

}  // namespace runshelf::soak
