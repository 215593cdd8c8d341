// Assignment of the keys of one sharded service to workers.
//
// The map is a single item in the store and is changed only by compare-and-swap, so that every
// change applies to the state that it was based on. Fencing tokens are allocated from the map in
// ascending order.
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

// A worker and the node on its machine.
struct WorkerId {
  std::string node;    // Name of the node on the worker's machine.
  std::string worker;  // Identity of one incarnation of the worker; empty: none.

  bool operator==(const WorkerId&) const = default;
};

// A range of consecutive keys with one owner.
struct Shard {
  ShardKey first = 0;
  ShardKey last = 0;  // Inclusive.
  WorkerId owner;     // An empty worker means that the shard has been given up and is free.
  FencingToken token = 0;
  std::string handover;      // Value that the last holder returned on release; empty if none.
  std::string move_to_node;  // Node that the owner is to hand it over to; empty if it stays.
  // The map was carried over into a new era of the store, or created anew after a loss: until the
  // grants of earlier eras have expired, another worker may hold the keys.
  bool carried_over = false;

  bool Contains(ShardKey key) const { return first <= key && key <= last; }
  ShardKey size() const { return last - first + 1; }
  bool operator==(const Shard&) const = default;
};

// Covers every key exactly once, with shards sorted by key. Not thread-safe.
class ShardMap {
 public:
  const std::vector<Shard>& shards() const { return shards_; }
  std::vector<Shard>& shards() { return shards_; }
  bool empty() const { return shards_.empty(); }

  // Returns the shard that contains `key`, or nullptr when the map is empty.
  const Shard* Find(ShardKey key) const;

  // Whether every key of `shard` has the same owner and token in this map, even if it was split.
  bool KeepsAssignment(const Shard& shard) const;

  // Allocates a token that is higher than all tokens that this map has ever contained.
  FencingToken NextToken() { return ++last_token_; }
  FencingToken last_token() const { return last_token_; }
  // Ensures that later tokens are above `token`, for example one that a worker has reported.
  void RaiseLastToken(FencingToken token) { last_token_ = std::max(last_token_, token); }

  // Converts this map to one of a new store era: owners stay, and all shards get a new token, which
  // is above `token_base`.
  void CarryOver(FencingToken token_base);
  // Clears the carried-over marks once all grants of earlier eras have expired.
  void EndCarryOver();
  bool HasCarriedOver() const;

  // Assigns a shard to an owner under `token`, which NextToken must have returned after the last
  // assignment of any of its keys.
  static void Assign(Shard* shard, const WorkerId& owner, FencingToken token,
                     const std::string& handover);

  // Splits the shard that contains `at`, which becomes the first key of the second part. Both parts
  // keep owner, token and handover. Does nothing if a shard already begins at `at`.
  void Split(ShardKey at);

  // Merges adjacent shards that differ only in their keys.
  void MergeNeighbours();

  // Encodes the map as JSON.
  std::string Serialize() const;
  // Returns kInvalidArgument, with a reason, when `text` is not a map that covers every key exactly
  // once.
  static absl::StatusOr<ShardMap> Parse(const std::string& text);

 private:
  std::vector<Shard> shards_;
  FencingToken last_token_ = 0;
};

}  // namespace runshelf::sharding
