// Times of a planned stop: until when the node takes which requests, and when it ends.
#pragma once

#include <optional>

#include "runshelf/common/clock.h"
#include "source/sidecar/settings.h"
#include "source/sidecar/stop_notice.h"

namespace runshelf::sidecar {

// Free of input and output; not thread-safe.
class StopSchedule {
 public:
  // `bounds` may change while the process runs.
  explicit StopSchedule(const FleetBounds& bounds) : bounds_(bounds) {}

  // The node was told to stop.
  void Begin(Instant now) { begun_at_ = now; }
  // The process ends now: nothing is taken any more.
  void Close() { closed_ = true; }
  bool closed() const { return closed_; }
  bool begun() const { return begun_at_.has_value(); }
  // The node was told to stop, and did so no later than at `moment`.
  bool BegunBy(Instant moment) const { return begun() && *begun_at_ <= moment; }
  // Since the node was told to stop; zero before.
  Duration Elapsed(Instant now) const;

  // Other nodes are told that this one stops.
  bool Announced(Instant now) const;
  // What they are told; nullopt before.
  std::optional<StopNotice> Notice(Instant now) const;
  // New requests are taken.
  bool TakesNewRequests(Instant now) const;
  // A request that is given up at `deadline` at the latest is over before the process ends.
  bool EndsInTime(Instant deadline) const;
  // The process ends without waiting any longer.
  bool OutOfTime(Instant now) const;

 private:
  const FleetBounds& bounds_;
  std::optional<Instant> begun_at_;
  bool closed_ = false;
};

}  // namespace runshelf::sidecar
