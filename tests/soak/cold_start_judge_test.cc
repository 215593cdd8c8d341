#include "tests/soak/cold_start_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr int kMost = 10;

}  // namespace

TEST_GROUP(ColdStartJudge) {
  ColdStartJudge judge{kMost};

  void setup() override { judge.OnCold("w1", kStart + std::chrono::seconds(3)); }
  // Requests that arrive at one moment, each sent `way_ms` before.
  void Begin(int count, int after_ms, int way_ms = 1) {
    const Instant at = kStart + std::chrono::milliseconds(after_ms);
    for (int request = 0; request < count; ++request) {
      judge.OnBegan("w1", at - std::chrono::milliseconds(way_ms), at);
    }
  }
};

TEST(ColdStartJudge, AnySecondOfAColdWorkerIsJudged) {
  Begin(kMost, 500);
  Begin(kMost, 1500);
  CHECK(judge.violations().empty());
  Begin(1, 2400);
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(ColdStartJudge, WarmWorkersAndRequestsThatWereHeldUpDoNotCount) {
  Begin(kMost * 2, 3000);
  Begin(kMost * 2, 500, /*way_ms=*/1001);
  CHECK(judge.violations().empty());
}
