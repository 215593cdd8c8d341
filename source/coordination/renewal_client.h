// Every daemon's part: renews with the leader, follows the assignment, and keeps the grant of the
// server beside it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/ownership/assignment.h"
#include "runshelf/ownership/grant_holder.h"
#include "source/coordination/node_context.h"

namespace runshelf::coordination {

class RenewalClient {
 public:
  // All references must outlive this object.
  RenewalClient(NodeContext& context, TableReplica& table, LimitShares* limits);

  // `fallback_addresses`: where to ask while no leader answers.
  void Tick(Instant now, const std::vector<std::string>& fallback_addresses);

  void OnReply(Instant now, const Envelope& envelope, const RenewalReply& reply);
  void OnRedirect(Instant now, const Redirect& redirect);
  void OnRenewNow() { next_renewal_ = {}; }
  // This node believes that `leader` leads; used until a reply or redirect says otherwise.
  void SuggestLeader(const InstanceId& leader);

  // The replica group is at another generation: what is known of the assignment is asked for anew.
  // Grants that are held run out by themselves.
  void OnGeneration();
  // Stops serving at once; the server may believe in its grant until that runs out.
  void RevokeGrants();

  void OnServerState(Instant now, ServerState state);
  std::optional<ServerGrant> GrantToPush(Instant now);
  void OnGrantAccepted(Instant now, const ServerGrant& grant);
  void OnLoad(const LoadReport& load) { load_ = load; }

  std::optional<FencingToken> Enter(Instant now, SlotNumber slot);
  void Leave(Instant now, SlotNumber slot);
  std::optional<Instant> HeldSince(Instant now, SlotNumber slot) const;

  void OnPlatformContact(Instant now) { platform_contact_ = now; }
  // Whether the leader asked this node to follow the platform, or is not in touch itself.
  bool MustFollowPlatform(Instant now) const;

  void BeginLeave();
  // Others that leave, to be told to the leader.
  void SetLeavingNotices(std::vector<InstanceId> instances);
  bool leaving() const { return leaving_; }
  bool MayStop() const;

  // When the leader's last reply was accepted; the epoch when never.
  Instant LastLeaderContact() const { return last_contact_; }
  const InstanceId& leader() const { return leader_; }
  uint64_t term() const { return term_; }
  const ownership::AssignmentState& view() const { return view_; }
  const ownership::GrantHolder& holder() const { return holder_; }
  std::shared_ptr<const routing::RoutingSnapshot> routes() const { return routes_; }

  // The record by which this node registers.
  ownership::NodeRecord OwnRecord() const;

 private:
  void SendRenewal(Instant now, const std::vector<std::string>& fallback_addresses);
  void WatchSilentServer(Instant now);
  // The server beside this daemon certainly holds no grant.
  void OnServerEmpty(ServerState reported);
  void AcceptGrant(Instant sent_at, const Envelope& envelope, const RenewalReply& reply);
  // Asks for a push when the server should have another grant than it has accepted.
  void PushIfChanged();
  void RebuildRoutes();

  NodeContext& context_;
  TableReplica& table_;
  LimitShares* const limits_;
  ownership::AssignmentState view_;
  uint64_t view_generation_ = 0;  // Zero: the view's version means nothing to the leader.
  ownership::GrantHolder holder_;
  std::shared_ptr<const routing::RoutingSnapshot> routes_;

  InstanceId leader_;
  uint64_t term_ = 0;
  Instant next_renewal_;
  Instant last_contact_;
  Instant last_sent_;
  // Replies to renewals sent before this are not accepted: the server has lost its grants since.
  Instant oldest_acceptable_;
  Instant last_accepted_sent_;

  ServerState observed_ = ServerState::kUnknown;  // As the shell reports it.
  ServerState reported_ = ServerState::kUnknown;  // As the leader is told.
  LoadReport load_;
  std::optional<int64_t> wanted_table_since_;
  std::vector<InstanceId> leaving_notices_;
  Instant platform_contact_;  // When the platform last answered; the epoch when never.
  bool follow_platform_ = false;
  bool leaving_ = false;
  bool departed_ = false;
};

}  // namespace runshelf::coordination
