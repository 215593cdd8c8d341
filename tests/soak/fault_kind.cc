#include "tests/soak/fault_kind.h"

#include <array>

namespace runshelf::soak {
namespace {

// In the order of FaultKind's enumerators.
constexpr std::array<std::string_view, kFaultKinds> kNames{
    "kill-process",
    "kill-all-processes",
    "pause-process",
    "terminate-process",
    "reload-settings",
    "store-refuses",
    "store-silent",
    "store-loses-answers",
    "store-carries-out-late",
    "store-forgets-history",
    "store-down-past-leases",
    "store-turns-away",
    "store-path",
    "node-path",
    "worker-path",
    "pair-path",
    "store-connections",
    "node-connections",
    "worker-connections",
    "worker-crash",
    "worker-leaves",
    "orders-unanswered",
    "heartbeats-delayed",
    "configuration-change",
    "worker-restarts",
    "worker-resets-new",
    "worker-stops-listening",
    "store-restored",
    "worker-answers-twice",
    "zone-evacuated",
    "worker-states-limit",
};

}  // namespace

std::string_view FaultName(FaultKind kind) { return kNames[static_cast<size_t>(kind)]; }

}  // namespace runshelf::soak
