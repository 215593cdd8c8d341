#include "source/sidecar/patience_meter.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using runshelf::sidecar::PatienceMeter;
using std::chrono::milliseconds;

TEST_GROUP(PatienceMeter) { PatienceMeter meter; };

TEST(PatienceMeter, AFirstAttemptIsNotShortOfTime) {
  for (int request = 0; request < 10; ++request) CHECK_FALSE(meter.IsShort(milliseconds(1500)));
  CHECK_FALSE(meter.IsShort(milliseconds(1400)));
}

TEST(PatienceMeter, ASecondAttemptIs) {
  CHECK_FALSE(meter.IsShort(milliseconds(1500)));
  CHECK(meter.IsShort(milliseconds(900)));
}

TEST(PatienceMeter, ADeadlineThatNobodySendsAnyMoreIsForgotten) {
  meter.IsShort(milliseconds(3000));
  CHECK(meter.IsShort(milliseconds(1500)));
  for (int request = 0; request < 1500; ++request) meter.IsShort(milliseconds(1500));
  CHECK_FALSE(meter.IsShort(milliseconds(1500)));
}
