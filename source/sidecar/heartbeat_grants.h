// Grants of keys that travel in the answers to a worker's heartbeats.
//
// Free of input and output. The answer lists all keys that the worker is to hold; what is missing
// the worker lets go, and its next heartbeats say when that is done. A worker sends one heartbeat
// at a time, each with a higher sequence, and takes no answer later than kAnswerWindow after it
// sent the heartbeat. From that follows:
//
// - A shard may be held until `hold` after the answer was written: the worker counts from the
//   sending of its heartbeat, which came before.
// - It is certainly held, if the answer arrives, until kAnswerWindow less than that.
// - It is certainly let go once a heartbeat after the one whose answer left it out reports no key
//   of it, or once the last lease that listed it has run out.
#pragma once

#include <functional>
#include <optional>

#include "source/sidecar/held_shard.h"
#include "source/sidecar/wire_format.h"

namespace runshelf::sidecar {

// A worker takes no answer that comes later after its heartbeat was sent; the platform's bound.
constexpr Duration kAnswerWindow = std::chrono::seconds(1);

class HeartbeatGrants {
 public:
  explicit HeartbeatGrants(const WireFormat& wire) : wire_(wire) {}

  // Notes what the worker's newest heartbeat says. Returns true when a shard of `shards` was
  // released or is held under a higher token, so that the map has to follow.
  bool OnReport(const WorkerHeartbeat& heartbeat, HeldShards* shards);

  using ShardPredicate = std::function<bool(const sharding::Shard&)>;

  // The lease that answers `heartbeat`, the newest of its worker, at `now`. Shards for which
  // `must_move` holds are left out from here on, those for which `settled` does not hold are left
  // out of this answer. Rows that do not fit into one answer are left out too, those that the
  // worker does not hold yet first.
  KeyLease MakeLease(const WorkerHeartbeat& heartbeat, Instant now, Duration hold,
                     const ShardPredicate& must_move, const ShardPredicate& settled,
                     HeldShards* shards);

  // The highest token that the worker reported on keys of the shards.
  sharding::FencingToken highest_token_seen() const { return highest_token_seen_; }
  // Rows that did not fit, of all answers.
  uint64_t rows_omitted() const { return rows_omitted_; }

 private:
  bool Fits(const std::vector<LeasedKeys>& rows) const;
  void OmitRowsThatDoNotFit(const WorkerHeartbeat& heartbeat, std::vector<HeldShard*>* listed);

  const WireFormat& wire_;
  sharding::FencingToken highest_token_seen_ = 0;
  uint64_t rows_omitted_ = 0;
};

}  // namespace runshelf::sidecar
