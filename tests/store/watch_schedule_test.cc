// Tests the wait times of watches and the reaction to unanswered watches.

#include "source/store/watch_schedule.h"

#include <CppUTest/TestHarness.h>

using runshelf::Duration;
using runshelf::store::WatchSchedule;

TEST_GROUP(WatchSchedule) {
  WatchSchedule schedule;

  // Time from sending a watch until it counts as unanswered.
  Duration NoticedWithin() const {
    const auto times = schedule.NextTimes();
    return times.has_value() ? times->wait + times->grace : Duration::max();
  }
};

// Guards against the loss of a watch right after a change being detected only when its wait of 25 s
// ends.
TEST(WatchSchedule, TheFirstWatchAfterChangesTimesOutWithinASecond) {
  schedule.SetConfirming(true);
  CHECK(NoticedWithin() < std::chrono::seconds(1));
  schedule.OnNoChanges();
  schedule.OnNoChanges();
  CHECK_FALSE(schedule.NextTimes().has_value());
  schedule.Restart();
  CHECK(NoticedWithin() < std::chrono::seconds(1));
}

// Guards against endless short watches in an idle fleet: each watch is a billed call.
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

// Guards against a read of the whole range each time a slow store answers a single watch late.
TEST(WatchSchedule, OnlyTheSecondUnansweredWatchInARowIsALoss) {
  schedule.SetConfirming(true);
  const Duration first = NoticedWithin();
  CHECK(schedule.OnUnanswered());
  CHECK(NoticedWithin() > first);
  CHECK_FALSE(schedule.OnUnanswered());
  CHECK(schedule.OnUnanswered());
  schedule.OnAnswered();
  CHECK(schedule.OnUnanswered());
}

// Guards against additional calls by processes that only follow others.
TEST(WatchSchedule, WhileOffNoWatchIsShort) {
  CHECK_FALSE(schedule.NextTimes().has_value());
  CHECK_FALSE(schedule.OnUnanswered());
  schedule.SetConfirming(true);
  schedule.SetConfirming(false);
  CHECK_FALSE(schedule.NextTimes().has_value());
}
