// Shard maps of all sharded services, used to look up the owner of a key.
#pragma once

#include <map>
#include <string>

#include "source/sharding/shard_map.h"
#include "source/sidecar/shard_map_key.h"
#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// Not thread-safe.
class ShardDirectory {
 public:
  // Stores the map of a service if it is newer than the known one. Returns false when the item is
  // newer but not a valid map; the known map stays in use then.
  bool OnItem(const ShardMapKey& key, const store::Item& item) {
    Entry& entry = entries_[key.service];
    if (!entry.version.OlderThan(key, item.revision)) return true;
    auto parsed = sharding::ShardMap::Parse(item.value);
    if (!parsed.ok()) return false;
    entry.version = {key.era, item.revision};
    entry.map = *std::move(parsed);
    return true;
  }

  // Returns the shard that contains `key`, or nullptr while the service has no map.
  const sharding::Shard* Find(const std::string& service, sharding::ShardKey key) const {
    const auto found = entries_.find(service);
    return found == entries_.end() ? nullptr : found->second.map.Find(key);
  }

  // Revision of the service's map; zero while it has none.
  store::Revision RevisionOf(const std::string& service) const {
    const auto found = entries_.find(service);
    return found == entries_.end() ? 0 : found->second.version.revision;
  }

 private:
  struct Entry {
    ShardMapVersion version;
    sharding::ShardMap map;
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace runshelf::sidecar
