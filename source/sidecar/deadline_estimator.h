// Estimates the usual deadline of a route's requests from the deadlines that callers send.
#pragma once

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// A caller that retries after a refusal sends the time that it has left. A deadline well below the
// usual one therefore indicates a retry, or a caller that has no time for one. Deterministic; not
// thread-safe.
class DeadlineEstimator {
 public:
  // Adds the deadline of a request, as the time from now, to the estimate. Returns true if it is
  // well below the usual one.
  bool IsShort(Duration deadline) {
    typical_ = deadline >= typical_ ? deadline : typical_ - (typical_ - deadline) / kDecayRequests;
    return deadline < typical_ * kShortDeadlinePercent / 100;
  }

 private:
  // The estimate takes over longer deadlines at once and approaches shorter ones with this time
  // constant, in requests, so that a deadline that callers no longer send is forgotten.
  static constexpr int kDecayRequests = 200;
  // Below 100, since first attempts also lose a little of their time before they arrive. A refusal
  // and the wait for the retry take more than this margin.
  static constexpr int kShortDeadlinePercent = 85;
  Duration typical_{0};
};

}  // namespace runshelf::sidecar
