// Deliberate defects of a replica, each of which leaves out one safety mechanism. Only tests set
// them, to show that the checks would notice; MakeReplica never does.
#pragma once

namespace runshelf::consensus {

struct ReplicaDefects {
  bool lease_from_answer_arrival = false;   // Counts the lease from the answer, not the sending.
  bool lease_without_clock_margin = false;  // Ignores that clocks run at different rates.
  bool lease_before_own_commit = false;     // Claims the lease before an entry of its own term.
  bool lease_of_any_rejection = false;      // Takes answers to rounds of older terms.
  bool votes_despite_live_leader = false;   // No leader stickiness.
  bool votes_twice = false;                 // Forgets for whom it voted in a term.
  bool votes_for_stale_log = false;         // Ignores how far a candidate's log goes.
  bool commits_older_terms = false;         // Commits entries of older terms by counting them.
  bool overlapping_voter_changes = false;   // Starts a change before the last is committed.
  bool voter_change_before_own_commit = false;  // Starts a change without an entry of its own term.
};

}  // namespace runshelf::consensus
