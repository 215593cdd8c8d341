#include "source/sidecar/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace runshelf::sidecar {
namespace {

// Part of the burst that is not used: requests may arrive closer together than they were sent.
constexpr double kArrivalJitterRequests = 1;
// Memory of refused requests. Those who are refused return within about this time.
constexpr Duration kRefusalMemory = std::chrono::seconds(1);

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration FromSeconds(double seconds) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void ColdStartLimiter::SetLimits(Instant now, const ColdStartLimits& limits) {
  if (limits == limits_) return;
  tokens_ = std::min(TokensAt(now), tokens_);
  filled_at_ = now;
  limits_ = limits;
}

void ColdStartLimiter::SetColdUntil(Instant now, Instant cold_until) {
  if (!IsCold(now) && now < cold_until) {
    tokens_ = 0;
    filled_at_ = now;
  }
  cold_until_ = cold_until;
}

double ColdStartLimiter::Burst() const {
  return std::max(1.0, limits_.burst - kArrivalJitterRequests);
}

double ColdStartLimiter::TokensAt(Instant now) const {
  const double added = Seconds(now - filled_at_) * limits_.requests_per_second;
  return std::min(Burst(), tokens_ + added);
}

Duration ColdStartLimiter::TimeToRoom(Instant now) const {
  if (!InForce(now)) return Duration(0);
  const double missing = 1 - TokensAt(now);
  if (missing <= 0) return Duration(0);
  return FromSeconds(missing / limits_.requests_per_second);
}

Duration ColdStartLimiter::TryAdmit(Instant now) {
  const Duration wait = TimeToRoom(now);
  if (wait > Duration(0) || !InForce(now)) return wait;
  tokens_ = TokensAt(now) - 1;
  filled_at_ = now;
  return wait;
}

Duration ColdStartLimiter::RetryAfter(Instant now) {
  refused_lately_ *= std::exp(-Seconds(now - refused_at_) / Seconds(kRefusalMemory));
  refused_at_ = now;
  const Duration behind_others = FromSeconds(refused_lately_ / limits_.requests_per_second);
  refused_lately_ += 1;
  // A worker whose state is unknown may be found to be warm at any moment.
  const Duration while_cold = IsKnownCold(now) ? cold_until_ - now : Duration(0);
  return TimeToRoom(now) + std::min(behind_others, while_cold);
}

}  // namespace runshelf::sidecar
