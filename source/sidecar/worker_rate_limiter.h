// Bounds the rate of requests to the local worker, for all reasons together.
#pragma once

#include <optional>

#include "source/sidecar/attempt.h"
#include "source/sidecar/cold_start_limiter.h"
#include "source/sidecar/stated_rate_limiter.h"

namespace runshelf::sidecar {

// Why a request may not be sent to the worker now, and when its caller should return.
struct RateRefusal {
  FailureReason reason = FailureReason::kWorkerLimited;
  Duration retry_after{0};
};

// Admits a request only if each limit in force does: that of a cold worker, and the rate that the
// worker states. Deterministic; not thread-safe.
class WorkerRateLimiter {
 public:
  ColdStartLimiter& cold_start() { return cold_start_; }
  const ColdStartLimiter& cold_start() const { return cold_start_; }
  StatedRateLimiter& stated() { return stated_; }
  const StatedRateLimiter& stated() const { return stated_; }

  // Returns the refusal of the limit that is exceeded for longest; nullopt if a request may be
  // sent.
  std::optional<RateRefusal> Check(Instant now);
  // As Check(); nullopt also counts the request as sent.
  std::optional<RateRefusal> TryAdmit(Instant now);

 private:
  ColdStartLimiter cold_start_;
  StatedRateLimiter stated_;
};

}  // namespace runshelf::sidecar
