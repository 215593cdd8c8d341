// Who decides what the answers to a worker's heartbeats say of keys.
#pragma once

#include <optional>

#include "source/sidecar/wire_format.h"

namespace runshelf::sidecar {

class KeyLessor {
 public:
  virtual ~KeyLessor() = default;
  // A heartbeat of the current worker, newer than all before.
  virtual void OnKeyReport(const WorkerHeartbeat& heartbeat) = 0;
  // The node is about to learn, or to write to the map, what the worker is to hold, or who is at
  // its address: an answer that waits for it a little saves the worker a whole heartbeat without
  // its keys.
  virtual bool LeaseIsPending() const = 0;
  // What the answer to the newest heartbeat, which is written now, says of keys; nullopt: nothing.
  virtual std::optional<KeyLease> LeaseFor(const WorkerHeartbeat& heartbeat) = 0;
};

}  // namespace runshelf::sidecar
