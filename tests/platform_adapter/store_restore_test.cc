// The store is restored from an older snapshot of its data, which rolls back revisions, leases and
// everything that nodes have written since.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>

#include "source/sharding/shard_map.h"
#include "source/sidecar/shard_map_key.h"
#include "tests/platform_adapter/fleet.h"
#include "tests/soak/ownership_judge.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

// Longest time for which requests for a key may be refused while its grants are renewed under new
// tokens; shorter than clients wait for an answer.
constexpr Duration kMaxServiceGap = std::chrono::milliseconds(500);
constexpr Duration kStoreOutage = std::chrono::milliseconds(300);
// Time after which every node uses a configuration that the operator has written.
constexpr Duration kConfigurationBound = std::chrono::seconds(2);
// Grants from before the restore expire within 8 s; a change of the shard map and the next grants
// follow.
constexpr Duration kSettleTime = std::chrono::seconds(12);
constexpr Duration kCheckInterval = std::chrono::milliseconds(5);

// The longest lease of a node, which no grant outlasts, plus the time for a change of the shard map
// and for the grants.
constexpr Duration kKeyRecoveryTime = std::chrono::seconds(10);

enum class Restarts { kNone, kAll };

// Key of the shard map in force: each era of the store has its own map, and the latest one applies.
std::string MapKey(const Fleet& fleet) {
  constexpr store::StoreEra kLatestEra = 5;
  store::StoreEra era = kLatestEra;
  while (era > 0 && fleet.store.Find(sidecar::ShardMapKey{"keyed", era}.ToString()) == nullptr) {
    --era;
  }
  return sidecar::ShardMapKey{"keyed", era}.ToString();
}

// Writes what the shard planner would write to move all shards of node `from` to node `to`.
void PlanMoves(Fleet* fleet, size_t from, size_t to) {
  const std::string key = MapKey(*fleet);
  auto map = sharding::ShardMap::Parse(*fleet->store.Find(key));
  CHECK(map.ok());
  for (sharding::Shard& shard : map->shards()) {
    if (shard.owner.node != fleet->nodes[from].settings.node_name) continue;
    shard.move_to_node = fleet->nodes[to].settings.node_name;
  }
  fleet->store.Put(key, map->Serialize());
}

// Records which worker holds which keys and reports violations of exclusive ownership.
class OwnershipWatch {
 public:
  explicit OwnershipWatch(Fleet* fleet)
      : fleet_(fleet),
        judge_(std::make_unique<soak::OwnershipJudge>()),
        timer_(fleet->loop, [this] { Check(); }) {
    for (const Fleet::Node& node : fleet->nodes) {
      if (node.settings.worker_service != "keyed") continue;
      FakeWorker* worker = node.worker.get();
      worker->set_on_granted([this, worker](const FakeWorker::Grant& grant, bool late) {
        const auto arrival = late ? soak::OrderArrival::kTakenLate : soak::OrderArrival::kTimely;
        judge_->OnGrant(fleet_->loop.Now(), worker->life(), HeldOf(grant), arrival);
      });
      worker->set_on_released([this, worker](uint32_t first, uint32_t last) {
        judge_->OnReleased(worker->life(), {first, last});
      });
    }
    timer_.Start(kCheckInterval, /*repeating=*/true);
  }

  void ExpectNoViolation() const {
    const auto& violations = judge_->violations();
    if (violations.empty()) return;
    FAIL(
        fmt::format("{} violations, the first: {}", violations.size(), violations.front()).c_str());
  }

 private:
  static soak::HeldKeys HeldOf(const FakeWorker::Grant& grant) {
    return {{grant.first, grant.last}, grant.fence, grant.until};
  }

  void Check() {
    const Instant now = fleet_->loop.Now();
    std::vector<soak::WorkerHoldings> holdings;
    for (const Fleet::Node& node : fleet_->nodes) {
      if (node.settings.worker_service != "keyed") continue;
      soak::WorkerHoldings held;
      held.worker = node.worker->life();
      for (const FakeWorker::Grant& grant : node.worker->grants()) {
        if (grant.until > now) held.held.push_back(HeldOf(grant));
      }
      holdings.push_back(std::move(held));
    }
    judge_->Check(now, holdings);
  }

  Fleet* fleet_;
  std::unique_ptr<soak::OwnershipJudge> judge_;
  event::Timer timer_;
};

// Makes the store unavailable for `kStoreOutage` and restores it from `copy`. With Restarts::kAll,
// all nodes restart as the store becomes available again.
void RestoreStore(Fleet* fleet, const FakeStore::Copy& copy, Restarts restarts) {
  fleet->store.set_fault(FakeStore::Fault::kReset);
  RunFor(fleet->loop, kStoreOutage);
  fleet->store.Restore(copy);
  const bool restart = restarts == Restarts::kAll;
  for (size_t node = 0; restart && node < fleet->nodes.size(); ++node) fleet->Kill(node);
  fleet->store.set_fault(FakeStore::Fault::kNone);
  for (size_t node = 0; restart && node < fleet->nodes.size(); ++node) fleet->Restart(node);
}

bool AllHaveVersion(const Fleet& fleet, int64_t version) {
  return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [version](const Fleet::Node& node) {
    return node.sidecar->configuration_version() == version;
  });
}

// Moves keys from one node to another, then restores a snapshot in which the move is in progress.
void CheckMovedKeys(routes::GrantDelivery delivery, Restarts restarts) {
  Fleet fleet({"keyed", "keyed", "keyed", "other"}, delivery);
  fleet.Start();
  OwnershipWatch watch(&fleet);
  const size_t from = *fleet.HolderOf(0);
  const size_t to = (from + 1) % 3;
  PlanMoves(&fleet, from, to);
  const auto copy = fleet.store.TakeCopy();
  CHECK(RunUntil(fleet.loop, [&] { return fleet.HolderOf(0) == to && fleet.EveryKeyHeld(); }));
  RunFor(fleet.loop, std::chrono::milliseconds(500));
  watch.ExpectNoViolation();
  RestoreStore(&fleet, *copy, restarts);
  RunFor(fleet.loop, kSettleTime);
  watch.ExpectNoViolation();
  CHECK(fleet.EveryKeyHeld());
  for (uint32_t key = 0; key < 65536; key += 8000) CHECK_EQUAL(200, fleet.Keyed(3, key)->status);
}

// Restarts all nodes during a restore, and again while keys wait for the former grants to expire.
void CheckKeyRecoveryTime(routes::GrantDelivery delivery) {
  Fleet fleet({"keyed", "keyed", "keyed", "other"}, delivery);
  fleet.Start();
  OwnershipWatch watch(&fleet);
  const auto copy = fleet.store.TakeCopy();
  RestoreStore(&fleet, *copy, Restarts::kAll);
  const Instant restored = fleet.loop.Now();
  RunFor(fleet.loop, std::chrono::seconds(5));
  for (size_t node = 0; node < fleet.nodes.size(); ++node) fleet.Kill(node);
  for (size_t node = 0; node < fleet.nodes.size(); ++node) fleet.Restart(node);
  const Duration left = restored + kKeyRecoveryTime - fleet.loop.Now();
  CHECK(RunUntil(
      fleet.loop, [&] { return fleet.EveryKeyHeld(); }, left));
  watch.ExpectNoViolation();
}

}  // namespace

TEST_GROUP(StoreRestore){};

// Guards against dropping a configuration written after a restore because of its lower revision: a
// route that it added was answered with 404 for 2 s and more after the write was acknowledged.
TEST(StoreRestore, AConfigurationWrittenAfterwardsIsInForceInTime) {
  Fleet fleet({"plain", "keyed", "keyed", "other"});
  fleet.Start();
  const auto copy = fleet.store.TakeCopy();
  for (int version = 2; version <= 6; ++version) {
    fleet.store.Put("op/config", TestConfiguration(version, "plain"));
    RunFor(fleet.loop, std::chrono::milliseconds(200));
  }
  CHECK(AllHaveVersion(fleet, 6));
  RestoreStore(&fleet, *copy, Restarts::kNone);
  RunFor(fleet.loop, std::chrono::seconds(1));
  fleet.store.Put("op/config", TestConfiguration(7, "other"));
  CHECK(RunUntil(
      fleet.loop, [&] { return AllHaveVersion(fleet, 7); }, kConfigurationBound));
}

// Guards against retrying a refused watch at once from the same revision, which the store no longer
// has: each node repeated it 14 times a second.
TEST(StoreRestore, RefusedWatchesAreNotRepeatedInALoop) {
  Fleet fleet({"plain", "keyed", "keyed", "other"});
  fleet.Start();
  const auto copy = fleet.store.TakeCopy();
  for (int version = 2; version <= 9; ++version) {
    fleet.store.Put("op/config", TestConfiguration(version, "plain"));
    RunFor(fleet.loop, std::chrono::milliseconds(50));
  }
  RestoreStore(&fleet, *copy, Restarts::kNone);
  const uint64_t before = fleet.store.calls("/runshelf/kv-watch");
  RunFor(fleet.loop, std::chrono::seconds(5));
  const uint64_t most = 10 * fleet.nodes.size();
  CHECK(fleet.store.calls("/runshelf/kv-watch") - before <= most);
}

// Guards against repeating a completed move that the restored shard map shows as in progress: it
// was repeated under the same token, while the worker that had received the keys still held them.
TEST(StoreRestore, KeysThatMovedSinceTheCopyHaveOneHolder) {
  CheckMovedKeys(routes::GrantDelivery::kCalls, Restarts::kNone);
}

// The same when all nodes restart, so that none remembers the map from before the restore.
TEST(StoreRestore, KeysThatMovedSinceTheCopyHaveOneHolderWhenAllNodesStartAgain) {
  CheckMovedKeys(routes::GrantDelivery::kCalls, Restarts::kAll);
}

// The same with keys granted in heartbeat answers.
TEST(StoreRestore, LeasedKeysThatMovedSinceTheCopyHaveOneHolder) {
  CheckMovedKeys(routes::GrantDelivery::kHeartbeats, Restarts::kNone);
}

TEST(StoreRestore, LeasedKeysThatMovedSinceTheCopyHaveOneHolderWhenAllNodesStartAgain) {
  CheckMovedKeys(routes::GrantDelivery::kHeartbeats, Restarts::kAll);
}

// Guards against basing changes of the shard map on a revision that the store no longer has: all
// of them failed, and no worker served the keys of a worker that had left.
TEST(StoreRestore, KeysOfAWorkerThatLeavesAfterwardsMove) {
  Fleet fleet({"keyed", "keyed", "keyed", "other"});
  fleet.Start();
  OwnershipWatch watch(&fleet);
  const size_t from = *fleet.HolderOf(0);
  const auto copy = fleet.store.TakeCopy();
  PlanMoves(&fleet, from, (from + 1) % 3);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.HolderOf(0) == (from + 1) % 3; }));
  RunFor(fleet.loop, std::chrono::milliseconds(500));
  RestoreStore(&fleet, *copy, Restarts::kNone);
  RunFor(fleet.loop, std::chrono::seconds(2));
  const size_t leaving = (from + 1) % 3;
  fleet.nodes[leaving].worker->set_draining(true);
  CHECK(RunUntil(
      fleet.loop,
      [&] {
        return fleet.EveryKeyHeld() && fleet.HolderOf(0).has_value() &&
               *fleet.HolderOf(0) != leaving;
      },
      kSettleTime));
  watch.ExpectNoViolation();
}

// Keys that stay with their worker need not wait for the former grants to expire.
TEST(StoreRestore, KeysAreServedDuringStoreRestore) {
  Fleet fleet({"keyed", "keyed", "keyed", "other"});
  fleet.Start();
  const auto copy = fleet.store.TakeCopy();
  PlanMoves(&fleet, 0, 1);
  CHECK(
      RunUntil(fleet.loop, [&] { return fleet.HolderOf(0).has_value() && fleet.EveryKeyHeld(); }));
  RunFor(fleet.loop, std::chrono::seconds(1));
  RestoreStore(&fleet, *copy, Restarts::kNone);
  const Instant end = fleet.loop.Now() + std::chrono::seconds(4);
  Instant served_at = fleet.loop.Now();
  Duration longest{0};
  for (uint32_t key = 0; fleet.loop.Now() < end; key = (key + 4099) % 65536) {
    const auto answer = fleet.Keyed(3, key);
    if (!answer.has_value() || answer->status != 200) continue;
    longest = std::max(longest, fleet.loop.Now() - served_at);
    served_at = fleet.loop.Now();
  }
  CHECK(longest < kMaxServiceGap);
  CHECK(end - served_at < kMaxServiceGap);
}

// After each restore the fencing tokens increase and the owners stay.
TEST(StoreRestore, StoreMayBeRestoredRepeatedly) {
  Fleet fleet({"keyed", "keyed", "keyed", "other"});
  fleet.Start();
  OwnershipWatch watch(&fleet);
  const auto first = fleet.store.TakeCopy();
  PlanMoves(&fleet, 0, 1);
  RunFor(fleet.loop, std::chrono::seconds(1));
  RestoreStore(&fleet, *first, Restarts::kNone);
  RunFor(fleet.loop, std::chrono::milliseconds(700));
  const auto second = fleet.store.TakeCopy();
  PlanMoves(&fleet, 1, 2);
  RunFor(fleet.loop, std::chrono::seconds(1));
  RestoreStore(&fleet, *second, Restarts::kNone);
  RunFor(fleet.loop, std::chrono::milliseconds(200));
  // An older snapshot than the one restored before.
  RestoreStore(&fleet, *first, Restarts::kNone);
  fleet.store.Put("op/config", TestConfiguration(9, "other"));
  CHECK(RunUntil(
      fleet.loop, [&] { return AllHaveVersion(fleet, 9); }, kConfigurationBound));
  RunFor(fleet.loop, kSettleTime);
  watch.ExpectNoViolation();
  CHECK(fleet.EveryKeyHeld());
}

// The condition of a write that was sent before a restore and is executed after it may hold by
// accident, because revisions are reused.
TEST(StoreRestore, DelayedMapChangeTakesNoKeys) {
  Fleet fleet({"keyed", "keyed", "keyed", "other"});
  fleet.Start();
  OwnershipWatch watch(&fleet);
  const size_t from = *fleet.HolderOf(0);
  const auto copy = fleet.store.TakeCopy();
  fleet.store.set_fault(FakeStore::Fault::kHoldWrites);
  PlanMoves(&fleet, from, (from + 1) % 3);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.store.held() > 0; }));
  RestoreStore(&fleet, *copy, Restarts::kNone);
  // Reuses the revision on which the delayed change is based.
  PlanMoves(&fleet, from, (from + 2) % 3);
  fleet.store.CarryOutHeld();
  RunFor(fleet.loop, kSettleTime);
  watch.ExpectNoViolation();
  CHECK(fleet.EveryKeyHeld());
}

// Lease ids are reused after a restore: a node that renewed its former lease would keep another
// node's item alive.
TEST(StoreRestore, EachNodeTakesALeaseOfItsOwn) {
  Fleet fleet({"plain", "keyed", "other"});
  const auto copy = fleet.store.TakeCopy();
  fleet.Start();
  RestoreStore(&fleet, *copy, Restarts::kNone);
  CHECK(RunUntil(fleet.loop, [&] {
    return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const Fleet::Node& node) {
      return fleet.store.Find("runshelf/nodes/" + node.settings.node_name) != nullptr;
    });
  }));
  fleet.Kill(0);
  RunFor(fleet.loop, std::chrono::seconds(10));
  CHECK(fleet.store.Find("runshelf/nodes/n0") == nullptr);
  CHECK(fleet.store.Find("runshelf/nodes/n1") != nullptr);
}

// Nodes rewrite items that were acknowledged to an operator or a worker and are not in the
// snapshot.
TEST(StoreRestore, AcknowledgedItemsAreRewritten) {
  Fleet fleet({"plain", "keyed", "keyed", "other"});
  fleet.Start();
  const std::string cell = "runshelf/table/plain/" + std::string("newsroom");
  const auto copy = fleet.store.TakeCopy();
  fleet.store.Put(cell, R"({"weight":3,"limit":7})");
  fleet.nodes[0].worker->set_draining(true);
  const std::string drain = "runshelf/drains/n0";
  CHECK(RunUntil(fleet.loop, [&] { return fleet.store.Find(drain) != nullptr; }));
  RunFor(fleet.loop, std::chrono::milliseconds(300));
  RestoreStore(&fleet, *copy, Restarts::kNone);
  CHECK(fleet.store.Find(cell) == nullptr);
  CHECK(RunUntil(
      fleet.loop,
      [&] { return fleet.store.Find(cell) != nullptr && fleet.store.Find(drain) != nullptr; },
      std::chrono::seconds(3)));
  STRCMP_EQUAL(R"({"weight":3,"limit":7})", fleet.store.Find(cell)->c_str());
  STRCMP_EQUAL(fleet.nodes[0].worker->life().c_str(), fleet.store.Find(drain)->c_str());
}

// Guards against losing a rewritten item: when the store was restored again before the node had
// seen its rewrite in a watch, the node did not write the item a third time.
TEST(StoreRestore, RewrittenItemsAreRewrittenAfterNextRestore) {
  Fleet fleet({"plain"});
  fleet.Start();
  const std::string cell = "runshelf/table/plain/newsroom";
  const auto copy = fleet.store.TakeCopy();
  fleet.store.Put(cell, R"({"weight":3,"limit":7})");
  RunFor(fleet.loop, std::chrono::milliseconds(300));
  fleet.store.set_watches_silent(true);
  fleet.store.Restore(*copy);
  CHECK(fleet.store.Find(cell) == nullptr);
  CHECK(RunUntil(
      fleet.loop, [&] { return fleet.store.Find(cell) != nullptr; }, std::chrono::seconds(3)));
  // Time for the node to read the answer to its write.
  RunFor(fleet.loop, std::chrono::milliseconds(60));
  fleet.store.Restore(*copy);
  fleet.store.set_watches_silent(false);
  CHECK(fleet.store.Find(cell) == nullptr);
  CHECK(RunUntil(
      fleet.loop, [&] { return fleet.store.Find(cell) != nullptr; }, std::chrono::seconds(3)));
  STRCMP_EQUAL(R"({"weight":3,"limit":7})", fleet.store.Find(cell)->c_str());
}

// Guards against counting the wait for former grants from the start of each process: no worker
// served the keys until 8 s after the last start, however long ago the store had been restored.
TEST(StoreRestore, KeysRecoverInTimeDespiteNodeRestarts) {
  CheckKeyRecoveryTime(routes::GrantDelivery::kCalls);
}

// The same with keys granted in heartbeat answers.
TEST(StoreRestore, LeasedKeysRecoverInTimeDespiteNodeRestarts) {
  CheckKeyRecoveryTime(routes::GrantDelivery::kHeartbeats);
}
