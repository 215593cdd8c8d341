// The part of ShardHolder that commits changes of this node's shards to the shard map.

#include <algorithm>
#include <vector>

#include "source/sidecar/shard_holder.h"

namespace runshelf::sidecar {
namespace {

constexpr Duration kCommitRetry = std::chrono::milliseconds(50);
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
  sharding::ShardMap changed = shards_.map();
  const bool reassigned = ReassignToOwnWorker(&changed);
  const bool renewed = RenewTokens(&changed);
  const bool handed_over = HandOverReleased(&changed);
  if (!reassigned && !renewed && !handed_over) return;
  const size_t released = ReleasedCount();
  shards_.Replace(changed, "shard_map_own_worker", {context_.LatestRunCondition()},
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
  const size_t released = ReleasedCount();
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
    if (found == holdings_.end() || !found->second.released) continue;
    if (shard.owner.node != config_.node) continue;
    if (!changed) token = map->NextToken();
    changed = true;
    sharding::WorkerId successor = context_.WorkerOf(shard.move_to_node);
    if (successor.worker.empty() && !successors.empty()) {
      successor = successors[next++ % successors.size()];
    }
    if (successor.worker.empty() && !leaving_) {
      // No other worker accepts it: it stays here under a new token.
      successor = {config_.node, worker_id_};
    }
    const std::string handover = found->second.handover;
    shard.carried_over = shard.carried_over && MayBeHeldElsewhere(found->second, loop_.Now());
    if (successor.worker.empty()) {
      shard.owner.worker.clear();
      shard.handover = handover;
      shard.move_to_node.clear();
    } else {
      sharding::ShardMap::Assign(&shard, successor, token, handover);
    }
  }
  return changed;
}

size_t ShardHolder::ReleasedCount() const {
  return static_cast<size_t>(std::count_if(
      holdings_.begin(), holdings_.end(), [](const auto& entry) { return entry.second.released; }));
}

}  // namespace runshelf::sidecar
