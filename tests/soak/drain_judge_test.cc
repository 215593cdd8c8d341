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

// Guards against requests to a worker that stated in an answer that it leaves, which the machine of
// the request had passed on.
TEST(DrainJudge, AMachineIsBoundByTheAnswersThatItPassedOn) {
  judge.OnLeavingPassedOn("w2", 1, acknowledged);
  const auto begin = [this](size_t machine, int after_ms, Instant disturbed_at = {}) {
    const Instant sent_at = acknowledged + std::chrono::milliseconds(after_ms);
    judge.OnBeganAfterStatement({"w2", "a1", machine, sent_at, disturbed_at});
  };
  begin(1, 1900);
  begin(2, 5000);
  begin(1, 5000, acknowledged + std::chrono::milliseconds(1));
  CHECK(judge.violations().empty());
  begin(1, 2100);
  CHECK_EQUAL(1, judge.violations().size());
}
