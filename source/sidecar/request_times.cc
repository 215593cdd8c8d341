#include "source/sidecar/request_times.h"

#include <algorithm>

namespace runshelf::sidecar {

RequestTimes TimesOf(const RequestPatience& patience) {
  const Instant received = patience.received;
  const Duration target = patience.target_latency;
  RequestTimes times;
  times.deadline = received + patience.allowed;
  // A late answer to a nested call still saves the run that waits for it; refusing it does not.
  times.answer_by = patience.nested ? times.deadline : std::min(times.deadline, received + target);
  // A refusal within a quarter of the target costs its caller least.
  times.refuse_by =
      patience.nested ? times.deadline : std::min(times.deadline, received + target / 4);
  return times;
}

}  // namespace runshelf::sidecar
