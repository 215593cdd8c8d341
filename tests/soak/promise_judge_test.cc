#include "tests/soak/promise_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

// Each promise is seen to be judged: kept once, broken once.
TEST_GROUP(PromiseJudge) {
  PromiseJudge judge;

  void setup() override {
    judge.OnSent({"order", "/send/1", "body", "shop", /*repeatable=*/false});
    judge.OnSent({"read", "/read/1", "", "shop", /*repeatable=*/true});
  }

  void Run(const std::string& id, const std::string& worker) {
    const bool order = id == "order";
    judge.OnExecuted({id, order ? "/send/1" : "/read/1", order ? "body" : "", "shop", worker, "s"});
  }

  void ExpectOnly(const std::string& promise) {
    CHECK_EQUAL(1, judge.violations().size());
    CHECK_TEXT(judge.violations()[0].starts_with(promise + ":"), judge.violations()[0].c_str());
  }
};

TEST(PromiseJudge, ARequestThatRunsOnceAndIsAnsweredWholeIsFine) {
  Run("order", "w1");
  judge.OnAnswer({"order", 200, ExpectedAnswerBody("w1", "order", "body"), "w1"});
  Run("read", "w1");
  Run("read", "w2");
  judge.OnAnswer({"read", 503, "", ""});
  CHECK(judge.violations().empty());
}

TEST(PromiseJudge, AnOrderThatRunsTwiceIsSeen) {
  Run("order", "w1");
  Run("order", "w2");
  ExpectOnly("twice");
}

TEST(PromiseJudge, APromiseThatItHasNotRunBindsBeforeAndAfter) {
  judge.OnAnswer({"order", 503, "", ""});
  Run("order", "w1");
  ExpectOnly("refused");
}

TEST(PromiseJudge, ARefusalOfWhatHasRunIsSeen) {
  Run("order", "w1");
  judge.OnAnswer({"order", 429, "", ""});
  ExpectOnly("refused");
}

TEST(PromiseJudge, AnAnswerOfAnotherRequestIsSeen) {
  Run("read", "w1");
  judge.OnAnswer({"read", 200, ExpectedAnswerBody("w1", "order", "body"), "w1"});
  ExpectOnly("mixed");
}

TEST(PromiseJudge, AnAnswerThatIsNotWholeIsSeen) {
  Run("read", "w1");
  judge.OnAnswer({"read", 200, "w1|re", "w1"});
  ExpectOnly("mixed");
}

TEST(PromiseJudge, ARequestThatNobodySentIsSeen) {
  Run("ghost", "w1");
  ExpectOnly("unasked");
}

TEST(PromiseJudge, AChangedRequestIsSeen) {
  judge.OnExecuted({"order", "/send/1", "changed", "shop", "w1", "s"});
  ExpectOnly("unasked");
}

TEST(PromiseJudge, AForgedCallerServiceIsSeen) {
  judge.OnExecuted({"order", "/send/1", "body", "other", "w1", "s"});
  ExpectOnly("unasked");
}

TEST(PromiseJudge, FencesRiseFromWorkerToWorker) {
  judge.OnGrant({"w1", 0, 99, 4});
  judge.OnGrant({"w1", 0, 99, 4});
  judge.OnGrant({"w2", 50, 60, 5});
  CHECK(judge.violations().empty());
  judge.OnGrant({"w1", 40, 70, 5});
  ExpectOnly("fence");
}

TEST(PromiseJudge, ARepeatedGrantAtTheNextLifeOfAWorkerIsTheSameGrant) {
  judge.OnGrant({"w1", 0, 99, 4});
  judge.OnGrant({"w1-again", 0, 99, 4});
  CHECK(judge.violations().empty());
  judge.OnGrant({"w2", 0, 98, 4});
  ExpectOnly("fence");
}

TEST(PromiseJudge, OnlyALongOverlapIsHeldAgainstTheNodes) {
  judge.OnOverlap(7, std::chrono::milliseconds(400));
  CHECK(judge.violations().empty());
  judge.OnOverlap(7, std::chrono::milliseconds(600));
  ExpectOnly("owner");
}

TEST(PromiseJudge, ARunOnASharedKeyIsSeen) {
  judge.OnSharedKey(7, "w1", "w2");
  ExpectOnly("owner");
}

TEST(PromiseJudge, ARequestWithoutAnEndIsSeen) {
  judge.OnNoAnswer("read");
  ExpectOnly("unanswered");
}
