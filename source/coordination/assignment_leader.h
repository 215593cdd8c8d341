// The leader's part: answers renewals with grants, and changes the assignment when instances join,
// leave, fail or carry uneven load.
//
// Invariant: a slot gets a new owner only by a committed command, and such a command is proposed
// only when the previous owner has released the slot, or certainly holds no grant any more. From
// the proposal until the command is applied the previous owner is not renewed.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runshelf/coordination/messages.h"
#include "runshelf/ownership/grant_ledger.h"
#include "runshelf/ownership/planner.h"
#include "source/coordination/load_tracker.h"
#include "source/coordination/node_context.h"

namespace runshelf::coordination {

class AssignmentLeader {
 public:
  // All references must outlive this object.
  AssignmentLeader(NodeContext& context, TableReplica& table, LimitShares* limits);

  // Leadership of a new term begins, with a valid lease, at `now`.
  // `suspended_since`: when this replica learnt of each suspended instance.
  void Begin(Instant now, consensus::Term term,
             const std::map<InstanceId, Instant>& suspended_since);
  // The lease of the same term is held again after a gap. What was proposed before may still be
  // committed, so handovers and proposals go on; instances get a fresh chance to renew.
  void Resume(Instant now) { began_ = now; }
  void End();

  void Tick(Instant now, consensus::Replica& replica, const ownership::AssignmentState& state);

  // Committed commands up to `state.version()` have been applied.
  void OnApplied(Instant now, const ownership::AssignmentState& state);

  // Answers `envelope`, whose body is `request`. Call only while the lease is held.
  void OnRenewal(Instant now, const Envelope& envelope, const RenewalRequest& request,
                 consensus::Replica& replica, const ownership::AssignmentState& state);

  // Whether this node, which is leaving, may give up leading: its own slots are handed over and no
  // other handover would be interrupted.
  bool MayResign(const ownership::AssignmentState& state) const;

  // Whether `instance` has renewed lately and can be relied on as a voter.
  bool IsHealthy(Instant now, const InstanceId& instance) const;

 private:
  // What the leader knows of an instance from its renewals; gone with the leadership.
  struct Member {
    int64_t last_sent_at_us = 0;
    Instant last_seen;
    ServerState server = ServerState::kUnknown;
    ownership::AssignmentVersion version = 0;  // That it follows.
  };

  // A move from a living owner that has been told to release.
  struct Handover {
    ownership::SlotMove move;
    Instant started;
    bool proposed = false;
  };

  // A proposed command that is not applied yet.
  struct Proposal {
    consensus::LogIndex index = 0;
    std::set<InstanceId> blocked;  // Not renewed until the command is applied.
    std::vector<ownership::SlotMove> moves;
    std::vector<uint64_t> release_ids;
    std::set<std::string> registering;  // Names of nodes being registered.
  };

  bool Propose(Instant now, consensus::Replica& replica, ownership::AssignmentCommand command,
               Proposal proposal);
  void Register(Instant now, consensus::Replica& replica, const ownership::AssignmentState& state,
                const ownership::NodeRecord& record);
  void SuspendSilent(Instant now, consensus::Replica& replica,
                     const ownership::AssignmentState& state);
  void EvictExpired(Instant now, consensus::Replica& replica,
                    const ownership::AssignmentState& state);
  void DisownEmptyServers(Instant now, consensus::Replica& replica,
                          const ownership::AssignmentState& state);
  // Instances that the platform's machine list began to call leaving, as some daemon saw it.
  void MarkLeaving(Instant now, const std::vector<InstanceId>& instances,
                   consensus::Replica& replica, const ownership::AssignmentState& state);
  void RunPlanner(Instant now, consensus::Replica& replica,
                  const ownership::AssignmentState& state);
  void CancelHopelessHandovers(Instant now, const ownership::AssignmentState& state);
  void OnReleased(Instant now, const InstanceId& from, const std::vector<uint64_t>& release_ids,
                  consensus::Replica& replica);

  bool IsBlocked(const InstanceId& instance) const;
  // Whether `instance` is one of the few who look for the platform while no voter reaches it.
  bool ShouldFollowPlatform(Instant now, const InstanceId& instance) const;
  // Whether `instance` renewed so lately that slots may be entrusted to it.
  bool IsFresh(Instant now, const InstanceId& instance) const;
  bool CanOwn(Instant now, const InstanceId& instance) const;
  bool MayAssign(Instant now, const ownership::AssignmentState& state) const;
  std::map<std::string, std::vector<SlotRange>> MovingSlots() const;
  std::vector<ReleaseOrder> ReleasesOf(const InstanceId& instance) const;
  bool HasHandedOver(const ownership::AssignmentState& state,
                     const ownership::NodeRecord& record) const;
  bool HasDeparted(const consensus::Replica& replica, const ownership::AssignmentState& state,
                   const ownership::NodeRecord& record) const;

  NodeContext& context_;
  TableReplica& table_;
  LimitShares* const limits_;
  ownership::GrantLedger ledger_;
  LoadTracker loads_;
  consensus::Term term_ = 0;
  Instant began_;  // Since when the lease has been held without a gap.
  Instant last_registration_;
  Instant platform_reached_;  // When some daemon was last in touch with the platform.
  Instant last_rebalance_;
  Instant last_plan_;
  bool plan_wanted_ = false;
  std::map<InstanceId, Member> members_;
  std::map<uint64_t, Handover> handovers_;
  std::map<InstanceId, ownership::AssignmentVersion> handed_over_;  // Last handover by its giver.
  std::vector<Proposal> proposals_;
  std::map<std::string, std::map<SlotNumber, Instant>> last_moved_;
};

}  // namespace runshelf::coordination
