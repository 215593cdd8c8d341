// Quarantine of requests that crash their workers while the store is restored from older snapshots
// of its data.

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

// The first three crashes and at most three further runs.
constexpr size_t kMaxTotalRuns = 6;
// Requirement: at most three further runs later than this after the third crash.
constexpr Duration kQuarantineDelay = seconds(3);
constexpr size_t kMaxLaterRuns = 3;
constexpr Duration kCallerInterval = milliseconds(250);
constexpr Duration kObservationTime = seconds(11);
// Time within which a node reads an answer of the store.
constexpr Duration kStoreReadTime = milliseconds(60);
// Time within which each worker sends several heartbeats.
constexpr Duration kHeartbeatTime = milliseconds(300);
// Time within which the nodes that know of a crash rewrite its item.
constexpr Duration kRewriteTime = seconds(1);
constexpr Duration kStoreOutage = milliseconds(300);
// Time for which starting nodes wait for others that kept their state, before they record that none
// did.
constexpr Duration kPeerWaitTime = seconds(8);
const char* const kFatal = "/send/fatal";
const std::vector<std::string> kFleet{"other", "other", "other", "plain",
                                      "plain", "plain", "plain"};

std::string WorkerEndKey(const Fleet& fleet, size_t node, const std::string& worker_life) {
  return "runshelf/worker-ends/" + worker_life + "/" + fleet.nodes[node].settings.node_name;
}

// Whether the node that received the request, and whose attempt failed, survives.
enum class ReceivingNode { kSurvives, kLost };

// Crashes a worker by a request sent to node `receiver`. The store acknowledges the items that
// nodes write about the crash, and is restored from a snapshot without them before any watch has
// delivered them. Returns the key of the crash item.
std::string CrashLostByStore(Fleet& fleet, CrashingWorkers& workers, size_t receiver,
                             ReceivingNode receiving_node) {
  // Lets each node learn the incarnation of its worker.
  RunFor(fleet.loop, kHeartbeatTime);
  std::vector<std::string> lives;
  for (const Fleet::Node& node : fleet.nodes) lives.push_back(node.worker->life());
  const auto copy = fleet.store.TakeCopy();
  fleet.store.set_watches_silent(true);
  const size_t ends = workers.ends();
  const auto pending = fleet.Begin(receiver, "POST", kFatal, "order 666");
  CHECK(RunUntil(fleet.loop, [&] { return workers.ends() > ends; }));
  const size_t worker_node = workers.LastNode(kFatal);
  std::string key = WorkerEndKey(fleet, worker_node, lives[worker_node]);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.store.Find(key) != nullptr; }));
  RunFor(fleet.loop, kStoreReadTime);
  if (receiving_node == ReceivingNode::kLost) fleet.Kill(receiver);
  fleet.store.Restore(*copy);
  fleet.store.set_watches_silent(false);
  CHECK(fleet.store.Find(key) == nullptr);
  return key;
}

// Waits until all workers are up and known to their nodes and the next trial run may begin.
void WaitForWorkers(Fleet& fleet, CrashingWorkers& workers) {
  CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
  RunFor(fleet.loop, seconds(2));
}

// Sends the request to the first three nodes repeatedly, and checks that it reaches no more workers
// than allowed.
void CheckReachesFewWorkers(Fleet& fleet, CrashingWorkers& workers) {
  RepeatingCaller caller(fleet, {0, 1, 2}, {"POST", kFatal, "order 666", {}}, kCallerInterval);
  RunFor(fleet.loop, kObservationTime);
  caller.Finish();
  CHECK_COMPARE(workers.BegunAfterThird(kFatal, kQuarantineDelay), <=, kMaxLaterRuns);
  CHECK_COMPARE(workers.Begun(kFatal).size(), <=, kMaxTotalRuns);
}

// Crashes a worker by a request sent to node `receiver`.
void CrashWorker(Fleet& fleet, CrashingWorkers& workers, size_t receiver) {
  RunFor(fleet.loop, kHeartbeatTime);
  const size_t ends = workers.ends();
  fleet.Request(receiver, "POST", kFatal, "order 666");
  CHECK(RunUntil(fleet.loop, [&] { return workers.ends() > ends; }));
  WaitForWorkers(fleet, workers);
}

// Restarts all nodes while the store is unavailable and is restored from `copy`.
void RestartAllNodesDuringRestore(Fleet& fleet, const FakeStore::Copy& copy) {
  fleet.store.set_fault(FakeStore::Fault::kReset);
  RunFor(fleet.loop, kStoreOutage);
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

// Guards against losing a crash item that a node had written but not yet seen in a watch when the
// store was restored: the state that the node compared did not contain it, and no node rewrote it.
TEST(RestoredQuarantine, AcknowledgedButUnseenCrashIsRewritten) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  const std::string key = CrashLostByStore(fleet, workers, 0, ReceivingNode::kLost);
  CHECK(RunUntil(
      fleet.loop, [&] { return fleet.store.Find(key) != nullptr; }, kRewriteTime));
}

// Guards against losing a crash item that the store acknowledged but delivered in no watch: the
// node that had written it was lost, and the other nodes, which it had not notified, did not know
// of the crash when the store was restored.
TEST(RestoredQuarantine, CrashMissingFromWatchesIsSentDirectly) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  RunFor(fleet.loop, kHeartbeatTime);
  std::vector<std::string> lives;
  for (const Fleet::Node& node : fleet.nodes) lives.push_back(node.worker->life());
  const auto copy = fleet.store.TakeCopy();
  fleet.store.set_watches_silent(true);
  fleet.Request(0, "POST", kFatal, "order 666");
  const size_t worker_node = workers.LastNode(kFatal);
  const std::string key = WorkerEndKey(fleet, worker_node, lives[worker_node]);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.store.Find(key) != nullptr; }));
  RunFor(fleet.loop, milliseconds(1500));
  fleet.Kill(worker_node);
  fleet.Kill(0);
  fleet.store.Restore(*copy);
  fleet.store.set_watches_silent(false);
  CHECK(fleet.store.Find(key) == nullptr);
  CHECK(RunUntil(
      fleet.loop, [&] { return fleet.store.Find(key) != nullptr; }, kRewriteTime));
}

// Guards against one further run of the request for each crash item lost in this way.
TEST(RestoredQuarantine, CrashesLostByStoreCauseNoFurtherRuns) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  for (size_t end = 0; end < 3; ++end) {
    CrashLostByStore(fleet, workers, 0, ReceivingNode::kLost);
    fleet.Restart(0);
    WaitForWorkers(fleet, workers);
  }
  CheckReachesFewWorkers(fleet, workers);
}

// Guards against repeated trial runs: trials that a node had counted in the store, but not yet seen
// in a watch when the store was restored, were known to that node alone, and the other nodes began
// as many again.
TEST(RestoredQuarantine, TrialsLostByStoreAreStillCounted) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  for (size_t end = 0; end < 2; ++end) {
    RunFor(fleet.loop, kHeartbeatTime);
    fleet.Request(0, "POST", kFatal, "order 666");
    WaitForWorkers(fleet, workers);
  }
  for (size_t trial = 0; trial < 2; ++trial) {
    CrashLostByStore(fleet, workers, trial, ReceivingNode::kSurvives);
    WaitForWorkers(fleet, workers);
  }
  CheckReachesFewWorkers(fleet, workers);
}

// Guards against losing all records of a request when all nodes are lost during a restore: a
// request that had crashed two workers crashed six more, four of them later than allowed.
TEST(RestoredQuarantine, RequestWithLostRecordsStaysWithinAllowedRuns) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  const auto copy = fleet.store.TakeCopy();
  for (size_t end = 0; end < 2; ++end) CrashWorker(fleet, workers, end);
  RestartAllNodesDuringRestore(fleet, *copy);
  WaitForWorkers(fleet, workers);
  CheckReachesFewWorkers(fleet, workers);
  CHECK(RunUntil(
      fleet.loop, [&] { return MemoryRecord(fleet, 1) == "lost"; }, kPeerWaitTime));
}

// The same with three lost crashes, which had already put the request into quarantine.
TEST(RestoredQuarantine, QuarantinedRequestWithLostRecordsStaysWithinAllowedRuns) {
  Fleet fleet(kFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  const auto copy = fleet.store.TakeCopy();
  for (size_t end = 0; end < 3; ++end) CrashWorker(fleet, workers, end);
  RestartAllNodesDuringRestore(fleet, *copy);
  WaitForWorkers(fleet, workers);
  CheckReachesFewWorkers(fleet, workers);
}

// Guards against strict quarantine rules in a fleet that has lost no records: requests were refused
// after a single crash that had another cause.
TEST(RestoredQuarantine, SurvivingNodesRecordThatNothingIsLost) {
  Fleet fleet(kFleet);
  fleet.Start();
  CHECK(RunUntil(fleet.loop, [&] { return MemoryRecord(fleet, 0) == "kept"; }));
  const auto copy = fleet.store.TakeCopy();
  fleet.store.set_fault(FakeStore::Fault::kReset);
  RunFor(fleet.loop, kStoreOutage);
  fleet.store.Restore(*copy);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  CHECK(RunUntil(
      fleet.loop, [&] { return MemoryRecord(fleet, 1) == "kept"; }, seconds(4)));
  fleet.Kill(0);
  fleet.Restart(0);
  RunFor(fleet.loop, kPeerWaitTime);
  STRCMP_EQUAL("kept", MemoryRecord(fleet, 1).c_str());
}

// Guards against trusting the memory record of a snapshot from before the loss, which says that no
// records were lost, when the store is restored again.
TEST(RestoredQuarantine, LossIsStillRecordedAfterNextRestore) {
  Fleet fleet(kFleet);
  fleet.Start();
  CHECK(RunUntil(fleet.loop, [&] { return MemoryRecord(fleet, 0) == "kept"; }));
  const auto copy = fleet.store.TakeCopy();
  RestartAllNodesDuringRestore(fleet, *copy);
  RunFor(fleet.loop, seconds(1));
  fleet.store.Restore(*copy);
  CHECK(RunUntil(
      fleet.loop, [&] { return MemoryRecord(fleet, 2) == "lost"; }, kPeerWaitTime));
}
