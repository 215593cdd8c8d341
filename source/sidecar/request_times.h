// Moments by which a request must have been answered, refused or given up.
#pragma once

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// What they follow from.
struct RequestTimeLimits {
  Instant received;
  Duration allowed{0};          // The sooner of the caller's and the route's time.
  Duration target_latency{0};   // An answer within it is worth most.
  bool nested = false;          // A call that the worker beside the node makes during a run.
  bool short_deadline = false;  // The caller has much less time than others: it cannot come back.
};

struct RequestTimes {
  Instant deadline{};
  Instant answer_by{};             // A later answer is worth little.
  Instant refuse_by{};             // Waits without being offered to a worker end then.
  Instant wait_for_handover_by{};  // The same while keys are known to be changing hands.
};

RequestTimes ComputeRequestTimes(const RequestTimeLimits& limits);

}  // namespace runshelf::sidecar
