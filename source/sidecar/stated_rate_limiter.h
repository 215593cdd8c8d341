// Bounds the rate of requests to a worker that states how many it accepts.
#pragma once

#include <deque>
#include <optional>

#include "source/sidecar/token_bucket.h"

namespace runshelf::sidecar {

// Follows the rate that the worker states in its responses, until a response does not state one.
// Deterministic; not thread-safe.
class StatedRateLimiter {
 public:
  // The worker answered a request that was sent at `sent_at`, and stated `rate` in requests per
  // second, or none. A lower rate applies at once. A higher one, or none, applies only if the
  // request was sent after the present rate was learnt: responses may arrive out of order. Returns
  // whether the rate in force changed.
  bool OnResponse(Instant now, Instant sent_at, std::optional<double> rate);
  // Another worker took the place of the one that stated the rate.
  void Forget() { rate_.reset(); }

  // The rate in force, in requests per second; nullopt: no limit.
  std::optional<double> rate() const { return rate_; }
  // Returns zero if a request may be sent at once, else the time until one may be.
  Duration TimeToRoom(Instant now) const;
  // A request is sent, whether or not a rate is in force.
  void OnSent(Instant now);
  // The time to suggest to a refused caller.
  Duration RetryAfter(Instant now);

 private:
  void Apply(Instant now, double rate);
  void ForgetOldRequests(Instant now);

  std::optional<double> rate_;
  Instant changed_at_{};  // When the rate in force was learnt.
  TokenBucket bucket_;
  RefusalBacklog backlog_;
  std::deque<Instant> sent_lately_;  // Requests of the last second.
};

}  // namespace runshelf::sidecar
