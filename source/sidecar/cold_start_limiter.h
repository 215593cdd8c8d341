// Bounds the rate of requests to a worker that is warming up after its start.
#pragma once

#include "source/sidecar/token_bucket.h"

namespace runshelf::sidecar {

// What a cold worker tolerates. Within any second it receives at most
// `requests_per_second + burst` requests.
struct ColdStartLimits {
  double requests_per_second = 0;  // Zero: cold workers need no limit.
  double burst = 0;

  bool operator==(const ColdStartLimits&) const = default;
};

// A token bucket that is in force while the worker is cold, and empty when that begins: the
// requests that the worker received just before then, or that an earlier run of this process sent
// to it, may fall within the same second. Deterministic; not thread-safe.
class ColdStartLimiter {
 public:
  void SetLimits(Instant now, const ColdStartLimits& limits);
  // The worker is cold until `cold_until`; Instant::max() while it is not known whether it is cold.
  void SetColdUntil(Instant now, Instant cold_until);

  // Whether the worker is cold, or may be.
  bool IsCold(Instant now) const { return now < cold_until_; }
  bool IsKnownCold(Instant now) const { return IsCold(now) && cold_until_ != Instant::max(); }
  // Returns zero if a request may be sent at once, else the time until one may be.
  Duration TimeToRoom(Instant now) const;
  // As TimeToRoom(); zero also counts the request.
  Duration TryAdmit(Instant now);
  // The time to suggest to a refused caller: until there is room for it after the others that were
  // refused during the last second, most of which return too.
  Duration RetryAfter(Instant now);

 private:
  bool InForce(Instant now) const { return limits_.requests_per_second > 0 && IsCold(now); }

  ColdStartLimits limits_;
  Instant cold_until_{};
  TokenBucket bucket_;
  RefusalBacklog backlog_;
};

}  // namespace runshelf::sidecar
