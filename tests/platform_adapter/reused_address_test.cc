// The address of a worker that has ended is given to a worker of another service.
//
// Guards against requests that run in a service which no configuration allows for them: a node took
// whoever answers at the address for a worker of its service, and named that worker in requests.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;
using std::chrono::milliseconds;

namespace {

constexpr Duration kReuseAfter = milliseconds(800);
constexpr Duration kHeartbeatInterval = milliseconds(100);
constexpr Duration kRecovery = std::chrono::seconds(12);
// The longest validity of a grant is 8 s.
constexpr Duration kTakeover = std::chrono::seconds(14);

// A fleet whose nodes know after which time an address may be used again.
std::unique_ptr<Fleet> FleetThatReusesAddresses(
    const std::vector<std::string>& services,
    routes::GrantDelivery delivery = routes::GrantDelivery::kCalls) {
  auto fleet = std::make_unique<Fleet>(services, delivery);
  for (Fleet::Node& node : fleet->nodes) node.settings.bounds.reuse_after = kReuseAfter;
  fleet->Start();
  return fleet;
}

// The worker of the node says nothing more; its connections stay open.
void FallSilent(Fleet& fleet, size_t node, std::vector<http::ExchangePtr>* unanswered) {
  FakeWorker& worker = *fleet.nodes[node].worker;
  worker.set_heartbeats_cut(true);
  worker.set_health_silent(true);
  worker.set_behaviour(
      [unanswered](const http::ExchangePtr& exchange) { unanswered->push_back(exchange); });
}

// Ends the worker of the node; one of `service` starts at its address.
void GiveAddressTo(Fleet& fleet, size_t node, const std::string& id, const std::string& service,
                   bool heartbeats = true) {
  const uint16_t port = fleet.nodes[node].worker->endpoint().port;
  fleet.nodes[node].worker.reset();
  RunFor(fleet.loop, milliseconds(5));
  fleet.nodes[node].worker = std::make_unique<FakeWorker>(fleet.loop, id, service);
  fleet.nodes[node].worker->Listen(port);
  if (!heartbeats) return;
  fleet.nodes[node].worker->StartHeartbeats(*fleet.nodes[node].settings.control_plane,
                                            kHeartbeatInterval);
}

// The machine loses power and comes back with a worker of another service at the same address, as
// its settings say. Its name stays.
void ReturnWithService(Fleet& fleet, size_t node, const std::string& id,
                       const std::string& service) {
  fleet.Kill(node);
  GiveAddressTo(fleet, node, id, service, /*heartbeats=*/false);
  fleet.nodes[node].settings.worker_service = service;
  fleet.Restart(node);
}

// Sends requests of the route of "plain" to all nodes for `duration`. Returns how many succeeded.
size_t SendFor(Fleet& fleet, Duration duration) {
  size_t served = 0;
  const Instant end = fleet.loop.Now() + duration;
  while (fleet.loop.Now() < end) {
    std::vector<std::unique_ptr<Fleet::PendingRequest>> requests;
    for (size_t node = 0; node < fleet.nodes.size(); ++node) {
      requests.push_back(fleet.Begin(node, "POST", "/send/1", "body"));
    }
    RunFor(fleet.loop, milliseconds(50));
    served += static_cast<size_t>(
        std::count_if(requests.begin(), requests.end(), [](const auto& request) {
          return request->answer.has_value() && request->answer->status == 200;
        }));
  }
  return served;
}

// A worker of "plain" ends silently, and after `after` its address goes to a worker of "other".
void CheckNoRequestRunsInOtherService(Duration after, bool heartbeats) {
  std::vector<http::ExchangePtr> unanswered;
  const auto fleet = FleetThatReusesAddresses({"plain", "plain", "other"});
  FallSilent(*fleet, 0, &unanswered);
  SendFor(*fleet, after);
  unanswered.clear();
  GiveAddressTo(*fleet, 0, "foreign", "other", heartbeats);
  const size_t served = SendFor(*fleet, milliseconds(2500));
  CHECK_EQUAL_TEXT(0, fleet->nodes[0].worker->executed().size(), fleet->Log().c_str());
  CHECK(served > 0);
}

}  // namespace

TEST_GROUP(ReusedAddress){};

// Guards against requests that are sent in the name of the worker of another service.
TEST(ReusedAddress, WorkerOfOtherServiceGetsNoRequests) {
  for (const bool heartbeats : {true, false}) {
    CheckNoRequestRunsInOtherService(kReuseAfter + milliseconds(100), heartbeats);
  }
}

// Guards against the same beside a node that starts anew and asks who is at the address.
TEST(ReusedAddress, RestartedNodeTakesNoWorkerOfOtherService) {
  for (const bool heartbeats : {true, false}) {
    const auto fleet = FleetThatReusesAddresses({"plain", "plain", "other"});
    fleet->Kill(0);
    RunFor(fleet->loop, kReuseAfter);
    GiveAddressTo(*fleet, 0, "foreign", "other", /*heartbeats=*/false);
    fleet->Restart(0);
    fleet->nodes[0].worker->set_heartbeats_cut(!heartbeats);
    CHECK(RunUntil(
        fleet->loop, [&] { return fleet->nodes[0].sidecar->ready(); }, kRecovery));
    const size_t served = SendFor(*fleet, milliseconds(2000));
    CHECK_EQUAL_TEXT(0, fleet->nodes[0].worker->executed().size(), fleet->Log().c_str());
    CHECK(served > 0);
  }
}

// Guards against a worker of this service that is left out once the address has come back to it.
TEST(ReusedAddress, AddressThatComesBackToTheServiceIsUsedAgain) {
  std::vector<http::ExchangePtr> unanswered;
  const auto fleet = FleetThatReusesAddresses({"plain", "plain", "other"});
  FallSilent(*fleet, 0, &unanswered);
  SendFor(*fleet, kReuseAfter + milliseconds(100));
  unanswered.clear();
  GiveAddressTo(*fleet, 0, "foreign", "other");
  SendFor(*fleet, kReuseAfter);
  CHECK_EQUAL(0, fleet->nodes[0].worker->executed().size());
  GiveAddressTo(*fleet, 0, "returned", "plain");
  SendFor(*fleet, milliseconds(1000));
  CHECK_TEXT(!fleet->nodes[0].worker->executed().empty(), fleet->Log().c_str());
}

// Guards against a pause of a whole heartbeat interval after each restart in place: before the
// address may be used again, whoever answers there is of the same service.
TEST(ReusedAddress, WorkerThatRestartsInPlaceIsUsedBeforeItsFirstHeartbeat) {
  const auto fleet = FleetThatReusesAddresses({"plain", "plain", "other"});
  SendFor(*fleet, milliseconds(300));
  GiveAddressTo(*fleet, 0, "restarted", "plain", /*heartbeats=*/false);
  SendFor(*fleet, milliseconds(600));
  CHECK_TEXT(!fleet->nodes[0].worker->executed().empty(), fleet->Log().c_str());
}

// Guards against a pause after a restart of the node: its former record names the worker.
TEST(ReusedAddress, RestartedNodeUsesTheWorkerOfItsFormerRecordBeforeAHeartbeat) {
  const auto fleet = FleetThatReusesAddresses({"plain", "plain", "other"});
  fleet->Kill(0);
  RunFor(fleet->loop, kReuseAfter);
  fleet->nodes[0].worker->set_heartbeats_cut(true);
  const size_t before = fleet->nodes[0].worker->executed().size();
  fleet->Restart(0);
  SendFor(*fleet, milliseconds(1500));
  CHECK_TEXT(fleet->nodes[0].worker->executed().size() > before, fleet->Log().c_str());
}

// Guards against keys that stay with a worker that has ended, or get two holders, when another
// service has its address.
TEST(ReusedAddress, KeysOfTheFormerWorkerMoveToAnother) {
  for (const auto delivery : {routes::GrantDelivery::kCalls, routes::GrantDelivery::kHeartbeats}) {
    std::vector<http::ExchangePtr> unanswered;
    const auto fleet = FleetThatReusesAddresses({"keyed", "keyed", "plain"}, delivery);
    FallSilent(*fleet, 0, &unanswered);
    RunFor(fleet->loop, kReuseAfter + milliseconds(100));
    unanswered.clear();
    GiveAddressTo(*fleet, 0, "foreign", "other");
    const auto moved = [&] {
      for (uint32_t key = 0; key < 65536; key += 512) {
        if (fleet->nodes[1].worker->Holds(key) == nullptr) return false;
      }
      return true;
    };
    CHECK_TEXT(RunUntil(fleet->loop, moved, kRecovery), fleet->Log().c_str());
    CHECK_EQUAL(0, fleet->nodes[0].worker->grants().size());
    CHECK_EQUAL(200, fleet->Keyed(2, 0)->status);
    CHECK_EQUAL(0, fleet->nodes[0].worker->executed().size());
  }
}

// Guards against a worker of this service that is given up when a notice of a worker that it
// replaced, or of one of another service, comes late: a leave notice names no service.
TEST(ReusedAddress, LeaveOfAnUnknownWorkerTakesNothingFromThePresentOne) {
  const auto fleet = FleetThatReusesAddresses({"keyed", "keyed", "plain"});
  // Nothing shows the present worker at the moment.
  for (FakeWorker* worker : {fleet->nodes[0].worker.get(), fleet->nodes[1].worker.get()}) {
    worker->set_health_delay([] { return milliseconds(400); });
  }
  fleet->Kill(0);
  RunFor(fleet->loop, kReuseAfter);
  fleet->Restart(0);
  CHECK(RunUntil(
      fleet->loop, [&] { return fleet->EveryKeyHeld(); }, kRecovery));
  RunFor(fleet->loop, kReuseAfter);
  const size_t held = fleet->nodes[0].worker->grants().size();
  CHECK(held > 0);
  fleet->nodes[0].worker->set_heartbeats_cut(true);
  RunFor(fleet->loop, kReuseAfter);
  CHECK_EQUAL(200, fleet->Leave(0, "w-former")->status);
  RunFor(fleet->loop, milliseconds(1500));
  CHECK_TEXT(fleet->EveryKeyHeld(), fleet->Log().c_str());
  CHECK_EQUAL_TEXT(held, fleet->nodes[0].worker->grants().size(), fleet->Log().c_str());
}

// Guards against a worker that gets nothing, and calls in the name of the former service, when the
// settings file names another service and the process goes on.
TEST(ReusedAddress, ReloadedSettingsPutTheOtherServiceIntoForce) {
  std::vector<http::ExchangePtr> unanswered;
  const auto fleet = FleetThatReusesAddresses({"plain", "plain", "other"});
  FallSilent(*fleet, 0, &unanswered);
  SendFor(*fleet, kReuseAfter + milliseconds(100));
  unanswered.clear();
  sidecar::Settings settings = fleet->nodes[0].settings;
  settings.worker_service = "other";
  fleet->nodes[0].sidecar->Reload(settings);
  GiveAddressTo(*fleet, 0, "foreign", "other");
  SendFor(*fleet, milliseconds(1000));
  CHECK_EQUAL_TEXT(0, fleet->nodes[0].worker->executed().size(), fleet->Log().c_str());
  const std::vector<http::Request>& elsewhere = fleet->nodes[1].worker->executed();
  CHECK(std::any_of(elsewhere.begin(), elsewhere.end(), [](const http::Request& request) {
    return *request.head.headers.Find("Caller-Service") == "other";
  }));
  fleet->store.Put("op/config", TestConfiguration(2, "other"));
  SendFor(*fleet, milliseconds(1000));
  CHECK_TEXT(!fleet->nodes[0].worker->executed().empty(), fleet->Log().c_str());
}

// Guards against a change to a service with keys that is passed over without a word.
TEST(ReusedAddress, ReloadToServiceWithKeysIsToldInLogAndMetrics) {
  Fleet fleet({"plain", "keyed", "keyed"});
  fleet.nodes[0].settings.metrics = FreeEndpoints("127.0.0.1", 1)[0];
  fleet.Start();
  CHECK(fleet.Metrics(0).find("runshelf_service_needs_restart 0") != std::string::npos);
  sidecar::Settings settings = fleet.nodes[0].settings;
  settings.worker_service = "keyed";
  fleet.nodes[0].sidecar->Reload(settings);
  GiveAddressTo(fleet, 0, "foreign", "keyed");
  RunFor(fleet.loop, std::chrono::seconds(3));
  CHECK(fleet.EveryKeyHeld());
  CHECK(fleet.Metrics(0).find("runshelf_service_needs_restart 1") != std::string::npos);
  CHECK(fleet.Log().find("event=service_changed") != std::string::npos);
  CHECK_EQUAL(0, fleet.nodes[0].worker->grants().size());
  CHECK_EQUAL(200, fleet.Keyed(0, 0)->status);
}

// Guards against keys that stay with a node which serves another service, so that nobody serves
// them any more.
TEST(ReusedAddress, KeysOfANodeThatServesAnotherServiceAreTakenOver) {
  for (const auto delivery : {routes::GrantDelivery::kCalls, routes::GrantDelivery::kHeartbeats}) {
    Fleet fleet({"keyed", "keyed", "other"}, delivery);
    fleet.Start();
    ReturnWithService(fleet, 0, "w0b", "other");
    const auto held_by_other = [&] {
      for (uint32_t key = 0; key < 65536; key += 512) {
        if (fleet.nodes[1].worker->Holds(key) == nullptr) return false;
      }
      return true;
    };
    CHECK(RunUntil(fleet.loop, held_by_other, kTakeover));
    const auto answer = fleet.Keyed(2, 7);
    CHECK(answer.has_value());
    CHECK_EQUAL(200, answer->status);
  }
}

// Guards against two workers that hold a key: its former holder may hold it until its grant ends.
TEST(ReusedAddress, SuchKeysAreNotTakenOverWhileGrantsMayBeInForce) {
  Fleet fleet({"keyed", "keyed", "other"}, routes::GrantDelivery::kHeartbeats);
  fleet.Start();
  uint32_t key = 0;
  while (fleet.nodes[0].worker->Holds(key) == nullptr) key += 512;
  // The former worker lives on, unseen by the node, which has been given another one.
  const auto former = std::move(fleet.nodes[0].worker);
  fleet.Kill(0);
  fleet.nodes[0].worker = std::make_unique<FakeWorker>(fleet.loop, "w0b", "other");
  fleet.nodes[0].worker->Listen();
  fleet.nodes[0].settings.worker = fleet.nodes[0].worker->endpoint();
  fleet.nodes[0].settings.worker_service = "other";
  former->set_heartbeats_cut(true);
  fleet.Restart(0);
  bool both = false;
  CHECK(RunUntil(
      fleet.loop,
      [&] {
        const bool taken = fleet.nodes[1].worker->Holds(key) != nullptr;
        both = both || (taken && former->Holds(key) != nullptr);
        return taken;
      },
      kTakeover));
  CHECK_FALSE(both);
}
