#include "source/sidecar/standstill_detector.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Duration kThreshold = std::chrono::milliseconds(500);

}  // namespace

TEST_GROUP(StandstillDetector) { StandstillDetector detector{kStart, kThreshold}; };

TEST(StandstillDetector, ShortWaitsAreNoStandstill) {
  Instant now = kStart;
  for (int iteration = 0; iteration < 10; ++iteration) {
    now += std::chrono::milliseconds(400);
    CHECK(detector.TakeStandstill(now) == Duration(0));
    detector.OnLoopIteration(now);
  }
}

// Guards against requests of the iteration in which the process runs again: they are handled before
// the loop begins its next iteration.
TEST(StandstillDetector, AStandstillIsReportedWithinTheIterationThatItDelayed) {
  const Duration standstill = std::chrono::milliseconds(1700);
  CHECK(detector.TakeStandstill(kStart + standstill) == standstill);
  CHECK(detector.TakeStandstill(kStart + standstill) == Duration(0));
  detector.OnLoopIteration(kStart + standstill);
  CHECK(detector.TakeStandstill(kStart + standstill + kThreshold) == kThreshold);
}
