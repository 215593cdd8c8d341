// The shard map of one service in the store: the copy in force here, and changes by
// compare-and-swap, one at a time.
#pragma once

#include <functional>
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

  enum class Outcome {
    kCommitted,  // The map in force is the new one.
    kConflict,   // Another change came first, or a condition failed; the map may be newer now.
    kUnknown,    // No answer; the watch will tell.
  };

  // Replaces the map that has `revision()`; the keys in `must_be_absent` must not exist. Must not
  // be called while busy.
  void Replace(const sharding::ShardMap& map, const std::vector<std::string>& must_be_absent,
               std::function<void(Outcome)> callback);

 private:
  store::StoreClient& store_;
  std::string key_;
  sharding::ShardMap map_;
  store::Revision revision_ = 0;
  bool busy_ = false;
};

}  // namespace runshelf::sidecar
