// Models a poison request that arrives about once a second at any node and terminates each worker
// that starts it, among hundreds of unrelated requests in flight in those workers.
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

  // Applies the change as if the store had committed it.
  void Take(Instant now, const CrashRecord::Change& change) {
    record.OnQuarantine(now, poison, change.item, ++revision);
  }

  Clearance At(Instant now) const { return record.ClearanceOf(now, poison); }
};

TEST(CrashRecord, SecondTerminationQuarantinesRequest) {
  CHECK(At(kStart) == Clearance::kFree);
  End(1, {poison, Fingerprint("a")});
  CHECK(At(kStart) == Clearance::kFree);
  const auto newly_quarantined = record.OnWorkerEnd(Worker(2), {poison, Fingerprint("c")});
  CHECK_EQUAL(1U, newly_quarantined.size());
  CHECK(newly_quarantined[0] == poison);
  CHECK(At(kStart) == Clearance::kTrial);
  CHECK(record.ClearanceOf(kStart, Fingerprint("a")) == Clearance::kFree);
}

// All nodes receive a termination from the store; the local node of the worker knows it before
// that.
TEST(CrashRecord, RepeatedReportCountsOnce) {
  for (int time = 0; time < 5; ++time) End(1, {poison});
  CHECK_EQUAL(1U, record.Ends(poison));
}

TEST(CrashRecord, LaterReportAddsRequests) {
  End(1, {Fingerprint("a")});
  End(1, {Fingerprint("a"), poison});
  CHECK_EQUAL(1U, record.Ends(poison));
  CHECK_EQUAL(2U, record.RequestsOf(Worker(1)).size());
}

// A poison request terminates two workers and gets four trials, however often it is sent.
TEST(CrashRecord, TerminatesBoundedNumberOfWorkers) {
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

// From the third run on the local node of the worker failed together with the worker.
TEST(CrashRecord, UnobservedTerminationsAllowNoFurtherRun) {
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

// Two runs started before all nodes knew of the first termination.
TEST(CrashRecord, ConcurrentRunReplacesTrial) {
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

// Users count each interrupted run. Guards against a request that had four runs in flight in the
// first worker and still got four more runs long after that.
TEST(CrashRecord, RunsInterruptedTogetherReplaceTrials) {
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

// Other nodes write the termination that was sent to them directly.
TEST(CrashRecord, RepeatedRunsOfOneTerminationAreKept) {
  End(1, {poison, Fingerprint("a"), poison});
  End(1, {poison, poison, Fingerprint("a")});
  CHECK_EQUAL(3U, record.RequestsOf(Worker(1)).size());
  CHECK_EQUAL(1U, record.Ends(poison));
}

// A power failure may terminate any number of workers under a harmless request.
TEST(CrashRecord, SimultaneousTerminationsLeaveATrial) {
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

TEST(CrashRecord, TrialThatReachedNoWorkerDoesNotCount) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  Take(kStart, record.BeginTrial(poison));
  Take(kStart, record.ReturnTrial(poison));
  CHECK_EQUAL(1U, record.BeginTrial(poison).item.trials);
}

TEST(CrashRecord, CompletedRunClearsRequest) {
  End(1, {poison});
  End(2, {poison});
  record.OnGoodRun(poison);
  CHECK_EQUAL(0U, record.Ends(poison));
  End(3, {poison});
  CHECK(At(kStart) == Clearance::kFree);
  End(4, {poison});
  CHECK(At(kStart) == Clearance::kTrial);
}

// This node has not seen the request complete, but the node that forwarded it has, after the first
// termination.
TEST(CrashRecord, CompletedRunsAtAnotherNodeCount) {
  End(1, {poison});
  CHECK_EQUAL(0U, record.Ends(poison, 1));
  End(2, {poison});
  CHECK(record.IsQuarantined(poison));
  CHECK(!record.IsQuarantined(poison, 1));
  CHECK_EQUAL(1U, record.Ends(poison, 1));
  // The request now completes at this node too.
  record.OnGoodRun(poison);
  CHECK_EQUAL(2U, record.ExcusedEnds(poison));
  End(3, {poison});
  CHECK_EQUAL(1U, record.Ends(poison));
  CHECK_EQUAL(1U, record.Ends(poison, 1));
}

TEST(CrashRecord, ReleaseIsKnownOnceStored) {
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

TEST(CrashRecord, CompletedRunIsReportedOnlyIfOthersCountTerminations) {
  End(1, {poison});
  CHECK(!record.OnGoodRun(poison));
  End(2, {poison});
  // Other nodes may count both terminations against it.
  CHECK(record.OnGoodRun(poison));
  Take(kStart, record.Release(poison));
  CHECK(!record.OnGoodRun(poison));
}

TEST(CrashRecord, ReleaseMayArriveBeforeItsTerminations) {
  QuarantineItem item;
  item.released = true;
  item.worker_ids = {Worker(1), Worker(2), Worker(3)};
  record.OnQuarantine(kStart, poison, item, 5);
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  CHECK(At(kStart) == Clearance::kFree);
  End(4, {poison});
  CHECK_EQUAL(1U, record.Ends(poison));
}

TEST(CrashRecord, ReleaseResetsTrialCount) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  Take(kStart, record.BeginTrial(poison));
  Take(kStart, record.Release(poison));
  CHECK(At(kStart) == Clearance::kFree);
  for (size_t worker = 4; worker <= 6; ++worker) End(worker, {poison});
  CHECK(At(kStart) == Clearance::kTrial);
  CHECK_EQUAL(1U, record.BeginTrial(poison).item.trials);
}

TEST(CrashRecord, OlderItemIsIgnored) {
  for (size_t worker = 1; worker <= 3; ++worker) End(worker, {poison});
  const CrashRecord::Change first = record.BeginTrial(poison);
  record.OnQuarantine(kStart, poison, first.item, 20);
  const CrashRecord::Change second = record.BeginTrial(poison);
  CHECK_EQUAL(20, second.expected);
  record.OnQuarantine(kStart, poison, second.item, 21);
  record.OnQuarantine(kStart, poison, first.item, 20);
  CHECK_EQUAL(3U, record.BeginTrial(poison).item.trials);
}

// After the quarantine expired a single run, not three, tells whether the request still terminates
// its worker.
TEST(CrashRecord, OneTerminationSufficesAfterQuarantineExpired) {
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

TEST(CrashRecord, ExpiredTerminationIsRemoved) {
  End(1, {poison, Fingerprint("a")});
  record.OnWorkerEndLapsed(Worker(1));
  CHECK(record.empty());
}

// A power failure terminates hundreds of workers with about twenty requests each.
TEST(CrashRecord, UnrelatedRequestsDoNotEvictPoisonRequest) {
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

// Guards against a request whose earlier terminations are missing from the store: with the usual
// limit it would get more runs after the proof than users accept.
TEST(CrashRecord, IncompleteHistoryLimitsRequestToThreeRuns) {
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

// Guards against concurrent runs that are not counted while the history may be incomplete.
TEST(CrashRecord, IncompleteHistoryCountsEachInterruptedRun) {
  record.SetHistoryMayBeIncomplete(true);
  End(1, {poison, poison, poison});
  CHECK(At(kStart) == Clearance::kQuarantined);
}

// Guards against harmless requests that stay refused after the stricter rules applied.
TEST(CrashRecord, IncompleteHistoryCompletedRunClearsRequest) {
  record.SetHistoryMayBeIncomplete(true);
  End(1, {poison});
  CHECK(At(kStart) == Clearance::kTrial);
  record.OnGoodRun(poison);
  CHECK(At(kStart) == Clearance::kFree);
}

TEST(CrashRecord, CompleteHistoryRestoresUsualLimits) {
  record.SetHistoryMayBeIncomplete(true);
  End(1, {poison});
  record.SetHistoryMayBeIncomplete(false);
  CHECK(At(kStart) == Clearance::kFree);
  CHECK_EQUAL(0U, record.quarantined());
}
