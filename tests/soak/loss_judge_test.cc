#include "tests/soak/loss_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

namespace {

constexpr Duration Seconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1'000'000));
}

}  // namespace

// Node 1 receives SIGTERM at `stop`.
TEST_GROUP(LossJudge) {
  LossJudge judge{LossBounds{}};
  Instant stop{std::chrono::seconds(100)};

  void setup() override { judge.OnStopAsked(1, stop); }

  // An attempt sent and closed without response at these offsets in seconds from the SIGTERM, while
  // a worker was processing it.
  FinishedAttempt Dropped(double sent, double ended) {
    FinishedAttempt attempt;
    attempt.id = "a1";
    attempt.node = 1;
    attempt.sent_at = stop + Seconds(sent);
    attempt.ended_at = stop + Seconds(ended);
    attempt.time_up = attempt.sent_at + Seconds(9);
    attempt.end = FinishedAttempt::End::kClosed;
    attempt.work = {{attempt.sent_at + Seconds(0.01), std::nullopt, WorkEnd::kAnswered}};
    return attempt;
  }
  void ExpectLost(const FinishedAttempt& attempt, bool lost) {
    const size_t before = judge.violations().size();
    judge.OnFinished(attempt);
    CHECK_EQUAL(before + (lost ? 1 : 0), judge.violations().size());
  }
};

TEST(LossJudge, AForwardedRequestWithoutAResponseIsLost) {
  ExpectLost(Dropped(4, 5.3), true);
  ExpectLost(Dropped(-1, 2), true);
}

TEST(LossJudge, ACompleteResponseIsNoLoss) {
  FinishedAttempt attempt = Dropped(4, 4.2);
  attempt.end = FinishedAttempt::End::kAnswered;
  attempt.by_worker = true;
  attempt.work[0].ended = attempt.ended_at;
  ExpectLost(attempt, false);
}

TEST(LossJudge, ANodeResponseWhileTheWorkerIsBusyIsALoss) {
  FinishedAttempt attempt = Dropped(4, 4.2);
  attempt.end = FinishedAttempt::End::kAnswered;
  ExpectLost(attempt, true);
  attempt.work[0].ended = attempt.ended_at;
  attempt.work[0].end = WorkEnd::kCancelled;
  ExpectLost(attempt, true);
  attempt.work[0].end = WorkEnd::kAnswered;
  ExpectLost(attempt, false);
  attempt.work.clear();
  ExpectLost(attempt, false);
}

TEST(LossJudge, ARequestThatReachedNoWorkerIsLostOnceTheSlackIsOver) {
  FinishedAttempt attempt = Dropped(4, 4.3);
  attempt.work.clear();
  ExpectLost(attempt, true);
  attempt.ended_at = attempt.sent_at + Seconds(0.15);
  ExpectLost(attempt, false);
}

TEST(LossJudge, ARequestThatTheNodeNeverReadIsNotLost) {
  FinishedAttempt attempt = Dropped(4, 5.3);
  attempt.end = FinishedAttempt::End::kReset;
  ExpectLost(attempt, true);  // It had reached a worker.
  attempt.work.clear();
  ExpectLost(attempt, false);
}

TEST(LossJudge, OnlyAStopOfTheNodeThatTookTheRequestCounts) {
  FinishedAttempt attempt = Dropped(4, 5.3);
  attempt.node = 2;
  ExpectLost(attempt, false);
  ExpectLost(Dropped(6.8, 7.5), false);
  ExpectLost(Dropped(-3, -1), false);
}

TEST(LossJudge, FaultsAndDeadlinesExcuseALoss) {
  FinishedAttempt attempt = Dropped(4, 5.3);
  attempt.disturbed = true;
  ExpectLost(attempt, false);
  attempt.disturbed = false;
  attempt.time_up = attempt.ended_at;
  ExpectLost(attempt, false);
}

TEST(LossJudge, AWorkerThatAbortsExcusesALoss) {
  FinishedAttempt attempt = Dropped(4, 4.4);
  attempt.work[0].ended = attempt.ended_at;
  attempt.work[0].end = WorkEnd::kBrokenOff;
  ExpectLost(attempt, false);
}

TEST(LossJudge, LongWorkOnAnEarlyRequestIsExcused) {
  ExpectLost(Dropped(2.9, 5.3), false);
  ExpectLost(Dropped(2.9, 4.9), true);
  ExpectLost(Dropped(3.1, 5.3), true);
  FinishedAttempt ended_early = Dropped(2, 5.3);
  ended_early.work[0].ended = stop + Seconds(4);
  ExpectLost(ended_early, true);
}

TEST(LossJudge, ARequestDroppedDuringAReloadIsLost) {
  judge.OnReloadAsked(2, stop);
  FinishedAttempt attempt = Dropped(1, 2.5);
  attempt.node = 2;
  ExpectLost(attempt, true);
  attempt.sent_at = stop + Seconds(2.2);
  ExpectLost(attempt, false);
}

TEST(LossJudge, FewForwardedRequestsMayBeDroppedOutsideOfStops) {
  FinishedAttempt attempt = Dropped(20, 20.5);
  attempt.kept_connection = true;
  for (int count = 0; count < 3; ++count) ExpectLost(attempt, false);
  ExpectLost(attempt, true);
}
