#include "source/sidecar/worker_rate_limiter.h"

namespace runshelf::sidecar {

std::optional<RateRefusal> WorkerRateLimiter::Check(Instant now) {
  const Duration cold_wait = cold_start_.TimeToRoom(now);
  const Duration stated_wait = stated_.TimeToRoom(now);
  if (cold_wait == Duration(0) && stated_wait == Duration(0)) return std::nullopt;
  if (cold_wait >= stated_wait) {
    return RateRefusal{FailureReason::kWarmingUp, cold_start_.RetryAfter(now)};
  }
  return RateRefusal{FailureReason::kWorkerLimited, stated_.RetryAfter(now)};
}

std::optional<RateRefusal> WorkerRateLimiter::TryAdmit(Instant now) {
  const std::optional<RateRefusal> refusal = Check(now);
  if (refusal.has_value()) return refusal;
  cold_start_.TryAdmit(now);
  stated_.OnSent(now);
  return std::nullopt;
}

}  // namespace runshelf::sidecar
