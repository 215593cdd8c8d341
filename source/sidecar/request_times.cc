#include "source/sidecar/request_times.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Part of its time that a request may wait for keys that change hands: the rest is for its run.
constexpr int kHandoverWaitPercent = 40;

}  // namespace

RequestTimes ComputeRequestTimes(const RequestTimeLimits& limits) {
  const Instant received = limits.received;
  const Duration target = limits.target_latency;
  RequestTimes times;
  times.deadline = received + limits.allowed;
  // A late answer to a nested call still saves the run that waits for it; refusing it does not.
  times.answer_by = limits.nested ? times.deadline : std::min(times.deadline, received + target);
  // A refusal within a quarter of the target costs its caller least, if it can come back. One that
  // cannot waits longer for keys that are changing hands.
  times.refuse_by =
      limits.nested ? times.deadline : std::min(times.deadline, received + target / 4);
  const Duration handover_wait =
      std::min<Duration>(limits.allowed * kHandoverWaitPercent / 100, target);
  times.wait_for_handover_by =
      limits.short_deadline ? std::max(times.refuse_by, received + handover_wait) : times.refuse_by;
  return times;
}

}  // namespace runshelf::sidecar
