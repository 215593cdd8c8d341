// Grants on their way to a server whose process ends and is started again. Nothing is judged by
// time: the agent's threads run, and the server tells how far they are.
#include "source/daemon/server_agent.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

#include "tests/daemon/fake_server_control.h"

namespace runshelf::daemon {
namespace {

using coordination::ServerGrant;
using coordination::ServerState;

constexpr Instant kNow = Instant(std::chrono::seconds(100));
constexpr auto kLimit = std::chrono::seconds(60);  // Only ends a test that hangs.

// Time stands still, so that no grant runs out.
class StoppedClock : public Clock {
 public:
  Instant Now() const override { return kNow; }
};

// Stands in for the node: offers a grant until the server has accepted it or has stopped, and keeps
// what the agent node.
class FakeNode {
 public:
  void Offer(const ServerGrant& grant) {
    const std::lock_guard lock(mutex_);
    offered_ = grant;
  }
  std::optional<ServerGrant> Offered() const {
    const std::lock_guard lock(mutex_);
    return offered_;
  }
  void OnState(ServerState state) {
    const std::lock_guard lock(mutex_);
    states_.push_back(state);
    if (state == ServerState::kStopped) {
      offered_.reset();
    }
    changed_.notify_all();
  }
  void OnAccepted() {
    const std::lock_guard lock(mutex_);
    offered_.reset();
    ++accepted_;
    changed_.notify_all();
  }
  bool Has(ServerState state) const {
    const std::lock_guard lock(mutex_);
    return HasLocked(state);
  }
  bool Await(ServerState state) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kLimit, [&] { return HasLocked(state); });
  }
  bool AwaitAccepted() {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kLimit, [&] { return accepted_ > 0; });
  }

 private:
  bool HasLocked(ServerState state) const {
    return std::find(states_.begin(), states_.end(), state) != states_.end();
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<ServerGrant> offered_;
  std::vector<ServerState> states_;
  int accepted_ = 0;
};

}  // namespace

TEST_GROUP(ServerAgent) {
  StoppedClock clock;
  AdmissionGate admission{clock, admission::AdmissionConfig{}};
  FakeServerControl server;
  FakeNode node;
  ServerAgent agent{clock, server, admission, Callbacks()};

  void setup() override {
    agent.Start();
    CHECK(node.Await(ServerState::kServing));
  }

  void teardown() override { server.LetGrantsGo(); }

  ServerAgentCallbacks Callbacks() {
    ServerAgentCallbacks callbacks;
    callbacks.on_state = [this](ServerState state) { node.OnState(state); };
    callbacks.grant_to_push = [this] { return node.Offered(); };
    callbacks.on_grant_accepted = [this](const ServerGrant&) { node.OnAccepted(); };
    return callbacks;
  }

  void OfferGrant() {
    node.Offer({{1, 1, 5}, kNow + std::chrono::milliseconds(700), {{0, 15}}});
    agent.PushGrant();
  }
};

TEST(ServerAgent, AGrantReachesTheServer) {
  OfferGrant();
  CHECK(node.AwaitAccepted());
  CHECK_EQUAL(1, server.accepted());
}

TEST(ServerAgent, AGrantThatWasLostOnItsWayIsSentAgain) {
  server.LoseNextGrant();
  OfferGrant();
  CHECK(node.AwaitAccepted());
  CHECK_EQUAL(1, server.accepted());
}

TEST(ServerAgent, AGrantOfAFormerProcessIsNotGivenToTheNext) {
  server.EndProcess();
  OfferGrant();
  CHECK(node.Await(ServerState::kStopped));
  server.StartProcess();
  CHECK(server.AwaitHealthChecks(3));
  CHECK_EQUAL(0, server.accepted());
}

// Whoever hears that the server has stopped gives its slots to others. The next process may take a
// grant that was on its way when nothing listened.
TEST(ServerAgent, AServerIsNotReportedStoppedWhileAGrantIsOnItsWay) {
  server.HoldGrants();
  OfferGrant();
  CHECK(server.AwaitHeldGrant());
  server.EndProcess();
  CHECK(server.AwaitHealthChecks(1));
  server.StartProcess();
  server.LetGrantsGo();
  CHECK(node.AwaitAccepted());
  CHECK(server.AwaitHealthChecks(2));
  CHECK_FALSE(node.Has(ServerState::kStopped));
}

}  // namespace runshelf::daemon
