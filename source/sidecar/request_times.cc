#include "source/sidecar/request_times.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Share of its time that a request may wait for the handover of its key. The rest is left for the
// run.
constexpr int kHandoverWaitPercent = 40;

}  // namespace

RequestTimes ComputeRequestTimes(const RequestTimeLimits& limits) {
  const Instant received = limits.received;
  const Duration target = limits.target_latency;
  RequestTimes times;
  times.deadline = received + limits.allowed;
  // A late answer to a nested call still lets the run that waits for it complete; a refusal does
  // not.
  times.answer_by = limits.nested ? times.deadline : std::min(times.deadline, received + target);
  // A refusal within a quarter of the target latency leaves the caller enough time to retry. A
  // caller without time for a retry waits longer for the handover of the key instead.
  times.refuse_by =
      limits.nested ? times.deadline : std::min(times.deadline, received + target / 4);
  const Duration handover_wait =
      std::min<Duration>(limits.allowed * kHandoverWaitPercent / 100, target);
  times.wait_for_handover_by =
      limits.short_deadline ? std::max(times.refuse_by, received + handover_wait) : times.refuse_by;
  return times;
}

}  // namespace runshelf::sidecar
