// The ownership judge on histories written by hand: each violation is seen, and nothing else is.

#include "tools/sim/ownership_judge.h"

#include <CppUTest/TestHarness.h>

using runshelf::Duration;
using runshelf::FencingToken;
using runshelf::SlotRange;
using runshelf::sim::GrantRecord;
using runshelf::sim::OwnershipJudge;
using runshelf::sim::ServerRun;
using runshelf::sim::TrueTime;
using runshelf::sim::ViolationKind;
using runshelf::sim::ViolationLog;

TEST_GROUP(OwnershipJudge) {
  ViolationLog violations;
  OwnershipJudge judge{violations, 8};

  void setup() override {
    judge.OnServerStarted(1, "feedread", "server-1");
    judge.OnServerStarted(2, "feedread", "server-2");
  }

  TrueTime At(int64_t milliseconds) { return TrueTime(std::chrono::milliseconds(milliseconds)); }

  void Grant(ServerRun server, uint64_t sequence, int64_t at, int64_t until, SlotRange slots) {
    judge.OnGrant(GrantRecord{At(at), At(until), server, FencingToken{1, 1, sequence}, {slots}});
  }

  void Execute(ServerRun server, uint64_t sequence, int64_t at, uint32_t slot) {
    judge.OnExecution({At(at), server, 1, 1, slot, FencingToken{1, 1, sequence}});
  }

  uint64_t Count(ViolationKind kind) { return violations.count(kind); }
};

TEST(OwnershipJudge, OrderlyMoveIsNoViolation) {
  Grant(1, 1, 0, 900, {0, 7});
  Execute(1, 1, 10, 3);
  Grant(1, 2, 500, 1400, {0, 2});
  Grant(2, 3, 510, 1400, {3, 7});
  Execute(2, 3, 520, 3);
  UNSIGNED_LONGS_EQUAL(0, violations.total());
  UNSIGNED_LONGS_EQUAL(5, judge.churn().moved_slots);
}

TEST(OwnershipJudge, TwoValidGrantsOfOneSlotAreDoubleOwners) {
  Grant(1, 1, 0, 900, {0, 3});
  Grant(2, 2, 899, 1800, {3, 7});
  UNSIGNED_LONGS_EQUAL(1, Count(ViolationKind::kDoubleOwner));
  Grant(2, 2, 899, 1900, {3, 7});  // The same pair is counted once.
  UNSIGNED_LONGS_EQUAL(1, Count(ViolationKind::kDoubleOwner));
}

TEST(OwnershipJudge, ExpiredGrantIsNoOwner) {
  Grant(1, 1, 0, 900, {0, 3});
  Grant(2, 2, 900, 1800, {0, 3});
  UNSIGNED_LONGS_EQUAL(0, violations.total());
}

TEST(OwnershipJudge, ServersOfDifferentServicesDoNotCompete) {
  judge.OnServerStarted(3, "billing", "server-3");
  Grant(1, 1, 0, 900, {0, 7});
  Grant(3, 2, 10, 900, {0, 7});
  UNSIGNED_LONGS_EQUAL(0, violations.total());
}

TEST(OwnershipJudge, GrantOfAnEndedProcessIsGone) {
  Grant(1, 1, 0, 900, {0, 7});
  judge.OnServerStopped(At(100), 1);
  Grant(2, 2, 200, 1100, {0, 7});
  UNSIGNED_LONGS_EQUAL(0, violations.total());
}

TEST(OwnershipJudge, ExecutionUnderAnOlderTokenThanAnotherServersIsDoubleOwner) {
  Execute(2, 5, 10, 3);
  Execute(1, 4, 20, 3);
  UNSIGNED_LONGS_EQUAL(1, Count(ViolationKind::kDoubleOwner));
}

TEST(OwnershipJudge, ExecutionsOfOneServerMayOvertakeEachOther) {
  Execute(1, 5, 10, 3);
  Execute(1, 4, 20, 3);
  UNSIGNED_LONGS_EQUAL(0, violations.total());
}

TEST(OwnershipJudge, LowerTokenThanGrantedBeforeIsALostAssignment) {
  Grant(1, 5, 0, 900, {0, 1});
  Grant(2, 4, 1000, 1900, {0, 1});
  UNSIGNED_LONGS_EQUAL(2, Count(ViolationKind::kLostAssignment));
}

TEST(OwnershipJudge, SlotWithoutOwnerAtTheEndIsALostAssignment) {
  Grant(1, 1, 0, 900, {0, 7});
  judge.JudgeEnd(At(2899));
  UNSIGNED_LONGS_EQUAL(0, violations.total());
  judge.JudgeEnd(At(2901));
  UNSIGNED_LONGS_EQUAL(8, Count(ViolationKind::kLostAssignment));
}

TEST(OwnershipJudge, UnavailableTimeCountsGapsAndPauses) {
  Grant(1, 1, 0, 900, {0, 0});
  judge.OnServingChanged(At(400), 1, false);
  Grant(2, 2, 1000, 1900, {0, 0});
  const auto unavailable = judge.Unavailable(At(1900));
  LONGS_EQUAL(600'000, unavailable.largest.count());
  LONGS_EQUAL(600'000, unavailable.sum.count());
}
