#include "runshelf/routing/retry_budget.h"

namespace runshelf::routing {

int64_t RetryBudget::PeriodOf(Instant now) const {
  return ToMicroseconds(now) / (config_.window / kBuckets).count();
}

RetryBudget::Bucket& RetryBudget::BucketAt(Instant now) {
  const int64_t period = PeriodOf(now);
  Bucket& bucket = buckets_[static_cast<size_t>(period % kBuckets)];
  if (bucket.period != period) bucket = Bucket{period, 0, 0};
  return bucket;
}

void RetryBudget::OnFirstAttempt(Instant now) { ++BucketAt(now).first_attempts; }

bool RetryBudget::TryRetry(Instant now) {
  const int64_t oldest_period = PeriodOf(now) - kBuckets + 1;
  uint64_t first_attempts = 0;
  uint64_t retries = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.period < oldest_period) continue;
    first_attempts += bucket.first_attempts;
    retries += bucket.retries;
  }
  const double allowed = config_.fraction * static_cast<double>(first_attempts) + config_.floor;
  if (static_cast<double>(retries + 1) > allowed) return false;
  ++BucketAt(now).retries;
  return true;
}

}  // namespace runshelf::routing
