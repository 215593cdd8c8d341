#include "source/sidecar/shard_store.h"

#include <utility>

namespace runshelf::sidecar {

ShardStore::ShardStore(store::StoreClient& store, std::string key)
    : store_(store), key_(std::move(key)) {}

bool ShardStore::OnItem(const store::Item& item) {
  if (item.key != key_ || item.revision <= revision_) return false;
  auto parsed = sharding::ShardMap::Parse(item.value);
  if (!parsed.ok()) return false;
  TakeOver(*std::move(parsed), item.revision);
  return true;
}

void ShardStore::TakeOver(sharding::ShardMap map, store::Revision revision) {
  map_ = std::move(map);
  revision_ = revision;
  // Changes of an earlier revision were done, and are in this map, or never will be.
  changing_.clear();
  undecided_.clear();
}

bool ShardStore::Settled(const sharding::Shard& shard) const {
  return !changing_.contains(shard.first) && !undecided_.contains(shard.first);
}

ShardStore::FirstKeys ShardStore::NotKeptBy(const sharding::ShardMap& changed) const {
  FirstKeys keys;
  for (const sharding::Shard& shard : map_.shards()) {
    if (!changed.Keeps(shard)) keys.insert(shard.first);
  }
  return keys;
}

void ShardStore::Replace(const sharding::ShardMap& map,
                         const std::vector<store::Condition>& conditions,
                         std::function<void(Outcome)> callback) {
  busy_ = true;
  changing_ = NotKeptBy(map);
  store::Transaction transaction;
  transaction.conditions = conditions;
  transaction.conditions.push_back({key_, revision_});
  transaction.puts.push_back({key_, map.Serialize(), 0});
  store_.Commit(transaction, [this, map, callback = std::move(callback)](
                                 absl::StatusOr<store::CommitResult> result) {
    busy_ = false;
    if (!result.ok()) {
      undecided_.merge(changing_);
      changing_.clear();
      callback(Outcome::kUnknown);
      return;
    }
    changing_.clear();
    if (result->outcome != store::CommitOutcome::kCommitted) {
      for (const store::Item& item : result->found) OnItem(item);
      callback(Outcome::kConflict);
      return;
    }
    if (result->revision > revision_) TakeOver(map, result->revision);
    callback(Outcome::kCommitted);
  });
}

}  // namespace runshelf::sidecar
