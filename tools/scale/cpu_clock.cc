#include "tools/scale/cpu_clock.h"

#include <algorithm>

namespace runshelf::scale {

double CpuClockOverhead() {
  constexpr int kReadings = 2000;
  double smallest = 1;
  for (int i = 0; i < kReadings; ++i) {
    const double began = ThreadCpuSeconds();
    smallest = std::min(smallest, ThreadCpuSeconds() - began);
  }
  return smallest;
}

}  // namespace runshelf::scale
