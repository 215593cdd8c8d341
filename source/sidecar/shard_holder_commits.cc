// The part of ShardHolder that commits changes of this node's shards to the shard map.

#include <algorithm>
#include <string_view>
#include <vector>

#include "source/sidecar/shard_holder.h"

namespace runshelf::sidecar {
namespace {

constexpr Duration kCommitRetry = std::chrono::milliseconds(50);
// Longer than it takes another node to write a handover and the map to arrive.
constexpr Duration kReportedHandoverTime = std::chrono::seconds(1);

}  // namespace

// Waits longer while reassigning shards of a former worker, as the planner reassigns the shards of
// all replaced workers in one change.
Duration ShardHolder::CommitDelay() { return backoff_.Wait(random_, reassigning_); }

void ShardHolder::CommitChanges() {
  if (!DividedByKey() || shards_.map().empty() || !shards_.IsOfCurrentEra()) return;
  if (shards_.busy()) {
    commit_timer_.Start(kCommitRetry);
    return;
  }
  if (ReportHandovers()) return;
  sharding::ShardMap changed = shards_.map();
  const bool reassigned = ReassignToOwnWorker(&changed);
  const bool renewed = RenewTokens(&changed);
  const bool handed_over = HandOverReleased(&changed);
  if (!reassigned && !renewed && !handed_over) return;
  const size_t released = HandoversDue();
  const std::string_view purpose =
      reassigned || renewed ? "shard_map_own_worker" : "shard_map_own_handover";
  shards_.Replace(changed, purpose, {context_.LatestRunCondition()},
                  [this, reassigned, renewed, released](ShardStore::Outcome outcome) {
                    log_.Write(LogLevel::kInfo, "shards_changed",
                               {{"committed", outcome == ShardStore::Outcome::kCommitted},
                                {"known", outcome != ShardStore::Outcome::kUnknown},
                                {"revision", store::RevisionText(shards_.revision())},
                                {"reassigned", reassigned},
                                {"renewed", renewed},
                                {"released", released}});
                    reassigning_ = reassigned;
                    if (outcome == ShardStore::Outcome::kConflict) {
                      backoff_.OnConflict();
                    } else {
                      backoff_.ResetConflicts();
                    }
                    if (outcome == ShardStore::Outcome::kUnknown) commit_timer_.Start(kCommitRetry);
                    Reconcile();
                  });
}

// Assigns the shards of a former worker of this machine to the current one, or gives them up.
bool ShardHolder::ReassignToOwnWorker(sharding::ShardMap* map) {
  bool changed = false;
  sharding::FencingToken token = 0;
  for (sharding::Shard& shard : map->shards()) {
    if (!OwnedByFormerWorker(shard)) continue;
    if (!changed) token = map->NextToken();
    changed = true;
    // The owner may be the current worker if its incarnation was not known, and the current worker
    // may hold keys that another node attributes to its predecessor. Such keys are assigned to the
    // current worker under a new token and then released as usual. Giving them up immediately would
    // leave them with two holders until the grant expires, up to 10 s.
    const bool may_be_here = shard.owner.worker == wire_.StatedIdentity(worker_id_) ||
                             MayBeHeldUnderOrphanedGrant(shard);
    if (worker_id_.empty() || (leaving_ && !may_be_here)) {
      shard.owner.worker.clear();
      shard.handover.clear();
      shard.move_to_node.clear();
    } else {
      sharding::ShardMap::Assign(&shard, {config_.node, worker_id_}, token, "");
    }
  }
  if (changed) {
    log_.Write(LogLevel::kInfo, "shards_reassigned",
               {{"worker", worker_id_}, {"token", token}, {"leaving", leaving_}});
  }
  return changed;
}

// Whether the shard needs a higher token, because its current one must not be granted again or
// because a change that takes the shard away got no response. The new change settles both cases.
bool ShardHolder::MustRenewToken(const HeldShard& holding) const {
  if (holding.worker_id != worker_id_) return false;
  if (holding.superseded) return true;
  return !holding.releasing && !shards_.busy() && !shards_.Settled(holding.shard);
}

bool ShardHolder::RenewTokens(sharding::ShardMap* map) {
  bool changed = false;
  sharding::FencingToken token = 0;
  if (GrantsByHeartbeat()) map->RaiseLastToken(heartbeat_grants_.highest_token_seen());
  for (sharding::Shard& shard : map->shards()) {
    const auto found = holdings_.find({shard.first, shard.last, shard.token});
    if (found == holdings_.end() || !MustRenewToken(found->second)) continue;
    if (!changed) token = map->NextToken();
    changed = true;
    sharding::ShardMap::Assign(&shard, shard.owner, token, shard.handover);
  }
  return changed;
}

bool ShardHolder::HandOverReleased(sharding::ShardMap* map) {
  const size_t released = HandoversDue();
  if (released == 0) return false;
  const bool abandoned = std::any_of(holdings_.begin(), holdings_.end(),
                                     [](const auto& entry) { return entry.second.abandoned; });
  const std::vector<sharding::WorkerId> successors = leaving_ || abandoned
                                                         ? context_.ChooseSuccessors(released)
                                                         : std::vector<sharding::WorkerId>();
  bool changed = false;
  sharding::FencingToken token = 0;
  size_t next = 0;
  for (sharding::Shard& shard : map->shards()) {
    const auto found = holdings_.find({shard.first, shard.last, shard.token});
    if (found == holdings_.end() || !HasHandoverDue(found->second)) continue;
    if (shard.owner.node != config_.node) continue;
    if (!changed) token = map->NextToken();
    changed = true;
    const std::string handover = found->second.handover;
    shard.carried_over = shard.carried_over && MayBeHeldElsewhere(found->second, loop_.Now());
    HandOver(SuccessorOf(shard, successors, &next), token, handover, &shard);
  }
  return changed;
}

sharding::WorkerId ShardHolder::SuccessorOf(const sharding::Shard& shard,
                                            const std::vector<sharding::WorkerId>& successors,
                                            size_t* next) const {
  sharding::WorkerId successor = context_.WorkerOf(shard.move_to_node);
  if (successor.worker.empty() && !successors.empty()) {
    successor = successors[(*next)++ % successors.size()];
  }
  // No other worker accepts it: it stays here under a new token.
  if (successor.worker.empty() && !leaving_) successor = {config_.node, worker_id_};
  return successor;
}

bool ShardHolder::HasHandoverDue(const HeldShard& holding) const {
  return holding.released && loop_.Now() >= holding.reported_until;
}

size_t ShardHolder::HandoversDue() const {
  return static_cast<size_t>(
      std::count_if(holdings_.begin(), holdings_.end(),
                    [this](const auto& entry) { return HasHandoverDue(entry.second); }));
}

// A single node's change conflicts with no other.
bool ShardHolder::SeveralNodesHandOver() const {
  const auto& shards = shards_.map().shards();
  return std::any_of(shards.begin(), shards.end(), [this](const sharding::Shard& shard) {
    return !shard.move_to_node.empty() && shard.owner.node != config_.node;
  });
}

// A node that leaves waits for its change, and other changes need the state of this node.
bool ShardHolder::ReportHandovers() {
  if (leaving_ || loop_.Now() < reports_refused_until_ || shards_.map().HasCarriedOver() ||
      OwnsShardsOfFormerWorker() || !SeveralNodesHandOver()) {
    return false;
  }
  HandoverReport report;
  std::vector<HeldShardKey> keys;
  size_t next = 0;
  for (const auto& [key, holding] : holdings_) {
    if (holding.abandoned || MustRenewToken(holding)) return false;
    if (!HasHandoverDue(holding)) continue;
    const sharding::Shard& shard = holding.shard;
    keys.push_back(key);
    report.shards.push_back(
        {shard.first, shard.last, shard.token, SuccessorOf(shard, {}, &next), holding.handover});
  }
  if (keys.empty()) return false;
  report.node = config_.node;
  report.service = config_.service;
  report.era = shards_.era();
  report.latest_run = context_.LatestRunCondition();
  report.highest_token_seen = heartbeat_grants_.highest_token_seen();
  for (const HeldShardKey& key : keys) {
    holdings_.at(key).reported_until = loop_.Now() + kReportedHandoverTime;
  }
  if (context_.ReportHandover(report,
                              [this, keys](bool written) { OnHandoversReported(keys, written); })) {
    return true;
  }
  for (const HeldShardKey& key : keys) holdings_.at(key).reported_until = Instant{};
  return false;
}

// A handover that was written is left out until the map that contains it arrives.
void ShardHolder::OnHandoversReported(const std::vector<HeldShardKey>& keys, bool written) {
  if (written) return;
  reports_refused_until_ = loop_.Now() + kReportedHandoverTime;
  for (const HeldShardKey& key : keys) {
    const auto found = holdings_.find(key);
    if (found != holdings_.end()) found->second.reported_until = Instant{};
  }
  Reconcile();
}

}  // namespace runshelf::sidecar
