// The Raft replica. replica_impl.cc holds the public interface and the changes of role,
// replica_election.cc votes and elections, replica_replication.cc the log and its commitment.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "runshelf/consensus/replica.h"
#include "source/consensus/follower_progress.h"
#include "source/consensus/lease_tracker.h"
#include "source/consensus/log.h"
#include "source/consensus/replica_defects.h"

namespace runshelf::consensus {

class ReplicaImpl : public Replica {
 public:
  ReplicaImpl(const ReplicaConfig& config, InstanceId self, Snapshot initial, Instant now,
              Random& random, const ReplicaDefects& defects);

  void Tick(Instant now) override;
  void Receive(Instant now, const InstanceId& from, const Message& message) override;
  absl::StatusOr<LogIndex> Propose(Instant now, std::string command) override;
  absl::StatusOr<LogIndex> ProposeVoters(Instant now, std::vector<InstanceId> voters) override;
  bool NeedsSnapshot() const override;
  void Compact(LogIndex index, std::string state) override;
  ReplicaOutput TakeOutput() override;
  bool IsLeader() const override { return role_ == Role::kLeader; }
  bool HoldsLease(Instant now) const override;
  Term CurrentTerm() const override { return current_term_; }
  InstanceId Leader() const override { return leader_; }
  LogIndex CommitIndex() const override { return commit_index_; }
  LogIndex LastLogIndex() const override { return log_.LastIndex(); }
  Term LastLogTerm() const override { return log_.LastTerm(); }
  const std::vector<InstanceId>& Voters() const override { return log_.Voters(); }
  bool IsVoter() const override;
  Instant LastContact(const InstanceId& replica) const override;

  // For tests.
  const Log& GetLog() const { return log_; }

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

  // Keeps the replica's time from running backwards when callers read the clock out of order.
  void AdvanceClock(Instant now);
  void Send(const InstanceId& to, Message message);
  bool IsKnown(const InstanceId& replica) const;

  // Changes of role.
  void AdoptTerm(Term term);
  void StepDown();
  void Follow(const InstanceId& leader);
  void BecomeLeader();

  // Votes and elections.
  void HandleVoteRequest(const InstanceId& from, const VoteRequest& request);
  void HandleVoteResponse(const InstanceId& from, const VoteResponse& response);
  void HandlePreVoteGranted(const InstanceId& from, const VoteResponse& response);
  bool RefusesAllVotes() const;
  bool MayCampaign() const;
  void OnElectionTimeout();
  void StartPreVote();
  void StartElection();
  void AskForVotes(bool pre_vote, Term term);
  void ResetElectionTimer();

  // The log and its commitment.
  void HandleAppendRequest(const InstanceId& from, const AppendRequest& request);
  void HandleSnapshotRequest(const InstanceId& from, const SnapshotRequest& request);
  void HandleAppendResponse(const InstanceId& from, const AppendResponse& response);
  bool AcceptLeader(const InstanceId& from, Term term, uint64_t round);
  bool AppendFromLeader(const AppendRequest& request);
  void Answer(const InstanceId& leader, bool accepted, LogIndex match_index, uint64_t round);
  LogIndex RejectionHint(LogIndex previous_index) const;
  LogIndex AppendOwn(LogEntry entry);
  void Broadcast();
  uint64_t SendNext(const InstanceId& follower, FollowerProgress& progress);
  uint64_t SendEntries(const InstanceId& follower, LogIndex previous_index, size_t max_count);
  uint64_t SendSnapshot(const InstanceId& follower);
  void AdvanceCommit();
  LogIndex MatchIndexOf(const InstanceId& voter) const;
  void OnVotersCommitted();
  bool HasCommittedOwnTerm() const;
  bool HasLostMajority() const;

  const ReplicaConfig config_;
  const InstanceId self_;
  Random& random_;
  const ReplicaDefects defects_;

  Instant now_;
  Role role_ = Role::kFollower;
  Term current_term_ = 0;
  InstanceId voted_for_;
  InstanceId leader_;
  Log log_;
  LogIndex commit_index_ = 0;
  LogIndex applied_index_ = 0;  // Last index handed out by TakeOutput.
  ReplicaOutput output_;

  Instant election_deadline_;
  Instant refuse_votes_until_;  // Leader stickiness, or the rest of an own lease.
  std::set<InstanceId> votes_;  // Received in the running election or pre-vote.

  // Of a leader.
  LeaseTracker lease_;
  std::map<InstanceId, FollowerProgress> followers_;
  Instant leader_since_;
  Instant next_heartbeat_;
};

// As MakeReplica, with defects; for tests.
std::unique_ptr<ReplicaImpl> MakeReplicaImpl(const ReplicaConfig& config, const InstanceId& self,
                                             Snapshot initial, Instant now, Random& random,
                                             const ReplicaDefects& defects);

}  // namespace runshelf::consensus
