// What this process has told the worker beside it about the shards that the map gives it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "runshelf/common/clock.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sidecar {

// Whether a grant under a token was sent. If it was, the token must reach no other incarnation of
// the worker, which would hold keys under the former one's.
enum class TokenUse {
  kNone,
  kByThisProcess,
  kMaybeByEarlierRun,  // By the former life of this process.
};

struct HeldShard {
  sharding::Shard shard;
  std::string worker_id;
  Instant usable_until{};     // The worker certainly holds the keys until then.
  Instant held_until{};       // The worker may hold the keys until then.
  Instant sent_at{};          // Of the latest grant call.
  Instant release_sent_at{};  // Of the first release call.
  Instant retry_at{};         // After a call without an answer: none before.
  uint64_t call = 0;          // Number of the call under way; zero: none.
  TokenUse token_use = TokenUse::kNone;
  bool releasing = false;
  bool released = false;
  bool refusal_unverified = false;  // The latest answer refused this shard, or another one.
  bool superseded = false;          // The worker has seen a higher token on these keys.
  bool abandoned = false;  // Released because its grant ran out, by a worker that cannot renew it.
  // Of a shard that was carried over: the worker held it before, and has held it since.
  bool held_since_former_era = false;
  std::string handover;  // Of the release.
  // With grants in heartbeats:
  bool leased = false;   // A lease that lists the shard was sent.
  uint32_t missing = 0;  // Heartbeats in a row that did not report it although it was leased.
  int64_t omitted_at_sequence = 0;  // Sequence of the heartbeat whose answer first left it out.
};

// Keys that the worker may hold under a grant whose shard the map has given to a former worker of
// this machine since, as another node does that knows no better.
struct OrphanedGrant {
  std::string worker_id;
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;
  Instant held_until{};

  bool Overlaps(const sharding::Shard& shard) const {
    return first <= shard.last && shard.first <= last;
  }
};

// First key, last key, token.
using HeldShardKey = std::tuple<sharding::ShardKey, sharding::ShardKey, sharding::FencingToken>;
// Ascending by key: shards do not overlap.
using HeldShards = std::map<HeldShardKey, HeldShard>;

// A worker's clock may run slow by one part in this many; the platform promises 2%.
constexpr int kClockRateDivisor = 50;
// Grants are not worth giving for less: they end before the next renewal can be made.
constexpr Duration kMinHold = std::chrono::milliseconds(300);

}  // namespace runshelf::sidecar
