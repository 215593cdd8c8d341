#include "tests/soak/contact_tracker.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

TEST_GROUP(ContactTracker) {
  ContactTracker tracker{2, std::chrono::seconds(3)};

  static Instant At(int seconds) { return Instant(std::chrono::seconds(seconds)); }
};

TEST(ContactTracker, AFaultCountsUntilTheWindowAfterItsEnd) {
  tracker.Begin(0);
  CHECK_FALSE(tracker.Undisturbed(0, At(100)));
  CHECK(tracker.Undisturbed(1, At(100)));
  tracker.End(0, At(100));
  CHECK_FALSE(tracker.Undisturbed(0, At(102)));
  CHECK(tracker.Undisturbed(0, At(104)));
}

TEST(ContactTracker, FaultsThatOverlapEndOneByOne) {
  tracker.Begin(0);
  tracker.Begin(0);
  tracker.End(0, At(100));
  CHECK_FALSE(tracker.Undisturbed(0, At(110)));
  tracker.End(0, At(110));
  CHECK(tracker.Undisturbed(0, At(114)));
}

TEST(ContactTracker, TheStoreIsTrackedByItself) {
  tracker.BeginStore();
  CHECK_FALSE(tracker.StoreUndisturbed(At(100)));
  CHECK(tracker.Undisturbed(0, At(100)));
  tracker.EndStore(At(100));
  CHECK(tracker.StoreUndisturbed(At(104)));
}

TEST(ContactTracker, AMomentaryDisturbanceAffectsAllNodesAndTheStore) {
  tracker.DisturbAll(At(100));
  CHECK_FALSE(tracker.Undisturbed(1, At(103)));
  CHECK_FALSE(tracker.StoreUndisturbed(At(103)));
  CHECK(tracker.Undisturbed(1, At(104)));
}
