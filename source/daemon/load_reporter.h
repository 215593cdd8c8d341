// Reports the measured load to the node once a second.
#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include "source/daemon/coordinator.h"
#include "source/daemon/load_meter.h"

namespace runshelf::daemon {

// Safe for use by several threads at once.
class LoadReporter {
 public:
  // Both must outlive the reporter.
  LoadReporter(LoadMeter& meter, Coordinator& coordinator)
      : meter_(meter), coordinator_(coordinator) {}
  ~LoadReporter();

  LoadReporter(const LoadReporter&) = delete;
  LoadReporter& operator=(const LoadReporter&) = delete;

  void Start();
  void Stop();

 private:
  void Run();

  LoadMeter& meter_;
  Coordinator& coordinator_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace runshelf::daemon
