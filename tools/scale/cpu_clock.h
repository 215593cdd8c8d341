// Processor time of the calling thread.
#pragma once

#include <ctime>

namespace runshelf::scale {

// Seconds of processor time that this thread has used.
inline double ThreadCpuSeconds() {
  constexpr double kNanosecondsPerSecond = 1e9;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

// Seconds that one measurement adds to what it measures: half a pair of clock readings.
double CpuClockOverhead();

// Runs `work` and adds its processor time in seconds, less the clock's own cost, to `total`.
template <typename Work>
auto MeasureCpu(double& total, Work work) {
  static const double kOverhead = CpuClockOverhead();
  struct Timer {
    explicit Timer(double& sum) : total(sum), began(ThreadCpuSeconds()) {}
    ~Timer() { total += ThreadCpuSeconds() - began - kOverhead; }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    double& total;
    double began;
  };
  const Timer timer(total);
  return work();
}

}  // namespace runshelf::scale
