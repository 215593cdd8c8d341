// Tests of shard key ownership, as workers see it, when nodes and workers restart, drain or fail.

#include <CppUTest/TestHarness.h>

#include <memory>

#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

TEST_GROUP(SidecarKeys){};

TEST(SidecarKeys, EveryKeyHasOneHolderAndRequestsFindIt) {
  Fleet fleet({"keyed", "keyed", "keyed", "other"});
  fleet.Start();
  CHECK(fleet.EveryKeyHeld());
  for (uint32_t key = 0; key < 65536; key += 4000) {
    const auto answer = fleet.Keyed(3, key);
    CHECK_EQUAL(200, answer->status);
    const std::string expected = fleet.nodes[*fleet.HolderOf(key)].worker->id() + ":";
    STRCMP_EQUAL(expected.c_str(), answer->body.c_str());
  }
}

TEST(SidecarKeys, ARestartedNodeRenewsTheSameGrants) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const uint32_t key = 0;
  const size_t holder = *fleet.HolderOf(key);
  const uint64_t fence = fleet.nodes[holder].worker->Holds(key)->fence;
  fleet.Kill(holder);
  RunFor(fleet.loop, std::chrono::milliseconds(200));
  fleet.Restart(holder);
  CHECK(RunUntil(fleet.loop, [&] {
    const auto answer = fleet.Keyed(2, key);
    return answer.has_value() && answer->status == 200;
  }));
  CHECK_EQUAL(holder, *fleet.HolderOf(key));
  CHECK_EQUAL(fence, fleet.nodes[holder].worker->Holds(key)->fence);
}

TEST(SidecarKeys, ANewIncarnationGetsItsKeysUnderAHigherFence) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const uint64_t fence = fleet.nodes[holder].worker->Holds(0)->fence;
  fleet.ReplaceWorker(holder, "w9");
  CHECK(RunUntil(fleet.loop, [&] {
    const auto answer = fleet.Keyed(2, 0);
    return answer.has_value() && answer->status == 200;
  }));
  CHECK(fleet.nodes[*fleet.HolderOf(0)].worker->Holds(0)->fence > fence);
}

// Guards against a grant for a terminated worker that reaches its successor: grants are sent to an
// address, and the successor at that address is recognized only by its first heartbeat or health
// check.
TEST(SidecarKeys, AGrantForAFormerWorkerDoesNotReachItsSuccessor) {
  Fleet fleet({"keyed", "other"});
  fleet.Start();
  const uint64_t fence = fleet.nodes[0].worker->Holds(0)->fence;
  const uint16_t port = fleet.nodes[0].worker->endpoint().port;
  fleet.nodes[0].worker.reset();
  RunFor(fleet.loop, std::chrono::milliseconds(5));
  auto next = std::make_unique<FakeWorker>(fleet.loop, "w9", "keyed");
  next->set_sharded(true);
  next->set_health_silent(true);
  next->Listen(port);
  // Longer than the renewal interval of grants.
  RunFor(fleet.loop, std::chrono::milliseconds(1300));
  CHECK_EQUAL(0, next->grants().size());
  next->set_health_silent(false);
  next->StartHeartbeats(*fleet.nodes[0].settings.control_plane, std::chrono::milliseconds(100));
  CHECK(RunUntil(fleet.loop, [&] { return next->Holds(0) != nullptr; }));
  for (const FakeWorker::Grant& grant : next->grants()) CHECK(grant.fence > fence);
}

// Guards against failed grants retried in a busy loop: each attempt costs a connection, and
// together they use up the processor of a small machine.
TEST(SidecarKeys, FailedGrantsAreNotRetriedInABusyLoop) {
  Fleet fleet({"keyed", "other"});
  fleet.Start();
  size_t orders = 0;
  fleet.nodes[0].worker->set_order_faults([&] {
    ++orders;
    FakeWorker::OrderFault fault;
    fault.cut = true;
    return fault;
  });
  RunFor(fleet.loop, std::chrono::milliseconds(2000));
  // 32 shards, each retried about five times a second once its renewal is due.
  CHECK(orders > 32);
  CHECK(orders < 500);
}

// The last known shard map stays in force when the stored one cannot be parsed. It is not written
// back, as it may be older than the map that was overwritten: an owner named by that map would then
// share its keys with a former owner.
TEST(SidecarKeys, AnUnparsableShardMapIsIgnoredAndLogged) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const uint64_t fence = fleet.nodes[holder].worker->Holds(0)->fence;
  for (const char* broken : {"", "{", "[]", R"({"last_token":1})", "\xff\xfe"}) {
    fleet.store.Put("runshelf/shards/keyed", broken);
    RunFor(fleet.loop, std::chrono::milliseconds(300));
    STRCMP_EQUAL(broken, fleet.store.Find("runshelf/shards/keyed")->c_str());
  }
  RunFor(fleet.loop, std::chrono::milliseconds(1500));
  CHECK(fleet.EveryKeyHeld());
  CHECK_EQUAL(fence, fleet.nodes[holder].worker->Holds(0)->fence);
  CHECK_EQUAL(200, fleet.Keyed(2, 0)->status);
  CHECK(fleet.Log().find("event=state_item_refused key=runshelf/shards/keyed") !=
        std::string::npos);
}

TEST(SidecarKeys, AnUnparsableNodeRecordDoesNotAffectOtherNodes) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  for (const char* broken :
       {"", "{", "[]", R"({"node":"n0"})", R"({"node":7,"worker":"w9"})", "\xff\xfe"}) {
    fleet.store.Put("runshelf/nodes/nobody", broken);
    fleet.store.Put("runshelf/nodes/n0", broken);
  }
  RunFor(fleet.loop, std::chrono::milliseconds(1500));
  CHECK(fleet.EveryKeyHeld());
  for (uint32_t key = 0; key < 65536; key += 8000) CHECK_EQUAL(200, fleet.Keyed(2, key)->status);
}

TEST(SidecarKeys, KeysOfADrainingWorkerMoveWithTheirHandover) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t leaving = *fleet.HolderOf(0);
  fleet.nodes[leaving].worker->set_draining(true);
  CHECK(RunUntil(fleet.loop,
                 [&] { return fleet.HolderOf(0).has_value() && *fleet.HolderOf(0) != leaving; }));
  const auto* grant = fleet.nodes[*fleet.HolderOf(0)].worker->Holds(0);
  STRCMP_EQUAL(("from-" + fleet.nodes[leaving].worker->id()).c_str(), grant->handover.c_str());
  CHECK_EQUAL(1, fleet.HoldersOf(0));
}

TEST(SidecarKeys, KeysOfALostMachineAreTakenOnlyAfterItsLease) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t lost = *fleet.HolderOf(0);
  fleet.Kill(lost);
  // The lost node's worker still holds its keys; no other worker may get them before the node's
  // lease expires.
  RunFor(fleet.loop, std::chrono::milliseconds(500));
  CHECK(fleet.HoldersOf(0) <= 1);
  fleet.store.LapseLeases();
  CHECK(RunUntil(
      fleet.loop,
      [&] {
        const auto holder = fleet.HolderOf(0);
        return holder.has_value() && *holder != lost;
      },
      std::chrono::seconds(10)));
  CHECK_EQUAL(200, fleet.Keyed(2, 0)->status);
}

TEST(SidecarKeys, WithoutTheStoreKeysAreServedUntilTheLeaseEnds) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  fleet.store.set_fault(FakeStore::Fault::kSilent);
  RunFor(fleet.loop, std::chrono::seconds(3));
  CHECK_EQUAL(200, fleet.Keyed(2, 0)->status);
}

// Guards against two holders of a key: a grant without a response may reach the worker seconds
// later, and a former owner accepted its old grant again after the keys had moved to another
// worker. Found by a fault search (lagesse-mesh, mix 1089251233620).
TEST(SidecarKeys, ADelayedGrantIsRefusedAfterTheKeysMoved) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t leaving = *fleet.HolderOf(0);
  const FakeWorker::Grant old = *fleet.nodes[leaving].worker->Holds(0);
  fleet.nodes[leaving].worker->set_draining(true);
  CHECK(RunUntil(fleet.loop,
                 [&] { return fleet.HolderOf(0).has_value() && *fleet.HolderOf(0) != leaving; }));
  const std::string order = "{\"from_revision\":0,\"target_version\":" + std::to_string(old.last) +
                            ",\"fence\":" + std::to_string(old.fence) + ",\"hold_ms\":3000}";
  CHECK_EQUAL(409, fleet.LateOrder(leaving, "/runshelf/grant", order));
  CHECK_EQUAL(1, fleet.HoldersOf(0));
}

// A node may fail after a worker released its keys and before the shard map is changed.
TEST(SidecarKeys, KeysThatWereReleasedAndNotHandedOverAreGrantedAgain) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const FakeWorker::Grant old = *fleet.nodes[holder].worker->Holds(0);
  const std::string order = "{\"from_revision\":0,\"target_version\":" + std::to_string(old.last) +
                            ",\"fence\":" + std::to_string(old.fence + 1) + "}";
  CHECK_EQUAL(200, fleet.LateOrder(holder, "/runshelf/release", order));
  CHECK(RunUntil(fleet.loop, [&] {
    const auto answer = fleet.Keyed(2, 0);
    return answer.has_value() && answer->status == 200;
  }));
  CHECK(fleet.nodes[*fleet.HolderOf(0)].worker->Holds(0)->fence > old.fence);
}
