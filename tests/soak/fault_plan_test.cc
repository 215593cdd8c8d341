#include "tests/soak/fault_plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace runshelf;
using namespace runshelf::soak;

TEST_GROUP(FaultPlan){
    static std::vector<PlannedFault> Plan(uint64_t seed, bool store_restores = false,
                                          bool second_answers = false){FaultPlanInput input;
input.seed = seed;
input.store_restores = store_restores;
input.second_answers = second_answers;
input.services = {"plain", "plain", "other", "keyed", "keyed", "keyed"};
input.first = std::chrono::seconds(8);
input.last = std::chrono::seconds(60);
return MakeFaultPlan(input);
}
}
;

TEST(FaultPlan, TheSameSeedGivesTheSamePlan) {
  const auto first = Plan(7);
  const auto second = Plan(7);
  CHECK_EQUAL(first.size(), second.size());
  for (size_t index = 0; index < first.size(); ++index) {
    CHECK_EQUAL(Describe(first[index]), Describe(second[index]));
  }
  CHECK(Describe(Plan(8)[0]) != Describe(first[0]));
}

TEST(FaultPlan, FaultsStayWithinThePeriodAndFleet) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Duration latest{0};
    for (const PlannedFault& fault : Plan(seed, seed % 2 == 0, seed % 3 == 0)) {
      CHECK(fault.at >= std::chrono::seconds(8));
      CHECK(fault.at + fault.time <= std::chrono::seconds(60));
      CHECK(fault.at >= latest);
      latest = fault.at;
      CHECK(fault.node < 6);
      CHECK(fault.peer < 6);
      CHECK(fault.kind != FaultKind::kPairPath || fault.node != fault.peer);
    }
  }
}

// Faults that are enabled separately must not change the plans of regression seeds.
TEST(FaultPlan, StoreRestoresAreOptionalAndKeepOtherFaults) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<std::string> without;
    for (const PlannedFault& fault : Plan(seed)) {
      CHECK(fault.kind != FaultKind::kStoreRestored);
      without.push_back(Describe(fault));
    }
    std::vector<std::string> with;
    for (const PlannedFault& fault : Plan(seed, true)) with.push_back(Describe(fault));
    for (const std::string& fault : without) {
      CHECK(std::find(with.begin(), with.end(), fault) != with.end());
    }
    CHECK(with.size() > without.size());
  }
}

// Faults that are enabled separately must not change the plans of regression seeds.
TEST(FaultPlan, SecondAnswersAreOptionalAndKeepOtherFaults) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const bool restores = seed % 2 == 0;
    std::vector<std::string> without;
    for (const PlannedFault& fault : Plan(seed, restores)) {
      CHECK(fault.kind != FaultKind::kWorkerAnswersTwice);
      without.push_back(Describe(fault));
    }
    std::vector<std::string> with;
    for (const PlannedFault& fault : Plan(seed, restores, true)) with.push_back(Describe(fault));
    for (const std::string& fault : without) {
      CHECK(std::find(with.begin(), with.end(), fault) != with.end());
    }
    CHECK(with.size() > without.size());
  }
}

TEST(FaultPlan, EveryKindOccursAndFaultsOverlap) {
  std::map<FaultKind, int> kinds;
  size_t overlapping = 0;
  size_t all = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Duration end{0};
    for (const PlannedFault& fault : Plan(seed, true, true)) {
      ++kinds[fault.kind];
      ++all;
      if (fault.at < end) ++overlapping;
      end = std::max(end, fault.at + fault.time);
    }
  }
  CHECK_EQUAL(kFaultKinds, kinds.size());
  CHECK(overlapping * 2 > all);
}

TEST(FaultPlan, NodesAreKilledAndStoppedDuringStoreOutages) {
  std::set<FaultKind> seen;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Duration away_until{0};
    for (const PlannedFault& fault : Plan(seed)) {
      const bool away =
          fault.kind == FaultKind::kStoreRefuses || fault.kind == FaultKind::kStoreSilent;
      if (away) away_until = std::max(away_until, fault.at + fault.time);
      if (fault.at < away_until) seen.insert(fault.kind);
    }
  }
  CHECK(seen.contains(FaultKind::kKillProcess));
  CHECK(seen.contains(FaultKind::kTerminateProcess));
}
