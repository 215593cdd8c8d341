#include "tests/soak/fatal_request_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;
using std::chrono::seconds;

namespace {

const Instant kStart = Instant{} + seconds(100);

}  // namespace

TEST_GROUP(FatalRequestJudge) {
  FatalRequestJudge judge;

  void RunAndCrash(Duration at, bool in_touch = true) {
    judge.OnBegan({"/read/fatal", "w1", 1, kStart + at, in_touch});
    judge.OnEnded("/read/fatal", kStart + at);
  }
};

TEST(FatalRequestJudge, ThreeRunsAreAllowedAfterThePropagationTime) {
  for (int second = 0; second < 3; ++second) RunAndCrash(seconds(second));
  // Within the propagation time.
  RunAndCrash(seconds(4));
  for (int second = 6; second < 9; ++second) RunAndCrash(seconds(second));
  CHECK_EQUAL(0U, judge.violations().size());
  RunAndCrash(seconds(20));
  CHECK_EQUAL(1U, judge.violations().size());
  STRCMP_CONTAINS("runs: w1 at 0 ms by n1, w1 at 1000 ms by n1,", judge.violations()[0].c_str());
  CHECK_EQUAL(8, judge.ends());
}

TEST(FatalRequestJudge, RunsThroughDisturbedNodesDoNotCount) {
  for (int second = 0; second < 3; ++second) RunAndCrash(seconds(second));
  for (int second = 6; second < 20; ++second) RunAndCrash(seconds(second), /*in_touch=*/false);
  CHECK_EQUAL(0U, judge.violations().size());
}

TEST(FatalRequestJudge, CrashesAreCountedPerRequest) {
  for (int second = 0; second < 3; ++second) RunAndCrash(seconds(second));
  for (int second = 6; second < 12; ++second) {
    judge.OnBegan({"/read/other", "w1", 1, kStart + seconds(second), /*in_touch=*/true});
  }
  CHECK_EQUAL(0U, judge.violations().size());
}
