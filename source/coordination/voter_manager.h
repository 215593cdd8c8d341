// Keeps the replica group at its size: replaces voters that are lost or leaving, one at a time, and
// spreads them over zones. Runs at the leader.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runshelf/consensus/replica.h"
#include "source/coordination/assignment_leader.h"
#include "source/coordination/node_context.h"

namespace runshelf::coordination {

// Picks up to `count` instances, each from the zone that has fewest picks so far; in the order
// given within a zone.
std::vector<InstanceId> SpreadOverZones(const std::vector<ownership::NodeRecord>& candidates,
                                        size_t count);

class VoterManager {
 public:
  explicit VoterManager(NodeContext& context) : context_(context) {}

  void Begin(Instant now);

  // `listed` are the nodes of the platform's machine list; only they may become voters, because the
  // recovery of a lost group accounts for every listed machine. Empty: the list is not known yet.
  void Tick(Instant now, consensus::Replica& replica, const ownership::AssignmentState& state,
            const AssignmentLeader& leader, const std::set<std::string>& listed);

 private:
  std::optional<std::vector<InstanceId>> NextVoters(Instant now, const consensus::Replica& replica,
                                                    const ownership::AssignmentState& state,
                                                    const AssignmentLeader& leader,
                                                    const std::set<std::string>& listed) const;
  bool IsLost(Instant now, const consensus::Replica& replica, const InstanceId& voter) const;
  std::optional<InstanceId> Candidate(Instant now, const consensus::Replica& replica,
                                      const ownership::AssignmentState& state,
                                      const AssignmentLeader& leader,
                                      const std::set<std::string>& listed) const;

  NodeContext& context_;
  Instant began_;
  std::map<InstanceId, Instant> added_;  // When this leader added a voter.
};

}  // namespace runshelf::coordination
