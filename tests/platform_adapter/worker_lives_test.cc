// Incarnations of a worker: a restarted worker under the same identity, and a running worker that
// refuses connections.
//
// Guards against two workers that hold the same keys, seen with real processes: three cases in a
// fleet of four workers with keys, four in a fleet of five. There are two causes:
//
// - A worker restarts under its identity, and the node mistakes it for the former incarnation. The
//   keys are granted to it under the former fencing token, in calls and in heartbeats, so that
//   neither incarnation can refuse what was meant for the other. The log has one `worker_found` for
//   both incarnations.
// - A worker refuses new connections for half a second while it is running. The node takes this for
//   the end of the worker and gives its keys to all other workers, one case for each of them. The
//   log has `worker_lost reason="nothing listens"` for a worker that answers requests.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;
using std::chrono::milliseconds;

namespace {

constexpr int64_t kFirstStartMs = 1700000000000;
constexpr int64_t kSecondStartMs = kFirstStartMs + 60000;
constexpr Duration kRecovery = std::chrono::seconds(12);

constexpr routes::GrantDelivery kDeliveries[] = {routes::GrantDelivery::kCalls,
                                                 routes::GrantDelivery::kHeartbeats};

// The highest fencing token under which the worker of the node holds any key.
uint64_t HighestToken(const Fleet& fleet, size_t node) {
  uint64_t highest = 0;
  for (const FakeWorker::Grant& grant : fleet.nodes[node].worker->grants()) {
    highest = std::max(highest, grant.fence);
  }
  return highest;
}

// Stops the worker of node 0 and restarts it under its identity after `down`. No key may be granted
// to the new incarnation under a token of the former one, and all keys must be held again.
void CheckRestartWithSameIdentity(routes::GrantDelivery delivery, Duration down) {
  Fleet fleet({"keyed", "keyed", "other"}, delivery);
  fleet.SetBorn(kFirstStartMs);
  fleet.Start();
  const uint64_t former = HighestToken(fleet, 0);
  uint64_t lowest = UINT64_MAX;
  fleet.ReplaceWorker(0, "w0", kSecondStartMs, down);
  fleet.nodes[0].worker->set_on_granted(
      [&](const FakeWorker::Grant& grant, bool) { lowest = std::min(lowest, grant.fence); });
  CHECK(RunUntil(
      fleet.loop, [&] { return fleet.EveryKeyHeld(); }, kRecovery));
  RunFor(fleet.loop, milliseconds(1500));
  CHECK(fleet.EveryKeyHeld());
  CHECK(lowest > former);
}

}  // namespace

TEST_GROUP(WorkerLives){};

TEST(WorkerLives, NewIncarnationHoldsKeysUnderHigherTokens) {
  for (const auto delivery : kDeliveries) CheckRestartWithSameIdentity(delivery, milliseconds(5));
}

TEST(WorkerLives, LateNewIncarnationHoldsKeysUnderHigherTokens) {
  for (const auto delivery : kDeliveries)
    CheckRestartWithSameIdentity(delivery, milliseconds(1500));
}

// The new incarnation accepts connections at once, and its first heartbeat comes later: until then
// only its identity is known, which is that of the former incarnation.
TEST(WorkerLives, NoGrantReachesNewIncarnationBeforeItIsKnown) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstStartMs);
  fleet.Start();
  const uint64_t former = HighestToken(fleet, 0);
  const uint16_t port = fleet.nodes[0].worker->endpoint().port;
  fleet.nodes[0].worker.reset();
  RunFor(fleet.loop, milliseconds(5));
  auto next = std::make_unique<FakeWorker>(fleet.loop, "w0", "keyed");
  next->set_born(kSecondStartMs);
  next->set_sharded(true);
  next->Listen(port);
  // Longer than the renewal interval of grants.
  RunFor(fleet.loop, milliseconds(1300));
  for (const FakeWorker::Grant& grant : next->grants()) CHECK(grant.fence > former);
  next->StartHeartbeats(*fleet.nodes[0].settings.control_plane, milliseconds(100));
  CHECK(RunUntil(fleet.loop, [&] { return next->Holds(0) != nullptr; }));
  for (const FakeWorker::Grant& grant : next->grants()) CHECK(grant.fence > former);
}

// The worker's heartbeats do not arrive: its answers are the only sign that it is running.
TEST(WorkerLives, ReachableWorkerWithoutHeartbeatsKeepsItsKeys) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstStartMs);
  fleet.Start();
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  bool cut = true;
  fleet.nodes[0].worker->set_order_faults([&] {
    FakeWorker::OrderFault fault;
    fault.cut = std::exchange(cut, false);
    return fault;
  });
  RunFor(fleet.loop, milliseconds(8000));
  CHECK(fleet.nodes[0].worker->Holds(0) != nullptr);
}

// Each new token costs a change of the shard map. The worker's heartbeats and the open connections
// to it show that it is still the incarnation that holds the keys.
TEST(WorkerLives, AWorkerWithoutRequestsKeepsItsKeysUnderTheirTokens) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstStartMs);
  fleet.Start();
  const uint64_t token = HighestToken(fleet, 0);
  RunFor(fleet.loop, milliseconds(7000));
  CHECK(fleet.EveryKeyHeld());
  CHECK_EQUAL(token, HighestToken(fleet, 0));
}

// After a restart of the node, only heartbeats can show that the worker is the incarnation that
// was granted the keys, and they are rare here. The node does not wait for them: it grants the keys
// under new tokens.
TEST(WorkerLives, RestartedNodeGrantsKeysUnderNewTokens) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstStartMs);
  fleet.Start();
  const uint64_t former = HighestToken(fleet, 0);
  fleet.Kill(0);
  RunFor(fleet.loop, milliseconds(200));
  fleet.Restart(0);
  // The first heartbeat identifies the worker; no other one arrives afterwards.
  RunFor(fleet.loop, milliseconds(20));
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  CHECK(RunUntil(fleet.loop, [&] {
    const auto answer = fleet.Keyed(1, 0);
    return answer.has_value() && answer->status == 200;
  }));
  CHECK(fleet.nodes[0].worker->Holds(0)->fence > former);
}

TEST(WorkerLives, DelayedHeartbeatOfFormerIncarnationIsIgnored) {
  for (const auto delivery : kDeliveries) {
    Fleet fleet({"keyed", "other"}, delivery);
    fleet.SetBorn(kFirstStartMs);
    fleet.Start();
    fleet.ReplaceWorker(0, "w0", kSecondStartMs);
    CHECK(RunUntil(
        fleet.loop, [&] { return fleet.EveryKeyHeld(); }, kRecovery));
    const uint64_t token = HighestToken(fleet, 0);
    const auto answer = fleet.Heartbeat(
        0, "w0",
        fmt::format(R"({{"service":"keyed","address":"127.0.0.1:1","zone":"z","version":"v1",)"
                    R"("slots":4,"state":"draining","cold_remaining_ms":0,"call_sequence":1000,)"
                    R"("born":{}}})",
                    kFirstStartMs));
    CHECK_EQUAL(200, answer->status);
    RunFor(fleet.loop, milliseconds(1500));
    CHECK(fleet.EveryKeyHeld());
    CHECK_EQUAL(token, HighestToken(fleet, 0));
    CHECK_EQUAL(200, fleet.Keyed(1, 0)->status);
  }
}

// The node does not know the former incarnation, as if it had restarted since.
TEST(WorkerLives, DelayedLeaveOfFormerIncarnationIsIgnored) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kSecondStartMs);
  fleet.Start();
  const std::string body = fmt::format(R"({{"born":{}}})", kFirstStartMs);
  CHECK_EQUAL(200, fleet.Leave(0, "w0", body)->status);
  RunFor(fleet.loop, milliseconds(500));
  CHECK(fleet.EveryKeyHeld());
  CHECK_EQUAL(200, fleet.Keyed(1, 0)->status);
  CHECK(fleet.Log().find("event=worker_draining") == std::string::npos);
}

// Malformed heartbeats, and heartbeats with an unknown service or state, are ignored.
TEST(WorkerLives, MalformedHeartbeatIdentifiesNoWorker) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstStartMs);
  fleet.Start();
  const uint64_t token = HighestToken(fleet, 0);
  const char* bodies[] = {
      "",
      "{}",
      R"({"service":"keyed","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,)"
      R"("state":"ready","cold_remaining_ms":"0","call_sequence":9000,"born":1800000000000})",
      R"({"service":"keyed","address":7,"zone":"z","version":"v1","slots":4,)"
      R"("state":"draining","cold_remaining_ms":0,"call_sequence":9000,"born":1800000000000})",
      R"({"service":"keyed","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,)"
      R"("state":"gone","cold_remaining_ms":0,"call_sequence":9000,"born":1800000000000})",
      R"({"service":"unheard-of","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,)"
      R"("state":"draining","cold_remaining_ms":0,"call_sequence":9000,"born":1800000000000})",
      // Without `born`, which identifies the incarnation.
      R"({"service":"keyed","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,)"
      R"("state":"draining","cold_remaining_ms":0,"call_sequence":9000})",
  };
  for (const char* id : {"w0", "w7"}) {
    for (const char* body : bodies) {
      if (std::string(id) == "w7" && body == bodies[std::size(bodies) - 1]) continue;
      CHECK(fleet.Heartbeat(0, id, body).has_value());
    }
  }
  RunFor(fleet.loop, milliseconds(1500));
  CHECK(fleet.EveryKeyHeld());
  CHECK_EQUAL(token, HighestToken(fleet, 0));
  CHECK_EQUAL(200, fleet.Keyed(1, 0)->status);
}

// The node's process restarts while its worker is draining. The answer to a health check comes
// first and has only the worker's identity: the worker may be the draining one, so its keys must
// not be treated as those of a worker that has ended.
TEST(WorkerLives, KeysOfDrainingWorkerAreNotReassignedEarlyAfterNodeRestart) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.SetBorn(kFirstStartMs);
  fleet.Start();
  FakeWorker& worker = *fleet.nodes[0].worker;
  uint32_t key = 0;
  while (worker.Holds(key) == nullptr) key += 512;
  // Requests are running on all keys: the worker does not answer a release.
  worker.set_busy_keys([](uint32_t, uint32_t) { return true; });
  worker.set_draining(true);
  CHECK(RunUntil(fleet.loop, [&] { return worker.leaving_acknowledged_at().has_value(); }));
  fleet.Kill(0);
  worker.set_heartbeats_cut(true);
  RunFor(fleet.loop, milliseconds(20));
  fleet.Restart(0);
  bool shared = false;
  const Instant heartbeats_at = fleet.loop.Now() + milliseconds(500);
  RunUntil(
      fleet.loop,
      [&] {
        if (fleet.loop.Now() >= heartbeats_at) worker.set_heartbeats_cut(false);
        for (uint32_t other = 0; other < 65536 && !shared; other += 512) {
          shared = fleet.HoldersOf(other) > 1;
        }
        return shared;
      },
      std::chrono::seconds(4));
  CHECK_FALSE(shared);
}

// The service has no other worker that could take the keys.
TEST(WorkerLives, OnlyWorkerOfServiceGetsItsKeysBack) {
  for (const auto delivery : kDeliveries) {
    for (const char* id : {"w0", "w9"}) {
      for (const Duration down : {milliseconds(400), milliseconds(1500)}) {
        Fleet fleet({"keyed", "other"}, delivery);
        fleet.SetBorn(kFirstStartMs);
        fleet.Start();
        const uint64_t former = HighestToken(fleet, 0);
        fleet.ReplaceWorker(0, id, kSecondStartMs, down);
        CHECK(RunUntil(
            fleet.loop, [&] { return fleet.EveryKeyHeld(); }, kRecovery));
        for (const auto& grant : fleet.nodes[0].worker->grants()) CHECK(grant.fence > former);
      }
    }
  }
}

// The worker runs requests for a key that it holds for longer than a node takes to notice that
// nothing listens.
TEST(WorkerLives, KeysStayWithRunningWorkerThatRefusesConnections) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.SetBorn(kFirstStartMs);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  FakeWorker& worker = *fleet.nodes[holder].worker;
  std::vector<http::ExchangePtr> running;
  worker.set_behaviour([&](const http::ExchangePtr& exchange) { running.push_back(exchange); });
  http::Headers key;
  key.Add("Shard-Key", "0");
  // As many requests as the worker has slots: every connection is in use.
  std::vector<std::unique_ptr<Fleet::PendingRequest>> requests;
  for (size_t count = 0; count < 4; ++count) {
    requests.push_back(fleet.Begin(2, "GET", "/keyed/1", "", key));
  }
  CHECK(RunUntil(fleet.loop, [&] { return running.size() == 4; }));
  worker.StopListening();
  RunFor(fleet.loop, milliseconds(1800));
  CHECK_EQUAL(holder, fleet.HolderOf(0).value_or(holder));
  CHECK_EQUAL(1, fleet.HoldersOf(0));
}

// The node's process restarts meanwhile, so it has no earlier connection to the worker that could
// have closed. The worker holds its keys under a grant of the former process.
TEST(WorkerLives, KeysStayWithWorkerThatRefusesConnectionsAfterNodeRestart) {
  for (const auto delivery : kDeliveries) {
    Fleet fleet({"keyed", "keyed", "other"}, delivery);
    fleet.SetBorn(kFirstStartMs);
    fleet.Start();
    fleet.nodes[0].worker->StopListening();
    fleet.Kill(0);
    RunFor(fleet.loop, milliseconds(50));
    fleet.Restart(0);
    bool shared = false;
    RunUntil(
        fleet.loop,
        [&] {
          for (uint32_t key = 0; key < 65536 && !shared; key += 512) {
            shared = fleet.HoldersOf(key) > 1;
          }
          return shared;
        },
        std::chrono::seconds(3));
    CHECK_FALSE(shared);
  }
}
