#include "source/sidecar/stated_rate_limiter.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Requests per second to a worker that states a lower rate: without any, it could not raise it.
constexpr double kMinRate = 0.5;
// Capacity of the bucket, as the time in which it fills: any second brings at most half as much
// again as the worker states.
constexpr double kBurstSeconds = 0.5;
// When a limit begins, the requests of this time count towards it, for as long at most.
constexpr Duration kCountedBefore = std::chrono::seconds(1);

double BurstOf(double rate) { return std::max(1.0, rate * kBurstSeconds); }

}  // namespace

bool StatedRateLimiter::OnResponse(Instant now, Instant sent_at, std::optional<double> rate) {
  if (rate.has_value()) rate = std::max(*rate, kMinRate);
  if (rate == rate_) return false;
  const bool lower = rate.has_value() && (!rate_.has_value() || *rate < *rate_);
  if (!lower && sent_at < changed_at_) return false;
  if (rate.has_value()) Apply(now, *rate);
  rate_ = rate;
  changed_at_ = now;
  return true;
}

void StatedRateLimiter::Apply(Instant now, double rate) {
  if (!rate_.has_value()) {
    ForgetOldRequests(now);
    const double counted_seconds = std::chrono::duration<double>(kCountedBefore).count();
    bucket_.Drain(now, std::min(static_cast<double>(sent_lately_.size()), rate * counted_seconds));
  }
  bucket_.Configure(now, rate, BurstOf(rate));
}

Duration StatedRateLimiter::TimeToRoom(Instant now) const {
  return rate_.has_value() ? bucket_.TimeToToken(now) : Duration(0);
}

void StatedRateLimiter::ForgetOldRequests(Instant now) {
  while (!sent_lately_.empty() && now - sent_lately_.front() > kCountedBefore) {
    sent_lately_.pop_front();
  }
}

void StatedRateLimiter::OnSent(Instant now) {
  ForgetOldRequests(now);
  sent_lately_.push_back(now);
  if (rate_.has_value()) bucket_.Take(now);
}

Duration StatedRateLimiter::RetryAfter(Instant now) {
  if (!rate_.has_value()) return Duration(0);
  return TimeToRoom(now) + backlog_.Add(now, *rate_);
}

}  // namespace runshelf::sidecar
