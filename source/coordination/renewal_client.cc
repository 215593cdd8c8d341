#include "source/coordination/renewal_client.h"

#include <algorithm>

namespace runshelf::coordination {
namespace {

using ownership::NodeRecord;

// While no leader answers, renewals go out this much more often, to all who may know the leader.
constexpr int kSearchFactor = 3;

// A call that the platform answered counts as being in touch with it for this long.
constexpr Duration kPlatformContactMemory = std::chrono::seconds(1);

// Without a leader for this long, a daemon looks at the platform itself.
constexpr Duration kLeaderSilence = std::chrono::seconds(1);

// Events that ask for a renewal at once never cause more than one in this time.
constexpr Duration kShortestInterval = std::chrono::milliseconds(2);

}  // namespace

RenewalClient::RenewalClient(NodeContext& context, TableReplica& table, LimitShares* limits)
    : context_(context),
      table_(table),
      limits_(limits),
      routes_(std::make_shared<routing::RoutingSnapshot>()) {}

NodeRecord RenewalClient::OwnRecord() const {
  NodeRecord record;
  record.instance = context_.self;
  record.zone = context_.config.zone;
  record.service = context_.config.service;
  record.peer_address = context_.config.peer_address;
  record.forward_address = context_.config.forward_address;
  record.slot_count = context_.config.service.empty() ? 0 : context_.config.slots_per_service;
  record.leaving = leaving_;
  return record;
}

void RenewalClient::Tick(Instant now, const std::vector<std::string>& fallback_addresses) {
  WatchSilentServer(now);
  if (now < next_renewal_ || now < last_sent_ + kShortestInterval) return;
  SendRenewal(now, fallback_addresses);
}

void RenewalClient::SendRenewal(Instant now, const std::vector<std::string>& fallback_addresses) {
  if (context_.generation == 0) return;
  // Every renewal carries another sending time: the leader and this node order replies by it.
  last_sent_ = std::max(now, last_sent_ + Duration(1));
  RenewalRequest request;
  request.sent_at_us = ToMicroseconds(last_sent_);
  request.node = OwnRecord();
  request.assignment_version =
      view_generation_ == context_.generation ? view_.version() : ownership::AssignmentVersion{0};
  request.table_revision = table_.Revision();
  request.server = reported_;
  request.released = holder_.FulfilledReleases(now);
  request.requests_per_second = load_.requests_per_second;
  request.hottest_slots = load_.hottest_slots;
  request.platform_reached =
      platform_contact_ != Instant{} && now - platform_contact_ < kPlatformContactMemory;
  request.leaving = leaving_notices_;
  if (limits_ != nullptr) request.demands = limits_->Demands(now);
  if (wanted_table_since_) {
    request.table_update = table_.ChangesSince(*wanted_table_since_);
    wanted_table_since_.reset();
  }
  const Duration interval = context_.config.renewal_interval;
  const bool leader_answers = !leader_.empty() && now - last_contact_ < 2 * interval;
  if (!leader_.empty()) context_.Send(leader_, request);
  if (!leader_answers) {
    const std::string leader_address = context_.AddressOf(leader_);
    for (const std::string& address : fallback_addresses) {
      if (address != leader_address) context_.SendToAddress(address, {}, request);
    }
  }
  next_renewal_ = now + (leader_answers ? interval : interval / kSearchFactor);
}

void RenewalClient::SuggestLeader(const InstanceId& leader) {
  if (leader.empty() || leader == leader_) return;
  leader_ = leader;
  next_renewal_ = {};
}

void RenewalClient::OnRedirect(Instant now, const Redirect& redirect) {
  if (redirect.leader.empty()) return;
  context_.Learn(redirect.leader, redirect.leader_address);
  const bool leader_answers = now - last_contact_ < 2 * context_.config.renewal_interval;
  if (!leader_answers) SuggestLeader(redirect.leader);
}

void RenewalClient::OnReply(Instant now, const Envelope& envelope, const RenewalReply& reply) {
  const Instant sent_at = InstantFromMicroseconds(reply.sent_at_us);
  if (sent_at <= last_accepted_sent_ || sent_at > last_sent_) return;
  if (reply.term < term_) return;
  term_ = reply.term;
  last_accepted_sent_ = sent_at;
  last_contact_ = now;
  leader_ = envelope.from;
  if (view_generation_ != context_.generation) view_ = {};
  const ownership::AssignmentVersion version_before = view_.version();
  const bool first_of_generation = view_generation_ != context_.generation;
  view_generation_ = context_.generation;
  if (!view_.ApplyUpdate(reply.assignment).ok()) {
    view_generation_ = 0;
    return;
  }
  if (first_of_generation || view_.version() != version_before) RebuildRoutes();
  departed_ = reply.departed;
  follow_platform_ = reply.follow_platform;
  const NodeRecord* own_record = view_.FindNode(context_.self);
  if (own_record != nullptr && own_record->leaving) leaving_ = true;
  if (!reply.table_update.empty()) table_.Apply(reply.table_update);
  wanted_table_since_ = reply.wanted_table_since;
  if (wanted_table_since_) next_renewal_ = {};
  if (limits_ != nullptr && reply.shares_valid_us > 0) {
    limits_->OnShares(sent_at, Duration(reply.shares_valid_us), reply.shares);
  }
  AcceptGrant(sent_at, envelope, reply);
}

void RenewalClient::AcceptGrant(Instant sent_at, const Envelope& envelope,
                                const RenewalReply& reply) {
  if (reply.grant_duration_us <= 0 || sent_at < oldest_acceptable_) return;
  if (reported_ != ServerState::kServing) return;
  if (view_.version() != reply.assignment.to_version) return;
  std::vector<ownership::Release> releases;
  for (const ReleaseOrder& order : reply.releases) {
    releases.push_back({order.release_id, order.ranges});
  }
  const FencingToken version{envelope.generation, reply.term, view_.version()};
  holder_.OnRenewed(sent_at + Duration(reply.grant_duration_us), version,
                    view_.SlotsOf(context_.config.service, context_.self), std::move(releases));
  PushIfChanged();
  if (!holder_.FulfilledReleases(last_contact_).empty()) next_renewal_ = {};
}

void RenewalClient::PushIfChanged() {
  const bool wanted = observed_ == ServerState::kServing && holder_.NextPush();
  if (wanted) context_.actions.emplace_back(PushGrant{});
}

std::optional<ServerGrant> RenewalClient::GrantToPush(Instant now) {
  // A server that does not answer gets nothing more, so that what it may believe in runs out.
  if (observed_ != ServerState::kServing) return std::nullopt;
  std::optional<ServerGrant> grant = holder_.NextPush();
  if (!grant || now >= grant->expires_at) return std::nullopt;
  holder_.OnPushed(*grant);
  return grant;
}

void RenewalClient::OnGeneration() {
  view_generation_ = 0;
  term_ = 0;
  leader_ = {};
  next_renewal_ = {};
}

void RenewalClient::RevokeGrants() {
  oldest_acceptable_ = last_sent_ + Duration(1);
  holder_.Revoke();
}

void RenewalClient::OnServerEmpty(ServerState reported) {
  reported_ = reported;
  oldest_acceptable_ = last_sent_ + Duration(1);
  holder_.OnServerEmpty();
  next_renewal_ = {};
}

void RenewalClient::OnServerState(Instant now, ServerState state) {
  const ServerState before = observed_;
  observed_ = state;
  if (state == before && state != ServerState::kStopped) return;
  switch (state) {
    case ServerState::kServing:
      reported_ = ServerState::kServing;
      break;
    case ServerState::kStopped:
      if (reported_ != ServerState::kStopped) OnServerEmpty(ServerState::kStopped);
      break;
    case ServerState::kSilent:
    case ServerState::kUnknown:
      WatchSilentServer(now);
      break;
  }
  if (state != before) next_renewal_ = {};
}

void RenewalClient::WatchSilentServer(Instant now) {
  if (observed_ != ServerState::kSilent || reported_ != ServerState::kServing) return;
  if (now < holder_.LastPushedExpiry()) return;
  // Whatever the frozen server was given has run out on its own clock, which is this machine's.
  OnServerEmpty(ServerState::kSilent);
}

void RenewalClient::OnGrantAccepted(Instant now, const ServerGrant& grant) {
  holder_.OnAccepted(now, grant);
  if (!holder_.FulfilledReleases(now).empty()) next_renewal_ = {};
}

std::optional<FencingToken> RenewalClient::Enter(Instant now, SlotNumber slot) {
  if (observed_ != ServerState::kServing) return std::nullopt;
  return holder_.Enter(now, slot);
}

void RenewalClient::Leave(Instant now, SlotNumber slot) {
  holder_.Leave(slot);
  PushIfChanged();
  if (!holder_.FulfilledReleases(now).empty()) next_renewal_ = {};
}

std::optional<Instant> RenewalClient::HeldSince(Instant now, SlotNumber slot) const {
  return holder_.HeldSince(now, slot);
}

bool RenewalClient::MustFollowPlatform(Instant now) const {
  return follow_platform_ || now - last_contact_ > kLeaderSilence;
}

void RenewalClient::BeginLeave() {
  leaving_ = true;
  next_renewal_ = {};
}

void RenewalClient::SetLeavingNotices(std::vector<InstanceId> instances) {
  if (instances != leaving_notices_) next_renewal_ = {};
  leaving_notices_ = std::move(instances);
}

bool RenewalClient::MayStop() const {
  if (!leaving_ || holder_.HasRequestsInProgress()) return false;
  return departed_ || context_.generation == 0;
}

void RenewalClient::RebuildRoutes() {
  auto routes = std::make_shared<routing::RoutingSnapshot>();
  routes->version = routes_->version + 1;
  std::map<InstanceId, uint32_t> target_index;
  for (const auto& [name, record] : view_.nodes()) {
    context_.Learn(record.instance, record.peer_address);
    if (record.service.empty()) continue;
    routing::ServiceRoutes& service = routes->services[record.service];
    target_index[record.instance] = static_cast<uint32_t>(service.targets.size());
    service.targets.push_back(
        {record.instance, record.zone, record.forward_address, record.leaving || record.suspended});
  }
  for (const auto& [name, assignment] : view_.services()) {
    routing::ServiceRoutes& service = routes->services[name];
    service.slot_count = static_cast<uint32_t>(assignment.owners.size());
    service.slot_owners.reserve(assignment.owners.size());
    for (const InstanceId& owner : assignment.owners) {
      const auto target = target_index.find(owner);
      service.slot_owners.push_back(target == target_index.end() ? routing::kNoOwner
                                                                 : target->second);
    }
  }
  routes_ = std::move(routes);
}

}  // namespace runshelf::coordination
