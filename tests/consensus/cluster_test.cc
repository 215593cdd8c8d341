// Seeded runs of a group under faults, and the proof that the checks notice each defect.
//
// RUNSHELF_CONSENSUS_FIRST_SEED and RUNSHELF_CONSENSUS_SEEDS choose other seeds, for long runs.

#include "tests/consensus/cluster.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

using namespace runshelf::consensus;

namespace {

constexpr uint64_t kSeeds = 1500;
constexpr uint64_t kSeedsPerDefect = 3000;

uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::optional<Violation> RunSeed(uint64_t seed, const ReplicaDefects& defects) {
  return Cluster({.seed = seed, .defects = defects}).Run();
}

// A violation of safety under `seed`; kNotLive does not count.
bool IsNoticed(const char* name, const ReplicaDefects& defects, uint64_t seed) {
  const std::optional<Violation> violation = RunSeed(seed, defects);
  if (!violation || *violation == Violation::kNotLive) return false;
  UT_PRINT(StringFromFormat("%s: seed %d: %s", name, static_cast<int>(seed), ToString(*violation)));
  return true;
}

// Fails unless some seed shows a violation. `likely_seed` did at the time of writing, and spares
// the search as long as it does.
void CheckIsNoticed(const char* name, const ReplicaDefects& defects, uint64_t likely_seed) {
  if (IsNoticed(name, defects, likely_seed)) return;
  for (uint64_t seed = 1; seed <= kSeedsPerDefect; ++seed) {
    if (IsNoticed(name, defects, seed)) return;
  }
  FAIL(name);
}

void Add(ClusterCounts& sum, const ClusterCounts& counts) {
  sum.steps += counts.steps;
  sum.leaders += counts.leaders;
  sum.committed += counts.committed;
  sum.crashes += counts.crashes;
  sum.pauses += counts.pauses;
  sum.cuts += counts.cuts;
  sum.voter_changes += counts.voter_changes;
  sum.snapshots += counts.snapshots;
}

}  // namespace

TEST_GROUP(Cluster){};

TEST(Cluster, NothingIsViolatedUnderFaults) {
  const uint64_t first = FromEnvironment("RUNSHELF_CONSENSUS_FIRST_SEED", 1);
  const uint64_t count = FromEnvironment("RUNSHELF_CONSENSUS_SEEDS", kSeeds);
  ClusterCounts sum;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    Cluster cluster({.seed = seed, .defects = {}});
    const std::optional<Violation> violation = cluster.Run();
    Add(sum, cluster.Counts());
    if (violation) {
      FAIL(StringFromFormat("seed %d: %s", static_cast<int>(seed), ToString(*violation))
               .asCharString());
    }
  }
  UT_PRINT(StringFromFormat(
      "seeds %d, steps %d, leaders %d, committed %d, crashes %d, pauses %d, cuts %d, voter changes "
      "%d, "
      "snapshots %d",
      static_cast<int>(count), static_cast<int>(sum.steps), static_cast<int>(sum.leaders),
      static_cast<int>(sum.committed), static_cast<int>(sum.crashes), static_cast<int>(sum.pauses),
      static_cast<int>(sum.cuts), static_cast<int>(sum.voter_changes),
      static_cast<int>(sum.snapshots)));
}

TEST(Cluster, ALeaseCountedFromTheAnswerIsNoticed) {
  CheckIsNoticed("lease_from_answer_arrival", {.lease_from_answer_arrival = true}, 10);
}

TEST(Cluster, ALeaseWithoutClockMarginIsNoticed) {
  CheckIsNoticed("lease_without_clock_margin", {.lease_without_clock_margin = true}, 613);
}

TEST(Cluster, AVoteDespiteALiveLeaderIsNoticed) {
  CheckIsNoticed("votes_despite_live_leader", {.votes_despite_live_leader = true}, 62);
}

TEST(Cluster, ASecondVoteInATermIsNoticed) {
  CheckIsNoticed("votes_twice", {.votes_twice = true}, 1);
}

TEST(Cluster, AVoteForAStaleLogIsNoticed) {
  CheckIsNoticed("votes_for_stale_log", {.votes_for_stale_log = true}, 3);
}

TEST(Cluster, OverlappingVoterChangesAreNoticed) {
  CheckIsNoticed("overlapping_voter_changes", {.overlapping_voter_changes = true}, 36);
}

TEST(Cluster, ALeaseBeforeAnOwnCommitIsNoticed) {
  CheckIsNoticed("lease_before_own_commit", {.lease_before_own_commit = true}, 6);
}

TEST(Cluster, ALeaseFromAnswersOfAnOlderTermIsNoticed) {
  CheckIsNoticed("lease_of_any_rejection", {.lease_of_any_rejection = true}, 1247);
}
