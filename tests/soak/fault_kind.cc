#include "tests/soak/fault_kind.h"

namespace runshelf::soak {

std::string_view FaultName(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKillProcess:
      return "kill-process";
    case FaultKind::kKillAllProcesses:
      return "kill-all-processes";
    case FaultKind::kPauseProcess:
      return "pause-process";
    case FaultKind::kTerminateProcess:
      return "terminate-process";
    case FaultKind::kStoreRefuses:
      return "store-refuses";
    case FaultKind::kStoreSilent:
      return "store-silent";
    case FaultKind::kStoreLosesAnswers:
      return "store-loses-answers";
    case FaultKind::kStoreForgetsHistory:
      return "store-forgets-history";
    case FaultKind::kStoreDownPastLeases:
      return "store-down-past-leases";
    case FaultKind::kStorePath:
      return "store-path";
    case FaultKind::kNodePath:
      return "node-path";
    case FaultKind::kWorkerPath:
      return "worker-path";
    case FaultKind::kWorkerCrash:
      return "worker-crash";
    case FaultKind::kWorkerLeaves:
      return "worker-leaves";
    case FaultKind::kConfigurationChange:
      return "configuration-change";
  }
  return "unknown";
}

bool IsPlanned(FaultKind kind) {
  return kind == FaultKind::kWorkerLeaves || kind == FaultKind::kConfigurationChange;
}

}  // namespace runshelf::soak
