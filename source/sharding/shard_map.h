// Which worker owns which keys of one sharded service.
//
// The map lives as one item in the store and changes only by compare-and-swap, so that every change
// is made against the state it was decided from. Fencing tokens are drawn from the map and rise.
#pragma once

#include <absl/status/statusor.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace runshelf::sharding {

using ShardKey = uint32_t;
constexpr ShardKey kMaxShardKey = 65535;

using FencingToken = uint64_t;

// A worker, and the machine it runs on.
struct WorkerId {
  std::string node;    // Name of the node beside the worker.
  std::string worker;  // Identity of one incarnation of the worker; empty: none.

  bool operator==(const WorkerId&) const = default;
};

// Consecutive keys with one owner.
struct Shard {
  ShardKey first = 0;
  ShardKey last = 0;  // Inside.
  WorkerId owner;     // With an empty worker the shard has been given up and is free.
  FencingToken token = 0;
  std::string handover;      // What the last holder released it with; empty when there is none.
  std::string move_to_node;  // Node that the owner is to hand it to; empty when it stays.
  // The map went back with the store since the owner was named: until the grants of that time have
  // run out, another worker may hold the keys.
  bool carried_over = false;

  bool Contains(ShardKey key) const { return first <= key && key <= last; }
  ShardKey size() const { return last - first + 1; }
  bool operator==(const Shard&) const = default;
};

// Covers all keys once; shards ascend.
class ShardMap {
 public:
  const std::vector<Shard>& shards() const { return shards_; }
  std::vector<Shard>& shards() { return shards_; }
  bool empty() const { return shards_.empty(); }

  // The shard of the key; nullptr when the map is empty.
  const Shard* Find(ShardKey key) const;

  // Every key of `shard` belongs to its owner under its token here too, whole or in parts.
  bool KeepsAssignment(const Shard& shard) const;

  // Draws a token higher than every one that this map ever held.
  FencingToken NextToken() { return ++last_token_; }
  FencingToken last_token() const { return last_token_; }
  // Tokens up to `token` were seen at a worker: later ones are drawn above.
  void RaiseLastToken(FencingToken token) { last_token_ = std::max(last_token_, token); }

  // Makes this the map of a new era of the store, with the same owners: all tokens are new, and
  // above `token_base`.
  void CarryOver(FencingToken token_base);
  // The grants that were given before the map was carried over have run out.
  void EndCarryOver();
  bool HasCarriedOver() const;

  // Gives a shard to a new owner under `token`, which NextToken returned after the last assignment
  // of any of its keys.
  static void Assign(Shard* shard, const WorkerId& owner, FencingToken token,
                     const std::string& handover);

  // Splits the shard that contains `at`, which becomes the first key of the second part; both keep
  // owner, token and handover.
  void Split(ShardKey at);

  // Joins neighbours that differ in nothing but their keys.
  void MergeNeighbours();

  std::string Serialize() const;
  // kInvalidArgument, with a reason, when `text` is no map that covers all keys once.
  static absl::StatusOr<ShardMap> Parse(const std::string& text);

 private:
  std::vector<Shard> shards_;
  FencingToken last_token_ = 0;
};

}  // namespace runshelf::sharding
