// Votes, pre-votes and election timers of a replica.

#include "source/consensus/quorum.h"
#include "source/consensus/replica_impl.h"
#include "source/consensus/vote_rules.h"

namespace runshelf::consensus {

void ReplicaImpl::HandleVoteRequest(const InstanceId& from, const VoteRequest& request) {
  VoteResponse response;
  response.pre_vote = request.pre_vote;
  // A refusal by stickiness must not even raise the term, or a removed replica that still campaigns
  // would depose the leader.
  const bool refuses = RefusesAllVotes();
  if (!refuses && !request.pre_vote && request.term > current_term_) AdoptTerm(request.term);
  if (!refuses) {
    const VoterState voter{current_term_, voted_for_, log_.LastIndex(), log_.LastTerm()};
    response.granted = GrantsVote(voter, from, request, defects_);
  }
  if (response.granted && !request.pre_vote) {
    voted_for_ = from;
    ResetElectionTimer();
  }
  const bool pre_vote_granted = response.granted && request.pre_vote;
  response.term = pre_vote_granted ? request.term : current_term_;
  Send(from, response);
}

void ReplicaImpl::HandleVoteResponse(const InstanceId& from, const VoteResponse& response) {
  if (response.granted && response.pre_vote) {
    HandlePreVoteGranted(from, response);
    return;
  }
  if (response.term > current_term_) {
    if (IsKnown(from)) AdoptTerm(response.term);
    return;
  }
  if (role_ != Role::kCandidate || !response.granted || response.term != current_term_) return;
  votes_.insert(from);
  if (HasMajority(log_.Voters(), votes_)) BecomeLeader();
}

void ReplicaImpl::HandlePreVoteGranted(const InstanceId& from, const VoteResponse& response) {
  if (role_ != Role::kPreCandidate || response.term != current_term_ + 1) return;
  votes_.insert(from);
  if (HasMajority(log_.Voters(), votes_)) StartElection();
}

bool ReplicaImpl::RefusesAllVotes() const {
  if (defects_.votes_despite_live_leader) return false;
  if (now_ < refuse_votes_until_) return true;
  return role_ == Role::kLeader && now_ < lease_.LeaseEnd(log_.Voters(), self_, now_);
}

// A replica whose removal is in its log but not known to be committed still campaigns: the voters
// before the change may be unable to elect anybody without it.
bool ReplicaImpl::MayCampaign() const {
  return IsVoter() || IsMember(log_.VotersAt(commit_index_), self_);
}

void ReplicaImpl::OnElectionTimeout() {
  if (!MayCampaign() || now_ < refuse_votes_until_) {
    ResetElectionTimer();
    return;
  }
  StartPreVote();
}

void ReplicaImpl::StartPreVote() {
  role_ = Role::kPreCandidate;
  leader_ = InstanceId();
  votes_ = {self_};
  // A pre-vote disturbs nobody, so that a failed one is repeated soon.
  election_deadline_ =
      now_ + random_.Between(config_.heartbeat_interval, 2 * config_.heartbeat_interval);
  if (HasMajority(log_.Voters(), votes_)) {
    StartElection();
    return;
  }
  AskForVotes(true, current_term_ + 1);
}

void ReplicaImpl::StartElection() {
  AdoptTerm(current_term_ + 1);
  role_ = Role::kCandidate;
  voted_for_ = self_;
  votes_ = {self_};
  election_deadline_ =
      now_ + random_.Between(2 * config_.heartbeat_interval, 4 * config_.heartbeat_interval);
  if (HasMajority(log_.Voters(), votes_)) {
    BecomeLeader();
    return;
  }
  AskForVotes(false, current_term_);
}

void ReplicaImpl::AskForVotes(bool pre_vote, Term term) {
  VoteRequest request;
  request.term = term;
  request.pre_vote = pre_vote;
  request.last_log_index = log_.LastIndex();
  request.last_log_term = log_.LastTerm();
  for (const InstanceId& voter : log_.Voters()) {
    if (voter != self_) Send(voter, request);
  }
}

void ReplicaImpl::ResetElectionTimer() {
  election_deadline_ =
      now_ + random_.Between(config_.election_timeout_min, config_.election_timeout_max);
}

}  // namespace runshelf::consensus
