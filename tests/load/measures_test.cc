#include "tools/load/measures.h"

#include <CppUTest/TestHarness.h>

#include "tests/load/evidence_builder.h"

using namespace runshelf::load;  // NOLINT(google-build-using-namespace)
using runshelf::Duration;
using runshelf::Verdict;
using std::chrono::milliseconds;

TEST_GROUP(Measures) {
  Evidence evidence;

  AttemptRecord& AddAttempt(int64_t sent, int64_t done, bool success) {
    evidence.attempts.push_back(Attempt("c", success ? Verdict::kRan : Verdict::kNotRun));
    AttemptRecord& attempt = evidence.attempts.back();
    attempt.scheduled_at = attempt.sent_at = At(sent);
    attempt.done_at = At(done);
    if (!success) attempt.error = "no_owner";
    return attempt;
  }
};

TEST(Measures, UnavailableFromTheFirstFailureToTheNextSuccess) {
  AddAttempt(0, 10, true);
  AddAttempt(100, 110, false);
  AddAttempt(200, 210, false);
  AddAttempt(400, 420, true);
  AddAttempt(1000, 1700, true);  // Served late.
  AddAttempt(2000, 2010, false).error = "limit_exceeded";
  const Unavailability result = Measure(evidence).unavailability["feedread"];
  UNSIGNED_LONGS_EQUAL(2, result.periods);
  CHECK(result.longest == Duration(milliseconds(700)));
  CHECK(result.sum == Duration(milliseconds(700 + 320)));
}

TEST(Measures, ChurnCountsMovesWhileTheLoadRan) {
  AddAttempt(50, 150, true);
  evidence.grants = {Granted("a", {{0, 3}}, 0, 20), Granted("b", {{0, 3}}, 30, 100),
                     Granted("c", {{0, 3}}, 100, 200), Granted("d", {{9, 9}}, 100, 200),
                     Granted("a", {{0, 3}}, 200, 300)};
  evidence.lost = {{"b", At(70), false, false}};
  const Churn result = Measure(evidence).churn["feedread"];
  UNSIGNED_LONGS_EQUAL(4, result.moved_slots);
  UNSIGNED_LONGS_EQUAL(4, result.least_necessary);
}

TEST(Measures, OwnerlessFromTheLossToTheNextGrant) {
  AddAttempt(50, 500, true);
  evidence.grants = {Granted("a", {{0, 1}}, 0, 100), Granted("b", {{0, 0}}, 130, 900)};
  evidence.lost = {{"a", At(70), false, false}};
  const Ownerless result = Measure(evidence).ownerless["feedread"];
  UNSIGNED_LONGS_EQUAL(2, result.slots);
  CHECK(result.longest == Duration(milliseconds(430)));
  CHECK(result.sum == Duration(milliseconds(60 + 430)));
}

TEST(Measures, ImbalanceIsTheLargestOverTheMeanOfLiveWorkers) {
  AddAttempt(0, 10, true);
  evidence.service_of_server = {{"a", "feedread"}, {"b", "feedread"}, {"lost", "feedread"}};
  evidence.lost = {{"lost", At(0), false, false}};
  evidence.attempts.back().done_at = At(900);
  for (int index = 0; index < 30; ++index) evidence.executions.push_back(Executed("c", "a", 500));
  for (int index = 0; index < 90; ++index) evidence.executions.push_back(Executed("c", "a", 950));
  for (int index = 0; index < 10; ++index) evidence.executions.push_back(Executed("c", "b", 500));
  const Imbalance result = Measure(evidence).imbalance["feedread"];
  UNSIGNED_LONGS_EQUAL(1, result.windows);
  DOUBLES_EQUAL(1.5, result.largest, 1e-9);
}

TEST(Measures, LatencyOfTheDaemonsIsTakenBeforeTheFirstLoss) {
  evidence.lost = {{"a", At(100), false, false}};
  AddAttempt(50, 60, true);
  AddAttempt(90, 140, true);
  const Measures measures = Measure(evidence);
  UNSIGNED_LONGS_EQUAL(1, measures.through_daemons.samples);
  UNSIGNED_LONGS_EQUAL(2, measures.whole_run.samples);
}

TEST(Measures, AnswersAndLatencyByClass) {
  for (int index = 1; index <= 100; ++index) AddAttempt(0, index, true);
  AddAttempt(0, 5, false);
  const Measures measures = Measure(evidence);
  const AnswerCounts& counts = measures.answers.at({"feedread", "newsroom"});
  UNSIGNED_LONGS_EQUAL(101, counts.attempts);
  UNSIGNED_LONGS_EQUAL(100, counts.succeeded);
  UNSIGNED_LONGS_EQUAL(1, counts.failures.at("no_owner"));
  CHECK(counts.latency.p50 == Duration(milliseconds(50)));
  CHECK(counts.latency.p99 == Duration(milliseconds(99)));
}
