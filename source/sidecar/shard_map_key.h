// Store keys of shard maps, and the order of a shard map's versions.
#pragma once

#include <optional>
#include <string>

#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// Key of a service's shard map. Each era of the store has its own item for the map, so that a
// change that was sent in an earlier era and is executed late cannot modify the current map, even
// if the store reuses revision numbers.
struct ShardMapKey {
  std::string service;
  store::StoreEra era = 0;

  std::string ToString() const;
  // Returns nullopt when `key` is not the key of a shard map.
  static std::optional<ShardMapKey> Parse(const std::string& key);
};

// Identifies one version of a shard map.
struct ShardMapVersion {
  store::StoreEra era = 0;       // Era of the store that the map was created for.
  store::Revision revision = 0;  // Zero: there is no map.

  // Whether the map at `key` with `item_revision` replaces this one. An earlier era's map that is
  // read back from a restored store is never newer than what was known of it during that era.
  bool OlderThan(const ShardMapKey& key, store::Revision item_revision) const;
  // The map was read from the older copy of its data that the store was restored from.
  bool FromRestoredStore() const { return store::EraOf(revision) > era; }
};

}  // namespace runshelf::sidecar
