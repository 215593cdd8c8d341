#include "source/sidecar/stop_schedule.h"

namespace runshelf::sidecar {
namespace {

// After a stop was asked for, clients are still sent here until readiness was missed twice.
constexpr Duration kTakesRequestsFor = std::chrono::milliseconds(2300);
// The worker beside a stopping node takes new work of other nodes this much longer.
constexpr Duration kAnnounceDelay = std::chrono::milliseconds(900);
// Left of the grace period when a stop no longer waits for what runs.
constexpr Duration kReserve = std::chrono::milliseconds(700);

}  // namespace

Duration StopSchedule::Elapsed(Instant now) const {
  return begun_at_.has_value() ? now - *begun_at_ : Duration(0);
}

bool StopSchedule::Announced(Instant now) const {
  return begun() && Elapsed(now) >= kAnnounceDelay;
}

bool StopSchedule::TakesNewRequests(Instant now) const { return Elapsed(now) < kTakesRequestsFor; }

bool StopSchedule::OutOfTime(Instant now) const {
  return begun() && Elapsed(now) >= bounds_.grace_period - kReserve;
}

}  // namespace runshelf::sidecar
