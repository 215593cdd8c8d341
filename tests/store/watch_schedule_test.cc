// How long watches wait, and what follows when one is not answered.

#include "source/store/watch_schedule.h"

#include <CppUTest/TestHarness.h>

using runshelf::Duration;
using runshelf::store::WatchSchedule;

TEST_GROUP(WatchSchedule) {
  WatchSchedule schedule;

  // From the call until its answer is missed.
  Duration NoticedWithin() const {
    const auto times = schedule.NextTimes();
    return times.has_value() ? times->wait + times->grace : Duration::max();
  }
};

// Guards against a watch lost right after a change that is noticed only when its wait of 25 s ends.
TEST(WatchSchedule, TheFirstWatchAfterChangesIsMissedWithinASecond) {
  schedule.SetConfirming(true);
  CHECK(NoticedWithin() < std::chrono::seconds(1));
  schedule.OnNoChanges();
  schedule.OnNoChanges();
  CHECK_FALSE(schedule.NextTimes().has_value());
  schedule.Restart();
  CHECK(NoticedWithin() < std::chrono::seconds(1));
}

// Guards against short watches without end in a quiet fleet: each one is a priced call.
TEST(WatchSchedule, WithoutChangesTwoWatchesAreShort) {
  schedule.SetConfirming(true);
  int confirming = 0;
  while (schedule.NextTimes().has_value()) {
    ++confirming;
    schedule.OnAnswered();
    schedule.OnNoChanges();
  }
  CHECK_EQUAL(2, confirming);
}

// Guards against reads of the whole range whenever a slow store answers one watch late.
TEST(WatchSchedule, OnlyTheSecondMissInARowIsALoss) {
  schedule.SetConfirming(true);
  const Duration first = NoticedWithin();
  CHECK(schedule.OnUnanswered());
  CHECK(NoticedWithin() > first);
  CHECK_FALSE(schedule.OnUnanswered());
  CHECK(schedule.OnUnanswered());
  schedule.OnAnswered();
  CHECK(schedule.OnUnanswered());
}

// Guards against calls of processes that only follow others.
TEST(WatchSchedule, WhileOffNoWatchIsShort) {
  CHECK_FALSE(schedule.NextTimes().has_value());
  CHECK_FALSE(schedule.OnUnanswered());
  schedule.SetConfirming(true);
  schedule.SetConfirming(false);
  CHECK_FALSE(schedule.NextTimes().has_value());
}
