// Measures for how long the event loop is at work between two waits.
#pragma once

#include <functional>

#include "source/event/event_loop.h"

namespace runshelf::event {

// Calls back after each turn of the loop with the time that its callbacks took. While a turn lasts
// nothing else happens in the process: connections, health checks and timers wait.
class LoopMonitor {
 public:
  LoopMonitor(EventLoop& loop, std::function<void(Duration)> on_iteration);
  ~LoopMonitor();
  LoopMonitor(const LoopMonitor&) = delete;
  LoopMonitor& operator=(const LoopMonitor&) = delete;

 private:
  struct Handle;
  Handle* handle_;  // Freed by the loop after it was closed.
};

}  // namespace runshelf::event
