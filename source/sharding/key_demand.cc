#include "source/sharding/key_demand.h"

#include <algorithm>

#include "source/sharding/shard_planner.h"

namespace runshelf::sharding {
namespace {

double RateOf(ShardKey key, const PlannerInput& input) {
  double rate = 0;
  for (const auto& [node, report] : input.loads) {
    for (const auto& [bucket, bucket_rate] : report.buckets) {
      if (bucket == BucketOf(key)) rate += bucket_rate;
    }
  }
  return rate;
}

bool IsBusier(const KeyInDemand& left, const KeyInDemand& right) {
  return left.requests_per_second > right.requests_per_second;
}

// Keys that the reports show to be in demand, the busiest first.
std::vector<KeyInDemand> FindBeginning(Instant now, const ShardMap& map, const PlannerInput& input,
                                       const KeyDemandConfig& config) {
  std::vector<KeyInDemand> found;
  for (const auto& [node, report] : input.loads) {
    if (!report.IsOverloaded()) continue;
    const double capacity = report.Capacity();
    for (const auto& [bucket, rate] : report.buckets) {
      // Buckets are listed by falling rate.
      if (rate < capacity * config.begin_share) break;
      const ShardKey key = bucket * kKeysPerBucket;
      const Shard* shard = map.Find(key);
      if (shard == nullptr || shard->owner.node != node) continue;
      found.push_back({key, node, rate, capacity, now, 0});
    }
  }
  std::stable_sort(found.begin(), found.end(), IsBusier);
  return found;
}

}  // namespace

void KeyDemand::Refresh(Instant now, const ShardMap& map, const PlannerInput& input,
                        State* state) const {
  KeyInDemand& key = state->key;
  const Shard* shard = map.Find(key.key);
  if (shard != nullptr && shard->owner.node != key.owner) {
    key.owner = shard->owner.node;
    ++key.owner_changes;
  }
  const auto report = input.loads.find(key.owner);
  if (report != input.loads.end() && report->second.Capacity() > 0) {
    key.capacity = report->second.Capacity();
  }
  key.requests_per_second = RateOf(key.key, input);
  if (key.requests_per_second >= key.capacity * config_.end_share) state->demanded_at = now;
}

std::vector<KeyDemandEvent> KeyDemand::Update(Instant now, const ShardMap& map,
                                              const PlannerInput& input) {
  std::vector<KeyDemandEvent> events;
  for (auto entry = keys_.begin(); entry != keys_.end();) {
    State& state = entry->second;
    Refresh(now, map, input, &state);
    if (now - state.demanded_at < config_.end_after) {
      ++entry;
      continue;
    }
    events.push_back({false, state.key});
    entry = keys_.erase(entry);
  }
  const size_t most = std::max<size_t>(1, input.workers.size() / config_.workers_per_key);
  for (const KeyInDemand& key : FindBeginning(now, map, input, config_)) {
    if (keys_.size() >= most) break;
    if (!keys_.try_emplace(key.key, State{key, now}).second) continue;
    events.push_back({true, key});
  }
  return events;
}

std::vector<KeyInDemand> KeyDemand::Keys() const {
  std::vector<KeyInDemand> keys;
  for (const auto& [key, state] : keys_) keys.push_back(state.key);
  std::stable_sort(keys.begin(), keys.end(), IsBusier);
  return keys;
}

}  // namespace runshelf::sharding
