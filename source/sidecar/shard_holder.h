// Keeps the worker of this machine in possession of the keys that the shard map gives it, and hands
// them over when the map, a drain or a stop says so.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "source/http/call_set.h"
#include "source/sharding/key_load.h"
#include "source/sharding/shard_map.h"
#include "source/sidecar/conflict_backoff.h"
#include "source/sidecar/former_grants.h"
#include "source/sidecar/heartbeat_grants.h"
#include "source/sidecar/held_shard.h"
#include "source/sidecar/key_lessor.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/shard_store.h"
#include "source/sidecar/wire_format.h"
#include "source/sidecar/worker_gate.h"
#include "source/sidecar/worker_proof.h"
#include "source/store/store_operations.h"

namespace runshelf::sidecar {

struct ShardHolderConfig {
  std::string node;
  event::Endpoint worker;
  Duration hold = std::chrono::seconds(3);  // Of one grant call; at most what the fleet allows.
  // Of a grant that travels in a heartbeat: at most what the fleet allows and the node's lease
  // lasts. Long, so that a worker keeps its keys while its heartbeats are cut off for a while.
  Duration heartbeat_hold = std::chrono::seconds(8);
  // Without a heartbeat for so long, a worker counts as cut off from this node.
  Duration heartbeat_silence = std::chrono::milliseconds(2500);
  Duration renewal_interval = std::chrono::seconds(1);
  // A grant or a release that got no answer is sent again after this long: the same worker may just
  // be slow, and where nothing listens, or new connections are reset, each one fails at once.
  Duration order_retry = std::chrono::milliseconds(100);
  // A worker whose grants are due and must not be repeated for so long, since another incarnation
  // may be there, gets its keys under new tokens, which any incarnation may take: a change of the
  // map. With the renewal interval it is less than a grant lasts, and more than a heartbeat takes
  // to come on most deployments, which tells mostly.
  Duration incarnation_timeout = std::chrono::milliseconds(1600);
  // Without a turn for this long, the process may have slept through the end of its worker.
  Duration pause_threshold = std::chrono::milliseconds(700);
  Duration call_timeout = std::chrono::milliseconds(400);
  // A release answers when what runs on the keys has ended.
  Duration release_timeout = std::chrono::seconds(2);
  Duration tick_interval = std::chrono::milliseconds(200);
  size_t max_concurrent_grants = 4;
  // A release only waits, for what runs on its keys; keys that must leave a busy worker leave it
  // together.
  size_t max_concurrent_releases = 32;
};

// What the holder asks of the node around it.
class ShardHolderContext {
 public:
  virtual ~ShardHolderContext() = default;
  // Until when this node may let its worker hold keys; Instant{} when it may not.
  virtual Instant AuthorityUntil() const = 0;
  // Holds as long as this life of the node is the latest one: a change of the map that it sent must
  // not be done when a later life acts on the map as it was.
  virtual store::Condition LatestRunCondition() const = 0;
  // What is known of the process at the worker's address. An order meant for a worker must not
  // reach the next one there, which would hold keys under the former's token. Asks who is there
  // when that is not known.
  virtual WorkerProof VerifyWorker() = 0;
  // The incarnation that was proven runs at this moment.
  virtual bool WorkerRuns() const = 0;
  // Incarnations of the worker may state one identity: only a connection that is open, or the
  // worker itself, tells which one is there.
  virtual bool WorkerHasIncarnationId() const = 0;
  // Makes a connection to whoever is at the worker's address, if none is idle.
  virtual void EnsureWorkerConnection() = 0;
  // An order may have met another process there, or the worker may have ended. `reason`: for the
  // log.
  virtual void InvalidateWorkerProof(const char* reason) = 0;
  // Workers that take the shards of this node when it gives all of them up, one for each; empty
  // when there is none.
  virtual std::vector<sharding::WorkerId> ChooseSuccessors(size_t shard_count) = 0;
  // The worker beside `node` that takes keys; its worker is empty when there is none.
  virtual sharding::WorkerId WorkerOf(const std::string& node) = 0;
};

class ShardHolder : public KeyAuthority, public KeyLessor {
 public:
  ShardHolder(event::EventLoop& loop, http::ConnectionPool& pool, const WireFormat& wire,
              ShardStore& shards, const FormerGrants& former_grants, ShardHolderContext& context,
              Random& random, LogWriter& log, ShardHolderConfig config);
  ~ShardHolder() override;

  // The service of the worker is divided by key.
  void SetSharded(bool sharded);
  // How the worker learns which keys it holds.
  void SetGrantDelivery(routes::GrantDelivery delivery);
  // Connections that the worker takes from all callers; zero: not known.
  void SetMaxConnections(uint32_t max_connections);
  // Identity of the worker; empty when it was looked for and none is there. `gone`: the former one
  // is certainly not running any more.
  void SetWorker(const std::string& worker_id, bool gone);
  // All shards are to be handed to others: the worker or this node is leaving.
  void SetLeaving(bool leaving);
  // The map in the store may have changed.
  void OnMapChanged();
  // The worker proved its identity: grants that waited for it are sent.
  void OnWorkerConfirmed() { Reconcile(); }
  // The worker closed a connection that no request was on: maybe it ended.
  void OnWorkerConnectionLost();

  std::optional<bool> Sharded() const override { return sharded_; }
  bool MaySend(Instant now, sharding::ShardKey key) const override;
  void OnKeyOffered(sharding::ShardKey key) override { meter_.OnRequest(key); }
  void OnKeyRefused(sharding::ShardKey key) override;

  void OnKeyReport(const WorkerHeartbeat& heartbeat) override;
  bool LeaseIsPending() const override;
  std::optional<KeyLease> LeaseFor(const WorkerHeartbeat& heartbeat) override;

  // The worker can be given keys: by calls, or its heartbeats arrive.
  bool WorkerCanReceiveKeys() const;
  sharding::KeyLoadMeter& meter() { return meter_; }
  // No shard of the map names this node as its owner.
  bool OwnsNoShards() const;
  // Workers of the service tell their incarnations, as the owners in the map show: an identity
  // without one is not whole.
  bool OwnersHaveIncarnationIds() const;
  // A grant of a shard that the worker has not released may still be in force there.
  bool WorkerMayHoldKeys() const;
  uint64_t grants_sent() const { return grants_sent_; }

 private:
  void Tick();
  void Reconcile();
  void DetectPause();
  void AdoptShards();
  void RenewGrants();
  // Whether grants under tokens that were granted before may be sent to the worker.
  bool MayRepeatGrants(WorkerProof proof);
  // The worker may have ended unnoticed.
  void SuspectEnd(const char* reason);
  void RequestNewTokens();
  // Another worker may hold the shard under a grant of a former era of the store.
  bool MayBeHeldElsewhere(const HeldShard& holding, Instant now) const;
  // The worker certainly holds all keys of the shard, which was carried over, under the tokens of
  // the former era: nobody else does.
  void InheritHold(const sharding::Shard& shard, Instant now, HeldShard* holding) const;
  void LogGrants(const std::vector<sharding::Shard>& shards);
  void SendGrant(const HeldShardKey& key, HeldShard* holding);
  // The lane of connections for grants of this shard.
  std::string GrantLane(const HeldShardKey& key) const;
  // `own_answer`: the answer cannot be that to the grant of another shard.
  void OnGrantAnswer(const HeldShardKey& key, uint64_t call, Instant sent, Duration hold,
                     bool own_answer, const std::optional<http::Response>& response);
  void ReleaseMoving();
  void SendRelease(const HeldShardKey& key, HeldShard* holding);
  void OnReleaseAnswer(const HeldShardKey& key, uint64_t call,
                       const std::optional<http::Response>& response);
  // One that takes long, or has no answer: its keys are served by nobody meanwhile.
  void LogSlowRelease(const HeldShard& holding, const std::optional<http::Response>& response);
  void CommitChanges();
  bool ReassignToOwnWorker(sharding::ShardMap* map);
  bool RenewTokens(sharding::ShardMap* map);
  bool MustRenewToken(const HeldShard& holding) const;
  bool HandOverReleased(sharding::ShardMap* map);
  size_t ReleasedCount() const;
  // How long the next change waits for others that may come with it, or for other nodes to finish
  // theirs.
  Duration CommitDelay();
  bool MustMove(const sharding::Shard& shard) const;
  // The worker beside this node owns the shard, as far as is known.
  bool OwnedByThisWorker(const HeldShard& holding) const;
  bool HasChangeToCommit() const;
  bool DividedByKey() const { return sharded_.value_or(false); }
  bool GrantsByHeartbeat() const;
  bool EarlierGrantsExpired(Instant now) const;
  // No grant of these keys that this process or an earlier life of it sent can be in force.
  bool GrantsExpired(const HeldShard& holding, Instant now) const;
  void AbandonExpiredShards();
  bool OwnedByFormerWorker(const sharding::Shard& shard) const;
  // Of grants that the worker may have when the map has its shards no more.
  void RecordOrphanedGrants(const HeldShards& wanted);
  void PruneOrphanedGrants();
  bool MayBePresent(const std::string& worker_id) const;
  bool MayBeHeldUnderOrphanedGrant(const sharding::Shard& shard) const;
  void StartCall(http::CallSet* calls, const http::Request& request, http::CallOptions options,
                 Duration timeout, http::CallSet::Callback callback);
  const HeldShard* FindHolding(sharding::ShardKey key) const;

  event::EventLoop& loop_;
  const WireFormat& wire_;
  ShardStore& shards_;
  const FormerGrants& former_grants_;
  ShardHolderContext& context_;
  Random& random_;
  LogWriter& log_;
  ShardHolderConfig config_;
  Instant started_at_;
  event::Timer timer_;
  event::Timer commit_timer_;
  sharding::KeyLoadMeter meter_;
  HeldShards holdings_;
  std::vector<OrphanedGrant>
      orphaned_grants_;  // Of the present worker, or of one that fell silent.
  http::CallSet grants_;
  http::CallSet releases_;
  HeartbeatGrants heartbeat_grants_;
  routes::GrantDelivery delivery_ = routes::GrantDelivery::kCalls;
  bool had_authority_ = false;        // Since this process started.
  Instant renewals_blocked_since_{};  // Grants are due that must not be repeated; Instant{}: none.
  Instant last_reconcile_at_{};       // The latest look at what is to be done.
  Instant heard_at_{};                // The latest heartbeat of the worker that reported keys.
  ConflictBackoff backoff_;           // Of changes of the map.
  size_t grant_lanes_ = 4;            // Shards whose grants have connections of their own.
  uint64_t order_count_ = 0;          // Grants and releases sent; numbers them.
  uint64_t grants_sent_ = 0;
  std::vector<sharding::Shard> unlogged_grants_;  // Not logged yet.
  Instant grants_logged_at_{};
  std::string worker_id_;
  bool worker_absent_ = false;           // It was looked for, and none is there.
  std::set<std::string> ended_workers_;  // Identities that are certainly not running any more.
  std::optional<bool> sharded_;          // Not known yet, while empty.
  bool leaving_ = false;
  bool reassigning_ = false;  // The latest change of the map gave shards of a former worker on.
  bool reconciling_ = false;
};

}  // namespace runshelf::sidecar
