// A worker whose predecessor had another identity and ended while the node's process was down: the
// restarted process has never heard of the predecessor, whose last heartbeat may still arrive.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
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
// Shorter than the time after which a health check counts as failed.
constexpr Duration kHealthDelay = milliseconds(400);
// Longer than the other node takes to be given keys that count as free.
constexpr Duration kObserved = milliseconds(3500);

// The keys of a sample (every 512th) that the worker of the node holds.
std::vector<uint32_t> KeysOf(const Fleet& fleet, size_t node) {
  std::vector<uint32_t> keys;
  for (uint32_t key = 0; key < 65536; key += 512) {
    if (fleet.nodes[node].worker->Holds(key) != nullptr) keys.push_back(key);
  }
  return keys;
}

// The highest number of workers that hold the same key of the sample.
int MostHolders(const Fleet& fleet) {
  int most = 0;
  for (uint32_t key = 0; key < 65536; key += 512) most = std::max(most, fleet.HoldersOf(key));
  return most;
}

// A late heartbeat of the worker w0 arrives at its node, whose present worker holds keys and takes
// `health_delay` to answer a health check. A start time of zero is not reported.
void CheckLateHeartbeatTakesNoKeys(Fleet& fleet, int64_t former_born, Duration health_delay) {
  const std::vector<uint32_t> held = KeysOf(fleet, 0);
  CHECK_FALSE(held.empty());

  fleet.nodes[0].worker->set_health_delay([health_delay] { return health_delay; });
  const std::string born = former_born == 0 ? "" : fmt::format(R"(,"born":{})", former_born);
  const auto answer = fleet.Heartbeat(
      0, "w0",
      fmt::format(R"({{"service":"keyed","address":"127.0.0.1:1","zone":"z","version":"v1",)"
                  R"("slots":4,"state":"draining","cold_remaining_ms":0,"call_sequence":1000{}}})",
                  born));
  CHECK_EQUAL(200, answer->status);
  int most = 0;
  RunUntil(
      fleet.loop,
      [&] {
        most = std::max(most, MostHolders(fleet));
        return false;
      },
      kObserved);
  const std::vector<uint32_t> kept = KeysOf(fleet, 0);
  const auto lost = std::count_if(held.begin(), held.end(), [&](uint32_t key) {
    return std::find(kept.begin(), kept.end(), key) == kept.end();
  });
  const std::string seen = fmt::format("{} of {} keys lost, up to {} holders of a key\n{}", lost,
                                       held.size(), most, fleet.Log());
  CHECK_EQUAL_TEXT(1, most, seen.c_str());
  CHECK_EQUAL_TEXT(0, lost, seen.c_str());
}

// A start time of zero is not reported.
void CheckLateHeartbeatAfterNodeRestart(int64_t former_born, int64_t present_born) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.SetBorn(former_born);
  fleet.Start();
  FakeWorker& former = *fleet.nodes[0].worker;
  // Requests are running on all keys: they are not handed over before the process ends.
  former.set_busy_keys([](uint32_t, uint32_t) { return true; });
  former.set_draining(true);
  CHECK(RunUntil(fleet.loop, [&] { return former.leaving_acknowledged_at().has_value(); }));
  fleet.Kill(0);
  fleet.ReplaceWorker(0, "w0-next", present_born);
  fleet.Restart(0);
  const bool held_again = RunUntil(
      fleet.loop, [&] { return fleet.EveryKeyHeld() && !KeysOf(fleet, 0).empty(); }, kRecovery);
  CHECK_TEXT(held_again, fleet.Log().c_str());
  RunFor(fleet.loop, milliseconds(1500));
  CHECK(fleet.EveryKeyHeld());
  // A health check that is answered at once shows the present worker before its keys are taken.
  CheckLateHeartbeatTakesNoKeys(fleet, former_born, kHealthDelay);
}

}  // namespace

TEST_GROUP(FormerWorkers){};

// Guards against two workers that hold the same keys after one late heartbeat of an ended worker.
TEST(FormerWorkers, LateHeartbeatOfWorkerEndedBeforeNodeRestartTakesNoKeys) {
  CheckLateHeartbeatAfterNodeRestart(kFirstStartMs, kSecondStartMs);
}

// Guards against the same where workers do not report their start time.
TEST(FormerWorkers, LateHeartbeatWithoutStartTimeAfterNodeRestartTakesNoKeys) {
  CheckLateHeartbeatAfterNodeRestart(0, 0);
}

// Guards against the same without a restart of the node: the ended worker was found dead before its
// successor registered.
TEST(FormerWorkers, LateHeartbeatOfWorkerFoundDeadTakesNoKeys) {
  for (const auto delivery : {routes::GrantDelivery::kCalls, routes::GrantDelivery::kHeartbeats}) {
    for (const Duration health_delay : {Duration(0), kHealthDelay}) {
      Fleet fleet({"keyed", "keyed", "other"}, delivery);
      fleet.SetBorn(kFirstStartMs);
      fleet.Start();
      fleet.ReplaceWorker(0, "w0-next", kSecondStartMs, milliseconds(1500));
      CHECK(RunUntil(
          fleet.loop, [&] { return fleet.nodes[0].worker->heartbeat_status() == 200; }, kRecovery));
      // The present worker gets keys when the other one drains.
      fleet.nodes[1].worker->set_draining(true);
      const bool moved = RunUntil(
          fleet.loop, [&] { return KeysOf(fleet, 0).size() == 128 && fleet.EveryKeyHeld(); },
          kRecovery);
      CHECK_TEXT(moved, fleet.Log().c_str());
      fleet.ReplaceWorker(1, "w1-next", kSecondStartMs);
      RunFor(fleet.loop, milliseconds(1500));
      CheckLateHeartbeatTakesNoKeys(fleet, kFirstStartMs, health_delay);
    }
  }
}

// Guards against a worker that is left out because it takes the place of one that seems present:
// its health check is answered at once, late, or not at all.
TEST(FormerWorkers, SuccessorThatRegistersByHeartbeatsIsUsed) {
  for (const auto health : {0, 1, 2}) {
    Fleet fleet({"plain", "other"});
    fleet.Start();
    const uint16_t port = fleet.nodes[0].worker->endpoint().port;
    fleet.nodes[0].worker.reset();
    fleet.nodes[0].worker = std::make_unique<FakeWorker>(fleet.loop, "next", "plain");
    fleet.nodes[0].worker->Listen(port);
    if (health == 1) fleet.nodes[0].worker->set_health_delay([] { return kHealthDelay; });
    if (health == 2) fleet.nodes[0].worker->set_health_silent(true);
    fleet.nodes[0].worker->StartHeartbeats(*fleet.nodes[0].settings.control_plane,
                                           milliseconds(100));
    const bool used = RunUntil(
        fleet.loop,
        [&] {
          const auto answer = fleet.Request(1, "GET", "/read/1", "");
          return answer.has_value() && answer->status == 200;
        },
        std::chrono::seconds(4));
    CHECK_TEXT(used, fleet.Log().c_str());
  }
}
