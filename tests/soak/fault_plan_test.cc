#include "tests/soak/fault_plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace runshelf;
using namespace runshelf::soak;

namespace {

// Faults that only some runs include.
struct OptionalFaults {
  bool store_restores = false;
  bool second_answers = false;
  bool stated_limits = false;
  size_t evacuated_zones = 0;
};

std::vector<PlannedFault> Plan(uint64_t seed, const OptionalFaults& optional = {}) {
  FaultPlanInput input;
  input.seed = seed;
  input.store_restores = optional.store_restores;
  input.second_answers = optional.second_answers;
  input.stated_limits = optional.stated_limits;
  input.evacuated_zones = optional.evacuated_zones;
  input.services = {"plain", "plain", "other", "keyed", "keyed", "keyed"};
  input.first = std::chrono::seconds(8);
  input.last = std::chrono::seconds(60);
  return MakeFaultPlan(input);
}

// Checks that the second plan has all faults of the first one, and more; the first has none of
// `kind`.
void CheckAdds(FaultKind kind, const std::vector<PlannedFault>& without,
               const std::vector<PlannedFault>& with) {
  std::set<std::string> all;
  for (const PlannedFault& fault : with) all.insert(Describe(fault));
  for (const PlannedFault& fault : without) {
    CHECK(fault.kind != kind);
    CHECK(all.contains(Describe(fault)));
  }
  CHECK(with.size() > without.size());
}

}  // namespace

TEST_GROUP(FaultPlan){};

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
    for (const PlannedFault& fault : Plan(seed, {.store_restores = seed % 2 == 0,
                                                .second_answers = seed % 3 == 0,
                                                .stated_limits = seed % 5 == 0})) {
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
    CheckAdds(FaultKind::kStoreRestored, Plan(seed), Plan(seed, {.store_restores = true}));
  }
}

TEST(FaultPlan, SecondAnswersAreOptionalAndKeepOtherFaults) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const bool restores = seed % 2 == 0;
    CheckAdds(FaultKind::kWorkerAnswersTwice, Plan(seed, {.store_restores = restores}),
              Plan(seed, {.store_restores = restores, .second_answers = true}));
  }
}

TEST(FaultPlan, StatedLimitsAreOptionalAndKeepOtherFaults) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const bool restores = seed % 2 == 0;
    CheckAdds(FaultKind::kWorkerStatesLimit, Plan(seed, {.store_restores = restores}),
              Plan(seed, {.store_restores = restores, .stated_limits = true}));
  }
}

TEST(FaultPlan, EvacuationsAreOptionalAndKeepOtherFaults) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CheckAdds(FaultKind::kZoneEvacuated, Plan(seed), Plan(seed, {.evacuated_zones = 3}));
  }
}

TEST(FaultPlan, EveryKindOccursAndFaultsOverlap) {
  std::map<FaultKind, int> kinds;
  size_t overlapping = 0;
  size_t all = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Duration end{0};
    for (const PlannedFault& fault : Plan(seed, {.store_restores = true,
                                                .second_answers = true,
                                                .stated_limits = true,
                                                .evacuated_zones = 3})) {
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
