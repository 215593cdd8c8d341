// Local copy of one service's shard map in the store, and changes to it by compare-and-swap, one at
// a time.
//
// When the store is restored from an older copy of its data, a new era begins. The map known here
// then stays in use, and no change is made, until a node has carried over the newest map that it
// knows into the new era.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "source/sharding/shard_map.h"
#include "source/sidecar/shard_map_key.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Not thread-safe.
class ShardStore {
 public:
  ShardStore(store::StoreClient& store, std::string service);

  // Processes an item from the watch or from a full read. Returns true when it replaced the map.
  bool OnItem(const store::Item& item);

  const sharding::ShardMap& map() const { return map_; }
  store::Revision revision() const { return version_.revision; }
  bool busy() const { return busy_; }

  // The store era that the map belongs to; the current era while there is no map.
  store::StoreEra era() const { return map_.empty() ? store_.era() : version_.era; }
  // Whether the map belongs to the current era; only then can it be changed.
  bool IsOfCurrentEra() const { return era() == store_.era(); }
  // Whether the map belongs to an earlier era of the store.
  bool MustBeCarriedOver() const { return era() < store_.era(); }
  // Whether the map was read from the older copy that the store was restored from.
  bool FromRestoredStore() const { return version_.FromRestoredStore(); }
  // All tokens of earlier eras are below this one.
  sharding::FencingToken TokenBase() const;
  // When this process first learnt of the current era.
  Instant era_since() const { return store_.era_since(); }
  // Whether the current era began after this process started.
  bool restored() const { return store_.restored(); }

  // Whether no pending change of this process can take `shard`, one of `map()`, from its owner or
  // change its token. A change is pending from when it is sent until its outcome is known. A change
  // without a response may still be executed as long as the map has the revision that the change
  // was based on.
  bool Settled(const sharding::Shard& shard) const;

  enum class Outcome {
    kCommitted,  // The new map is in use.
    kConflict,   // Another change came first or a condition failed; a newer map may be known now.
    kUnknown,    // No response; the watch reports the change if it was executed.
  };

  // Replaces the map if it still has `revision()` and `conditions` hold. Must not be called while
  // busy() is true. `purpose`: for the metrics of calls to the store; must be a string literal.
  void Replace(const sharding::ShardMap& map, std::string_view purpose,
               const std::vector<store::Condition>& conditions,
               std::function<void(Outcome)> callback);
  // Whether the condition did not hold when the latest change ended with kConflict.
  bool FailedInConflict(const store::Condition& condition) const;
  // Stores `map` as that of the current era if there is none yet. Must not be called while busy()
  // is true.
  void CarryOver(const sharding::ShardMap& map, std::function<void(Outcome)> callback);
  // Called when the item with this key was removed from the store.
  void OnRemoved(const std::string& key) { former_keys_.erase(key); }

 private:
  // First keys of shards of the current map. Shards do not overlap, so each names one shard.
  using FirstKeys = std::set<sharding::ShardKey>;

  FirstKeys ShardsChangedBy(const sharding::ShardMap& changed) const;
  void TakeOver(sharding::ShardMap map, const ShardMapVersion& version);
  void Commit(const store::Transaction& transaction, const ShardMapKey& key,
              const sharding::ShardMap& map, std::function<void(Outcome)> callback);

  store::StoreClient& store_;
  std::string service_;
  sharding::ShardMap map_;
  ShardMapVersion version_;
  std::set<std::string> former_keys_;  // Keys of maps of earlier eras that are still in the store.
  // Revisions of the items named by the conditions of the latest change that conflicted.
  std::map<std::string, store::Revision> found_in_conflict_;
  bool busy_ = false;
  FirstKeys changing_;   // Shards that the change in progress reassigns.
  FirstKeys undecided_;  // Shards that changes without a response reassign.
};

}  // namespace runshelf::sidecar
