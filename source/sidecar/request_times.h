// Time limits of a request: when it must have been answered, refused or abandoned.
#pragma once

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// Input of ComputeRequestTimes().
struct RequestTimeLimits {
  Instant received;
  Duration allowed{0};          // The smaller of the caller's timeout and the route's.
  Duration target_latency{0};   // Answers should arrive within this time.
  bool nested = false;          // Sent by the local worker while it runs another request.
  bool short_deadline = false;  // Much shorter than usual: the caller has no time for a retry.
};

struct RequestTimes {
  Instant deadline{};              // The request is abandoned.
  Instant answer_by{};             // An answer after this time has little value to the caller.
  Instant refuse_by{};             // End of waits for a worker to which the request can be sent.
  Instant wait_for_handover_by{};  // As refuse_by, while the key is known to be handed over.
};

// Computes the time limits of a request. Deterministic.
RequestTimes ComputeRequestTimes(const RequestTimeLimits& limits);

}  // namespace runshelf::sidecar
