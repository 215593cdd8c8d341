#include "tests/soak/evacuation_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

TEST_GROUP(EvacuationJudge) {
  EvacuationJudge judge{std::chrono::seconds(5)};
  Instant evacuated{std::chrono::seconds(100)};

  void setup() override { judge.OnEvacuated("z1", evacuated); }
  void Begin(const std::string& zone, int after_ms, bool in_touch = true) {
    judge.OnBegan(zone, "a1", evacuated + std::chrono::milliseconds(after_ms), in_touch);
  }
};

TEST(EvacuationJudge, RequestsMayReachAZoneUntilTheEvacuationTimeout) {
  Begin("z1", 4900);
  Begin("z2", 9000);
  Begin("z1", 9000, /*in_touch=*/false);
  CHECK(judge.violations().empty());
  Begin("z1", 5100);
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(EvacuationJudge, AZoneThatIsReturnedGetsRequestsAndIsEvacuatedAnew) {
  judge.OnReturned("z1");
  Begin("z1", 9000);
  judge.OnEvacuated("z1", evacuated + std::chrono::seconds(10));
  Begin("z1", 14900);
  CHECK(judge.violations().empty());
}
