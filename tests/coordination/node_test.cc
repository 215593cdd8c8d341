#include "runshelf/coordination/node.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/coordination/cluster.h"

using namespace std::chrono_literals;
using runshelf::Duration;
using runshelf::coordination::Cluster;
using runshelf::coordination::ClusterMember;
using runshelf::coordination::ServerState;

namespace {

constexpr size_t kSlots = 64;

}  // namespace

TEST_GROUP(Node) {
  Cluster cluster{7};

  // Two services with four servers each in four zones.
  void StartEight() {
    for (int i = 1; i <= 4; ++i) {
      const std::string zone = "z" + std::to_string(i);
      cluster.Add("feedread-" + std::to_string(i), "feedread", zone);
      cluster.Add("billing-" + std::to_string(i), "billing", zone);
    }
    CHECK(cluster.RunUntil(10s, [&] { return AllServed(); }));
  }

  bool AllServed() {
    return cluster.ServedSlots("feedread") == kSlots && cluster.ServedSlots("billing") == kSlots;
  }

  // Runs until all slots are served again; fails on a double owner; returns how long it took.
  Duration TimeUntilServed(Duration limit) {
    const runshelf::Instant start = cluster.now();
    bool double_owner = false;
    const bool served = cluster.RunUntil(limit, [&] {
      double_owner = double_owner || cluster.HasDoubleOwner();
      return AllServed();
    });
    CHECK(served);
    CHECK_FALSE(double_owner);
    return cluster.now() - start;
  }

  size_t SlotsOf(const std::string& name) {
    size_t count = 0;
    for (const auto& range : cluster.Get(name).node->Status(cluster.now()).owned_slots) {
      count += range.last - range.first + 1;
    }
    return count;
  }
};

TEST(Node, SlotsAreSharedOutEvenlyAtFirst) {
  StartEight();
  for (int i = 1; i <= 4; ++i) {
    UNSIGNED_LONGS_EQUAL(kSlots / 4, SlotsOf("feedread-" + std::to_string(i)));
  }
}

TEST(Node, SlotsOfALostServerAreServedAgainWithinTwoSeconds) {
  StartEight();
  cluster.Run(2s);
  for (const char* name : {"feedread-1", "billing-2"}) {
    cluster.Kill(name);
    CHECK(TimeUntilServed(5s) < 2s);
    cluster.Run(4s);
  }
}

TEST(Node, LossOfTheLeaderWithAServerAndThePlatformAwayIsRiddenOut) {
  StartEight();
  cluster.Run(2s);
  cluster.platform_up = false;
  cluster.Kill(cluster.Leader()->config.node);
  CHECK(TimeUntilServed(5s) < 2s);
}

TEST(Node, ALeaderLostJustBeforeItWouldHaveMovedTheSlotsCostsNoSecondWait) {
  StartEight();
  cluster.Run(2s);
  ClusterMember* leader = cluster.Leader();
  const char* other = leader->config.node == "feedread-3" ? "feedread-4" : "feedread-3";
  cluster.Kill(other);
  cluster.Run(600ms);
  cluster.Kill(leader->config.node);
  const auto all_of_lost_served = [&] { return cluster.ServedSlots("feedread") == kSlots; };
  const runshelf::Instant start = cluster.now();
  CHECK(cluster.RunUntil(5s, all_of_lost_served));
  CHECK(cluster.now() - start < 1400ms);
  CHECK_FALSE(cluster.HasDoubleOwner());
}

TEST(Node, VotersLostOneAfterAnotherAreReplaced) {
  StartEight();
  cluster.Run(2s);
  for (const char* name : {"feedread-1", "billing-1", "feedread-2", "billing-2", "feedread-3"}) {
    cluster.Kill(name);
    CHECK(TimeUntilServed(5s) < 2s);
    cluster.Run(5s);
  }
}

TEST(Node, APlannedLeaveHandsOverEverySlotBeforeItMayStop) {
  StartEight();
  cluster.Run(2s);
  for (const char* name : {"feedread-2", "billing-1", "feedread-1"}) {
    ClusterMember& member = cluster.Get(name);
    member.node->BeginLeave(cluster.now());
    CHECK(cluster.RunUntil(5s, [&] { return member.node->MayStop(cluster.now()); }));
    UNSIGNED_LONGS_EQUAL(0, SlotsOf(name));
    cluster.Kill(name);
    CHECK(AllServed());
  }
  cluster.Run(2s);
  CHECK(AllServed());
}

TEST(Node, AWholeFleetThatLeavesAtOnceMayStop) {
  StartEight();
  cluster.Run(2s);
  for (auto& [name, member] : cluster.members()) member->node->BeginLeave(cluster.now());
  const auto all_may_stop = [&] {
    for (auto& [name, member] : cluster.members()) {
      if (!member->node->MayStop(cluster.now())) return false;
    }
    return true;
  };
  CHECK(cluster.RunUntil(5s, all_may_stop));
}

TEST(Node, OnlySlotsOfTheLostServerMove) {
  StartEight();
  cluster.Run(2s);
  const auto before = cluster.Get("feedread-2").node->Status(cluster.now()).owned_slots;
  cluster.Kill("feedread-4");
  TimeUntilServed(5s);
  for (const auto slot : runshelf::FromRanges(before)) {
    CHECK(runshelf::Contains(cluster.Get("feedread-2").node->Status(cluster.now()).owned_slots,
                             slot));
  }
}

TEST(Node, AServerThatStopsBesideALivingDaemonIsReplacedAtOnce) {
  StartEight();
  cluster.Run(2s);
  ClusterMember& member = cluster.Get("feedread-3");
  cluster.EndServer("feedread-3");
  member.node->OnServerState(cluster.now(), ServerState::kStopped);
  CHECK(TimeUntilServed(5s) < 200ms);
}

TEST(Node, ARestartedServerGetsNothingOfItsFormerProcess) {
  StartEight();
  cluster.Run(2s);
  ClusterMember& member = cluster.Get("feedread-3");
  const runshelf::FencingToken former_token = member.server_grant->token;
  cluster.EndServer("feedread-3");
  CHECK(cluster.RunUntil(1s, [&] { return member.push_failed; }));
  member.node->OnServerState(cluster.now(), ServerState::kStopped);
  CHECK(TimeUntilServed(5s) < 200ms);

  // It listens before the daemon knows, and well before the grant that did not arrive runs out.
  cluster.StartServer("feedread-3");
  cluster.Run(100ms);
  CHECK_FALSE(member.server_grant.has_value());

  member.node->OnServerState(cluster.now(), ServerState::kServing);
  CHECK_FALSE(member.node->GrantToPush(cluster.now()).has_value());
  CHECK(cluster.RunUntil(1s, [&] { return member.server_grant.has_value(); }));
  CHECK(member.server_grant->slots.empty());
  CHECK(former_token < member.server_grant->token);
  CHECK_FALSE(cluster.HasDoubleOwner());
}

TEST(Node, AServerThatDoesNotAnswerGetsNoGrant) {
  StartEight();
  cluster.Run(2s);
  ClusterMember& member = cluster.Get("feedread-3");
  cluster.EndServer("feedread-3");
  CHECK(cluster.RunUntil(1s, [&] { return member.push_failed; }));
  CHECK(member.node->GrantToPush(cluster.now()).has_value());
  // Nor does one get a grant that has run out.
  CHECK_FALSE(member.node->GrantToPush(cluster.now() + 1s).has_value());
  member.node->OnServerState(cluster.now(), ServerState::kSilent);
  CHECK_FALSE(member.node->GrantToPush(cluster.now()).has_value());
}

// Its daemon has not seen that it was gone, so nobody else was given its slots.
TEST(Node, AServerThatWasRestartedUnseenGetsWhatItsDaemonOwns) {
  StartEight();
  cluster.Run(2s);
  ClusterMember& member = cluster.Get("feedread-3");
  cluster.EndServer("feedread-3");
  CHECK(cluster.RunUntil(1s, [&] { return member.push_failed; }));
  cluster.StartServer("feedread-3");
  CHECK(TimeUntilServed(5s) < 200ms);
  CHECK_FALSE(cluster.HasDoubleOwner());
}

TEST(Node, AJoinerGetsItsShareAndNoMore) {
  StartEight();
  cluster.Run(2s);
  cluster.Add("feedread-5", "feedread", "z1");
  CHECK(cluster.RunUntil(20s, [&] { return SlotsOf("feedread-5") >= kSlots / 6; }));
  cluster.Run(5s);
  CHECK(SlotsOf("feedread-5") <= kSlots / 5 + 1);
  CHECK(AllServed());
}

TEST(Node, ALostMajorityIsReplacedByANewGenerationWithoutADoubleOwner) {
  StartEight();
  cluster.Run(4s);
  int killed = 0;
  for (auto& [name, member] : cluster.members()) {
    if (killed == 3 || !member->node->Status(cluster.now()).is_voter) continue;
    cluster.Kill(name);
    cluster.unlisted.insert(name);
    ++killed;
  }
  TimeUntilServed(30s);
  UNSIGNED_LONGS_EQUAL(2, cluster.Leader()->node->Status(cluster.now()).generation);
}

TEST(Node, ATableRevisionReachesEveryNode) {
  StartEight();
  cluster.Get("billing-3").table.revision = 41;
  CHECK(cluster.RunUntil(5s, [&] {
    for (auto& [name, member] : cluster.members()) {
      if (member->table.revision != 41) return false;
    }
    return true;
  }));
}
