#include "source/consensus/vote_rules.h"

namespace runshelf::consensus {

bool IsLogUpToDate(const VoterState& voter, const VoteRequest& request) {
  if (request.last_log_term != voter.last_log_term) {
    return request.last_log_term > voter.last_log_term;
  }
  return request.last_log_index >= voter.last_log_index;
}

bool GrantsVote(const VoterState& voter, const InstanceId& candidate, const VoteRequest& request,
                const ReplicaDefects& defects) {
  if (!IsLogUpToDate(voter, request) && !defects.votes_for_stale_log) return false;
  if (request.pre_vote) return request.term > voter.current_term;
  if (request.term != voter.current_term) return false;
  if (defects.votes_twice) return true;
  return voter.voted_for.empty() || voter.voted_for == candidate;
}

}  // namespace runshelf::consensus
