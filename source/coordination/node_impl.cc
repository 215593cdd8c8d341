#include "source/coordination/node_impl.h"

#include <algorithm>
#include <utility>

namespace runshelf::coordination {

NodeImpl::NodeImpl(const NodeConfig& config, const InstanceId& self, Instant now,
                   TableReplica& table, LimitShares* limits, Random& random)
    : context_(config, self, random),
      table_(table),
      renewals_(context_, table, limits),
      leader_(context_, table, limits),
      voters_(context_),
      lifecycle_(context_),
      notices_(self, now),
      last_event_(now) {}

bool NodeImpl::WasPausedTooLong(Instant now) {
  if (ended_) return true;
  const Duration pause = now - std::exchange(last_event_, std::max(last_event_, now));
  if (pause <= context_.config.max_pause) return false;
  ended_ = true;
  renewals_.RevokeGrants();
  context_.actions.emplace_back(RestartInstance{"paused too long"});
  return true;
}

void NodeImpl::Tick(Instant now) {
  if (WasPausedTooLong(now)) return;
  lifecycle_.Tick(now, renewals_.LastLeaderContact(), renewals_.OwnRecord(), OwnRecoveryState());
  if (replica_ != nullptr && !lifecycle_.IsSealed()) replica_->Tick(now);
  // Whatever is committed must be applied before leadership is acted on.
  ApplyReplicaOutput(now);
  UpdateLeadership(now);
  LeadWhenDue(now);
  Settle(now);
}

void NodeImpl::Receive(Instant now, const Envelope& envelope) {
  if (WasPausedTooLong(now)) return;
  if (envelope.group != context_.config.group) return;
  if (!envelope.to.empty() && envelope.to != context_.self) return;
  if (envelope.from.empty() || envelope.from == context_.self) return;
  Dispatch(now, envelope);
  Settle(now);
}

void NodeImpl::Dispatch(Instant now, const Envelope& envelope) {
  context_.Learn(envelope.from, envelope.from_address);
  if (const auto* hello = std::get_if<Hello>(&envelope.body)) {
    lifecycle_.OnHello(now, envelope, *hello, renewals_.OwnRecord());
    return;
  }
  if (const auto* announcement = std::get_if<GroupAnnouncement>(&envelope.body)) {
    Adopt(now, lifecycle_.OnAnnouncement(*announcement));
    return;
  }
  if (envelope.generation > context_.generation) {
    lifecycle_.OnNewerGeneration();
    return;
  }
  if (envelope.generation < context_.generation) {
    // The sender missed a generation; it asks for the group as a newcomer does.
    lifecycle_.OnHello(now, envelope, Hello{{}, true}, renewals_.OwnRecord());
    return;
  }
  if (const auto* request = std::get_if<SealRequest>(&envelope.body)) {
    OnSealRequest(now, envelope, *request);
    return;
  }
  if (const auto* reply = std::get_if<SealReply>(&envelope.body)) {
    lifecycle_.OnSealReply(envelope, *reply);
    return;
  }
  if (lifecycle_.IsSealed() || context_.generation == 0) return;
  if (const auto* message = std::get_if<consensus::Message>(&envelope.body)) {
    OnConsensusMessage(now, envelope, *message);
  } else if (const auto* renewal = std::get_if<RenewalRequest>(&envelope.body)) {
    OnRenewalRequest(now, envelope, *renewal);
  } else if (const auto* renewal_reply = std::get_if<RenewalReply>(&envelope.body)) {
    renewals_.OnReply(now, envelope, *renewal_reply);
  } else if (const auto* redirect = std::get_if<Redirect>(&envelope.body)) {
    renewals_.OnRedirect(now, *redirect);
  } else if (std::holds_alternative<RenewNow>(envelope.body)) {
    renewals_.SuggestLeader(envelope.from);
    renewals_.OnRenewNow();
  }
}

void NodeImpl::OnConsensusMessage(Instant now, const Envelope& envelope,
                                  const consensus::Message& message) {
  replica_->Receive(now, envelope.from, message);
  if (replica_->Leader() == envelope.from && envelope.from != renewals_.leader()) {
    renewals_.SuggestLeader(envelope.from);
  }
}

void NodeImpl::OnRenewalRequest(Instant now, const Envelope& envelope,
                                const RenewalRequest& request) {
  if (request.node.instance != envelope.from) return;
  if (leads_ && replica_->HoldsLease(now)) {
    leader_.OnRenewal(now, envelope, request, *replica_, replicated_);
    return;
  }
  InstanceId leader = replica_->Leader();
  if (leader.empty()) leader = renewals_.leader();
  if (leader.empty() || leader == context_.self) return;
  context_.Send(envelope.from, Redirect{leader, context_.AddressOf(leader)});
}

void NodeImpl::OnSealRequest(Instant now, const Envelope& envelope, const SealRequest& request) {
  const bool newly_sealed =
      lifecycle_.OnSealRequest(now, envelope, request, renewals_.LastLeaderContact(),
                               renewals_.OwnRecord(), OwnRecoveryState());
  if (newly_sealed) renewals_.RevokeGrants();
}

void NodeImpl::Adopt(Instant now, const std::optional<GroupRecord>& record) {
  if (!record) return;
  const bool starts_as_voter =
      record->initial &&
      std::any_of(record->voters.begin(), record->voters.end(),
                  [&](const GroupMember& voter) { return voter.instance == context_.self; });
  consensus::Snapshot snapshot;
  replicated_ = {};
  if (starts_as_voter) {
    absl::StatusOr<ownership::AssignmentState> checkpoint =
        ownership::AssignmentState::Decode(record->checkpoint);
    if (checkpoint.ok()) {
      replicated_ = std::move(*checkpoint);
      snapshot.index = record->checkpoint_index;
      snapshot.term = record->checkpoint_term;
      snapshot.state = record->checkpoint;
      for (const GroupMember& voter : record->voters) snapshot.voters.push_back(voter.instance);
    }
  }
  replica_ = consensus::MakeReplica(context_.config.replica, context_.self, std::move(snapshot),
                                    now, context_.random);
  suspended_since_.clear();
  NoteSuspensions(now);
  leads_ = false;
  leading_term_ = 0;
  leader_.End();
  renewals_.OnGeneration();
}

void NodeImpl::OnMachineList(Instant now, const infrastructure::MachineListSnapshot& machines) {
  if (WasPausedTooLong(now)) return;
  lifecycle_.OnMachineList(now, machines);
  notices_.OnMachineList(now, machines, renewals_.view());
  if (notices_.SelfIsLeaving()) BeginLeave(now);
  renewals_.SetLeavingNotices(notices_.Leaving());
  Settle(now);
}

void NodeImpl::OnPlatformContact(Instant now) { renewals_.OnPlatformContact(now); }

bool NodeImpl::FollowsPlatform(Instant now) const {
  const bool is_voter = replica_ != nullptr && replica_->IsVoter();
  return is_voter || renewals_.MustFollowPlatform(now);
}

void NodeImpl::OnGroupRecord(Instant now, const std::optional<GroupRecord>& record,
                             int64_t revision) {
  if (WasPausedTooLong(now)) return;
  Adopt(now, lifecycle_.OnGroupRecord(now, record, revision));
  Settle(now);
}

void NodeImpl::OnGroupRecordWritten(Instant now, bool succeeded, int64_t revision) {
  if (WasPausedTooLong(now)) return;
  Adopt(now, lifecycle_.OnGroupRecordWritten(now, succeeded, revision));
  Settle(now);
}

void NodeImpl::OnServerState(Instant now, ServerState state) {
  if (WasPausedTooLong(now)) return;
  renewals_.OnServerState(now, state);
  Settle(now);
}

std::optional<ServerGrant> NodeImpl::GrantToPush(Instant now) {
  if (WasPausedTooLong(now)) return std::nullopt;
  return renewals_.GrantToPush(now);
}

void NodeImpl::OnGrantAccepted(Instant now, const ServerGrant& grant) {
  if (WasPausedTooLong(now)) return;
  renewals_.OnGrantAccepted(now, grant);
  Settle(now);
}

void NodeImpl::OnLoad(Instant now, const LoadReport& load) {
  if (WasPausedTooLong(now)) return;
  renewals_.OnLoad(load);
}

std::optional<FencingToken> NodeImpl::Enter(Instant now, SlotNumber slot) {
  if (WasPausedTooLong(now) || lifecycle_.IsSealed()) return std::nullopt;
  return renewals_.Enter(now, slot);
}

void NodeImpl::Leave(Instant now, SlotNumber slot) {
  if (WasPausedTooLong(now)) return;
  renewals_.Leave(now, slot);
  Settle(now);
}

std::optional<Instant> NodeImpl::HeldSince(Instant now, SlotNumber slot) const {
  if (ended_) return std::nullopt;
  return renewals_.HeldSince(now, slot);
}

void NodeImpl::BeginLeave(Instant now) {
  if (renewals_.leaving()) return;
  renewals_.BeginLeave();
  context_.Log("leave_began", {});
  Settle(now);
}

bool NodeImpl::IsLeaving() const { return renewals_.leaving(); }

bool NodeImpl::MayStop(Instant) const { return ended_ || renewals_.MayStop(); }

std::shared_ptr<const routing::RoutingSnapshot> NodeImpl::Routes() const {
  return renewals_.routes();
}

void NodeImpl::Settle(Instant now) {
  if (ended_) return;
  do {
    while (!context_.local_messages.empty()) {
      const Envelope envelope = std::move(context_.local_messages.front());
      context_.local_messages.pop_front();
      Dispatch(now, envelope);
    }
    ApplyReplicaOutput(now);
    UpdateLeadership(now);
    const bool has_joined = renewals_.LastLeaderContact() != Instant{};
    const bool may_renew = has_joined || !notices_.HoldsBack(now);
    if (may_renew && !lifecycle_.IsSealed()) {
      renewals_.Tick(now, lifecycle_.LeaderSearchAddresses(now, renewals_.LastLeaderContact()));
    }
  } while (!context_.local_messages.empty());
}

void NodeImpl::ApplyReplicaOutput(Instant now) {
  if (replica_ == nullptr) return;
  consensus::ReplicaOutput output = replica_->TakeOutput();
  if (lifecycle_.IsSealed()) return;
  for (consensus::OutgoingMessage& message : output.messages) {
    context_.Send(message.to, std::move(message.message));
  }
  if (output.installed_snapshot) {
    auto state = ownership::AssignmentState::Decode(output.installed_snapshot->state);
    if (state.ok()) replicated_ = std::move(*state);
    NoteSuspensions(now);
  }
  bool changed = false;
  for (const consensus::LogEntry& entry : output.committed) {
    if (entry.kind != consensus::EntryKind::kCommand) continue;
    const auto command = ownership::DecodeCommand(entry.command);
    if (!command.ok()) continue;
    replicated_.Apply(entry.index, *command);
    changed = true;
  }
  if (changed) NoteSuspensions(now);
  if (changed && leading_term_ != 0) {
    leader_.OnApplied(now, replicated_);
    LeadWhenDue(now);
  }
  if (replica_->NeedsSnapshot()) replica_->Compact(replica_->CommitIndex(), replicated_.Encode());
}

void NodeImpl::NoteSuspensions(Instant now) {
  std::map<InstanceId, Instant> suspended;
  for (const auto& [name, record] : replicated_.nodes()) {
    if (!record.suspended) continue;
    const auto known = suspended_since_.find(record.instance);
    suspended[record.instance] = known == suspended_since_.end() ? now : known->second;
  }
  suspended_since_ = std::move(suspended);
}

void NodeImpl::UpdateLeadership(Instant now) {
  const bool may_lead = replica_ != nullptr && !lifecycle_.IsSealed() && replica_->IsLeader();
  if (leading_term_ != 0 && (!may_lead || replica_->CurrentTerm() != leading_term_)) {
    leader_.End();
    leading_term_ = 0;
  }
  const bool held_lease = std::exchange(leads_, may_lead && replica_->HoldsLease(now));
  if (!leads_ || held_lease) return;
  if (leading_term_ == replica_->CurrentTerm()) {
    leader_.Resume(now);
  } else {
    leading_term_ = replica_->CurrentTerm();
    leader_.Begin(now, leading_term_, suspended_since_);
  }
  voters_.Begin(now);
  renewals_.SuggestLeader(context_.self);
  for (const auto& [name, record] : replicated_.nodes()) {
    context_.Learn(record.instance, record.peer_address);
    context_.Send(record.instance, RenewNow{});
  }
}

void NodeImpl::LeadWhenDue(Instant now) {
  if (!leads_) return;
  leader_.Tick(now, *replica_, replicated_);
  voters_.Tick(now, *replica_, replicated_, leader_, lifecycle_.ListedNodes());
  RefreshGroupRecord(now);
}

void NodeImpl::RefreshGroupRecord(Instant now) {
  const std::vector<InstanceId>& voters = replica_->Voters();
  if (!lifecycle_.WantsRefresh(now, voters, replicated_.version())) return;
  GroupRecord record;
  record.generation = context_.generation;
  for (const InstanceId& voter : voters) {
    const std::string address =
        voter == context_.self ? context_.config.peer_address : context_.AddressOf(voter);
    record.voters.push_back({voter, address});
  }
  record.checkpoint_index = replicated_.version();
  record.checkpoint_term = replica_->CurrentTerm();
  record.checkpoint = replicated_.Encode();
  lifecycle_.RefreshRecord(now, std::move(record));
}

RecoveryState NodeImpl::OwnRecoveryState() const {
  const ownership::AssignmentState& view = renewals_.view();
  const bool replica_is_newer = replica_ != nullptr && replicated_.version() >= view.version();
  const ownership::AssignmentState& newest = replica_is_newer ? replicated_ : view;
  const uint64_t term = replica_is_newer ? replica_->LastLogTerm() : renewals_.term();
  return {term, newest.version(), &newest};
}

NodeStatus NodeImpl::Status(Instant now) const {
  NodeStatus status;
  status.self = context_.self;
  status.generation = context_.generation;
  status.term = renewals_.term();
  status.leader = renewals_.leader();
  status.is_leader = leads_;
  status.is_voter = replica_ != nullptr && replica_->IsVoter();
  status.leaving = renewals_.leaving();
  status.assignment_version = renewals_.view().version();
  status.table_revision = table_.Revision();
  status.owned_slots = renewals_.holder().ServingSlots(now);
  if (now < renewals_.holder().ExpiresAt()) {
    status.grant_remaining = renewals_.holder().ExpiresAt() - now;
  }
  for (const auto& [name, record] : renewals_.view().nodes()) status.nodes.push_back(record);
  return status;
}

std::vector<Action> NodeImpl::TakeActions() { return std::exchange(context_.actions, {}); }

std::unique_ptr<Node> MakeNode(const NodeConfig& config, const InstanceId& self, Instant now,
                               TableReplica& table, LimitShares* limits, Random& random) {
  return std::make_unique<NodeImpl>(config, self, now, table, limits, random);
}

}  // namespace runshelf::coordination
