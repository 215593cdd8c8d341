#include "source/sidecar/traffic_meter.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf::sidecar;

TEST_GROUP(TrafficMeter) { TrafficMeter meter; };

TEST(TrafficMeter, CountsBytesByKindAndZone) {
  meter.Count(TrafficKind::kRequests, /*between_zones=*/true, 100);
  meter.Count(TrafficKind::kRequests, /*between_zones=*/true, 20);
  meter.Count(TrafficKind::kRequests, /*between_zones=*/false, 7);
  meter.Count(TrafficKind::kBeacons, /*between_zones=*/true, 3);
  CHECK_EQUAL(120, meter.Bytes(TrafficKind::kRequests, true));
  CHECK_EQUAL(7, meter.Bytes(TrafficKind::kRequests, false));
  CHECK_EQUAL(0, meter.Bytes(TrafficKind::kAnswers, true));
  STRCMP_EQUAL("state_changes:0,beacons:3,load_reports:0,requests:120,answers:0,large_answers:0",
               meter.BetweenZones().c_str());
}
