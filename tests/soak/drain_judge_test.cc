#include "tests/soak/drain_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

TEST_GROUP(DrainJudge) {
  DrainJudge judge{std::chrono::milliseconds(2000)};
  Instant acknowledged{std::chrono::seconds(100)};

  void setup() override { judge.OnLeaveAcknowledged("w1", acknowledged); }
  void Begin(const std::string& worker, int after_ms, bool in_touch = true) {
    judge.OnBegan(worker, "a1", acknowledged + std::chrono::milliseconds(after_ms), in_touch);
  }
};

TEST(DrainJudge, RequestsMayReachADeregisteringWorkerUntilTheDrainTimeout) {
  Begin("w1", 1900);
  Begin("w2", 5000);
  Begin("w1", 5000, /*in_touch=*/false);
  CHECK(judge.violations().empty());
  Begin("w1", 2100);
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(DrainJudge, TheFirstAcknowledgementStartsTheDrainTimeout) {
  judge.OnLeaveAcknowledged("w1", acknowledged + std::chrono::seconds(1));
  Begin("w1", 2500);
  CHECK_EQUAL(1, judge.violations().size());
}
