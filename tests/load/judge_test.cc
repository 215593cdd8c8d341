// Each violation is put into evidence that is otherwise clean, and must be found.

#include "tools/load/judge.h"

#include <CppUTest/TestHarness.h>

#include "tests/load/evidence_builder.h"

using namespace runshelf::load;  // NOLINT(google-build-using-namespace)
using runshelf::Verdict;

TEST_GROUP(Judge) {
  Evidence evidence;

  // Whether the findings are `count` of this violation and nothing else.
  void Expect(Violation violation, size_t count) {
    SortByTime(evidence);
    const std::vector<Finding> findings = Judge(evidence);
    UNSIGNED_LONGS_EQUAL(count, findings.size());
    for (const Finding& finding : findings) CHECK(finding.violation == violation);
  }

  void ExpectClean() { Expect(Violation::kWrongAnswer, 0); }

  void AddRepeatableCall() {
    evidence.attempts.push_back(Attempt("c", Verdict::kRan));
    evidence.attempts.back().repeatable = true;
  }
};

TEST(Judge, HonestRunIsClean) {
  evidence.attempts = {Attempt("ran", Verdict::kRan, "1"),
                       Attempt("refused", Verdict::kNotRun, "2"),
                       Attempt("lost", Verdict::kMayHaveRun, "3"), Attempt("gone", std::nullopt)};
  evidence.executions = {Executed("ran", "a", 10, "1"), Executed("lost", "a", 20, "3")};
  ExpectClean();
}

TEST(Judge, MoveWithRisingTokensIsClean) {
  AddRepeatableCall();
  // Within one server's tenure the tokens of requests may arrive out of order.
  evidence.executions = {ExecutedUnder({1, 1, 5}, "a", 10), ExecutedUnder({1, 1, 4}, "a", 11),
                         ExecutedUnder({1, 1, 6}, "b", 20), ExecutedUnder({1, 2, 1}, "a", 30)};
  ExpectClean();
}

TEST(Judge, ReturningOwnerIsFound) {
  AddRepeatableCall();
  evidence.executions = {ExecutedUnder({1, 1, 5}, "a", 10), ExecutedUnder({1, 1, 6}, "b", 20),
                         ExecutedUnder({1, 1, 5}, "a", 30)};
  Expect(Violation::kDoubleOwner, 1);
}

TEST(Judge, TwoServersUnderOneTokenAreFound) {
  AddRepeatableCall();
  evidence.executions = {ExecutedUnder({1, 1, 5}, "a", 10), ExecutedUnder({1, 1, 5}, "b", 10)};
  Expect(Violation::kDoubleOwner, 1);
}

TEST(Judge, LaterReturnIsFoundAfterHigherTokensOfItsOwn) {
  AddRepeatableCall();
  evidence.executions = {ExecutedUnder({1, 1, 5}, "a", 10), ExecutedUnder({1, 1, 8}, "b", 20),
                         ExecutedUnder({1, 1, 9}, "a", 30), ExecutedUnder({1, 1, 8}, "b", 40)};
  Expect(Violation::kDoubleOwner, 1);
}

TEST(Judge, OverlappingGrantsAreFound) {
  evidence.grants = {Granted("a", {{0, 3}}, 10, 100), Granted("b", {{3, 4}}, 50, 200)};
  Expect(Violation::kOverlappingGrants, 1);
}

TEST(Judge, GrantsAfterExpiryOrReleaseAreClean) {
  evidence.grants = {Granted("a", {{0, 3}}, 10, 100), Granted("a", {{0, 2}}, 40, 130),
                     Granted("b", {{3, 3}}, 41, 200), Granted("b", {{0, 3}}, 130, 300)};
  ExpectClean();
}

TEST(Judge, GrantsEndWithTheirProcess) {
  evidence.grants = {Granted("a", {{0, 3}}, 10, 100), Granted("b", {{0, 3}}, 50, 200)};
  evidence.ended = {{"a", At(50)}};
  ExpectClean();
  evidence.ended = {{"a", At(51)}};
  Expect(Violation::kOverlappingGrants, 4);
  evidence.ended = {{"a", At(9)}, {"b", At(10)}};  // An earlier process of that name; another.
  Expect(Violation::kOverlappingGrants, 4);
}

TEST(Judge, LongTenureIsNotHiddenByAShorterOneBetween) {
  evidence.grants = {Granted("a", {{0, 0}}, 10, 500), Granted("b", {{0, 0}}, 20, 30),
                     Granted("c", {{0, 0}}, 100, 110)};
  Expect(Violation::kOverlappingGrants, 2);
}

TEST(Judge, ExecutedAfterNotRunIsFound) {
  evidence.attempts = {Attempt("c", Verdict::kNotRun, "1")};
  evidence.executions = {Executed("c", "a", 10, "another id")};
  Expect(Violation::kFalseNotRun, 1);
}

TEST(Judge, NotRunOfOneAttemptIsJudgedByItsRequestId) {
  evidence.attempts = {Attempt("c", Verdict::kMayHaveRun, "1"),
                       Attempt("c", Verdict::kNotRun, "2")};
  evidence.executions = {Executed("c", "a", 10, "1")};
  ExpectClean();
  evidence.executions = {Executed("c", "a", 10, "2")};
  Expect(Violation::kFalseNotRun, 1);
}

TEST(Judge, RanWithoutExecutionIsFoundUnlessTheRecordIsLost) {
  evidence.attempts = {Attempt("c", Verdict::kRan)};
  Expect(Violation::kFalseRan, 1);
  evidence.lost = {{"a", At(5), false, true}};
  ExpectClean();
}

TEST(Judge, SecondExecutionIsFoundUnlessRepeatable) {
  evidence.attempts = {Attempt("c", Verdict::kRan, "1")};
  evidence.executions = {Executed("c", "a", 10, "1"), Executed("c", "b", 20, "2")};
  Expect(Violation::kRepeatedRun, 1);
  evidence.attempts[0].repeatable = true;
  ExpectClean();
}

TEST(Judge, WrongAnswerIsFound) {
  evidence.attempts = {Attempt("c", Verdict::kRan)};
  evidence.attempts[0].wrong_answer = "truncated";
  evidence.executions = {Executed("c", "a", 10)};
  Expect(Violation::kWrongAnswer, 1);
}

TEST(Judge, ExecutionWithoutACallerIsFound) {
  evidence.executions = {Executed("c", "a", 10)};
  Expect(Violation::kUnknownExecution, 1);
}

TEST(Judge, CutConnectionIsFoundUnlessAMachineWasLost) {
  evidence.attempts = {Attempt("c", std::nullopt), Attempt("d", Verdict::kMayHaveRun)};
  evidence.attempts[0].error = kErrorConnectionLost;
  evidence.attempts[1].error = "connection_lost";
  evidence.lost = {{"a", At(5), true, false}};
  Expect(Violation::kCutRequest, 2);
  evidence.lost[0].planned = false;
  ExpectClean();
}
