// Connections to the store that stop delivering data: how soon the node that leads the feed detects
// them, and how many calls to the store this takes.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>

#include "tests/platform_adapter/fleet.h"
#include "tests/soak/fault_proxy.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

constexpr Duration kDetectionTime = std::chrono::seconds(1);
// Fleets guarantee their operators that a change is in force within two seconds or more.
constexpr Duration kInForceWithin = std::chrono::seconds(2);
// The leader of the feed and its standby.
constexpr int kWatchingNodes = 2;

bool WatchesConfiguration(const http::Request& request) {
  return request.head.target.starts_with("/runshelf/kv-watch?path_prefix=op/");
}

}  // namespace

TEST_GROUP(SilentStoreConnections) {
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<soak::FaultProxy> proxy;
  int version = 1;

  void StartFleet(const std::vector<std::string>& services) {
    fleet = std::make_unique<Fleet>(services);
    proxy = std::make_unique<soak::FaultProxy>(fleet->loop, fleet->store.endpoint());
    proxy->Listen("127.0.0.1");
    for (Fleet::Node& node : fleet->nodes) node.settings.store = proxy->endpoint();
    fleet->Start();
    RunFor(fleet->loop, std::chrono::milliseconds(1500));
  }
  void WriteConfiguration() {
    fleet->store.Put("op/config", TestConfiguration(++version, "plain"));
  }
  bool HasLatest(const Fleet::Node& node) const {
    return node.sidecar->configuration_version() == version;
  }
  bool LeaderHasLatest() const {
    return std::any_of(fleet->nodes.begin(), fleet->nodes.end(), [this](const Fleet::Node& node) {
      return node.sidecar->leads_feed() && HasLatest(node);
    });
  }
  bool AllHaveLatest() const {
    return std::all_of(fleet->nodes.begin(), fleet->nodes.end(),
                       [this](const Fleet::Node& node) { return HasLatest(node); });
  }
  // Lets the next configuration watch of the leader and of its standby reach the store while the
  // store does not answer.
  void LoseNextWatches() {
    int lost = 0;
    fleet->store.set_fault_filter([&](const http::Request& request) {
      const bool watch = WatchesConfiguration(request);
      if (watch) ++lost;
      return watch;
    });
    fleet->store.set_fault(FakeStore::Fault::kSilent);
    WriteConfiguration();
    CHECK(RunUntil(
        fleet->loop, [&] { return lost == kWatchingNodes; }, std::chrono::milliseconds(700)));
    fleet->store.set_fault(FakeStore::Fault::kNone);
    fleet->store.set_fault_filter(nullptr);
    CHECK(RunUntil(fleet->loop, [this] { return AllHaveLatest(); }));
  }
  void teardown() override {
    proxy.reset();  // Uses the event loop of the fleet.
    fleet.reset();
  }
};

// Guards against a fleet that receives no change for up to 25 s, because the leader and its standby
// sent their watches while the store briefly did not answer.
TEST(SilentStoreConnections, AWatchThatIsNeverAnsweredIsNoticedWithinASecond) {
  StartFleet({"plain", "other", "other"});
  for (int round = 0; round < 3; ++round) {
    LoseNextWatches();
    WriteConfiguration();
    CHECK(RunUntil(
        fleet->loop, [this] { return LeaderHasLatest(); }, kDetectionTime));
    CHECK(RunUntil(
        fleet->loop, [this] { return AllHaveLatest(); }, kInForceWithin - kDetectionTime));
    RunFor(fleet->loop, std::chrono::milliseconds(1500));
  }
}

// Guards against a fleet that receives no change until a lease renewal of its leader times out,
// after all open connections to the store have permanently stopped delivering data.
TEST(SilentStoreConnections, SilentConnectionsAreNoticedWithinASecond) {
  StartFleet({"plain", "other", "other"});
  for (int round = 0; round < 4; ++round) {
    proxy->SilenceOpenConnections();
    WriteConfiguration();
    CHECK(RunUntil(
        fleet->loop, [this] { return LeaderHasLatest(); }, kDetectionTime));
    CHECK(RunUntil(
        fleet->loop, [this] { return AllHaveLatest(); }, kInForceWithin - kDetectionTime));
    // Each round starts at a different time between two renewals.
    RunFor(fleet->loop, std::chrono::milliseconds(3150));
  }
}

// Guards against one lost watch that hides another: its connection and the idle ones are closed,
// renewals succeed on new connections, and the other watch keeps waiting for seconds.
TEST(SilentStoreConnections, AnotherWatchOnASilentConnectionIsNoticedWithinASecond) {
  StartFleet({"plain", "other", "other"});
  for (int round = 0; round < 6; ++round) {
    WriteConfiguration();
    // By then the configuration watch is past its first, short wait; the state watch is not.
    RunFor(fleet->loop, std::chrono::milliseconds(700));
    CHECK(AllHaveLatest());
    fleet->store.Put("runshelf/table/plain/class", fmt::format(R"({{"weight":{}}})", round + 1));
    RunFor(fleet->loop, std::chrono::milliseconds(400));
    proxy->SilenceOpenConnections();
    WriteConfiguration();
    CHECK(RunUntil(
        fleet->loop, [this] { return LeaderHasLatest(); }, kDetectionTime));
    CHECK(RunUntil(
        fleet->loop, [this] { return AllHaveLatest(); }, kInForceWithin - kDetectionTime));
    // Each round starts at a different time between two renewals.
    RunFor(fleet->loop, std::chrono::milliseconds(3000 + 100 * round));
  }
}

// Guards against many additional calls to the store from an idle fleet only to check that the store
// answers.
TEST(SilentStoreConnections, IdleFleetMakesFewStoreCalls) {
  constexpr uint64_t kSeconds = 6;
  constexpr uint64_t kRenewalsOfANode = kSeconds / 2 + 1;
  constexpr uint64_t kMaxAddedPerSecond = 2;  // For the whole fleet.
  StartFleet({"plain", "other", "other", "other", "other", "other"});
  RunFor(fleet->loop, std::chrono::seconds(4));
  const auto calls = [this] {
    const FakeStore& store = fleet->store;
    return store.calls("/runshelf/kv-watch") + store.calls("/runshelf/kv-range") +
           store.calls("/runshelf/kv-txn") + store.calls("/runshelf/kv-keep");
  };
  const uint64_t before = calls();
  const uint64_t watches = fleet->store.calls("/runshelf/kv-watch");
  RunFor(fleet->loop, std::chrono::seconds(kSeconds));
  CHECK(calls() - before <= fleet->nodes.size() * kRenewalsOfANode + kSeconds * kMaxAddedPerSecond);
  // A renewal costs the store a tenth of a watch.
  CHECK(fleet->store.calls("/runshelf/kv-watch") - watches <= kWatchingNodes);
}
