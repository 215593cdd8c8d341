// The shard map of one service in the store: the copy in force here, and changes by
// compare-and-swap, one at a time.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "source/sharding/shard_map.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

class ShardStore {
 public:
  ShardStore(store::StoreClient& store, std::string key);

  // Takes over an item that the watch or a whole read delivered; returns true when it is newer.
  bool OnItem(const store::Item& item);

  const sharding::ShardMap& map() const { return map_; }
  store::Revision revision() const { return revision_; }
  const std::string& key() const { return key_; }
  bool busy() const { return busy_; }

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

 private:
  // First keys of shards of the map in force; they do not overlap.
  using FirstKeys = std::set<sharding::ShardKey>;

  FirstKeys NotKeptBy(const sharding::ShardMap& changed) const;
  void TakeOver(sharding::ShardMap map, store::Revision revision);

  store::StoreClient& store_;
  std::string key_;
  sharding::ShardMap map_;
  store::Revision revision_ = 0;
  bool busy_ = false;
  FirstKeys changing_;   // Taken away by the change that is on its way.
  FirstKeys undecided_;  // Taken away by changes that got no answer.
};

}  // namespace runshelf::sidecar
