// Requests that end their workers, while the store comes back from older copies of its data.

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "tests/platform_adapter/crashing_workers.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The first three ends, and three more that users allow.
constexpr size_t kAllowedInAll = 6;
// Users allow three more runs, later than this after the third end.
constexpr Duration kTimeToLearn = seconds(3);
constexpr size_t kAllowedLater = 3;
constexpr Duration kCallerInterval = milliseconds(250);
constexpr Duration kWatched = seconds(11);
// An answer of the store is read within this time.
constexpr Duration kTimeToRead = milliseconds(60);
// Workers tell of themselves several times within this time.
constexpr Duration kTimeToTell = milliseconds(300);
// The nodes that remember an end write it again sooner than this.
constexpr Duration kTimeToWrite = seconds(1);
constexpr Duration kAway = milliseconds(300);
// Nodes that start wait this long for others that remember, and then write that none does.
constexpr Duration kTimeToMissOthers = seconds(8);
const char* const kFatal = "/send/fatal";
const std::vector<std::string> kFleet{"other", "other", "other", "plain",
                                      "plain", "plain", "plain"};

std::string EndKey(const Fleet& fleet, size_t node, const std::string& worker_life) {
  return "runshelf/worker-ends/" + worker_life + "/" + fleet.nodes[node].settings.node_name;
}

// What becomes of the node that took the request, and whose attempt broke off.
enum class Sender { kLives, kLost };

// A worker ends under the request that node `taker` takes. The store acknowledges what nodes write
// of it, and goes back to a copy without it before any watch has brought it. Returns the key of the
// end.
std::string EndThatTheStoreForgets(Fleet& fleet, CrashingWorkers& workers, size_t taker,
                                   Sender sender) {
  // Its node knows which life of the worker this is.
  RunFor(fleet.loop, kTimeToTell);
  std::vector<std::string> lives;
  for (const Fleet::Node& node : fleet.nodes) lives.push_back(node.worker->life());
  const auto copy = fleet.store.TakeCopy();
  fleet.store.set_watches_silent(true);
  const size_t ends = workers.ends();
  const auto pending = fleet.Begin(taker, "POST", kFatal, "order 666");
  CHECK(RunUntil(fleet.loop, [&] { return workers.ends() > ends; }));
  const size_t beside = workers.LastNode(kFatal);
  std::string key = EndKey(fleet, beside, lives[beside]);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.store.Find(key) != nullptr; }));
  RunFor(fleet.loop, kTimeToRead);
  if (sender == Sender::kLost) fleet.Kill(taker);
  fleet.store.Restore(*copy);
  fleet.store.set_watches_silent(false);
  CHECK(fleet.store.Find(key) == nullptr);
  return key;
}

// All workers are up and known, and the next trial may begin.
void WaitForWorkers(Fleet& fleet, CrashingWorkers& workers) {
  CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
  RunFor(fleet.loop, seconds(2));
}

// The request comes at the first three nodes for long; it reaches no more workers than users allow.
void CheckThatItReachesFewWorkers(Fleet& fleet, CrashingWorkers& workers) {
  RepeatingCaller caller(fleet, {0, 1, 2}, {"POST", kFatal, "order 666", {}}, kCallerInterval);
  RunFor(fleet.loop, kWatched);
  caller.Finish();
  CHECK_COMPARE(workers.BegunAfterThird(kFatal, kTimeToLearn), <=, kAllowedLater);
  CHECK_COMPARE(workers.Begun(kFatal).size(), <=, kAllowedInAll);
}

// A worker ends under the request that node `taker` takes.
void EndWorker(Fleet& fleet, CrashingWorkers& workers, size_t taker) {
  RunFor(fleet.loop, kTimeToTell);
  const size_t ends = workers.ends();
  fleet.Request(taker, "POST", kFatal, "order 666");
  CHECK(RunUntil(fleet.loop, [&] { return workers.ends() > ends; }));
  WaitForWorkers(fleet, workers);
}

// All nodes are killed while the store is away, which comes back from the copy.
void LoseAllNodes(Fleet& fleet, const FakeStore::Copy& copy) {
  fleet.store.set_fault(FakeStore::Fault::kReset);
  RunFor(fleet.loop, kAway);
  for (size_t node = 0; node < fleet.nodes.size(); ++node) fleet.Kill(node);
  fleet.store.Restore(copy);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  for (size_t node = 0; node < fleet.nodes.size(); ++node) fleet.Restart(node);
}

std::string MemoryRecord(const Fleet& fleet, int era) {
  const std::string* value = fleet.store.Find("runshelf/memory/" + std::to_string(era));
  return value == nullptr ? "" : *value;
}

}  // namespace

TEST_GROUP(RestoredQuarantine){};

// A node had written the end of its worker, and not seen it again when the store went back: it was
// in no copy of the state that the node compared, and nobody wrote it again.
TEST(RestoredQuarantine, AnEndThatWasAcknowledgedAndNotSeenIsWrittenAgain) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  const std::string key = EndThatTheStoreForgets(fleet, workers, 0, Sender::kLost);
  CHECK(RunUntil(
      fleet.loop, [&] { return fleet.store.Find(key) != nullptr; }, kTimeToWrite));
}

// The store had acknowledged an end and passed it on to nobody: the node that had written it was
// lost, and the others, which it had not told, knew nothing when the store went back.
TEST(RestoredQuarantine, AnEndThatNoWatchBringsIsToldDirectly) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  RunFor(fleet.loop, kTimeToTell);
  std::vector<std::string> lives;
  for (const Fleet::Node& node : fleet.nodes) lives.push_back(node.worker->life());
  const auto copy = fleet.store.TakeCopy();
  fleet.store.set_watches_silent(true);
  fleet.Request(0, "POST", kFatal, "order 666");
  const size_t beside = workers.LastNode(kFatal);
  const std::string key = EndKey(fleet, beside, lives[beside]);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.store.Find(key) != nullptr; }));
  RunFor(fleet.loop, milliseconds(1500));
  fleet.Kill(beside);
  fleet.Kill(0);
  fleet.store.Restore(*copy);
  fleet.store.set_watches_silent(false);
  CHECK(fleet.store.Find(key) == nullptr);
  CHECK(RunUntil(
      fleet.loop, [&] { return fleet.store.Find(key) != nullptr; }, kTimeToWrite));
}

// The request reached workers again for each end that was forgotten in this way.
TEST(RestoredQuarantine, EndsThatTheStoreForgotCostNoFurtherRuns) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  for (size_t end = 0; end < 3; ++end) {
    EndThatTheStoreForgets(fleet, workers, 0, Sender::kLost);
    fleet.Restart(0);
    WaitForWorkers(fleet, workers);
  }
  CheckThatItReachesFewWorkers(fleet, workers);
}

// Trials that a node had counted at the store, and not seen again when it went back, were known to
// that node alone: the other nodes began as many once more.
TEST(RestoredQuarantine, TrialsThatTheStoreForgotAreStillCounted) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  for (size_t end = 0; end < 2; ++end) {
    RunFor(fleet.loop, kTimeToTell);
    fleet.Request(0, "POST", kFatal, "order 666");
    WaitForWorkers(fleet, workers);
  }
  for (size_t trial = 0; trial < 2; ++trial) {
    EndThatTheStoreForgets(fleet, workers, trial, Sender::kLives);
    WaitForWorkers(fleet, workers);
  }
  CheckThatItReachesFewWorkers(fleet, workers);
}

// All nodes were lost beside a restore, and with them all that was known of a request that had
// ended two workers: it ended six more, four of them later than users allow.
TEST(RestoredQuarantine, ARequestThatNobodyRemembersReachesNoMoreWorkersThanUsersAllow) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  const auto copy = fleet.store.TakeCopy();
  for (size_t end = 0; end < 2; ++end) EndWorker(fleet, workers, end);
  LoseAllNodes(fleet, *copy);
  WaitForWorkers(fleet, workers);
  CheckThatItReachesFewWorkers(fleet, workers);
  CHECK(RunUntil(
      fleet.loop, [&] { return MemoryRecord(fleet, 1) == "lost"; }, kTimeToMissOthers));
}

// The same, where the forgotten ends were proof already.
TEST(RestoredQuarantine, AProvenRequestThatNobodyRemembersReachesNoMoreWorkersThanUsersAllow) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  const auto copy = fleet.store.TakeCopy();
  for (size_t end = 0; end < 3; ++end) EndWorker(fleet, workers, end);
  LoseAllNodes(fleet, *copy);
  WaitForWorkers(fleet, workers);
  CheckThatItReachesFewWorkers(fleet, workers);
}

// A fleet that was strict although nobody had forgotten anything refused requests for one end that
// had another reason.
TEST(RestoredQuarantine, NodesThatLiveOnTellThatNothingIsForgotten) {
  Fleet fleet(kFleet);
  fleet.Start();
  CHECK(RunUntil(fleet.loop, [&] { return MemoryRecord(fleet, 0) == "kept"; }));
  const auto copy = fleet.store.TakeCopy();
  fleet.store.set_fault(FakeStore::Fault::kReset);
  RunFor(fleet.loop, kAway);
  fleet.store.Restore(*copy);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  CHECK(RunUntil(
      fleet.loop, [&] { return MemoryRecord(fleet, 1) == "kept"; }, seconds(4)));
  fleet.Kill(0);
  fleet.Restart(0);
  RunFor(fleet.loop, kTimeToMissOthers);
  STRCMP_EQUAL("kept", MemoryRecord(fleet, 1).c_str());
}

// The store went back once more, to a copy from before the loss, which says that nothing is
// forgotten: the nodes believed it.
TEST(RestoredQuarantine, ALossIsRememberedWhenTheStoreGoesBackAgain) {
  Fleet fleet(kFleet);
  fleet.Start();
  CHECK(RunUntil(fleet.loop, [&] { return MemoryRecord(fleet, 0) == "kept"; }));
  const auto copy = fleet.store.TakeCopy();
  LoseAllNodes(fleet, *copy);
  RunFor(fleet.loop, seconds(1));
  fleet.store.Restore(*copy);
  CHECK(RunUntil(
      fleet.loop, [&] { return MemoryRecord(fleet, 2) == "lost"; }, kTimeToMissOthers));
}
