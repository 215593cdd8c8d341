// Changes of the shard map that give up keys and whose outcome is not known to the node yet. Until
// it is known the node must not act on the former map.

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

// Longer than a node takes to give up the shards of a worker that it does not find: grants of the
// node's former process last up to 8 s, plus 0.6 s for a slower clock of the worker and a call, and
// the node then probes the worker.
constexpr Duration kGiveUpTime = std::chrono::seconds(14);
// Time within which another node takes unassigned shards and grants them.
constexpr Duration kTakeoverTime = std::chrono::milliseconds(2500);

// Whether the request is a transaction that leaves some shards of the map without a worker.
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

// Checks that no two workers hold `key` at the same time for the duration `time`.
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

// Suppresses the heartbeats and health-check answers of the worker of `node`, or restores them.
void HideWorker(Fleet* fleet, size_t node, bool hidden) {
  fleet->nodes[node].worker->set_heartbeats_cut(hidden);
  fleet->nodes[node].worker->set_health_silent(hidden);
}

// Restarts the node of the worker that holds key 0, and runs until the node has sent a change that
// gives up the worker's shards. The store handles that change according to `fault`. Returns the
// node.
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

// Runs until the worker of `node` holds key 0, which it must not, or until the worker has been
// found and the pending call would have completed. The change must be executed before the node
// writes to the store that it has found its worker, since that write would make the change fail.
void RunUntilGranted(Fleet* fleet, size_t node) {
  RunUntil(
      fleet->loop, [&] { return fleet->nodes[node].worker->Holds(0) != nullptr; },
      std::chrono::milliseconds(400));
}

}  // namespace

TEST_GROUP(UndecidedChanges){};

// Guards against issue 21, first incident: a node that was restarted while the store was
// unavailable gave up its worker's shards, found the worker before the store answered, and granted
// it the former keys, although another node took them.
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

// The same with keys granted in heartbeat answers.
TEST(UndecidedChanges, AWorkerFoundMeanwhileIsNotLeasedWhatIsBeingGivenUp) {
  Fleet fleet({"keyed", "keyed", "other"}, routes::GrantDelivery::kHeartbeats);
  fleet.Start();
  const size_t holder = RunUntilGivenUp(&fleet, FakeStore::Fault::kHoldWrites);
  HideWorker(&fleet, holder, false);
  RunUntilGranted(&fleet, holder);
  // A worker that is cut off from its node does not receive the order to release its keys.
  HideWorker(&fleet, holder, true);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  fleet.store.CarryOutHeld();
  CheckOneHolder(&fleet, 0, kTakeoverTime);
  HideWorker(&fleet, holder, false);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
}

// A write without an answer may be executed seconds later, if its condition still holds.
TEST(UndecidedChanges, AChangeThatIsCarriedOutLateTakesNoKeysFromTheWorker) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  const size_t holder = RunUntilGivenUp(&fleet, FakeStore::Fault::kHoldWrites);
  HideWorker(&fleet, holder, false);
  // The node's call times out long before the end of this period.
  CheckOneHolder(&fleet, 0, std::chrono::seconds(3));
  fleet.store.set_fault(FakeStore::Fault::kNone);
  fleet.store.CarryOutHeld();
  CheckOneHolder(&fleet, 0, kTakeoverTime);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
}

// The same when the node that sent the change has restarted: the new process does not know of the
// change.
TEST(UndecidedChanges, ChangeOfFormerProcessIsNotExecutedLate) {
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

// A process that starts while the store is unavailable does not know its worker until the store
// answers; by then the grants of the former process have expired, although the worker is healthy.
TEST(UndecidedChanges, WorkerIsProbedBeforeItsShardsAreGivenUp) {
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
  // The node finds the worker only by its next heartbeat.
  fleet.nodes[holder].worker->set_health_silent(true);
  fleet.Restart(holder);
  RunFor(fleet.loop, std::chrono::milliseconds(3700));
  fleet.store.set_fault(FakeStore::Fault::kNone);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
  CHECK_EQUAL(0, *given_up);
  CHECK_EQUAL(fence, fleet.nodes[holder].worker->Holds(0)->fence);
}
