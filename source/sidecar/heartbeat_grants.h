// Key grants that are delivered in the responses to a worker's heartbeats.
//
// Performs no I/O. Each response lists all keys that the worker is to hold; the worker releases all
// others, and its next heartbeats report when that is done. A worker sends one heartbeat at a time,
// each with a higher sequence number, and ignores a response that arrives more than kAnswerWindow
// after it sent the heartbeat. It follows that:
//
// - A shard may be held until `hold` after the response was written, because the worker counts from
//   when it sent the heartbeat, which was earlier.
// - If the response arrives, the shard is held at least until kAnswerWindow before that time.
// - The shard is released once a heartbeat sent after the one whose response omitted it reports
//   none of its keys, or once the last lease that listed it has expired.
#pragma once

#include <functional>
#include <optional>

#include "source/sidecar/held_shard.h"
#include "source/sidecar/wire_format.h"

namespace runshelf::sidecar {

// A worker ignores a response that arrives later than this after it sent the heartbeat. Defined by
// the platform.
constexpr Duration kAnswerWindow = std::chrono::seconds(1);

// Builds the leases for one worker's heartbeats and tracks from its reports which shards it holds.
// Not thread-safe.
class HeartbeatGrants {
 public:
  explicit HeartbeatGrants(const WireFormat& wire) : wire_(wire) {}

  // Updates `shards` from the worker's newest heartbeat. Returns true when a shard was released, is
  // held under a higher token or was not accepted, so that the map has to be changed.
  bool OnReport(const WorkerHeartbeat& heartbeat, HeldShards* shards);

  using ShardPredicate = std::function<bool(const sharding::Shard&)>;

  // Builds the lease for the response, written at `now`, to `heartbeat`, the newest of its worker.
  // `hold` is the duration of the lease. Shards for which `must_move` returns true are omitted from
  // now on; shards for which `settled` returns false are omitted from this response only. Rows that
  // exceed the size limit of a response are omitted too, starting with those that the worker does
  // not hold yet.
  KeyLease MakeLease(const WorkerHeartbeat& heartbeat, Instant now, Duration hold,
                     const ShardPredicate& must_move, const ShardPredicate& settled,
                     HeldShards* shards);

  // The highest token that the worker has reported for any key of the shards.
  sharding::FencingToken highest_token_seen() const { return highest_token_seen_; }
  // Total number of rows omitted because of the size limit of a response.
  uint64_t rows_omitted() const { return rows_omitted_; }

 private:
  bool Fits(const std::vector<LeasedKeys>& rows) const;
  void OmitRowsThatDoNotFit(const WorkerHeartbeat& heartbeat, std::vector<HeldShard*>* listed);

  const WireFormat& wire_;
  sharding::FencingToken highest_token_seen_ = 0;
  uint64_t rows_omitted_ = 0;
};

}  // namespace runshelf::sidecar
