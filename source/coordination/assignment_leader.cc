#include "source/coordination/assignment_leader.h"

#include <algorithm>
#include <string>

#include "runshelf/common/json_reader.h"

namespace runshelf::coordination {
namespace {

using ownership::AssignmentCommand;
using ownership::AssignmentState;
using ownership::NodeRecord;
using ownership::SlotMove;

// The first assignment of a service waits until no instance has joined for this long, so that the
// first one does not get everything only to hand most of it over again.
constexpr Duration kFirstAssignmentDelay = std::chrono::milliseconds(300);

// An owner that was told to release and has not done so within this time keeps the slots, unless it
// is leaving.
constexpr Duration kHandoverTimeout = std::chrono::seconds(10);

// What is known of an instance that is not registered is dropped after this long without a renewal.
constexpr Duration kMemberMemory = std::chrono::seconds(10);

// When no voter has reached the platform for this long, a few other daemons are asked to try, and
// others after each turn.
constexpr Duration kPlatformSilence = std::chrono::seconds(1);
constexpr Duration kPlatformTurn = std::chrono::milliseconds(500);
constexpr int kPlatformSearchers = 4;

// An instance is suspended after this many renewal intervals without a renewal.
constexpr int kSilentIntervals = 2;

// Without a change of the assignment, moves are planned this often.
constexpr Duration kPlanInterval = std::chrono::milliseconds(100);

constexpr Duration kRebalanceInterval = std::chrono::seconds(1);

}  // namespace

AssignmentLeader::AssignmentLeader(NodeContext& context, TableReplica& table, LimitShares* limits)
    : context_(context),
      table_(table),
      limits_(limits),
      ledger_(context.config.grant_duration, context.config.clock_rate_margin) {}

void AssignmentLeader::Begin(Instant now, consensus::Term term,
                             const std::map<InstanceId, Instant>& suspended_since) {
  End();
  term_ = term;
  began_ = now;
  last_registration_ = now;
  last_rebalance_ = now;
  platform_reached_ = now;
  ledger_.BeginLeadership(now);
  for (const auto& [instance, since] : suspended_since) ledger_.OnSuspended(instance, since);
  if (limits_ != nullptr) limits_->OnLeadership(now);
  context_.Log("leadership_began", {{"term", std::to_string(term)}});
}

void AssignmentLeader::End() {
  members_.clear();
  handovers_.clear();
  handed_over_.clear();
  proposals_.clear();
  last_moved_.clear();
  loads_.Clear();
}

void AssignmentLeader::Tick(Instant now, consensus::Replica& replica,
                            const AssignmentState& state) {
  SuspendSilent(now, replica, state);
  EvictExpired(now, replica, state);
  DisownEmptyServers(now, replica, state);
  CancelHopelessHandovers(now, state);
  RunPlanner(now, replica, state);
}

void AssignmentLeader::OnApplied(Instant now, const AssignmentState& state) {
  plan_wanted_ = true;
  for (const Proposal& proposal : proposals_) {
    if (proposal.index > state.version()) continue;
    for (const uint64_t release_id : proposal.release_ids) handovers_.erase(release_id);
    if (proposal.release_ids.empty()) continue;  // Not a planned move.
    for (const SlotMove& move : proposal.moves) {
      handed_over_[move.from] = proposal.index;
      for (const SlotNumber slot : FromRanges(move.ranges)) last_moved_[move.service][slot] = now;
    }
  }
  std::erase_if(proposals_,
                [&](const Proposal& proposal) { return proposal.index <= state.version(); });
  for (const auto& [name, record] : state.nodes()) {
    context_.Learn(record.instance, record.peer_address);
    context_.Send(record.instance, RenewNow{});
  }
}

bool AssignmentLeader::Propose(Instant now, consensus::Replica& replica, AssignmentCommand command,
                               Proposal proposal) {
  const absl::StatusOr<consensus::LogIndex> index =
      replica.Propose(now, ownership::EncodeCommand(command));
  if (!index.ok()) return false;
  proposal.index = *index;
  proposal.moves = std::move(command.moves);
  proposals_.push_back(std::move(proposal));
  return true;
}

void AssignmentLeader::Register(Instant now, consensus::Replica& replica,
                                const AssignmentState& state, const NodeRecord& record) {
  const std::string& name = record.instance.node;
  const bool under_way =
      std::any_of(proposals_.begin(), proposals_.end(),
                  [&](const Proposal& proposal) { return proposal.registering.contains(name); });
  if (under_way) return;
  const auto existing = state.nodes().find(name);
  if (existing != state.nodes().end()) {
    // An earlier process of the node is removed only when its grant has run out.
    if (existing->second.instance != record.instance) return;
    if (existing->second == record) return;
  }
  NodeRecord accepted = record;
  const auto service = state.services().find(record.service);
  if (service != state.services().end()) {
    accepted.slot_count = static_cast<uint32_t>(service->second.owners.size());
  }
  if (existing != state.nodes().end()) {
    // Who leaves does not come back under the same identity.
    accepted.leaving = record.leaving || existing->second.leaving;
    if (existing->second == accepted) return;
  }
  AssignmentCommand command;
  command.registered.push_back(accepted);
  Proposal proposal;
  proposal.registering.insert(name);
  if (!Propose(now, replica, std::move(command), std::move(proposal))) return;
  last_registration_ = now;
  context_.Log(accepted.leaving ? "node_leaving" : "node_registered",
               {{"instance", record.instance.ToString()}, {"service", record.service}});
}

void AssignmentLeader::SuspendSilent(Instant now, consensus::Replica& replica,
                                     const AssignmentState& state) {
  AssignmentCommand command;
  Proposal proposal;
  for (const auto& [name, record] : state.nodes()) {
    if (record.suspended || IsBlocked(record.instance)) continue;
    const auto member = members_.find(record.instance);
    const Instant last_seen =
        member == members_.end() ? began_ : std::max(began_, member->second.last_seen);
    if (now - last_seen < kSilentIntervals * context_.config.renewal_interval) continue;
    command.registered.push_back(record);
    command.registered.back().suspended = true;
    proposal.blocked.insert(record.instance);
  }
  if (!command.registered.empty()) Propose(now, replica, std::move(command), std::move(proposal));
}

void AssignmentLeader::EvictExpired(Instant now, consensus::Replica& replica,
                                    const AssignmentState& state) {
  std::erase_if(members_, [&](const auto& entry) {
    return now - entry.second.last_seen > kMemberMemory && state.FindNode(entry.first) == nullptr;
  });
  AssignmentCommand command;
  Proposal proposal;
  for (const auto& [name, record] : state.nodes()) {
    const InstanceId& instance = record.instance;
    if (IsBlocked(instance)) continue;
    Instant expiry = std::max(ledger_.ExpiryOf(instance),
                              began_ + kSilentIntervals * context_.config.renewal_interval);
    const auto member = members_.find(instance);
    if (member != members_.end()) {
      // An instance without a grant still counts as alive while it renews.
      expiry = std::max(expiry, member->second.last_seen + context_.config.grant_duration);
    }
    if (now < expiry + context_.config.eviction_delay) continue;
    command.removed.push_back(instance);
    proposal.blocked.insert(instance);
  }
  if (command.removed.empty()) return;
  for (const InstanceId& instance : command.removed) {
    context_.Log("node_evicted", {{"instance", instance.ToString()}}, true);
    members_.erase(instance);
    ledger_.Forget(instance);
  }
  Propose(now, replica, std::move(command), std::move(proposal));
}

void AssignmentLeader::DisownEmptyServers(Instant now, consensus::Replica& replica,
                                          const AssignmentState& state) {
  AssignmentCommand command;
  Proposal proposal;
  for (const auto& [instance, member] : members_) {
    if (member.server == ServerState::kServing || IsBlocked(instance)) continue;
    const NodeRecord* record = state.FindNode(instance);
    if (record == nullptr) continue;
    const std::vector<SlotRange> ranges = state.SlotsOf(record->service, instance);
    if (ranges.empty()) continue;
    command.moves.push_back({record->service, ranges, instance, {}});
    proposal.blocked.insert(instance);
    context_.Log("server_lost", {{"instance", instance.ToString()}}, true);
  }
  if (!command.moves.empty()) Propose(now, replica, std::move(command), std::move(proposal));
}

void AssignmentLeader::MarkLeaving(Instant now, const std::vector<InstanceId>& instances,
                                   consensus::Replica& replica, const AssignmentState& state) {
  for (const InstanceId& instance : instances) {
    const NodeRecord* registered = state.FindNode(instance);
    if (registered == nullptr || registered->leaving) continue;
    NodeRecord record = *registered;
    record.leaving = true;
    Register(now, replica, state, record);
  }
}

void AssignmentLeader::CancelHopelessHandovers(Instant now, const AssignmentState& state) {
  std::erase_if(handovers_, [&](const auto& entry) {
    const Handover& handover = entry.second;
    if (handover.proposed) return false;
    const NodeRecord* from = state.FindNode(handover.move.from);
    // An owner that lost its server has nothing left to release; its slots are given out anew.
    if (from == nullptr || !CanOwn(now, from->instance)) return true;
    if (!CanOwn(now, handover.move.to)) return true;
    return !from->leaving && now - handover.started > kHandoverTimeout;
  });
}

bool AssignmentLeader::MayAssign(Instant now, const AssignmentState& state) const {
  const bool any_owner =
      std::any_of(state.services().begin(), state.services().end(), [](const auto& service) {
        const auto& owners = service.second.owners;
        return std::any_of(owners.begin(), owners.end(),
                           [](const InstanceId& owner) { return !owner.empty(); });
      });
  return any_owner || now - last_registration_ >= kFirstAssignmentDelay;
}

void AssignmentLeader::RunPlanner(Instant now, consensus::Replica& replica,
                                  const AssignmentState& state) {
  const bool due = plan_wanted_ || now - last_plan_ >= kPlanInterval;
  if (!due || !MayAssign(now, state)) return;
  plan_wanted_ = false;
  last_plan_ = now;
  ownership::PlannerConfig config;
  config.rebalance_threshold = context_.config.rebalance_threshold;
  config.max_moving_slots = context_.config.max_moving_slots;
  config.slot_move_cooldown = context_.config.slot_move_cooldown;
  ownership::PlanInput input;
  input.state = &state;
  for (const auto& [instance, member] : members_) {
    input.conditions[instance].can_own = CanOwn(now, instance) && IsFresh(now, instance);
  }
  input.loads = loads_.Loads();
  input.last_moved = last_moved_;
  input.moving = MovingSlots();
  input.may_rebalance = now - last_rebalance_ >= kRebalanceInterval;
  if (input.may_rebalance) last_rebalance_ = now;
  ownership::Plan plan = ownership::PlanMoves(now, config, input);
  if (!plan.takeovers.empty()) {
    AssignmentCommand command;
    command.moves = std::move(plan.takeovers);
    Propose(now, replica, std::move(command), {});
  }
  for (SlotMove& move : plan.handovers) {
    const InstanceId from = move.from;
    handovers_[context_.random.Next() >> 1U] = {std::move(move), now, false};
    context_.Send(from, RenewNow{});
  }
}

std::map<std::string, std::vector<SlotRange>> AssignmentLeader::MovingSlots() const {
  std::map<std::string, std::vector<SlotNumber>> slots;
  const auto add = [&](const SlotMove& move) {
    const std::vector<SlotNumber> moving = FromRanges(move.ranges);
    std::vector<SlotNumber>& all = slots[move.service];
    all.insert(all.end(), moving.begin(), moving.end());
  };
  for (const auto& [release_id, handover] : handovers_) add(handover.move);
  for (const Proposal& proposal : proposals_) {
    for (const SlotMove& move : proposal.moves) add(move);
  }
  std::map<std::string, std::vector<SlotRange>> ranges;
  for (auto& [service, moving] : slots) ranges[service] = ToRanges(std::move(moving));
  return ranges;
}

bool AssignmentLeader::IsBlocked(const InstanceId& instance) const {
  return std::any_of(proposals_.begin(), proposals_.end(),
                     [&](const Proposal& proposal) { return proposal.blocked.contains(instance); });
}

bool AssignmentLeader::ShouldFollowPlatform(Instant now, const InstanceId& instance) const {
  if (now - platform_reached_ < kPlatformSilence) return false;
  // Others take their turn after a while: those that were asked first may be cut off as well.
  const auto turn = static_cast<uint64_t>(now.time_since_epoch() / kPlatformTurn);
  const auto rank = [turn](const InstanceId& member) {
    return SlotOfKey(member.ToString() + std::to_string(turn), kMaxSlotCount);
  };
  const SlotNumber own_rank = rank(instance);
  const auto ahead = std::count_if(members_.begin(), members_.end(), [&](const auto& member) {
    return rank(member.first) < own_rank;
  });
  return ahead < kPlatformSearchers;
}

bool AssignmentLeader::CanOwn(Instant now, const InstanceId& instance) const {
  const auto member = members_.find(instance);
  return member != members_.end() && member->second.server == ServerState::kServing &&
         IsHealthy(now, instance) && !IsBlocked(instance);
}

bool AssignmentLeader::IsFresh(Instant now, const InstanceId& instance) const {
  const auto member = members_.find(instance);
  return member != members_.end() &&
         now - member->second.last_seen < context_.config.renewal_interval * 3 / 2;
}

bool AssignmentLeader::IsHealthy(Instant now, const InstanceId& instance) const {
  const auto member = members_.find(instance);
  return member != members_.end() &&
         now - member->second.last_seen < 4 * context_.config.renewal_interval;
}

std::vector<ReleaseOrder> AssignmentLeader::ReleasesOf(const InstanceId& instance) const {
  std::vector<ReleaseOrder> orders;
  for (const auto& [release_id, handover] : handovers_) {
    if (handover.move.from == instance) orders.push_back({release_id, handover.move.ranges});
  }
  return orders;
}

void AssignmentLeader::OnReleased(Instant now, const InstanceId& from,
                                  const std::vector<uint64_t>& release_ids,
                                  consensus::Replica& replica) {
  AssignmentCommand command;
  Proposal proposal;
  for (const uint64_t release_id : release_ids) {
    const auto found = handovers_.find(release_id);
    if (found == handovers_.end() || found->second.move.from != from) continue;
    if (found->second.proposed || !CanOwn(now, found->second.move.to)) continue;
    command.moves.push_back(found->second.move);
    proposal.release_ids.push_back(release_id);
  }
  if (command.moves.empty()) return;
  const std::vector<uint64_t> proposed = proposal.release_ids;
  if (!Propose(now, replica, std::move(command), std::move(proposal))) return;
  for (const uint64_t release_id : proposed) handovers_[release_id].proposed = true;
}

bool AssignmentLeader::HasHandedOver(const AssignmentState& state, const NodeRecord& record) const {
  if (state.SlotsOf(record.service, record.instance).empty()) {
    // The takers know by now what they own.
    const auto version = handed_over_.find(record.instance);
    return version == handed_over_.end() ||
           std::all_of(members_.begin(), members_.end(), [&](const auto& member) {
             const NodeRecord* taker = state.FindNode(member.first);
             return taker == nullptr || taker->suspended || taker->service != record.service ||
                    member.second.version >= version->second;
           });
  }
  // Where nobody else may own the service's slots, there is nobody to hand over to.
  return std::none_of(state.nodes().begin(), state.nodes().end(), [&](const auto& node) {
    return !node.second.leaving && node.second.service == record.service;
  });
}

bool AssignmentLeader::HasDeparted(const consensus::Replica& replica, const AssignmentState& state,
                                   const NodeRecord& record) const {
  if (!record.leaving || !HasHandedOver(state, record)) return false;
  const std::vector<InstanceId>& voters = replica.Voters();
  const bool is_voter = std::find(voters.begin(), voters.end(), record.instance) != voters.end();
  // When the whole fleet stops, the last voters keep their seats.
  return !is_voter || std::all_of(state.nodes().begin(), state.nodes().end(),
                                  [](const auto& node) { return node.second.leaving; });
}

bool AssignmentLeader::MayResign(const AssignmentState& state) const {
  const NodeRecord* self = state.FindNode(context_.self);
  return handovers_.empty() && (self == nullptr || HasHandedOver(state, *self));
}

void AssignmentLeader::OnRenewal(Instant now, const Envelope& envelope,
                                 const RenewalRequest& request, consensus::Replica& replica,
                                 const AssignmentState& state) {
  const InstanceId& instance = envelope.from;
  Member& member = members_[instance];
  if (request.sent_at_us <= member.last_sent_at_us) return;  // Duplicated or overtaken.
  member.last_sent_at_us = request.sent_at_us;
  member.last_seen = now;
  member.server = request.server;
  member.version = request.assignment_version;
  Register(now, replica, state, request.node);
  if (request.platform_reached) platform_reached_ = now;
  MarkLeaving(now, request.leaving, replica, state);
  OnReleased(now, instance, request.released, replica);

  const NodeRecord* record = state.FindNode(instance);
  RenewalReply reply;
  reply.sent_at_us = request.sent_at_us;
  reply.term = term_;
  reply.assignment = state.UpdateSince(request.assignment_version);
  if (record != nullptr) {
    reply.departed = HasDeparted(replica, state, *record);
    reply.follow_platform = ShouldFollowPlatform(now, instance);
    const bool may_grant = !record->suspended && !IsBlocked(instance);
    if (request.server == ServerState::kServing && may_grant) {
      reply.grant_duration_us = context_.config.grant_duration.count();
      reply.releases = ReleasesOf(instance);
      ledger_.OnIssued(now, instance);
    }
    loads_.OnReport(now, record->service, state.SlotsOf(record->service, instance),
                    request.requests_per_second, request.hottest_slots);
  }
  if (!request.table_update.empty()) table_.Apply(request.table_update);
  if (table_.Revision() > request.table_revision) {
    reply.table_update = table_.ChangesSince(request.table_revision);
  } else if (table_.Revision() < request.table_revision) {
    reply.wanted_table_since = table_.Revision();
  }
  if (limits_ != nullptr) {
    const Duration valid_for = context_.config.grant_duration;
    reply.shares = limits_->Allocate(now, instance, request.demands, valid_for);
    reply.shares_valid_us = valid_for.count();
  }
  context_.Send(instance, std::move(reply));
}

}  // namespace runshelf::coordination
