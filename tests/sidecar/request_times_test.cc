#include "source/sidecar/request_times.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(RequestTimes) {
  RequestPatience patience{InstantFromMicroseconds(100000000), std::chrono::milliseconds(2000),
                           std::chrono::milliseconds(400)};

  int64_t After(Instant moment) const { return ToMilliseconds(moment - patience.received); }
};

TEST(RequestTimes, ARequestThatCanComeBackIsRefusedWithinAQuarterOfItsTarget) {
  const RequestTimes times = TimesOf(patience);
  CHECK_EQUAL(2000, After(times.deadline));
  CHECK_EQUAL(400, After(times.answer_by));
  CHECK_EQUAL(100, After(times.refuse_by));
  CHECK_EQUAL(100, After(times.await_move_by));
}

TEST(RequestTimes, OneThatIsShortOfTimeWaitsLongerForKeysThatMove) {
  patience.allowed = std::chrono::milliseconds(300);
  patience.short_of_time = true;
  const RequestTimes times = TimesOf(patience);
  CHECK_EQUAL(300, After(times.answer_by));
  CHECK_EQUAL(100, After(times.refuse_by));
  CHECK_EQUAL(120, After(times.await_move_by));
}

TEST(RequestTimes, ANestedCallHasUntilItsDeadline) {
  patience.nested = true;
  const RequestTimes times = TimesOf(patience);
  CHECK_EQUAL(2000, After(times.answer_by));
  CHECK_EQUAL(2000, After(times.refuse_by));
}
