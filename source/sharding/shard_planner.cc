#include "source/sharding/shard_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace runshelf::sharding {
namespace {

const PlannerWorker* FindWorker(const PlannerInput& input, const std::string& node) {
  for (const PlannerWorker& worker : input.workers) {
    if (worker.id.node == node) return &worker;
  }
  return nullptr;
}

std::vector<const PlannerWorker*> Accepting(const PlannerInput& input,
                                            const std::string& except_node = "") {
  std::vector<const PlannerWorker*> accepting;
  for (const PlannerWorker& worker : input.workers) {
    if (!worker.accepting || worker.id.worker.empty() || worker.id.node == except_node) continue;
    accepting.push_back(&worker);
  }
  std::sort(accepting.begin(), accepting.end(),
            [](const auto* left, const auto* right) { return left->id.node < right->id.node; });
  return accepting;
}

// Load of every bucket in requests per second, from the reports of all owners. Load that a report
// does not attribute to a bucket is spread evenly over the keys of its node.
class BucketLoads {
 public:
  BucketLoads(const ShardMap& map, const PlannerInput& input)
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

  double KeyRangeRate(ShardKey first, ShardKey last) const {
    return sums_[BucketOf(last) + 1] - sums_[BucketOf(first)];
  }

 private:
  std::vector<double> rates_;
  std::vector<double> sums_;  // Prefix sums: total rate of all buckets before the index.
};

// Load of one worker.
struct Usage {
  const PlannerWorker* worker = nullptr;
  double rate = 0;             // Requests per second on its shards.
  double service_seconds = 0;  // Mean service time of a request.

  // Utilization per request per second.
  double Slope() const { return service_seconds / std::max<uint32_t>(1, worker->slots); }
  double Utilization() const { return rate * Slope(); }
};

bool ByUtilization(const Usage& left, const Usage& right) {
  return left.Utilization() < right.Utilization();
}

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

// Utilization of all workers together.
double MeanUtilization(const std::vector<Usage>& usages) {
  double used_slots = 0;
  double slots = 0;
  for (const Usage& usage : usages) {
    used_slots += usage.rate * usage.service_seconds;
    slots += std::max<uint32_t>(1, usage.worker->slots);
  }
  return slots == 0 ? 0 : used_slots / slots;
}

// Removes workers that are the source or the target of a move in progress.
void ExcludeMovingWorkers(const ShardMap& map, std::vector<Usage>* usages) {
  std::set<std::string> moving;
  for (const Shard& shard : map.shards()) {
    if (shard.move_to_node.empty()) continue;
    moving.insert(shard.owner.node);
    moving.insert(shard.move_to_node);
  }
  std::erase_if(*usages,
                [&](const Usage& usage) { return moving.contains(usage.worker->id.node); });
}

// A candidate range for a move: whole buckets within a shard.
struct Piece {
  ShardKey first = 0;
  ShardKey last = 0;
  double rate = 0;
};

// The busiest key range of `node` whose load is at most `limit`, among whole shards and their
// repeated halves down to one bucket.
std::optional<Piece> BestPiece(const ShardMap& map, const BucketLoads& loads,
                               const std::string& node, double limit) {
  std::optional<Piece> best;
  for (const Shard& shard : map.shards()) {
    if (shard.owner.node != node || !shard.move_to_node.empty()) continue;
    std::vector<Piece> candidates{{shard.first, shard.last, 0}};
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

ShardMap InitialMap(const std::vector<const PlannerWorker*>& workers, const PlannerInput& input,
                    const PlannerConfig& config) {
  ShardMap map;
  map.RaiseLastToken(input.token_base);
  const FencingToken token = map.NextToken();
  const size_t per_worker =
      std::clamp(config.initial_shards / workers.size(), config.initial_shards_per_worker_min,
                 config.initial_shards_per_worker_max);
  const size_t count = workers.size() * per_worker;
  for (size_t index = 0; index < count; ++index) {
    Shard shard;
    // Shard boundaries coincide with bucket boundaries.
    shard.first = static_cast<ShardKey>(index * kBucketCount / count * kKeysPerBucket);
    shard.last = static_cast<ShardKey>((index + 1) * kBucketCount / count * kKeysPerBucket - 1);
    ShardMap::Assign(&shard, workers[index % workers.size()]->id, token, "");
    shard.carried_over = input.former_grants_may_be_valid;
    map.shards().push_back(std::move(shard));
  }
  return map;
}

// The worker that has replaced the shard's owner on its machine, or nullptr. There is only one
// worker on a machine, so the presence of another shows that the former one has ended.
const PlannerWorker* ReplacementOf(const Shard& shard,
                                   const std::vector<const PlannerWorker*>& accepting) {
  if (shard.owner.worker.empty()) return nullptr;
  const auto found = std::lower_bound(
      accepting.begin(), accepting.end(), shard.owner.node,
      [](const PlannerWorker* worker, const std::string& node) { return worker->id.node < node; });
  const bool replaced = found != accepting.end() && (*found)->id.node == shard.owner.node &&
                        (*found)->id.worker != shard.owner.worker;
  return replaced ? *found : nullptr;
}

}  // namespace

std::vector<WorkerId> ChooseReceivers(const ShardMap& map, const PlannerInput& input,
                                      const std::string& leaving_node, size_t shard_count) {
  const auto accepting = Accepting(input, leaving_node);
  std::vector<WorkerId> targets;
  if (accepting.empty()) return targets;
  const BucketLoads loads(map, input);
  std::map<std::string, double> load_by_node;
  for (const Shard& shard : map.shards()) {
    load_by_node[shard.owner.node] += loads.KeyRangeRate(shard.first, shard.last);
  }
  const double per_shard = std::max(
      1.0, load_by_node[leaving_node] / std::max<double>(1, static_cast<double>(shard_count)));
  for (size_t index = 0; index < shard_count; ++index) {
    const auto lightest = std::min_element(
        accepting.begin(), accepting.end(), [&](const auto* left, const auto* right) {
          return load_by_node[left->id.node] / std::max(1U, left->slots) <
                 load_by_node[right->id.node] / std::max(1U, right->slots);
        });
    targets.push_back((*lightest)->id);
    load_by_node[(*lightest)->id.node] += per_shard;
  }
  return targets;
}

Plan PlanRepair(const ShardMap& map, const PlannerInput& input, const PlannerConfig& config) {
  Plan plan;
  const auto accepting = Accepting(input);
  if (accepting.empty()) return plan;
  if (map.empty()) {
    plan.changed = true;
    plan.map = InitialMap(accepting, input, config);
    plan.reason = "first-assignment";
    return plan;
  }
  const bool replaced =
      std::any_of(map.shards().begin(), map.shards().end(),
                  [&](const Shard& shard) { return ReplacementOf(shard, accepting) != nullptr; });
  std::map<std::string, size_t> orphans;  // Number of shards without a live owner, by node.
  for (const Shard& shard : map.shards()) {
    const bool given_up = shard.owner.worker.empty();
    if (given_up || input.departed_nodes.contains(shard.owner.node)) ++orphans[shard.owner.node];
  }
  if (orphans.empty() && !replaced) return plan;
  plan.map = map;
  const FencingToken token = plan.map.NextToken();
  for (Shard& shard : plan.map.shards()) {
    const PlannerWorker* replacement = ReplacementOf(shard, accepting);
    if (replacement == nullptr) continue;
    ShardMap::Assign(&shard, replacement->id, token, "");
    plan.changed = true;
  }
  for (const auto& [node, count] : orphans) {
    std::vector<WorkerId> targets = ChooseReceivers(map, input, node, count);
    // The only worker of a service takes back its own node's shards after its return, as no other
    // worker can.
    if (targets.empty()) targets = ChooseReceivers(map, input, "", count);
    if (targets.empty()) continue;
    size_t next = 0;
    for (Shard& shard : plan.map.shards()) {
      const bool given_up = shard.owner.worker.empty();
      if (shard.owner.node != node) continue;
      if (!given_up && !input.departed_nodes.contains(node)) continue;
      if (!given_up) plan.nodes_assumed_absent.insert(node);
      // A shard that was given up may carry the handover of its release, which is kept.
      ShardMap::Assign(&shard, targets[next++ % targets.size()], token,
                       given_up ? shard.handover : std::string());
      plan.changed = true;
    }
  }
  plan.reason = "takeover";
  return plan;
}

Plan PlanBalance(const ShardMap& map, const PlannerInput& input, const PlannerConfig& config) {
  Plan plan;
  const auto accepting = Accepting(input);
  const size_t max_shards =
      std::max(config.max_shards, config.max_shards_per_worker * accepting.size());
  if (map.empty() || accepting.size() < 2 || map.shards().size() > max_shards) {
    plan.reason = "too-few-workers-or-too-many-shards";
    return plan;
  }
  for (const Shard& shard : map.shards()) {
    if (FindWorker(input, shard.owner.node) == nullptr) {
      plan.reason = "unknown-owner-" + shard.owner.node;
      return plan;
    }
  }
  const BucketLoads loads(map, input);
  std::vector<Usage> usages = MakeUsages(map, input, accepting, loads);
  const double receiver_limit =
      std::max(config.receiver_utilization, MeanUtilization(usages) + config.utilization_gap / 2);
  ExcludeMovingWorkers(map, &usages);
  plan.map = map;
  plan.reason = "even";
  const size_t most_moves =
      std::max(config.moves_per_round_min, accepting.size() / config.workers_per_move);
  size_t moves = 0;
  while (moves < most_moves && usages.size() >= 2) {
    const auto most = std::max_element(usages.begin(), usages.end(), ByUtilization);
    const auto least = std::min_element(usages.begin(), usages.end(), ByUtilization);
    const double gap = most->Utilization() - least->Utilization();
    if (most->Utilization() < config.busy_utilization || gap < config.utilization_gap) break;
    // A move of `rate` lowers the utilization of one worker and raises that of the other; moving
    // gap / slope makes them equal.
    const double slope = most->Slope() + least->Slope();
    const double room = std::max(0.0, receiver_limit - least->Utilization()) / least->Slope();
    const auto piece =
        BestPiece(plan.map, loads, most->worker->id.node, std::min(gap / slope, room));
    const double worthwhile = std::min(gap / 8, config.utilization_gap);
    if (!piece.has_value() || piece->rate * slope < worthwhile) {
      plan.reason = "no-piece-to-move-from-" + most->worker->id.node;
      usages.erase(most);
      continue;
    }
    MarkMove(&plan.map, *piece, least->worker->id.node);
    most->rate -= piece->rate;
    least->rate += piece->rate;
    plan.changed = true;
    ++moves;
  }
  if (plan.changed) plan.reason = "balance";
  return plan;
}

}  // namespace runshelf::sharding
