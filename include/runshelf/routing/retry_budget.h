// Bounds how many requests a process sends again, so that an overload or a slow dependency is not
// made worse by retries.
#pragma once

#include <array>
#include <cstdint>

#include "runshelf/common/clock.h"

namespace runshelf::routing {

struct RetryBudgetConfig {
  double fraction = 0.2;  // Retries allowed for each first attempt within the window.
  uint32_t floor = 10;    // Retries allowed within the window besides.
  Duration window = std::chrono::seconds(10);
};

// Counts first attempts and retries in a sliding window. Waits for an owner are no retries.
// Deterministic; not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetConfig& config) : config_(config) {}

  // Changes the retries allowed besides those earned by first attempts.
  void set_floor(uint32_t floor) { config_.floor = floor; }

  void OnFirstAttempt(Instant now);

  // Takes one retry from the budget; false: none is left, and nothing is taken.
  bool TryRetry(Instant now);

 private:
  static constexpr int kBuckets = 20;
  struct Bucket {
    int64_t period = -1;  // Number of the period of window / kBuckets that the counts belong to.
    uint64_t first_attempts = 0;
    uint64_t retries = 0;
  };

  int64_t PeriodOf(Instant now) const;
  Bucket& BucketAt(Instant now);

  RetryBudgetConfig config_;
  std::array<Bucket, kBuckets> buckets_{};
};

}  // namespace runshelf::routing
