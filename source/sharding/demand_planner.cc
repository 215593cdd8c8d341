#include "source/sharding/demand_planner.h"

#include <algorithm>
#include <set>
#include <string>

namespace runshelf::sharding {
namespace {

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

class DemandPlanner {
 public:
  DemandPlanner(const BucketLoads& loads, const PlannerInput& input,
                const DemandPlannerConfig& config, ShardMap* map, std::vector<Usage>* usages)
      : loads_(loads), input_(input), config_(config), map_(map), usages_(usages) {
    for (const KeyInDemand& key : input.keys_in_demand) kept_.insert(key.key);
    moving_ = MovingNodes(*map);
  }

  size_t Plan() {
    for (const KeyInDemand& key : input_.keys_in_demand) ReserveOwner(key);
    for (const std::string& node : reserved_) MoveOthersAway(node);
    std::erase_if(*usages_,
                  [this](const Usage& usage) { return reserved_.contains(usage.worker->id.node); });
    return moves_;
  }

 private:
  void ReserveOwner(const KeyInDemand& key) {
    const Shard* shard = map_->Find(key.key);
    if (shard == nullptr) return;
    if (!shard->move_to_node.empty()) {
      reserved_.insert(shard->move_to_node);
      return;
    }
    const std::string owner = shard->owner.node;
    const Usage* next = NextOwner(key, owner);
    if (next == nullptr) {
      reserved_.insert(owner);
      return;
    }
    reserved_.insert(next->worker->id.node);
    MarkMove(map_, {key.key, key.key, 0}, next->worker->id.node);
    ++moves_;
    for (Usage& usage : *usages_) {
      if (usage.worker->id.node == owner) usage.rate -= loads_.KeyRangeRate(key.key, key.key);
    }
  }

  // The worker that the key is to move to, or nullptr if it stays.
  const Usage* NextOwner(const KeyInDemand& key, const std::string& owner) const {
    const bool shares_owner = reserved_.contains(owner);
    if (!shares_owner && key.owner_changes > 0) return nullptr;
    const Usage* best = nullptr;
    for (const Usage& usage : *usages_) {
      const std::string& node = usage.worker->id.node;
      if (node == owner || reserved_.contains(node) || moving_.contains(node)) continue;
      if (OwnsKeyInDemand(node)) continue;
      if (best == nullptr || ServedAfterMove(key, *best) < ServedAfterMove(key, usage)) {
        best = &usage;
      }
    }
    if (best == nullptr) return nullptr;
    const double served_here = shares_owner ? 0 : key.capacity * ExpectedSeconds(key);
    const bool worthwhile = ServedAfterMove(key, *best) > served_here * config_.worthwhile_gain;
    return worthwhile ? best : nullptr;
  }

  bool OwnsKeyInDemand(const std::string& node) const {
    return std::any_of(input_.keys_in_demand.begin(), input_.keys_in_demand.end(),
                       [&](const KeyInDemand& key) { return key.owner == node; });
  }

  // Requests that the worker is expected to complete if the key moves to it, less those that its
  // present keys lose by their own moves.
  double ServedAfterMove(const KeyInDemand& key, const Usage& usage) const {
    const double handover = Seconds(config_.handover_time);
    return usage.Capacity() * (ExpectedSeconds(key) - handover) - usage.rate * handover;
  }

  double ExpectedSeconds(const KeyInDemand& key) const {
    return std::max(Seconds(input_.now - key.since), Seconds(config_.expected_demand_min));
  }

  void MoveOthersAway(const std::string& node) {
    for (size_t count = 0; count < config_.moves_per_key; ++count) {
      Usage* receiver = LeastUsedReceiver();
      if (receiver == nullptr) return;
      const double room =
          (config_.receiver_utilization - receiver->Utilization()) * receiver->Capacity();
      const auto piece = BestPiece(*map_, loads_, node, room, kept_);
      if (!piece.has_value() || piece->rate < config_.moved_rate_min) return;
      MarkMove(map_, *piece, receiver->worker->id.node);
      receiver->rate += piece->rate;
      ++moves_;
    }
  }

  Usage* LeastUsedReceiver() {
    Usage* least = nullptr;
    for (Usage& usage : *usages_) {
      const std::string& node = usage.worker->id.node;
      if (reserved_.contains(node) || moving_.contains(node) || OwnsKeyInDemand(node)) continue;
      if (least == nullptr || ByUtilization(usage, *least)) least = &usage;
    }
    return least;
  }

  const BucketLoads& loads_;
  const PlannerInput& input_;
  const DemandPlannerConfig& config_;
  ShardMap* map_;
  std::vector<Usage>* usages_;
  std::set<ShardKey> kept_;
  std::set<std::string> moving_;    // Nodes with a move in progress before this plan.
  std::set<std::string> reserved_;  // Nodes whose worker is to own a key in demand alone.
  size_t moves_ = 0;
};

}  // namespace

size_t PlanKeysInDemand(const BucketLoads& loads, const PlannerInput& input,
                        const PlannerConfig& config, ShardMap* map, std::vector<Usage>* usages) {
  if (input.keys_in_demand.empty()) return 0;
  return DemandPlanner(loads, input, config.demand, map, usages).Plan();
}

}  // namespace runshelf::sharding
