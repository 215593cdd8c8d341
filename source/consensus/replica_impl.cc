#include "source/consensus/replica_impl.h"

#include <absl/status/status.h>

#include <algorithm>
#include <utility>

#include "source/consensus/quorum.h"

namespace runshelf::consensus {

ReplicaImpl::ReplicaImpl(const ReplicaConfig& config, InstanceId self, Snapshot initial,
                         Instant now, Random& random, const ReplicaDefects& defects)
    : config_(config),
      self_(std::move(self)),
      random_(random),
      defects_(defects),
      now_(now),
      current_term_(initial.term),
      log_(std::move(initial)),
      commit_index_(log_.BaseIndex()),
      applied_index_(log_.BaseIndex()),
      lease_(config, defects) {
  ResetElectionTimer();
}

void ReplicaImpl::Tick(Instant now) {
  AdvanceClock(now);
  if (role_ != Role::kLeader) {
    if (now_ >= election_deadline_) OnElectionTimeout();
    return;
  }
  if (HasLostMajority()) {
    StepDown();
    return;
  }
  if (now_ >= next_heartbeat_) Broadcast();
}

void ReplicaImpl::Receive(Instant now, const InstanceId& from, const Message& message) {
  AdvanceClock(now);
  if (from == self_) return;
  if (const auto* vote_request = std::get_if<VoteRequest>(&message)) {
    HandleVoteRequest(from, *vote_request);
  } else if (const auto* vote_response = std::get_if<VoteResponse>(&message)) {
    HandleVoteResponse(from, *vote_response);
  } else if (const auto* append_request = std::get_if<AppendRequest>(&message)) {
    HandleAppendRequest(from, *append_request);
  } else if (const auto* append_response = std::get_if<AppendResponse>(&message)) {
    HandleAppendResponse(from, *append_response);
  } else if (const auto* snapshot_request = std::get_if<SnapshotRequest>(&message)) {
    HandleSnapshotRequest(from, *snapshot_request);
  }
}

absl::StatusOr<LogIndex> ReplicaImpl::Propose(Instant now, std::string command) {
  AdvanceClock(now);
  if (role_ != Role::kLeader) return absl::FailedPreconditionError("not the leader");
  LogEntry entry;
  entry.kind = EntryKind::kCommand;
  entry.command = std::move(command);
  const LogIndex index = AppendOwn(std::move(entry));
  Broadcast();
  AdvanceCommit();
  return index;
}

absl::StatusOr<LogIndex> ReplicaImpl::ProposeVoters(Instant now, std::vector<InstanceId> voters) {
  AdvanceClock(now);
  if (role_ != Role::kLeader) return absl::FailedPreconditionError("not the leader");
  if (!HasCommittedOwnTerm() && !defects_.voter_change_before_own_commit) {
    return absl::FailedPreconditionError("no entry of this term is committed yet");
  }
  if (log_.VotersIndex() > commit_index_ && !defects_.overlapping_voter_changes) {
    return absl::FailedPreconditionError("the previous change of voters is not committed yet");
  }
  const std::set<InstanceId> distinct(voters.begin(), voters.end());
  if (voters.empty() || distinct.size() != voters.size()) {
    return absl::InvalidArgumentError("voters must be distinct and at least one");
  }
  if (DifferenceCount(log_.Voters(), voters) != 1) {
    return absl::InvalidArgumentError("exactly one voter may be added or removed");
  }
  for (const InstanceId& voter : voters) {
    if (voter != self_) followers_.try_emplace(voter, FollowerProgress::NeedingSnapshot());
  }
  LogEntry entry;
  entry.kind = EntryKind::kVoters;
  entry.voters = std::move(voters);
  const LogIndex index = AppendOwn(std::move(entry));
  Broadcast();
  AdvanceCommit();
  return index;
}

bool ReplicaImpl::NeedsSnapshot() const {
  return applied_index_ - log_.BaseIndex() > config_.max_log_entries;
}

void ReplicaImpl::Compact(LogIndex index, std::string state) {
  if (index <= log_.BaseIndex() || index > applied_index_) return;
  log_.Compact(index, std::move(state));
}

ReplicaOutput ReplicaImpl::TakeOutput() {
  ReplicaOutput output = std::move(output_);
  output_ = ReplicaOutput();
  output.committed = log_.Slice(applied_index_ + 1, commit_index_ - applied_index_);
  applied_index_ = commit_index_;
  return output;
}

bool ReplicaImpl::HoldsLease(Instant now) const {
  if (role_ != Role::kLeader) return false;
  if (!HasCommittedOwnTerm() && !defects_.lease_before_own_commit) return false;
  const Instant at = std::max(now, now_);
  return at < lease_.LeaseEnd(log_.Voters(), self_, at);
}

bool ReplicaImpl::IsVoter() const { return IsMember(log_.Voters(), self_); }

Instant ReplicaImpl::LastContact(const InstanceId& replica) const {
  return role_ == Role::kLeader ? lease_.LastContact(replica) : Instant();
}

void ReplicaImpl::AdvanceClock(Instant now) { now_ = std::max(now_, now); }

void ReplicaImpl::Send(const InstanceId& to, Message message) {
  output_.messages.push_back({to, std::move(message)});
}

bool ReplicaImpl::IsKnown(const InstanceId& replica) const {
  return followers_.count(replica) > 0 || IsMember(log_.Voters(), replica);
}

// Follows a higher term in which no leader is known yet.
void ReplicaImpl::AdoptTerm(Term term) {
  if (role_ == Role::kLeader) StepDown();
  role_ = Role::kFollower;
  current_term_ = term;
  voted_for_ = InstanceId();
  leader_ = InstanceId();
}

void ReplicaImpl::StepDown() {
  const Instant lease_end = lease_.LeaseEnd(log_.Voters(), self_, now_);
  refuse_votes_until_ = std::max(refuse_votes_until_, lease_end);
  role_ = Role::kFollower;
  leader_ = InstanceId();
  followers_.clear();
  ResetElectionTimer();
}

void ReplicaImpl::Follow(const InstanceId& leader) {
  role_ = Role::kFollower;
  leader_ = leader;
  refuse_votes_until_ = std::max(refuse_votes_until_, now_ + config_.election_timeout_min);
  ResetElectionTimer();
}

void ReplicaImpl::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = self_;
  leader_since_ = now_;
  lease_.Reset();
  followers_.clear();
  for (const InstanceId& voter : log_.Voters()) {
    if (voter == self_) continue;
    followers_.emplace(voter, FollowerProgress::StartingAt(log_.LastIndex() + 1));
  }
  AppendOwn(LogEntry());
  Broadcast();
  AdvanceCommit();
}

std::unique_ptr<ReplicaImpl> MakeReplicaImpl(const ReplicaConfig& config, const InstanceId& self,
                                             Snapshot initial, Instant now, Random& random,
                                             const ReplicaDefects& defects) {
  return std::make_unique<ReplicaImpl>(config, self, std::move(initial), now, random, defects);
}

std::unique_ptr<Replica> MakeReplica(const ReplicaConfig& config, const InstanceId& self,
                                     Snapshot initial, Instant now, Random& random) {
  return MakeReplicaImpl(config, self, std::move(initial), now, random, ReplicaDefects());
}

}  // namespace runshelf::consensus
