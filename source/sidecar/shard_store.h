// The shard map of one service in the store: the copy in force here, and changes by
// compare-and-swap, one at a time.
//
// When the store comes back from an older copy of its data, the map that is known here stays in
// force, and no change is made, until one node has carried the newest map that it knows over into
// the new era.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "source/sharding/shard_map.h"
#include "source/sidecar/shard_map_key.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

class ShardStore {
 public:
  ShardStore(store::StoreClient& store, std::string service);

  // Takes over an item that the watch or a whole read delivered; returns true when it is newer.
  bool OnItem(const store::Item& item);

  const sharding::ShardMap& map() const { return map_; }
  store::Revision revision() const { return version_.revision; }
  bool busy() const { return busy_; }

  // Of the store, for which the map was made; the present one while there is no map.
  store::StoreEra era() const { return map_.empty() ? store_.era() : version_.era; }
  // Changes can be made: the map is that of the present era.
  bool IsOfCurrentEra() const { return era() == store_.era(); }
  // The map is of a former era of the store.
  bool MustBeCarriedOver() const { return era() < store_.era(); }
  // What is known of the map was read from the copy that the store came back from.
  bool FromRestoredStore() const { return version_.FromRestoredStore(); }
  // Tokens of former eras are below this one.
  sharding::FencingToken TokenBase() const;
  // When this process first knew of the present era.
  Instant era_since() const { return store_.era_since(); }
  // The present era began since this process started.
  bool restored() const { return store_.restored(); }

  // No change that this process sent may still take `shard`, one of `map()`, from its owner or
  // change its token. A change is open from when it is sent until its outcome is known; one without
  // an answer may be done as long as the map has the revision that it was made from.
  bool Settled(const sharding::Shard& shard) const;

  enum class Outcome {
    kCommitted,  // The map in force is the new one.
    kConflict,   // Another change came first, or a condition failed; the map may be newer now.
    kUnknown,    // No answer; the watch will tell.
  };

  // Replaces the map that has `revision()`, if `conditions` hold too. Must not be called while
  // busy.
  void Replace(const sharding::ShardMap& map, const std::vector<store::Condition>& conditions,
               std::function<void(Outcome)> callback);
  // Makes `map` the one of the present era, if there is none yet. Must not be called while busy.
  void CarryOver(const sharding::ShardMap& map, std::function<void(Outcome)> callback);
  // An item of the state is gone.
  void OnRemoved(const std::string& key) { former_keys_.erase(key); }

 private:
  // First keys of shards of the map in force; they do not overlap.
  using FirstKeys = std::set<sharding::ShardKey>;

  FirstKeys ShardsChangedBy(const sharding::ShardMap& changed) const;
  void TakeOver(sharding::ShardMap map, const ShardMapVersion& version);
  void Commit(const store::Transaction& transaction, const ShardMapKey& key,
              const sharding::ShardMap& map, std::function<void(Outcome)> callback);

  store::StoreClient& store_;
  std::string service_;
  sharding::ShardMap map_;
  ShardMapVersion version_;
  std::set<std::string> former_keys_;  // Of maps of former eras that are still in the store.
  bool busy_ = false;
  FirstKeys changing_;   // Taken away by the change that is on its way.
  FirstKeys undecided_;  // Taken away by changes that got no answer.
};

}  // namespace runshelf::sidecar
