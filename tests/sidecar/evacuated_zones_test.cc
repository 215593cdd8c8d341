#include "source/sidecar/evacuated_zones.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(EvacuatedZones) {
  Instant now = InstantFromMicroseconds(100000000);
  EvacuatedZones zones;
};

TEST(EvacuatedZones, AZoneIsEvacuatedWhileItsItemExists) {
  CHECK(zones.ZonesAt(now).empty());
  zones.OnWritten("a");
  zones.OnWritten("b");
  UNSIGNED_LONGS_EQUAL(2, zones.ZonesAt(now + std::chrono::hours(1)).size());
  zones.OnRemoved(now, "a");
  UNSIGNED_LONGS_EQUAL(1, zones.ZonesAt(now).size());
  CHECK(zones.ZonesAt(now).contains("b"));
}

// Guards against work that returns to an evacuated zone because the copy from which the store was
// restored lacks the operators' item, which they are about to write again.
TEST(EvacuatedZones, AnItemThatARestoredStoreLacksIsInForceUntilItIsWrittenAgain) {
  zones.OnWritten("a");
  zones.OnStoreRestored(now);
  zones.OnRemoved(now, "a");
  CHECK(zones.ZonesAt(now + std::chrono::seconds(4)).contains("a"));
  zones.OnWritten("a");
  CHECK(zones.ZonesAt(now + std::chrono::hours(1)).contains("a"));
}

TEST(EvacuatedZones, AnItemThatIsNotWrittenAgainEndsSomeSecondsAfterTheRestore) {
  zones.OnWritten("a");
  zones.OnStoreRestored(now);
  zones.OnRemoved(now, "a");
  CHECK(zones.ZonesAt(now + std::chrono::seconds(6)).empty());
}
