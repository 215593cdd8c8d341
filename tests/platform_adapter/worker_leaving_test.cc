// Workers that state in their responses that they are leaving.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "tests/event/loop_runner.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

// Time that operators allow for the last request to a worker that leaves.
constexpr Duration kDrainTimeout = std::chrono::seconds(2);

}  // namespace

TEST_GROUP(WorkerLeaving) {
  std::unique_ptr<Fleet> fleet;
  bool leaving = false;           // What the worker of the first node states.
  std::vector<Instant> arrivals;  // At that worker.

  void Start(const std::vector<std::string>& services) {
    fleet = std::make_unique<Fleet>(services);
    for (Fleet::Node& node : fleet->nodes) node.settings.bounds.drain_timeout = kDrainTimeout;
    fleet->Start();
    StateLeaving();
  }
  void StateLeaving() {
    fleet->nodes[0].worker->set_behaviour([this](const http::ExchangePtr& exchange) {
      arrivals.push_back(fleet->loop.Now());
      http::Headers headers = RunHeaders(exchange);
      if (leaving) headers.Add("Server-Leaving", "1");
      exchange->Respond(200, headers, "");
    });
  }
  int Status(size_t node, const std::string& target = "/read/x") {
    http::Headers headers;
    headers.Add("Shard-Key", "7");
    const auto answer = fleet->Request(node, "GET", target, "", headers);
    return answer.has_value() ? answer->status : 0;
  }
  // Sends requests through all nodes for `time`.
  void SendFor(Duration time, const std::string& target = "/read/x") {
    const Instant end = fleet->loop.Now() + time;
    while (fleet->loop.Now() < end) {
      for (size_t node = 0; node < fleet->nodes.size(); ++node) Status(node, target);
      RunFor(fleet->loop, std::chrono::milliseconds(10));
    }
  }
  // Sends requests until the worker of the first node has answered one.
  void SendUntilItAnswers(const std::string& target = "/read/x") {
    const size_t before = arrivals.size();
    for (int round = 0; round < 200 && arrivals.size() == before; ++round) {
      for (size_t node = 0; node < fleet->nodes.size(); ++node) Status(node, target);
    }
    CHECK(arrivals.size() > before);
  }
  size_t ArrivalsAfter(Instant time) const {
    return static_cast<size_t>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](Instant at) { return at > time; }));
  }
};

// Guards against requests to a worker that states in its answers that it leaves, without any
// notice to its node.
TEST(WorkerLeaving, AWorkerThatStatesThatItLeavesGetsNoMoreRequests) {
  Start({"plain", "plain"});
  leaving = true;
  SendUntilItAnswers();
  const Instant stated = fleet->loop.Now();
  SendFor(std::chrono::milliseconds(500));
  UNSIGNED_LONGS_EQUAL(0, ArrivalsAfter(stated + std::chrono::milliseconds(50)));
  LONGS_EQUAL(200, Status(0));
  LONGS_EQUAL(200, Status(1));
}

// Guards against the same while the store is away, so that nothing can be recorded there.
TEST(WorkerLeaving, ItGetsNoMoreRequestsWhileTheStoreIsAway) {
  Start({"plain", "plain"});
  fleet->store.set_fault(FakeStore::Fault::kReset);
  RunFor(fleet->loop, std::chrono::milliseconds(300));
  leaving = true;
  SendUntilItAnswers();
  const Instant stated = fleet->loop.Now();
  SendFor(std::chrono::milliseconds(500));
  UNSIGNED_LONGS_EQUAL(0, ArrivalsAfter(stated + std::chrono::milliseconds(50)));
}

// Guards against keys that stay with a worker that leaves.
TEST(WorkerLeaving, ItsKeysMoveToAnotherWorkerInTime) {
  Start({"keyed", "keyed", "keyed"});
  leaving = true;
  for (uint32_t key = 0; key < 65536; key += 2048) fleet->Keyed(1, key);
  CHECK(!arrivals.empty());
  const Instant stated = fleet->loop.Now();
  CHECK(RunUntil(
      fleet->loop,
      [&] {
        for (uint32_t key = 0; key < 65536; key += 512) {
          const auto holder = fleet->HolderOf(key);
          if (!holder.has_value() || *holder == 0) return false;
        }
        return true;
      },
      std::chrono::seconds(4)));
  RunFor(fleet->loop, kDrainTimeout - (fleet->loop.Now() - stated));
  for (uint32_t key = 0; key < 65536; key += 2048) LONGS_EQUAL(200, fleet->Keyed(1, key)->status);
  UNSIGNED_LONGS_EQUAL(0, ArrivalsAfter(stated + kDrainTimeout));
}

// Guards against a restarted node that has forgotten what its worker stated: neither the store nor
// the worker has told it.
TEST(WorkerLeaving, ARestartedNodeSendsItNothing) {
  Start({"plain", "plain"});
  leaving = true;
  SendUntilItAnswers();
  RunFor(fleet->loop, std::chrono::milliseconds(300));
  const Instant restarted = fleet->loop.Now();
  fleet->Restart(0);
  CHECK(RunUntil(fleet->loop, [&] { return fleet->nodes[0].sidecar->ready(); }));
  SendFor(std::chrono::milliseconds(500));
  UNSIGNED_LONGS_EQUAL(0, ArrivalsAfter(restarted));
}

// Guards against other nodes that send to the worker again after its node was restarted while the
// store could not record that the worker leaves.
TEST(WorkerLeaving, OtherNodesRememberItAfterARestartOfItsNode) {
  Start({"plain", "plain", "other"});
  fleet->store.set_fault_filter(
      [](const http::Request& request) { return request.head.target == "/runshelf/kv-txn"; });
  fleet->store.set_fault(FakeStore::Fault::kRefuse);
  leaving = true;
  for (int round = 0; round < 200 && arrivals.empty(); ++round) Status(2);
  CHECK(!arrivals.empty());
  fleet->Kill(0);
  RunFor(fleet->loop, kDrainTimeout);
  fleet->store.set_fault(FakeStore::Fault::kNone);
  const Instant restarted = fleet->loop.Now();
  fleet->Restart(0);
  CHECK(RunUntil(fleet->loop, [&] { return fleet->nodes[0].sidecar->ready(); }));
  RunFor(fleet->loop, std::chrono::milliseconds(300));
  for (int request = 0; request < 40; ++request) LONGS_EQUAL(200, Status(2));
  UNSIGNED_LONGS_EQUAL(0, ArrivalsAfter(restarted));
}

// Guards against a later worker at the same address that is taken for the one that left.
TEST(WorkerLeaving, TheNextWorkerAtTheAddressServes) {
  Start({"plain", "other"});
  leaving = true;
  SendUntilItAnswers();
  RunFor(fleet->loop, std::chrono::milliseconds(300));
  fleet->ReplaceWorker(0, "next");
  leaving = false;
  StateLeaving();
  const Instant end = fleet->loop.Now() + std::chrono::seconds(3);
  int status = 0;
  while (status != 200 && fleet->loop.Now() < end) {
    status = Status(1);
    RunFor(fleet->loop, std::chrono::milliseconds(20));
  }
  LONGS_EQUAL(200, status);
}
