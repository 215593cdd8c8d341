// Under which key the shard map of a service lies in the store, and which of two copies is newer.
#pragma once

#include <optional>
#include <string>

#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// Each era of the store has an item of its own for the map: a change that was sent in a former era,
// and is done late, finds another item than the one in use, whatever revisions are given out again.
struct ShardMapKey {
  std::string service;
  store::StoreEra era = 0;

  std::string ToString() const;
  // nullopt when `key` is not one of a shard map.
  static std::optional<ShardMapKey> Parse(const std::string& key);
};

// Names one state of a shard map.
struct ShardMapVersion {
  store::StoreEra era = 0;       // The map was made for this era of the store.
  store::Revision revision = 0;  // Zero: there is no map.

  // Whether the map at `key` with `item_revision` is to be used in place of this one. What the
  // store kept of a former era's map is no newer than what was known of it while that era lasted.
  bool OlderThan(const ShardMapKey& key, store::Revision item_revision) const;
  // The map went back to an older state together with the store.
  bool FromRestoredStore() const { return store::EraOf(revision) > era; }
};

}  // namespace runshelf::sidecar
