#include "source/sharding/worker_usage.h"

#include <algorithm>
#include <map>
#include <utility>

namespace runshelf::sharding {
namespace {

// The node's smoothed service time, or the mean of all reported ones if it reports none.
double ServiceSeconds(const PlannerInput& input, const std::string& node) {
  constexpr double kUnknownServiceSeconds = 0.1;
  const auto own = input.loads.find(node);
  if (own != input.loads.end() && own->second.service_seconds > 0) {
    return own->second.service_seconds;
  }
  double sum = 0;
  size_t count = 0;
  for (const auto& [name, report] : input.loads) {
    if (report.service_seconds <= 0) continue;
    sum += report.service_seconds;
    ++count;
  }
  return count == 0 ? kUnknownServiceSeconds : sum / static_cast<double>(count);
}

// The parts of the shard between the keys that stay.
std::vector<Piece> PiecesBetween(const Shard& shard, const std::set<ShardKey>& kept) {
  std::vector<Piece> pieces;
  ShardKey first = shard.first;
  for (auto key = kept.lower_bound(shard.first); key != kept.end() && *key <= shard.last; ++key) {
    if (first < *key) pieces.push_back({first, *key - 1, 0});
    first = *key + 1;
  }
  if (first <= shard.last) pieces.push_back({first, shard.last, 0});
  return pieces;
}

}  // namespace

std::vector<const PlannerWorker*> Accepting(const PlannerInput& input,
                                            const std::string& except_node) {
  std::vector<const PlannerWorker*> accepting;
  for (const PlannerWorker& worker : input.workers) {
    if (!worker.accepting || worker.id.worker.empty() || worker.id.node == except_node) continue;
    accepting.push_back(&worker);
  }
  std::sort(accepting.begin(), accepting.end(),
            [](const auto* left, const auto* right) { return left->id.node < right->id.node; });
  return accepting;
}

BucketLoads::BucketLoads(const ShardMap& map, const PlannerInput& input)
    : rates_(kBucketCount, 0), sums_(kBucketCount + 1, 0) {
  std::map<std::string, double> rest;
  std::map<std::string, double> keys;
  for (const auto& [node, report] : input.loads) {
    double listed = 0;
    for (const auto& [bucket, rate] : report.buckets) {
      rates_[bucket] += rate;
      listed += rate;
    }
    rest[node] = std::max(0.0, report.requests_per_second - listed);
  }
  for (const Shard& shard : map.shards()) keys[shard.owner.node] += shard.size();
  for (const Shard& shard : map.shards()) {
    const double per_key = rest[shard.owner.node] / std::max(1.0, keys[shard.owner.node]);
    for (ShardKey key = shard.first; key <= shard.last; key += kKeysPerBucket) {
      rates_[BucketOf(key)] += per_key * kKeysPerBucket;
    }
  }
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    sums_[bucket + 1] = sums_[bucket] + rates_[bucket];
  }
}

std::vector<Usage> MakeUsages(const ShardMap& map, const PlannerInput& input,
                              const std::vector<const PlannerWorker*>& workers,
                              const BucketLoads& loads) {
  std::map<std::string, double> rates;
  for (const Shard& shard : map.shards()) {
    rates[shard.owner.node] += loads.KeyRangeRate(shard.first, shard.last);
  }
  std::vector<Usage> usages;
  usages.reserve(workers.size());
  for (const PlannerWorker* worker : workers) {
    usages.push_back({worker, rates[worker->id.node], ServiceSeconds(input, worker->id.node)});
  }
  return usages;
}

double MeanUtilization(const std::vector<Usage>& usages) {
  double used_slots = 0;
  double slots = 0;
  for (const Usage& usage : usages) {
    used_slots += usage.rate * usage.service_seconds;
    slots += std::max<uint32_t>(1, usage.worker->slots);
  }
  return slots == 0 ? 0 : used_slots / slots;
}

std::set<std::string> MovingNodes(const ShardMap& map) {
  std::set<std::string> moving;
  for (const Shard& shard : map.shards()) {
    if (shard.move_to_node.empty()) continue;
    moving.insert(shard.owner.node);
    moving.insert(shard.move_to_node);
  }
  return moving;
}

std::optional<Piece> BestPiece(const ShardMap& map, const BucketLoads& loads,
                               const std::string& node, double limit,
                               const std::set<ShardKey>& kept) {
  std::optional<Piece> best;
  for (const Shard& shard : map.shards()) {
    if (shard.owner.node != node || !shard.move_to_node.empty()) continue;
    std::vector<Piece> candidates = PiecesBetween(shard, kept);
    while (!candidates.empty()) {
      Piece piece = candidates.back();
      candidates.pop_back();
      piece.rate = loads.KeyRangeRate(piece.first, piece.last);
      if (piece.rate <= 0 || (best.has_value() && piece.rate <= best->rate)) continue;
      if (piece.rate <= limit) {
        best = piece;
        continue;
      }
      if (BucketOf(piece.first) == BucketOf(piece.last)) continue;
      const ShardKey middle_key = piece.first + (piece.last - piece.first) / 2;
      const ShardKey middle = (middle_key / kKeysPerBucket + 1) * kKeysPerBucket;
      if (middle > piece.last || middle <= piece.first) continue;
      candidates.push_back({piece.first, middle - 1, 0});
      candidates.push_back({middle, piece.last, 0});
    }
  }
  return best;
}

void MarkMove(ShardMap* map, const Piece& piece, const std::string& to_node) {
  map->Split(piece.first);
  if (piece.last < kMaxShardKey) map->Split(piece.last + 1);
  for (Shard& shard : map->shards()) {
    if (piece.first <= shard.first && shard.last <= piece.last) shard.move_to_node = to_node;
  }
}

}  // namespace runshelf::sharding
