// Basic behaviour of a group of replicas on a perfect network.

#include "runshelf/consensus/replica.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <set>

using namespace std::chrono_literals;
using runshelf::Duration;
using runshelf::InstanceId;
using runshelf::Instant;
using runshelf::SeededRandom;
using namespace runshelf::consensus;

namespace {

constexpr Duration kTick = 10ms;

// Replicas whose messages arrive at once, and whose clocks are equal.
struct Group {
  explicit Group(size_t count) {
    Snapshot initial;
    for (size_t i = 0; i < count; ++i) initial.voters.push_back({"n" + std::to_string(i), i + 1});
    for (const InstanceId& id : initial.voters) Add(id, initial);
  }

  void Add(const InstanceId& id, const Snapshot& initial) {
    replicas[id] = MakeReplica(config, id, initial, now, random);
  }

  void Deliver() {
    bool delivered = true;
    while (delivered) {
      delivered = false;
      for (auto& [from, replica] : replicas) {
        ReplicaOutput output = replica->TakeOutput();
        if (output.installed_snapshot) states[from] = output.installed_snapshot->state;
        for (const LogEntry& entry : output.committed) states[from] += entry.command;
        if (cut_off.count(from) > 0) continue;
        for (const OutgoingMessage& message : output.messages) {
          const auto to = replicas.find(message.to);
          if (to == replicas.end() || cut_off.count(message.to) > 0) continue;
          to->second->Receive(now, from, message.message);
          delivered = true;
        }
      }
    }
  }

  void Run(Duration duration) {
    for (const Instant end = now + duration; now < end; now += kTick) {
      for (auto& [id, replica] : replicas) replica->Tick(now);
      Deliver();
    }
  }

  Replica* Leader() {
    for (auto& [id, replica] : replicas) {
      if (replica->IsLeader() && replica->HoldsLease(now)) return replica.get();
    }
    return nullptr;
  }

  ReplicaConfig config;
  SeededRandom random{7};
  Instant now = Instant(1h);
  std::map<InstanceId, std::unique_ptr<Replica>> replicas;
  std::map<InstanceId, std::string> states;
  std::set<InstanceId> cut_off;
};

}  // namespace

TEST_GROUP(Replica){};

TEST(Replica, OneLeaderIsElectedAndReplicates) {
  Group group(5);
  group.Run(2s);
  Replica* leader = group.Leader();
  CHECK(leader != nullptr);
  CHECK(leader->Propose(group.now, "a").ok());
  CHECK(leader->Propose(group.now, "b").ok());
  group.Run(1s);
  for (const auto& [id, state] : group.states) STRCMP_EQUAL("ab", state.c_str());
  LONGS_EQUAL(5, group.states.size());
}

TEST(Replica, ASingleVoterCommitsAtOnce) {
  Group group(1);
  group.Run(2s);
  Replica* leader = group.Leader();
  CHECK(leader != nullptr);
  const auto index = leader->Propose(group.now, "a");
  LONGS_EQUAL(*index, leader->CommitIndex());
}

TEST(Replica, TwoOfFiveMayBeLostAtOnce) {
  Group group(5);
  group.Run(2s);
  const InstanceId first = group.Leader()->Leader();
  CHECK(group.Leader()->Propose(group.now, "a").ok());
  group.Deliver();
  group.replicas.erase(first);
  group.replicas.erase(group.replicas.begin());
  group.Run(2s);
  CHECK(group.Leader() != nullptr);
  CHECK(group.Leader()->Propose(group.now, "b").ok());
  group.Run(1s);
  for (const auto& [id, replica] : group.replicas) STRCMP_EQUAL("ab", group.states[id].c_str());
}

TEST(Replica, ALeaderThatWasPausedHoldsNoLease) {
  Group group(3);
  group.Run(2s);
  Replica* leader = group.Leader();
  CHECK(leader->HoldsLease(group.now));
  CHECK_FALSE(leader->HoldsLease(group.now + group.config.election_timeout_min));
}

TEST(Replica, AnAddedReplicaReceivesTheStateAndVotes) {
  Group group(3);
  group.Run(2s);
  Replica* leader = group.Leader();
  CHECK(leader->Propose(group.now, "a").ok());
  group.Deliver();
  const InstanceId added{"n9", 99};
  group.Add(added, Snapshot());
  std::vector<InstanceId> voters = leader->Voters();
  voters.push_back(added);
  CHECK(leader->ProposeVoters(group.now, voters).ok());
  group.Run(1s);
  STRCMP_EQUAL("a", group.states[added].c_str());
  CHECK(group.replicas[added]->IsVoter());
}

TEST(Replica, ALeaderThatRemovesItselfStepsDownOnceThatIsCommitted) {
  Group group(3);
  group.Run(2s);
  Replica* leader = group.Leader();
  const InstanceId id = leader->Leader();
  std::vector<InstanceId> voters;
  for (const InstanceId& voter : leader->Voters()) {
    if (voter != id) voters.push_back(voter);
  }
  CHECK(leader->ProposeVoters(group.now, voters).ok());
  CHECK(leader->IsLeader());
  group.Deliver();
  CHECK_FALSE(leader->IsLeader());
  group.Run(2s);
  CHECK(group.Leader() != nullptr);
  CHECK_FALSE(leader->IsLeader());
}
