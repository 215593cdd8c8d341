#include "tests/soak/promise_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

// Checks each guarantee with a history that satisfies it and one that violates it.
TEST_GROUP(PromiseJudge) {
  PromiseJudge judge;

  void setup() override {
    judge.OnSent({"order", "/send/1", "body", "shop", /*repeatable=*/false});
    judge.OnSent({"read", "/read/1", "", "shop", /*repeatable=*/true});
  }

  void Run(const std::string& id, const std::string& worker) {
    const bool order = id == "order";
    judge.OnExecuted({id, order ? "/send/1" : "/read/1", order ? "body" : "", "shop", worker, "s"});
    judge.OnWorkerAnswered(id, worker, 200);
  }

  void ExpectOnly(const std::string& promise) {
    CHECK_EQUAL(1, judge.violations().size());
    CHECK_TEXT(judge.violations()[0].starts_with(promise + ":"), judge.violations()[0].c_str());
  }
};

TEST(PromiseJudge, ARequestThatRunsOnceWithACompleteResponseIsNoViolation) {
  Run("order", "w1");
  judge.OnAnswer({"order", 200, ExpectedAnswerBody("w1", "order", "body"), "w1"});
  Run("read", "w1");
  Run("read", "w2");
  judge.OnAnswer({"read", 503, "", ""});
  CHECK(judge.violations().empty());
}

TEST(PromiseJudge, ANonIdempotentRequestThatRunsTwiceIsAViolation) {
  Run("order", "w1");
  Run("order", "w2");
  ExpectOnly("twice");
}

TEST(PromiseJudge, ARequestThatRunsAfterARefusalIsAViolation) {
  judge.OnAnswer({"order", 503, "", ""});
  Run("order", "w1");
  ExpectOnly("refused");
}

TEST(PromiseJudge, ARefusalAfterExecutionIsAViolation) {
  Run("order", "w1");
  judge.OnAnswer({"order", 429, "", ""});
  ExpectOnly("refused");
}

TEST(PromiseJudge, AResponseToAnotherRequestIsAViolation) {
  Run("read", "w1");
  judge.OnAnswer({"read", 200, ExpectedAnswerBody("w1", "order", "body"), "w1"});
  ExpectOnly("mixed");
}

TEST(PromiseJudge, ATruncatedResponseIsAViolation) {
  Run("read", "w1");
  judge.OnAnswer({"read", 200, "w1|re", "w1"});
  ExpectOnly("mixed");
}

// Guards against a caller receiving the response to a health check of its worker.
TEST(PromiseJudge, ASuccessWithoutAStampIsAViolation) {
  Run("read", "w1");
  judge.OnAnswer({"read", 200, "", ""});
  ExpectOnly("mixed");
}

TEST(PromiseJudge, ASuccessWithoutAStampIsAViolationWhateverItsBody) {
  Run("read", "w1");
  judge.OnAnswer({"read", 200, ExpectedAnswerBody("w1", "read", ""), ""});
  ExpectOnly("mixed");
}

TEST(PromiseJudge, ASuccessBeforeExecutionIsAViolation) {
  judge.OnAnswer({"read", 200, "", ""});
  ExpectOnly("mixed");
}

TEST(PromiseJudge, AnExecutionOfAnUnsentRequestIsAViolation) {
  Run("ghost", "w1");
  ExpectOnly("unasked");
}

TEST(PromiseJudge, AModifiedRequestIsAViolation) {
  judge.OnExecuted({"order", "/send/1", "changed", "shop", "w1", "s"});
  ExpectOnly("unasked");
}

TEST(PromiseJudge, AForgedCallerServiceIsAViolation) {
  judge.OnExecuted({"order", "/send/1", "body", "other", "w1", "s"});
  ExpectOnly("unasked");
}

TEST(PromiseJudge, AStampedFailureMustComeFromThatWorker) {
  Run("read", "w1");
  judge.OnWorkerAnswered("read", "w1", 500);
  judge.OnAnswer({"read", 500, "", "w1"});
  CHECK(judge.violations().empty());
  judge.OnAnswer({"read", 502, "", "w1"});
  ExpectOnly("mixed");
}

TEST(PromiseJudge, ASuccessInPlaceOfAWorkersFailureIsAViolation) {
  Run("read", "w1");
  judge.OnWorkerAnswered("read", "w1", 500);
  judge.OnAnswer({"read", 200, ExpectedAnswerBody("w1", "read", ""), "w1"});
  ExpectOnly("mixed");
}

TEST(PromiseJudge, AnUnexpectedProcessExitIsAViolation) {
  judge.OnProcessEnded("n1", -11);
  ExpectOnly("ended");
}

TEST(PromiseJudge, ARequestWithoutAResponseIsAViolation) {
  judge.OnNoAnswer("read");
  ExpectOnly("unanswered");
}
