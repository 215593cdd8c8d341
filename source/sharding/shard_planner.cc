#include "source/sharding/shard_planner.h"

#include <algorithm>
#include <utility>

#include "source/sharding/demand_planner.h"
#include "source/sharding/worker_usage.h"

namespace runshelf::sharding {
namespace {

const PlannerWorker* FindWorker(const PlannerInput& input, const std::string& node) {
  for (const PlannerWorker& worker : input.workers) {
    if (worker.id.node == node) return &worker;
  }
  return nullptr;
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
    const bool takes_over = input.departed_nodes.contains(node) &&
                            plan.nodes_assumed_departed.size() < config.departed_nodes_max;
    size_t next = 0;
    for (Shard& shard : plan.map.shards()) {
      const bool given_up = shard.owner.worker.empty();
      if (shard.owner.node != node) continue;
      if (!given_up && !takes_over) continue;
      if (!given_up) plan.nodes_assumed_departed.insert(node);
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
  plan.map = map;
  plan.reason = "even";
  const size_t demand_moves = PlanKeysInDemand(loads, input, config, &plan.map, &usages);
  size_t moves = demand_moves;
  plan.changed = demand_moves > 0;
  const double receiver_limit =
      std::max(config.receiver_utilization, MeanUtilization(usages) + config.utilization_gap / 2);
  const std::set<std::string> moving = MovingNodes(map);
  std::erase_if(usages, [&](const Usage& usage) { return moving.contains(usage.worker->id.node); });
  const size_t most_moves =
      std::max(config.moves_per_round_min, accepting.size() / config.workers_per_move);
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
  if (plan.changed) plan.reason = demand_moves > 0 ? "key-in-demand" : "balance";
  return plan;
}

}  // namespace runshelf::sharding
