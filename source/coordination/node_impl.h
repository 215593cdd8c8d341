// Composes the parts of a Node and passes events between them.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/coordination/node.h"
#include "source/coordination/assignment_leader.h"
#include "source/coordination/group_lifecycle.h"
#include "source/coordination/leave_notices.h"
#include "source/coordination/node_context.h"
#include "source/coordination/renewal_client.h"
#include "source/coordination/voter_manager.h"

namespace runshelf::coordination {

class NodeImpl : public Node {
 public:
  NodeImpl(const NodeConfig& config, const InstanceId& self, Instant now, TableReplica& table,
           LimitShares* limits, Random& random);

  void Tick(Instant now) override;
  void Receive(Instant now, const Envelope& envelope) override;
  void OnMachineList(Instant now, const infrastructure::MachineListSnapshot& machines) override;
  void OnPlatformContact(Instant now) override;
  bool FollowsPlatform(Instant now) const override;
  void OnGroupRecord(Instant now, const std::optional<GroupRecord>& record,
                     int64_t revision) override;
  void OnGroupRecordWritten(Instant now, bool succeeded, int64_t revision) override;
  void OnServerState(Instant now, ServerState state) override;
  std::optional<ServerGrant> GrantToPush(Instant now) override;
  void OnGrantAccepted(Instant now, const ServerGrant& grant) override;
  void OnLoad(Instant now, const LoadReport& load) override;
  std::optional<FencingToken> Enter(Instant now, SlotNumber slot) override;
  void Leave(Instant now, SlotNumber slot) override;
  std::optional<Instant> HeldSince(Instant now, SlotNumber slot) const override;
  void BeginLeave(Instant now) override;
  bool IsLeaving() const override;
  bool MayStop(Instant now) const override;
  std::shared_ptr<const routing::RoutingSnapshot> Routes() const override;
  NodeStatus Status(Instant now) const override;
  std::vector<Action> TakeActions() override;

 private:
  // Whether the process was paused for so long that it must give up its identity.
  bool WasPausedTooLong(Instant now);
  void Dispatch(Instant now, const Envelope& envelope);
  void OnConsensusMessage(Instant now, const Envelope& envelope, const consensus::Message& message);
  void OnRenewalRequest(Instant now, const Envelope& envelope, const RenewalRequest& request);
  void OnSealRequest(Instant now, const Envelope& envelope, const SealRequest& request);
  // Joins the generation of `record`, if one is given.
  void Adopt(Instant now, const std::optional<GroupRecord>& record);
  // Carries out what the replica and this node's own messages ask for; ends every event.
  void Settle(Instant now);
  void ApplyReplicaOutput(Instant now);
  void NoteSuspensions(Instant now);
  void UpdateLeadership(Instant now);
  void LeadWhenDue(Instant now);
  void RefreshGroupRecord(Instant now);
  RecoveryState OwnRecoveryState() const;

  NodeContext context_;
  TableReplica& table_;
  RenewalClient renewals_;
  AssignmentLeader leader_;
  VoterManager voters_;
  GroupLifecycle lifecycle_;
  LeaveNotices notices_;

  std::unique_ptr<consensus::Replica> replica_;    // Null while this node knows of no group.
  ownership::AssignmentState replicated_;          // What the replica's log amounts to.
  std::map<InstanceId, Instant> suspended_since_;  // When each suspension was applied here.
  bool leads_ = false;                             // The lease was held at the last event.
  // Of the leadership that `leader_` serves, which outlasts gaps of the lease; zero when none.
  consensus::Term leading_term_ = 0;
  Instant last_event_;
  bool ended_ = false;  // A RestartInstance has been asked for; nothing is done any more.
};

}  // namespace runshelf::coordination
