// The leader's record of when it sent what, and from it how far its lease reaches.
//
// Why the lease is exclusive. Write E for election_timeout_min, m for clock_rate_margin.
//  1. A replica that handles a request of the current leader at instant t of its own clock refuses
//     every vote and pre-vote, and starts no election, before t + E (vote_rules.h).
//  2. The leader dates an answer by the instant s *before* the request was sent, so s is not after
//     t in real time, however long either message travelled or either process was paused. A
//     majority of the newest voters answered requests sent at s or later: the lease ends at
//     s + E * (1 - m) of the leader's clock at the latest. A follower's clock that runs faster by
//     at most m counts E in no less real time, so the follower still refuses at that moment.
//  3. Another leader needs votes of a majority of the voters that *it* knows. These are either the
//     same voters, or those before the one change that is not yet committed: two majorities of sets
//     that differ in one member share a member. A candidate further behind lacks a committed entry,
//     and one with a leftover change of an older term lacks the no-operation entry of this term
//     that HoldsLease waits for; both are refused by the log comparison, at any time.
//  4. The shared member either answered first, and refuses until the lease has ended (1, 2), or
//     voted first, and then has the higher term and gives this leader no answer that counts:
//     answers count only for rounds of the current term.
//  5. A replica that has just started has answered no leader, since a restarted process is a new
//     InstanceId. It may vote at once: by 4 it is the shared member only after it has answered. A
//     replica added as a voter refuses from its first answer on, voter or not.
//  6. A leader is the shared member itself when it counts itself. It votes for another only after
//     its lease has run out; a leader that steps down earlier keeps refusing until then.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/consensus/replica.h"
#include "source/consensus/replica_defects.h"

namespace runshelf::consensus {

// The longest lease that is safe under `config`, on the leader's own clock.
Duration SafeLeaseDuration(const ReplicaConfig& config);

class LeaseTracker {
 public:
  LeaseTracker(const ReplicaConfig& config, const ReplicaDefects& defects);

  // Forgets all rounds and answers, at the start of a leadership. Round numbers keep rising, so
  // that answers to an earlier leadership of this replica are recognised.
  void Reset();

  // Numbers a request that is about to be sent at `now`.
  uint64_t StartRound(Instant now);

  // Notes an answer. Only answers to rounds since Reset count for the lease.
  void RecordAnswer(const InstanceId& from, uint64_t round, Instant now);

  // Since when a majority of `voters` is known to follow this leader; `self` does at `now`.
  Instant MajoritySince(const std::vector<InstanceId>& voters, const InstanceId& self,
                        Instant now) const;

  // When the lease ends, on this machine's clock.
  Instant LeaseEnd(const std::vector<InstanceId>& voters, const InstanceId& self,
                   Instant now) const;

  // When `replica` last answered; the epoch when never.
  Instant LastContact(const InstanceId& replica) const;

 private:
  struct Answer {
    Instant sent_at;   // Of the newest answered request.
    Instant received;  // When the last answer came.
  };

  std::optional<Instant> SentAt(uint64_t round) const;

  Duration lease_duration_;
  Duration round_memory_;
  ReplicaDefects defects_;
  uint64_t first_round_ = 1;  // Number of the round at the front of round_sent_at_.
  std::deque<Instant> round_sent_at_;
  std::map<InstanceId, Answer> answers_;
};

}  // namespace runshelf::consensus
