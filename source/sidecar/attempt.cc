#include "source/sidecar/attempt.h"

#include <array>
#include <utility>

namespace runshelf::sidecar {
namespace {

constexpr std::array<std::pair<FailureReason, std::string_view>, 18> kReasonNames{{
    {FailureReason::kUnreachable, "unreachable"},
    {FailureReason::kNoWorker, "no-worker"},
    {FailureReason::kWrongWorker, "wrong-worker"},
    {FailureReason::kDraining, "draining"},
    {FailureReason::kEvacuated, "evacuated"},
    {FailureReason::kStopping, "stopping"},
    {FailureReason::kNotOwner, "not-owner"},
    {FailureReason::kFull, "full"},
    {FailureReason::kWarmingUp, "warming-up"},
    {FailureReason::kWorkerLimited, "worker-limited"},
    {FailureReason::kLimited, "limited"},
    {FailureReason::kWorkerRefused, "worker-refused"},
    {FailureReason::kExpired, "expired"},
    {FailureReason::kCallerGone, "caller-gone"},
    {FailureReason::kBroken, "broken"},
    {FailureReason::kIncomplete, "incomplete"},
    {FailureReason::kUnstamped, "unstamped"},
    {FailureReason::kQuarantined, "quarantined"},
}};

}  // namespace

std::string_view FailureReasonName(FailureReason reason) {
  for (const auto& [known, name] : kReasonNames) {
    if (known == reason) return name;
  }
  return "unknown";
}

std::optional<FailureReason> ParseFailureReason(std::string_view name) {
  for (const auto& [reason, known] : kReasonNames) {
    if (known == name) return reason;
  }
  return std::nullopt;
}

}  // namespace runshelf::sidecar
