#include "source/sidecar/shard_store.h"

#include <utility>

namespace runshelf::sidecar {

namespace {

// Bits for the tokens of one store era. 2^32 tokens are far more than one era uses, and the
// remaining bits leave room for many eras, as workers accept tokens up to 2^53.
constexpr int kTokenBitsOfEra = 32;

// Maps of former eras that one change removes. The store limits the size of a transaction.
constexpr size_t kMaxRemovedMaps = 24;

}  // namespace

ShardStore::ShardStore(store::StoreClient& store, std::string service)
    : store_(store), service_(std::move(service)) {}

sharding::FencingToken ShardStore::TokenBase() const {
  return static_cast<sharding::FencingToken>(store_.era()) << kTokenBitsOfEra;
}

bool ShardStore::OnItem(const store::Item& item) {
  const auto key = ShardMapKey::Parse(item.key);
  if (!key.has_value() || key->service != service_) return false;
  if (store::EraOf(item.revision) > key->era) former_keys_.insert(item.key);
  if (!version_.OlderThan(*key, item.revision)) return false;
  auto parsed = sharding::ShardMap::Parse(item.value);
  if (!parsed.ok()) return false;
  TakeOver(*std::move(parsed), {key->era, item.revision});
  return true;
}

void ShardStore::TakeOver(sharding::ShardMap map, const ShardMapVersion& version) {
  map_ = std::move(map);
  version_ = version;
  // A change that was based on an earlier revision is either contained in this map or can no longer
  // be committed.
  changing_.clear();
  undecided_.clear();
}

bool ShardStore::Settled(const sharding::Shard& shard) const {
  return !changing_.contains(shard.first) && !undecided_.contains(shard.first);
}

ShardStore::FirstKeys ShardStore::ShardsChangedBy(const sharding::ShardMap& changed) const {
  FirstKeys keys;
  for (const sharding::Shard& shard : map_.shards()) {
    if (!changed.KeepsAssignment(shard)) keys.insert(shard.first);
  }
  return keys;
}

void ShardStore::Replace(const sharding::ShardMap& map, std::string_view purpose,
                         const std::vector<store::Condition>& conditions,
                         std::function<void(Outcome)> callback) {
  changing_ = ShardsChangedBy(map);
  const ShardMapKey key{service_, era()};
  store::Transaction transaction;
  transaction.purpose = purpose;
  transaction.conditions = conditions;
  transaction.conditions.push_back({key.ToString(), version_.revision});
  Commit(transaction, key, map, std::move(callback));
}

bool ShardStore::FailedInConflict(const store::Condition& condition) const {
  const auto found = found_in_conflict_.find(condition.key);
  return condition.revision != (found == found_in_conflict_.end() ? 0 : found->second);
}

// Owners do not change, and they keep what they hold under grants of the earlier era. Hence no
// shard becomes uncertain while the outcome is unknown.
void ShardStore::CarryOver(const sharding::ShardMap& map, std::function<void(Outcome)> callback) {
  const ShardMapKey key{service_, store_.era()};
  store::Transaction transaction;
  transaction.purpose = "shard_map_carry_over";
  transaction.conditions.push_back({key.ToString(), 0});
  for (const std::string& former : former_keys_) {
    if (transaction.removals.size() == kMaxRemovedMaps) break;
    transaction.removals.push_back(former);
  }
  Commit(transaction, key, map, std::move(callback));
}

void ShardStore::Commit(const store::Transaction& transaction, const ShardMapKey& key,
                        const sharding::ShardMap& map, std::function<void(Outcome)> callback) {
  busy_ = true;
  store::Transaction with_map = transaction;
  with_map.puts.push_back({key.ToString(), map.Serialize(), 0});
  store_.Commit(with_map, [this, key, map, callback = std::move(callback)](
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
      found_in_conflict_.clear();
      for (const store::Item& item : result->found) {
        found_in_conflict_[item.key] = item.revision;
        OnItem(item);
      }
      callback(Outcome::kConflict);
      return;
    }
    if (version_.OlderThan(key, result->revision)) TakeOver(map, {key.era, result->revision});
    callback(Outcome::kCommitted);
  });
}

}  // namespace runshelf::sidecar
