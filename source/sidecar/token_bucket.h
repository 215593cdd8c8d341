// Token bucket for the rate of requests to one worker.
#pragma once

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// Fills at a rate up to a capacity; each request takes one token. Within any time T, at most
// `rate * T + capacity` requests take one. Deterministic; not thread-safe.
class TokenBucket {
 public:
  // Changes the rate, in tokens per second, and the capacity. Tokens above the new capacity are
  // lost; the time until now counts at the former rate.
  void Configure(Instant now, double rate, double capacity);
  double rate() const { return rate_; }
  // Empties the bucket. `owed` tokens have to flow in before the first request may take one.
  void Drain(Instant now, double owed = 0);
  // Time until a request may take a token; zero: now. The rate must not be zero.
  Duration TimeToToken(Instant now) const;
  // Takes a token; to be called only when there is one.
  void Take(Instant now);

 private:
  double TokensAt(Instant now) const;

  double rate_ = 0;
  double capacity_ = 1;
  double tokens_ = 0;
  Instant filled_at_{};  // Time for which `tokens_` was computed.
};

// Suggests to refused callers when to return, so that those who return meet the rate that is
// available. Deterministic; not thread-safe.
class RefusalBacklog {
 public:
  // Counts one refused request. Returns the time that the requests refused recently need at `rate`.
  Duration Add(Instant now, double rate);

 private:
  double refused_lately_ = 0;
  Instant refused_at_{};
};

}  // namespace runshelf::sidecar
