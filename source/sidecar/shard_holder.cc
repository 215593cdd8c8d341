#include "source/sidecar/shard_holder.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace runshelf::sidecar {
namespace {

// Maximum number of key ranges in one log line.
constexpr size_t kMaxRangesLogged = 8;

std::string KeyRanges(const std::vector<sharding::Shard>& shards) {
  std::string text;
  for (size_t index = 0; index < std::min(shards.size(), kMaxRangesLogged); ++index) {
    if (index > 0) text += ',';
    text += std::to_string(shards[index].first) + '-' + std::to_string(shards[index].last);
  }
  return text;
}

}  // namespace

ShardHolder::ShardHolder(event::EventLoop& loop, http::ConnectionPool& pool, const WireFormat& wire,
                         ShardStore& shards, const FormerGrants& former_grants,
                         ShardHolderContext& context, Random& random, LogWriter& log,
                         ShardHolderConfig config)
    : loop_(loop),
      wire_(wire),
      shards_(shards),
      former_grants_(former_grants),
      context_(context),
      random_(random),
      log_(log),
      config_(std::move(config)),
      started_at_(loop.Now()),
      timer_(loop, [this] { Tick(); }),
      commit_timer_(loop, [this] { CommitChanges(); }),
      grants_(loop, pool),
      releases_(loop, pool),
      heartbeat_grants_(wire) {}

ShardHolder::~ShardHolder() = default;

void ShardHolder::SetSharded(bool sharded) {
  if (sharded == sharded_) return;
  sharded_ = sharded;
  if (sharded) {
    Tick();
  } else {
    timer_.Stop();
  }
}

void ShardHolder::SetGrantDelivery(routes::GrantDelivery delivery) {
  if (delivery == delivery_) return;
  delivery_ = delivery;
  heard_at_ = loop_.Now();
  Reconcile();
}

void ShardHolder::SetWorker(const std::string& worker_id, bool gone) {
  const bool absent = worker_id.empty();
  if (worker_id == worker_id_ && absent == worker_absent_) return;
  worker_absent_ = absent;
  heard_at_ = loop_.Now();
  if (gone && !worker_id_.empty()) ended_workers_.insert(worker_id_);
  ended_workers_.erase(worker_id);
  worker_id_ = worker_id;
  std::erase_if(orphaned_grants_,
                [this](const OrphanedGrant& grant) { return !MayBePresent(grant.worker_id); });
  renewals_blocked_since_ = Instant{};
  Reconcile();
}

void ShardHolder::SetLeaving(bool leaving) {
  if (leaving == leaving_) return;
  leaving_ = leaving;
  Reconcile();
}

void ShardHolder::OnMapChanged() { Reconcile(); }

void ShardHolder::Tick() {
  timer_.Start(config_.tick_interval);
  Reconcile();
  LogGrants({});
}

void ShardHolder::Reconcile() {
  if (!DividedByKey() || reconciling_) return;
  DetectPause();
  reconciling_ = true;
  PruneOrphanedGrants();
  AdoptShards();
  // Shards in the map before this run first had authority may have been granted by the previous
  // run of this process.
  had_authority_ = had_authority_ || context_.AuthorityUntil() > loop_.Now();
  if (GrantsByHeartbeat()) {
    AbandonExpiredShards();
  } else {
    RenewGrants();
    ReleaseMoving();
  }
  reconciling_ = false;
  if (HasChangeToCommit() && !commit_timer_.active()) commit_timer_.Start(CommitDelay());
}

void ShardHolder::OnWorkerConnectionLost() { SuspectEnd("idle-connection-lost"); }

// Not needed for workers whose id contains an incarnation: those are verified before each renewal.
void ShardHolder::SuspectEnd(const char* reason) {
  if (!DividedByKey() || GrantsByHeartbeat() || context_.WorkerHasIncarnationId()) return;
  context_.InvalidateWorkerProof(reason);
}

void ShardHolder::DetectPause() {
  const Instant now = loop_.Now();
  const bool paused =
      last_reconcile_at_ != Instant{} && now - last_reconcile_at_ > config_.pause_threshold;
  last_reconcile_at_ = now;
  if (paused) SuspectEnd("process-paused");
}

bool ShardHolder::HasChangeToCommit() const {
  const bool found = std::any_of(holdings_.begin(), holdings_.end(), [this](const auto& entry) {
    return HasHandoverDue(entry.second) || MustRenewToken(entry.second);
  });
  return found || OwnsShardsOfFormerWorker();
}

bool ShardHolder::OwnsShardsOfFormerWorker() const {
  const auto& shards = shards_.map().shards();
  return std::any_of(shards.begin(), shards.end(),
                     [this](const sharding::Shard& shard) { return OwnedByFormerWorker(shard); });
}

// Whether the shard's owner is a former worker of this machine that certainly no longer holds it.
bool ShardHolder::OwnedByFormerWorker(const sharding::Shard& shard) const {
  if (shard.owner.node != config_.node || shard.owner.worker.empty()) return false;
  if (shard.owner.worker == worker_id_) return false;
  // The current worker's incarnation is not known yet: it may be the owner.
  if (worker_id_ == wire_.StatedIdentity(shard.owner.worker)) return false;
  // There is only one worker on a machine, so the presence of another shows that the former ended.
  if (!worker_id_.empty() || ended_workers_.contains(shard.owner.worker)) return true;
  // While the search for the worker is not finished, it may be found at any moment.
  if (!worker_absent_) return false;
  // The worker stopped responding: its grants, including those of an earlier run of this process,
  // must have expired.
  const Instant now = loop_.Now();
  const auto found = holdings_.find({shard.first, shard.last, shard.token});
  const bool grant_out = found != holdings_.end() ? now <= found->second.held_until
                                                  : MayBeHeldUnderOrphanedGrant(shard);
  return !grant_out && EarlierGrantsExpired(now);
}

bool ShardHolder::GrantsExpired(const HeldShard& holding, Instant now) const {
  return now > holding.held_until && !MayBeHeldUnderOrphanedGrant(holding.shard) &&
         EarlierGrantsExpired(now);
}

// Whether all grants that an earlier run of this process gave have expired.
bool ShardHolder::EarlierGrantsExpired(Instant now) const {
  const Duration hold = GrantsByHeartbeat() ? config_.heartbeat_hold : config_.hold;
  return now > started_at_ + hold + hold / kClockRateDivisor + config_.call_timeout;
}

// Synchronizes the holdings with the map: adds new shards and removes lost ones.
void ShardHolder::AdoptShards() {
  HeldShards wanted;
  for (const sharding::Shard& shard : shards_.map().shards()) {
    if (shard.owner.node != config_.node || shard.owner.worker.empty()) continue;
    const HeldShardKey key(shard.first, shard.last, shard.token);
    HeldShard holding;
    if (!had_authority_) holding.token_use = TokenUse::kMaybeByEarlierRun;
    if (const auto known = holdings_.find(key); known != holdings_.end()) {
      holding = known->second;
    } else if (const HeldShard* parent = FindHolding(shard.first);
               parent != nullptr && parent->shard.token == shard.token &&
               parent->shard.last >= shard.last && !parent->releasing) {
      // The shard was split: its parts inherit the state of the whole.
      holding.usable_until = parent->usable_until;
      holding.held_until = parent->held_until;
      holding.leased = parent->leased;
      holding.token_use = parent->token_use;
      holding.held_since_former_era = parent->held_since_former_era;
    } else if (shard.carried_over) {
      InheritHold(shard, loop_.Now(), &holding);
    }
    if (holding.worker_id != shard.owner.worker) holding.worker_id = shard.owner.worker;
    holding.shard = shard;
    wanted[key] = std::move(holding);
  }
  RecordOrphanedGrants(wanted);
  holdings_ = std::move(wanted);
}

void ShardHolder::InheritHold(const sharding::Shard& shard, Instant now, HeldShard* holding) const {
  Instant usable_until = Instant::max();
  Instant held_until{};
  uint32_t next_key = shard.first;
  for (const auto& [key, former] : holdings_) {
    if (former.shard.last < next_key || next_key > shard.last) continue;
    const bool held = former.shard.first <= next_key && former.worker_id == shard.owner.worker &&
                      !former.releasing && former.usable_until > now;
    if (!held) return;
    usable_until = std::min(usable_until, former.usable_until);
    held_until = std::max(held_until, former.held_until);
    next_key = former.shard.last + 1;
  }
  if (next_key <= shard.last) return;
  holding->usable_until = usable_until;
  holding->held_until = held_until;
  holding->held_since_former_era = true;
}

bool ShardHolder::MayBeHeldElsewhere(const HeldShard& holding, Instant now) const {
  return holding.shard.carried_over && !holding.held_since_former_era &&
         former_grants_.MayBeInForce(now);
}

void ShardHolder::RecordOrphanedGrants(const HeldShards& wanted) {
  const Instant now = loop_.Now();
  for (const auto& [key, holding] : holdings_) {
    if (wanted.contains(key) || holding.released || holding.held_until < now) continue;
    if (!MayBePresent(holding.worker_id)) continue;
    orphaned_grants_.push_back(
        {holding.worker_id, holding.shard.first, holding.shard.last, holding.held_until});
  }
}

// Whether `worker_id` may be the worker that is present now, whose incarnation may not be known.
bool ShardHolder::MayBePresent(const std::string& worker_id) const {
  if (worker_id_.empty()) return !ended_workers_.contains(worker_id);
  return worker_id == worker_id_ || worker_id == wire_.StatedIdentity(worker_id_) ||
         worker_id_ == wire_.StatedIdentity(worker_id);
}

// Removes the grants that have expired or whose keys the worker has released since.
void ShardHolder::PruneOrphanedGrants() {
  const Instant now = loop_.Now();
  std::erase_if(orphaned_grants_, [&](const OrphanedGrant& grant) {
    if (grant.held_until < now) return true;
    const HeldShard* holding = FindHolding(grant.first);
    return holding != nullptr && holding->released && holding->shard.Contains(grant.last);
  });
}

bool ShardHolder::MayBeHeldUnderOrphanedGrant(const sharding::Shard& shard) const {
  const Instant now = loop_.Now();
  return std::any_of(
      orphaned_grants_.begin(), orphaned_grants_.end(),
      [&](const OrphanedGrant& grant) { return now <= grant.held_until && grant.Overlaps(shard); });
}

bool ShardHolder::MustMove(const sharding::Shard& shard) const {
  return leaving_ || !shard.move_to_node.empty();
}

// While a change that takes the shard away is in progress, or its outcome is unknown, the current
// map cannot be relied on: the change may be executed at any moment.
bool ShardHolder::OwnedByThisWorker(const HeldShard& holding) const {
  return holding.worker_id == worker_id_ && shards_.Settled(holding.shard);
}

void ShardHolder::RenewGrants() {
  const Instant now = loop_.Now();
  if (worker_id_.empty() || context_.AuthorityUntil() <= now + kMinHold) return;
  const WorkerProof proof = context_.VerifyWorker();
  if (proof == WorkerProof::kNone) return;
  std::optional<bool> may_repeat;  // Computed when first needed.
  std::vector<sharding::Shard> newly_granted;
  for (auto& [key, holding] : holdings_) {
    if (grants_.size() >= config_.max_concurrent_grants) break;
    if (holding.call != 0 || holding.releasing || holding.superseded) continue;
    if (!OwnedByThisWorker(holding)) continue;
    // Shards that are to move, or that another worker may still hold, are not granted.
    if (MustMove(holding.shard) || MayBeHeldElsewhere(holding, now)) continue;
    const bool held = holding.usable_until > now;
    if (now < holding.retry_at) continue;
    const bool repeats = holding.token_use != TokenUse::kNone;
    if (repeats && !may_repeat.has_value()) may_repeat = MayRepeatGrants(proof);
    if (repeats && !*may_repeat) {
      // After a start of the node without a prior handover, a new token costs one change of the
      // map; verifying the incarnation instead would take two heartbeats, up to 2.6 s without the
      // keys.
      if (holding.token_use == TokenUse::kMaybeByEarlierRun) holding.superseded = true;
      continue;
    }
    if (held && now - holding.sent_at < config_.renewal_interval) continue;
    if (!held) newly_granted.push_back(holding.shard);
    SendGrant(key, &holding);
  }
  LogGrants(newly_granted);
}

bool ShardHolder::MayRepeatGrants(WorkerProof proof) {
  // The verification may be outdated: the worker may have ended, its successor may be listening,
  // and the events that show it may not have been processed yet. Only a connection that is open now
  // shows that the same incarnation is running.
  if (proof == WorkerProof::kIncarnation && context_.WorkerRuns()) {
    renewals_blocked_since_ = Instant{};
    return true;
  }
  const Instant now = loop_.Now();
  if (renewals_blocked_since_ == Instant{}) {
    renewals_blocked_since_ = now;
    context_.EnsureWorkerConnection();
  }
  if (now - renewals_blocked_since_ >= config_.incarnation_timeout) RequestNewTokens();
  return false;
}

void ShardHolder::RequestNewTokens() {
  renewals_blocked_since_ = Instant{};
  size_t count = 0;
  for (auto& [key, holding] : holdings_) {
    if (holding.token_use == TokenUse::kNone || holding.releasing) continue;
    if (holding.worker_id != worker_id_) continue;
    holding.superseded = true;
    ++count;
  }
  log_.Write(LogLevel::kWarning, "worker_incarnation_unknown",
             {{"worker", worker_id_}, {"shards_to_renew", count}});
}

// Logs only grants of shards that the worker is not known to hold, since renewals would add a line
// every second. Writes at most one line per tick, the first immediately.
void ShardHolder::LogGrants(const std::vector<sharding::Shard>& shards) {
  unlogged_grants_.insert(unlogged_grants_.end(), shards.begin(), shards.end());
  if (unlogged_grants_.empty() || loop_.Now() - grants_logged_at_ < config_.tick_interval) return;
  grants_logged_at_ = loop_.Now();
  log_.Write(LogLevel::kInfo, "keys_granted",
             {{"worker", worker_id_},
              {"shards", unlogged_grants_.size()},
              {"keys", KeyRanges(unlogged_grants_)},
              {"token", unlogged_grants_.front().token},
              {"revision", store::RevisionText(shards_.revision())},
              {"change_under_way", shards_.busy()}});
  unlogged_grants_.clear();
}

bool ShardHolder::MaySend(Instant now, sharding::ShardKey key) const {
  if (now >= context_.AuthorityUntil()) return false;
  const HeldShard* holding = FindHolding(key);
  return holding != nullptr && !holding->releasing && OwnedByThisWorker(*holding) &&
         now < holding->usable_until;
}

const HeldShard* ShardHolder::FindHolding(sharding::ShardKey key) const {
  auto after = holdings_.upper_bound({key, UINT32_MAX, UINT64_MAX});
  if (after == holdings_.begin()) return nullptr;
  const HeldShard& holding = std::prev(after)->second;
  return holding.shard.Contains(key) ? &holding : nullptr;
}

void ShardHolder::OnKeyRefused(sharding::ShardKey key) {
  const HeldShard* found = FindHolding(key);
  if (found == nullptr || found->releasing) return;
  // A release that was executed late has taken the keys away: grant them again.
  HeldShard& holding = holdings_.at({found->shard.first, found->shard.last, found->shard.token});
  holding.usable_until = Instant{};
  holding.sent_at = Instant{};
  Reconcile();
}

bool ShardHolder::GrantsByHeartbeat() const {
  return delivery_ == routes::GrantDelivery::kHeartbeats;
}

bool ShardHolder::WorkerCanReceiveKeys() const {
  return !GrantsByHeartbeat() || !DividedByKey() ||
         loop_.Now() - heard_at_ <= config_.heartbeat_silence;
}

void ShardHolder::OnKeyReport(const WorkerHeartbeat& heartbeat) {
  if (!GrantsByHeartbeat() || !DividedByKey() || heartbeat.worker_id != worker_id_) return;
  heard_at_ = loop_.Now();
  if (heartbeat_grants_.OnReport(heartbeat, &holdings_)) Reconcile();
}

bool ShardHolder::LeaseIsPending() const {
  if (!DividedByKey()) return false;
  // A heartbeat proves that the worker was present when its previous one was answered. If this one
  // is answered after a connection was opened, the next one proves whose connection that is.
  if (!GrantsByHeartbeat()) {
    return context_.WorkerHasIncarnationId() && context_.VerifyWorker() == WorkerProof::kNone;
  }
  if (leaving_ || shards_.map().empty()) return false;
  if (context_.AuthorityUntil() <= loop_.Now() + kMinHold) return true;
  // Shards of the worker's former incarnation are about to be reassigned to it, and shards with a
  // pending change may be about to be taken away.
  const auto& shards = shards_.map().shards();
  return std::any_of(shards.begin(), shards.end(), [this](const sharding::Shard& shard) {
    return OwnedByFormerWorker(shard) ||
           (shard.owner == sharding::WorkerId{config_.node, worker_id_} && !shards_.Settled(shard));
  });
}

std::optional<KeyLease> ShardHolder::LeaseFor(const WorkerHeartbeat& heartbeat) {
  if (!GrantsByHeartbeat() || !DividedByKey() || heartbeat.worker_id != worker_id_)
    return std::nullopt;
  // Without the map, or the authority to act on it, there is nothing to grant.
  if (shards_.map().empty()) return std::nullopt;
  const Instant now = loop_.Now();
  const Duration authority = context_.AuthorityUntil() - now;
  const Duration hold = std::min(config_.heartbeat_hold, authority - authority / kClockRateDivisor);
  if (hold < kMinHold) return std::nullopt;
  // First keys of shards that another worker may hold.
  std::set<sharding::ShardKey> held_elsewhere;
  for (const auto& [key, holding] : holdings_) {
    if (MayBeHeldElsewhere(holding, now)) held_elsewhere.insert(holding.shard.first);
  }
  // An empty lease would make the worker release keys that it may hold itself.
  if (!held_elsewhere.empty() && held_elsewhere.size() == holdings_.size()) return std::nullopt;
  ++grants_sent_;
  std::vector<HeldShardKey> lapsed;
  for (const auto& [key, holding] : holdings_) {
    if (holding.usable_until <= now) lapsed.push_back(key);
  }
  KeyLease lease = heartbeat_grants_.MakeLease(
      heartbeat, now, hold, [this](const sharding::Shard& shard) { return MustMove(shard); },
      [&](const sharding::Shard& shard) {
        return shards_.Settled(shard) && !held_elsewhere.contains(shard.first);
      },
      &holdings_);
  std::vector<sharding::Shard> newly_granted;
  for (const HeldShardKey& key : lapsed) {
    const HeldShard& holding = holdings_.at(key);
    if (holding.usable_until > now) newly_granted.push_back(holding.shard);
  }
  LogGrants(newly_granted);
  return lease;
}

// A worker whose heartbeats do not arrive cannot renew its keys; once its grants have expired, they
// may be given to other workers.
void ShardHolder::AbandonExpiredShards() {
  if (worker_id_.empty() || WorkerCanReceiveKeys()) return;
  const Instant now = loop_.Now();
  if (!EarlierGrantsExpired(now) || context_.ChooseSuccessors(1).empty()) return;
  size_t count = 0;
  for (auto& [key, holding] : holdings_) {
    if (holding.released || holding.worker_id != worker_id_ || now <= holding.held_until) continue;
    // Like any released shard, it is omitted from all further responses.
    holding.releasing = true;
    holding.released = true;
    holding.abandoned = true;
    holding.usable_until = Instant{};
    ++count;
  }
  if (count == 0) return;
  log_.Write(LogLevel::kWarning, "lapsed_shards_given_up",
             {{"worker", worker_id_},
              {"shards", count},
              {"heartbeat_age_ms", ToMilliseconds(now - heard_at_)}});
}

bool ShardHolder::OwnsNoShards() const {
  const auto& shards = shards_.map().shards();
  return std::none_of(shards.begin(), shards.end(), [this](const sharding::Shard& shard) {
    return shard.owner.node == config_.node && !shard.owner.worker.empty();
  });
}

bool ShardHolder::OwnersHaveIncarnationIds() const {
  const auto& shards = shards_.map().shards();
  return std::any_of(shards.begin(), shards.end(), [this](const sharding::Shard& shard) {
    return wire_.StatedIdentity(shard.owner.worker) != shard.owner.worker;
  });
}

bool ShardHolder::WorkerMayHoldKeys() const {
  const Instant now = loop_.Now();
  if (std::any_of(orphaned_grants_.begin(), orphaned_grants_.end(),
                  [now](const OrphanedGrant& grant) { return now <= grant.held_until; })) {
    return true;
  }
  return std::any_of(holdings_.begin(), holdings_.end(), [&](const auto& entry) {
    const HeldShard& holding = entry.second;
    return !holding.released && (now <= holding.held_until || !EarlierGrantsExpired(now));
  });
}

}  // namespace runshelf::sidecar
