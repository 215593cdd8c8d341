#include "source/sidecar/request_times.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Part of its time that a request may wait for keys that change hands: the rest is for its run.
constexpr int kMoveWaitPercent = 40;

}  // namespace

RequestTimes TimesOf(const RequestPatience& patience) {
  const Instant received = patience.received;
  const Duration target = patience.target_latency;
  RequestTimes times;
  times.deadline = received + patience.allowed;
  // A late answer to a nested call still saves the run that waits for it; refusing it does not.
  times.answer_by = patience.nested ? times.deadline : std::min(times.deadline, received + target);
  // A refusal within a quarter of the target costs its caller least, if it can come back. One that
  // cannot waits longer for keys that are changing hands.
  times.refuse_by =
      patience.nested ? times.deadline : std::min(times.deadline, received + target / 4);
  const Duration longer = std::min<Duration>(patience.allowed * kMoveWaitPercent / 100, target);
  times.await_move_by =
      patience.short_of_time ? std::max(times.refuse_by, received + longer) : times.refuse_by;
  return times;
}

}  // namespace runshelf::sidecar
