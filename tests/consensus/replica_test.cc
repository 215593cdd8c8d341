// Basic behaviour of a group of replicas on a perfect network.

#include "runshelf/consensus/replica.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
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
  explicit Group(size_t count, uint64_t seed = 7) : random(seed) {
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

  static std::vector<InstanceId> Without(std::vector<InstanceId> voters, const InstanceId& id) {
    voters.erase(std::find(voters.begin(), voters.end(), id));
    return voters;
  }

  InstanceId AnyFollower() {
    for (auto& [id, replica] : replicas) {
      if (!replica->IsLeader()) return id;
    }
    return {};
  }

  Replica* Leader() {
    for (auto& [id, replica] : replicas) {
      if (replica->IsLeader() && replica->HoldsLease(now)) return replica.get();
    }
    return nullptr;
  }

  ReplicaConfig config;
  SeededRandom random;
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
  const std::vector<InstanceId> voters = Group::Without(leader->Voters(), id);
  CHECK(leader->ProposeVoters(group.now, voters).ok());
  CHECK(leader->IsLeader());
  group.Deliver();
  CHECK_FALSE(leader->IsLeader());
  group.Run(2s);
  CHECK(group.Leader() != nullptr);
  CHECK_FALSE(leader->IsLeader());
}

TEST(Replica, ALossOfTheLeaderIsMendedWithinASecond) {
  Duration longest{0};
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Group group(5, seed);
    group.Run(2s);
    group.replicas.erase(group.Leader()->Leader());
    const Instant lost_at = group.now;
    while (group.Leader() == nullptr && group.now < lost_at + 10s) group.Run(kTick);
    longest = std::max(longest, group.now - lost_at);
  }
  UT_PRINT(StringFromFormat("longest time without a lease: %d ms of virtual time",
                            static_cast<int>(longest.count() / 1000)));
  CHECK(longest < 1s);
}

TEST(Replica, APartitionedLeaderLosesTheLeaseBeforeAnotherGetsIt) {
  Group group(3);
  group.Run(2s);
  Replica* old_leader = group.Leader();
  group.cut_off.insert(old_leader->Leader());
  while (group.Leader() == old_leader) group.Run(kTick);
  CHECK(group.Leader() == nullptr);
  group.Run(2s);
  CHECK(group.Leader() != nullptr);
  CHECK_FALSE(old_leader->HoldsLease(group.now));
  CHECK_FALSE(old_leader->IsLeader());
}

TEST(Replica, ARemovedReplicaDisturbsNobody) {
  Group group(4);
  group.Run(2s);
  Replica* leader = group.Leader();
  const Term term = leader->CurrentTerm();
  const InstanceId removed = group.AnyFollower();
  // Cut off, so that it does not learn of its removal and keeps campaigning.
  group.cut_off.insert(removed);
  CHECK(leader->ProposeVoters(group.now, Group::Without(leader->Voters(), removed)).ok());
  group.Run(2s);
  group.cut_off.clear();
  group.Run(5s);
  CHECK(group.Leader() == leader);
  LONGS_EQUAL(term, leader->CurrentTerm());
}

TEST(Replica, AnUnknownProcessDisturbsNobody) {
  Group group(3);
  group.Run(2s);
  Replica* leader = group.Leader();
  const Term term = leader->CurrentTerm();
  const InstanceId stranger{"stranger", 1};
  VoteRequest vote{.term = 1000, .last_log_index = 1000, .last_log_term = 1000};
  for (auto& [id, replica] : group.replicas) {
    replica->Receive(group.now, stranger, vote);
    replica->Receive(group.now, stranger, VoteResponse{.term = 1000});
    replica->Receive(group.now, stranger, AppendResponse{.term = 1000});
  }
  group.Run(2s);
  CHECK(group.Leader() == leader);
  LONGS_EQUAL(term, leader->CurrentTerm());
}

TEST(Replica, APassiveReplicaNeverCampaigns) {
  Group group(0);
  group.Add({"n1", 1}, Snapshot());
  group.Run(10s);
  LONGS_EQUAL(0, group.replicas.begin()->second->CurrentTerm());
}

TEST(Replica, AFollowerBehindTheCompactedLogGetsTheSnapshot) {
  Group group(3);
  group.config.max_log_entries = 4;
  Snapshot initial;
  initial.voters = group.replicas.begin()->second->Voters();
  for (const InstanceId& voter : initial.voters) group.Add(voter, initial);
  group.Run(2s);
  Replica* leader = group.Leader();
  const InstanceId behind = group.AnyFollower();
  group.cut_off.insert(behind);
  for (int i = 0; i < 10; ++i) {
    CHECK(leader->Propose(group.now, "x").ok());
    group.Deliver();
  }
  CHECK(leader->NeedsSnapshot());
  leader->Compact(leader->CommitIndex(), group.states[leader->Leader()]);
  CHECK_FALSE(leader->NeedsSnapshot());
  LONGS_EQUAL(3, leader->Voters().size());
  group.cut_off.clear();
  group.Run(1s);
  STRCMP_EQUAL("xxxxxxxxxx", group.states[behind].c_str());
  LONGS_EQUAL(leader->CommitIndex(), group.replicas[behind]->CommitIndex());
}

TEST(Replica, RefusedChangesOfVotersSayWhy) {
  Group group(3);
  Replica* first = group.replicas.begin()->second.get();
  const std::vector<InstanceId> three = first->Voters();
  CHECK(absl::IsFailedPrecondition(first->ProposeVoters(group.now, three).status()));
  CHECK(absl::IsFailedPrecondition(first->Propose(group.now, "x").status()));
  group.Run(2s);
  Replica* leader = group.Leader();
  std::vector<InstanceId> five = three;
  five.push_back({"n8", 8});
  std::vector<InstanceId> doubled = five;
  doubled.push_back({"n8", 8});
  five.push_back({"n9", 9});
  CHECK(absl::IsInvalidArgument(leader->ProposeVoters(group.now, three).status()));
  CHECK(absl::IsInvalidArgument(leader->ProposeVoters(group.now, five).status()));
  CHECK(absl::IsInvalidArgument(leader->ProposeVoters(group.now, doubled).status()));
  CHECK(absl::IsInvalidArgument(leader->ProposeVoters(group.now, {}).status()));
  const std::vector<InstanceId> two = Group::Without(three, group.AnyFollower());
  CHECK(leader->ProposeVoters(group.now, two).ok());
  CHECK(absl::IsFailedPrecondition(leader->ProposeVoters(group.now, three).status()));
}

TEST(Replica, MalformedRequestsOfALeaderChangeNothing) {
  Group group(3);
  Replica* replica = group.replicas.begin()->second.get();
  const InstanceId sender = std::next(group.replicas.begin())->first;
  AppendRequest gap;
  gap.term = 1;
  gap.entries.emplace_back().index = 7;
  AppendRequest future = gap;
  future.entries.front().index = 1;
  future.entries.front().term = 2;
  AppendRequest no_voters = future;
  no_voters.entries.front().term = 1;
  no_voters.entries.front().kind = EntryKind::kVoters;
  for (const AppendRequest& request : {gap, future, no_voters}) {
    replica->Receive(group.now, sender, request);
  }
  SnapshotRequest snapshot;
  snapshot.term = 1;
  snapshot.snapshot.index = 9;
  replica->Receive(group.now, sender, snapshot);
  LONGS_EQUAL(0, replica->CurrentTerm());
  LONGS_EQUAL(0, replica->LastLogIndex());
}

TEST(Replica, AnswersOfAnOlderTermCommitNothing) {
  Group group(3);
  group.Run(2s);
  Replica* leader = group.Leader();
  const InstanceId follower = group.AnyFollower();
  group.cut_off.insert(leader->Leader());
  const LogIndex index = *leader->Propose(group.now, "x");
  AppendResponse answer{.term = leader->CurrentTerm() - 1, .accepted = true, .match_index = index};
  leader->Receive(group.now, follower, answer);
  CHECK(leader->CommitIndex() < index);
  answer.term = leader->CurrentTerm();
  leader->Receive(group.now, follower, answer);
  LONGS_EQUAL(index, leader->CommitIndex());
}

TEST(Replica, ADeposedLeaderRefusesVotesUntilItsLeaseHasRunOut) {
  Group group(3);
  group.Run(2s);
  Replica* leader = group.Leader();
  const InstanceId follower = group.AnyFollower();
  const VoteRequest request{.term = leader->CurrentTerm() + 2,
                            .last_log_index = leader->LastLogIndex(),
                            .last_log_term = leader->CurrentTerm() + 1};
  const auto is_granted = [&](Instant now) {
    leader->TakeOutput();
    leader->Receive(now, follower, request);
    return std::get<VoteResponse>(leader->TakeOutput().messages.back().message).granted;
  };
  leader->Receive(group.now, follower, AppendResponse{.term = leader->CurrentTerm() + 1});
  CHECK_FALSE(leader->IsLeader());
  CHECK_FALSE(leader->HoldsLease(group.now));
  CHECK_FALSE(is_granted(group.now));
  CHECK(is_granted(group.now + group.config.election_timeout_min));
}
