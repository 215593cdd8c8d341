// The load that CrashRecord answers: one request that comes about once a second, at any node, and
// ends each worker that begins it, among hundreds of others that are at work in those workers.
#include "source/sidecar/crash_record.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

using namespace runshelf;
using namespace runshelf::sidecar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant kStart = Instant{} + seconds(1000);

RequestFingerprint Print(const std::string& name) {
  http::Request request;
  request.head.target = "/" + name;
  return FingerprintOf(request, std::nullopt);
}

std::string Worker(size_t index) { return "w" + std::to_string(index); }

}  // namespace

TEST_GROUP(CrashRecord) {
  CrashRecord record;
  const RequestFingerprint guilty = Print("guilty");
  store::Revision revision = 10;

  void End(size_t worker, const std::vector<RequestFingerprint>& requests) {
    record.OnWorkerEnd(Worker(worker), requests);
  }

  // As the store takes the change.
  void Take(Instant now, const CrashRecord::Change& change) {
    record.OnQuarantine(now, guilty, change.item, ++revision);
  }

  Clearance At(Instant now) const { return record.ClearanceOf(now, guilty); }
};

TEST(CrashRecord, TheSecondEndPutsARequestInQuarantine) {
  CHECK(At(kStart) == Clearance::kFree);
  End(1, {guilty, Print("a")});
  CHECK(At(kStart) == Clearance::kFree);
  const auto brought = record.OnWorkerEnd(Worker(2), {guilty, Print("c")});
  CHECK_EQUAL(1U, brought.size());
  CHECK(brought[0] == guilty);
  CHECK(At(kStart) == Clearance::kTrial);
  CHECK(record.ClearanceOf(kStart, Print("a")) == Clearance::kFree);
}

// Nodes hear of an end from the store, the one beside the worker before that.
TEST(CrashRecord, AnEndThatIsToldTwiceCountsOnce) {
  for (int time = 0; time < 5; ++time) End(1, {guilty});
  CHECK_EQUAL(1U, record.Ends(guilty));
}

TEST(CrashRecord, WhatIsToldLaterOfAnEndIsAdded) {
  End(1, {Print("a")});
  End(1, {Print("a"), guilty});
  CHECK_EQUAL(1U, record.Ends(guilty));
  CHECK_EQUAL(2U, record.RequestsOf(Worker(1)).size());
}

// The guilty one costs two workers and four trials, however often it comes.
TEST(CrashRecord, ItReachesABoundedNumberOfWorkers) {
  size_t workers = 0;
  Instant now = kStart;
  for (int second = 0; second < 600; ++second, now += seconds(1)) {
    const Clearance clearance = At(now);
    if (clearance == Clearance::kQuarantined) continue;
    if (clearance == Clearance::kTrial) Take(now, record.BeginTrial(guilty));
    End(++workers, {guilty, Print("bystander" + std::to_string(second))});
  }
  CHECK_EQUAL(6U, workers);
  CHECK(!record.UntilTrial(now, guilty).has_value());
}

// The node beside the worker was lost with it, each time from the third run on.
TEST(CrashRecord, EndsThatNobodySeesCostNoFurtherRun) {
  End(1, {guilty});
  End(2, {guilty});
  size_t runs = 2;
  Instant now = kStart;
  for (int second = 0; second < 600; ++second, now += seconds(1)) {
    if (At(now) != Clearance::kTrial) continue;
    Take(now, record.BeginTrial(guilty));
    ++runs;
  }
  CHECK_EQUAL(6U, runs);
}

// Two runs began before the first end was known everywhere.
TEST(CrashRecord, ARunBesideTheOthersTakesThePlaceOfATrial) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {guilty});
  size_t workers = 3;
  Instant now = kStart;
  for (int second = 0; second < 600; ++second, now += seconds(1)) {
    if (At(now) != Clearance::kTrial) continue;
    Take(now, record.BeginTrial(guilty));
    End(++workers, {guilty});
  }
  CHECK_EQUAL(6U, workers);
}

// Users count each run that the end of a worker cut. A request that was at work four times in the
// first worker was run four times more, long after that.
TEST(CrashRecord, RunsThatOneEndCutTakeThePlaceOfTrials) {
  const std::map<size_t, size_t> trials_by_runs{{1, 4}, {2, 3}, {3, 2}, {4, 2}};
  for (const auto& [runs, allowed] : trials_by_runs) {
    record = CrashRecord();
    End(1, std::vector<RequestFingerprint>(runs, guilty));
    End(2, {guilty});
    size_t trials = 0;
    Instant now = kStart;
    for (int second = 0; second < 600; ++second, now += seconds(1)) {
      if (At(now) != Clearance::kTrial) continue;
      Take(now, record.BeginTrial(guilty));
      ++trials;
      End(2 + trials, {guilty});
    }
    CHECK_EQUAL(allowed, trials);
  }
}

// Other nodes write the end that they were told of.
TEST(CrashRecord, TheRunsOfAnEndAreToldOn) {
  End(1, {guilty, Print("a"), guilty});
  End(1, {guilty, guilty, Print("a")});
  CHECK_EQUAL(3U, record.RequestsOf(Worker(1)).size());
  CHECK_EQUAL(1U, record.Ends(guilty));
}

// However many workers a common loss of power ended under it.
TEST(CrashRecord, ARequestUnderManyEndsAtOnceIsTried) {
  for (size_t worker = 1; worker <= 40; ++worker) End(worker, {guilty});
  CHECK(At(kStart) == Clearance::kTrial);
  Take(kStart, record.BeginTrial(guilty));
  record.OnGoodRun(guilty);
  CHECK(At(kStart) == Clearance::kFree);
}

TEST(CrashRecord, TrialsAreSpaced) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {guilty});
  Take(kStart, record.BeginTrial(guilty));
  CHECK(At(kStart + milliseconds(999)) == Clearance::kQuarantined);
  CHECK(record.UntilTrial(kStart, guilty) == seconds(1));
  CHECK(At(kStart + seconds(1)) == Clearance::kTrial);
}

TEST(CrashRecord, ATrialThatReachedNoWorkerIsGivenBack) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {guilty});
  Take(kStart, record.BeginTrial(guilty));
  Take(kStart, record.ReturnTrial(guilty));
  CHECK_EQUAL(1U, record.BeginTrial(guilty).item.trials);
}

TEST(CrashRecord, AGoodRunClearsARequest) {
  End(1, {guilty});
  End(2, {guilty});
  record.OnGoodRun(guilty);
  CHECK_EQUAL(0U, record.Ends(guilty));
  End(3, {guilty});
  CHECK(At(kStart) == Clearance::kFree);
  End(4, {guilty});
  CHECK(At(kStart) == Clearance::kTrial);
}

// This node has not run it; the one that takes its requests has, since the first end.
TEST(CrashRecord, GoodRunsAtAnotherNodeCount) {
  End(1, {guilty});
  CHECK_EQUAL(0U, record.Ends(guilty, 1));
  End(2, {guilty});
  CHECK(record.IsQuarantined(guilty));
  CHECK(!record.IsQuarantined(guilty, 1));
  CHECK_EQUAL(1U, record.Ends(guilty, 1));
  // Here it has run as well.
  record.OnGoodRun(guilty);
  CHECK_EQUAL(2U, record.ExcusedEnds(guilty));
  End(3, {guilty});
  CHECK_EQUAL(1U, record.Ends(guilty));
  CHECK_EQUAL(1U, record.Ends(guilty, 1));
}

TEST(CrashRecord, AReleaseIsKnownOnceTheStoreHasIt) {
  End(1, {guilty});
  End(2, {guilty});
  Take(kStart, record.BeginTrial(guilty));
  record.OnGoodRun(guilty);
  CHECK(!record.ReleaseIsKnown(guilty));
  Take(kStart, record.Release(guilty));
  CHECK(record.ReleaseIsKnown(guilty));
  End(3, {guilty});
  CHECK(!record.ReleaseIsKnown(guilty));
}

TEST(CrashRecord, OthersHearOfAGoodRunOnlyWhereItMatters) {
  End(1, {guilty});
  CHECK(!record.OnGoodRun(guilty));
  End(2, {guilty});
  // They may hold both against it.
  CHECK(record.OnGoodRun(guilty));
  Take(kStart, record.Release(guilty));
  CHECK(!record.OnGoodRun(guilty));
}

TEST(CrashRecord, AReleaseIsUnderstoodBeforeTheEndsThatItIsAbout) {
  QuarantineItem item;
  item.released = true;
  item.worker_ids = {Worker(1), Worker(2), Worker(3)};
  record.OnQuarantine(kStart, guilty, item, 5);
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {guilty});
  CHECK(At(kStart) == Clearance::kFree);
  End(4, {guilty});
  CHECK_EQUAL(1U, record.Ends(guilty));
}

TEST(CrashRecord, AfterAReleaseTrialsCountAnew) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {guilty});
  Take(kStart, record.BeginTrial(guilty));
  Take(kStart, record.Release(guilty));
  CHECK(At(kStart) == Clearance::kFree);
  for (size_t worker = 4; worker <= 6; ++worker) End(worker, {guilty});
  CHECK(At(kStart) == Clearance::kTrial);
  CHECK_EQUAL(1U, record.BeginTrial(guilty).item.trials);
}

TEST(CrashRecord, AnOlderItemChangesNothing) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {guilty});
  const CrashRecord::Change first = record.BeginTrial(guilty);
  record.OnQuarantine(kStart, guilty, first.item, 20);
  const CrashRecord::Change second = record.BeginTrial(guilty);
  CHECK_EQUAL(20, second.expected);
  record.OnQuarantine(kStart, guilty, second.item, 21);
  record.OnQuarantine(kStart, guilty, first.item, 20);
  CHECK_EQUAL(3U, record.BeginTrial(guilty).item.trials);
}

// Once it has lapsed one run, not three, tells whether the request still ends its worker.
TEST(CrashRecord, AfterALapseOneEndIsEnough) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {guilty});
  Take(kStart, record.BeginTrial(guilty));
  record.OnQuarantineLapsed(guilty);
  for (size_t worker = 1; worker <= 3; ++worker) record.OnWorkerEndLapsed(Worker(worker));
  CHECK(At(kStart) == Clearance::kFree);
  End(7, {guilty});
  CHECK(At(kStart + seconds(60)) == Clearance::kQuarantined);
  record.OnGoodRun(guilty);
  CHECK(At(kStart) == Clearance::kFree);
}

TEST(CrashRecord, WhatLapsedIsForgotten) {
  End(1, {guilty, Print("a")});
  record.OnWorkerEndLapsed(Worker(1));
  CHECK(record.empty());
}

// A common loss of power ends hundreds of workers, with some twenty requests in each.
TEST(CrashRecord, AFloodOfBystandersDoesNotPushTheGuiltyOneOut) {
  End(1, {guilty});
  End(2, {guilty});
  for (size_t worker = 100; worker < 1700; ++worker) {
    std::vector<RequestFingerprint> bystanders;
    for (int request = 0; request < 20; ++request) {
      bystanders.push_back(Print(Worker(worker) + "/" + std::to_string(request)));
    }
    End(worker, bystanders);
  }
  CHECK_EQUAL(2U, record.Ends(guilty));
  End(3, {guilty});
  CHECK(At(kStart) == Clearance::kTrial);
}

// Guards against a request that ended workers before, which nobody remembers: with the usual number
// of runs it has more after the proof than users allow.
TEST(CrashRecord, WhereEndsMayBeForgottenARequestHasThreeRuns) {
  record.SetMayHaveForgotten(true);
  size_t runs = 1;
  End(runs, {guilty});
  Instant now = kStart;
  for (; At(now) == Clearance::kTrial; now += seconds(2)) {
    Take(now, record.BeginTrial(guilty));
    End(++runs, {guilty});
    CHECK(At(now) == Clearance::kQuarantined);
  }
  CHECK_EQUAL(3U, runs);
  CHECK_FALSE(record.UntilTrial(now, guilty).has_value());
}

// Guards against runs beside each other that are not counted where ends may be forgotten.
TEST(CrashRecord, WhereEndsMayBeForgottenEachRunThatAnEndCutsCounts) {
  record.SetMayHaveForgotten(true);
  End(1, {guilty, guilty, guilty});
  CHECK(At(kStart) == Clearance::kQuarantined);
}

// Guards against innocent requests that stay refused after the fleet was strict.
TEST(CrashRecord, AGoodRunClearsARequestWhereEndsMayBeForgotten) {
  record.SetMayHaveForgotten(true);
  End(1, {guilty});
  CHECK(At(kStart) == Clearance::kTrial);
  record.OnGoodRun(guilty);
  CHECK(At(kStart) == Clearance::kFree);
}

TEST(CrashRecord, OnceNothingIsForgottenTheUsualEndsAndTrialsHold) {
  record.SetMayHaveForgotten(true);
  End(1, {guilty});
  record.SetMayHaveForgotten(false);
  CHECK(At(kStart) == Clearance::kFree);
  CHECK_EQUAL(0U, record.quarantined());
}
