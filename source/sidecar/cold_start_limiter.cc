#include "source/sidecar/cold_start_limiter.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Part of the burst that is not used: requests may arrive closer together than they were sent.
constexpr double kArrivalJitterRequests = 1;

}  // namespace

void ColdStartLimiter::SetLimits(Instant now, const ColdStartLimits& limits) {
  if (limits == limits_) return;
  limits_ = limits;
  bucket_.Configure(now, limits.requests_per_second,
                    std::max(1.0, limits.burst - kArrivalJitterRequests));
}

void ColdStartLimiter::SetColdUntil(Instant now, Instant cold_until) {
  if (!IsCold(now) && now < cold_until) bucket_.Drain(now);
  cold_until_ = cold_until;
}

Duration ColdStartLimiter::TimeToRoom(Instant now) const {
  return InForce(now) ? bucket_.TimeToToken(now) : Duration(0);
}

Duration ColdStartLimiter::TryAdmit(Instant now) {
  const Duration wait = TimeToRoom(now);
  if (wait == Duration(0) && InForce(now)) bucket_.Take(now);
  return wait;
}

Duration ColdStartLimiter::RetryAfter(Instant now) {
  if (!InForce(now)) return Duration(0);
  const Duration behind_others = backlog_.Add(now, limits_.requests_per_second);
  // A worker whose state is unknown may be found to be warm at any moment.
  const Duration while_cold = IsKnownCold(now) ? cold_until_ - now : Duration(0);
  return TimeToRoom(now) + std::min(behind_others, while_cold);
}

}  // namespace runshelf::sidecar
