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

RequestFingerprint Fingerprint(const std::string& name) {
  http::Request request;
  request.head.target = "/" + name;
  return FingerprintOf(request, std::nullopt);
}

std::string Worker(size_t index) { return "w" + std::to_string(index); }

}  // namespace

TEST_GROUP(CrashRecord) {
  CrashRecord record;
  const RequestFingerprint poison = Fingerprint("poison");
  store::Revision revision = 10;

  void End(size_t worker, const std::vector<RequestFingerprint>& requests) {
    record.OnWorkerEnd(Worker(worker), requests);
  }

  // As the store takes the change.
  void Take(Instant now, const CrashRecord::Change& change) {
    record.OnQuarantine(now, poison, change.item, ++revision);
  }

  Clearance At(Instant now) const { return record.ClearanceOf(now, poison); }
};

TEST(CrashRecord, TheSecondEndPutsARequestInQuarantine) {
  CHECK(At(kStart) == Clearance::kFree);
  End(1, {poison, Fingerprint("a")});
  CHECK(At(kStart) == Clearance::kFree);
  const auto newly_quarantined = record.OnWorkerEnd(Worker(2), {poison, Fingerprint("c")});
  CHECK_EQUAL(1U, newly_quarantined.size());
  CHECK(newly_quarantined[0] == poison);
  CHECK(At(kStart) == Clearance::kTrial);
  CHECK(record.ClearanceOf(kStart, Fingerprint("a")) == Clearance::kFree);
}

// Nodes hear of an end from the store, the one beside the worker before that.
TEST(CrashRecord, AnEndThatIsToldTwiceCountsOnce) {
  for (int time = 0; time < 5; ++time) End(1, {poison});
  CHECK_EQUAL(1U, record.Ends(poison));
}

TEST(CrashRecord, WhatIsToldLaterOfAnEndIsAdded) {
  End(1, {Fingerprint("a")});
  End(1, {Fingerprint("a"), poison});
  CHECK_EQUAL(1U, record.Ends(poison));
  CHECK_EQUAL(2U, record.RequestsOf(Worker(1)).size());
}

// The poison one costs two workers and four trials, however often it comes.
TEST(CrashRecord, ItReachesABoundedNumberOfWorkers) {
  size_t workers = 0;
  Instant now = kStart;
  for (int second = 0; second < 600; ++second, now += seconds(1)) {
    const Clearance clearance = At(now);
    if (clearance == Clearance::kQuarantined) continue;
    if (clearance == Clearance::kTrial) Take(now, record.BeginTrial(poison));
    End(++workers, {poison, Fingerprint("unrelated" + std::to_string(second))});
  }
  CHECK_EQUAL(6U, workers);
  CHECK(!record.UntilTrial(now, poison).has_value());
}

// The node beside the worker was lost with it, each time from the third run on.
TEST(CrashRecord, EndsThatNobodySeesCostNoFurtherRun) {
  End(1, {poison});
  End(2, {poison});
  size_t runs = 2;
  Instant now = kStart;
  for (int second = 0; second < 600; ++second, now += seconds(1)) {
    if (At(now) != Clearance::kTrial) continue;
    Take(now, record.BeginTrial(poison));
    ++runs;
  }
  CHECK_EQUAL(6U, runs);
}

// Two runs began before the first end was known everywhere.
TEST(CrashRecord, ARunBesideTheOthersTakesThePlaceOfATrial) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  size_t workers = 3;
  Instant now = kStart;
  for (int second = 0; second < 600; ++second, now += seconds(1)) {
    if (At(now) != Clearance::kTrial) continue;
    Take(now, record.BeginTrial(poison));
    End(++workers, {poison});
  }
  CHECK_EQUAL(6U, workers);
}

// Users count each run that the end of a worker cut. A request that was at work four times in the
// first worker was run four times more, long after that.
TEST(CrashRecord, RunsThatOneEndCutTakeThePlaceOfTrials) {
  const std::map<size_t, size_t> trials_by_runs{{1, 4}, {2, 3}, {3, 2}, {4, 2}};
  for (const auto& [runs, allowed] : trials_by_runs) {
    record = CrashRecord();
    End(1, std::vector<RequestFingerprint>(runs, poison));
    End(2, {poison});
    size_t trials = 0;
    Instant now = kStart;
    for (int second = 0; second < 600; ++second, now += seconds(1)) {
      if (At(now) != Clearance::kTrial) continue;
      Take(now, record.BeginTrial(poison));
      ++trials;
      End(2 + trials, {poison});
    }
    CHECK_EQUAL(allowed, trials);
  }
}

// Other nodes write the end that they were told of.
TEST(CrashRecord, TheRunsOfAnEndAreToldOn) {
  End(1, {poison, Fingerprint("a"), poison});
  End(1, {poison, poison, Fingerprint("a")});
  CHECK_EQUAL(3U, record.RequestsOf(Worker(1)).size());
  CHECK_EQUAL(1U, record.Ends(poison));
}

// However many workers a common loss of power ended under it.
TEST(CrashRecord, ARequestUnderManyEndsAtOnceIsTried) {
  for (size_t worker = 1; worker <= 40; ++worker) End(worker, {poison});
  CHECK(At(kStart) == Clearance::kTrial);
  Take(kStart, record.BeginTrial(poison));
  record.OnGoodRun(poison);
  CHECK(At(kStart) == Clearance::kFree);
}

TEST(CrashRecord, TrialsAreSpaced) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  Take(kStart, record.BeginTrial(poison));
  CHECK(At(kStart + milliseconds(999)) == Clearance::kQuarantined);
  CHECK(record.UntilTrial(kStart, poison) == seconds(1));
  CHECK(At(kStart + seconds(1)) == Clearance::kTrial);
}

TEST(CrashRecord, ATrialThatReachedNoWorkerIsGivenBack) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  Take(kStart, record.BeginTrial(poison));
  Take(kStart, record.ReturnTrial(poison));
  CHECK_EQUAL(1U, record.BeginTrial(poison).item.trials);
}

TEST(CrashRecord, AGoodRunClearsARequest) {
  End(1, {poison});
  End(2, {poison});
  record.OnGoodRun(poison);
  CHECK_EQUAL(0U, record.Ends(poison));
  End(3, {poison});
  CHECK(At(kStart) == Clearance::kFree);
  End(4, {poison});
  CHECK(At(kStart) == Clearance::kTrial);
}

// This node has not run it; the one that takes its requests has, since the first end.
TEST(CrashRecord, GoodRunsAtAnotherNodeCount) {
  End(1, {poison});
  CHECK_EQUAL(0U, record.Ends(poison, 1));
  End(2, {poison});
  CHECK(record.IsQuarantined(poison));
  CHECK(!record.IsQuarantined(poison, 1));
  CHECK_EQUAL(1U, record.Ends(poison, 1));
  // Here it has run as well.
  record.OnGoodRun(poison);
  CHECK_EQUAL(2U, record.ExcusedEnds(poison));
  End(3, {poison});
  CHECK_EQUAL(1U, record.Ends(poison));
  CHECK_EQUAL(1U, record.Ends(poison, 1));
}

TEST(CrashRecord, AReleaseIsKnownOnceTheStoreHasIt) {
  End(1, {poison});
  End(2, {poison});
  Take(kStart, record.BeginTrial(poison));
  record.OnGoodRun(poison);
  CHECK(!record.ReleaseIsKnown(poison));
  Take(kStart, record.Release(poison));
  CHECK(record.ReleaseIsKnown(poison));
  End(3, {poison});
  CHECK(!record.ReleaseIsKnown(poison));
}

TEST(CrashRecord, OthersHearOfAGoodRunOnlyWhereItMatters) {
  End(1, {poison});
  CHECK(!record.OnGoodRun(poison));
  End(2, {poison});
  // They may hold both against it.
  CHECK(record.OnGoodRun(poison));
  Take(kStart, record.Release(poison));
  CHECK(!record.OnGoodRun(poison));
}

TEST(CrashRecord, AReleaseIsUnderstoodBeforeTheEndsThatItIsAbout) {
  QuarantineItem item;
  item.released = true;
  item.worker_ids = {Worker(1), Worker(2), Worker(3)};
  record.OnQuarantine(kStart, poison, item, 5);
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  CHECK(At(kStart) == Clearance::kFree);
  End(4, {poison});
  CHECK_EQUAL(1U, record.Ends(poison));
}

TEST(CrashRecord, AfterAReleaseTrialsCountAnew) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  Take(kStart, record.BeginTrial(poison));
  Take(kStart, record.Release(poison));
  CHECK(At(kStart) == Clearance::kFree);
  for (size_t worker = 4; worker <= 6; ++worker) End(worker, {poison});
  CHECK(At(kStart) == Clearance::kTrial);
  CHECK_EQUAL(1U, record.BeginTrial(poison).item.trials);
}

TEST(CrashRecord, AnOlderItemChangesNothing) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  const CrashRecord::Change first = record.BeginTrial(poison);
  record.OnQuarantine(kStart, poison, first.item, 20);
  const CrashRecord::Change second = record.BeginTrial(poison);
  CHECK_EQUAL(20, second.expected);
  record.OnQuarantine(kStart, poison, second.item, 21);
  record.OnQuarantine(kStart, poison, first.item, 20);
  CHECK_EQUAL(3U, record.BeginTrial(poison).item.trials);
}

// Once it has lapsed one run, not three, tells whether the request still ends its worker.
TEST(CrashRecord, AfterALapseOneEndIsEnough) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  Take(kStart, record.BeginTrial(poison));
  record.OnQuarantineLapsed(poison);
  for (size_t worker = 1; worker <= 3; ++worker) record.OnWorkerEndLapsed(Worker(worker));
  CHECK(At(kStart) == Clearance::kFree);
  End(7, {poison});
  CHECK(At(kStart + seconds(60)) == Clearance::kQuarantined);
  record.OnGoodRun(poison);
  CHECK(At(kStart) == Clearance::kFree);
}

TEST(CrashRecord, WhatLapsedIsForgotten) {
  End(1, {poison, Fingerprint("a")});
  record.OnWorkerEndLapsed(Worker(1));
  CHECK(record.empty());
}

// A common loss of power ends hundreds of workers, with some twenty requests in each.
TEST(CrashRecord, AFloodOfBystandersDoesNotPushTheGuiltyOneOut) {
  End(1, {poison});
  End(2, {poison});
  for (size_t worker = 100; worker < 1700; ++worker) {
    std::vector<RequestFingerprint> unrelated;
    for (int request = 0; request < 20; ++request) {
      unrelated.push_back(Fingerprint(Worker(worker) + "/" + std::to_string(request)));
    }
    End(worker, unrelated);
  }
  CHECK_EQUAL(2U, record.Ends(poison));
  End(3, {poison});
  CHECK(At(kStart) == Clearance::kTrial);
}

// Guards against a request that ended workers before, which nobody remembers: with the usual number
// of runs it has more after the proof than users allow.
TEST(CrashRecord, WhereEndsMayBeForgottenARequestHasThreeRuns) {
  record.SetHistoryMayBeIncomplete(true);
  size_t runs = 1;
  End(runs, {poison});
  Instant now = kStart;
  for (; At(now) == Clearance::kTrial; now += seconds(2)) {
    Take(now, record.BeginTrial(poison));
    End(++runs, {poison});
    CHECK(At(now) == Clearance::kQuarantined);
  }
  CHECK_EQUAL(3U, runs);
  CHECK_FALSE(record.UntilTrial(now, poison).has_value());
}

// Guards against runs beside each other that are not counted where ends may be forgotten.
TEST(CrashRecord, WhereEndsMayBeForgottenEachRunThatAnEndCutsCounts) {
  record.SetHistoryMayBeIncomplete(true);
  End(1, {poison, poison, poison});
  CHECK(At(kStart) == Clearance::kQuarantined);
}

// Guards against innocent requests that stay refused after the fleet was strict.
TEST(CrashRecord, AGoodRunClearsARequestWhereEndsMayBeForgotten) {
  record.SetHistoryMayBeIncomplete(true);
  End(1, {poison});
  CHECK(At(kStart) == Clearance::kTrial);
  record.OnGoodRun(poison);
  CHECK(At(kStart) == Clearance::kFree);
}

TEST(CrashRecord, OnceNothingIsForgottenTheUsualEndsAndTrialsHold) {
  record.SetHistoryMayBeIncomplete(true);
  End(1, {poison});
  record.SetHistoryMayBeIncomplete(false);
  CHECK(At(kStart) == Clearance::kFree);
  CHECK_EQUAL(0U, record.quarantined());
}
