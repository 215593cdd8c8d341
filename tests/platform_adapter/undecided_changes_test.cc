// A change of the shard map whose outcome the node does not know yet, and the keys that it gives
// up. Until it is decided the node must not act on the map as it was before.

#include <CppUTest/TestHarness.h>
#include <absl/strings/escaping.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

// Longer than a node takes to give up the shards of a worker that it does not find: grants of its
// former life last up to 8 s, and 0.6 s for the worker's slower clock and a call; then come probes.
constexpr Duration kGiveUpTime = std::chrono::seconds(14);
// In this time another node takes shards that are free, and grants them.
constexpr Duration kTakeoverTime = std::chrono::milliseconds(2500);

// The transaction changes the shard map so that some shards have no worker.
bool GivesShardsUp(const http::Request& request) {
  if (request.head.target.find("kv-txn") == std::string::npos) return false;
  const auto body = nlohmann::json::parse(request.body);
  for (const auto& put : body["put"]) {
    std::string value;
    if (put["private_key"] != "runshelf/shards/keyed") continue;
    absl::Base64Unescape(put["value"].get<std::string>(), &value);
    const auto map = nlohmann::json::parse(value);
    for (const auto& owner : map["owners"]) {
      if (owner[1] == "") return true;
    }
  }
  return false;
}

// No two workers hold `key` at any moment of `time`.
void CheckOneHolder(Fleet* fleet, uint32_t key, Duration time) {
  int most = 0;
  RunUntil(
      fleet->loop,
      [&] {
        most = std::max(most, fleet->HoldersOf(key));
        return most > 1;
      },
      time);
  CHECK(most <= 1);
}

// The worker of `node` is neither heard nor found.
void HideWorker(Fleet* fleet, size_t node, bool hidden) {
  fleet->nodes[node].worker->set_heartbeats_cut(hidden);
  fleet->nodes[node].worker->set_health_silent(hidden);
}

// Restarts the node beside the holder of key 0 and runs until it has sent a change that gives its
// worker's shards up; what becomes of that change is `fault`. Returns the node.
size_t RunUntilGivenUp(Fleet* fleet, FakeStore::Fault fault) {
  const size_t holder = *fleet->HolderOf(0);
  const auto sent = std::make_shared<bool>(false);
  HideWorker(fleet, holder, true);
  fleet->Kill(holder);
  fleet->store.set_fault_filter([sent](const http::Request& request) {
    if (!GivesShardsUp(request)) return false;
    *sent = true;
    return true;
  });
  fleet->store.set_fault(fault);
  fleet->Restart(holder);
  CHECK(RunUntil(
      fleet->loop, [&] { return *sent; }, kGiveUpTime));
  return holder;
}

// Until the worker of `node` holds key 0, which it must not; or until it has been found and the
// call under way would be over. The change must be done before the node has written to the store
// that it found its worker: that would make it fail.
void RunUntilGranted(Fleet* fleet, size_t node) {
  RunUntil(
      fleet->loop, [&] { return fleet->nodes[node].worker->Holds(0) != nullptr; },
      std::chrono::milliseconds(400));
}

}  // namespace

TEST_GROUP(UndecidedChanges){};

// Issue 21, first incident: a node that was restarted while the store was away gave its worker's
// shards up, found the worker before the store's answer, and granted it the keys as before. Another
// node took them.
TEST(UndecidedChanges, AWorkerFoundMeanwhileIsNotGrantedWhatIsBeingGivenUp) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t holder = RunUntilGivenUp(&fleet, FakeStore::Fault::kHoldWrites);
  HideWorker(&fleet, holder, false);
  RunUntilGranted(&fleet, holder);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  fleet.store.CarryOutHeld();
  CheckOneHolder(&fleet, 0, kTakeoverTime);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
}

// The same with keys that travel in heartbeats.
TEST(UndecidedChanges, AWorkerFoundMeanwhileIsNotLeasedWhatIsBeingGivenUp) {
  Fleet fleet({"keyed", "keyed", "other"}, routes::GrantDelivery::kHeartbeats);
  fleet.Start();
  const size_t holder = RunUntilGivenUp(&fleet, FakeStore::Fault::kHoldWrites);
  HideWorker(&fleet, holder, false);
  RunUntilGranted(&fleet, holder);
  // A worker that is cut off from its node does not hear that it is to let go.
  HideWorker(&fleet, holder, true);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  fleet.store.CarryOutHeld();
  CheckOneHolder(&fleet, 0, kTakeoverTime);
  HideWorker(&fleet, holder, false);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
}

// A call without an answer may be done seconds later, if its condition still holds.
TEST(UndecidedChanges, AChangeThatIsCarriedOutLateTakesNoKeysFromTheWorker) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t holder = RunUntilGivenUp(&fleet, FakeStore::Fault::kHoldWrites);
  HideWorker(&fleet, holder, false);
  // The node has given the call up long before.
  CheckOneHolder(&fleet, 0, std::chrono::seconds(3));
  fleet.store.set_fault(FakeStore::Fault::kNone);
  fleet.store.CarryOutHeld();
  CheckOneHolder(&fleet, 0, kTakeoverTime);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
}

// The same, when the node that sent the change is not there any more: its next life does not know
// of it.
TEST(UndecidedChanges, AChangeOfAFormerLifeIsNotCarriedOutLate) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t holder = RunUntilGivenUp(&fleet, FakeStore::Fault::kHoldWrites);
  fleet.Kill(holder);
  HideWorker(&fleet, holder, false);
  fleet.Restart(holder);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
  fleet.store.set_fault(FakeStore::Fault::kNone);
  fleet.store.CarryOutHeld();
  CheckOneHolder(&fleet, 0, kTakeoverTime);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
}

// A process that starts while the store is away knows nothing of its worker until the store
// answers; by then the time of its former life's grants is over, and the worker is well.
TEST(UndecidedChanges, AWorkerIsLookedForBeforeItsShardsAreGivenUp) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const uint64_t fence = fleet.nodes[holder].worker->Holds(0)->fence;
  const auto given_up = std::make_shared<int>(0);
  fleet.store.set_fault_filter([given_up](const http::Request& request) {
    if (GivesShardsUp(request)) ++*given_up;
    return true;
  });
  fleet.Kill(holder);
  fleet.store.set_fault(FakeStore::Fault::kRefuse);
  // It is found by its next heartbeat.
  fleet.nodes[holder].worker->set_health_silent(true);
  fleet.Restart(holder);
  RunFor(fleet.loop, std::chrono::milliseconds(3700));
  fleet.store.set_fault(FakeStore::Fault::kNone);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
  CHECK_EQUAL(0, *given_up);
  CHECK_EQUAL(fence, fleet.nodes[holder].worker->Holds(0)->fence);
}
