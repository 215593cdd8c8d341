// Counts the requests of each slot of the server beside this daemon, for balancing.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"
#include "runshelf/coordination/node.h"

namespace runshelf::daemon {

// Safe for use by several threads at once.
class LoadMeter {
 public:
  explicit LoadMeter(Instant now) : period_start_(now) {}

  void OnRequest(std::optional<SlotNumber> slot);

  // Returns the rates since the last call and starts over.
  coordination::LoadReport TakeReport(Instant now);

 private:
  std::mutex mutex_;
  Instant period_start_;
  uint64_t requests_ = 0;
  std::unordered_map<SlotNumber, uint64_t> requests_by_slot_;
};

}  // namespace runshelf::daemon
