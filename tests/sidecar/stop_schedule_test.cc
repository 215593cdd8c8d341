#include "source/sidecar/stop_schedule.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(StopSchedule) {
  FleetBounds bounds;
  StopSchedule schedule{bounds};
  Instant begun = InstantFromMicroseconds(100000000);

  Instant After(int64_t milliseconds) const {
    return begun + std::chrono::milliseconds(milliseconds);
  }
};

TEST(StopSchedule, AcceptsEverythingBeforeStop) {
  CHECK_FALSE(schedule.begun());
  CHECK(schedule.TakesNewRequests(begun));
  CHECK(schedule.EndsInTime(After(3600000)));
  CHECK(schedule.CompleteBy() == Instant::max());
  CHECK_FALSE(schedule.OutOfTime(begun));
  CHECK_FALSE(schedule.Notice(begun).has_value());
}

TEST(StopSchedule, NoticeStatesHowLongRequestsAreAccepted) {
  schedule.Begin(begun);
  CHECK_FALSE(schedule.Notice(After(800)).has_value());
  const StopNotice first{std::chrono::milliseconds(1300), std::chrono::milliseconds(5000)};
  CHECK(schedule.Notice(After(1000)) == first);
  CHECK(schedule.TakesNewRequests(After(2200)));
  CHECK_FALSE(schedule.TakesNewRequests(After(2300)));
  const StopNotice refusing{Duration(0), std::chrono::milliseconds(2000)};
  CHECK(schedule.Notice(After(4000)) == refusing);
  CHECK(schedule.Notice(After(9000)) == StopNotice{});
}

// Every accepted request completes, at its deadline at the latest, before the stop runs out of
// time.
TEST(StopSchedule, RequestThatEndsInTimeCompletesBeforeProcessEnds) {
  schedule.Begin(begun);
  CHECK(schedule.CompleteBy() > After(5000));
  CHECK(schedule.CompleteBy() < After(5300));
  CHECK(schedule.EndsInTime(schedule.CompleteBy()));
  CHECK(schedule.EndsInTime(After(5000)));
  CHECK_FALSE(schedule.EndsInTime(After(5300)));
  CHECK_FALSE(schedule.OutOfTime(After(5200)));
  CHECK(schedule.OutOfTime(After(5300)));
  bounds.grace_period = std::chrono::seconds(10);
  CHECK(schedule.EndsInTime(After(9000)));
  CHECK_FALSE(schedule.OutOfTime(After(9000)));
}

TEST(StopSchedule, AcceptsNothingOnceClosed) {
  schedule.Begin(begun);
  schedule.Close();
  CHECK_FALSE(schedule.TakesNewRequests(After(1000)));
  CHECK_FALSE(schedule.EndsInTime(After(1000)));
  CHECK(schedule.Notice(After(1000))->takes_requests == Duration(0));
}
