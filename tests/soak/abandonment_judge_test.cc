#include "tests/soak/abandonment_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

TEST_GROUP(AbandonmentJudge) {
  AbandonmentJudge judge;
  Instant left{std::chrono::seconds(100)};

  static std::string Id(int number) { return "a" + std::to_string(number); }
  Instant After(int milliseconds) { return left + std::chrono::milliseconds(milliseconds); }
  // Eight callers disconnect; the first `worked_on` requests are processed for another second, the
  // others are cancelled after 20 ms.
  void Leave(int worked_on, bool repeatable) {
    for (int number = 0; number < 8; ++number) {
      judge.OnLeft(Id(number), left, repeatable);
      judge.OnWorkEnded(Id(number), After(number < worked_on ? 1000 : 20), After(1000),
                        /*in_touch=*/true);
    }
  }
};

TEST(AbandonmentJudge, FiveLateRequestsAreTolerated) {
  for (int number = 0; number < 6; ++number) judge.OnLeft(Id(number), left, true);
  for (int number = 0; number < 5; ++number) judge.OnBegan(Id(number), After(700), true);
  judge.OnBegan(Id(5), After(400), true);
  judge.OnBegan(Id(5), After(700), false);
  judge.OnBegan("of a caller that stayed", After(700), true);
  CHECK(judge.violations().empty());
  judge.OnBegan(Id(5), After(700), true);
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(AbandonmentJudge, AQuarterMayStayUncancelled) {
  Leave(2, /*repeatable=*/true);
  judge.Finish();
  CHECK(judge.violations().empty());
}

TEST(AbandonmentJudge, MoreThanAQuarterUncancelledIsAViolation) {
  Leave(3, /*repeatable=*/true);
  judge.Finish();
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(AbandonmentJudge, NonIdempotentRequestsNeedNoCancellation) {
  Leave(8, /*repeatable=*/false);
  judge.Finish();
  CHECK(judge.violations().empty());
}
