// How long the callers of a route are usually willing to wait, learnt from the deadlines they send.
#pragma once

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// A caller that was refused comes back with what is left of its time, so that a deadline well below
// the usual one tells a second attempt, or a caller for whom a refusal is as good as final.
class DeadlineEstimator {
 public:
  // Notes the deadline of a request. Returns true when it is well below the usual one.
  bool IsShort(Duration deadline) {
    typical_ = deadline >= typical_ ? deadline : typical_ - (typical_ - deadline) / kDecayRequests;
    return deadline < typical_ * kShortDeadlinePercent / 100;
  }

 private:
  // Requests after which a usual deadline that nobody sends any more is forgotten.
  static constexpr int kDecayRequests = 200;
  // First attempts lose little of their time on the way; a refusal and its wait take more.
  static constexpr int kShortDeadlinePercent = 85;
  Duration typical_{0};
};

}  // namespace runshelf::sidecar
