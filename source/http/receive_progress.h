// How fast the bytes of one request arrive.
#pragma once

#include <algorithm>
#include <cstddef>

#include "runshelf/common/clock.h"

namespace runshelf::http {

// Measured over intervals, so that single bytes sent now and then do not count as progress.
class ReceiveProgress {
 public:
  // A request that arrives more slowly counts as stalled.
  static constexpr double kMinBytesPerSecond = 4096;
  static constexpr Duration kInterval = std::chrono::milliseconds(500);
  // A request that makes no more progress counts as stalled by then.
  static constexpr Duration kMaxDetectionTime = 2 * kInterval;

  void Begin(Instant now) {
    interval_start_ = now;
    last_bytes_at_ = now;
    interval_bytes_ = 0;
    stalled_since_ = Instant::max();
  }

  void OnBytes(Instant now, size_t count) {
    Update(now);
    interval_bytes_ += count;
    last_bytes_at_ = now;
  }

  // Since when the request makes no progress; Instant::max() while it makes some, and within the
  // first interval.
  Instant StalledSince(Instant now) {
    Update(now);
    if (now - last_bytes_at_ < kInterval) return stalled_since_;
    return std::min(stalled_since_, last_bytes_at_);
  }

 private:
  void Update(Instant now) {
    const Duration elapsed = now - interval_start_;
    if (elapsed < kInterval) return;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (static_cast<double>(interval_bytes_) >= kMinBytesPerSecond * seconds) {
      stalled_since_ = Instant::max();
    } else if (stalled_since_ == Instant::max()) {
      stalled_since_ = interval_start_;
    }
    interval_start_ = now;
    interval_bytes_ = 0;
  }

  Instant interval_start_{};
  Instant last_bytes_at_{};
  Instant stalled_since_ = Instant::max();
  size_t interval_bytes_ = 0;
};

}  // namespace runshelf::http
