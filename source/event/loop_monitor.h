// Measures the busy time of event loop iterations.
#pragma once

#include <functional>

#include "source/event/event_loop.h"

namespace runshelf::event {

// Calls back after each loop iteration with the time spent in its callbacks. Connections, health
// checks and timers are not served during an iteration.
class LoopMonitor {
 public:
  LoopMonitor(EventLoop& loop, std::function<void(Duration)> on_iteration);
  ~LoopMonitor();
  LoopMonitor(const LoopMonitor&) = delete;
  LoopMonitor& operator=(const LoopMonitor&) = delete;

 private:
  struct Handle;
  Handle* handle_;  // Deleted by the close callback on the loop.
};

}  // namespace runshelf::event
