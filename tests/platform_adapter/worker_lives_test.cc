// Two workers held the same keys, in real processes: three cases in a fleet of four workers with
// keys, four in one of five. No logs were kept.
//
// Two ways to it were found by running the processes with workers that end and start again:
//
// - A worker started again under its identity. The node took it for the former one, whose keys it
//   had been given: by calls they reached it under the former fencing token, by heartbeats too. A
//   worker that has ended and one that has just begun held keys under one token, and nobody could
//   refuse what was meant for the other.
// - A worker took no new connections for half a second and was at work. The node took the refused
//   connections for its end and gave its keys to all the others, one case for each of them.
//
// What proved it: the logs say `worker_found` only once for both lives, and `worker_lost
// reason="nothing listens"` of a worker that answers requests.

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

constexpr int64_t kFirstBirth = 1700000000000;
constexpr int64_t kSecondBirth = kFirstBirth + 60000;
constexpr Duration kRecovery = std::chrono::seconds(12);

constexpr routes::GrantDelivery kDeliveries[] = {routes::GrantDelivery::kCalls,
                                                 routes::GrantDelivery::kHeartbeats};

// The highest token under which the worker of the node held any key.
uint64_t HighestToken(const Fleet& fleet, size_t node) {
  uint64_t highest = 0;
  for (const FakeWorker::Grant& grant : fleet.nodes[node].worker->grants()) {
    highest = std::max(highest, grant.fence);
  }
  return highest;
}

// The worker of node 0 ends, and starts again under its identity `down` later. No key may reach
// the next life under a token of the former one, and all keys must be held again.
void RestartUnderOneIdentity(routes::GrantDelivery delivery, Duration down) {
  Fleet fleet({"keyed", "keyed", "other"}, delivery);
  fleet.SetBorn(kFirstBirth);
  fleet.Start();
  const uint64_t former = HighestToken(fleet, 0);
  uint64_t lowest = UINT64_MAX;
  fleet.ReplaceWorker(0, "w0", kSecondBirth, down);
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

TEST(WorkerLives, TheNextLifeOfAWorkerHoldsKeysUnderHigherTokens) {
  for (const auto delivery : kDeliveries) RestartUnderOneIdentity(delivery, milliseconds(5));
}

TEST(WorkerLives, TheNextLifeThatComesAfterItWasMissedHoldsKeysUnderHigherTokens) {
  for (const auto delivery : kDeliveries) RestartUnderOneIdentity(delivery, milliseconds(1500));
}

// The next life takes connections at once, and its first heartbeat comes later: until then nothing
// but its identity is known, which is the former one's.
TEST(WorkerLives, NoGrantReachesTheNextLifeBeforeItIsKnown) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstBirth);
  fleet.Start();
  const uint64_t former = HighestToken(fleet, 0);
  const uint16_t port = fleet.nodes[0].worker->endpoint().port;
  fleet.nodes[0].worker.reset();
  RunFor(fleet.loop, milliseconds(5));
  auto next = std::make_unique<FakeWorker>(fleet.loop, "w0", "keyed");
  next->set_born(kSecondBirth);
  next->set_sharded(true);
  next->Listen(port);
  // Longer than grants are renewed after.
  RunFor(fleet.loop, milliseconds(1300));
  for (const FakeWorker::Grant& grant : next->grants()) CHECK(grant.fence > former);
  next->StartHeartbeats(*fleet.nodes[0].settings.control_plane, milliseconds(100));
  CHECK(RunUntil(fleet.loop, [&] { return next->Holds(0) != nullptr; }));
  for (const FakeWorker::Grant& grant : next->grants()) CHECK(grant.fence > former);
}

// Its heartbeats cannot be heard: what it answers is all that is known of it.
TEST(WorkerLives, AWorkerThatIsOnlyReachedKeepsItsKeys) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstBirth);
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

// New tokens cost a change of the map each time: the worker's heartbeats and the connections to it
// tell that it is the one that has the keys.
TEST(WorkerLives, AWorkerWithoutRequestsKeepsItsKeysUnderTheirTokens) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstBirth);
  fleet.Start();
  const uint64_t token = HighestToken(fleet, 0);
  RunFor(fleet.loop, milliseconds(7000));
  CHECK(fleet.EveryKeyHeld());
  CHECK_EQUAL(token, HighestToken(fleet, 0));
}

// Which incarnation the former life of the node gave the keys to takes heartbeats to prove, which
// come seldom here. Its keys need not wait for them: they come under new tokens.
TEST(WorkerLives, ANodeThatStartsAgainGivesItsWorkerTheKeysUnderNewTokens) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstBirth);
  fleet.Start();
  const uint64_t former = HighestToken(fleet, 0);
  fleet.Kill(0);
  RunFor(fleet.loop, milliseconds(200));
  fleet.Restart(0);
  // The first heartbeat names the worker, and is the last one for a while.
  RunFor(fleet.loop, milliseconds(20));
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  CHECK(RunUntil(fleet.loop, [&] {
    const auto answer = fleet.Keyed(1, 0);
    return answer.has_value() && answer->status == 200;
  }));
  CHECK(fleet.nodes[0].worker->Holds(0)->fence > former);
}

TEST(WorkerLives, AHeartbeatOfTheFormerLifeThatComesLateChangesNothing) {
  for (const auto delivery : kDeliveries) {
    Fleet fleet({"keyed", "other"}, delivery);
    fleet.SetBorn(kFirstBirth);
    fleet.Start();
    fleet.ReplaceWorker(0, "w0", kSecondBirth);
    CHECK(RunUntil(
        fleet.loop, [&] { return fleet.EveryKeyHeld(); }, kRecovery));
    const uint64_t token = HighestToken(fleet, 0);
    const auto answer = fleet.Heartbeat(
        0, "w0",
        fmt::format(R"({{"service":"keyed","address":"127.0.0.1:1","zone":"z","version":"v1",)"
                    R"("slots":4,"state":"draining","cold_remaining_ms":0,"call_sequence":1000,)"
                    R"("born":{}}})",
                    kFirstBirth));
    CHECK_EQUAL(200, answer->status);
    RunFor(fleet.loop, milliseconds(1500));
    CHECK(fleet.EveryKeyHeld());
    CHECK_EQUAL(token, HighestToken(fleet, 0));
    CHECK_EQUAL(200, fleet.Keyed(1, 0)->status);
  }
}

// The node has started since, and has not heard of the former life before.
TEST(WorkerLives, ALeaveOfAnEarlierLifeThatComesLateChangesNothing) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kSecondBirth);
  fleet.Start();
  const std::string body = fmt::format(R"({{"born":{}}})", kFirstBirth);
  CHECK_EQUAL(200, fleet.Leave(0, "w0", body)->status);
  RunFor(fleet.loop, milliseconds(500));
  CHECK(fleet.EveryKeyHeld());
  CHECK_EQUAL(200, fleet.Keyed(1, 0)->status);
  CHECK(fleet.Log().find("event=worker_draining") == std::string::npos);
}

// As another writer may send them; its service or its state may be none of ours.
TEST(WorkerLives, AHeartbeatOfAnotherWriterNamesNoWorker) {
  Fleet fleet({"keyed", "other"});
  fleet.SetBorn(kFirstBirth);
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
      // The worker's own identity, and nothing that tells the incarnation.
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

// The node's process starts again beside a worker that leaves. A health check answers first, and
// names the identity alone: the worker that it belongs to may be the one that leaves, and its keys
// are not those of a worker that has ended.
TEST(WorkerLives, ANodeThatStartsBesideALeavingWorkerGivesItsKeysToNobodyTooEarly) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.SetBorn(kFirstBirth);
  fleet.Start();
  FakeWorker& worker = *fleet.nodes[0].worker;
  uint32_t key = 0;
  while (worker.Holds(key) == nullptr) key += 512;
  // Requests run on it: a release is not answered.
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

// Nobody else is there to take its keys.
TEST(WorkerLives, AWorkerAloneInItsServiceGetsItsKeysBack) {
  for (const auto delivery : kDeliveries) {
    for (const char* id : {"w0", "w9"}) {
      for (const Duration down : {milliseconds(400), milliseconds(1500)}) {
        Fleet fleet({"keyed", "other"}, delivery);
        fleet.SetBorn(kFirstBirth);
        fleet.Start();
        const uint64_t former = HighestToken(fleet, 0);
        fleet.ReplaceWorker(0, id, kSecondBirth, down);
        CHECK(RunUntil(
            fleet.loop, [&] { return fleet.EveryKeyHeld(); }, kRecovery));
        for (const auto& grant : fleet.nodes[0].worker->grants()) CHECK(grant.fence > former);
      }
    }
  }
}

// It is at work on a key, under a lease, for longer than a node takes to notice that nothing
// listens.
TEST(WorkerLives, KeysOfAWorkerThatTakesNoConnectionsStayWhileItIsAtWork) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.SetBorn(kFirstBirth);
  fleet.Start();
  const size_t holder = *fleet.HolderOf(0);
  FakeWorker& worker = *fleet.nodes[holder].worker;
  std::vector<http::ExchangePtr> running;
  worker.set_behaviour([&](const http::ExchangePtr& exchange) { running.push_back(exchange); });
  http::Headers key;
  key.Add("Shard-Key", "0");
  // As many as the worker has slots: every connection is in use.
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

// The node's process starts again meanwhile: it has had no connection to the worker that could have
// ended. The worker holds its keys by a lease of the former process.
TEST(WorkerLives, KeysOfAWorkerThatTakesNoConnectionsStayWhenItsNodeStartsAgain) {
  for (const auto delivery : kDeliveries) {
    Fleet fleet({"keyed", "keyed", "other"}, delivery);
    fleet.SetBorn(kFirstBirth);
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
