// Interface that supplies the key lease for the responses to a worker's heartbeats.
#pragma once

#include <optional>

#include "source/sidecar/wire_format.h"

namespace runshelf::sidecar {

class KeyLessor {
 public:
  virtual ~KeyLessor() = default;
  // Called for each heartbeat of the current worker that is newer than all earlier ones.
  virtual void OnKeyReport(const WorkerHeartbeat& heartbeat) = 0;
  // Whether the lease is about to change: the worker's identity is being verified, or an update of
  // the shard map is about to arrive or to be written. Delaying the response briefly then spares
  // the worker a whole heartbeat interval without its keys.
  virtual bool LeaseIsPending() const = 0;
  // The lease to send in the response to the newest heartbeat, which is written now; nullopt if the
  // response is to contain none.
  virtual std::optional<KeyLease> LeaseFor(const WorkerHeartbeat& heartbeat) = 0;
};

}  // namespace runshelf::sidecar
