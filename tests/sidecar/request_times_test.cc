#include "source/sidecar/request_times.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(RequestTimes) {
  RequestTimeLimits limits{InstantFromMicroseconds(100000000), std::chrono::milliseconds(2000),
                           std::chrono::milliseconds(400)};

  // Milliseconds from the arrival of the request to `moment`.
  int64_t After(Instant moment) const { return ToMilliseconds(moment - limits.received); }
};

TEST(RequestTimes, RefusesWithinAQuarterOfTheTargetIfTheCallerCanRetry) {
  const RequestTimes times = ComputeRequestTimes(limits);
  CHECK_EQUAL(2000, After(times.deadline));
  CHECK_EQUAL(400, After(times.answer_by));
  CHECK_EQUAL(100, After(times.refuse_by));
  CHECK_EQUAL(100, After(times.wait_for_handover_by));
}

TEST(RequestTimes, ShortDeadlineAllowsLongerWaitForHandover) {
  limits.allowed = std::chrono::milliseconds(300);
  limits.short_deadline = true;
  const RequestTimes times = ComputeRequestTimes(limits);
  CHECK_EQUAL(300, After(times.answer_by));
  CHECK_EQUAL(100, After(times.refuse_by));
  CHECK_EQUAL(120, After(times.wait_for_handover_by));
}

TEST(RequestTimes, NestedCallMayWaitUntilItsDeadline) {
  limits.nested = true;
  const RequestTimes times = ComputeRequestTimes(limits);
  CHECK_EQUAL(2000, After(times.answer_by));
  CHECK_EQUAL(2000, After(times.refuse_by));
}
