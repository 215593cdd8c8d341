// State of the shards that are assigned to the local worker: grants sent, releases and deadlines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "runshelf/common/clock.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sidecar {

// Whether a grant with a shard's token has been sent. Such a token must not reach another
// incarnation of the worker, which would then hold keys under its predecessor's token.
enum class TokenUse {
  kNone,
  kByThisProcess,
  kMaybeByEarlierRun,  // By the previous run of this process.
};

// One shard that the map assigns to the local worker.
struct HeldShard {
  sharding::Shard shard;
  std::string worker_id;
  Instant usable_until{};     // The worker is guaranteed to hold the keys until then.
  Instant held_until{};       // The worker may hold the keys until then.
  Instant sent_at{};          // When the latest grant call was sent.
  Instant release_sent_at{};  // When the first release call was sent.
  Instant retry_at{};         // Earliest time of the next call after one without a response.
  uint64_t call = 0;          // Number of the call in progress; zero: none.
  TokenUse token_use = TokenUse::kNone;
  bool releasing = false;
  bool released = false;
  bool refusal_unverified = false;  // The latest refusal may belong to another shard's grant.
  bool superseded = false;          // The shard needs a new token before it is granted again.
  bool abandoned = false;  // Taken back after its grant expired, since the worker cannot renew it.
  // For a shard that was carried over into a new store era: the worker held it before and has held
  // it ever since.
  bool held_since_former_era = false;
  std::string handover;  // Handover value that the worker returned with the release.
  // Until then another node is expected to write the handover to the map.
  Instant reported_until{};
  // Used only when grants are delivered in heartbeats:
  bool leased = false;   // A lease that lists the shard was sent.
  uint32_t missing = 0;  // Consecutive heartbeats that did not report it although it was leased.
  int64_t omitted_at_sequence = 0;  // Sequence of the heartbeat whose response first omitted it.
};

// A grant that may still be valid at the worker although its shard is no longer among the shards
// held here. This happens when a node with an outdated view assigns the shard to a former worker of
// this machine.
struct OrphanedGrant {
  std::string worker_id;
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;
  Instant held_until{};

  bool Overlaps(const sharding::Shard& shard) const {
    return first <= shard.last && shard.first <= last;
  }
};

// First key, last key and token of a shard.
using HeldShardKey = std::tuple<sharding::ShardKey, sharding::ShardKey, sharding::FencingToken>;
// Sorted by key; shards do not overlap.
using HeldShards = std::map<HeldShardKey, HeldShard>;

// A worker's clock rate may be off by at most one part in this many: the platform guarantees 2%.
constexpr int kClockRateDivisor = 50;
// Minimum duration of a grant. A shorter one would expire before it can be renewed.
constexpr Duration kMinHold = std::chrono::milliseconds(300);

}  // namespace runshelf::sidecar
