#include "source/sidecar/stop_schedule.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// After a stop request clients are still routed here until two readiness checks have failed.
constexpr Duration kAcceptRequestsFor = std::chrono::milliseconds(2300);
// The worker of a stopping node accepts new work from other nodes for this long before they are
// notified to send it elsewhere.
constexpr Duration kAnnounceDelay = std::chrono::milliseconds(900);
// The part of the grace period that is left when a stop no longer waits for running requests.
constexpr Duration kEndReserve = std::chrono::milliseconds(700);
// A request must reach its deadline this much earlier than that: the worker gate waits up to 100 ms
// past the deadline for the worker's own response, which must then be sent.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(150);

}  // namespace

Duration StopSchedule::Elapsed(Instant now) const {
  return begun_at_.has_value() ? now - *begun_at_ : Duration(0);
}

bool StopSchedule::Announced(Instant now) const {
  return begun() && Elapsed(now) >= kAnnounceDelay;
}

std::optional<StopNotice> StopSchedule::Notice(Instant now) const {
  if (!Announced(now)) return std::nullopt;
  const Duration elapsed = Elapsed(now);
  const Duration takes = closed_ ? Duration(0) : kAcceptRequestsFor - elapsed;
  return StopNotice{std::max(Duration(0), takes),
                    std::max(Duration(0), bounds_.grace_period - elapsed)};
}

bool StopSchedule::TakesNewRequests(Instant now) const {
  return !closed_ && Elapsed(now) < kAcceptRequestsFor;
}

Duration StopSchedule::CompletionTime() const {
  return bounds_.grace_period - kEndReserve - kAnswerMargin;
}

Instant StopSchedule::CompleteBy() const {
  if (!begun()) return Instant::max();
  return *begun_at_ + CompletionTime();
}

bool StopSchedule::EndsInTime(Instant deadline) const {
  if (!begun()) return true;
  return !closed_ && deadline <= CompleteBy();
}

bool StopSchedule::OutOfTime(Instant now) const {
  return begun() && Elapsed(now) >= bounds_.grace_period - kEndReserve;
}

}  // namespace runshelf::sidecar
