// Keys granted in heartbeat answers: which worker holds which keys when nodes and workers restart,
// drain, are lost or are cut off.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "source/sharding/shard_map.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

constexpr auto kByHeartbeat = routes::GrantDelivery::kHeartbeats;

std::string HeartbeatBody(int64_t sequence, const std::string& rows) {
  return fmt::format(
      R"({{"service":"keyed","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,)"
      R"("state":"ready","cold_remaining_ms":0,"call_sequence":{}{}}})",
      sequence, rows);
}

// Writes what a shard planner would write that knows only the former worker of the machine.
void GiveShardsToFormerWorker(Fleet* fleet, size_t node) {
  const std::string key = "runshelf/shards/keyed";
  auto map = sharding::ShardMap::Parse(*fleet->store.Find(key));
  CHECK(map.ok());
  const std::string& name = fleet->nodes[node].settings.node_name;
  const sharding::FencingToken token = map->NextToken();
  for (sharding::Shard& shard : map->shards()) {
    if (shard.owner.node != name) continue;
    sharding::ShardMap::Assign(&shard, {name, "former"}, token, "");
  }
  fleet->store.Put(key, map->Serialize());
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(HeartbeatKeys){// The node of the worker that holds `key`, once a request is served.
                          static size_t ServedBy(Fleet * fleet, uint32_t key){
                              const Instant end = fleet->loop.Now() + std::chrono::seconds(8);
std::optional<Fleet::Answer> answer;
while (fleet->loop.Now() < end) {
  answer = fleet->Keyed(2, key);
  if (answer.has_value() && answer->status == 200) break;
  RunFor(fleet->loop, std::chrono::milliseconds(20));
}
CHECK(answer.has_value());
CHECK_EQUAL(200, answer->status);
return *fleet->HolderOf(key);
}
}
;

TEST(HeartbeatKeys, EveryKeyHasOneHolderAndRequestsFindIt) {
  Fleet fleet({"keyed", "keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  CHECK(fleet.EveryKeyHeld());
  for (uint32_t key = 0; key < 65536; key += 4000) {
    const auto answer = fleet.Keyed(3, key);
    CHECK_EQUAL(200, answer->status);
    const std::string expected = fleet.nodes[*fleet.HolderOf(key)].worker->id() + ":";
    STRCMP_EQUAL(expected.c_str(), answer->body.c_str());
  }
}

TEST(HeartbeatKeys, ARestartedNodeRenewsTheSameGrants) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const uint64_t fence = fleet.nodes[holder].worker->Holds(0)->fence;
  fleet.Kill(holder);
  RunFor(fleet.loop, std::chrono::milliseconds(200));
  fleet.Restart(holder);
  CHECK_EQUAL(holder, ServedBy(&fleet, 0));
  CHECK_EQUAL(fence, fleet.nodes[holder].worker->Holds(0)->fence);
}

TEST(HeartbeatKeys, ANewIncarnationGetsItsKeysUnderAHigherFence) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const uint64_t fence = fleet.nodes[holder].worker->Holds(0)->fence;
  fleet.ReplaceWorker(holder, "w9");
  CHECK(fleet.nodes[ServedBy(&fleet, 0)].worker->Holds(0)->fence > fence);
}

// The answer to a heartbeat is delayed by 600 ms at most. An attempt during which the machine was
// suspended for that long is repeated.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(580);
constexpr int kMaxAttempts = 3;

// Without its keys in the answer the worker serves nothing until its next heartbeat.
TEST(HeartbeatKeys, TheAnswerToTheFirstHeartbeatOfANewIncarnationHasItsKeys) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const std::string id = "new-" + std::to_string(attempt);
    // The process at the address is the new incarnation: otherwise the heartbeat is a late one.
    fleet.nodes[0].worker->set_stated_id(id);
    const Instant start = fleet.loop.Now();
    const auto answer = fleet.Heartbeat(0, id, HeartbeatBody(1, ""));
    if (fleet.loop.Now() - start >= kAnswerTimeout) continue;
    CHECK(answer.has_value());
    CHECK_EQUAL(200, answer->status);
    CHECK(Contains(answer->body, "\"holds\":[["));
    return;
  }
  FAIL("no answer in time");
}

TEST(HeartbeatKeys, AHeartbeatThatComesBeforeTheStateIsKnownIsAnsweredOnceItIs) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    Fleet fleet({"keyed"}, kByHeartbeat);
    fleet.Launch();
    fleet.nodes[0].worker->set_heartbeats_cut(true);
    const Instant start = fleet.loop.Now();
    const auto answer = fleet.Heartbeat(0, "w0", HeartbeatBody(1, ""));
    if (fleet.loop.Now() - start >= kAnswerTimeout) continue;
    CHECK(answer.has_value());
    CHECK_EQUAL(200, answer->status);
    return;
  }
  FAIL("no answer in time");
}

TEST(HeartbeatKeys, WhileTheStateIsNotKnownAHeartbeatIsRefusedInTime) {
  Fleet fleet({"keyed"}, kByHeartbeat);
  fleet.store.set_fault(FakeStore::Fault::kRefuse);
  fleet.Launch();
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  const Instant start = fleet.loop.Now();
  const auto answer = fleet.Heartbeat(0, "w0", HeartbeatBody(1, ""));
  CHECK(answer.has_value());
  CHECK_EQUAL(503, answer->status);
  CHECK(fleet.loop.Now() - start < std::chrono::seconds(1));
}

// Guards against granting shards that have been given up: a node that was suspended for seconds
// first gave up the shards whose grants had expired, and then granted all of them in the answer to
// a heartbeat received meanwhile, so that two workers held them.
TEST(HeartbeatKeys, AShardThatWasGivenUpIsNotGrantedAgain) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  for (Fleet::Node& node : fleet.nodes) node.settings.bounds.max_hold = std::chrono::seconds(1);
  fleet.Start();
  FakeWorker& worker = *fleet.nodes[0].worker;
  worker.set_heartbeats_cut(true);
  // The node cannot yet write to the store that it gave up the shards.
  fleet.store.set_fault_filter([](const http::Request& request) {
    return request.body.find("runshelf/shards/") != std::string::npos;
  });
  fleet.store.set_fault(FakeStore::Fault::kRefuse);
  RunFor(fleet.loop, std::chrono::milliseconds(2500));
  const auto answer = fleet.Heartbeat(0, worker.id(), HeartbeatBody(worker.sequence() + 1, ""));
  CHECK(answer.has_value());
  CHECK_EQUAL(200, answer->status);
  CHECK_FALSE(Contains(answer->body, "\"holds\":[["));
}

// Guards against giving up shards that the present worker holds: another node, whose record of this
// machine is older than the map, assigns the shards to the machine's former worker. The stopping
// node gave them up as those of a worker that had ended, and the next owner's worker held them as
// well. Occurs when a worker and then its node end while the store is unavailable, so that the
// record is out of date.
TEST(HeartbeatKeys, StoppingNodeKeepsShardsThatItsWorkerHolds) {
  for (const auto delivery : {kByHeartbeat, routes::GrantDelivery::kCalls}) {
    Fleet fleet({"keyed", "keyed", "other"}, delivery);
    fleet.Start();
    const size_t leaving = *fleet.HolderOf(0);
    // The worker keeps its keys, because no answer and no order to release them reaches it.
    fleet.nodes[leaving].worker->set_heartbeats_cut(true);
    fleet.nodes[leaving].worker->set_order_faults([] {
      FakeWorker::OrderFault fault;
      fault.cut = true;
      return fault;
    });
    fleet.nodes[leaving].sidecar->Stop([] {});
    // The store has answered since the stop, so the node may give up its keys.
    RunFor(fleet.loop, std::chrono::milliseconds(50));
    GiveShardsToFormerWorker(&fleet, leaving);
    const Instant end = fleet.loop.Now() + std::chrono::milliseconds(1500);
    while (fleet.loop.Now() < end) {
      CHECK_COMPARE(fleet.HoldersOf(0), <=, 1);
      RunFor(fleet.loop, std::chrono::milliseconds(5));
    }
  }
}

TEST(HeartbeatKeys, KeysOfADrainingWorkerMoveWithTheirHandover) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t leaving = *fleet.HolderOf(0);
  fleet.nodes[leaving].worker->set_draining(true);
  CHECK(RunUntil(fleet.loop,
                 [&] { return fleet.HolderOf(0).has_value() && *fleet.HolderOf(0) != leaving; }));
  const auto* grant = fleet.nodes[*fleet.HolderOf(0)].worker->Holds(0);
  STRCMP_EQUAL(("from-" + fleet.nodes[leaving].worker->id()).c_str(), grant->handover.c_str());
  CHECK_EQUAL(1, fleet.HoldersOf(0));
}

TEST(HeartbeatKeys, KeysOfAStoppingNodeMoveWithTheirHandover) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t leaving = *fleet.HolderOf(0);
  bool stopped = false;
  fleet.nodes[leaving].sidecar->Stop([&] { stopped = true; });
  CHECK(RunUntil(
      fleet.loop, [&] { return stopped; }, std::chrono::seconds(8)));
  CHECK(ServedBy(&fleet, 0) != leaving);
  const auto* grant = fleet.nodes[*fleet.HolderOf(0)].worker->Holds(0);
  STRCMP_EQUAL(("from-" + fleet.nodes[leaving].worker->id()).c_str(), grant->handover.c_str());
}

TEST(HeartbeatKeys, KeysOfALostMachineAreTakenOnlyAfterItsLease) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t lost = *fleet.HolderOf(0);
  fleet.Kill(lost);
  RunFor(fleet.loop, std::chrono::milliseconds(500));
  CHECK_EQUAL(1, fleet.HoldersOf(0));
  CHECK_EQUAL(lost, *fleet.HolderOf(0));
  fleet.nodes[lost].worker.reset();
  fleet.nodes[lost].worker = std::make_unique<FakeWorker>(fleet.loop, "gone", "keyed");
  fleet.store.LapseLeases();
  CHECK(ServedBy(&fleet, 0) != lost);
}

TEST(HeartbeatKeys, WithoutTheStoreKeysAreServedUntilTheLeaseEnds) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  fleet.store.set_fault(FakeStore::Fault::kSilent);
  RunFor(fleet.loop, std::chrono::seconds(3));
  CHECK_EQUAL(200, fleet.Keyed(2, 0)->status);
}

// The worker's heartbeats do not reach the node, but requests reach the worker.
TEST(HeartbeatKeys, AWorkerThatIsCutOffKeepsItsKeysWhileTheGrantLastsThenOthersGetThem) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  for (auto& node : fleet.nodes) node.settings.bounds.max_hold = std::chrono::milliseconds(2500);
  fleet.Start();
  const size_t cut = *fleet.HolderOf(0);
  fleet.nodes[cut].worker->set_heartbeats_cut(true);
  RunFor(fleet.loop, std::chrono::milliseconds(800));
  CHECK_EQUAL(200, fleet.Keyed(2, 0)->status);
  CHECK_EQUAL(cut, *fleet.HolderOf(0));
  CHECK(RunUntil(
      fleet.loop, [&] { return fleet.HolderOf(0).has_value() && *fleet.HolderOf(0) != cut; },
      std::chrono::seconds(6)));
  CHECK_EQUAL(1, fleet.HoldersOf(0));
  // The keys are not reassigned to a worker that cannot receive grants.
  RunFor(fleet.loop, std::chrono::seconds(2));
  CHECK(*fleet.HolderOf(0) != cut);
}

TEST(HeartbeatKeys, DelayedHeartbeatIsIgnoredAndGetsNoGrants) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const std::string& worker = fleet.nodes[holder].worker->id();
  const auto late = fleet.Heartbeat(holder, worker, HeartbeatBody(1, R"(,"holds":[])"));
  CHECK_EQUAL(200, late->status);
  CHECK_FALSE(Contains(late->body, "holds"));
  RunFor(fleet.loop, std::chrono::milliseconds(300));
  CHECK_EQUAL(holder, *fleet.HolderOf(0));
  CHECK_EQUAL(200, fleet.Keyed(2, 0)->status);
}

TEST(HeartbeatKeys, FormerWorkerGetsNoGrants) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const std::string former = fleet.nodes[holder].worker->id();
  fleet.ReplaceWorker(holder, "w9");
  ServedBy(&fleet, 0);
  const auto late = fleet.Heartbeat(holder, former, HeartbeatBody(1000, R"(,"holds":[[0,9,1]])"));
  CHECK_EQUAL(200, late->status);
  CHECK_FALSE(Contains(late->body, "holds"));
}

TEST(HeartbeatKeys, MalformedReportIsRefusedWithoutEffect) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const std::string worker = fleet.nodes[holder].worker->id();
  const auto answer =
      fleet.Heartbeat(holder, worker, HeartbeatBody(100000, R"(,"holds":[[9,0,1]])"));
  CHECK_EQUAL(400, answer->status);
  RunFor(fleet.loop, std::chrono::milliseconds(300));
  CHECK_EQUAL(holder, *fleet.HolderOf(0));
  CHECK_EQUAL(200, fleet.Keyed(2, 0)->status);
}

// A worker may have seen a higher fencing token than the map contains: from a node that was lost
// before it wrote the map, or from a faulty order.
TEST(HeartbeatKeys, AWorkerThatSawAHigherFenceGetsTheKeysAboveIt) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const FakeWorker::Grant old = *fleet.nodes[holder].worker->Holds(0);
  const std::string order = fmt::format(R"({{"from_revision":0,"target_version":{},"fence":{}}})",
                                        old.last, old.fence + 1);
  CHECK_EQUAL(200, fleet.LateOrder(holder, "/runshelf/release", order));
  CHECK(fleet.nodes[ServedBy(&fleet, 0)].worker->Holds(0)->fence > old.fence);
}

TEST(HeartbeatKeys, ANodeWithoutAuthorityRenewsNothing) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  const auto& worker = *fleet.nodes[holder].worker;
  fleet.store.set_fault(FakeStore::Fault::kSilent);
  RunFor(fleet.loop, std::chrono::milliseconds(8500));
  const auto answer =
      fleet.Heartbeat(holder, worker.id(), HeartbeatBody(worker.sequence() + 1, R"(,"holds":[])"));
  CHECK_EQUAL(200, answer->status);
  CHECK_FALSE(Contains(answer->body, "holds"));
  CHECK(worker.Holds(0) == nullptr);
}

// While keys move between two owners, a first attempt is refused early, with a Retry-After for the
// end of the move; a retry, which has less time left than usual, waits for the keys.
TEST(HeartbeatKeys, RetriesWaitForKeysThatMove) {
  Fleet fleet({"keyed", "keyed", "other"}, kByHeartbeat);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  CHECK_EQUAL(200, fleet.Keyed(2, 0)->status);
  // The worker loses its keys; its node cannot grant them again before its next heartbeat.
  fleet.nodes[holder].worker->set_heartbeats_cut(true);
  const FakeWorker::Grant old = *fleet.nodes[holder].worker->Holds(0);
  const std::string order =
      fmt::format(R"({{"from_revision":0,"target_version":{},"fence":{}}})", old.last, old.fence);
  CHECK_EQUAL(200, fleet.LateOrder(holder, "/runshelf/release", order));

  const auto first = fleet.Keyed(2, 0);
  CHECK_EQUAL(503, first->status);
  const std::string* retry_after = first->headers.Find("Retry-After");
  CHECK(retry_after != nullptr);
  // At least half of the heartbeat interval of 100 ms, plus up to 50 % of random spread.
  CHECK(std::stod(*retry_after) >= 0.05 && std::stod(*retry_after) <= 0.08);

  http::Headers headers;
  headers.Add("Shard-Key", "0");
  headers.Add("Deadline-Ms", "1100");
  const auto second = fleet.Begin(2, "GET", "/keyed/1", "", headers);
  RunFor(fleet.loop, std::chrono::milliseconds(300));
  CHECK_FALSE(second->over);
  fleet.nodes[holder].worker->set_heartbeats_cut(false);
  CHECK(RunUntil(fleet.loop, [&] { return second->over; }));
  CHECK_EQUAL(200, second->answer->status);
}

TEST(HeartbeatKeys, DrainingWorkerGetsNoRequestsAfterDrainTimeout) {
  Fleet fleet({"keyed", "other"}, kByHeartbeat);
  for (auto& node : fleet.nodes) {
    node.settings.bounds.drain_timeout = std::chrono::milliseconds(500);
  }
  fleet.Start();
  CHECK_EQUAL(200, fleet.Keyed(1, 0)->status);
  // No other worker can take the keys, and the worker announces its leave without further
  // heartbeats.
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  const auto& worker = *fleet.nodes[0].worker;
  CHECK_EQUAL(200, fleet.Leave(0, worker.id())->status);
  // The worker still holds its keys.
  CHECK_EQUAL(200, fleet.Keyed(1, 0)->status);
  RunFor(fleet.loop, std::chrono::milliseconds(600));
  const size_t executed = worker.executed().size();
  CHECK_EQUAL(503, fleet.Keyed(1, 0)->status);
  CHECK_EQUAL(executed, worker.executed().size());
}
