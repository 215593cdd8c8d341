// When a replica gives its vote.
#pragma once

#include "runshelf/consensus/replica.h"
#include "source/consensus/replica_defects.h"

namespace runshelf::consensus {

// What a replica knows when it is asked for a vote.
struct VoterState {
  Term current_term = 0;
  InstanceId voted_for;  // In the current term; empty for none.
  LogIndex last_log_index = 0;
  Term last_log_term = 0;
};

// Whether a log that ends with the candidate's last entry holds at least what the voter's log does.
bool IsLogUpToDate(const VoterState& voter, const VoteRequest& request);

// Whether the vote or pre-vote is given, once the voter has adopted a higher term of a real vote
// request. Leader stickiness is checked before.
bool GrantsVote(const VoterState& voter, const InstanceId& candidate, const VoteRequest& request,
                const ReplicaDefects& defects);

}  // namespace runshelf::consensus
