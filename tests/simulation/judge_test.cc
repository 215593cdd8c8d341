// The request judge on histories written by hand.

#include <CppUTest/TestHarness.h>

#include "tools/sim/request_judge.h"

using runshelf::Verdict;
using runshelf::sim::RequestJudge;
using runshelf::sim::ToldRecord;
using runshelf::sim::TrueTime;
using runshelf::sim::ViolationKind;
using runshelf::sim::ViolationLog;

TEST_GROUP(RequestJudge) {
  ViolationLog violations;
  RequestJudge judge{violations};

  TrueTime At(int64_t milliseconds) { return TrueTime(std::chrono::milliseconds(milliseconds)); }

  void Begin(uint64_t operation, bool repeatable, bool keyed) {
    judge.OnOperation(operation, repeatable, keyed);
    judge.OnSent(operation);
  }

  void Execute(uint64_t operation, uint32_t sending) {
    judge.OnExecution({At(10), 1, operation, sending, std::nullopt, std::nullopt});
  }

  void Tell(uint64_t operation, uint32_t sending, Verdict verdict, uint64_t answer_to = 0) {
    ToldRecord told{At(20), operation, sending, verdict, std::nullopt, true};
    if (answer_to != 0) told.answered_operation = answer_to;
    judge.OnTold(told);
  }

  uint64_t CountAtEnd(ViolationKind kind) {
    judge.JudgeEnd(At(100));
    return violations.count(kind);
  }
};

TEST(RequestJudge, AnsweredRequestIsNoViolation) {
  Begin(1, false, false);
  Execute(1, 1);
  Tell(1, 1, Verdict::kRan, 1);
  judge.JudgeEnd(At(100));
  UNSIGNED_LONGS_EQUAL(0, violations.total());
}

TEST(RequestJudge, NotRunAfterAnExecutionIsFalse) {
  Begin(1, false, false);
  Execute(1, 1);
  Tell(1, 1, Verdict::kNotRun);
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd(ViolationKind::kFalseNotRun));
}

TEST(RequestJudge, NotRunBeforeAnExecutionIsFalse) {
  Begin(1, false, false);
  Tell(1, 1, Verdict::kNotRun);
  Execute(1, 1);
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd(ViolationKind::kFalseNotRun));
}

TEST(RequestJudge, NotRunOfARepeatSpeaksForEarlierSendingsUnderTheSameKey) {
  Begin(1, false, true);
  Execute(1, 1);
  judge.OnSent(1);
  Tell(1, 2, Verdict::kNotRun);
  Begin(2, true, false);
  Execute(2, 1);
  judge.OnSent(2);
  Tell(2, 2, Verdict::kNotRun);  // Without a key it speaks for itself only.
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd(ViolationKind::kFalseNotRun));
}

TEST(RequestJudge, SecondExecutionIsARepeatedRunUnlessRepeatable) {
  Begin(1, false, true);
  Execute(1, 1);
  Execute(1, 2);
  Begin(2, true, false);
  Execute(2, 1);
  Execute(2, 2);
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd(ViolationKind::kRepeatedRun));
}

TEST(RequestJudge, AnswerToAnotherRequestIsWrong) {
  Begin(1, true, false);
  Execute(1, 1);
  Tell(1, 1, Verdict::kRan, 2);
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd(ViolationKind::kWrongAnswer));
}

TEST(RequestJudge, RanWithoutAnExecutionIsWrong) {
  Begin(1, true, false);
  Tell(1, 1, Verdict::kRan, 1);
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd(ViolationKind::kWrongAnswer));
}

TEST(RequestJudge, NewWorkMayReachALeavingServerForThreeSeconds) {
  judge.OnLeaveNotice(At(1000), 7);
  judge.OnArrival(At(4000), 7, 1);
  judge.OnArrival(At(9000), 8, 1);
  UNSIGNED_LONGS_EQUAL(0, violations.total());
  judge.OnArrival(At(4001), 7, 1);
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd(ViolationKind::kWorkAfterLeave));
}

TEST(RequestJudge, RequestsInProgressAtAPlannedStopAreCut) {
  judge.OnPlannedStopCut(At(10), 7, 0);
  judge.OnPlannedStopCut(At(10), 7, 2);
  UNSIGNED_LONGS_EQUAL(2, CountAtEnd(ViolationKind::kCutRequest));
}
