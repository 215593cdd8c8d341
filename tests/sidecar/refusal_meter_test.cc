#include "source/sidecar/refusal_meter.h"

#include <CppUTest/TestHarness.h>

#include "runshelf/common/random.h"

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

constexpr uint64_t kRefusedPercent = 45;
constexpr int kAnswers = 200;

}  // namespace

TEST_GROUP(RefusalMeter) {
  RefusalMeter meter;
  SeededRandom random{5};
  int changes = 0;

  void Answer(int count, uint64_t refused_percent) {
    for (int answer = 0; answer < count; ++answer) {
      if (meter.OnAnswer(random.Below(100) < refused_percent)) ++changes;
    }
  }
};

// Guards against a worker whose refusals of nearly half of its requests nobody is told of.
TEST(RefusalMeter, AWorkerThatRefusesNearlyHalfIsFoundOutAndFoundWellAgain) {
  Answer(kAnswers, kRefusedPercent);
  CHECK(meter.refuses_share());
  CHECK(meter.percent() > 25 && meter.percent() < 65);
  Answer(kAnswers, 0);
  CHECK_FALSE(meter.refuses_share());
  CHECK_EQUAL(0, meter.percent());
  CHECK_EQUAL(2, changes);
}

// Guards against senders that avoid a worker because it became full while it stated a free slot.
TEST(RefusalMeter, ScatteredRefusalsAreNoShare) {
  Answer(10 * kAnswers, 2);
  CHECK_EQUAL(0, changes);
}

// Guards against a new worker that is avoided for the refusals of the one before it.
TEST(RefusalMeter, AnotherWorkerStartsWithoutRefusals) {
  Answer(kAnswers, 100);
  meter.Forget();
  CHECK_EQUAL(0, meter.percent());
}
