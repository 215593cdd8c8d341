#include "source/sidecar/shard_store.h"

#include <utility>

namespace runshelf::sidecar {

ShardStore::ShardStore(store::StoreClient& store, std::string key)
    : store_(store), key_(std::move(key)) {}

bool ShardStore::OnItem(const store::Item& item) {
  if (item.key != key_ || item.revision <= revision_) return false;
  auto parsed = sharding::ShardMap::Parse(item.value);
  if (!parsed.ok()) return false;
  map_ = *std::move(parsed);
  revision_ = item.revision;
  return true;
}

void ShardStore::Replace(const sharding::ShardMap& map,
                         const std::vector<std::string>& must_be_absent,
                         std::function<void(Outcome)> callback) {
  busy_ = true;
  store::Transaction transaction;
  transaction.conditions.push_back({key_, revision_});
  for (const std::string& absent : must_be_absent) transaction.conditions.push_back({absent, 0});
  transaction.puts.push_back({key_, map.Serialize(), 0});
  store_.Commit(transaction, [this, map, callback = std::move(callback)](
                                 absl::StatusOr<store::CommitResult> result) {
    busy_ = false;
    if (!result.ok()) {
      callback(Outcome::kUnknown);
      return;
    }
    if (result->outcome != store::CommitOutcome::kCommitted) {
      for (const store::Item& item : result->found) OnItem(item);
      callback(Outcome::kConflict);
      return;
    }
    if (result->revision > revision_) {
      map_ = map;
      revision_ = result->revision;
    }
    callback(Outcome::kCommitted);
  });
}

}  // namespace runshelf::sidecar
