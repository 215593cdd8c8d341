#include "source/sidecar/freshness_tracker.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(FreshnessTracker) {
  FreshnessTracker tracker;
  Instant now = Instant{} + std::chrono::seconds(100);
};

TEST(FreshnessTracker, ACopyThatIncludesWhatIsAnnouncedIsNotBehind) {
  tracker.OnKnown(now, 5);
  tracker.OnAnnounced(now, 5);
  CHECK(tracker.At(now + std::chrono::seconds(9)).behind_for == Duration(0));
}

// Guards against resetting the time behind with every announcement.
TEST(FreshnessTracker, TheTimeBehindCountsFromTheFirstChangeThatIsMissing) {
  tracker.OnKnown(now, 5);
  tracker.OnAnnounced(now, 6);
  tracker.OnAnnounced(now + std::chrono::seconds(1), 8);
  CHECK_FALSE(tracker.OnKnown(now + std::chrono::seconds(2), 6).has_value());
  const Freshness behind = tracker.At(now + std::chrono::seconds(3));
  CHECK(behind.behind_for == std::chrono::seconds(3));
  CHECK_EQUAL(6, behind.known);
  CHECK_EQUAL(8, behind.announced);
  CHECK(tracker.OnKnown(now + std::chrono::seconds(4), 8) == std::chrono::seconds(4));
  CHECK(tracker.At(now + std::chrono::seconds(5)).behind_for == Duration(0));
}

// Guards against a node that considers itself behind forever after one wrong announcement.
TEST(FreshnessTracker, AnAnnouncementThatIsNotRepeatedExpires) {
  tracker.OnKnown(now, 5);
  tracker.OnAnnounced(now, 1000);
  tracker.OnAnnounced(now + std::chrono::seconds(4), 5);
  CHECK(tracker.At(now + std::chrono::seconds(4)).behind_for == std::chrono::seconds(4));
  tracker.OnAnnounced(now + std::chrono::seconds(6), 5);
  CHECK(tracker.At(now + std::chrono::seconds(6)).behind_for == Duration(0));
}

// Guards against a node that considers itself current because another leader is behind.
TEST(FreshnessTracker, AnOlderAnnouncementDoesNotReplaceANewerOne) {
  tracker.OnKnown(now, 5);
  tracker.OnAnnounced(now, 8);
  tracker.OnAnnounced(now, 4);
  CHECK(tracker.At(now + std::chrono::seconds(1)).behind_for == std::chrono::seconds(1));
}
