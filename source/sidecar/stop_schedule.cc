#include "source/sidecar/stop_schedule.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// After a stop was asked for, clients are still sent here until readiness was missed twice.
constexpr Duration kAcceptRequestsFor = std::chrono::milliseconds(2300);
// The worker beside a stopping node takes new work of other nodes this much longer before they are
// told to send it elsewhere.
constexpr Duration kAnnounceDelay = std::chrono::milliseconds(900);
// Left of the grace period when a stop no longer waits for what runs.
constexpr Duration kEndReserve = std::chrono::milliseconds(700);
// Before that moment, for a request that is given up at its deadline: the gate of the worker waits
// 100 ms longer for the worker's own answer, and the answer must be sent.
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

bool StopSchedule::EndsInTime(Instant deadline) const {
  if (!begun()) return true;
  return !closed_ && deadline <= *begun_at_ + bounds_.grace_period - kEndReserve - kAnswerMargin;
}

bool StopSchedule::OutOfTime(Instant now) const {
  return begun() && Elapsed(now) >= bounds_.grace_period - kEndReserve;
}

}  // namespace runshelf::sidecar
