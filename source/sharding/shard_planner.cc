#include "source/sharding/shard_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
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

// Load of every bucket in requests a second, from the reports of all owners. What a report does not
// list is spread evenly over the keys of its node.
class BucketLoads {
 public:
  BucketLoads(const ShardMap& map, const PlannerInput& input) : rates_(kBucketCount, 0) {
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
  }

  double Of(ShardKey first, ShardKey last) const {
    double sum = 0;
    for (size_t bucket = BucketOf(first); bucket <= BucketOf(last); ++bucket) sum += rates_[bucket];
    return sum;
  }

 private:
  std::vector<double> rates_;
};

struct Usage {
  const PlannerWorker* worker = nullptr;
  double rate = 0;             // Requests a second of its shards.
  double service_seconds = 0;  // Of one request there.
  double slowness = 1;         // Weight of the use; above one for slow workers.

  // Requests a second that keep all slots busy.
  double Capacity() const { return std::max<uint32_t>(1, worker->slots) / service_seconds; }
  double Utilization() const { return rate / Capacity(); }
  // What is evened out: the use, weighed by how slow the worker is. While there is room, a fast
  // worker answers sooner even when it is used more.
  double Pressure() const { return Utilization() * slowness; }
};

// The nodes' smoothed service times; those that report none get the mean of the others.
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

// Part of a shard that may move: whole buckets within it.
struct Piece {
  ShardKey first = 0;
  ShardKey last = 0;
  double rate = 0;
};

// The busiest run of keys of `node` whose load is at most `limit`: whole shards, or halves of them,
// down to one bucket.
std::optional<Piece> BestPiece(const ShardMap& map, const BucketLoads& loads,
                               const std::string& node, double limit) {
  std::optional<Piece> best;
  for (const Shard& shard : map.shards()) {
    if (shard.owner.node != node || !shard.move_to_node.empty()) continue;
    std::vector<Piece> candidates{{shard.first, shard.last, 0}};
    while (!candidates.empty()) {
      Piece piece = candidates.back();
      candidates.pop_back();
      piece.rate = loads.Of(piece.first, piece.last);
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

// The node whose load the shard is, or will be once its move is made.
const std::string& LoadedNode(const Shard& shard) {
  return shard.move_to_node.empty() ? shard.owner.node : shard.move_to_node;
}

void MarkMove(ShardMap* map, const Piece& piece, const std::string& to_node) {
  map->Split(piece.first);
  if (piece.last < kMaxShardKey) map->Split(piece.last + 1);
  for (Shard& shard : map->shards()) {
    if (piece.first <= shard.first && shard.last <= piece.last) shard.move_to_node = to_node;
  }
}

// One look at the balance: which moves make the workers' use more even. Moves that are under way
// count as made.
class BalanceRound {
 public:
  BalanceRound(const ShardMap& map, const PlannerInput& input, const PlannerConfig& config,
               const std::vector<const PlannerWorker*>& accepting)
      : config_(config), loads_(map, input) {
    plan_.map = map;
    plan_.reason = "even";
    for (const PlannerWorker* worker : accepting) {
      Usage usage;
      usage.worker = worker;
      usage.service_seconds = ServiceSeconds(input, worker->id.node);
      usages_.push_back(usage);
    }
    for (const Shard& shard : map.shards()) {
      if (!shard.move_to_node.empty()) ++moves_under_way_;
      if (Usage* usage = FindUsage(LoadedNode(shard)); usage != nullptr) {
        usage->rate += loads_.Of(shard.first, shard.last);
      }
    }
    double rate = 0;
    double capacity = 0;
    for (const Usage& usage : usages_) {
      rate += usage.rate;
      capacity += usage.Capacity();
      highest_utilization_ = std::max(highest_utilization_, usage.Utilization());
    }
    mean_utilization_ = rate / capacity;
    WeighSlowness(capacity);
  }

  // A bucket that takes most of a worker cannot be divided: it belongs on the fastest one.
  void PlaceHottestBucket() {
    const Shard* hottest = nullptr;
    Piece piece;
    for (const Shard& shard : plan_.map.shards()) {
      if (!shard.move_to_node.empty()) continue;
      for (size_t bucket = BucketOf(shard.first); bucket <= BucketOf(shard.last); ++bucket) {
        const ShardKey first = static_cast<ShardKey>(bucket) * kKeysPerBucket;
        const double rate = loads_.Of(first, first);
        if (hottest != nullptr && rate <= piece.rate) continue;
        hottest = &shard;
        piece = {std::max(first, shard.first), std::min(first + kKeysPerBucket - 1, shard.last),
                 rate};
      }
    }
    if (hottest == nullptr) return;
    Usage* owner = FindUsage(hottest->owner.node);
    if (owner == nullptr || piece.rate < config_.hot_bucket_utilization * owner->Capacity()) return;
    Usage& fastest = *std::max_element(
        usages_.begin(), usages_.end(),
        [](const Usage& left, const Usage& right) { return left.Capacity() < right.Capacity(); });
    if (fastest.Capacity() < config_.faster_by * owner->Capacity()) return;
    Move(piece, owner, &fastest);
  }

  // Moves pieces from the most to the least used worker while that helps.
  void EvenOut() {
    std::set<std::string> exhausted;  // Nothing of theirs is worth moving.
    while (moves_ + moves_under_way_ < config_.moves_per_round) {
      Usage* most = MostUsed(exhausted);
      Usage* least = LeastUsed();
      if (most == nullptr || most == least) return;
      const double gap = most->Pressure() - least->Pressure();
      if (most->Pressure() < config_.busy_utilization || gap < config_.utilization_gap) return;
      // Moving `rate` lowers one and raises the other; half of the gap makes them even.
      const double slope = most->slowness / most->Capacity() + least->slowness / least->Capacity();
      const auto piece = BestPiece(plan_.map, loads_, most->worker->id.node, gap / slope);
      // What is saturated is relieved by small pieces too.
      const double worth_moving =
          most->Utilization() >= config_.saturated_utilization ? config_.least_relief : gap / 8;
      if (!piece.has_value() || piece->rate * slope < worth_moving) {
        plan_.reason = "no-piece-to-move-from-" + most->worker->id.node;
        exhausted.insert(most->worker->id.node);
        continue;
      }
      Move(*piece, most, least);
    }
  }

  Plan Finish() {
    plan_.changed = moves_ > 0;
    if (plan_.changed) plan_.reason = "balance";
    plan_.mean_utilization = mean_utilization_;
    plan_.highest_utilization = highest_utilization_;
    return std::move(plan_);
  }

 private:
  // The fuller all workers are, the less their speed counts: what matters then is that none is
  // saturated.
  void WeighSlowness(double capacity) {
    const double room = std::clamp(1 - mean_utilization_ / config_.full_utilization, 0.0, 1.0);
    const double mean_capacity = capacity / static_cast<double>(usages_.size());
    for (Usage& usage : usages_) {
      const double slower = mean_capacity / usage.Capacity() - 1;
      usage.slowness = std::max(config_.slowness_min, 1 + slower * room);
    }
  }

  Usage* FindUsage(const std::string& node) {
    const auto found = std::find_if(usages_.begin(), usages_.end(), [&](const Usage& usage) {
      return usage.worker->id.node == node;
    });
    return found == usages_.end() ? nullptr : &*found;
  }

  Usage* MostUsed(const std::set<std::string>& except) {
    Usage* most = nullptr;
    for (Usage& usage : usages_) {
      if (except.contains(usage.worker->id.node)) continue;
      if (most == nullptr || usage.Pressure() > most->Pressure()) most = &usage;
    }
    return most;
  }

  Usage* LeastUsed() {
    return &*std::min_element(
        usages_.begin(), usages_.end(),
        [](const Usage& left, const Usage& right) { return left.Pressure() < right.Pressure(); });
  }

  void Move(const Piece& piece, Usage* from, Usage* to) {
    MarkMove(&plan_.map, piece, to->worker->id.node);
    from->rate -= piece.rate;
    to->rate += piece.rate;
    ++moves_;
  }

  const PlannerConfig& config_;
  BucketLoads loads_;
  std::vector<Usage> usages_;
  Plan plan_;
  size_t moves_ = 0;
  size_t moves_under_way_ = 0;
  double mean_utilization_ = 0;
  double highest_utilization_ = 0;
};

ShardMap InitialMap(const std::vector<const PlannerWorker*>& workers, const PlannerConfig& config) {
  ShardMap map;
  const FencingToken token = map.NextToken();
  const size_t per_worker =
      std::clamp(config.initial_shards / workers.size(), config.initial_shards_per_worker_min,
                 config.initial_shards_per_worker_max);
  const size_t count = workers.size() * per_worker;
  for (size_t index = 0; index < count; ++index) {
    Shard shard;
    // Borders are borders of buckets.
    shard.first = static_cast<ShardKey>(index * kBucketCount / count * kKeysPerBucket);
    shard.last = static_cast<ShardKey>((index + 1) * kBucketCount / count * kKeysPerBucket - 1);
    ShardMap::Assign(&shard, workers[index % workers.size()]->id, token, "");
    map.shards().push_back(std::move(shard));
  }
  return map;
}

}  // namespace

std::vector<WorkerId> SpreadOver(const ShardMap& map, const PlannerInput& input,
                                 const std::string& leaving_node, size_t shard_count) {
  const auto accepting = Accepting(input, leaving_node);
  std::vector<WorkerId> targets;
  if (accepting.empty()) return targets;
  const BucketLoads loads(map, input);
  std::map<std::string, double> burden;
  for (const Shard& shard : map.shards()) {
    burden[shard.owner.node] += loads.Of(shard.first, shard.last);
  }
  const double per_shard =
      std::max(1.0, burden[leaving_node] / std::max<double>(1, static_cast<double>(shard_count)));
  for (size_t index = 0; index < shard_count; ++index) {
    const auto lightest = std::min_element(
        accepting.begin(), accepting.end(), [&](const auto* left, const auto* right) {
          return burden[left->id.node] / std::max(1U, left->slots) <
                 burden[right->id.node] / std::max(1U, right->slots);
        });
    targets.push_back((*lightest)->id);
    burden[(*lightest)->id.node] += per_shard;
  }
  return targets;
}

Plan PlanRepair(const ShardMap& map, const PlannerInput& input, const PlannerConfig& config) {
  Plan plan;
  const auto accepting = Accepting(input);
  if (accepting.empty()) return plan;
  if (map.empty()) {
    plan.changed = true;
    plan.map = InitialMap(accepting, config);
    plan.reason = "first-assignment";
    return plan;
  }
  std::map<std::string, size_t> orphans;  // Shards to be taken, by their node.
  for (const Shard& shard : map.shards()) {
    const bool given_up = shard.owner.worker.empty();
    if (given_up || input.departed_nodes.contains(shard.owner.node)) ++orphans[shard.owner.node];
  }
  if (orphans.empty()) return plan;
  plan.map = map;
  const FencingToken token = plan.map.NextToken();
  for (const auto& [node, count] : orphans) {
    const std::vector<WorkerId> targets = SpreadOver(map, input, node, count);
    if (targets.empty()) continue;
    size_t next = 0;
    for (Shard& shard : plan.map.shards()) {
      const bool given_up = shard.owner.worker.empty();
      if (shard.owner.node != node) continue;
      if (!given_up && !input.departed_nodes.contains(node)) continue;
      if (!given_up) plan.relies_on_absence.insert(node);
      // A shard that was given up may have been released with a handover, which stays.
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
    if (FindWorker(input, shard.owner.node) != nullptr) continue;
    plan.reason = "unknown-owner-" + shard.owner.node;
    return plan;
  }
  BalanceRound round(map, input, config, accepting);
  round.PlaceHottestBucket();
  round.EvenOut();
  return round.Finish();
}

}  // namespace runshelf::sharding
