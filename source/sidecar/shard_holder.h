// Grants the worker on this machine the keys that the shard map assigns to it, and hands them over
// to other workers when the map marks them for a move, or when the worker or this node leaves.
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
#include "source/sidecar/handover_report.h"
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

// Settings of a ShardHolder.
struct ShardHolderConfig {
  std::string node;
  std::string service;  // Of the worker.
  event::Endpoint worker;
  // Duration of a grant that is sent by a call; at most what the fleet allows.
  Duration hold = std::chrono::seconds(3);
  // Duration of a grant in a heartbeat response; at most what the fleet allows and no longer than
  // the node's lease. Long, so that a worker keeps its keys while its heartbeats are interrupted.
  Duration heartbeat_hold = std::chrono::seconds(8);
  // Time without a heartbeat after which a worker counts as cut off from this node.
  Duration heartbeat_silence = std::chrono::milliseconds(2500);
  Duration renewal_interval = std::chrono::seconds(1);
  // Delay before a grant or release without a response is sent again. The worker may just be slow;
  // and where nothing listens, or new connections are reset, each attempt fails immediately.
  Duration order_retry = std::chrono::milliseconds(100);
  // How long renewals may be blocked because another incarnation may be at the worker's address.
  // After that the shards get new tokens, which any incarnation may use, by a change of the map.
  // Together with the renewal interval it is shorter than a grant; and it is longer than the
  // heartbeat interval of most deployments, as a heartbeat usually identifies the incarnation.
  Duration incarnation_timeout = std::chrono::milliseconds(1600);
  // If the event loop did not run for this long, the process may have missed the end of its worker.
  Duration pause_threshold = std::chrono::milliseconds(700);
  Duration call_timeout = std::chrono::milliseconds(400);
  // A release is answered once the requests that run on its keys have ended.
  Duration release_timeout = std::chrono::seconds(2);
  Duration tick_interval = std::chrono::milliseconds(200);
  size_t max_concurrent_grants = 4;
  // A release only waits for the requests that run on its keys, so that all keys that must leave a
  // busy worker can be released at the same time.
  size_t max_concurrent_releases = 32;
};

// Interface through which ShardHolder uses its node.
class ShardHolderContext {
 public:
  virtual ~ShardHolderContext() = default;
  // Until when this node may let its worker hold keys; Instant{} if it may not.
  virtual Instant AuthorityUntil() const = 0;
  // Store condition that holds while this run of the node is the latest one. It keeps a change of
  // the map that was sent by this run from being executed once a later run acts on the old map.
  virtual store::Condition LatestRunCondition() const = 0;
  // How far the process at the worker's address has been verified; probes its identity if it has
  // not been. A grant meant for one worker must not reach its successor, which would then hold keys
  // under its predecessor's token.
  virtual WorkerProof VerifyWorker() = 0;
  // Whether the verified incarnation is running now.
  virtual bool WorkerRuns() const = 0;
  // Whether several incarnations of the worker may state the same identity, so that only an open
  // connection or the worker's own heartbeat shows which one is there.
  virtual bool WorkerHasIncarnationId() const = 0;
  // Opens a connection to the process at the worker's address, if none is idle.
  virtual void EnsureWorkerConnection() = 0;
  // Called when a grant or release may have reached another process, or the worker may have ended.
  // `reason`: for the log.
  virtual void InvalidateWorkerProof(const char* reason) = 0;
  // Workers that are to take this node's shards when it gives up all of them, one for each shard;
  // empty when there is none.
  virtual std::vector<sharding::WorkerId> ChooseSuccessors(size_t shard_count) = 0;
  // The worker on the machine of `node` if it accepts keys; else a WorkerId with an empty worker.
  virtual sharding::WorkerId WorkerOf(const std::string& node) = 0;
  // Asks the node that writes handovers for all to write this one. Returns false without calling
  // `callback` if there is none; otherwise the callback receives whether the store holds it, maybe
  // from within the call.
  virtual bool ReportHandover(const HandoverReport& report,
                              const std::function<void(bool written)>& callback) = 0;
};

// Not thread-safe. All references passed to the constructor must outlive the holder.
class ShardHolder : public KeyAuthority, public KeyLessor {
 public:
  ShardHolder(event::EventLoop& loop, http::ConnectionPool& pool, const WireFormat& wire,
              ShardStore& shards, const FormerGrants& former_grants, ShardHolderContext& context,
              Random& random, LogWriter& log, ShardHolderConfig config);
  ~ShardHolder() override;

  // Sets whether the worker's service is sharded by key.
  void SetSharded(bool sharded);
  // Sets how grants are delivered to the worker.
  void SetGrantDelivery(routes::GrantDelivery delivery);
  // Sets how many connections the worker accepts from all callers; zero: not known.
  void SetMaxConnections(uint32_t max_connections);
  // Sets the id of the worker; empty when a search found none. `gone`: the former worker has
  // certainly ended.
  void SetWorker(const std::string& worker_id, bool gone);
  // Sets whether all shards are to be handed over because the worker or this node is leaving.
  void SetLeaving(bool leaving);
  // Called when the map in the store may have changed.
  void OnMapChanged();
  // Called when the worker's identity was verified; sends the grants that waited for it.
  void OnWorkerConfirmed() { Reconcile(); }
  // Called when the worker closed an idle connection; it may have ended.
  void OnWorkerConnectionLost();

  std::optional<bool> Sharded() const override { return sharded_; }
  bool MaySend(Instant now, sharding::ShardKey key) const override;
  void OnKeyOffered(sharding::ShardKey key) override { meter_.OnRequest(key); }
  void OnKeyRefused(sharding::ShardKey key) override;

  void OnKeyReport(const WorkerHeartbeat& heartbeat) override;
  bool LeaseIsPending() const override;
  std::optional<KeyLease> LeaseFor(const WorkerHeartbeat& heartbeat) override;

  // Whether keys can be granted to the worker: by calls, or because its heartbeats arrive.
  bool WorkerCanReceiveKeys() const;
  sharding::KeyLoadMeter& meter() { return meter_; }
  // Whether no shard of the map is owned by a worker of this node.
  bool OwnsNoShards() const;
  // Whether the owners in the map show that workers of the service state their incarnations, so
  // that an identity without one is incomplete.
  bool OwnersHaveIncarnationIds() const;
  // Whether a grant of a shard that the worker has not released may still be valid.
  bool WorkerMayHoldKeys() const;
  uint64_t grants_sent() const { return grants_sent_; }

 private:
  void Tick();
  void Reconcile();
  void DetectPause();
  void AdoptShards();
  void RenewGrants();
  // Whether tokens that have been granted before may be sent to the worker again.
  bool MayRepeatGrants(WorkerProof proof);
  // Called when the worker may have ended without this process noticing.
  void SuspectEnd(const char* reason);
  void RequestNewTokens();
  // Whether another worker may hold the shard under a grant of an earlier store era.
  bool MayBeHeldElsewhere(const HeldShard& holding, Instant now) const;
  // Copies the deadlines of the earlier era's grants to the carried-over shard if the worker
  // certainly holds all its keys under that era's tokens, so that no other worker does.
  void InheritHold(const sharding::Shard& shard, Instant now, HeldShard* holding) const;
  void LogGrants(const std::vector<sharding::Shard>& shards);
  void SendGrant(const HeldShardKey& key, HeldShard* holding);
  // Name of the connection lane that is used for grants of this shard.
  std::string GrantLane(const HeldShardKey& key) const;
  // `own_answer`: the response cannot belong to the grant of another shard.
  void OnGrantAnswer(const HeldShardKey& key, uint64_t call, Instant sent, Duration hold,
                     bool own_answer, const std::optional<http::Response>& response);
  void ReleaseMoving();
  void SendRelease(const HeldShardKey& key, HeldShard* holding);
  void OnReleaseAnswer(const HeldShardKey& key, uint64_t call,
                       const std::optional<http::Response>& response);
  // Logs a release that takes long or got no response: no worker serves its keys meanwhile.
  void LogSlowRelease(const HeldShard& holding, const std::optional<http::Response>& response);
  void CommitChanges();
  bool ReassignToOwnWorker(sharding::ShardMap* map);
  bool RenewTokens(sharding::ShardMap* map);
  bool MustRenewToken(const HeldShard& holding) const;
  bool HandOverReleased(sharding::ShardMap* map);
  // The shard was released, and no other node is expected to write its handover.
  bool HasHandoverDue(const HeldShard& holding) const;
  size_t HandoversDue() const;
  // The worker that gets a released shard. `next`: index among `successors`.
  sharding::WorkerId SuccessorOf(const sharding::Shard& shard,
                                 const std::vector<sharding::WorkerId>& successors,
                                 size_t* next) const;
  // Lets another node write the handovers that are due, if several nodes hand over shards at the
  // same time. Returns false if this node must write them.
  bool ReportHandovers();
  bool SeveralNodesHandOver() const;
  void OnHandoversReported(const std::vector<HeldShardKey>& keys, bool written);
  // Delay before the next change, so that further changes can be committed with it or other nodes
  // can finish theirs.
  Duration CommitDelay();
  bool MustMove(const sharding::Shard& shard) const;
  // Whether the worker on this machine owns the shard and no pending change can take it away.
  bool OwnedByThisWorker(const HeldShard& holding) const;
  bool HasChangeToCommit() const;
  bool DividedByKey() const { return sharded_.value_or(false); }
  bool GrantsByHeartbeat() const;
  bool EarlierGrantsExpired(Instant now) const;
  // Whether all grants of these keys, by this or an earlier run of this process, have expired.
  bool GrantsExpired(const HeldShard& holding, Instant now) const;
  void AbandonExpiredShards();
  bool OwnedByFormerWorker(const sharding::Shard& shard) const;
  bool OwnsShardsOfFormerWorker() const;
  // Records the grants that may still be valid for shards that are no longer wanted here.
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
  // Grants of the current worker, or of one that stopped responding.
  std::vector<OrphanedGrant> orphaned_grants_;
  http::CallSet grants_;
  http::CallSet releases_;
  HeartbeatGrants heartbeat_grants_;
  routes::GrantDelivery delivery_ = routes::GrantDelivery::kCalls;
  bool had_authority_ = false;  // Whether AuthorityUntil() was ever in the future in this run.
  Instant renewals_blocked_since_{};  // Since when due renewals are blocked; Instant{}: none is.
  Instant last_reconcile_at_{};       // Time of the latest call of Reconcile().
  Instant heard_at_{};                // Time of the worker's latest heartbeat with reported keys.
  ConflictBackoff backoff_;           // For changes of the map.
  Instant reports_refused_until_{};   // Until then this node writes its handovers itself.
  size_t grant_lanes_ = 4;            // Number of shards whose grants have dedicated connections.
  uint64_t order_count_ = 0;          // Grants and releases sent; the source of call numbers.
  uint64_t grants_sent_ = 0;
  std::vector<sharding::Shard> unlogged_grants_;  // New grants that have not been logged yet.
  Instant grants_logged_at_{};
  std::string worker_id_;
  bool worker_absent_ = false;           // A search found no worker.
  std::set<std::string> ended_workers_;  // Ids of workers that have certainly ended.
  std::optional<bool> sharded_;          // Empty while not known.
  bool leaving_ = false;
  bool reassigning_ = false;  // The latest change of the map reassigned a former worker's shards.
  bool reconciling_ = false;  // Guards against re-entry of Reconcile().
};

}  // namespace runshelf::sidecar
