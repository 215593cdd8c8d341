// Timing of a planned stop: how long the node accepts which requests, and when the process ends.
#pragma once

#include <optional>

#include "runshelf/common/clock.h"
#include "source/sidecar/settings.h"
#include "source/sidecar/stop_notice.h"

namespace runshelf::sidecar {

// Performs no I/O; not thread-safe.
class StopSchedule {
 public:
  // `bounds` may change while the process runs.
  explicit StopSchedule(const FleetBounds& bounds) : bounds_(bounds) {}

  // The node was asked to stop.
  void Begin(Instant now) { begun_at_ = now; }
  // The process is about to end: no requests are accepted from now on.
  void Close() { closed_ = true; }
  bool closed() const { return closed_; }
  bool begun() const { return begun_at_.has_value(); }
  // Whether the node was asked to stop at or before `moment`.
  bool BegunBy(Instant moment) const { return begun() && *begun_at_ <= moment; }
  // Time since the node was asked to stop; zero before that.
  Duration Elapsed(Instant now) const;

  // Whether other nodes are notified of the stop.
  bool Announced(Instant now) const;
  // The notice sent to other nodes; nullopt while the stop is not announced.
  std::optional<StopNotice> Notice(Instant now) const;
  // Whether new requests are accepted.
  bool TakesNewRequests(Instant now) const;
  // Time from a stop request within which requests must complete. Any node may be asked to stop at
  // any time, so no answer is certain to find its reader after a longer time.
  Duration CompletionTime() const;
  // By when requests must complete; Instant::max() while no stop was requested.
  Instant CompleteBy() const;
  // Whether a request that times out at `deadline` completes before the process ends.
  bool EndsInTime(Instant deadline) const;
  // Whether the process must end without waiting any longer.
  bool OutOfTime(Instant now) const;

 private:
  const FleetBounds& bounds_;
  std::optional<Instant> begun_at_;
  bool closed_ = false;
};

}  // namespace runshelf::sidecar
