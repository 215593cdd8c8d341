#include "tests/soak/ownership_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

// Checks each kind of violation with a history that violates the guarantee and one that does not.
TEST_GROUP(OwnershipJudge) {
  OwnershipJudge judge;
  Instant now{std::chrono::seconds(100)};

  HeldKeys Keys(uint32_t first, uint32_t last, uint64_t fence,
                Duration hold = std::chrono::seconds(3)) {
    return {{first, last}, fence, now + hold};
  }
  void Grant(const std::string& worker, const HeldKeys& held,
             OrderArrival arrival = OrderArrival::kTimely) {
    judge.OnGrant(now, worker, held, arrival);
  }
  // Both workers own these keys for `time`; the judge checks them every 20 ms.
  void HoldBoth(const HeldKeys& left, const HeldKeys& right, Duration time) {
    for (const Instant end = now + time; now <= end; now += std::chrono::milliseconds(20)) {
      judge.Check(now, {{"w1", {left}}, {"w2", {right}}});
    }
  }
  void ExpectOnly(const std::string& promise) {
    CHECK_EQUAL(1, judge.violations().size());
    CHECK_TEXT(judge.violations()[0].starts_with(promise + ":"), judge.violations()[0].c_str());
  }
};

TEST(OwnershipJudge, AGrantToAnotherWorkerNeedsAHigherToken) {
  Grant("w1", Keys(0, 99, 4));
  Grant("w1", Keys(0, 99, 4));
  Grant("w2", Keys(50, 60, 5));
  CHECK(judge.violations().empty());
  Grant("w1", Keys(40, 70, 5));
  ExpectOnly("fence");
}

TEST(OwnershipJudge, AGrantRepeatedToARestartedWorkerNeedsAHigherToken) {
  Grant("w1@1", Keys(0, 99, 4));
  Grant("w1@2", Keys(0, 99, 5));
  CHECK(judge.violations().empty());
  Grant("w1@3", Keys(0, 99, 5));
  ExpectOnly("fence");
}

TEST(OwnershipJudge, AGrantAppliedLateMayBeOlderThanCurrentOnes) {
  Grant("w2", Keys(0, 99, 5));
  Grant("w1", Keys(0, 99, 4), OrderArrival::kTakenLate);
  CHECK(judge.violations().empty());
  Grant("w1", Keys(0, 99, 4), OrderArrival::kAfterThaw);
  ExpectOnly("fence");
}

TEST(OwnershipJudge, AnAcknowledgedReleaseInvalidatesOlderGrants) {
  Grant("w1", Keys(0, 99, 4));
  judge.OnReleased("w1", {0, 99});
  Grant("w2", Keys(0, 99, 5));
  Grant("w1", Keys(0, 99, 4), OrderArrival::kTakenLate);
  ExpectOnly("fence");
}

TEST(OwnershipJudge, ANewGrantAfterAReleaseMayBeAppliedLateAgain) {
  Grant("w1", Keys(0, 99, 4));
  judge.OnReleased("w1", {0, 99});
  Grant("w1", Keys(0, 99, 6));
  Grant("w2", Keys(0, 99, 7));
  Grant("w1", Keys(0, 49, 6), OrderArrival::kTakenLate);
  CHECK(judge.violations().empty());
}

TEST(OwnershipJudge, OnlyOverlapsBeyondTheLimitAreViolations) {
  const HeldKeys left = Keys(0, 99, 1);
  const HeldKeys right = Keys(50, 149, 2);
  Grant("w1", left);
  Grant("w2", right);
  HoldBoth(left, right, std::chrono::milliseconds(480));
  CHECK(judge.violations().empty());
  HoldBoth(left, right, std::chrono::milliseconds(100));
  ExpectOnly("owner");
}

TEST(OwnershipJudge, AnOverlapEndsWhenOneWorkerReleasesTheKeys) {
  const HeldKeys left = Keys(0, 99, 1);
  const HeldKeys right = Keys(0, 99, 2);
  Grant("w1", left);
  Grant("w2", right);
  HoldBoth(left, right, std::chrono::milliseconds(400));
  HoldBoth(left, Keys(200, 299, 2), std::chrono::milliseconds(40));
  HoldBoth(left, right, std::chrono::milliseconds(400));
  CHECK(judge.violations().empty());
}

TEST(OwnershipJudge, ConsecutiveOverlapsOfDifferentKeysAreNotAddedUp) {
  const HeldKeys left = Keys(0, 199, 1);
  Grant("w1", left);
  const HeldKeys lower = Keys(0, 99, 2);
  const HeldKeys upper = Keys(100, 199, 2);
  Grant("w2", lower);
  Grant("w2", upper);
  HoldBoth(left, lower, std::chrono::milliseconds(400));
  HoldBoth(left, upper, std::chrono::milliseconds(400));
  CHECK(judge.violations().empty());
}

TEST(OwnershipJudge, DelayedGrantsDoNotCountForOverlaps) {
  for (const OrderArrival arrival :
       {OrderArrival::kHeldUp, OrderArrival::kAfterThaw, OrderArrival::kTakenLate}) {
    OwnershipJudge other;
    const HeldKeys left = Keys(0, 99, 1);
    const HeldKeys right = Keys(0, 99, 2);
    other.OnGrant(now, "w1", left, arrival);
    other.OnGrant(now, "w2", right, OrderArrival::kTimely);
    for (int tick = 0; tick < 50; ++tick) {
      other.Check(now + tick * std::chrono::milliseconds(20), {{"w1", {left}}, {"w2", {right}}});
    }
    CHECK(other.violations().empty());
  }
}

TEST(OwnershipJudge, ARequestForASharedKeyIsAViolation) {
  Grant("w1", Keys(0, 99, 1));
  Grant("w2", Keys(0, 99, 2));
  judge.OnRunBegan(now, "w1", 7, now + std::chrono::seconds(3), {"w2"});
  ExpectOnly("owner");
}

TEST(OwnershipJudge, ALateGrantCountsOnceBothWorkersBeginRequests) {
  const HeldKeys left = Keys(0, 99, 1);
  const HeldKeys right = Keys(0, 99, 2);
  Grant("w2", right);
  Grant("w1", left, OrderArrival::kTakenLate);
  judge.Check(now, {{"w1", {left}}, {"w2", {right}}});
  judge.OnRunBegan(now, "w2", 7, right.until, {"w1"});
  CHECK(judge.violations().empty());
  judge.OnRunBegan(now, "w1", 8, left.until, {"w2"});
  ExpectOnly("owner");
}

TEST(OwnershipJudge, AGrantAppliedAfterAResumeIsNoOverlap) {
  const HeldKeys left = Keys(0, 99, 1);
  const HeldKeys right = Keys(0, 99, 2);
  Grant("w2", right);
  Grant("w1", left, OrderArrival::kAfterThaw);
  CHECK_EQUAL(1, judge.violations().size());  // The low token is still a violation.
  judge.Check(now, {{"w1", {left}}, {"w2", {right}}});
  judge.OnRunBegan(now, "w2", 7, right.until, {"w1"});
  judge.OnRunBegan(now, "w1", 8, left.until, {"w2"});
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(OwnershipJudge, AGrantOfAKeyWithARunningRequestIsAViolation) {
  Grant("w1", Keys(0, 99, 1));
  judge.OnRunBegan(now, "w1", 7, now + std::chrono::seconds(3), {});
  judge.OnRunBegan(now, "w1", 8, now + std::chrono::seconds(3), {});
  judge.OnRunEnded("w1", 8);
  now += std::chrono::seconds(1);
  Grant("w2", Keys(8, 20, 2));
  CHECK(judge.violations().empty());
  Grant("w2", Keys(0, 7, 2));
  ExpectOnly("owner");
}

TEST(OwnershipJudge, ARequestThatOutlastsItsLeaseDoesNotBlockGrants) {
  Grant("w1", Keys(0, 99, 1));
  judge.OnRunBegan(now, "w1", 7, now + std::chrono::seconds(3), {});
  now += std::chrono::seconds(4);
  Grant("w2", Keys(0, 99, 2));
  CHECK(judge.violations().empty());
}
