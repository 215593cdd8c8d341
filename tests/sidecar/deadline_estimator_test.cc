#include "source/sidecar/deadline_estimator.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using runshelf::sidecar::DeadlineEstimator;
using std::chrono::milliseconds;

TEST_GROUP(PatienceMeter) { DeadlineEstimator estimator; };

TEST(PatienceMeter, FirstAttemptDoesNotHaveShortDeadline) {
  for (int request = 0; request < 10; ++request) CHECK_FALSE(estimator.IsShort(milliseconds(1500)));
  CHECK_FALSE(estimator.IsShort(milliseconds(1400)));
}

TEST(PatienceMeter, RetryHasShortDeadline) {
  CHECK_FALSE(estimator.IsShort(milliseconds(1500)));
  CHECK(estimator.IsShort(milliseconds(900)));
}

TEST(PatienceMeter, EstimateDecaysToShorterDeadlines) {
  estimator.IsShort(milliseconds(3000));
  CHECK(estimator.IsShort(milliseconds(1500)));
  for (int request = 0; request < 1500; ++request) estimator.IsShort(milliseconds(1500));
  CHECK_FALSE(estimator.IsShort(milliseconds(1500)));
}
